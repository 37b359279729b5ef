"""Controller of the resource API.

A change is a read of the pool's document and a compare-and-swap. If the store
times out or returns an error, the outcome is unknown; the document is then read
again and searched for the change id.
"""

from hyssopshelf import base, exceptions, kvstore, logs, messages
from hyssopshelf.configuration import (
    bills,
    declarations,
    dissemination,
    documents,
    progress,
    requests,
    resources,
    status,
    validation,
)

ErrorKind = exceptions.ErrorKind

CALL_TIMEOUT_SECONDS = 3.0
"""Time after which a store call times out and the document is read back.

It is longer than the store adapter's own limit of 2 s. A shorter timeout would
discard every answer of a slow store, and no change would be accepted.
"""

FIRST_RETRY_SECONDS = 0.1

MAXIMUM_RETRY_SECONDS = 1.0

MAXIMUM_WAIT_SECONDS = 60.0
"""Maximum time that a request may wait."""

MAXIMUM_OPERATIONS = 1_000
"""Maximum number of concurrently waiting requests, watches included."""


def answer(board, caller: str, body: dict) -> None:
    """Answer a caller with success."""
    board.act(base.Reply(caller=caller, answer=requests.ApiAnswer(body=body)))


def refuse(
    board, caller: str, error: ErrorKind, message: str, body: dict | None = None
) -> None:
    """Answer a caller with an error."""
    reply = requests.ApiAnswer(error=error, message=message, body=body or {})
    board.act(base.Reply(caller=caller, answer=reply))


@base.handle.register
def handle_request(event: base.ResourceRequested, board, now):
    """Start or answer a request of the resource API."""
    request = event.request
    if isinstance(request, requests.Drain):
        base.handle(base.DrainRequested(), board, now)
        answer(board, event.caller, {"draining": board.identity.host})
    elif not board.configuration_ready:
        message = "the node has no configuration yet"
        refuse(board, event.caller, ErrorKind.UNAVAILABLE, message)
    elif len(board.configuration.operations) >= MAXIMUM_OPERATIONS:
        message = f"{MAXIMUM_OPERATIONS} requests wait already"
        refuse(board, event.caller, ErrorKind.REFUSED, message)
    else:
        _HANDLERS[type(request)](board, event.caller, request, now)


def _open_operation(board, caller: str, request, now: float) -> progress.ApiOperation:
    seconds = min(request.remaining_seconds, MAXIMUM_WAIT_SECONDS)
    operation = progress.ApiOperation(
        id=board.next_id(), caller=caller, request=request, deadline=now + seconds
    )
    board.configuration.operations[operation.id] = operation
    return operation


def _start_change(board, caller: str, request, now: float) -> None:
    """Validate the request without the document, then read the document."""
    if not request.change_id:
        refuse(board, caller, ErrorKind.BAD_REQUEST, "changeId: is missing")
        return
    if isinstance(request, requests.Apply):
        try:
            validation.check_declared(request.resources, request.pool)
        except exceptions.ValidationError as error:
            refuse(board, caller, ErrorKind.BAD_REQUEST, str(error))
            return
    _read(board, _open_operation(board, caller, request, now), now)


def _read(board, operation: progress.ApiOperation, now: float) -> None:
    """Read the document from the store."""
    operation.candidate = None
    get = kvstore.Get(key=documents.key_of(operation.request.pool))
    _call_store(board, operation, get, now)


def _call_store(board, operation: progress.ApiOperation, call, now: float) -> None:
    operation.call_id = board.next_id()
    operation.call_deadline = now + CALL_TIMEOUT_SECONDS
    board.act(base.CallStore(call_id=operation.call_id, operation=call))


def take_store_answer(event: base.StoreAnswered, board, now: float) -> bool:
    """Continue a change after a store call; return whether the call was made here."""
    for operation in board.configuration.operations.values():
        if operation.call_id and operation.call_id == event.call_id:
            break
    else:
        return False
    operation.call_id = ""
    if event.result.is_err():
        _schedule_read_back(operation, board, now)
        return True
    board.configuration.heard_at = now
    found = event.result.unwrap()
    if operation.candidate is None:
        _commit(board, operation, found, now)
    elif found.succeeded:
        _accept(board, operation, operation.candidate, now)
    else:
        _commit(board, operation, found.current, now)
    return True


def _schedule_read_back(operation: progress.ApiOperation, board, now: float) -> None:
    """Schedule a read of the document after a store call failed or timed out.

    The outcome of a failed compare-and-swap is unknown until that read.
    """
    operation.call_id = ""
    if operation.candidate is not None:
        operation.unresolved_revision = operation.revision
    operation.retry_seconds = min(
        max(2 * operation.retry_seconds, FIRST_RETRY_SECONDS), MAXIMUM_RETRY_SECONDS
    )
    operation.next_at = now + operation.retry_seconds * board.random.uniform(0.5, 1)


def _build_changes(request, document: resources.Document) -> documents.ChangeSet:
    """Return the changes that a request makes to a document."""
    if isinstance(request, requests.Apply):
        return documents.ChangeSet(
            pool=request.pool,
            change_id=request.change_id,
            put=request.resources,
            base_version=request.base_version,
        )
    references = request.references
    return documents.ChangeSet(
        pool=request.pool,
        change_id=request.change_id,
        remove=references or _list_references(document),
        base_version=request.base_version,
    )


def _list_references(document) -> tuple[documents.Reference, ...]:
    return tuple(
        documents.Reference(kind=item.kind, name=item.name)
        for item in document.resources
    )


def _commit(board, operation, entry: kvstore.Entry | None, now: float) -> None:
    """Apply the change to the stored document and write it if it is valid.

    A write with an unknown outcome may still reach the store. While the
    document is at the revision that this write expects, the change is written
    again: the store accepts at most one of the two writes. At another revision
    the earlier write can no longer take effect.
    """
    request = operation.request
    operation.revision = entry.revision if entry else 0
    if operation.revision != operation.unresolved_revision:
        operation.unresolved_revision = None
    try:
        stored = declarations.decode_document(entry.value) if entry else None
    except exceptions.CodecError as error:
        _close_refused(board, operation, ErrorKind.INTERNAL, str(error))
        return
    current = stored or documents.empty_document(request.pool)
    held = board.documents.get(request.pool)
    if held is not None and documents.supersedes(held, current):
        # The store lost data; the change is applied to the document in force.
        current = held
    changes = _build_changes(request, current)
    if documents.contains_change(current, changes):
        _accept(board, operation, current, now)
        return
    if _names_only_missing(request, current):
        message = "none of the resources exists"
        _close_refused(board, operation, ErrorKind.NOT_FOUND, message)
        return
    changed = documents.apply_changes(current, changes)
    if changed.is_err():
        _close_conflict(board, operation, changed.err_value)
        return
    candidate = changed.unwrap()
    if candidate is current:
        _accept(board, operation, current, now)
        return
    try:
        validation.check_document(candidate)
        validation.check_change(current, candidate)
    except exceptions.ValidationError as error:
        _close_refused(board, operation, ErrorKind.BAD_REQUEST, str(error))
        return
    operation.candidate = candidate
    swap = kvstore.CompareAndSwap(
        key=documents.key_of(request.pool),
        value=declarations.encode_document(candidate),
        revision=operation.revision,
    )
    _call_store(board, operation, swap, now)


def _names_only_missing(request, document: resources.Document) -> bool:
    """Return whether a deletion names only resources that do not exist."""
    if not isinstance(request, requests.Delete) or not request.references:
        return False
    held = {(item.kind, item.name) for item in document.resources}
    return not any((item.kind, item.name) in held for item in request.references)


def _accept(board, operation, document: resources.Document, now: float) -> None:
    """Put an accepted document in force and answer."""
    del board.configuration.operations[operation.id]
    if document.version:
        dissemination.apply_if_newer(board, document, now, source="commit")
    board.count("configuration_accepted_total")
    request = operation.request
    fields = {"pool": request.pool, "version": document.version}
    board.log(logs.LogEvent.CHANGE_ACCEPTED, change=request.change_id, **fields)
    body = fields | {
        "changeId": request.change_id,
        "resources": {
            f"{item.kind.value}/{item.name}": item.resource_version
            for item in document.resources
        },
    }
    answer(board, operation.caller, body)


def _close_refused(board, operation, error: ErrorKind, message: str, **body) -> None:
    """Answer that a change was not made, or unknown while a write is unresolved."""
    if operation.unresolved_revision is not None:
        _close_unknown(board, operation)
        return
    del board.configuration.operations[operation.id]
    request = operation.request
    board.count("configuration_refused_total")
    board.log(
        logs.LogEvent.CHANGE_REFUSED,
        change=request.change_id,
        pool=request.pool,
        reason=message,
    )
    body["changeId"] = request.change_id
    refuse(board, operation.caller, error, message, body)


def _close_conflict(board, operation, conflict: documents.Conflict) -> None:
    _close_refused(
        board,
        operation,
        ErrorKind.CONFLICT,
        conflict.describe(),
        resource=f"{conflict.kind.value}/{conflict.name}",
        givenVersion=conflict.given,
        currentVersion=conflict.current,
    )


def _close_expired(board, operation: progress.ApiOperation) -> None:
    """Answer a change at its deadline."""
    if operation.candidate is not None:
        operation.unresolved_revision = operation.revision
    message = "the store did not answer; the change was not made"
    _close_refused(board, operation, ErrorKind.UNAVAILABLE, message)


def _close_unknown(board, operation: progress.ApiOperation) -> None:
    """Answer that the change may or may not have been made."""
    del board.configuration.operations[operation.id]
    request = operation.request
    board.count("configuration_unknown_total")
    board.log(logs.LogEvent.CHANGE_UNKNOWN, change=request.change_id, pool=request.pool)
    message = (
        "the store did not tell whether the change was made; repeat it with the "
        "same change id"
    )
    body = {"changeId": request.change_id}
    refuse(board, operation.caller, ErrorKind.OUTCOME_UNKNOWN, message, body)


def _describe_status(document: resources.Document) -> dict:
    return {"documentVersion": document.version, "inForce": True}


def _get(board, caller: str, request: requests.Get, now: float) -> None:
    document = board.documents.get(request.pool)
    for item in document.resources if document else ():
        if (item.kind, item.name) == (request.kind, request.name):
            plain = declarations.describe_resource(item, _describe_status(document))
            answer(board, caller, plain)
            return
    name = f"{request.kind.value}/{request.name}"
    message = f"pool {request.pool!r} has no {name}"
    refuse(board, caller, ErrorKind.NOT_FOUND, message)


def _list(board, caller: str, request: requests.List, now: float) -> None:
    if not request.pool:
        versions = {name: item.version for name, item in board.documents.items()}
        answer(board, caller, {"pools": versions})
        return
    document = board.documents.get(request.pool)
    if document is None:
        message = f"no pool {request.pool!r}"
        refuse(board, caller, ErrorKind.NOT_FOUND, message)
        return
    items = [
        declarations.describe_resource(item, _describe_status(document))
        for item in document.resources
        if request.kind in (None, item.kind)
    ]
    body = {"pool": request.pool, "version": document.version, "items": items}
    answer(board, caller, body)


def _diff(board, caller: str, request: requests.Diff, now: float) -> None:
    empty = documents.empty_document(request.pool)
    held = board.documents.get(request.pool, empty)
    # With the held document's version as base, no declared resource conflicts.
    changes = documents.ChangeSet(
        pool=request.pool,
        change_id="diff",
        put=tuple(_drop_version(item) for item in request.resources),
        base_version=held.version,
    )
    try:
        validation.check_declared(request.resources, request.pool)
        declared = documents.apply_changes(held, changes).unwrap()
        validation.check_document(declared)
        validation.check_change(held, declared)
    except exceptions.ValidationError as error:
        refuse(board, caller, ErrorKind.BAD_REQUEST, str(error))
        return
    differences = [
        messages.unstructure(item) for item in documents.compare(held, declared)
    ]
    body = {"pool": request.pool, "version": held.version, "differences": differences}
    answer(board, caller, body)


def _drop_version(item: resources.Resource) -> resources.Resource:
    return resources.Resource(
        kind=item.kind, pool=item.pool, name=item.name, spec=item.spec
    )


def _watch(board, caller: str, request: requests.Watch, now: float) -> None:
    operation = _open_operation(board, caller, request, now)
    _answer_watch(board, operation, now)


def _answer_watch(board, operation: progress.ApiOperation, now: float) -> None:
    """Answer a watch whose version has increased or whose deadline has passed."""
    request = operation.request
    document = board.documents.get(request.pool)
    version = document.version if document else 0
    changed = version > request.after_version
    if not changed and now < operation.deadline:
        return
    del board.configuration.operations[operation.id]
    body = {"pool": request.pool, "version": version, "changed": changed}
    if changed:
        body["changeIds"] = list(document.change_ids[-1:])
    answer(board, operation.caller, body)


def _status(board, caller: str, request: requests.Status, now: float) -> None:
    document = board.documents.get(request.pool)
    if document is None:
        message = f"no pool {request.pool!r}"
        refuse(board, caller, ErrorKind.NOT_FOUND, message)
        return
    operation = _open_operation(board, caller, request, now)
    version = request.version or document.version
    status.start_query(
        board, request.pool, version, operation.id, operation.deadline, now
    )
    _answer_status(board, operation)


def _answer_status(board, operation: progress.ApiOperation) -> None:
    """Answer a status request once all nodes have answered or timed out."""
    queries = board.configuration.queries.values()
    query = next((item for item in queries if item.operation == operation.id), None)
    if query is None or query.waiting:
        return
    del board.configuration.queries[query.id]
    del board.configuration.operations[operation.id]
    body = {
        "pool": query.pool,
        "version": query.version,
        "nodes": query.in_force + query.missing_count + query.silent_count,
        "inForce": query.in_force,
        "missing": dict(sorted(query.missing.items())),
        "missingCount": query.missing_count,
        "silent": sorted(query.silent),
        "silentCount": query.silent_count,
    }
    answer(board, operation.caller, body)


def has_open_requests(board) -> bool:
    """Return whether a request of an operator waits, other than a watch."""
    state = board.configuration
    return bool(state.bill_reads) or any(
        not isinstance(operation.request, requests.Watch)
        for operation in state.operations.values()
    )


def abandon(board) -> None:
    """Answer all open requests of a node that must stop.

    A watch is answered as at its deadline, so that the client repeats it elsewhere.
    """
    state = board.configuration
    for operation in list(state.operations.values()):
        if isinstance(operation.request, requests.Watch):
            _answer_watch(board, operation, operation.deadline)
        elif isinstance(operation.request, requests.Status):
            del state.operations[operation.id]
            refuse(board, operation.caller, ErrorKind.UNAVAILABLE, "the node stopped")
        else:
            _close_expired(board, operation)
    for caller, _ in state.bill_reads.values():
        refuse(board, caller, ErrorKind.UNAVAILABLE, "the node stopped")
    state.bill_reads.clear()


def step(board, now: float) -> None:
    """Advance requests that wait for the store, a version or a deadline."""
    for operation in list(board.configuration.operations.values()):
        if isinstance(operation.request, requests.Watch):
            _answer_watch(board, operation, now)
        elif isinstance(operation.request, requests.Status):
            _answer_status(board, operation)
        else:
            _step_change(board, operation, now)


def _step_change(board, operation: progress.ApiOperation, now: float) -> None:
    if now >= operation.deadline:
        _close_expired(board, operation)
    elif operation.call_id:
        if now >= operation.call_deadline:
            _schedule_read_back(operation, board, now)
    elif now >= operation.next_at:
        _read(board, operation, now)


_HANDLERS = {
    requests.Apply: _start_change,
    requests.Delete: _start_change,
    requests.Get: _get,
    requests.List: _list,
    requests.Diff: _diff,
    requests.Watch: _watch,
    requests.Status: _status,
    requests.Bill: bills.start,
}
