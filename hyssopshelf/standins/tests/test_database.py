"""Tests of the database stand-in."""

from hyssopshelf import messages
from hyssopshelf.standins import database


def test_status_of_a_new_instance_survives_json():
    """Guards against an age of infinity, which JSON turns into null."""
    status = database.Instance(name="p/d/a").report_status(1.0)
    wire = messages.to_json(status)
    assert messages.from_json(wire, messages.EndpointStatus) == status
