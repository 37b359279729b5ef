"""Stand-in for the platform's host list, which lags behind the actual state."""

import collections
import json
import time
from collections.abc import Callable

import attrs
import tornado.httpserver
import tornado.netutil
import tornado.web

from hyssopshelf import kvstore, messages


@attrs.define(kw_only=True)
class HostList:
    """Hosts as the platform reports them, with faults that tests set.

    Attributes
    ----------
    lag_seconds : float
        Time after which a change is visible in the list.
    down : bool
        Whether the list answers with an error.
    calls : int
        Number of reads so far.
    """

    lag_seconds: float = 0.0
    down: bool = False
    calls: int = 0
    _hosts: dict[str, kvstore.HostEntry] = attrs.field(factory=dict, init=False)
    _past_lists: collections.deque = attrs.field(factory=collections.deque, init=False)

    def add(self, entry: kvstore.HostEntry, now: float) -> None:
        """Add a host or replace its entry."""
        self._hosts[entry.name] = entry
        self._past_lists.append((now, tuple(self._hosts.values())))

    def remove(self, name: str, now: float) -> None:
        """Remove a host."""
        self._hosts.pop(name, None)
        self._past_lists.append((now, tuple(self._hosts.values())))

    def mark_leaving(self, name: str, now: float) -> None:
        """Mark a host as leaving."""
        self.add(attrs.evolve(self._hosts[name], leaving=True), now)

    def read(self, now: float) -> tuple[kvstore.HostEntry, ...]:
        """Return the hosts as they were ``lag_seconds`` ago."""
        self.calls += 1
        visible_at = now - self.lag_seconds
        while len(self._past_lists) > 1 and self._past_lists[1][0] <= visible_at:
            self._past_lists.popleft()
        if not self._past_lists or self._past_lists[0][0] > visible_at:
            return ()
        return self._past_lists[0][1]


class HostsHandler(tornado.web.RequestHandler):
    """Serves ``/v1/hosts``; a POST changes the list and its faults."""

    def initialize(self, hosts: HostList, clock: Callable[[], float]) -> None:
        """Store the host list and the clock."""
        self.hosts, self.clock = hosts, clock

    def get(self) -> None:
        """Return the visible hosts, or status 503 while the list is down."""
        if self.hosts.down:
            self.set_status(503)
            return
        entries = [
            messages.unstructure(entry) for entry in self.hosts.read(self.clock())
        ]
        self.finish({"hosts": entries})

    def post(self) -> None:
        """Add, remove or mark hosts, and set ``lag_seconds`` or ``down``."""
        body, now = json.loads(self.request.body), self.clock()
        for entry in body.get("add", []):
            self.hosts.add(messages.structure(entry, kvstore.HostEntry), now)
        for name in body.get("remove", []):
            self.hosts.remove(name, now)
        for name in body.get("leaving", []):
            self.hosts.mark_leaving(name, now)
        self.hosts.lag_seconds = body.get("lag_seconds", self.hosts.lag_seconds)
        self.hosts.down = body.get("down", self.hosts.down)
        self.finish({})


@attrs.define(kw_only=True)
class HostListServer:
    """Serves a host list over HTTP on a loopback address."""

    hosts: HostList
    clock: Callable[[], float] = time.monotonic
    _server: tornado.httpserver.HTTPServer | None = attrs.field(
        default=None, init=False
    )

    def start(self, *, address: str = "127.0.0.1", port: int = 0) -> int:
        """Listen on an address and return the port; port 0 takes a free one."""
        sockets = tornado.netutil.bind_sockets(port, address)
        arguments = {"hosts": self.hosts, "clock": self.clock}
        application = tornado.web.Application(
            [("/v1/hosts", HostsHandler, arguments)], log_function=lambda handler: None
        )
        self._server = tornado.httpserver.HTTPServer(application)
        self._server.add_sockets(sockets)
        return sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop()
        await self._server.close_all_connections()
