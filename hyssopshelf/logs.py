"""Numbered log events; docs/EVENTS.md is their catalogue."""

import enum
import sys

from loguru import logger


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
    ANSWER_DROPPED = 801
    MESSAGE_DROPPED = 802


def configure(*, form: str, level: str) -> None:
    """Send log lines to standard error.

    Parameters
    ----------
    form : str
        ``json`` for one JSON object a line, ``text`` for readable lines.
    level : str
        Lowest level to write, such as ``INFO``.
    """
    logger.remove()
    if form == "json":
        logger.add(sys.stderr, level=level, serialize=True)
        return
    logger.add(
        sys.stderr, level=level, format="{time:HH:mm:ss.SSS} {level:<7} {message}"
    )


def write(event: LogEvent, fields: dict) -> None:
    """Write one line for an event with its fields."""
    text = " ".join(f"{name}={value}" for name, value in fields.items())
    logger.bind(event=int(event), **fields).info(
        "{} {} {}", int(event), event.name.lower(), text
    )
