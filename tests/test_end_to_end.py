"""A courier process with the toy partner: each message ends once, also across SIGKILL and a restart."""

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

from examples.submit import encode_submit
from examples.toy_server import ToyHandler
from winchspan.fakes.ports import free_ports

ROOT = Path(__file__).parent.parent
WAIT_TIMEOUT_SECONDS = 60.0  # much longer than any wait takes, so that no result depends on it


class Partner(ToyHandler):
    """The toy server, which records calls and notifications, and answers calls once `may_answer` is set.

    Attributes:
        answered: the ids of the messages in answered calls.
        received: the ids of the messages in received calls.
        notified: the ids of the messages in notifications.
        call_ports: the port that received each call.
        extra_hosts: further entries of the list of endpoints.
        notification_ports: the port that received each request with notifications.
        may_answer: set while calls are answered.
    """

    answered: list[str]
    received: list[str]
    notified: list[str]
    call_ports: list[int]
    extra_hosts: list[dict[str, Any]]
    notification_ports: list[int]
    may_answer: threading.Event

    def endpoint_list(self) -> bytes:
        document = json.loads(super().endpoint_list())
        return json.dumps(document | {"hosts": [*document["hosts"], *self.extra_hosts]}).encode()

    def do_POST(self) -> None:
        body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
        if self.path == "/v1/notices":
            self.notification_ports.append(self.server.server_address[1])
            self.notified.extend(json.loads(line)["id"] for line in body.splitlines())
            return self.respond(204)
        ids = (
            [item["id"] for item in json.loads(body)]
            if self.path == "/hook/batch"
            else [self.headers["X-Request-Id"]]
        )
        self.call_ports.append(self.server.server_address[1])
        self.received.extend(ids)
        self.may_answer.wait(WAIT_TIMEOUT_SECONDS)
        self.answered.extend(ids)
        states = json.dumps([{"id": i, "state": "ok"} for i in ids]).encode()
        return self.respond(200, states if self.path == "/hook/batch" else b"")


def serve() -> ThreadingHTTPServer:
    server = ThreadingHTTPServer(("127.0.0.1", 0), Partner)
    server.daemon_threads = True
    server.handle_error = lambda *args: None  # type: ignore[method-assign]
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


@pytest.fixture
def partner() -> Iterator[ThreadingHTTPServer]:
    Partner.answered, Partner.received, Partner.notified, Partner.may_answer = (
        [],
        [],
        [],
        threading.Event(),
    )
    Partner.notification_ports, Partner.call_ports, Partner.extra_hosts = [], [], []
    server = serve()
    yield server
    Partner.may_answer.set()
    server.shutdown()
    server.server_close()


def wait_for(description: str, check: Any) -> None:
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while not check():
        assert time.monotonic() < deadline, description
        time.sleep(0.01)


def free_port() -> int:
    return free_ports(1)[0]


def send_request(port: int, raw: bytes) -> bytes:
    with socket.create_connection(("127.0.0.1", port), timeout=WAIT_TIMEOUT_SECONDS) as connection:
        connection.sendall(raw)
        return connection.makefile("rb").readline()


def start_courier(
    tmp_path: Path,
    port: int,
    discovery: int,
    *arguments: str,
    socket_fd: int | None = None,
    ready_by: bytes | None = None,
    root: Path = ROOT,
    known: dict[str, Any] | None = None,
) -> subprocess.Popen[bytes]:
    data = json.loads((ROOT / "examples" / "config.json").read_text())
    data |= {"listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{discovery}"}
    data["state"] = str(tmp_path / "state")
    data["known"] = known or data["known"]
    for cls in data["settings"][
        "request_classes"
    ]:  # long limits: results do not depend on the speed of the machine
        cls |= {"goal_time_ns": 600 * 10**9, "hard_limit_ns": 1_200 * 10**9, "window_ns": 600 * 10**9}
    (tmp_path / "state").mkdir(exist_ok=True)
    data.pop("admin")
    (tmp_path / "config.json").write_text(json.dumps(data))
    env = os.environ | {"ROUTER_CONFIG": str(tmp_path / "config.json")}
    if socket_fd is not None:
        env["ROUTER_SOCKET_FD"] = str(socket_fd)
    process = subprocess.Popen(
        [sys.executable, "-m", "winchspan", *arguments],
        cwd=root,
        env=env,
        stderr=(tmp_path / "log").open("ab"),
        pass_fds=[] if socket_fd is None else [socket_fd],
    )

    def is_ready() -> bool:
        assert process.poll() is None, (tmp_path / "log").read_text()
        if ready_by is not None:
            return ready_by in (tmp_path / "log").read_bytes()
        try:
            return send_request(port, b"*1\r\n$4\r\nPING\r\n") == b"+PONG\r\n"
        except OSError:
            return False

    wait_for("the courier is ready", is_ready)
    return process


def test_each_message_ends_once_across_a_kill_and_a_stop(tmp_path: Path, partner: ThreadingHTTPServer):
    port = free_port()
    courier = start_courier(tmp_path, port, partner.server_port)
    try:
        for i in range(6):
            order = encode_submit("order-payment", "7", f"body {i}", f"{i % 2 + 1:016x}", 1_200_000)
            assert send_request(port, order) == b"+OK\r\n"
        assert (
            send_request(port, encode_submit("gallery-notice", "8", "nobody there", deadline_ms=100))
            == b"+OK\r\n"
        )
        assert send_request(port, encode_submit("no-such-class", "7", "x")).startswith(b"-ERR")
        assert send_request(port, b"nonsense\r\n").startswith(b"-ERR")
        wait_for("two calls are in flight", lambda: len(Partner.received) == 2)  # one for each key
        wait_for("the notification of the message without an endpoint", lambda: Partner.notified)
        courier.kill()
        courier.wait()
        assert not Partner.answered
        Partner.may_answer.set()
        courier = start_courier(tmp_path, port, partner.server_port)
        wait_for("all messages are delivered", lambda: len(set(Partner.answered)) == 6)
        assert len(set(Partner.notified)) == 1  # an unacknowledged notification is repeated after the kill
        courier.send_signal(signal.SIGTERM)
        assert courier.wait(WAIT_TIMEOUT_SECONDS) == 0
    finally:
        courier.kill()
        courier.wait()
    received = Partner.received[2:]
    assert sorted(set(received)) == sorted(received), "the restarted courier sends each message once"
    courier = start_courier(tmp_path, port, partner.server_port)  # no message is open
    try:
        assert send_request(port, encode_submit("order-payment", "7", "last")) == b"+OK\r\n"
        wait_for("the last message is sent", lambda: len(Partner.received) == len(received) + 3)
    finally:
        courier.kill()
        courier.wait()


def test_start_sends_nothing_to_an_endpoint_that_drains_by_discovery_though_its_configuration_lists_it(
    tmp_path: Path, partner: ThreadingHTTPServer
):
    """Guards against sending recovered messages by the list of the configuration.

    After a start that takes long, that is later than the drain period allows.
    """
    port, draining_server = free_port(), serve()
    entry = {
        "host": "s-old",
        "dial": f"127.0.0.1:{draining_server.server_port}",
        "site": "toy",
        "class": "large-host",
        "block": 7,
        "health": "up",
        "share": 50.0,
        "born_ms": 0,
    }
    try:
        courier = start_courier(tmp_path, port, partner.server_port)
        try:
            for i in range(6):
                order = encode_submit("order-payment", "7", f"body {i}", f"{i + 1:016x}", 1_200_000)
                assert send_request(port, order) == b"+OK\r\n"
            wait_for("calls are in flight", lambda: Partner.received)
        finally:
            courier.kill()
            courier.wait()
        earlier_messages, earlier_calls = len(Partner.received), len(Partner.call_ports)
        Partner.extra_hosts = [entry | {"health": "draining"}]
        Partner.may_answer.set()
        courier = start_courier(
            tmp_path, port, partner.server_port, known={"seq": 0, "whole": True, "hosts": [entry]}
        )
        try:
            wait_for("each message is sent again", lambda: len(set(Partner.received[earlier_messages:])) == 6)
        finally:
            courier.kill()
            courier.wait()
        assert set(Partner.call_ports[earlier_calls:]) == {partner.server_port}
    finally:
        draining_server.shutdown()
        draining_server.server_close()


@pytest.mark.parametrize("silent", [True, False])
def test_start_does_not_wait_for_the_list_of_an_unresponsive_discovery(tmp_path: Path, silent: bool):
    """Discovery accepts the connection and sends nothing, or only the head of its response."""
    Partner.received, Partner.call_ports, Partner.answered, Partner.extra_hosts = [], [], [], []
    Partner.may_answer = threading.Event()
    Partner.may_answer.set()
    server, agent = serve(), socket.create_server(("127.0.0.1", 0))
    connections: list[socket.socket] = []

    def accept() -> None:
        while True:
            try:
                connection, _ = agent.accept()
            except OSError:
                return
            connections.append(connection)
            if not silent:
                connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

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
    courier = start_courier(
        tmp_path, port, agent.getsockname()[1], known={"seq": 3, "whole": True, "hosts": [entry]}
    )
    try:
        assert send_request(port, encode_submit("order-payment", "7", "x", "1" * 16, 1_200_000)) == b"+OK\r\n"
        wait_for("it is delivered to an endpoint of the configuration", lambda: Partner.answered)
    finally:
        courier.kill()
        courier.wait()
        agent.close()
        server.shutdown()
        server.server_close()


def test_first_message_has_its_full_deadline_however_long_the_courier_has_run(
    tmp_path: Path, partner: ThreadingHTTPServer
):
    """Guards against counting the first connection's age from the start of the process.

    Its message was considered to be past its deadline.
    """
    port = free_port()
    courier = start_courier(tmp_path, port, partner.server_port, ready_by=b"listens on")
    try:
        time.sleep(2.0)
        assert send_request(port, encode_submit("gallery-notice", "8", "x", deadline_ms=1_900)) == b"+OK\r\n"
    finally:
        courier.kill()
        courier.wait()


def test_invalid_configuration_ends_the_start_with_one_line(tmp_path: Path):
    (tmp_path / "config.json").write_text('{"listen": "127.0.0.1:0"}')
    result = subprocess.run(
        [sys.executable, "-m", "winchspan"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env=os.environ | {"ROUTER_CONFIG": str(tmp_path / "config.json")},
        check=False,
    )
    assert result.returncode != 0 and "discovery" in result.stderr and result.stderr.count("\n") == 1


def test_sighup_moves_to_the_new_discovery_and_an_invalid_file_changes_nothing(
    tmp_path: Path, partner: ThreadingHTTPServer
):
    """Guards against ending the process by SIGHUP, which had no handler."""
    Partner.may_answer.set()
    port, other, path = free_port(), serve(), tmp_path / "config.json"
    courier = start_courier(tmp_path, port, partner.server_port)
    try:
        data = json.loads(path.read_text())
        path.write_text("{")
        courier.send_signal(signal.SIGHUP)
        wait_for(
            "the log line of the invalid file",
            lambda: b"previous configuration stays in force" in (tmp_path / "log").read_bytes(),
        )
        assert (
            send_request(port, encode_submit("gallery-notice", "8", "nobody there", deadline_ms=100))
            == b"+OK\r\n"
        )
        wait_for("a notification at the old address", lambda: Partner.notification_ports)
        assert Partner.notification_ports == [partner.server_port]
        path.write_text(json.dumps(data | {"discovery": f"127.0.0.1:{other.server_port}"}))
        courier.send_signal(signal.SIGHUP)
        wait_for(
            "the new discovery is in use",
            lambda: b"SIGHUP: discovery is at" in (tmp_path / "log").read_bytes(),
        )
        assert (
            send_request(port, encode_submit("gallery-notice", "8", "nobody there", deadline_ms=100))
            == b"+OK\r\n"
        )
        wait_for("a notification at the new address", lambda: len(Partner.notification_ports) > 1)
        assert Partner.notification_ports[-1] == other.server_port
    finally:
        courier.kill()
        courier.wait()
        other.shutdown()
        other.server_close()
