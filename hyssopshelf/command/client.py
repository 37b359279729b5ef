"""HTTP client of the operators' command-line tool."""

import asyncio
import json
import urllib.parse

import attrs
import tornado.httpclient

from hyssopshelf import exceptions

TIMEOUT_MARGIN_SECONDS = 2.0
"""Time added to that of the request for the client's timeout, in seconds.

It is the connect timeout too.
"""

MAXIMUM_BODY_BYTES = 64 * 1024 * 1024
"""Largest response body that is accepted, in bytes."""


class NoServerError(exceptions.HyssopshelfError):
    """Raised when no server answered.

    Parameters
    ----------
    message : str
        Text for the operator.
    maybe_received : bool
        Whether a server may have received the request.
    """

    def __init__(self, message: str, maybe_received: bool) -> None:
        super().__init__(message)
        self.maybe_received = maybe_received


@attrs.frozen(kw_only=True)
class Response:
    """Status and JSON body of an HTTP response."""

    status: int
    body: dict


@attrs.frozen(kw_only=True)
class Client:
    """Sends each request to the first of several servers that answers.

    Attributes
    ----------
    servers : tuple of str
        Base URLs, tried in order. The next one is tried only without an answer
        from the previous one. A server may have run the request then; changes
        carry a change id, so that a repetition takes effect once.
    timeout_seconds : float
        Time that the server has for a request.
    report : callable
        Called with a message for each server that did not answer.
    """

    servers: tuple[str, ...]
    timeout_seconds: float
    report: object = print

    def call(
        self, method: str, path: str, query: dict | None = None, body: object = None
    ) -> Response:
        """Send a request and return the response of the first server that answers.

        Raises
        ------
        NoServerError
            If no server answered.
        """
        parameters = {"seconds": f"{self.timeout_seconds:g}"} | (query or {})
        target = f"{path}?{urllib.parse.urlencode(parameters)}"
        return asyncio.run(self._try_servers(method, target, body))

    async def _try_servers(self, method: str, target: str, body: object) -> Response:
        maybe_received = False
        for server in self.servers:
            try:
                return await self._fetch(method, server.rstrip("/") + target, body)
            except (OSError, tornado.httpclient.HTTPError, ValueError) as error:
                maybe_received = maybe_received or not isinstance(
                    error, ConnectionRefusedError
                )
                self.report(f"{server}: no answer: {error}")
        servers = ", ".join(self.servers)
        raise NoServerError(f"no answer from {servers}", maybe_received)

    async def _fetch(self, method: str, url: str, body: object) -> Response:
        request = tornado.httpclient.HTTPRequest(
            url,
            method=method,
            body=None if body is None else json.dumps(body),
            headers={"Content-Type": "application/json"},
            allow_nonstandard_methods=True,
            connect_timeout=TIMEOUT_MARGIN_SECONDS,
            request_timeout=self.timeout_seconds + TIMEOUT_MARGIN_SECONDS,
        )
        client = tornado.httpclient.AsyncHTTPClient(
            force_instance=True, max_body_size=MAXIMUM_BODY_BYTES
        )
        try:
            response = await client.fetch(request, raise_error=False)
        finally:
            client.close()
        # Tornado reports a failed or timed-out connection as status 599.
        if response.error is not None and response.code == 599:
            raise response.error
        return Response(status=response.code, body=json.loads(response.body))
