"""Renders the metrics of a node in the Prometheus text format."""

import aioprometheus
from aioprometheus import renderer


def render(engine) -> tuple[bytes, dict]:
    """Return the body and headers of a metrics response for an engine."""
    board = engine.core.board
    registry = aioprometheus.Registry()
    events = aioprometheus.Counter(
        "hyssopshelf_events_total", "Events of the core by name", registry=registry
    )
    for name, value in board.counters.items():
        events.set({"name": name}, value)
    sizes = aioprometheus.Gauge(
        "hyssopshelf_state_entries", "Entries of the node's state", registry=registry
    )
    for name, section in _get_sections(board).items():
        sizes.set({"section": name}, len(section))
    waiting = aioprometheus.Gauge(
        "hyssopshelf_queue_waiting", "Statements that wait", registry=registry
    )
    running = aioprometheus.Gauge(
        "hyssopshelf_slots_running", "Slots in use", registry=registry
    )
    for endpoint, queue in board.endpoint_queues.items():
        waiting.set({"endpoint": endpoint}, queue.waiting)
        running.set({"endpoint": endpoint}, queue.running)
    peers = aioprometheus.Counter(
        "hyssopshelf_peer_bytes_total", "Bytes between nodes", registry=registry
    )
    peers.set({"direction": "sent"}, engine.peers.sent_bytes)
    peers.set({"direction": "received"}, engine.peers.received_bytes)
    versions = aioprometheus.Gauge(
        "hyssopshelf_configuration_version", "Version in force", registry=registry
    )
    for pool, document in board.documents.items():
        versions.set({"pool": pool}, document.version)
    return renderer.render(registry, ["text/plain"])


def _get_sections(board) -> dict:
    return {
        "hosts": board.hosts,
        "endpoints": board.endpoints,
        "databases": board.databases,
        "connections": board.connections,
        "transactions": board.transactions,
        "requests": board.requests,
        "served": board.served,
    }
