"""Helpers for dead-letter tests: record builders, and couriers that archive and redeliver step by step."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from queue import Empty, SimpleQueue

from click.testing import CliRunner

from winchspan.api import Effect, MessageClass, Outcome
from winchspan.cli.__main__ import main as cli
from winchspan.dead_letters.archiver import ArchiverSettings, DeadLetterArchiver
from winchspan.dead_letters.audit_log import AuditedAction
from winchspan.dead_letters.filters import DeadLetterFilter
from winchspan.dead_letters.policy import RedeliveryPolicy, RedeliveryRule
from winchspan.dead_letters.records import (
    AttemptHistory,
    DeadLetter,
    DeadLetterState,
    DestinationSnapshot,
    ExecutionEvidence,
    FailureHistory,
)
from winchspan.dead_letters.redelivery import RedeliveryPorts, RedeliveryWorker
from winchspan.dead_letters.store import STORE_FILE_NAME, DeadLetterStore
from winchspan.dead_letters.store_eviction import StoreBounds
from winchspan.delivery.messages import AttemptResult, SubmittedMessage
from winchspan.runtime.clock import ManualClock
from winchspan.runtime.timers import TimerQueue

from .delivery_world import OK, World

TIMEOUT_SECONDS = 30.0
NOW_MS = 1_700_000_000_000.0
KEY = 0xFFFF_FFFF_FFFF_FFFF_FFFF
BOUNDS = StoreBounds(4_000_000, 1_000, 30.0)
CLASSES = {
    "pay": MessageClass("pay", 2.0, 4 * 10**9, 24 * 10**9, 0.4, Effect.KEYED, 10 * 10**9, ordered=True),
    "zoned": MessageClass("zoned", 2.0, 4 * 10**9, 24 * 10**9, 0.4, Effect.KEYED, 10 * 10**9, True),
    "once": MessageClass("once", 2.0, 4 * 10**9, 24 * 10**9),
    "note": MessageClass("note", 1.0, 10**9, 5 * 10**9, 0.1, Effect.REPEATABLE),
}
UNLIMITED_RULE = RedeliveryRule(
    "at once",
    evidence=(ExecutionEvidence.NEVER_RAN, ExecutionEvidence.MAY_HAVE_RUN),
    rate=1_000.0,
    max_age_ms=1e12,
    backoff_ms=0.0,
    max_redeliveries=9,
)


def make_dead_letter(
    number: int = 1,
    class_name: str = "note",
    evidence: ExecutionEvidence = ExecutionEvidence.NEVER_RAN,
    first_run_unix_ms: float | None = None,
    ended_unix_ms: float = NOW_MS,
    **changes: object,
) -> DeadLetter:
    """Return a dead letter with all fields set; `changes` override further fields."""
    attempts = (AttemptHistory("s-1", ended_unix_ms - 500.0, "full", 20.0, 700.0),)
    destination = DestinationSnapshot(6, 2, 9, 1, 2)
    dead_letter = DeadLetter(
        f"m{number}",
        ended_unix_ms + number,
        class_name,
        7,
        KEY,
        f"t{number}",
        b"body\x00",
        "failed",
        FailureHistory("out of time", ended_unix_ms, attempts, 1, destination),
        evidence,
        "as reported",
        first_run_unix_ms,
        DeadLetterState.PENDING,
    )
    return replace(dead_letter, **changes)  # type: ignore[arg-type]


def has_effect(class_name: str) -> bool:
    """Whether a second delivery of a class has an effect."""
    return class_name != "note"


def make_audited_store(directory: Path, action_count: int) -> Path:
    """Create a store whose audit log is bounded to ten entries, and log `action_count` actions."""
    path = directory / STORE_FILE_NAME
    store = DeadLetterStore(path, StoreBounds(audit_entry_count=10))
    store.add([make_dead_letter(1)], 0.0)
    for number in range(action_count):
        action = AuditedAction(float(number), "operator-1", "resend", f"act {number}")
        store.update(1, DeadLetterState.PENDING, action=action)
    store.close()
    return path


def run_command(directory: Path, *words: str, code: int = 0) -> str:
    """Run a command on the store in a directory, and return its output."""
    result = CliRunner().invoke(cli, ["undelivered", "--store", str(directory), *words])
    assert result.exit_code == code, result.output
    return result.output


class ManualLoop:
    """Collects the calls that the store's thread schedules; a test runs them explicitly."""

    def __init__(self) -> None:
        self.calls: SimpleQueue[Callable[[], None]] = SimpleQueue()

    def run_calls(self, count: int) -> None:
        """Wait for `count` calls, and run each."""
        for _ in range(count):
            self.calls.get(timeout=TIMEOUT_SECONDS)()

    def discard_calls(self) -> None:
        """Discard the scheduled calls."""
        try:
            while True:
                self.calls.get_nowait()
        except Empty:
            return


class StalledArchiver(DeadLetterArchiver):
    """An archiver whose thread runs no job, for a crash before the store commits."""

    def _run_thread(self) -> None:
        return


class ArchivingCourier:
    """A courier that archives undelivered messages, across restarts."""

    def __init__(
        self, directory: Path, archiver_type: type[DeadLetterArchiver] = DeadLetterArchiver, **changes: object
    ) -> None:
        self.loop = ManualLoop()
        self.archiver_type = archiver_type
        self.archivers: list[DeadLetterArchiver] = []
        self.path = directory / STORE_FILE_NAME
        self.settings = ArchiverSettings(self.path, BOUNDS)
        self.world = World(directory, create_dead_letters=self._create_archiver, **changes)  # type: ignore[arg-type]

    def _create_archiver(self, world: World) -> DeadLetterArchiver:
        call_soon = self.loop.calls.put
        self.archivers.append(self.archiver_type(self.settings, world.settings, world.clock, call_soon))
        return self.archivers[-1]

    def fail_message(self, name: str = "a", class_name: str = "safe") -> None:
        """Submit a message whose attempt fails, and let its deadline pass."""
        self.world.submit(name, class_name, left=3_000.0)
        self.world.transport.calls[-1].end(AttemptResult(Outcome.ERROR))
        self.world.run(3_100)

    def acknowledge_notification(self, name: str = "a") -> None:
        """Acknowledge the notification of a message."""
        self.world.transport.notifications[name][2]()

    def stored(self) -> list[DeadLetter]:
        """Return the stored messages, oldest first."""
        if not self.path.exists():
            return []
        store = DeadLetterStore(self.path, BOUNDS, read_only=True)
        try:
            return store.find(DeadLetterFilter(), oldest_first=True)
        finally:
            store.close()

    def restart(self, archiver_type: type[DeadLetterArchiver] = DeadLetterArchiver) -> None:
        """Kill the process and start it again; the calls that its thread scheduled are lost."""
        self.archivers[-1].close()
        self.loop.discard_calls()
        self.archiver_type = archiver_type
        self.world.kill()


class RedeliveringCourier(ArchivingCourier):
    """An archiving courier that redelivers in explicit rounds."""

    def redelivery_worker(self) -> RedeliveryWorker:
        """Return a worker that starts a round only when a test calls it."""
        world = self.world
        idle_timers = TimerQueue(ManualClock())
        return RedeliveryWorker(
            RedeliveryPorts(world.clock, idle_timers, self.archivers[-1], world.engine),
            RedeliveryPolicy([UNLIMITED_RULE], world.settings.classes),
        )

    def archive_message(self, name: str = "a", class_name: str = "safe") -> None:
        """Let a message fail, and archive it."""
        self.fail_message(name, class_name)
        self.acknowledge_notification(name)
        self.loop.run_calls(2)
        sent = self.world.transport.calls[-1]
        sent.end(AttemptResult(Outcome.CANCELLED if sent.cancelled else Outcome.TIMEOUT))
        self._recover_partner(name)

    def _recover_partner(self, name: str) -> None:
        """Let the partner recover: deliver some live messages, until its slow start has ended."""
        for number in range(3):
            call_count = len(self.world.transport.calls)
            self.world.engine.accept(
                SubmittedMessage(f"{name}-{number}", "safe", None, 1, 20_000.0, "f00d", b"")
            )
            for _ in range(200):
                self.world.run(100)
                if len(self.world.transport.calls) > call_count:
                    break
            self.world.transport.calls[-1].end(OK)
            self.world.run()
        self.world.run(11_000)

    def run_redelivery_round(self) -> None:
        """Run one round, which marks the due messages and passes them to the engine."""
        self.redelivery_worker().start()
        self.loop.run_calls(2)
        self.world.run()

    def deliver_latest(self) -> None:
        """Let the latest attempt succeed, and settle the redelivery."""
        self.world.transport.calls[-1].end(OK)
        self.world.run()
        self.loop.run_calls(2)

    def states(self) -> list[DeadLetterState]:
        """Return the states of the stored messages, oldest first."""
        return [dead_letter.state for dead_letter in self.stored()]
