"""Entry points of the configuration controllers, called by the node.

Several controllers call the store, so each answer is passed to them in turn
until one recognises the call. The node registers the handler of the event
``StoreAnswered``.
"""

from hyssopshelf import base
from hyssopshelf.configuration import (
    api,
    bills,
    dissemination,
    snapshots,
    status,
    watching,
)

_STORE_CALLERS = (api, bills, watching, snapshots)

_STEPS = (snapshots, dissemination, watching, status, api)


def step(board, now: float) -> None:
    """Run the periodic work; called on each ``Ticked``."""
    for module in _STEPS:
        module.step(board, now)


def take_store_answer(event: base.StoreAnswered, board, now: float) -> bool:
    """Handle an answer of the store; return whether a controller here made the call."""
    return any(module.take_store_answer(event, board, now) for module in _STORE_CALLERS)
