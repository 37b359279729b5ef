"""The whole path in one process: stand-in platform, database group, two proxies.

Run it with ``make demo``. All servers listen on 127.0.0.1.
"""

import asyncio
import secrets

import tornado.httpserver
import tornado.netutil

from hyssopshelf import blackboard, client, logs, messages, node
from hyssopshelf.configuration import application, resources
from hyssopshelf.runtime import engine as engines
from hyssopshelf.runtime import server
from hyssopshelf.standins import database, endpoint

POOL = "mondkartei"
DATABASE = "orders"
PARTNER = "steyrtal"
PLACES = ("steyr-rathaus", "enns-werkhof", "freistadt-keller")


def make_document(addresses: dict[str, str]) -> resources.Document:
    """Return the configuration of the demo."""
    endpoints = tuple(
        resources.EndpointSpec(
            name=name, address=addresses[f"{POOL}/{DATABASE}/{name}"], place=place
        )
        for name, place in zip("abc", PLACES, strict=True)
    )
    pool = resources.PoolSpec(
        databases=(resources.DatabaseSpec(name=DATABASE, endpoints=endpoints),),
        partners=(PARTNER,),
        slots=3,
        connections=20,
    )
    kinds = (
        resources.KindSpec(name="order", rank="urgent"),
        resources.KindSpec(name="page", rank="normal", staleness_seconds=60.0),
        resources.KindSpec(name="report", rank="background", staleness_seconds=300.0),
    )
    ranks = {
        "urgent": resources.RankSpec(
            order=0, floor=0.5, acknowledge=resources.MAJORITY
        ),
        "normal": resources.RankSpec(order=1, floor=0.2),
        "background": resources.RankSpec(order=2, floor=0.1),
    }
    declared = [
        (resources.ResourceKind.POOL, POOL, pool),
        (
            resources.ResourceKind.PARTNER,
            PARTNER,
            resources.PartnerSpec(kinds=kinds),
        ),
        *((resources.ResourceKind.RANK, name, spec) for name, spec in ranks.items()),
    ]
    return resources.Document(
        pool=POOL,
        version=1,
        resources=tuple(
            resources.Resource(kind=kind, pool=POOL, name=name, spec=spec)
            for kind, name, spec in declared
        ),
    )


async def start_endpoints() -> dict[str, endpoint.EndpointServer]:
    """Start three instances; the first one is the primary."""
    servers = {}
    for name in "abc":
        full_name = f"{POOL}/{DATABASE}/{name}"
        servers[full_name] = endpoint.EndpointServer(
            instance=database.Instance(name=full_name)
        )
    first = next(iter(servers))
    for started in servers.values():
        started.start()
    addresses = {name: started.address for name, started in servers.items()}
    servers[first].instance.bootstrap(1, 0.0)
    for started in servers.values():
        started.peers.update(addresses)
        started.instance.follow(messages.Follow(term=1, primary=first), 0.0)
    return servers


def find_free_addresses(count: int) -> list[str]:
    """Return loopback addresses whose ports were free a moment ago."""
    sockets = [tornado.netutil.bind_sockets(0, "127.0.0.1")[0] for _ in range(count)]
    addresses = [f"127.0.0.1:{socket.getsockname()[1]}" for socket in sockets]
    for socket in sockets:
        socket.close()
    return addresses


def start_proxies(document: resources.Document) -> tuple[dict, dict]:
    """Start two proxies; return their engines and caller addresses by host."""
    keys = (("demo", secrets.token_bytes(32)),)
    identities = [
        blackboard.Identity(host=f"proxy-{number}", address=address, place=place)
        for number, (place, address) in enumerate(
            zip(PLACES, find_free_addresses(2), strict=False), start=1
        )
    ]
    engines_by_host = {}
    addresses = {}
    for identity in identities:
        core = node.Node(identity=identity, seed=1, token_keys=keys)
        for other in identities:
            core.board.hosts[other.host] = blackboard.HostRecord(
                name=other.host, address=other.address, place=other.place
            )
        application.apply_document(core.board, document, 0.0)
        core.board.configuration_ready = True
        engine = engines.Engine(core=core)
        http = tornado.httpserver.HTTPServer(server.make_application(engine))
        sockets = tornado.netutil.bind_sockets(0, "127.0.0.1")
        http.add_sockets(sockets)
        addresses[identity.host] = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        engine.start()
        engines_by_host[identity.host] = engine
    return engines_by_host, addresses


async def run_session(addresses: dict[str, str]) -> None:
    """Write an order through one proxy and read it back through the other."""
    session = client.Session(
        proxies=tuple(addresses.values()),
        pool=POOL,
        database=DATABASE,
        partner=PARTNER,
    )
    await session.roam(addresses["proxy-1"])
    transaction = await session.begin(kind="order")
    await session.append(
        "order-1", "felling calendar x 40", kind="order", transaction=transaction
    )
    committed = await session.commit(transaction, kind="order")
    print(f"committed an order through proxy-1 at {committed.endpoint}")
    await session.roam(addresses["proxy-2"])
    answer = await session.get("order-1", kind="order")
    source = "replica" if answer.from_replica else "primary"
    print(
        f"read it back through proxy-2 from {source} {answer.endpoint}: "
        f"{answer.value!r}"
    )
    await session.close()


async def run() -> None:
    """Run the demo."""
    logs.configure(form="text", level="INFO")
    endpoints = await start_endpoints()
    document = make_document({n: s.address for n, s in endpoints.items()})
    proxies, addresses = start_proxies(document)
    print(f"endpoints: {', '.join(endpoints)}")
    print(f"proxies: {', '.join(f'{h} at {a}' for h, a in addresses.items())}")
    await asyncio.sleep(0.6)
    await run_session(addresses)
    for engine in proxies.values():
        engine.stop()
    for started in endpoints.values():
        await started.stop()


def main() -> None:
    """Run the demo."""
    asyncio.run(run())


if __name__ == "__main__":
    main()
