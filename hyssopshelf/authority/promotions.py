"""Calls of the platform's promotion API, and what is not known of their outcome.

A call without an answer may be carried out seconds later. Until then it is unsettled:
if another endpoint were promoted meanwhile, the late call would replace it without the
members' knowledge, and what they acknowledge there would be lost.

An endpoint that is seen to lead after a single call settles it, also a call of an
earlier coordinator. So a second call is recorded before it is made.
"""

import asyncio
import enum

import attrs

from hyssopshelf import clocks, logs
from hyssopshelf.authority import replication, timing

CALL_TIMEOUT_SECONDS = 1.0
"""Timeout of one call of the promotion API."""

CALL_PAUSE_SECONDS = 0.1
"""Pause after a call that was not carried out."""

EFFECT_SECONDS = 3.0
"""Time in which a promotion must take effect; it takes some hundred milliseconds."""

EFFECT_CHECK_SECONDS = 0.05
"""Time between two checks whether a promotion has taken effect."""

LATE_CALL_SECONDS = 6.0
"""Time after which a call that was given up is no longer carried out. Its connection
has been reset, so this bounds only the platform's own delay."""

REFUSED_STATUS = 409
"""Status of the promotion API for an endpoint that is not running."""

NOT_SENT_STATUS = 598
"""Status of a call that could not be sent."""

SERVER_ERROR_STATUS = 500
"""Lowest status of a failure after which a call may have been carried out."""


class Outcome(enum.Enum):
    """What is known of a call."""

    DONE = "done"
    NOT_DONE = "not done"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Promoter:
    """Promotes endpoints for one coordinator and keeps which calls are unsettled.

    All unsettled calls of a database name the endpoint that is assigned to it, as no
    other one is promoted before they are settled.

    Parameters
    ----------
    coordinator : Coordinator
        The coordinator whose epoch is the fencing token.
    promotion_client : object
        Client of the platform's promotion API.
    record : callable
        Coroutine function that takes a database and its assignment and returns whether
        the store has it.
    """

    def __init__(self, *, coordinator, promotion_client, record) -> None:
        self.coordinator = coordinator
        self._record = record
        self.promotion_client = promotion_client
        self.gateway = coordinator.local_member.gateway
        self._settled_at: dict[str, float] = {}

    def is_settled(self, database: str, now: float) -> bool:
        """Return whether no call for a database may still be carried out late."""
        return now >= self._settled_at.get(database, float("-inf"))

    def inherit(self, databases: dict) -> None:
        """Take over the calls of earlier coordinators, as their assignments show.

        Parameters
        ----------
        databases : dict of str to Assignment
            Assignments that the earlier coordinator recorded.
        """
        ended_at = self.coordinator.grant_table.predecessor_ended_at
        settled_at = ended_at + timing.AUTHORITY_SECONDS + LATE_CALL_SECONDS
        for database, entry in databases.items():
            # Without an endpoint it is a finding of the recovery, not of a change.
            if entry.unsettled or (entry.promoting and entry.endpoint):
                self._settled_at[database] = settled_at

    async def promote(self, database: str, entry):
        """Promote an endpoint.

        Returns
        -------
        ReplicationStatus or None
            Its status as the primary; None if it does not lead in time.
        """
        now = clocks.read_clock()
        deadline = now + EFFECT_SECONDS
        outcome = Outcome.NOT_DONE
        if not self.is_settled(database, now):
            status = await self._ask(database, entry)
            if status is not None:
                return status
            outcome = Outcome.UNKNOWN
        while (now := clocks.read_clock()) < deadline:
            registered = self._is_registered(database, entry.endpoint)
            if not registered or not self.coordinator.may_change(now):
                return None
            if outcome is not Outcome.DONE:
                entry = await self._prepare_call(database, entry, outcome)
                if entry is None:
                    return None
                outcome = await self._call(database, entry.endpoint)
            if outcome is Outcome.REFUSED:
                return None
            if outcome is Outcome.NOT_DONE:
                await asyncio.sleep(CALL_PAUSE_SECONDS)
                continue
            status = await self._ask(database, entry)
            if status is not None:
                return status
            await asyncio.sleep(EFFECT_CHECK_SECONDS)
        return None

    async def _prepare_call(self, database: str, entry, outcome: Outcome):
        """Record that a call without an answer is about to be repeated.

        Returns
        -------
        Assignment or None
            The assignment as recorded; None if the store did not take it, or the
            endpoint is registered no more.
        """
        if outcome is not Outcome.UNKNOWN or entry.unsettled:
            return entry
        entry = attrs.evolve(entry, unsettled=True)
        if not await self._record(database, entry):
            return None
        return entry if self._is_registered(database, entry.endpoint) else None

    async def _ask(self, database: str, entry):
        """Return the status of an endpoint that leads a later term, else None.

        It leads because of the only call that was made, unless there were several.
        """
        endpoints = self.list_endpoints(database)
        endpoint = endpoints.pop(entry.endpoint, None)
        if endpoint is None:
            return None
        status = await replication.ask_promoted(
            self.gateway, endpoint, list(endpoints.values()), entry.term
        )
        if status is not None and not entry.unsettled:
            self._settled_at.pop(database, None)
        return status

    async def _call(self, database: str, endpoint: str) -> Outcome:
        answer = await self.promotion_client.promote(
            database, endpoint, self.coordinator.record.epoch, CALL_TIMEOUT_SECONDS
        )
        outcome = find_outcome(answer)
        if outcome is Outcome.UNKNOWN:
            self._settled_at[database] = clocks.read_clock() + LATE_CALL_SECONDS
        if outcome is not Outcome.DONE:
            logs.write(
                logs.LogEvent.PROMOTION_FAILED,
                {
                    "database": database,
                    "endpoint": endpoint,
                    "status": answer.err_value.status,
                    "reason": answer.err_value.reason,
                    "outcome": outcome.value,
                },
            )
        return outcome

    def log_wait(self, database: str, endpoint: str) -> None:
        """Log that an endpoint is not replaced before its calls are settled."""
        remaining = self._settled_at[database] - clocks.read_clock()
        logs.write(
            logs.LogEvent.PROMOTION_UNSETTLED,
            {
                "database": database,
                "endpoint": endpoint,
                "seconds": round(remaining, 3),
            },
        )

    def _is_registered(self, database: str, endpoint: str) -> bool:
        return endpoint in self.list_endpoints(database)

    def list_endpoints(self, database: str) -> dict:
        """Return the registered endpoints of a database, by id."""
        return {
            endpoint.id: endpoint
            for endpoint in self.gateway.board.endpoints.values()
            if endpoint.database == database
        }


def find_outcome(answer) -> Outcome:
    """Return what an answer of the promotion API tells of the call.

    Parameters
    ----------
    answer : Result
        Its error has the status of the answer, or one for a call without an answer.
    """
    if answer.is_ok():
        return Outcome.DONE
    status = answer.err_value.status
    if status == REFUSED_STATUS:
        return Outcome.REFUSED
    if status < SERVER_ERROR_STATUS or status == NOT_SENT_STATUS:
        return Outcome.NOT_DONE
    return Outcome.UNKNOWN
