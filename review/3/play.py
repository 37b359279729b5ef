"""A primary with ``syncReplicas`` 1 crashes while its nearest replica is busy.

Each commit is acknowledged once one replica has received it; that is the near one, as
the other one receives 90 ms later. Another caller keeps the near replica's slots in
use with reads, so it answers STATUS with BUSY. Checked is whether the instance that is
promoted has all acknowledged commits.
"""

import asyncio
import contextlib
import os
import pathlib
import random
import sys
import tempfile

from standins import client, fleet, record

CLERKS = 6
REPORT_READERS = 8
CRASH_AT_SECONDS = 4.0
END_AT_SECONDS = 14.0
NEAR_SECONDS = 0.008
FAR_SECONDS = 0.09
"""Time until the replicas receive a commit: mondbuch has 8 ms, trwydded-pool 90 ms."""


async def enter_orders(node, number: int, acknowledged: set, log, stop) -> None:
    """Write single orders at a node until the end; reconnect if the session ends."""
    chooser = random.Random(number)
    while not stop.is_set():
        with contextlib.suppress(client.SessionEnded):
            session = await client.Client.connect(
                node.address, node.port, "orders", log
            )
            while not stop.is_set():
                item = f"order-{number}-{chooser.randrange(1000)}"
                reply = await session.query(f"WRITE {item} data")
                if client.is_success(reply):
                    acknowledged.add(session.last_id)
                await asyncio.sleep(chooser.uniform(0.005, 0.02))
        await asyncio.sleep(0.1)


async def run_report(instance, number: int, stop) -> None:
    """Read at an instance without pause, as another caller of it."""
    host, _, port = instance.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(f"START {instance.service.name} report\r\n".encode())
    await reader.readuntil(b"\r\n")
    count = 0
    while not stop.is_set():
        count += 1
        writer.write(f"QUERY report{number:02}-{count} READ total\r\n".encode())
        while not (await reader.readuntil(b"\r\n")).startswith(b"READY"):
            pass
    writer.close()


async def play(folder: pathlib.Path, log, trouble: bool) -> int:
    """Run the case; return the exit status."""
    deployment = fleet.Fleet(folder=folder, record=log)
    service = deployment.add_service("mondkartei", sync_replicas=1)
    primary, near, far = service.instances.values()
    near.receive_seconds = NEAR_SECONDS
    near.work_seconds = 0.03
    far.receive_seconds = FAR_SECONDS
    deployment.add_route("orders", "primary", "mondkartei")
    deployment.add_node("front-steyr-rathaus-1", "steyr-rathaus")
    deployment.add_node("front-steyr-rathaus-2", "steyr-rathaus")
    deployment.add_node("front-enns-werkhof-1", "enns-werkhof")
    deployment.add_node("front-freistadt-keller-1", "freistadt-keller")
    stop = asyncio.Event()
    acknowledged: set[str] = set()
    try:
        if not await deployment.start():
            log.write("case", "the nodes did not become ready")
            return 2
        await asyncio.sleep(1.0)
        nodes = list(deployment.nodes.values())
        tasks = [
            asyncio.create_task(run_report(near, number, stop))
            for number in range(REPORT_READERS)
        ]
        tasks += [
            asyncio.create_task(
                enter_orders(nodes[n % len(nodes)], n, acknowledged, log, stop)
            )
            for n in range(CLERKS)
        ]
        await asyncio.sleep(CRASH_AT_SECONDS)
        before = len(acknowledged)
        if trouble:
            log.write(primary.id, f"crashes, log ends at {primary.format_position()}")
            log.write(near.id, f"log ends at {near.format_position()}")
            log.write(far.id, f"log ends at {far.format_position()}")
            primary.crash()
        at_crash = set(acknowledged)
        await asyncio.sleep(END_AT_SECONDS - CRASH_AT_SECONDS)
        stop.set()
        await asyncio.wait(tasks, timeout=6.0)
        if not before:
            log.write("case", "no write was acknowledged")
            return 2
    finally:
        deployment.end()
    if trouble and not service.promoted:
        log.write("case", "no instance was promoted")
        return 2
    violations = []
    for promoted, entries in service.promoted:
        present = {request for entry in entries for request in entry.requests}
        for request in sorted(at_crash - present):
            violations.append(
                f"LOST: the commit of {request} was acknowledged and is not in the log "
                f"of {promoted}, which was promoted"
            )
        at_crash = set()
    for line in violations:
        log.write("BROKEN", line)
    log.write("case", f"{len(acknowledged)} writes acknowledged")
    return 1 if violations else 0


def main() -> None:
    """Play the case and exit with its status."""
    here = pathlib.Path(__file__).resolve().parent
    log = record.Record(path=here / "record.txt")
    with tempfile.TemporaryDirectory() as folder:
        status = asyncio.run(
            play(pathlib.Path(folder), log, os.environ.get("TROUBLE", "1") != "0")
        )
        if keep := os.environ.get("KEEP_LOGS"):
            for path in pathlib.Path(folder).glob("*.log"):
                (pathlib.Path(keep) / path.name).write_bytes(path.read_bytes())
    log.write("case", f"exit {status}")
    log.close()
    sys.exit(status)


if __name__ == "__main__":
    main()
