"""Fake clients: the messages that they submit, and how they react to rejections.

A delivered message has a worth, which decreases with lateness. The model does no I/O. A transport sets
`Clients.submit`, and reports the events of each submission through `accepted`, `rejected`, `notified`,
`delivered` and `executed`.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from functools import partial
from typing import Final

from winchspan import api
from winchspan.runtime.clock import Clock, ns_to_ms
from winchspan.runtime.timers import TimerQueue

SECOND_MS: Final = 1_000.0
FINAL_ANSWER_GRACE_MS: Final = 8_000.0  # after the deadline of an accepted message, across a restart
EARLY_TOLERANCE_MS: Final = 1.0  # a retry counts as early only if it precedes the retry-after by more
FIXED_RETRY_INTERVAL_MS: Final = 100.0  # of clients that ignore the retry-after
MEAN_TIMER_DELAY_MS: Final = 20.0  # delay of a retry after its due time: client timers never fire early
KEY_RANGE_SIZE: Final = 1_000_003  # ordering keys per stream, so that streams have disjoint ranges
UNUSED_DRAW_BITS: Final = 30


class RetryBehaviour(Enum):
    """How a client reacts to a rejection."""

    HONOURS_RETRY_AFTER = "honours"  # retries after the retry-after, marked `r=1`
    # Retries every 100 ms, with a new id and the same idempotency key, whatever the retry-after.
    IGNORES_RETRY_AFTER = "rude"


@dataclass(frozen=True, slots=True)
class Stream:
    """Messages of one class for one destination, at `rate` messages per second."""

    cls: str
    destination: int
    rate: float
    begin: float = 0.0  # ms from the start of the run
    end: float = 120_000.0
    keys: int = 0  # number of ordering keys; 0: no ordering
    retry_behaviour: RetryBehaviour = RetryBehaviour.HONOURS_RETRY_AFTER
    tries: int = 3  # maximum number of submissions of a message
    marks: bool = True  # whether retries are marked `r=1`


@dataclass(frozen=True, slots=True)
class Workload:
    """The submissions of a run; equal workloads give equal messages at equal times."""

    classes: Mapping[str, api.MessageClass]
    streams: Sequence[Stream]
    seed: int


@dataclass(slots=True)
class Message:
    """A client's message and its state; times in ms of the run's clock."""

    number: int
    stream: Stream
    key: int  # ordering key; 0: none
    idempotency_key: str
    first_submission_at_ms: float
    deadline: float
    submission_count: int = 0
    not_before: float = 0.0  # earliest time of the next submission, from the latest retry-after
    delivered_at: float | None = None
    is_abandoned: bool = False  # the client submits it no more
    executed_at: float | None = None  # first execution by the partner
    awaits_final_answer: bool = False  # it was accepted under its latest id
    final_state: str = ""  # state of the notification for its latest id; empty without one
    id: str = ""


@dataclass(slots=True)
class ClientCounts:
    """Counts of events that audits evaluate."""

    early_retries: int = 0  # by clients that honour the retry-after: must stay 0
    repeated_final_answers: int = 0  # second final answers for the same id: must stay 0
    repeated_effects: int = 0  # second effects for the same idempotency key: must stay 0
    retry_times_ms: list[float] = field(default_factory=list)


class _MessageGenerator:
    """Draws the messages of a workload."""

    def __init__(self, workload: Workload, start: float) -> None:
        self._workload = workload
        self._start = start
        self._random = random.Random(workload.seed)
        self.messages: list[Message] = []

    def generate(self, on_message: Callable[[Message], None]) -> None:
        """Draw all messages, stream by stream, and call `on_message` with each."""
        for number, stream in enumerate(self._workload.streams):
            at = stream.begin
            while True:
                at += self._random.expovariate(stream.rate / SECOND_MS)
                if at >= stream.end:
                    break
                message = self._draw_message(number, stream, self._start + at)
                self.messages.append(message)
                on_message(message)

    def _draw_message(self, stream_number: int, stream: Stream, first_submission_at_ms: float) -> Message:
        key = 0
        if stream.keys:
            key = stream_number * KEY_RANGE_SIZE + self._random.randrange(stream.keys) + 1
        idempotency_key = f"{self._random.getrandbits(64):016x}"
        # This draw has no use any more, but without it a seed would give other messages.
        self._random.randrange(1 << UNUSED_DRAW_BITS)
        return Message(
            number=len(self.messages),
            stream=stream,
            key=key,
            idempotency_key=idempotency_key,
            first_submission_at_ms=first_submission_at_ms,
            deadline=first_submission_at_ms + ns_to_ms(self._workload.classes[stream.cls].deadline_ns),
        )


class Clients:
    """All clients of a run.

    Attributes:
        submit: submits a message, set by the transport; the flag marks the submission as a retry.
        messages: all messages of the run, in the order of their draws.
        counts: counts of events for audits.
    """

    def __init__(
        self,
        workload: Workload,
        clock: Clock,
        timers: TimerQueue,
        crossing_ms: float = 0.0,
    ) -> None:
        """Schedule the first submission of each message.

        Args:
            workload: the messages to submit.
            clock: the run's clock.
            timers: schedule the submissions.
            crossing_ms: how long after its delivery a notification of a message may still arrive.
        """
        self.classes = workload.classes
        self.submit: Callable[[Message, bool], None] = lambda message, is_retry: None
        self.counts = ClientCounts()
        self._clock = clock
        self._timers = timers
        self._crossing_ms = crossing_ms
        self._by_id: dict[str, Message] = {}
        self._by_idempotency_key: dict[str, Message] = {}
        self._id_count = 0
        self._timer_delays = random.Random(workload.seed + 1)
        generator = _MessageGenerator(workload, clock.now())
        self.messages = generator.messages
        generator.generate(self._schedule_first_submission)

    def _schedule_first_submission(self, message: Message) -> None:
        self._by_idempotency_key[message.idempotency_key] = message
        self._timers.call_at(message.first_submission_at_ms, partial(self._submit, message))

    def _submit(self, message: Message) -> None:
        """Submit a message under a new id, unless it has expired or is delivered or abandoned."""
        now = self._clock.now()
        is_late = now >= message.deadline - 1.0
        if message.is_abandoned or message.delivered_at is not None or is_late:
            message.is_abandoned = True
            return
        is_retry = message.submission_count > 0
        message.submission_count += 1
        self._assign_new_id(message)
        if is_retry:
            self._count_retry(message, now)
        self.submit(message, is_retry and message.stream.marks)

    def _assign_new_id(self, message: Message) -> None:
        self._by_id.pop(message.id, None)
        message.id = f"{message.number:06d}-{self._id_count}"
        message.final_state = ""
        message.awaits_final_answer = False
        self._id_count += 1
        self._by_id[message.id] = message

    def _count_retry(self, message: Message, now: float) -> None:
        self.counts.retry_times_ms.append(now)
        is_early = now < message.not_before - EARLY_TOLERANCE_MS
        if is_early and message.stream.retry_behaviour is RetryBehaviour.HONOURS_RETRY_AFTER:
            self.counts.early_retries += 1

    def accepted(self, message_id: str) -> None:
        """Handle a courier's acceptance of a submission."""
        message = self._by_id.get(message_id)
        if message is not None:
            # The final answer may arrive on another connection before the acceptance.
            message.awaits_final_answer = not message.final_state

    def rejected(self, message_id: str, retry_after_ms: float) -> None:
        """Handle a rejection of a submission, or a connection that broke before the answer."""
        message = self._by_id.get(message_id)
        if message is not None:
            self._schedule_retry(message, retry_after_ms)

    def notified(self, message_id: str, state: str, retry_after_ms: float) -> None:
        """Handle a notification: an accepted message failed or was returned."""
        message = self._by_id.get(message_id)
        if message is None:
            return
        if message.final_state == state:
            return  # resent by a later incarnation, which has no acknowledgement
        if message.final_state or message.delivered_at is not None:
            # A courier may cancel a call while its answer is in flight; its notification is harmless then.
            since_delivery_ms = self._clock.now() - (message.delivered_at or 0.0)
            if message.final_state or since_delivery_ms > self._crossing_ms:
                self.counts.repeated_final_answers += 1
            return
        message.awaits_final_answer = False
        message.final_state = state
        if state == "returned":
            self._schedule_retry(message, retry_after_ms)
        else:
            message.is_abandoned = True

    def delivered(self, message_id: str) -> None:
        """Handle a delivery: the partner executed a message, and the courier receives its answer."""
        message = self._by_id.get(message_id)
        if message is not None and message.delivered_at is None:
            message.delivered_at = self._clock.now()

    def executed(self, idempotency_key: str) -> None:
        """Handle an execution by the partner, which drops repeats within the deduplication window."""
        message = self._by_idempotency_key.get(idempotency_key)
        if message is None:
            return
        now = self._clock.now()
        message_class = self.classes[message.stream.cls]
        if message.executed_at is None:
            message.executed_at = now
            return
        is_outside_window = now - message.executed_at > ns_to_ms(message_class.dedup_ns)
        if message_class.effect is api.Effect.KEYED and is_outside_window:
            self.counts.repeated_effects += 1

    def are_settled(self, now: float) -> bool:
        """Return whether the state of every message is final."""
        return all(self._is_settled(message, now) for message in self.messages)

    @staticmethod
    def _is_settled(message: Message, now: float) -> bool:
        if message.is_abandoned or message.delivered_at is not None:
            return True
        grace_ms = FINAL_ANSWER_GRACE_MS if message.awaits_final_answer else SECOND_MS
        return now >= message.deadline + grace_ms

    def _schedule_retry(self, message: Message, retry_after_ms: float) -> None:
        """Schedule the next submission by the client's retry behaviour, or abandon the message."""
        now = self._clock.now()
        if message.submission_count >= message.stream.tries:
            message.is_abandoned = True
            return
        if message.stream.retry_behaviour is RetryBehaviour.IGNORES_RETRY_AFTER:
            self._timers.call_at(now + FIXED_RETRY_INTERVAL_MS, partial(self._submit, message))
            return
        message.not_before = now + retry_after_ms
        delay_ms = self._timer_delays.expovariate(1 / MEAN_TIMER_DELAY_MS)
        self._timers.call_at(message.not_before + delay_ms, partial(self._submit, message))

    def worth(self, message: Message) -> float:
        """Return the worth of a delivery: full within the latency objective, halved per further objective.

        Returns:
            0 if the message was not delivered in time; at most the priority weight of its class.
        """
        if message.delivered_at is None:
            return 0.0
        message_class = self.classes[message.stream.cls]
        objective_ms = ns_to_ms(message_class.latency_objective_ns)
        late_ms = message.delivered_at - message.first_submission_at_ms - objective_ms
        if late_ms <= 0:
            return message_class.worth
        if message.delivered_at > message.deadline:
            return 0.0
        return message_class.worth * max(message_class.late_worth, float(0.5 ** (late_ms / objective_ms)))

    def worth_ratio(
        self, destination: int, retry_behaviour: RetryBehaviour = RetryBehaviour.HONOURS_RETRY_AFTER
    ) -> float:
        """Return the delivered worth over the worth of all messages of a destination and a behaviour."""
        possible = 0.0
        delivered = 0.0
        for message in self.messages:
            if (
                message.stream.destination == destination
                and message.stream.retry_behaviour is retry_behaviour
            ):
                possible += self.classes[message.stream.cls].worth
                delivered += self.worth(message)
        return delivered / possible if possible else 0.0
