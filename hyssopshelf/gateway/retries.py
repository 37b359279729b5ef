"""Decides where and when work that failed at an endpoint is tried again.

Work that needs the primary has no other endpoint: it waits for the next primary, or
tries the same one again after a pause. It fails at once only if the primary is
overloaded. Other work goes to another endpoint.
"""

import attrs

from hyssopshelf import exceptions

RETRY_PAUSE_SECONDS = 0.15
"""Pause before a retry at the same primary, in seconds; about the time of one more
attempt across regions with a new connection."""

_KIND = exceptions.ErrorKind

OVERLOADED = frozenset({_KIND.REFUSED, _KIND.NOT_RUN, _KIND.FULL})
"""Errors of an overloaded endpoint, to which a retry would only add load."""


@attrs.define(kw_only=True)
class RetryState:
    """Holds what the failed attempts of a unit of work mean for the next one.

    Attributes
    ----------
    needs_primary : bool
        Whether only the primary may run the work.
    excluded : set of str
        Endpoints that are not tried again.
    failed_version : int
        Version of the primary grant under which the work last failed, 0 for none.
    retry_at : float
        Time from which the primary is tried again under that version.
    """

    needs_primary: bool
    excluded: set[str] = attrs.field(factory=set)
    failed_version: int = 0
    retry_at: float = 0.0

    def record_failure(
        self, endpoint: str, version: int, kind: exceptions.ErrorKind, now: float
    ) -> None:
        """Record that an endpoint did not run the work.

        Parameters
        ----------
        version : int
            Version of the primary grant, 0 at a replica.
        """
        if self.needs_primary and kind not in OVERLOADED:
            self.failed_version = version
            self.retry_at = now + RETRY_PAUSE_SECONDS
        else:
            self.excluded.add(endpoint)

    def find_retry_time(self, version: int, now: float) -> float:
        """Return the earliest time at which an endpoint may be tried."""
        if version and version == self.failed_version:
            return max(now, self.retry_at)
        return now
