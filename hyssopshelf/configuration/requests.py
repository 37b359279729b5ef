"""Requests and answers of the resource API."""

from typing import Any

import attrs

from hyssopshelf import exceptions
from hyssopshelf.configuration import documents, resources


@attrs.frozen(kw_only=True)
class ApiRequest:
    """A request of an operator.

    Attributes
    ----------
    pool : str
        Pool that it addresses.
    remaining_seconds : float
        Time left until the deadline when the request arrived.
    """

    pool: str
    remaining_seconds: float = 5.0


@attrs.frozen(kw_only=True)
class Apply(ApiRequest):
    """Create or replace resources of a pool, all or none.

    Attributes
    ----------
    change_id : str
        Identifier chosen by the caller; a retry with the same id is idempotent.
    resources : tuple of Resource
        The declared resources.
    base_version : int
        Document version that the caller has read, for resources without a
        resource version.
    """

    change_id: str
    resources: tuple[resources.Resource, ...]
    base_version: int = 0


@attrs.frozen(kw_only=True)
class Delete(ApiRequest):
    """Delete resources of a pool; without references, delete the whole pool."""

    change_id: str
    references: tuple[documents.Reference, ...] = ()
    base_version: int = 0


@attrs.frozen(kw_only=True)
class Get(ApiRequest):
    """Read one resource as it is in force on this node."""

    kind: resources.ResourceKind
    name: str


@attrs.frozen(kw_only=True)
class List(ApiRequest):
    """Read the resources of a pool or, without a pool, the versions of all."""

    kind: resources.ResourceKind | None = None


@attrs.frozen(kw_only=True)
class Diff(ApiRequest):
    """Compare declared resources with those in force."""

    resources: tuple[resources.Resource, ...]


@attrs.frozen(kw_only=True)
class Watch(ApiRequest):
    """Wait until a version higher than ``after_version`` is in force here."""

    after_version: int = 0


@attrs.frozen(kw_only=True)
class Status(ApiRequest):
    """Ask all nodes for a version; 0 asks for the one in force here."""

    version: int = 0


@attrs.frozen(kw_only=True)
class Bill(ApiRequest):
    """Read the slot time used in a pool by partner and rank."""


@attrs.frozen(kw_only=True)
class Drain(ApiRequest):
    """Stop this node gracefully; ``pool`` is not used."""

    pool: str = ""


@attrs.frozen(kw_only=True)
class ApiAnswer:
    """Answer to a request of an operator.

    Attributes
    ----------
    error : ErrorKind or None
        None on success.
    message : str
        Explanation of the error.
    body : dict
        Plain data of the answer.
    """

    error: exceptions.ErrorKind | None = None
    message: str = ""
    body: dict[str, Any] = attrs.field(factory=dict)
