"""A TCP proxy that injects faults between two processes, for tests."""

import asyncio
import random

import attrs
import tornado.iostream
import tornado.netutil
import tornado.tcpclient
import tornado.tcpserver

CHUNK_BYTES = 64 * 1024
"""Bytes forwarded at a time at most."""


@attrs.define(kw_only=True)
class Faults:
    """Faults that apply to the connections of a proxy.

    Attributes
    ----------
    cut : bool
        Connections are closed and new ones refused.
    stalled : bool
        Bytes are held back in both directions; connections stay open.
    answers_dropped : bool
        Bytes towards the client are discarded; requests still arrive, so a
        change takes effect whose answer is lost.
    delay_seconds : float
        Delay of each chunk in each direction.
    jitter_seconds : float
        Each connection adds a fixed delay up to this, so that answers on
        different connections change their order.
    """

    cut: bool = False
    stalled: bool = False
    answers_dropped: bool = False
    delay_seconds: float = 0.0
    jitter_seconds: float = 0.0


class FaultProxy(tornado.tcpserver.TCPServer):
    """Forwards connections to a target and injects faults.

    Parameters
    ----------
    target : str
        ``IP:port`` of the process behind the proxy.
    seed : int
        Seed of the delays.
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

    def cut(self) -> None:
        """Close all connections and refuse new ones."""
        self.faults.cut = True
        for stream in list(self._streams):
            stream.close()

    def heal(self) -> None:
        """Remove all faults."""
        self.faults = Faults()

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.stop()
        self.cut()

    async def handle_stream(self, stream: tornado.iostream.IOStream, address) -> None:
        """Forward one connection."""
        if self.faults.cut:
            stream.close()
            return
        host, _, port = self.target.rpartition(":")
        try:
            other = await tornado.tcpclient.TCPClient().connect(host, int(port))
        except OSError:
            stream.close()
            return
        offset = self._random.random()
        self._streams.update((stream, other))
        try:
            await asyncio.gather(
                self._forward(stream, other, offset, towards_client=False),
                self._forward(other, stream, offset, towards_client=True),
            )
        finally:
            self._streams.difference_update((stream, other))

    async def _forward(self, source, sink, offset: float, *, towards_client: bool):
        try:
            while True:
                data = await source.read_bytes(CHUNK_BYTES, partial=True)
                await self._delay(offset)
                if towards_client and self.faults.answers_dropped:
                    continue
                await sink.write(data)
        except tornado.iostream.StreamClosedError:
            source.close()
            sink.close()

    async def _delay(self, offset: float) -> None:
        faults = self.faults
        delay = faults.delay_seconds + offset * faults.jitter_seconds
        if delay > 0:
            await asyncio.sleep(delay)
        while self.faults.stalled and not self.faults.cut:
            await asyncio.sleep(0.01)
