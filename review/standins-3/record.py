"""The record of a case: what was sent, answered and run, with times."""

import pathlib
import time


class Record:
    """Lines with seconds since the start, written to a file and kept in memory."""

    def __init__(self, path: pathlib.Path) -> None:
        self.started = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started

    def add(self, text: str) -> float:
        """Write a line; return its time."""
        now = self.now()
        self.file.write(f"{now:8.3f} {text}\n")
        return now

    def close(self) -> None:
        """Write what is left."""
        self.file.close()
