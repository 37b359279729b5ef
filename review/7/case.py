"""STALE: a new coordinator does not know a machine that still uses the old primary."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))

import cases
import system

SITE = system.PRIEH_LABEL
MEMBER_PREFIX = "hyssopshelf/members/"
LONGEST_FREEZE_SECONDS = 4.0
CALM_SECONDS = SITE.bounds["stableWindowMs"] / 1000 + 2.0
READERS = 3
READ_PAUSE_SECONDS = 0.01
WRITE_PAUSE_SECONDS = 0.05
LENGTH_SECONDS = 8.0


async def lose_registration(deployment, frozen) -> None:
    """Freeze a machine until an answer of the store to the leader is lost.

    The answer belongs to the leader's removal of the frozen machine's key.
    """
    lost = asyncio.Event()

    def lose_answer(node: str, body: dict) -> bool:
        if lost.is_set() or MEMBER_PREFIX + frozen.name not in body["deletes"]:
            return False
        deployment.log(f"the store does a write of {node}; its answer is lost: {body}")
        lost.set()
        return True

    deployment.platform.lose_answer = lose_answer
    started_at = deployment.now()
    frozen.signal(signal.SIGSTOP)
    async with asyncio.timeout(LONGEST_FREEZE_SECONDS - 0.3):
        await lost.wait()
    await asyncio.sleep(0.2)
    frozen.signal(signal.SIGCONT)
    deployment.platform.lose_answer = None
    deployment.log(
        f"{frozen.name} was frozen for {deployment.now() - started_at:.3f} s"
    )


def find_stale_reads(deployment, clients) -> list:
    """Return the reads whose log lacked a commit that was acknowledged before them.

    Commits that a promote rolled back don't count.
    """
    database = deployment.database
    kept = {
        write[2]: (index, entry)
        for index, entry in enumerate(database.leader().log)
        for write in entry["writes"]
    }
    known = sorted(
        (at, request)
        for request, (at, _) in clients.acknowledged.items()
        if request in kept
    )
    instances = {a["request"]: a["instance"] for a in database.arrivals}
    stale = []
    for sent_at, request, node in clients.reads:
        log = database.logs_read[request]
        for acknowledged_at, write in known:
            if acknowledged_at >= sent_at:
                break
            index, entry = kept[write]
            if index >= len(log) or log[index] is not entry:
                stale.append((sent_at, request, node, instances[request], write))
                break
    return stale


async def run(deployment) -> bool:
    """Return whether no read was stale and no old primary's commit acknowledged."""
    await deployment.start()
    await asyncio.sleep(6.0)
    leader = deployment.leader()
    zone = leader.name.rpartition("-")[0]
    others = [n for n in deployment.nodes if n is not leader]
    reader = [n for n in others if n.name.startswith(zone)][-1]
    if cases.has_trouble():
        await lose_registration(deployment, reader)
    await asyncio.sleep(CALM_SECONDS)
    if deployment.leader() is not leader:
        raise RuntimeError("another machine leads than before")
    clients = cases.Clients(deployment)
    until = deployment.now() + LENGTH_SECONDS
    async with asyncio.TaskGroup() as group:
        for _ in range(READERS):
            work = clients.run(
                reader, writes=False, pause=READ_PAUSE_SECONDS, until=until
            )
            group.create_task(work)
        for node in others:
            work = clients.run(
                node, writes=True, pause=WRITE_PAUSE_SECONDS, until=until
            )
            group.create_task(work)
        await asyncio.sleep(2.0)
        primary = deployment.database.leader()
        primary.drain()
        deployment.log(f"planned: the store accepts that {primary.id} is draining")
        leader.signal(signal.SIGTERM)
    await asyncio.sleep(1.0)
    for at, name, term in deployment.database.promotions:
        deployment.log(f"at {at:.3f} {name} began to lead term {term}")
    stale = find_stale_reads(deployment, clients)
    for sent_at, request, node, instance, write in stale:
        deployment.log(
            f"STALE: read {request}, sent at {sent_at:.3f} to {node}, ran at "
            f"{instance} without write {write}, acknowledged at "
            f"{clients.acknowledged[write][0]:.3f} by {clients.acknowledged[write][1]}"
        )
    late = cases.find_late_commits(deployment, clients)
    for seconds, instance, write in late:
        deployment.log(
            f"ONE: {instance} committed {write} {seconds:.3f} s after the promote; "
            f"acknowledged by {clients.acknowledged[write][1]}"
        )
    deployment.log(
        f"{len(clients.reads)} reads, {len(stale)} stale; {len(clients.acknowledged)} "
        f"acknowledged writes, {len(late)} at an old primary"
    )
    if not deployment.database.promotions or not clients.reads:
        raise RuntimeError("the primary was not replaced")
    return not stale and not late


if __name__ == "__main__":
    cases.run(str(pathlib.Path(__file__).parent), run, site=SITE, seed=7)
