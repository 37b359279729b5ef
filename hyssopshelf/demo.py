"""Run a platform stand-in, a database group and two proxies in one process.

Start it with ``make demo``. All servers listen on 127.0.0.1.
"""

import asyncio
import secrets

import tornado.httpserver
import tornado.netutil

from hyssopshelf import blackboard, client, exceptions, kvstore, logs, node
from hyssopshelf.configuration import requests, resources
from hyssopshelf.runtime import closing, server
from hyssopshelf.runtime import engine as engines
from hyssopshelf.runtime import hostlist as hostlist_adapter
from hyssopshelf.runtime import store as store_adapter
from hyssopshelf.standins import database, endpoint, hostlist, keyvalue, store

POOL = "mondkartei"
DATABASE = "orders"
PARTNER = "steyrtal"
PLACES = ("steyr-rathaus", "enns-werkhof", "freistadt-keller")


def make_resources(addresses: dict[str, str]) -> tuple[resources.Resource, ...]:
    """Return the declared resources of the demo."""
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
        (
            resources.ResourceKind.SPLIT,
            "agreed",
            resources.SplitSpec(capacity={PARTNER: 1.0}, bill={PARTNER: 1.0}),
        ),
        *((resources.ResourceKind.RANK, name, spec) for name, spec in ranks.items()),
    ]
    return tuple(
        resources.Resource(kind=kind, pool=POOL, name=name, spec=spec)
        for kind, name, spec in declared
    )


async def start_endpoints() -> dict[str, endpoint.EndpointServer]:
    """Start three database instances; the proxies promote one of them to primary."""
    servers = {}
    for name in "abc":
        full_name = f"{POOL}/{DATABASE}/{name}"
        servers[full_name] = endpoint.EndpointServer(
            instance=database.Instance(name=full_name)
        )
    for endpoint_server in servers.values():
        endpoint_server.start()
    addresses = {
        name: endpoint_server.address for name, endpoint_server in servers.items()
    }
    for endpoint_server in servers.values():
        endpoint_server.peers.update(addresses)
    return servers


def find_free_addresses(count: int) -> list[str]:
    """Return loopback addresses with free ports.

    The ports are closed again, so another process may take them.
    """
    sockets = [tornado.netutil.bind_sockets(0, "127.0.0.1")[0] for _ in range(count)]
    addresses = [f"127.0.0.1:{socket.getsockname()[1]}" for socket in sockets]
    for socket in sockets:
        socket.close()
    return addresses


def start_platform() -> tuple[store.StoreServer, hostlist.HostListServer, dict]:
    """Start the key-value store and the host list; return them with their URLs."""
    store_server = store.StoreServer(store=keyvalue.KeyValueStore())
    host_list_server = hostlist.HostListServer(hosts=hostlist.HostList())
    urls = {
        "store": f"http://127.0.0.1:{store_server.start()}",
        "hosts": f"http://127.0.0.1:{host_list_server.start()}",
    }
    return store_server, host_list_server, urls


def start_proxies(urls: dict, hosts: hostlist.HostList) -> tuple[dict, dict]:
    """Start two proxies; return their engines and caller addresses by host."""
    keys = (("demo", secrets.token_bytes(32)),)
    engines_by_host = {}
    addresses = {}
    peer_addresses = find_free_addresses(2)
    for number, (place, peer) in enumerate(
        zip(PLACES, peer_addresses, strict=False), start=1
    ):
        host = f"proxy-{number}"
        identity = blackboard.Identity(
            host=host, address=peer, place=place, region=place, incarnation=1
        )
        hosts.add(
            kvstore.HostEntry(name=host, address=peer, place=place, region=place), 0.0
        )
        engine = engines.Engine(
            core=node.Node(identity=identity, seed=number, token_keys=keys),
            store=store_adapter.StoreAdapter(url=urls["store"]),
            host_list=hostlist_adapter.HostListAdapter(url=urls["hosts"]),
        )
        http = tornado.httpserver.HTTPServer(
            server.make_application(engine, closing.ClientConnections())
        )
        sockets = tornado.netutil.bind_sockets(0, "127.0.0.1")
        http.add_sockets(sockets)
        addresses[host] = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        engine.start()
        engines_by_host[host] = engine
    return engines_by_host, addresses


async def apply_resources(
    engine: engines.Engine, declared: tuple[resources.Resource, ...]
) -> None:
    """Wait until a proxy is ready and apply the resources through it."""
    while not engine.core.board.configuration_ready:
        await asyncio.sleep(0.05)
    request = requests.Apply(pool=POOL, change_id="demo-1", resources=declared)
    answer = await engine.submit(request)
    if answer.error is not None:
        raise exceptions.AnswerError(answer.error, answer.message)
    print(f"applied {len(declared)} resources through proxy-1")


async def run_session(addresses: dict[str, str]) -> None:
    """Write an order through one proxy and read it through the other."""
    session = client.Session(
        proxies=tuple(addresses.values()),
        pool=POOL,
        database=DATABASE,
        partner=PARTNER,
        timeout_seconds=20.0,
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
    """Start all servers, run the session and stop the servers."""
    logs.configure(form="text", level="INFO")
    store_server, host_list_server, urls = start_platform()
    endpoints = await start_endpoints()
    proxies, addresses = start_proxies(urls, host_list_server.hosts)
    print(f"platform: store at {urls['store']}, host list at {urls['hosts']}")
    print(f"endpoints: {', '.join(endpoints)}")
    print(f"proxies: {', '.join(f'{h} at {a}' for h, a in addresses.items())}")
    declared = make_resources({n: s.address for n, s in endpoints.items()})
    await apply_resources(proxies["proxy-1"], declared)
    await run_session(addresses)
    for engine in proxies.values():
        engine.stop()
    for stand_in in (*endpoints.values(), store_server, host_list_server):
        await stand_in.stop()


def main() -> None:
    """Run the demo."""
    asyncio.run(run())


if __name__ == "__main__":
    main()
