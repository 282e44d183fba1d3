"""Runs seeded days with couriers, clients, discovery and a failing destination as real processes on loopback.

Clients reuse their connections while these stay open. Couriers get SIGHUP, SIGTERM that is followed by
SIGKILL at the earliest time that the platform allows, or SIGKILL alone, and start again in their data
directories; on days with upgrades new processes of the same or of another program take over from them. At
the end the observations of clients, endpoints and the platform are audited.
"""

from __future__ import annotations

import asyncio
import json
import random
import select
import signal
import sys
import tempfile
import time
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple

from winchspan.fakes.courier_process import CourierProcess
from winchspan.fakes.event_loop_stall_monitor import EventLoopStallMonitor
from winchspan.fakes.scenario import Scenario
from winchspan.fakes.sockets import HOST

from .loopback import PING, ROOT, encode_submit
from .slow_start_processes import (
    DESTINATION,
    LISTED_RATE_FRACTION,
    NUMBER_DIGITS,
    Discovery,
    Fault,
    FaultyDestination,
    Overload,
    ProcessFleet,
    worst_overload,
)
from .test_upgrade_processes import copy_with_changed_scheduler

CLASSES = {"order-payment": 24_000, "gallery-notice": 5_000}  # deadline in ms, by class
KEYED_CLASS = "order-payment"
REPLY_TIMEOUT_SECONDS = 0.4  # of a client
KILL_AFTER_SECONDS = 3.7  # earliest SIGKILL, from SIGTERM
STOP_SECONDS = 3.7  # upper bound on the time from SIGTERM to the end of a courier
RESTART_SECONDS = 0.6  # from SIGKILL to the next start
LATE_SECONDS = 0.3  # from the deadline to the latest allowed final result of a message
RECOVERY_SECONDS = 1.5  # from the readiness of a restarted courier to the latest allowed final result
READY_SECONDS = 30.0
IDLE_CLIENT_SECONDS = 2.0
OUTAGE_FAULTS = (Fault.HANG, Fault.RESET, Fault.ERROR, Fault.REJECT)
SIGNAL_SERIES_SHARE = 0.4  # share of days with `has_signal_series`
UPGRADE_SECONDS = 6.0  # upper bound on the time until the previous process has ended
UPGRADE_GAP_SECONDS = (0.5, 2.5)  # between two upgrades of one courier
UPGRADES = (1, 2, 3)  # of one courier
SECOND_TERM_SECONDS = 0.5  # from the first SIGTERM to the second
TIMED_OUT = b"timed out"
OTHER_PROGRAM = "other"


class Upgrade(NamedTuple):
    """An upgrade: seconds from the start of traffic, the courier's number, and the kind of program."""

    at_seconds: float
    courier: int
    is_other_program: bool


@dataclass(slots=True, frozen=True)
class SoakDay:
    """The events of a day.

    Attributes:
        seed: the seed that the day is drawn from.
        fleet: the couriers, and the outage of the destination.
        terms: SIGTERM to couriers: the time in seconds from the start of traffic, and the courier's number.
        kills: SIGKILL without an earlier SIGTERM, in the same form.
        reloads: SIGHUP, in the same form.
        idle_clients: the number of idle clients of each courier.
        has_signal_series: whether SIGHUP is sent right before each SIGTERM, and a second SIGTERM after it.
        upgrades: new processes that take over; with any, the couriers' listening sockets are held.
    """

    seed: int
    fleet: ProcessFleet
    terms: tuple[tuple[float, int], ...]
    kills: tuple[tuple[float, int], ...]
    reloads: tuple[tuple[float, int], ...]
    idle_clients: int
    has_signal_series: bool
    upgrades: tuple[Upgrade, ...] = ()

    @property
    def traffic_seconds(self) -> float:
        """The time in which messages are submitted."""
        fleet = self.fleet
        return fleet.warm_up_seconds + fleet.outage_seconds + fleet.watched_seconds


def draw_day(seed: int, *, couriers: int | None = None, has_upgrades: bool = False) -> SoakDay:
    """Draw a day from a seed; `couriers` overrides the number of couriers."""
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
    total_seconds = fleet.warm_up_seconds + fleet.outage_seconds + fleet.watched_seconds
    numbers = rng.sample(range(count), k=max(2, count // 3))
    terms = tuple((rng.uniform(1.0, total_seconds - 5.0), number) for number in numbers[::2])
    kills = tuple((rng.uniform(1.0, total_seconds - 2.0), number) for number in numbers[1::2])
    reloads = tuple(
        (rng.uniform(0.5, total_seconds), rng.randrange(count)) for _ in range(max(2, count // 4))
    )
    idle_clients = rng.choice((0, 0, 0, 40))
    has_signal_series = rng.random() < SIGNAL_SERIES_SHARE
    upgrades = draw_upgrades(seed, count, total_seconds) if has_upgrades else ()
    return SoakDay(seed, fleet, terms, kills, reloads, idle_clients, has_signal_series, upgrades)


def draw_upgrades(seed: int, couriers: int, total_seconds: float) -> tuple[Upgrade, ...]:
    """Draw series of upgrades, from random numbers of their own: the other events of a seed remain."""
    rng = random.Random(f"upgrades of {seed}")
    upgrades = []
    for number in rng.sample(range(couriers), k=max(2, couriers // 4)):
        at_seconds = rng.uniform(1.0, total_seconds - 3.0)
        for _ in range(rng.choice(UPGRADES)):
            upgrades.append(Upgrade(at_seconds, number, rng.random() < 0.5))
            at_seconds += rng.uniform(*UPGRADE_GAP_SECONDS)
    return tuple(upgrades)


@dataclass(slots=True)
class Accepted:
    """A message that a courier has accepted; times are seconds of the monotonic clock."""

    courier: int
    class_name: str
    due_at: float
    ended_at: float | None = None


@dataclass(slots=True, frozen=True)
class Unanswered:
    """A request without a reply, with the circumstances that explain it.

    Attributes:
        message: the id of the message.
        courier: the number of the courier.
        waited_seconds: from the write of the request to the end of its connection, or the client's timeout.
        is_on_new_connection: whether the connection was opened for this request.
        since_signal_seconds: since the courier's last signal; None: no signal was sent.
        signal_name: the name of that signal; empty: no signal was sent.
    """

    message: str
    courier: int
    waited_seconds: float
    is_on_new_connection: bool
    since_signal_seconds: float | None
    signal_name: str


@dataclass(slots=True)
class SoakAudit:
    """The observations of a day.

    Attributes:
        accepted: accepted messages, by id.
        unanswered: requests without a reply that the courier may have read.
        timed_out: requests without a reply within the timeout of the client, which breaks no rule.
        concurrent: messages with two attempts in flight at the same time.
        superseded: messages of which a call came when the connection of the one before had ended, and the
            endpoint had not noticed yet; no fault.
        late_stops: couriers that had not ended in time after SIGTERM.
        crashes: couriers that ended without a signal, or were not ready in time.
        overload: the window with the most calls in relation to its budget, after the outage.
        downtimes: restarts of couriers: number, begin, and the time of readiness.
    """

    accepted: dict[str, Accepted] = field(default_factory=dict)
    unanswered: list[Unanswered] = field(default_factory=list)
    timed_out: list[Unanswered] = field(default_factory=list)
    concurrent: list[str] = field(default_factory=list)
    superseded: list[str] = field(default_factory=list)
    late_stops: list[int] = field(default_factory=list)
    crashes: list[str] = field(default_factory=list)
    overload: Overload | None = None
    downtimes: list[tuple[int, float, float]] = field(default_factory=list)

    def lost_messages(self, now: float) -> list[str]:
        """Return the messages without a final result, or with a late one."""
        return [name for name, message in self.accepted.items() if self._is_lost(message, now)]

    def _is_lost(self, message: Accepted, now: float) -> bool:
        limit = message.due_at + LATE_SECONDS
        for courier, begin, ready in self.downtimes:
            if courier == message.courier and begin <= limit <= ready + RECOVERY_SECONDS:
                limit = ready + RECOVERY_SECONDS
        return (message.ended_at or now) > limit

    def faults(self, now: float) -> dict[str, object]:
        """Return the observations that break a rule, by the name of the fault."""
        found: dict[str, object] = {
            "lost": self.lost_messages(now),
            "unanswered": self.unanswered,
            "twice at once": self.concurrent,
            "late stops": self.late_stops,
            "crashes": self.crashes,
        }
        if self.overload is not None and self.overload.breaks_rule:
            found["overload"] = self.overload
        return {name: each for name, each in found.items() if each}


def is_closed_by_peer(writer: asyncio.StreamWriter) -> bool:
    """Return whether the peer has closed or reset a connection, even if its end has not been read yet."""
    descriptor = writer.get_extra_info("socket").fileno()
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    return bool(poll.poll(0))


class AuditedDestination(FaultyDestination):
    """Records delivered messages, and messages with concurrent attempts."""

    def __init__(self, fleet: ProcessFleet, rng: random.Random, audit: SoakAudit) -> None:
        super().__init__(fleet, rng)
        self._audit = audit
        self._in_flight: dict[str, asyncio.StreamWriter] = {}

    def begin_call(self, message: str, writer: asyncio.StreamWriter) -> None:
        """Record the arrival of a call.

        By the protocol an earlier call with the message is out as long as its connection is open. The courier
        may have closed it, while this process is answering the call or has not read the end yet.
        """
        earlier = self._in_flight.get(message)
        if earlier is not None and is_closed_by_peer(earlier):
            self._audit.superseded.append(message)
        elif earlier is not None:
            self._audit.concurrent.append(message)
        self._in_flight[message] = writer

    def end_call(self, message: str, writer: asyncio.StreamWriter, *, is_delivered: bool) -> None:
        """Record that a call has been answered, or its connection has ended."""
        if self._in_flight.get(message) is writer:
            del self._in_flight[message]
        accepted = self._audit.accepted.get(message)
        if is_delivered and accepted is not None and accepted.ended_at is None:
            accepted.ended_at = time.monotonic()


class AuditedPlatform(Discovery):
    """Records messages that ended with a notification.

    A notification that is read late, since this process stood still, counts from when it can have come.
    """

    def __init__(self, destination: FaultyDestination, rate_per_s: float, audit: SoakAudit) -> None:
        super().__init__(destination, rate_per_s)
        self._audit = audit
        self._stalls: EventLoopStallMonitor

    async def open(self) -> None:
        """Listen, and monitor stalls of this process's event loop."""
        self._stalls = EventLoopStallMonitor(asyncio.get_running_loop(), time.monotonic)
        await super().open()

    def receive_notifications(self, body: bytes) -> None:
        """Record the final result of each message."""
        for line in body.splitlines():
            accepted = self._audit.accepted.get(json.loads(line)["id"])
            if accepted is not None and accepted.ended_at is None:
                accepted.ended_at = time.monotonic() - self._stalls.max_read_delay_seconds()


class SoakClient:
    """A client of one courier, which reuses its connection until that is closed.

    Attributes:
        is_killed: whether its courier was killed: the pending request needs no reply then.
    """

    def __init__(self, day: SoakDay, number: int, port: int, audit: SoakAudit) -> None:
        self._day = day
        self._number = number
        self._port = port
        self._audit = audit
        self._rng = random.Random(day.seed * 1_000 + number)
        self.is_killed = False
        self._signalled_at: float | None = None
        self._signal_name = ""
        self._requested_at = 0.0
        self._is_stopped = False
        self._connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    def record_signal(self, number: signal.Signals) -> None:
        """Record a signal that is sent to its courier."""
        self._signalled_at, self._signal_name = time.monotonic(), number.name
        if number is signal.SIGKILL:
            self.is_killed = True

    def stop(self) -> None:
        """Submit no further messages.

        A flag, as `asyncio.wait_for` of Python 3.11 may drop a cancellation.
        """
        self._is_stopped = True

    async def run(self) -> None:
        while not self._is_stopped:
            await asyncio.sleep(self._rng.expovariate(self._day.fleet.calls_per_s))
            await self._submit_message()

    async def _submit_message(self) -> None:
        class_name = self._rng.choice(list(CLASSES))
        message = f"{self._number:0{NUMBER_DIGITS}x}{self._rng.getrandbits(48):012x}"
        key = self._rng.randrange(1, 20) if class_name == KEYED_CLASS else 0
        deadline_ms = CLASSES[class_name]
        request = encode_submit(message, cls=class_name, dest=DESTINATION, remaining_ms=deadline_ms, key=key)
        due_at = time.monotonic() + deadline_ms / 1_000
        for is_repeat in (False, True):
            is_new = self._connection is None or is_repeat
            self.is_killed = False
            reply = await self._request(request, is_new=is_new)
            if reply == TIMED_OUT:
                self._audit.timed_out.append(self._unanswered(message, is_new=is_new))
            if reply.startswith(b"+"):
                accepted = Accepted(self._number, class_name, due_at)
                self._audit.accepted.setdefault(message, accepted)
            if reply or self.is_killed:
                return
            if is_new:  # an idle connection may be closed while the request is sent
                self._audit.unanswered.append(self._unanswered(message, is_new=is_new))
                return

    def _unanswered(self, message: str, *, is_new: bool) -> Unanswered:
        now, signalled_at = time.monotonic(), self._signalled_at
        since_seconds = None if signalled_at is None else round(now - signalled_at, 3)
        waited_seconds = round(now - self._requested_at, 3)
        return Unanswered(message, self._number, waited_seconds, is_new, since_seconds, self._signal_name)

    async def _request(self, request: bytes, *, is_new: bool) -> bytes:
        """Return the reply; empty if the connection has ended without one."""
        try:
            if is_new:
                self._connection = None
                self._connection = await asyncio.open_connection(HOST, self._port)
            assert self._connection is not None
            reader, writer = self._connection
            self._requested_at = time.monotonic()
            writer.write(request)
            reply = await asyncio.wait_for(reader.readuntil(b"\r\n"), REPLY_TIMEOUT_SECONDS)
        except TimeoutError:
            self._close()
            return TIMED_OUT
        except ConnectionRefusedError:
            self._connection = None
            return b"not connected"
        except (OSError, asyncio.IncompleteReadError):
            self._close()
            return b""
        return reply

    def _close(self) -> None:
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None


class SoakRun:
    """Runs one day."""

    def __init__(self, day: SoakDay, folder: Path) -> None:
        self._day = day
        self._folder = folder
        self._audit = SoakAudit()
        rate = day.fleet.capacity_per_s * LISTED_RATE_FRACTION
        self._destination = AuditedDestination(day.fleet, random.Random(day.seed), self._audit)
        self._rate = rate
        self._platform: AuditedPlatform
        self._couriers: list[CourierProcess] = []
        self._clients: list[SoakClient] = []
        self._restarting: set[int] = set()

    async def run(self) -> SoakAudit:
        """Run the day, and return the observations."""
        await self._destination.open()
        self._platform = AuditedPlatform(self._destination, self._rate, self._audit)
        await self._platform.open()
        try:
            await self._start_couriers()
            await self._run_events()
            await self._wait_for_final_results()
        finally:
            for courier in self._couriers:
                courier.kill()
                if courier.listener is not None:
                    courier.listener.close()
            self._destination.close()
            self._platform.close()
        self._audit.overload = worst_overload(self._day.fleet, self._destination.arrivals)
        return self._audit

    async def _start_couriers(self) -> None:
        scenario = Scenario(partners=(), streams=(), couriers=self._day.fleet.couriers)
        if self._day.upgrades:
            copy_with_changed_scheduler(self._folder / OTHER_PROGRAM)
        for number in range(self._day.fleet.couriers):
            directory = self._folder / f"n{number}"
            directory.mkdir()
            courier = CourierProcess(directory, number, None)
            courier.configure(scenario, self._platform.port, self._platform.snapshot)
            if self._day.upgrades:
                courier.hold_listener()
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
                reply = await reader.readuntil(b"\r\n")
                writer.close()
                if reply == b"+PONG\r\n":
                    return
            await asyncio.sleep(0.05)
        self._audit.crashes.append(f"n{number} is not ready: {self._couriers[number].last_log_line()}")

    async def _run_events(self) -> None:
        day = self._day
        tasks = [asyncio.create_task(client.run()) for client in self._clients]
        tasks += [
            asyncio.create_task(self._hold_idle_connections(number))
            for number in range(day.idle_clients and len(self._couriers))
        ]
        events = [
            asyncio.create_task(self._run_after(at, self._terminate(number))) for at, number in day.terms
        ]
        events += [asyncio.create_task(self._run_after(at, self._kill(number))) for at, number in day.kills]
        events += [
            asyncio.create_task(self._run_after(at, self._reload(number))) for at, number in day.reloads
        ]
        events += [
            asyncio.create_task(self._run_after(upgrade.at_seconds, self._upgrade(upgrade)))
            for upgrade in day.upgrades
        ]
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
    async def _run_after(seconds: float, action: object) -> None:
        await asyncio.sleep(seconds)
        await action  # type: ignore[misc]  # each is a coroutine

    async def _reload(self, number: int) -> None:
        if number not in self._restarting:
            self._clients[number].record_signal(signal.SIGHUP)
            self._couriers[number].signal(signal.SIGHUP)

    async def _kill(self, number: int) -> None:
        if number in self._restarting:
            return
        self._restarting.add(number)
        begin = time.monotonic()
        self._clients[number].record_signal(signal.SIGKILL)
        self._couriers[number].kill()
        await self._restart(number, begin)

    async def _terminate(self, number: int) -> None:
        """Stop and restart a courier as a planned restart does; clients keep their open connections."""
        if number in self._restarting:
            return
        self._restarting.add(number)
        courier, begin = self._couriers[number], time.monotonic()
        if self._day.has_signal_series:
            courier.signal(signal.SIGHUP)
        self._clients[number].record_signal(signal.SIGTERM)
        courier.signal(signal.SIGTERM)
        is_second_due = self._day.has_signal_series
        while time.monotonic() < begin + KILL_AFTER_SECONDS and not courier.crashed():
            await asyncio.sleep(0.01)
            if is_second_due and time.monotonic() > begin + SECOND_TERM_SECONDS:
                is_second_due = False
                courier.signal(signal.SIGTERM)
        if not courier.crashed():
            self._audit.late_stops.append(number)
        self._clients[number].record_signal(signal.SIGKILL)
        courier.kill()
        await self._restart(number, begin)

    async def _upgrade(self, upgrade: Upgrade) -> None:
        """Start a process that takes over; no message may end late, and no request stay unanswered."""
        number = upgrade.courier
        if number in self._restarting:
            return
        self._restarting.add(number)
        courier, other = self._couriers[number], self._folder / OTHER_PROGRAM
        if upgrade.is_other_program:
            courier.program = other if courier.program != other else ROOT
        previous = courier.start_successor()
        limit = time.monotonic() + UPGRADE_SECONDS
        while previous.poll() is None and time.monotonic() < limit:
            await asyncio.sleep(0.01)
        if previous.poll() != 0:
            self._audit.crashes.append(f"n{number} in an upgrade: exit code {previous.poll()}")
            previous.kill()
        await self._wait_until_ready(number)
        self._restarting.discard(number)

    async def _restart(self, number: int, begin: float) -> None:
        await asyncio.sleep(RESTART_SECONDS)
        self._couriers[number].start()
        await self._wait_until_ready(number)
        self._audit.downtimes.append((number, begin, time.monotonic()))
        self._restarting.discard(number)

    async def _hold_idle_connections(self, number: int) -> None:
        """Repeatedly open idle connections to a courier, and close them."""
        while True:
            writers = []
            for _ in range(self._day.idle_clients):
                with suppress(OSError):
                    writers.append((await asyncio.open_connection(HOST, self._couriers[number].port))[1])
            await asyncio.sleep(IDLE_CLIENT_SECONDS)
            for writer in writers:
                writer.close()

    async def _wait_for_final_results(self) -> None:
        """Wait until each message has its final result, or its latest allowed time has passed."""
        while True:
            now = time.monotonic()
            unfinished = [each for each in self._audit.accepted.values() if each.ended_at is None]
            if all(each.due_at + LATE_SECONDS + RECOVERY_SECONDS < now for each in unfinished):
                break
            await asyncio.sleep(0.2)
        for number, courier in enumerate(self._couriers):
            if courier.crashed():
                self._audit.crashes.append(f"n{number}: {courier.last_log_line()}")


def run_day(day: SoakDay, folder: Path) -> SoakAudit:
    """Run a day, and return the observations."""
    audit = asyncio.run(SoakRun(day, folder).run())
    assert audit.accepted, "no message was accepted"
    return audit


def main(first: int, last: int, *options: str) -> int:
    """Run the days of some seeds one after another; return the number of days that broke a rule."""
    broken_days = 0
    for seed in range(first, last + 1):
        day = draw_day(seed, has_upgrades="upgrades" in options)
        with tempfile.TemporaryDirectory() as folder:
            audit = run_day(day, Path(folder))
        faults = audit.faults(time.monotonic())
        broken_days += bool(faults)
        fleet = day.fleet
        series = ", signals in series" if day.has_signal_series else ""
        series += f", {len(day.upgrades)} upgrades" if day.upgrades else ""
        setup = f"{fleet.couriers} couriers, {fleet.endpoints} endpoints, crowd {day.idle_clients}{series}"
        outage = f"{fleet.outage_seconds:.1f} s in which it {fleet.fault.value}"
        counts = f"{len(audit.accepted)} messages, {len(audit.timed_out)} replies not waited for"
        print(f"seed {seed}: {setup}, {outage}: {counts}: {faults or 'no rule broken'}", flush=True)
    return broken_days


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2]), *sys.argv[3:]))
