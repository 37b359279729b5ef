"""Pattern: scarce connections follow the demand, and nobody is left without one."""

SPARE_WEIGHT = 1.0
"""Weight of a node without demand, in connections, so that it can start."""


def divide(limit: int, demand: dict[str, int]) -> dict[str, int]:
    """Return each node's share of an endpoint's connections.

    Parameters
    ----------
    limit : int
        Connections that the endpoint accepts.
    demand : dict of str to int
        Connections that each node could use.

    Returns
    -------
    dict of str to int
        Shares; their sum is at most the limit.
    """
    nodes = sorted(demand)
    if not nodes or limit <= 0:
        return dict.fromkeys(nodes, 0)
    if limit < len(nodes):
        wanting = sorted(nodes, key=lambda node: (-demand[node], node))
        chosen = set(wanting[:limit])
        return {node: int(node in chosen) for node in nodes}
    spare = limit - len(nodes)
    weights = {node: demand[node] + SPARE_WEIGHT for node in nodes}
    total = sum(weights.values())
    shares = {node: 1 + int(spare * weights[node] / total) for node in nodes}
    rest = limit - sum(shares.values())
    for node in sorted(nodes, key=lambda node: (-weights[node], node))[:rest]:
        shares[node] += 1
    return shares


def divide_all(
    limits: dict[str, int], demands: dict[str, dict[str, int]]
) -> dict[str, dict[str, int]]:
    """Return the shares of each node by endpoint."""
    result: dict[str, dict[str, int]] = {node: {} for node in demands}
    for endpoint, limit in limits.items():
        demand = {node: wanted.get(endpoint, 0) for node, wanted in demands.items()}
        for node, share in divide(limit, demand).items():
            result[node][endpoint] = share
    return result
