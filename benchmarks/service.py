"""Measures the admin server and upgrades under load: `python benchmarks/service.py`, two minutes.

Response times of the admin server while a courier is under load and other callers are silent. For upgrades
under load, how long the hand-over delays clients, and the memory of both processes.
"""

from __future__ import annotations

import json
import os
import re
import secrets
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

import click

ROOT = Path(__file__).parent.parent
HOST = "127.0.0.1"
CLIENTS = 12
SILENT_CALLERS = 24  # callers that connect to the admin server without a request


class Partner(BaseHTTPRequestHandler):
    """Serves one endpoint and discovery, and acknowledges notifications."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        """Send the list, and then an empty line every second."""
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        address = self.server.server_address
        port = address[1] if isinstance(address, tuple) else 0
        row = {
            "host": "s-1",
            "dial": f"{HOST}:{port}",
            "site": "a",
            "class": "large-host",
            "block": 7,
            "health": "up",
            "share": 1000.0,
            "born_ms": 0,
        }
        lines = [json.dumps({"seq": 1, "whole": True, "hosts": [row]}).encode() + b"\n"]
        try:
            while True:
                for line in lines or [b"\n"]:
                    self.wfile.write(b"%x\r\n%s\r\n" % (len(line), line))
                lines = []
                time.sleep(1.0)
        except OSError:
            self.close_connection = True

    def do_POST(self) -> None:
        """Answer a call as delivered after 50 ms."""
        body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
        if self.path == "/v1/notices":
            self.send_response(204)
            self.end_headers()
            return
        time.sleep(0.05)
        ids = [item["id"] for item in json.loads(body)] if self.path == "/hook/batch" else []
        results = json.dumps([{"id": message, "state": "ok"} for message in ids]).encode() if ids else b""
        self.send_response(200)
        self.send_header("Content-Length", str(len(results)))
        self.end_headers()
        self.wfile.write(results)

    def log_message(self, *args: object) -> None:
        """Suppress the log."""


class Server(ThreadingHTTPServer):
    """Serves the partner without error output when a courier has ended."""

    daemon_threads = True

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignore the error: the process at the other end has ended."""


def submit(key: int) -> bytes:
    """Return an encoded SUBMIT of an order."""
    attributes = f"c=order-payment,d=20000,k={secrets.token_hex(8)},dest=7"
    arguments = [
        b"SUBMIT",
        f"{key:016x}".encode(),
        secrets.token_hex(8).encode(),
        attributes.encode(),
        b"x" * 200,
    ]
    return b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(each), each) for each in arguments)


class Load:
    """Clients that each submit one message after another on their own connection.

    Attributes:
        waits: the waits for replies, in ms.
        lost: the number of connections that were closed without a reply.
    """

    def __init__(self, port: int) -> None:
        self.waits: list[float] = []
        self.lost = 0
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._submit_messages, args=(port, n), daemon=True)
            for n in range(CLIENTS)
        ]
        for thread in self._threads:
            thread.start()

    def _submit_messages(self, port: int, client_number: int) -> None:
        with socket.create_connection((HOST, port), timeout=10.0) as connection:
            lines = connection.makefile("rb")
            number = 0
            while not self._stopped.wait(0.05):
                number += 1
                begin = time.perf_counter()
                connection.sendall(submit(1 + client_number * 1_000 + number % 50))
                if not lines.readline():
                    self.lost += 1
                    return
                self.waits.append((time.perf_counter() - begin) * 1_000.0)

    def stop(self) -> None:
        """Stop all clients."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(10.0)


def find_free_port() -> int:
    """Return a port that was free at the time of the call."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def start(folder: Path, listener: socket.socket, partner: int, admin: int) -> subprocess.Popen[bytes]:
    """Start a courier process, and wait until it is ready."""
    data = json.loads((ROOT / "examples" / "config.json").read_text())
    data |= {
        "listen": f"{HOST}:{listener.getsockname()[1]}",
        "discovery": f"{HOST}:{partner}",
        "state": str(folder / "state"),
    }
    data["settings"]["limits"]["max_open"] = 1_000
    data["settings"]["family_info"]["workers"] = 24
    (folder / "state").mkdir(exist_ok=True)
    (folder / "config.json").write_text(json.dumps(data))
    env = os.environ | {
        "ROUTER_CONFIG": str(folder / "config.json"),
        "ROUTER_ADMIN": f"{HOST}:{admin}",
        "ROUTER_SOCKET_FD": str(listener.fileno()),
    }
    process = subprocess.Popen(
        [sys.executable, "-m", "winchspan"],
        cwd=ROOT,
        env=env,
        stderr=(folder / "log").open("ab"),
        pass_fds=[listener.fileno()],
    )
    while call(admin, "GET /control/ready") < 0.0:
        time.sleep(0.02)
    return process


def call(admin: int, request: str) -> float:
    """Return the ms until the response with status 200; negative for any other response."""
    begin = time.perf_counter()
    try:
        with socket.create_connection((HOST, admin), timeout=5.0) as connection:
            connection.sendall(f"{request} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            head = connection.makefile("rb").readline()
    except OSError:
        return -1.0
    return (time.perf_counter() - begin) * 1_000.0 if b" 200 " in head else -1.0


def resident(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    pages = int((Path("/proc") / str(pid) / "statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def print_statistics(title: str, values: list[float], unit: str) -> None:
    """Print the median, the 99th percentile and the maximum."""
    ordered = sorted(values)
    click.echo(
        f"{title}: {len(values)}, median {statistics.median(values):.1f} {unit}, 99% "
        f"{ordered[int(len(ordered) * 0.99)]:.1f}, worst {ordered[-1]:.1f}"
    )


@click.command()
@click.option("--seconds", type=click.FloatRange(2, 600), default=30.0, show_default=True, help="of calls")
@click.option("--upgrades", type=click.IntRange(1, 100), default=20, show_default=True)
def main(seconds: float, upgrades: int) -> None:
    """Run the measurements, and print their results."""
    server = Server((HOST, 0), Partner)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    listener = socket.create_server((HOST, 0))
    listener.set_inheritable(True)
    with tempfile.TemporaryDirectory() as name:
        folder, admin = Path(name), find_free_port()
        courier = start(folder, listener, server.server_port, admin)
        load = Load(listener.getsockname()[1])
        silent = [socket.create_connection((HOST, admin)) for _ in range(SILENT_CALLERS)]
        times, end = list[float](), time.monotonic() + seconds
        while time.monotonic() < end:
            for what in ("GET /control/ready", "GET /control/counters", "POST /control/endpoints/s-1/online"):
                times.append(call(admin, what))
            silent.append(socket.create_connection((HOST, admin)))
            silent.pop(0).close()
        click.echo(f"calls without a yes: {sum(t < 0 for t in times)}")
        print_statistics("operators' calls under load", [t for t in times if t >= 0], "ms")
        print_statistics("clients' answers meanwhile", load.waits, "ms")
        load.waits.clear()
        memory_mb = list[float]()
        for _ in range(upgrades):
            time.sleep(0.5)
            admin, old, most = find_free_port(), courier, [0.0]
            over = threading.Event()

            def watch(pid: int = old.pid, most: list[float] = most, over: threading.Event = over) -> None:
                while not over.wait(0.005):
                    try:
                        most[0] = max(most[0], resident(pid))
                    except (OSError, IndexError):
                        return

            watcher = threading.Thread(target=watch, daemon=True)
            watcher.start()
            courier = start(folder, listener, server.server_port, admin)
            over.set()
            watcher.join()
            memory_mb.append(most[0] + resident(courier.pid))
            assert old.wait(10.0) == 0
        load.stop()
        hand_overs = [
            (float(a), float(b))
            for a, b in re.findall(r"drained in (\d+) ms, frozen for (\d+) ms", (folder / "log").read_text())
        ]
        courier.terminate()
        courier.wait()
        print_statistics("hand-over, settling", [a for a, _ in hand_overs], "ms")
        print_statistics("hand-over, standing still", [b for _, b in hand_overs], "ms")
        print_statistics("clients' answers over all upgrades", load.waits, "ms")
        click.echo(f"client connections lost: {load.lost}")
        print_statistics("memory of both processes", memory_mb, "MB")
    server.shutdown()


if __name__ == "__main__":
    main()
