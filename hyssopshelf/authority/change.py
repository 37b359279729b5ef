"""Changes of primary, carried out by the coordinator.

A change stops the use of the old primary everywhere, records the new one in the
store, promotes it, and grants it once it reports itself as the primary.
"""

import asyncio
import collections

import attrs

from hyssopshelf import clocks, exceptions, logs
from hyssopshelf.authority import (
    assignments,
    exchange,
    member,
    promotions,
    replication,
    suspicion,
    targets,
    timing,
)
from hyssopshelf.gateway import endpoint_connections, probes

CHECK_SECONDS = 0.1
"""Time between two checks of the primaries."""

FINISH_PLANNED_SECONDS = 0.5
"""Time in which open writes may end before a planned change."""

FINISH_UNPLANNED_SECONDS = 0.1
"""Time in which answers in flight may arrive before an unplanned change."""

RELEASE_REPEAT_SECONDS = 0.2
"""Time between two requests to a member that has not yet released a primary."""

CATCH_UP_SECONDS = 0.6
"""Time in which the new primary may catch up in a planned change."""

DEMOTED_SECONDS = 1.5
"""Time for which a primary reports itself as a replica before it is replaced; a
registry entry may be that old."""

RETRY_SECONDS = 0.3
"""Pause after a change that could not be carried out."""

DEMOTE_ATTEMPTS = 10
"""Attempts, a second apart, to demote an old primary to a replica of the new one."""


class ChangeController:
    """Checks the primaries and replaces them where needed.

    Parameters
    ----------
    coordinator : Coordinator
        The coordinator whose authority the changes use.
    recorder : AssignmentRecorder
        Writes the assignments to the store.
    promotion_client : object
        Client of the platform's promotion API.
    """

    def __init__(self, *, coordinator, recorder, promotion_client) -> None:
        self.coordinator = coordinator
        self.recorder = recorder
        self.promoter = promotions.Promoter(
            coordinator=coordinator,
            promotion_client=promotion_client,
            record=self._record,
        )
        self.local_member = coordinator.local_member
        self.gateway = coordinator.local_member.gateway
        self.chooser = targets.TargetChooser(
            coordinator=coordinator, count_failing=self._count_failing
        )
        self._changing: set[str] = set()
        self._demoted_since: dict[str, tuple[int, float]] = {}
        self._retry_at: dict[str, float] = collections.defaultdict(float)

    async def run(self) -> None:
        """Check all primaries until the coordinator stops."""
        self.promoter.inherit(self.local_member.assignments.databases)
        while self.coordinator.active:
            now = clocks.read_clock()
            if self.coordinator.may_change(now):
                failure_reports = self._collect_failure_reports(now)
                for database in self._list_databases():
                    self._check_database(database, failure_reports, now)
            await asyncio.sleep(CHECK_SECONDS)

    def _list_databases(self) -> list[str]:
        """Return the databases to check; other writers may register any name."""
        board = self.gateway.board
        names = {entry.database for entry in board.endpoints.values()}
        if board.configuration is not None:
            names &= board.configuration.connections.keys()
        return sorted(names | set(self.local_member.assignments.databases))

    def _check_database(self, database: str, failure_reports: dict, now: float) -> None:
        if database in self._changing or now < self._retry_at[database]:
            return
        assigned = self.local_member.assignments.databases.get(database)
        endpoints = self.promoter.list_endpoints(database)
        if assigned is None:
            if any(endpoint.leads for endpoint in endpoints.values()):
                self._start_change(database, self._assign_first(database, endpoints))
            return
        if assigned.promoting:
            self._start_change(database, self._resume(database, assigned))
            return
        settled = self.promoter.is_settled(database, now)
        if assigned.unsettled and settled:
            self._start_change(database, self._mark_settled(database, assigned))
            return
        if not endpoints:
            return
        if self._is_released(database, assigned.version):
            self._start_change(database, self._grant_again(database, assigned))
            return
        demoted = self._is_demoted(
            database, assigned.version, endpoints.get(assigned.endpoint), now
        )
        reports, users = self._group_reports(endpoints, failure_reports)
        reason = suspicion.find_change_reason(
            assigned, endpoints, reports, demoted, users.get(assigned.endpoint, 0)
        )
        ready = self.coordinator.grant_table.is_ready_for_change(database, now)
        if reason and settled and ready:
            self._start_change(database, self._change(database, assigned, reason))

    def _is_demoted(self, database: str, version: int, primary, now: float) -> bool:
        """Return whether a primary has reported itself as a replica for long enough.

        What the registry showed before the assignment does not count.
        """
        if primary is None or primary.leads:
            self._demoted_since.pop(database, None)
            return False
        known = self._demoted_since.get(database)
        if known is None or known[0] != version:
            known = self._demoted_since[database] = (version, now)
        return now - known[1] > DEMOTED_SECONDS

    def _is_released(self, database: str, version: int) -> bool:
        """Return whether a node released the assignment for a change that ended."""
        if self.local_member.released.get(database, 0) >= version:
            return True
        members = self.coordinator.grant_table.members.values()
        return any(
            state.reported_releases.get(database, 0) >= version for state in members
        )

    async def _mark_settled(self, database: str, assigned) -> bool:
        """Record that no call for a primary may be carried out late any more."""
        return await self._record(database, attrs.evolve(assigned, unsettled=False))

    async def _grant_again(self, database: str, assigned) -> bool:
        """Let all nodes use the same primary again, under a new version."""
        entry = attrs.evolve(assigned, version=assigned.version + 1)
        if not await self._record(database, entry):
            return False
        self.coordinator.revoked.discard(database)
        self.coordinator.publish_assignments()
        return True

    def _collect_failure_reports(self, now: float) -> dict[str, dict]:
        """Return the failure reports of each node that is heard, by host."""
        failure_reports = {
            state.host: state.failure_reports
            for state in self.coordinator.grant_table.members.values()
            if now - state.heard_at < timing.SILENCE_SECONDS
        }
        own = self.coordinator.identity.host
        failure_reports[own] = member.collect_failure_reports(self.gateway.board, now)
        return failure_reports

    def _group_reports(self, endpoints, failure_reports: dict[str, dict]):
        """Return the reports of each endpoint's users, and the number of users.

        A node that holds no connections to an endpoint may still report an old
        failure, so only its holders count.
        """
        reports, users = {}, {}
        for endpoint in endpoints:
            holders = self.coordinator.holders.get(endpoint)
            hosts = [host for host, _ in holders] if holders else list(failure_reports)
            reports[endpoint] = [
                failure_reports[host] for host in hosts if host in failure_reports
            ]
            users[endpoint] = len(hosts)
        return reports, users

    def _start_change(self, database: str, work) -> None:
        self._changing.add(database)
        self.coordinator.run_in_background(self._run_change(database, work))

    async def _run_change(self, database: str, work) -> None:
        try:
            if not await work:
                self._retry_at[database] = clocks.read_clock() + RETRY_SECONDS
        finally:
            self._changing.discard(database)

    async def _assign_first(self, database: str, endpoints: dict) -> bool:
        """Record the current primary of a database that is not assigned yet."""
        primaries = [endpoint for endpoint in endpoints.values() if endpoint.leads]
        best = None
        for endpoint in primaries:
            status = await replication.ask_status(self.gateway, endpoint)
            if status is None or status.role != "primary":
                continue
            if best is None or status.term > best[1].term:
                best = (endpoint, status)
        if best is None:
            return False
        endpoint, status = best
        era = self.coordinator.store.era or 0
        entry = assignments.Assignment(
            endpoint=endpoint.id,
            term=status.term,
            version=assignments.find_first_version(era),
        )
        if not await self._record(database, entry):
            return False
        self.coordinator.publish_assignments()
        return True

    async def _change(self, database: str, assigned, reason: str) -> bool:
        planned = reason == "leaving"
        if reason == suspicion.DEMOTED and await self.chooser.is_leading(assigned):
            self._demoted_since.pop(database, None)
            return False
        logs.write(
            logs.LogEvent.CHANGE_STARTED,
            {
                "database": database,
                "endpoint": assigned.endpoint,
                "term": assigned.term,
                "reason": reason,
                "epoch": self.coordinator.record.epoch,
            },
        )
        target = await self.chooser.choose(database, assigned, planned)
        if target is None:
            return False
        self.coordinator.revoked.add(database)
        await self._wait_for_release(database, assigned.version, planned)
        now = clocks.read_clock()
        if not self.coordinator.may_change(now) or not self._is_needed(
            database, assigned, reason, now
        ):
            # The next check grants the primary again, under a new version.
            self.coordinator.revoked.discard(database)
            logs.write(
                logs.LogEvent.CHANGE_ABANDONED,
                {"database": database, "reason": "no longer needed or allowed"},
            )
            return False
        if self.chooser.get_synchronous(database):
            target = await self.chooser.wait_for_complete(
                database,
                assigned,
                resumed=False,
                seconds=CATCH_UP_SECONDS if planned else targets.COMPLETE_SECONDS,
            )
            if target is None:
                self.coordinator.revoked.discard(database)
                return False
        elif planned:
            target = await self._catch_up(database, assigned, target)
        return await self._replace(database, assigned, target)

    async def _replace(self, database: str, assigned, target) -> bool:
        """Record the successor of a released primary and promote it."""
        entry = assignments.Assignment(
            endpoint=target.id,
            term=assigned.term,
            version=assigned.version + 1,
            promoting=True,
        )
        if not await self._record(database, entry):
            return False
        return await self._promote(database, entry)

    def _is_needed(self, database: str, assigned, reason: str, now: float) -> bool:
        """Return whether a change is still needed after the wait for the release."""
        if reason != "gone":
            return True
        return assigned.endpoint not in self.promoter.list_endpoints(database)

    async def _resume(self, database: str, entry) -> bool:
        """Finish a recorded change, which an earlier coordinator may have started."""
        now = clocks.read_clock()
        grant_holders = self.coordinator.grant_table.find_grant_holders(
            database, entry.version, now
        )
        if any(
            not self.coordinator.grant_table.members[host].follows
            for host in grant_holders
        ):
            # An earlier coordinator may still be calling the promotion API.
            return False
        self.coordinator.revoked.add(database)
        endpoint = self.promoter.list_endpoints(database).get(entry.endpoint)
        if endpoint is not None and await self._promote(database, entry):
            return True
        if not self.promoter.is_settled(database, clocks.read_clock()):
            self.promoter.log_wait(database, entry.endpoint)
            return False
        if self.chooser.get_synchronous(database):
            target = await self.chooser.wait_for_complete(
                database, entry, resumed=True, seconds=targets.COMPLETE_SECONDS
            )
        else:
            target = await self.chooser.choose(database, entry, False)
        if target is None:
            return False
        return await self._replace(database, entry, target)

    def _count_failing(self, endpoints: list[str]) -> dict[str, int]:
        """Return how many of its users fail to reach each endpoint."""
        failure_reports = self._collect_failure_reports(clocks.read_clock())
        reports, _ = self._group_reports(endpoints, failure_reports)
        return targets.count_failing(reports)

    async def _wait_for_release(self, database: str, version: int, planned: bool):
        """Ask for a release; return when no grant holder is left.

        Other members are told once, so that their work waits for the next primary.
        """
        finish = FINISH_PLANNED_SECONDS if planned else FINISH_UNPLANNED_SECONDS
        own = asyncio.get_running_loop().create_task(
            self.local_member.release(database, version, finish)
        )
        started = clocks.read_clock()
        send_at = started + RELEASE_REPEAT_SECONDS
        for state in self.coordinator.grant_table.members.values():
            self._send_release(state, database, version, finish)
        while True:
            now = clocks.read_clock()
            grant_holders = self.coordinator.grant_table.find_grant_holders(
                database, version, now
            )
            if not grant_holders and own.done():
                return
            if now >= send_at:
                send_at = now + RELEASE_REPEAT_SECONDS
                for host in grant_holders:
                    state = self.coordinator.grant_table.members[host]
                    if now - started > timing.RECONNECT_SECONDS:
                        self.local_member.reset(state.address)
                    self._send_release(state, database, version, finish)
            await asyncio.sleep(member.RELEASE_CHECK_SECONDS)

    def _send_release(self, state, database: str, version: int, finish: float) -> None:
        # The epoch changes if the coordinator records itself again.
        message = exchange.Release(
            database=database,
            version=version,
            epoch=self.coordinator.record.epoch,
            finish_seconds=finish,
        )
        self.coordinator.send(state.host, state.address, message)

    async def _catch_up(self, database: str, assigned, target):
        """Wait a bounded time until a replica has the old primary's last entry."""
        deadline = clocks.read_clock() + CATCH_UP_SECONDS
        old = self.promoter.list_endpoints(database).get(assigned.endpoint)
        last = (
            await replication.ask_status(self.gateway, old) if old is not None else None
        )
        target_position = last.position if last is not None else None
        while target_position is not None and clocks.read_clock() < deadline:
            status = await replication.ask_status(self.gateway, target)
            if status is not None and status.position >= target_position:
                break
            await asyncio.sleep(member.RELEASE_CHECK_SECONDS)
        return target

    async def _promote(self, database: str, entry) -> bool:
        """Promote a primary and grant it; return whether it took effect in time."""
        started = clocks.read_clock()
        status = await self.promoter.promote(database, entry)
        if status is None:
            return False  # another target gets a new version
        await self._complete(database, entry, status, started)
        return True

    async def _complete(self, database: str, entry, status, started: float) -> None:
        final = attrs.evolve(
            entry,
            term=status.term,
            promoting=False,
            unsettled=not self.promoter.is_settled(database, clocks.read_clock()),
        )
        self.local_member.assignments = self.local_member.assignments.replace(
            database, final
        )
        self.coordinator.revoked.discard(database)
        self.coordinator.publish_assignments()
        logs.write(
            logs.LogEvent.PRIMARY_PROMOTED,
            {
                "database": database,
                "endpoint": entry.endpoint,
                "term": status.term,
                "version": entry.version,
                "seconds": round(clocks.read_clock() - started, 3),
            },
        )
        self.coordinator.run_in_background(self._complete_demotions(database, final))

    async def _complete_demotions(self, database: str, final) -> None:
        """Record the end of a change, then demote endpoints that still lead."""
        await self.recorder.save()
        for _ in range(DEMOTE_ATTEMPTS):
            others = [
                endpoint
                for endpoint in self.promoter.list_endpoints(database).values()
                if endpoint.id != final.endpoint and endpoint.leads
            ]
            if not others:
                return
            for endpoint in others:
                await self._demote(endpoint, final.term)
            await asyncio.sleep(1.0)

    async def _demote(self, endpoint, term: int) -> None:
        codec = self.gateway.endpoint_codec
        try:
            await probes.send_unqueued(
                self.gateway,
                endpoint,
                codec.format_demote(term),
                replication.STATUS_SECONDS,
            )
        except endpoint_connections.EndpointConnectionError as error:
            logs.write(
                logs.LogEvent.FOLLOW_ORDERED,
                {"endpoint": endpoint.id, "term": term, "outcome": error.reason},
            )
            return
        logs.write(
            logs.LogEvent.FOLLOW_ORDERED,
            {"endpoint": endpoint.id, "term": term, "outcome": "answered"},
        )

    async def _record(self, database: str, entry) -> bool:
        """Write an assignment and put it in force; a promotion needs a revocation."""
        if self.coordinator.revoked.isdisjoint({database}) and entry.promoting:
            raise exceptions.InvariantError("promotion without a prior release")
        return await self.recorder.record(database, entry)
