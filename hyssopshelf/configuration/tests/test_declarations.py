"""Tests of reading, checking and changing declared resources."""

import math
import pathlib

import attrs
import pytest
import result

from hyssopshelf import exceptions
from hyssopshelf.configuration import declarations, documents, resources, validation

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
TEXT = (EXAMPLES / "priehradka.yaml").read_text()
DECLARED = declarations.parse_text(TEXT)
EMPTY = documents.empty_document("labelstore")


def change(change_id, put=(), remove=(), base_version=0):
    return documents.ChangeSet(
        pool="labelstore",
        change_id=change_id,
        put=tuple(put),
        remove=tuple(remove),
        base_version=base_version,
    )


FIRST = documents.apply_changes(EMPTY, change("first", DECLARED)).unwrap()


@pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*.yaml")), ids=lambda p: p.name)
def test_examples_are_valid_and_survive_a_round_trip(path):
    """Guards against an example that is rejected and fields lost in encoding."""
    declared = declarations.parse_text(path.read_text())
    changes = attrs.evolve(change("x", declared), pool=declared[0].pool)
    empty = documents.empty_document(declared[0].pool)
    document = documents.apply_changes(empty, changes).unwrap()
    validation.check_document(document)
    data = declarations.encode_document(document)
    assert declarations.decode_document(data) == document
    plain = [declarations.describe_resource(item) for item in declared]
    assert declarations.parse_resources(plain) == declared


INVALID_DECLARATIONS = [
    ("priehradka: 0.9", "priehradka: 0.8", "spec.capacity", "add up to 1"),
    ("priehradka: 0.9", "priehradka: .nan", "spec.capacity", "finite"),
    ("floor: 0.5", "floor: 0.7", "Rank: spec.floor", "at most 1"),
    ("rank: urgent", "rank: urgnt", "spec.kinds[0].rank", "Rank/urgnt"),
    ("steyrtal: 0.1", "steyr: 0.1", "spec.capacity.steyr", "not a partner"),
    ("slots: 2", "slots: '2'", "spec.slots", "whole number"),
    ("slots: 2", "slots: true", "spec.slots", "whole number"),
    ("slots: 2", "slotz: 2", "spec.slotz", "unknown field"),
    ("slots: 2", "slots: 2\n  slots: 3", "slots", "given twice"),
    ("slots: 2", "slots: 31", "spec.connections", "at least 31"),
    ("- name: labels", "- name: stations", "spec.databases", "declared 2 times"),
    ("127.0.0.1:22001", "db.example:1", "endpoints[0].address", "IP:port"),
    ("127.0.0.1:22001", "127.0.0.1:22002", "spec.databases", "declared 2 times"),
    ("127.0.0.1:22001", "127.0.0.1:0", "endpoints[0].address", "IP:port"),
    ("order: 1", "order: 0", "spec.order", "declared 2 times"),
    ("acknowledge: majority", "acknowledge: none", "acknowledge", "majority or"),
    ("kind: Split", "kind: Splits", "kind", "one of Pool"),
    ("name: agreed", "name: a/b", "metadata.name", "must be 1 to 63"),
    ("name: normal", "name: urgent", "resources", "declared 2 times"),
    ("pool: labelstore", "pool: other", "metadata.pool", "must be 'labelstore'"),
    ("kind: Pool", "kind: [Pool", "declaration", "not YAML"),
    ("slots: 2", "slots: 2.0", "spec.slots", "whole number"),
]


@pytest.mark.parametrize(("good", "bad", "field", "rule"), INVALID_DECLARATIONS)
def test_invalid_declaration_is_refused_with_field_and_rule(good, bad, field, rule):
    """Guards against a faulty declaration accepted or refused without a reason."""
    assert good in TEXT
    with pytest.raises(exceptions.ValidationError) as caught:
        declared = declarations.parse_text(TEXT.replace(good, bad, 1))
        validation.check_declared(declared, "labelstore")
        document = documents.apply_changes(EMPTY, change("x", declared)).unwrap()
        validation.check_document(document)
    assert field in caught.value.field
    assert rule in caught.value.rule


@pytest.mark.parametrize("kind", ["Pool", "Partner", "Rank"])
def test_deletion_of_a_referenced_resource_is_refused(kind):
    """Guards against a pool with references to deleted resources."""
    item = next(item for item in FIRST.resources if item.kind.value == kind)
    remove = documents.Reference(kind=item.kind, name=item.name, resource_version=1)
    document = documents.apply_changes(FIRST, change("x", remove=[remove])).unwrap()
    with pytest.raises(exceptions.ValidationError):
        validation.check_document(document)


def test_document_above_one_megabyte_is_refused():
    """Guards against a document that the store cannot hold."""
    kinds = tuple(
        resources.KindSpec(name=f"k{number:05}", rank="urgent")
        for number in range(20_000)
    )
    partner = resources.Resource(
        kind=resources.ResourceKind.PARTNER,
        pool="labelstore",
        name="priehradka",
        resource_version=1,
        spec=resources.PartnerSpec(kinds=kinds),
    )
    document = documents.apply_changes(FIRST, change("x", [partner])).unwrap()
    with pytest.raises(exceptions.ValidationError, match="bytes, more than 1000000"):
        validation.check_document(document)


def change_shares(document, share):
    held = next(i for i in document.resources if i.kind is resources.ResourceKind.SPLIT)
    shares = {"priehradka": share, "steyrtal": 1 - share}
    spec = resources.SplitSpec(capacity=shares, bill=shares)
    return attrs.evolve(held, spec=spec)


def test_stale_resource_version_conflicts_with_both_versions():
    """Guards against a silently lost update when two operators change a split."""
    first = documents.apply_changes(FIRST, change("a", [change_shares(FIRST, 0.7)]))
    second = documents.apply_changes(
        first.unwrap(), change("b", [change_shares(FIRST, 0.6)])
    )
    assert isinstance(second, result.Err)
    assert (second.err_value.given, second.err_value.current) == (1, 2)
    unversioned = attrs.evolve(change_shares(FIRST, 0.6), resource_version=0)
    again = documents.apply_changes(first.unwrap(), change("c", [unversioned]))
    assert isinstance(again, result.Err)
    based = change("d", [unversioned], base_version=2)
    assert documents.apply_changes(first.unwrap(), based).unwrap().version == 3


def test_repeated_change_is_recognised_but_other_content_is_not():
    """Guards against a change applied twice, and one dropped for a reused id."""
    changes = change("a", [change_shares(FIRST, 0.7)])
    document = documents.apply_changes(FIRST, changes).unwrap()
    assert documents.apply_changes(document, changes).unwrap() is document
    other = change("a", [change_shares(document, 0.6)])
    assert documents.apply_changes(document, other).unwrap().version == 3


def test_change_ids_are_bounded_and_fields_are_compared():
    """Guards against an unbounded list of change ids and a wrong diff."""
    document = FIRST
    for number in range(70):
        share = 0.5 + (number % 2) / 4
        changes = change(f"c{number}", [change_shares(document, share)])
        document = documents.apply_changes(document, changes).unwrap()
    assert len(document.change_ids) == documents.MAXIMUM_CHANGE_IDS
    assert document.version == 71
    found = documents.compare(FIRST, document)
    assert {item.field for item in found} == {
        f"spec.{field}.{partner}"
        for field in ("capacity", "bill")
        for partner in ("priehradka", "steyrtal")
    }
    assert all(math.isclose(abs(i.before - i.after), 0.15) for i in found)


def test_equal_versions_settle_on_one_content_in_either_order():
    """Guards against nodes that keep different contents of one version."""
    one = documents.apply_changes(
        FIRST, change("a", [change_shares(FIRST, 0.7)])
    ).unwrap()
    two = documents.apply_changes(
        FIRST, change("b", [change_shares(FIRST, 0.6)])
    ).unwrap()
    assert documents.supersedes(one, two) is not documents.supersedes(two, one)
    assert not documents.supersedes(FIRST, one)
