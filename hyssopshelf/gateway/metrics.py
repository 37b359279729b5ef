"""Counters and latency histograms of one gateway, in the Prometheus format."""

import bisect
import collections

BOUNDS_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
"""Upper bounds of the histogram buckets; the objectives of the known routes lie
between 0.25 and 1.5 s."""


class Histogram:
    """Histogram of times.

    Attributes
    ----------
    counts : list of int
        Observations in each bucket, not cumulative; the last bucket is unbounded.
    total_seconds : float
        Sum of the observations.
    """

    def __init__(self) -> None:
        self.counts = [0] * (len(BOUNDS_SECONDS) + 1)
        self.total_seconds = 0.0

    def observe(self, seconds: float) -> None:
        """Add one time to its bucket."""
        self.counts[bisect.bisect_left(BOUNDS_SECONDS, seconds)] += 1
        self.total_seconds += seconds


class Metrics:
    """Counters of the requests of a gateway.

    Attributes
    ----------
    outcomes : Counter of (int, str)
        Answered requests by rank and outcome.
    latencies : dict of int to Histogram
        Time to the answer by rank.
    queued : dict of int to Histogram
        Time in queues by rank.
    limited : Counter of str
        Operations refused beyond the limit, by customer.
    keys_refused : int
        Sessions and operations refused for their key.
    requests_cut : Counter of str
        Requests whose connection ended before the answer, by who ended it.
    """

    def __init__(self) -> None:
        self.outcomes: collections.Counter = collections.Counter()
        self.latencies: dict[int, Histogram] = collections.defaultdict(Histogram)
        self.queued: dict[int, Histogram] = collections.defaultdict(Histogram)
        self.limited: collections.Counter = collections.Counter()
        self.keys_refused = 0
        self.requests_cut: collections.Counter[str] = collections.Counter()

    def record(self, rank: int, outcome: str, seconds: float, queued: float) -> None:
        """Count an answered request; ``seconds`` includes the time in queues."""
        self.outcomes[rank, outcome] += 1
        self.latencies[rank].observe(seconds)
        self.queued[rank].observe(queued)


def render(gateway) -> bytes:
    """Return the metrics page of a gateway in the Prometheus text format."""
    # Imported at the first scrape, as the library costs memory on small hosts.
    import aioprometheus
    from aioprometheus import renderer

    registry = aioprometheus.Registry()

    def add_metric(name: str, text: str, samples) -> None:
        metric = aioprometheus.Counter(f"hyssopshelf_{name}", text, registry=registry)
        for labels, value in samples:
            metric.set(labels, value)

    metrics = gateway.metrics
    add_metric(
        "requests_total",
        "Answered requests by rank and outcome",
        [
            ({"rank": str(rank), "outcome": outcome}, count)
            for (rank, outcome), count in metrics.outcomes.items()
        ],
    )
    add_metric(
        "limited_total",
        "Operations beyond the limit of their customer",
        [({"customer": name}, count) for name, count in metrics.limited.items()],
    )
    add_metric("keys_refused_total", "Unknown keys", [({}, metrics.keys_refused)])
    add_metric(
        "requests_cut_total",
        "Requests whose connection ended before the answer",
        [({"by": name}, count) for name, count in metrics.requests_cut.items()],
    )
    _add_histograms(
        add_metric, "request_seconds", "Time to the answer", metrics.latencies
    )
    _add_histograms(add_metric, "queue_seconds", "Time in queues", metrics.queued)
    connection_pools = list(gateway.connection_pools.items())
    for name, text, read in (
        ("handshakes_total", "Connections opened", lambda pool: pool.handshakes),
        ("connections", "Open connections", lambda g: len(g.open_connections)),
        (
            "replacements_total",
            "Connections closed for one of another customer",
            lambda pool: pool.replacements,
        ),
        ("queue_waiting", "Waiting work", lambda pool: pool.queue.waiting),
        ("slots_running", "Slots in use", lambda pool: pool.queue.running),
        ("connection_share", "Connections allowed", lambda pool: pool.view.connections),
    ):
        add_metric(
            name,
            text,
            [({"endpoint": key}, read(pool)) for key, pool in connection_pools],
        )
    add_metric(
        "endpoint_failures",
        "Failures in a row",
        [
            ({"endpoint": key}, health.failures)
            for key, health in gateway.board.health.items()
        ],
    )
    configuration = gateway.board.configuration
    add_metric(
        "configuration_version",
        "Version in force",
        [({}, configuration.version if configuration else 0)],
    )
    content, _ = renderer.render(registry, ["text/plain"])
    return content


def _add_histograms(add_metric, name: str, text: str, histograms: dict) -> None:
    buckets = []
    sums = []
    counts = []
    for rank, histogram in histograms.items():
        cumulative = 0
        bounds = [*(str(bound) for bound in BOUNDS_SECONDS), "+Inf"]
        for bound, count in zip(bounds, histogram.counts, strict=True):
            cumulative += count
            buckets.append(({"rank": str(rank), "le": bound}, cumulative))
        sums.append(({"rank": str(rank)}, histogram.total_seconds))
        counts.append(({"rank": str(rank)}, cumulative))
    add_metric(f"{name}_bucket", f"{text}, by bucket", buckets)
    add_metric(f"{name}_sum", f"{text}, sum", sums)
    add_metric(f"{name}_count", f"{text}, count", counts)
