"""The caller's interface of a node: websocket sessions, HTTP, health, metrics."""

import asyncio
import itertools

import tornado.web
import tornado.websocket

from hyssopshelf import base, exceptions, messages
from hyssopshelf.runtime import engine as engines
from hyssopshelf.runtime import metrics

MAXIMUM_FRAME_BYTES = 1024 * 1024
"""Largest frame or body of a caller, in bytes."""

REPLY_MARGIN_SECONDS = 1.0
"""The HTTP handler waits this long beyond the deadline; the core answers first."""

_CALLERS = itertools.count()


class SessionHandler(tornado.websocket.WebSocketHandler):
    """Statements of one caller, multiplexed by their ids."""

    def initialize(self, engine: engines.Engine) -> None:
        """Store the engine."""
        self.engine = engine
        self.caller = f"session-{next(_CALLERS)}"

    def check_origin(self, origin: str) -> bool:
        """Accept any origin; callers are programs, not pages."""
        return True

    def open(self) -> None:
        """Register the reply channel."""
        self.set_nodelay(True)
        self.engine.expect_reply(self.caller, self._send)

    def on_message(self, data: str | bytes) -> None:
        """Pass a statement to the core."""
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
        """Cancel the caller's statements."""
        self.engine.forget_caller(self.caller)

    def _send(self, answer: messages.Answer) -> None:
        if self.ws_connection is None:
            return
        try:
            future = self.write_message(messages.to_json(answer).decode())
        except tornado.websocket.WebSocketClosedError:
            return
        future.add_done_callback(lambda done: done.exception())


class StatementHandler(tornado.web.RequestHandler):
    """One statement as an HTTP request."""

    def initialize(self, engine: engines.Engine) -> None:
        """Store the engine."""
        self.engine = engine

    async def post(self) -> None:
        """Run a statement and answer with its status code and JSON body."""
        try:
            statement = messages.from_json(self.request.body, messages.Statement)
        except exceptions.CodecError as error:
            self._finish(
                messages.Answer(
                    id="", error=exceptions.ErrorKind.BAD_REQUEST, message=str(error)
                )
            )
            return
        caller = f"http-{next(_CALLERS)}"
        future = asyncio.get_running_loop().create_future()
        self.engine.expect_reply(caller, future.set_result)
        self.engine.emit(base.StatementReceived(caller=caller, statement=statement))
        try:
            limit = statement.remaining_seconds + REPLY_MARGIN_SECONDS
            answer = await asyncio.wait_for(future, limit)
        except TimeoutError:
            answer = messages.Answer(
                id=statement.id, error=exceptions.ErrorKind.OUTCOME_UNKNOWN
            )
        finally:
            self.engine.forget_caller(caller)
        self._finish(answer)

    def _finish(self, answer: messages.Answer) -> None:
        if answer.error is not None:
            self.set_status(exceptions.DISPOSITIONS[answer.error].http_status)
        self.set_header("Content-Type", "application/json")
        self.finish(messages.to_json(answer))


class HealthHandler(tornado.web.RequestHandler):
    """Tells that the process runs."""

    def get(self) -> None:
        """Answer that the process runs."""
        self.finish({"status": "ok"})


class ReadyHandler(tornado.web.RequestHandler):
    """Tells whether the node takes new statements."""

    def initialize(self, engine: engines.Engine) -> None:
        """Store the engine."""
        self.engine = engine

    def get(self) -> None:
        """Answer 200 when ready, 503 with the reason otherwise."""
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
        """Answer with the current values."""
        body, headers = metrics.render(self.engine)
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(body)


def make_application(
    engine: engines.Engine, extra_handlers: tuple = ()
) -> tornado.web.Application:
    """Return the application that serves callers and operators of a node."""
    arguments = {"engine": engine}
    return tornado.web.Application(
        [
            (r"/v1/session", SessionHandler, arguments),
            (r"/v1/statements", StatementHandler, arguments),
            (r"/healthz", HealthHandler),
            (r"/readyz", ReadyHandler, arguments),
            (r"/metrics", MetricsHandler, arguments),
            *extra_handlers,
        ],
        websocket_max_message_size=MAXIMUM_FRAME_BYTES,
        log_function=lambda handler: None,
    )
