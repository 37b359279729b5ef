"""The configuration controllers as one, for the node.

Several controllers call the store, so an answer is offered to each; the event
class ``StoreAnswered`` is registered by the node.
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
    """Take an answer of the store; return whether it belongs to configuration."""
    return any(module.take_store_answer(event, board, now) for module in _STORE_CALLERS)
