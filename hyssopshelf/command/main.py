"""The operators' command: ``hyssopshelf``.

Exit status: 0 done, 1 other error, 2 wrong arguments or a faulty declaration,
3 conflict, 4 outcome unknown, 5 no server reached or server not ready, 6 not
found, 7 differences found (diff) or version not in force everywhere (status).
"""

import argparse
import enum
import sys
import urllib.parse
import uuid
from collections.abc import Callable, Sequence

import configargparse

from hyssopshelf import exceptions
from hyssopshelf.command import client, tables
from hyssopshelf.configuration import declarations

WATCH_SECONDS = 30.0
"""Time that one call of watch waits at the server."""


FORMS = ("table", "json")
"""Forms of the output."""


class Exit(enum.IntEnum):
    """Exit status of the command."""

    DONE = 0
    ERROR = 1
    USAGE = 2
    CONFLICT = 3
    UNKNOWN = 4
    UNAVAILABLE = 5
    NOT_FOUND = 6
    DIFFERENT = 7


_EXITS = {
    exceptions.ErrorKind.BAD_REQUEST: Exit.USAGE,
    exceptions.ErrorKind.CONFLICT: Exit.CONFLICT,
    exceptions.ErrorKind.OUTCOME_UNKNOWN: Exit.UNKNOWN,
    exceptions.ErrorKind.UNAVAILABLE: Exit.UNAVAILABLE,
    exceptions.ErrorKind.REFUSED: Exit.UNAVAILABLE,
    exceptions.ErrorKind.NOT_FOUND: Exit.NOT_FOUND,
}

_HTTP_ERROR = 400


def make_parser() -> configargparse.ArgumentParser:
    """Return the parser of the command line and the environment."""
    parser = configargparse.ArgumentParser(
        prog="hyssopshelf", description="Declare and inspect resources."
    )
    parser.add_argument(
        "--server",
        env_var="HYSSOPSHELF_SERVER",
        required=True,
        help="address of a node, such as http://10.0.0.1:7000; several are "
        "separated by commas and tried in order",
    )
    parser.add_argument(
        "--seconds", type=float, default=5.0, help="time given to a request"
    )
    parser.add_argument("-o", "--output", choices=FORMS, default="table")
    commands = parser.add_subparsers(dest="command", required=True)

    def add(name: str, run: Callable, text: str) -> configargparse.ArgumentParser:
        command = commands.add_parser(name, help=text, description=text)
        command.set_defaults(run=run)
        # Accepted after the command's name too, without a default that would
        # replace the value given before it.
        command.add_argument("-o", "--output", choices=FORMS, default=argparse.SUPPRESS)
        return command

    def add_change_id(command: configargparse.ArgumentParser) -> None:
        command.add_argument(
            "--change-id",
            default="",
            help="name of the change, to repeat one whose outcome is unknown",
        )

    apply = add("apply", run_apply, "Create or replace resources.")
    apply.add_argument("-f", "--file", action="append", required=True)
    apply.add_argument(
        "--base-version",
        type=int,
        default=0,
        help="version of the pool that resources without resourceVersion build on",
    )
    add_change_id(apply)
    diff = add("diff", run_diff, "Compare declared resources with accepted ones.")
    diff.add_argument("-f", "--file", action="append", required=True)
    get = add("get", run_get, "Show pools, the resources of a pool, or a resource.")
    for name in ("pool", "kind", "name"):
        get.add_argument(name, nargs="?", default="")
    delete = add("delete", run_delete, "Delete a resource or a whole pool.")
    delete.add_argument("pool")
    delete.add_argument("kind", nargs="?", default="")
    delete.add_argument("name", nargs="?", default="")
    delete.add_argument("--all", action="store_true", help="delete the whole pool")
    delete.add_argument(
        "--resource-version",
        type=int,
        default=0,
        help="version to delete; with --all that of the pool; default: the current",
    )
    add_change_id(delete)
    watch = add("watch", run_watch, "Print each version that comes into force.")
    watch.add_argument("pool")
    watch.add_argument("--after", type=int, default=0, help="version to start after")
    watch.add_argument("--count", type=int, default=0, help="stop after so many")
    status = add("status", run_status, "Show on how many nodes a version is in force.")
    status.add_argument("pool")
    status.add_argument("--version", type=int, default=0)
    bill = add("bill", run_bill, "Show the slot time used in a pool.")
    bill.add_argument("pool")
    add("drain", run_drain, "Stop the node at --server gracefully.")
    return parser


def quote(text: str) -> str:
    """Return a text as a part of a path."""
    return urllib.parse.quote(text, safe="")


def read_files(paths: Sequence[str]) -> list[dict]:
    """Return the resources of declaration files; ``-`` is standard input."""
    found = []
    for path in paths:
        try:
            if path == "-":
                text = sys.stdin.read()
            else:
                with open(path, encoding="utf-8") as file:
                    text = file.read()
        except (OSError, UnicodeDecodeError) as error:
            raise exceptions.ValidationError(path, str(error)) from error
        try:
            found.extend(declarations.parse_text(text))
        except exceptions.ValidationError as error:
            raise exceptions.ValidationError(
                f"{path}: {error.field}", error.rule
            ) from error
    return [declarations.describe_resource(item) for item in found]


def finish(arguments, response: client.Response, form: Callable[[dict], str]) -> int:
    """Print an answer and return the exit status."""
    body = response.body
    failed = response.status >= _HTTP_ERROR
    if arguments.output == "json":
        print(tables.format_json(body))
    elif not failed or "results" in body:
        print(form(body))
    if not failed:
        return Exit.DONE
    errors = [item for item in body.get("results", [body]) if "error" in item]
    for item in errors:
        change = f" (change id {item['changeId']})" if "changeId" in item else ""
        report(f"{item['error']}: {item['message']}{change}")
    try:
        kind = exceptions.ErrorKind(errors[0]["error"]) if errors else None
    except ValueError:
        kind = None
    return _EXITS.get(kind, Exit.ERROR)


def report(text: str) -> None:
    """Print a line for the operator on standard error."""
    print(f"hyssopshelf: {text}", file=sys.stderr)


def make_change_id(arguments) -> str:
    """Return the given change id or a new one."""
    return arguments.change_id or uuid.uuid4().hex


def run_apply(arguments, server: client.Client) -> int:
    """Create or replace resources."""
    body = {
        "changeId": make_change_id(arguments),
        "resources": read_files(arguments.file),
        "baseVersion": arguments.base_version,
    }
    return send_change(arguments, server, "POST", "/v1/apply", {}, body)


def send_change(arguments, server, method, path, query: dict, body=None) -> int:
    """Send a change and return the exit status.

    A change that a server may have received and not answered has an unknown
    outcome; a repeat under its change id is safe.
    """
    try:
        response = server.call(method, path, query, body)
    except client.NoServerError as error:
        if not error.sent:
            raise
        change_id = body["changeId"] if body else query["changeId"]
        report(f"outcome_unknown: {error}; repeat with --change-id {change_id}")
        return Exit.UNKNOWN
    return finish(arguments, response, tables.format_results)


def run_diff(arguments, server: client.Client) -> int:
    """Compare declared resources with accepted ones."""
    body = {"resources": read_files(arguments.file)}
    response = server.call("POST", "/v1/diff", body=body)
    code = finish(arguments, response, tables.format_differences)
    results = response.body.get("results", ())
    differ = any(item.get("differences") for item in results)
    return Exit.DIFFERENT if code == Exit.DONE and differ else code


def run_get(arguments, server: client.Client) -> int:
    """Show resources."""
    path = "/v1/resources"
    if arguments.pool:
        path += f"/{quote(arguments.pool)}"
    query = {}
    if arguments.name:
        path += f"/{quote(arguments.kind)}/{quote(arguments.name)}"
    elif arguments.kind:
        query["kind"] = arguments.kind
    response = server.call("GET", path, query)
    return finish(arguments, response, tables.format_resources)


def run_delete(arguments, server: client.Client) -> int:
    """Delete a resource or a whole pool, in the version that is current."""
    if arguments.all == bool(arguments.name):
        raise exceptions.ValidationError("delete", "needs a kind and a name, or --all")
    path = f"/v1/resources/{quote(arguments.pool)}"
    if not arguments.all:
        path += f"/{quote(arguments.kind)}/{quote(arguments.name)}"
    version = arguments.resource_version
    if not version:
        response = server.call("GET", path)
        if response.status >= _HTTP_ERROR:
            return finish(arguments, response, tables.format_plain)
        body = response.body
        version = (
            body["version"] if arguments.all else body["metadata"]["resourceVersion"]
        )
    field = "baseVersion" if arguments.all else "resourceVersion"
    query = {"changeId": make_change_id(arguments), field: str(version)}
    return send_change(arguments, server, "DELETE", path, query)


def run_watch(arguments, server: client.Client) -> int:
    """Print each version that comes into force at a server."""
    waiting = client.Client(
        servers=server.servers, seconds=WATCH_SECONDS, report=server.report
    )
    after = arguments.after
    seen = 0
    while True:
        query = {"pool": arguments.pool, "afterVersion": str(after)}
        response = waiting.call("GET", "/v1/watch", query)
        if response.status >= _HTTP_ERROR:
            return finish(arguments, response, tables.format_watch)
        if not response.body["changed"]:
            continue
        after = response.body["version"]
        finish(arguments, response, tables.format_watch)
        sys.stdout.flush()
        seen += 1
        if seen == arguments.count:
            return Exit.DONE


def run_status(arguments, server: client.Client) -> int:
    """Show on how many nodes a version is in force."""
    query = {"pool": arguments.pool, "version": str(arguments.version)}
    response = server.call("GET", "/v1/status", query)
    code = finish(arguments, response, tables.format_status)
    if code == Exit.DONE and response.body["inForce"] < response.body["nodes"]:
        return Exit.DIFFERENT
    return code


def run_bill(arguments, server: client.Client) -> int:
    """Show the slot time used in a pool."""
    response = server.call("GET", "/v1/bill", {"pool": arguments.pool})
    return finish(arguments, response, tables.format_plain)


def run_drain(arguments, server: client.Client) -> int:
    """Stop one node gracefully."""
    if len(server.servers) > 1:
        raise exceptions.ValidationError("--server", "must name the one node to drain")
    response = server.call("POST", "/v1/drain", body={})
    return finish(arguments, response, tables.format_plain)


def run(arguments) -> int:
    """Run a parsed command and return the exit status."""
    servers = tuple(part for part in arguments.server.split(",") if part)
    server = client.Client(servers=servers, seconds=arguments.seconds, report=report)
    try:
        return arguments.run(arguments, server)
    except exceptions.ValidationError as error:
        report(str(error))
        return Exit.USAGE
    except client.NoServerError as error:
        report(str(error))
        return Exit.UNAVAILABLE


def main() -> None:
    """Run the command of the process."""
    try:
        code = run(make_parser().parse_args())
    except KeyboardInterrupt:
        code = Exit.DONE
    sys.exit(int(code))


if __name__ == "__main__":
    main()
