"""Stand-in of the platform: its key-value store and its promotion call.

It does what PROTOCOL.md says of the store: revisions, conditional transactions,
leases that end, watches, pages. Nothing is lost, refused or late.
"""

import asyncio
import base64
import itertools
import json
import time
import urllib.parse

PAGE_ITEMS = 500


class Store:
    """Keys with revisions and leases behind HTTP/1.1.

    Parameters
    ----------
    promote : callable
        Coroutine that takes service and instance id and returns the status of a
        promotion.
    record : Record
        Gets a line for each promotion and each conditional write.
    """

    def __init__(self, *, promote, record) -> None:
        self.promote = promote
        self.record = record
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.revision = 1
        self.leases: dict[int, tuple[float, int]] = {}
        self._lease_numbers = itertools.count(1000)
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def listen(self) -> None:
        """Accept calls on a free port of the loopback interface."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key."""
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
        self._notify(item)

    def delete(self, key: str) -> None:
        """Remove a key."""
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self._notify({"key": key, "revision": self.revision, "removed": True})

    def _notify(self, event: dict) -> None:
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _end_leases(self) -> None:
        now = time.monotonic()
        for lease in [n for n, (until, _) in self.leases.items() if until < now]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                first, *lines = head.split("\r\n")
                headers = {}
                for line in lines:
                    name, _, value = line.partition(": ")
                    headers[name.lower()] = value
                size = int(headers.get("content-length", 0))
                body = json.loads(await reader.readexactly(size) or b"{}")
                method, target, _ = first.split(" ")
                path, _, query = target.partition("?")
                fields = dict(urllib.parse.parse_qsl(query))
                self._end_leases()
                status, answer = await self._answer(method, path, fields, body, headers)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                )
                writer.write(data)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, path, fields, body, headers):
        if path == "/promote":
            holder, token = headers["x-duty-holder"], headers["x-fencing-token"]
            status = await self.promote(body["service"], body["id"])
            what = f"promote {body['service']} {body['id']} token {token}: {status}"
            self.record.write(holder, what)
            return status, {}
        name = path.removeprefix("/hyssopshelf/")
        if name == "kv-key":
            item = self.items.get(fields["key"])
            if item is None:
                return 404, {"currentRev": self.revision}
            return 200, {**item, "currentRev": self.revision}
        if name == "kv-range":
            after = fields.get("after", "")
            keys = [
                key
                for key in sorted(self.items)
                if key.startswith(fields["prefix"]) and key > after
            ]
            return 200, {
                "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
                "hasMore": len(keys) > PAGE_ITEMS,
                "currentRev": self.revision,
            }
        if name == "kv-watch":
            return await self._watch(fields)
        if name == "kv-txn":
            return self._commit(body)
        return self._handle_lease(method, name, body)

    def _handle_lease(self, method, name, body):
        if name == "kv-lease":
            lease = next(self._lease_numbers)
            span = body["ttlMs"]
            self.leases[lease] = (time.monotonic() + span / 1000, span)
            return 200, {"lease": lease, "ttlMs": span}
        lease = int(name.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self._end_lease(lease)
            return 200, {}
        span = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + span / 1000, span)
        return 200, {"lease": lease, "ttlMs": span}

    async def _watch(self, fields):
        after = int(fields["after"])
        deadline = time.monotonic() + int(fields["waitMs"]) / 1000
        while True:
            events = [
                event
                for event in self.events
                if event["key"].startswith(fields["prefix"])
                and event["revision"] > after
            ]
            remaining = deadline - time.monotonic()
            if events or remaining <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), remaining)
            except TimeoutError:
                continue

    def _commit(self, body):
        expected = body.get("expect", [])
        for row in expected:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                found = [self.items.get(r["key"]) for r in expected]
                return 412, {"items": [item for item in found if item]}
        for row in body.get("writes", []):
            lease = row.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, {}
        for row in body.get("writes", []):
            value = base64.b64decode(row["value"])
            self.put(row["key"], value, row.get("lease", 0))
        for key in body.get("deletes", []):
            self.delete(key)
        return 200, {"revision": self.revision}
