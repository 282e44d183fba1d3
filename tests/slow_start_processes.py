"""Many courier processes before one faulty destination on loopback.

The couriers are real processes that share nothing. The destination has several endpoints with one capacity;
it serves, fails in a stated way for some seconds and serves again. It notes for each call which courier sent
it, and whether that courier had seen a call fail before.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from winchspan.fakes.courier_process import CourierProcess
from winchspan.fakes.scenario import Scenario
from winchspan.fakes.sockets import HOST

from .loopback import PATIENCE, submit
from .slow_start_fleet import AWARE_SHARE, tolerance

DESTINATION = 3
MESSAGE_CLASS = "order-payment"
LEFT_MS = 24_000
LATENCY_SECONDS = (0.04, 0.16)
STATED_PART = 1 / 1.3  # the listed rate, as a part of the capacity
START_CAPACITY = 0.23  # the rules of `winchspan.fakes.platform`
COLD_SECONDS = 14.0
FALL_MULTIPLE = 2.0
TIP_AFTER_SECONDS = 2.0
HEARTBEAT_SECONDS = 2.0  # between two lines of a watch
NUMBER_DIGITS = 4  # of a courier's number, with which the ids of its messages begin


class Fault(Enum):
    """What the destination does with a call during its outage."""

    HANG = "takes it and answers nothing"
    RESET = "breaks its connection"
    ERROR = "answers 500"
    REJECT = "answers 503"
    REPLACED = "has no endpoint, and then another one"


@dataclass(slots=True, frozen=True)
class ProcessFleet:
    """A fleet and the outage of its destination.

    Attributes:
        couriers: how many processes there are.
        calls_per_s: messages a second that one courier is handed.
        endpoints: how many endpoints the destination has.
        headroom: the destination's capacity over the load of all couriers.
        fault: what it does in the outage.
        warm_up_seconds: the time before the outage.
        outage_seconds: its duration.
        watched_seconds: how long calls are counted after it.
        restarts: how many couriers are killed and started again during the outage.
    """

    couriers: int = 100
    calls_per_s: float = 0.5
    endpoints: int = 3
    headroom: float = 1.5
    fault: Fault = Fault.HANG
    warm_up_seconds: float = 8.0
    outage_seconds: float = 8.0
    watched_seconds: float = 6.0
    restarts: int = 0

    @property
    def capacity_per_s(self) -> float:
        """Calls a second that the destination takes once it is warm."""
        return self.headroom * self.couriers * self.calls_per_s


@dataclass(slots=True, frozen=True)
class Arrival:
    """A call that arrived at the destination after its return."""

    after_return_seconds: float
    is_told: bool


@dataclass(slots=True, frozen=True)
class Overload:
    """The window with the most calls, measured against its budget."""

    at_seconds: float
    calls: int
    told: int
    budget: float

    @property
    def breaks_rule(self) -> bool:
        """Whether the calls of couriers that had been told push the destination over."""
        return self.calls > self.budget + tolerance(self.budget) and self.told > AWARE_SHARE * self.calls


class FaultyDestination:
    """The endpoints of one destination, with one fault for all."""

    def __init__(self, fleet: ProcessFleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng
        self._servers: list[asyncio.Server] = []
        self.ports: list[int] = []
        self.is_out = False
        self.returned_at: float | None = None
        self.told: set[int] = set()
        self.arrivals: list[Arrival] = []
        self.call_count = 0

    async def open(self) -> None:
        for _ in range(self._fleet.endpoints):
            await self.open_endpoint()

    async def open_endpoint(self) -> None:
        """Open one more endpoint."""
        server = await asyncio.start_server(self._serve, HOST, 0, backlog=512)
        self._servers.append(server)
        self.ports.append(server.sockets[0].getsockname()[1])

    def close(self) -> None:
        for server in self._servers:
            server.close()

    def begin_outage(self) -> None:
        self.is_out = True

    def end_outage(self) -> None:
        self.is_out = False
        self.returned_at = time.monotonic()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await self._serve_call(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the connection has ended, or the play
        finally:
            writer.close()

    async def _serve_call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Serve one call; return whether the connection goes on."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        headers = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
        await reader.readexactly(int(headers["content-length"]))
        courier = int(headers["x-request-id"][:NUMBER_DIGITS], 16)
        message = headers["x-request-id"]
        self.begin_call(message)
        is_delivered = False
        try:
            is_delivered = await self._answer(courier, reader, writer)
        finally:
            self.end_call(message, is_delivered=is_delivered)
        return is_delivered or self._fleet.fault in (Fault.ERROR, Fault.REJECT)

    def begin_call(self, message: str) -> None:
        """Note that a call has arrived."""
        self.call_count += 1

    def end_call(self, message: str, *, is_delivered: bool) -> None:
        """Note that a call has been answered, or its connection has ended."""

    async def _answer(self, courier: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Answer a call, or not; return whether it is delivered."""
        if self.returned_at is not None:
            after_seconds = time.monotonic() - self.returned_at
            is_told = courier in self.told or self._fleet.fault is Fault.REPLACED  # by the list
            self.arrivals.append(Arrival(after_seconds, is_told))
        if self.is_out:
            await self._fail(courier, reader, writer)
            return False
        await asyncio.sleep(self._rng.uniform(*LATENCY_SECONDS))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        return True

    async def _fail(self, courier: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        match self._fleet.fault:
            case Fault.HANG:
                with suppress(OSError):
                    await reader.read(1)  # until the courier gives the call up
            case Fault.RESET:
                writer.transport.abort()
            case Fault.ERROR:
                writer.write(b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
            case Fault.REJECT | Fault.REPLACED:  # a removed endpoint wants nothing new
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        self.told.add(courier)


class Discovery:
    """Discovery's agent, which tells the endpoints, and the platform that takes notifications."""

    def __init__(self, destination: FaultyDestination, rate_per_s: float) -> None:
        self._server: asyncio.Server | None = None
        self.port = 0
        self._destination = destination
        self._rate_per_s = rate_per_s
        self._changes: list[bytes] = []
        self._changed = asyncio.Event()
        hosts = [self._host(number, "up") for number in range(len(destination.ports))]
        self.snapshot: dict[str, object] = {"seq": 1, "whole": True, "hosts": hosts}

    def _host(self, number: int, health: str) -> dict[str, object]:
        return {
            "host": f"s-{number}",
            "dial": f"{HOST}:{self._destination.ports[number]}",
            "site": "a",
            "class": "mid-host",
            "block": DESTINATION,
            "health": health,
            "share": self._rate_per_s,
            "born_ms": 0,
        }

    def tell(self, number: int, health: str) -> None:
        """Tell all couriers that watch of a change of an endpoint: `up` or `removed`."""
        document = {"seq": len(self._changes) + 2, "whole": False, "hosts": [self._host(number, health)]}
        self._changes.append(json.dumps(document).encode() + b"\n")
        self._changed.set()
        self._changed = asyncio.Event()

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                if head.startswith("get"):
                    await self._follow(writer)
                    return
                headers = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
                self.take_notifications(await reader.readexactly(int(headers["content-length"])))
                writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the connection has ended, or the play
        finally:
            writer.close()

    def take_notifications(self, body: bytes) -> None:
        """Take the platform's notifications, a JSON object a line."""

    async def _follow(self, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        lines = [json.dumps(self.snapshot).encode() + b"\n", *self._changes]
        while not writer.is_closing():
            told_count = len(self._changes)
            for line in lines or [b"\n"]:
                writer.write(b"%x\r\n%s\r\n" % (len(line), line))
            await writer.drain()
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), HEARTBEAT_SECONDS)
            lines = self._changes[told_count:]


class Client:
    """Hands messages to one courier, on one connection that is opened anew where it ends."""

    def __init__(self, number: int, port: int, fleet: ProcessFleet, seed: int) -> None:
        self._number = number
        self._port = port
        self._fleet = fleet
        self._rng = random.Random(seed)
        self.accepted_count = 0

    async def wait_until_ready(self) -> None:
        deadline = time.monotonic() + PATIENCE
        while True:
            with suppress(OSError):
                _, writer = await asyncio.open_connection(HOST, self._port)
                writer.close()
                return
            assert time.monotonic() < deadline, f"courier {self._number} does not listen"
            await asyncio.sleep(0.05)

    async def run(self) -> None:
        while True:
            with suppress(OSError, asyncio.IncompleteReadError):
                await self._submit_messages()
            await asyncio.sleep(0.1)

    async def _submit_messages(self) -> None:
        reader, writer = await asyncio.open_connection(HOST, self._port)
        try:
            while True:
                await asyncio.sleep(self._rng.expovariate(self._fleet.calls_per_s))
                message = f"{self._number:0{NUMBER_DIGITS}x}{self._rng.getrandbits(48):012x}"
                writer.write(submit(message, cls=MESSAGE_CLASS, dest=DESTINATION, left=LEFT_MS))
                answer = await reader.readuntil(b"\r\n")
                self.accepted_count += answer.startswith(b"+")
        finally:
            writer.close()


@contextmanager
def courier_processes(
    fleet: ProcessFleet, folder: Path, discovery: Discovery
) -> Iterator[list[CourierProcess]]:
    """Start the couriers of a fleet, and end them."""
    scenario = Scenario(partners=(), streams=(), couriers=fleet.couriers)
    couriers: list[CourierProcess] = []
    try:
        for number in range(fleet.couriers):
            directory = folder / f"n{number}"
            directory.mkdir()
            courier = CourierProcess(directory, number, None)
            courier.configure(scenario, discovery.port, discovery.snapshot)
            courier.start()
            couriers.append(courier)
        yield couriers
    finally:
        for courier in couriers:
            courier.kill()


async def play_process_fleet(fleet: ProcessFleet, folder: Path, seed: int) -> FaultyDestination:
    """Play the outage of a fleet's destination, and return the destination with what it noted."""
    destination = FaultyDestination(fleet, random.Random(seed))
    await destination.open()
    discovery = Discovery(destination, fleet.capacity_per_s * STATED_PART)
    await discovery.open()
    with courier_processes(fleet, folder, discovery) as couriers:
        clients = [
            Client(number, courier.port, fleet, seed * 1_000 + number)
            for number, courier in enumerate(couriers)
        ]
        await asyncio.gather(*(client.wait_until_ready() for client in clients))
        tasks = [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(fleet.warm_up_seconds)
        destination.begin_outage()
        if fleet.fault is Fault.REPLACED:
            discovery.tell(0, "removed")
        await asyncio.sleep(fleet.outage_seconds / 2)
        for courier in couriers[: fleet.restarts]:
            courier.kill()
            courier.start()
        await asyncio.sleep(fleet.outage_seconds / 2)
        destination.end_outage()
        if fleet.fault is Fault.REPLACED:
            await destination.open_endpoint()
            discovery.tell(len(destination.ports) - 1, "up")
        await asyncio.sleep(fleet.watched_seconds)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    destination.close()
    discovery.close()
    return destination


def worst_overload(fleet: ProcessFleet, arrivals: list[Arrival]) -> Overload:
    """Return the window of the rule that is fullest, measured against its budget."""
    worst = Overload(0.0, 0, 0, 1.0)
    for last in arrivals:
        at_seconds = last.after_return_seconds
        window = [
            each
            for each in arrivals
            if at_seconds - TIP_AFTER_SECONDS < each.after_return_seconds <= at_seconds
        ]
        part = START_CAPACITY + (1 - START_CAPACITY) * min(1.0, at_seconds / COLD_SECONDS)
        budget = FALL_MULTIPLE * part * fleet.capacity_per_s * TIP_AFTER_SECONDS
        if len(window) / budget > worst.calls / worst.budget:
            worst = Overload(at_seconds, len(window), sum(each.is_told for each in window), budget)
    return worst
