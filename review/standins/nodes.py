"""Starts nodes with the commands of the deploy file, as processes of their own."""

import asyncio
import os
import pathlib
import signal
import subprocess
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]

INHERITED = ("PATH", "HOME", "LANG")
"""Variables that DEPLOY.md lets a process inherit."""

GRACE_SECONDS = 6


def make_settings(
    *,
    name: str,
    address: str,
    place: str,
    places: dict[str, str],
    port: int,
    seeds: list[str],
    store: str,
    cpu_share: float,
    bootstrap: bool,
) -> str:
    """Return a settings file with the values of a small deployment (mondbuch)."""
    lines = [
        f"nodeName={name}",
        "role=gateway",
        "machineClass=front",
        "serves=front,control",
        f"ip={address}",
        f"zone={place}",
        f"region={places[place]}",
        *(f"zones.{zone}={region}" for zone, region in places.items()),
        f"listenAddrs.front={address}:{port}",
        f"listenAddrs.readyAddr={address}:{port + 1}",
        f"listenAddrs.control={address}:{port + 2}",
        f"internalPorts={port + 3},{port + 18}",
        f"seedNodes={','.join(f'{seed}:{port + 2}' for seed in seeds)}",
        f"bootstrap={'true' if bootstrap else 'false'}",
        "lossCounts=false",
        f"limits.cpuShare={cpu_share}",
        "limits.cpuCores=2",
        "limits.memoryMb=300",
        "limits.maxFds=4300",
        "limits.linkMbps=1000.0",
        "limits.diskMb=0",
        "discovery=platform",
        "entryPoint=vip",
        "heartbeatMs=1200",
        "contracts=base,drain,config,cost,recover,sql,platform",
        "faultTolerance.machines=2",
        "faultTolerance.zones=0",
        "faultTolerance.regions=0",
        "bounds.seedLagS=3",
        "bounds.addrReuseS=2",
        "bounds.stableWindowMs=5000",
        "bounds.ackMs=6000",
        "bounds.catchUpS=4",
        "bounds.drainMs=7000",
        f"bounds.graceS={GRACE_SECONDS}",
        "bounds.lossSlackMs=200",
        "bounds.configApplyMs=3000",
        "bounds.rollbackSlackMs=250",
        "bounds.outerMs=15000",
        "bounds.recoveryS=12",
        "bounds.fencingRequired=false",
        "bounds.thawMs=300",
        f"platform.address={store}",
        "platform.form=kv",
        "platform.writesPerS=400",
        "platform.readsPerS=2000",
        "platform.historyS=20",
        "platform.valueBytes=1048576",
        "platform.minTtlMs=1000",
        f"cloudApi.address={store}",
        "cloudApi.ratePerS=50.0",
        "cloudApi.duties=failover",
        "cloudApi.dutyPerS=50.0",
    ]
    return "\n".join(lines) + "\n"


class Node:
    """One node of the system, in its own process.

    Parameters
    ----------
    folder : Path
        Keeps the settings file and the log.
    settings : dict
        Arguments of `make_settings` but for ``bootstrap``.
    record : Record
        Gets a line for each start and signal.
    """

    def __init__(self, *, folder: pathlib.Path, settings: dict, record) -> None:
        self.settings = settings
        self.record = record
        self.name = settings["name"]
        self.address = settings["address"]
        self.port = settings["port"]
        self.path = folder / f"{self.name}.conf"
        self.log_path = folder / f"{self.name}.log"
        self.process: subprocess.Popen | None = None

    def start(self, *, bootstrap: bool = False) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        text = make_settings(**self.settings, bootstrap=bootstrap)
        self.path.write_text(text, encoding="utf-8")
        environment = {n: os.environ[n] for n in INHERITED if n in os.environ}
        environment["HYSSOPSHELF_CONFIG"] = str(self.path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write(self.name, "process started")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.record.write(self.name, f"gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def wait_until_ready(self, seconds: float = 20.0) -> bool:
        """Ask the ready address until it answers 200; return whether it does."""
        deadline = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < deadline:
            try:
                reader, writer = await asyncio.open_connection(
                    self.address, self.port + 1
                )
                writer.write(
                    b"GET /hyssopshelf/ready HTTP/1.1\r\nHost: x\r\n"
                    b"Connection: close\r\n\r\n"
                )
                line = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if b" 200 " in line:
                    self.record.write(self.name, "ready")
                    return True
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        return False
