"""Stand-in of clients, which speak the line protocol."""

import asyncio
import itertools


class Client:
    """One session."""

    _numbers = itertools.count(1)

    def __init__(self, reader, writer, record) -> None:
        self.reader = reader
        self.writer = writer
        self.record = record
        self.name = f"c{next(self._numbers)}"
        self._requests = itertools.count(1)

    @classmethod
    async def connect(cls, address: str, database: str, record) -> "Client":
        """Start a session; raise ConnectionError if it is refused."""
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(
            host, int(port), limit=8 * 1024 * 1024
        )
        client = cls(reader, writer, record)
        writer.write(f"START {database} u1\r\n".encode())
        client.greeting = (await reader.readuntil(b"\r\n")).decode().strip()
        if not client.greeting.startswith("READY"):
            writer.close()
            raise ConnectionRefusedError(client.greeting)
        return client

    async def query(self, text: str) -> list[str]:
        """Send a statement; return the lines of its answer."""
        request = f"{self.name}x{next(self._requests)}"
        self.request = request
        self.record.add(f"{request} sent {text}")
        self.writer.write(f"QUERY {request} {text}\r\n".encode())
        lines = []
        try:
            while not lines or not lines[-1].startswith("READY"):
                line = (await self.reader.readuntil(b"\r\n")).decode().strip()
                lines.append(line)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.record.add(f"{request} got no answer after {len(lines)} lines")
            raise
        short = [line[:60] for line in lines[-3:]]
        self.record.add(f"{request} answered {short}")
        return lines

    def close(self) -> None:
        """End the session."""
        self.writer.close()
