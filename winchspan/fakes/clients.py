"""Fake clients: which messages they submit and when, and how each reacts to a rejection.

A message has worth when it is delivered, and less when that is late. The model does no I/O: a transport sets
`Clients.submit`, and reports what becomes of each submission to the methods that are named by the event.
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
FINAL_ANSWER_GRACE_MS: Final = 8_000.0  # after its deadline an accepted message is answered, across a restart
EARLY_TOLERANCE_MS: Final = 1.0  # a submission that is earlier than this counts as early
RUDE_RETRY_INTERVAL_MS: Final = 100.0
MEAN_TIMER_DELAY_MS: Final = 20.0  # timers of clients' programs fire late, never early
KEY_RANGE_SIZE: Final = 1_000_003  # ordering keys of different streams do not meet
FRONT_NUMBER_BITS: Final = 30


class Habit(Enum):
    """How a client reacts to a rejection."""

    HONOURS = "honours"  # retries after the retry-after, marked `r=1`
    RUDE = "rude"  # retries every 100 ms, with new ids and the old idempotency key, whatever the retry-after


@dataclass(frozen=True, slots=True)
class Stream:
    """Messages of one class for one destination at a rate, in messages a second."""

    cls: str
    destination: int
    rate: float
    begin: float = 0.0  # ms from the start of the run
    end: float = 120_000.0
    keys: int = 0  # number of ordering keys; 0: messages have none
    habit: Habit = Habit.HONOURS
    tries: int = 3  # submissions of a message at most
    marks: bool = True  # whether retries are marked `r=1`


@dataclass(frozen=True, slots=True)
class Workload:
    """What the clients of a run submit; the same workload gives the same messages at the same times."""

    classes: Mapping[str, api.MessageClass]
    streams: Sequence[Stream]
    seed: int


@dataclass(slots=True)
class Message:
    """One message, until it is delivered or abandoned; times in ms of the run's clock."""

    number: int
    stream: Stream
    key: int  # its ordering key; 0: none
    idempotency_key: str
    born: float  # when it is first submitted
    deadline: float
    submission_count: int = 0
    not_before: float = 0.0  # earliest time of the next submission, by the latest retry-after
    delivered_at: float | None = None
    is_abandoned: bool = False  # no further submission
    executed_at: float | None = None  # when the partner first executed it
    awaits_final_answer: bool = False  # accepted under its latest id
    ended_as: str = ""  # the state in the notification for its latest id
    id: str = ""


@dataclass(slots=True)
class Count:
    """Counts of the run, for audits."""

    early: int = 0  # clients with `Habit.HONOURS` that retried before the retry-after: must stay 0
    twice: int = 0  # messages with a second final answer for one id: must stay 0
    double: int = 0  # messages with an idempotency key that took effect twice: must stay 0
    returns: list[float] = field(default_factory=list)  # times of retries, ms


class _MessageGenerator:
    """Draws the messages of a workload."""

    def __init__(self, workload: Workload, start: float) -> None:
        self._workload = workload
        self._start = start
        self._random = random.Random(workload.seed)
        self.messages: list[Message] = []

    def generate(self, on_message: Callable[[Message], None]) -> None:
        """Draw all messages, stream by stream, and pass each on as soon as it is drawn."""
        for number, stream in enumerate(self._workload.streams):
            at = stream.begin
            while True:
                at += self._random.expovariate(stream.rate / SECOND_MS)
                if at >= stream.end:
                    break
                message = self._draw_message(number, stream, self._start + at)
                self.messages.append(message)
                on_message(message)

    def _draw_message(self, stream_number: int, stream: Stream, born: float) -> Message:
        key = 0
        if stream.keys:
            key = stream_number * KEY_RANGE_SIZE + self._random.randrange(stream.keys) + 1
        idempotency_key = f"{self._random.getrandbits(64):016x}"
        # Not used any more; drawn so that a seed still gives the same messages.
        self._random.randrange(1 << FRONT_NUMBER_BITS)
        return Message(
            number=len(self.messages),
            stream=stream,
            key=key,
            idempotency_key=idempotency_key,
            born=born,
            deadline=born + ns_to_ms(self._workload.classes[stream.cls].deadline_ns),
        )


class Clients:
    """All clients of a run.

    Attributes:
        submit: set by the transport: submits a message; the flag says whether it is marked as a retry.
        messages: all messages of the run, in the order in which they were drawn.
        count: what the clients observed.
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
            workload: what is submitted.
            clock: the run's clock.
            timers: where submissions are scheduled.
            crossing_ms: for how long a delivery and a notification of the same message may both be under way.
        """
        self.classes = workload.classes
        self.submit: Callable[[Message, bool], None] = lambda message, is_retry: None
        self.count = Count()
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
        self._timers.call_at(message.born, partial(self._submit, message))

    def _submit(self, message: Message) -> None:
        """Submit a message under a new id, unless that is pointless by now."""
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
        message.ended_as = ""
        message.awaits_final_answer = False
        self._id_count += 1
        self._by_id[message.id] = message

    def _count_retry(self, message: Message, now: float) -> None:
        self.count.returns.append(now)
        is_early = now < message.not_before - EARLY_TOLERANCE_MS
        if is_early and message.stream.habit is Habit.HONOURS:
            self.count.early += 1

    def accepted(self, message_id: str) -> None:
        """A courier has accepted a submission."""
        message = self._by_id.get(message_id)
        if message is not None:
            # The final answer may overtake the acceptance on another connection.
            message.awaits_final_answer = not message.ended_as

    def rejected(self, message_id: str, retry_after_ms: float) -> None:
        """A courier has rejected a submission, or its connection has broken before the answer."""
        message = self._by_id.get(message_id)
        if message is not None:
            self._schedule_retry(message, retry_after_ms)

    def notified(self, message_id: str, state: str, retry_after_ms: float) -> None:
        """A notification has come: an accepted message has failed, or was returned."""
        message = self._by_id.get(message_id)
        if message is None:
            return
        if message.ended_as == state:
            return  # sent again by a later incarnation, which has not seen the acknowledgement
        if message.ended_as or message.delivered_at is not None:
            # A call may be given up while its answer is under way; the notification does no harm then.
            since_delivery_ms = self._clock.now() - (message.delivered_at or 0.0)
            if message.ended_as or since_delivery_ms > self._crossing_ms:
                self.count.twice += 1
            return
        message.awaits_final_answer = False
        message.ended_as = state
        if state == "returned":
            self._schedule_retry(message, retry_after_ms)
        else:
            message.is_abandoned = True

    def delivered(self, message_id: str) -> None:
        """The partner has executed a message, and its answer has arrived."""
        message = self._by_id.get(message_id)
        if message is not None and message.delivered_at is None:
            message.delivered_at = self._clock.now()

    def executed(self, idempotency_key: str) -> None:
        """The partner has executed a message; it drops repeats within the class's deduplication window."""
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
            self.count.double += 1

    def are_settled(self, now: float) -> bool:
        """Return whether nothing more can happen to any message."""
        return all(self._is_settled(message, now) for message in self.messages)

    @staticmethod
    def _is_settled(message: Message, now: float) -> bool:
        if message.is_abandoned or message.delivered_at is not None:
            return True
        grace_ms = FINAL_ANSWER_GRACE_MS if message.awaits_final_answer else SECOND_MS
        return now >= message.deadline + grace_ms

    def _schedule_retry(self, message: Message, retry_after_ms: float) -> None:
        """Submit the message again later, as its client's habit is, or abandon it."""
        now = self._clock.now()
        if message.submission_count >= message.stream.tries:
            message.is_abandoned = True
            return
        if message.stream.habit is Habit.RUDE:
            self._timers.call_at(now + RUDE_RETRY_INTERVAL_MS, partial(self._submit, message))
            return
        message.not_before = now + retry_after_ms
        delay_ms = self._timer_delays.expovariate(1 / MEAN_TIMER_DELAY_MS)
        self._timers.call_at(message.not_before + delay_ms, partial(self._submit, message))

    def worth(self, message: Message) -> float:
        """Return the worth of a delivery: full within the latency objective, halved with each further one.

        Returns:
            0 if the message was not delivered in time; at most the priority weight of its class.
        """
        if message.delivered_at is None:
            return 0.0
        message_class = self.classes[message.stream.cls]
        objective_ms = ns_to_ms(message_class.latency_objective_ns)
        late_ms = message.delivered_at - message.born - objective_ms
        if late_ms <= 0:
            return message_class.worth
        if message.delivered_at > message.deadline:
            return 0.0
        return message_class.worth * max(message_class.late_worth, float(0.5 ** (late_ms / objective_ms)))

    def worth_ratio(self, destination: int, habit: Habit = Habit.HONOURS) -> float:
        """Return the delivered worth over the worth of all messages of a destination and a habit."""
        possible = 0.0
        delivered = 0.0
        for message in self.messages:
            if message.stream.destination == destination and message.stream.habit is habit:
                possible += self.classes[message.stream.cls].worth
                delivered += self.worth(message)
        return delivered / possible if possible else 0.0
