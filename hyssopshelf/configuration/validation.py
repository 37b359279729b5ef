"""Validation of declared resources; errors name the field and the broken rule."""

import collections
import ipaddress
import math
import re
from collections.abc import Iterable

from hyssopshelf import exceptions
from hyssopshelf.configuration import declarations, resources

MAXIMUM_DOCUMENT_BYTES = 1_000_000
"""Largest document, in bytes; the store holds values of up to 1 MB."""

SHARE_TOLERANCE = 1e-6
"""Allowed deviation of a sum of shares from 1, as thirds do not sum exactly."""

MAXIMUM_NAME_CHARACTERS = 63

MAXIMUM_ENDPOINTS = 4
"""Maximum number of endpoints of a database. With five, a failover may leave two
endpoints outside the fenced majority: the replaced primary and a replica that still
follows it and reports fresh data. With four or fewer, only the replaced primary can
remain."""

_NAME = re.compile(r"[a-z0-9]([a-z0-9._-]*[a-z0-9])?")

_PORT_LIMIT = 65536

Kind = resources.ResourceKind


def check_name(name: str, path: str) -> None:
    """Check a name; it contains no slash, which separates names in full names."""
    if len(name) > MAXIMUM_NAME_CHARACTERS or not _NAME.fullmatch(name):
        raise exceptions.ValidationError(
            path,
            f"must be 1 to {MAXIMUM_NAME_CHARACTERS} of a-z 0-9 . _ - and begin and "
            f"end with a letter or digit, not {name!r}",
        )


def check_address(address: str, path: str) -> None:
    """Check that an address is ``IP:port``; host names are not resolved."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = port.isdecimal() and 0 < int(port) < _PORT_LIMIT
    except ValueError:
        valid = False
    if not valid:
        raise exceptions.ValidationError(path, f"must be IP:port, not {address!r}")


def check_unique(names: Iterable[str], path: str) -> None:
    """Check that no name is declared twice."""
    for name, count in collections.Counter(names).items():
        if count > 1:
            raise exceptions.ValidationError(
                path, f"{name!r} is declared {count} times"
            )


def check_at_least(value: float, least: float, path: str) -> None:
    """Check a lower bound."""
    if value < least:
        raise exceptions.ValidationError(path, f"must be at least {least}, not {value}")


def check_pool(spec: resources.PoolSpec) -> None:
    """Check the fields of a pool."""
    check_at_least(spec.slots, 1, "spec.slots")
    check_at_least(spec.connections, spec.slots, "spec.connections")
    check_unique(spec.partners, "spec.partners")
    check_unique((item.name for item in spec.databases), "spec.databases")
    addresses = []
    for index, database in enumerate(spec.databases):
        path = f"spec.databases[{index}]"
        check_name(database.name, f"{path}.name")
        if not database.endpoints:
            raise exceptions.ValidationError(f"{path}.endpoints", "must not be empty")
        if len(database.endpoints) > MAXIMUM_ENDPOINTS:
            raise exceptions.ValidationError(
                f"{path}.endpoints", f"must not be more than {MAXIMUM_ENDPOINTS}"
            )
        check_unique((item.name for item in database.endpoints), f"{path}.endpoints")
        for number, endpoint in enumerate(database.endpoints):
            endpoint_path = f"{path}.endpoints[{number}]"
            check_name(endpoint.name, f"{endpoint_path}.name")
            check_name(endpoint.place, f"{endpoint_path}.place")
            check_address(endpoint.address, f"{endpoint_path}.address")
            addresses.append(endpoint.address)
    check_unique(addresses, "spec.databases")


def check_partner(spec: resources.PartnerSpec) -> None:
    """Check the fields of a partner."""
    check_unique((kind.name for kind in spec.kinds), "spec.kinds")
    for index, kind in enumerate(spec.kinds):
        check_name(kind.name, f"spec.kinds[{index}].name")
        check_at_least(
            kind.staleness_seconds, 0, f"spec.kinds[{index}].stalenessSeconds"
        )


def check_rank(spec: resources.RankSpec) -> None:
    """Check the fields of a rank."""
    check_at_least(spec.order, 0, "spec.order")
    if not 0 <= spec.floor <= 1:
        raise exceptions.ValidationError(
            "spec.floor", f"must be 0 to 1, not {spec.floor}"
        )
    if spec.target_seconds <= 0:
        raise exceptions.ValidationError("spec.targetSeconds", "must be more than 0")
    check_at_least(spec.queue_limit, 1, "spec.queueLimit")
    if spec.acknowledge not in resources.ACKNOWLEDGEMENTS:
        allowed = " or ".join(resources.ACKNOWLEDGEMENTS)
        raise exceptions.ValidationError("spec.acknowledge", f"must be {allowed}")


def check_shares(shares: dict[str, float], path: str) -> None:
    """Check that shares are parts of 1 and add up to 1."""
    for name, share in shares.items():
        if not 0 <= share <= 1:
            raise exceptions.ValidationError(
                f"{path}.{name}", f"must be 0 to 1, not {share}"
            )
    total = math.fsum(shares.values())
    if abs(total - 1) > SHARE_TOLERANCE:
        raise exceptions.ValidationError(path, f"must add up to 1, not {total:g}")


def check_split(spec: resources.SplitSpec) -> None:
    """Check the fields of a split."""
    check_shares(spec.capacity, "spec.capacity")
    check_shares(spec.bill, "spec.bill")


_CHECKS = {
    Kind.POOL: check_pool,
    Kind.PARTNER: check_partner,
    Kind.RANK: check_rank,
    Kind.SPLIT: check_split,
}


def check_resource(resource: resources.Resource) -> None:
    """Check one resource independently of the others.

    Raises
    ------
    ValidationError
        With the field, below the resource's kind and name, and the rule.
    """
    prefix = f"{resource.kind.value}/{resource.name}"
    try:
        check_name(resource.name, "metadata.name")
        check_name(resource.pool, "metadata.pool")
        _CHECKS[resource.kind](resource.spec)
    except exceptions.ValidationError as error:
        raise exceptions.ValidationError(
            f"{prefix}: {error.field}", error.rule
        ) from None


def check_declared(declared: Iterable[resources.Resource], pool: str) -> None:
    """Check resources that are applied together, before they are merged.

    Raises
    ------
    ValidationError
        If one is faulty, is declared twice or belongs to another pool.
    """
    declared = tuple(declared)
    names = (f"{item.kind.value}/{item.name}" for item in declared)
    check_unique(names, "resources")
    for item in declared:
        check_resource(item)
        if item.pool != pool:
            raise exceptions.ValidationError(
                f"{item.kind.value}/{item.name}: metadata.pool", f"must be {pool!r}"
            )


def check_document(document: resources.Document) -> None:
    """Check all resources of a pool together, as they are after a change.

    Raises
    ------
    ValidationError
        With the field and the rule.
    """
    by_kind = {
        kind: {item.name: item.spec for item in document.resources if item.kind is kind}
        for kind in Kind
    }
    check_declared(document.resources, document.pool)
    if document.resources:
        _check_references(document, by_kind)
    size = len(declarations.encode_document(document))
    if size > MAXIMUM_DOCUMENT_BYTES:
        raise exceptions.ValidationError(
            f"Pool/{document.pool}",
            f"the document has {size} bytes, more than {MAXIMUM_DOCUMENT_BYTES}",
        )


def _check_references(document: resources.Document, by_kind: dict) -> None:
    """Check that resources refer only to resources that exist."""
    if set(by_kind[Kind.POOL]) != {document.pool}:
        others = [
            f"{item.kind.value}/{item.name}"
            for item in document.resources
            if (item.kind, item.name) != (Kind.POOL, document.pool)
        ]
        raise exceptions.ValidationError(
            f"Pool/{document.pool}",
            f"must exist and be the only one: {', '.join(others[:5])} need it",
        )
    partners = by_kind[Kind.POOL][document.pool].partners
    for name in partners:
        if name not in by_kind[Kind.PARTNER]:
            raise exceptions.ValidationError(
                f"Pool/{document.pool}: spec.partners",
                f"refers to Partner/{name}, which does not exist",
            )
    for name, spec in by_kind[Kind.PARTNER].items():
        if name not in partners:
            raise exceptions.ValidationError(
                f"Partner/{name}", f"is not in spec.partners of Pool/{document.pool}"
            )
        _check_kinds(name, spec, by_kind[Kind.RANK])
    _check_ranks(by_kind[Kind.RANK])
    _check_splits(by_kind[Kind.SPLIT], partners)


def _check_kinds(partner: str, spec: resources.PartnerSpec, ranks: dict) -> None:
    for index, kind in enumerate(spec.kinds):
        if kind.rank not in ranks:
            raise exceptions.ValidationError(
                f"Partner/{partner}: spec.kinds[{index}].rank",
                f"refers to Rank/{kind.rank}, which does not exist",
            )


def _check_ranks(ranks: dict[str, resources.RankSpec]) -> None:
    check_unique((str(spec.order) for spec in ranks.values()), "Rank: spec.order")
    total = math.fsum(spec.floor for spec in ranks.values())
    if total > 1 + SHARE_TOLERANCE:
        raise exceptions.ValidationError(
            "Rank: spec.floor",
            f"the floors of all ranks must add up to at most 1, not {total:g}",
        )


def _check_splits(
    splits: dict[str, resources.SplitSpec], partners: tuple[str, ...]
) -> None:
    if len(splits) > 1:
        names = ", ".join(sorted(splits))
        raise exceptions.ValidationError(
            "Split", f"a pool has at most one, not {names}"
        )
    for name, spec in splits.items():
        for field in ("capacity", "bill"):
            shares = getattr(spec, field)
            for partner in sorted(set(shares) ^ set(partners)):
                rule = "is missing" if partner in partners else "is not a partner"
                raise exceptions.ValidationError(
                    f"Split/{name}: spec.{field}.{partner}", f"{rule} of the pool"
                )


def check_change(held: resources.Document, new: resources.Document) -> None:
    """Check that a change adds or removes at most one endpoint of a database.

    Each majority of the old group then intersects each majority of the new
    one, so that nodes that hold different versions cannot promote two primaries.

    Raises
    ------
    ValidationError
        If a database changes by two endpoints or more.
    """
    before, after = _list_groups(held), _list_groups(new)
    for name in before.keys() & after.keys():
        changed = before[name] ^ after[name]
        if len(changed) > 1:
            raise exceptions.ValidationError(
                f"spec.databases.{name}.endpoints",
                "may change by one endpoint at a time, not by "
                + ", ".join(sorted(changed)),
            )


def _list_groups(document: resources.Document) -> dict[str, frozenset[str]]:
    """Return the names of the endpoints of each database."""
    return {
        database.name: frozenset(endpoint.name for endpoint in database.endpoints)
        for resource in document.resources
        if isinstance(resource.spec, resources.PoolSpec)
        for database in resource.spec.databases
    }
