"""A database instance as a process: the pure instance behind tornado."""

import asyncio
import itertools

import attrs
import tornado.escape
import tornado.httpclient
import tornado.httpserver
import tornado.iostream
import tornado.netutil
import tornado.web
import tornado.websocket

from hyssopshelf import exceptions, messages
from hyssopshelf.runtime import wire
from hyssopshelf.standins import database

REPLICATION_PATH = "/v1/replication"
FAULTS_PATH = "/v1/faults"
HOLD_SECONDS = 0.02
"""Time for which a primary holds a fetch that has nothing to return."""

RETRY_SECONDS = 0.05
"""Pause of a replica after a failed fetch, in seconds."""

FETCH_TIMEOUT_SECONDS = 1.0
"""Time after which a replica gives up a fetch, in seconds."""

_CONNECTIONS = itertools.count()


@attrs.define(kw_only=True)
class EndpointServer:
    """Serves an instance on a loopback port.

    Parameters
    ----------
    instance : database.Instance
        The instance.
    slots : int
        Requests that run at the same time; further ones wait in their order.
    service_seconds : float
        Time that a request takes.
    connect_seconds : float
        Time to accept a connection.
    peers : dict of str to str
        Addresses of the other instances of the group by full name.
    """

    instance: database.Instance
    slots: int = 3
    service_seconds: float = 0.002
    connect_seconds: float = 0.01
    peers: dict[str, str] = attrs.field(factory=dict)
    address: str = ""
    frozen: bool = False
    executed: int = 0
    _semaphore: asyncio.Semaphore | None = attrs.field(default=None, init=False)
    _server: tornado.httpserver.HTTPServer | None = attrs.field(
        default=None, init=False
    )
    _replication: asyncio.Task | None = attrs.field(default=None, init=False)

    def start(self, port: int = 0, host: str = "127.0.0.1") -> None:
        """Listen on a loopback address and start to replicate."""
        self._semaphore = asyncio.Semaphore(self.slots)
        arguments = {"server": self}
        application = tornado.web.Application(
            [
                (wire.CONNECTION_PATH, ConnectionHandler, arguments),
                (wire.CONTROL_PATH, ControlHandler, arguments),
                (REPLICATION_PATH, ReplicationHandler, arguments),
                (FAULTS_PATH, FaultHandler, arguments),
            ],
            log_function=lambda handler: None,
        )
        sockets = tornado.netutil.bind_sockets(port, host)
        self._server = tornado.httpserver.HTTPServer(application)
        self._server.add_sockets(sockets)
        self.address = f"{host}:{sockets[0].getsockname()[1]}"
        self._replication = asyncio.ensure_future(self._replicate())

    async def stop(self) -> None:
        """Close all connections."""
        self._replication.cancel()
        self._server.stop()
        await self._server.close_all_connections()

    @property
    def now(self) -> float:
        """Return the instance's clock, in seconds."""
        return asyncio.get_running_loop().time()

    async def execute(
        self, connection: str, request: messages.EndpointRequest
    ) -> messages.EndpointAnswer:
        """Run a request in a slot."""
        async with self._semaphore:
            if self.service_seconds > 0:
                await asyncio.sleep(self.service_seconds)
            self.executed += 1
            return self.instance.execute(connection, request, self.now)

    async def _replicate(self) -> None:
        while True:
            request = self.instance.request_fetch(self.now)
            address = self.peers.get(self.instance.primary)
            if request is None or address is None or self.frozen:
                await asyncio.sleep(RETRY_SECONDS)
                continue
            try:
                await self._follow(address, self.instance.primary)
            except (TimeoutError, OSError, *_CLIENT_ERRORS):
                await asyncio.sleep(RETRY_SECONDS)

    async def _follow(self, address: str, primary: str) -> None:
        """Fetch from one primary until it changes or fails."""
        url = f"ws://{address}{REPLICATION_PATH}"
        socket = await asyncio.wait_for(
            tornado.websocket.websocket_connect(url), FETCH_TIMEOUT_SECONDS
        )
        try:
            while self.instance.primary == primary and not self.frozen:
                request = self.instance.request_fetch(self.now)
                if request is None:
                    return
                sent_at = self.now
                await socket.write_message(messages.to_json(request).decode())
                data = await asyncio.wait_for(
                    socket.read_message(), FETCH_TIMEOUT_SECONDS
                )
                if not data:
                    return
                answer = messages.from_json(data, database.FetchAnswer)
                self.instance.receive_fetch(answer, sent_at, self.now)
        finally:
            socket.close()


class _Handler(tornado.websocket.WebSocketHandler):
    """Base of the websocket handlers."""

    def initialize(self, server: EndpointServer) -> None:
        self.server = server

    def check_origin(self, origin: str) -> bool:
        return True


class ConnectionHandler(_Handler):
    """A data connection; requests run one at a time."""

    async def open(self) -> None:
        """Accept the connection unless the limit is reached."""
        self.set_nodelay(True)
        self.name = f"c{next(_CONNECTIONS)}"
        self.requests: asyncio.Queue = asyncio.Queue()
        self.worker = None
        if not self.server.instance.open_connection(self.name):
            self.close(code=wire.FULL_CLOSE_CODE, reason="no connection left")
            return
        await asyncio.sleep(self.server.connect_seconds)
        self.worker = asyncio.ensure_future(self._work())
        greeting = wire.Greeting(name=self.server.instance.name)
        await self._reply(greeting)

    def on_message(self, data: str | bytes) -> None:
        """Queue a request."""
        self.requests.put_nowait(messages.from_json(data, wire.RequestFrame))

    def on_close(self) -> None:
        """Roll back the connection's transaction."""
        if self.worker is not None:
            self.worker.cancel()
        self.server.instance.close_connection(self.name)

    async def _work(self) -> None:
        while True:
            frame = await self.requests.get()
            answer = await self.server.execute(self.name, frame.request)
            await self._reply(wire.AnswerFrame(id=frame.id, answer=answer))

    async def _reply(self, frame) -> None:
        try:
            await self.write_message(messages.to_json(frame).decode())
        except tornado.websocket.WebSocketClosedError:
            return


class ControlHandler(_Handler):
    """Control calls, multiplexed by id."""

    def open(self) -> None:
        """Send small frames at once."""
        self.set_nodelay(True)

    async def on_message(self, data: str | bytes) -> None:
        """Carry out a control call."""
        frame = messages.from_json(data, wire.ControlFrame)
        instance, now = self.server.instance, self.server.now
        if frame.fence is not None:
            answer = instance.fence(frame.fence, now)
        elif frame.promote is not None:
            answer = instance.promote(frame.promote, now)
        elif frame.follow is not None:
            answer = instance.follow(frame.follow, now)
        else:
            answer = messages.ControlAnswer(
                granted=True, status=instance.report_status(now)
            )
        reply = wire.ControlReply(
            id=frame.id, granted=answer.granted, status=answer.status
        )
        try:
            await self.write_message(messages.to_json(reply).decode())
        except tornado.websocket.WebSocketClosedError:
            return


class ReplicationHandler(_Handler):
    """Fetches of replicas."""

    def open(self) -> None:
        """Send small frames at once."""
        self.set_nodelay(True)

    async def on_message(self, data: str | bytes) -> None:
        """Answer a fetch; an empty frame tells that this is not the primary."""
        request = messages.from_json(data, database.FetchRequest)
        instance = self.server.instance
        deadline = self.server.now + HOLD_SECONDS
        while instance.position <= request.position and self.server.now < deadline:
            await asyncio.sleep(0.002)
        answer = instance.serve_fetch(request, self.server.now)
        body = messages.to_json(answer).decode() if answer is not None else ""
        try:
            await self.write_message(body)
        except tornado.websocket.WebSocketClosedError:
            return


class FaultHandler(tornado.web.RequestHandler):
    """Changes the instance's delays, for tests."""

    def initialize(self, server: EndpointServer) -> None:
        """Store the server."""
        self.server = server

    def post(self) -> None:
        """Set ``apply_delay_seconds``, ``service_seconds`` or ``frozen``."""
        values = tornado.escape.json_decode(self.request.body)
        if "apply_delay_seconds" in values:
            self.server.instance.apply_delay_seconds = values["apply_delay_seconds"]
        if "service_seconds" in values:
            self.server.service_seconds = values["service_seconds"]
        if "frozen" in values:
            self.server.frozen = values["frozen"]
        self.finish({"executed": self.server.executed})


_CLIENT_ERRORS = (
    exceptions.CodecError,
    tornado.httpclient.HTTPError,
    tornado.websocket.WebSocketError,
    tornado.websocket.WebSocketClosedError,
    tornado.iostream.StreamClosedError,
)
