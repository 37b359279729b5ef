"""Measures the write gap of a failover with real processes and real sockets.

Each case has a fleet of its own: three endpoints, two nodes, the store and the
host list. A client at each node writes every 20 ms while the primary is killed,
isolated from its replicas, paused or declared as leaving, with the store up and
down. bench_failover has more cases on a virtual clock. Run it with
``python -m benchmarks.bench_failover_processes --seed N --json``.
"""

import asyncio
import itertools
import pathlib
import signal
import tempfile

from benchmarks import commands, processes
from hyssopshelf import exceptions, messages

FAULTS = ("killed", "cut_off", "paused", "planned")
WRITE_INTERVAL_SECONDS = 0.02
WARM_UP_SECONDS = 1.0
LOAD_SECONDS = 5.0
BOUND_SECONDS = 17.0
UNPLANNED_GOAL_SECONDS = 3.0
PLANNED_GOAL_SECONDS = 0.5


class Writer:
    """Writes a value every 20 ms and records the outcomes."""

    def __init__(self, fleet: processes.Fleet, host: str) -> None:
        self.session = fleet.make_session(host, timeout_seconds=BOUND_SECONDS)
        self.host = host
        self.acknowledged: list[tuple[float, str]] = []
        self.unknown: list[str] = []
        self.stopping = False

    async def run(self) -> None:
        """Write until ``stopping`` is set; a write does not wait for earlier ones."""
        tasks = []
        for number in itertools.count():
            if self.stopping:
                break
            value = f"{self.host}-{number}"
            tasks.append(asyncio.ensure_future(self._write(value)))
            await asyncio.sleep(WRITE_INTERVAL_SECONDS)
        await asyncio.gather(*tasks)
        await self.session.close()

    async def _write(self, value: str) -> None:
        loop = asyncio.get_running_loop()
        try:
            await self.session.append("gap", value, kind="scan")
            self.acknowledged.append((loop.time(), value))
        except exceptions.AnswerError as error:
            if error.disposition.ran is exceptions.Ran.UNKNOWN:
                self.unknown.append(value)


async def inject_fault(fleet: processes.Fleet, fault: str, primary: str) -> None:
    """Apply a fault to the current primary."""
    if fault == "killed":
        fleet.endpoints[primary].kill()
    elif fault == "cut_off":
        fleet.replication_proxies[primary].disconnect()
    elif fault == "paused":
        fleet.endpoints[primary].send_signal(signal.SIGSTOP)
    else:
        await fleet.apply(fleet.make_resources(leaving=primary))


async def find_values(fleet: processes.Fleet) -> tuple[str, list[str]]:
    """Return the name of the primary and the values that a strong read returns."""
    session = fleet.make_session(timeout_seconds=BOUND_SECONDS)
    answer = await session.get(
        "gap", kind="scan", consistency=messages.Consistency.STRONG
    )
    await session.close()
    values = answer.value.split(",") if answer.value else []
    return answer.endpoint.rpartition("/")[2], values


async def run_case(fault: str, store_up: bool, folder: str) -> dict:
    """Run one fault and return the write gap and the outcomes of the writes."""
    path = pathlib.Path(folder) / f"{fault}-{store_up}"
    path.mkdir()
    async with processes.Fleet(path) as fleet:
        primary, _ = await find_values(fleet)
        writers = [Writer(fleet, host) for host in fleet.nodes]
        tasks = [asyncio.ensure_future(writer.run()) for writer in writers]
        await asyncio.sleep(WARM_UP_SECONDS)
        if not store_up:
            fleet.platform_processes[0].kill()
        await inject_fault(fleet, fault, primary)
        await asyncio.sleep(LOAD_SECONDS)
        for writer in writers:
            writer.stopping = True
        await asyncio.gather(*tasks)
        _, values = await find_values(fleet)
        return summarize(writers, values)


def summarize(writers: list[Writer], values: list[str]) -> dict:
    """Return the longest write gap and the counts of lost and duplicate writes."""
    acknowledged = sorted(pair for writer in writers for pair in writer.acknowledged)
    times = [time for time, _ in acknowledged]
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    kept = set(values)
    return {
        "gap_seconds": round(max(gaps), 3),
        "acknowledged": len(acknowledged),
        "unknown": sum(len(writer.unknown) for writer in writers),
        "lost": sum(value not in kept for _, value in acknowledged),
        "doubled": len(values) - len(kept),
    }


async def run_cases() -> dict:
    """Run all faults with the store up, then with the store down."""
    cases = {}
    with tempfile.TemporaryDirectory() as folder:
        for store_up in (True, False):
            # The planned change declares a resource, which needs the store.
            faults = FAULTS if store_up else FAULTS[:-1]
            results = await asyncio.gather(
                *(run_case(fault, store_up, folder) for fault in faults)
            )
            for fault, result in zip(faults, results, strict=True):
                cases[f"{fault}.store_{'up' if store_up else 'down'}"] = result
    return cases


def run(seed: int) -> dict:
    """Run the benchmark; the seed is only reported, as real processes ignore it."""
    cases = asyncio.run(run_cases())
    unplanned = [
        case["gap_seconds"] for name, case in cases.items() if "planned" not in name
    ]
    return {
        "benchmark": "failover_processes",
        "seed": seed,
        "cases": cases,
        "worst_unplanned_seconds": max(unplanned),
        "planned_seconds": cases["planned.store_up"]["gap_seconds"],
        "unplanned_goal_seconds": UNPLANNED_GOAL_SECONDS,
        "planned_goal_seconds": PLANNED_GOAL_SECONDS,
        "bound_seconds": BOUND_SECONDS,
        "lost": sum(case["lost"] for case in cases.values()),
        "doubled": sum(case["doubled"] for case in cases.values()),
    }


if __name__ == "__main__":
    commands.run_benchmark(run, __doc__)
