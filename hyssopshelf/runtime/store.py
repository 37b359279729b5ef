"""Client of the platform's key-value store.

The store's protocol, the JSON gateway of the etcd v3 API, is confined to this module.
docs/store.md describes the calls and their limits.
"""

import asyncio
import base64
import functools
import json
import math
import urllib.parse
from collections.abc import Awaitable

import attrs
import result
import tornado.http1connection
import tornado.httpclient
import tornado.httputil
import tornado.iostream
import tornado.tcpclient

from hyssopshelf import kvstore

CALL_TIMEOUT_SECONDS = 2.0
"""Timeout of a call, in seconds, after which its outcome is unknown; a healthy store
answers in milliseconds."""

MAXIMUM_CONCURRENT_CALLS = 64
"""Maximum number of concurrent calls; further calls are queued within their timeout."""

OK_STATUS = 200
"""HTTP status of the response to a watch that the store accepted."""

NOT_FOUND_STATUS = 404
"""HTTP status for a lease that does not exist."""

_CALL_ERRORS = (
    tornado.httpclient.HTTPError,
    tornado.iostream.StreamClosedError,
    OSError,
    TimeoutError,
    ValueError,
    KeyError,
    TypeError,
)
"""Exceptions after which the outcome of a call is unknown."""


@attrs.define(kw_only=True)
class StoreAdapter:
    """Runs the operations of ``kvstore`` at the store.

    Parameters
    ----------
    url : str
        Base URL of the store, such as ``http://10.0.0.5:2379``.
    timeout_seconds : float
        Timeout of a call, in seconds, after which its outcome is unknown.
    """

    url: str
    timeout_seconds: float = CALL_TIMEOUT_SECONDS
    _client: tornado.httpclient.AsyncHTTPClient | None = attrs.field(
        default=None, init=False
    )
    _watches: set[asyncio.Task] = attrs.field(factory=set, init=False)

    async def call(self, operation) -> result.Result:
        """Run an operation.

        Returns
        -------
        Ok(object)
            The result that ``kvstore`` documents for the operation.
        Err(str)
            The outcome is unknown: a change may have been applied.
        """
        try:
            return result.Ok(await _perform(operation, self))
        except _CALL_ERRORS as error:
            name = type(operation).__name__
            text = str(error) or type(error).__name__
            return result.Err(f"store operation {name} failed: {text}")

    async def post(self, path: str, body: dict) -> dict:
        """Send a call to a path of the store and return its JSON response."""
        if self._client is None:
            self._client = tornado.httpclient.AsyncHTTPClient(
                force_instance=True, max_clients=MAXIMUM_CONCURRENT_CALLS
            )
        response = await self._client.fetch(
            f"{self.url}{path}",
            method="POST",
            body=json.dumps(body),
            connect_timeout=self.timeout_seconds,
            request_timeout=self.timeout_seconds,
        )
        return json.loads(response.body)

    async def watch(self, operation: kvstore.Watch) -> kvstore.Changes:
        """Wait for changes on a separate connection.

        Returns
        -------
        Changes or None
            The changes; none of them if the wait ended first. None if the store
            has compacted the history since the revision.

        Raises
        ------
        TimeoutError
            If the store did not accept the connection in time, or the adapter was
            closed.
        """
        task = asyncio.ensure_future(_watch_changes(self.url, operation))
        self._watches.add(task)
        try:
            return await asyncio.wait_for(
                task, operation.wait_seconds + self.timeout_seconds
            )
        except asyncio.CancelledError:
            if task.cancelled() and not asyncio.current_task().cancelling():
                raise TimeoutError("the store adapter was closed") from None
            raise
        finally:
            self._watches.discard(task)

    def close(self) -> None:
        """Cancel the open watches and close the HTTP client."""
        for task in self._watches:
            task.cancel()
        if self._client is not None:
            self._client.close()
            self._client = None


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _get_prefix_end(prefix: bytes) -> bytes:
    """Return the exclusive end of the key range of a prefix.

    A single zero byte means that the range has no end, as the etcd v3 API defines it.
    """
    stripped = prefix.rstrip(b"\xff")
    if not stripped:
        return b"\0"
    return stripped[:-1] + bytes([stripped[-1] + 1])


def _make_range(prefix: str) -> dict:
    data = prefix.encode()
    # The store rejects an empty key; a zero byte is the lowest key.
    return {"key": _encode(data or b"\0"), "range_end": _encode(_get_prefix_end(data))}


def _read_entries(body: dict) -> tuple[kvstore.Entry, ...]:
    return tuple(_read_entry(item) for item in body.get("kvs", []))


def _read_entry(item: dict) -> kvstore.Entry:
    return kvstore.Entry(
        key=base64.b64decode(item["key"]).decode(),
        value=base64.b64decode(item.get("value", "")),
        revision=int(item["mod_revision"]),
    )


def _read_revision(body: dict) -> int:
    return int(body["header"]["revision"])


@functools.singledispatch
async def _perform(operation, adapter: StoreAdapter):
    raise NotImplementedError(f"unknown operation {type(operation).__name__}")


@_perform.register
async def _(operation: kvstore.Get, adapter: StoreAdapter):
    body = {"key": _encode(operation.key.encode())}
    entries = _read_entries(await adapter.post("/v3/kv/range", body))
    return entries[0] if entries else None


@_perform.register
async def _(operation: kvstore.ListPrefix, adapter: StoreAdapter):
    return _read_entries(
        await adapter.post("/v3/kv/range", _make_range(operation.prefix))
    )


@_perform.register
async def _(operation: kvstore.CompareAndSwap, adapter: StoreAdapter):
    key = _encode(operation.key.encode())
    put = {"key": key, "value": _encode(operation.value)}
    if operation.lease:
        put["lease"] = str(operation.lease)
    compare = {
        "key": key,
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(operation.revision),
    }
    answer = await adapter.post(
        "/v3/kv/txn",
        {
            "compare": [compare],
            "success": [{"request_put": put}],
            "failure": [{"request_range": {"key": key}}],
        },
    )
    if answer.get("succeeded", False):
        current = kvstore.Entry(
            key=operation.key, value=operation.value, revision=_read_revision(answer)
        )
        return kvstore.Swapped(succeeded=True, current=current)
    entries = _read_entries(answer["responses"][0].get("response_range", {}))
    return kvstore.Swapped(succeeded=False, current=entries[0] if entries else None)


@_perform.register
async def _(operation: kvstore.GrantLease, adapter: StoreAdapter):
    # The protocol has whole seconds only. Rounding up keeps the lease at least as
    # long as its holder requested.
    seconds = max(1, math.ceil(operation.time_to_live_seconds))
    answer = await adapter.post("/v3/lease/grant", {"TTL": str(seconds)})
    return int(answer["ID"])


@_perform.register
async def _(operation: kvstore.RevokeLease, adapter: StoreAdapter):
    try:
        await adapter.post("/v3/lease/revoke", {"ID": str(operation.lease)})
    except tornado.httpclient.HTTPClientError as error:
        # A lease that does not exist has expired or was revoked already.
        if error.code != NOT_FOUND_STATUS:
            raise


@_perform.register
async def _(operation: kvstore.Watch, adapter: StoreAdapter):
    changes = await adapter.watch(operation)
    if changes is not None:
        return changes
    # The store has compacted the history since that revision; the current entries
    # with a newer revision are returned instead.
    answer = await adapter.post("/v3/kv/range", _make_range(operation.prefix))
    entries = tuple(
        entry
        for entry in _read_entries(answer)
        if entry.revision > operation.after_revision
    )
    return kvstore.Changes(entries=entries, revision=_read_revision(answer))


@attrs.define
class _WatchStream(tornado.httputil.HTTPMessageDelegate):
    """Splits the streamed response of a watch into a queue of lines.

    None in the queue marks the end of the response or a rejected watch.
    """

    lines: asyncio.Queue = attrs.field(factory=asyncio.Queue)
    _partial_line: bytes = b""

    def headers_received(self, start_line, headers) -> None:
        if start_line.code != OK_STATUS:
            self.lines.put_nowait(None)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        *complete, self._partial_line = (self._partial_line + chunk).split(b"\n")
        for line in complete:
            self.lines.put_nowait(line)

    def finish(self) -> None:
        self.lines.put_nowait(None)

    def on_connection_close(self) -> None:
        self.lines.put_nowait(None)


async def _watch_changes(url: str, operation: kvstore.Watch) -> kvstore.Changes | None:
    """Open a watch and return its first changes, None if history was compacted."""
    parts = urllib.parse.urlsplit(url)
    client = tornado.tcpclient.TCPClient()
    stream = await client.connect(parts.hostname, parts.port)
    try:
        connection = tornado.http1connection.HTTP1Connection(stream, is_client=True)
        start = operation.after_revision + 1
        create = _make_range(operation.prefix) | {"start_revision": str(start)}
        body = json.dumps({"create_request": create}).encode()
        headers = tornado.httputil.HTTPHeaders(
            {"Host": parts.netloc, "Content-Length": str(len(body))}
        )
        request = tornado.httputil.RequestStartLine("POST", "/v3/watch", "HTTP/1.1")
        await connection.write_headers(request, headers, body)
        delegate = _WatchStream()
        reader = asyncio.ensure_future(connection.read_response(delegate))
        try:
            return await _await_changes(delegate.lines, operation)
        finally:
            reader.cancel()
    finally:
        stream.close()


async def _await_changes(
    lines: asyncio.Queue, operation: kvstore.Watch
) -> kvstore.Changes | None:
    revision = operation.after_revision
    loop = asyncio.get_running_loop()
    deadline = loop.time() + operation.wait_seconds
    while True:
        try:
            line = await asyncio.wait_for(lines.get(), deadline - loop.time())
        except TimeoutError:
            return kvstore.Changes(entries=(), revision=revision)
        if line is None:
            raise tornado.iostream.StreamClosedError(
                real_error=OSError("the store closed the watch")
            )
        body = json.loads(line)["result"]
        if body.get("canceled", False):
            return None
        revision = _read_revision(body)
        # A store that was restored from an older backup has a lower revision; the
        # caller gets it at once and reads all entries again.
        if revision < operation.after_revision or "events" in body:
            return kvstore.Changes(entries=_read_events(body), revision=revision)


def _read_events(body: dict) -> tuple[kvstore.Entry, ...]:
    """Return the written entries; a deletion only advances the revision."""
    return tuple(
        _read_entry(event["kv"])
        for event in body.get("events", [])
        if event.get("type", "PUT") == "PUT"
    )
