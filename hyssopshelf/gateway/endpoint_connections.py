"""One connection to an endpoint."""

import asyncio
import socket

from hyssopshelf import clocks, exceptions
from hyssopshelf.gateway import session_state, statements

USER_TIMEOUT_MILLISECONDS = 2000
"""Time after which the system gives up a connection whose peer acknowledges
nothing, in milliseconds."""

KEEPALIVE_SECONDS = 1
"""Idle time before and between keep-alive probes, in seconds."""

KEEPALIVE_PROBES = 3
"""Unanswered probes after which a connection is given up."""


def tune_socket(transport: asyncio.BaseTransport) -> None:
    """Make a connection notice a peer that is gone without a reset."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS
    )


class EndpointConnectionError(Exception):
    """A connection ended before all replies had arrived.

    Parameters
    ----------
    reason : str
        What was observed.
    sent : bool
        Whether the message may have reached the endpoint.
    endpoint_fault : bool
        Whether it tells about the endpoint, not about a host on the way.
    """

    def __init__(
        self, reason: str, *, sent: bool = True, endpoint_fault: bool = True
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.sent = sent
        self.endpoint_fault = endpoint_fault


class EndpointConnection(asyncio.Protocol):
    """A connection that carries one exchange at a time.

    Parameters
    ----------
    endpoint : Endpoint
        The endpoint at the other end.
    codec : object
        Codec of the endpoint's protocol.

    Attributes
    ----------
    state : ConnectionState
        Values and prepared statements that the connection holds.
    used_at : float
        Time of the last exchange.
    direct : bool
        Whether this node holds the connection itself.
    """

    def __init__(self, *, endpoint, codec) -> None:
        self.endpoint = endpoint
        self.codec = codec
        self.state = session_state.ConnectionState()
        self.used_at = clocks.read_clock()
        self.closed = False
        self.direct = True
        self._transport: asyncio.Transport | None = None
        self._buffer = b""
        self._expected_replies = 0
        self._reply = statements.Reply()
        self._replies: list[statements.Reply] = []
        self._waiter: asyncio.Future | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport
        tune_socket(transport)

    def data_received(self, data: bytes) -> None:
        """Collect replies; the exchange ends with the last expected one."""
        lines = (self._buffer + data).split(b"\r\n")
        self._buffer = lines.pop()
        if len(self._buffer) > self.codec.maximum_bytes:
            self._fail("message is too long")
            return
        try:
            for line in lines:
                self._receive(line)
        except (exceptions.CodecError, ValueError) as error:
            self._fail(str(error))

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange under way."""
        self._fail(repr(exc) if exc else "closed by the endpoint")

    def exchange(self, data: bytes, replies: int) -> asyncio.Future:
        """Send messages; the future holds their replies in order.

        The future fails with EndpointConnectionError if the connection ends first.
        """
        waiter = asyncio.get_running_loop().create_future()
        self.used_at = clocks.read_clock()
        if self.closed:
            waiter.set_exception(EndpointConnectionError("already closed"))
            return waiter
        self._waiter = waiter
        self._expected_replies = replies
        self._replies = []
        self._transport.write(data)
        return waiter

    async def run(
        self, state: session_state.SessionState, shape, build_message, deadline: float
    ) -> statements.Reply:
        """Correct the session state, send one message and return its reply.

        Raises
        ------
        EndpointConnectionError
            If the connection ended or did not answer in time; it is closed.
        """
        codec = self.codec
        session_setup = session_state.synchronize(self.state, state, shape)
        messages = []
        if session_setup.reset:
            messages.append(codec.format_reset())
        messages += [
            codec.format_value(name, value) for name, value in session_setup.values
        ]
        messages += [
            codec.format_prepare(name, text) for name, text in session_setup.prepare
        ]
        name = self.state.prepared.get(shape, b"") if shape is not None else b""
        messages.append(build_message(name))
        try:
            async with asyncio.timeout(max(0.0, deadline - clocks.read_clock())):
                replies = await self.exchange(b"".join(messages), len(messages))
        except TimeoutError as error:
            self.close()
            raise EndpointConnectionError("no answer in time") from error
        except asyncio.CancelledError:
            self.close()
            raise
        for setup_reply in replies[:-1]:
            if setup_reply.error is not None:
                self.close()
                raise EndpointConnectionError(
                    f"session state refused: {setup_reply.error.value}"
                )
        return replies[-1]

    def close(self) -> None:
        """Close the connection; an open transaction rolls back."""
        self._fail("closed by the gateway")

    def _receive(self, line: bytes) -> None:
        if self._waiter is None:
            raise exceptions.CodecError(f"unexpected message {line[:40]!r}")
        if self.codec.feed(self._reply, line):
            self._replies.append(self._reply)
            self._reply = statements.Reply()
            if len(self._replies) == self._expected_replies:
                waiter, self._waiter = self._waiter, None
                if not waiter.done():
                    waiter.set_result(self._replies)

    def _fail(self, reason: str) -> None:
        if self.closed:
            return
        self.closed = True
        if self._reply.error is not None and not self._replies:
            # A refused start is an error line followed by a close.
            reason = self._reply.error.value
        if self._transport is not None:
            self._transport.close()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(EndpointConnectionError(reason))
        self._waiter = None


async def open_connection(endpoint, codec, seconds: float) -> EndpointConnection:
    """Connect to an endpoint and start a session there.

    Raises
    ------
    EndpointConnectionError
        If the endpoint refuses or does not answer in time.
    """
    host, _, port = endpoint.address.rpartition(":")
    loop = asyncio.get_running_loop()
    connection = EndpointConnection(endpoint=endpoint, codec=codec)
    try:
        async with asyncio.timeout(seconds):
            await loop.create_connection(lambda: connection, host, int(port))
            await connection.exchange(
                codec.format_start(endpoint.database, endpoint.id), 1
            )
    except TimeoutError as error:
        connection.close()
        raise EndpointConnectionError("no answer to the start") from error
    except OSError as error:
        raise EndpointConnectionError(repr(error)) from error
    except asyncio.CancelledError:
        connection.close()
        raise
    return connection
