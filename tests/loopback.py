"""A courier's process between a discovery, endpoints and clients that a test plays by hand, byte for byte.

All on loopback. Every wait is for an observed state; `PATIENCE` is far more than any takes.
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
PATIENCE = 60.0  # s


def wait_for(what: str, check: Callable[[], Any]) -> Any:
    """What `check` returns, once that is anything."""
    end = time.monotonic() + PATIENCE
    while not (found := check()):
        assert time.monotonic() < end, what
        time.sleep(0.005)
    return found


def free_port() -> int:
    return free_ports(1)[0]


def reset(link: socket.socket) -> None:
    """Close a connection by a reset."""
    link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    link.close()


class Call:
    """One HTTP request that an endpoint has read whole; the test says what comes back."""

    def __init__(self, link: socket.socket, head: str, body: bytes) -> None:
        self.link, self.body = link, body
        first, *lines = head.split("\r\n")
        self.path = first.split(" ")[1]
        self.headers = {
            name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)
        }

    @property
    def ids(self) -> list[str]:
        """The messages in it."""
        if self.path == "/hook/batch":
            return [item["id"] for item in json.loads(self.body)]
        return [self.headers["x-request-id"]]

    def write(self, raw: bytes) -> None:
        self.link.sendall(raw)

    def answer(self, status: int = 200, *headers: str) -> None:
        """A whole answer; each message of several is `ok`."""
        body = b""
        if self.path == "/hook/batch" and status == 200:
            body = json.dumps([{"id": message, "state": "ok"} for message in self.ids]).encode()
        lines = [f"HTTP/1.1 {status} x", *headers, f"Content-Length: {len(body)}", "", ""]
        self.write("\r\n".join(lines).encode() + body)


class Server:
    """Listens and reads requests whole; what it does with one is `on_call`."""

    def __init__(self, backlog: int = 64, takes: bool = True) -> None:
        self.listener = socket.create_server((HOST, 0), backlog=backlog)
        self.port: int = self.listener.getsockname()[1]
        self.links: list[socket.socket] = []
        self.calls: list[Call] = []
        self.on_call: Callable[[Call], None] = lambda call: None
        self.takes = threading.Event()  # whether it accepts
        if takes:
            self.takes.set()
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    def _accept(self) -> None:
        while True:
            self.takes.wait()
            try:
                link, _ = self.listener.accept()
            except OSError:
                return
            self.links.append(link)
            threading.Thread(target=self._read, args=(link,), daemon=True).start()

    @staticmethod
    def _more(link: socket.socket) -> bytes:
        """What comes next. A read without an end would keep the system from closing what the test closes."""
        while True:
            try:
                return link.recv(1 << 16)
            except TimeoutError:
                continue

    def _read(self, link: socket.socket) -> None:
        data = b""
        link.settimeout(0.02)
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    if not (more := self._more(link)):
                        return
                    data += more
                head, _, data = data.partition(b"\r\n\r\n")
                length = 0
                for line in head.split(b"\r\n"):
                    if line.lower().startswith(b"content-length:"):
                        length = int(line.split(b":")[1])
                while len(data) < length:
                    if not (more := self._more(link)):
                        return
                    data += more
                call, data = Call(link, head.decode(), data[:length]), data[length:]
                self.calls.append(call)
                self.on_call(call)
        except OSError:
            return

    def close(self) -> None:
        self.listener.close()
        for link in self.links:
            link.close()

    def begun(self) -> list[str]:
        """All messages that were sent here, once for each attempt."""
        return [message for call in [*self.calls] for message in call.ids]


class Agent(Server):
    """Discovery and the platform's notices; what a watch is told is up to the test."""

    def __init__(self) -> None:
        super().__init__()
        self.seq, self.hosts = 1, dict[str, dict[str, Any]]()
        self.notices: list[dict[str, Any]] = []
        self.watches: list[Call] = []
        self.on_watch: Callable[[Call], None] = self.tell_all
        self.on_notice: Callable[[Call], None] = lambda call: call.write(b"HTTP/1.1 204 x\r\n\r\n")
        self.on_call = self._serve

    def _serve(self, call: Call) -> None:
        if call.path == "/v1/notices":
            self.notices += [json.loads(line) for line in call.body.splitlines()]
            self.on_notice(call)
        else:
            self.watches.append(call)
            self.on_watch(call)

    def whole(self) -> dict[str, Any]:
        return {"seq": self.seq, "whole": True, "hosts": [*self.hosts.values()]}

    def begin(self, call: Call) -> None:
        call.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

    def chunk(self, call: Call, data: bytes) -> None:
        call.write(b"%x\r\n%s\r\n" % (len(data), data))

    def tell_all(self, call: Call) -> None:
        """The whole list, and nothing after it."""
        self.begin(call)
        self.chunk(call, json.dumps(self.whole()).encode() + b"\n")

    def change(self, name: str, **entry: Any) -> bytes:
        """A line that changes one endpoint; it is in force here from now on."""
        self.seq += 1
        self.hosts[name] = self.hosts.get(name, {}) | {"host": name} | entry
        found = self.hosts[name]
        if found.get("health") == "removed":
            del self.hosts[name]
        return json.dumps({"seq": self.seq, "whole": False, "hosts": [found]}).encode() + b"\n"

    def ended(self, message: str) -> str | None:
        """The state that was last told of a message."""
        return next((n["state"] for n in reversed([*self.notices]) if n["id"] == message), None)


class Client:
    """One client's connection."""

    def __init__(self, port: int) -> None:
        self.link = socket.create_connection((HOST, port), timeout=PATIENCE)
        self.link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._read = self.link.makefile("rb")

    def send(self, raw: bytes) -> None:
        self.link.sendall(raw)

    def line(self) -> bytes:
        """The next line; empty at the end of the connection."""
        return self._read.readline()

    def ask(self, raw: bytes) -> bytes:
        self.send(raw)
        return self.line()

    def close(self) -> None:
        self._read.close()
        self.link.close()


PING = b"*1\r\n$4\r\nPING\r\n"


def words(*found: bytes) -> bytes:
    return b"*%d\r\n" % len(found) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in found)


def submit(
    message: str,
    cls: str = "plain",
    dest: int = 7,
    key: int = 0,
    left: int = 60_000,
    body: bytes = b"x",
    token: str | None = None,
    extra: str = "",
) -> bytes:
    """A message to hand in."""
    names = f"c={cls},d={left},k={token or secrets.token_hex(8)},dest={dest}{extra}"
    return words(b"SUBMIT", b"%016x" % key, message.encode(), names.encode(), body)


def message_class(name: str, idempotency: str, seconds: float = 600.0, **more: Any) -> dict[str, Any]:
    return {
        "name": name,
        "gain": 1.0,
        "goal_time_ns": int(seconds * 5e8),
        "hard_limit_ns": int(seconds * 1e9),
        "idempotency": idempotency,
        "late_worth": 0.1,
    } | more


CLASSES = (
    message_class("plain", "repeatable"),
    message_class("keyed", "by_key", window_ns=600 * 10**9, group="all", in_order=True),
    message_class("once", "once"),
)


class Loopback:
    """The courier's process, and all that stands round it."""

    def __init__(self, folder: Path, **settings: Any) -> None:
        self.folder, self.agent, self.endpoint = folder, Agent(), Server()
        self.list_endpoint("s-1", self.endpoint)
        self.port, self._clients = free_port(), list[Client]()
        self.config = json.loads((ROOT / "examples" / "config.json").read_text())
        self.config |= {
            "listen": f"{HOST}:{self.port}",
            "discovery": self.agent.address,
            "state": str(folder / "state"),
        }
        self.config.pop("admin")
        self.config["settings"]["request_classes"] = [*CLASSES]
        self.set(**settings)
        (folder / "state").mkdir()
        self.process: subprocess.Popen[bytes] | None = None

    def set(self, **settings: Any) -> None:
        """Write the configuration with other settings; `limits_` or `rules_` before a name says where."""
        for name, value in settings.items():
            part, _, rest = name.partition("_")
            if part in ("limits", "rules"):
                self.config["settings"][part][rest] = value
            elif name == "sockets":
                self.config["limits"]["sockets"] = value
            else:
                self.config["settings"][name] = value
        (self.folder / "config.json").write_text(json.dumps(self.config))

    def list_endpoint(self, name: str, server: Server, dest: int = 7, **more: Any) -> bytes:
        return self.agent.change(
            name,
            dial=server.address,
            site="toy",
            block=dest,
            health="up",
            share=50.0,
            born_ms=0,
            **{"class": "large-host"} | more,
        )

    def start(self, known: bool = True) -> Loopback:
        """Start it and wait until it answers."""
        self.config["known"] = self.agent.whole() if known else {"seq": 0, "whole": True, "hosts": []}
        self.set()
        env = os.environ | {"ROUTER_CONFIG": str(self.folder / "config.json"), "ROUTER_LOG": "DEBUG"}
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "winchspan"], cwd=ROOT, env=env, stderr=log
            )

        def ready() -> bool:
            assert self.process is not None and self.process.poll() is None, self.log()
            try:
                client = Client(self.port)
                try:
                    return client.ask(PING) == b"+PONG\r\n"
                finally:
                    client.close()
            except OSError:
                return False

        wait_for("ready", ready)
        return self

    def log(self) -> str:
        return (self.folder / "log").read_text()

    def client(self) -> Client:
        found = Client(self.port)
        self._clients.append(found)
        return found

    def take(self, *raw: bytes) -> None:
        """Hand messages in, one after the other on one connection."""
        client = self.client()
        for request in raw:
            assert client.ask(request) == b"+OK\r\n"
        client.close()

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    def end(self) -> int:
        """Wait until the process has ended; its exit code."""
        assert self.process is not None
        return self.process.wait(PATIENCE)

    def kill(self) -> None:
        self.signal(signal.SIGKILL)
        self.end()

    def descriptors(self) -> int:
        """How many it holds."""
        assert self.process is not None
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def calls(self, count: int, server: Server | None = None) -> list[Call]:
        """The calls that have come, once there are so many."""
        found = server or self.endpoint
        wait_for(f"{count} calls", lambda: len(found.calls) >= count)
        return [*found.calls]

    def ended(self, message: str, state: str | None = None) -> None:
        """Wait for the notice of a message."""
        told = wait_for(f"the end of {message}", lambda: self.agent.ended(message))
        assert state in (None, told)

    def close(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.wait()
        for client in self._clients:
            client.close()
        self.agent.close()
        self.endpoint.close()
