"""Tests of containment of positions in log histories."""

import pytest

from hyssopshelf import messages
from hyssopshelf.consistency import positions

OLD_BRANCH = (messages.TermStart(term=1, first=1),)
NEW_BRANCH = (*OLD_BRANCH, messages.TermStart(term=2, first=50))


@pytest.mark.parametrize("history", [OLD_BRANCH, NEW_BRANCH])
def test_no_log_contains_a_discarded_session(history):
    """Guards against a read without the session's last write.

    A session that saw index 67 of term 1 and then wrote in term 2 must not be
    served by a replica that still holds the discarded end of term 1.
    """
    marked = positions.mark_discarded(messages.Position(term=1, index=67))
    assert marked > messages.Position(term=1, index=67)
    assert not positions.contains(history, 70, marked)
    assert positions.is_discarded(history, marked) == (history is NEW_BRANCH)
