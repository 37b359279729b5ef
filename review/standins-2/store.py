"""Stand-in of the platform: its key-value store and its call to promote.

It does what PROTOCOL.md says of them. A test makes it worse only through the methods
and attributes that are described at :class:`Platform`.
"""

import asyncio
import base64
import dataclasses
import json
import urllib.parse

FIRST_RETRANSMISSION_SECONDS = 0.2
"""Time after which TCP sends again what was not acknowledged; it then doubles."""


class Connection:
    """One open connection of a node."""

    def __init__(self, writer, opened_at: float) -> None:
        self.writer = writer
        self.opened_at = opened_at
        self.silent = False


@dataclasses.dataclass
class Cut:
    """A partition between the nodes and the calls to promote.

    As in a network, what a node sent on an open connection arrives with the first
    retransmission after the end, unless the node has reset the connection. A
    connection that a node tries to open meanwhile comes about at the end, if the node
    still waits for it.
    """

    start: float
    end: float

    def holds(self, now: float) -> bool:
        """Return whether nothing passes at a time."""
        return self.start <= now < self.end

    def find_arrival(self, sent_at: float) -> float:
        """Return when bytes arrive that were sent during the cut."""
        arrives_at, pause = sent_at, FIRST_RETRANSMISSION_SECONDS
        while arrives_at < self.end:
            arrives_at += pause
            pause *= 2
        return arrives_at


class Platform:
    """Serves the store and the promotions, over one listener for each node.

    Attributes
    ----------
    connections : set of Connection
        All open connections; one that is silent neither answers nor ends.
    conditional_writer : str
        Node that last wrote to the store under a condition.
    writes : list of (float, str, list of str)
        Time, node and keys of each accepted transaction of a node.
    promotions : list of dict
        Calls to promote, in the order of their arrival.
    cut : Cut or None
        Partition between the nodes and the calls to promote.
    refuse : callable or None
        Takes a node and the path of a call; returns whether its connection is reset.
    lose_answer : callable or None
        Takes a node and the body of a transaction; returns whether its answer is lost.
    watched : list of (float, str)
        Time and node of each watch of the configuration, as it began.
    delay : callable or None
        Takes a node and a path; returns seconds before the call is executed.
    """

    def __init__(self, now) -> None:
        self.now = now
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.revision = 10
        self.leases: dict[int, tuple[float, float]] = {}
        self.connections: set[Connection] = set()
        self.conditional_writer = ""
        self.writes: list = []
        self.promotions: list[dict] = []
        self.databases: dict[str, object] = {}
        self.cut: Cut | None = None
        self.refuse = None
        self.delay = None
        self.lose_answer = None
        self.reads: list = []
        self.watched: list = []
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []

    async def listen(self, node: str) -> str:
        """Listen for one node; return the address."""
        server = await asyncio.start_server(
            lambda r, w: self._serve(node, r, w), "127.0.0.1", 0
        )
        self._servers.append(server)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    def close(self) -> None:
        """Stop listening and end all connections."""
        for server in self._servers:
            server.close()
        for connection in list(self.connections):
            connection.writer.transport.abort()

    def silence_open_connections(self) -> int:
        """Let all open connections go silent for good, without a reset."""
        for connection in self.connections:
            connection.silent = True
        return len(self.connections)

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key; this is the store's acknowledgement to operator or instance."""
        self.revision += 1
        before = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": before["created"] if before else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self._record(item)

    def delete(self, key: str) -> None:
        """Remove a key if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record({"key": key, "revision": self.revision, "removed": True})

    def _record(self, event: dict) -> None:
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, node, reader, writer) -> None:
        connection = Connection(writer, self.now())
        self.connections.add(connection)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                first, *lines = head.split("\r\n")
                headers = {}
                for line in lines:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size)
                method, target, _ = first.split(" ")
                path, _, query = target.partition("?")
                fields = dict(urllib.parse.parse_qsl(query))
                if self.refuse is not None and self.refuse(node, path):
                    return
                if connection.silent:
                    continue
                if self.delay is not None:
                    await asyncio.sleep(self.delay(node, path))
                if path == "/promote" and not await self._pass_cut(connection, reader):
                    return
                status, answer = await self._call(
                    node, method, path, fields, json.loads(body or b"{}"), headers
                )
                if self.lose_answer is not None and path.endswith("kv-txn"):
                    lost = self.lose_answer(node, json.loads(body))
                    connection.silent = connection.silent or lost
                if connection.silent:
                    continue
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(connection)
            writer.transport.abort()

    async def _pass_cut(self, connection, reader) -> bool:
        """Wait until a call passes the cut; return whether it does."""
        cut, now = self.cut, self.now()
        if cut is None or not cut.holds(now):
            return True
        if cut.holds(connection.opened_at):
            await asyncio.sleep(cut.end - now)
            return not reader.at_eof() and reader.exception() is None
        await asyncio.sleep(cut.find_arrival(now) - now)
        return reader.exception() is None

    async def _call(self, node, method, path, query, body, headers):
        if path == "/promote":
            return await self._promote(node, body, headers)
        name = path.removeprefix("/hyssopshelf/")
        if name == "kv-key":
            self.reads.append((self.now(), node, query["key"]))
            item = self.items.get(query["key"])
            if item is None:
                return 404, {}
            return 200, {**item, "currentRev": self.revision}
        if name == "kv-range":
            self.reads.append((self.now(), node, query["prefix"]))
            found = [
                self.items[key]
                for key in sorted(self.items)
                if key.startswith(query["prefix"]) and key > query.get("after", "")
            ]
            return 200, {
                "items": found[:50],
                "hasMore": len(found) > 50,
                "currentRev": self.revision,
            }
        if name == "kv-watch":
            self.watched.append((self.now(), node))
            return await self._watch(query)
        if name == "kv-txn":
            return self._commit(node, body)
        if name == "kv-lease":
            self.revision += 1
            lease, seconds = self.revision, body["ttlMs"] / 1000
            self.leases[lease] = (self.now() + seconds, seconds)
            return 200, {"lease": lease, "ttlMs": body["ttlMs"]}
        lease = int(name.rpartition("/")[2])
        ends_at, seconds = self.leases.get(lease, (0.0, 0.0))
        if ends_at < self.now():
            self._end_lease(lease)
            return 404, {}
        if method == "DELETE":
            self._end_lease(lease)
            return 200, {}
        self.leases[lease] = (self.now() + seconds, seconds)
        return 200, {"ttlMs": int(seconds * 1000)}

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            if lease:
                self.delete(key)

    async def _promote(self, node, body, headers):
        call = {
            "at": self.now(),
            "node": node,
            "holder": headers["x-duty-holder"],
            "token": int(headers["x-fencing-token"]),
            "service": body["service"],
            "id": body["id"],
        }
        self.promotions.append(call)
        done = await self.databases[body["service"]].promote(body["id"])
        return (200, {}) if done else (409, {})

    async def _watch(self, query):
        after = int(query["after"])
        deadline = self.now() + int(query["waitMs"]) / 1000
        while True:
            changed = self._changed
            found = [
                event
                for event in self.events
                if event["revision"] > after
                and event["key"].startswith(query["prefix"])
            ]
            remaining = deadline - self.now()
            if found or remaining <= 0:
                return 200, {"events": found, "currentRev": self.revision}
            try:
                async with asyncio.timeout(remaining):
                    await changed.wait()
            except TimeoutError:
                continue

    def _commit(self, node, body):
        for row in body["expect"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": []}
        for row in body["writes"]:
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in body["deletes"]:
            self.delete(key)
        if body["expect"]:
            self.conditional_writer = node
        keys = [row["key"] for row in body["writes"]] + body["deletes"]
        self.writes.append((self.now(), node, keys))
        return 200, {"revision": self.revision}
