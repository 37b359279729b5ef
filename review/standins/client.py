"""A client of the line protocol."""

import asyncio
import itertools
import secrets

ANSWER_SECONDS = 5.0

PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY")
"""Codes that promise that nothing of the client attempt is kept."""

_numbers = itertools.count(1)


class SessionEnded(Exception):  # noqa: N818
    """The connection ended before the reply, or the session was refused."""


class Client:
    """One session at a node.

    Attributes
    ----------
    number : int
        Number of the session, unique in a run.
    """

    def __init__(self, *, reader, writer, record) -> None:
        self.reader = reader
        self.writer = writer
        self.record = record
        self.number = next(_numbers)
        self.last_id = ""

    @classmethod
    async def connect(cls, address: str, port: int, name: str, record) -> "Client":
        """Start a session.

        Raises
        ------
        SessionEnded
            If the node refuses it or cannot be reached.
        """
        try:
            reader, writer = await asyncio.open_connection(address, port)
            client = cls(reader=reader, writer=writer, record=record)
            writer.write(f"START {name} u{client.number}\r\n".encode())
            line = await asyncio.wait_for(reader.readuntil(b"\r\n"), ANSWER_SECONDS)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            raise SessionEnded(repr(error)) from error
        record.write(f"session {client.number}", f"START {name}: {line.decode()[:-2]}")
        if not line.startswith(b"READY"):
            writer.close()
            raise SessionEnded(line.decode())
        return client

    async def query(self, text: str) -> list[str]:
        """Send a statement; return the lines of its reply, READY included.

        Raises
        ------
        SessionEnded
            If the connection ends first.
        """
        self.last_id = secrets.token_hex(8)
        who = f"session {self.number}"
        self.record.senders[self.last_id] = self.number
        self.record.write(who, f"sends {self.last_id} {text}")
        lines: list[str] = []
        try:
            self.writer.write(f"QUERY {self.last_id} {text}\r\n".encode())
            while not lines or not lines[-1].startswith("READY"):
                line = await asyncio.wait_for(
                    self.reader.readuntil(b"\r\n"), ANSWER_SECONDS
                )
                lines.append(line.decode()[:-2])
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            self.record.write(who, f"{self.last_id} gets no answer: {error!r}")
            raise SessionEnded(repr(error)) from error
        self.record.write(who, f"{self.last_id} gets {' | '.join(lines)}")
        return lines

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


def is_success(lines: list[str]) -> bool:
    """Return whether a reply is a success."""
    return any(line.startswith("DONE") for line in lines)


def is_promise(lines: list[str]) -> bool:
    """Return whether a reply promises that nothing is kept."""
    return lines[0].startswith("ERROR") and lines[0].split()[1] in PROMISES
