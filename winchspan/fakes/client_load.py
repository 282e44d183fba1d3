"""Clients that submit messages to a fleet at a given rate, on the running event loop, real or simulated.

Each submission has a connection of its own. The client waits 400 ms for the reply, as the platform's clients
do. After a rejection or a timeout it retries at another courier, with a new id and the same token. A message
that was answered `+OK` must get exactly one final answer.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from winchspan import api
from winchspan.fakes.platform import SECOND_NS, platform
from winchspan.fakes.ports import HOST
from winchspan.fakes.submission import Submission

REPLY_TIMEOUT_SECONDS: Final = 0.4
RETRY_BACKOFF_SECONDS: Final = 0.3
MAX_ATTEMPTS: Final = 3
MESSAGE_ID_STEP: Final = 8  # distance of the ids of two messages: each submission takes the next id
PAYMENT: Final = "order-payment"
NOTICE: Final = "gallery-notice"
DEPOSIT: Final = "deposit"  # at-most-once class, which the platform does not have
MESSAGE_CLASSES: Final = {
    **platform(1).classes,
    DEPOSIT: api.MessageClass(DEPOSIT, 1.0, 4 * SECOND_NS, 24 * SECOND_NS, 0.4, api.Effect.ONCE),
}
DEFAULT_DEADLINES_SECONDS: Final = {PAYMENT: 24.0, NOTICE: 9.0, DEPOSIT: 24.0}
CLASS_WEIGHTS: Final = (55, 25, 20)  # of payments, notices and deposits, as in DEFAULT_DEADLINES_SECONDS


@dataclass(frozen=True, slots=True)
class AcceptedMessage:
    """A message that a courier answered `+OK`; times in seconds of the run's clock."""

    message_id: str
    token: str
    class_name: str
    ordering_key: int
    courier: str
    accepted_at_seconds: float
    deadline_at_seconds: float


class FirstSubmission(NamedTuple):
    """The first submission of a token: its message class, and its time in seconds of the run's clock."""

    class_name: str
    at_seconds: float


@dataclass(frozen=True, slots=True)
class _ClientMessage:
    """A message that no courier has accepted yet."""

    number: int
    class_name: str
    ordering_key: int
    destination: int
    first_courier: int

    @property
    def token(self) -> str:
        return f"{self.number:016x}"


@dataclass(slots=True)
class ClientLoad:
    """Submits messages at a rate until `stop`.

    Attributes:
        ports: client ports of the couriers, by name.
        messages_per_second: mean rate; the intervals are exponentially distributed.
        destination_count: number of destinations in the endpoint list.
        clock: the run's clock, in seconds.
        seed: of all random numbers.
        key_count: number of ordering keys of payments.
        deadlines_seconds: by class; classes are drawn with `CLASS_WEIGHTS` in this order.
        accepted: accepted messages, by message id.
        submitted: first submissions, by token.
        rejected_count: submissions that got another reply than `+OK`.
        unanswered_count: submissions without a reply within `REPLY_TIMEOUT_SECONDS`.
    """

    ports: Mapping[str, int]
    messages_per_second: float
    destination_count: int
    clock: Callable[[], float]
    seed: int = 1
    key_count: int = 8
    deadlines_seconds: Mapping[str, float] = field(default_factory=lambda: DEFAULT_DEADLINES_SECONDS)
    accepted: dict[str, AcceptedMessage] = field(default_factory=dict)
    submitted: dict[str, FirstSubmission] = field(default_factory=dict)
    rejected_count: int = 0
    unanswered_count: int = 0
    _is_stopped: bool = False

    async def run(self) -> None:
        """Submit messages until `stop`, then wait for the clients that still wait or retry."""
        rng = random.Random(self.seed)
        tasks: set[asyncio.Task[None]] = set()
        number = 0
        while not self._is_stopped:
            number += 1
            task = asyncio.get_running_loop().create_task(self._run_client(self._draw_message(rng, number)))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(rng.expovariate(self.messages_per_second))
        if tasks:
            await asyncio.wait(tasks)

    def stop(self) -> None:
        """Submit no further messages."""
        self._is_stopped = True

    def _draw_message(self, rng: random.Random, number: int) -> _ClientMessage:
        """Draw a message; messages of one ordering key are submitted to the same courier first."""
        class_name = rng.choices(list(self.deadlines_seconds), CLASS_WEIGHTS)[0]
        key = rng.randrange(1, self.key_count + 1) if class_name == PAYMENT else 0
        destination = key % self.destination_count if key else rng.randrange(self.destination_count)
        first_courier = key % len(self.ports) if key else rng.randrange(len(self.ports))
        return _ClientMessage(number, class_name, key, destination, first_courier)

    async def _run_client(self, message: _ClientMessage) -> None:
        """Submit a message, up to `MAX_ATTEMPTS` times, until a courier accepts it."""
        couriers = list(self.ports)
        deadline_at = self.clock() + self.deadlines_seconds[message.class_name]
        self.submitted[message.token] = FirstSubmission(message.class_name, self.clock())
        for attempt in range(MAX_ATTEMPTS):
            courier = couriers[(message.first_courier + attempt) % len(couriers)]
            submission = self._make_submission(message, attempt, deadline_at)
            reply = await self._submit(courier, submission)
            if reply.startswith(b"+"):
                self._record_accepted(courier, submission, deadline_at)
                return
            if reply:
                self.rejected_count += 1
            else:
                self.unanswered_count += 1
                if message.class_name == DEPOSIT:
                    return  # the courier may have accepted it, and it must not run twice
            await asyncio.sleep(RETRY_BACKOFF_SECONDS)

    def _make_submission(self, message: _ClientMessage, attempt: int, deadline_at: float) -> Submission:
        message_id = f"{message.number * MESSAGE_ID_STEP + attempt:016x}"
        return Submission(
            message_id,
            message.class_name,
            message.destination,
            1_000.0 * (deadline_at - self.clock()),
            message.token,
            message.ordering_key,
            b"body of " + message_id.encode(),
        )

    def _record_accepted(self, courier: str, submission: Submission, deadline_at: float) -> None:
        self.accepted[submission.message_id] = AcceptedMessage(
            submission.message_id,
            submission.token,
            submission.class_name,
            submission.ordering_key,
            courier,
            self.clock(),
            deadline_at,
        )

    async def _submit(self, courier: str, submission: Submission) -> bytes:
        """Return the courier's reply; empty without a reply in time."""
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(HOST, self.ports[courier])
                writer.write(submission.encode())
                return await reader.readline()
        except (OSError, TimeoutError):
            return b""
        finally:
            if writer is not None:
                writer.close()
