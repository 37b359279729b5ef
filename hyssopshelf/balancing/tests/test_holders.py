"""Tests of the choice of holders for customers."""

import pytest

from hyssopshelf.balancing import holders

HOLDERS = [f"host-{number}" for number in range(4)]


def make_shares(count: int) -> dict[str, float]:
    """Return shares of customers of very different size."""
    weights = {f"c{number}": (number + 1) ** -1.2 for number in range(count)}
    total = sum(weights.values())
    return {name: weight / total for name, weight in weights.items()}


def compute_loads(assigned: dict, shares: dict) -> dict[str, float]:
    loads = dict.fromkeys(HOLDERS, 0.0)
    for customer, order in assigned.items():
        count = holders.count_holders(shares[customer], len(HOLDERS))
        for host in order[:count]:
            loads[host] += shares[customer] / count
    return loads


@pytest.mark.parametrize("endpoint", ["e1", "e2", "e3", "e4"])
def test_holders_carry_even_loads_of_customers_of_uneven_size(endpoint):
    shares = make_shares(88)
    loads = compute_loads(holders.assign(endpoint, HOLDERS, shares), shares)
    assert max(loads.values()) <= 1.5 / len(HOLDERS)


def test_sessions_of_a_small_customer_meet_at_one_holder_and_of_a_large_at_several():
    shares = make_shares(88)
    assert holders.count_holders(shares["c60"], 4) == 1
    assert holders.count_holders(shares["c0"], 4) >= 2


def test_a_lost_holder_moves_few_customers_of_the_others():
    shares = make_shares(88)
    before = holders.assign("e1", HOLDERS, shares)
    after = holders.assign("e1", HOLDERS[:3], shares)
    moved = [
        name
        for name in shares
        if before[name][0] != HOLDERS[3] and before[name][0] != after[name][0]
    ]
    assert len(moved) < len(shares) / 4


def test_every_host_computes_the_same_choice():
    shares = make_shares(20)
    other = dict(reversed(shares.items()))
    assert holders.assign("e1", HOLDERS, shares) == holders.assign("e1", HOLDERS, other)
