"""RECOVER: three of eight machines return after a loss of power; none leads them."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))

import cases
import system

SITE = system.PRIEH_LABEL
RETURNING = 3
DOWN_SECONDS = 1.1
RECOVER_SECONDS = SITE.bounds["recoveryS"]
JUDGED_SECONDS = 30.0


async def run(deployment) -> bool:
    """Return whether at least a quarter of the requests is served in the end."""
    await deployment.start()
    await asyncio.sleep(3.0)
    traffic = cases.Traffic(deployment, 25.0)
    await traffic.run(6.0)
    sent, served = traffic.measure_served(0.0, deployment.now())
    deployment.log(f"before the final fault {served} of {sent} requests were served")
    if served < sent / 4:
        raise RuntimeError("the system did not serve before the fault")
    deployment.put_configuration()
    leader = deployment.leader()
    for node in deployment.nodes:
        node.signal(signal.SIGKILL)
    # One machine of each zone returns; the one that led is removed for good.
    others = [node for node in deployment.nodes if node is not leader]
    kept = [
        next(n for n in others if n.name.startswith(f"front-{place}"))
        for place, _ in SITE.places
    ]
    returning = kept[:RETURNING] if cases.has_trouble() else deployment.nodes
    await asyncio.sleep(DOWN_SECONDS)
    for node in returning:
        node.start()
    gone = [node.name for node in deployment.nodes if node not in returning]
    deployment.log(f"removed for good: {', '.join(gone) or 'none'}")
    traffic.nodes = list(returning)
    await asyncio.sleep(1.0)
    back = deployment.now()
    await traffic.run(RECOVER_SECONDS + JUDGED_SECONDS)
    judged_from = back + RECOVER_SECONDS
    sent, served = traffic.measure_served(judged_from, deployment.now())
    deployment.log(
        f"later than {RECOVER_SECONDS} s after they were back {served} of {sent} "
        "requests were served"
    )
    return served >= sent / 4


if __name__ == "__main__":
    cases.run(str(pathlib.Path(__file__).parent), run, site=SITE, seed=6)
