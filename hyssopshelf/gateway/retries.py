"""Pattern: work that needs the primary follows it to the next endpoint.

Other work goes to another endpoint after a failure. Work that needs the primary has
no other endpoint: it waits for the next primary, or tries the same one again after a
pause. It is refused at once only by a primary that is overloaded.
"""

import attrs

from hyssopshelf import exceptions

RETRY_PAUSE_SECONDS = 0.15
"""Pause before work goes to the same primary again, in seconds; about the time of
one more attempt across regions with a new connection."""

_KIND = exceptions.ErrorKind

OVERLOADED = frozenset({_KIND.REFUSED, _KIND.NOT_RUN, _KIND.FULL})
"""Outcomes that another attempt at the same endpoint would only make worse."""


@attrs.define(kw_only=True)
class RetryState:
    """Where a unit of work has been offered without success.

    Attributes
    ----------
    needs_primary : bool
        Whether only the primary may run the work.
    excluded : set of str
        Endpoints that are not tried again.
    failed_version : int
        Version of the assignment under which the primary failed the work.
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
        """Note that an endpoint did not run the work.

        Parameters
        ----------
        version : int
            Version of the belief in the primary, 0 at a replica.
        """
        if self.needs_primary and kind not in OVERLOADED:
            self.failed_version = version
            self.retry_at = now + RETRY_PAUSE_SECONDS
        else:
            self.excluded.add(endpoint)

    def find_retry_time(self, version: int, now: float) -> float:
        """Return the time from which an endpoint may be tried."""
        if version and version == self.failed_version:
            return max(now, self.retry_at)
        return now
