"""Typed operations and results of the key-value store, and rows of the host list.

The platform provides both services. Their clients and the local servers that stand in
for them exchange these values with the rest of the package.
"""

import attrs


@attrs.frozen(kw_only=True)
class Entry:
    """A key of the store with its value.

    Attributes
    ----------
    revision : int
        Revision of the last change of the key, larger with each change.
    """

    key: str
    value: bytes
    revision: int


@attrs.frozen(kw_only=True)
class Get:
    """Read one key; the result is an Entry or None."""

    key: str


@attrs.frozen(kw_only=True)
class ListPrefix:
    """Read all keys with a prefix; the result is a tuple of Entry."""

    prefix: str


@attrs.frozen(kw_only=True)
class CompareAndSwap:
    """Write a key if its revision is as expected; the result is Swapped.

    Attributes
    ----------
    revision : int
        Expected revision of the last change, 0 if the key must not exist.
    lease : int
        Lease that the key is bound to, 0 for none.
    """

    key: str
    value: bytes
    revision: int
    lease: int = 0


@attrs.frozen(kw_only=True)
class Swapped:
    """Result of a compare-and-swap.

    Attributes
    ----------
    succeeded : bool
        Whether the value was written.
    current : Entry or None
        The entry after the operation.
    """

    succeeded: bool
    current: Entry | None


@attrs.frozen(kw_only=True)
class GrantLease:
    """Create a lease; the result is its id. It lapses after its time to live."""

    time_to_live_seconds: float


@attrs.frozen(kw_only=True)
class RevokeLease:
    """End a lease and delete its keys; the result is None."""

    lease: int


@attrs.frozen(kw_only=True)
class Watch:
    """Wait for changes after a revision.

    The result is a Changes; it holds no entries if none came in time.
    """

    prefix: str
    after_revision: int
    wait_seconds: float


@attrs.frozen(kw_only=True)
class Changes:
    """Result of a watch: changed entries and the revision they lead to."""

    entries: tuple[Entry, ...]
    revision: int


@attrs.frozen(kw_only=True)
class HostEntry:
    """Row of the platform's host list: one host with its address and location."""

    name: str
    address: str
    place: str
    region: str
    leaving: bool = False
