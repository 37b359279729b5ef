"""Writes an order and reads it back through any of the given proxies.

Run it as ``python examples/order.py IP:PORT [IP:PORT ...]`` against a fleet that has
the resources of examples/steyrtal.yaml applied.
"""

import asyncio
import sys

from hyssopshelf import client, exceptions


async def run(proxies: tuple[str, ...]) -> None:
    """Append an order; the idempotency key keeps retries from appending it twice."""
    session = client.Session(
        proxies=proxies, pool="mondkartei", database="orders", partner="steyrtal"
    )
    try:
        await session.append(
            "order-1", "40 calendars", kind="orders", idempotency_key="order-1-line-1"
        )
        answer = await session.get("order-1", kind="orders")
        print(f"{answer.value} from {answer.endpoint}")
    except exceptions.AnswerError as error:
        print(f"not done: {error} (ran: {error.disposition.ran.value})")
    finally:
        await session.close()


if __name__ == "__main__":
    asyncio.run(run(tuple(sys.argv[1:])))
