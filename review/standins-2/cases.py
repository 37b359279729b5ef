"""What the scripts of all cases share: the frame of a run, and clients' traffic."""

import asyncio
import os
import pathlib
import random
import sys
import tempfile

import system

PASSED, BROKEN, NOT_RUN = 0, 1, 2
LONGEST_SECONDS = 115.0


def has_trouble() -> bool:
    """Return whether the run has its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(folder: str, scenario, **options) -> None:
    """Run a scenario and exit with its result.

    Parameters
    ----------
    folder : str
        Folder of the case, for record.txt.
    scenario : coroutine function
        Takes the System; returns whether the rule held.
    options
        Passed to the System.
    """
    try:
        held = asyncio.run(_run(pathlib.Path(folder), scenario, options))
    except BaseException as error:
        print(f"the case could not run: {error!r}")
        sys.exit(NOT_RUN)
    print("the rule held" if held else "the rule was broken")
    sys.exit(PASSED if held else BROKEN)


async def _run(folder: pathlib.Path, scenario, options: dict) -> bool:
    with (
        tempfile.TemporaryDirectory() as temporary,
        (folder / "record.txt").open("w", encoding="utf-8") as record,
    ):
        deployment = system.System(temporary, record, **options)
        deployment.log(f"TROUBLE={int(has_trouble())}")
        try:
            async with asyncio.timeout(LONGEST_SECONDS):
                held = await scenario(deployment)
            deployment.log(f"result: the rule {'held' if held else 'was broken'}")
            return held
        finally:
            deployment.close()
            logs = os.environ.get("NODE_LOGS")
            if logs:
                for node in deployment.nodes:
                    target = pathlib.Path(logs) / node.log_path.name
                    target.write_bytes(node.log_path.read_bytes())


SHARES = {"orders": 0.15, "pages": 0.15, "sync": 0.7}
"""Shares of the kinds of requests in the traffic of the small deployments."""


class Traffic:
    """Clients that open a session for one statement each.

    Parameters
    ----------
    deployment : System
        Where they connect to.
    rate : float
        Sessions a second.
    shares : dict of str to float
        Weight of each kind of request.

    Attributes
    ----------
    nodes : list of Node
        Machines that the platform sends new connections to.
    results : list of (float, str, str, str)
        Time of the last byte of each request, node, database name, and the last line
        of the answer before READY.
    """

    def __init__(self, deployment, rate: float, shares=SHARES, *, seed=1) -> None:
        self.deployment = deployment
        self.rate = rate
        self.shares = shares
        self.nodes = list(deployment.nodes)
        self.results: list[tuple[float, str, str, str]] = []
        self._random = random.Random(seed)
        self._tasks: set[asyncio.Task] = set()

    async def run(self, seconds: float) -> None:
        """Send for a time, then wait for the last answers."""
        until = self.deployment.now() + seconds
        number = 0
        while self.deployment.now() < until:
            number += 1
            name, text = self._choose(number)
            node = self._random.choice(self.nodes)
            task = asyncio.get_running_loop().create_task(self._ask(node, name, text))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._random.expovariate(self.rate))
        await asyncio.gather(*self._tasks)

    def _choose(self, number: int) -> tuple[str, str]:
        (name,) = self._random.choices(list(self.shares), self.shares.values())
        item = f"{name[0]}{self._random.randrange(2000):x}"
        if name == "orders" and self._random.random() < 0.35:
            return name, f"WRITE {item} d{number}"
        return name, f"READ {item}"

    async def _ask(self, node, name: str, text: str) -> None:
        deployment = self.deployment
        sent_at, request, answer = deployment.now(), "", ""
        try:
            client, answer = await system.Client.start(node, name)
            if answer.startswith("READY"):
                sent_at = deployment.now()
                lines = await client.query(text)
                request, answer = client.request, lines[-2]
            client.close()
        except (system.ClosedError, OSError, TimeoutError, EOFError) as error:
            answer = f"no answer: {error!r}"
        self.results.append((sent_at, node.name, name, answer))
        deployment.log(
            f"sent at {sent_at:.3f} to {node.name}: {name} {request} {text} -> {answer}"
        )

    def measure_served(self, start: float, end: float) -> tuple[int, int]:
        """Return how many requests of a time were sent, and how many succeeded."""
        found = [r for r in self.results if start <= r[0] < end]
        return len(found), sum(answer.startswith("DONE") for *_, answer in found)


class Clients:
    """Sessions on the primary route that go on sending, and what they were told.

    Attributes
    ----------
    reads : list of (float, str, str)
        Time of the first byte, request id and machine of each read with a success.
    acknowledged : dict of str to (float, str)
        Time of the success and machine of each write, by request id.
    """

    def __init__(self, deployment) -> None:
        self.deployment = deployment
        self.reads: list[tuple[float, str, str]] = []
        self.acknowledged: dict[str, tuple[float, str]] = {}

    async def run(self, node, *, writes: bool, pause: float, until: float) -> None:
        """Send one statement after the other to one machine."""
        deployment, client, number = self.deployment, None, 0
        while deployment.now() < until:
            try:
                if client is None:
                    client, answer = await system.Client.start(node, "orders")
                    if not answer.startswith("READY"):
                        client.close()
                        client = None
                        await asyncio.sleep(0.1)
                        continue
                number += 1
                item = f"o{number % 50:x}"
                text = f"WRITE {item} d{number}" if writes else f"READ {item}"
                sent_at = deployment.now()
                lines = await client.query(text)
                self._record(client.request, sent_at, node.name, text, lines[-2])
            except (system.ClosedError, OSError, TimeoutError, EOFError):
                client = None
            await asyncio.sleep(pause)

    def _record(self, request, sent_at, node: str, text: str, answer: str) -> None:
        deployment = self.deployment
        deployment.log(f"sent at {sent_at:.3f} to {node}: {request} {text} -> {answer}")
        if not answer.startswith("DONE"):
            return
        if text.startswith("READ"):
            self.reads.append((sent_at, request, node))
        else:
            self.acknowledged[request] = (deployment.now(), node)


def find_late_commits(deployment, clients: Clients) -> list:
    """Return acknowledged commits of an old primary after a promote took effect."""
    return [
        (commit["at"] - promoted_at, commit["instance"], write[2])
        for promoted_at, _, term in deployment.database.promotions
        for commit in deployment.database.commits
        if commit["at"] > promoted_at and commit["term"] < term
        for write in commit["writes"]
        if write[2] in clients.acknowledged
    ]
