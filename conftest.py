"""Settings that all tests share."""

import pathlib

import hypothesis
import pytest

KNOWN_RED = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
"""Lists the tests that may fail for a known fault, in lines ``test: NODE ID``."""

# The same examples in every run, and no limits that a busy machine can exceed.
hypothesis.settings.register_profile(
    "fixed",
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=(hypothesis.HealthCheck.too_slow,),
)
hypothesis.settings.load_profile("fixed")


def read_known_red() -> list[str]:
    """Return the node ids of the listed tests."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return [line.removeprefix("test: ") for line in lines if line.startswith("test: ")]


def pytest_collection_modifyitems(items):
    """Let the listed tests fail without failing the run."""
    known = read_known_red()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter):
    """Print the listed tests that ran, with their outcome."""
    known = read_known_red()
    for outcome in ("xfailed", "xpassed"):
        for report in terminalreporter.stats.get(outcome, []):
            if report.nodeid in known:
                terminalreporter.write_line(f"KNOWN-RED {outcome}: {report.nodeid}")
