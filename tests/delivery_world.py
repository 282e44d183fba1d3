"""A delivery engine on a manual clock and a journal on disk, with fake transport and platform."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path

from winchspan import api
from winchspan.api import Outcome
from winchspan.delivery.engine import DeliveryEngine
from winchspan.delivery.messages import AttemptResult, OutgoingMessage, SubmittedMessage
from winchspan.delivery.ports import DeadLetterPort, EnginePorts, ReplicationPort
from winchspan.runtime.clock import ManualClock
from winchspan.runtime.timers import TimerQueue
from winchspan.storage.journal import Journal

from .helpers import CLASSES, settings

OK = AttemptResult(Outcome.DELIVERED, is_final=True)
KEYED = replace(CLASSES["keyed"], ordered=True)


@dataclass
class StartedCall:
    """A call that the engine has started."""

    endpoint: int
    messages: list[OutgoingMessage]
    deadline_ms: float
    start_by_ms: float | None
    on_results: Callable[[list[AttemptResult]], None]
    is_wanted: Callable[[str], bool]
    cancelled: bool = False
    drop_count: int = 0

    def cancel(self) -> None:
        self.cancelled = True

    def drop_unwanted_messages(self) -> None:
        self.drop_count += 1

    def accept_held_response(self) -> None:
        pass

    def end(self, *results: AttemptResult) -> None:
        self.on_results([*results] if len(results) == len(self.messages) else [*results] * len(self.messages))


class FakeTransport:
    """A transport and notifier that record calls and notifications."""

    def __init__(self, journal: Journal, messages_per_call: int) -> None:
        self.journal, self.messages_per_call = journal, messages_per_call
        self.calls: list[StartedCall] = []
        self.recalled: list[int] = []
        self.journaled_attempts: list[list[str]] = []  # attempts in the journal when each call started
        self.notifications: dict[str, tuple[str, int, Callable[[], None]]] = {}

    def start(
        self,
        endpoint: int,
        messages: list[OutgoingMessage],
        deadline_ms: float,
        start_by_ms: float | None,
        on_results: Callable[[list[AttemptResult]], None],
        is_wanted: Callable[[str], bool],
    ) -> StartedCall:
        self.journaled_attempts.append(
            [e.id for e in self.journal.open_messages if e.in_flight_since_ms is not None]
        )
        self.calls.append(StartedCall(endpoint, messages, deadline_ms, start_by_ms, on_results, is_wanted))
        return self.calls[-1]

    def recall(self, endpoint: int) -> None:
        self.recalled.append(endpoint)

    def close_idle(self, endpoint: int) -> None:
        pass

    def serves(self, destination: int) -> bool:
        return destination in (1, 2)

    def describe(self, endpoint: int) -> tuple[str, str, int]:
        return f"s-{endpoint}", "z", self.messages_per_call

    def notify(
        self,
        message_id: str,
        state: str,
        retry_after_ms: int,
        on_acknowledged: Callable[[], None],
        reason: str = "",
    ) -> None:
        assert message_id not in self.notifications
        self.notifications[message_id] = state, retry_after_ms, on_acknowledged


class World:
    """A delivery engine that can be killed and restarted on the same data directory."""

    def __init__(
        self,
        directory: Path,
        kind: str = "",
        disk_limit_bytes: int = 1_000_000,
        create_dead_letters: Callable[[World], DeadLetterPort] | None = None,
        replication: ReplicationPort | None = None,
        **changes: object,
    ) -> None:
        self.directory, self.kind, self.disk_limit_bytes, self.create_dead_letters = (
            directory,
            kind,
            disk_limit_bytes,
            create_dead_letters,
        )
        self.replication = replication
        classes = CLASSES | {"keyed": KEYED}
        values = settings(**{"classes": classes} | changes)
        self.settings = replace(values, notifications_are_acknowledged=True, can_recall=True)
        self.clock, self.start_duration_ms = ManualClock(), 0.0
        self.start()

    def start(self) -> None:
        self.callbacks: list[Callable[[], None]] = []
        self.timers = TimerQueue(self.clock)
        self.journal = Journal(self.directory, self.disk_limit_bytes)
        self.transport = FakeTransport(self.journal, 5 if self.kind == "batch" else 1)
        ports = EnginePorts(
            clock=self.clock,
            timers=self.timers,
            journal=self.journal,
            transport=self.transport,
            notifier=self.transport,
            call_soon=self.callbacks.append,
            dead_letters=self.create_dead_letters(self) if self.create_dead_letters else None,
            replication=self.replication,
        )
        self.engine = DeliveryEngine(self.settings, 1, ports)
        rows = tuple(api.EndpointEntry(e, e // 10, kind=self.kind) for e in (11, 21))
        self.engine.update_endpoints(api.EndpointsUpdated(api.UpdateScope.STALE, rows))
        self.engine.recover()
        self.clock.advance(self.start_duration_ms)
        self.run()

    def kill(self) -> None:
        """Kill the engine and restart it 600 ms later with only its data directory."""
        self.journal.close()
        self.clock.advance(600)
        self.start()

    def run(self, ms: int = 5) -> None:
        """Advance the clock in steps of 1 ms, by one scheduling step at least."""
        for step in range(max(ms, 5) + 1):
            self.clock.advance(1 if step else 0)
            self.timers.run_due()
            while self.callbacks:
                self.callbacks.pop(0)()

    def submit(self, name: str, cls: str = "safe", key: int | None = None, left: float = 20_000.0) -> int:
        handle = self.engine.accept(SubmittedMessage(name, cls, key, 1, left, "f00d", name.encode()))
        self.run()
        return handle

    def sent_ids(self) -> list[list[str]]:
        return [[p.id for p in call.messages] for call in self.transport.calls]

    def open_ids(self) -> list[str]:
        return [e.id for e in self.journal.open_messages]
