"""Server that runs a stand-in database instance behind websockets."""

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
LONG_POLL_SECONDS = 0.02
"""Time that a primary waits for entries before it answers a fetch without any,
in seconds."""

FETCH_RETRY_SECONDS = 0.05
"""Pause of a replica before it fetches again after a failure, in seconds."""

FETCH_TIMEOUT_SECONDS = 1.0
"""Timeout of a fetch and of the connection for it, in seconds."""

_CONNECTION_NUMBERS = itertools.count()


@attrs.define(kw_only=True)
class EndpointServer:
    """Serves an instance on a loopback port.

    Parameters
    ----------
    instance : database.Instance
        State of the instance.
    slots : int
        Requests that run at the same time; further ones wait in FIFO order.
    service_seconds : float
        Duration of a request in its slot.
    connect_seconds : float
        Delay before the greeting on a new connection.
    peers : dict of str to str
        Addresses of the other instances of the group by full name.
    address : str
        ``IP:port`` of the server once it listens.
    frozen : bool
        Whether replication is paused.
    executed : int
        Number of requests run so far.
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
        """Listen on a loopback address and start replication."""
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
        """Stop replication and listening, and close all connections."""
        self._replication.cancel()
        self._server.stop()
        await self._server.close_all_connections()

    @property
    def now(self) -> float:
        """Return the time of the event loop, in seconds."""
        return asyncio.get_running_loop().time()

    async def execute(
        self, connection: str, request: messages.EndpointRequest
    ) -> messages.EndpointAnswer:
        """Wait for a slot and run a request in it."""
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
                await asyncio.sleep(FETCH_RETRY_SECONDS)
                continue
            try:
                await self._fetch_from(address, self.instance.primary)
            except (TimeoutError, OSError, *_FETCH_ERRORS):
                await asyncio.sleep(FETCH_RETRY_SECONDS)

    async def _fetch_from(self, address: str, primary: str) -> None:
        """Fetch from one primary until another one replaces it or a fetch fails."""
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
    """Base class of the websocket handlers."""

    def initialize(self, server: EndpointServer) -> None:
        self.server = server

    def check_origin(self, origin: str) -> bool:
        return True


class ConnectionHandler(_Handler):
    """A connection for requests, which run one at a time in order of arrival."""

    async def open(self) -> None:
        """Accept the connection, or close it if the limit is reached."""
        self.set_nodelay(True)
        self.name = f"c{next(_CONNECTION_NUMBERS)}"
        self.requests: asyncio.Queue = asyncio.Queue()
        self.worker = None
        if not self.server.instance.open_connection(self.name):
            self.close(
                code=wire.CONNECTION_LIMIT_CLOSE_CODE, reason="no connection left"
            )
            return
        await asyncio.sleep(self.server.connect_seconds)
        self.worker = asyncio.ensure_future(self._run_requests())
        greeting = wire.Greeting(name=self.server.instance.name)
        await self._reply(greeting)

    def on_message(self, data: str | bytes) -> None:
        """Append a request to the queue of the connection."""
        self.requests.put_nowait(messages.from_json(data, wire.RequestFrame))

    def on_close(self) -> None:
        """Release the connection and roll back its transaction."""
        if self.worker is not None:
            self.worker.cancel()
        self.server.instance.close_connection(self.name)

    async def _run_requests(self) -> None:
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
    """Runs control calls; replies carry the id of their call."""

    def open(self) -> None:
        """Disable Nagle's algorithm, so that small frames are sent at once."""
        self.set_nodelay(True)

    async def on_message(self, data: str | bytes) -> None:
        """Run a control call and reply with the status of the instance."""
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
    """Answers the fetches of replicas."""

    def open(self) -> None:
        """Disable Nagle's algorithm, so that small frames are sent at once."""
        self.set_nodelay(True)

    async def on_message(self, data: str | bytes) -> None:
        """Answer a fetch; an empty frame means that this is not the primary."""
        request = messages.from_json(data, database.FetchRequest)
        instance = self.server.instance
        deadline = self.server.now + LONG_POLL_SECONDS
        while instance.position <= request.position and self.server.now < deadline:
            await asyncio.sleep(0.002)
        answer = instance.serve_fetch(request, self.server.now)
        body = messages.to_json(answer).decode() if answer is not None else ""
        try:
            await self.write_message(body)
        except tornado.websocket.WebSocketClosedError:
            return


class FaultHandler(tornado.web.RequestHandler):
    """Sets delays and faults of the instance, for tests."""

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


_FETCH_ERRORS = (
    exceptions.CodecError,
    tornado.httpclient.HTTPError,
    tornado.websocket.WebSocketError,
    tornado.websocket.WebSocketClosedError,
    tornado.iostream.StreamClosedError,
)
