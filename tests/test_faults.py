"""Fault runs of the core, and of broken variants that the checker must detect."""

import pytest

from benchmarks.faults import simulation, variants

SEEDS = (1, 6, 8, 60)
"""Seeds that exposed a fault of the core; docs/faults.md lists them."""

PROMOTION_FAULTS = (
    "isolate_primary",
    "stop_replication",
    "kill_endpoint",
    "pause_endpoint",
    "isolate_place",
    "lag",
)
CONNECTION_FAULTS = (
    "kill_node",
    "break_connections",
    "pause_endpoint",
    "kill_endpoint",
    "flood",
)
REPLICA_FAULTS = ("lag", "stop_replication", "flood")
PAUSE_FAULTS = ("pause_server", "flood")

CASES = {
    "acknowledge_unconfirmed": ((2, 7, 9), 12, 9, PROMOTION_FAULTS),
    "ignore_logs": ((2, 7, 9), 12, 9, PROMOTION_FAULTS),
    "promote_without_majority": ((4, 5, 7), 12, 9, PROMOTION_FAULTS),
    "promote_shortest_log": ((4, 5, 9), 12, 9, PROMOTION_FAULTS),
    "keep_old_confirmation": ((14, 21, 28), 12, 18, PAUSE_FAULTS),
    "trust_primary": ((1, 6, 7), 14, 18, PAUSE_FAULTS),
    "compare_index_only": ((2, 3, 5), 8, 18, PAUSE_FAULTS),
    "repeat_unknown_write": ((9, 10, 13), 12, 9, CONNECTION_FAULTS),
    "deny_after_execute": ((4, 5, 9), 12, 9, CONNECTION_FAULTS),
    "accept_doubled_request": ((13, 14, 20), 12, 24, ("disturb_messages",)),
    "reuse_doubtful_connection": (
        (1, 2, 3),
        10,
        9,
        ("pause_endpoint", "flood", "kill_node"),
    ),
    "share_connection_of_transaction": ((1, 2, 3), 6, 9, ()),
    "match_wrong_request": ((1, 2, 3), 6, 9, ()),
    "skip_token_check": ((3, 4, 5), 10, 9, REPLICA_FAULTS),
    "ignore_lag": ((5, 6, 13), 10, 9, REPLICA_FAULTS),
    "apply_any_version": (
        (2, 5, 33),
        16,
        4,
        ("edit", "slow_store", "disturb_messages"),
    ),
    "forget_change_ids": ((2, 3, 10), 10, 9, ("edit", "lose_store_answers")),
    "keep_leaving_endpoint": (
        (3, 4, 10),
        12,
        9,
        ("leave", "stop_replication", "isolate_primary", "cut_pair"),
    ),
    "stop_at_once": ((1, 2, 3), 10, 9, ("drain_node", "flood")),
}
"""Seeds, seconds, callers and faults of each variant; one seed must detect it."""


@pytest.mark.parametrize("seed", SEEDS)
def test_core_keeps_the_guarantees(seed):
    """Guards against a guarantee that is broken under any kind of fault."""
    outcome = simulation.run_seed(
        simulation.Options(seed=seed, seconds=12.0, settle_seconds=12.0)
    )
    assert outcome.violations == []


def test_same_seed_gives_the_same_run():
    """Guards against failures that cannot be reproduced from their seed."""
    options = simulation.Options(seed=3, seconds=5.0, settle_seconds=2.0)
    first, second = simulation.run_seed(options), simulation.run_seed(options)
    assert first.history == second.history


@pytest.mark.parametrize("name", sorted(variants.VARIANTS))
def test_checker_detects_every_variant(name):
    """Guards against a checker that does not detect violations."""
    seeds, seconds, callers, faults = CASES[name]
    with variants.apply_variant(name) as variant:
        for seed in seeds:
            options = simulation.Options(
                seed=seed,
                seconds=float(seconds),
                callers=callers,
                faults=faults,
                settle_seconds=6.0,
            )
            outcome = simulation.run_seed(options)
            rules = {violation.rule for violation in outcome.violations}
            if rules & set(variant.rules):
                return
    pytest.fail(f"no seed of {seeds} found {name}")
