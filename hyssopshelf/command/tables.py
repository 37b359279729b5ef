"""Output formats of the operators' command-line tool."""

import json
from collections.abc import Sequence

import yaml


def format_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return rows as aligned columns below an upper-case header."""
    cells = [[name.upper() for name in header]]
    cells += [["-" if value is None else str(value) for value in row] for row in rows]
    widths = [max(len(row[index]) for row in cells) for index in range(len(header))]
    lines = (
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    )
    return "\n".join(lines)


def format_json(body: object) -> str:
    """Return a response body as JSON on one line."""
    return json.dumps(body, ensure_ascii=False)


def format_results(body: dict) -> str:
    """Return the results of ``apply`` or ``delete`` as a table."""
    results = body.get("results", [body])
    rows = [
        (
            item.get("pool"),
            item.get("version"),
            item.get("changeId"),
            describe_outcome(item),
        )
        for item in results
    ]
    return format_table(("pool", "version", "change", "result"), rows)


def describe_outcome(item: dict) -> str:
    """Return the outcome of a change of one pool."""
    if "error" in item:
        return f"{item['error']}: {item['message']}"
    return "accepted"


def format_explanation(body: dict) -> str:
    """Return candidates with the parts of their cost, the choice and its reason."""
    columns = (
        "endpoint",
        "place",
        "cost_ms",
        "latency_ms",
        "wait_ms",
        "errors_ms",
        "way_ms",
        "avoided",
        "holders",
    )
    rows = [
        [
            ",".join(value) if isinstance(value := candidate[name], list) else value
            for name in columns
        ]
        for candidate in body.get("candidates", ())
    ]
    choice = f"choice: {body['choice'] or '-'} ({body['reason']})"
    return "\n".join([format_table(columns, rows), choice])


def format_resources(body: dict) -> str:
    """Return a table of pools or of the resources of one, or a resource as YAML."""
    if "pools" in body:
        return format_table(("pool", "version"), sorted(body["pools"].items()))
    if "items" in body:
        rows = [
            (
                item["kind"],
                item["metadata"]["name"],
                item["metadata"]["resourceVersion"],
            )
            for item in body["items"]
        ]
        return format_table(("kind", "name", "resourceVersion"), rows)
    return yaml.safe_dump(body, sort_keys=False).rstrip()


def format_differences(body: dict) -> str:
    """Return the differences between declared and accepted resources as a table."""
    rows = [
        (result["pool"], item["resource"], item["field"], item["before"], item["after"])
        for result in body["results"]
        for item in result.get("differences", ())
    ]
    header = ("pool", "resource", "field", "accepted", "declared")
    return format_table(header, rows) if rows else "no differences"


def format_status(body: dict) -> str:
    """Return tables of the nodes with and without a version in force."""
    header = ("pool", "version", "nodes", "inForce", "missing", "silent")
    fields = ("pool", "version", "nodes", "inForce", "missingCount", "silentCount")
    lines = [format_table(header, [[body[field] for field in fields]])]
    rows = [(host, version) for host, version in body["missing"].items()]
    rows += [(host, "no answer") for host in body["silent"]]
    if rows:
        lines.append(format_table(("host", "holds"), rows))
    return "\n\n".join(lines)


def format_watch(body: dict) -> str:
    """Return a line with the pool, version and change ids of a new version."""
    return f"{body['pool']} {body['version']} {' '.join(body.get('changeIds', ()))}"


def format_yaml(body: dict) -> str:
    """Return a response body as YAML."""
    return yaml.safe_dump(body, sort_keys=False).rstrip()
