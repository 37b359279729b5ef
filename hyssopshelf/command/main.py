"""Command-line tool of the operators: ``hyssopshelf``.

Exit status: 0 success, 1 other error, 2 invalid arguments or declaration,
3 conflict, 4 outcome unknown, 5 no server reachable or server not ready, 6 not
found, 7 differences found (diff) or version not in force on all nodes (status).
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
"""Long-poll time of one request of ``watch``, in seconds."""

OUTPUT_FORMATS = ("table", "json")
"""Output formats."""


class ExitStatus(enum.IntEnum):
    """Exit status of the process."""

    DONE = 0
    ERROR = 1
    USAGE = 2
    CONFLICT = 3
    UNKNOWN = 4
    UNAVAILABLE = 5
    NOT_FOUND = 6
    DIFFERENT = 7


_STATUS_BY_ERROR_KIND = {
    exceptions.ErrorKind.BAD_REQUEST: ExitStatus.USAGE,
    exceptions.ErrorKind.CONFLICT: ExitStatus.CONFLICT,
    exceptions.ErrorKind.OUTCOME_UNKNOWN: ExitStatus.UNKNOWN,
    exceptions.ErrorKind.UNAVAILABLE: ExitStatus.UNAVAILABLE,
    exceptions.ErrorKind.REFUSED: ExitStatus.UNAVAILABLE,
    exceptions.ErrorKind.NOT_FOUND: ExitStatus.NOT_FOUND,
}

_MINIMUM_ERROR_STATUS = 400


def make_parser() -> configargparse.ArgumentParser:
    """Return the parser of the command line and of the environment variables."""
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
    parser.add_argument("-o", "--output", choices=OUTPUT_FORMATS, default="table")
    commands = parser.add_subparsers(dest="command", required=True)

    def add(name: str, run: Callable, text: str) -> configargparse.ArgumentParser:
        command = commands.add_parser(name, help=text, description=text)
        command.set_defaults(run=run)
        # The option may also follow the command's name. It has no default there,
        # since a default would overwrite a value given before the name.
        command.add_argument(
            "-o", "--output", choices=OUTPUT_FORMATS, default=argparse.SUPPRESS
        )
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
    explain = add("explain", run_explain, "Tell where a statement would go now.")
    explain.add_argument("name", help="database name that the client asks for")
    explain.add_argument("--write", action="store_true", help="it writes")
    explain.add_argument("--customer", default="-", help="customer of the session")
    explain.add_argument(
        "--position", default="-", help="TERM.NUMBER of the session's last write"
    )
    add("drain", run_drain, "Stop the node at --server gracefully.")
    return parser


def quote_segment(text: str) -> str:
    """Return a text percent-encoded as one segment of a URL path."""
    return urllib.parse.quote(text, safe="")


def read_files(paths: Sequence[str]) -> list[dict]:
    """Return the resources of declaration files; ``-`` is standard input.

    Raises
    ------
    ValidationError
        If a file cannot be read or is invalid; the field starts with the path.
    """
    declared = []
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
            declared.extend(declarations.parse_text(text))
        except exceptions.ValidationError as error:
            raise exceptions.ValidationError(
                f"{path}: {error.field}", error.rule
            ) from error
    return [declarations.describe_resource(item) for item in declared]


def print_response(
    arguments, response: client.Response, format_body: Callable[[dict], str]
) -> int:
    """Print a response and return the exit status."""
    body = response.body
    failed = response.status >= _MINIMUM_ERROR_STATUS
    if arguments.output == "json":
        print(tables.format_json(body))
    elif not failed or "results" in body:
        print(format_body(body))
    if not failed:
        return ExitStatus.DONE
    errors = [item for item in body.get("results", [body]) if "error" in item]
    for item in errors:
        suffix = f" (change id {item['changeId']})" if "changeId" in item else ""
        print_error(f"{item['error']}: {item['message']}{suffix}")
    try:
        kind = exceptions.ErrorKind(errors[0]["error"]) if errors else None
    except ValueError:
        kind = None
    return _STATUS_BY_ERROR_KIND.get(kind, ExitStatus.ERROR)


def print_error(text: str) -> None:
    """Print a message to standard error."""
    print(f"hyssopshelf: {text}", file=sys.stderr)


def make_change_id(arguments) -> str:
    """Return the given change id or a new one."""
    return arguments.change_id or uuid.uuid4().hex


def run_apply(arguments, api_client: client.Client) -> int:
    """Create or replace resources."""
    body = {
        "changeId": make_change_id(arguments),
        "resources": read_files(arguments.file),
        "baseVersion": arguments.base_version,
    }
    return send_change(arguments, api_client, "POST", "/v1/apply", {}, body)


def send_change(arguments, api_client, method, path, query: dict, body=None) -> int:
    """Send a change and return the exit status.

    The outcome is unknown if a server may have received the change and no answer
    came. Repeating the change with the same change id is safe.
    """
    try:
        response = api_client.call(method, path, query, body)
    except client.NoServerError as error:
        if not error.maybe_received:
            raise
        change_id = body["changeId"] if body else query["changeId"]
        print_error(f"outcome_unknown: {error}; repeat with --change-id {change_id}")
        return ExitStatus.UNKNOWN
    return print_response(arguments, response, tables.format_results)


def run_diff(arguments, api_client: client.Client) -> int:
    """Compare declared resources with accepted ones."""
    body = {"resources": read_files(arguments.file)}
    response = api_client.call("POST", "/v1/diff", body=body)
    code = print_response(arguments, response, tables.format_differences)
    results = response.body.get("results", ())
    differ = any(item.get("differences") for item in results)
    return ExitStatus.DIFFERENT if code == ExitStatus.DONE and differ else code


def run_get(arguments, api_client: client.Client) -> int:
    """Show the pools, the resources of a pool, or one resource."""
    path = "/v1/resources"
    if arguments.pool:
        path += f"/{quote_segment(arguments.pool)}"
    query = {}
    if arguments.name:
        path += f"/{quote_segment(arguments.kind)}/{quote_segment(arguments.name)}"
    elif arguments.kind:
        query["kind"] = arguments.kind
    response = api_client.call("GET", path, query)
    return print_response(arguments, response, tables.format_resources)


def run_delete(arguments, api_client: client.Client) -> int:
    """Delete a resource or a whole pool.

    Without a given version it deletes the current one, which it reads first.
    """
    if arguments.all == bool(arguments.name):
        raise exceptions.ValidationError("delete", "needs a kind and a name, or --all")
    path = f"/v1/resources/{quote_segment(arguments.pool)}"
    if not arguments.all:
        path += f"/{quote_segment(arguments.kind)}/{quote_segment(arguments.name)}"
    version = arguments.resource_version
    if not version:
        response = api_client.call("GET", path)
        if response.status >= _MINIMUM_ERROR_STATUS:
            return print_response(arguments, response, tables.format_yaml)
        body = response.body
        version = (
            body["version"] if arguments.all else body["metadata"]["resourceVersion"]
        )
    field = "baseVersion" if arguments.all else "resourceVersion"
    query = {"changeId": make_change_id(arguments), field: str(version)}
    return send_change(arguments, api_client, "DELETE", path, query)


def run_watch(arguments, api_client: client.Client) -> int:
    """Print each version that comes into force on the node that answers."""
    watch_client = client.Client(
        servers=api_client.servers,
        timeout_seconds=WATCH_SECONDS,
        report=api_client.report,
    )
    after = arguments.after
    printed = 0
    while True:
        query = {"pool": arguments.pool, "afterVersion": str(after)}
        response = watch_client.call("GET", "/v1/watch", query)
        if response.status >= _MINIMUM_ERROR_STATUS:
            return print_response(arguments, response, tables.format_watch)
        if not response.body["changed"]:
            continue
        after = response.body["version"]
        print_response(arguments, response, tables.format_watch)
        sys.stdout.flush()
        printed += 1
        if printed == arguments.count:
            return ExitStatus.DONE


def run_status(arguments, api_client: client.Client) -> int:
    """Show on how many nodes a version is in force."""
    query = {"pool": arguments.pool, "version": str(arguments.version)}
    response = api_client.call("GET", "/v1/status", query)
    code = print_response(arguments, response, tables.format_status)
    if code == ExitStatus.DONE and response.body["inForce"] < response.body["nodes"]:
        return ExitStatus.DIFFERENT
    return code


def run_bill(arguments, api_client: client.Client) -> int:
    """Show the slot time used in a pool."""
    response = api_client.call("GET", "/v1/bill", {"pool": arguments.pool})
    return print_response(arguments, response, tables.format_yaml)


def run_explain(arguments, api_client: client.Client) -> int:
    """Tell where a statement would go now, and why; nothing is sent.

    The server is the address of a node's metrics.
    """
    fields = (
        "write" if arguments.write else "read",
        arguments.name,
        arguments.customer,
        arguments.position,
    )
    path = "/explain/" + "/".join(map(quote_segment, fields))
    response = api_client.call("GET", path)
    code = print_response(arguments, response, tables.format_explanation)
    if code == ExitStatus.DONE and response.body["choice"] is None:
        return ExitStatus.NOT_FOUND
    return code


def run_drain(arguments, api_client: client.Client) -> int:
    """Stop one node gracefully; the server list must name just this node."""
    if len(api_client.servers) > 1:
        raise exceptions.ValidationError("--server", "must name the one node to drain")
    response = api_client.call("POST", "/v1/drain", body={})
    return print_response(arguments, response, tables.format_yaml)


def run(arguments) -> int:
    """Run a parsed command and return the exit status."""
    servers = tuple(part for part in arguments.server.split(",") if part)
    api_client = client.Client(
        servers=servers, timeout_seconds=arguments.seconds, report=print_error
    )
    try:
        return arguments.run(arguments, api_client)
    except exceptions.ValidationError as error:
        print_error(str(error))
        return ExitStatus.USAGE
    except client.NoServerError as error:
        print_error(str(error))
        return ExitStatus.UNAVAILABLE


def main() -> None:
    """Run the command line of the process and exit with its status."""
    try:
        code = run(make_parser().parse_args())
    except KeyboardInterrupt:
        code = ExitStatus.DONE
    sys.exit(int(code))


if __name__ == "__main__":
    main()
