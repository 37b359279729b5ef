"""Stand-in of the platform's key-value store and of its promotion API."""

import asyncio
import base64
import json
import urllib.parse


class Store:
    """Keys with revisions, leases and watches over HTTP, and promotions.

    Attributes
    ----------
    promote : callable or None
        Coroutine that takes service and id, returns whether the instance leads.
    on_call : callable or None
        Is told the peer's address, method, name and query of each call as it arrives.
    """

    def __init__(self, record) -> None:
        self.record = record
        self.items: dict[str, dict] = {}
        self.revision = 1
        self.history: list[dict] = []
        self.leases: dict[int, float] = {}
        self.promote = None
        self.on_call = None
        self.address = ""
        self.tokens: list[tuple[int, str, str]] = []
        self._changed = asyncio.Event()
        self._server = None

    async def listen(self, host: str) -> None:
        """Start to accept calls."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key; return the revision."""
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
        self._add_event(item)
        return self.revision

    def delete(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "revision": self.revision, "removed": True}
            self._add_event(event)

    def _add_event(self, event: dict) -> None:
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer) -> None:
        peer = writer.get_extra_info("peername")
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                first, *lines = head.split("\r\n")
                pairs = (line.split(": ", 1) for line in lines if line)
                headers = {name.lower(): value for name, value in pairs}
                length = int(headers.get("content-length", 0))
                body = await reader.readexactly(length)
                method, target, _ = first.split(" ")
                path, _, query = target.partition("?")
                fields = dict(urllib.parse.parse_qsl(query))
                if self.on_call is not None:
                    name = path.rpartition("/")[2]
                    self.on_call(peer, method, name, fields)
                status, answer = await self._handle(
                    method, path, fields, json.loads(body or b"{}"), headers
                )
                data = json.dumps(answer).encode()
                reply = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                reply += f"Content-Length: {len(data)}\r\n\r\n"
                writer.write(reply.encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _handle(self, method, path, fields, body, headers):
        now = asyncio.get_running_loop().time()
        for lease in [x for x, end in self.leases.items() if end < now]:
            self._end_lease(lease)
        name = path.removeprefix("/hyssopshelf/")
        if path == "/promote":
            return await self._promote(body, headers)
        if name == "kv-key":
            item = self.items.get(fields["key"])
            if item is None:
                return 404, {}
            return 200, {**item, "currentRev": self.revision}
        if name == "kv-range":
            found = [
                item
                for key, item in sorted(self.items.items())
                if key.startswith(fields["prefix"]) and key > fields.get("after", "")
            ]
            return 200, {
                "items": found[:50],
                "hasMore": len(found) > 50,
                "currentRev": self.revision,
            }
        if name == "kv-watch":
            return await self._watch(fields)
        if name == "kv-txn":
            return self._commit(body)
        return self._call_lease(method, name, body, now)

    def _call_lease(self, method, name, body, now):
        if name == "kv-lease":
            self.revision += 1
            seconds = max(1000, body["ttlMs"]) / 1000
            self.leases[self.revision] = now + seconds
            return 200, {"lease": self.revision, "ttlMs": int(seconds * 1000)}
        lease = int(name.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self._end_lease(lease)
            return 200, {}
        self.leases[lease] = now + 20.0
        return 200, {"ttlMs": 20000}

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    async def _watch(self, fields):
        after = int(fields["after"])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(fields["waitMs"]) / 1000
        while True:
            events = [
                event
                for event in self.history
                if event["revision"] > after
                and event["key"].startswith(fields["prefix"])
            ]
            left = deadline - loop.time()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _commit(self, body):
        for row in body["expect"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                items = [self.items.get(r["key"]) for r in body["expect"]]
                return 412, {"items": [item for item in items if item]}
        for row in body["writes"]:
            lease = row.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, {}
        for row in body["writes"]:
            value = base64.b64decode(row["value"])
            self.put(row["key"], value, row.get("lease", 0))
        for key in body["deletes"]:
            self.delete(key)
        return 200, {"revision": self.revision}

    async def _promote(self, body, headers):
        token = int(headers["x-fencing-token"])
        holder = headers["x-duty-holder"]
        self.tokens.append((token, holder, body["id"]))
        self.record.add(f"promote {body['id']} by {holder} token {token}")
        done = await self.promote(body["service"], body["id"])
        return (200, {}) if done else (409, {})
