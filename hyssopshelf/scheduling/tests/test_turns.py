"""Tests of the turns of customers that wait for the same endpoint."""

from hyssopshelf.scheduling import turns, work


def make_item(number: int, customer: str) -> work.Work:
    return work.Work(
        id=str(number),
        partner="shared",
        rank="rank-2",
        deadline=9.0,
        enqueued_at=0.0,
        customer=customer,
    )


def test_a_customer_at_seven_times_its_usual_rate_delays_no_other():
    """Sixty items of a flood wait when another customer's item arrives."""
    waiting = [make_item(number, "flood") for number in range(60)]
    waiting.append(make_item(60, "mill"))
    customer_turns = turns.CustomerTurns()
    served = []
    while len(served) < 4:
        item = customer_turns.choose(waiting)
        waiting.remove(item)
        customer_turns.start(item.customer, 0.01)
        served.append(item.customer)
    assert "mill" in served[:2]
    assert turns.count_ahead(waiting, "chapel") == 1


def test_service_is_equal_in_slot_time_not_in_items():
    """One customer's statements take five times as long."""
    waiting = [make_item(n, "slow" if n % 2 else "quick") for n in range(200)]
    customer_turns = turns.CustomerTurns()
    seconds = {"slow": 0.0, "quick": 0.0}
    for _ in range(60):
        item = customer_turns.choose(waiting)
        waiting.remove(item)
        cost = 0.05 if item.customer == "slow" else 0.01
        customer_turns.start(item.customer, cost)
        seconds[item.customer] += cost
    assert abs(seconds["slow"] - seconds["quick"]) <= 0.05


def test_a_customer_without_a_connection_does_not_hold_up_the_others():
    waiting = [make_item(0, "waits"), make_item(1, "ready")]
    customer_turns = turns.CustomerTurns()
    item = customer_turns.choose(waiting, lambda customer: customer == "ready")
    assert item.customer == "ready"
    assert customer_turns.choose(waiting, lambda customer: False) is None


def test_a_full_queue_sheds_the_work_of_the_flooding_customer():
    waiting = [make_item(number, "flood") for number in range(63)]
    waiting.append(make_item(63, "mill"))
    assert turns.find_excess(waiting, "mill").id == "62"
    assert turns.find_excess(waiting, "flood") is None
