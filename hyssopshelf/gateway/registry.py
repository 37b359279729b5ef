"""The newest entry of each endpoint, while the registry shows older ones.

A registry that returns from an older copy shows an endpoint that leaves as ready until
the endpoint has written its entry again.
"""

from hyssopshelf.gateway import catalog

OLDER_SECONDS = 4.0
"""Time for which a newer entry is preferred to the registry's; endpoints write theirs
again within about two seconds."""


class EndpointHistory:
    """Remembers the registered endpoints."""

    def __init__(self) -> None:
        self._latest: dict[str, catalog.Endpoint] = {}
        self._older_since: dict[str, float] = {}

    def merge(
        self, found: dict[str, catalog.Endpoint], now: float
    ) -> dict[str, catalog.Endpoint]:
        """Return the newest entry of each endpoint that the registry has.

        Entries of one incarnation are in the order of their sequence. Incarnations are
        in no order that is known here, as clocks differ, so another one is newer.

        Parameters
        ----------
        found : dict of str to Endpoint
            Endpoints of the registry by id.
        now : float
            Reading of the clock, in seconds.
        """
        merged = {
            endpoint_id: self._choose(endpoint, now)
            for endpoint_id, endpoint in found.items()
        }
        self._latest = merged
        self._older_since = {
            endpoint_id: since
            for endpoint_id, since in self._older_since.items()
            if endpoint_id in merged
        }
        return dict(merged)

    def _choose(self, endpoint: catalog.Endpoint, now: float) -> catalog.Endpoint:
        known = self._latest.get(endpoint.id)
        if (
            known is not None
            and known.started == endpoint.started
            and known.sequence > endpoint.sequence
        ):
            since = self._older_since.setdefault(endpoint.id, now)
            if now - since < OLDER_SECONDS:
                return known
        self._older_since.pop(endpoint.id, None)
        return endpoint
