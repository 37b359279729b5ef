"""The logs of a database as a tree of entries with one branch for each term."""

import bisect

import attrs

from benchmarks.faults import histories
from hyssopshelf import messages

Position = messages.Position


@attrs.define(kw_only=True)
class LogTree:
    """All entries appended by any primary of a database.

    A position identifies an entry because a term has one primary. ``forks``
    lists the positions that were appended more than once.
    """

    entries: dict[Position, histories.LogEntry] = attrs.field(factory=dict)
    forks: list[Position] = attrs.field(factory=list)
    _parents: dict[int, Position | None] = attrs.field(factory=dict)
    _writes: dict[tuple[int, str], list[int]] = attrs.field(factory=dict)
    _by_label: dict[str, list[Position]] = attrs.field(factory=dict)

    def add(self, entry: histories.LogEntry) -> None:
        """Add an entry; the entries of a term must be added in index order."""
        position = entry.position
        if position in self.entries:
            self.forks.append(position)
            return
        self.entries[position] = entry
        if position.term not in self._parents:
            self._parents[position.term] = entry.parent
        for key, label in entry.writes:
            indices = self._writes.setdefault((position.term, key), [])
            if not indices or indices[-1] != position.index:
                indices.append(position.index)
            positions = self._by_label.setdefault(label, [])
            if not positions or positions[-1] != position:
                positions.append(position)

    def find(self, label: str) -> list[Position]:
        """Return the positions at which a write was appended."""
        return self._by_label.get(label, [])

    def contains(self, head: Position | None, position: Position | None) -> bool:
        """Return whether the log that ends at ``head`` contains a position."""
        if position is None:
            return True
        while head is not None and head.term > position.term:
            head = self._parents.get(head.term)
        return (
            head is not None
            and head.term == position.term
            and head.index >= position.index
        )

    def is_discarded(self, term: int, position: Position) -> bool:
        """Return whether a later term started from a log without the position."""
        known = term in self._parents and term > position.term
        return known and not self.contains(self._parents[term], position)

    def is_kept(self, term: int, position: Position) -> bool:
        """Return whether a later term started from a log with the position."""
        known = term in self._parents and term > position.term
        return known and self.contains(self._parents[term], position)

    def find_last_write(self, key: str, head: Position | None) -> Position | None:
        """Return the last write of a key in the log that ends at ``head``."""
        while head is not None:
            indices = self._writes.get((head.term, key), [])
            number = bisect.bisect_right(indices, head.index)
            if number:
                return Position(term=head.term, index=indices[number - 1])
            head = self._parents.get(head.term)
        return None

    def find_writes(self, key: str, head: Position | None) -> list[Position]:
        """Return all writes of a key in the log that ends at ``head``."""
        found = []
        while head is not None:
            indices = self._writes.get((head.term, key), [])
            number = bisect.bisect_right(indices, head.index)
            found.extend(
                Position(term=head.term, index=index)
                for index in reversed(indices[:number])
            )
            head = self._parents.get(head.term)
        return found[::-1]


def build_trees(entries: list[histories.LogEntry]) -> dict[str, LogTree]:
    """Return the log tree of each database."""
    trees: dict[str, LogTree] = {}
    for entry in entries:
        trees.setdefault(entry.database, LogTree()).add(entry)
    return trees
