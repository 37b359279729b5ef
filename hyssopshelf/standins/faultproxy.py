"""A TCP proxy that injects faults between two processes, for tests."""

import asyncio
import random

import attrs
import tornado.iostream
import tornado.netutil
import tornado.tcpclient
import tornado.tcpserver

CHUNK_BYTES = 64 * 1024
"""Largest number of bytes read and forwarded at a time."""


@attrs.define(kw_only=True)
class Faults:
    """Faults that apply to the connections of a proxy.

    Attributes
    ----------
    disconnected : bool
        Connections are closed, new ones as soon as they are accepted.
    stalled : bool
        Nothing is forwarded in either direction; connections stay open.
    answers_dropped : bool
        Data to the client is discarded. Requests are still forwarded, so that a
        change takes effect and its answer is lost.
    delay_seconds : float
        Delay of each chunk in each direction.
    jitter_seconds : float
        Upper limit of a further delay that is fixed for each connection, so that
        answers on different connections are reordered.
    """

    disconnected: bool = False
    stalled: bool = False
    answers_dropped: bool = False
    delay_seconds: float = 0.0
    jitter_seconds: float = 0.0


class FaultProxy(tornado.tcpserver.TCPServer):
    """Forwards connections to a target, subject to ``faults``.

    Parameters
    ----------
    target : str
        ``IP:port`` of the process behind the proxy.
    seed : int
        Seed of the delays of the connections.
    """

    def __init__(self, *, target: str, seed: int = 0) -> None:
        super().__init__()
        self.target = target
        self.faults = Faults()
        self.address = ""
        self._random = random.Random(seed)
        self._streams: set[tornado.iostream.IOStream] = set()

    def start_listening(self, host: str = "127.0.0.1") -> None:
        """Listen on a free port of a loopback address."""
        sockets = tornado.netutil.bind_sockets(0, host)
        self.add_sockets(sockets)
        self.address = f"{host}:{sockets[0].getsockname()[1]}"

    def disconnect(self) -> None:
        """Close all connections and refuse new ones."""
        self.faults.disconnected = True
        for stream in list(self._streams):
            stream.close()

    def clear_faults(self) -> None:
        """Remove all faults."""
        self.faults = Faults()

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.stop()
        self.disconnect()

    async def handle_stream(self, stream: tornado.iostream.IOStream, address) -> None:
        """Forward one connection in both directions until either side closes it."""
        if self.faults.disconnected:
            stream.close()
            return
        host, _, port = self.target.rpartition(":")
        try:
            upstream = await tornado.tcpclient.TCPClient().connect(host, int(port))
        except OSError:
            stream.close()
            return
        jitter_fraction = self._random.random()
        self._streams.update((stream, upstream))
        try:
            await asyncio.gather(
                self._forward(stream, upstream, jitter_fraction, to_client=False),
                self._forward(upstream, stream, jitter_fraction, to_client=True),
            )
        finally:
            self._streams.difference_update((stream, upstream))

    async def _forward(self, source, sink, jitter_fraction: float, *, to_client: bool):
        try:
            while True:
                data = await source.read_bytes(CHUNK_BYTES, partial=True)
                await self._delay(jitter_fraction)
                if to_client and self.faults.answers_dropped:
                    continue
                await sink.write(data)
        except tornado.iostream.StreamClosedError:
            source.close()
            sink.close()

    async def _delay(self, jitter_fraction: float) -> None:
        faults = self.faults
        delay = faults.delay_seconds + jitter_fraction * faults.jitter_seconds
        if delay > 0:
            await asyncio.sleep(delay)
        while self.faults.stalled and not self.faults.disconnected:
            await asyncio.sleep(0.01)
