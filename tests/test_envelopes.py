"""Tests of messages between nodes: sizes, checks and malformed input."""

import hypothesis
import msgpack
import pytest
from hypothesis import strategies

from hyssopshelf import envelopes, exceptions
from hyssopshelf.authority import exchange
from hyssopshelf.gateway import forward_messages

VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**63 - 1)
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=8)
    | strategies.binary(max_size=8),
    lambda inner: strategies.lists(inner, max_size=20)
    | strategies.dictionaries(strategies.text(max_size=4), inner, max_size=3),
    max_leaves=30,
)

FORWARD = forward_messages.Forward(
    unit=1,
    step=1,
    endpoint="i-7f3a91c2aa",
    database="mondk1a",
    rank=0,
    version=1,
    remaining=0.5,
    values=[(b"a", b"b")],
    shape=(True, b"q1"),
    head=b"head",
    tail=b"tail",
)
PONG = exchange.Pong(
    sequence=1,
    epoch=1000,
    authoritative=True,
    direct=("db",),
    successors=("a", "b"),
    observations={"db": (1, 2, 3, 4)},
)
MESSAGES = (FORWARD, PONG, exchange.Locate())


def encode(message) -> bytes:
    envelope = envelopes.Envelope(host="h", address="a:1", message=message)
    return envelopes.encode(envelope)


@pytest.mark.parametrize("message", MESSAGES)
def test_a_message_keeps_its_fields_and_their_types(message):
    assert envelopes.decode(encode(message)).message == message


def test_a_message_carries_no_names_of_fields():
    assert b"remaining" not in encode(FORWARD)
    assert len(encode(FORWARD)) < 80


@pytest.mark.parametrize("message", MESSAGES[:2])
def test_a_field_of_another_type_is_refused(message):
    host, address, number, body = msgpack.unpackb(encode(message))
    for index in range(len(body)):
        changed = [*body]
        changed[index] = {"unexpected": 1.5} if index else "text"
        data = msgpack.packb([host, address, number, changed])
        try:
            decoded = envelopes.decode(data).message
        except exceptions.CodecError:
            continue
        # Only a mapping field may accept a mapping.
        assert isinstance(decoded, exchange.Pong)
    data = msgpack.packb([host, address, number, body[:-1]])
    with pytest.raises(exceptions.CodecError):
        envelopes.decode(data)


@hypothesis.given(body=VALUES, message=strategies.sampled_from(MESSAGES))
def test_no_body_raises_anything_but_a_codec_error(body, message):
    number = msgpack.unpackb(encode(message))[2]
    try:
        decoded = envelopes.decode(msgpack.packb(["h", "a:1", number, body]))
    except exceptions.CodecError:
        return
    assert type(decoded.message) is type(message)


@hypothesis.given(data=strategies.binary(max_size=60))
def test_no_bytes_raise_anything_but_a_codec_error(data):
    for read in (envelopes.decode, envelopes.split_batch):
        try:
            read(data)
        except exceptions.CodecError:
            continue


def test_two_names_with_one_checksum_are_refused():
    envelopes.register("tests.first")(type("First", (), {}))
    with pytest.raises(ValueError, match="twice"):
        envelopes.register("tests.first")(type("Second", (), {}))


def test_the_reason_of_a_refused_message_is_short():
    """It goes into a log line; a message may have megabytes."""
    number = msgpack.unpackb(encode(exchange.Locate()))[2]
    for body in (b"x" * 100_000, ["x" * 100_000], {"x": "y" * 100_000}):
        with pytest.raises(exceptions.CodecError) as error:
            envelopes.decode(msgpack.packb(["h", "a:1", number, body]))
        assert len(str(error.value)) < 200
    with pytest.raises(exceptions.CodecError) as error:
        envelopes.decode(msgpack.packb([["h" * 100_000], "a:1", number, []]))
    assert len(str(error.value)) < 200
