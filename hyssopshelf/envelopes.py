"""Encode messages between nodes and decode them with checks of their types.

A message is a list of its fields in the order of its class, without their names: the
names would be two thirds of a ping. The classes are few and are read at the start of
every process, so the checks are plain functions that are composed at the first use of
a class; a library that generates code for them doubles that time.
"""

import enum
import functools
import operator
import types
import typing
import zlib
from collections.abc import Callable
from typing import TypeVar

import attrs
import msgpack

from hyssopshelf import exceptions

MAXIMUM_MESSAGE_BYTES = 4 * 1024 * 1024
"""Largest message between nodes, in bytes; the largest document has 1 MB."""

_PLAIN_TYPES = {
    int: (int,),
    float: (float, int),
    str: (str,),
    bytes: (bytes,),
    bool: (bool,),
    type(None): (type(None),),
}
"""Types of a decoded value that a field of a plain type accepts."""

_CLASSES: dict[int, type] = {}
_NUMBERS: dict[type, int] = {}

T = TypeVar("T")
Reader = Callable[[object], object]


def register(name: str) -> Callable[[type[T]], type[T]]:
    """Return a decorator that registers a message class under a name.

    Messages carry the 16-bit checksum of the name.

    Raises
    ------
    ValueError
        If another class has the same checksum, when the decorator is applied.
    """
    number = zlib.crc32(name.encode()) & 0xFFFF

    def add(message_class: type[T]) -> type[T]:
        if number in _CLASSES:
            raise ValueError(f"message name {name} is registered twice")
        _CLASSES[number] = message_class
        _NUMBERS[message_class] = number
        return message_class

    return add


@attrs.frozen(kw_only=True)
class Envelope:
    """A message with the host and address of its sender.

    Attributes
    ----------
    host : str
        Name of the sending host.
    address : str
        Address on which the sender's node listens for peers.
    message : object
        Object of a registered message class.
    """

    host: str
    address: str
    message: object


def encode(envelope: Envelope) -> bytes:
    """Encode an envelope as msgpack."""
    message = envelope.message
    return msgpack.packb(
        (envelope.host, envelope.address, _NUMBERS[type(message)], message),
        default=_list_fields,
    )


def decode(data: bytes) -> Envelope:
    """Decode an envelope.

    Raises
    ------
    CodecError
        If the data is not a complete message of a registered class.
    """
    try:
        host, address, number, body = msgpack.unpackb(data, strict_map_key=False)
        message = _make_reader(_CLASSES[number])(body)
        return Envelope(
            host=_read_plain((str,), host),
            address=_read_plain((str,), address),
            message=message,
        )
    except Exception as error:
        raise exceptions.CodecError(f"undecodable message: {error!r}") from error


def join_batch(parts: list[bytes]) -> bytes:
    """Encode a list of encoded envelopes as one batch."""
    return msgpack.packb(parts)


def split_batch(data: bytes) -> list[bytes]:
    """Split a batch into encoded envelopes.

    Raises
    ------
    CodecError
        If the data is not a complete batch.
    """
    try:
        parts = msgpack.unpackb(data)
    except Exception as error:
        raise exceptions.CodecError(f"undecodable batch: {error!r}") from error
    if not isinstance(parts, list) or not all(isinstance(p, bytes) for p in parts):
        raise exceptions.CodecError("undecodable batch: not a list of messages")
    return parts


def _list_fields(value: object) -> object:
    """Return what msgpack encodes for an object that it does not know."""
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, set | frozenset):
        return sorted(value)
    return _make_getter(type(value))(value)


@functools.cache
def _make_getter(message_class: type) -> Callable[[object], tuple]:
    names = [field.name for field in attrs.fields(message_class)]
    if len(names) > 1:
        return operator.attrgetter(*names)
    return lambda value: tuple(getattr(value, name) for name in names)


@functools.cache
def _make_reader(kind) -> Reader:
    """Return a function that converts a decoded value to a type, or raises."""
    if kind in _PLAIN_TYPES:
        return functools.partial(_read_plain, _PLAIN_TYPES[kind])
    if kind in (object, typing.Any):
        return lambda value: value
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return kind
    if attrs.has(kind):
        return _make_class_reader(kind)
    origin, arguments = typing.get_origin(kind), typing.get_args(kind)
    if origin in (types.UnionType, typing.Union):
        return _make_union_reader(arguments)
    if origin is tuple and arguments[-1] is not Ellipsis:
        return _make_row_reader(arguments)
    if origin in (list, tuple, set, frozenset):
        return _make_sequence_reader(origin, _make_reader(arguments[0]))
    if origin is dict:
        return _make_mapping_reader(*map(_make_reader, arguments))
    if kind in (dict, list, tuple):
        return lambda value: kind(value)
    raise TypeError(f"no reader for the type {kind!r}")


def _read_plain(accepted: tuple[type, ...], value: object) -> object:
    # ``bool`` is a subclass of ``int``, so the types are compared exactly.
    if type(value) not in accepted:
        raise TypeError(f"unexpected type {type(value).__name__}")
    return value


def _read_list(value: object) -> list:
    if not isinstance(value, list):
        raise TypeError(f"{type(value).__name__} is not a list")
    return value


def _make_class_reader(kind: type) -> Reader:
    attrs.resolve_types(kind)
    fields = [(f.name, _make_reader(f.type)) for f in attrs.fields(kind)]

    def read(value: object) -> object:
        pairs = zip(fields, _read_list(value), strict=True)
        return kind(**{name: reader(item) for (name, reader), item in pairs})

    return read


def _make_union_reader(kinds: tuple) -> Reader:
    readers = [_make_reader(kind) for kind in kinds if kind is not type(None)]
    optional = type(None) in kinds

    def read(value: object) -> object:
        if value is None and optional:
            return None
        for reader in readers[:-1]:
            try:
                return reader(value)
            except (TypeError, ValueError):
                continue
        return readers[-1](value)

    return read


def _make_row_reader(kinds: tuple) -> Reader:
    readers = [_make_reader(kind) for kind in kinds]

    def read(value: object) -> tuple:
        pairs = zip(readers, _read_list(value), strict=True)
        return tuple(reader(item) for reader, item in pairs)

    return read


def _make_sequence_reader(collect: type, reader: Reader) -> Reader:
    return lambda value: collect(reader(item) for item in _read_list(value))


def _make_mapping_reader(read_key: Reader, read_value: Reader) -> Reader:
    def read(value: object) -> dict:
        if not isinstance(value, dict):
            raise TypeError(f"{type(value).__name__} is not a mapping")
        return {read_key(key): read_value(item) for key, item in value.items()}

    return read
