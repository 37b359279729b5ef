"""Tests of the load and the waits that a fleet of some hundred nodes causes."""

import asyncio
import types

import attrs
import result

from hyssopshelf import clocks, envelopes, kvstore
from hyssopshelf.authority import (
    assignments,
    coordinator,
    election,
    exchange,
    grants,
    member,
    registration,
    timing,
)
from hyssopshelf.authority.tests import restorable_fleet
from hyssopshelf.gateway import blackboard, gateway

NODES = 195
REGIONS = {f"p{number}": f"r{number % 3}" for number in range(6)}
TRANSACTION_ENTRIES = 32
"""Entries that the store accepts in one transaction."""


@attrs.define(kw_only=True)
class RecordingStore:
    """Accepts transactions of the size that the platform's store accepts."""

    calls: list = attrs.field(factory=list)
    hosts: tuple = ()

    async def list(self, prefix):
        """Return the registrations of the hosts."""
        entries = tuple(
            kvstore.Entry(
                key=prefix + host,
                value=assignments.encode(
                    registration.make_record(make_ping(0), host, "a:1")
                ),
                revision=number + 1,
            )
            for number, host in enumerate(self.hosts)
        )
        return result.Ok(restorable_fleet.Page(entries=entries))

    async def change(self, expected, writes, deletes=()):
        self.calls.append((dict(writes), tuple(deletes)))
        if len(expected) + len(writes) + len(deletes) > TRANSACTION_ENTRIES:
            return result.Err(types.SimpleNamespace(status=400, reason="too many"))
        return result.Ok(len(self.calls))


def make_coordinator(sent: list, store=None) -> coordinator.Coordinator:
    identity = assignments.MemberRecord(
        host="c", address="c:1", incarnation=1, place="p0", capacity=2.0
    )
    node_gateway = gateway.Gateway(
        board=blackboard.GatewayBlackboard(place="p0", region="r0", regions=REGIONS),
        endpoint_codec=None,
    )
    node_gateway.forwarder = types.SimpleNamespace(
        holders={}, is_forwarded=lambda endpoint: False
    )
    local_member = member.Member(
        identity=identity,
        gateway=node_gateway,
        document_cache=member.DocumentCache(),
        apply_document=None,
        send=None,
        reset=lambda address: None,
    )
    record = assignments.CoordinatorRecord(
        host="c", address="c:1", incarnation=1, epoch=1000, lease=1
    )
    made = coordinator.Coordinator(
        identity=identity,
        local_member=local_member,
        record=record,
        revision=5,
        store=store,
        send=lambda host, address, message: sent.append((host, message)),
    )
    made.grant_table.confirmed_at = clocks.read_clock()
    return made


def make_host(number: int) -> str:
    return f"h{number:03}"


def make_ping(number: int, **fields) -> exchange.Ping:
    values = {
        "sequence": 1,
        "incarnation": 7,
        "place": f"p{number % 6}",
        "epoch": 1000,
        "capacity": 2.0 if number % 11 == 0 else 0.5,
    }
    return exchange.Ping(**{**values, **fields})


def add_members(local_coordinator, count: int = NODES) -> None:
    for number in range(count):
        local_coordinator.registry.add(
            registration.make_record(make_ping(number), make_host(number), "a:1")
        )


def test_a_fleet_that_starts_at_once_registers_in_few_transactions():
    """Guards against a call and an announcement to all nodes for each node."""

    async def scenario():
        sent = []
        store = RecordingStore()
        local_coordinator = make_coordinator(sent, store)
        for number in range(NODES):
            local_coordinator.receive_ping(make_ping(number), make_host(number), "a:1")
        while len(local_coordinator.grant_table.members) < NODES:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.01)
        assert len(store.calls) <= NODES / registration.REGISTRATION_BATCH + 1
        announced = [h for h, m in sent if isinstance(m, exchange.Announce)]
        assert sorted(announced) == [make_host(number) for number in range(NODES)]
        local_coordinator.stop("test ends")

    asyncio.run(scenario())


def test_members_lost_by_a_herd_kill_are_removed_within_the_store_s_limit():
    """More than 32 removals in one transaction were refused for good."""

    async def scenario():
        store = RecordingStore(hosts=tuple(make_host(n) for n in range(NODES)))
        local_coordinator = make_coordinator([], store)
        add_members(local_coordinator)
        table = local_coordinator.grant_table
        table.majority_since = 0.0
        for number in range(107):
            table.members[make_host(number)].heard_at = -1e6
        for _ in range(5):
            await local_coordinator.registry.remove_silent()
        assert len(table.members) == NODES - 107
        removed = [key for _, deletes in store.calls for key in deletes]
        assert sorted(removed) == [
            assignments.MEMBER_PREFIX + make_host(number) for number in range(107)
        ]
        assert len(store.calls) == 8

    asyncio.run(scenario())


def test_restarts_do_not_change_the_list_of_members():
    """A rolling restart sent the list of all members to all members, each time."""
    local_coordinator = make_coordinator([])
    add_members(local_coordinator)
    local_coordinator.registry._published_at = -1e6
    local_coordinator.registry.publish()
    cache = local_coordinator.local_member.document_cache
    before = cache.members_version
    for number in range(NODES):
        ping = make_ping(number, incarnation=8)
        local_coordinator.registry.add(
            registration.make_record(ping, make_host(number), "a:1")
        )
    local_coordinator.registry._published_at = -1e6
    local_coordinator.registry.publish()
    assert cache.members_version == before


def test_only_successors_get_each_new_list_of_members():
    sent = []
    local_coordinator = make_coordinator(sent)
    add_members(local_coordinator)
    local_coordinator.choose_successors(clocks.read_clock())
    for state in local_coordinator.grant_table.members.values():
        state.list_due_at = clocks.read_clock()
    lists = dict.fromkeys(map(make_host, range(NODES)), 0)
    for _ in range(5):
        local_coordinator.local_member.document_cache.members_version += 1
        local_coordinator.local_member.document_cache.members = b"list"
        sent.clear()
        for number in range(NODES):
            local_coordinator.receive_ping(make_ping(number), make_host(number), "a:1")
        for host, message in sent:
            lists[host] += message.members is not None
    for host, count in lists.items():
        assert count == (5 if host in local_coordinator.successors else 1)


def test_a_ping_and_its_answer_are_small_when_nothing_is_new():
    """Both cross regions 2.5 times a second for each node."""
    sent = []
    local_coordinator = make_coordinator(sent)
    add_members(local_coordinator)
    local_coordinator.choose_successors(clocks.read_clock())
    cache = local_coordinator.local_member.document_cache
    ping = make_ping(
        1,
        stamp=clocks.read_clock(),
        members_version=cache.members_version,
        successors_version=local_coordinator.successors_version,
    )
    local_coordinator.receive_ping(ping, make_host(1), "a:1")
    sizes = [
        len(
            envelopes.encode(
                envelopes.Envelope(host="h001", address="a:1", message=message)
            )
        )
        for message in (ping, sent[-1][1])
    ]
    assert sum(sizes) < 250


def test_successors_are_spread_over_regions_and_places():
    """Three successors in two regions were cut off together by one partition."""
    local_coordinator = make_coordinator([])
    add_members(local_coordinator)
    local_coordinator.choose_successors(clocks.read_clock())
    members = local_coordinator.grant_table.members
    places = [members[host].place for host in local_coordinator.successors]
    assert {REGIONS[place] for place in places} == {"r0", "r1", "r2"}
    assert len({"p0", *places}) == 4
    assert all(members[host].capacity > 1 for host in local_coordinator.successors)


def test_a_change_waits_only_for_hosts_that_hold_connections():
    """Any node that was silent delayed every change by a grant."""
    now = 1000.0
    table = grants.GrantTable(confirmed_at=now, majority_since=now - 60)
    for number in range(NODES):
        host = make_host(number)
        state = grants.MemberState(host=host, address="", incarnation=1, follows=True)
        state.heard_at = now
        table.members[host] = state
        table.record_grant(state, ["db"] if number < 3 else [], now)
    for number in (2, 50):
        table.members[make_host(number)].follows = False
    assert table.find_grant_holders("db", 1, now) == list(map(make_host, range(3)))
    assert not table.is_ready_for_change("db", now)
    table.members[make_host(2)].follows = True
    assert table.is_ready_for_change("db", now)


def test_direct_grants_go_to_the_holders_of_the_primary():
    sent = []
    local_coordinator = make_coordinator(sent)
    add_members(local_coordinator, 10)
    databases = {
        "db": assignments.Assignment(endpoint="e", term=1, version=1),
        "other": assignments.Assignment(endpoint="f", term=1, version=1),
    }
    local_coordinator.local_member.assignments = assignments.Assignments(
        version=2, databases=databases
    )
    local_coordinator.chosen_holders = {"e": ["h001"], "f": ["h002"]}
    local_coordinator._choose_direct([make_host(number) for number in range(10)])
    for number in (1, 3):
        local_coordinator.receive_ping(make_ping(number), make_host(number), "a:1")
    assert [message.direct for _, message in sent] == [("db",), ()]
    members = local_coordinator.grant_table.members
    assert set(members["h001"].direct_until) == {"db"}
    assert not members["h003"].direct_until


def test_a_member_keeps_a_direct_grant_until_it_expires():
    """Its open writes are not interrupted when other hosts become the holders."""

    async def scenario():
        local_member = make_coordinator([]).local_member
        local_member.assignments = assignments.Assignments(
            version=1,
            databases={"db": assignments.Assignment(endpoint="e", term=1, version=1)},
        )
        board = local_member.gateway.board
        now = clocks.read_clock()
        local_member.apply_grants(now + 2.0, (), ("db",))
        local_member.apply_grants(now + 2.4, (), ())
        grant = board.primary_grants["db"]
        assert grant.is_valid(now + 1.9, direct=True)
        assert not grant.is_valid(now + 2.1, direct=True)
        assert grant.is_valid(now + 2.1, direct=False)

    asyncio.run(scenario())


def test_a_late_ping_of_an_earlier_process_does_not_void_grants():
    """The grants of the present process would no longer block a change."""
    local_coordinator = make_coordinator([])
    local_coordinator.registry.add(
        registration.make_record(make_ping(0), "h000", "a:1")
    )
    local_coordinator.receive_ping(make_ping(0, incarnation=8), "h000", "a:1")
    state = local_coordinator.grant_table.members["h000"]
    assert state.granted_until > clocks.read_clock()
    local_coordinator.receive_ping(make_ping(0, incarnation=7), "h000", "a:1")
    assert local_coordinator.grant_table.members["h000"] is state


def test_members_follow_in_groups_that_double():
    """Each member of a group asks all others, so the first groups are small."""
    hosts = [make_host(number) for number in range(NODES)]
    members = {
        host: assignments.MemberRecord(host=host, address="", incarnation=0)
        for host in hosts
    }
    delays = [
        election.find_delay(
            types.SimpleNamespace(
                identity=members[host],
                members=members,
                successors=tuple(hosts[:3]),
                capacity=0.5,
            ),
            election.SILENT,
        )
        for host in hosts
    ]
    steps = [round(delay / timing.TAKEOVER_STEP_SECONDS) for delay in delays]
    assert [steps.count(step) for step in range(max(steps) + 1)] == [
        1, 1, 1, 1, 2, 4, 8, 16, 32, 64, 65
    ]  # fmt: skip


def test_a_ping_of_a_follower_does_not_count_the_whole_fleet(monkeypatch):
    """Each ping counted all members, a square of the fleet in each second."""
    counted = []
    count = grants.GrantTable.update_majority

    def update_majority(table, now):
        counted.append(now)
        count(table, now)

    monkeypatch.setattr(grants.GrantTable, "update_majority", update_majority)
    local_coordinator = make_coordinator([])
    add_members(local_coordinator)
    for _ in range(3):
        for number in range(NODES):
            local_coordinator.receive_ping(make_ping(number), make_host(number), "a:1")
    assert len(counted) == 2 * NODES


def test_a_gap_of_the_majority_is_noticed_when_members_return():
    """It may have followed an interim coordinator meanwhile."""
    now = 1000.0
    table = grants.GrantTable(confirmed_at=now)
    ping = make_ping(0)
    for number in range(5):
        host = make_host(number)
        table.members[host] = grants.MemberState(host=host, address="", incarnation=7)
        table.record_ping(table.members[host], ping, True, now)
    assert table.majority_since == now
    later = now + timing.PROMISE_SECONDS + 0.01
    for state in table.members.values():
        table.record_ping(state, ping, True, later)
    assert table.majority_since == later


def test_members_forget_the_holders_of_an_earlier_coordinator():
    """After a herd kill there are connections for all, so nobody holds for others."""

    async def scenario():
        sent = []
        local_coordinator = make_coordinator(sent)
        add_members(local_coordinator, 3)
        ping = make_ping(0, holders_version=77)
        local_coordinator.receive_ping(ping, "h000", "a:1")
        local_member = make_coordinator([]).local_member
        local_member.follow(local_coordinator.record)
        local_member.identity = attrs.evolve(local_member.identity, host="h000")
        local_member.holders_version = 77
        local_member.gateway.forwarder.holders = {"e": [("gone", "g:1")]}
        local_member._sent_at[1] = clocks.read_clock()
        local_member.receive_pong(sent[-1][1], "c")
        assert local_member.holders_version == local_coordinator.holders_version
        assert local_member.gateway.forwarder.holders == {}

    asyncio.run(scenario())
