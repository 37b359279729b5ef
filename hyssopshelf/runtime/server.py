"""HTTP server of a node: websocket sessions, statements, health and metrics."""

import asyncio
import itertools

import tornado.iostream
import tornado.web
import tornado.websocket

from hyssopshelf import base, exceptions, messages
from hyssopshelf.runtime import closing, metrics
from hyssopshelf.runtime import engine as engines

MAXIMUM_FRAME_BYTES = 1024 * 1024
"""Maximum size of a websocket message from a client, in bytes."""

REPLY_MARGIN_SECONDS = 1.0
"""Time that the HTTP handler waits beyond a statement's deadline, in seconds, so that
the core's answer arrives before the handler times out."""

_CALLER_NUMBERS = itertools.count()


class SessionHandler(tornado.websocket.WebSocketHandler):
    """Websocket of one client, whose statements are multiplexed by their ids."""

    def initialize(
        self, engine: engines.Engine, connections: closing.ClientConnections
    ) -> None:
        """Store the engine and the registry of connections."""
        self.engine = engine
        self.connections = connections
        self.caller = f"session-{next(_CALLER_NUMBERS)}"

    def check_origin(self, origin: str) -> bool:
        """Accept any origin; clients are programs, not web pages."""
        return True

    def open(self) -> None:
        """Register for the answers to this client."""
        self.set_nodelay(True)
        self.connections.sessions.add(self)
        self.engine.register_caller(self.caller, self._send)

    def on_message(self, data: str | bytes) -> None:
        """Pass a statement to the core; a malformed one is answered here."""
        try:
            statement = messages.from_json(data, messages.Statement)
        except exceptions.CodecError as error:
            answer = messages.Answer(
                id="", error=exceptions.ErrorKind.BAD_REQUEST, message=str(error)
            )
            self._send(answer)
            return
        self.engine.emit(
            base.StatementReceived(caller=self.caller, statement=statement)
        )

    def on_close(self) -> None:
        """Cancel the client's open statements."""
        self.connections.sessions.discard(self)
        self.engine.remove_caller(self.caller)

    def _send(self, answer: messages.Answer) -> None:
        if self.ws_connection is None:
            return
        try:
            future = self.write_message(messages.to_json(answer).decode())
        except tornado.websocket.WebSocketClosedError:
            return
        self.connections.add_answer(future)


class StatementHandler(tornado.web.RequestHandler):
    """Runs one statement for each HTTP request."""

    def initialize(
        self, engine: engines.Engine, connections: closing.ClientConnections
    ) -> None:
        """Store the engine and the registry of connections."""
        self.engine = engine
        self.connections = connections

    async def post(self) -> None:
        """Run a statement and write its answer as JSON with the matching status."""
        self.connections.add_answer(asyncio.current_task())
        try:
            statement = messages.from_json(self.request.body, messages.Statement)
        except exceptions.CodecError as error:
            await self._finish(
                messages.Answer(
                    id="", error=exceptions.ErrorKind.BAD_REQUEST, message=str(error)
                )
            )
            return
        caller = f"http-{next(_CALLER_NUMBERS)}"
        future = asyncio.get_running_loop().create_future()
        self.engine.register_caller(caller, future.set_result)
        self.engine.emit(base.StatementReceived(caller=caller, statement=statement))
        try:
            limit = statement.remaining_seconds + REPLY_MARGIN_SECONDS
            answer = await asyncio.wait_for(future, limit)
        except TimeoutError:
            answer = messages.Answer(
                id=statement.id, error=exceptions.ErrorKind.OUTCOME_UNKNOWN
            )
        finally:
            self.engine.remove_caller(caller)
        await self._finish(answer)

    async def _finish(self, answer: messages.Answer) -> None:
        if answer.error is not None:
            self.set_status(exceptions.DISPOSITIONS[answer.error].http_status)
        self.set_header("Content-Type", "application/json")
        if self.engine.core.board.draining:
            self.set_header("Connection", "close")
        try:
            await self.finish(messages.to_json(answer))
        except tornado.iostream.StreamClosedError as error:
            closing.log_unread_answer(error)


class HealthHandler(tornado.web.RequestHandler):
    """Liveness check: responds as long as the event loop runs."""

    def get(self) -> None:
        """Respond with status 200."""
        self.finish({"status": "ok"})


class ReadyHandler(tornado.web.RequestHandler):
    """Readiness check: reports whether the node accepts new statements."""

    def initialize(self, engine: engines.Engine) -> None:
        """Store the engine."""
        self.engine = engine

    def get(self) -> None:
        """Respond with 200 when ready, else with 503 and the reason."""
        board = self.engine.core.board
        reason = ""
        if board.draining:
            reason = "draining"
        elif not board.configuration_ready:
            reason = "no configuration"
        self.set_status(503 if reason else 200)
        self.finish({"ready": not reason, "reason": reason})


class MetricsHandler(tornado.web.RequestHandler):
    """Serves the metrics in the Prometheus text format."""

    def initialize(self, engine: engines.Engine) -> None:
        """Store the engine."""
        self.engine = engine

    def get(self) -> None:
        """Respond with the current values."""
        body, headers = metrics.render(self.engine)
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(body)


def make_application(
    engine: engines.Engine,
    connections: closing.ClientConnections,
    extra_handlers: tuple = (),
) -> tornado.web.Application:
    """Return the web application of a node.

    Parameters
    ----------
    engine : Engine
        The engine that runs the node.
    connections : ClientConnections
        Registry of the connections to close at a stop.
    extra_handlers : tuple
        Further routes, such as those of the resource API.
    """
    arguments = {"engine": engine}
    client_arguments = arguments | {"connections": connections}
    return tornado.web.Application(
        [
            (r"/v1/session", SessionHandler, client_arguments),
            (r"/v1/statements", StatementHandler, client_arguments),
            (r"/healthz", HealthHandler),
            (r"/readyz", ReadyHandler, arguments),
            (r"/metrics", MetricsHandler, arguments),
            *extra_handlers,
        ],
        websocket_max_message_size=MAXIMUM_FRAME_BYTES,
        log_function=lambda handler: None,
    )
