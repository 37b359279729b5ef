"""Change, compare and checksum the versioned document of a pool.

The functions are pure: they keep no state and do no I/O.
"""

import hashlib
import json
from collections.abc import Sequence

import attrs
import result

from hyssopshelf.configuration import declarations, resources

KEY_PREFIX = "configuration/"
"""Prefix of the store keys that hold documents."""

MAXIMUM_CHANGE_IDS = 64
"""Number of change ids that a document keeps to recognise a retried change."""

_CHECKSUM_BYTES = 8


@attrs.frozen(kw_only=True)
class Reference:
    """Names one resource of a pool.

    Attributes
    ----------
    resource_version : int
        Version that the caller has read, 0 if it gives none.
    """

    kind: resources.ResourceKind
    name: str
    resource_version: int = 0


@attrs.frozen(kw_only=True)
class ChangeSet:
    """Changes to one pool that are committed together.

    Attributes
    ----------
    change_id : str
        Identifier chosen by the caller; it makes a retry idempotent.
    put : tuple of Resource
        Resources to create or replace.
    remove : tuple of Reference
        Resources to delete.
    base_version : int
        Document version that the caller has read; the resource version of
        each resource that gives none.
    """

    pool: str
    change_id: str
    put: tuple[resources.Resource, ...] = ()
    remove: tuple[Reference, ...] = ()
    base_version: int = 0


@attrs.frozen(kw_only=True)
class Conflict:
    """A change that is based on another version than the current one.

    Attributes
    ----------
    given, current : int
        Resource version of the change and of the document; 0 means absent.
    """

    kind: resources.ResourceKind
    name: str
    given: int
    current: int

    def describe(self) -> str:
        """Return the conflict as one line for the operator."""
        return (
            f"{self.kind.value}/{self.name}: the change has resourceVersion "
            f"{self.given}, the accepted one has {self.current}"
        )


@attrs.frozen(kw_only=True)
class Difference:
    """A field that differs between two states of a resource.

    Attributes
    ----------
    resource : str
        ``Kind/name``.
    field : str
        Path of the field, empty if the whole resource was added or removed.
    before, after : object
        Plain values, None where absent.
    """

    resource: str
    field: str
    before: object
    after: object


def key_of(pool: str) -> str:
    """Return the store key of a pool's document."""
    return KEY_PREFIX + pool


def empty_document(pool: str) -> resources.Document:
    """Return the document of a pool that was never declared."""
    return resources.Document(pool=pool, version=0)


def checksum(document: resources.Document) -> int:
    """Return a checksum of a document's whole content."""
    return checksum_data(declarations.encode_document(document))


def checksum_data(data: bytes) -> int:
    """Return the checksum of an encoded document."""
    digest = hashlib.blake2b(data, digest_size=_CHECKSUM_BYTES).digest()
    return int.from_bytes(digest, "big")


def recorded_id(changes: ChangeSet) -> str:
    """Return the change id as documents keep it.

    It includes a fingerprint of the content, so that different changes sent
    under a used id are applied and not taken for a retry.
    """
    plain = [
        [declarations.describe_resource(item) for item in changes.put],
        [
            [item.kind.value, item.name, item.resource_version]
            for item in changes.remove
        ],
        changes.base_version,
    ]
    data = json.dumps(plain, sort_keys=True).encode()
    return f"{changes.change_id}-{hashlib.blake2b(data, digest_size=4).hexdigest()}"


def contains_change(document: resources.Document, changes: ChangeSet) -> bool:
    """Return whether a document already includes a set of changes."""
    return recorded_id(changes) in document.change_ids


def supersedes(new: resources.Document, held: resources.Document | None) -> bool:
    """Return whether a node that holds one document has to apply another one.

    A higher version always supersedes. Two contents with the same version
    come from a store that lost data; every node then keeps the one with the
    higher checksum, so that all converge whatever the order of arrival.
    """
    if held is None or new.version != held.version:
        return held is None or new.version > held.version
    return new != held and checksum(new) > checksum(held)


def apply_changes(
    document: resources.Document, changes: ChangeSet
) -> result.Result[resources.Document, Conflict]:
    """Apply a set of changes to a document; the result is not yet validated.

    Returns
    -------
    Ok(Document)
        The document with its version raised by one, or the same document if
        it already includes the changes or they change nothing.
    Err(Conflict)
        A resource has changed since the caller read it.
    """
    if contains_change(document, changes):
        return result.Ok(document)
    version = document.version + 1
    held = {(item.kind, item.name): item for item in document.resources}
    altered = False
    for item in changes.put:
        key = (item.kind, item.name)
        current = held.get(key)
        if current is not None and current.spec == item.spec:
            continue
        conflict = _find_conflict(item, current, changes.base_version)
        if conflict is not None:
            return result.Err(conflict)
        held[key] = attrs.evolve(item, resource_version=version)
        altered = True
    for reference in changes.remove:
        current = held.get((reference.kind, reference.name))
        if current is None:
            continue
        conflict = _find_conflict(reference, current, changes.base_version)
        if conflict is not None:
            return result.Err(conflict)
        del held[(reference.kind, reference.name)]
        altered = True
    if not altered:
        return result.Ok(document)
    change_ids = (*document.change_ids, recorded_id(changes))[-MAXIMUM_CHANGE_IDS:]
    ordered = sorted(held.values(), key=lambda item: (item.kind.value, item.name))
    return result.Ok(
        resources.Document(
            pool=document.pool,
            version=version,
            change_ids=change_ids,
            resources=tuple(ordered),
        )
    )


def _find_conflict(
    change: resources.Resource | Reference,
    current: resources.Resource | None,
    base_version: int,
) -> Conflict | None:
    """Return the version conflict of one change, None if it can be applied."""
    held = current.resource_version if current is not None else 0
    given = change.resource_version
    if given == held or (given == 0 and held <= base_version):
        return None
    return Conflict(kind=change.kind, name=change.name, given=given, current=held)


def compare(
    before: resources.Document, after: resources.Document
) -> tuple[Difference, ...]:
    """Return the fields that differ between two documents."""
    old = {_label(item): declarations.to_plain(item.spec) for item in before.resources}
    new = {_label(item): declarations.to_plain(item.spec) for item in after.resources}
    found = []
    for label in sorted(old.keys() | new.keys()):
        _compare_values(label, "", old.get(label), new.get(label), found)
    return tuple(found)


def _label(resource: resources.Resource) -> str:
    return f"{resource.kind.value}/{resource.name}"


def _compare_values(
    label: str, path: str, before: object, after: object, found: list[Difference]
) -> None:
    """Append the differences of two plain values, by field."""
    if before == after:
        return
    if isinstance(before, dict) and isinstance(after, dict):
        for name in sorted(before.keys() | after.keys()):
            inner = f"{path}.{name}" if path else f"spec.{name}"
            _compare_values(label, inner, before.get(name), after.get(name), found)
        return
    if _comparable_lists(before, after):
        for index, (left, right) in enumerate(zip(before, after, strict=True)):
            _compare_values(label, f"{path}[{index}]", left, right, found)
        return
    found.append(Difference(resource=label, field=path, before=before, after=after))


def _comparable_lists(before: object, after: object) -> bool:
    """Return whether two values are lists that can be compared by index."""
    lists = isinstance(before, Sequence) and isinstance(after, Sequence)
    return (
        lists
        and not isinstance(before, str)
        and not isinstance(after, str)
        and len(before) == len(after)
    )
