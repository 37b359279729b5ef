"""Writes what was sent, answered and run to ``record.txt``."""

import pathlib
import time


class Record:
    """A file with one line for each event, with seconds since its start.

    Parameters
    ----------
    path : Path
        File that is written anew.

    Attributes
    ----------
    senders : dict of str to int
        Number of the session that sent each request.
    """

    def __init__(self, *, path: pathlib.Path) -> None:
        self.started_at = time.monotonic()
        self.senders: dict[str, int] = {}
        self._file = path.open("w", encoding="utf-8")

    def write(self, who: str, what: str) -> None:
        """Add a line."""
        seconds = time.monotonic() - self.started_at
        self._file.write(f"{seconds:8.3f} {who:<18} {what}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
