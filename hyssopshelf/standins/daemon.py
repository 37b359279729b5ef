"""Command line that runs a stand-in: ``hyssopshelf-standin endpoint|store|hosts``."""

import argparse
import asyncio
import signal

from hyssopshelf.standins import database, endpoint, hostlist, keyvalue, store


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the stand-ins' command line."""
    parser = argparse.ArgumentParser(
        prog="hyssopshelf-standin",
        description="Run a stand-in of the platform or of a database instance.",
    )
    subparsers = parser.add_subparsers(dest="kind", required=True)
    instance = subparsers.add_parser("endpoint", help="a database instance")
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
        subparsers.add_parser(name, help=text)
    for subparser in subparsers.choices.values():
        subparser.add_argument("--port", type=int, required=True)
        subparser.add_argument(
            "--address", default="127.0.0.1", help="loopback address"
        )
    return parser


async def run(arguments: argparse.Namespace) -> None:
    """Serve one stand-in until SIGTERM or SIGINT."""
    starters = {
        "endpoint": start_endpoint,
        "store": start_store,
        "hosts": start_hosts,
    }
    server = starters[arguments.kind](arguments)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    await stopping.wait()
    await server.stop()


def start_endpoint(arguments: argparse.Namespace) -> endpoint.EndpointServer:
    """Start the server of a database instance."""
    peers = dict(item.split("=", 1) for item in arguments.peers.split(",") if item)
    server = endpoint.EndpointServer(
        instance=database.Instance(
            name=arguments.name,
            connection_limit=arguments.connections,
            apply_delay_seconds=arguments.apply_delay_seconds,
        ),
        slots=arguments.slots,
        service_seconds=arguments.service_seconds,
        connect_seconds=arguments.connect_seconds,
        peers=peers,
    )
    server.start(arguments.port, arguments.address)
    return server


def start_store(arguments: argparse.Namespace) -> store.StoreServer:
    """Start the server of the key-value store."""
    server = store.StoreServer(store=keyvalue.KeyValueStore())
    server.start(port=arguments.port, address=arguments.address)
    return server


def start_hosts(arguments: argparse.Namespace) -> hostlist.HostListServer:
    """Start the server of the host list."""
    server = hostlist.HostListServer(hosts=hostlist.HostList())
    server.start(port=arguments.port, address=arguments.address)
    return server


def main() -> None:
    """Parse the command line and run the stand-in it names."""
    asyncio.run(run(make_parser().parse_args()))


if __name__ == "__main__":
    main()
