"""Tests of the containment of positions in log histories."""

import pytest

from hyssopshelf import messages
from hyssopshelf.consistency import positions

OLD_BRANCH = (messages.TermStart(term=1, first=1),)
NEW_BRANCH = (*OLD_BRANCH, messages.TermStart(term=2, first=50))


@pytest.mark.parametrize("history", [OLD_BRANCH, NEW_BRANCH])
def test_no_log_contains_a_discarded_session(history):
    """Guards against a read that misses the session's last write.

    The session saw index 67 of term 1, which was discarded, and then wrote in
    term 2. A replica that still holds the discarded end of term 1 must not serve
    it.
    """
    marked = positions.mark_discarded(messages.Position(term=1, index=67))
    assert marked > messages.Position(term=1, index=67)
    assert not positions.contains(history, 70, marked)
    assert positions.is_discarded(history, marked) == (history is NEW_BRANCH)
