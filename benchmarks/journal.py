"""Measures the cost of the journal on a disk: `python benchmarks/journal.py --folder DIR`, 75 s by default.

A courier process with its state in a folder of the disk gets 200 messages a second, without faults. Prints
how long clients wait for `+OK`, and how many messages are sent to the partner more than once.
"""

from __future__ import annotations

import asyncio
import statistics
import tempfile
import time
from collections import Counter
from pathlib import Path

import click

from winchspan.fakes.clients import Clients, Workload
from winchspan.fakes.courier_process import CourierProcess
from winchspan.fakes.discovery import Discovery
from winchspan.fakes.scenario import Scenario, storm_scenario
from winchspan.fakes.sockets import HOST, Server, answer, read_request
from winchspan.runtime.clock import Clock
from winchspan.runtime.timers import TimerQueue

CONNECTION_COUNT = 16  # of the clients, each with one request at a time
SERVICE_SECONDS = 0.02  # duration of a call at the partner
DRAIN_SECONDS = 2.0  # from the last message to the end of the measurement


class CountingEndpoint:
    """A partner's endpoint that accepts all calls, and counts the calls of each message."""

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self.server = Server(self._serve)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await read_request(reader)) is not None:
            self.calls[request.headers["x-request-id"]] += 1
            await asyncio.sleep(SERVICE_SECONDS)
            writer.write(answer(200))


async def submit_messages(
    port: int, jobs: asyncio.Queue[tuple[float, int]], latency_ms: list[float], refused: Counter[str]
) -> None:
    """Submit messages from the queue on one connection."""
    reader, writer = await asyncio.open_connection(HOST, port)
    while True:
        at, number = await jobs.get()
        arguments = [b"SUBMIT", b"0", b"%016x" % number, b"c=gallery-notice,d=5000,dest=7", b"x" * 400]
        begun = time.perf_counter()
        writer.write(b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(each), each) for each in arguments))
        line = await reader.readline()
        latency_ms.append((time.perf_counter() - begun) * 1_000.0)
        if not line.startswith(b"+"):
            refused[line.decode().split()[0]] += 1


async def measure(folder: Path, rate: float, seconds: float) -> None:
    """Run the measurement, and print its results."""
    loop, clock = asyncio.get_running_loop(), Clock()
    idle_clients = Clients(Workload({}, [], 0), clock, TimerQueue(clock, loop))
    discovery, partner = Discovery(idle_clients, lambda line: None), CountingEndpoint()
    await discovery.server.start()
    await partner.server.start()
    discovery.add_endpoint("s-7-0", partner.server.port, 7, 10.0 * rate)
    scenario: Scenario = storm_scenario(couriers=1, changes={"slots": 64, "max_held": 500})
    courier = CourierProcess(folder, 0, None)
    courier.configure(scenario, discovery.server.port, discovery.full_snapshot())
    courier.start()
    latency_ms, refused = list[float](), Counter[str]()
    jobs: asyncio.Queue[tuple[float, int]] = asyncio.Queue()
    try:
        for _ in range(100):
            await asyncio.sleep(0.1)
            try:
                _, writer = await asyncio.open_connection(HOST, courier.port)
                writer.close()
                break
            except OSError:
                continue
        tasks = [
            loop.create_task(submit_messages(courier.port, jobs, latency_ms, refused))
            for _ in range(CONNECTION_COUNT)
        ]
        begun, total = time.perf_counter(), int(rate * seconds)
        for number in range(total):
            await asyncio.sleep(max(0.0, begun + number / rate - time.perf_counter()))
            jobs.put_nowait((begun + number / rate, number))
        await asyncio.sleep(DRAIN_SECONDS)
        for task in tasks:
            task.cancel()
        ranks = statistics.quantiles(latency_ms, n=1_000)
        print(
            f"{len(latency_ms)} messages, {rate:g}/s: +OK p50 {ranks[499]:.2f} ms, p99 {ranks[989]:.2f} ms, "
            f"p99.9 {ranks[998]:.2f} ms, most {max(latency_ms):.1f} ms; refused {dict(refused)}; "
            f"sent more than once {sum(n > 1 for n in partner.calls.values())}, "
            f"never {total - len(partner.calls)}"
        )
    finally:
        courier.stop()
        partner.server.close()
        discovery.server.close()


@click.command()
@click.option(
    "--folder",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    required=True,
    help="Folder on the disk that is measured.",
)
@click.option("--rate", default=200.0, help="Messages a second.")
@click.option("--seconds", default=75.0, help="Duration in s.")
def main(folder: Path, rate: float, seconds: float) -> None:
    """Measure the cost of the journal on a disk."""
    with tempfile.TemporaryDirectory(dir=folder) as state_directory:
        asyncio.run(measure(Path(state_directory), rate, seconds))


if __name__ == "__main__":
    main()
