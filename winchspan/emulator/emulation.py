"""Plays a rehearsal's scenario with real daemons in virtual time, on the emulated network."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, cast

from winchspan.__main__ import Daemon, Operator
from winchspan.clock import Clock
from winchspan.config import load
from winchspan.deadlines import Deadlines
from winchspan.emulator.auditor import Auditor, Breach
from winchspan.emulator.loop import EmulatedLoop
from winchspan.emulator.machine import Life, Machine, MachineClock, MachineSystem
from winchspan.emulator.network import Network, Way
from winchspan.operator.sections import load as load_operator
from winchspan.standins.audit import Result
from winchspan.standins.platform import platform
from winchspan.standins.rehearsal import Process, Rehearsal
from winchspan.standins.scenario import Scenario

OUTSIDE = "outside"       # where clients stand
AGENT = "agent"           # of discovery: on each courier's own machine
SWEEP = 0.1               # s between two looks for ends that are overdue
STARTING = 150.0          # ms from a process's start to its first line of our code


def partner_place(number: int) -> str:
    """The place of a partner's endpoints."""
    return f"partner {number}"


def courier_place(me: int) -> str:
    """The place of a courier."""
    return f"n{me}"


@dataclass(frozen=True, slots=True)
class Trouble:
    """Something that goes wrong with the network or a machine; times in ms from the start of the run.

    `what`: `cut` one direction from `source` to `target` for `lasts`, `vanish` a courier's machine for so
    long, `full` its disk for so long, `reset` the connections of `source` (with `target`, where given),
    `step` the wall time of a courier's machine by `lasts`, `hup` or `term` a courier (it is back after
    `lasts`).
    """

    at: float
    what: str
    source: str
    target: str = ""
    lasts: float = 0.0


TROUBLES = ("cut", "vanish", "reset", "step", "hup", "term", "full")


@dataclass(frozen=True, slots=True)
class Surroundings:
    """All that is emulated round the couriers."""

    way: Way = field(default_factory=Way)
    ways: tuple[tuple[str, str, Way], ...] = ()
    torn: bool = False                        # reads and writes break at random boundaries
    troubles: tuple[Trouble, ...] = ()
    drifts: tuple[float, ...] = ()            # of each courier's clock, seconds in a second
    ahead: tuple[float, ...] = ()             # ms of each courier's wall time


@dataclass(frozen=True, slots=True)
class Emulated:
    """What came of an emulation."""

    result: Result
    trace: str                # hash of all that crossed
    events: int
    bytes: int
    seconds: float            # of virtual time
    breaches: list[Breach]
    counts: dict[str, int]    # breaches by rule


class EmulationError(Exception):
    """It cannot be played; the message says why."""


class EmulatedProcess(Process):
    """A courier as a daemon of its own on an emulated machine."""

    def __init__(self, folder: Path, me: int, operator: Path | None, machine: Machine,
                 auditor: Auditor) -> None:
        super().__init__(folder, me, operator)
        self.machine, self._auditor = machine, auditor
        self._task: asyncio.Task[None] | None = None
        self._starts: asyncio.TimerHandle | None = None
        self.buried: list[asyncio.Task[Any]] = []

    def configure(self, scenario: Scenario, discovery: int, known: dict[str, object]) -> None:
        """As a process's; raises EmulationError for what is not emulated."""
        super().configure(scenario, discovery, known)
        if self._told is not None and load_operator(self._operator)["control"]["on"]:
            raise EmulationError(f"{self._told}: control.on: has a socket of the real system")

    def free_port(self) -> int:
        """A port of the emulated network."""
        return self.machine.network.free_port()

    def start(self) -> None:
        """Begin a life, some time from now."""
        loop = self.machine.network.loop
        if self._starts is not None:
            self._starts.cancel()
        self._starts = loop.call_later(STARTING / 1_000.0, self._begin)

    def _begin(self) -> None:
        self._starts = None
        if self.machine.running or self.machine.dark:
            return                            # two troubles met; who comes last starts it
        environ = {"ROUTER_CONFIG": str(self._folder / "config.json")}
        operator: Operator = load_operator(self._operator) if self._told is not None else {}
        life = self.machine.begin()
        loop = cast(asyncio.AbstractEventLoop, life)      # as much of one as a daemon uses
        daemon = Daemon(load(environ), loop, operator, MachineSystem(life, environ))
        life.at_end(daemon.crash)
        self._auditor.began(self.machine.place)
        self._task = life.create_task(daemon.run())

    def crashed(self) -> bool:
        """Whether it has ended by itself; raises what ended it."""
        if self._task is None or not self._task.done():
            return False
        self._task.result()
        return True

    def port_taken(self) -> bool:
        """Ports of the emulated network are nobody else's."""
        return False

    def kill(self) -> None:
        """End it without warning."""
        if self._starts is not None:
            self._starts.cancel()
        self._leave()
        self.machine.kill()

    def _leave(self) -> None:
        self._auditor.died(self.machine.place)
        if self.machine.life is not None:
            self.buried += self.machine.life.bury()
        self._task = None

    def signal(self, number: int) -> None:
        """Send it a signal."""
        if self.machine.life is not None:
            self.machine.life.signal(number)

    def terminate(self, back: float) -> None:
        """End it in good order, and start it again some ms after it has ended."""
        task, life = self._task, self.machine.life
        if task is None or life is None:
            return
        self._task = None                     # its end is no crash
        self._auditor.died(self.machine.place)

        def over(_: object) -> None:
            life.end()
            self.buried += life.bury()
            self.machine.network.loop.call_later(back / 1_000.0, self.start)
        task.add_done_callback(over)
        self.signal(signal.SIGTERM)

    def vanish(self, lasts: float) -> None:
        """Its machine loses its power, and has it back after some ms; the folder has lasted."""
        self._leave()
        self.machine.vanish()

        def back() -> None:
            self.machine.back()
            self.start()
        self.machine.network.loop.call_later(lasts / 1_000.0, back)

    def stop(self) -> None:
        """The run is over."""
        self.kill()

    def resident(self) -> int:
        """All couriers of an emulation share one process."""
        return 0


class Emulation(Rehearsal):
    """One scenario with real daemons, in virtual time. The same seed gives the same run, to the byte."""

    def __init__(self, scenario: Scenario, seed: int, folder: Path, operator: Path | None = None,
                 show: Callable[[str], None] = lambda line: None,
                 surroundings: Surroundings | None = None) -> None:
        super().__init__(scenario, seed, folder, operator, show)
        self._round = surroundings or Surroundings()
        self._loop = EmulatedLoop()
        self.network = Network(self._loop, seed, self._round.way, self._round.torn)
        self._loop.outside = Life(Machine(self.network, OUTSIDE))
        for source, target, way in self._round.ways:
            self.network.set_way(source, target, way)
        self._processes: list[EmulatedProcess] = []
        places = [courier_place(me) for me in range(scenario.couriers)]
        self.auditor = Auditor(platform(scenario.couriers, **scenario.changes), places, lambda: self._loop.ns)
        self.network.tap = self.auditor
        self._loop.call_later(SWEEP, self._sweep)

    def _sweep(self) -> None:
        self.auditor.sweep()
        self._loop.call_later(SWEEP, self._sweep)

    def clock(self) -> Clock:
        """The true time."""
        return MachineClock(self._loop)

    def courier(self, folder: Path, me: int) -> Process:
        """One courier on a machine of its own."""
        drift = self._round.drifts[me] if me < len(self._round.drifts) else 0.0
        ahead = self._round.ahead[me] if me < len(self._round.ahead) else 0.0
        machine = Machine(self.network, courier_place(me), drift, ahead)
        self._processes.append(EmulatedProcess(folder, me, self._operator, machine, self.auditor))
        return self._processes[-1]

    def agent(self, port: int) -> None:
        """It stands at a place of its own, which is never cut off."""
        self.network.name(port, AGENT)

    def endpoint(self, partner: int, port: int) -> None:
        """An endpoint stands at its partner's place."""
        self.network.name(port, partner_place(partner))

    def begins(self, deadlines: Deadlines, began: float) -> None:
        """Plan the troubles; raises EmulationError for one that strikes nobody."""
        places = {p.machine.place for p in self._processes}
        for t in self._round.troubles:
            if t.what not in ("cut", "reset") and t.source not in places:
                raise EmulationError(f"{t.what} at {t.at / 1_000.0:g} s: there is no courier {t.source!r}")
        for trouble in self._round.troubles:
            deadlines.add(began + trouble.at, lambda t=trouble: self._strike(t))  # type: ignore[misc]

    def _strike(self, t: Trouble) -> None:
        """Let something go wrong."""
        net = self.network
        if t.what == "cut":
            net.cut(t.source, t.target)
            self._loop.call_later(t.lasts / 1_000.0, net.heal, t.source, t.target)
            return
        if t.what == "reset":
            net.reset(t.source, t.target or None)
            return
        (struck,) = (p for p in self._processes if p.machine.place == t.source)
        if t.what == "vanish":
            struck.vanish(t.lasts)
        elif t.what == "step":
            struck.machine.clock.step(t.lasts)
        elif t.what == "full":
            self._fill(struck.machine, True)
            self._loop.call_later(t.lasts / 1_000.0, self._fill, struck.machine, False)
        elif t.what == "hup":
            struck.signal(signal.SIGHUP)
        else:
            struck.terminate(t.lasts)

    @staticmethod
    def _fill(machine: Machine, full: bool) -> None:
        machine.disk.full = full

    def play(self) -> Emulated:
        """Play it to its end, on a loop of its own."""
        begin = self._loop.ns
        try:
            result = self._loop.run_until_complete(self.run())
            seconds = (self._loop.ns - begin) / 1e9
            trace = self.network.trace
            return Emulated(result, trace.hexdigest(), trace.events, trace.bytes, seconds,
                            self.auditor.breaches, self.auditor.counts)
        finally:
            left = [task for p in self._processes for task in p.buried if not task.done()]
            left += [task for task in asyncio.all_tasks(self._loop) if task not in left]
            for task in left:
                task.cancel()
            if left:
                self._loop.run_until_complete(asyncio.gather(*left, return_exceptions=True))
            self._loop.close()
