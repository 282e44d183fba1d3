"""Shared settings, message classes and a harness that drives a scheduler in tests."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from winchspan import Scheduler, api
from winchspan.api import Effect, MessageClass, Outcome, Settings

MS = 1_000_000
SECOND = 1_000 * MS

CLASSES = {
    "safe": MessageClass("safe", 1.0, 2 * SECOND, 20 * SECOND, 0.5, Effect.REPEATABLE),
    "keyed": MessageClass("keyed", 1.0, 2 * SECOND, 20 * SECOND, 0.5, Effect.KEYED, 8 * SECOND),
    "once": MessageClass("once", 4.0, 2 * SECOND, 20 * SECOND, 0.5, Effect.ONCE),
    "turn": MessageClass("turn", 1.0, 2 * SECOND, 20 * SECOND, 0.5, Effect.REPEATABLE, ordered=True),
}


def settings(**changes: Any) -> Settings:
    """Return valid settings with the given values changed."""
    values: dict[str, Any] = {
        "classes": CLASSES,
        "slots": 4,
        "max_held": 100,
        "max_attempts": 8,
        "can_cancel": True,
        "kinds": {"batch": api.DestinationKind(False, 5), "apart": api.DestinationKind(True, 1)},
        "step_ns": 5 * MS,
        "answer_grace_ns": 20 * MS,
        "drain_grace_ns": 500 * MS,
        "start_capacity": 0.25,
        "cold_ns": 10 * SECOND,
        "fall_multiple": 2.0,
        "tip_after_ns": 2 * SECOND,
        "key_rest_ns": 300 * MS,
        "keepalive_ns": 15 * SECOND,
        "max_retry_after_ns": 3 * SECOND,
    }
    return Settings(**(values | changes))


class SchedulerHarness:
    """Passes events to a scheduler at chosen times and records its commands.

    Attributes:
        scheduler: the scheduler under test.
        now: the current time, in ns.
        sent: the started attempts: message, endpoint and time in ns.
        attempt_counts: the number of started attempts, by message.
        final_results: "served", "refused" or "failed", by message.
        cancelled: the cancelled attempts: message and attempt number.
        commands: all commands of the scheduler, in their order.
        timers: the times at which set timers expire, in ns.
    """

    def __init__(
        self, *, endpoints: dict[int, Iterable[int]] | None = None, kind: str = "", **changes: Any
    ) -> None:
        self.scheduler = Scheduler(settings(**changes), 1)
        self.now = 1_000 * SECOND
        self.sent: list[tuple[str, int, int]] = []
        self.attempt_counts: dict[str, int] = {}
        self.final_results: dict[str, str] = {}
        self.cancelled: list[tuple[str, int]] = []
        self.commands: list[api.Command] = []
        self.timers: list[int] = []
        self.update_endpoints({1: [11]} if endpoints is None else endpoints, kind)

    def handle(self, *events: api.Event, after: int = 0) -> list[api.Command]:
        """Pass events to the scheduler after `after` ns; timers that expire before that come first."""
        until = self.now + after
        while self.timers and min(self.timers) <= until:
            self.now = min(self.timers)
            self.timers.remove(self.now)
            self._record_commands(self.scheduler.handle(self.now, [api.TimerFired(0)]))
        self.now = until
        actions = self.scheduler.handle(self.now, events)
        self._record_commands(actions)
        return actions

    def _record_commands(self, actions: list[api.Command]) -> None:
        self.commands.extend(actions)
        for action in actions:
            match action:
                case api.StartAttempt(message, endpoint, _):
                    self.sent.append((message, endpoint, self.now))
                    self.attempt_counts[message] = self.attempt_counts.get(message, 0) + 1
                case api.RejectMessage(message) | api.FailMessage(message):
                    assert message not in self.final_results, "a message has at most one final result"
                    self.final_results[message] = (
                        "refused" if isinstance(action, api.RejectMessage) else "failed"
                    )
                case api.CancelAttempt(message, attempt):
                    self.cancelled.append((message, attempt))
                case api.SetTimer(after, _):
                    self.timers.append(self.now + after)

    def update_endpoints(
        self, endpoints: dict[int, Iterable[int]], kind: str = "", rating: float = 1.0
    ) -> None:
        """Pass a full list of endpoints by destination to the scheduler."""
        rows = tuple(
            api.EndpointEntry(e, d, kind=kind, rating=rating) for d, es in endpoints.items() for e in es
        )
        self.handle(api.EndpointsUpdated(api.UpdateScope.SNAPSHOT, rows))

    def submit(
        self,
        message: str,
        dest: int = 1,
        cls: str = "safe",
        *,
        after: int = 0,
        key: int | None = None,
        remaining_ns: int | None = None,
    ) -> list[api.Command]:
        """Submit one message."""
        remaining_ns = CLASSES[cls].deadline_ns if remaining_ns is None else remaining_ns
        return self.handle(api.MessageArrived(message, cls, dest, remaining_ns, key=key), after=after)

    def complete_attempt(
        self,
        message: str,
        outcome: Outcome,
        *,
        after: int = 0,
        wait: int = 0,
        endpoint: int = 11,
        attempt: int | None = None,
    ) -> list[api.Command]:
        """Report the outcome of an attempt, by default the latest of the message."""
        number = self.attempt_counts[message] - 1 if attempt is None else attempt
        is_final = outcome is Outcome.DELIVERED
        if is_final:
            self.final_results.setdefault(message, "served")
        return self.handle(
            api.AttemptCompleted(message, number, endpoint, outcome, is_final=is_final, wait_ns=wait),
            after=after,
        )

    def attempt_count(self, message: str) -> int:
        """Return the number of started attempts of a message."""
        return self.attempt_counts.get(message, 0)
