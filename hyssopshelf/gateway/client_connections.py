"""Connection of one client, which answers its requests in order."""

import asyncio
import collections

import attrs

from hyssopshelf import clocks, exceptions, logs
from hyssopshelf.customers import directory
from hyssopshelf.gateway import (
    endpoint_connections,
    execution,
    sessions,
    statements,
)

CONFIGURATION_WAIT_SECONDS = 1.5
"""Time for which a new session waits for the first configuration of a node that has
just started, in seconds; clients give up after 2 s."""

MAXIMUM_PENDING = 32
"""Queued requests of one client above which reading from it pauses."""

MAXIMUM_UNSENT_BYTES = 256 * 1024
"""Unsent answers of a client, in bytes, above which its connection is closed."""

LINGER_SECONDS = 1.0
"""Time for which a session that was ended waits for the client to close, too."""

MAXIMUM_STOP_REFUSALS = 3
"""Requests of one session that a stopping node refuses before it closes the session;
a client that still does not go elsewhere would only add load."""

UNKNOWN_RANK = -1
"""Rank under which requests without a route are counted."""

_KIND = exceptions.ErrorKind


@attrs.frozen(kw_only=True)
class OpenRequest:
    """A request that a client sent and that has no answer yet.

    Attributes
    ----------
    started_at : float
        Clock time at which its processing began, in seconds.
    """

    request: statements.Request
    started_at: float


async def receive_pending() -> None:
    """Let the event loop receive what has arrived before this call."""
    # The loop polls its sockets after the first pause and reads them before the second
    # one ends.
    await asyncio.sleep(0)
    await asyncio.sleep(0)


class ClientConnection(asyncio.Protocol):
    """Connection of one client; answers its requests in order.

    Parameters
    ----------
    server : ClientServer
        The listener that accepted it.

    Attributes
    ----------
    busy_at : float
        Clock time of the last answer, in seconds.
    """

    def __init__(self, *, server) -> None:
        self.server = server
        self.session: sessions.Session | None = None
        self.open_request: OpenRequest | None = None
        self.working = False
        self.busy_at = clocks.read_clock()
        self._transport: asyncio.Transport | None = None
        self._buffer = b""
        self._pending: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self._task: asyncio.Task | None = None
        self._time_limit: asyncio.Timeout | None = None
        self._closed = False
        self._ending = False
        self._stop_refusals = 0
        self._input_ended = False
        self._paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self._transport = transport
        endpoint_connections.tune_socket(transport)
        self.server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Queue complete requests; pause reading if too many wait."""
        if self._closed or self._ending:
            return
        lines = (self._buffer + data).split(b"\r\n")
        self._buffer = lines.pop()
        if len(self._buffer) > self.server.codec.maximum_bytes:
            self._log_refusal("message is too long")
            self._buffer = b""
            self._ending = True
        self._pending.extend(lines)
        self._pending_bytes += sum(map(len, lines))
        self._count_bytes()
        if len(self._pending) > MAXIMUM_PENDING and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        self._start_processing()
        if not self.working and self._ending:
            self.close()

    def eof_received(self) -> bool:
        """Keep the connection of a client that only sends no more requests.

        Returns
        -------
        bool
            Whether requests are left to answer; else the connection is closed.
        """
        self._ending = self._input_ended = True
        return self.working and not self._closed

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the session, after its running statement if there is one."""
        if not self._closed:
            self.record_cut("client", repr(exc) if exc else "end of stream")
        self._closed = True
        self.server.connections.discard(self)
        self.server.budget.release(self)
        if not self.working and self.session is not None:
            self.session.close()

    def is_idle(self) -> bool:
        """Return whether it is open, without a request or transaction."""
        if self._closed or self.working or self._pending or self._buffer:
            return False
        return self.session is None or self.session.status == "I"

    def is_quiet(self, seconds: float) -> bool:
        """Return whether it is idle and had its last answer some seconds ago."""
        return self.is_idle() and clocks.read_clock() >= self.busy_at + seconds

    def interrupt(self) -> None:
        """Cancel the processing of the open request, which is answered all the same."""
        if self._time_limit is not None and self._time_limit.when() is None:
            self._time_limit.reschedule(asyncio.get_running_loop().time())

    def close(self) -> None:
        """End the session once the answers already written are sent.

        What the client still sends is read and dropped for a time: the kernel would
        answer a close with unread bytes by a reset, which discards the answers.
        """
        if self._closed:
            return
        self._closed = True
        self._discard_input()
        if not self.working and self.session is not None:
            self.session.close()
        if self._input_ended:
            self._transport.close()
            return
        if self._paused:
            self._transport.resume_reading()
        try:
            self._transport.write_eof()
        except OSError as error:
            self.abort(f"cannot end the session: {error!r}")
            return
        loop = asyncio.get_running_loop()
        loop.call_later(LINGER_SECONDS, self._transport.close)

    def drop(self) -> None:
        """Close the connection at once."""
        self._closed = True
        self._transport.abort()

    def abort(self, reason: str) -> None:
        """Close the connection at once and drop its buffers."""
        self._log_refusal(reason)
        self.record_cut("gateway", reason)
        self._closed = True
        self._discard_input()
        self._transport.abort()

    def _discard_input(self) -> None:
        self._buffer = b""
        self._pending.clear()
        self._pending_bytes = 0
        self.server.budget.release(self)

    def record_cut(self, decided_by: str, reason: str) -> None:
        """Count and log the open request, whose client will get no answer."""
        if self.open_request is None:
            return
        gateway = self.server.gateway
        gateway.metrics.requests_cut[decided_by] += 1
        now = clocks.read_clock()
        stop_ms = None
        if gateway.stop is not None:
            stop_ms = round(1000 * (now - gateway.stop.started_at))
        request = self.open_request.request
        logs.write_request(
            logs.LogEvent.REQUEST_CUT,
            {
                "id": request.id.decode(errors="replace"),
                "name": self.session.name,
                "statement": type(request.statement).__name__,
                "by": decided_by,
                "reason": reason,
                "endpoint": self.session.trace.sent_to,
                "age_ms": round(1000 * (now - self.open_request.started_at)),
                "waiting": len(self._pending),
                "stop_ms": stop_ms,
            },
        )

    def _log_refusal(self, reason: str) -> None:
        name = self.session.name if self.session else ""
        logs.write_request(
            logs.LogEvent.SESSION_REFUSED, {"name": name, "reason": reason}
        )

    def _count_bytes(self) -> None:
        unsent = self._transport.get_write_buffer_size()
        self.server.update_buffered(
            self, len(self._buffer) + self._pending_bytes + unsent
        )

    async def _process_pending(self) -> None:
        try:
            while self._pending and not self._closed:
                line = self._pending.popleft()
                self._pending_bytes -= len(line)
                if self._paused and len(self._pending) <= MAXIMUM_PENDING // 2:
                    self._paused = False
                    self._transport.resume_reading()
                if self.session is None:
                    await self._start_session(line)
                else:
                    await self._answer_request(line)
                if not self._pending and self.server.must_close():
                    await receive_pending()
        except Exception as error:  # a defect of the gateway must reach the log
            logs.write(logs.LogEvent.REQUEST_CRASHED, {"id": "", "error": repr(error)})
            self.close()
        finally:
            self.working = False
            self._finish_processing()

    def _start_processing(self) -> None:
        if self._pending and not self.working:
            self.working = True
            loop = asyncio.get_running_loop()
            self._task = loop.create_task(self._process_pending())

    def _finish_processing(self) -> None:
        """Close the connection if the last answer was also the last of the session."""
        self.busy_at = clocks.read_clock()
        if self._closed:
            if self.session is not None:
                self.session.close()
        elif self._ending or (self.is_idle() and self.server.must_close()):
            self.close()

    async def _start_session(self, line: bytes) -> None:
        """Open the session; just after the start it waits for the configuration."""
        codec = self.server.codec
        name = codec.parse_start(line)
        if name is None:
            self._log_refusal("first message is not START")
            self._send(codec.format_refusal(_KIND.BAD_REQUEST, b"START expected"))
            self.close()
            return
        session_name = name.decode(errors="replace")
        if self.server.closing:
            self._send(codec.format_refusal(_KIND.UNAVAILABLE, name))
            self.close()
            return
        gateway = self.server.gateway
        deadline = gateway.cap_deadline(
            clocks.read_clock() + CONFIGURATION_WAIT_SECONDS
        )
        while gateway.board.configuration is None and clocks.read_clock() < deadline:
            await gateway.wait_for_change(deadline)
        configuration = gateway.board.configuration
        if configuration is None or session_name not in configuration.routes:
            kind = _KIND.NOT_FOUND if configuration is not None else _KIND.UNAVAILABLE
            logs.write_request(
                logs.LogEvent.SESSION_REFUSED,
                {
                    "name": session_name,
                    "version": configuration.version if configuration else 0,
                },
            )
            self._send(codec.format_refusal(kind, name))
            self.close()
            return
        digest = None
        if configuration.customers is not None:
            digest = directory.compute_digest(codec.parse_key(line))
            route = configuration.routes[session_name]
            allowed, _ = await gateway.find_customer(route, digest, wait=True)
            if not allowed:
                sessions.record_unknown_key(gateway, session_name)
                self._send(codec.format_refusal(_KIND.UNKNOWN_KEY, name))
                self.close()
                return
        self.session = sessions.Session(
            gateway=gateway, name=session_name, key_digest=digest
        )
        self._send(codec.format_ready("I"))

    async def _answer_request(self, line: bytes) -> None:
        codec = self.server.codec
        session = self.session
        request = codec.parse_request(line)
        if request is None:
            self.close()
            return
        started = clocks.read_clock()
        self.open_request = OpenRequest(request=request, started_at=started)
        try:
            reply = await self._run_request(request)
            self._send(codec.format_reply(reply, session.status))
        finally:
            self.open_request = None
        self._log_request(request, reply, session, clocks.read_clock() - started)
        if reply.error in (_KIND.NOT_FOUND, _KIND.UNKNOWN_KEY):
            self._ending = True
        elif reply.error is not None and not self.server.gateway.may_start_work():
            self._stop_refusals += 1
            if self._stop_refusals >= MAXIMUM_STOP_REFUSALS:
                self._ending = True

    async def _run_request(self, request: statements.Request) -> statements.Reply:
        session = self.session
        try:
            async with asyncio.timeout(None) as self._time_limit:
                return await session.answer(request)
        except Exception as error:  # a defect of the gateway must reach the log
            if self._time_limit.expired():
                return session.give_up(request)
            logs.write(
                logs.LogEvent.REQUEST_CRASHED,
                {"id": request.id.decode(errors="replace"), "error": repr(error)},
            )
            session.close()
            return execution.make_error(_KIND.INTERNAL, "internal error")
        finally:
            # An interruption comes too late from here on.
            self._time_limit = None

    def _log_request(self, request, reply, session, seconds: float) -> None:
        trace = session.trace
        route = session.find_route()
        self.server.gateway.metrics.record(
            route.rank if route is not None else UNKNOWN_RANK,
            reply.error.value if reply.error else "done",
            seconds,
            trace.queued_seconds,
        )
        if reply.error is None and not trace.attempts and not trace.endpoint:
            return
        configuration = self.server.gateway.board.configuration
        fields = {
            "id": request.id.decode(errors="replace"),
            "name": session.name,
            "statement": type(request.statement).__name__,
            "endpoint": trace.endpoint,
            "trail": trace.attempts,
            "queued_ms": round(trace.queued_seconds * 1000, 1),
            "total_ms": round(seconds * 1000, 1),
            "version": configuration.version if configuration else 0,
            "outcome": reply.error.value if reply.error else "done",
        }
        if reply.error is not None:
            fields["detail"] = reply.detail.decode(errors="replace")
        logs.write_request(logs.LogEvent.REQUEST_ANSWERED, fields, reply.error is None)

    def _send(self, data: bytes) -> None:
        if self._closed:
            return
        self._transport.write(data)
        self._count_bytes()
        if self._transport.get_write_buffer_size() > MAXIMUM_UNSENT_BYTES:
            self.abort("answers are not read")
