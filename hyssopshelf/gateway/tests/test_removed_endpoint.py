"""Tests of endpoints that the registry no longer has."""

import asyncio

from hyssopshelf.gateway.tests import test_retries


# The coordinator gave up its role: a pool that was opened after the removal of its
# endpoint raised KeyError at the next change of the registry.
def test_a_pool_opened_after_the_removal_of_its_endpoint_is_closed():
    async def scenario():
        node_gateway = test_retries.make_gateway()
        endpoints = dict(node_gateway.board.endpoints)
        removed = endpoints.pop("two")
        node_gateway.apply_endpoints(endpoints)
        pool = node_gateway.get_local_pool(removed)
        assert "two" in node_gateway.connection_pools
        node_gateway.apply_endpoints({})
        assert not node_gateway.connection_pools
        assert pool.closed

    asyncio.run(scenario())
