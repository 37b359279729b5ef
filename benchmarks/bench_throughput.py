"""Measures statements per second and core, and the latency that the proxies add.

Real processes on loopback addresses: three endpoints without a service time and two
nodes. The bare cost is the processor time of an endpoint, a tornado websocket
server, for one read. All endpoints are in the place of the second node, so a
statement that enters at the first one is always forwarded. Processor time comes from
``/proc/PID/stat`` of each process. All figures come from one run; compare ratios,
because other load on the machine changes absolute values. Run it with
``python -m benchmarks.bench_throughput --seed N --json``.
"""

import asyncio
import os
import pathlib
import statistics
import tempfile
import time

import tornado.websocket

from benchmarks import commands, processes
from hyssopshelf import messages
from hyssopshelf.runtime import wire

SESSIONS = 16
RUN_SECONDS = 2.5
TICKS_A_SECOND = os.sysconf("SC_CLK_TCK")
ENDPOINT_PLACES = (processes.PLACES[1],) * 3
CASES = ("read", "write_confirmed", "write_majority")
TARGET_STATEMENTS = 1040.0
"""Statements per second at each node of the target size."""


def read_processor_seconds(process: processes.Process) -> float:
    """Return the user and system time that a process has used, in seconds."""
    text = pathlib.Path(f"/proc/{process.popen.pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_A_SECOND


async def run_load(step, seconds: float) -> dict:
    """Call ``step(number)`` from ``SESSIONS`` tasks; return rate and latencies."""
    latencies = []
    end = time.perf_counter() + seconds

    async def work(number: int) -> None:
        while time.perf_counter() < end:
            started = time.perf_counter()
            await step(number)
            latencies.append(time.perf_counter() - started)

    started_at = time.perf_counter()
    await asyncio.gather(*(work(number) for number in range(SESSIONS)))
    elapsed = time.perf_counter() - started_at
    percentiles = statistics.quantiles(latencies, n=100)
    return {
        "count": len(latencies),
        "rate": len(latencies) / elapsed,
        "p50_ms": 1000 * percentiles[49],
        "p99_ms": 1000 * percentiles[98],
    }


async def measure_direct(fleet: processes.Fleet) -> dict:
    """Measure reads on direct connections to an endpoint."""
    address = fleet.find_address("a")
    sockets = []
    for _ in range(SESSIONS):
        url = f"ws://{address}{wire.CONNECTION_PATH}"
        socket = await tornado.websocket.websocket_connect(url)
        await socket.read_message()
        sockets.append(socket)
    request = messages.EndpointRequest(operation=messages.Operation.GET, key="k")

    async def step(number: int) -> None:
        frame = wire.RequestFrame(id="r", request=request)
        await sockets[number].write_message(messages.to_json(frame).decode())
        messages.from_json(await sockets[number].read_message(), wire.AnswerFrame)

    before = read_processor_seconds(fleet.endpoints["a"])
    result = await run_load(step, RUN_SECONDS)
    used = read_processor_seconds(fleet.endpoints["a"]) - before
    result["endpoint_processor_us"] = round(1e6 * used / result["count"])
    for socket in sockets:
        socket.close()
    return result


async def measure_case(fleet: processes.Fleet, case: str, host: str) -> dict:
    """Measure one case with sessions that use only one node."""
    sessions = [fleet.make_session(host, seed=n) for n in range(SESSIONS)]

    async def step(number: int) -> None:
        session = sessions[number]
        if case == "read":
            await session.get(
                "k", kind="dashboard", consistency=messages.Consistency.BOUNDED
            )
        else:
            kind = "scan" if case == "write_majority" else "relabel"
            await session.put(f"k{number}", "v", kind=kind)

    await run_load(step, 0.5)
    for session in sessions:
        session.token = ""
    before = {h: read_processor_seconds(p) for h, p in fleet.nodes.items()}
    result = await run_load(step, RUN_SECONDS)
    used = {h: read_processor_seconds(p) - before[h] for h, p in fleet.nodes.items()}
    for session in sessions:
        await session.close()
    total = sum(used.values())
    result["node_processor_us"] = {
        h: round(1e6 * seconds / result["count"]) for h, seconds in used.items()
    }
    result["statements_a_core"] = result["count"] / total
    return result


async def run(seed: int) -> dict:
    """Run the direct reads and all cases on one fleet."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = processes.Fleet(
            pathlib.Path(folder),
            service_seconds=0.0,
            endpoint_places=ENDPOINT_PLACES,
            behind_proxies=False,
        )
        async with fleet:
            await asyncio.sleep(2.0)
            report = {"seed": seed, "direct": {}, "cases": {}}
            direct = await measure_direct(fleet)
            report["direct"]["read"] = direct
            for case in CASES:
                local = await measure_case(fleet, case, "h2")
                forwarded = await measure_case(fleet, case, "h1")
                bare = direct["endpoint_processor_us"]
                report["cases"][case] = {
                    "one_node_to_bare_ratio": sum(local["node_processor_us"].values())
                    / bare,
                    "forwarded_to_bare_ratio": sum(
                        forwarded["node_processor_us"].values()
                    )
                    / bare,
                    "one_node": local,
                    "forwarded": forwarded,
                    "forward_cost_ratio": local["statements_a_core"]
                    / forwarded["statements_a_core"],
                    "added_p50_ms": local["p50_ms"] - direct["p50_ms"],
                    "forward_added_p50_ms": forwarded["p50_ms"] - local["p50_ms"],
                }
    forwarded_us = report["cases"]["read"]["forwarded"]["node_processor_us"]
    report["core_part_at_target"] = {
        "statements_a_second": TARGET_STATEMENTS,
        "entry_and_serving": TARGET_STATEMENTS * sum(forwarded_us.values()) / 1e6,
    }
    return report


if __name__ == "__main__":
    commands.run_benchmark(lambda seed: asyncio.run(run(seed)), __doc__)
