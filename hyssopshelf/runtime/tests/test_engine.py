"""Tests of the events that the engine passes to a node's core."""

import time

import pytest

from hyssopshelf import blackboard, clocks, messages, node, peer_events
from hyssopshelf.runtime import engine


def test_the_core_gets_the_wait_of_a_message_on_its_own_clock(monkeypatch):
    """Guards against a late write after the host was suspended; its clocks differ."""
    monkeypatch.setattr(clocks, "read_clock", lambda: time.monotonic() + 1000.0)
    identity = blackboard.Identity(host="h1", address="127.0.0.1:1", place="ba-1")
    core = node.Node(identity=identity, seed=1, token_keys=(("k1", b"secret"),))
    received = peer_events.PeerReceived(
        host="h2",
        message=messages.CancelStatement(request_id="h2.1.1"),
        waited_since=clocks.read_clock() - 2.0,
    )
    engine.Engine(core=core).emit(received)
    assert core.board.now - core.board.waited_since == pytest.approx(2.0, abs=0.5)
