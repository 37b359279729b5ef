"""Starts real processes behind fault-injecting proxies for tests and benchmarks.

A fleet consists of a store, a host list, one database of three endpoints and a few
nodes. Each is a separate process on a loopback address. Nodes connect to endpoints,
and replicas to their primary, through fault proxies in the caller's event loop.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

import tornado.httpclient
import yaml

from hyssopshelf import client
from hyssopshelf.standins import faultproxy

ROOT = pathlib.Path(__file__).parent.parent
PLACES = ("ba-1", "za-1", "ke-1")
POOL = "labelstore"
DATABASE = "racks"
PARTNER = "priehradka"
TOKEN_KEYS = "test:" + "ab" * 32
START_SECONDS = 20.0


class Process:
    """A Python module that runs in a child process.

    Variables of the environment whose name contains HYSSOPSHELF are not passed on.
    Standard output and standard error go to the file ``log``.
    """

    def __init__(self, module: str, *arguments: str, log: pathlib.Path) -> None:
        self.log = log
        environment = {k: v for k, v in os.environ.items() if "HYSSOPSHELF" not in k}
        with log.open("wb") as output:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process if it still runs, and wait until it has ended."""
        if self.popen.poll() is None:
            self.popen.kill()
        self.popen.wait()

    async def wait(self, seconds: float) -> int:
        """Wait until the process ends and return its exit status.

        Raises
        ------
        TimeoutError
            If the process still runs after ``seconds``.
        """
        deadline = time.monotonic() + seconds
        while self.popen.poll() is None:
            if time.monotonic() > deadline:
                raise TimeoutError(f"process did not end: {self.read_log()[-2000:]}")
            await asyncio.sleep(0.02)
        return self.popen.returncode

    def read_log(self) -> str:
        """Return the output of the process so far."""
        return self.log.read_text(encoding="utf-8", errors="replace")


def choose_address() -> str:
    """Return a loopback address that depends on the process id.

    If all runs shared one address, another run could bind a port between the check
    that it is free and its use.
    """
    number = os.getpid()
    return f"127.{1 + number // 62_500 % 250}.{number // 250 % 250}.{1 + number % 250}"


ADDRESS = choose_address()

FIRST_PORT = 10_000
"""First port to allocate. It is below the range of ephemeral ports, so outgoing
connections do not take allocated ports."""


_PORTS = itertools.count(FIRST_PORT)


def allocate_ports(count: int) -> list[int]:
    """Return free ports that this process has not returned before."""
    ports = []
    while len(ports) < count:
        port = next(_PORTS)
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((ADDRESS, port))
            ports.append(port)
    return ports


class Fleet:
    """The processes and fault proxies of one test or benchmark.

    Attributes
    ----------
    node_proxies, replication_proxies : dict
        Fault proxies by endpoint name: those through which nodes connect, and those
        through which replicas fetch from the endpoint.
    platform_processes : list
        The process of the store and the process of the host list.
    addresses : dict
        Client addresses of the nodes by host.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        nodes: int = 2,
        apply_delay_seconds: float = 0.0,
        service_seconds: float = 0.002,
        endpoint_places: tuple[str, ...] = PLACES,
        log_level: str = "INFO",
        behind_proxies: bool = True,
        drain_seconds: float = 10.0,
    ) -> None:
        self.folder = folder
        self.node_count = nodes
        self.apply_delay_seconds = apply_delay_seconds
        self.service_seconds = service_seconds
        self.endpoint_places = endpoint_places
        self.log_level = log_level
        self.behind_proxies = behind_proxies
        self.drain_seconds = drain_seconds
        self.node_proxies: dict[str, faultproxy.FaultProxy] = {}
        self.replication_proxies: dict[str, faultproxy.FaultProxy] = {}
        self.endpoints: dict[str, Process] = {}
        self.nodes: dict[str, Process] = {}
        self.addresses: dict[str, str] = {}
        self.platform_processes: list[Process] = []
        self.endpoint_ports: dict[str, int] = {}

    async def __aenter__(self) -> "Fleet":
        try:
            await self._start()
        except BaseException:
            await self.__aexit__(None, None, None)
            raise
        return self

    async def __aexit__(self, *exception) -> None:
        started = (
            *self.nodes.values(),
            *self.endpoints.values(),
            *self.platform_processes,
        )
        for process in started:
            process.kill()
        for proxy in (*self.node_proxies.values(), *self.replication_proxies.values()):
            proxy.close()
        await asyncio.sleep(0)

    async def _start(self) -> None:
        ports = allocate_ports(5 + 2 * self.node_count)
        self.store_port, hosts_port = ports[0], ports[1]
        self.platform_processes = [
            self._run("hyssopshelf.standins.daemon", "store", self.store_port),
            self._run("hyssopshelf.standins.daemon", "hosts", hosts_port),
        ]
        self._start_endpoints(ports[2:5])
        for number in range(self.node_count):
            self._start_node(number, ports[5 + 2 * number : 7 + 2 * number], hosts_port)
        await self._fill_host_list(hosts_port, ports[5:])
        await asyncio.gather(*(self.wait_until_ready(host) for host in self.nodes))
        await self.apply(self.make_resources())
        await self._wait_for_primary()

    def _run(self, module: str, kind: str, port: int) -> Process:
        log = self.folder / f"{kind}-{port}.log"
        return Process(module, kind, f"--port={port}", f"--address={ADDRESS}", log=log)

    def _start_endpoints(self, ports: list[int]) -> None:
        for name, port in zip("abc", ports, strict=True):
            target = f"{ADDRESS}:{port}"
            self.endpoint_ports[name] = port
            for proxies in (self.node_proxies, self.replication_proxies):
                proxies[name] = faultproxy.FaultProxy(target=target)
                proxies[name].start_listening()
        for name in self.endpoint_ports:
            self.start_endpoint(name)

    def start_endpoint(self, name: str) -> None:
        """Start an endpoint process with an empty replication log."""
        peers = ",".join(
            f"{POOL}/{DATABASE}/{other}={proxy.address}"
            for other, proxy in self.replication_proxies.items()
            if other != name
        )
        self.endpoints[name] = Process(
            "hyssopshelf.standins.daemon",
            "endpoint",
            f"--name={POOL}/{DATABASE}/{name}",
            f"--port={self.endpoint_ports[name]}",
            f"--address={ADDRESS}",
            f"--peers={peers}",
            "--slots=2",
            "--connections=30",
            f"--apply-delay-seconds={self.apply_delay_seconds}",
            f"--service-seconds={self.service_seconds}",
            log=self.folder / f"endpoint-{name}.log",
        )

    def _start_node(self, number: int, ports: list[int], hosts_port: int) -> None:
        host = f"h{number + 1}"
        self.addresses[host] = f"{ADDRESS}:{ports[0]}"
        self.nodes[host] = Process(
            "hyssopshelf.runtime.daemon",
            f"--host={host}",
            f"--place={PLACES[number % 3]}",
            f"--region=r{number % 3}",
            f"--listen={ADDRESS}:{ports[0]}",
            f"--peer-listen={ADDRESS}:{ports[1]}",
            f"--store-url=http://{ADDRESS}:{self.store_port}",
            f"--host-list-url=http://{ADDRESS}:{hosts_port}",
            f"--token-keys={TOKEN_KEYS}",
            f"--drain-seconds={self.drain_seconds:g}",
            f"--log-level={self.log_level}",
            log=self.folder / f"{host}.log",
        )

    async def _fill_host_list(self, port: int, ports: list[int]) -> None:
        for number, host in enumerate(self.nodes):
            row = {
                "name": host,
                "address": f"{ADDRESS}:{ports[2 * number + 1]}",
                "place": PLACES[number % 3],
                "region": f"r{number % 3}",
            }
            await post(f"{ADDRESS}:{port}/v1/hosts", {"add": [row]})

    async def wait_until_ready(self, host: str) -> None:
        """Wait until a node reports on ``/readyz`` that it accepts statements."""
        await self._wait_for_path(host, "readyz")

    async def _wait_for_path(self, host: str, path: str) -> None:
        deadline = time.monotonic() + START_SECONDS
        while True:
            try:
                await get(f"{self.addresses[host]}/{path}")
                return
            except (OSError, tornado.httpclient.HTTPError):
                if time.monotonic() > deadline:
                    log = self.nodes[host].read_log()[-3000:]
                    raise TimeoutError(
                        f"{host} did not become ready on /{path}: {log}"
                    ) from None
                await asyncio.sleep(0.05)

    async def _wait_for_primary(self) -> None:
        """Wait until the database has a primary and accepts writes."""
        session = self.make_session()
        await session.append("start", "x", kind="scan", timeout_seconds=START_SECONDS)
        await session.close()

    def make_session(self, *hosts: str, seed: int = 1, **options) -> client.Session:
        """Return a session that uses the given nodes, or all if none is given."""
        chosen = hosts or tuple(self.addresses)
        return client.Session(
            proxies=tuple(self.addresses[host] for host in chosen),
            pool=POOL,
            database=DATABASE,
            partner=PARTNER,
            seed=seed,
            **options,
        )

    def find_address(self, name: str) -> str:
        """Return the address to which nodes connect for an endpoint."""
        if self.behind_proxies:
            return self.node_proxies[name].address
        return f"{ADDRESS}:{self.endpoint_ports[name]}"

    def make_resources(self, leaving: str = "") -> list[dict]:
        """Return the declared resources, with one endpoint marked as leaving."""
        endpoints = [
            {
                "name": name,
                "address": self.find_address(name),
                "place": place,
                "leaving": name == leaving,
            }
            for name, place in zip("abc", self.endpoint_places, strict=True)
        ]
        pool = {
            "databases": [{"name": DATABASE, "endpoints": endpoints}],
            "partners": [PARTNER],
            "slots": 2,
            "connections": 30,
        }
        kinds = [
            {"name": "scan", "rank": "urgent"},
            {"name": "dashboard", "rank": "normal", "stalenessSeconds": 5.0},
            {"name": "relabel", "rank": "background", "stalenessSeconds": 60.0},
        ]
        ranks = {
            "urgent": {"order": 0, "floor": 0.5, "acknowledge": "majority"},
            "normal": {"order": 1, "floor": 0.2},
            "background": {"order": 2, "floor": 0.1},
        }
        share = {PARTNER: 1.0}
        rows = [
            ("Pool", POOL, pool),
            ("Partner", PARTNER, {"kinds": kinds}),
            *(("Rank", name, spec) for name, spec in ranks.items()),
            ("Split", "agreed", {"capacity": share, "bill": share}),
        ]
        return [
            {"kind": kind, "metadata": {"name": name, "pool": POOL}, "spec": spec}
            for kind, name, spec in rows
        ]

    async def apply(self, rows: list[dict], host: str = "h1") -> str:
        """Apply resources with the operators' command and return its output."""
        path = self.folder / "resources.yaml"
        path.write_text(yaml.safe_dump_all(rows), encoding="utf-8")
        version = await self.read_version(host)
        base = f"--base-version={version}"
        return await self.run_command("apply", "-f", str(path), base, host=host)

    async def read_version(self, host: str) -> int:
        """Return the pool's configuration version on a node, or 0 if it has none."""
        try:
            body = await get(f"{self.addresses[host]}/v1/resources/{POOL}")
        except tornado.httpclient.HTTPClientError:
            return 0
        return json.loads(body)["version"]

    async def run_command(self, *arguments: str, host: str = "h1") -> str:
        """Run the operators' command against a node and return its output.

        Raises
        ------
        RuntimeError
            If the exit status is not 0.
        """
        process = Process(
            "hyssopshelf.command.main",
            f"--server=http://{self.addresses[host]}",
            *arguments,
            log=self.folder / "command.log",
        )
        status = await process.wait(20.0)
        if status != 0:
            raise RuntimeError(
                f"{arguments} exited with {status}: {process.read_log()}"
            )
        return process.read_log()


async def get(address: str) -> bytes:
    """Send a GET request and return the body of the answer."""
    fetched = await tornado.httpclient.AsyncHTTPClient().fetch(f"http://{address}")
    return fetched.body


async def post(address: str, body: dict) -> bytes:
    """Send a POST request, retrying until the server listens; return the body."""
    deadline = time.monotonic() + START_SECONDS
    while True:
        try:
            fetched = await tornado.httpclient.AsyncHTTPClient().fetch(
                f"http://{address}", method="POST", body=json.dumps(body)
            )
            return fetched.body
        except OSError:
            if time.monotonic() > deadline:
                raise
            await asyncio.sleep(0.05)
