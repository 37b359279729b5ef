"""Simulated node processes, which run the real core with fake adapters."""

import random
import traceback
from collections.abc import Callable

import attrs

from benchmarks.faults import clocks, endpoints, histories, network, store
from hyssopshelf import base, blackboard, envelopes, kvstore, messages, peer_events
from hyssopshelf import node as core_node
from hyssopshelf.membership import hosts

OPEN_SECONDS = 0.010
"""Time an endpoint takes to accept a connection."""

CALL_TIMEOUT_SECONDS = 1.0
"""Timeout of a status probe, a control call and of opening a connection."""

HOST_LIST_SECONDS = 1.0
"""Period at which the nodes chosen as readers read the host list."""

HOST_LIST_KEY = "hosts"
"""Key of the rendezvous hash that chooses the readers of the host list."""

REPLACE_SECONDS = 2.0
"""Time between the exit of a drained process and the start of the next."""

TOKEN_KEYS = (("k1", b"secret of the fault run"),)


@attrs.define(kw_only=True)
class RunContext:
    """Everything the fake adapters of the nodes communicate with.

    Attributes
    ----------
    replies : dict of str to callable
        Receives the answers for each caller connection.
    trace : callable
        Receives the name of a party and a line of text.
    """

    loop: clocks.EventLoop
    network: network.Network
    history: histories.History
    store: store.FakeStore
    host_list: store.FakeHostList
    endpoints: "dict[str, endpoints.FakeEndpoint]" = attrs.field(factory=dict)
    nodes: dict[str, "NodeProcess"] = attrs.field(factory=dict)
    replies: dict[str, Callable] = attrs.field(factory=dict)
    trace: Callable[[str, str], None] | None = None


@attrs.define(kw_only=True, eq=False)
class NodeProcess:
    """The process of one node.

    Attributes
    ----------
    prepare : callable
        Called with the process before the first event of a new core.
    in_flight : dict of str to str
        Caller connection of each unanswered statement, by statement id.
    """

    host: str
    place: str
    region: str
    clock: clocks.SkewedClock
    random: random.Random
    context: RunContext
    prepare: Callable
    alive: bool = False
    paused: bool = False
    stopping: bool = False
    started_at: float = 0.0
    incarnation: int = 0
    core: core_node.Node | None = None
    in_flight: dict[str, str] = attrs.field(factory=dict)
    on_kill: list[Callable[[], None]] = attrs.field(factory=list)
    _deferred: list[base.Event] = attrs.field(factory=list)
    _connections: dict[str, tuple] = attrs.field(factory=dict)
    _channels: dict[str, tuple] = attrs.field(factory=dict)
    _versions: dict[str, int] = attrs.field(factory=dict)

    # Process lifecycle.

    def start(self) -> None:
        """Start the process with the next incarnation and an empty state."""
        self.incarnation += 1
        self.alive = True
        self.paused = self.stopping = False
        self.started_at = self.context.loop.now
        self._versions.clear()
        identity = blackboard.Identity(
            host=self.host,
            address=self.host,
            place=self.place,
            region=self.region,
            incarnation=self.incarnation,
        )
        seed = self.random.getrandbits(32)
        self.core = core_node.Node(identity=identity, seed=seed, token_keys=TOKEN_KEYS)
        self.prepare(self)
        self._schedule(core_node.TICK_SECONDS * self.random.random(), self._tick)
        self._schedule(0.0, self._read_host_list)

    def kill(self) -> None:
        """Terminate the process at once and break its connections."""
        self.alive = False
        self.incarnation += 1
        self.paused = False
        self._deferred.clear()
        self.in_flight.clear()
        for connection, endpoint in list(self._connections.values()):
            self._close(connection, endpoint)
            endpoint.close_after_keepalive(connection)
        self._connections.clear()
        self._channels.clear()
        callbacks, self.on_kill = self.on_kill, []
        for callback in callbacks:
            callback()

    def pause(self) -> None:
        """Suspend the process; events that arrive are deferred until ``resume``."""
        self.paused = True

    def resume(self) -> None:
        """Handle the deferred events, with a timer event first or last."""
        if not self.paused:
            return
        self.paused = False
        events, self._deferred = self._deferred, []
        index = self.random.choice((0, len(events)))
        for event in (*events[:index], base.Ticked(), *events[index:]):
            self.handle(event)

    def drain(self) -> None:
        """Request a graceful stop; the process exits when the core is idle."""
        if not self.alive:
            return
        self.stopping = True
        self.handle(base.DrainRequested())

    def break_connections(self, endpoint: str) -> None:
        """Break the data connections to an endpoint, as a network failure does."""
        for connection, other in list(self._connections.values()):
            if other.name == endpoint:
                self._connections.pop(connection.id, None)
                connection.up.close()
                connection.down.close()
                other.close_after_keepalive(connection)
                self.handle(base.ConnectionClosed(connection=connection.id))

    def handle(self, event: base.Event) -> None:
        """Pass an event to the core and perform the actions it returns."""
        if not self.alive:
            return
        if self.paused:
            self._deferred.append(event)
            return
        try:
            actions = self.core.handle(event, self.clock.read())
        except Exception as error:
            frame = traceback.extract_tb(error.__traceback__)[-1]
            self.context.history.crashes.append(
                f"{error!r} in {frame.name} on {type(event).__name__}"
            )
            self._trace(traceback.format_exc())
            return
        if self.context.trace is not None:
            self._trace_event(event, actions)
        self._record_versions()
        for action in actions:
            self._perform(action)
        if self.stopping:
            self._stop_when_idle()

    def _stop_when_idle(self) -> None:
        if (
            self.paused
            or not self.core.board.draining
            or not core_node.is_idle(self.core.board, self.clock.read())
        ):
            return
        stopped = histories.Stopped(
            host=self.host,
            at=self.context.loop.now,
            in_flight=tuple(self.in_flight),
        )
        self.context.history.stopped.append(stopped)
        # Answers sent just now must reach the callers before the process exits.
        self.stopping = False
        self._schedule(0.05, self._replace)

    def _replace(self) -> None:
        """Terminate a drained process; the platform starts a new one later."""
        self.kill()
        self.context.loop.call_later(REPLACE_SECONDS, self._start_if_dead)

    def _start_if_dead(self) -> None:
        if not self.alive:
            self.start()

    def _schedule(self, seconds: float, call: Callable[[], None]) -> None:
        incarnation = self.incarnation

        def run() -> None:
            if self.incarnation == incarnation:
                call()

        delay = self.clock.to_true_delay(seconds)
        self.context.loop.call_later(delay, run)

    def _tick(self) -> None:
        self._schedule(core_node.TICK_SECONDS, self._tick)
        if not self.paused:
            self.handle(base.Ticked())

    def _read_host_list(self) -> None:
        self._schedule(HOST_LIST_SECONDS, self._read_host_list)
        board = self.core.board
        reads = len(board.hosts) <= 1 or hosts.is_reader(board, HOST_LIST_KEY)
        if reads and not self.paused:
            receive = self._while_alive(
                lambda rows: self.handle(base.HostListReceived(hosts=rows))
            )
            self.context.host_list.read(self.host, receive)

    def _while_alive(self, call: Callable) -> Callable:
        """Wrap a callback to do nothing once this incarnation has ended."""
        incarnation = self.incarnation

        def run(*arguments) -> None:
            if self.incarnation == incarnation:
                call(*arguments)

        return run

    def _record_versions(self) -> None:
        for pool, view in self.core.board.pools.items():
            if self._versions.get(pool) != view.version:
                self._versions[pool] = view.version
                self.context.history.in_force.append(
                    histories.ConfigurationInForce(
                        host=self.host,
                        incarnation=self.incarnation,
                        pool=pool,
                        version=view.version,
                        at=self.context.loop.now,
                    )
                )

    def _perform(self, action: base.Action) -> None:
        match action:
            case base.Reply():
                self._reply(action)
            case base.SendPeer():
                self._send_peer(action)
            case base.OpenConnection():
                self._open(action)
            case base.CloseConnection():
                pair = self._connections.pop(action.connection, None)
                if pair is not None:
                    self._close(*pair)
            case base.Execute():
                self._execute(action)
            case base.ProbeStatus():
                self._probe(action)
            case base.CallControl():
                self._control(action)
            case base.CallStore():
                self._call_store(action)

    def _reply(self, action: base.Reply) -> None:
        answer = action.answer
        statement_id = getattr(answer, "id", "")
        self.in_flight.pop(statement_id, None)
        if getattr(answer, "error", None) is None:
            times = self.context.history.acknowledged_at
            times.setdefault(statement_id, self.context.loop.now)
        receive = self.context.replies.get(action.caller)
        caller = action.caller.partition("#")[0]
        if receive is not None and not self.context.network.is_cut(self.host, caller):
            delay = self.context.network.draw_delay(self.host, caller)
            self.context.loop.call_later(delay, receive, answer)

    def _send_peer(self, action: base.SendPeer) -> None:
        envelope = envelopes.Envelope(
            host=self.host, address=self.host, message=action.message
        )
        data = envelopes.encode(envelope)
        peer = self.context.nodes.get(action.host)
        unsent = peer_events.PeerUnsent(host=action.host, message=action.message)
        report_unsent = self._while_alive(lambda: self.handle(unsent))
        if peer is None or not peer.alive:
            if self.random.random() < 0.5:
                self.context.loop.call_later(0.001, report_unsent)
            return

        def deliver() -> None:
            message = envelopes.decode(data).message
            event = peer_events.PeerReceived(
                host=self.host, message=message, address=self.host
            )
            peer.handle(event)

        self.context.network.send(self.host, action.host, deliver, report_unsent)

    def _open(self, action: base.OpenConnection) -> None:
        endpoint = self.context.endpoints[action.endpoint]
        net = self.context.network
        connection = endpoints.DataConnection(
            id=action.connection,
            host=self.host,
            incarnation=self.incarnation,
            up=network.Channel(network=net, sender=self.host, receiver=endpoint.name),
            down=network.Channel(network=net, sender=endpoint.name, receiver=self.host),
            receive=self._while_alive(
                lambda request_id, answer: self._receive(connection, request_id, answer)
            ),
            report_closed=self._while_alive(lambda: self._report_closed(connection)),
        )
        self._connections[connection.id] = (connection, endpoint)
        state = {"open": False}

        def accept() -> None:
            accepted = endpoint.accept(connection)
            connection.down.send(self._while_alive(lambda: finish(accepted)))

        def finish(accepted: bool) -> None:
            if state["open"] or connection.id not in self._connections:
                return
            state["open"] = True
            if accepted:
                self.handle(base.ConnectionOpened(connection=connection.id))
            else:
                fail(True, "the endpoint is full")

        def fail(refused: bool, reason: str) -> None:
            pair = self._connections.pop(connection.id, None)
            if pair is None:
                return
            self._close(*pair)
            self.handle(
                base.ConnectionFailed(
                    connection=connection.id, refused=refused, reason=reason
                )
            )

        def expire() -> None:
            if not state["open"]:
                fail(False, "no answer in time")

        connection.up.send(lambda: endpoint.run_later(OPEN_SECONDS, accept))
        if endpoint.dead:
            self._schedule(0.002, lambda: fail(False, "connection refused"))
        self._schedule(CALL_TIMEOUT_SECONDS, expire)

    def _close(
        self,
        connection: endpoints.DataConnection,
        endpoint: endpoints.FakeEndpoint,
    ) -> None:
        # The close must reach the endpoint after an accept still in progress.
        connection.down.close()
        connection.receive = connection.report_closed = _ignore
        connection.up.send(
            lambda: endpoint.run_later(
                2 * OPEN_SECONDS, lambda: endpoint.close(connection)
            )
        )

    def _report_closed(self, connection: endpoints.DataConnection) -> None:
        if self._connections.pop(connection.id, None) is not None:
            self.handle(base.ConnectionClosed(connection=connection.id))

    def _receive(
        self,
        connection: endpoints.DataConnection,
        request_id: str,
        answer: messages.EndpointAnswer,
    ) -> None:
        self.handle(
            base.EndpointAnswered(
                connection=connection.id, request_id=request_id, answer=answer
            )
        )

    def _execute(self, action: base.Execute) -> None:
        pair = self._connections.get(action.connection)
        if pair is None:
            closed = base.ConnectionClosed(connection=action.connection)
            self._schedule(0.0, lambda: self.handle(closed))
            return
        connection, endpoint = pair
        sent_at = self.context.loop.now
        connection.up.send(
            lambda: endpoint.run(
                lambda: endpoint.submit(
                    connection, action.request_id, action.request, sent_at
                )
            )
        )

    def _call_endpoint(self, name: str, call: Callable, report: Callable) -> None:
        """Call an endpoint's control interface; report None on timeout."""
        endpoint = self.context.endpoints[name]
        if name not in self._channels:
            net = self.context.network
            self._channels[name] = (
                network.Channel(network=net, sender=self.host, receiver=name),
                network.Channel(network=net, sender=name, receiver=self.host),
            )
        up, down = self._channels[name]
        state = {"done": False}

        def finish(answer) -> None:
            if not state["done"]:
                state["done"] = True
                report(answer)

        finish_if_running = self._while_alive(finish)

        def serve() -> None:
            answer = call(endpoint)
            down.send(lambda: finish_if_running(answer))

        up.send(lambda: endpoint.run(serve))
        self._schedule(CALL_TIMEOUT_SECONDS, lambda: finish(None))

    def _probe(self, action: base.ProbeStatus) -> None:
        def report(status) -> None:
            self.handle(
                base.StatusReceived(
                    endpoint=action.endpoint, probe_id=action.probe_id, status=status
                )
            )

        self._call_endpoint(
            action.endpoint, endpoints.FakeEndpoint.report_status, report
        )

    def _control(self, action: base.CallControl) -> None:
        def report(answer) -> None:
            self.handle(
                base.ControlAnswered(
                    endpoint=action.endpoint, call_id=action.call_id, answer=answer
                )
            )

        self._call_endpoint(
            action.endpoint,
            lambda endpoint: endpoint.control(action.operation),
            report,
        )

    def _call_store(self, action: base.CallStore) -> None:
        receive = self._while_alive(
            lambda result: self.handle(
                base.StoreAnswered(call_id=action.call_id, result=result)
            )
        )
        self.context.store.call(self.host, action.operation, receive)

    def _trace(self, text: str) -> None:
        if self.context.trace is not None:
            self.context.trace(self.host, text)

    def _trace_event(self, event: base.Event, actions: list[base.Action]) -> None:
        frequent = (base.Ticked, base.StatusReceived, base.HostListReceived)
        if not isinstance(event, frequent):
            self._trace(f"< {event}")
        for action in actions:
            if isinstance(action, base.Log):
                fields = " ".join(f"{k}={v}" for k, v in action.fields.items())
                self._trace(f"  {action.event.name.lower()} {fields}")
            elif not isinstance(action, base.ProbeStatus):
                self._trace(f"> {action}")


def list_host_entries(nodes: dict[str, NodeProcess]) -> tuple:
    """Return the platform's host list entries of the running nodes."""
    return tuple(
        kvstore.HostEntry(
            name=process.host,
            address=process.host,
            place=process.place,
            region=process.region,
            leaving=process.stopping,
        )
        for process in nodes.values()
        if process.alive
    )


def _ignore(*arguments) -> None:
    """Discard an answer on a connection that the node has closed."""
