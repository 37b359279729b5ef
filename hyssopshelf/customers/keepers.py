"""Choice of the hosts that keep the limits of customers.

All hosts choose the same keepers from the list of holders that they have anyway, by
rendezvous hashing, so that a holder that is lost moves its own customers only.
"""

from hyssopshelf.membership import rendezvous

KEEPERS_TRIED = 3
"""Keepers that a host asks in turn: the first one and those that follow it."""


def rank_keepers(customer: str, hosts) -> list[str]:
    """Return the hosts that keep a customer's limit, in the order to ask them.

    Parameters
    ----------
    hosts : iterable of str
        Hosts that may keep limits.
    """
    candidates = [(rendezvous.hash_text(host), host) for host in hosts]
    return rendezvous.rank(rendezvous.hash_text(customer), candidates, KEEPERS_TRIED)
