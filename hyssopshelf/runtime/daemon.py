"""Entry point of a node, ``hyssopshelf-proxy``: start, drain and exit status."""

import asyncio
import os
import signal
import sys
import time

import tornado.httpserver

from hyssopshelf import background, base, blackboard, exceptions, logs, node
from hyssopshelf.runtime import closing, hostlist, resources, server, settings, store
from hyssopshelf.runtime import engine as engines

EXIT_SETTINGS = 2
"""Exit status for an invalid setting."""

EXIT_DRAIN_TIMEOUT = 3
"""Exit status when statements, transactions or answers that were not sent were left at
the drain deadline."""

EXIT_INVARIANT_VIOLATED = 4
"""Exit status after a violated invariant."""

STOP_CHECK_INTERVAL_SECONDS = 0.05
"""Interval between checks for a stop request and for a finished drain, in seconds."""


CLOSE_SECONDS = 1.0
"""Time before the end of a graceful stop at which statements that are still open are
answered, and longest wait for clients to close their connections, in seconds."""


def main() -> None:
    """Run the node with the settings of the command line and environment."""
    try:
        values = settings.load_settings(sys.argv[1:], dict(os.environ))
    except exceptions.SettingError as error:
        print(f"hyssopshelf-proxy: {error}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    if values.check_only:
        print("settings are valid")
        return
    logs.configure(form=values.log_format, level=values.log_level)
    status = asyncio.run(run_node(values))
    logs.flush()
    # The finalization of the interpreter may take longer than the process has left.
    os._exit(status)


def make_engine(values: settings.Settings) -> engines.Engine:
    """Return an engine with a new node; nothing is started yet."""
    identity = blackboard.Identity(
        host=values.host,
        address=values.peer_listen,
        place=values.place,
        region=values.region,
        incarnation=time.time_ns() // 1_000_000,
    )
    seed = int.from_bytes(os.urandom(8), "big")
    core = node.Node(identity=identity, seed=seed, token_keys=values.token_keys)
    core.board.membership.seeds = tuple(address for _, address in values.seeds)
    core.board.hosts[values.host] = blackboard.HostRecord(
        name=values.host,
        address=values.peer_listen,
        place=values.place,
        region=values.region,
        incarnation=identity.incarnation,
    )
    return engines.Engine(
        core=core,
        store=store.StoreAdapter(url=values.store_url) if values.store_url else None,
        host_list=(
            hostlist.HostListAdapter(url=values.host_list_url)
            if values.host_list_url
            else None
        ),
    )


async def run_node(values: settings.Settings) -> int:
    """Run a node, drain it when it has to stop and return the exit status.

    A node stops on SIGTERM, on SIGINT, on an operator's drain request or after a
    violated invariant.
    """
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    engine = make_engine(values)
    connections = closing.ClientConnections()

    async def submit(request):
        connections.add_answer(asyncio.current_task())
        return await engine.submit(request)

    application = server.make_application(
        engine, connections, tuple(resources.make_handlers(submit))
    )
    http = tornado.httpserver.HTTPServer(application)
    address, _, port = values.listen.rpartition(":")
    http.listen(int(port), address.strip("[]"))
    engine.start()
    while not (stopping.is_set() or engine.core.board.draining or engine.failed):
        await asyncio.sleep(STOP_CHECK_INTERVAL_SECONDS)
    stop_by = loop.time() + values.drain_seconds
    reserve = min(CLOSE_SECONDS, values.drain_seconds / 2)
    drained = await drain(engine, stop_by - reserve)
    if not engine.failed:
        engine.emit(base.StopRequested())
    if engine.failed:
        return EXIT_INVARIANT_VIOLATED
    http.stop()
    flushed = await connections.flush(stop_by - reserve / 2)
    await connections.close(min(stop_by, loop.time() + CLOSE_SECONDS))
    engine.stop()
    try:
        async with asyncio.timeout_at(stop_by):
            await http.close_all_connections()
    except TimeoutError as error:
        background.log_failure(http.close_all_connections, error)
    return 0 if drained and flushed else EXIT_DRAIN_TIMEOUT


async def drain(engine: engines.Engine, deadline: float) -> bool:
    """Wait for running statements and transactions.

    Parameters
    ----------
    engine : Engine
        The running engine; its node is told to drain.
    deadline : float
        Time of the event loop, in seconds, at which the wait ends.

    Returns
    -------
    bool
        Whether all statements and transactions ended before the deadline.
    """
    engine.emit(base.DrainRequested())
    board = engine.core.board
    while not node.is_idle(board, time.monotonic()):
        if engine.failed or asyncio.get_running_loop().time() >= deadline:
            return False
        await asyncio.sleep(STOP_CHECK_INTERVAL_SECONDS)
    return True


if __name__ == "__main__":
    main()
