"""Measures the processor time of socket operations and of the timer on loopback.

Operations are paced: a node sends only a few dozen control messages a second, so
each one wakes the process up separately.
"""

import asyncio
import socket
import threading
import time

import attrs
import pynng
import tornado.httpserver
import tornado.ioloop
import tornado.netutil
import tornado.web
import tornado.websocket

from benchmarks import control_fleet
from hyssopshelf import messages
from hyssopshelf.runtime import endpoints, peers, wire

PACE_SECONDS = 0.002
CALLS_PER_ROUND = 200
ROUNDS = 3
"""The fastest round is reported, because other load on the machine adds time."""

MESSAGE_BYTES = 250
"""Mean size of a node's control messages as measured by bench_control."""

ENDPOINT = "pool0000/d0/a"


@attrs.frozen(kw_only=True)
class SocketCosts:
    """Processor time of one operation at the node, in seconds.

    Attributes
    ----------
    tick : float
        Timer callback of the event loop that does nothing.
    message : float
        Sending or receiving one message: half the cost of both ends together.
    probe : float
        Status call with its JSON codec, only the client's end.
    """

    tick: float
    message: float
    probe: float


def measure() -> SocketCosts:
    """Measure the cost of each operation in an event loop of its own."""
    return asyncio.run(_measure())


async def _measure() -> SocketCosts:
    tick = await _measure_paced(lambda: None, time.process_time)
    message = await _measure_messages()
    probe = await _measure_probes()
    return SocketCosts(
        tick=tick,
        message=max(0.0, message - tick) / 2,
        probe=max(0.0, probe - tick),
    )


async def _measure_paced(operation, clock) -> float:
    """Call a function at a fixed pace and return the lowest mean cost of a call."""
    return min([await _run_round(operation, clock) for _ in range(ROUNDS)])


async def _run_round(operation, clock) -> float:
    timer = tornado.ioloop.PeriodicCallback(operation, PACE_SECONDS * 1000)
    await asyncio.sleep(0.05)
    calls = 0

    def call() -> None:
        nonlocal calls
        calls += 1
        operation()

    timer.callback = call
    started = clock()
    timer.start()
    while calls < CALLS_PER_ROUND:
        await asyncio.sleep(0.05)
    timer.stop()
    await asyncio.sleep(0.05)
    return (clock() - started) / calls


async def _measure_messages() -> float:
    address = f"127.0.0.1:{_find_port()}"
    received = 0
    inbox = pynng.Pull0(listen=f"tcp://{address}", recv_buffer_size=128)
    loop = asyncio.get_running_loop()

    def receive() -> None:
        nonlocal received
        while True:
            try:
                inbox.recv(block=False)
            except pynng.TryAgain:
                return
            received += 1

    loop.add_reader(inbox.recv_fd, receive)
    dialer = peers.Dialer(address=address, emit=lambda event: None)
    dialer.open()
    data = bytes(MESSAGE_BYTES)
    dialer.send("h", None, data)
    cost = await _measure_paced(lambda: dialer.send("h", None, data), time.process_time)
    loop.remove_reader(inbox.recv_fd)
    dialer.close()
    inbox.close()
    if received < CALLS_PER_ROUND * ROUNDS:
        raise RuntimeError(
            f"only {received} of {CALLS_PER_ROUND * ROUNDS} messages arrived"
        )
    return cost


class _StatusHandler(tornado.websocket.WebSocketHandler):
    """Answers every control call with the status of a healthy primary."""

    def on_message(self, message) -> None:
        frame = messages.from_json(message, wire.ControlFrame)
        status = control_fleet.make_status(ENDPOINT, ENDPOINT)
        reply = wire.ControlReply(id=frame.id, granted=True, status=status)
        self.write_message(messages.to_json(reply).decode())


async def _measure_probes() -> float:
    port = _find_port()
    stop = threading.Event()
    ready = threading.Event()
    thread = threading.Thread(
        target=lambda: asyncio.run(_serve_status(port, ready, stop)), daemon=True
    )
    thread.start()
    ready.wait()
    answers = []
    adapter = endpoints.EndpointAdapter(
        emit=answers.append, find_address=lambda endpoint: f"127.0.0.1:{port}"
    )
    adapter.probe(ENDPOINT, "first")
    cost = await _measure_paced(
        lambda: adapter.probe(ENDPOINT, "own.1.1234"), time.thread_time
    )
    adapter.close()
    stop.set()
    thread.join()
    answered = sum(event.status is not None for event in answers)
    if answered < CALLS_PER_ROUND // 2:
        raise RuntimeError(f"only {answered} probes were answered")
    return cost


async def _serve_status(port: int, ready, stop) -> None:
    application = tornado.web.Application([(wire.CONTROL_PATH, _StatusHandler)])
    server = tornado.httpserver.HTTPServer(application)
    server.add_sockets(tornado.netutil.bind_sockets(port, "127.0.0.1"))
    ready.set()
    while not stop.is_set():
        await asyncio.sleep(0.05)
    server.stop()
    await server.close_all_connections()


def _find_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]
