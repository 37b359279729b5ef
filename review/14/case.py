"""A node is stopped while a client reads an answer of six large rows."""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

import client  # noqa: E402
import deployment  # noqa: E402

ROW_BYTES = 1_000_000
"""Size of a row; a message may have 1 MiB."""

ROWS = 6

STOP_BEFORE_SECONDS = 0.3
"""Time from SIGTERM to the read."""

READ_TIMEOUT_SECONDS = 1.5
"""The route's timeout, which excuses a request that takes as long."""


async def play(case) -> int:
    """Play the case; return the exit status."""
    log = case.log
    if not await case.start([deployment.make_route("hall", "bounded", "slots")]):
        return 2
    await asyncio.sleep(6.0)
    rows = [chr(97 + number) * ROW_BYTES for number in range(ROWS)]
    case.services["slots"].many_rows["report"] = rows
    node = case.nodes[0]
    session = await client.Client.connect(node.front, "hall", log)
    await session.query("READ small")
    if deployment.TROUBLE:
        node.send_signal(signal.SIGTERM)
        log.add(f"SIGTERM to {node.name}")
    await asyncio.sleep(STOP_BEFORE_SECONDS)
    sent_at = log.now()
    complete = True
    try:
        async with asyncio.timeout(5.0):
            lines = await session.query("READ report")
            complete = [line[4:] for line in lines[:-2]] == rows
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        complete = False
        log.add(f"{session.request} {error!r}"[:200])
    seconds = log.now() - sent_at
    service = case.services["slots"]
    passed_on = any(
        request == session.request
        for instance in service.instances.values()
        for _, request in instance.arrivals
    )
    text = (
        f"complete answer: {complete}, passed on to an instance: {passed_on}, "
        f"after {seconds:.3f} s"
    )
    log.add(text)
    print(text)
    if not passed_on:
        return 2
    lost = not complete and seconds < READ_TIMEOUT_SECONDS
    if lost and not deployment.TROUBLE:
        log.add("without planned work the rule LOST does not judge this")
    if lost and deployment.TROUBLE:
        log.add("LOST: the connection ended without a complete answer")
        return 1
    return 0


if __name__ == "__main__":
    deployment.run(
        HERE,
        play,
        services=("slots",),
        work_seconds=0.01,
        zones=["ba-1", "za-1", "ke-1"],
    )
