"""JSON frames of the database group's interface.

A data connection is one websocket; a control channel is another one on which
calls are multiplexed by id. The stand-in serves the same frames.
"""

import attrs

from hyssopshelf import messages

CONNECTION_PATH = "/v1/connection"
CONTROL_PATH = "/v1/control"
FULL_CLOSE_CODE = 4029
"""Websocket close code of an endpoint that has no connection left."""


@attrs.frozen(kw_only=True)
class RequestFrame:
    """A request on a data connection."""

    id: str
    request: messages.EndpointRequest


@attrs.frozen(kw_only=True)
class AnswerFrame:
    """The answer to the request with the same id."""

    id: str
    answer: messages.EndpointAnswer


@attrs.frozen(kw_only=True)
class Greeting:
    """First frame of a data connection that the endpoint accepted."""

    name: str


@attrs.frozen(kw_only=True)
class ControlFrame:
    """A control call; exactly one of the orders is set, none asks for status."""

    id: str
    fence: messages.Fence | None = None
    promote: messages.Promote | None = None
    follow: messages.Follow | None = None


@attrs.frozen(kw_only=True)
class ControlReply:
    """The answer to a control call; ``granted`` is true for a status."""

    id: str
    granted: bool
    status: messages.EndpointStatus
