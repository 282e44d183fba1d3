"""Seeded days with real processes on loopback: couriers, clients, discovery, and a destination that fails.

Clients use the connections that they have for as long as these stay open. Couriers get signals in
series: SIGHUP, SIGTERM with SIGKILL at the earliest moment that the platform allows, or SIGKILL alone;
each starts again in its data directory. What clients, endpoints and the platform have seen is audited at
the end.
"""

from __future__ import annotations

import asyncio
import json
import random
import signal
import sys
import tempfile
import time
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from winchspan.fakes.courier_process import CourierProcess
from winchspan.fakes.scenario import Scenario
from winchspan.fakes.sockets import HOST

from .loopback import PING, submit
from .slow_start_processes import (
    DESTINATION,
    NUMBER_DIGITS,
    STATED_PART,
    Discovery,
    Fault,
    FaultyDestination,
    Overload,
    ProcessFleet,
    worst_overload,
)

CLASSES = {"order-payment": 24_000, "gallery-notice": 5_000}  # and the time that their messages have, in ms
KEYED_CLASS = "order-payment"
REPLY_SECONDS = 0.4  # a client waits so long for a reply
KILL_AFTER_SECONDS = 3.7  # SIGTERM to SIGKILL, at the earliest
STOP_SECONDS = 3.7  # a courier ends by itself within this
RESTART_SECONDS = 0.6  # SIGKILL to the next start
LATE_SECONDS = 0.3  # after its time a message must have its end
RECOVERY_SECONDS = 1.5  # after a restart is ready, before an end may be called late
READY_SECONDS = 30.0
CROWD_IDLE_SECONDS = 2.0
OUTAGE_FAULTS = (Fault.HANG, Fault.RESET, Fault.ERROR, Fault.REJECT)
SIGNAL_SERIES_SHARE = 0.4  # of the days
SECOND_TERM_SECONDS = 0.5  # from SIGTERM to another one
TIMED_OUT = b"timed out"


@dataclass(slots=True, frozen=True)
class SoakDay:
    """What happens on a day.

    Attributes:
        seed: what it is drawn from.
        fleet: the couriers, and the outage of the destination.
        terms: when couriers get SIGTERM, each in seconds from the start of traffic, and which.
        kills: when couriers get SIGKILL without warning.
        reloads: when couriers get SIGHUP.
        crowd: idle clients that come to each courier.
        has_signal_series: whether SIGHUP comes right before each SIGTERM, and another SIGTERM behind it.
    """

    seed: int
    fleet: ProcessFleet
    terms: tuple[tuple[float, int], ...]
    kills: tuple[tuple[float, int], ...]
    reloads: tuple[tuple[float, int], ...]
    crowd: int
    has_signal_series: bool

    @property
    def traffic_seconds(self) -> float:
        """How long messages are handed in."""
        fleet = self.fleet
        return fleet.warm_up_seconds + fleet.outage_seconds + fleet.watched_seconds


def draw_day(seed: int, *, couriers: int | None = None) -> SoakDay:
    """Draw a day; `couriers` fixes how many there are."""
    rng = random.Random(seed)
    count = couriers or rng.choice((3, 6, 10, 20, 40))
    fleet = ProcessFleet(
        couriers=count,
        calls_per_s=min(8.0, 60.0 / count),
        endpoints=rng.choice((1, 2, 3, 6)),
        headroom=rng.choice((1.3, 2.0)),
        fault=rng.choice(OUTAGE_FAULTS),
        warm_up_seconds=4.0,
        outage_seconds=rng.uniform(2.0, 6.0),
        watched_seconds=6.0,
    )
    whole = fleet.warm_up_seconds + fleet.outage_seconds + fleet.watched_seconds
    numbers = rng.sample(range(count), k=max(2, count // 3))
    terms = tuple((rng.uniform(1.0, whole - 5.0), number) for number in numbers[::2])
    kills = tuple((rng.uniform(1.0, whole - 2.0), number) for number in numbers[1::2])
    reloads = tuple((rng.uniform(0.5, whole), rng.randrange(count)) for _ in range(max(2, count // 4)))
    crowd = rng.choice((0, 0, 0, 40))
    has_signal_series = rng.random() < SIGNAL_SERIES_SHARE
    return SoakDay(seed, fleet, terms, kills, reloads, crowd, has_signal_series)


@dataclass(slots=True)
class Accepted:
    """A message that a courier has taken on."""

    courier: int
    class_name: str
    due_at: float
    ended_at: float | None = None


@dataclass(slots=True, frozen=True)
class Unanswered:
    """A request without a reply, and what tells whose fault that is.

    Attributes:
        message: its id.
        courier: that it was sent to.
        waited_seconds: from when it was written until its connection ended, or its client gave up.
        is_on_new_connection: whether its connection was opened for it.
        since_signal_seconds: since the courier's last signal; None: it had none.
        signal_name: of that signal; empty: it had none.
    """

    message: str
    courier: int
    waited_seconds: float
    is_on_new_connection: bool
    since_signal_seconds: float | None
    signal_name: str


@dataclass(slots=True)
class SoakAudit:
    """What was seen.

    Attributes:
        accepted: messages taken on, by id.
        unanswered: requests that were read, as far as their clients can know, and got no answer.
        given_up: requests whose clients gave up waiting for a reply, which breaks no rule.
        twice: messages of which two attempts were in flight at once.
        late_stops: couriers that had not ended in time after SIGTERM.
        crashes: couriers that ended by themselves.
        overload: the fullest window after the return.
    """

    accepted: dict[str, Accepted] = field(default_factory=dict)
    unanswered: list[Unanswered] = field(default_factory=list)
    given_up: list[Unanswered] = field(default_factory=list)
    twice: list[str] = field(default_factory=list)
    late_stops: list[int] = field(default_factory=list)
    crashes: list[str] = field(default_factory=list)
    overload: Overload | None = None
    down: list[tuple[int, float, float]] = field(default_factory=list)  # courier, from, until ready

    def lost(self, now: float) -> list[str]:
        """Return the messages that had no end, or had it too late."""
        return [name for name, message in self.accepted.items() if self._is_lost(message, now)]

    def _is_lost(self, message: Accepted, now: float) -> bool:
        limit = message.due_at + LATE_SECONDS
        for courier, begin, ready in self.down:
            if courier == message.courier and begin <= limit <= ready + RECOVERY_SECONDS:
                limit = ready + RECOVERY_SECONDS
        return (message.ended_at or now) > limit

    def faults(self, now: float) -> dict[str, object]:
        """Return all that broke a rule."""
        found: dict[str, object] = {
            "lost": self.lost(now),
            "unanswered": self.unanswered,
            "twice at once": self.twice,
            "late stops": self.late_stops,
            "crashes": self.crashes,
        }
        if self.overload is not None and self.overload.breaks_rule:
            found["overload"] = self.overload
        return {name: each for name, each in found.items() if each}


class AuditedDestination(FaultyDestination):
    """Notes which messages were delivered, and which came twice at once."""

    def __init__(self, fleet: ProcessFleet, rng: random.Random, audit: SoakAudit) -> None:
        super().__init__(fleet, rng)
        self._audit = audit
        self._in_flight: set[str] = set()

    def begin_call(self, message: str) -> None:
        """Note that a call has arrived."""
        if message in self._in_flight:
            self._audit.twice.append(message)
        self._in_flight.add(message)

    def end_call(self, message: str, *, is_delivered: bool) -> None:
        """Note that a call has been answered, or its connection has ended."""
        self._in_flight.discard(message)
        accepted = self._audit.accepted.get(message)
        if is_delivered and accepted is not None and accepted.ended_at is None:
            accepted.ended_at = time.monotonic()


class AuditedPlatform(Discovery):
    """Notes which messages ended by a notification."""

    def __init__(self, destination: FaultyDestination, rate_per_s: float, audit: SoakAudit) -> None:
        super().__init__(destination, rate_per_s)
        self._audit = audit

    def take_notifications(self, body: bytes) -> None:
        """Note each end."""
        for line in body.splitlines():
            accepted = self._audit.accepted.get(json.loads(line)["id"])
            if accepted is not None and accepted.ended_at is None:
                accepted.ended_at = time.monotonic()


class SoakClient:
    """One client of one courier: keeps its connection until that ends, and sends on it whatever happens."""

    def __init__(self, day: SoakDay, number: int, port: int, audit: SoakAudit) -> None:
        self._day = day
        self._number = number
        self._port = port
        self._audit = audit
        self._rng = random.Random(day.seed * 1_000 + number)
        self.is_killed = False  # its courier was killed: what it did not answer then is not owed
        self._signalled_at: float | None = None
        self._signal_name = ""
        self._asked_at = 0.0
        self._is_stopped = False
        self._connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    def note_signal(self, number: signal.Signals) -> None:
        """Note that its courier gets a signal."""
        self._signalled_at, self._signal_name = time.monotonic(), number.name
        if number is signal.SIGKILL:
            self.is_killed = True

    def stop(self) -> None:
        """Hand in nothing more. `asyncio.wait_for` of Python 3.11 may drop a cancellation."""
        self._is_stopped = True

    async def run(self) -> None:
        while not self._is_stopped:
            await asyncio.sleep(self._rng.expovariate(self._day.fleet.calls_per_s))
            await self._hand_in()

    async def _hand_in(self) -> None:
        class_name = self._rng.choice(list(CLASSES))
        message = f"{self._number:0{NUMBER_DIGITS}x}{self._rng.getrandbits(48):012x}"
        key = self._rng.randrange(1, 20) if class_name == KEYED_CLASS else 0
        left_ms = CLASSES[class_name]
        request = submit(message, cls=class_name, dest=DESTINATION, left=left_ms, key=key)
        due_at = time.monotonic() + left_ms / 1_000
        for is_repeat in (False, True):
            is_new = self._connection is None or is_repeat
            self.is_killed = False
            answer = await self._ask(request, is_new=is_new)
            if answer == TIMED_OUT:
                self._audit.given_up.append(self._unanswered(message, is_new=is_new))
            if answer.startswith(b"+"):
                accepted = Accepted(self._number, class_name, due_at)
                self._audit.accepted.setdefault(message, accepted)
            if answer or self.is_killed:
                return
            if is_new:  # it was not crossed by the end of a resting connection
                self._audit.unanswered.append(self._unanswered(message, is_new=is_new))
                return

    def _unanswered(self, message: str, *, is_new: bool) -> Unanswered:
        now, signalled_at = time.monotonic(), self._signalled_at
        since_seconds = None if signalled_at is None else round(now - signalled_at, 3)
        waited_seconds = round(now - self._asked_at, 3)
        return Unanswered(message, self._number, waited_seconds, is_new, since_seconds, self._signal_name)

    async def _ask(self, request: bytes, *, is_new: bool) -> bytes:
        """Return the reply; empty if the connection has ended without one."""
        try:
            if is_new:
                self._connection = None
                self._connection = await asyncio.open_connection(HOST, self._port)
            assert self._connection is not None
            reader, writer = self._connection
            self._asked_at = time.monotonic()
            writer.write(request)
            answer = await asyncio.wait_for(reader.readuntil(b"\r\n"), REPLY_SECONDS)
        except TimeoutError:
            self._drop()
            return TIMED_OUT
        except ConnectionRefusedError:
            self._connection = None
            return b"not connected"
        except (OSError, asyncio.IncompleteReadError):
            self._drop()
            return b""
        return answer

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None


class SoakRun:
    """Plays one day."""

    def __init__(self, day: SoakDay, folder: Path) -> None:
        self._day = day
        self._folder = folder
        self._audit = SoakAudit()
        rate = day.fleet.capacity_per_s * STATED_PART
        self._destination = AuditedDestination(day.fleet, random.Random(day.seed), self._audit)
        self._rate = rate
        self._platform: AuditedPlatform
        self._couriers: list[CourierProcess] = []
        self._clients: list[SoakClient] = []
        self._busy: set[int] = set()  # couriers that are being ended and started again

    async def run(self) -> SoakAudit:
        """Play the day, and return what was seen."""
        await self._destination.open()
        self._platform = AuditedPlatform(self._destination, self._rate, self._audit)
        await self._platform.open()
        try:
            await self._start_couriers()
            await self._play()
            await self._wait_for_ends()
        finally:
            for courier in self._couriers:
                courier.kill()
            self._destination.close()
            self._platform.close()
        self._audit.overload = worst_overload(self._day.fleet, self._destination.arrivals)
        return self._audit

    async def _start_couriers(self) -> None:
        scenario = Scenario(partners=(), streams=(), couriers=self._day.fleet.couriers)
        for number in range(self._day.fleet.couriers):
            directory = self._folder / f"n{number}"
            directory.mkdir()
            courier = CourierProcess(directory, number, None)
            courier.configure(scenario, self._platform.port, self._platform.snapshot)
            courier.start()
            self._couriers.append(courier)
            self._clients.append(SoakClient(self._day, number, courier.port, self._audit))
        for number in range(len(self._couriers)):
            await self._wait_until_ready(number)

    async def _wait_until_ready(self, number: int) -> None:
        deadline = time.monotonic() + READY_SECONDS
        while time.monotonic() < deadline:
            with suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, self._couriers[number].port)
                writer.write(PING)
                answer = await reader.readuntil(b"\r\n")
                writer.close()
                if answer == b"+PONG\r\n":
                    return
            await asyncio.sleep(0.05)
        self._audit.crashes.append(f"n{number} is not ready: {self._couriers[number].last_log_line()}")

    async def _play(self) -> None:
        day = self._day
        tasks = [asyncio.create_task(client.run()) for client in self._clients]
        tasks += [
            asyncio.create_task(self._crowd(number)) for number in range(day.crowd and len(self._couriers))
        ]
        events = [asyncio.create_task(self._after(at, self._terminate(number))) for at, number in day.terms]
        events += [asyncio.create_task(self._after(at, self._kill(number))) for at, number in day.kills]
        events += [asyncio.create_task(self._after(at, self._reload(number))) for at, number in day.reloads]
        await asyncio.sleep(day.fleet.warm_up_seconds)
        self._destination.begin_outage()
        await asyncio.sleep(day.fleet.outage_seconds)
        self._destination.end_outage()
        await asyncio.sleep(day.fleet.watched_seconds)
        await asyncio.gather(*events)
        for client in self._clients:
            client.stop()
        for task in tasks:
            task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, Exception):
                raise result

    @staticmethod
    async def _after(seconds: float, action: object) -> None:
        await asyncio.sleep(seconds)
        await action  # type: ignore[misc]  # each is a coroutine

    async def _reload(self, number: int) -> None:
        if number not in self._busy:
            self._clients[number].note_signal(signal.SIGHUP)
            self._couriers[number].signal(signal.SIGHUP)

    async def _kill(self, number: int) -> None:
        if number in self._busy:
            return
        self._busy.add(number)
        begin = time.monotonic()
        self._clients[number].note_signal(signal.SIGKILL)
        self._couriers[number].kill()
        await self._restart(number, begin)

    async def _terminate(self, number: int) -> None:
        """End a courier as a planned restart does; clients go on with the connections that they have."""
        if number in self._busy:
            return
        self._busy.add(number)
        courier, begin = self._couriers[number], time.monotonic()
        if self._day.has_signal_series:
            courier.signal(signal.SIGHUP)
        self._clients[number].note_signal(signal.SIGTERM)
        courier.signal(signal.SIGTERM)
        is_second_due = self._day.has_signal_series
        while time.monotonic() < begin + KILL_AFTER_SECONDS and not courier.crashed():
            await asyncio.sleep(0.01)
            if is_second_due and time.monotonic() > begin + SECOND_TERM_SECONDS:
                is_second_due = False
                courier.signal(signal.SIGTERM)
        if not courier.crashed():
            self._audit.late_stops.append(number)
        self._clients[number].note_signal(signal.SIGKILL)
        courier.kill()
        await self._restart(number, begin)

    async def _restart(self, number: int, begin: float) -> None:
        await asyncio.sleep(RESTART_SECONDS)
        self._couriers[number].start()
        await self._wait_until_ready(number)
        self._audit.down.append((number, begin, time.monotonic()))
        self._busy.discard(number)

    async def _crowd(self, number: int) -> None:
        """Hold idle connections to a courier, again and again."""
        while True:
            writers = []
            for _ in range(self._day.crowd):
                with suppress(OSError):
                    writers.append((await asyncio.open_connection(HOST, self._couriers[number].port))[1])
            await asyncio.sleep(CROWD_IDLE_SECONDS)
            for writer in writers:
                writer.close()

    async def _wait_for_ends(self) -> None:
        """Wait until each message has its end, or should have had it."""
        while True:
            now = time.monotonic()
            open_ones = [each for each in self._audit.accepted.values() if each.ended_at is None]
            if all(each.due_at + LATE_SECONDS + RECOVERY_SECONDS < now for each in open_ones):
                break
            await asyncio.sleep(0.2)
        for number, courier in enumerate(self._couriers):
            if courier.crashed():
                self._audit.crashes.append(f"n{number}: {courier.last_log_line()}")


def play_day(day: SoakDay, folder: Path) -> SoakAudit:
    """Play a day, and return what was seen."""
    audit = asyncio.run(SoakRun(day, folder).run())
    assert audit.accepted, "no message was taken on"
    return audit


def main(first: int, last: int) -> int:
    """Play the days of some seeds, one after the other; return how many broke a rule."""
    broken = 0
    for seed in range(first, last + 1):
        day = draw_day(seed)
        with tempfile.TemporaryDirectory() as folder:
            audit = play_day(day, Path(folder))
        faults = audit.faults(time.monotonic())
        broken += bool(faults)
        fleet = day.fleet
        series = ", signals in series" if day.has_signal_series else ""
        place = f"{fleet.couriers} couriers, {fleet.endpoints} endpoints, crowd {day.crowd}{series}"
        what = f"{fleet.outage_seconds:.1f} s in which it {fleet.fault.value}"
        seen = f"{len(audit.accepted)} messages, {len(audit.given_up)} replies not waited for"
        print(f"seed {seed}: {place}, {what}: {seen}: {faults or 'no rule broken'}", flush=True)
    return broken


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
