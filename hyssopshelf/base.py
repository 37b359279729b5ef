"""Define events, actions and the functions that dispatch them to controllers.

The core consists of controllers that share a blackboard and perform no I/O. An
adapter passes an event and the current time to :func:`handle`; controllers change
the blackboard and append actions to ``board.actions``; the adapter carries them
out. Controllers register for an event class with ``handle.register`` and for a
message class with ``receive.register``.
"""

import functools
from typing import Any

import attrs


@attrs.frozen(kw_only=True)
class Event:
    """Base class of what an adapter reports to the core."""


@attrs.frozen(kw_only=True)
class Ticked(Event):
    """The periodic timer fired."""


@attrs.frozen(kw_only=True)
class StatementReceived(Event):
    """A caller sent a statement; ``caller`` identifies the reply channel."""

    caller: str
    statement: Any


@attrs.frozen(kw_only=True)
class CallerDisconnected(Event):
    """The connection of a caller closed."""

    caller: str


@attrs.frozen(kw_only=True)
class ConnectionOpened(Event):
    """A connection to an endpoint is ready."""

    connection: str


@attrs.frozen(kw_only=True)
class ConnectionFailed(Event):
    """A connection could not be opened; ``refused`` if the endpoint is full."""

    connection: str
    refused: bool
    reason: str


@attrs.frozen(kw_only=True)
class ConnectionClosed(Event):
    """An open connection was closed by the endpoint or broke."""

    connection: str


@attrs.frozen(kw_only=True)
class EndpointAnswered(Event):
    """An endpoint answered the request ``request_id`` on a connection."""

    connection: str
    request_id: str
    answer: Any


@attrs.frozen(kw_only=True)
class StatusReceived(Event):
    """A status probe ended; ``status`` is None if no answer came."""

    endpoint: str
    probe_id: str
    status: Any


@attrs.frozen(kw_only=True)
class ControlAnswered(Event):
    """A control call ended; ``answer`` is None if no answer came."""

    endpoint: str
    call_id: str
    answer: Any


@attrs.frozen(kw_only=True)
class StoreAnswered(Event):
    """A store call ended; ``result`` is a ``result.Result``.

    ``Err`` means that the outcome is unknown: a change may have taken effect.
    """

    call_id: str
    result: Any


@attrs.frozen(kw_only=True)
class HostListReceived(Event):
    """The platform's host list was read; ``hosts`` are HostEntry objects."""

    hosts: tuple


@attrs.frozen(kw_only=True)
class ResourceRequested(Event):
    """An operator called the resource API; ``request`` is an ApiRequest."""

    caller: str
    request: Any


@attrs.frozen(kw_only=True)
class DrainRequested(Event):
    """The process was asked to stop gracefully."""


@attrs.frozen(kw_only=True)
class StopRequested(Event):
    """The process is about to end, whatever is still open."""


@attrs.frozen(kw_only=True)
class Action:
    """Base class of what the core asks an adapter to do."""


@attrs.frozen(kw_only=True)
class Reply(Action):
    """Send an answer to a caller."""

    caller: str
    answer: Any


@attrs.frozen(kw_only=True)
class SendPeer(Action):
    """Send a message to the node on another host.

    ``host`` is the host's name, or its address while the name is unknown.
    """

    host: str
    message: Any


@attrs.frozen(kw_only=True)
class OpenConnection(Action):
    """Open a connection to an endpoint."""

    endpoint: str
    connection: str


@attrs.frozen(kw_only=True)
class CloseConnection(Action):
    """Close a connection; an open transaction on it rolls back."""

    connection: str


@attrs.frozen(kw_only=True)
class Execute(Action):
    """Send a request to an endpoint on an open connection."""

    connection: str
    request_id: str
    request: Any


@attrs.frozen(kw_only=True)
class ProbeStatus(Action):
    """Ask an endpoint for its status."""

    endpoint: str
    probe_id: str


@attrs.frozen(kw_only=True)
class CallControl(Action):
    """Send a control operation (fence, promote, follow) to an endpoint."""

    endpoint: str
    call_id: str
    operation: Any


@attrs.frozen(kw_only=True)
class CallStore(Action):
    """Send an operation to the platform's key-value store."""

    call_id: str
    operation: Any


@attrs.frozen(kw_only=True)
class Log(Action):
    """Write a numbered log event; ``event`` is a member of logs.LogEvent."""

    event: Any
    fields: dict


@functools.singledispatch
def handle(event, board, now):
    """Apply an event to the blackboard.

    Parameters
    ----------
    event : Event
        The event to apply.
    board : blackboard.Blackboard
        State of the node.
    now : float
        Time on the node's monotonic clock, in seconds.

    Raises
    ------
    NotImplementedError
        If no controller is registered for the class of the event.
    """
    raise NotImplementedError(f"no controller handles {type(event).__name__}")


@functools.singledispatch
def receive(message, board, host, now):
    """Apply a message of another node to the blackboard.

    Parameters
    ----------
    message : Any
        Object of a class registered with ``envelopes.register``.
    board : blackboard.Blackboard
        State of the receiving node.
    host : str
        Name of the sending host.
    now : float
        Time on the receiving node's monotonic clock, in seconds.

    Raises
    ------
    NotImplementedError
        If no controller is registered for the class of the message.
    """
    raise NotImplementedError(f"no controller receives {type(message).__name__}")
