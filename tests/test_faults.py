"""Runs of the core under faults, and broken cores that the checker must find."""

import pytest

from benchmarks.faults import variants, world

SEEDS = (1, 6, 8, 60)
"""Seeds that once found a fault of the core; docs/faults.md lists them."""

MAJORITY_FAULTS = ("isolate_primary", "stop_replication", "kill_endpoint", "lag")
READ_FAULTS = ("lag", "stop_replication", "flood")

CASES = {}
"""Options and up to three seeds for each variant; one of the seeds must find it."""


@pytest.mark.parametrize("seed", SEEDS)
def test_core_keeps_the_guarantees(seed):
    """Guards against a broken guarantee under all kinds of faults."""
    outcome = world.run_seed(world.Options(seed=seed, seconds=15.0))
    assert outcome.violations == []


def test_same_seed_gives_the_same_run():
    """Guards against a failure that cannot be replayed."""
    options = world.Options(seed=3, seconds=5.0, settle_seconds=2.0)
    first, second = world.run_seed(options), world.run_seed(options)
    assert first.history == second.history


@pytest.mark.parametrize("name", sorted(variants.VARIANTS))
def test_checker_finds_a_broken_core(name):
    """Guards against a check that cannot fail."""
    seeds, options = CASES[name]
    with variants.apply_variant(name) as variant:
        for seed in seeds:
            outcome = world.run_seed(world.Options(seed=seed, **options))
            rules = {violation.rule for violation in outcome.violations}
            if rules & set(variant.rules):
                return
    pytest.fail(f"no seed of {seeds} found {name}")
