"""Tests that a primary is never changed while a grant of it may be in use."""

import attrs
import hypothesis
from hypothesis import strategies

from hyssopshelf.authority import exchange, grants, timing

NOW = 1000.0


def make_table(count: int) -> grants.GrantTable:
    table = grants.GrantTable(confirmed_at=NOW)
    for number in range(count):
        host = f"h{number}"
        table.members[host] = grants.MemberState(host=host, address="", incarnation=1)
    return table


def make_ping(stamp: float, held: float = 0.0, promises: bool = True) -> exchange.Ping:
    return exchange.Ping(
        sequence=1,
        incarnation=1,
        place="",
        epoch=1,
        stamp=stamp,
        held=held,
        promises=promises,
    )


def test_authority_expires_without_store_and_promises():
    table = make_table(5)
    assert table.has_authority(NOW + timing.AUTHORITY_SECONDS - 0.01)
    assert not table.has_authority(NOW + timing.AUTHORITY_SECONDS)


def record_pings(
    table: grants.GrantTable, count: int, now: float, promises: bool = True
) -> None:
    for state in list(table.members.values())[:count]:
        table.record_ping(state, make_ping(now - 0.1, 0.05, promises), True, now)


def test_promises_of_a_majority_extend_authority_without_the_store():
    """The larger side of a network partition keeps its primaries.

    Of six nodes, this one and three members that promise are a majority.
    """
    table = make_table(5)
    later = NOW + 10
    record_pings(table, 3, later)
    assert table.has_authority(later)
    table = make_table(5)
    record_pings(table, 2, later)
    assert not table.has_authority(later)


def test_promises_of_a_majority_extend_authority_for_a_bounded_time():
    table = make_table(5)
    later = NOW + timing.MAJORITY_AUTHORITY_SECONDS
    record_pings(table, 4, later)
    assert not table.has_authority(later)


def test_a_promise_counts_from_before_its_ping_was_sent():
    """A ping that was delayed by a paused process or network must not count."""
    table = make_table(1)
    later = NOW + 10
    state = table.members["h0"]
    table.record_ping(state, make_ping(later - 5, 0.2), True, later)
    assert not table.has_authority(later)


def test_a_grant_blocks_a_change_until_it_expires_or_is_released():
    table = make_table(2)
    record_pings(table, 2, NOW)
    table.majority_since = NOW - 10
    for state in table.members.values():
        table.record_grant(state, ["db"], NOW)
    table.members["h0"].released["db"] = 3
    assert table.find_grant_holders("db", 3, NOW + 0.1) == ["h1"]
    assert table.find_grant_holders("db", 4, NOW + 0.1) == ["h0", "h1"]
    expired = NOW + grants.GRANT_EXPIRY_SECONDS
    for number in range(1, 6):
        # This node and one member are a majority without a gap.
        record_pings(table, 1, NOW + number * timing.PING_SECONDS)
    record_pings(table, 1, expired)
    assert table.find_grant_holders("db", 3, expired) == []


def test_without_a_majority_silent_members_may_follow_an_interim_coordinator():
    """A coordinator on the small side of a partition must wait before a change."""
    table = make_table(5)
    record_pings(table, 1, NOW)
    for state in table.members.values():
        table.record_grant(state, ["db"], NOW)
        state.released["db"] = 1 if state.host == "h0" else 0
    after_grants = NOW + timing.GRANT_SECONDS + 1
    record_pings(table, 1, after_grants)
    assert len(table.find_grant_holders("db", 1, after_grants)) == 4
    much_later = (
        NOW + grants.GRANT_EXPIRY_SECONDS + timing.MAJORITY_AUTHORITY_SECONDS + 0.1
    )
    assert table.find_grant_holders("db", 1, much_later) == []


# ONE: what a majority promised says nothing once it is lost again.
def test_silent_members_may_follow_an_interim_coordinator_after_a_majority_is_lost():
    table = make_table(4)
    table.own_promised_before = NOW
    table.predecessor_ended_at = NOW - 9.0
    table.ungranted = frozenset({"h3"})
    for state in table.members.values():
        ping = attrs.evolve(make_ping(NOW - 0.1, 0.05), former_promise=0.0)
        table.record_ping(state, ping, True, NOW)
    later = NOW + 5.0
    record_pings(table, 1, later)
    assert table.majority_since == float("inf")
    assert table.find_grant_holders("db", 1, later) == ["h0", "h1", "h2", "h3"]


# ONE: a coordinator that a majority does not hear replaced a primary which that
# majority used by grants of an interim coordinator, with other holders.
def test_a_member_without_a_direct_grant_counts_while_it_may_follow_another_one():
    table = make_table(4)
    record_pings(table, 4, NOW)
    table.majority_since = NOW - 5.0
    for state in table.members.values():
        table.record_grant(state, ["db"] if state.host == "h0" else [], NOW)
    table.members["h0"].released["db"] = 1
    assert table.find_grant_holders("db", 1, NOW) == []
    later = NOW + 5.0
    record_pings(table, 1, later)
    assert table.find_grant_holders("db", 1, later) == ["h1", "h2", "h3"]
    for number in range(9):
        followed = later + number * timing.PING_SECONDS
        record_pings(table, 4, followed)
    assert table.find_grant_holders("db", 1, followed) == []
    much_later = (
        NOW + grants.GRANT_EXPIRY_SECONDS + timing.MAJORITY_AUTHORITY_SECONDS + 0.1
    )
    record_pings(table, 1, much_later)
    assert table.find_grant_holders("db", 1, much_later) == []


def test_a_successor_waits_for_grants_of_its_predecessor():
    table = make_table(4)
    table.predecessor_ended_at = NOW
    record_pings(table, 3, NOW)
    # The fourth member, the predecessor itself, stays silent.
    for host in ("h0", "h1", "h2"):
        table.members[host].released["db"] = 1
    early = NOW + timing.AUTHORITY_SECONDS + timing.GRANT_SECONDS
    record_pings(table, 3, early)
    assert table.find_grant_holders("db", 1, early) == ["h3"]
    late = early + 2 * timing.CLOCK_MARGIN_SECONDS
    table.majority_since = NOW
    record_pings(table, 3, late)
    assert table.find_grant_holders("db", 1, late) == []


@hypothesis.given(
    members=strategies.integers(min_value=2, max_value=9),
    sides=strategies.lists(strategies.booleans(), min_size=9, max_size=9),
    elapsed=strategies.floats(min_value=0, max_value=40),
)
def test_two_sides_of_a_split_never_grant_and_change_together(members, sides, elapsed):
    """While the side without the store grants, the side with it must not change.

    Both coordinators know the same members and hear those on their side. The
    coordinator without the store is on the side ``True``; the store last confirmed
    it at ``NOW``.
    """
    granting = grants.GrantTable(confirmed_at=NOW)
    changing = grants.GrantTable(confirmed_at=NOW + elapsed, predecessor_ended_at=NOW)
    now = NOW + elapsed
    hosts = [f"h{number}" for number in range(members)]
    for host in hosts:
        for table in (granting, changing):
            table.members[host] = grants.MemberState(
                host=host, address="", incarnation=1
            )
    # For each coordinator the other one is one more member.
    granting.members["changer"] = grants.MemberState(
        host="changer", address="", incarnation=1
    )
    changing.members["granter"] = grants.MemberState(
        host="granter", address="", incarnation=1
    )
    step = timing.PING_SECONDS
    moments = [NOW + step * i for i in range(int(elapsed / step) + 1)] + [now]
    for moment in moments:
        for host, side in zip(hosts, sides, strict=False):
            table = granting if side else changing
            ping = make_ping(moment - 0.02, 0.01)
            table.record_ping(table.members[host], ping, True, moment)
        changing.update_majority(moment)
        if granting.has_authority(moment):
            for state in granting.members.values():
                granting.record_grant(state, ["db"], moment)
    granted = [s for s in granting.members.values() if s.granted_until > now]
    for host, side in zip(hosts, sides, strict=False):
        if not side:
            changing.members[host].released["db"] = 1
    if granted and any(side for _, side in zip(hosts, sides, strict=False)):
        assert changing.find_grant_holders("db", 1, now)
