"""Client of the endpoints' websocket interface: connections, probes and control.

The protocol of the endpoints is confined to this module and ``wire``.
"""

import asyncio
import functools

import tornado.httpclient
import tornado.ioloop
import tornado.iostream
import tornado.websocket

from hyssopshelf import base, exceptions, messages
from hyssopshelf.runtime import wire

CONNECT_TIMEOUT_SECONDS = 2.0
"""Timeout for opening a connection, in seconds."""

CONTROL_TIMEOUT_SECONDS = 4.0
"""Timeout of a control call, in seconds. It is longer than the 2 s of failure
detection, because a late answer still shows that the endpoint is alive."""


class EndpointAdapter:
    """Opens connections to endpoints and sends requests and control calls.

    Parameters
    ----------
    emit : callable
        Called with each event of the adapter.
    find_address : callable
        Returns the ``IP:port`` of an endpoint by its full name, None if unknown.
    """

    def __init__(self, *, emit, find_address) -> None:
        self.emit = emit
        self.find_address = find_address
        self._connections: dict[str, tornado.websocket.WebSocketClientConnection] = {}
        self._control_channels: dict[str, ControlChannel] = {}
        self._tasks: set[asyncio.Task] = set()

    def open(self, endpoint: str, connection: str) -> None:
        """Start opening a connection; ConnectionOpened or ConnectionFailed follows."""
        self._spawn(self._run_connection(endpoint, connection))

    def execute(self, connection: str, request_id: str, request) -> None:
        """Send a request on an open connection.

        ConnectionClosed is emitted instead of an answer if the connection is closed.
        """
        socket = self._connections.get(connection)
        frame = wire.RequestFrame(id=request_id, request=request)
        if socket is None:
            self._emit_later(base.ConnectionClosed(connection=connection))
            return
        try:
            future = socket.write_message(messages.to_json(frame).decode())
        except tornado.websocket.WebSocketClosedError:
            self._emit_later(base.ConnectionClosed(connection=connection))
            return
        # A failed write also ends the read loop, which emits ConnectionClosed.
        future.add_done_callback(lambda done: done.exception())

    def close_connection(self, connection: str) -> None:
        """Close a connection without an event."""
        socket = self._connections.pop(connection, None)
        if socket is not None:
            socket.close()

    def probe(self, endpoint: str, probe_id: str) -> None:
        """Request an endpoint's status; emits exactly one StatusReceived."""
        self._spawn(self._probe(endpoint, probe_id))

    def call_control(self, endpoint: str, call_id: str, operation) -> None:
        """Send a control operation; emits exactly one ControlAnswered."""
        self._spawn(self._call_control(endpoint, call_id, operation))

    def close(self) -> None:
        """Cancel running calls and close all connections and control channels."""
        for task in list(self._tasks):
            task.cancel()
        for socket in list(self._connections.values()):
            socket.close()
        for channel in list(self._control_channels.values()):
            channel.close()

    def _spawn(self, coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _emit_later(self, event: base.Event) -> None:
        tornado.ioloop.IOLoop.current().add_callback(self.emit, event)

    async def _run_connection(self, endpoint: str, connection: str) -> None:
        socket = await self._connect(endpoint, connection)
        if socket is None:
            return
        self._connections[connection] = socket
        self.emit(base.ConnectionOpened(connection=connection))
        while (data := await socket.read_message()) is not None:
            try:
                frame = messages.from_json(data, wire.AnswerFrame)
            except exceptions.CodecError:
                break
            self.emit(
                base.EndpointAnswered(
                    connection=connection, request_id=frame.id, answer=frame.answer
                )
            )
        if self._connections.pop(connection, None) is not None:
            socket.close()
            self.emit(base.ConnectionClosed(connection=connection))

    async def _connect(self, endpoint: str, connection: str):
        address = self.find_address(endpoint)
        reason = "the address of the endpoint is not known"
        refused = False
        if address is not None:
            try:
                socket = await _open_socket(address, wire.CONNECTION_PATH)
                greeting = await asyncio.wait_for(
                    socket.read_message(), CONNECT_TIMEOUT_SECONDS
                )
                if greeting is not None:
                    return socket
                refused = socket.close_code == wire.CONNECTION_LIMIT_CLOSE_CODE
                reason = "the endpoint refused the connection"
            except _CONNECTION_ERRORS as error:
                reason = f"cannot connect: {error!r}"
        self.emit(
            base.ConnectionFailed(connection=connection, refused=refused, reason=reason)
        )
        return None

    async def _probe(self, endpoint: str, probe_id: str) -> None:
        reply = await self._exchange_control(endpoint, wire.ControlFrame(id=probe_id))
        self.emit(
            base.StatusReceived(
                endpoint=endpoint,
                probe_id=probe_id,
                status=reply.status if reply is not None else None,
            )
        )

    async def _call_control(self, endpoint: str, call_id: str, operation) -> None:
        reply = await self._exchange_control(
            endpoint, make_control_frame(operation, call_id)
        )
        answer = None
        if reply is not None:
            answer = messages.ControlAnswer(granted=reply.granted, status=reply.status)
        self.emit(
            base.ControlAnswered(endpoint=endpoint, call_id=call_id, answer=answer)
        )

    async def _exchange_control(
        self, endpoint: str, frame: wire.ControlFrame
    ) -> wire.ControlReply | None:
        address = self.find_address(endpoint)
        if address is None:
            return None
        channel = self._control_channels.get(address)
        if channel is None:
            channel = self._control_channels[address] = ControlChannel(address=address)
        try:
            return await asyncio.wait_for(
                channel.exchange(frame), CONTROL_TIMEOUT_SECONDS
            )
        except _CONNECTION_ERRORS:
            return None


class ControlChannel:
    """Websocket to an endpoint's control interface, opened by the first call.

    Calls are multiplexed by their ids.

    Parameters
    ----------
    address : str
        ``IP:port`` of the endpoint.
    """

    def __init__(self, *, address: str) -> None:
        self.address = address
        self._socket = None
        self._lock = asyncio.Lock()
        self._pending_replies: dict[str, asyncio.Future] = {}
        self._reader: asyncio.Task | None = None

    async def exchange(self, frame: wire.ControlFrame) -> wire.ControlReply:
        """Send a control call and return its reply.

        Raises
        ------
        ConnectionError
            If the channel closed before the reply arrived.
        """
        async with self._lock:
            if self._socket is None:
                self._socket = await _open_socket(self.address, wire.CONTROL_PATH)
                self._reader = asyncio.ensure_future(self._read(self._socket))
        future = asyncio.get_running_loop().create_future()
        self._pending_replies[frame.id] = future
        try:
            await self._socket.write_message(messages.to_json(frame).decode())
            return await future
        finally:
            self._pending_replies.pop(frame.id, None)

    def close(self) -> None:
        """Cancel the reader and close the websocket."""
        if self._reader is not None:
            self._reader.cancel()
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    async def _read(self, socket) -> None:
        while (data := await socket.read_message()) is not None:
            try:
                reply = messages.from_json(data, wire.ControlReply)
            except exceptions.CodecError:
                break
            future = self._pending_replies.get(reply.id)
            if future is not None and not future.done():
                future.set_result(reply)
        socket.close()
        if self._socket is socket:
            self._socket = None
        for future in self._pending_replies.values():
            if not future.done():
                future.set_exception(ConnectionError("control channel closed"))


@functools.singledispatch
def make_control_frame(operation, call_id: str) -> wire.ControlFrame:
    """Return a control operation as a frame with the id of the call."""
    raise NotImplementedError(type(operation).__name__)


@make_control_frame.register
def _(operation: messages.Fence, call_id: str) -> wire.ControlFrame:
    return wire.ControlFrame(id=call_id, fence=operation)


@make_control_frame.register
def _(operation: messages.Promote, call_id: str) -> wire.ControlFrame:
    return wire.ControlFrame(id=call_id, promote=operation)


@make_control_frame.register
def _(operation: messages.Follow, call_id: str) -> wire.ControlFrame:
    return wire.ControlFrame(id=call_id, follow=operation)


async def _open_socket(address: str, path: str):
    request = tornado.httpclient.HTTPRequest(
        f"ws://{address}{path}", connect_timeout=CONNECT_TIMEOUT_SECONDS
    )
    return await tornado.websocket.websocket_connect(request)


_CONNECTION_ERRORS = (
    OSError,
    TimeoutError,
    tornado.httpclient.HTTPError,
    tornado.websocket.WebSocketError,
    tornado.iostream.StreamClosedError,
)
