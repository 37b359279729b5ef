"""Answers requests for the bill of a pool from the stored document."""

from hyssopshelf import base, exceptions, kvstore
from hyssopshelf.configuration import declarations, requests
from hyssopshelf.scheduling import bill_writes, billing


def start(board, caller: str, request: requests.Bill, now: float) -> None:
    """Read the stored bill of a pool.

    Only the node that writes a pool's bill knows all accounts, so every node
    answers from the store.
    """
    call_id = board.next_id()
    board.configuration.bill_reads[call_id] = (caller, request.pool)
    key = bill_writes.KEY_PREFIX + request.pool
    board.act(base.CallStore(call_id=call_id, operation=kvstore.Get(key=key)))


def take_store_answer(event: base.StoreAnswered, board, now: float) -> bool:
    """Answer the request behind a store call; return whether there is one."""
    read = board.configuration.bill_reads.pop(event.call_id, None)
    if read is None:
        return False
    caller, pool = read
    board.act(base.Reply(caller=caller, answer=_make_answer(board, pool, event.result)))
    return True


def _make_answer(board, pool: str, outcome) -> requests.ApiAnswer:
    if outcome.is_err():
        return requests.ApiAnswer(
            error=exceptions.ErrorKind.UNAVAILABLE,
            message="the store that keeps the bill does not answer",
        )
    entry = outcome.unwrap()
    lines = ()
    if entry is not None:
        try:
            lines = billing.bill_of_document(board, pool, entry.value)
        except exceptions.CodecError as error:
            return requests.ApiAnswer(
                error=exceptions.ErrorKind.INTERNAL, message=str(error)
            )
    body = {"pool": pool, "lines": declarations.to_plain(lines)}
    return requests.ApiAnswer(body=body)
