"""Answers to the statements that are still open when a node has to stop."""

from hyssopshelf import base, blackboard, exceptions, messages
from hyssopshelf.statements import answers, completion, entry, transactions

MESSAGE = "the node stopped"


def abandon(board, now: float) -> None:
    """Answer all open statements and roll back all transactions.

    An answer tells whether the statement did not run or its outcome is unknown. From
    then on the node refuses all statements, those of transactions too.
    """
    board.stopping = True
    for served in list(board.served.values()):
        _abandon_served(board, served, now)
    for transaction in list(board.transactions):
        transactions.roll_back(board, transaction, MESSAGE)
    entry.settle(board, now)
    for request in list(board.entry_confirmations.values()):
        answers.reply_unknown(board, request, "the write could not be confirmed again")
    board.entry_confirmations.clear()
    for request in list(board.requests.values()):
        _abandon_request(board, request)


def _abandon_served(board, served, now: float) -> None:
    """Answer the entry node of a statement that this node serves."""
    if served.state is blackboard.ServedState.RUNNING:
        connection = served.connection
        board.act(base.CloseConnection(connection=connection))
        completion.receive_closed(board, connection, now)
    elif (
        served.state is blackboard.ServedState.CONFIRMING
        and served.statement.operation is messages.Operation.GET
    ):
        board.pending_confirmations.pop(served.id, None)
        completion.finish_behind(board, served)
    elif served.state is blackboard.ServedState.CONFIRMING:
        completion.expire_request(board, served, now)
    else:
        queue = board.endpoint_queues.get(served.endpoint)
        if queue is not None:
            queue.discard(served.id)
        completion.finish_error(board, served, exceptions.ErrorKind.NOT_RUN, MESSAGE)


def _abandon_request(board, request) -> None:
    """Answer the caller of a statement that is parked or at another node."""
    del board.requests[request.id]
    if request.parked:
        answers.reply_failure(board, request, exceptions.ErrorKind.NOT_RUN, MESSAGE)
        return
    cancel = messages.CancelStatement(request_id=request.id)
    board.act(base.SendPeer(host=request.host, message=cancel))
    answers.reply_unknown(board, request, f"{MESSAGE} before the serving node answered")
