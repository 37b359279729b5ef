"""Instances are replaced in turn; the coordinator is lost while it promotes one."""

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

LOST_AFTER_SECONDS = 0.1
"""Time after the arrival of the call to promote at which the caller's machine is lost;
a promotion takes 0.6 s."""

NEXT_AFTER_SECONDS = 0.3
"""Time after that at which the new primary is the next instance to be replaced."""

SERVED_SECONDS = 9.5
"""Time for which the draining instances serve after their report."""

WATCHED_SECONDS = 14.0
"""Time for which requests are sent after the second report."""


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


async def add_successor(service, leaving) -> None:
    """Start the instance that will replace another one."""
    successor = service.add(leaving.zone)
    await successor.start("127.0.0.1")


async def drain(instance, log) -> float:
    """Let an instance report that it drains; return the time."""
    instance.state = "draining"
    await instance.beat()
    return log.add(f"the store acknowledges that {instance.id} drains")


async def play(case) -> int:
    """Play the case; return the exit status."""
    log = case.log
    if not await case.start([deployment.make_route("labels", "primary", "slots")]):
        return 2
    await asyncio.sleep(6.0)
    for node in case.nodes:
        case.spawn(write_repeatedly(node, log))
    service = case.services["slots"]
    called = asyncio.get_running_loop().create_future()

    async def promote(name: str, id_: str) -> bool:
        if not called.done():
            called.set_result(id_)
        return await service.promote(id_)

    case.store.promote = promote
    first = service.find_primary()
    await add_successor(service, first)
    await drain(first, log)
    target = service.instances[await asyncio.wait_for(called, 10.0)]
    await add_successor(service, target)
    await asyncio.sleep(LOST_AFTER_SECONDS)
    if deployment.TROUBLE:
        case.lose_coordinator()
    await asyncio.sleep(NEXT_AFTER_SECONDS)
    reported_at = await drain(target, log)
    await deployment.wait_until(log, reported_at + SERVED_SECONDS)
    for instance in (first, target):
        log.add(f"{instance.id} ends")
        instance.crash()
        case.store.delete(f"servers/{instance.id}")
    await deployment.wait_until(log, reported_at + WATCHED_SECONDS)
    if case.has_ended_nodes():
        return 2
    return judge(target, reported_at, log)


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
