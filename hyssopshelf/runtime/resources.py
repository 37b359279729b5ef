"""HTTP handlers of the resource API.

The handlers parse HTTP requests into the types of ``configuration.requests`` and pass
them to a callable ``submit(request) -> awaitable answer``, so that they depend neither
on the engine nor on the core.
"""

import asyncio
import collections
from collections.abc import Awaitable, Callable

import tornado.iostream
import tornado.web

from hyssopshelf import exceptions
from hyssopshelf.configuration import declarations, documents, requests, resources
from hyssopshelf.runtime import closing

DEFAULT_TIME_LIMIT_SECONDS = 5.0
"""Default time limit of a request, in seconds."""

MAXIMUM_TIME_LIMIT_SECONDS = 60.0

MAXIMUM_CHANGE_ID_CHARACTERS = 64

Submit = Callable[[requests.ApiRequest], Awaitable[requests.ApiAnswer]]


def make_body(answer: requests.ApiAnswer) -> dict:
    """Return the JSON body of an answer."""
    if answer.error is None:
        return answer.body
    return answer.body | {"error": answer.error.value, "message": answer.message}


def get_http_status(answer: requests.ApiAnswer) -> int:
    """Return the HTTP status of an answer."""
    if answer.error is None:
        return 200
    return exceptions.DISPOSITIONS[answer.error].http_status


class ResourceBaseHandler(tornado.web.RequestHandler):
    """Parses parameters and bodies and writes answers, for all handlers of the API."""

    def initialize(self, submit: Submit) -> None:
        """Store the callable that passes requests to the node."""
        self.submit = submit

    def write_error(self, status_code: int, **kwargs) -> None:
        """Write an error as JSON; a validation error names its field and rule."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, exceptions.ValidationError):
            answer = requests.ApiAnswer(
                error=exceptions.ErrorKind.BAD_REQUEST,
                message=str(error),
                body={"field": error.field, "rule": error.rule},
            )
            self.answer(answer)
            return
        known = {404: exceptions.ErrorKind.NOT_FOUND}
        kind = exceptions.ErrorKind.INTERNAL
        if status_code < 500:
            kind = known.get(status_code, exceptions.ErrorKind.BAD_REQUEST)
        self.finish({"error": kind.value, "message": self._reason})

    def log_exception(self, typ, value, tb) -> None:
        """Log an exception, except validation errors, which only go to the client."""
        if not isinstance(value, exceptions.ValidationError):
            super().log_exception(typ, value, tb)

    def answer(self, answer: requests.ApiAnswer) -> asyncio.Future:
        """Write an answer and its HTTP status; return a future of the write."""
        self.set_status(get_http_status(answer))
        return self.finish(make_body(answer))

    async def submit_request(self, request: requests.ApiRequest) -> None:
        """Pass a request to the node and write its answer."""
        written = self.answer(await self.submit(request))
        try:
            await written
        except tornado.iostream.StreamClosedError as error:
            closing.log_unread_answer(error)

    def read_time_limit(self) -> float:
        """Return the time limit of the request, in seconds.

        Raises
        ------
        ValidationError
            If it is not a number, not positive or above the maximum.
        """
        text = self.get_query_argument("seconds", str(DEFAULT_TIME_LIMIT_SECONDS))
        try:
            seconds = float(text)
        except ValueError:
            seconds = 0.0
        if not 0 < seconds <= MAXIMUM_TIME_LIMIT_SECONDS:
            raise exceptions.ValidationError(
                "seconds",
                f"must be more than 0 and at most {MAXIMUM_TIME_LIMIT_SECONDS:g}",
            )
        return seconds

    def read_integer(self, name: str) -> int:
        """Return a whole number of the query, 0 if it is not given.

        Raises
        ------
        ValidationError
            If it has other characters than digits.
        """
        text = self.get_query_argument(name, "0")
        if not text.isdecimal():
            raise exceptions.ValidationError(name, "must be a whole number, 0 or more")
        return int(text)

    def read_change_id(self, value: object) -> str:
        """Return a change id after checking its type and length.

        Raises
        ------
        ValidationError
            If it is not a string, empty or too long.
        """
        declarations.check_string(value, "changeId")
        if not 0 < len(value) <= MAXIMUM_CHANGE_ID_CHARACTERS:
            raise exceptions.ValidationError(
                "changeId", f"must have 1 to {MAXIMUM_CHANGE_ID_CHARACTERS} characters"
            )
        return value

    def read_body(self, allowed: set[str], required: set[str]) -> dict:
        """Return the JSON body, a mapping without unknown or missing fields.

        Raises
        ------
        ValidationError
            If the body is too long, is malformed or has other fields.
        """
        if len(self.request.body) > declarations.MAXIMUM_TEXT_BYTES:
            raise exceptions.ValidationError(
                "body", f"exceeds {declarations.MAXIMUM_TEXT_BYTES} bytes"
            )
        try:
            text = self.request.body.decode()
        except UnicodeDecodeError as error:
            raise exceptions.ValidationError("body", "is not UTF-8") from error
        body = declarations.parse_json(text)
        declarations.check_fields(body, allowed, required, "body")
        return body


def parse_kind(text: str) -> resources.ResourceKind:
    """Return the resource kind with a name; letter case is ignored.

    Raises
    ------
    ValidationError
        If no kind has the name.
    """
    for kind in resources.ResourceKind:
        if kind.value.lower() == text.lower():
            return kind
    known = ", ".join(kind.value for kind in resources.ResourceKind)
    raise exceptions.ValidationError("kind", f"must be one of {known}, not {text!r}")


def group_by_pool(
    declared: tuple[resources.Resource, ...],
) -> dict[str, tuple[resources.Resource, ...]]:
    """Return declared resources by pool; each pool is changed on its own."""
    groups = collections.defaultdict(list)
    for item in declared:
        groups[item.pool].append(item)
    return {pool: tuple(items) for pool, items in groups.items()}


class PoolHandler(ResourceBaseHandler):
    """Reads or deletes a pool, or lists the versions of all pools."""

    async def get(self, pool: str = "") -> None:
        """Write the resources of a pool, or the versions of all pools."""
        kind = self.get_query_argument("kind", "")
        await self.submit_request(
            requests.List(pool=pool, kind=parse_kind(kind) if kind else None)
        )

    async def delete(self, pool: str = "") -> None:
        """Delete a whole pool."""
        await self.submit_request(
            requests.Delete(
                pool=pool,
                change_id=self.read_change_id(self.get_query_argument("changeId", "")),
                base_version=self.read_integer("baseVersion"),
                remaining_seconds=self.read_time_limit(),
            )
        )


class ResourceHandler(ResourceBaseHandler):
    """Reads, replaces or deletes one resource."""

    async def get(self, pool: str, kind: str, name: str) -> None:
        """Write the resource."""
        await self.submit_request(
            requests.Get(pool=pool, kind=parse_kind(kind), name=name)
        )

    async def post(self, pool: str, kind: str, name: str) -> None:
        """Create or replace the resource."""
        fields = {"kind", "metadata", "spec"}
        body = self.read_body(fields | {"status"}, fields)
        resource = declarations.parse_resource(body)
        if (resource.pool, resource.kind, resource.name) != (
            pool,
            parse_kind(kind),
            name,
        ):
            raise exceptions.ValidationError(
                "metadata", "pool, kind and name must match the path"
            )
        await self.submit_request(
            requests.Apply(
                pool=pool,
                change_id=self.read_change_id(self.get_query_argument("changeId", "")),
                resources=(resource,),
                base_version=self.read_integer("baseVersion"),
                remaining_seconds=self.read_time_limit(),
            )
        )

    async def delete(self, pool: str, kind: str, name: str) -> None:
        """Delete the resource."""
        reference = documents.Reference(
            kind=parse_kind(kind),
            name=name,
            resource_version=self.read_integer("resourceVersion"),
        )
        await self.submit_request(
            requests.Delete(
                pool=pool,
                change_id=self.read_change_id(self.get_query_argument("changeId", "")),
                references=(reference,),
                base_version=self.read_integer("baseVersion"),
                remaining_seconds=self.read_time_limit(),
            )
        )


class MultiplePoolsHandler(ResourceBaseHandler):
    """Submits one request for each pool that the body names."""

    async def submit_all(self, all_requests: list[requests.ApiRequest]) -> None:
        """Submit the requests in order and write all results.

        Pools are changed independently of each other, so each has its own result.
        The HTTP status is that of the first error.
        """
        answers = [await self.submit(request) for request in all_requests]
        failed = [answer for answer in answers if answer.error is not None]
        self.set_status(get_http_status(failed[0]) if failed else 200)
        results = [
            {"pool": request.pool} | make_body(answer)
            for request, answer in zip(all_requests, answers, strict=True)
        ]
        self.finish({"results": results})


class ApplyHandler(MultiplePoolsHandler):
    """Creates or replaces resources."""

    async def post(self) -> None:
        """Apply the resources of each pool as one change."""
        body = self.read_body(
            {"changeId", "resources", "baseVersion"}, {"changeId", "resources"}
        )
        change_id = self.read_change_id(body["changeId"])
        base_version = body.get("baseVersion", 0)
        if type(base_version) is not int or base_version < 0:
            raise exceptions.ValidationError("baseVersion", "must be a whole number")
        groups = group_by_pool(declarations.parse_resources([body["resources"]]))
        if base_version and len(groups) > 1:
            raise exceptions.ValidationError(
                "baseVersion", "is allowed only if all resources are of one pool"
            )
        seconds = self.read_time_limit()
        await self.submit_all(
            [
                requests.Apply(
                    pool=pool,
                    change_id=change_id,
                    resources=items,
                    base_version=base_version,
                    remaining_seconds=seconds,
                )
                for pool, items in groups.items()
            ]
        )


class DiffHandler(MultiplePoolsHandler):
    """Compares declared resources with the configuration in force."""

    async def post(self) -> None:
        """Write the differences of each pool."""
        body = self.read_body({"resources"}, {"resources"})
        groups = group_by_pool(declarations.parse_resources([body["resources"]]))
        await self.submit_all(
            [
                requests.Diff(pool=pool, resources=items)
                for pool, items in groups.items()
            ]
        )


class WatchHandler(ResourceBaseHandler):
    """Waits for a new version of a pool's configuration."""

    async def get(self) -> None:
        """Answer once a version above ``afterVersion`` is in force at this node."""
        await self.submit_request(
            requests.Watch(
                pool=self.get_query_argument("pool"),
                after_version=self.read_integer("afterVersion"),
                remaining_seconds=self.read_time_limit(),
            )
        )


class StatusHandler(ResourceBaseHandler):
    """Reports on how many nodes a version is in force."""

    async def get(self) -> None:
        """Query all nodes and write their counts."""
        await self.submit_request(
            requests.Status(
                pool=self.get_query_argument("pool"),
                version=self.read_integer("version"),
                remaining_seconds=self.read_time_limit(),
            )
        )


class BillHandler(ResourceBaseHandler):
    """Reports the slot time that a pool has used."""

    async def get(self) -> None:
        """Write the bill of a pool."""
        await self.submit_request(requests.Bill(pool=self.get_query_argument("pool")))


class DrainHandler(ResourceBaseHandler):
    """Stops the node gracefully."""

    async def post(self) -> None:
        """Start draining; the process exits when idle or at the drain deadline."""
        await self.submit_request(requests.Drain())


def make_handlers(submit: Submit) -> list[tuple]:
    """Return the routes of the resource API."""
    arguments = {"submit": submit}
    return [
        (r"/v1/resources", PoolHandler, arguments),
        (r"/v1/resources/([^/]+)", PoolHandler, arguments),
        (r"/v1/resources/([^/]+)/([^/]+)/([^/]+)", ResourceHandler, arguments),
        (r"/v1/apply", ApplyHandler, arguments),
        (r"/v1/diff", DiffHandler, arguments),
        (r"/v1/watch", WatchHandler, arguments),
        (r"/v1/status", StatusHandler, arguments),
        (r"/v1/bill", BillHandler, arguments),
        (r"/v1/drain", DrainHandler, arguments),
    ]
