"""Tests of the choice of endpoints for reads under load, lag and failure."""

from hyssopshelf.gateway import (
    blackboard,
    catalog,
    endpoint_health,
    hedging,
    routing,
    statements,
)

LogPosition = statements.LogPosition
NOW = 100.0


def make_endpoint(name: str, place: str, leaving: bool = False):
    return catalog.Endpoint(
        id=name,
        database="db",
        address="127.0.0.1:1",
        place=place,
        slots=3,
        leaving=leaving,
        leads=name == "p",
        started=1,
    )


def make_route(read_rule: str = catalog.ReadRule.BOUNDED):
    return catalog.Route(
        name="r",
        database="db",
        read_rule=read_rule,
        staleness_seconds=1.5,
        statement_seconds=1.0,
        objective_seconds=0.5,
        rank=1,
    )


def make_board(**changes):
    board = blackboard.GatewayBlackboard(
        place="a1", region="a", regions={"a1": "a", "b1": "b", "c1": "c"}
    )
    endpoints = [
        make_endpoint("p", "b1"),
        make_endpoint("near", "a1", **changes),
        make_endpoint("far", "c1"),
    ]
    board.endpoints = {endpoint.id: endpoint for endpoint in endpoints}
    board.primary_grants["db"] = blackboard.PrimaryGrant(
        endpoint="p", term=1, version=1, valid_until=NOW + 1
    )
    positions = board.get_positions("db")
    positions.start_term(1)
    positions.add(LogPosition(1, 7), NOW - 0.5)
    return board


def choose(
    board,
    route=None,
    position=None,
    estimate_wait=lambda _: 0.0,
    excluded=frozenset(),
):
    return routing.list_candidates(
        board,
        route or make_route(),
        position,
        estimate_wait,
        set(excluded),
        NOW,
    )


def test_a_read_goes_to_the_near_replica_with_a_position():
    best = choose(make_board())[0]
    assert (best.endpoint.id, best.position) == ("near", LogPosition(1, 7))


def test_reads_of_primary_routes_go_to_the_primary_only():
    candidates = choose(make_board(), make_route(catalog.ReadRule.PRIMARY))
    assert [c.endpoint.id for c in candidates] == ["p"]


def test_own_writes_raise_the_position():
    route = make_route(catalog.ReadRule.OWN_WRITES)
    best = choose(make_board(), route, position=LogPosition(1, 9))[0]
    assert best.position == LogPosition(1, 9)


def test_bounded_reads_ignore_own_writes():
    assert choose(make_board(), position=LogPosition(1, 9))[0].position == LogPosition(
        1, 7
    )


def test_no_replica_is_used_without_a_recent_observation():
    """A partition from the primary must not lead to stale reads."""
    board = make_board()
    board.get_positions("db").start_term(1)
    assert [c.endpoint.id for c in choose(board)] == ["p"]


def test_no_primary_is_used_after_its_grant_has_expired():
    board = make_board()
    board.primary_grants["db"] = blackboard.PrimaryGrant(
        endpoint="p", term=1, version=1, valid_until=NOW
    )
    assert all(not c.primary for c in choose(board))
    route = make_route(catalog.ReadRule.PRIMARY)
    assert choose(board, route) == []


def test_no_primary_is_used_while_it_is_being_replaced():
    board = make_board()
    board.releasing.add("db")
    assert choose(board, make_route(catalog.ReadRule.PRIMARY)) == []


def test_a_congested_near_replica_sends_reads_away():
    def estimate_wait(endpoint: str) -> float:
        return 0.5 if endpoint == "near" else 0.0

    assert choose(make_board(), estimate_wait=estimate_wait)[0].endpoint.id != "near"


def test_a_failing_endpoint_is_used_last_until_its_avoidance_ends():
    board = make_board()
    endpoint_health.record_failure(board.get_health("near"), NOW - 0.05, NOW)
    assert [c.endpoint.id for c in choose(board)][-1] == "near"
    later = NOW + endpoint_health.FIRST_AVOIDANCE_SECONDS
    candidates = routing.list_candidates(
        board, make_route(), None, lambda _: 0.0, set(), later
    )
    assert candidates[0].endpoint.id == "near"


def test_a_leaving_endpoint_is_used_only_without_another():
    assert choose(make_board(leaving=True))[-1].endpoint.id == "near"


def test_an_answer_on_another_connection_overrides_an_older_failure():
    health = blackboard.EndpointHealth()
    endpoint_health.record_answer(health, 0.01, NOW)
    endpoint_health.record_failure(health, NOW - 0.5, NOW + 0.1)
    assert health.failures == 0


def test_reads_leave_an_endpoint_that_fails_part_of_them():
    """Covers errors that neither a health page nor failures in a row show."""
    board = make_board()
    health = board.get_health("near")
    for number in range(60):
        endpoint_health.record_outcome(health, number % 5 == 0, NOW)
    assert choose(board)[0].endpoint.id != "near"
    for _ in range(60):
        endpoint_health.record_outcome(health, False, NOW)
    assert choose(board)[0].endpoint.id == "near"


def test_an_endpoint_that_failed_is_tried_again():
    """An endpoint without reads cannot show its recovery, so errors must decay."""
    board = make_board()
    health = board.get_health("near")
    for _ in range(60):
        endpoint_health.record_outcome(health, True, NOW - 8.0)
    assert choose(board)[0].endpoint.id == "near"
    for _ in range(5):
        endpoint_health.record_outcome(health, True, NOW)
    assert choose(board)[0].endpoint.id != "near"


def test_hedges_are_a_small_part_of_the_reads_when_all_are_late():
    """Hedges must not double the load of a slow database."""
    budget = hedging.HedgeBudget()
    hedges = 0
    for _ in range(2000):
        budget.deposit()
        hedges += budget.try_withdraw()
    assert hedges <= hedging.BUDGET_BURST + 2000 * hedging.BUDGET_SHARE + 1


def test_a_hedge_waits_longer_where_answers_take_longer():
    assert hedging.find_hedge_delay(0.0) == hedging.MINIMUM_DELAY_SECONDS
    assert hedging.find_hedge_delay(0.1) > 0.5


def test_a_lagging_replica_is_asked_rarely_and_used_again_soon():
    """Reads must not all go first to a replica that is three seconds behind."""
    board = make_board()
    positions = board.get_positions("db")
    refused = 0
    used_at = None
    for step in range(600):
        now = NOW + step / 100
        positions.add(LogPosition(1, 8 + step), now - 0.2)
        board.primary_grants["db"] = blackboard.PrimaryGrant(
            endpoint="p", term=1, version=1, valid_until=now + 1
        )
        log_end = LogPosition(1, 7 + max(0, step - 300) if step < 500 else 8 + step)
        candidates = routing.list_candidates(
            board, make_route(), None, lambda _: 0.0, set(), now
        )
        near = next((c for c in candidates if c.endpoint.id == "near"), None)
        if near is None:
            continue
        health = board.get_health("near")
        if log_end >= near.position:
            endpoint_health.clear_lag(health)
            if step >= 500:
                used_at = used_at or now
        else:
            refused += 1
            endpoint_health.record_lag(health, log_end, now)
    # Four refusals with doubling pauses, then one every 0.8 s.
    assert refused <= 4 + 5.0 / endpoint_health.LONGEST_LAG_SECONDS
    assert used_at - (NOW + 5.0) <= endpoint_health.LONGEST_LAG_SECONDS + 0.01


def test_a_lagging_replica_serves_reads_that_need_less():
    board = make_board()
    endpoint_health.record_lag(board.get_health("near"), LogPosition(1, 7), NOW)
    assert choose(board)[0].endpoint.id == "near"
    route = make_route(catalog.ReadRule.OWN_WRITES)
    candidates = choose(board, route, position=LogPosition(1, 9))
    assert "near" not in [c.endpoint.id for c in candidates]
