"""Which holders of an endpoint's connections serve which customer.

A connection serves one customer only, so the sessions of a customer, whatever host
they are at, should meet on few connections. Every host computes the same choice from
the holders and the customers' shares; nothing of it is sent or kept.

References
----------
.. [1] Mirrokni, Thorup, Zadimoghaddam, "Consistent Hashing with Bounded Loads",
   SODA '18.
"""

import math

from hyssopshelf.membership import rendezvous

LOAD_BOUND = 1.25
"""Load of a holder at most, as a multiple of the average; a customer beyond it goes to
its next holder."""

LARGE_SHARE = 0.5
"""Part of a holder's average load above which a customer has a further holder."""


def count_holders(share: float, holders: int) -> int:
    """Return how many of an endpoint's holders serve a customer.

    Parameters
    ----------
    share : float
        Part of the customer in the work of all.
    """
    return max(1, min(holders, math.ceil(share * holders / LARGE_SHARE)))


def assign(
    endpoint: str, holders: list[str], shares: dict[str, float]
) -> dict[str, list[str]]:
    """Return the holders of an endpoint that serve each customer, the first first.

    Holders beyond those that serve a customer follow in its order, for when the
    others do not answer.

    Parameters
    ----------
    endpoint : str
        Id of the endpoint; the choice differs between endpoints.
    shares : dict of str to float
        Part of each customer in the work of all.
    """
    candidates = [(rendezvous.hash_text(host), host) for host in holders]
    load = dict.fromkeys(holders, 0.0)
    bound = LOAD_BOUND * sum(shares.values()) / max(1, len(holders))
    assigned = {}
    for customer in sorted(shares, key=lambda name: (-shares[name], name)):
        key = rendezvous.hash_text(f"{customer}@{endpoint}")
        order = rendezvous.rank(key, candidates, len(candidates))
        part = shares[customer] / count_holders(shares[customer], len(holders))
        order.sort(key=lambda host: load[host] + part > bound)
        for host in order[: count_holders(shares[customer], len(holders))]:
            load[host] += part
        assigned[customer] = order
    return assigned
