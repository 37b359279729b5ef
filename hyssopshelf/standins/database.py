"""A database instance as a pure state machine: terms, log, replication, limits.

It keeps keys with list values. Time is passed in; an adapter moves requests and
replication fetches over the network and models how long a statement takes.
"""

import attrs

from hyssopshelf import messages
from hyssopshelf.consistency import positions

NEVER = -1e9
"""Time before any event, in seconds. JSON has no infinity for the age since."""


@attrs.frozen(kw_only=True)
class Change:
    """One change of a key; ``append`` adds to the value instead of setting it."""

    key: str
    value: str
    append: bool


@attrs.frozen(kw_only=True)
class LogEntry:
    """The committed changes of one transaction.

    Attributes
    ----------
    term : int
        Term whose primary wrote it.
    idempotency_key : str
        Key of the request, empty if none; the outcome is kept with the entry.
    """

    term: int
    changes: tuple[Change, ...]
    idempotency_key: str = ""


@attrs.frozen(kw_only=True)
class FetchRequest:
    """A replica's request for log entries after its end."""

    follower: str
    term: int
    position: int
    history: tuple[messages.TermStart, ...]


@attrs.frozen(kw_only=True)
class FetchAnswer:
    """Entries after ``common``, the end of the shared prefix of both logs."""

    term: int
    common: int
    entries: tuple[LogEntry, ...]
    history: tuple[messages.TermStart, ...]
    position: int


@attrs.define(kw_only=True)
class OpenTransaction:
    """Buffered changes of a transaction and the log index it began at."""

    began_at: int
    changes: list[Change] = attrs.field(factory=list)
    keys: set[str] = attrs.field(factory=set)


@attrs.frozen(kw_only=True)
class _Marker:
    """The log end that a fetch sent at a time saw at the primary."""

    position: int
    sent_at: float


@attrs.define(kw_only=True)
class Instance:
    """A database instance.

    Parameters
    ----------
    name : str
        Full name of the endpoint.
    connection_limit : int
        Connections it accepts.
    apply_delay_seconds : float
        Time between the arrival of an entry at a replica and its visibility.
    fetch_limit : int
        Entries that one fetch returns at most.
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
    _changed_at: dict[str, int] = attrs.field(factory=dict)
    _outcomes: dict[str, int] = attrs.field(factory=dict)
    _arrivals: list[float] = attrs.field(factory=list)
    _markers: list[_Marker] = attrs.field(factory=list)
    _fresh_at: float = NEVER
    _heard_at: float = NEVER

    @property
    def position(self) -> int:
        """Return the index of the last log entry."""
        return len(self.log)

    def bootstrap(self, term: int, now: float) -> None:
        """Make the instance the first primary of an empty database."""
        self.term = term
        self.role = messages.Role.PRIMARY
        self.primary = self.name
        self.history = (messages.TermStart(term=term, first=1),)

    def advance(self, now: float) -> None:
        """Apply the entries whose delay has passed."""
        while (
            self.applied < self.position
            and self._arrivals[self.applied] + self.apply_delay_seconds <= now
        ):
            self._apply_next()
        while self._markers and self._markers[0].position <= self.applied:
            self._fresh_at = max(self._fresh_at, self._markers.pop(0).sent_at)

    def report_status(self, now: float) -> messages.EndpointStatus:
        """Return the state of the instance."""
        self.advance(now)
        primary = self.role is messages.Role.PRIMARY
        return messages.EndpointStatus(
            name=self.name,
            role=self.role,
            term=self.term,
            history=self.history,
            position=self.position,
            applied=self.applied,
            lag_seconds=0.0 if primary else now - self._fresh_at,
            upstream_age_seconds=0.0 if primary else now - self._heard_at,
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
        """Close a connection; its open transaction is rolled back."""
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
            return self._end(connection, now)
        stale = request.term not in (0, self.term)
        if self.role is not messages.Role.PRIMARY or stale:
            self.connections[connection] = None
            return self._refuse(messages.EndpointError.NOT_PRIMARY, now)
        if operation is messages.Operation.BEGIN:
            self.connections[connection] = OpenTransaction(began_at=self.position)
            return self._answer(now)
        if operation is messages.Operation.COMMIT:
            return self._commit(connection, request, now)
        return self._write(connection, request, now)

    def fence(self, order: messages.Fence, now: float) -> messages.ControlAnswer:
        """Raise the term for one promoter and stop work of older terms."""
        self.advance(now)
        repeated = order.term == self.term and order.promoter == self.promoter
        granted = order.term > self.term or (
            repeated and self.role is messages.Role.FENCED
        )
        if granted and not repeated:
            self.term = order.term
            self.promoter = order.promoter
            self.role = messages.Role.FENCED
            self.primary = ""
        return messages.ControlAnswer(granted=granted, status=self.report_status(now))

    def promote(self, order: messages.Promote, now: float) -> messages.ControlAnswer:
        """Become the primary of the term that this promoter fenced."""
        mine = order.term == self.term and order.promoter == self.promoter
        if mine and self.role is messages.Role.FENCED:
            while self.applied < self.position:
                self._apply_next()
            self.role = messages.Role.PRIMARY
            self.primary = self.name
            start = messages.TermStart(term=self.term, first=self.position + 1)
            self.history = (*self.history, start)
            # The empty entry lets a majority hold an entry of this term. A
            # majority that holds only entries of older terms does not keep them
            # from a log with an entry of a term in between.
            self._append_entry((), "", now)
        granted = mine and self.role is messages.Role.PRIMARY
        return messages.ControlAnswer(granted=granted, status=self.report_status(now))

    def follow(self, order: messages.Follow, now: float) -> messages.ControlAnswer:
        """Replicate from the primary of a term that is not older than known."""
        reigning = self.role is messages.Role.PRIMARY and self.term == order.term
        granted = order.term >= self.term and not reigning
        if granted:
            if order.term > self.term:
                self.promoter = ""
            self.term = order.term
            self.role = messages.Role.REPLICA
            self.primary = order.primary
        return messages.ControlAnswer(granted=granted, status=self.report_status(now))

    def request_fetch(self, now: float) -> FetchRequest | None:
        """Return the next fetch for the primary, None if it does not follow one."""
        if self.role is not messages.Role.REPLICA:
            return None
        return FetchRequest(
            follower=self.name,
            term=self.term,
            position=self.position,
            history=self.history,
        )

    def serve_fetch(self, request: FetchRequest, now: float) -> FetchAnswer | None:
        """Answer a replica's fetch, None if this is not the primary of its term."""
        if self.role is not messages.Role.PRIMARY or request.term > self.term:
            return None
        common = _find_common(
            self.history, self.position, request.history, request.position
        )
        end = min(self.position, common + self.fetch_limit)
        return FetchAnswer(
            term=self.term,
            common=common,
            entries=tuple(self.log[common:end]),
            history=self.history,
            position=self.position,
        )

    def receive_fetch(
        self, answer: FetchAnswer | None, sent_at: float, now: float
    ) -> None:
        """Store fetched entries.

        Parameters
        ----------
        answer : FetchAnswer or None
            The primary's answer.
        sent_at : float
            Time at which the fetch was sent. The age of the data counts from
            it, so that a slow network cannot make data look newer.
        """
        if answer is None or self.role is not messages.Role.REPLICA:
            return
        if answer.term != self.term:
            return
        end = positions.locate(self.history, self.position)
        if positions.is_discarded(answer.history, end):
            self._truncate(
                _find_common(
                    answer.history, answer.position, self.history, self.position
                )
            )
        if answer.common > self.position:
            return
        self._heard_at = max(self._heard_at, sent_at)
        missing = answer.common + len(answer.entries) - self.position
        if missing > 0:
            self.log.extend(answer.entries[-missing:])
            self._arrivals.extend([now] * missing)
        self.history = tuple(
            start for start in answer.history if start.first <= self.position + 1
        )
        self._markers.append(_Marker(position=answer.position, sent_at=sent_at))
        self.advance(now)

    def read_value(self, key: str) -> str | None:
        """Return the visible value of a key."""
        values = self._data.get(key)
        return None if values is None else ",".join(values)

    def _truncate(self, common: int) -> None:
        self.discarded += self.position - common
        del self.log[common:]
        del self._arrivals[common:]
        self._markers.clear()
        if self.applied > common:
            self.applied = 0
            self._data.clear()
            self._changed_at.clear()
            self._outcomes.clear()
            while self.applied < common:
                self._apply_next()

    def _apply_next(self) -> None:
        entry = self.log[self.applied]
        self.applied += 1
        for change in entry.changes:
            if change.append:
                self._data.setdefault(change.key, []).append(change.value)
            else:
                self._data[change.key] = [change.value]
            self._changed_at[change.key] = self.applied
        if entry.idempotency_key:
            self._outcomes[entry.idempotency_key] = self.applied

    def _read(
        self, connection: str, request: messages.EndpointRequest, now: float
    ) -> messages.EndpointAnswer:
        transaction = self.connections.get(connection)
        value = self.read_value(request.key)
        if transaction is not None:
            transaction.keys.add(request.key)
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
        transaction.keys.add(request.key)
        return self._answer(now)

    def _commit(
        self, connection: str, request: messages.EndpointRequest, now: float
    ) -> messages.EndpointAnswer:
        transaction = self.connections.get(connection)
        if transaction is None:
            return self._refuse(messages.EndpointError.NO_TRANSACTION, now)
        self.connections[connection] = None
        changed = any(
            self._changed_at.get(key, 0) > transaction.began_at
            for key in transaction.keys
        )
        if changed and request.idempotency_key not in self._outcomes:
            return self._refuse(messages.EndpointError.CONFLICT, now)
        return self._append_entry(
            tuple(transaction.changes), request.idempotency_key, now
        )

    def _append_entry(
        self, changes: tuple[Change, ...], idempotency_key: str, now: float
    ) -> messages.EndpointAnswer:
        index = self._outcomes.get(idempotency_key) if idempotency_key else None
        if index is None:
            entry = LogEntry(
                term=self.term, changes=changes, idempotency_key=idempotency_key
            )
            self.log.append(entry)
            self._arrivals.append(now)
            self._apply_next()
            index = self.position
        return messages.EndpointAnswer(
            status=self.report_status(now),
            written=positions.locate(self.history, index),
        )

    def _end(self, connection: str, now: float) -> messages.EndpointAnswer:
        self.connections[connection] = None
        return self._answer(now)

    def _answer(self, now: float) -> messages.EndpointAnswer:
        return messages.EndpointAnswer(status=self.report_status(now))

    def _refuse(
        self, error: messages.EndpointError, now: float
    ) -> messages.EndpointAnswer:
        return messages.EndpointAnswer(status=self.report_status(now), error=error)


def _find_common(
    ours: tuple[messages.TermStart, ...],
    our_end: int,
    theirs: tuple[messages.TermStart, ...],
    their_end: int,
) -> int:
    """Return the last index up to which two logs hold the same entries."""
    for start in reversed(theirs):
        if start.first > their_end:
            continue
        our_last = positions.find_end(ours, start.term, our_end)
        if our_last is None or our_last < start.first:
            continue
        their_last = positions.find_end(theirs, start.term, their_end)
        return min(our_last, their_last, our_end, their_end)
    return 0
