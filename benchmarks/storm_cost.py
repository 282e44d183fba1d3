"""Measures the cost of overload control: `python benchmarks/storm_cost.py`.

The time to admit a message, without and with a retry storm, and the memory of an idle courier without and
with overload control.
"""

from __future__ import annotations

import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections import deque
from pathlib import Path

from winchspan import api
from winchspan.api import Outcome
from winchspan.fakes.platform import platform, settings_to_wire
from winchspan.overload.governor import OverloadGovernor
from winchspan.overload.settings import NS_PER_SECOND, OverloadSettings
from winchspan.runtime.sketches import CountMinSketch, RecentKeyFilter

MESSAGES = 20_000
ROUNDS = 7
DESTINATIONS = 30
ORDERING_KEYS = 400
IDEMPOTENCY_KEYS = 15_000
MAX_HELD = 600
MESSAGE_INTERVAL_NS = 8_000_000


def admission_us(*, is_storm: bool) -> float:
    """Return the microseconds to admit one message for one of 30 destinations, the median of some rounds."""
    return statistics.median(_admission_round_us(is_storm) for _ in range(ROUNDS))


def _admission_round_us(is_storm: bool) -> float:
    settings = platform(3)
    governor = OverloadGovernor(
        settings, OverloadSettings(), RecentKeyFilter(0, 50_000, 30 * NS_PER_SECOND), CountMinSketch()
    )
    cls = settings.classes["order-payment"]
    for destination in range(DESTINATIONS):
        governor.rate_listed(0, destination, 20.0)
    requests = [
        api.AdmissionRequest(
            f"m{n}",
            cls,
            n % DESTINATIONS,
            cls.deadline_ns,
            n % ORDERING_KEYS,
            f"{n % IDEMPOTENCY_KEYS:016x}",
            is_storm and n % 3 == 0,
        )
        for n in range(MESSAGES)
    ]
    now = NS_PER_SECOND
    if is_storm:
        now = _begin_outages(governor, requests, now)
    return _admit_all(governor, requests, now) / MESSAGES / 1_000


def _begin_outages(governor: OverloadGovernor, requests: list[api.AdmissionRequest], now: int) -> int:
    """Let calls to all destinations time out; return the time after it."""
    for destination in range(DESTINATIONS):
        governor.admit(now, requests[destination])
        for step in range(4):
            ended_at = now + step * NS_PER_SECOND
            governor.call_ended(ended_at, destination, Outcome.TIMEOUT, NS_PER_SECOND, 0)
    return now + 4 * NS_PER_SECOND


def _admit_all(governor: OverloadGovernor, requests: list[api.AdmissionRequest], now: int) -> int:
    """Request admission of all messages, with at most 600 held at a time; return the ns of admission."""
    held: deque[api.AdmissionRequest] = deque()
    spent_ns = 0
    for request in requests:
        now += MESSAGE_INTERVAL_NS
        begin = time.perf_counter_ns()
        rejection = governor.admit(now, request)
        spent_ns += time.perf_counter_ns() - begin
        if rejection is not None:
            continue
        event = api.MessageArrived(
            request.message,
            request.message_class.name,
            request.destination,
            request.remaining_ns,
            key=request.key,
        )
        governor.message_arrived(now, event, request.message_class)
        held.append(request)
        if len(held) > MAX_HELD:
            closed = held.popleft()
            governor.message_closed(now, closed.destination, closed.message)
    return spent_ns


def memory_mb(operator: str | None) -> float:
    """Return the resident megabytes of a courier that has just started."""
    with tempfile.TemporaryDirectory() as folder, socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = int(probe.getsockname()[1])
        probe.close()
        path = Path(folder)
        (path / "config.json").write_text(
            json.dumps(
                {
                    "listen": f"127.0.0.1:{port}",
                    "discovery": "127.0.0.1:9",
                    "state": folder,
                    "seed": "1",
                    "settings": settings_to_wire(platform(3)),
                }
            )
        )
        arguments = [sys.executable, "-m", "winchspan"]
        if operator is not None:
            (path / "operator.sexp").write_text(operator)
            arguments += ["--operator", str(path / "operator.sexp")]
        env = {**os.environ, "ROUTER_CONFIG": str(path / "config.json")}
        courier = subprocess.Popen(arguments, env=env, stderr=subprocess.DEVNULL)
        try:
            time.sleep(2.0)
            pages = int(Path(f"/proc/{courier.pid}/statm").read_text().split()[1])
            return pages * os.sysconf("SC_PAGE_SIZE") / 1e6
        finally:
            courier.kill()
            courier.wait()


def main() -> None:
    """Run the measurements, and print their results."""
    print(f"admission, calm: {admission_us(is_storm=False):.1f} us a message")
    print(f"admission, storm: {admission_us(is_storm=True):.1f} us a message")
    for name, operator in (
        ("off", None),
        ("file, all off", "(storms (on no))"),
        ("storms on", "(storms (on yes))"),
        ("storms on, report", '(storms (on yes) (report "/dev/null"))'),
    ):
        print(f"idle daemon, {name}: {memory_mb(operator):.1f} MB")


if __name__ == "__main__":
    main()
