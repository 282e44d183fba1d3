"""A courier process with discovery, endpoints and clients on loopback, whose bytes a test controls.

Each wait is for an observed state and normally ends long before `WAIT_TIMEOUT_SECONDS`.
"""

from __future__ import annotations

import json
import os
import secrets
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from winchspan.fakes.ports import free_ports

ROOT = Path(__file__).parent.parent
HOST = "127.0.0.1"
WAIT_TIMEOUT_SECONDS = 60.0


def wait_for(description: str, check: Callable[[], Any]) -> Any:
    """Poll `check` until its result is true, and return that result."""
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while not (result := check()):
        assert time.monotonic() < deadline, description
        time.sleep(0.005)
    return result


def free_port() -> int:
    return free_ports(1)[0]


def reset_connection(connection: socket.socket) -> None:
    """Close a connection with a TCP reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


class Call:
    """One complete HTTP request that a server has read; the test writes the response."""

    def __init__(self, connection: socket.socket, head: str, body: bytes) -> None:
        self.connection, self.body = connection, body
        first, *lines = head.split("\r\n")
        self.path = first.split(" ")[1]
        self.headers = {
            name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)
        }

    @property
    def ids(self) -> list[str]:
        """The ids of the messages in the call."""
        if self.path == "/hook/batch":
            return [item["id"] for item in json.loads(self.body)]
        return [self.headers["x-request-id"]]

    def write(self, raw: bytes) -> None:
        self.connection.sendall(raw)

    def answer(self, status: int = 200, *headers: str) -> None:
        """Write a complete response; a batch response reports each message as `ok`."""
        body = b""
        if self.path == "/hook/batch" and status == 200:
            body = json.dumps([{"id": message, "state": "ok"} for message in self.ids]).encode()
        lines = [f"HTTP/1.1 {status} x", *headers, f"Content-Length: {len(body)}", "", ""]
        self.write("\r\n".join(lines).encode() + body)


class Server:
    """Listens, reads complete requests and passes each to `on_call`.

    Attributes:
        connections: the accepted connections.
        calls: the requests read so far.
        on_call: handles each request; by default it is not answered.
        accepting: set while connections are accepted.
    """

    def __init__(self, backlog: int = 64, is_accepting: bool = True) -> None:
        self.listener = socket.create_server((HOST, 0), backlog=backlog)
        self.port: int = self.listener.getsockname()[1]
        self.connections: list[socket.socket] = []
        self.calls: list[Call] = []
        self.on_call: Callable[[Call], None] = lambda call: None
        self.accepting = threading.Event()
        if is_accepting:
            self.accepting.set()
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    def _accept(self) -> None:
        while True:
            self.accepting.wait()
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.connections.append(connection)
            threading.Thread(target=self._read, args=(connection,), daemon=True).start()

    @staticmethod
    def _receive(connection: socket.socket) -> bytes:
        """Return the next bytes.

        Reads with a timeout: a pending read would keep a connection open that the test closes.
        """
        while True:
            try:
                return connection.recv(1 << 16)
            except TimeoutError:
                continue

    def _read(self, connection: socket.socket) -> None:
        data = b""
        connection.settimeout(0.02)
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    if not (chunk := self._receive(connection)):
                        return
                    data += chunk
                head, _, data = data.partition(b"\r\n\r\n")
                length = 0
                for line in head.split(b"\r\n"):
                    if line.lower().startswith(b"content-length:"):
                        length = int(line.split(b":")[1])
                while len(data) < length:
                    if not (chunk := self._receive(connection)):
                        return
                    data += chunk
                call, data = Call(connection, head.decode(), data[:length]), data[length:]
                self.calls.append(call)
                self.on_call(call)
        except OSError:
            return

    def close(self) -> None:
        self.listener.close()
        for connection in self.connections:
            connection.close()

    def message_ids(self) -> list[str]:
        """Return the ids of all received messages, once for each attempt."""
        return [message for call in [*self.calls] for message in call.ids]


class DiscoveryServer(Server):
    """Serves the discovery watch and receives notifications; a test may replace both handlers.

    Attributes:
        seq: the sequence number of the latest change.
        hosts: the listed endpoints, by name.
        notifications: the received notifications.
        watches: the watch requests.
        on_watch: handles a watch request.
        on_notification: responds to a request with notifications.
    """

    def __init__(self) -> None:
        super().__init__()
        self.seq, self.hosts = 1, dict[str, dict[str, Any]]()
        self.notifications: list[dict[str, Any]] = []
        self.watches: list[Call] = []
        self.on_watch: Callable[[Call], None] = self.send_full_list
        self.on_notification: Callable[[Call], None] = lambda call: call.write(b"HTTP/1.1 204 x\r\n\r\n")
        self.on_call = self._serve

    def _serve(self, call: Call) -> None:
        if call.path == "/v1/notices":
            self.notifications += [json.loads(line) for line in call.body.splitlines()]
            self.on_notification(call)
        else:
            self.watches.append(call)
            self.on_watch(call)

    def full_list(self) -> dict[str, Any]:
        return {"seq": self.seq, "whole": True, "hosts": [*self.hosts.values()]}

    def start_response(self, call: Call) -> None:
        call.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

    def send_chunk(self, call: Call, data: bytes) -> None:
        call.write(b"%x\r\n%s\r\n" % (len(data), data))

    def send_full_list(self, call: Call) -> None:
        """Send the full list and keep the watch open."""
        self.start_response(call)
        self.send_chunk(call, json.dumps(self.full_list()).encode() + b"\n")

    def change_endpoint(self, name: str, **entry: Any) -> bytes:
        """Change one endpoint of the list and return the line that announces the change."""
        self.seq += 1
        self.hosts[name] = self.hosts.get(name, {}) | {"host": name} | entry
        host = self.hosts[name]
        if host.get("health") == "removed":
            del self.hosts[name]
        return json.dumps({"seq": self.seq, "whole": False, "hosts": [host]}).encode() + b"\n"

    def final_state(self, message: str) -> str | None:
        """Return the state in the latest notification of a message; None: not notified."""
        return next((n["state"] for n in reversed([*self.notifications]) if n["id"] == message), None)


class Client:
    """A client with one connection to the courier."""

    def __init__(self, port: int) -> None:
        self.connection = socket.create_connection((HOST, port), timeout=WAIT_TIMEOUT_SECONDS)
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._read = self.connection.makefile("rb")

    def send(self, raw: bytes) -> None:
        self.connection.sendall(raw)

    def read_line(self) -> bytes:
        """Return the next line; empty at the end of the connection."""
        return self._read.readline()

    def request(self, raw: bytes) -> bytes:
        self.send(raw)
        return self.read_line()

    def close(self) -> None:
        self._read.close()
        self.connection.close()


PING = b"*1\r\n$4\r\nPING\r\n"


def encode_command(*arguments: bytes) -> bytes:
    return b"*%d\r\n" % len(arguments) + b"".join(b"$%d\r\n%s\r\n" % (len(each), each) for each in arguments)


def encode_submit(
    message: str,
    cls: str = "plain",
    dest: int = 7,
    key: int = 0,
    remaining_ms: int = 60_000,
    body: bytes = b"x",
    token: str | None = None,
    extra: str = "",
) -> bytes:
    """Return an encoded SUBMIT command."""
    attributes = f"c={cls},d={remaining_ms},k={token or secrets.token_hex(8)},dest={dest}{extra}"
    return encode_command(b"SUBMIT", b"%016x" % key, message.encode(), attributes.encode(), body)


def message_class(name: str, idempotency: str, seconds: float = 600.0, **changes: Any) -> dict[str, Any]:
    return {
        "name": name,
        "gain": 1.0,
        "goal_time_ns": int(seconds * 5e8),
        "hard_limit_ns": int(seconds * 1e9),
        "idempotency": idempotency,
        "late_worth": 0.1,
    } | changes


CLASSES = (
    message_class("plain", "repeatable"),
    message_class("keyed", "by_key", window_ns=600 * 10**9, group="all", in_order=True),
    message_class("once", "once"),
)


class CourierHarness:
    """A courier process with its discovery server, one endpoint and clients.

    Attributes:
        folder: the directory of its configuration, state and log.
        discovery: its discovery server.
        endpoint: the endpoint that is listed at the start.
        config: its configuration, as JSON values.
        arguments: its command line.
        program: the directory of the program that is started.
    """

    def __init__(self, folder: Path, **settings: Any) -> None:
        self.folder, self.discovery, self.endpoint = folder, DiscoveryServer(), Server()
        self.list_endpoint("s-1", self.endpoint)
        self.port, self._clients = free_port(), list[Client]()
        self.config = json.loads((ROOT / "examples" / "config.json").read_text())
        self.config |= {
            "listen": f"{HOST}:{self.port}",
            "discovery": self.discovery.address,
            "state": str(folder / "state"),
        }
        self.config.pop("admin")
        self.config["settings"]["request_classes"] = [*CLASSES]
        self.configure(**settings)
        (folder / "state").mkdir()
        self.process: subprocess.Popen[bytes] | None = None
        self.listener: socket.socket | None = None
        self.arguments: list[str] = []
        self.program = ROOT

    def configure(self, **settings: Any) -> None:
        """Change settings and write the configuration.

        The prefix `limits_` or `rules_` of a name selects that section of the settings.
        """
        for name, value in settings.items():
            section, _, key = name.partition("_")
            if section in ("limits", "rules"):
                self.config["settings"][section][key] = value
            elif name == "sockets":
                self.config["limits"]["sockets"] = value
            else:
                self.config["settings"][name] = value
        new = self.folder / "config.json.new"
        new.write_text(json.dumps(self.config))
        new.replace(self.folder / "config.json")

    def list_endpoint(self, name: str, server: Server, dest: int = 7, **changes: Any) -> bytes:
        return self.discovery.change_endpoint(
            name,
            dial=server.address,
            site="toy",
            block=dest,
            health="up",
            share=50.0,
            born_ms=0,
            **{"class": "large-host"} | changes,
        )

    def hold_listener(self) -> None:
        """Open the clients' listening socket, which stays open when the courier ends."""
        self.listener = socket.create_server((HOST, self.port), backlog=64)

    def start(self, known: bool = True) -> CourierHarness:
        """Start the courier and wait until it answers PING."""
        self.config["known"] = self.discovery.full_list() if known else {"seq": 0, "whole": True, "hosts": []}
        self.configure()
        self.start_process()
        self.wait_until_ready()
        return self

    def wait_until_ready(self) -> None:
        """Wait until the courier answers PING."""

        def is_ready() -> bool:
            assert self.process is not None and self.process.poll() is None, self.read_log()
            try:
                client = Client(self.port)
                try:
                    return client.request(PING) == b"+PONG\r\n"
                finally:
                    client.close()
            except OSError:
                return False

        wait_for("the courier is ready", is_ready)

    def start_process(self) -> None:
        """Start a process, which takes over from a serving one if the listening socket is held."""
        env = os.environ | {"ROUTER_CONFIG": str(self.folder / "config.json"), "ROUTER_LOG": "DEBUG"}
        descriptors = () if self.listener is None else (self.listener.fileno(),)
        for descriptor in descriptors:
            env["ROUTER_SOCKET_FD"] = str(descriptor)
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "winchspan", *self.arguments],
                cwd=self.program,
                env=env,
                stderr=log,
                pass_fds=descriptors,
            )

    def read_log(self) -> str:
        return (self.folder / "log").read_text()

    def connect_client(self) -> Client:
        client = Client(self.port)
        self._clients.append(client)
        return client

    def submit(self, *requests: bytes) -> None:
        """Send SUBMIT commands one after another on one connection; each must be accepted."""
        client = self.connect_client()
        for request in requests:
            assert client.request(request) == b"+OK\r\n"
        client.close()

    def send_signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    def wait_for_exit(self) -> int:
        """Wait until the process has ended, and return its exit code."""
        assert self.process is not None
        return self.process.wait(WAIT_TIMEOUT_SECONDS)

    def kill(self) -> None:
        self.send_signal(signal.SIGKILL)
        self.wait_for_exit()

    def descriptor_count(self) -> int:
        """Return the number of open file descriptors of the process."""
        assert self.process is not None
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def wait_for_calls(self, count: int, server: Server | None = None) -> list[Call]:
        """Wait until a server has received `count` calls, and return all its calls."""
        receiver = server or self.endpoint
        wait_for(f"{count} calls", lambda: len(receiver.calls) >= count)
        return [*receiver.calls]

    def wait_for_notification(self, message: str, state: str | None = None) -> None:
        """Wait for the notification of a message, and check its state if one is given."""
        final_state = wait_for(f"the notification of {message}", lambda: self.discovery.final_state(message))
        assert state in (None, final_state)

    def close(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.wait()
        for client in self._clients:
            client.close()
        if self.listener is not None:
            self.listener.close()
        self.discovery.close()
        self.endpoint.close()


def wait_for_drain(harness: CourierHarness, client: Client) -> None:
    """Wait until a new process asks to take over; the client keeps its connection from falling idle."""

    def is_draining() -> bool:
        assert client.request(PING) == b"+PONG\r\n"
        return "asks to take over" in harness.read_log()

    wait_for("the drain", is_draining)
