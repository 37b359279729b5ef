"""Containment of a log position in the history of a log.

A history is a tuple of TermStart, oldest first: each term with the first index
that it wrote. An index alone does not name an entry, because a log that was
cut off by a change of primary may hold other entries under the same numbers.
"""

from hyssopshelf import messages

UNREACHED_INDEX = 2**62
"""An index that no log reaches."""


def find_end(
    history: tuple[messages.TermStart, ...], term: int, last: int
) -> int | None:
    """Return the last index that a term wrote, None if it is not in the history.

    Parameters
    ----------
    history : tuple of TermStart
        History of the log.
    term : int
        Term to look up.
    last : int
        Last index of the log, the end of the newest term.
    """
    for number, start in enumerate(history):
        if start.term == term:
            if number + 1 < len(history):
                return history[number + 1].first - 1
            return last
    return None


def contains(
    history: tuple[messages.TermStart, ...], last: int, position: messages.Position
) -> bool:
    """Return whether a log that ends at index ``last`` contains a position."""
    if position.index == 0:
        return True
    end = find_end(history, position.term, last)
    return end is not None and position.index <= min(end, last)


def is_discarded(
    history: tuple[messages.TermStart, ...], position: messages.Position
) -> bool:
    """Return whether a history rules out that its log ever contains a position.

    A log that holds a later term holds all that it will ever hold of the
    earlier ones: an entry of an earlier term that is not in it was discarded by
    a change of primary.
    """
    if position.index == 0:
        return False
    if not any(start.term > position.term for start in history):
        return False
    end = find_end(history, position.term, position.index)
    return end is None or position.index > end


def mark_discarded(position: messages.Position) -> messages.Position:
    """Return a position for a session whose seen state was discarded.

    No log contains it: one that has only the discarded branch seems to be
    behind, and one that continued without it tells that it was discarded.
    """
    return messages.Position(term=position.term, index=UNREACHED_INDEX)


def locate(history: tuple[messages.TermStart, ...], index: int) -> messages.Position:
    """Return the position of an index: with the term that wrote it."""
    term = 0
    for start in history:
        if start.first <= index:
            term = start.term
    return messages.Position(term=term, index=index)
