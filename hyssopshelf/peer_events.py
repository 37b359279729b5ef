"""Events of the transport between nodes."""

from typing import Any

import attrs


@attrs.frozen(kw_only=True)
class PeerReceived:
    """A message of another node arrived.

    Attributes
    ----------
    address : str
        Where that node listens.
    waited_since : float or None
        Clock time since which it may have waited to be read, in seconds. The core
        gets it as a time of its own clock.
    """

    host: str
    message: Any
    address: str = ""
    waited_since: float | None = None


@attrs.frozen(kw_only=True)
class MessageRefused:
    """A message of another node could not be decoded and was dropped."""

    reason: str


@attrs.frozen(kw_only=True)
class PeerUnsent:
    """A message could not be sent; the peer cannot have received it."""

    host: str
    message: Any
