"""HTTP client of the operators' command."""

import asyncio
import json
import urllib.parse

import attrs
import tornado.httpclient

from hyssopshelf import exceptions

MARGIN_SECONDS = 2.0
"""Time beyond that of the request after which a server is given up."""

MAXIMUM_BODY_BYTES = 64 * 1024 * 1024


class NoServerError(exceptions.HyssopshelfError):
    """No server answered.

    Parameters
    ----------
    message : str
        Explanation for the operator.
    sent : bool
        A server may have received the request.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


@attrs.frozen(kw_only=True)
class Response:
    """Status and JSON body of an answer."""

    status: int
    body: dict


@attrs.frozen(kw_only=True)
class Client:
    """Calls one of several servers.

    Attributes
    ----------
    servers : tuple of str
        Base addresses, tried in order. The next one is tried only if no
        answer came; changes carry a change id, so that this is safe.
    seconds : float
        Time given to a request.
    report : callable
        Receives a line for each server that could not be reached.
    """

    servers: tuple[str, ...]
    seconds: float
    report: object = print

    def call(
        self, method: str, path: str, query: dict | None = None, body: object = None
    ) -> Response:
        """Send a request and return the answer of the first server reached.

        Raises
        ------
        NoServerError
            If no server answered.
        """
        fields = {"seconds": f"{self.seconds:g}"} | (query or {})
        target = f"{path}?{urllib.parse.urlencode(fields)}"
        return asyncio.run(self._try_servers(method, target, body))

    async def _try_servers(self, method: str, target: str, body: object) -> Response:
        sent = False
        for server in self.servers:
            try:
                return await self._fetch(method, server.rstrip("/") + target, body)
            except (OSError, tornado.httpclient.HTTPError, ValueError) as error:
                sent = sent or not isinstance(error, ConnectionRefusedError)
                self.report(f"{server}: no answer: {error}")
        names = ", ".join(self.servers)
        raise NoServerError(f"no answer from {names}", sent)

    async def _fetch(self, method: str, url: str, body: object) -> Response:
        request = tornado.httpclient.HTTPRequest(
            url,
            method=method,
            body=None if body is None else json.dumps(body),
            headers={"Content-Type": "application/json"},
            allow_nonstandard_methods=True,
            connect_timeout=MARGIN_SECONDS,
            request_timeout=self.seconds + MARGIN_SECONDS,
        )
        client = tornado.httpclient.AsyncHTTPClient(
            force_instance=True, max_body_size=MAXIMUM_BODY_BYTES
        )
        try:
            response = await client.fetch(request, raise_error=False)
        finally:
            client.close()
        # A status of 599 means that the connection failed or timed out.
        if response.error is not None and response.code == 599:
            raise response.error
        return Response(status=response.code, body=json.loads(response.body))
