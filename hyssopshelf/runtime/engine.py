"""Runs a node's core on the tornado event loop and carries out its actions."""

import asyncio
import functools
import itertools
import time

import attrs
import result
import tornado.ioloop

from hyssopshelf import base, clocks, exceptions, logs, node, peer_events
from hyssopshelf.membership import hosts
from hyssopshelf.runtime import endpoints, peers

HOST_LIST_INTERVAL_SECONDS = 1.0
"""Interval at which a reader reads the host list, in seconds."""

HOST_LIST_KEY = "hosts"
"""Key of the rendezvous hashing that selects the readers of the host list."""

_CALLER_NUMBERS = itertools.count()


class Engine:
    """Passes events of the adapters to a node's core and runs the core's actions.

    Parameters
    ----------
    core : node.Node
        The node's core.
    store : object or None
        Adapter with ``async call(operation)``; None runs without a store.
    host_list : object or None
        Adapter with ``async read()``; None runs without a host list.
    """

    def __init__(self, *, core: node.Node, store=None, host_list=None) -> None:
        self.core = core
        self.store = store
        self.host_list = host_list
        self.reply_callbacks: dict[str, object] = {}
        identity = core.board.identity
        self.peers = peers.PeerTransport(
            host=identity.host, address=identity.address, emit=self.emit
        )
        self.endpoints = endpoints.EndpointAdapter(
            emit=self.emit, find_address=self._find_address
        )
        self._tick_timer = tornado.ioloop.PeriodicCallback(
            self._tick, node.TICK_SECONDS * 1000
        )
        self._host_list_timer = tornado.ioloop.PeriodicCallback(
            self._read_host_list, HOST_LIST_INTERVAL_SECONDS * 1000
        )
        self._stopped = False
        self.failed = False

    def start(self) -> None:
        """Listen for peers and start the periodic ticks and host list reads."""
        self.peers.listen()
        self._tick_timer.start()
        if self.host_list is not None:
            self._host_list_timer.start()
            tornado.ioloop.IOLoop.current().add_callback(self._read_host_list)
        identity = self.core.board.identity
        logs.write(
            logs.LogEvent.PROCESS_STARTED,
            {"host": identity.host, "place": identity.place},
        )

    def emit(self, event: base.Event) -> None:
        """Apply an event to the core and carry out the actions that it returns.

        A violated invariant stops the engine and sets ``failed``.
        """
        if self._stopped:
            return
        now = time.monotonic()
        if isinstance(event, peer_events.PeerReceived):
            event = _convert_time(event, now)
        try:
            actions = self.core.handle(event, now)
        except exceptions.InvariantError as error:
            # The actions of the event are dropped: no answer is better than one
            # that violates a guarantee.
            logs.write(logs.LogEvent.INVARIANT_BROKEN, {"text": str(error)})
            logs.flush()
            self.failed = self._stopped = True
            return
        for action in actions:
            carry_out(action, self)

    def register_caller(self, caller: str, callback) -> None:
        """Register the callable that receives the replies to a caller."""
        self.reply_callbacks[caller] = callback

    async def submit(self, request) -> object:
        """Pass an operator's request to the core and return its answer."""
        caller = f"operator-{next(_CALLER_NUMBERS)}"
        future = asyncio.get_running_loop().create_future()
        self.register_caller(caller, future.set_result)
        try:
            self.emit(base.ResourceRequested(caller=caller, request=request))
            return await future
        finally:
            self.reply_callbacks.pop(caller, None)

    def remove_caller(self, caller: str) -> None:
        """Remove a caller; its open statements are cancelled."""
        if self.reply_callbacks.pop(caller, None) is not None:
            self.emit(base.CallerDisconnected(caller=caller))

    def stop(self) -> None:
        """Run the node's last actions, so that no usage is lost, and close adapters."""
        for action in node.prepare_stop(self.core.board, time.monotonic()):
            carry_out(action, self)
        self._tick_timer.stop()
        self._host_list_timer.stop()
        self._stopped = True
        self.endpoints.close()
        self.peers.close()
        for adapter in (self.store, self.host_list):
            if adapter is not None:
                adapter.close()
        identity = self.core.board.identity
        logs.write(logs.LogEvent.PROCESS_STOPPED, {"host": identity.host})
        logs.flush()

    def _tick(self) -> None:
        self.emit(base.Ticked())
        logs.flush()

    async def _read_host_list(self) -> None:
        """Read the host list if this node is one of its readers.

        Only a few nodes read it, which bounds the load on the platform. A node that
        knows no other host reads it too, so that it can join.
        """
        board = self.core.board
        if len(board.hosts) > 1 and not hosts.is_reader(board, HOST_LIST_KEY):
            return
        outcome = await self.host_list.read()
        if outcome.is_ok() and not self._stopped:
            self.emit(base.HostListReceived(hosts=outcome.unwrap()))

    def _find_address(self, endpoint: str) -> str | None:
        record = self.core.board.endpoints.get(endpoint)
        return record.address if record is not None else None


def _convert_time(event: peer_events.PeerReceived, now: float):
    """Return the event with its time on the clock of the core, which differs."""
    if event.waited_since is None:
        return event
    waited = clocks.read_clock() - event.waited_since
    return attrs.evolve(event, waited_since=now - waited)


@functools.singledispatch
def carry_out(action: base.Action, engine: Engine) -> None:
    """Carry out an action of the core through the engine's adapters."""
    raise NotImplementedError(type(action).__name__)


@carry_out.register
def _(action: base.Reply, engine: Engine) -> None:
    callback = engine.reply_callbacks.get(action.caller)
    if callback is not None:
        callback(action.answer)


@carry_out.register
def _(action: base.SendPeer, engine: Engine) -> None:
    record = engine.core.board.hosts.get(action.host)
    # The host is an address while its name is not known: a joining node knows only
    # the addresses of the host list or its settings.
    address = record.address if record is not None else action.host
    if ":" not in address:
        event = peer_events.PeerUnsent(host=action.host, message=action.message)
        tornado.ioloop.IOLoop.current().add_callback(engine.emit, event)
        return
    engine.peers.send(action.host, address, action.message)


@carry_out.register
def _(action: base.OpenConnection, engine: Engine) -> None:
    engine.endpoints.open(action.endpoint, action.connection)


@carry_out.register
def _(action: base.CloseConnection, engine: Engine) -> None:
    engine.endpoints.close_connection(action.connection)


@carry_out.register
def _(action: base.Execute, engine: Engine) -> None:
    engine.endpoints.execute(action.connection, action.request_id, action.request)


@carry_out.register
def _(action: base.ProbeStatus, engine: Engine) -> None:
    engine.endpoints.probe(action.endpoint, action.probe_id)


@carry_out.register
def _(action: base.CallControl, engine: Engine) -> None:
    engine.endpoints.call_control(action.endpoint, action.call_id, action.operation)


@carry_out.register
def _(action: base.CallStore, engine: Engine) -> None:
    tornado.ioloop.IOLoop.current().add_callback(_call_store, engine, action)


@carry_out.register
def _(action: base.Log, engine: Engine) -> None:
    logs.write(action.event, action.fields)


async def _call_store(engine: Engine, action: base.CallStore) -> None:
    if engine.store is None:
        outcome = result.Err("no store is configured")
    else:
        outcome = await engine.store.call(action.operation)
    engine.emit(base.StoreAnswered(call_id=action.call_id, result=outcome))
