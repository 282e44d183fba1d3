"""Ports of the delivery engine, with inert implementations of the optional ones."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from winchspan import api
from winchspan.delivery.messages import AttemptRecord, AttemptResult, OutgoingMessage, PendingCall
from winchspan.runtime.clock import Clock
from winchspan.runtime.metrics import Metrics
from winchspan.runtime.poll_monitor import PollMonitor
from winchspan.runtime.timers import TimerQueue
from winchspan.storage.journal import Journal
from winchspan.storage.journal_records import JournalEntry


class AttemptTransport(Protocol):
    """Carries attempts to endpoints."""

    def start(  # noqa: PLR0913 - implemented in `net`, which unpacks the arguments into its own call
        self,
        endpoint: int,
        messages: list[OutgoingMessage],
        deadline_ms: float,
        start_by_ms: float | None,
        on_results: Callable[[list[AttemptResult]], None],
        is_wanted: Callable[[str], bool],
    ) -> PendingCall:
        """Start a call.

        Args:
            endpoint: the endpoint's number.
            messages: the messages to send.
            deadline_ms: time at which the call times out, on the engine's clock.
            start_by_ms: latest time to write the call, on the engine's clock; None: no limit.
            on_results: called later, exactly once, with one result for each message.
            is_wanted: called with each message's identifier right before the first byte is written; returns
                whether the message is still to be sent.
        """

    def recall(self, endpoint: int) -> None:
        """Withdraw the calls to an endpoint that have not been written completely."""

    def close_idle(self, endpoint: int) -> None:
        """Close the idle connections to an endpoint."""

    def serves(self, destination: int) -> bool:
        """Return whether a destination is known."""

    def describe(self, endpoint: int) -> tuple[str, str, int]:
        """Return an endpoint's name, its zone, and the maximum number of messages in a call to it."""


class Notifier(Protocol):
    """Notifies the platform of the final states of messages that were not delivered."""

    def notify(
        self,
        message_id: str,
        state: str,
        retry_after_ms: int,
        on_acknowledged: Callable[[], None],
        reason: str = "",
    ) -> None:
        """Send a completion notification until it is acknowledged, then call `on_acknowledged`."""


class ReplicationPort(Protocol):
    """Replicates the journal to other couriers, and coordinates messages with them."""

    def admission_delay_ms(self) -> float:
        """Return the time in ms until messages may be accepted; 0 if they may be now."""

    def when_replicated(self, on_replicated: Callable[[], None], on_taken_over: Callable[[], None]) -> None:
        """Call back once all records written to the journal so far are replicated.

        Args:
            on_replicated: called once they are replicated, possibly at once.
            on_taken_over: called instead if another courier has taken over the journal by then.
        """

    def wait_for_predecessors(  # noqa: PLR0913 - implemented in `cluster`
        self,
        number: int,
        class_name: str,
        key: int | None,
        idempotency_key: str,
        origin: str | None,
        on_ready: Callable[[tuple[float, str] | None], None],
    ) -> None:
        """Wait until no other courier's message with the same ordering or idempotency key has to go first.

        Args:
            number: the message's number in the journal.
            class_name: its class.
            key: its ordering key, if any.
            idempotency_key: its idempotency key; empty if it is idempotent without a key.
            origin: the courier that accepted it; empty: this courier before a restart; None: it is new.
            on_ready: called once, possibly at once, with the age in ms and the zone of an attempt that may
                have run with the same idempotency key; with None if there is none.
        """

    def cancel_wait(self, number: int) -> None:
        """Cancel the wait of a completed message."""

    def report_delivered(self, message_id: str) -> None:
        """Report that a call in flight has delivered a message that another courier has taken over."""


class DeadLetterPort(Protocol):
    """Stores messages that were not delivered."""

    def should_archive(self, final_state: str) -> bool:
        """Return whether messages with a final state are stored."""

    def failure_history(
        self, entry: JournalEntry, attempts: list[AttemptRecord], destination_state: dict[str, Any]
    ) -> dict[str, Any] | None:
        """Return the failure history of a message as JSON, for the journal's record of its notification."""

    def archive(self, entry: JournalEntry, on_done: Callable[[], None]) -> None:
        """Store an acknowledged message; call `on_done` once it is durable or cannot be stored."""

    def settle_redelivery(
        self,
        entry: JournalEntry,
        *,
        is_delivered: bool,
        history: dict[str, Any] | None,
        on_done: Callable[[], None],
    ) -> None:
        """Record the end of a redelivery; call `on_done` once that is durable."""

    def reconcile(self, entries: list[JournalEntry]) -> set[int]:
        """Return the numbers of entries that are already stored or settled, after a restart."""


class NoReplication:
    """Replication without other couriers: calls back at once."""

    def admission_delay_ms(self) -> float:
        """Return 0: messages are always accepted."""
        return 0.0

    def when_replicated(self, on_replicated: Callable[[], None], on_taken_over: Callable[[], None]) -> None:
        """Call back at once."""
        on_replicated()

    def wait_for_predecessors(  # noqa: PLR0913 - the signature of `ReplicationPort.wait_for_predecessors`
        self,
        number: int,
        class_name: str,
        key: int | None,
        idempotency_key: str,
        origin: str | None,
        on_ready: Callable[[tuple[float, str] | None], None],
    ) -> None:
        """Call back at once."""
        on_ready(None)

    def cancel_wait(self, number: int) -> None:
        """Do nothing: no message waits."""

    def report_delivered(self, message_id: str) -> None:
        """Do nothing: no other courier takes over messages."""


class NoDeadLetters:
    """Dead-letter port that stores nothing."""

    def should_archive(self, final_state: str) -> bool:
        """Store nothing."""
        return False

    def failure_history(
        self, entry: JournalEntry, attempts: list[AttemptRecord], destination_state: dict[str, Any]
    ) -> dict[str, Any] | None:
        """Record no failure history."""
        return None

    def archive(self, entry: JournalEntry, on_done: Callable[[], None]) -> None:
        """Call back at once."""
        on_done()

    def settle_redelivery(
        self,
        entry: JournalEntry,
        *,
        is_delivered: bool,
        history: dict[str, Any] | None,
        on_done: Callable[[], None],
    ) -> None:
        """Call back at once."""
        on_done()

    def reconcile(self, entries: list[JournalEntry]) -> set[int]:
        """Report nothing as stored."""
        return set()


@dataclass(slots=True)
class EnginePorts:
    """The engine's ports; None leaves out an optional subsystem.

    Attributes:
        clock: the engine's clock.
        timers: schedules callbacks.
        journal: makes messages and attempts durable.
        transport: carries attempts to endpoints.
        notifier: notifies the platform of messages that were not delivered.
        call_soon: runs a callback in the event loop's next iteration.
        overload_control: limits retry storms.
        dead_letters: stores messages that were not delivered.
        metrics: counts final answers.
        poll_monitor: records when the sockets were last polled.
        replication: replicates the journal.
    """

    clock: Clock
    timers: TimerQueue
    journal: Journal
    transport: AttemptTransport
    notifier: Notifier
    call_soon: Callable[[Callable[[], None]], object]
    overload_control: api.OverloadControl | None = None
    dead_letters: DeadLetterPort | None = None
    metrics: Metrics | None = None
    poll_monitor: PollMonitor | None = None
    replication: ReplicationPort | None = None
