"""Tests of the host list adapter against the stand-in host list, over sockets."""

import asyncio

import pytest

from hyssopshelf import kvstore
from hyssopshelf.runtime import hostlist as adapters
from hyssopshelf.standins import hostlist as standins

HOST = kvstore.HostEntry(name="h1", address="127.0.0.1:1", place="p1", region="r1")


def run(scenario):
    async def main():
        hosts = standins.HostList()
        server = standins.HostListServer(hosts=hosts)
        port = server.start()
        adapter = adapters.HostListAdapter(
            url=f"http://127.0.0.1:{port}", timeout_seconds=0.5
        )
        try:
            await asyncio.wait_for(scenario(hosts, adapter), 20)
        finally:
            adapter.close()
            await server.stop()

    asyncio.run(main())


def test_host_entries_arrive_complete():
    """Guards against fields lost between the host list and a node."""

    async def scenario(hosts, adapter):
        hosts.add(HOST, -1.0)
        hosts.mark_leaving("h1", -0.5)
        (entry,) = (await adapter.read()).unwrap()
        assert (entry.name, entry.region, entry.leaving) == ("h1", "r1", True)

    run(scenario)


def test_unavailable_host_list_is_an_error():
    """Guards against an outage of the host list that is read as an empty fleet."""

    async def scenario(hosts, adapter):
        hosts.down = True
        assert (await adapter.read()).is_err()

    run(scenario)


@pytest.mark.parametrize(("now", "names"), [(4.9, []), (5.0, ["h1"]), (12.0, [])])
def test_stand_in_host_list_lags(now, names):
    """Guards against a stand-in whose entries appear earlier than the platform's."""
    hosts = standins.HostList(lag_seconds=5.0)
    hosts.add(HOST, 0.0)
    hosts.remove("h1", 7.0)
    assert [entry.name for entry in hosts.read(now)] == names
