"""The stand-ins' program: ``hyssopshelf-standin endpoint|store|hosts``."""

import argparse
import asyncio
import signal

from hyssopshelf.standins import database, endpoint, hostlist, keyvalue, store


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="hyssopshelf-standin",
        description="Run a stand-in of the platform or of a database instance.",
    )
    kinds = parser.add_subparsers(dest="kind", required=True)
    instance = kinds.add_parser("endpoint", help="a database instance")
    instance.add_argument("--name", required=True, help="pool/database/endpoint")
    instance.add_argument(
        "--peers", default="", help="name=IP:port of the others, comma separated"
    )
    instance.add_argument("--slots", type=int, default=3)
    instance.add_argument("--connections", type=int, default=20)
    instance.add_argument("--service-seconds", type=float, default=0.002)
    instance.add_argument("--connect-seconds", type=float, default=0.01)
    instance.add_argument("--apply-delay-seconds", type=float, default=0.0)
    for name, text in (("store", "the key-value store"), ("hosts", "the host list")):
        kinds.add_parser(name, help=text)
    for kind in kinds.choices.values():
        kind.add_argument("--port", type=int, required=True)
        kind.add_argument("--address", default="127.0.0.1", help="loopback address")
    return parser


async def run(values: argparse.Namespace) -> None:
    """Serve until SIGTERM or SIGINT."""
    starters = {
        "endpoint": start_endpoint,
        "store": start_store,
        "hosts": start_hosts,
    }
    server = starters[values.kind](values)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    await stopping.wait()
    await server.stop()


def start_endpoint(values: argparse.Namespace) -> endpoint.EndpointServer:
    """Start a database instance."""
    peers = dict(item.split("=", 1) for item in values.peers.split(",") if item)
    server = endpoint.EndpointServer(
        instance=database.Instance(
            name=values.name,
            connection_limit=values.connections,
            apply_delay_seconds=values.apply_delay_seconds,
        ),
        slots=values.slots,
        service_seconds=values.service_seconds,
        connect_seconds=values.connect_seconds,
        peers=peers,
    )
    server.start(values.port, values.address)
    return server


def start_store(values: argparse.Namespace) -> store.StoreServer:
    """Start the key-value store."""
    server = store.StoreServer(store=keyvalue.KeyValueStore())
    server.start(port=values.port, address=values.address)
    return server


def start_hosts(values: argparse.Namespace) -> hostlist.HostListServer:
    """Start the host list."""
    server = hostlist.HostListServer(hosts=hostlist.HostList())
    server.start(port=values.port, address=values.address)
    return server


def main() -> None:
    """Run a stand-in until it is asked to stop."""
    asyncio.run(run(make_parser().parse_args()))


if __name__ == "__main__":
    main()
