"""A real process, a toy partner with discovery, SIGKILL and a second life: each message ends once."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from http.server import ThreadingHTTPServer
from pathlib import Path
from typing import Any

import pytest

from examples.submit import request
from examples.toy_server import Toy
from winchspan.fakes.ports import free_ports

ROOT = Path(__file__).parent.parent
PATIENCE = 60.0  # far more than anything here takes: no verdict hangs on it


class Partner(Toy):
    """The toy, which keeps what it saw and holds some calls until it may answer."""

    answered: list[str]
    begun: list[str]
    ended: list[str]
    begun_at: list[int]  # the port at which each call came
    also: list[dict[str, Any]]  # entries of the list, beside the toy's own
    told_at: list[int]  # the port at which each notice came
    open: threading.Event

    def targets(self) -> bytes:
        found = json.loads(super().targets())
        return json.dumps(found | {"hosts": [*found["hosts"], *self.also]}).encode()

    def do_POST(self) -> None:
        body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
        if self.path == "/v1/notices":
            self.told_at.append(self.server.server_address[1])
            self.ended.extend(json.loads(line)["id"] for line in body.splitlines())
            return self.answer(204)
        ids = (
            [item["id"] for item in json.loads(body)]
            if self.path == "/hook/batch"
            else [self.headers["X-Request-Id"]]
        )
        self.begun_at.append(self.server.server_address[1])
        self.begun.extend(ids)
        self.open.wait(PATIENCE)
        self.answered.extend(ids)
        states = json.dumps([{"id": i, "state": "ok"} for i in ids]).encode()
        return self.answer(200, states if self.path == "/hook/batch" else b"")


def serve() -> ThreadingHTTPServer:
    server = ThreadingHTTPServer(("127.0.0.1", 0), Partner)
    server.daemon_threads = True
    server.handle_error = lambda *args: None  # type: ignore[method-assign]
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


@pytest.fixture
def partner() -> Iterator[ThreadingHTTPServer]:
    Partner.answered, Partner.begun, Partner.ended, Partner.open = [], [], [], threading.Event()
    Partner.told_at, Partner.begun_at, Partner.also = [], [], []
    server = serve()
    yield server
    Partner.open.set()
    server.shutdown()
    server.server_close()


def wait_for(what: str, check: Any) -> None:
    end = time.monotonic() + PATIENCE
    while not check():
        assert time.monotonic() < end, what
        time.sleep(0.01)


def free_port() -> int:
    return free_ports(1)[0]


def ask(port: int, raw: bytes) -> bytes:
    with socket.create_connection(("127.0.0.1", port), timeout=PATIENCE) as link:
        link.sendall(raw)
        return link.makefile("rb").readline()


def start(
    tmp_path: Path,
    port: int,
    discovery: int,
    *words: str,
    socket_fd: int | None = None,
    ready_by: bytes | None = None,
    root: Path = ROOT,
    known: dict[str, Any] | None = None,
) -> subprocess.Popen[bytes]:
    data = json.loads((ROOT / "examples" / "config.json").read_text())
    data |= {"listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{discovery}"}
    data["state"] = str(tmp_path / "state")
    data["known"] = known or data["known"]
    for cls in data["settings"]["request_classes"]:  # no pace of the machine may matter here
        cls |= {"goal_time_ns": 600 * 10**9, "hard_limit_ns": 1_200 * 10**9, "window_ns": 600 * 10**9}
    (tmp_path / "state").mkdir(exist_ok=True)
    data.pop("admin")
    (tmp_path / "config.json").write_text(json.dumps(data))
    env = os.environ | {"ROUTER_CONFIG": str(tmp_path / "config.json")}
    if socket_fd is not None:
        env["ROUTER_SOCKET_FD"] = str(socket_fd)
    process = subprocess.Popen(
        [sys.executable, "-m", "winchspan", *words],
        cwd=root,
        env=env,
        stderr=(tmp_path / "log").open("ab"),
        pass_fds=[] if socket_fd is None else [socket_fd],
    )

    def ready() -> bool:
        assert process.poll() is None, (tmp_path / "log").read_text()
        if ready_by is not None:
            return ready_by in (tmp_path / "log").read_bytes()
        try:
            return ask(port, b"*1\r\n$4\r\nPING\r\n") == b"+PONG\r\n"
        except OSError:
            return False

    wait_for("ready", ready)
    return process


def test_each_message_ends_once_across_a_kill_and_a_stop(tmp_path: Path, partner: ThreadingHTTPServer):
    port = free_port()
    courier = start(tmp_path, port, partner.server_port)
    try:
        for i in range(6):
            order = request("order-payment", "7", f"body {i}", f"{i % 2 + 1:016x}", 1_200_000)
            assert ask(port, order) == b"+OK\r\n"
        assert ask(port, request("gallery-notice", "8", "nobody there", patience_ms=100)) == b"+OK\r\n"
        assert ask(port, request("no-such-class", "7", "x")).startswith(b"-ERR")
        assert ask(port, b"nonsense\r\n").startswith(b"-ERR")
        wait_for("calls are out", lambda: len(Partner.begun) == 2)  # one for each key
        wait_for("the end of what nobody takes", lambda: Partner.ended)
        courier.kill()
        courier.wait()
        assert not Partner.answered
        Partner.open.set()
        courier = start(tmp_path, port, partner.server_port)
        wait_for("all delivered", lambda: len(set(Partner.answered)) == 6)
        assert len(set(Partner.ended)) == 1  # a notice whose answer the kill swallowed comes again
        courier.send_signal(signal.SIGTERM)
        assert courier.wait(PATIENCE) == 0
    finally:
        courier.kill()
        courier.wait()
    begun = Partner.begun[2:]
    assert sorted(set(begun)) == sorted(begun), "in its second life the courier sends each message once"
    courier = start(tmp_path, port, partner.server_port)  # nothing is left to do
    try:
        assert ask(port, request("order-payment", "7", "last")) == b"+OK\r\n"
        wait_for("the last", lambda: len(Partner.begun) == len(begun) + 3)
    finally:
        courier.kill()
        courier.wait()


def test_a_start_sends_nothing_to_what_drains_by_discovery_whatever_its_configuration_lists(
    tmp_path: Path, partner: ThreadingHTTPServer
):
    """Recovered messages went out by the old list; after a slow start that is later than a drain allows."""
    port, old = free_port(), serve()
    entry = {
        "host": "s-old",
        "dial": f"127.0.0.1:{old.server_port}",
        "site": "toy",
        "class": "large-host",
        "block": 7,
        "health": "up",
        "share": 50.0,
        "born_ms": 0,
    }
    try:
        courier = start(tmp_path, port, partner.server_port)
        try:
            for i in range(6):
                order = request("order-payment", "7", f"body {i}", f"{i + 1:016x}", 1_200_000)
                assert ask(port, order) == b"+OK\r\n"
            wait_for("calls are out", lambda: Partner.begun)
        finally:
            courier.kill()
            courier.wait()
        before, calls = len(Partner.begun), len(Partner.begun_at)
        Partner.also = [entry | {"health": "draining"}]
        Partner.open.set()
        courier = start(
            tmp_path, port, partner.server_port, known={"seq": 0, "whole": True, "hosts": [entry]}
        )
        try:
            wait_for("each is sent, what was out once more", lambda: len(set(Partner.begun[before:])) == 6)
        finally:
            courier.kill()
            courier.wait()
        assert set(Partner.begun_at[calls:]) == {partner.server_port}
    finally:
        old.shutdown()
        old.server_close()


@pytest.mark.parametrize("silent", [True, False])
def test_a_start_does_not_wait_for_a_discovery_that_says_nothing(tmp_path: Path, silent: bool):
    """Its agent takes the connection and says nothing, or its answer begins and no line follows."""
    Partner.begun, Partner.begun_at, Partner.answered, Partner.also = [], [], [], []
    Partner.open = threading.Event()
    Partner.open.set()
    server, agent = serve(), socket.create_server(("127.0.0.1", 0))
    links: list[socket.socket] = []

    def accept() -> None:
        while True:
            try:
                link, _ = agent.accept()
            except OSError:
                return
            links.append(link)
            if not silent:
                link.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

    threading.Thread(target=accept, daemon=True).start()
    entry = {
        "host": "s-toy",
        "dial": f"127.0.0.1:{server.server_port}",
        "site": "toy",
        "class": "large-host",
        "block": 7,
        "health": "up",
        "share": 50.0,
        "born_ms": 0,
    }
    port = free_port()
    courier = start(tmp_path, port, agent.getsockname()[1], known={"seq": 3, "whole": True, "hosts": [entry]})
    try:
        assert ask(port, request("order-payment", "7", "x", "1" * 16, 1_200_000)) == b"+OK\r\n"
        wait_for("it is delivered by the list of the configuration", lambda: Partner.answered)
    finally:
        courier.kill()
        courier.wait()
        agent.close()
        server.shutdown()
        server.server_close()


def test_the_first_client_has_all_its_time_however_long_the_courier_has_run(
    tmp_path: Path, partner: ThreadingHTTPServer
):
    """Its connection was taken for as old as the process, and its message's time for over."""
    port = free_port()
    courier = start(tmp_path, port, partner.server_port, ready_by=b"listens on")
    try:
        time.sleep(2.0)
        assert ask(port, request("gallery-notice", "8", "x", patience_ms=1_900)) == b"+OK\r\n"
    finally:
        courier.kill()
        courier.wait()


def test_a_configuration_that_cannot_be_used_ends_the_start_with_one_line(tmp_path: Path):
    (tmp_path / "config.json").write_text('{"listen": "127.0.0.1:0"}')
    done = subprocess.run(
        [sys.executable, "-m", "winchspan"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env=os.environ | {"ROUTER_CONFIG": str(tmp_path / "config.json")},
        check=False,
    )
    assert done.returncode != 0 and "discovery" in done.stderr and done.stderr.count("\n") == 1


def test_sighup_moves_to_the_new_discovery_and_a_file_that_cannot_be_used_changes_nothing(
    tmp_path: Path, partner: ThreadingHTTPServer
):
    """SIGHUP had no handler and ended the process."""
    Partner.open.set()
    port, other, path = free_port(), serve(), tmp_path / "config.json"
    courier = start(tmp_path, port, partner.server_port)
    try:
        data = json.loads(path.read_text())
        path.write_text("{")
        courier.send_signal(signal.SIGHUP)
        wait_for(
            "one log line",
            lambda: b"previous configuration stays in force" in (tmp_path / "log").read_bytes(),
        )
        assert ask(port, request("gallery-notice", "8", "nobody there", patience_ms=100)) == b"+OK\r\n"
        wait_for("a notice at the old address", lambda: Partner.told_at)
        assert Partner.told_at == [partner.server_port]
        path.write_text(json.dumps(data | {"discovery": f"127.0.0.1:{other.server_port}"}))
        courier.send_signal(signal.SIGHUP)
        wait_for("the move", lambda: b"SIGHUP: discovery is at" in (tmp_path / "log").read_bytes())
        assert ask(port, request("gallery-notice", "8", "nobody there", patience_ms=100)) == b"+OK\r\n"
        wait_for("a notice at the new address", lambda: len(Partner.told_at) > 1)
        assert Partner.told_at[-1] == other.server_port
    finally:
        courier.kill()
        courier.wait()
        other.shutdown()
        other.server_close()
