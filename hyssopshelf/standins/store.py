"""HTTP server of the stand-in store, with the JSON gateway of the etcd v3 API.

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
"""Time between two checks for expired leases, in seconds."""


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _decode(body: dict, *names: str) -> bytes:
    """Return a bytes field; the gateway accepts its JSON name and its proto name."""
    return base64.b64decode(_get_first(body, "", *names))


def _get_first(body: dict, default, *names: str):
    return next((body[name] for name in names if name in body), default)


def _format_record(record: keyvalue.Record) -> dict:
    """Return a record in the gateway's JSON form, with int64 numbers as strings."""
    body = {
        "key": _encode(record.key),
        "create_revision": str(record.create_revision),
        "mod_revision": str(record.mod_revision),
        "version": str(record.version),
        "value": _encode(record.value),
    }
    return body | ({"lease": str(record.lease)} if record.lease else {})


def _format_change(change: keyvalue.Change) -> dict:
    if change.record is not None:
        return {"kv": _format_record(change.record)}
    deleted = {"key": _encode(change.key), "mod_revision": str(change.revision)}
    return {"type": "DELETE", "kv": deleted}


def _range(store: keyvalue.KeyValueStore, body: dict, now: float) -> dict:
    records = store.read(_decode(body, "key"), _decode(body, "range_end", "rangeEnd"))
    if not records:
        return {}
    return {
        "kvs": [_format_record(record) for record in records],
        "count": str(len(records)),
    }


def _evaluate_comparison(store: keyvalue.KeyValueStore, compare: dict) -> bool:
    """Evaluate a comparison; only EQUAL on MOD is supported."""
    kind = (compare.get("target", "VERSION"), compare.get("result", "EQUAL"))
    if kind != ("MOD", "EQUAL"):
        raise keyvalue.StoreError("only comparisons MOD EQUAL are supported")
    expected = int(_get_first(compare, 0, "mod_revision", "modRevision"))
    return store.get_mod_revision(_decode(compare, "key")) == expected


def _put(store: keyvalue.KeyValueStore, body: dict) -> dict:
    record = store.put(
        _decode(body, "key"), _decode(body, "value"), int(body.get("lease", 0))
    )
    return {"header": {"revision": str(record.mod_revision)}}


def _txn(store: keyvalue.KeyValueStore, body: dict, now: float) -> dict:
    succeeded = all(
        _evaluate_comparison(store, compare) for compare in body.get("compare", [])
    )
    requests = body.get("success" if succeeded else "failure", [])
    puts = [_get_first(item, None, "request_put", "requestPut") for item in requests]
    for put in filter(None, puts):
        store.check_put(_decode(put, "value"), int(put.get("lease", 0)))
    responses = []
    for request, put in zip(requests, puts, strict=True):
        if put is not None:
            responses.append({"response_put": _put(store, put)})
        else:
            range_request = _get_first(request, {}, "request_range", "requestRange")
            responses.append({"response_range": _range(store, range_request, now)})
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
    """Serves a key-value store over HTTP.

    Parameters
    ----------
    store : keyvalue.KeyValueStore
        State of the store.
    clock : callable
        Returns the time from which leases expire, in seconds.
    changed : Condition
        Notified when a key may have changed or a watch may have to end.
    interrupted : int
        Number of times that all watches were ended.
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
        """Listen on an address and return the port; port 0 takes a free one."""
        sockets = tornado.netutil.bind_sockets(port, address)
        self._server = tornado.httpserver.HTTPServer(make_application(self))
        self._server.add_sockets(sockets)
        self._timer = tornado.ioloop.PeriodicCallback(
            self.expire, EXPIRY_PERIOD_SECONDS * 1000
        )
        self._timer.start()
        return sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening, end the watches and close all connections."""
        self._timer.stop()
        self._server.stop()
        self.interrupt_watches()
        await self._server.close_all_connections()

    def expire(self) -> None:
        """Revoke expired leases and notify the watches if that deleted a key."""
        before = self.store.revision
        self.store.expire(self.clock())
        if self.store.revision != before:
            self.changed.notify_all()

    def interrupt_watches(self) -> None:
        """End the streams of all watches."""
        self.interrupted += 1
        self.changed.notify_all()

    def set_faults(self, **faults) -> None:
        """Set faults by name; the fault ``down`` ends the watches too.

        Raises
        ------
        StoreError
            If there is no fault of that name.
        """
        for name, value in faults.items():
            if name not in attrs.fields_dict(keyvalue.Faults):
                raise keyvalue.StoreError(f"unknown fault {name}")
            setattr(self.store.faults, name, value)
        if self.store.faults.down:
            self.interrupt_watches()

    def restore(self, name: str) -> None:
        """Restore a snapshot by its name and end the watches.

        Raises
        ------
        StoreError
            If there is no snapshot of that name.
        """
        if name not in self.store.snapshots:
            raise keyvalue.StoreError(f"unknown snapshot {name}")
        self.store.restore(self.store.snapshots[name], self.clock())
        self.interrupt_watches()


class GatewayHandler(tornado.web.RequestHandler):
    """Base class of the handlers of the gateway's routes."""

    def initialize(self, server: StoreServer) -> None:
        """Store the server."""
        self.server = server

    def drop_connection(self) -> None:
        """Close the connection without a response."""
        self.detach().close()

    def make_header(self) -> dict:
        """Return the header of a response, which has the store's revision."""
        return {"header": {"revision": str(self.server.store.revision)}}

    def respond_with_error(self, status: int, code: int, message: str) -> None:
        """Respond with an HTTP status, and a gRPC status code and message in JSON."""
        self.set_status(status)
        self.finish({"error": message, "message": message, "code": code})

    async def apply_faults(self, name: str) -> bool:
        """Count the call and apply the faults; return False if the store is down."""
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
    """Handles a call with a single response."""

    def initialize(self, server: StoreServer, name: str, function, writes) -> None:
        """Store the server and the function that runs the call."""
        super().initialize(server)
        self.name, self.function, self.writes = name, function, writes

    async def post(self) -> None:
        """Run the call and respond, unless a fault drops the response."""
        store = self.server.store
        if not await self.apply_faults(self.name):
            return
        try:
            body = json.loads(self.request.body or b"{}")
            answer = self.function(store, body, self.server.clock())
        except keyvalue.StoreError as error:
            self.respond_with_error(404, 5, str(error))
            return
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            self.respond_with_error(400, 3, f"malformed request: {error}")
            return
        self.server.changed.notify_all()
        if self.writes and store.faults.lost_answers:
            store.faults.lost_answers -= 1
            self.drop_connection()
            return
        self.finish(self.make_header() | answer)


class WatchHandler(GatewayHandler):
    """Streams the changes of a range, one JSON object per line."""

    async def post(self) -> None:
        """Stream changes until the client or a fault ends the stream."""
        if not await self.apply_faults("watch"):
            return
        try:
            body = json.loads(self.request.body)
            create = _get_first(body, {}, "create_request", "createRequest")
            start = _decode(create, "key")
            end = _decode(create, "range_end", "rangeEnd")
            first = int(_get_first(create, 0, "start_revision", "startRevision"))
        except (ValueError, TypeError, AttributeError) as error:
            self.respond_with_error(400, 3, f"malformed request: {error}")
            return
        try:
            await self.send_message({"created": True})
            await self.stream_changes(
                start, end, first or self.server.store.revision + 1
            )
        except tornado.iostream.StreamClosedError:
            return

    async def send_message(self, body: dict) -> None:
        """Write one message to the stream."""
        self.write(json.dumps({"result": self.make_header() | body}) + "\n")
        await self.flush()

    async def stream_changes(self, start: bytes, end: bytes, first: int) -> None:
        """Send the changes from a revision on as they occur.

        Below the compacted revision the watch is canceled, as etcd does.
        """
        store, interrupted = self.server.store, self.server.interrupted
        while interrupted == self.server.interrupted:
            try:
                changes = store.list_changes(start, end, first)
            except keyvalue.StoreError:
                compacted = str(store.compact_revision)
                await self.send_message(
                    {"canceled": True, "compact_revision": compacted}
                )
                return
            if changes:
                first = changes[-1].revision + 1
                await self.send_message({"events": list(map(_format_change, changes))})
            elif not self.request.connection.stream.closed():
                await self.server.changed.wait()
            else:
                return
        self.drop_connection()

    def on_connection_close(self) -> None:
        """Wake the stream, so that it ends once its client has disconnected."""
        self.server.changed.notify_all()


class ControlHandler(GatewayHandler):
    """Sets faults and snapshots, for tests; not part of the etcd API."""

    def get(self) -> None:
        """Return the call counts, the faults and the revision."""
        store = self.server.store
        self.finish(
            {
                "calls": store.calls,
                "faults": attrs.asdict(store.faults),
                "revision": store.revision,
            }
        )

    def post(self) -> None:
        """Set faults, take a snapshot, restore a snapshot, in this order."""
        body = json.loads(self.request.body)
        try:
            self.server.set_faults(**body.get("faults", {}))
            if "snapshot" in body:
                store = self.server.store
                store.snapshots[body["snapshot"]] = store.take_snapshot()
            if "restore" in body:
                self.server.restore(body["restore"])
        except keyvalue.StoreError as error:
            self.respond_with_error(400, 3, str(error))
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
