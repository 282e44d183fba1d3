"""A small world for tests: settings, events, and a driver that plays the outside."""

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
    """Usable settings, changed at will."""
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


class World:
    """Drives one sender and keeps what it did."""

    def __init__(
        self, *, endpoints: dict[int, Iterable[int]] | None = None, kind: str = "", **changes: Any
    ) -> None:
        self.sender = Scheduler(settings(**changes), 1)
        self.now = 1_000 * SECOND
        self.sent: list[tuple[str, int, int]] = []
        self.attempts: dict[str, int] = {}
        self.final: dict[str, str] = {}
        self.cancelled: list[tuple[str, int]] = []
        self.log: list[api.Command] = []
        self.timers: list[int] = []
        self.list({1: [11]} if endpoints is None else endpoints, kind)

    def do(self, *events: api.Event, after: int = 0) -> list[api.Command]:
        """Hand events over after some time, timers that come due meanwhile first."""
        until = self.now + after
        while self.timers and min(self.timers) <= until:
            self.now = min(self.timers)
            self.timers.remove(self.now)
            self._take(self.sender.handle(self.now, [api.TimerFired(0)]))
        self.now = until
        actions = self.sender.handle(self.now, events)
        self._take(actions)
        return actions

    def _take(self, actions: list[api.Command]) -> None:
        self.log.extend(actions)
        for action in actions:
            match action:
                case api.StartAttempt(message, endpoint, _):
                    self.sent.append((message, endpoint, self.now))
                    self.attempts[message] = self.attempts.get(message, 0) + 1
                case api.RejectMessage(message) | api.FailMessage(message):
                    assert message not in self.final, "one final answer only"
                    self.final[message] = "refused" if isinstance(action, api.RejectMessage) else "failed"
                case api.CancelAttempt(message, attempt):
                    self.cancelled.append((message, attempt))
                case api.SetTimer(after, _):
                    self.timers.append(self.now + after)

    def list(self, endpoints: dict[int, Iterable[int]], kind: str = "", rating: float = 1.0) -> None:
        """Give the whole list."""
        rows = tuple(
            api.EndpointEntry(e, d, kind=kind, rating=rating) for d, es in endpoints.items() for e in es
        )
        self.do(api.EndpointsUpdated(api.UpdateScope.SNAPSHOT, rows))

    def put(
        self,
        message: str,
        dest: int = 1,
        cls: str = "safe",
        *,
        after: int = 0,
        key: int | None = None,
        left: int | None = None,
    ) -> list[api.Command]:
        """Hand in one message."""
        left = CLASSES[cls].deadline_ns if left is None else left
        return self.do(api.MessageArrived(message, cls, dest, left, key=key), after=after)

    def end(
        self,
        message: str,
        outcome: Outcome,
        *,
        after: int = 0,
        wait: int = 0,
        endpoint: int = 11,
        attempt: int | None = None,
    ) -> list[api.Command]:
        """Bring the outcome of the latest attempt of a message."""
        number = self.attempts[message] - 1 if attempt is None else attempt
        final = outcome is Outcome.DELIVERED
        if final:
            self.final.setdefault(message, "served")
        return self.do(
            api.AttemptCompleted(message, number, endpoint, outcome, is_final=final, wait_ns=wait),
            after=after,
        )

    def sends(self, message: str) -> int:
        """How often a message went out."""
        return self.attempts.get(message, 0)
