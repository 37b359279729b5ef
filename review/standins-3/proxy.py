"""A TCP proxy whose open connections can go silent."""

import asyncio


class Proxy:
    """Forwards connections to one address."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self._open: dict[asyncio.Event, float] = {}
        self._server = None

    async def listen(self, host: str) -> None:
        """Start to accept connections."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    def silence(self, idle_seconds: float) -> int:
        """Let open connections go silent for good; return their number.

        Nothing is forwarded on them any more and they are not closed; new ones work.

        Parameters
        ----------
        idle_seconds : float
            Only connections without a byte for this time go silent.
        """
        now = asyncio.get_running_loop().time()
        found = [s for s, at in self._open.items() if now - at >= idle_seconds]
        for silent in found:
            silent.set()
            del self._open[silent]
        return len(found)

    async def _serve(self, reader, writer) -> None:
        host, _, port = self.target.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        silent = asyncio.Event()
        self._open[silent] = asyncio.get_running_loop().time()
        try:
            await asyncio.gather(
                self._pass(reader, far_writer, silent),
                self._pass(far_reader, writer, silent),
            )
        finally:
            self._open.pop(silent, None)
            writer.close()
            far_writer.close()

    async def _pass(self, reader, writer, silent: asyncio.Event) -> None:
        """Pass bytes on in one direction until the end; drop them while silent."""
        try:
            while data := await reader.read(65536):
                if not silent.is_set():
                    if silent in self._open:
                        self._open[silent] = asyncio.get_running_loop().time()
                    writer.write(data)
                    await writer.drain()
            if not silent.is_set():
                writer.close()
        except ConnectionError:
            if not silent.is_set():
                writer.close()
