"""Measures the cost of a message: `PYTHONPATH=. python benchmarks/message_cost.py OLD NEW`, 90 s.

The CPU time of a courier for each message, from `SUBMIT` to its delivery, and its resident memory afterwards,
for two checkouts in alternation. The partner and the clients run in this process and are not counted.
"""

from __future__ import annotations

import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from http.server import ThreadingHTTPServer
from pathlib import Path
from typing import NamedTuple

import click

from examples.submit import encode_submit
from examples.toy_server import ToyHandler
from winchspan.fakes.fleet_courier import wait_for
from winchspan.fakes.ports import HOST, free_ports

CLIENTS = 4


class QuietPartner(ToyHandler):
    """The toy server, which counts delivered and notified messages, and prints nothing."""

    completed_count = 0
    lock = threading.Lock()

    def do_POST(self) -> None:  # noqa: N802  # the name that http.server calls
        """Answer a call as delivered, or acknowledge notifications."""
        body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
        items = json.loads(body) if self.path == "/hook/batch" else [{"id": ""}]
        is_notification = self.path == "/v1/notices"
        with self.lock:
            type(self).completed_count += len(body.splitlines()) if is_notification else len(items)
        if is_notification:
            self.respond(204)
            return
        states = json.dumps([{"id": item["id"], "state": "ok"} for item in items]).encode()
        self.respond(200, states if self.path == "/hook/batch" else b"")


class QuietServer(ThreadingHTTPServer):
    """Serves the partner without error output when a courier is killed."""

    daemon_threads = True

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignore the error: a courier was killed."""


class Cost(NamedTuple):
    """The resources that one courier used."""

    cpu_us_per_message: float
    resident_kib: int


def submit_messages(port: int, count: int) -> int:
    """Submit messages on one connection until `count` are accepted; return their number."""
    accepted = 0
    with socket.create_connection((HOST, port), timeout=30.0) as connection:
        lines = connection.makefile("rb")
        while accepted < count:
            connection.sendall(encode_submit("gallery-notice", "7", "x" * 200))
            if lines.readline() == b"+OK\r\n":
                accepted += 1
            else:
                time.sleep(0.002)
    return accepted


def cpu_ms(pid: int) -> float:
    """Return the CPU time of a process in ms."""
    return int((Path("/proc") / str(pid) / "schedstat").read_text().split()[0]) / 1e6


def resident_kib(pid: int) -> int:
    """Return the resident memory of a process in KiB."""
    lines = (Path("/proc") / str(pid) / "status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS"))


def run(root: Path, count: int) -> Cost:
    """Measure one courier of a checkout."""
    QuietPartner.completed_count = 0
    server = QuietServer((HOST, 0), QuietPartner)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    with tempfile.TemporaryDirectory() as folder:
        port = free_ports(1)[0]
        config = json.loads((root / "examples" / "config.json").read_text())
        config.pop("admin", None)
        config |= {"listen": f"{HOST}:{port}", "discovery": f"{HOST}:{server.server_port}", "state": folder}
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config))
        process = subprocess.Popen(
            [sys.executable, "-m", "winchspan", "--operator", "deploy/kenanga.sexp"],
            cwd=root,
            env={**os.environ, "ROUTER_CONFIG": str(path), "PYTHONPATH": ""},
            stderr=subprocess.PIPE,
        )
        try:
            assert process.stderr is not None
            for line in process.stderr:
                if b"listens" in line:
                    break
            threading.Thread(target=process.stderr.read, daemon=True).start()
            submit_messages(port, 100)
            wait_for("the first messages are completed", lambda: QuietPartner.completed_count >= 100)
            before = cpu_ms(process.pid)
            threads = [
                threading.Thread(target=submit_messages, args=(port, count // CLIENTS))
                for _ in range(CLIENTS)
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            total = 100 + count // CLIENTS * CLIENTS
            wait_for("all messages are completed", lambda: QuietPartner.completed_count >= total)
            spent_ms = cpu_ms(process.pid) - before
            return Cost(spent_ms * 1_000.0 / (total - 100), resident_kib(process.pid))
        finally:
            process.kill()
            process.wait()
            server.shutdown()
            server.server_close()


@click.command()
@click.argument("old", type=click.Path(exists=True, path_type=Path))
@click.argument("new", type=click.Path(exists=True, path_type=Path))
@click.option("--messages", default=2_000, help="Messages of each run.")
@click.option("--pairs", default=8, help="Runs of each checkout.")
def main(old: Path, new: Path, messages: int, pairs: int) -> None:
    """Compare two checkouts in alternation."""
    costs: dict[Path, list[Cost]] = {old: [], new: []}
    for _ in range(pairs):
        for root in (old, new):
            costs[root].append(run(root.resolve(), messages))
    for root, root_costs in costs.items():
        cpu = [cost.cpu_us_per_message for cost in root_costs]
        memory = [cost.resident_kib for cost in root_costs]
        click.echo(
            f"{root}: {statistics.median(cpu):.0f} us a message in the median, {min(cpu):.0f} the least; "
            f"{statistics.median(memory):.0f} KiB resident in the median"
        )


if __name__ == "__main__":
    main()
