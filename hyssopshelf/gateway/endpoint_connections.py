"""Connections to endpoints, with one exchange of messages at a time.

A peer can vanish without a reset, for example when its host loses power, so TCP
timeouts are set short.
"""

import asyncio
import socket

from hyssopshelf import clocks, exceptions
from hyssopshelf.gateway import session_state, statements

USER_TIMEOUT_MILLISECONDS = 2000
"""Time after which the kernel closes a connection with unacknowledged data."""

KEEPALIVE_SECONDS = 1
"""Idle time before the first keep-alive probe and between probes."""

KEEPALIVE_PROBES = 3
"""Unanswered keep-alive probes after which the kernel closes a connection."""


def tune_socket(transport: asyncio.BaseTransport) -> None:
    """Disable Nagle's algorithm and detect a peer that vanished without a reset."""
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
        Cause, for the log.
    sent : bool
        Whether the message may have reached the endpoint.
    endpoint_fault : bool
        Whether the endpoint is at fault, not a node that forwards to it.
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
        Values and prepared statements that the endpoint holds for the connection.
    used_at : float
        Clock time of the start of the last exchange, in seconds.
    direct : bool
        Whether the connection is this node's own, not one at another node.
    customer : str
        Customer in whose name the session was started, the only one that it serves;
        empty for the gateway's own.
    queued_seconds : float
        Part of the last exchange that was spent in a holder's queue; 0 if direct.
    in_transaction : bool
        Whether a transaction was open after the last reply.
    """

    def __init__(self, *, endpoint, codec, customer: str = "") -> None:
        self.endpoint = endpoint
        self.codec = codec
        self.customer = customer
        self.in_transaction = False
        self.state = session_state.ConnectionState()
        self.used_at = clocks.read_clock()
        self.closed = False
        self.direct = True
        self.queued_seconds = 0.0
        self._transport: asyncio.Transport | None = None
        self._buffer = b""
        self._expected_replies = 0
        self._reply = statements.Reply()
        self._replies: list[statements.Reply] = []
        self._waiter: asyncio.Future | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the socket options."""
        self._transport = transport
        tune_socket(transport)

    def data_received(self, data: bytes) -> None:
        """Collect replies and end the exchange after the last expected one."""
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
        """Fail the exchange in progress."""
        self._fail(repr(exc) if exc else "closed by the endpoint")

    def exchange(self, data: bytes, replies: int) -> asyncio.Future:
        """Send messages and return a future with the list of their replies.

        The future fails with EndpointConnectionError if the connection ends first.
        No other exchange may be in progress.

        Parameters
        ----------
        data : bytes
            Encoded messages.
        replies : int
            Number of replies to wait for.
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
        """Synchronize the session state, send one message and return its reply.

        The messages that set the state go out together with the statement, so
        that they cost no further round trip.

        Parameters
        ----------
        state : SessionState
            Values that the statement needs on the connection.
        shape : Shape or None
            Prepared statement that it executes.
        build_message : callable
            Takes the name of the prepared statement, empty without one, and
            returns the message.
        deadline : float
            Clock time in seconds.

        Raises
        ------
        EndpointConnectionError
            If the connection ended, the state could not be set, or no answer came
            in time; the connection is closed.
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
        """Close the connection, which rolls back an open transaction."""
        self._fail("closed by the gateway")

    def _receive(self, line: bytes) -> None:
        if self._waiter is None:
            raise exceptions.CodecError(f"unexpected message {line[:40]!r}")
        if self.codec.feed(self._reply, line):
            self._replies.append(self._reply)
            self.in_transaction = self._reply.state != b"I"
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
            # The endpoint refuses a session by an error line and a close.
            reason = self._reply.error.value
        if self._transport is not None:
            self._transport.close()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(EndpointConnectionError(reason))
        self._waiter = None


async def open_connection(
    endpoint, codec, seconds: float, customer: str = ""
) -> EndpointConnection:
    """Connect to an endpoint and start a session there.

    Parameters
    ----------
    seconds : float
        Timeout of connecting and starting together.
    customer : str
        Customer in whose name the session is started.

    Raises
    ------
    EndpointConnectionError
        If the endpoint cannot be reached, refuses, or does not answer in time.
    """
    host, _, port = endpoint.address.rpartition(":")
    loop = asyncio.get_running_loop()
    connection = EndpointConnection(endpoint=endpoint, codec=codec, customer=customer)
    try:
        async with asyncio.timeout(seconds):
            await loop.create_connection(lambda: connection, host, int(port))
            await connection.exchange(
                codec.format_start(endpoint.database, endpoint.id, customer), 1
            )
    except TimeoutError as error:
        connection.close()
        raise EndpointConnectionError("session start timed out") from error
    except (OSError, ValueError, OverflowError) as error:
        # The address may be one that the system cannot use.
        connection.close()
        raise EndpointConnectionError(repr(error)) from error
    except asyncio.CancelledError:
        connection.close()
        raise
    return connection
