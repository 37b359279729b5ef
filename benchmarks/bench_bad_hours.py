"""Measures the control cost of one node at the target size in exceptional hours.

Covers the start of a node, a snapshot that it serves to a starting node, the work of
a store watcher with the store up and down, and the loss of a failure domain and of a
region. Run it with ``python -m benchmarks.bench_bad_hours --seed N --json``;
bench_control measures an ordinary day.
"""

import gc
import json
import time

from benchmarks import bench_control, commands, control_fleet, socket_costs
from hyssopshelf import base, kvstore, messages
from hyssopshelf.configuration import snapshots


def measure(fleet, windows: int, sockets) -> dict:
    """Measure a number of consecutive windows of ``bench_control.WINDOW_SECONDS``."""
    seconds = windows * bench_control.WINDOW_SECONDS
    return bench_control.measure_window(fleet, seconds, sockets)


def serve_snapshot(fleet) -> dict:
    """Return the cost of serving the whole snapshot to a starting node."""
    fleet.reset_costs()
    requester, after = fleet.names[0], ""
    while True:
        fleet.deliver(requester, snapshots.SnapshotRequest(after=after))
        fleet.run(0.0)
        names = [name for name in fleet.pools if name > after]
        after = names[: snapshots.PART_DOCUMENTS][-1]
        if after == fleet.pools[-1]:
            break
    costs = fleet.reset_costs()
    return {
        "processor_seconds": round(costs.seconds, 2),
        "sent_bytes": costs.sent_bytes,
        "longest_event_ms": round(1000 * costs.longest, 1),
    }


def run_outage(fleet, regions: bool, sockets) -> dict:
    """Measure the loss and the return of a failure domain or of a region."""
    index = 6 if regions else 5
    # The second host is in neither the place nor the region of the node.
    column = fleet.rows[fleet.names[1]][index]
    names = [name for name in fleet.names if fleet.rows[name][index] == column]
    fleet.fail_hosts(names)
    lost = measure(fleet, 1, sockets)
    fleet.rejoin_hosts(names)
    back = measure(fleet, 1, sockets)
    return {"hosts": len(names), "lost": lost, "back": back}


def run_store_watcher(fleet, sockets) -> dict:
    """Return the cost of the nodes that read the store and the host list."""
    board = fleet.board
    version = board.membership.version
    names = (control_fleet.OWN_HOST, *fleet.names[:2])
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
    """Return the processor time to decode and handle a host list, in milliseconds."""
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
    """Run all exceptional cases on one node."""
    started_at = time.perf_counter()
    sockets = socket_costs.measure()
    fleet = control_fleet.ControlFleet(size=bench_control.TARGET, seed=seed)
    control_fleet.clear_caches()
    gc.collect()
    report = {"benchmark": "bad_hours", "seed": seed}
    report["start"] = bench_control.run_start(fleet, sockets)
    bench_control.enter_steady_state(fleet)
    report["snapshot_served"] = serve_snapshot(fleet)
    report["reader"] = run_store_watcher(fleet, sockets)
    report["domain_lost"] = run_outage(fleet, False, sockets)
    bench_control.enter_steady_state(fleet)
    report["region_cut_off"] = run_outage(fleet, True, sockets)
    report["wall_seconds"] = round(time.perf_counter() - started_at, 1)
    return report


if __name__ == "__main__":
    commands.run_benchmark(run, __doc__)
