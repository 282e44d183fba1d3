"""Stand-ins for clients, endpoints and the platform, and the start of couriers, for the cases of this review.

Everything is written from the users' pages, runs on loopback addresses and the real clock, and uses the
standard library only. A case records what was sent, answered and run in `record.txt`.
"""

from __future__ import annotations

import asyncio
import copy
import ctypes
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
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "127.0.0.1"
PR_SET_PDEATHSIG = 1  # prctl(2)
SECOND_NS = 1_000_000_000


class CaseError(Exception):
    """The case could not run: exit code 2."""


class Record:
    """Writes the record of one run; times are seconds since its start."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._start

    def __call__(self, text: str) -> float:
        """Write a line, and return its time."""
        now = self.now()
        self._file.write(f"{now:8.3f}  {text}\n")
        self._file.flush()
        return now


def settings(classes: list[dict[str, Any]], **changes: Any) -> dict[str, Any]:  # noqa: ANN401
    """Return the settings of a small deployment, in the form of the wire page."""
    values: dict[str, Any] = {
        "balancers": 1,
        "me": 0,
        "zone": "dc-kenanga",
        "failure_domains": ["dc-kenanga"],
        "kinds": ["large-host", "mid-host"],
        "weights": "nominal",
        "step_ns": 5_000_000,
        "counted_by": "request",
        "discovery": "push",
        "clients": {"marks_retry": True},
        "load_report": {"columns": [], "how": "none"},
        "family_info": {
            "decay": "by_half",
            "fee_by_zone": [0.0],
            "kind_apart": [False, False],
            "per_call": [10, 1],
            "refused_price": 0.05,
            "workers": 12,
        },
        "limits": {
            "cancel": True,
            "connect_timeout_ns": SECOND_NS,
            "keepalive_ns": 10 * SECOND_NS,
            "max_open": 100,
            "max_retry_after_ns": 2 * SECOND_NS,
            "may_probe": True,
            "multiplex": 1,
            "peers": False,
            "retry_after": True,
            "second_copies": False,
            "try_limit": 6,
        },
        "request_classes": classes,
        "rules": {
            "cold_ns": 14 * SECOND_NS,
            "drain_grace_ns": 250_000_000,
            "fall_multiple": 2.0,
            "grace_to_answer_ns": 20_000_000,
            "start_capacity": 0.23,
            "tip_after_ns": 2 * SECOND_NS,
            "turn_gap_ns": 300_000_000,
        },
        "tenants": [],
        "tier": 0,
        "tiers": ["partner-systems"],
    }
    values = copy.deepcopy(values)
    for name, value in changes.items():
        section, _, key = name.partition("__")
        if key:
            values[section][key] = value
        else:
            values[section] = value
    return values


def message_class(name: str, effect: str, **changes: Any) -> dict[str, Any]:  # noqa: ANN401
    """Return a class of messages, in the form of the wire page."""
    row = {
        "name": name,
        "gain": 2.0,
        "goal_time_ns": 2 * SECOND_NS,
        "group": "all",
        "hard_limit_ns": 12 * SECOND_NS,
        "idempotency": effect,
        "late_worth": 0.4,
        "streamed": False,
        "window_ns": 10 * SECOND_NS,
    }
    return row | changes


# ---- HTTP servers ----------------------------------------------------------------------------------------
@dataclass
class Request:
    """A request that a stand-in has read."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one HTTP request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines:
            name, colon, value = line.partition(":")
            if colon:
                headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    method, path, _ = first.split(" ", 2)
    return Request(method, path, headers, body)


def response(status: int, body: bytes = b"", headers: tuple[str, ...] = ()) -> bytes:
    """Return an HTTP response."""
    lines = [f"HTTP/1.1 {status} X", *headers]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


@dataclass
class Call:
    """One call at an endpoint; its time is that of its last byte."""

    at: float
    endpoint: str
    ids: list[str]
    request: Request
    answered_at: float | None = None
    answer: bytes = b""
    closed_at: float | None = None


Answer = Callable[["Call"], Awaitable[bytes | None]]


@dataclass
class Endpoint:
    """An endpoint of a partner; `answer` returns the bytes of an answer, or None to close the connection."""

    record: Record
    name: str
    block: int
    answer: Answer
    kind: str = "mid-host"
    port: int = 0
    calls: list[Call] = field(default_factory=list)
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        """Listen on a free port, or on the port that is set."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port, backlog=64)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """End as a process does: connections are reset, new ones are refused."""
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    def entry(self, health: str = "up", share: float = 20.0) -> dict[str, Any]:
        """Return the endpoint's entry in discovery's list."""
        return {
            "host": self.name,
            "dial": f"{HOST}:{self.port}",
            "site": "dc-kenanga",
            "class": self.kind,
            "block": self.block,
            "health": health,
            "share": share,
            "born_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with suppress(OSError, asyncio.CancelledError):
            while (request := await read_request(reader)) is not None:
                if not await self._one(request, writer):
                    break
        self._writers.discard(writer)
        writer.transport.abort()

    async def _one(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        if request.path == "/hook/batch":
            ids = [row["id"] for row in json.loads(request.body)]
        else:
            ids = [request.headers.get("x-request-id", "")]
        call = Call(self.record.now(), self.name, ids, request)
        self.calls.append(call)
        keys = request.headers.get("idempotency-key", "-")
        self.record(f"{self.name} (block {self.block}): call of {','.join(ids)} key {keys}")
        answer = await self.answer(call)
        if answer is None:
            return False
        writer.write(answer)
        await writer.drain()
        call.answer, call.answered_at = answer, self.record.now()
        first = answer.split(b"\r\n\r\n")[0].replace(b"\r\n", b"; ").decode("latin-1")
        self.record(f"{self.name}: answered {','.join(ids)} with {first}")
        return True


def proves_that_it_never_ran(call: Call) -> bool:
    """Return whether a call's answer proves that it has not run, by the table of the protocol page."""
    return call.answer[:12] in {b"HTTP/1.1 %d" % status for status in (429, 503, 504, 410)}


def runs_of(endpoints: list[Endpoint], message: str) -> list[Call]:
    """Return the calls that carried a message, in the order in which they came."""
    calls = [call for endpoint in endpoints for call in endpoint.calls if message in call.ids]
    return sorted(calls, key=lambda call: call.at)


def ok_answer(call: Call) -> bytes:
    """Return the answer that delivers all messages of a call."""
    if call.request.path == "/hook/batch":
        rows = [{"id": message, "state": "ok"} for message in call.ids]
        return response(200, json.dumps(rows).encode())
    return response(200)


@dataclass
class Platform:
    """Discovery's agent, and the address of the notices."""

    record: Record
    port: int = 0
    sequence: int = 1
    hosts: dict[str, dict[str, Any]] = field(default_factory=dict)
    changes: list[tuple[int, dict[str, Any]]] = field(default_factory=list)
    notices: list[tuple[float, str, str]] = field(default_factory=list)
    on_notice: Callable[[str, str], None] = lambda message, state: None
    answer_delay: float = 0.0
    _watches: set[asyncio.Queue[dict[str, Any]]] = field(default_factory=set)
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def end_after(self, seconds: float) -> None:
        """Accept no new connection, and close the open ones after a time."""
        assert self._server is not None
        self._server.close()
        await asyncio.sleep(seconds)
        for writer in list(self._writers):
            writer.transport.abort()
        self.record(f"platform: the address at port {self.port} has ended")

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"seq": self.sequence, "whole": True, "hosts": list(self.hosts.values())}

    def change(self, *rows: dict[str, Any]) -> float:
        """Change entries of the list, and tell it on all open watches; return the time."""
        self.sequence += 1
        for row in rows:
            self.changes.append((self.sequence, row))
            if row["health"] == "removed":
                self.hosts.pop(row["host"], None)
            else:
                self.hosts[row["host"]] = row
        update = {"seq": self.sequence, "whole": False, "hosts": list(rows)}
        for watch in self._watches:
            watch.put_nowait(update)
        text = ", ".join(f"{row['host']} block {row['block']} {row['health']}" for row in rows)
        return self.record(f"discovery tells: {text}")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with suppress(OSError, asyncio.CancelledError):
            while (request := await read_request(reader)) is not None:
                if request.path.startswith("/v1/notices"):
                    self._take_notices(request.body)
                    writer.write(response(204))
                    await writer.drain()
                elif "follow=1" in request.path:
                    await self._watch(request.path, writer)
                    break
                else:
                    await asyncio.sleep(self.answer_delay)
                    writer.write(response(200, json.dumps(self.whole()).encode()))
                    await writer.drain()
        self._writers.discard(writer)
        writer.transport.abort()

    def _take_notices(self, body: bytes) -> None:
        for line in body.splitlines():
            notice = json.loads(line)
            at = self.record(f"platform: notice {line.decode()}")
            self.notices.append((at, notice["id"], notice["state"]))
            self.on_notice(notice["id"], notice["state"])

    async def _watch(self, path: str, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.answer_delay)
        since = path.partition("since=")[2]
        if since:
            rows = [row for sequence, row in self.changes if sequence > int(since)]
            first = {"seq": self.sequence, "whole": False, "hosts": rows} if rows else None
        else:
            first = self.whole()
        queue: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        self._watches.add(queue)
        try:
            writer.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                line = (json.dumps(first) if first is not None else "").encode() + b"\n"
                writer.write(b"%x\r\n%s\r\n" % (len(line), line))
                await writer.drain()
                try:
                    first = await asyncio.wait_for(queue.get(), 2.0)
                except TimeoutError:
                    first = None
        finally:
            self._watches.discard(queue)


# ---- clients ---------------------------------------------------------------------------------------------
def command(*words: bytes | str) -> bytes:
    """Return a command as a RESP2 array of bulk strings."""
    encoded = [word.encode() if isinstance(word, str) else word for word in words]
    return b"*%d\r\n" % len(encoded) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in encoded)


def submit(message: str, name: str, dest: int, *, key: str = "0" * 16, left_ms: int = 8000) -> bytes:
    """Return the command that hands in a message; its idempotency key is the id backwards."""
    names = f"c={name},d={left_ms},k={message[::-1]},dest={dest}"
    return command("SUBMIT", key, message, names, b"an order " * 4)


class Client:
    """One connection of a client."""

    def __init__(self, record: Record, port: int) -> None:
        self._record = record
        self._port = port
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def open(self) -> Client:
        """Connect."""
        self.reader, self.writer = await asyncio.open_connection(HOST, self._port)
        return self

    async def ask(self, data: bytes, limit: float = 0.4) -> bytes:
        """Send one command, and return the first line of its answer; empty if none came in time."""
        self.writer.write(data)
        try:
            return await asyncio.wait_for(self.reader.readline(), limit)
        except (TimeoutError, OSError):
            return b""

    async def hand_in(self, message: str, name: str, dest: int, **options: Any) -> bytes:  # noqa: ANN401
        """Hand in a message, and return the answer."""
        self._record(f"client: SUBMIT {message} class {name} dest {dest} {options or ''}")
        answer = await self.ask(submit(message, name, dest, **options))
        self._record(f"client: {message} answered {answer.decode('latin-1').strip() or 'nothing'}")
        return answer

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


async def ping(port: int, limit: float = 0.4) -> bytes:
    """Return what PING answers on a new connection; empty if nothing."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(HOST, port), limit)
        writer.write(command("PING"))
        try:
            return await asyncio.wait_for(reader.readline(), limit)
        finally:
            writer.close()
    except (TimeoutError, OSError):
        return b""


async def admin(port: int, method: str, path: str, limit: float = 1.0) -> int:
    """Return the status of an operators' call; 0 without an answer."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(HOST, port), limit)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode())
        try:
            line = await asyncio.wait_for(reader.readline(), limit)
        finally:
            writer.close()
        return int(line.split()[1])
    except (TimeoutError, OSError, IndexError, ValueError):
        return 0


# ---- couriers --------------------------------------------------------------------------------------------
def free_port() -> int:
    """Return a port that is free now, outside the system's usual range for outgoing connections."""
    while True:
        port = random.randint(15_000, 30_000)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            return port


class Courier:
    """A courier: the deploy file's `run`, in a folder of its own; it may be started several times."""

    def __init__(self, record: Record, folder: Path, platform: Platform, values: dict[str, Any]) -> None:
        self.record = record
        self.folder = folder
        self.root = ROOT
        self.port = free_port()
        self.admin_port = free_port()
        self.platform = platform
        self.values = values
        self.known: dict[str, Any] = platform.whole()
        self.listener: socket.socket | None = None
        self.processes: list[subprocess.Popen[bytes]] = []
        (folder / "state").mkdir()
        (folder / "tmp").mkdir()

    def hold_listener(self) -> None:
        """Open the clients' listening socket for the courier, as the platform does on upgrade days."""
        self.listener = socket.create_server((HOST, self.port), backlog=512)

    def write_config(self) -> None:
        """Replace the configuration file."""
        config = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "admin": f"{HOST}:{self.admin_port}",
            "discovery": f"{HOST}:{self.platform.port}",
            "state": str(self.folder / "state"),
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": self.known,
            "settings": self.values,
        }
        path = self.folder / "config.json"
        path.with_suffix(".new").write_text(json.dumps(config))
        path.with_suffix(".new").replace(path)

    def start(self) -> subprocess.Popen[bytes]:
        """Start `run` of the deploy file; the first of the listed processes is the oldest."""
        run = tomllib.loads((self.root / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "TMPDIR": str(self.folder / "tmp"),
            "ROUTER_NAME": "n0",
            "ROUTER_LISTEN": f"{HOST}:{self.port}",
            "ROUTER_ADMIN": f"{HOST}:{self.admin_port}",
            "ROUTER_DISCOVERY": f"{HOST}:{self.platform.port}",
            "ROUTER_STATE": str(self.folder / "state"),
            "ROUTER_CONFIG": str(self.folder / "config.json"),
            "ROUTER_LOG": os.environ.get("ROUTER_LOG", "INFO"),
        }
        descriptors: tuple[int, ...] = ()
        if self.listener is not None:
            descriptors = (self.listener.fileno(),)
            environment["ROUTER_SOCKET_FD"] = str(self.listener.fileno())
        log = (self.folder / f"log{len(self.processes)}").open("wb")
        process = subprocess.Popen(
            ["/bin/sh", "-c", run],
            cwd=self.root,
            env=environment,
            pass_fds=descriptors,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            preexec_fn=end_with_parent,
        )
        self.processes.append(process)
        self.record(f"platform: started process {len(self.processes)} of the courier")
        return process

    def signal(self, number: signal.Signals, process: int = -1) -> float:
        """Send a process a signal; return the time."""
        at = self.record(f"platform: {number.name} to process {process % len(self.processes) + 1}")
        with suppress(ProcessLookupError):
            self.processes[process].send_signal(number)
        return at

    async def wait_ready(self, limit: float = 30.0) -> float:
        """Wait until PING is answered; return the time."""
        end = self.record.now() + limit
        while self.record.now() < end:
            if (await ping(self.port)) == b"+PONG\r\n":
                return self.record("courier answers PING")
            if self.processes[-1].poll() is not None:
                break
            await asyncio.sleep(0.01)
        raise CaseError("the courier did not become ready")

    async def wait_admin_ready(self, limit: float = 10.0) -> float:
        """Wait until the operators' address says yes; return the time."""
        end = self.record.now() + limit
        while self.record.now() < end:
            if await admin(self.admin_port, "GET", "/control/ready") == 200:
                return self.record("courier says ready at its operators' address")
            await asyncio.sleep(0.005)
        raise CaseError("the courier did not say that it is ready")

    def end(self) -> None:
        """End all processes, and put the ends of their logs into the record."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        for number in range(len(self.processes)):
            for line in (self.folder / f"log{number}").read_text(errors="replace").splitlines()[-40:]:
                self.record(f"log of process {number + 1}: {line}")
        if self.listener is not None:
            self.listener.close()


# ---- cases -----------------------------------------------------------------------------------------------
@dataclass
class Case:
    """What a case works with."""

    record: Record
    folder: Path
    platform: Platform
    endpoints: list[Endpoint] = field(default_factory=list)
    couriers: list[Courier] = field(default_factory=list)

    async def endpoint(
        self, name: str, block: int, answer: Answer, kind: str = "mid-host", port: int = 0
    ) -> Endpoint:
        """Start an endpoint, and list it."""
        endpoint = Endpoint(self.record, name, block, answer, kind, port)
        await endpoint.start()
        self.endpoints.append(endpoint)
        self.platform.hosts[name] = endpoint.entry()
        return endpoint

    def courier(self, values: dict[str, Any]) -> Courier:
        """Return a courier that is not started yet."""
        courier = Courier(self.record, self.folder, self.platform, values)
        self.couriers.append(courier)
        return courier


Play = Callable[["Case"], Awaitable[list[str]]]


async def _run(case_folder: Path, play: Play, work: Path) -> int:
    record = Record(case_folder)
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    record(f"TROUBLE={int(TROUBLE)}")
    platform = Platform(record)
    await platform.start()
    case = Case(record, work, platform)
    try:
        broken = await asyncio.wait_for(play(case), 110)
    except (Exception, asyncio.CancelledError) as err:  # whatever goes wrong in a test breaks no rule
        record(f"the case could not run: {err!r}")
        return NOT_RUN
    finally:
        for courier in case.couriers:
            courier.end()
    for line in broken:
        record(f"BROKEN: {line}")
        say(f"BROKEN: {line}")
    record("the rule was broken" if broken else "the rule held")
    return BROKEN if broken else HELD


def say(text: str) -> None:
    """Print a line; a reader that has gone changes nothing."""
    with suppress(OSError):
        os.write(1, f"{text}\n".encode())


def main(case_file: str, play: Play) -> None:
    """Run a case in a temporary folder, and exit with 1 if its rule was broken, 0 if it held, else 2."""
    code = NOT_RUN
    work = Path(tempfile.mkdtemp(prefix="review-"))
    try:
        code = asyncio.run(_run(Path(case_file).resolve().parent, play, work))
    except Exception as err:
        say(f"the case could not run: {err!r}")
    finally:
        shutil.rmtree(work, ignore_errors=True)
    say({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}[code])
    sys.exit(code)


def end_with_parent() -> None:
    """Have the system kill this process when the test ends, even if the test is killed."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
