"""Tests of the state machine of the stand-in database instance."""

from hyssopshelf import messages
from hyssopshelf.standins import database


def test_status_of_a_new_instance_survives_json():
    """Guards against an infinite age, which JSON encodes as null."""
    status = database.Instance(name="p/d/a").report_status(1.0)
    encoded = messages.to_json(status)
    assert messages.from_json(encoded, messages.EndpointStatus) == status


def test_former_primary_reports_lag_before_its_first_fetch():
    """Guards against a demoted primary that reports no lag for outdated data."""
    instance = database.Instance(name="p/d/a")
    instance.bootstrap(1, 0.0)
    instance.follow(messages.Follow(term=2, primary="p/d/b"), 100.0)
    assert instance.report_status(100.0).lag_seconds > 100.0
    instance.fence(messages.Fence(term=3, promoter="h"), 101.0)
    assert instance.report_status(101.0).lag_seconds > 100.0
