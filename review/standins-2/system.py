"""Starts the system's nodes as processes, with settings of a small deployment."""

import asyncio
import dataclasses
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import time
import tomllib

import database as database_module
import store as store_module

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT = 1.2
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


@dataclasses.dataclass(frozen=True, kw_only=True)
class Site:
    """Figures of a small deployment; of its services, one is played.

    Attributes
    ----------
    timeouts : dict of str to int
        ``timeoutMs`` of the route of each name in ROUTES.
    work : dict of str to (float, float, float)
        Mean, and maximum of the work of a request in seconds, and the share of them
        that take five times as long.
    """

    places: tuple
    machines: int
    slots: int
    connections: int
    lag_seconds: float
    memory: int
    descriptors: int
    bounds: dict
    timeouts: dict
    objectives: dict
    priorities: dict
    staleness: dict
    work: dict


PRIEH_LABEL = Site(
    places=(("ba-1", "sk-west"), ("za-1", "sk-central"), ("ke-1", "sk-east")),
    machines=8,
    slots=2,
    connections=32,
    lag_seconds=0.020,
    memory=300,
    descriptors=4200,
    bounds=BOUNDS,
    timeouts={"orders": 800, "pages": 1500, "sync": 800},
    objectives={"orders": 250, "pages": 1200, "sync": 500},
    priorities={"orders": 0, "pages": 2, "sync": 1},
    staleness={"orders": 0, "pages": 1500, "sync": 2500},
    work={
        "orders": (0.0045, 0.034, 0.01),
        "pages": (0.022, 0.170, 0.01),
        "sync": (0.014, 0.034, 0.01),
    },
)

MONDBUCH = Site(
    places=(
        ("steyr-rathaus", "steyrtal"),
        ("enns-werkhof", "ennstal"),
        ("freistadt-keller", "muehlviertel"),
    ),
    machines=6,
    slots=3,
    connections=22,
    lag_seconds=0.008,
    memory=300,
    descriptors=4300,
    bounds={**BOUNDS, "stableWindowMs": 5000, "ackMs": 6000, "outerMs": 15000},
    timeouts={"orders": 800, "pages": 2000, "sync": 800},
    objectives={"orders": 400, "pages": 800, "sync": 1500},
    priorities={"orders": 0, "pages": 1, "sync": 2},
    staleness={"orders": 0, "pages": 1500, "sync": 2500},
    work={
        "orders": (0.006, 0.045, 0.01),
        "pages": (0.030, 0.220, 0.01),
        "sync": (0.018, 0.045, 0.01),
    },
)

ROUTES = {"orders": "primary", "pages": "bounded", "sync": "read_your_writes"}
"""Kind of the route of each database name."""


class Node:
    """One machine of the system with its process."""

    def __init__(self, name, address, port, settings, folder, command, log) -> None:
        self.name = name
        self.address = address
        self.front = f"{address}:{port}"
        self.ready = f"{address}:{port + 1}"
        self.path = pathlib.Path(folder) / f"{name}.conf"
        self.path.write_text(settings, encoding="utf-8")
        self.log_path = pathlib.Path(folder) / f"{name}.log"
        self.command = command
        self.log = log
        self.extra_env: dict[str, str] = {}
        self.process = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["HYSSOPSHELF_CONFIG"] = str(self.path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env.update(self.extra_env)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.log(f"{self.name} is started, pid {self.process.pid}")

    def signal(self, number) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.log(f"{self.name} gets {signal.Signals(number).name}")

    def end(self) -> None:
        """Kill the process and wait for it."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class System:
    """Platform, database and nodes of one run."""

    def __init__(self, folder, record, *, site: Site, seed: int = 1) -> None:
        self.site = site
        self.folder = folder
        self.record = record
        self.origin = time.monotonic()
        self.platform = store_module.Platform(self.now)
        self.database = database_module.Database(
            "db", self.now, self.platform, lag=site.lag_seconds, seed=seed
        )
        self.platform.databases["db"] = self.database
        self._work_random = random.Random(seed)
        self.nodes: list[Node] = []
        self.version = 0
        self.extra_routes: list[str] = []
        self.removed_routes: set[str] = set()
        self._net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self._port = find_port(self._net)
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            roles = tomllib.load(file)["roles"]
        (self.role,) = roles
        self.command = roles[self.role]["run"].split(" ")

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.origin

    def log(self, text: str) -> None:
        """Write a line to the record."""
        self.record.write(f"{self.now():9.3f} {text}\n")
        self.record.flush()

    def put_configuration(self) -> float:
        """Let the operator write the next version; return when it is acknowledged."""
        self.version += random.randrange(1, 5)
        site = self.site
        names = [(name, name) for name in ROUTES]
        names += [(name, "pages") for name in self.extra_routes]
        routes = [
            {
                "name": f"r-{name}",
                "host": name,
                "prefix": "/",
                "routeType": ROUTES[like],
                "timeoutMs": site.timeouts[like],
                "targetLatencyMs": site.objectives[like],
                "priority": site.priorities[like],
                "service": "db",
                "attempts": 2,
                "maxStalenessMs": site.staleness[like],
            }
            for name, like in names
            if name not in self.removed_routes
        ]
        document = {
            "version": self.version,
            "routes": routes,
            "services": [
                {
                    "name": "db",
                    "healthPath": "/health",
                    "maxConnections": site.connections,
                    "protocol": "h1",
                    "tls": False,
                    "syncReplicas": 0,
                }
            ],
            "limits": {"txIdleMs": 3000},
        }
        self.platform.put("op/config", json.dumps(document).encode())
        hosts = ",".join(route["host"] for route in routes)
        self.log(f"operator: version {self.version} is acknowledged; routes {hosts}")
        return self.now()

    async def add_instance(self, place, address=None, log=()):
        """Start an instance."""
        instance = await self.database.add(
            place,
            slots=self.site.slots,
            limit=self.site.connections,
            work=self.draw_work,
            heartbeat=HEARTBEAT,
            address=address,
            log=log,
        )
        self.log(f"instance {instance.id} in {place} at {instance.address}")
        return instance

    def draw_work(self, item: str) -> float:
        """Return the time that an instance works on a request, in seconds.

        Items of a kind of request begin with its first letter.
        """
        names = [name for name in ROUTES if item.startswith(name[0])]
        mean, most, share = self.site.work[names[0] if names else "orders"]
        seconds = mean * self._work_random.lognormvariate(-0.245, 0.7)
        if self._work_random.random() < share:
            seconds *= 5
        return min(most, seconds)

    async def start(self, *, bootstrap: bool = False) -> None:
        """Start instances and nodes; return once all nodes are ready."""
        site = self.site
        self.put_configuration()
        for place, _ in site.places:
            await self.add_instance(place)
        seeds = ",".join(f"{self._net}.{11 + n}:{self._port + 2}" for n in range(3))
        for number in range(site.machines):
            place, region = site.places[number % 3]
            name = f"front-{place}-{1 + number // 3}"
            address = f"{self._net}.{11 + number}"
            platform = await self.platform.listen(name)
            promotions = await self.platform.listen(name)
            lines = [
                f"nodeName={name}",
                f"role={self.role}",
                "machineClass=front",
                "serves=front,control",
                f"ip={address}",
                f"zone={place}",
                f"region={region}",
                *(f"zones.{p}={r}" for p, r in site.places),
                f"listenAddrs.front={address}:{self._port}",
                f"listenAddrs.readyAddr={address}:{self._port + 1}",
                f"listenAddrs.control={address}:{self._port + 2}",
                f"internalPorts={self._port + 3},{self._port + 18}",
                f"seedNodes={seeds}",
                f"bootstrap={str(bootstrap).lower()}",
                "limits.cpuShare=0.537",
                "limits.cpuCores=2",
                f"limits.memoryMb={site.memory}",
                f"limits.maxFds={site.descriptors}",
                "limits.linkMbps=1000.0",
                "limits.diskMb=0",
                "discovery=platform",
                "entryPoint=vip",
                f"heartbeatMs={int(HEARTBEAT * 1000)}",
                "contracts=base,drain,config,cost,recover,sql,platform",
                "faultTolerance.machines=2",
                *(f"bounds.{k}={v}" for k, v in site.bounds.items()),
                f"platform.address={platform}",
                "platform.form=kv",
                "platform.writesPerS=400",
                "platform.readsPerS=2000",
                "platform.historyS=20",
                "platform.valueBytes=1048576",
                "platform.minTtlMs=1000",
                f"cloudApi.address={promotions}",
                "cloudApi.ratePerS=50.0",
                "cloudApi.duties=failover",
                "cloudApi.dutyPerS=50.0",
            ]
            self.nodes.append(
                Node(
                    name,
                    address,
                    self._port,
                    "\n".join(lines) + "\n",
                    self.folder,
                    self.command,
                    self.log,
                )
            )
        for node in self.nodes:
            node.start()
        await self.wait_ready(self.nodes, 30.0)
        self.log("all nodes are ready")

    async def wait_ready(self, nodes, seconds: float) -> None:
        """Wait until nodes answer that they are ready.

        Raises
        ------
        TimeoutError
            If they do not in time.
        """
        async with asyncio.timeout(seconds):
            for node in nodes:
                while not await is_ready(node):
                    await asyncio.sleep(0.1)

    def leader(self) -> Node:
        """Return the node that last wrote to the store under a condition."""
        name = self.platform.conditional_writer
        return next(node for node in self.nodes if node.name == name)

    def close(self) -> None:
        """End all processes and stand-ins."""
        for node in self.nodes:
            node.end()
        for instance in self.database.instances.values():
            if instance.running:
                instance.stop()
        self.platform.close()


async def is_ready(node) -> bool:
    """Ask a node as the platform does."""
    host, _, port = node.ready.rpartition(":")
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /hyssopshelf/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readuntil(b"\r\n")
            writer.close()
            return b" 200 " in line
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return False


def find_port(net: str) -> int:
    """Return the first of twenty ports that are free on a node's address."""
    for _ in range(100):
        base = random.randrange(15000, 30000, 20)
        try:
            for offset in range(20):
                with socket.socket() as probe:
                    probe.bind((f"{net}.11", base + offset))
            return base
        except OSError:
            continue
    raise OSError("no free ports")


READ_BYTES = 4 * 1024 * 1024
"""Bytes that a client takes before it looks at them: it never stops reading."""


class ClosedError(Exception):
    """The connection ended without a complete answer."""


class Client:
    """A session; each request has an id of its own."""

    _numbers = itertools.count(1)

    def __init__(self, reader, writer) -> None:
        self.reader = reader
        self.writer = writer
        self.number = next(self._numbers)
        self.requests = itertools.count(1)
        self.request = ""

    @classmethod
    async def start(cls, node, name: str, *, segment: int = 0):
        """Open a session; return it with the line that answers START.

        Parameters
        ----------
        segment : int
            Largest segment that the client's link takes, in bytes; 0 for the
            loopback's own.
        """
        host, _, port = node.front.rpartition(":")
        connection = socket.socket()
        connection.setblocking(False)
        if segment:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment)
        async with asyncio.timeout(2.0):
            loop = asyncio.get_running_loop()
            await loop.sock_connect(connection, (host, int(port)))
            reader, writer = await asyncio.open_connection(
                sock=connection, limit=READ_BYTES
            )
            client = cls(reader, writer)
            writer.write(f"START {name} u{client.number}\r\n".encode())
            line = (await reader.readuntil(b"\r\n"))[:-2].decode()
        return client, line

    async def query(self, text: str, seconds: float = 10.0) -> list[str]:
        """Send a request; return the lines of its answer.

        Raises
        ------
        ClosedError
            If there is no complete answer.
        """
        self.request = f"{self.number:08x}{next(self.requests):08x}"
        self.writer.write(f"QUERY {self.request} {text}\r\n".encode())
        lines = []
        try:
            async with asyncio.timeout(seconds):
                while True:
                    line = (await self.reader.readuntil(b"\r\n"))[:-2].decode()
                    lines.append(line)
                    if line.startswith("READY"):
                        return lines
        except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
            raise ClosedError(repr(error)) from error

    def close(self) -> None:
        """End the session."""
        self.writer.transport.abort()
