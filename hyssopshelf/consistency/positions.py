"""Containment of log positions in a log, decided from its history.

A history is a tuple of TermStart, oldest first: each term with the first index
that it wrote. An index alone does not identify an entry, because a log whose end
was discarded by a change of primary may hold other entries at the same indexes.
"""

from hyssopshelf import messages

UNREACHED_INDEX = 2**62
"""Index that no log reaches."""


def find_end(
    history: tuple[messages.TermStart, ...], term: int, last: int
) -> int | None:
    """Return the last index of a term in a log, None if it is not in the history.

    Parameters
    ----------
    history : tuple of TermStart
        History of the log.
    term : int
        Term to look up.
    last : int
        Last index of the log, which belongs to the newest term.
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

    Once a log has entries of a later term, it gets no more entries of earlier
    terms. An entry of an earlier term that it does not contain was discarded by
    a change of primary.
    """
    if position.index == 0:
        return False
    if not any(start.term > position.term for start in history):
        return False
    end = find_end(history, position.term, position.index)
    return end is None or position.index > end


def mark_discarded(position: messages.Position) -> messages.Position:
    """Return a position that marks the state seen by a session as discarded.

    No log contains this position. A log that still ends in the discarded branch
    appears to be behind, and for a log with a later term ``is_discarded`` holds.
    """
    return messages.Position(term=position.term, index=UNREACHED_INDEX)


def locate(history: tuple[messages.TermStart, ...], index: int) -> messages.Position:
    """Return the position of an index, with the term that wrote the entry."""
    term = 0
    for start in history:
        if start.first <= index:
            term = start.term
    return messages.Position(term=term, index=index)
