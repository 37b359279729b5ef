"""Stand-in for the platform's key-value store.

:class:`KeyValueStore` is a pure state machine. :class:`StoreServer` serves it
over the JSON gateway form of the etcd v3 API, with a control route for faults.

References
----------
.. [1] etcd v3 API reference, https://etcd.io/docs/v3.5/dev-guide/api_reference_v3/
.. [2] etcd gRPC gateway, https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/
"""

import asyncio
import base64
import collections
import copy
import functools
import json
import time
from collections.abc import Callable

import attrs
import result
import tornado.httpserver
import tornado.ioloop
import tornado.iostream
import tornado.locks
import tornado.netutil
import tornado.web

from hyssopshelf import exceptions, platform

MAXIMUM_VALUE_BYTES = 1_000_000
"""Largest value that the store takes, in bytes."""

HISTORY_LENGTH = 10_000
"""Changes kept for watches; a watch from an older revision is cancelled."""

EXPIRY_PERIOD_SECONDS = 0.05
"""Time between two checks for lapsed leases, in seconds."""


class StoreError(exceptions.HyssopshelfError):
    """The store refused a request; nothing was changed."""


@attrs.frozen(kw_only=True)
class Record:
    """A key's value with the revisions of its creation and last change."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


@attrs.frozen(kw_only=True)
class Change:
    """One change of a key; ``record`` is None for a deletion."""

    revision: int
    key: bytes
    record: Record | None


@attrs.define(kw_only=True)
class Lease:
    """A lease with its time to live and the time at which it lapses."""

    time_to_live_seconds: float
    expires_at: float


@attrs.define(kw_only=True)
class Faults:
    """Faults that are switched on.

    Attributes
    ----------
    down : bool
        Connections are closed without an answer; nothing takes effect.
    delay_seconds : float
        Time that each call waits before it takes effect.
    lost_answers : int
        Number of coming writes that take effect but are not answered.
    """

    down: bool = False
    delay_seconds: float = 0.0
    lost_answers: int = 0


@attrs.frozen(kw_only=True)
class Snapshot:
    """A copy of the store's data at a revision."""

    revision: int
    compact_revision: int
    records: dict[bytes, Record]
    leases: dict[int, Lease]
    history: tuple[Change, ...]


def _matches(key: bytes, start: bytes, end: bytes) -> bool:
    """Return whether a key is in a range.

    An empty end means one key, a zero byte all keys from the start on.
    """
    if not end:
        return key == start
    return key >= start and (end == b"\0" or key < end)


def get_prefix_end(prefix: bytes) -> bytes:
    """Return the end of the range that holds exactly the keys with a prefix."""
    stripped = prefix.rstrip(b"\xff")
    if not stripped:
        return b"\0"
    return stripped[:-1] + bytes([stripped[-1] + 1])


@attrs.define(kw_only=True)
class KeyValueStore:
    """Keys with revisions, leases and a history for watches.

    Attributes
    ----------
    revision : int
        Revision of the last change of any key.
    compact_revision : int
        Changes up to this revision are no longer in the history.
    faults : Faults
        Faults that are switched on.
    calls : Counter
        Calls by name; a waiting watch counts as one.
    snapshots : dict of str to Snapshot
        Snapshots taken with the control route.
    """

    revision: int = 1
    compact_revision: int = 0
    faults: Faults = attrs.field(factory=Faults)
    calls: collections.Counter = attrs.field(factory=collections.Counter)
    snapshots: dict[str, Snapshot] = attrs.field(factory=dict)
    _records: dict[bytes, Record] = attrs.field(factory=dict, init=False)
    _leases: dict[int, Lease] = attrs.field(factory=dict, init=False)
    _history: collections.deque[Change] = attrs.field(
        factory=collections.deque, init=False
    )
    _last_lease: int = attrs.field(default=0, init=False)

    def read(self, start: bytes, end: bytes = b"") -> list[Record]:
        """Return the records of a range in the order of their keys."""
        if not end:
            record = self._records.get(start)
            return [record] if record is not None else []
        return [
            self._records[key]
            for key in sorted(self._records)
            if _matches(key, start, end)
        ]

    def get_mod_revision(self, key: bytes) -> int:
        """Return the revision of a key's last change, 0 if it does not exist."""
        record = self._records.get(key)
        return record.mod_revision if record is not None else 0

    def check_put(self, value: bytes, lease: int) -> None:
        """Raise StoreError if a put with this value and lease is not allowed."""
        if len(value) > MAXIMUM_VALUE_BYTES:
            raise StoreError("value is too large")
        if lease and lease not in self._leases:
            raise StoreError("requested lease not found")

    def put(self, key: bytes, value: bytes, lease: int = 0) -> Record:
        """Write a key and return its record.

        Raises
        ------
        StoreError
            If the value is too large or the lease does not exist.
        """
        self.check_put(value, lease)
        old = self._records.get(key)
        self.revision += 1
        record = Record(
            key=key,
            value=value,
            create_revision=old.create_revision if old else self.revision,
            mod_revision=self.revision,
            version=old.version + 1 if old else 1,
            lease=lease,
        )
        self._records[key] = record
        self._remember(Change(revision=self.revision, key=key, record=record))
        return record

    def delete(self, keys: list[bytes]) -> None:
        """Delete keys in one revision."""
        present = [key for key in keys if key in self._records]
        if not present:
            return
        self.revision += 1
        for key in present:
            del self._records[key]
            self._remember(Change(revision=self.revision, key=key, record=None))

    def grant_lease(self, time_to_live_seconds: float, now: float) -> int:
        """Create a lease and return its id."""
        self._last_lease += 1
        self._leases[self._last_lease] = Lease(
            time_to_live_seconds=time_to_live_seconds,
            expires_at=now + time_to_live_seconds,
        )
        return self._last_lease

    def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys.

        Raises
        ------
        StoreError
            If the lease does not exist.
        """
        if self._leases.pop(lease, None) is None:
            raise StoreError("requested lease not found")
        bound = [key for key, record in self._records.items() if record.lease == lease]
        self.delete(bound)

    def expire(self, now: float) -> None:
        """End the leases whose time to live has passed."""
        lapsed = [
            lease for lease, state in self._leases.items() if state.expires_at <= now
        ]
        for lease in lapsed:
            self.revoke_lease(lease)

    def list_changes(self, start: bytes, end: bytes, first: int) -> list[Change]:
        """Return the changes of a range from a revision on, oldest first.

        Raises
        ------
        StoreError
            If the history no longer reaches back to the revision.
        """
        if first <= self.compact_revision:
            raise StoreError("required revision has been compacted")
        return [
            change
            for change in self._history
            if change.revision >= first and _matches(change.key, start, end)
        ]

    def take_snapshot(self) -> Snapshot:
        """Return a copy of the data."""
        return Snapshot(
            revision=self.revision,
            compact_revision=self.compact_revision,
            records=dict(self._records),
            leases=copy.deepcopy(self._leases),
            history=tuple(self._history),
        )

    def restore(self, snapshot: Snapshot, now: float) -> None:
        """Replace the data by a snapshot; its leases start anew.

        Revisions go back, so that later changes use their numbers again. Lease
        ids are not used again.
        """
        self.revision = snapshot.revision
        self.compact_revision = snapshot.compact_revision
        self._records = dict(snapshot.records)
        self._leases = copy.deepcopy(snapshot.leases)
        for lease in self._leases.values():
            lease.expires_at = now + lease.time_to_live_seconds
        self._history = collections.deque(snapshot.history)

    def _remember(self, change: Change) -> None:
        self._history.append(change)
        while len(self._history) > HISTORY_LENGTH:
            self.compact_revision = self._history.popleft().revision


def _make_entry(record: Record | None) -> platform.Entry | None:
    if record is None:
        return None
    return platform.Entry(
        key=record.key.decode(), value=record.value, revision=record.mod_revision
    )


@functools.singledispatch
def perform(operation, store: KeyValueStore, now: float):
    """Carry out an operation of ``platform`` at once and return its result."""
    raise NotImplementedError(f"unknown operation {type(operation).__name__}")


@perform.register
def _(operation: platform.Get, store: KeyValueStore, now: float):
    records = store.read(operation.key.encode())
    return _make_entry(records[0]) if records else None


@perform.register
def _(operation: platform.ListPrefix, store: KeyValueStore, now: float):
    prefix = operation.prefix.encode()
    return tuple(map(_make_entry, store.read(prefix, get_prefix_end(prefix))))


@perform.register
def _(operation: platform.CompareAndSwap, store: KeyValueStore, now: float):
    key = operation.key.encode()
    succeeded = store.get_mod_revision(key) == operation.revision
    if succeeded:
        store.put(key, operation.value, operation.lease)
    records = store.read(key)
    current = _make_entry(records[0]) if records else None
    return platform.Swapped(succeeded=succeeded, current=current)


@perform.register
def _(operation: platform.GrantLease, store: KeyValueStore, now: float):
    return store.grant_lease(operation.time_to_live_seconds, now)


@perform.register
def _(operation: platform.RevokeLease, store: KeyValueStore, now: float):
    store.revoke_lease(operation.lease)


@perform.register
def _(operation: platform.Watch, store: KeyValueStore, now: float):
    prefix = operation.prefix.encode()
    changes = store.list_changes(
        prefix, get_prefix_end(prefix), operation.after_revision + 1
    )
    entries = tuple(_make_entry(change.record) for change in changes if change.record)
    return platform.Changes(entries=entries, revision=store.revision)


WRITES = (platform.CompareAndSwap, platform.GrantLease, platform.RevokeLease)


def call(store: KeyValueStore, operation, now: float) -> result.Result:
    """Carry out an operation under the store's faults, without waiting.

    Virtual-clock tests use it in place of an adapter. A watch returns the
    changes that exist already.

    Returns
    -------
    Ok(object)
        The operation's result.
    Err(str)
        The outcome is unknown.
    """
    store.calls[type(operation).__name__] += 1
    if store.faults.down:
        return result.Err("store is down")
    store.expire(now)
    try:
        value = perform(operation, store, now)
    except StoreError as error:
        return result.Err(str(error))
    if isinstance(operation, WRITES) and store.faults.lost_answers:
        store.faults.lost_answers -= 1
        return result.Err("answer lost")
    return result.Ok(value)


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _decode(body: dict, *names: str) -> bytes:
    """Return a bytes field; the gateway takes its JSON and its proto name."""
    return base64.b64decode(_pick(body, "", *names))


def _pick(body: dict, default, *names: str):
    return next((body[name] for name in names if name in body), default)


def _render(record: Record) -> dict:
    """Return a record as the gateway writes it; int64 numbers are strings."""
    body = {
        "key": _encode(record.key),
        "create_revision": str(record.create_revision),
        "mod_revision": str(record.mod_revision),
        "version": str(record.version),
        "value": _encode(record.value),
    }
    return body | ({"lease": str(record.lease)} if record.lease else {})


def _render_change(change: Change) -> dict:
    if change.record is not None:
        return {"kv": _render(change.record)}
    deleted = {"key": _encode(change.key), "mod_revision": str(change.revision)}
    return {"type": "DELETE", "kv": deleted}


def _range(store: KeyValueStore, body: dict, now: float) -> dict:
    records = store.read(_decode(body, "key"), _decode(body, "range_end", "rangeEnd"))
    if not records:
        return {}
    return {"kvs": [_render(record) for record in records], "count": str(len(records))}


def _holds(store: KeyValueStore, compare: dict) -> bool:
    """Evaluate a comparison; only EQUAL on MOD is offered."""
    kind = (compare.get("target", "VERSION"), compare.get("result", "EQUAL"))
    if kind != ("MOD", "EQUAL"):
        raise StoreError("only comparisons MOD EQUAL are supported")
    expected = int(_pick(compare, 0, "mod_revision", "modRevision"))
    return store.get_mod_revision(_decode(compare, "key")) == expected


def _put(store: KeyValueStore, body: dict) -> dict:
    record = store.put(
        _decode(body, "key"), _decode(body, "value"), int(body.get("lease", 0))
    )
    return {"header": {"revision": str(record.mod_revision)}}


def _txn(store: KeyValueStore, body: dict, now: float) -> dict:
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


def _grant(store: KeyValueStore, body: dict, now: float) -> dict:
    seconds = int(body.get("TTL", 0))
    return {"ID": str(store.grant_lease(seconds, now)), "TTL": str(seconds)}


def _revoke(store: KeyValueStore, body: dict, now: float) -> dict:
    store.revoke_lease(int(body.get("ID", 0)))
    return {}


@attrs.define(kw_only=True)
class StoreServer:
    """Serves a store over HTTP.

    Parameters
    ----------
    store : KeyValueStore
        The state.
    clock : callable
        Returns the time of the leases, in seconds.
    """

    store: KeyValueStore
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
            if name not in attrs.fields_dict(Faults):
                raise StoreError(f"unknown fault {name}")
            setattr(self.store.faults, name, value)
        if self.store.faults.down:
            self.interrupt_watches()

    def restore(self, name: str) -> None:
        """Restore a snapshot by its name and end the watches."""
        if name not in self.store.snapshots:
            raise StoreError(f"unknown snapshot {name}")
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
        except StoreError as error:
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
            except StoreError:
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
        except StoreError as error:
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
