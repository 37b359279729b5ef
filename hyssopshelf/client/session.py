"""Session of a client that stays consistent when it changes the proxy."""

import asyncio
import itertools
import random
import time

import tornado.httpclient
import tornado.iostream
import tornado.websocket

from hyssopshelf import exceptions, messages

CONNECT_TIMEOUT_SECONDS = 1.0
"""Timeout of a connection to a proxy, in seconds."""

ANSWER_MARGIN_SECONDS = 0.5
"""Time to wait after the deadline for the answer of the proxy, in seconds."""

INITIAL_BACKOFF_SECONDS = 0.02
"""Delay before the first retry, in seconds; it doubles with each further retry."""

MAXIMUM_BACKOFF_SECONDS = 0.5
"""Longest delay between two attempts, in seconds."""

RETRY_BUDGET_PER_REQUEST = 0.1
"""Retries that each request adds to the session's retry budget."""

RETRY_BUDGET = 10.0
"""Size of a session's retry budget, in retries; it is full at the start."""

_REQUEST_NUMBERS = itertools.count(1)


class Session:
    """A session of one customer (partner) with a database.

    A session reads its own writes through any proxy, because each request carries
    a token of what the session has written and read. Requests outside transactions
    are retried if they are known not to have run, or if they are idempotent: reads,
    and writes with an idempotency key. A retry budget bounds the added load.

    Parameters
    ----------
    proxies : tuple of str
        ``IP:port`` of the proxies.
    pool, database, partner : str
        Pool and database that the session uses, and the customer it acts for.
    timeout_seconds : float
        Default timeout of a request.
    seed : int or None
        Seed of the choice of proxies and of the retry jitter; None for a random
        one.
    """

    def __init__(
        self,
        *,
        proxies: tuple[str, ...],
        pool: str,
        database: str,
        partner: str,
        timeout_seconds: float = 5.0,
        seed: int | None = None,
    ) -> None:
        self.proxies = proxies
        self.pool = pool
        self.database = database
        self.partner = partner
        self.timeout_seconds = timeout_seconds
        self.token = ""
        self._random = random.Random(seed)
        self._retry_budget = RETRY_BUDGET
        self._connection: _ProxyConnection | None = None

    async def get(
        self,
        key: str,
        *,
        kind: str,
        consistency: messages.Consistency = messages.Consistency.SESSION,
        transaction: str = "",
        timeout_seconds: float | None = None,
    ) -> messages.Answer:
        """Read a key.

        Raises
        ------
        AnswerError
            With the kind of the error.
        """
        return await self._request(
            messages.Operation.GET,
            timeout_seconds,
            key=key,
            kind=kind,
            consistency=consistency,
            transaction=transaction,
        )

    async def put(self, key: str, value: str, *, kind: str, **options):
        """Set a key to a value; the parameters are those of ``append``."""
        return await self._write(messages.Operation.PUT, key, value, kind, **options)

    async def append(self, key: str, value: str, *, kind: str, **options):
        """Append a value to the list of a key.

        Parameters
        ----------
        key, value, kind : str
            Key, value and the kind of work, which determines the rank.
        transaction : str
            Id of an open transaction, empty if none.
        idempotency_key : str
            Makes the write repeatable: a repetition returns the outcome of the
            first execution.
        timeout_seconds : float
            Timeout of the request; None takes that of the session.

        Raises
        ------
        AnswerError
            With the kind of the error. Its disposition tells whether the write
            did not run or its outcome is unknown.
        """
        return await self._write(messages.Operation.APPEND, key, value, kind, **options)

    async def begin(self, *, kind: str, timeout_seconds: float | None = None) -> str:
        """Open a transaction and return its id."""
        answer = await self._request(
            messages.Operation.BEGIN, timeout_seconds, kind=kind
        )
        return answer.transaction

    async def commit(
        self,
        transaction: str,
        *,
        kind: str,
        idempotency_key: str = "",
        timeout_seconds: float | None = None,
    ) -> messages.Answer:
        """Commit a transaction.

        Raises
        ------
        AnswerError
            With the kind of the error. Its disposition tells whether the commit
            did not run or its outcome is unknown.
        """
        return await self._request(
            messages.Operation.COMMIT,
            timeout_seconds,
            kind=kind,
            transaction=transaction,
            idempotency_key=idempotency_key,
        )

    async def rollback(
        self, transaction: str, *, kind: str, timeout_seconds: float | None = None
    ) -> messages.Answer:
        """Roll back a transaction."""
        return await self._request(
            messages.Operation.ROLLBACK,
            timeout_seconds,
            kind=kind,
            transaction=transaction,
        )

    async def roam(self, proxy: str | None = None) -> None:
        """Disconnect and connect to the given proxy, or at the next request to any."""
        await self._disconnect()
        if proxy is not None:
            self._connection = await _connect(proxy)

    async def close(self) -> None:
        """Close the connection to the proxy."""
        await self._disconnect()

    async def _write(
        self,
        operation: messages.Operation,
        key: str,
        value: str,
        kind: str,
        *,
        transaction: str = "",
        idempotency_key: str = "",
        timeout_seconds: float | None = None,
    ) -> messages.Answer:
        return await self._request(
            operation,
            timeout_seconds,
            key=key,
            value=value,
            kind=kind,
            transaction=transaction,
            idempotency_key=idempotency_key,
        )

    async def _request(
        self, operation: messages.Operation, timeout_seconds: float | None, **fields
    ) -> messages.Answer:
        deadline = time.monotonic() + (timeout_seconds or self.timeout_seconds)
        self._retry_budget = min(
            RETRY_BUDGET, self._retry_budget + RETRY_BUDGET_PER_REQUEST
        )
        backoff = INITIAL_BACKOFF_SECONDS
        while True:
            try:
                return await self._attempt(operation, deadline, fields)
            except exceptions.AnswerError as error:
                delay = max(error.retry_after_seconds, backoff)
                if not self._may_retry(operation, fields, error, deadline, delay):
                    raise
            self._retry_budget -= 1
            await asyncio.sleep(delay * self._random.uniform(0.5, 1.0))
            backoff = min(2 * backoff, MAXIMUM_BACKOFF_SECONDS)

    def _may_retry(self, operation, fields, error, deadline, delay) -> bool:
        if self._retry_budget < 1 or time.monotonic() + delay >= deadline:
            return False
        if fields.get("transaction"):
            return False
        if error.disposition.repeatable:
            return True
        idempotent = operation is messages.Operation.GET or fields.get(
            "idempotency_key"
        )
        return bool(idempotent) and error.kind is exceptions.ErrorKind.OUTCOME_UNKNOWN

    async def _attempt(
        self, operation, deadline: float, fields: dict
    ) -> messages.Answer:
        connection = await self._get_connection()
        statement = messages.Statement(
            id=f"r{next(_REQUEST_NUMBERS)}",
            pool=self.pool,
            database=self.database,
            partner=self.partner,
            operation=operation,
            token=self.token,
            remaining_seconds=max(0.001, deadline - time.monotonic()),
            **fields,
        )
        try:
            timeout = deadline - time.monotonic() + ANSWER_MARGIN_SECONDS
            answer = await asyncio.wait_for(connection.exchange(statement), timeout)
        except (TimeoutError, OSError) as error:
            self._replace_connection(connection)
            raise exceptions.AnswerError(
                exceptions.ErrorKind.OUTCOME_UNKNOWN,
                f"no answer from the proxy: {error!r}",
            ) from error
        if answer.error is not None:
            if answer.error is exceptions.ErrorKind.UNAVAILABLE:
                self._replace_connection(connection)
            raise exceptions.AnswerError(
                answer.error, answer.message, answer.retry_after_seconds
            )
        self.token = answer.token
        return answer

    async def _get_connection(self) -> "_ProxyConnection":
        if self._connection is not None and self._connection.is_open:
            return self._connection
        candidates = list(self.proxies)
        self._random.shuffle(candidates)
        for proxy in candidates:
            try:
                self._connection = await _connect(proxy)
            except _CONNECT_ERRORS:
                continue
            return self._connection
        raise exceptions.AnswerError(
            exceptions.ErrorKind.UNAVAILABLE, "no proxy is reachable"
        )

    def _replace_connection(self, connection: "_ProxyConnection") -> None:
        """Use another connection from now on; the old one closes after its answers."""
        if self._connection is connection:
            self._connection = None
        connection.retire()

    async def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


class _ProxyConnection:
    """A websocket to one proxy; answers are matched to requests by id."""

    def __init__(self, *, proxy: str, socket) -> None:
        self.proxy = proxy
        self._socket = socket
        self._pending_answers: dict[str, asyncio.Future] = {}
        self._retired = False
        self._reader = asyncio.ensure_future(self._read())

    @property
    def is_open(self) -> bool:
        return self._socket is not None

    async def exchange(self, statement: messages.Statement) -> messages.Answer:
        future = asyncio.get_running_loop().create_future()
        self._pending_answers[statement.id] = future
        try:
            data = messages.to_json(statement).decode()
            try:
                written = self._socket.write_message(data)
            except tornado.websocket.WebSocketClosedError as error:
                raise exceptions.AnswerError(
                    exceptions.ErrorKind.NOT_RUN,
                    "the connection closed before the request was sent",
                ) from error
            try:
                await written
            except tornado.websocket.WebSocketClosedError as error:
                raise ConnectionError("connection to the proxy closed") from error
            return await future
        finally:
            self._pending_answers.pop(statement.id, None)
            if self._retired and not self._pending_answers:
                self.close()

    def retire(self) -> None:
        """Close the connection as soon as no request waits for its answer."""
        self._retired = True
        if not self._pending_answers:
            self.close()

    def close(self) -> None:
        socket, self._socket = self._socket, None
        if socket is not None:
            socket.close()

    async def _read(self) -> None:
        socket = self._socket
        while (data := await socket.read_message()) is not None:
            answer = messages.from_json(data, messages.Answer)
            future = self._pending_answers.get(answer.id)
            if future is not None and not future.done():
                future.set_result(answer)
        self.close()
        for future in self._pending_answers.values():
            if not future.done():
                future.set_exception(self._make_error(socket.close_code))

    def _make_error(self, close_code: int | None) -> Exception:
        """Return the error of requests whose connection closed with a code."""
        if close_code == messages.STOPPING_CLOSE_CODE:
            return exceptions.AnswerError(
                exceptions.ErrorKind.NOT_RUN,
                f"the proxy {self.proxy} stopped before it read the request",
            )
        return ConnectionError("connection to the proxy closed")


async def _connect(proxy: str) -> _ProxyConnection:
    request = tornado.httpclient.HTTPRequest(
        f"ws://{proxy}/v1/session", connect_timeout=CONNECT_TIMEOUT_SECONDS
    )
    socket = await tornado.websocket.websocket_connect(request)
    return _ProxyConnection(proxy=proxy, socket=socket)


_CONNECT_ERRORS = (
    OSError,
    TimeoutError,
    tornado.httpclient.HTTPError,
    tornado.websocket.WebSocketError,
    tornado.iostream.StreamClosedError,
)
