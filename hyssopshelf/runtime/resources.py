"""HTTP handlers of the resource API.

The handlers turn HTTP requests into the typed requests of
``configuration.requests`` and pass them to a callable
``submit(request) -> awaitable answer``.
"""

import collections
from collections.abc import Awaitable, Callable

import tornado.web

from hyssopshelf import exceptions
from hyssopshelf.configuration import declarations, documents, requests, resources

DEFAULT_SECONDS = 5.0
"""Time for a request that does not name one."""

MAXIMUM_SECONDS = 60.0

MAXIMUM_CHANGE_ID_CHARACTERS = 64

Submit = Callable[[requests.ApiRequest], Awaitable[requests.ApiAnswer]]


def describe_answer(answer: requests.ApiAnswer) -> dict:
    """Return the JSON body of an answer."""
    if answer.error is None:
        return answer.body
    return answer.body | {"error": answer.error.value, "message": answer.message}


def find_status(answer: requests.ApiAnswer) -> int:
    """Return the HTTP status of an answer."""
    if answer.error is None:
        return 200
    return exceptions.DISPOSITIONS[answer.error].http_status


class ResourceBaseHandler(tornado.web.RequestHandler):
    """Common parts of the handlers."""

    def initialize(self, submit: Submit) -> None:
        """Store the callable that passes requests to the node."""
        self.submit = submit

    def write_error(self, status_code: int, **kwargs) -> None:
        """Answer errors as JSON; a validation error names its field."""
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
        """Leave validation errors out of the log; they are answers."""
        if not isinstance(value, exceptions.ValidationError):
            super().log_exception(typ, value, tb)

    def answer(self, answer: requests.ApiAnswer) -> None:
        """Send an answer."""
        self.set_status(find_status(answer))
        self.finish(describe_answer(answer))

    async def pass_on(self, request: requests.ApiRequest) -> None:
        """Pass a request to the node and send its answer."""
        self.answer(await self.submit(request))

    def read_seconds(self) -> float:
        """Return the time that the caller gives."""
        text = self.get_query_argument("seconds", str(DEFAULT_SECONDS))
        try:
            seconds = float(text)
        except ValueError:
            seconds = 0.0
        if not 0 < seconds <= MAXIMUM_SECONDS:
            raise exceptions.ValidationError(
                "seconds", f"must be more than 0 and at most {MAXIMUM_SECONDS:g}"
            )
        return seconds

    def read_number(self, name: str) -> int:
        """Return a whole number of the query, 0 if it is not given."""
        text = self.get_query_argument(name, "0")
        if not text.isdecimal():
            raise exceptions.ValidationError(name, "must be a whole number, 0 or more")
        return int(text)

    def read_change_id(self, value: object) -> str:
        """Return a checked change id."""
        declarations.check_string(value, "changeId")
        if not 0 < len(value) <= MAXIMUM_CHANGE_ID_CHARACTERS:
            raise exceptions.ValidationError(
                "changeId", f"must have 1 to {MAXIMUM_CHANGE_ID_CHARACTERS} characters"
            )
        return value

    def read_body(self, allowed: set[str], required: set[str]) -> dict:
        """Return the JSON body, a mapping with known fields."""
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


def find_kind(text: str) -> resources.ResourceKind:
    """Return a kind by its name, in any case."""
    for kind in resources.ResourceKind:
        if kind.value.lower() == text.lower():
            return kind
    known = ", ".join(kind.value for kind in resources.ResourceKind)
    raise exceptions.ValidationError("kind", f"must be one of {known}, not {text!r}")


def group_by_pool(
    declared: tuple[resources.Resource, ...],
) -> dict[str, tuple[resources.Resource, ...]]:
    """Return declared resources by pool; each pool is one change."""
    groups = collections.defaultdict(list)
    for item in declared:
        groups[item.pool].append(item)
    return {pool: tuple(items) for pool, items in groups.items()}


class PoolHandler(ResourceBaseHandler):
    """All resources of a pool, or the list of pools."""

    async def get(self, pool: str = "") -> None:
        """Read the resources of a pool, or the versions of all pools."""
        kind = self.get_query_argument("kind", "")
        await self.pass_on(
            requests.List(pool=pool, kind=find_kind(kind) if kind else None)
        )

    async def delete(self, pool: str = "") -> None:
        """Delete a whole pool."""
        await self.pass_on(
            requests.Delete(
                pool=pool,
                change_id=self.read_change_id(self.get_query_argument("changeId", "")),
                base_version=self.read_number("baseVersion"),
                remaining_seconds=self.read_seconds(),
            )
        )


class ResourceHandler(ResourceBaseHandler):
    """One resource."""

    async def get(self, pool: str, kind: str, name: str) -> None:
        """Read the resource."""
        await self.pass_on(requests.Get(pool=pool, kind=find_kind(kind), name=name))

    async def post(self, pool: str, kind: str, name: str) -> None:
        """Create or replace the resource."""
        fields = {"kind", "metadata", "spec"}
        plain = self.read_body(fields | {"status"}, fields)
        resource = declarations.parse_resource(plain)
        if (resource.pool, resource.kind, resource.name) != (
            pool,
            find_kind(kind),
            name,
        ):
            raise exceptions.ValidationError("metadata", "differs from the path")
        await self.pass_on(
            requests.Apply(
                pool=pool,
                change_id=self.read_change_id(self.get_query_argument("changeId", "")),
                resources=(resource,),
                base_version=self.read_number("baseVersion"),
                remaining_seconds=self.read_seconds(),
            )
        )

    async def delete(self, pool: str, kind: str, name: str) -> None:
        """Delete the resource."""
        reference = documents.Reference(
            kind=find_kind(kind),
            name=name,
            resource_version=self.read_number("resourceVersion"),
        )
        await self.pass_on(
            requests.Delete(
                pool=pool,
                change_id=self.read_change_id(self.get_query_argument("changeId", "")),
                references=(reference,),
                base_version=self.read_number("baseVersion"),
                remaining_seconds=self.read_seconds(),
            )
        )


class ManyHandler(ResourceBaseHandler):
    """Requests about resources of one or several pools."""

    async def answer_all(self, all_requests: list[requests.ApiRequest]) -> None:
        """Pass on a request for each pool and answer with all results.

        The status is that of the first error; the results tell for each pool
        what happened, since pools are changed independently of each other.
        """
        answers = [await self.submit(request) for request in all_requests]
        failed = [answer for answer in answers if answer.error is not None]
        self.set_status(find_status(failed[0]) if failed else 200)
        results = [
            {"pool": request.pool} | describe_answer(answer)
            for request, answer in zip(all_requests, answers, strict=True)
        ]
        self.finish({"results": results})


class ApplyHandler(ManyHandler):
    """Creates or replaces resources."""

    async def post(self) -> None:
        """Apply the resources of each pool together."""
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
                "baseVersion", "is of one pool; the resources are of several"
            )
        seconds = self.read_seconds()
        await self.answer_all(
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


class DiffHandler(ManyHandler):
    """Compares declared resources with those in force."""

    async def post(self) -> None:
        """Answer the differences of each pool."""
        body = self.read_body({"resources"}, {"resources"})
        groups = group_by_pool(declarations.parse_resources([body["resources"]]))
        await self.answer_all(
            [
                requests.Diff(pool=pool, resources=items)
                for pool, items in groups.items()
            ]
        )


class WatchHandler(ResourceBaseHandler):
    """Waits for a new version."""

    async def get(self) -> None:
        """Answer when a version above ``afterVersion`` is in force here."""
        await self.pass_on(
            requests.Watch(
                pool=self.get_query_argument("pool"),
                after_version=self.read_number("afterVersion"),
                remaining_seconds=self.read_seconds(),
            )
        )


class StatusHandler(ResourceBaseHandler):
    """Tells on how many nodes a version is in force."""

    async def get(self) -> None:
        """Ask all nodes."""
        await self.pass_on(
            requests.Status(
                pool=self.get_query_argument("pool"),
                version=self.read_number("version"),
                remaining_seconds=self.read_seconds(),
            )
        )


class BillHandler(ResourceBaseHandler):
    """Tells the slot time that was used."""

    async def get(self) -> None:
        """Answer the account of a pool."""
        await self.pass_on(requests.Bill(pool=self.get_query_argument("pool")))


class DrainHandler(ResourceBaseHandler):
    """Stops the node gracefully."""

    async def post(self) -> None:
        """Start the drain."""
        await self.pass_on(requests.Drain())


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
