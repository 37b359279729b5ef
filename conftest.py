"""Settings that all tests share."""

import hypothesis

# The same examples in every run, and no limits that a busy machine can exceed.
hypothesis.settings.register_profile(
    "fixed",
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=(hypothesis.HealthCheck.too_slow,),
)
hypothesis.settings.load_profile("fixed")
