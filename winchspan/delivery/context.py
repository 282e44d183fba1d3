"""Shared state of a delivery engine's components: ports, and objects that a reload or upgrade replaces."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import Enum

from winchspan import api
from winchspan.config.transitions import with_attempt_limits
from winchspan.delivery.messages import AcceptedMessage, AttemptRecord
from winchspan.delivery.ports import (
    AttemptTransport,
    DeadLetterPort,
    EnginePorts,
    NoDeadLetters,
    NoReplication,
    Notifier,
    ReplicationPort,
)
from winchspan.runtime.clock import Clock
from winchspan.runtime.metrics import Metrics
from winchspan.runtime.poll_monitor import PollMonitor
from winchspan.runtime.timers import TimerQueue
from winchspan.scheduling.scheduler import Scheduler
from winchspan.storage.accepted_class import accepted_class
from winchspan.storage.journal import Journal
from winchspan.storage.journal_records import JournalEntry


class AttemptHold(Enum):
    """Why no attempt is started for now."""

    DISCOVERY = "discovery"  # a process that starts has not heard discovery yet
    HAND_OVER = "hand-over"  # the process drains, so that another one can take over


@dataclass(slots=True)
class EngineContext:
    """Ports and replaceable state of one engine.

    Components may keep references to ports. The attributes from `overload_control` on are replaced while the
    engine runs: a component reads them from the context each time.

    Attributes:
        clock: the engine's clock.
        timers: schedules callbacks.
        journal: makes messages and attempts durable.
        transport: carries attempts to endpoints.
        notifier: notifies the platform of messages that were not delivered.
        call_soon: runs a callback in the event loop's next iteration.
        metrics: counts final answers.
        poll_monitor: records when the sockets were last polled.
        replication: replicates the journal; inert where `is_replicated` is False.
        is_replicated: whether other couriers hold replicas of the journal.
        dead_letters: stores messages that were not delivered; inert where `stores_dead_letters` is False.
        stores_dead_letters: whether failure histories are recorded.
        overload_control: limits retry storms.
        settings: the settings in force.
        classes: the message classes in force, and earlier ones that open messages were accepted under.
        scheduler: decides on attempts and final answers.
        is_frozen: no further attempt is started.
        attempt_holds: why no attempt is started for now; final answers and other decisions go on. Empty:
            attempts are started.
        is_suspended: no decision is made for now; events are queued.
    """

    clock: Clock
    timers: TimerQueue
    journal: Journal
    transport: AttemptTransport
    notifier: Notifier
    call_soon: Callable[[Callable[[], None]], object]
    metrics: Metrics
    poll_monitor: PollMonitor
    replication: ReplicationPort
    is_replicated: bool
    dead_letters: DeadLetterPort
    stores_dead_letters: bool
    overload_control: api.OverloadControl
    settings: api.Settings
    classes: dict[str, api.MessageClass]
    scheduler: Scheduler
    is_frozen: bool = False
    attempt_holds: set[AttemptHold] = field(default_factory=set)
    is_suspended: bool = False

    @classmethod
    def create(cls, settings: api.Settings, seed: int, ports: EnginePorts) -> EngineContext:
        """Create the context of a new engine, with inert ports for the subsystems that are left out.

        Args:
            settings: the settings in force at the start.
            seed: seed of the scheduler's random choices.
            ports: the engine's ports.
        """
        settings = with_attempt_limits(settings)
        classes = dict(settings.classes)
        overload_control = ports.overload_control or api.OverloadControl()
        return cls(
            clock=ports.clock,
            timers=ports.timers,
            journal=ports.journal,
            transport=ports.transport,
            notifier=ports.notifier,
            call_soon=ports.call_soon,
            metrics=ports.metrics or Metrics(),
            poll_monitor=ports.poll_monitor or PollMonitor(),
            replication=NoReplication() if ports.replication is None else ports.replication,
            is_replicated=ports.replication is not None,
            dead_letters=NoDeadLetters() if ports.dead_letters is None else ports.dead_letters,
            stores_dead_letters=ports.dead_letters is not None,
            overload_control=overload_control,
            settings=settings,
            classes=classes,
            scheduler=Scheduler(replace(settings, classes=classes), seed, overload_control),
        )

    @property
    def may_start_attempts(self) -> bool:
        """Whether attempts may start now."""
        return not (self.is_frozen or self.is_suspended or self.attempt_holds)

    def accepted_class_of(self, message: AcceptedMessage) -> api.MessageClass | None:
        """Return the class that a message was accepted under; None if it is not known any more."""
        entry = self.journal.get(message.journal_number)
        accepted = None if entry is None else accepted_class(self.journal.class_tables, entry)
        return accepted or self.classes.get(message.class_name)

    def class_name_of(self, entry: JournalEntry) -> str:
        """Return the scheduler's name for the class that a journal entry was accepted under."""
        message_class = accepted_class(self.journal.class_tables, entry)
        if message_class is None or message_class == self.classes.get(entry.class_name):
            return entry.class_name
        # No class of the platform has a line feed in its name.
        name = f"{entry.class_name}\n{entry.class_table}"
        self.classes[name] = message_class
        return name

    def is_at_most_once(self, message: AcceptedMessage) -> bool:
        """Return whether a message must run at most once; True where its class is not known."""
        message_class = self.accepted_class_of(message)
        return message_class is None or message_class.effect is api.Effect.ONCE

    def is_idempotent(self, message: AcceptedMessage) -> bool:
        """Return whether a message may run any number of times; False where its class is not known."""
        message_class = self.accepted_class_of(message)
        return message_class is not None and message_class.effect is api.Effect.REPEATABLE

    def new_attempt_history(self) -> list[AttemptRecord] | None:
        """Return an empty failure history, or None where none is recorded."""
        return [] if self.stores_dead_letters else None
