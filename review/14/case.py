"""A primary reports that it drains; two coordinators are lost one after the other."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

import client  # noqa: E402
import deployment  # noqa: E402

DRAIN_SECONDS = 7.0

MARGIN_SECONDS = 0.02
"""Added to the bound, for the time that a message needs on this machine."""

LOST_AFTER_SECONDS = (1.0, 3.5)
"""Times after the primary's report at which a coordinator's machine is lost. The first
one is lost before it reads the report, which it does each 1.5 s."""

SERVED_SECONDS = 8.2
"""Time after the report at which the primary ends: `drainMs` and a little longer."""

WATCHED_SECONDS = 12.0
"""Time for which requests are sent after the report."""


async def write_repeatedly(node, log) -> None:
    """Write through a node, one session for each write, until cancelled."""
    number = 0
    while True:
        number += 1
        try:
            async with asyncio.timeout(2.0):
                session = await client.Client.connect(node.front, "labels", log)
                await session.query(f"WRITE slot{number} {node.name}")
                session.close()
        except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
            log.add(f"{node.name} {error!r}")
        await asyncio.sleep(0.05)


async def play(case) -> int:
    """Play the case; return the exit status."""
    log = case.log
    if not await case.start([deployment.make_route("labels", "primary", "slots")]):
        return 2
    await asyncio.sleep(6.0)
    for node in case.nodes:
        case.spawn(write_repeatedly(node, log))
    await case.wait_for_call("kv-range", "servers/")
    await asyncio.sleep(0.05)
    leaving = case.services["slots"].find_primary()
    leaving.state = "draining"
    await leaving.beat()
    reported_at = log.add(f"the store acknowledges that {leaving.id} drains")
    for after in LOST_AFTER_SECONDS:
        await deployment.wait_until(log, reported_at + after)
        if deployment.TROUBLE:
            case.lose_coordinator()
    await deployment.wait_until(log, reported_at + SERVED_SECONDS)
    log.add(f"{leaving.id} ends")
    leaving.crash()
    case.store.delete(f"servers/{leaving.id}")
    await deployment.wait_until(log, reported_at + WATCHED_SECONDS)
    if case.has_ended_nodes():
        return 2
    return judge(leaving, reported_at, log)


def judge(leaving, reported_at: float, log) -> int:
    """Return the exit status by the rule DRAIN."""
    due = reported_at + DRAIN_SECONDS + MARGIN_SECONDS
    late = [(at, request) for at, request in leaving.arrivals if at > due]
    for at, request in late:
        log.add(
            f"DRAIN: {request} reached {leaving.id} at {at:.3f}, "
            f"{at - reported_at:.3f} s after it said that it leaves"
        )
    last = max((at for at, _ in leaving.arrivals), default=0.0) - reported_at
    text = f"{len(late)} requests broke the rule; the last came after {last:.3f} s"
    log.add(text)
    print(text)
    return 1 if late else 0


if __name__ == "__main__":
    deployment.run(
        HERE,
        play,
        services=("slots",),
        work_seconds=0.005,
        zones=["ba-1", "za-1", "ke-1", "ba-1", "za-1", "ke-1"],
    )
