"""Tests of the database stand-in."""

from hyssopshelf import messages
from hyssopshelf.standins import database


def test_status_of_a_new_instance_survives_json():
    """Guards against an age of infinity, which JSON turns into null."""
    status = database.Instance(name="p/d/a").report_status(1.0)
    wire = messages.to_json(status)
    assert messages.from_json(wire, messages.EndpointStatus) == status


def test_former_primary_is_not_fresh_before_its_first_fetch():
    """Guards against a replaced primary that passes its old data off as new."""
    instance = database.Instance(name="p/d/a")
    instance.bootstrap(1, 0.0)
    instance.follow(messages.Follow(term=2, primary="p/d/b"), 100.0)
    assert instance.report_status(100.0).lag_seconds > 100.0
    instance.fence(messages.Fence(term=3, promoter="h"), 101.0)
    assert instance.report_status(101.0).lag_seconds > 100.0
