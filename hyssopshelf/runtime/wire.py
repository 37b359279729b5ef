"""JSON frames of the endpoints' websocket protocol.

A data connection is a websocket of its own; control calls share another websocket, on
which they are multiplexed by id. The stand-in endpoint serves the same frames.
"""

import attrs

from hyssopshelf import messages

CONNECTION_PATH = "/v1/connection"
CONTROL_PATH = "/v1/control"
CONNECTION_LIMIT_CLOSE_CODE = 4029
"""Websocket close code of an endpoint that has reached its connection limit."""


@attrs.frozen(kw_only=True)
class RequestFrame:
    """Request on a data connection."""

    id: str
    request: messages.EndpointRequest


@attrs.frozen(kw_only=True)
class AnswerFrame:
    """Answer to the request with the same id."""

    id: str
    answer: messages.EndpointAnswer


@attrs.frozen(kw_only=True)
class Greeting:
    """First frame of a data connection that the endpoint accepted."""

    name: str


@attrs.frozen(kw_only=True)
class ControlFrame:
    """Control call with at most one operation; one without requests the status."""

    id: str
    fence: messages.Fence | None = None
    promote: messages.Promote | None = None
    follow: messages.Follow | None = None


@attrs.frozen(kw_only=True)
class ControlReply:
    """Reply to a control call; ``granted`` is always true for a status request."""

    id: str
    granted: bool
    status: messages.EndpointStatus
