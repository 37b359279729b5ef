"""Tests that the catalogue of log events in docs/EVENTS.md matches the code."""

import pathlib
import re

from hyssopshelf import logs

ROOT = pathlib.Path(__file__).parent.parent
ROW = re.compile(r"^\| (\d{3}) \| `(\w+)` \| \S.* \|$", re.MULTILINE)


def test_catalogue_lists_every_event():
    """Guards against events missing from the catalogue, and outdated rows."""
    text = (ROOT / "docs" / "EVENTS.md").read_text(encoding="utf-8")
    rows = [(int(number), name) for number, name in ROW.findall(text)]
    assert rows == sorted((int(event), event.name.lower()) for event in logs.LogEvent)


def test_every_event_is_logged():
    """Guards against events that no code logs any more."""
    code = "".join(
        path.read_text(encoding="utf-8")
        for folder in ("hyssopshelf", "platform")
        for path in (ROOT / folder).rglob("*.py")
        if path.name != "logs.py"
    )
    unused = [e.name for e in logs.LogEvent if f"LogEvent.{e.name}" not in code]
    assert unused == []
