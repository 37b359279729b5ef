"""State machine of a replicated database instance, without I/O.

It models terms, the log, replication and the connection limit. Keys have lists of
strings as values. The caller passes the time in; a server such as ``endpoint``
transports requests and replication fetches and models how long a statement takes.
"""

import attrs

from hyssopshelf import messages
from hyssopshelf.consistency import positions

BEFORE_ANY_EVENT = -1e9
"""Initial time of events, in seconds.

The ages counted from it are sent as JSON, which has no infinity.
"""


@attrs.frozen(kw_only=True)
class Change:
    """A write of one key; ``append`` extends the list instead of replacing it."""

    key: str
    value: str
    append: bool


@attrs.frozen(kw_only=True)
class LogEntry:
    """The committed changes of one transaction.

    Attributes
    ----------
    term : int
        Term of the primary that appended the entry.
    idempotency_key : str
        Key of the request, empty if none. It is replicated with the entry, so
        that a later primary recognizes a repeated request too.
    """

    term: int
    changes: tuple[Change, ...]
    idempotency_key: str = ""


@attrs.frozen(kw_only=True)
class FetchRequest:
    """A replica's request for the log entries after its last one."""

    follower: str
    term: int
    position: int
    history: tuple[messages.TermStart, ...]


@attrs.frozen(kw_only=True)
class FetchAnswer:
    """Log entries after ``common``, the last index at which both logs agree."""

    term: int
    common: int
    entries: tuple[LogEntry, ...]
    history: tuple[messages.TermStart, ...]
    position: int


@attrs.define(kw_only=True)
class OpenTransaction:
    """Buffered changes of a transaction, its keys and the log index it began at."""

    start_position: int
    changes: list[Change] = attrs.field(factory=list)
    accessed_keys: set[str] = attrs.field(factory=set)


@attrs.frozen(kw_only=True)
class _FetchedEnd:
    """Last log index of the primary, as returned by a fetch sent at ``sent_at``."""

    position: int
    sent_at: float


@attrs.define(kw_only=True)
class Instance:
    """Role, log, data and connections of a database instance.

    Parameters
    ----------
    name : str
        Full name of the endpoint.
    connection_limit : int
        Largest number of open connections.
    apply_delay_seconds : float
        Time from the receipt of an entry at a replica until reads see it.
    fetch_limit : int
        Largest number of entries that one fetch returns.
    """

    name: str
    connection_limit: int = 20
    apply_delay_seconds: float = 0.0
    fetch_limit: int = 1000

    role: messages.Role = messages.Role.FENCED
    term: int = 0
    promoter: str = ""
    primary: str = ""
    log: list[LogEntry] = attrs.field(factory=list)
    history: tuple[messages.TermStart, ...] = ()
    applied: int = 0
    discarded: int = 0
    connections: dict[str, OpenTransaction | None] = attrs.field(factory=dict)
    _data: dict[str, list[str]] = attrs.field(factory=dict)
    _last_changes: dict[str, int] = attrs.field(factory=dict)
    _indexes_by_idempotency_key: dict[str, int] = attrs.field(factory=dict)
    _received_at: list[float] = attrs.field(factory=list)
    _fetched_ends: list[_FetchedEnd] = attrs.field(factory=list)
    _caught_up_at: float = BEFORE_ANY_EVENT
    _upstream_contact_at: float = BEFORE_ANY_EVENT

    @property
    def position(self) -> int:
        """Return the index of the last log entry."""
        return len(self.log)

    def bootstrap(self, term: int, now: float) -> None:
        """Make the instance the primary of the first term of an empty database."""
        self.term = term
        self.role = messages.Role.PRIMARY
        self.primary = self.name
        self.history = (messages.TermStart(term=term, first=1),)

    def advance(self, now: float) -> None:
        """Apply the entries whose apply delay has passed."""
        while (
            self.applied < self.position
            and self._received_at[self.applied] + self.apply_delay_seconds <= now
        ):
            self._apply_next()
        while self._fetched_ends and self._fetched_ends[0].position <= self.applied:
            self._caught_up_at = max(
                self._caught_up_at, self._fetched_ends.pop(0).sent_at
            )

    def report_status(self, now: float) -> messages.EndpointStatus:
        """Apply due entries and return the status that the proxies read."""
        self.advance(now)
        is_primary = self.role is messages.Role.PRIMARY
        return messages.EndpointStatus(
            name=self.name,
            role=self.role,
            term=self.term,
            history=self.history,
            position=self.position,
            applied=self.applied,
            lag_seconds=0.0 if is_primary else now - self._caught_up_at,
            upstream_age_seconds=0.0 if is_primary else now - self._upstream_contact_at,
            primary=self.primary,
            connections=len(self.connections),
            discarded=self.discarded,
        )

    def open_connection(self, connection: str) -> bool:
        """Accept a connection; return False if the limit is reached."""
        if len(self.connections) >= self.connection_limit:
            return False
        self.connections[connection] = None
        return True

    def close_connection(self, connection: str) -> None:
        """Close a connection and roll back its open transaction."""
        self.connections.pop(connection, None)

    def execute(
        self, connection: str, request: messages.EndpointRequest, now: float
    ) -> messages.EndpointAnswer:
        """Run a request on an open connection."""
        self.advance(now)
        operation = request.operation
        if operation is messages.Operation.GET:
            return self._read(connection, request, now)
        if operation is messages.Operation.ROLLBACK:
            return self._roll_back(connection, now)
        stale = request.term not in (0, self.term)
        if self.role is not messages.Role.PRIMARY or stale:
            self.connections[connection] = None
            return self._make_error_answer(messages.EndpointError.NOT_PRIMARY, now)
        if operation is messages.Operation.BEGIN:
            self.connections[connection] = OpenTransaction(start_position=self.position)
            return self._make_answer(now)
        if operation is messages.Operation.COMMIT:
            return self._commit(connection, request, now)
        return self._write(connection, request, now)

    def fence(self, command: messages.Fence, now: float) -> messages.ControlAnswer:
        """Raise the term for one promoter and refuse writes of older terms."""
        self.advance(now)
        repeated = command.term == self.term and command.promoter == self.promoter
        granted = command.term > self.term or (
            repeated and self.role is messages.Role.FENCED
        )
        if granted and not repeated:
            self.term = command.term
            self.promoter = command.promoter
            self.role = messages.Role.FENCED
            self.primary = ""
        return messages.ControlAnswer(granted=granted, status=self.report_status(now))

    def promote(self, command: messages.Promote, now: float) -> messages.ControlAnswer:
        """Become primary if this promoter fenced the instance for this term."""
        promoter_matches = (
            command.term == self.term and command.promoter == self.promoter
        )
        if promoter_matches and self.role is messages.Role.FENCED:
            while self.applied < self.position:
                self._apply_next()
            self.role = messages.Role.PRIMARY
            self.primary = self.name
            start = messages.TermStart(term=self.term, first=self.position + 1)
            self.history = (*self.history, start)
            # The empty entry gives a majority an entry of this term. Entries of
            # older terms alone, even on a majority, could still be replaced by a
            # log that has an entry of a term in between.
            self._append_entry((), "", now)
        granted = promoter_matches and self.role is messages.Role.PRIMARY
        return messages.ControlAnswer(granted=granted, status=self.report_status(now))

    def follow(self, command: messages.Follow, now: float) -> messages.ControlAnswer:
        """Replicate from a primary unless its term is older than the known one."""
        is_primary_of_term = (
            self.role is messages.Role.PRIMARY and self.term == command.term
        )
        granted = command.term >= self.term and not is_primary_of_term
        if granted:
            if command.term > self.term:
                self.promoter = ""
            self.term = command.term
            self.role = messages.Role.REPLICA
            self.primary = command.primary
        return messages.ControlAnswer(granted=granted, status=self.report_status(now))

    def request_fetch(self, now: float) -> FetchRequest | None:
        """Return the next fetch for the primary, None unless this is a replica."""
        if self.role is not messages.Role.REPLICA:
            return None
        return FetchRequest(
            follower=self.name,
            term=self.term,
            position=self.position,
            history=self.history,
        )

    def serve_fetch(self, request: FetchRequest, now: float) -> FetchAnswer | None:
        """Return the entries for a replica, None if not primary or of an older term."""
        if self.role is not messages.Role.PRIMARY or request.term > self.term:
            return None
        common_end = _find_common_end(
            self.history, self.position, request.history, request.position
        )
        end = min(self.position, common_end + self.fetch_limit)
        return FetchAnswer(
            term=self.term,
            common=common_end,
            entries=tuple(self.log[common_end:end]),
            history=self.history,
            position=self.position,
        )

    def receive_fetch(
        self, answer: FetchAnswer | None, sent_at: float, now: float
    ) -> None:
        """Append fetched entries after discarding those that conflict with them.

        Parameters
        ----------
        answer : FetchAnswer or None
            The primary's answer.
        sent_at : float
            Time at which the fetch was sent. The age of the data is measured from
            it, so that network delay cannot make the data look newer.
        """
        if answer is None or self.role is not messages.Role.REPLICA:
            return
        if answer.term != self.term:
            return
        end = positions.locate(self.history, self.position)
        if positions.is_discarded(answer.history, end):
            self._truncate(
                _find_common_end(
                    answer.history, answer.position, self.history, self.position
                )
            )
        if answer.common > self.position:
            return
        self._upstream_contact_at = max(self._upstream_contact_at, sent_at)
        missing = answer.common + len(answer.entries) - self.position
        if missing > 0:
            self.log.extend(answer.entries[-missing:])
            self._received_at.extend([now] * missing)
        self.history = tuple(
            start for start in answer.history if start.first <= self.position + 1
        )
        self._fetched_ends.append(
            _FetchedEnd(position=answer.position, sent_at=sent_at)
        )
        self.advance(now)

    def read_value(self, key: str) -> str | None:
        """Return the applied values of a key, joined by commas; None if it has none."""
        values = self._data.get(key)
        return None if values is None else ",".join(values)

    def _truncate(self, common_end: int) -> None:
        self.discarded += self.position - common_end
        del self.log[common_end:]
        del self._received_at[common_end:]
        self._fetched_ends.clear()
        if self.applied > common_end:
            self.applied = 0
            self._data.clear()
            self._last_changes.clear()
            self._indexes_by_idempotency_key.clear()
            while self.applied < common_end:
                self._apply_next()

    def _apply_next(self) -> None:
        entry = self.log[self.applied]
        self.applied += 1
        for change in entry.changes:
            if change.append:
                self._data.setdefault(change.key, []).append(change.value)
            else:
                self._data[change.key] = [change.value]
            self._last_changes[change.key] = self.applied
        if entry.idempotency_key:
            self._indexes_by_idempotency_key[entry.idempotency_key] = self.applied

    def _read(
        self, connection: str, request: messages.EndpointRequest, now: float
    ) -> messages.EndpointAnswer:
        transaction = self.connections.get(connection)
        value = self.read_value(request.key)
        if transaction is not None:
            transaction.accessed_keys.add(request.key)
            values = [] if value is None else [value]
            for change in transaction.changes:
                if change.key == request.key:
                    values = (
                        [*values, change.value] if change.append else [change.value]
                    )
            value = ",".join(values) if values else None
        return messages.EndpointAnswer(status=self.report_status(now), value=value)

    def _write(
        self, connection: str, request: messages.EndpointRequest, now: float
    ) -> messages.EndpointAnswer:
        change = Change(
            key=request.key,
            value=request.value or "",
            append=request.operation is messages.Operation.APPEND,
        )
        transaction = self.connections.get(connection)
        if transaction is None:
            return self._append_entry((change,), request.idempotency_key, now)
        transaction.changes.append(change)
        transaction.accessed_keys.add(request.key)
        return self._make_answer(now)

    def _commit(
        self, connection: str, request: messages.EndpointRequest, now: float
    ) -> messages.EndpointAnswer:
        transaction = self.connections.get(connection)
        if transaction is None:
            return self._make_error_answer(messages.EndpointError.NO_TRANSACTION, now)
        self.connections[connection] = None
        changed = any(
            self._last_changes.get(key, 0) > transaction.start_position
            for key in transaction.accessed_keys
        )
        if changed and request.idempotency_key not in self._indexes_by_idempotency_key:
            return self._make_error_answer(messages.EndpointError.CONFLICT, now)
        return self._append_entry(
            tuple(transaction.changes), request.idempotency_key, now
        )

    def _append_entry(
        self, changes: tuple[Change, ...], idempotency_key: str, now: float
    ) -> messages.EndpointAnswer:
        index = (
            self._indexes_by_idempotency_key.get(idempotency_key)
            if idempotency_key
            else None
        )
        if index is None:
            entry = LogEntry(
                term=self.term, changes=changes, idempotency_key=idempotency_key
            )
            self.log.append(entry)
            self._received_at.append(now)
            self._apply_next()
            index = self.position
        return messages.EndpointAnswer(
            status=self.report_status(now),
            written=positions.locate(self.history, index),
        )

    def _roll_back(self, connection: str, now: float) -> messages.EndpointAnswer:
        self.connections[connection] = None
        return self._make_answer(now)

    def _make_answer(self, now: float) -> messages.EndpointAnswer:
        return messages.EndpointAnswer(status=self.report_status(now))

    def _make_error_answer(
        self, error: messages.EndpointError, now: float
    ) -> messages.EndpointAnswer:
        return messages.EndpointAnswer(status=self.report_status(now), error=error)


def _find_common_end(
    ours: tuple[messages.TermStart, ...],
    our_end: int,
    theirs: tuple[messages.TermStart, ...],
    their_end: int,
) -> int:
    """Return the last index up to which two logs have the same entries."""
    for start in reversed(theirs):
        if start.first > their_end:
            continue
        our_last = positions.find_end(ours, start.term, our_end)
        if our_last is None or our_last < start.first:
            continue
        their_last = positions.find_end(theirs, start.term, their_end)
        return min(our_last, their_last, our_end, their_end)
    return 0
