"""Tests of the rules for groups of endpoints."""

import pytest

from hyssopshelf import exceptions
from hyssopshelf.configuration import resources, validation


def make_document(names: str) -> resources.Document:
    """Return a document with one database of the named endpoints."""
    endpoints = tuple(
        resources.EndpointSpec(name=name, address=f"10.0.0.{n}:1", place="p")
        for n, name in enumerate(names, start=1)
    )
    spec = resources.PoolSpec(
        databases=(resources.DatabaseSpec(name="d", endpoints=endpoints),),
        partners=("a",),
        slots=1,
        connections=1,
    )
    pool = resources.Resource(
        kind=resources.ResourceKind.POOL, pool="p", name="p", spec=spec
    )
    return resources.Document(pool="p", version=1, resources=(pool,))


@pytest.mark.parametrize("names", ["abc", "ab", "abcd"])
def test_one_endpoint_may_be_added_or_removed(names):
    """Guards against a rule that rejects every change of a group."""
    validation.check_change(make_document("abc"), make_document(names))


@pytest.mark.parametrize("names", ["abd", "a", "de"])
def test_groups_whose_majorities_may_not_intersect_are_refused(names):
    """Guards against two primaries while nodes hold different versions.

    Majorities of the old and the new group would not always intersect.
    """
    with pytest.raises(exceptions.ValidationError, match="one endpoint at a time"):
        validation.check_change(make_document("abc"), make_document(names))


def test_too_large_group_is_refused():
    """Guards against a replica that follows a replaced primary and reports no lag."""
    spec = make_document("abcde").resources[0].spec
    with pytest.raises(exceptions.ValidationError, match="more than 4"):
        validation.check_pool(spec)
