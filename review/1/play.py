"""An entry node is killed once and started again while clients have transactions.

The databases accept fewer connections than two for each node, so two nodes hold them
and the other nodes forward to these. Clerks work at one of the others, a few seconds
after its start. Checked is what the instances ran, by connection and transaction.
"""

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import sys
import tempfile

from standins import client, fleet, record

CLERKS = 8
AMENDING_CLERKS = 2
KILL_AT_SECONDS = 3.0
RESTART_SECONDS = 0.5
BALANCER_SECONDS = 1.0
"""The balancer asks each second whether a node is ready; clients come after that."""
END_AT_SECONDS = 18.0
CONNECTIONS = 12
ENTRY = "front-enns-werkhof-1"


class Clerks:
    """Clerks who enter orders at one node and repeat what they may."""

    def __init__(self, *, deployment, log) -> None:
        self.node = deployment.nodes[ENTRY]
        self.log = log
        self.random = random.Random(7)
        self.acknowledged: set[str] = set()
        self.in_rotation = asyncio.Event()
        self.stopping = False

    async def run(self, number: int) -> None:
        """Connect and work until the end, again after each end of the session."""
        while not self.stopping:
            await self.in_rotation.wait()
            with contextlib.suppress(client.SessionEnded):
                session = await client.Client.connect(
                    self.node.address, self.node.port, "orders", self.log
                )
                try:
                    while not self.stopping:
                        await self._work(session, number)
                finally:
                    session.close()
            await asyncio.sleep(0.1)

    async def _work(self, session, number: int) -> None:
        item = f"order-{number}-{self.random.randrange(100)}"
        await asyncio.sleep(self.random.uniform(0.05, 0.15))
        if number < AMENDING_CLERKS:
            await self._run_transaction(session, item, 6, 1.0)
        elif self.random.random() < 0.4:
            await self._run_transaction(session, item, 2, 0.4)
        elif client.is_success(await session.query(f"WRITE {item} single")):
            self.acknowledged.add(session.last_id)

    async def _run_transaction(self, session, item: str, count: int, pause: float):
        if not client.is_success(await session.query("BEGIN")):
            return
        written = []
        for step in range(count):
            if not client.is_success(await session.query(f"WRITE {item} step{step}")):
                await session.query("ROLLBACK")
                return
            written.append(session.last_id)
            await asyncio.sleep(self.random.uniform(0.5 * pause, pause))
        if client.is_success(await session.query("COMMIT")):
            self.acknowledged.update(written)


def find_violations(service, clerks: Clerks, log) -> list[str]:
    """Return what breaks PINNED, and acknowledged writes that were not committed."""
    found = []
    owners: dict[int, set[int]] = {}
    for run in service.runs:
        if run.transaction:
            owners.setdefault(run.transaction, set()).add(log.senders[run.request])
    for transaction, sessions in sorted(owners.items()):
        if len(sessions) > 1:
            found.append(
                f"PINNED: statements of sessions {sorted(sessions)} ran in transaction "
                f"{transaction}"
            )
    kept = {run.request for run in service.runs if run.committed}
    for request in sorted(clerks.acknowledged - kept):
        found.append(f"the write {request} was acknowledged and is not in the log")
    return found


async def play(folder: pathlib.Path, log, trouble: bool) -> int:
    """Run the case; return the exit status."""
    deployment = fleet.Fleet(folder=folder, record=log)
    service = deployment.add_service("mondkartei", maximum_connections=CONNECTIONS)
    deployment.add_route("orders", "primary", "mondkartei")
    deployment.add_node("front-steyr-rathaus-1", "steyr-rathaus")
    deployment.add_node("front-steyr-rathaus-2", "steyr-rathaus")
    deployment.add_node("front-steyr-rathaus-3", "steyr-rathaus")
    deployment.add_node("front-enns-werkhof-2", "enns-werkhof")
    deployment.add_node("front-freistadt-keller-1", "freistadt-keller")
    deployment.add_node("front-freistadt-keller-2", "freistadt-keller")
    deployment.add_node(ENTRY, "enns-werkhof", small=True)
    try:
        if not await deployment.start():
            log.write("case", "the nodes did not become ready")
            return 2
        await asyncio.sleep(1.0)
        clerks = Clerks(deployment=deployment, log=log)
        clerks.in_rotation.set()
        tasks = [asyncio.create_task(clerks.run(n)) for n in range(CLERKS)]
        entry = deployment.nodes[ENTRY]
        await asyncio.sleep(KILL_AT_SECONDS)
        if trouble:
            clerks.in_rotation.clear()
            entry.send_signal(signal.SIGKILL)
            entry.process.wait()
            await asyncio.sleep(RESTART_SECONDS)
            entry.start()
            if not await entry.wait_until_ready():
                log.write("case", "the node did not become ready again")
                return 2
            await asyncio.sleep(BALANCER_SECONDS)
            clerks.in_rotation.set()
        await asyncio.sleep(END_AT_SECONDS - KILL_AT_SECONDS)
        clerks.stopping = True
        await asyncio.wait(tasks, timeout=6.0)
        if not clerks.acknowledged:
            log.write("case", "no write was acknowledged")
            return 2
        violations = find_violations(service, clerks, log)
    finally:
        deployment.end()
    for line in violations:
        log.write("BROKEN", line)
    log.write("case", f"{len(clerks.acknowledged)} writes acknowledged")
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
