"""Log positions of the primary that bound the staleness of replica reads.

An observation (time, position) states that every commit acknowledged before
the time is at or before the position. It comes from an answer of the primary
to a message sent at that time. A read with a staleness bound of ``s`` seconds
may run on any endpoint whose log contains the position of an observation that
is at most ``s`` seconds old.
"""

import collections

import attrs

from hyssopshelf.gateway import statements

KEPT_SECONDS = 10.0
"""Age up to which observations are kept; longer than all known staleness bounds."""

SPACING_SECONDS = 0.05
"""Minimum time between two kept observations; a closer one replaces the last."""


@attrs.define(kw_only=True)
class PrimaryPositions:
    """Observed log positions of one database's primary during one term.

    Attributes
    ----------
    term : int
        Term that the observations belong to.
    first_position : LogPosition or None
        Lowest position observed in the term. The log up to it contains all
        commits that the term took over from earlier terms.
    observations : deque of (float, LogPosition)
        Sending time and position of each observation, in ascending order.
    latest_local : (float, LogPosition) or None
        Newest observation that this node made itself.
    """

    term: int = 0
    first_position: statements.LogPosition | None = None
    observations: collections.deque = attrs.field(factory=collections.deque)
    latest_local: tuple[float, statements.LogPosition] | None = None

    def start_term(self, term: int) -> None:
        """Discard the observations of earlier terms and start a new term."""
        self.term = term
        self.first_position = None
        self.latest_local = None
        self.observations.clear()

    def add_local(self, position: statements.LogPosition, sent_at: float) -> None:
        """Add an observation of this node, which also reports it to the others."""
        self.add(position, sent_at)
        if self.latest_local is None or sent_at > self.latest_local[0]:
            self.latest_local = (sent_at, position)

    def add(self, position: statements.LogPosition, sent_at: float) -> None:
        """Add an observation of any node; one that is not the newest is ignored.

        Parameters
        ----------
        position : LogPosition
            Position in the primary's answer.
        sent_at : float
            Clock time at which the message to the primary was sent, in seconds.
        """
        if self.first_position is None or position < self.first_position:
            self.first_position = position
        observations = self.observations
        if observations and sent_at <= observations[-1][0]:
            return
        if observations and position < observations[-1][1]:
            position = observations[-1][1]
        if len(observations) > 1 and sent_at - observations[-2][0] < SPACING_SECONDS:
            observations[-1] = (sent_at, position)
        else:
            observations.append((sent_at, position))
        while observations and observations[0][0] < sent_at - KEPT_SECONDS:
            observations.popleft()

    def find_bound(self, oldest: float) -> tuple[statements.LogPosition | None, float]:
        """Return the lowest position that covers all commits before a time.

        Parameters
        ----------
        oldest : float
            Clock time, in seconds; older observations are not used.

        Returns
        -------
        position : LogPosition or None
            None if no observation is recent enough.
        time : float
            Sending time of the observation, 0 without one.
        """
        for sent_at, position in self.observations:
            if sent_at >= oldest:
                return position, sent_at
        return None, 0.0

    def get_last_time(self) -> float:
        """Return the time of the newest observation, negative infinity without one."""
        return self.observations[-1][0] if self.observations else float("-inf")

    def get_last_position(self) -> statements.LogPosition | None:
        """Return the newest observed position, or None without observations."""
        return self.observations[-1][1] if self.observations else None

    def translate(
        self, position: statements.LogPosition | None
    ) -> statements.LogPosition | None:
        """Return the position of this term that covers a session's position.

        The end of an earlier term's log may have been discarded when the primary
        changed. What was kept of it lies before the first position of this term.

        Returns
        -------
        LogPosition or None
            The position itself unless its term is earlier; None for no position,
            or if no position of this term was observed yet.
        """
        if position is None or position.term >= self.term:
            return position
        return self.first_position
