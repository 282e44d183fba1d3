"""Small stand-ins for the second review: discovery, endpoints, clients, and the couriers' processes.

They do what the users' pages allow: PROTOCOL (clients, endpoints, notices, discovery) and DEPLOY (variables,
folder). Where a page is silent they behave like a sound server, client or platform. All addresses are on
loopback.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

ROOT: Final = Path(__file__).resolve().parent.parent
HOST: Final = "127.0.0.1"
FIRST_PORT: Final = 10_000
LAST_PORT: Final = 32_000
READY_LIMIT_S: Final = 20.0
REPLY_LIMIT_S: Final = 0.4
HELD: Final = 0
BROKEN: Final = 10  # `run.sh` exits with 1 for it alone: Python exits with 1 for an error of the script
COULD_NOT_RUN: Final = 2


class CouldNotRunError(Exception):
    """The case could not be played."""


def now() -> float:
    """Return the monotonic clock in seconds."""
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = now()

    def write(self, text: str) -> None:
        """Add a line with the seconds since the begin."""
        self._file.write(f"{now() - self._began:9.3f} {text}\n")
        self._file.flush()


def free_port() -> int:
    """Return a port that is free for TCP and UDP, below those that the system gives to connections."""
    for _ in range(200):
        port = random.randrange(FIRST_PORT, LAST_PORT)
        try:
            with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagrams:
                stream.bind((HOST, port))
                datagrams.bind((HOST, port))
        except OSError:
            continue
        return port
    raise CouldNotRunError("no free port")


def reserve(port: int) -> socket.socket:
    """Keep a port from others while its courier is away; a courier may listen there all the same."""
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind((HOST, port))
    return holder


# ---- HTTP servers -------------------------------------------------------------------------------------
@dataclass(eq=False)
class Request:
    """A request that has come whole.

    Attributes:
        method: its method.
        path: its path.
        headers: its headers, names in lower case.
        body: its body.
        source: the courier that sent it.
        at: when its last byte came.
        first_at: when its first byte came.
        ended_at: when it was answered or its connection ended; None: it is still out.
        outcome: how it ended.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    source: str
    at: float
    first_at: float
    ended_at: float | None = None
    outcome: str = "out"

    @property
    def ids(self) -> list[str]:
        """The ids of the messages in a call."""
        if self.path == "/hook/batch":
            return [str(row["id"]) for row in json.loads(self.body)]
        return [self.headers.get("x-request-id", "")]

    @property
    def keys(self) -> list[str]:
        """The idempotency keys of the messages in a call."""
        if self.path == "/hook/batch":
            return [str(row.get("key", "")) for row in json.loads(self.body)]
        return [self.headers.get("idempotency-key", "")]

    @property
    def bodies(self) -> list[bytes]:
        """The bodies of the messages in a call."""
        if self.path == "/hook/batch":
            return [base64.b64decode(row["body"]) for row in json.loads(self.body)]
        return [self.body]


class HttpConnection(asyncio.Protocol):
    """The server's side of one connection; it carries one request at a time."""

    def __init__(self, source: str, handle: Callable[[HttpConnection, Request], None]) -> None:
        self.source = source
        self.transport: asyncio.Transport | None = None
        self.request: Request | None = None
        self._handle = handle
        self._data = bytearray()
        self._first_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Read the requests that have come whole."""
        if not self._data:
            self._first_at = now()
        self._data += data
        self._read()

    def _read(self) -> None:
        end = self._data.find(b"\r\n\r\n")
        if end < 0 or self.request is not None:
            return
        first, *lines = self._data[:end].decode("latin-1").split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        size = int(headers.get("content-length", "0"))
        if len(self._data) < end + 4 + size:
            return
        body = bytes(self._data[end + 4 : end + 4 + size])
        del self._data[: end + 4 + size]
        method, path, _ = first.split(" ", 2)
        self.request = Request(method, path, headers, body, self.source, now(), self._first_at)
        self._handle(self, self.request)

    def answer(self, status: int, headers: dict[str, str] | None = None, body: bytes = b"") -> None:
        """Answer the request that is out, unless its connection has ended."""
        request = self.request
        if request is None or self.transport is None or self.transport.is_closing():
            return
        lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in (headers or {}).items())]
        if status != 204:
            lines.append(f"Content-Length: {len(body)}")
        self.transport.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        self._end(f"answered {status}")
        self._read()

    def reset(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            self.transport.abort()
        self._end("reset")

    def eof_received(self) -> bool:
        """Take the end of the courier's sending as its giving up."""
        self._end("given up")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Take the end of the connection as the courier's giving up."""
        self._end("given up")

    def _end(self, outcome: str) -> None:
        if self.request is not None:
            self.request.ended_at = now()
            self.request.outcome = outcome
            self.request = None


Answer = tuple[int, dict[str, str], bytes]
Behaviour = Callable[["Endpoint", Request], Awaitable[Answer | None]]


class Endpoint:
    """An endpoint of a destination, with an address of its own for each courier.

    Attributes:
        name: its id in discovery's list.
        destination: its `block`.
        calls: all calls that have come whole.
        behaviour: returns the answer to a call; None: it is never answered.
        health: its state in discovery's list.
    """

    def __init__(self, record: Record, name: str, destination: int, kind: str, rate: float) -> None:
        self.name = name
        self.destination = destination
        self.kind = kind
        self.rate = rate
        self.calls: list[Request] = []
        self.behaviour: Behaviour = answer_at_once
        self.health = "up"
        self.born_ms = 0
        self.site = "dc-kenanga"
        self.ports: dict[str, int] = {}
        self.connections: set[HttpConnection] = set()
        self._record = record
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, source: str) -> None:
        """Listen at a new address for one courier."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: self._connect(source), HOST, 0)
        self.ports[source] = int(server.sockets[0].getsockname()[1])

    def _connect(self, source: str) -> HttpConnection:
        connection = HttpConnection(source, self._handle)
        self.connections.add(connection)
        return connection

    def _handle(self, connection: HttpConnection, request: Request) -> None:
        self.calls.append(request)
        self._record.write(f"call {self.name} from {request.source}: {request.path} {','.join(request.ids)}")
        task = asyncio.get_running_loop().create_task(self._answer(connection, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, connection: HttpConnection, request: Request) -> None:
        answer = await self.behaviour(self, request)
        if answer is not None and connection.request is request:
            status, headers, body = answer
            connection.answer(status, headers, body)
            self._record.write(f"answer {self.name} to {request.source}: {status} {','.join(request.ids)}")

    def row(self, source: str) -> dict[str, object]:
        """Return its entry in discovery's list for one courier."""
        return {
            "host": self.name,
            "dial": f"{HOST}:{self.ports[source]}",
            "site": self.site,
            "class": self.kind,
            "block": self.destination,
            "health": self.health,
            "share": self.rate,
            "born_ms": self.born_ms,
        }


def delivered(request: Request) -> Answer:
    """Return the answer that delivers all messages of a call."""
    if request.path == "/hook/batch":
        return 200, {}, json.dumps([{"id": each, "state": "ok"} for each in request.ids]).encode()
    return 200, {}, b""


async def answer_at_once(endpoint: Endpoint, request: Request) -> Answer | None:
    """Deliver after a usual time."""
    del endpoint
    await asyncio.sleep(random.uniform(0.2, 0.4))
    return delivered(request)


async def never_answer(endpoint: Endpoint, request: Request) -> Answer | None:
    """Take the call and never answer it."""
    del endpoint, request
    return None


# ---- the platform -------------------------------------------------------------------------------------
@dataclass(frozen=True)
class Notice:
    """A notice that has come."""

    id: str
    state: str
    at: float


class Platform:
    """Discovery's agent and the address of the notices, of one courier."""

    def __init__(self, record: Record, source: str, endpoints: list[Endpoint]) -> None:
        self.port = 0
        self.notices: list[Notice] = []
        self.sequence = 41
        self.endpoints = endpoints
        self._source = source
        self._record = record
        self._watches: set[HttpConnection] = set()

    async def start(self) -> None:
        """Listen, and keep the watches alive."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: HttpConnection(self._source, self._handle), HOST, 0)
        self.port = int(server.sockets[0].getsockname()[1])
        self._beat = loop.create_task(self._beats())

    async def _beats(self) -> None:
        while True:
            await asyncio.sleep(2.0)
            self._tell("\n")

    def whole(self) -> dict[str, object]:
        """Return the whole list."""
        hosts = [each.row(self._source) for each in self.endpoints if each.health != "removed"]
        return {"seq": self.sequence, "whole": True, "hosts": hosts}

    def change(self, changed: list[Endpoint]) -> None:
        """Tell that entries have changed."""
        self.sequence += 1
        rows = [each.row(self._source) for each in changed]
        self._record.write(f"discovery {self._source}: {[(each.name, each.health) for each in changed]}")
        self._tell(json.dumps({"seq": self.sequence, "whole": False, "hosts": rows}) + "\n")

    def _tell(self, text: str) -> None:
        for connection in list(self._watches):
            if connection.transport is None or connection.transport.is_closing():
                self._watches.discard(connection)
            else:
                connection.transport.write(f"{len(text):x}\r\n{text}\r\n".encode())

    def _handle(self, connection: HttpConnection, request: Request) -> None:
        if request.path == "/v1/notices":
            for line in request.body.splitlines():
                row = json.loads(line)
                self.notices.append(Notice(str(row["id"]), str(row["state"]), request.at))
                self._record.write(f"notice from {self._source}: {line.decode()}")
            connection.answer(204)
        elif "follow=1" in request.path:
            assert connection.transport is not None
            connection.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            text = json.dumps(self.whole()) + "\n"
            connection.transport.write(f"{len(text):x}\r\n{text}\r\n".encode())
            self._watches.add(connection)
        else:
            connection.answer(200, {}, json.dumps(self.whole()).encode())


# ---- couriers -----------------------------------------------------------------------------------------
def run_command() -> str:
    """Return the `run` command of the deploy file."""
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        return str(tomllib.load(file)["run"])


class Courier:
    """A courier's process, started by the deploy file's `run`, with its folder and its platform."""

    def __init__(self, record: Record, folder: Path, name: str, endpoints: list[Endpoint]) -> None:
        self.name = name
        self.port = free_port()
        self.admin_port = free_port()
        self._reserved = [reserve(self.port), reserve(self.admin_port)]
        self.platform = Platform(record, name, endpoints)
        self.settings: dict[str, Any] = {}
        self.operator: Path | None = None
        self.listener: socket.socket | None = None
        self.process: subprocess.Popen[bytes] | None = None
        self.processes: list[subprocess.Popen[bytes]] = []
        self._endpoints = endpoints
        self._record = record
        self._folder = folder / name
        (self._folder / "state").mkdir(parents=True)
        self.config_path = self._folder / "config.json"

    async def prepare(self, settings: dict[str, Any]) -> None:
        """Open the addresses, and write the configuration."""
        await self.platform.start()
        for endpoint in self._endpoints:
            if self.name not in endpoint.ports:
                await endpoint.listen(self.name)
        self.settings = settings
        self.write_config()

    def write_config(self) -> None:
        """Replace the configuration file."""
        config = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "admin": f"{HOST}:{self.admin_port}",
            "discovery": f"{HOST}:{self.platform.port}",
            "state": str(self._folder / "state"),
            "seed": f"{random.getrandbits(60):x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512, "disk_mb": 3},
            "known": self.platform.whole(),
            "settings": self.settings,
        }
        new = self.config_path.with_suffix(".new")
        new.write_text(json.dumps(config))
        new.replace(self.config_path)

    def start(self) -> None:
        """Start the process."""
        temporary = self._folder / f"tmp{len(self.processes)}"
        temporary.mkdir()
        names = {"PATH", "HOME", "LANG", "LD_LIBRARY_PATH"}
        environment = {name: value for name, value in os.environ.items() if name in names}
        environment |= {
            "TMPDIR": str(temporary),
            "ROUTER_NAME": self.name,
            "ROUTER_CONFIG": str(self.config_path),
            "ROUTER_STATE": str(self._folder / "state"),
            "ROUTER_LOG": os.environ.get("ROUTER_LOG", "INFO"),
        }
        descriptors: tuple[int, ...] = ()
        if self.listener is not None:
            descriptors = (self.listener.fileno(),)
            environment["ROUTER_SOCKET_FD"] = str(descriptors[0])
            environment["ROUTER_ADMIN"] = f"{HOST}:{self.admin_port}"
        with (self._folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", self._command()],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=descriptors,
            )
        self.processes.append(self.process)
        self._record.write(f"{self.name} started")

    def _command(self) -> str:
        """Return the `run` command, with another operator's file where there is one."""
        if self.operator is None:
            return run_command()
        return run_command().replace("deploy/kenanga.sexp", str(self.operator))

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self._record.write(f"{number.name} to {self.name}")
        self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process, and wait for its end."""
        self.signal(signal.SIGKILL)
        assert self.process is not None
        await asyncio.to_thread(self.process.wait)

    @property
    def has_crashed(self) -> bool:
        """Whether the process has ended."""
        return self.process is not None and self.process.poll() is not None

    async def wait_ready(self) -> None:
        """Wait until the process answers PING with PONG."""
        until = now() + READY_LIMIT_S
        while now() < until:
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(encode(b"PING"))
                line = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
            except (OSError, TimeoutError):
                line = b""
            if line == b"+PONG\r\n":
                self._record.write(f"{self.name} ready")
                return
            await asyncio.sleep(0.02)
        raise CouldNotRunError(f"{self.name} was not ready in {READY_LIMIT_S} s: {self.log_tail()}")

    async def admin(self, method: str, path: str) -> int:
        """Call the operators' address, and return the status; 0: no answer."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.admin_port)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode())
            line = await asyncio.wait_for(reader.readline(), 2.0)
            writer.close()
        except (OSError, TimeoutError):
            return 0
        self._record.write(f"{self.name} admin {method} {path}: {line.decode().strip()}")
        return int(line.split()[1]) if line else 0

    async def counters(self) -> str:
        """Return the figures."""
        reader, writer = await asyncio.open_connection(HOST, self.admin_port)
        writer.write(b"GET /control/counters HTTP/1.1\r\nHost: x\r\n\r\n")
        text = (await asyncio.wait_for(reader.read(), 2.0)).decode()
        writer.close()
        return text

    def log_tail(self) -> str:
        """Return the end of the log."""
        path = self._folder / "log"
        return path.read_text(errors="replace")[-1500:] if path.exists() else ""

    def log(self) -> str:
        """Return the whole log."""
        return (self._folder / "log").read_text(errors="replace")


# ---- clients ------------------------------------------------------------------------------------------
def encode(*words: bytes) -> bytes:
    """Return a RESP2 command."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


@dataclass(eq=False)
class Message:
    """A message that a client hands in.

    Attributes:
        id: its id.
        class_name: its class.
        destination: its destination.
        time_left_s: its time.
        key: its ordering key; 0: none.
        token: its idempotency key.
        body: its body.
        courier: the courier's name.
        sent_at: when it was written.
        answered_at: when its answer came.
        reply: the answer's line; empty: none in 400 ms.
    """

    id: str
    class_name: str
    destination: int
    time_left_s: float
    key: int = 0
    token: str = ""
    body: bytes = b"hello"
    courier: str = ""
    sent_at: float = 0.0
    answered_at: float = 0.0
    reply: str = ""

    @property
    def is_taken(self) -> bool:
        """Whether its client has heard that it is taken on."""
        return self.reply.startswith("+") or self.reply.startswith("$")

    def words(self) -> bytes:
        """Return the command that hands it in."""
        names = f"c={self.class_name},d={round(self.time_left_s * 1000)}"
        if self.token:
            names += f",k={self.token}"
        names += f",dest={self.destination}"
        return encode(b"SUBMIT", b"%016x" % self.key, self.id.encode(), names.encode(), self.body)


_random = random.Random(os.environ.get("SEED"))


def new_id() -> str:
    """Return a new id, or a new idempotency key."""
    return f"{_random.getrandbits(64):016x}"


class Client:
    """Hands in messages, on connections that it keeps."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._idle: dict[int, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}
        self.messages: list[Message] = []

    async def submit(self, courier: Courier, message: Message) -> Message:
        """Hand in a message, and wait 400 ms for the answer."""
        message.courier = courier.name
        self.messages.append(message)
        for _ in range(2):  # once more where the end of a resting connection crossed the request
            was_used, has_ended = await self._try(courier, message)
            if not (was_used and has_ended):
                break
        self._record.write(
            f"client to {courier.name}: {message.id} {message.class_name} dest={message.destination} "
            f"key={message.key:x} d={message.time_left_s:.3f} k={message.token}: "
            f"{message.reply or 'no answer'}"
        )
        return message

    async def _try(self, courier: Courier, message: Message) -> tuple[bool, bool]:
        """Return whether the connection had been used before, and whether it ended without an answer."""
        resting = self._idle.setdefault(courier.port, [])
        was_used = bool(resting)
        message.sent_at = now()
        try:
            if resting:
                reader, writer = resting.pop()
            else:
                reader, writer = await asyncio.open_connection(HOST, courier.port)
            message.sent_at = now()
            writer.write(message.words())
            line = await asyncio.wait_for(reader.readline(), REPLY_LIMIT_S)
        except TimeoutError:
            writer.close()
            return was_used, False
        except OSError:
            return was_used, True
        if not line.endswith(b"\n"):
            writer.close()
            return was_used, True
        message.answered_at = now()
        message.reply = line.decode("latin-1").strip()
        resting.append((reader, writer))
        return was_used, False


# ---- settings -----------------------------------------------------------------------------------------
NS: Final = 1_000_000_000


def kenanga_settings(couriers: int, number: int) -> dict[str, Any]:
    """Return the settings of WIRE's example, for some couriers."""
    return {
        "balancers": couriers,
        "clients": {"marks_retry": True},
        "counted_by": "request",
        "discovery": "push",
        "failure_domains": ["dc-kenanga"],
        "family_info": {
            "decay": "by_half",
            "fee_by_zone": [0.0],
            "kind_apart": [False, False, False],
            "per_call": [10, 1, 1],
            "refused_price": 0.05,
            "workers": 19,
        },
        "kind_of_service": "deliver",
        "kinds": ["large-host", "mid-host", "small-host"],
        "limits": {
            "cancel": True,
            "connect_timeout_ns": NS,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 500_000,
            "keepalive_ns": 10 * NS,
            "max_open": 334,
            "max_retry_after_ns": 2 * NS,
            "may_probe": True,
            "multiplex": 1,
            "peers": False,
            "retry_after": True,
            "second_copies": False,
            "try_limit": 6,
        },
        "load_report": {"columns": [], "how": "none"},
        "me": number,
        "over_share_worth": 0.1,
        "request_classes": [
            message_class("order-payment", (4.0, 24.0, 10.0), "by_key", 2.0, in_order=True),
            message_class("gallery-notice", (1.5, 5.0, 5.0), "repeatable"),
        ],
        "rules": {
            "ask_every_ns": 10 * NS,
            "cold_ns": 14 * NS,
            "drain_grace_ns": NS // 4,
            "fall_multiple": 2.0,
            "grace_to_answer_ns": 20_000_000,
            "start_capacity": 0.23,
            "tip_after_ns": 2 * NS,
            "turn_gap_ns": 300_000_000,
        },
        "step_ns": 5_000_000,
        "tenants": [],
        "tier": 0,
        "tiers": ["partner-systems"],
        "weights": "nominal",
        "zone": "dc-kenanga",
    }


def varazdin_settings(couriers: int, number: int) -> dict[str, Any]:
    """Return the settings of the second site, by its site file, for some couriers."""
    values = kenanga_settings(couriers, number)
    values["clients"] = {"marks_retry": False}
    values["failure_domains"] = ["zgrada-a", "zgrada-b", "zgrada-c"]
    values["family_info"] |= {
        "decay": "even",
        "fee_by_zone": [0.0, 0.0, 0.0],
        "kind_apart": [True, True],
        "per_call": [1, 1],
        "refused_price": 0.03,
    }
    values["kinds"] = ["national", "regional"]
    values["limits"] |= {"keepalive_ns": 15 * NS, "max_retry_after_ns": 3 * NS, "try_limit": 8}
    values["load_report"] = {"columns": ["x0", "x1"], "how": "answers"}
    values["request_classes"] = [
        message_class("order-step", (2.0, 20.0, 20.0), "by_key", in_order=True),
        message_class("status-notice", (2.0, 16.0, 16.0), "repeatable", 2.0),
        message_class("payment", (2.5, 20.0, 20.0), "once", 5.0),
    ]
    values["rules"] |= {
        "cold_ns": 13 * NS,
        "drain_grace_ns": NS // 2,
        "fall_multiple": 1.5,
        "start_capacity": 0.29,
        "tip_after_ns": 3 * NS // 2,
    }
    values["weights"] = "rough"
    values["zone"] = values["failure_domains"][number % 3]
    return values


def message_class(
    name: str, times_s: tuple[float, float, float], effect: str, gain: float = 1.0, *, in_order: bool = False
) -> dict[str, Any]:
    """Return a class of the settings; its times are aim, limit and window."""
    aim_s, limit_s, window_s = times_s
    return {
        "name": name,
        "gain": gain,
        "in_order": in_order,
        "goal_time_ns": int(aim_s * NS),
        "hard_limit_ns": int(limit_s * NS),
        "late_worth": 0.4,
        "idempotency": effect,
        "group": "all",
        "streamed": False,
        "window_ns": int(window_s * NS),
    }


# ---- a case -------------------------------------------------------------------------------------------
SettingsOf = Callable[[int, int], dict[str, Any]]


@dataclass
class Case:
    """What a case's script uses.

    Attributes:
        record: the record of the run.
        folder: a temporary folder, which is removed at the end.
        has_trouble: whether the disruption is played.
        couriers: the couriers, whose processes are ended at the end.
        in_front: the names of the couriers to which the front sends.
    """

    record: Record
    folder: Path
    has_trouble: bool
    couriers: list[Courier] = field(default_factory=list)
    in_front: set[str] = field(default_factory=set)

    async def add_couriers(
        self, count: int, endpoints: list[Endpoint], settings: SettingsOf
    ) -> list[Courier]:
        """Add couriers, start them and wait until they are ready."""
        for number in range(count):
            courier = Courier(self.record, self.folder, f"n{number}", endpoints)
            self.couriers.append(courier)
            await courier.prepare(settings(count, number))
            courier.start()
        for courier in self.couriers:
            await courier.wait_ready()
            self.in_front.add(courier.name)
        return self.couriers

    async def add_fleet(
        self,
        count: int,
        endpoints: list[Endpoint],
        settings: Callable[[int, int], dict[str, Any]],
        section: str,
    ) -> list[Courier]:
        """Add couriers that form a fleet by a section of the operator's file, and start them together."""
        ports = [free_port() for _ in range(count)]
        members = " ".join(f'"n{number}={HOST}:{port}"' for number, port in enumerate(ports))
        for number, port in enumerate(ports):
            courier = Courier(self.record, self.folder, f"n{number}", endpoints)
            self.couriers.append(courier)
            courier.operator = self.folder / f"n{number}.sexp"
            text = f'(fleet (on yes) (listen "{HOST}:{port}") (members {members}) {section})'
            courier.operator.write_text(text, encoding="utf-8")
            await courier.prepare(settings(count, number))
        for courier in self.couriers:
            courier.start()
        for courier in self.couriers:
            await courier.wait_ready()
            self.in_front.add(courier.name)
        return self.couriers

    async def kill(self, couriers: list[Courier]) -> None:
        """Kill couriers; their folders are kept."""
        for courier in couriers:
            self.in_front.discard(courier.name)
            await courier.kill()

    async def restart(self, couriers: list[Courier]) -> None:
        """Start couriers again, and wait until they are ready."""
        for courier in couriers:
            courier.start()
        for courier in couriers:
            await courier.wait_ready()
            self.in_front.add(courier.name)


def _end(number: int, frame: object) -> None:
    del number, frame
    raise SystemExit(COULD_NOT_RUN)


def run_case(here: Path, play: Callable[[Case], Coroutine[Any, Any, int]]) -> int:
    """Play a case, end all its processes, and return the exit code."""
    signal.signal(signal.SIGTERM, _end)  # `finally` below is for it, too
    record = Record(here / "record.txt")
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    case = Case(record, folder, os.environ.get("TROUBLE", "1") != "0")
    try:
        code = asyncio.run(asyncio.wait_for(play(case), 115.0))
    except (CouldNotRunError, OSError, TimeoutError) as err:
        record.write(f"could not run: {err!r}")
        code = COULD_NOT_RUN
    finally:
        for courier in case.couriers:
            for process in courier.processes:
                if process.poll() is None:
                    process.kill()
                    process.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(
                folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True, ignore=shutil.ignore_patterns("*.sock")
            )
        shutil.rmtree(folder, ignore_errors=True)
    text = {HELD: "the rule held", BROKEN: "the rule was broken"}.get(code, "the case could not run")
    record.write(text)
    print(text, file=sys.stderr)
    return code
