"""Stand-in for the platform's list of hosts, which lags behind the true state."""

import collections
import json
import time
from collections.abc import Callable

import attrs
import tornado.httpserver
import tornado.netutil
import tornado.web

from hyssopshelf import messages, platform


@attrs.define(kw_only=True)
class HostList:
    """Hosts as the platform reports them.

    Attributes
    ----------
    lag_seconds : float
        Time after which a change shows in the list.
    down : bool
        Whether the list answers with an error.
    calls : int
        Number of reads.
    """

    lag_seconds: float = 0.0
    down: bool = False
    calls: int = 0
    _hosts: dict[str, platform.HostEntry] = attrs.field(factory=dict, init=False)
    _versions: collections.deque = attrs.field(factory=collections.deque, init=False)

    def add(self, entry: platform.HostEntry, now: float) -> None:
        """Add a host or change its row."""
        self._hosts[entry.name] = entry
        self._versions.append((now, tuple(self._hosts.values())))

    def remove(self, name: str, now: float) -> None:
        """Remove a host."""
        self._hosts.pop(name, None)
        self._versions.append((now, tuple(self._hosts.values())))

    def mark_leaving(self, name: str, now: float) -> None:
        """Mark a host as leaving."""
        self.add(attrs.evolve(self._hosts[name], leaving=True), now)

    def read(self, now: float) -> tuple[platform.HostEntry, ...]:
        """Return the hosts as they were ``lag_seconds`` ago."""
        self.calls += 1
        visible_at = now - self.lag_seconds
        while len(self._versions) > 1 and self._versions[1][0] <= visible_at:
            self._versions.popleft()
        if not self._versions or self._versions[0][0] > visible_at:
            return ()
        return self._versions[0][1]


class HostsHandler(tornado.web.RequestHandler):
    """The route ``/v1/hosts``; a POST changes the list and its faults."""

    def initialize(self, hosts: HostList, clock: Callable[[], float]) -> None:
        """Keep the list and the clock."""
        self.hosts, self.clock = hosts, clock

    def get(self) -> None:
        """Answer with the hosts."""
        if self.hosts.down:
            self.set_status(503)
            return
        rows = [messages.unstructure(row) for row in self.hosts.read(self.clock())]
        self.finish({"hosts": rows})

    def post(self) -> None:
        """Add, remove or mark hosts, or set the lag and the fault ``down``."""
        body, now = json.loads(self.request.body), self.clock()
        for row in body.get("add", []):
            self.hosts.add(messages.structure(row, platform.HostEntry), now)
        for name in body.get("remove", []):
            self.hosts.remove(name, now)
        for name in body.get("leaving", []):
            self.hosts.mark_leaving(name, now)
        self.hosts.lag_seconds = body.get("lag_seconds", self.hosts.lag_seconds)
        self.hosts.down = body.get("down", self.hosts.down)
        self.finish({})


@attrs.define(kw_only=True)
class HostListServer:
    """Serves a host list over HTTP."""

    hosts: HostList
    clock: Callable[[], float] = time.monotonic
    _server: tornado.httpserver.HTTPServer | None = attrs.field(
        default=None, init=False
    )

    def start(self, *, address: str = "127.0.0.1", port: int = 0) -> int:
        """Listen on an address and return the port."""
        sockets = tornado.netutil.bind_sockets(port, address)
        parts = {"hosts": self.hosts, "clock": self.clock}
        application = tornado.web.Application(
            [("/v1/hosts", HostsHandler, parts)], log_function=lambda handler: None
        )
        self._server = tornado.httpserver.HTTPServer(application)
        self._server.add_sockets(sockets)
        return sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening."""
        self._server.stop()
        await self._server.close_all_connections()
