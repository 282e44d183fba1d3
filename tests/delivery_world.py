"""A delivery engine on a manual clock and a journal on disk, with fake transport and platform."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path

from winchspan import api
from winchspan.api import Outcome
from winchspan.delivery.engine import DeliveryEngine
from winchspan.delivery.messages import AttemptResult, OutgoingMessage, SubmittedMessage
from winchspan.delivery.ports import DeadLetterPort, EnginePorts
from winchspan.runtime.clock import ManualClock
from winchspan.runtime.timers import TimerQueue
from winchspan.storage.journal import Journal

from .helpers import CLASSES, settings

OK = AttemptResult(Outcome.DELIVERED, is_final=True)
KEYED = replace(CLASSES["keyed"], ordered=True)


@dataclass
class Sent:
    """A call that the engine has started."""

    endpoint: int
    parcels: list[OutgoingMessage]
    until: float
    begin_by: float | None
    done: Callable[[list[AttemptResult]], None]
    wanted: Callable[[str], bool]
    cancelled: bool = False
    lessened: int = 0

    def cancel(self) -> None:
        self.cancelled = True

    def lessen(self) -> None:
        self.lessened += 1

    def end(self, *verdicts: AttemptResult) -> None:
        self.done([*verdicts] if len(verdicts) == len(self.parcels) else [*verdicts] * len(self.parcels))


class Outside:
    """The transport and the platform."""

    def __init__(self, journal: Journal, per_call: int) -> None:
        self.journal, self.per_call = journal, per_call
        self.sent: list[Sent] = []
        self.recalled: list[int] = []
        self.recorded: list[list[str]] = []  # attempts in the journal when each call started
        self.notices: dict[str, tuple[str, int, Callable[[], None]]] = {}

    def start(
        self,
        endpoint: int,
        parcels: list[OutgoingMessage],
        until: float,
        begin_by: float | None,
        done: Callable[[list[AttemptResult]], None],
        wanted: Callable[[str], bool],
    ) -> Sent:
        self.recorded.append([e.id for e in self.journal.open_messages if e.in_flight_since_ms is not None])
        self.sent.append(Sent(endpoint, parcels, until, begin_by, done, wanted))
        return self.sent[-1]

    def recall(self, endpoint: int) -> None:
        self.recalled.append(endpoint)

    def close_idle(self, endpoint: int) -> None:
        pass

    def serves(self, dest: int) -> bool:
        return dest in (1, 2)

    def describe(self, endpoint: int) -> tuple[str, str, int]:
        return f"s-{endpoint}", "z", self.per_call

    def announce(
        self, message: str, state: str, after_ms: int, heard: Callable[[], None], reason: str = ""
    ) -> None:
        assert message not in self.notices
        self.notices[message] = state, after_ms, heard


class World:
    """One incarnation of an engine after the other, on one data directory."""

    def __init__(
        self,
        folder: Path,
        kind: str = "",
        disk: int = 1_000_000,
        keeps: Callable[[World], DeadLetterPort] | None = None,
        **changes: object,
    ) -> None:
        self.folder, self.kind, self.disk, self.keeps = folder, kind, disk, keeps
        classes = CLASSES | {"keyed": KEYED}
        values = settings(**{"classes": classes} | changes)
        self.settings = replace(values, notifications_are_acknowledged=True, can_recall=True)
        self.clock, self.slow_start = ManualClock(), 0.0
        self.start()

    def start(self) -> None:
        self.turns: list[Callable[[], None]] = []
        self.deadlines = TimerQueue(self.clock)
        self.journal = Journal(self.folder, self.disk)
        self.out = Outside(self.journal, 5 if self.kind == "batch" else 1)
        ports = EnginePorts(
            clock=self.clock,
            timers=self.deadlines,
            journal=self.journal,
            transport=self.out,
            notifier=self.out,
            call_soon=self.turns.append,
            dead_letters=self.keeps(self) if self.keeps else None,
        )
        self.courier = DeliveryEngine(self.settings, 1, ports)
        rows = tuple(api.EndpointEntry(e, e // 10, kind=self.kind) for e in (11, 21))
        self.courier.update_endpoints(api.EndpointsUpdated(api.UpdateScope.STALE, rows))
        self.courier.recover()
        self.clock.advance(self.slow_start)
        self.run()

    def kill(self) -> None:
        """Crash, and start 600 ms later: nothing remains but the data directory."""
        self.journal.close()
        self.clock.advance(600)
        self.start()

    def run(self, ms: int = 5) -> None:
        """Let time pass, a millisecond at a time: a step of the settings at least."""
        for step in range(max(ms, 5) + 1):
            self.clock.advance(1 if step else 0)
            self.deadlines.run_due()
            while self.turns:
                self.turns.pop(0)()

    def put(self, name: str, cls: str = "safe", key: int | None = None, left: float = 20_000.0) -> int:
        handle = self.courier.accept(SubmittedMessage(name, cls, key, 1, left, "f00d", name.encode()))
        self.run()
        return handle

    def ids(self) -> list[list[str]]:
        return [[p.id for p in sent.parcels] for sent in self.out.sent]

    def open(self) -> list[str]:
        return [e.id for e in self.journal.open_messages]
