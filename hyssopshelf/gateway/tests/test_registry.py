"""Tests of a registry that shows older entries."""

from hyssopshelf.gateway import catalog, registry


def make_endpoint(leaving: bool, sequence: int, started: int = 1) -> catalog.Endpoint:
    return catalog.Endpoint(
        id="e",
        database="db",
        address="10.0.0.1:1",
        place="p",
        slots=1,
        leaving=leaving,
        leads=False,
        started=started,
        sequence=sequence,
    )


def merge(history: registry.EndpointHistory, endpoint, now: float) -> bool:
    """Return whether the endpoint counts as leaving."""
    return history.merge({"e": endpoint}, now)["e"].leaving


# DRAIN: an endpoint that leaves gets new work again.
def test_an_older_entry_does_not_replace_a_newer_one():
    history = registry.EndpointHistory()
    assert not merge(history, make_endpoint(False, 1), 0.0)
    assert merge(history, make_endpoint(True, 5), 1.0)
    assert merge(history, make_endpoint(False, 1), 2.0)
    assert merge(history, make_endpoint(False, 1), 2.0 + registry.OLDER_SECONDS / 2)
    assert not merge(history, make_endpoint(False, 6), 5.0)


def test_an_entry_that_stays_is_used():
    """A malformed entry may have had a sequence that the endpoint never reaches."""
    history = registry.EndpointHistory()
    merge(history, make_endpoint(True, 10**9), 0.0)
    assert merge(history, make_endpoint(False, 5), 1.0)
    assert not merge(history, make_endpoint(False, 5), 1.0 + registry.OLDER_SECONDS)
    assert not merge(history, make_endpoint(False, 5), 9.0)


def test_another_incarnation_is_used_at_once():
    history = registry.EndpointHistory()
    merge(history, make_endpoint(True, 7), 0.0)
    assert not merge(history, make_endpoint(False, 1, started=2), 1.0)
    assert not merge(history, make_endpoint(False, 1, started=0), 2.0)


def test_an_endpoint_that_is_gone_is_not_kept():
    history = registry.EndpointHistory()
    merge(history, make_endpoint(True, 7), 0.0)
    assert history.merge({}, 1.0) == {}
    assert not merge(history, make_endpoint(False, 1), 2.0)


def test_the_sequence_is_no_change_of_an_endpoint():
    assert make_endpoint(False, 1) == make_endpoint(False, 2)
    assert repr(make_endpoint(False, 1)) == repr(make_endpoint(False, 2))
