"""Lower bounds on the primary's log that make reads on replicas fresh enough.

An observation (time, position) states that every commit acknowledged before
the time is at or before the position. It comes from an answer of the primary
to a message sent at that time. A read that may be ``s`` seconds old is right on
any endpoint whose log contains the position of an observation that is at most
``s`` seconds old.
"""

import collections

import attrs

from hyssopshelf.gateway import statements

KEPT_SECONDS = 10.0
"""Age up to which observations are kept, above all known staleness bounds."""

SPACING_SECONDS = 0.05
"""Least time between two kept observations; closer ones replace the last."""


@attrs.define(kw_only=True)
class PrimaryPositions:
    """Observations of one database's log in the term of one primary.

    Attributes
    ----------
    term : int
        Term that the observations belong to.
    first : LogPosition or None
        First position seen in the term. It contains all that the term took
        over, so it stands for positions of earlier terms.
    latest_own : (float, LogPosition) or None
        Newest observation that this node made itself.
    """

    term: int = 0
    first_position: statements.LogPosition | None = None
    observations: collections.deque = attrs.field(factory=collections.deque)
    latest_local: tuple[float, statements.LogPosition] | None = None

    def start_term(self, term: int) -> None:
        """Forget the observations of earlier terms."""
        self.term = term
        self.first_position = None
        self.latest_local = None
        self.observations.clear()

    def add_local(self, position: statements.LogPosition, sent_at: float) -> None:
        """Add an observation of this node, which it reports to others."""
        self.add(position, sent_at)
        if self.latest_local is None or sent_at > self.latest_local[0]:
            self.latest_local = (sent_at, position)

    def add(self, position: statements.LogPosition, sent_at: float) -> None:
        """Add that the primary held a position after a message sent at a time."""
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
        """Return the least position that covers commits before ``oldest``.

        Returns
        -------
        position : LogPosition or None
            None if no observation is recent enough.
        time : float
            Time of the observation.
        """
        for sent_at, position in self.observations:
            if sent_at >= oldest:
                return position, sent_at
        return None, 0.0

    def get_last_time(self) -> float:
        """Return the time of the newest observation."""
        return self.observations[-1][0] if self.observations else float("-inf")

    def get_last_position(self) -> statements.LogPosition | None:
        """Return the newest observed position."""
        return self.observations[-1][1] if self.observations else None

    def translate(
        self, position: statements.LogPosition | None
    ) -> statements.LogPosition | None:
        """Return a position of this term that stands for one of a session.

        A position of an earlier term may have been discarded by the change of
        primary; what was kept of it is before the first position of the term.
        """
        if position is None or position.term >= self.term:
            return position
        return self.first_position
