"""A caller's session: carries the token and roams between proxies."""

import asyncio
import itertools
import random
import time

import tornado.httpclient
import tornado.iostream
import tornado.websocket

from hyssopshelf import exceptions, messages

CONNECT_TIMEOUT_SECONDS = 1.0
"""Longest time to connect to a proxy, in seconds."""

ANSWER_MARGIN_SECONDS = 0.5
"""Time beyond the deadline for which the proxy's own answer is awaited."""

FIRST_PAUSE_SECONDS = 0.02
"""Pause before the first retry; it doubles with each further one."""

MAXIMUM_PAUSE_SECONDS = 0.5
"""Longest pause between two tries, in seconds."""

RETRIES_PER_REQUEST = 0.1
"""Retries that each request earns for the session's budget."""

MAXIMUM_RETRIES = 10.0
"""Largest number of retries that the budget holds."""

_IDS = itertools.count(1)


class Session:
    """A session of one partner with a database.

    A session reads its own writes on any proxy, because it gives each proxy the
    token of what it has written and seen. It retries only what is known not to
    have run, or what is idempotent: reads, and writes with an idempotency key.

    Parameters
    ----------
    proxies : tuple of str
        ``IP:port`` of the proxies.
    pool, database, partner : str
        What the session works on and on whose behalf.
    timeout_seconds : float
        Time that a request has when it gives no other.
    seed : int or None
        Seed of the choice of proxies; None takes a random one.
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
        self._retries = MAXIMUM_RETRIES
        self._link: _Link | None = None

    async def get(
        self,
        key: str,
        *,
        kind: str,
        consistency: messages.Consistency = messages.Consistency.SESSION,
        transaction: str = "",
        timeout_seconds: float | None = None,
    ) -> messages.Answer:
        """Read a key."""
        return await self._request(
            messages.Operation.GET,
            timeout_seconds,
            key=key,
            kind=kind,
            consistency=consistency,
            transaction=transaction,
        )

    async def put(self, key: str, value: str, *, kind: str, **options):
        """Set a key; options as in ``append``."""
        return await self._write(messages.Operation.PUT, key, value, kind, **options)

    async def append(self, key: str, value: str, *, kind: str, **options):
        """Add a value to a key.

        Parameters
        ----------
        key, value, kind : str
            What to write and the kind of work.
        transaction : str
            Id of an open transaction.
        idempotency_key : str
            With it the write may be repeated: a repeat returns the first
            outcome.
        timeout_seconds : float
            Time that the request has.

        Raises
        ------
        AnswerError
            With the kind of the error. Only kinds whose disposition says so
            mean that the write did not run.
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
        """Commit a transaction."""
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
        """Change to another proxy, or to the given one."""
        await self._disconnect()
        if proxy is not None:
            self._link = await _connect(proxy)

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
        self._retries = min(MAXIMUM_RETRIES, self._retries + RETRIES_PER_REQUEST)
        pause = FIRST_PAUSE_SECONDS
        while True:
            try:
                return await self._try(operation, deadline, fields)
            except exceptions.AnswerError as error:
                delay = max(error.retry_after_seconds, pause)
                if not self._may_retry(operation, fields, error, deadline, delay):
                    raise
            self._retries -= 1
            await asyncio.sleep(delay * self._random.uniform(0.5, 1.0))
            pause = min(2 * pause, MAXIMUM_PAUSE_SECONDS)

    def _may_retry(self, operation, fields, error, deadline, delay) -> bool:
        if self._retries < 1 or time.monotonic() + delay >= deadline:
            return False
        if fields.get("transaction"):
            return False
        if error.disposition.repeatable:
            return True
        idempotent = operation is messages.Operation.GET or fields.get(
            "idempotency_key"
        )
        return bool(idempotent) and error.kind is exceptions.ErrorKind.OUTCOME_UNKNOWN

    async def _try(self, operation, deadline: float, fields: dict) -> messages.Answer:
        link = await self._connect_any()
        statement = messages.Statement(
            id=f"r{next(_IDS)}",
            pool=self.pool,
            database=self.database,
            partner=self.partner,
            operation=operation,
            token=self.token,
            remaining_seconds=max(0.001, deadline - time.monotonic()),
            **fields,
        )
        try:
            limit = deadline - time.monotonic() + ANSWER_MARGIN_SECONDS
            answer = await asyncio.wait_for(link.exchange(statement), limit)
        except (TimeoutError, OSError) as error:
            await self._disconnect()
            raise exceptions.AnswerError(
                exceptions.ErrorKind.OUTCOME_UNKNOWN, f"no answer: {error!r}"
            ) from error
        if answer.error is not None:
            if answer.error is exceptions.ErrorKind.UNAVAILABLE:
                await self._disconnect()
            raise exceptions.AnswerError(
                answer.error, answer.message, answer.retry_after_seconds
            )
        self.token = answer.token
        return answer

    async def _connect_any(self) -> "_Link":
        if self._link is not None and self._link.is_open:
            return self._link
        order = list(self.proxies)
        self._random.shuffle(order)
        for proxy in order:
            try:
                self._link = await _connect(proxy)
            except _CONNECT_ERRORS:
                continue
            return self._link
        raise exceptions.AnswerError(
            exceptions.ErrorKind.UNAVAILABLE, "no proxy can be reached"
        )

    async def _disconnect(self) -> None:
        if self._link is not None:
            self._link.close()
            self._link = None


class _Link:
    """A websocket to one proxy with answers matched by id."""

    def __init__(self, *, proxy: str, socket) -> None:
        self.proxy = proxy
        self._socket = socket
        self._waiting: dict[str, asyncio.Future] = {}
        self._reader = asyncio.ensure_future(self._read())

    @property
    def is_open(self) -> bool:
        return self._socket is not None

    async def exchange(self, statement: messages.Statement) -> messages.Answer:
        future = asyncio.get_running_loop().create_future()
        self._waiting[statement.id] = future
        try:
            data = messages.to_json(statement).decode()
            try:
                await self._socket.write_message(data)
            except tornado.websocket.WebSocketClosedError as error:
                raise ConnectionError("connection to the proxy closed") from error
            return await future
        finally:
            self._waiting.pop(statement.id, None)

    def close(self) -> None:
        socket, self._socket = self._socket, None
        if socket is not None:
            socket.close()

    async def _read(self) -> None:
        socket = self._socket
        while (data := await socket.read_message()) is not None:
            answer = messages.from_json(data, messages.Answer)
            future = self._waiting.get(answer.id)
            if future is not None and not future.done():
                future.set_result(answer)
        self.close()
        for future in self._waiting.values():
            if not future.done():
                future.set_exception(ConnectionError("connection to the proxy closed"))


async def _connect(proxy: str) -> _Link:
    request = tornado.httpclient.HTTPRequest(
        f"ws://{proxy}/v1/session", connect_timeout=CONNECT_TIMEOUT_SECONDS
    )
    socket = await tornado.websocket.websocket_connect(request)
    return _Link(proxy=proxy, socket=socket)


_CONNECT_ERRORS = (
    OSError,
    TimeoutError,
    tornado.httpclient.HTTPError,
    tornado.websocket.WebSocketError,
    tornado.iostream.StreamClosedError,
)
