"""Simulated database endpoints.

The stand-in database is reached over simulated connections, and each execution,
log entry and promotion is recorded in the history.
"""

import random
from collections import deque
from collections.abc import Callable

import attrs

from benchmarks.faults import clocks, histories, network
from hyssopshelf import messages
from hyssopshelf.consistency import positions
from hyssopshelf.standins import database

FETCH_SECONDS = 0.02
"""Period at which a replica fetches from its primary."""

KEEPALIVE_SECONDS = 10.0
"""Keepalive timeout of a connection whose node is gone or cut off."""


@attrs.define(kw_only=True, eq=False)
class DataConnection:
    """A data connection of a node to an endpoint.

    Attributes
    ----------
    up, down : Channel
        Channels to the endpoint and to the node.
    receive : callable
        Receives (request id, answer) on the node's side.
    report_closed : callable
        Called on the node's side when the endpoint closes the connection.
    """

    id: str
    host: str
    incarnation: int
    up: network.Channel
    down: network.Channel
    receive: Callable[[str, messages.EndpointAnswer], None]
    report_closed: Callable[[], None]
    pending: deque = attrs.field(factory=deque)
    busy: bool = False
    unanswered: int = 0


@attrs.define(kw_only=True, eq=False)
class FakeEndpoint:
    """An endpoint with its own clock; it can be paused, killed or made to lag."""

    name: str
    loop: clocks.EventLoop
    clock: clocks.SkewedClock
    network: network.Network
    random: random.Random
    history: histories.History
    instance: database.Instance
    peers: dict[str, "FakeEndpoint"]
    service_seconds: float = 0.003
    paused: bool = False
    dead: bool = False
    fetching: bool = True
    connections: dict[str, DataConnection] = attrs.field(factory=dict)
    _deferred: list[Callable[[], None]] = attrs.field(factory=list)
    _incarnation: int = 0

    @property
    def database(self) -> str:
        """Return the full name of the endpoint's database."""
        return self.name.rpartition("/")[0]

    @property
    def is_primary(self) -> bool:
        """Return whether the endpoint's own role is primary."""
        return self.instance.role is messages.Role.PRIMARY

    def run(self, step: Callable[[], None]) -> None:
        """Run a step now, or on ``resume`` if paused; do nothing if killed."""
        if self.dead:
            return
        if self.paused:
            self._deferred.append(step)
        else:
            step()

    def run_later(self, delay: float, step: Callable[[], None]) -> None:
        """Run a step after a delay unless the process was killed in between."""
        incarnation = self._incarnation

        def run_if_not_killed() -> None:
            if incarnation == self._incarnation:
                self.run(step)

        self.loop.call_later(delay, run_if_not_killed)

    def pause(self) -> None:
        """Suspend the process; steps are deferred until ``resume``."""
        self.paused = True

    def resume(self) -> None:
        """Run the deferred steps and continue."""
        self.paused = False
        steps, self._deferred = self._deferred, []
        for step in steps:
            self.run(step)

    def kill(self) -> None:
        """Terminate the process and break its connections; its log persists."""
        self.dead = True
        self.paused = False
        self._incarnation += 1
        self._deferred.clear()
        for connection in list(self.connections.values()):
            self._drop(connection)
            connection.down = network.Channel(
                network=self.network, sender=self.name, receiver=connection.host
            )
            connection.down.send(connection.report_closed)

    def restart(self) -> None:
        """Start the process again with its persisted log."""
        self.dead = False
        self.start()

    def start(self) -> None:
        """Start the periodic replication fetch."""
        self.run_later(self.random.uniform(0.0, FETCH_SECONDS), self._fetch)

    # Data connections.

    def accept(self, connection: DataConnection) -> bool:
        """Accept a connection; return False if the endpoint is full."""
        if not self.instance.open_connection(connection.id):
            return False
        self.connections[connection.id] = connection
        return True

    def submit(
        self,
        connection: DataConnection,
        request_id: str,
        request: messages.EndpointRequest,
        sent_at: float,
    ) -> None:
        """Queue a request; the requests of a connection run one at a time."""
        if connection.id not in self.connections:
            return
        overlapped = connection.unanswered > 0
        connection.unanswered += 1
        connection.pending.append((request_id, request, sent_at, overlapped))
        self._run_next(connection)

    def close(self, connection: DataConnection) -> None:
        """Close a connection at the request of the node."""
        self._drop(connection)

    def close_after_keepalive(self, connection: DataConnection) -> None:
        """Close a connection whose node is gone when its keepalive expires."""
        self.run_later(KEEPALIVE_SECONDS, lambda: self._drop(connection))

    def _drop(self, connection: DataConnection) -> None:
        if self.connections.pop(connection.id, None) is None:
            return
        connection.pending.clear()
        connection.down.close()
        self.instance.close_connection(connection.id)

    def _run_next(self, connection: DataConnection) -> None:
        if connection.busy or not connection.pending:
            return
        connection.busy = True
        request_id, request, sent_at, overlapped = connection.pending.popleft()
        before = self.random.uniform(0.0, self.service_seconds)
        after = self.random.uniform(0.0, self.service_seconds)

        def execute() -> None:
            if connection.id not in self.connections:
                return
            answer = self._execute(connection, request, sent_at, overlapped)
            self.run_later(after, lambda: reply(answer))

        def reply(answer: messages.EndpointAnswer) -> None:
            connection.busy = False
            if connection.id not in self.connections:
                return
            connection.unanswered -= 1
            connection.down.send(lambda: connection.receive(request_id, answer))
            self._run_next(connection)

        self.run_later(before, execute)

    def _execute(
        self,
        connection: DataConnection,
        request: messages.EndpointRequest,
        sent_at: float,
        overlapped: bool,
    ) -> messages.EndpointAnswer:
        start = self.instance.position
        answer = self.instance.execute(connection.id, request, self.clock.read())
        labels = []
        if request.value:
            labels = histories.parse_value(self.database, request.key, request.value)
        self.history.executions.append(
            histories.Execution(
                endpoint=self.name,
                host=connection.host,
                incarnation=connection.incarnation,
                connection=connection.id,
                operation=request.operation,
                key=request.key,
                label=labels[0] if labels else "",
                sent_at=sent_at,
                at=self.loop.now,
                succeeded=answer.error is None,
                overlapped=overlapped,
            )
        )
        self._record_entries(start)
        return answer

    def _record_entries(self, start: int) -> None:
        """Record the log entries after an index in the history."""
        for index in range(start + 1, self.instance.position + 1):
            self._record_entry(index)

    def _record_entry(self, index: int) -> None:
        history = self.instance.history
        entry = self.instance.log[index - 1]
        writes = []
        for change in entry.changes:
            labels = histories.parse_value(self.database, change.key, change.value)
            writes.append((change.key, labels[0] if labels else change.value))
        self.history.entries.append(
            histories.LogEntry(
                database=self.database,
                endpoint=self.name,
                position=positions.locate(history, index),
                parent=positions.locate(history, index - 1) if index > 1 else None,
                writes=tuple(writes),
                executed_at=self.loop.now,
            )
        )

    # Control interface.

    def report_status(self) -> messages.EndpointStatus:
        """Return the status of the database instance."""
        return self.instance.report_status(self.clock.read())

    def control(self, operation: object) -> messages.ControlAnswer:
        """Perform a control operation: fence, follow or promote."""
        now = self.clock.read()
        if isinstance(operation, messages.Fence):
            return self.instance.fence(operation, now)
        if isinstance(operation, messages.Follow):
            return self.instance.follow(operation, now)
        before = self.instance.role
        start = self.instance.position
        answer = self.instance.promote(operation, now)
        self._record_entries(start)
        if answer.granted and before is not messages.Role.PRIMARY:
            self.history.promotions.append(
                histories.Promotion(
                    database=self.database,
                    endpoint=self.name,
                    term=operation.term,
                    at=self.loop.now,
                )
            )
        return answer

    # Replication.

    def _fetch(self) -> None:
        self.run_later(FETCH_SECONDS, self._fetch)
        request = self.instance.request_fetch(self.clock.read())
        primary = self.peers.get(self.instance.primary)
        if request is None or primary is None or primary is self or not self.fetching:
            return
        sent_at = self.clock.read()

        def serve() -> None:
            answer = primary.instance.serve_fetch(request, primary.clock.read())
            primary.network.send(
                primary.name,
                self.name,
                lambda: self.run(lambda: store(answer)),
                _ignore_unsent,
            )

        def store(answer: database.FetchAnswer | None) -> None:
            self.instance.receive_fetch(answer, sent_at, self.clock.read())

        self.network.send(
            self.name, primary.name, lambda: primary.run(serve), _ignore_unsent
        )


def _ignore_unsent() -> None:
    """Ignore a fetch that could not be sent; the next one follows."""
