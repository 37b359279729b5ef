"""Messages between the client's node and the hosts that hold connections."""

import attrs

from hyssopshelf import envelopes


@envelopes.register("gateway.forward")
@attrs.frozen(kw_only=True)
class Forward:
    """Request to a holder to send one message to an endpoint.

    Attributes
    ----------
    unit : int
        Number of the unit of work at the entry node; no other process of that host
        uses it.
    step : int
        Number of the message within it.
    version : int
        Version of the primary grant that the work needs, 0 for none.
    remaining : float
        Time to the deadline in seconds.
    values : list of (bytes, bytes) or None
        Values of the session, None if the message does not depend on them.
    shape : (bool, bytes) or None
        Prepared statement that the message runs.
    head, tail : bytes
        The message before and after the prepared statement's name.
    """

    unit: int
    step: int
    endpoint: str
    database: str
    rank: int
    version: int
    remaining: float
    values: list[tuple[bytes, bytes]] | None
    shape: tuple[bool, bytes] | None
    head: bytes
    tail: bytes


@envelopes.register("gateway.customer_forward")
@attrs.frozen(kw_only=True)
class CustomerForward(Forward):
    """A Forward for a session that belongs to a customer.

    Attributes
    ----------
    customer : str
        Customer in whose name the message is sent.
    """

    customer: str


@envelopes.register("gateway.ask_tokens")
@attrs.frozen(kw_only=True)
class AskTokens:
    """Question to the keeper of a customer's limit.

    Attributes
    ----------
    sequence : int
        Number that the answer repeats; no other process of the host uses it.
    wanted : int
        Tokens that the host can use.
    order : int
        Number of ranks that are more urgent than the operations'.
    """

    sequence: int
    customer: str
    wanted: int
    order: int


@envelopes.register("gateway.grant_tokens")
@attrs.frozen(kw_only=True)
class GrantTokens:
    """Answer to AskTokens.

    Attributes
    ----------
    granted : int
        Tokens that the host may use.
    wait : float
        Seconds until the keeper has more, 0 if it granted all.
    """

    sequence: int
    granted: int
    wait: float


@envelopes.register("gateway.forwarded")
@attrs.frozen(kw_only=True)
class Forwarded:
    """Answer of a holder to a Forward.

    Attributes
    ----------
    failure : str
        Reason why there is no reply, empty if there is one.
    reason : str
        Why the holder refused the work, empty if it did not.
    sent : bool
        Whether the message may have reached the endpoint.
    """

    unit: int
    step: int
    failure: str = ""
    reason: str = ""
    sent: bool = True
    rows: list[bytes] = attrs.field(factory=list)
    signature: bytes = b""
    error: str = ""
    detail: bytes = b""
    state: bytes = b"I"
    position: tuple[int, int] | None = None


@envelopes.register("gateway.loaded_forwarded")
@attrs.frozen(kw_only=True)
class LoadedForwarded(Forwarded):
    """A Forwarded of a fleet that decides whether work leaves a failure domain.

    Attributes
    ----------
    wait : int
        Expected wait of new work for a slot at the holder, in milliseconds.
    queued : int
        Time that this work waited there, in milliseconds.
    """

    wait: int
    queued: int


@envelopes.register("gateway.cancel")
@attrs.frozen(kw_only=True)
class Cancel:
    """Request to a holder to end a unit of work and roll its transaction back."""

    unit: int
