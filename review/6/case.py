"""ONE: a call to promote that was given up takes effect after the next one."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))

import cases
import store
import system

SITE = system.PRIEH_LABEL
CUT_SECONDS = 10.0
PAUSE_SECONDS = 0.05
LENGTH_SECONDS = 42.0


async def replace_primary(deployment):
    """Replace the primary as planned: the new instance starts first."""
    primary = deployment.database.leader()
    await deployment.add_instance(primary.place)
    await asyncio.sleep(1.0)
    primary.drain()
    deployment.log(f"planned: the store accepts that primary {primary.id} is draining")
    return primary


async def run(deployment) -> bool:
    """Return whether an old primary committed nothing that was acknowledged."""
    await deployment.start()
    await asyncio.sleep(3.0)
    clients = cases.Clients(deployment)
    until = deployment.now() + LENGTH_SECONDS
    async with asyncio.TaskGroup() as group:
        for node in deployment.nodes:
            work = clients.run(node, writes=True, pause=PAUSE_SECONDS, until=until)
            group.create_task(work)
        await asyncio.sleep(2.0)
        primary = await replace_primary(deployment)
        await asyncio.sleep(SITE.bounds["drainMs"] / 1000 + 1.5)
        primary.stop()
        deployment.log(f"{primary.id} ends")
        await asyncio.sleep(3.0)
        await replace_primary(deployment)
        if cases.has_trouble():
            now = deployment.now()
            deployment.platform.cut = store.Cut(now, now + CUT_SECONDS)
            deployment.log(
                f"the calls to promote are cut off until {now + CUT_SECONDS:.3f}"
            )
    await asyncio.sleep(1.0)
    for call in deployment.platform.promotions:
        deployment.log(f"call to promote: {call}")
    for at, name, term in deployment.database.promotions:
        deployment.log(f"at {at:.3f} {name} began to lead term {term}")
    late = cases.find_late_commits(deployment, clients)
    for seconds, instance, write in late:
        deployment.log(
            f"ONE: {instance} committed {write} {seconds:.3f} s after the promote; "
            f"acknowledged by {clients.acknowledged[write][1]}"
        )
    kept = {w[2] for e in deployment.database.leader().log for w in e["writes"]}
    rolled_back = clients.acknowledged.keys() - kept
    deployment.log(
        f"{len(clients.acknowledged)} acknowledged writes, {len(late)} at an old "
        f"primary after a promote, {len(rolled_back)} not in the log in the end"
    )
    if len(deployment.database.promotions) < 2 or not clients.acknowledged:
        raise RuntimeError("the primary was not replaced twice")
    return not late


if __name__ == "__main__":
    cases.run(str(pathlib.Path(__file__).parent), run, site=SITE, seed=6)
