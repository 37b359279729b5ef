"""The stand-in store as a server: the JSON gateway form of the etcd v3 API.

References
----------
.. [1] etcd v3 API reference, https://etcd.io/docs/v3.5/dev-guide/api_reference_v3/
.. [2] etcd gRPC gateway, https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/
"""

import asyncio
import base64
import json
import time
from collections.abc import Callable

import attrs
import tornado.httpserver
import tornado.ioloop
import tornado.iostream
import tornado.locks
import tornado.netutil
import tornado.web

from hyssopshelf.standins import keyvalue

EXPIRY_PERIOD_SECONDS = 0.05
"""Time between two checks for lapsed leases, in seconds."""


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _decode(body: dict, *names: str) -> bytes:
    """Return a bytes field; the gateway takes its JSON and its proto name."""
    return base64.b64decode(_pick(body, "", *names))


def _pick(body: dict, default, *names: str):
    return next((body[name] for name in names if name in body), default)


def _render(record: keyvalue.Record) -> dict:
    """Return a record as the gateway writes it; int64 numbers are strings."""
    body = {
        "key": _encode(record.key),
        "create_revision": str(record.create_revision),
        "mod_revision": str(record.mod_revision),
        "version": str(record.version),
        "value": _encode(record.value),
    }
    return body | ({"lease": str(record.lease)} if record.lease else {})


def _render_change(change: keyvalue.Change) -> dict:
    if change.record is not None:
        return {"kv": _render(change.record)}
    deleted = {"key": _encode(change.key), "mod_revision": str(change.revision)}
    return {"type": "DELETE", "kv": deleted}


def _range(store: keyvalue.KeyValueStore, body: dict, now: float) -> dict:
    records = store.read(_decode(body, "key"), _decode(body, "range_end", "rangeEnd"))
    if not records:
        return {}
    return {"kvs": [_render(record) for record in records], "count": str(len(records))}


def _holds(store: keyvalue.KeyValueStore, compare: dict) -> bool:
    """Evaluate a comparison; only EQUAL on MOD is offered."""
    kind = (compare.get("target", "VERSION"), compare.get("result", "EQUAL"))
    if kind != ("MOD", "EQUAL"):
        raise keyvalue.StoreError("only comparisons MOD EQUAL are supported")
    expected = int(_pick(compare, 0, "mod_revision", "modRevision"))
    return store.get_mod_revision(_decode(compare, "key")) == expected


def _put(store: keyvalue.KeyValueStore, body: dict) -> dict:
    record = store.put(
        _decode(body, "key"), _decode(body, "value"), int(body.get("lease", 0))
    )
    return {"header": {"revision": str(record.mod_revision)}}


def _txn(store: keyvalue.KeyValueStore, body: dict, now: float) -> dict:
    succeeded = all(_holds(store, compare) for compare in body.get("compare", []))
    requests = body.get("success" if succeeded else "failure", [])
    puts = [_pick(item, None, "request_put", "requestPut") for item in requests]
    for put in filter(None, puts):
        store.check_put(_decode(put, "value"), int(put.get("lease", 0)))
    responses = []
    for request, put in zip(requests, puts, strict=True):
        if put is not None:
            responses.append({"response_put": _put(store, put)})
        else:
            wanted = _pick(request, {}, "request_range", "requestRange")
            responses.append({"response_range": _range(store, wanted, now)})
    answer: dict = {"responses": responses} if responses else {}
    return answer | ({"succeeded": True} if succeeded else {})


def _grant(store: keyvalue.KeyValueStore, body: dict, now: float) -> dict:
    seconds = int(body.get("TTL", 0))
    return {"ID": str(store.grant_lease(seconds, now)), "TTL": str(seconds)}


def _revoke(store: keyvalue.KeyValueStore, body: dict, now: float) -> dict:
    store.revoke_lease(int(body.get("ID", 0)))
    return {}


@attrs.define(kw_only=True)
class StoreServer:
    """Serves a store over HTTP.

    Parameters
    ----------
    store : keyvalue.KeyValueStore
        The state.
    clock : callable
        Returns the time of the leases, in seconds.
    """

    store: keyvalue.KeyValueStore
    clock: Callable[[], float] = time.monotonic
    changed: tornado.locks.Condition = attrs.field(
        factory=tornado.locks.Condition, init=False
    )
    interrupted: int = attrs.field(default=0, init=False)
    _server: tornado.httpserver.HTTPServer | None = attrs.field(
        default=None, init=False
    )
    _timer: tornado.ioloop.PeriodicCallback | None = attrs.field(
        default=None, init=False
    )

    def start(self, *, address: str = "127.0.0.1", port: int = 0) -> int:
        """Listen on an address and return the port."""
        sockets = tornado.netutil.bind_sockets(port, address)
        self._server = tornado.httpserver.HTTPServer(make_application(self))
        self._server.add_sockets(sockets)
        self._timer = tornado.ioloop.PeriodicCallback(
            self.expire, EXPIRY_PERIOD_SECONDS * 1000
        )
        self._timer.start()
        return sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and end the watches."""
        self._timer.stop()
        self._server.stop()
        self.interrupt_watches()
        await self._server.close_all_connections()

    def expire(self) -> None:
        """End lapsed leases and wake the watches if that changed a key."""
        before = self.store.revision
        self.store.expire(self.clock())
        if self.store.revision != before:
            self.changed.notify_all()

    def interrupt_watches(self) -> None:
        """Close the streams of all watches."""
        self.interrupted += 1
        self.changed.notify_all()

    def set_faults(self, **faults) -> None:
        """Switch faults on or off; a store that goes down ends its watches."""
        for name, value in faults.items():
            if name not in attrs.fields_dict(keyvalue.Faults):
                raise keyvalue.StoreError(f"unknown fault {name}")
            setattr(self.store.faults, name, value)
        if self.store.faults.down:
            self.interrupt_watches()

    def restore(self, name: str) -> None:
        """Restore a snapshot by its name and end the watches."""
        if name not in self.store.snapshots:
            raise keyvalue.StoreError(f"unknown snapshot {name}")
        self.store.restore(self.store.snapshots[name], self.clock())
        self.interrupt_watches()


class GatewayHandler(tornado.web.RequestHandler):
    """Common parts of the routes of the gateway."""

    def initialize(self, server: StoreServer) -> None:
        """Keep the server."""
        self.server = server

    def drop_connection(self) -> None:
        """Close the connection without an answer."""
        self.detach().close()

    def make_header(self) -> dict:
        """Return the header of an answer."""
        return {"header": {"revision": str(self.server.store.revision)}}

    def refuse(self, status: int, code: int, message: str) -> None:
        """Answer with an error in the gateway's form."""
        self.set_status(status)
        self.finish({"error": message, "message": message, "code": code})

    async def begin(self, name: str) -> bool:
        """Count the call and apply the faults; return whether to go on."""
        store = self.server.store
        store.calls[name] += 1
        if store.faults.delay_seconds and not store.faults.down:
            await asyncio.sleep(store.faults.delay_seconds)
        if store.faults.down:
            self.drop_connection()
        else:
            self.server.expire()
        return not store.faults.down


class UnaryHandler(GatewayHandler):
    """A call with one answer."""

    def initialize(self, server: StoreServer, name: str, function, writes) -> None:
        """Keep the server and the function that carries out the call."""
        super().initialize(server)
        self.name, self.function, self.writes = name, function, writes

    async def post(self) -> None:
        """Carry out the call."""
        store = self.server.store
        if not await self.begin(self.name):
            return
        try:
            body = json.loads(self.request.body or b"{}")
            answer = self.function(store, body, self.server.clock())
        except keyvalue.StoreError as error:
            self.refuse(404, 5, str(error))
            return
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            self.refuse(400, 3, f"malformed request: {error}")
            return
        self.server.changed.notify_all()
        if self.writes and store.faults.lost_answers:
            store.faults.lost_answers -= 1
            self.drop_connection()
            return
        self.finish(self.make_header() | answer)


class WatchHandler(GatewayHandler):
    """A stream of the changes of a range, one JSON object a line."""

    async def post(self) -> None:
        """Send changes until the caller or a fault ends the stream."""
        if not await self.begin("watch"):
            return
        try:
            body = json.loads(self.request.body)
            create = _pick(body, {}, "create_request", "createRequest")
            start = _decode(create, "key")
            end = _decode(create, "range_end", "rangeEnd")
            first = int(_pick(create, 0, "start_revision", "startRevision"))
        except (ValueError, TypeError, AttributeError) as error:
            self.refuse(400, 3, f"malformed request: {error}")
            return
        try:
            await self.send({"created": True})
            await self.follow(start, end, first or self.server.store.revision + 1)
        except tornado.iostream.StreamClosedError:
            return

    async def send(self, body: dict) -> None:
        """Write one message of the stream."""
        self.write(json.dumps({"result": self.make_header() | body}) + "\n")
        await self.flush()

    async def follow(self, start: bytes, end: bytes, first: int) -> None:
        """Send the changes from a revision on as they occur."""
        store, interrupted = self.server.store, self.server.interrupted
        while interrupted == self.server.interrupted:
            try:
                changes = store.list_changes(start, end, first)
            except keyvalue.StoreError:
                compacted = str(store.compact_revision)
                await self.send({"canceled": True, "compact_revision": compacted})
                return
            if changes:
                first = changes[-1].revision + 1
                await self.send({"events": list(map(_render_change, changes))})
            elif not self.request.connection.stream.closed():
                await self.server.changed.wait()
            else:
                return
        self.drop_connection()

    def on_connection_close(self) -> None:
        """Wake the stream, so that it ends when its caller is gone."""
        self.server.changed.notify_all()


class ControlHandler(GatewayHandler):
    """Faults, snapshots and call counts; no part of the store's interface."""

    def get(self) -> None:
        """Answer with the call counts and the faults."""
        store = self.server.store
        self.finish(
            {
                "calls": store.calls,
                "faults": attrs.asdict(store.faults),
                "revision": store.revision,
            }
        )

    def post(self) -> None:
        """Set faults, take a snapshot or restore one."""
        body = json.loads(self.request.body)
        try:
            self.server.set_faults(**body.get("faults", {}))
            if "snapshot" in body:
                store = self.server.store
                store.snapshots[body["snapshot"]] = store.take_snapshot()
            if "restore" in body:
                self.server.restore(body["restore"])
        except keyvalue.StoreError as error:
            self.refuse(400, 3, str(error))
            return
        self.get()


def make_application(server: StoreServer) -> tornado.web.Application:
    """Return the routes of a store server."""
    unary = [
        ("/v3/kv/range", "range", _range, False),
        ("/v3/kv/txn", "txn", _txn, True),
        ("/v3/lease/grant", "grant", _grant, True),
        ("/v3/lease/revoke", "revoke", _revoke, True),
    ]
    routes: list = [
        (
            path,
            UnaryHandler,
            {"server": server, "name": name, "function": function, "writes": writes},
        )
        for path, name, function, writes in unary
    ]
    routes.append(("/v3/watch", WatchHandler, {"server": server}))
    routes.append(("/control/faults", ControlHandler, {"server": server}))
    return tornado.web.Application(routes, log_function=lambda handler: None)
