"""Conversion of declared resources between text, plain data and attrs classes.

A resource in YAML or JSON has ``kind``, ``metadata`` (``name``, ``pool``,
``resourceVersion``), ``spec`` with field names in camelCase and, in answers
only, ``status``.
"""

import functools
import json
import math
import typing

import attrs
import yaml

from hyssopshelf import exceptions
from hyssopshelf.configuration import resources

MAXIMUM_TEXT_BYTES = 4_000_000
"""Largest declaration text, in bytes; one text may declare several pools."""

_TYPE_NAMES = {str: "a string", bool: "true or false", int: "a whole number"}
_TOP_FIELDS = frozenset({"kind", "metadata", "spec", "status"})
_METADATA_FIELDS = frozenset({"name", "pool", "resourceVersion"})


class _Loader(getattr(yaml, "CSafeLoader", yaml.SafeLoader)):
    """YAML loader that rejects a mapping with a duplicate key."""

    def construct_mapping(self, node, deep=False):
        """Build a mapping; the base loader would keep only the last value."""
        seen = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            check_string(key, "declaration")
            if key in seen:
                raise exceptions.ValidationError(key, "is given twice")
            seen.add(key)
        return super().construct_mapping(node, deep)


@functools.cache
def camel_case(name: str) -> str:
    """Return the camelCase field name of an attribute."""
    first, *rest = name.split("_")
    return first + "".join(word.capitalize() for word in rest)


def parse_json(text: str) -> object:
    """Parse JSON; an object with a duplicate name is rejected.

    Raises
    ------
    ValidationError
        If the text is not JSON or an object repeats a name.
    """
    try:
        return json.loads(text, object_pairs_hook=_build_mapping)
    except (ValueError, RecursionError) as error:
        raise exceptions.ValidationError(
            "declaration", f"is not JSON: {error}"
        ) from error


def _build_mapping(pairs: list[tuple[str, object]]) -> dict[str, object]:
    mapping = dict(pairs)
    if len(mapping) < len(pairs):
        names = [name for name, _ in pairs]
        repeated = next(name for name in names if names.count(name) > 1)
        raise exceptions.ValidationError(repeated, "is given twice")
    return mapping


def parse_text(text: str) -> tuple[resources.Resource, ...]:
    """Parse the resources of a YAML or JSON text.

    Parsing YAML takes seconds per megabyte, so the command-line client parses
    it and sends JSON; a node parses JSON only.

    Parameters
    ----------
    text : str
        One JSON value or one or more YAML documents; a list holds several
        resources.

    Returns
    -------
    tuple of Resource
        The declared resources, in order.

    Raises
    ------
    ValidationError
        If the text cannot be parsed, is too long, or a resource is malformed.
    """
    if len(text.encode()) > MAXIMUM_TEXT_BYTES:
        raise exceptions.ValidationError(
            "declaration", f"exceeds {MAXIMUM_TEXT_BYTES} bytes"
        )
    if text.lstrip()[:1] in ("{", "["):
        return parse_resources([parse_json(text)])
    try:
        return parse_resources(list(yaml.load_all(text, Loader=_Loader)))
    except (yaml.YAMLError, RecursionError) as error:
        reason = " ".join(str(error).split())
        raise exceptions.ValidationError(
            "declaration", f"is not YAML or JSON: {reason}"
        ) from error


def parse_resources(parts: list) -> tuple[resources.Resource, ...]:
    """Build resources from plain data: mappings or lists of mappings."""
    found = []
    for part in parts:
        items = part if isinstance(part, list) else [part]
        found.extend(parse_resource(item) for item in items if item is not None)
    if not found:
        raise exceptions.ValidationError("declaration", "holds no resource")
    return tuple(found)


def parse_resource(plain: object) -> resources.Resource:
    """Build a resource from plain data.

    Raises
    ------
    ValidationError
        If a field is missing, unknown or of a wrong type.
    """
    check_fields(plain, _TOP_FIELDS, {"kind", "metadata", "spec"}, "resource")
    check_string(plain["kind"], "kind")
    known = [kind.value for kind in resources.ResourceKind]
    if plain["kind"] not in known:
        raise exceptions.ValidationError("kind", f"must be one of {', '.join(known)}")
    kind = resources.ResourceKind(plain["kind"])
    metadata = plain["metadata"]
    check_fields(metadata, _METADATA_FIELDS, {"name", "pool"}, "metadata")
    version = metadata.get("resourceVersion", 0)
    if type(version) is not int or version < 0:
        raise exceptions.ValidationError(
            "metadata.resourceVersion", "must be a whole number, 0 or more"
        )
    check_string(metadata["name"], "metadata.name")
    check_string(metadata["pool"], "metadata.pool")
    return resources.Resource(
        kind=kind,
        pool=metadata["pool"],
        name=metadata["name"],
        resource_version=version,
        spec=_parse_value(plain["spec"], resources.SPECS[kind], "spec"),
    )


def check_string(value: object, path: str) -> None:
    """Raise ValidationError unless the value is a string."""
    if type(value) is not str:
        raise exceptions.ValidationError(path, "must be a string")


def check_fields(
    plain: object,
    allowed: typing.Collection[str],
    required: typing.Collection[str],
    path: str,
) -> None:
    """Raise ValidationError for an unknown field or a missing required one."""
    if not isinstance(plain, dict):
        raise exceptions.ValidationError(path, "must be a mapping")
    for name in plain:
        if name not in allowed:
            raise exceptions.ValidationError(f"{path}.{name}", "is an unknown field")
    for name in sorted(set(required) - set(plain)):
        raise exceptions.ValidationError(f"{path}.{name}", "is missing")


def _parse_value(plain: object, target: typing.Any, path: str) -> typing.Any:
    """Build a value of an annotated type; the only conversion is int to float."""
    if attrs.has(target):
        return _parse_object(plain, target, path)
    origin = typing.get_origin(target)
    if origin is tuple:
        if not isinstance(plain, list):
            raise exceptions.ValidationError(path, "must be a list")
        item = typing.get_args(target)[0]
        return tuple(
            _parse_value(value, item, f"{path}[{index}]")
            for index, value in enumerate(plain)
        )
    if origin is dict:
        if not isinstance(plain, dict):
            raise exceptions.ValidationError(path, "must be a mapping")
        item = typing.get_args(target)[1]
        return {
            name: _parse_value(value, item, f"{path}.{name}")
            for name, value in plain.items()
        }
    if target is float:
        if type(plain) not in (int, float) or not math.isfinite(plain):
            raise exceptions.ValidationError(path, "must be a finite number")
        return float(plain)
    if type(plain) is not target:
        raise exceptions.ValidationError(path, f"must be {_TYPE_NAMES[target]}")
    return plain


@attrs.frozen(kw_only=True)
class _ClassFields:
    """Attribute and type of each declared field of a class, and required fields."""

    fields: dict[str, tuple[str, typing.Any]]
    required: frozenset[str]


@functools.cache
def _find_class_fields(target: type) -> _ClassFields:
    """Return the fields of a class; cached, as type hints dominate parse time."""
    hints = typing.get_type_hints(target)
    found = attrs.fields(target)
    return _ClassFields(
        fields={camel_case(item.name): (item.name, hints[item.name]) for item in found},
        required=frozenset(
            camel_case(item.name) for item in found if item.default is attrs.NOTHING
        ),
    )


def _parse_object(plain: object, target: type, path: str) -> typing.Any:
    """Build an attrs object from a mapping with names in camelCase."""
    class_fields = _find_class_fields(target)
    check_fields(plain, class_fields.fields, class_fields.required, path)
    values = {}
    for name, value in plain.items():
        attribute, hint = class_fields.fields[name]
        values[attribute] = _parse_value(value, hint, f"{path}.{name}")
    return target(**values)


def to_plain(value: typing.Any) -> typing.Any:
    """Return the plain data of a spec, with names in camelCase."""
    if attrs.has(type(value)):
        return {
            name: to_plain(getattr(value, attribute))
            for name, (attribute, _) in _find_class_fields(type(value)).fields.items()
        }
    if isinstance(value, tuple):
        return [to_plain(item) for item in value]
    if isinstance(value, dict):
        return dict(value)
    return value


def describe_resource(
    resource: resources.Resource, status: dict | None = None
) -> dict[str, typing.Any]:
    """Return a resource as plain data, with its status if one is given."""
    plain = {
        "kind": resource.kind.value,
        "metadata": {
            "name": resource.name,
            "pool": resource.pool,
            "resourceVersion": resource.resource_version,
        },
        "spec": to_plain(resource.spec),
    }
    return plain | ({"status": status} if status is not None else {})


def encode_document(document: resources.Document) -> bytes:
    """Return the canonical JSON of a document; equal documents give equal bytes."""
    plain = {
        "pool": document.pool,
        "version": document.version,
        "changeIds": list(document.change_ids),
        "resources": [describe_resource(item) for item in document.resources],
    }
    return json.dumps(plain, sort_keys=True, separators=(",", ":")).encode()


def decode_document(data: bytes) -> resources.Document:
    """Build a document from its JSON.

    Raises
    ------
    CodecError
        If the data is not a document.
    """
    try:
        plain = json.loads(data)
        return resources.Document(
            pool=str(plain["pool"]),
            version=int(plain["version"]),
            change_ids=tuple(str(item) for item in plain["changeIds"]),
            resources=tuple(parse_resource(item) for item in plain["resources"]),
        )
    except (ValueError, TypeError, LookupError, exceptions.ValidationError) as error:
        raise exceptions.CodecError(f"undecodable document: {error!r}") from error
