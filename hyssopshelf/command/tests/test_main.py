"""Tests of the operators' command-line tool against simulated nodes over HTTP."""

import asyncio
import json
import pathlib
import threading

import pytest
import tornado.httpserver
import tornado.testing
import tornado.web

from hyssopshelf import base
from hyssopshelf.command import main
from hyssopshelf.configuration import requests
from hyssopshelf.configuration.tests import fleet
from hyssopshelf.runtime import resources

EXAMPLE = pathlib.Path(__file__).parents[3] / "examples" / "priehradka.yaml"
UNREACHABLE_SERVER = "http://127.0.0.1:9"


@pytest.fixture
def nodes():
    started = fleet.Fleet(size=4, seed=11)
    assert started.run(5, started.ready)
    return started


@pytest.fixture
def server(nodes):
    """Serve the resource API of one node on a free port in a thread; yield its URL."""

    async def submit(request):
        if isinstance(request, requests.Drain):
            return requests.ApiAnswer(body={"draining": "h000"})
        caller = nodes.request("h000", request)
        nodes.run(70, lambda: caller in nodes.answers)
        nodes.run(1)  # Simulated time that passes between two commands.
        return nodes.answers[caller]

    started = threading.Event()
    running = {}

    async def serve():
        application = tornado.web.Application(
            resources.make_handlers(submit), log_function=lambda handler: None
        )
        http = tornado.httpserver.HTTPServer(application)
        socket, port = tornado.testing.bind_unused_port(address="127.0.0.1")
        http.add_socket(socket)
        running.update(port=port, stop=asyncio.Event(), loop=asyncio.get_running_loop())
        started.set()
        await running["stop"].wait()
        http.stop()
        await http.close_all_connections()

    thread = threading.Thread(target=asyncio.run, args=(serve(),))
    thread.start()
    assert started.wait(5)
    yield f"http://127.0.0.1:{running['port']}"
    running["loop"].call_soon_threadsafe(running["stop"].set)
    thread.join(5)


@pytest.fixture
def call(server, monkeypatch, capsys):
    """Return a function that runs the tool and returns exit status and output."""
    monkeypatch.setenv("HYSSOPSHELF_SERVER", server)

    def run(*words):
        code = main.run(main.make_parser().parse_args(list(words)))
        captured = capsys.readouterr()
        return int(code), captured.out, captured.err

    return run


def write_declaration(tmp_path, old="", new=""):
    text = EXAMPLE.read_text()
    assert old in text
    path = tmp_path / "declared.yaml"
    path.write_text(text.replace(old, new))
    return str(path)


def test_resources_can_be_declared_shown_and_deleted(call, tmp_path):
    """Guards against commands that report another state than the accepted one."""
    code, out, _ = call("-o", "json", "apply", "-f", str(EXAMPLE))
    assert (code, json.loads(out)["results"][0]["version"]) == (0, 1)
    code, out, _ = call("get", "labelstore", "split", "agreed", "-o", "json")
    assert json.loads(out)["spec"]["capacity"]["priehradka"] == 0.9
    assert "labelstore  1" in call("get")[1]
    assert "Rank" in call("get", "labelstore")[1]
    assert call("diff", "-f", str(EXAMPLE)) == (0, "no differences\n", "")
    changed = write_declaration(tmp_path, "floor: 0.3", "floor: 0.2")
    code, out, _ = call("diff", "-f", changed)
    assert code == main.ExitStatus.DIFFERENT
    assert "Rank/normal" in out and "spec.floor" in out
    code, out, _ = call("-o", "json", "watch", "labelstore", "--count", "1")
    assert (code, json.loads(out)["version"]) == (0, 1)
    code, out, _ = call("-o", "json", "status", "labelstore")
    assert (code, json.loads(out)["inForce"]) == (0, 4)
    code, out, _ = call("status", "labelstore", "--version", "2")
    assert code == main.ExitStatus.DIFFERENT and "h003" in out
    assert call("delete", "labelstore", "split", "agreed")[0] == 0
    assert call("delete", "labelstore", "--all")[0] == 0
    assert call("get", "labelstore", "rank", "urgent")[0] == main.ExitStatus.NOT_FOUND


def test_failures_have_their_own_exit_status(call, nodes, tmp_path):
    """Guards against an exit status that lets a script miss a rejected change."""
    assert call("get", "other")[0] == main.ExitStatus.NOT_FOUND
    assert call("apply", "-f", str(tmp_path / "missing"))[0] == main.ExitStatus.USAGE
    faulty = write_declaration(tmp_path, "priehradka: 0.9", "priehradka: 0.8")
    code, _, err = call("apply", "-f", faulty)
    assert code == main.ExitStatus.USAGE and "must add up to 1" in err
    unknown = write_declaration(tmp_path, "slots: 2", "slotz: 2")
    code, _, err = call("apply", "-f", unknown)
    assert code == main.ExitStatus.USAGE and "spec.slotz: is an unknown field" in err
    assert call("apply", "-f", str(EXAMPLE))[0] == 0
    changed = write_declaration(tmp_path, "floor: 0.3", "floor: 0.2")
    code, _, err = call("apply", "-f", changed)
    assert code == main.ExitStatus.CONFLICT and "the accepted one has 1" in err
    assert call("apply", "-f", changed, "--base-version", "1")[0] == 0
    again = write_declaration(tmp_path, "floor: 0.3", "floor: 0.1")
    nodes.store.lost_answers = 9
    nodes.store.delay_seconds = 4.0
    code, _, err = call("apply", "-f", again, "--base-version", "2")
    assert code in (main.ExitStatus.UNKNOWN, main.ExitStatus.UNAVAILABLE)
    nodes.store.down = True
    assert (
        call("apply", "-f", again, "--base-version", "2")[0]
        == main.ExitStatus.UNAVAILABLE
    )
    assert call("delete", "labelstore")[0] == main.ExitStatus.USAGE
    assert call("bill", "labelstore")[0] == main.ExitStatus.UNAVAILABLE
    nodes.store.down = False
    nodes.store.lost_answers = 0
    nodes.store.delay_seconds = 0.0
    assert call("bill", "labelstore")[0] == main.ExitStatus.DONE


def test_change_is_repeated_at_the_next_server(call, server):
    """Guards against commands that fail because the first server is down."""
    fallback = ("--server", f"{UNREACHABLE_SERVER},{server}")
    code, _, err = call(*fallback, "apply", "-f", str(EXAMPLE), "--change-id", "c1")
    assert code == 0 and UNREACHABLE_SERVER in err
    code, out, _ = call("-o", "json", "apply", "-f", str(EXAMPLE), "--change-id", "c1")
    assert (code, json.loads(out)["results"][0]["version"]) == (0, 1)
    unreachable = ("--server", UNREACHABLE_SERVER)
    assert call(*unreachable, "get")[0] == main.ExitStatus.UNAVAILABLE
    assert call("drain")[0] == 0
    assert call(*fallback, "drain")[0] == main.ExitStatus.USAGE


def test_server_that_closes_the_connection_means_unknown(call):
    """Guards against reporting a change as not made after a node received it.

    The node closes the connection without an answer.
    """
    socket, port = tornado.testing.bind_unused_port(address="127.0.0.1")

    def close_first_connection():
        socket.setblocking(True)
        connection, _ = socket.accept()
        connection.recv(100)
        connection.close()

    thread = threading.Thread(target=close_first_connection)
    thread.start()
    code, _, err = call(
        "--server", f"http://127.0.0.1:{port}", "apply", "-f", str(EXAMPLE)
    )
    thread.join(5)
    socket.close()
    assert code == main.ExitStatus.UNKNOWN and "--change-id" in err


def test_drain_request_reaches_the_node(nodes):
    """Guards against a drain request that is answered but not performed."""
    calls = []
    registered = base.handle.dispatch(base.DrainRequested)
    base.handle.register(base.DrainRequested, lambda event, board, now: calls.append(1))
    try:
        caller = nodes.request("h000", requests.Drain())
    finally:
        base.handle.register(base.DrainRequested, registered)
    assert calls == [1] and nodes.answers[caller].error is None
