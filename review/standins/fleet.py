"""A small deployment: a store, services with their instances, and nodes."""

import asyncio
import itertools
import json
import pathlib
import random
import socket
import time

from standins import database, nodes, store

HEARTBEAT_SECONDS = 1.2

PLACES = {
    "steyr-rathaus": "steyrtal",
    "enns-werkhof": "ennstal",
    "freistadt-keller": "muehlviertel",
}

LARGE_SHARE = 0.537
SMALL_SHARE = 0.258
"""Processor shares of the hosts of mondbuch and of the small ones of its grown site."""


class Fleet:
    """Holds the parts of a deployment on loopback addresses.

    Parameters
    ----------
    folder : Path
        Existing folder for settings and logs.
    record : Record
        Gets the events.
    """

    def __init__(self, *, folder: pathlib.Path, record) -> None:
        self.folder = folder
        self.record = record
        self.services: dict[str, database.Service] = {}
        self.nodes: dict[str, nodes.Node] = {}
        self.store = store.Store(promote=self._promote, record=record)
        self.routes: list[dict] = []
        self.version = 1
        self._sequence = itertools.count(1)
        self._born = int(time.time() * 1000)
        self._heartbeats: asyncio.Task | None = None
        self._subnet = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self._port = find_ports(f"{self._subnet}.1")

    def add_service(self, name: str, sync_replicas: int = 0, **options):
        """Add a service with one instance in each place, the first one the primary."""
        service = database.Service(
            name=name, record=self.record, sync_replicas=sync_replicas
        )
        self.services[name] = service
        for place in PLACES:
            service.add(
                database.Instance(
                    id=f"i-{name}-{place.partition('-')[0]}",
                    service=service,
                    place=place,
                    **options,
                )
            )
        return service

    def add_route(self, host: str, route_type: str, service: str, **fields) -> None:
        """Add a route to the operator's configuration."""
        self.routes.append(
            {
                "name": f"r-{host}",
                "host": host,
                "prefix": "/",
                "routeType": route_type,
                "timeoutMs": 800,
                "targetLatencyMs": 400,
                "priority": 0,
                "service": service,
                "attempts": 2,
                **fields,
            }
        )

    def add_node(self, name: str, place: str, *, small: bool = False) -> None:
        """Add a node, which `start` starts."""
        number = len(self.nodes) + 1
        self.nodes[name] = nodes.Node(
            folder=self.folder,
            record=self.record,
            settings={
                "name": name,
                "address": f"{self._subnet}.{number}",
                "place": place,
                "places": PLACES,
                "port": self._port,
                "seeds": [],
                "store": "",
                "cpu_share": SMALL_SHARE if small else LARGE_SHARE,
            },
        )

    async def start(self) -> bool:
        """Start all parts; return whether every node is ready in time."""
        await self.store.listen()
        for service in self.services.values():
            service.on_change = self._send_heartbeats_once
            for instance in service.instances.values():
                await instance.listen()
        self._write_configuration()
        self._send_heartbeats_once()
        self._heartbeats = asyncio.get_running_loop().create_task(
            self._send_heartbeats()
        )
        seeds = [node.address for node in list(self.nodes.values())[:3]]
        for node in self.nodes.values():
            node.settings.update(seeds=seeds, store=self.store.address)
            node.start(bootstrap=True)
        ready = await asyncio.gather(
            *(node.wait_until_ready() for node in self.nodes.values())
        )
        return all(ready)

    def end(self) -> None:
        """End all processes and stand-ins."""
        for node in self.nodes.values():
            node.end()
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        for service in self.services.values():
            for instance in service.instances.values():
                instance.crash()
        self.store.close()

    async def _promote(self, service: str, instance: str) -> int:
        return await self.services[service].promote(instance)

    def _write_configuration(self) -> None:
        document = {
            "version": self.version,
            "routes": self.routes,
            "services": [
                {
                    "name": service.name,
                    "healthPath": "/health",
                    "maxConnections": max(
                        i.maximum_connections for i in service.instances.values()
                    ),
                    "protocol": "h1",
                    "tls": False,
                    "syncReplicas": service.sync_replicas,
                }
                for service in self.services.values()
            ],
            "limits": {"txIdleMs": 3000},
        }
        self.store.put("op/config", json.dumps(document).encode())

    def _send_heartbeats_once(self) -> None:
        for service in self.services.values():
            for instance in service.instances.values():
                key = f"servers/{instance.id}"
                if instance.crashed:
                    continue
                entry = {
                    "service": service.name,
                    "address": instance.address,
                    "zone": instance.place,
                    "version": "v1",
                    "slots": instance.slots,
                    "state": "ready",
                    "coldRemainingMs": 0,
                    "dbRole": "primary" if instance.primary else "replica",
                    "sequence": next(self._sequence),
                    "born": self._born,
                }
                self.store.put(key, json.dumps(entry).encode())

    async def _send_heartbeats(self) -> None:
        silent: dict[str, float] = {}
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self._send_heartbeats_once()
            for service in self.services.values():
                for instance in service.instances.values():
                    if instance.crashed:
                        since = silent.setdefault(instance.id, time.monotonic())
                        if time.monotonic() - since > 2 * HEARTBEAT_SECONDS:
                            self.store.delete(f"servers/{instance.id}")


def find_ports(address: str) -> int:
    """Return a port from which on 20 ports are free."""
    while True:
        first = random.randrange(20000, 30000, 20)
        sockets = []
        try:
            for port in range(first, first + 20):
                sock = socket.socket()
                sockets.append(sock)
                sock.bind((address, port))
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
        return first
