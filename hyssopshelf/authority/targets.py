"""Choice of the endpoint that becomes the primary of a database."""

import asyncio

from hyssopshelf import clocks, logs
from hyssopshelf.authority import durability, replication, suspicion

CATCH_UP_ENTRIES = 200
"""Log entries that a replica may lack when a planned change starts; a primary writes
some tens a second, so the replica catches up within ``change.CATCH_UP_SECONDS``."""

COMPLETE_SECONDS = 10.0
"""Time for which one change waits for replicas that may have acknowledged commits; a
change of primary should be over within 17 s."""

COMPLETE_PAUSE_SECONDS = 0.02
"""Time between two questions to the replicas."""


class TargetChooser:
    """Chooses the successors of primaries for one coordinator.

    Parameters
    ----------
    coordinator : Coordinator
        The coordinator that replaces them.
    count_failing : callable
        Takes endpoint ids; returns by id how many nodes fail to reach each.
    """

    def __init__(self, *, coordinator, count_failing) -> None:
        self.coordinator = coordinator
        self.gateway = coordinator.local_member.gateway
        self._count_failing = count_failing

    def get_synchronous(self, database: str) -> int:
        """Return how many replicas receive a commit before it is acknowledged."""
        configuration = self.gateway.board.configuration
        if configuration is None:
            return 0
        return configuration.synchronous.get(database, 0)

    async def is_leading(self, assigned) -> bool:
        """Return whether a primary that the registry shows as a replica leads.

        The registry may be old while the store does not answer.
        """
        primary = self.gateway.board.endpoints.get(assigned.endpoint)
        if primary is None:
            return False
        others = [e for e in self._list_endpoints(primary.database) if e != primary]
        status = await replication.ask_promoted(
            self.gateway, primary, others, assigned.term - 1
        )
        return status is not None and status.term == assigned.term

    async def choose(self, database: str, assigned, planned: bool):
        """Return the replica to promote, or None.

        Replicas that fewer nodes fail to reach go first, then the most advanced.
        Where acknowledged commits have to be at replicas, this only tells whether a
        change can start; `wait_for_complete` chooses after the release.
        """
        candidates = [
            endpoint
            for endpoint in self._list_endpoints(database)
            if endpoint.id != assigned.endpoint and not endpoint.leaving
        ]
        failing = self._count_failing([endpoint.id for endpoint in candidates])
        ends = await self._ask(candidates)
        accept_busy = self.get_synchronous(database) > 0
        ranked = [
            (-failing[endpoint.id], end.position, endpoint.id, endpoint)
            for endpoint in candidates
            if (end := ends[endpoint.id]) is not None and (end.exact or accept_busy)
        ]
        if not ranked:
            self._log_abandoned(database, "no replica answers")
            return None
        _, position, _, target = max(ranked, key=lambda row: row[:3])
        if planned:
            seen = self.gateway.board.get_positions(database).get_last_position()
            if seen is not None and seen.number - position.number > CATCH_UP_ENTRIES:
                return None
        return target

    async def wait_for_complete(
        self, database: str, assigned, *, resumed: bool, seconds: float
    ):
        """Return an endpoint that has every acknowledged commit, or None.

        The primary has to be released before, so that nothing is acknowledged any
        more. Each replica is asked until it is known which has received most; one that
        the registry has lost counts for `blackboard.REMOVED_SECONDS`.

        Parameters
        ----------
        assigned : Assignment
            The assignment that is replaced.
        resumed : bool
            Whether it names an endpoint that was chosen here and is not the primary
            yet, in the place of the primary.
        seconds : float
            Time after which None is returned.
        """
        started = clocks.read_clock()
        waits_logged = False
        while True:
            endpoints = self._list_endpoints(database)
            primaries = [
                e for e in endpoints if e.id == assigned.endpoint and not resumed
            ]
            ends = await self._ask([e for e in endpoints if e not in primaries])
            target = self._find_target(database, assigned, ends, resumed)
            if target is None and primaries:
                ends |= await self._ask(primaries)
                target = self._find_target(database, assigned, ends, resumed)
            now = clocks.read_clock()
            if target is not None or not self.coordinator.may_change(now):
                return target
            if now - started > seconds:
                self._log_abandoned(
                    database, "no replica is known to have all acknowledged commits"
                )
                return None
            if not waits_logged:
                waits_logged = True
                self._log_wait(database, ends, now)
            await asyncio.sleep(COMPLETE_PAUSE_SECONDS)

    def _find_target(self, database: str, assigned, ends: dict, resumed: bool):
        """Return the best endpoint that has every acknowledged commit, or None.

        A resumed change does not know which endpoint was the primary; it is one that
        still reports itself as such.
        """
        board = self.gateway.board
        missing = board.list_missing(database, clocks.read_clock())
        chosen = assigned.endpoint if resumed else ""
        primary = assigned.endpoint
        if resumed:
            leading = [
                name
                for name, end in ends.items()
                if end is not None
                and name != chosen
                and (_leads(end, assigned.term) or self._is_registered_primary(name))
            ]
            primary = leading[0] if leading else ""
        complete = durability.find_complete(
            {**dict.fromkeys(missing), **ends},
            self.get_synchronous(database),
            primary=primary,
            primary_end=self._find_primary_end(database, assigned, ends.get(primary)),
            chosen=chosen,
        )
        usable = [board.endpoints[name] for name in complete if name in board.endpoints]
        if not usable:
            return None
        failing = self._count_failing(complete)
        # The longest log comes first among equals.
        return min(usable, key=lambda e: (e.leaving, failing[e.id]))

    def _is_registered_primary(self, name: str) -> bool:
        endpoint = self.gateway.board.endpoints.get(name)
        return endpoint is not None and endpoint.leads

    def _list_endpoints(self, database: str) -> list:
        return [
            endpoint
            for endpoint in self.gateway.board.endpoints.values()
            if endpoint.database == database
        ]

    async def _ask(self, endpoints: list) -> dict[str, durability.LogEnd | None]:
        found = await asyncio.gather(
            *(replication.ask_log_end(self.gateway, endpoint) for endpoint in endpoints)
        )
        return {e.id: end for e, end in zip(endpoints, found, strict=True)}

    def _find_primary_end(self, database: str, assigned, end):
        """Return the end of the primary's log, or None if that is not known.

        A primary that was restarted without its log ends before what was seen of it.
        """
        if end is None or not _leads(end, assigned.term):
            return None
        seen = self.gateway.board.get_positions(database).get_last_position()
        if seen is not None and end.position < seen:
            return None
        return end.position

    def _log_wait(self, database: str, ends: dict, now: float) -> None:
        logs.write(
            logs.LogEvent.REPLICAS_AWAITED,
            {
                "database": database,
                "ends": {
                    name: None if end is None else str(end.position)
                    for name, end in ends.items()
                },
                "busy": [name for name, end in ends.items() if end and not end.exact],
                "missing": self.gateway.board.list_missing(database, now),
            },
        )

    def _log_abandoned(self, database: str, reason: str) -> None:
        logs.write(
            logs.LogEvent.CHANGE_ABANDONED, {"database": database, "reason": reason}
        )


def _leads(end: durability.LogEnd, term: int) -> bool:
    """Return whether an endpoint reported itself as the primary of a term."""
    return end.role == "primary" and end.term == term


def count_failing(reports: dict[str, list]) -> dict[str, int]:
    """Return how many nodes fail to reach each endpoint.

    Parameters
    ----------
    reports : dict of str to list
        Reports of the nodes that use an endpoint, by its id.
    """
    return {
        endpoint: suspicion.count_failing(found, endpoint, 0.0)
        for endpoint, found in reports.items()
    }
