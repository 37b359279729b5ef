"""What one node spends on control in the bad hours of the target size.

The start of a node, a snapshot that it gives to another one, the work of a store
watcher with the store up and down, the loss of a failure domain and of a region. Run
it with ``python -m benchmarks.bench_bad_hours --seed N --json``; bench_control gives
the ordinary day.
"""

import gc
import json
import time

from benchmarks import bench_control, commands, control_fleet, socket_costs
from hyssopshelf import base, kvstore, messages
from hyssopshelf.configuration import snapshots


def measure(fleet, windows: int, sockets) -> dict:
    """Measure some windows of the length that bench_control uses."""
    seconds = windows * bench_control.WINDOW_SECONDS
    return bench_control.measure_window(fleet, seconds, sockets)


def serve_snapshot(fleet) -> dict:
    """Return what it costs to give the whole snapshot to a starting node."""
    fleet.reset()
    asker, after = fleet.names[0], ""
    while True:
        fleet.deliver(asker, snapshots.SnapshotRequest(after=after))
        fleet.run(0.0)
        names = [name for name in fleet.pools if name > after]
        after = names[: snapshots.PART_DOCUMENTS][-1]
        if after == fleet.pools[-1]:
            break
    costs = fleet.reset()
    return {
        "processor_seconds": round(costs.seconds, 2),
        "sent_bytes": costs.sent_bytes,
        "longest_event_ms": round(1000 * costs.longest, 1),
    }


def run_outage(fleet, regions: bool, sockets) -> dict:
    """Let a failure domain or a region fail and come back."""
    index = 6 if regions else 5
    # A place and a region that the node itself is not in.
    column = fleet.rows[fleet.names[1]][index]
    names = [name for name in fleet.names if fleet.rows[name][index] == column]
    fleet.fail(names)
    lost = measure(fleet, 1, sockets)
    fleet.come_back(names)
    back = measure(fleet, 1, sockets)
    return {"hosts": len(names), "lost": lost, "back": back}


def run_reader(fleet, sockets) -> dict:
    """Return what the few readers of the store and of the host list spend."""
    board = fleet.board
    version = board.membership.version
    names = (control_fleet.OWN, *fleet.names[:2])
    board.configuration.watchers = (version, names)
    watching = bench_control.measure_window(
        fleet, bench_control.WINDOW_SECONDS, sockets
    )
    fleet.store_down = True
    down = bench_control.measure_window(
        fleet, 2 * bench_control.WINDOW_SECONDS, sockets
    )
    fleet.store_down = False
    restored = bench_control.measure_window(
        fleet, bench_control.WINDOW_SECONDS, sockets
    )
    board.configuration.watchers = (version, ())
    return {
        "watching": watching,
        "store_down": down,
        "store_restored": restored,
        "host_list_ms": measure_host_list(fleet),
    }


def measure_host_list(fleet) -> float:
    """Return the processor time of one host list, in milliseconds."""
    rows = [
        {"name": row[0], "address": row[4], "place": row[5], "region": row[6]}
        for row in fleet.rows.values()
    ]
    text = json.dumps({"hosts": rows})
    started = time.process_time()
    entries = messages.structure(
        json.loads(text)["hosts"], tuple[kvstore.HostEntry, ...]
    )
    fleet.handle(base.HostListReceived(hosts=entries))
    return round(1000 * (time.process_time() - started), 2)


def run(seed: int) -> dict:
    """Run all bad hours on one node."""
    began = time.perf_counter()
    sockets = socket_costs.measure()
    fleet = control_fleet.ControlFleet(size=bench_control.TARGET, seed=seed)
    control_fleet.clear_caches()
    gc.collect()
    report = {"benchmark": "bad_hours", "seed": seed}
    report["start"] = bench_control.run_start(fleet, sockets)
    bench_control.skip_learning(fleet)
    report["snapshot_served"] = serve_snapshot(fleet)
    report["reader"] = run_reader(fleet, sockets)
    report["domain_lost"] = run_outage(fleet, False, sockets)
    bench_control.skip_learning(fleet)
    report["region_cut_off"] = run_outage(fleet, True, sockets)
    report["wall_seconds"] = round(time.perf_counter() - began, 1)
    return report


if __name__ == "__main__":
    commands.run_benchmark(run, __doc__)
