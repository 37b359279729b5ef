"""Deadlines after which endpoints that leave are sent no more requests.

The bound counts from the acknowledgement of an endpoint's report, which no node sees.
Each node counts from the latest time at which it knows that the registry did not show
the report yet, so its deadline is never too late, and keeping it needs no other node.
"""

import attrs

from hyssopshelf.gateway import catalog

MARGIN_SECONDS = 0.25
"""Time before the bound at which sending ends. It covers the way to the endpoint, and
clocks that run at different rates."""

REMEMBERED_SECONDS = 60.0
"""Time for which an endpoint that the registry has lost is remembered; its entry may
come back and show a report that was made before."""

UNKNOWN = float("-inf")
"""Deadline of an endpoint whose report may be of any age."""


@attrs.define(kw_only=True)
class LeaveDeadlines:
    """Knows until when each endpoint may be sent requests.

    Times are readings of the clock, in seconds.

    Parameters
    ----------
    drain_seconds : float
        Time after the acknowledged report of an endpoint that leaves after which no
        request may reach it; infinite without a bound.

    Attributes
    ----------
    current_at : float
        Latest time at which the registry is known to have had the endpoints that were
        observed last.
    deadlines : dict of str to float
        Times from which endpoints that leave are sent no request, by id.
    """

    drain_seconds: float = float("inf")
    current_at: float = UNKNOWN
    deadlines: dict[str, float] = attrs.field(factory=dict)
    _lost: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    _ended: set[str] = attrs.field(factory=set)

    def observe(
        self,
        before: dict[str, catalog.Endpoint],
        endpoints: dict[str, catalog.Endpoint],
        read_at: float,
    ) -> None:
        """Apply the registry's entries.

        Parameters
        ----------
        before, endpoints : dict of str to Endpoint
            Entries that were observed last, and those of now, by id.
        read_at : float
            Time at which the store certainly had the new entries.
        """
        reported_now = self._find_deadline()
        self._remember_lost(before, endpoints, read_at, reported_now)
        deadlines = {}
        for endpoint in endpoints.values():
            _, known = self._lost.pop(endpoint.id, (0.0, reported_now))
            if endpoint.leaving:
                deadlines[endpoint.id] = self.deadlines.get(endpoint.id, known)
        self.deadlines = deadlines
        self.confirm(read_at)

    def confirm(self, read_at: float) -> None:
        """Record that the registry had the observed entries at a time."""
        self.current_at = max(self.current_at, read_at)

    def extend(self, deadlines: dict[str, float]) -> None:
        """Apply the deadlines of another node.

        It may have seen the registry without the report at a later time.
        """
        for endpoint_id, deadline in deadlines.items():
            known = self.deadlines.get(endpoint_id)
            if known is not None and deadline > known:
                self.deadlines[endpoint_id] = deadline

    def accepts(self, endpoint_id: str, now: float) -> bool:
        """Return whether an endpoint may be sent a request now."""
        deadline = self.deadlines.get(endpoint_id)
        return deadline is None or now < deadline

    def take_ended(self, now: float) -> list[str]:
        """Return the endpoints whose deadline has passed since the last call."""
        ended = {e for e, deadline in self.deadlines.items() if now >= deadline}
        found = sorted(ended - self._ended)
        self._ended = ended
        return found

    def list_remaining(self, now: float) -> dict[str, float]:
        """Return the seconds left for endpoints that leave, by id."""
        return {
            endpoint_id: deadline - now
            for endpoint_id, deadline in self.deadlines.items()
            if now < deadline < float("inf")
        }

    def _find_deadline(self) -> float:
        """Return the deadline of an endpoint whose report is new."""
        if self.drain_seconds == float("inf"):
            return float("inf")
        return self.current_at + self.drain_seconds - MARGIN_SECONDS

    def _remember_lost(
        self, before: dict, endpoints: dict, read_at: float, reported_now: float
    ) -> None:
        """Remember endpoints that are registered no more, for a time.

        One that was ready may have reported since it was seen last.
        """
        for endpoint_id in before.keys() - endpoints.keys():
            deadline = self.deadlines.get(endpoint_id, reported_now)
            self._lost[endpoint_id] = (read_at, deadline)
        self._lost = {
            endpoint_id: (lost_at, deadline)
            for endpoint_id, (lost_at, deadline) in self._lost.items()
            if read_at - lost_at < REMEMBERED_SECONDS
        }
