"""Starts nodes as processes, with the command of the deploy file."""

import asyncio
import base64
import os
import pathlib
import shlex
import signal
import socket
import subprocess
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]

NETWORK = f"127.{1 + os.getpid() % 200}"

ZONES = {"ba-1": "sk-west", "za-1": "sk-central", "ke-1": "sk-east"}


def find_ports(address: str, count: int) -> int:
    """Return the first of some free ports in a row at an address."""
    for first in range(20000 + os.getpid() % 9000, 60000, 31):
        sockets = []
        try:
            for port in range(first, first + count):
                found = socket.socket()
                sockets.append(found)
                found.bind((address, port))
            return first
        except OSError:
            continue
        finally:
            for found in sockets:
                found.close()
    raise OSError("no free ports")


class Node:
    """A node in its own process."""

    def __init__(self, *, folder, store, number, zone, port, bounds, seeds) -> None:
        self.name = f"front-{zone}-{number}"
        self.address = f"{NETWORK}.7.{number}"
        self.front = f"{self.address}:{port}"
        self.ready = f"{self.address}:{port + 1}"
        self.path = pathlib.Path(folder) / f"{self.name}.conf"
        self.log_path = pathlib.Path(folder) / f"{self.name}.log"
        lines = [
            f"nodeName={self.name}",
            "role=gateway",
            "machineClass=front",
            "serves=front,control",
            f"ip={self.address}",
            f"zone={zone}",
            f"region={ZONES[zone]}",
            *(f"zones.{name}={region}" for name, region in ZONES.items()),
            f"listenAddrs.front={self.front}",
            f"listenAddrs.readyAddr={self.ready}",
            f"listenAddrs.control={self.address}:{port + 2}",
            f"internalPorts={port + 3},{port + 18}",
            f"seedNodes={','.join(f'{seed}:{port + 2}' for seed in seeds)}",
            "bootstrap=true",
            "limits.cpuShare=0.537",
            "limits.cpuCores=2",
            "limits.memoryMb=300",
            "limits.maxFds=4200",
            "limits.linkMbps=1000.0",
            "heartbeatMs=1200",
            "faultTolerance.machines=2",
            *(f"bounds.{name}={value}" for name, value in bounds.items()),
            f"platform.address={store}",
            "platform.form=kv",
            "platform.writesPerS=400",
            "platform.readsPerS=2000",
            "platform.historyS=20",
            "platform.valueBytes=1048576",
            "platform.minTtlMs=1000",
            f"cloudApi.address={store}",
            "cloudApi.dutyPerS=50.0",
        ]
        self.path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        self.process: subprocess.Popen | None = None
        self.next_text = ""

    def start(self) -> None:
        """Start the process as the platform does."""
        if self.next_text:
            self.path.write_text(self.next_text, encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["HYSSOPSHELF_CONFIG"] = str(self.path)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                shlex.split(deploy["roles"]["gateway"]["run"]),
                env=environment,
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )

    def set_restarted(self) -> None:
        """Write the settings of the next start: the system has started before."""
        text = self.path.read_text(encoding="utf-8")
        self.next_text = text.replace("bootstrap=true", "bootstrap=false")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        """Ask for readiness as the platform does."""
        host, _, port = self.ready.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                head = "GET /hyssopshelf/ready HTTP/1.1\r\nHost: x\r\n\r\n"
                writer.write(head.encode())
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (TimeoutError, OSError):
            return False


def find_coordinator(platform, nodes: list[Node]) -> Node:
    """Return the node that wrote the coordinator's record, which names its host."""
    value = base64.b64decode(platform.items["hyssopshelf/coordinator"]["value"])
    return next(node for node in nodes if node.name.encode() in value)


async def wait_until_ready(nodes: list[Node], seconds: float) -> bool:
    """Wait until all nodes report that they are ready; return whether they are."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + seconds
    while loop.time() < deadline:
        if all(await asyncio.gather(*(node.is_ready() for node in nodes))):
            return True
        await asyncio.sleep(0.2)
    return False
