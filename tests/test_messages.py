"""Tests of the codec for messages between nodes."""

import pytest

from hyssopshelf import envelopes, exceptions, messages

STATEMENT = messages.Statement(
    id="1",
    pool="labelstore",
    database="racks",
    partner="priehradka",
    kind="scan",
    operation=messages.Operation.APPEND,
    key="slot-7",
    value="label",
)
FORWARD = messages.ForwardStatement(
    request_id="h.1.1",
    endpoint="labelstore/racks/a",
    statement=STATEMENT,
    required=messages.Position(term=2, index=9),
    remaining_seconds=1.5,
)
ENVELOPE = envelopes.Envelope(host="h1", address="127.0.0.1:1", message=FORWARD)


def test_envelope_survives_the_wire():
    """Guards against fields that are lost or change type between two nodes."""
    assert envelopes.decode(envelopes.encode(ENVELOPE)) == ENVELOPE


@pytest.mark.parametrize("end", [0, 1, 10, -1])
def test_truncated_message_is_refused(end):
    """Guards against decoding a truncated message as a complete one."""
    with pytest.raises(exceptions.CodecError):
        envelopes.decode(envelopes.encode(ENVELOPE)[:end])


def test_every_error_kind_has_a_disposition():
    """Guards against an error kind without an entry in the table of dispositions."""
    assert set(exceptions.DISPOSITIONS) == set(exceptions.ErrorKind)
