"""A small deployment with the bounds of prieh-label, and the frame of a case."""

import asyncio
import json
import os
import pathlib
import sys
import tempfile

import database
import nodes
import proxy
import record
import store

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption of the case is played."""

BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "stableWindowMs": 4000,
    "ackMs": 5000,
    "catchUpS": 4,
    "drainMs": 7000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 3000,
    "rollbackSlackMs": 250,
    "outerMs": 12000,
    "recoveryS": 12,
    "fencingRequired": "false",
    "thawMs": 300,
}
"""The bounds of prieh-label."""

READY_SECONDS = 30.0
"""Time within which all nodes have to be ready."""


def make_route(host: str, kind: str, service: str) -> dict:
    """Return a route with the times of prieh-label's requests."""
    return {
        "name": f"r-{host}",
        "host": host,
        "prefix": "/",
        "routeType": kind,
        "timeoutMs": 1500 if kind == "bounded" else 800,
        "targetLatencyMs": 1200 if kind == "bounded" else 250,
        "priority": 2 if kind == "bounded" else 0,
        "service": service,
        "attempts": 2,
        "maxStalenessMs": 1500,
    }


class Deployment:
    """The platform, the services and the nodes of a case.

    Parameters
    ----------
    work_seconds : float
        Time for which a statement has its slot at an instance.
    zones : list of str
        Zone of each node.
    """

    def __init__(self, *, folder, log, services, work_seconds: float, zones) -> None:
        self.folder = folder
        self.log = log
        self.store = store.Store(log)
        self.services = {
            name: database.Service(
                name=name, store=self.store, record=log, work=lambda: work_seconds
            )
            for name in services
        }
        self.zones = zones
        self.nodes: list[nodes.Node] = []
        self.lost: list[nodes.Node] = []
        self.tasks: list[asyncio.Task] = []
        self.proxy = None

    def configure(self, version: int, routes: list) -> None:
        """Write a configuration, as the operator does."""
        document = {
            "version": version,
            "routes": routes,
            "services": [
                {"name": name, "maxConnections": 32, "syncReplicas": 0}
                for name in self.services
            ],
            "limits": {"txIdleMs": 3000},
        }
        self.store.put("op/config", json.dumps(document).encode())

    async def start(self, routes: list) -> bool:
        """Start all; return whether the nodes became ready in time."""
        await self.store.listen("127.0.0.1")
        self.store.promote = lambda name, id_: self.services[name].promote(id_)
        for service in self.services.values():
            for zone in nodes.ZONES:
                instance = service.add(zone, primary=zone == "ba-1")
                await instance.start("127.0.0.1")
        self.configure(1, routes)
        self.proxy = proxy.Proxy(self.store.address)
        await self.proxy.listen("127.0.0.1")
        port = nodes.find_ports(f"{nodes.NETWORK}.7.11", 19)
        for number, zone in enumerate(self.zones):
            node = nodes.Node(
                folder=self.folder,
                store=self.proxy.address,
                number=11 + number,
                zone=zone,
                port=port,
                bounds=BOUNDS,
                seeds=[f"{nodes.NETWORK}.7.{n}" for n in (11, 12, 13)],
            )
            self.nodes.append(node)
            node.start()
            node.set_restarted()
        ready = await nodes.wait_until_ready(self.nodes, READY_SECONDS)
        if not ready:
            self.log.add("the nodes are not ready")
        return ready

    def spawn(self, work) -> None:
        """Run a coroutine until the end of the case."""
        self.tasks.append(asyncio.get_running_loop().create_task(work))

    def end_clients(self) -> None:
        """End what `spawn` has started."""
        for task in self.tasks:
            task.cancel()
        self.tasks.clear()

    async def wait_for_call(self, name: str, prefix: str = "") -> None:
        """Wait until a node makes a call to the store."""
        made = asyncio.Event()

        def notice(peer, method, called, fields) -> None:
            if called == name and fields.get("prefix", "").startswith(prefix):
                made.set()

        self.store.on_call = notice
        await asyncio.wait_for(made.wait(), 15.0)
        self.store.on_call = None

    def lose_coordinator(self) -> None:
        """Kill the node that coordinates; it does not start again."""
        node = nodes.find_coordinator(self.store, self.nodes)
        self.log.add(f"{node.name}, which coordinates, is lost for good")
        node.end()
        self.lost.append(node)

    def has_ended_nodes(self) -> bool:
        """Return whether a node has ended by itself."""
        ended = [
            node.name
            for node in self.nodes
            if node not in self.lost and node.process.poll() is not None
        ]
        if ended:
            self.log.add(f"ended by themselves: {ended}")
        return bool(ended)

    def stop(self) -> None:
        """End clients and nodes."""
        self.end_clients()
        for node in self.nodes:
            node.end()


async def wait_until(log, moment: float) -> None:
    """Wait until a time of the record."""
    await asyncio.sleep(max(0.0, moment - log.now()))


async def _play(play, deployment) -> int:
    try:
        return await play(deployment)
    finally:
        deployment.stop()


def run(folder: pathlib.Path, play, **settings) -> None:
    """Play a case and exit with its status.

    Parameters
    ----------
    folder : Path
        Folder of the case, which gets ``record.txt``.
    play : callable
        Coroutine that takes the deployment and returns the exit status.
    settings : dict
        Arguments of the deployment.
    """
    log = record.Record(folder / "record.txt")
    try:
        with tempfile.TemporaryDirectory() as temporary:
            deployment = Deployment(folder=temporary, log=log, **settings)
            loop = asyncio.new_event_loop()
            status = loop.run_until_complete(_play(play, deployment))
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for path in pathlib.Path(temporary).glob("*.log"):
                    (pathlib.Path(keep) / path.name).write_bytes(path.read_bytes())
    except Exception as error:
        log.add(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
        status = 2
    log.close()
    # Tasks that still wait at the sockets have nothing to clean up.
    sys.stdout.flush()
    os._exit(status)
