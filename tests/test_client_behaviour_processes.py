"""Clients that press on a courier's memory and time, on a real process."""

from __future__ import annotations

import asyncio
import re
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from winchspan.fakes.courier_process import HOST, CourierProcess
from winchspan.fakes.fleet_courier import wait_for
from winchspan.fakes.ports import free_ports
from winchspan.fakes.recording_endpoints import ThreadedRecordingEndpoints
from winchspan.fakes.scenario import Scenario

from .fleet_helpers import has_started

CLIENT_COUNT = 800
STOPPED_REQUEST_BYTES = 62_000  # of a body of 64 KiB
MEMORY_MEGABYTES = 64
LEAST_MEMORY_MEGABYTES = 32  # the least that the platform's pages name
CLIENT_TIMEOUT_SECONDS = 0.4
KNOWN = {
    "seq": 1,
    "whole": True,
    "hosts": [{"host": "s-1", "dial": f"{HOST}:9", "site": "a", "class": "m2", "block": 7, "health": "up"}],
}


def request(*words: bytes) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


def payment(number: int, names: bytes = b"", body: bytes = b"body") -> bytes:
    fields = names or b"c=gallery-notice,d=4000,dest=7"
    return request(b"SUBMIT", b"0", b"%016x" % number, fields, body)


@pytest.fixture
def memory_megabytes() -> int:
    return MEMORY_MEGABYTES


@pytest.fixture(scope="module", autouse=True)
def compiled_program() -> None:
    """Compile the program as its build does: compiling it at the start takes memory."""
    subprocess.run([sys.executable, "-m", "compileall", "-q", "winchspan"], check=True)


@pytest.fixture
def courier(tmp_path: Path, memory_megabytes: int) -> Iterator[CourierProcess]:
    process = CourierProcess(tmp_path, 0, None)
    process.configure(Scenario((), (), couriers=1), free_ports(1)[0], KNOWN)
    config = tmp_path / "config.json"
    text = config.read_text()
    limits = f'"memory_mb": {memory_megabytes}, "sockets": 1024'
    config.write_text(text.replace('"memory_mb": 192, "sockets": 512', limits))
    process.start()
    asyncio.run(wait_until_ready(process))
    yield process
    process.stop()


def peak_megabytes(courier: CourierProcess) -> float:
    assert courier._process is not None
    status = Path(f"/proc/{courier._process.pid}/status").read_text()
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    assert found is not None
    return int(found[1]) / 1024


async def wait_until_ready(courier: CourierProcess) -> None:
    deadline = time.monotonic() + 20.0
    while time.monotonic() < deadline:
        try:
            if await ask(courier, request(b"PING")) == b"+PONG\r\n":
                return
        except OSError:
            await asyncio.sleep(0.05)
    raise AssertionError("the courier does not answer")


async def ask(courier: CourierProcess, data: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(HOST, courier.port)
    writer.write(data)
    try:
        return await asyncio.wait_for(reader.readline(), 5.0)
    finally:
        writer.close()


async def stop_half_way(courier: CourierProcess, number: int) -> bytes:
    """Send most of a large request, and return what the courier answers."""
    reader, writer = await asyncio.open_connection(HOST, courier.port)
    complete = payment(number, body=b"x" * 65_536)
    try:
        writer.write(complete[:STOPPED_REQUEST_BYTES])
        return await asyncio.wait_for(reader.readline(), 5.0)
    except ConnectionError:
        return b""
    finally:
        writer.close()


# Guards against a memory limit that nothing reads: 900 clients that stopped half way through a large request
# made a process of 27 MB one of 86 MB, and a process with less was killed.
@pytest.mark.parametrize("memory_megabytes", [LEAST_MEMORY_MEGABYTES, MEMORY_MEGABYTES])
def test_clients_that_stop_half_way_leave_the_memory_limit(courier: CourierProcess, memory_megabytes: int):
    async def play() -> tuple[list[bytes], bytes]:
        stopped = [asyncio.create_task(stop_half_way(courier, number)) for number in range(CLIENT_COUNT)]
        await asyncio.sleep(0.1)
        honest = await ask(courier, payment(CLIENT_COUNT, body=b"x" * 32_768))
        return list(await asyncio.gather(*stopped)), honest

    answers, honest = asyncio.run(play())
    assert not courier.crashed()
    assert peak_megabytes(courier) <= memory_megabytes
    assert honest == b"+OK\r\n"
    assert sum(answer.startswith(b"-") for answer in answers) >= 0.9 * CLIENT_COUNT


# Guards against requests that cost much time each: sixteen lists of 8,000 names took 200 ms in one cycle.
def test_lists_of_very_many_names_do_not_hold_up_other_clients(courier: CourierProcess):
    names = b",".join(b"a%d=1" % number for number in range(8_000))
    delays: list[float] = []

    async def flood(until: float) -> None:
        while time.monotonic() < until:
            reader, writer = await asyncio.open_connection(HOST, courier.port)
            writer.write(payment(1, names) * 16)
            assert (await asyncio.wait_for(reader.readline(), 5.0)).startswith(b"-ERR")
            writer.close()

    async def usual(until: float) -> None:
        while time.monotonic() < until:
            sent_at = time.monotonic()
            assert await ask(courier, request(b"PING")) == b"+PONG\r\n"
            delays.append(time.monotonic() - sent_at)
            await asyncio.sleep(0.01)

    async def play() -> None:
        until = time.monotonic() + 3.0
        await asyncio.gather(*[flood(until) for _ in range(100)], *[usual(until) for _ in range(4)])

    asyncio.run(play())
    assert max(delays) < CLIENT_TIMEOUT_SECONDS


# Guards against requests that are read after their client has left: it cannot hear that its message is
# accepted, and hands it in elsewhere.
def test_requests_whose_client_has_left_are_not_sent_on(tmp_path: Path):
    partner = ThreadedRecordingEndpoints(1, 1_000.0)
    partner.service_seconds = 0.01
    process = CourierProcess(tmp_path, 0, None)
    process.configure(Scenario((), (), couriers=1), partner.agent_port, partner.endpoint_list())
    process.start()
    try:
        asyncio.run(wait_until_ready(process))
        fields = b"c=gallery-notice,d=4000,dest=0"
        assert asyncio.run(ask(process, payment(1, fields))) == b"+OK\r\n"
        wait_for("the first is delivered", lambda: has_started(partner, f"{1:016x}"))
        assert process._process is not None
        process._process.send_signal(signal.SIGSTOP)
        with socket.create_connection((HOST, process.port)) as client:
            client.sendall(b"".join(payment(number, fields) for number in range(2, 42)))
        process._process.send_signal(signal.SIGCONT)
        assert asyncio.run(ask(process, payment(100, fields))) == b"+OK\r\n"
        wait_for("the last is delivered", lambda: has_started(partner, f"{100:016x}"))
        time.sleep(0.3)
        assert [each.message_id for each in partner.delivery_starts] == [f"{1:016x}", f"{100:016x}"]
    finally:
        process.stop()
        partner.close()
