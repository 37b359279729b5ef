"""Numbered log events and their output; docs/EVENTS.md lists the events."""

import atexit
import enum
import os
import sys
import time

import attrs
import orjson

MAXIMUM_BUFFERED_LINES = 1000
"""Maximum number of lines that are buffered before they are written."""

MAXIMUM_UNWRITTEN_BYTES = 256 * 1024
"""Unwritten bytes above which lines are dropped because the reader is slow."""


class LogEvent(enum.IntEnum):
    """Numbers of the log events, grouped by subject.

    1xx statements, 2xx placement and membership, 3xx connections, 4xx
    failover, 5xx configuration, 6xx scheduling, 7xx process, 8xx peers.
    """

    STATEMENT_ROUTED = 101
    STATEMENT_ANSWERED = 102
    STATEMENT_REROUTED = 103
    STATEMENT_PARKED = 104
    STATEMENT_REFUSED = 105
    STATEMENT_UNKNOWN = 106
    READ_DISCARDED = 107
    ENDPOINT_PLACED = 201
    HOST_ALIVE = 202
    HOST_SUSPECTED = 203
    HOST_DEAD = 204
    HOST_LEAVING = 205
    HOST_HELD = 206
    HOST_FORGOTTEN = 207
    SUSPICION_REFUTED = 208
    NODE_ISOLATED = 209
    NODE_REACHED = 210
    HOSTS_PULLED = 211
    PLACE_ASSIGNED = 212
    ENDPOINT_MOVED = 213
    CONNECTION_OPENED = 301
    CONNECTION_REFUSED = 302
    CONNECTION_DISCARDED = 303
    TRANSACTION_ROLLED_BACK = 304
    TERM_LEARNED = 401
    PROMOTION_STARTED = 402
    PROMOTION_FENCED = 403
    PRIMARY_PROMOTED = 404
    PROMOTION_FAILED = 405
    PROMOTION_LEFT = 406
    WRITES_DISCARDED = 407
    CHANGE_STARTED = 408
    CHANGE_ABANDONED = 409
    FOLLOW_ORDERED = 410
    PRIMARY_SUSPECTED = 411
    PRIMARY_RECOVERED = 412
    CONFIGURATION_APPLIED = 501
    CHANGE_ACCEPTED = 502
    CHANGE_REFUSED = 503
    CHANGE_UNKNOWN = 504
    CONFIGURATION_DIVERGED = 505
    CONFIGURATION_DAMAGED = 506
    CONFIGURATION_MAY_BE_OLD = 507
    CONFIGURATION_CONTACT_REGAINED = 508
    SNAPSHOT_TAKEN = 509
    STORE_REPAIRED = 510
    ACCOUNT_FOLDED_EARLY = 601
    BILL_UNREADABLE = 602
    BILL_OUTCOME_UNKNOWN = 603
    PROCESS_STARTED = 701
    PROCESS_DRAINING = 702
    PROCESS_STOPPED = 703
    PAUSE_NOTICED = 704
    INVARIANT_BROKEN = 705
    REQUEST_ANSWERED = 111
    SESSION_REFUSED = 112
    REQUEST_CRASHED = 113
    LINES_SUPPRESSED = 114
    PROBE_FAILED = 115
    TRANSACTION_TOO_IDLE = 117
    HOLDER_AVOIDED = 116
    FORWARD_FAILED = 118
    KEY_REFUSED = 119
    LIMIT_REACHED = 120
    KEEPER_AVOIDED = 121
    CONNECTION_REPLACED = 122
    REGION_LEFT = 123
    REQUEST_CUT = 124
    HOLDERS_CHOSEN = 224
    ISOLATION_CHANGED = 225
    ENDPOINT_REGISTERED = 221
    ENDPOINT_REMOVED = 222
    ENTRY_IGNORED = 223
    ENDPOINT_LEFT = 226
    COORDINATOR_FOLLOWED = 421
    COORDINATOR_REGAINED = 422
    PRIMARY_FOLLOWED = 423
    PRIMARY_RELEASED = 424
    AUTHORITY_LOST = 425
    AUTHORITY_REGAINED = 426
    COORDINATION_STARTED = 427
    COORDINATION_ENDED = 428
    MEMBER_ADDED = 429
    MEMBER_REMOVED = 430
    TAKEOVER_ASKED = 431
    ASSIGNMENT_UNRECORDED = 432
    DOCUMENT_UNREADABLE = 433
    PLATFORM_CALL_FAILED = 524
    STORE_RESTORED = 525
    CONFIGURATION_WATCHED = 526
    STATUS_UNKNOWN = 434
    COORDINATION_RECORDED = 435
    ASSIGNMENTS_RECOVERED = 436
    REPLICAS_AWAITED = 437
    PROMOTION_UNSETTLED = 438
    MEMBER_ADMITTED = 439
    STORE_LOST = 521
    STORE_REGAINED = 522
    CONFIGURATION_UNREADABLE = 523
    PROCESS_RELOADED = 706
    TASK_FAILED = 707
    ANSWER_DROPPED = 801
    MESSAGE_DROPPED = 802


DETAIL_EVENTS = frozenset({LogEvent.STATEMENT_ANSWERED, LogEvent.CONNECTION_OPENED})
"""Events of level DEBUG. They record no decision, and writing a line costs about as
much processor time as all other work of the core on a statement."""


class BufferedOutput:
    """Buffers lines and writes them together.

    Under load a write call for each line costs more than formatting the line, so
    the buffer is flushed at each tick, when it is full and at exit.

    Parameters
    ----------
    stream : file object
        Stream that receives the lines.
    """

    def __init__(self, *, stream) -> None:
        self.stream = stream
        self.detailed = False
        self.structured = False
        self.source = ""
        self.logger = None
        self._lines: list[str] = []

    def write(self, line: str) -> None:
        """Append a line to the buffer; flush the buffer if it is full."""
        self._lines.append(line)
        if len(self._lines) >= MAXIMUM_BUFFERED_LINES:
            self.flush()

    def flush(self) -> None:
        """Write all buffered lines."""
        if self._lines:
            text = "".join(self._lines)
            self._lines.clear()
            self.stream.write(text)
            self.stream.flush()


class PipeOutput:
    """Writes lines to a file descriptor without blocking on its reader.

    Lines that exceed the backlog of a slow reader are dropped and counted.

    Parameters
    ----------
    descriptor : int
        File descriptor in non-blocking mode.
    """

    def __init__(self, *, descriptor: int) -> None:
        self.descriptor = descriptor
        self.dropped = 0
        self._rest = b""

    def write(self, text: str) -> None:
        """Write ``text``; lines that cannot be buffered are dropped as a whole."""
        data = self._rest + text.encode()
        self._rest = b""
        try:
            written = os.write(self.descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # A closed log must not interrupt the service.
            self.dropped += data.count(b"\n")
            return
        rest = data[written:]
        if len(rest) > MAXIMUM_UNWRITTEN_BYTES:
            kept = rest[: rest.find(b"\n") + 1]
            self.dropped += rest.count(b"\n") - 1
            rest = kept
        self._rest = rest

    def flush(self) -> None:
        """Do nothing, as writes are not deferred."""


@attrs.define(kw_only=True)
class LineBudget:
    """Token bucket that bounds the rate of log lines about requests.

    Attributes
    ----------
    rate : float
        Refill rate, in lines per second.
    burst : float
        Capacity, in lines.
    available : float
        Lines that may be written now.
    refilled_at : float
        Time of the last refill.
    suppressed : int
        Lines refused since the count was last collected.
    """

    rate: float
    burst: float
    available: float = 0.0
    refilled_at: float = 0.0
    suppressed: int = 0

    def try_take(self, now: float) -> bool:
        """Take one line from the budget; return whether it may be written."""
        self.available = min(
            self.burst, self.available + (now - self.refilled_at) * self.rate
        )
        self.refilled_at = now
        if self.available < 1.0:
            self.suppressed += 1
            return False
        self.available -= 1.0
        return True


_OUTPUT = BufferedOutput(stream=sys.stderr)
_SUCCESSES = LineBudget(rate=20.0, burst=40.0)
_FAILURES = LineBudget(rate=100.0, burst=300.0)


def configure(*, form: str, level: str) -> None:
    """Send log lines to standard error.

    Parameters
    ----------
    form : str
        ``json`` for one JSON object per line, ``text`` for plain text lines.
    level : str
        Lowest level to write, such as ``INFO``.
    """
    # Imported here, as structured logs do not need it and should start quickly.
    from loguru import logger

    logger.remove()
    _OUTPUT.logger = logger
    _OUTPUT.stream = sys.stderr
    _OUTPUT.detailed = level == "DEBUG"
    atexit.register(_OUTPUT.flush)
    if form == "json":
        logger.add(_OUTPUT.write, level=level, serialize=True, catch=False)
        return
    logger.add(
        _OUTPUT.write,
        level=level,
        format="{time:HH:mm:ss.SSS} {level:<7} {message}",
        catch=False,
        colorize=False,
    )


def configure_structured(*, source: str) -> None:
    """Write one JSON object per line to standard output, without blocking.

    Parameters
    ----------
    source : str
        Name of the host, included in each line.
    """
    os.set_blocking(1, False)
    _OUTPUT.stream = PipeOutput(descriptor=1)
    _OUTPUT.structured = True
    _OUTPUT.source = source
    atexit.register(_OUTPUT.flush)


def write_request(event: LogEvent, fields: dict, success: bool = False) -> None:
    """Write a line about a request if the budget of its outcome allows it."""
    budget = _SUCCESSES if success else _FAILURES
    if budget.try_take(time.monotonic()):
        write(event, fields)


def collect_suppressed() -> dict[str, int]:
    """Return the numbers of suppressed request lines since the last call."""
    counts = {"successes": _SUCCESSES.suppressed, "failures": _FAILURES.suppressed}
    _SUCCESSES.suppressed = _FAILURES.suppressed = 0
    return counts


def flush() -> None:
    """Write all buffered lines."""
    _OUTPUT.flush()


def write(event: LogEvent, fields: dict) -> None:
    """Write one line for an event with its fields."""
    if event in DETAIL_EVENTS and not _OUTPUT.detailed:
        return
    if _OUTPUT.structured:
        line = {
            "time": round(time.time(), 4),
            "host": _OUTPUT.source,
            "event": int(event),
            "name": event.name.lower(),
            "fields": fields,
        }
        _OUTPUT.write(orjson.dumps(line).decode() + "\n")
        return
    text = " ".join([f"{name}={value}" for name, value in fields.items()])
    message = f"{int(event)} {event.name.lower()} {text}"
    level = "DEBUG" if event in DETAIL_EVENTS else "INFO"
    logger = _OUTPUT.logger
    if logger is None:
        from loguru import logger
    logger.bind(event=int(event), **fields).log(level, message)
