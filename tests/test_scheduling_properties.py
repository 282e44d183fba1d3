"""Random valid event sequences, for which the scheduler's commands are checked against the rules."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from winchspan import Scheduler, api
from winchspan.api import Effect, MessageClass, Outcome

from .helpers import CLASSES, MS, SECOND
from .helpers import settings as usable

MAX_HELD = 24
RAN = (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)
OUTCOMES = (Outcome.DELIVERED, Outcome.DELIVERED, *RAN, Outcome.FULL, Outcome.CONNECT_FAILED)
STEP = st.tuples(
    st.sampled_from(["put", "end", "end", "drain", "gone", "wait", "pass", "drop"]),
    st.integers(0, 10**6),
    st.sampled_from([0, 5, 40, 300, 2_500]),
)


class LegalWorld:
    """Simulates the environment of a scheduler and asserts the rules at each command.

    A second scheduler with the same seed gets the same events, and must return the same commands.
    """

    def __init__(self, slots: int, kind: str) -> None:
        self.schedulers = [Scheduler(usable(slots=slots, max_held=MAX_HELD), 3) for _ in range(2)]
        self.slots = slots
        self.kind = kind
        self.entries = tuple(api.EndpointEntry(e, e // 10, kind=kind) for e in (11, 12, 21, 31, 32))
        self.now = SECOND
        self.timers: list[int] = []
        self.in_flight: dict[tuple[str, int], tuple[int, int]] = {}  # endpoint and sending time
        self.deadlines: dict[str, int] = {}
        self.classes: dict[str, MessageClass] = {}
        self.ran_at: dict[str, int] = {}
        self.finished: set[str] = set()
        self.attempts: dict[str, int] = {}
        self.barred: set[int] = set()
        self.waits: dict[int, int] = {}
        self.keys: dict[str, int] = {}
        self.key_order: dict[int, list[str]] = {}
        self.key_rests: dict[int, int] = {}
        self.feed(api.EndpointsUpdated(api.UpdateScope.SNAPSHOT, self.entries))

    def is_in_flight(self, message: str) -> bool:
        return any(name == message for name, _ in self.in_flight)

    def held_count(self) -> int:
        return len(self.deadlines) - len(self.finished & set(self.deadlines))

    def feed(self, *events: api.Event) -> None:
        """Pass events to the schedulers, and check their commands."""
        commands, same = (scheduler.handle(self.now, events) for scheduler in self.schedulers)
        assert commands == same
        for command in commands:
            match command:
                case api.StartAttempt(message, endpoint, _):
                    self._start(message, endpoint)
                case api.RejectMessage(message) | api.FailMessage(message):
                    self._finish(message, is_rejected=isinstance(command, api.RejectMessage))
                case api.SetTimer(after, _):
                    assert after > 0
                    self.timers.append(self.now + after)
        calls = set(self.in_flight.values() if self.kind == "batch" else self.in_flight)
        assert len(calls) <= self.slots
        assert self.held_count() <= MAX_HELD

    def _start(self, message: str, endpoint: int) -> None:
        assert message in self.deadlines and message not in self.finished
        assert endpoint not in self.barred and self.now >= self.waits.get(endpoint, 0)
        assert not self.is_in_flight(message), "one attempt at a time"
        cls = self.classes[message]
        if message in self.ran_at and cls.effect is Effect.KEYED:
            assert self.now <= self.ran_at[message] + cls.dedup_ns
        assert not (message in self.ran_at and cls.effect is Effect.ONCE)
        if message in self.keys:
            self._check_key(message, self.keys[message])
        number = self.attempts.get(message, 0)
        self.in_flight[message, number] = (endpoint, self.now)
        self.attempts[message] = number + 1

    def _check_key(self, message: str, key: int) -> None:
        for line in self.key_order.values():
            line[:] = [name for name in line if name not in self.finished or self.is_in_flight(name)]
        assert self.key_order[key][0] == message
        assert self.attempts.get(message, 0) > 0 or self.now >= self.key_rests.get(key, 0)

    def _finish(self, message: str, *, is_rejected: bool) -> None:
        assert message in self.deadlines and message not in self.finished
        if is_rejected and self.classes[message].effect is Effect.ONCE:
            assert message not in self.ran_at and not self.is_in_flight(message)
        self.finished.add(message)

    def advance(self, to: int) -> None:
        """Advance the time, and fire the timers that are due."""
        while self.timers and min(self.timers) <= to:
            self.now = max(self.now, min(self.timers))
            self.timers.remove(min(self.timers))
            self.feed(api.TimerFired(0))
        self.now = to
        for message, deadline in self.deadlines.items():
            assert message in self.finished or self.now <= deadline + 20 * MS, "answered in time"

    def put(self, message: str, pick: int) -> None:
        """Submit a message, if there is capacity."""
        if self.held_count() >= MAX_HELD:
            return
        cls = CLASSES[("safe", "keyed", "once", "turn")[pick % 4]]
        self.deadlines[message], self.classes[message] = self.now + cls.deadline_ns, cls
        if cls.ordered:
            self.keys[message] = pick % 3
            self.key_order.setdefault(pick % 3, []).append(message)
        key = self.keys.get(message)
        self.feed(api.MessageArrived(message, cls.name, 1 + pick % 3, cls.deadline_ns, key=key))

    def end_call(self, pick: int, outcome: Outcome, wait_ns: int = 0) -> None:
        """Complete one of the calls in flight, with all of its messages."""
        if not self.in_flight:
            return
        attempt = sorted(self.in_flight)[pick % len(self.in_flight)]
        call = self.in_flight[attempt]
        members = [each for each, sent in self.in_flight.items() if self.kind == "batch" and sent == call]
        self.feed(*[self._completed(each, outcome, wait_ns) for each in members or [attempt]])
        if wait_ns:
            for endpoint in self._told(call[0]):
                self.waits[endpoint] = max(self.waits.get(endpoint, 0), self.now + wait_ns)

    def _completed(self, attempt: tuple[str, int], outcome: Outcome, wait_ns: int) -> api.AttemptCompleted:
        message, number = attempt
        endpoint, sent_at = self.in_flight.pop(attempt)
        if outcome is Outcome.DELIVERED:
            self.finished.add(message)
        if outcome in RAN:
            self.ran_at.setdefault(message, sent_at)
        if message in self.keys and outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED):
            self.key_rests[self.keys[message]] = self.now + 300 * MS
        is_final = message in self.finished
        return api.AttemptCompleted(message, number, endpoint, outcome, is_final=is_final, wait_ns=wait_ns)

    def _told(self, endpoint: int) -> list[int]:
        """Return the endpoints to which a wait that one endpoint requests applies."""
        if self.kind == "apart":
            return [endpoint]
        return [entry.endpoint for entry in self.entries if entry.destination == endpoint // 10]

    def take_out_of_service(self, pick: int, status: api.EndpointStatus) -> None:
        """Drain an endpoint or remove it from the list, permanently."""
        entry = self.entries[pick % len(self.entries)]
        self.barred.add(entry.endpoint)
        changed = api.EndpointEntry(entry.endpoint, entry.destination, status, kind=self.kind)
        self.feed(api.EndpointsUpdated(api.UpdateScope.CHANGES, (changed,)))

    def withdraw(self, pick: int) -> None:
        """Let a client withdraw a message that is not completed."""
        message = sorted(self.deadlines)[pick % len(self.deadlines)] if self.deadlines else None
        if message is not None and message not in self.finished:
            self.finished.add(message)
            self.feed(api.MessageWithdrawn(message))

    def play(self, number: int, what: str, pick: int) -> None:
        """Perform one drawn step."""
        match what:
            case "put":
                self.put(f"m{number}", pick)
            case "end":
                self.end_call(pick, OUTCOMES[pick % 8])
            case "wait":
                self.end_call(pick, Outcome.FULL, 700 * MS)
            case "drain" if pick % 3 == 0:
                self.take_out_of_service(pick, api.EndpointStatus.DRAINING)
            case "gone" if pick % 3 == 0:
                self.take_out_of_service(pick, api.EndpointStatus.GONE)
            case "drop":
                self.withdraw(pick)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(STEP, min_size=20, max_size=120), st.integers(1, 7), st.sampled_from(["", "batch", "apart"]))
def test_rules_hold_in_any_legal_world(steps: list[tuple[str, int, int]], slots: int, kind: str):
    world = LegalWorld(slots, kind)
    for number, (what, pick, pause_ms) in enumerate(steps):
        world.advance(world.now + pause_ms * MS)
        world.play(number, what, pick)
    world.advance(world.now + 25 * SECOND)
    assert world.finished >= set(world.deadlines)
