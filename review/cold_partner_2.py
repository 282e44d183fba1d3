"""A partner system that hangs, comes back cold, and counts the calls that push it."""

from __future__ import annotations

import asyncio
import math
import random
from dataclasses import dataclass

from stand_ins_2 import (
    Answer,
    Case,
    Client,
    Courier,
    Endpoint,
    Message,
    Record,
    Request,
    delivered,
    new_id,
    now,
)

QUEUE_S = 0.7
SMALL_BUDGET = 30


@dataclass(frozen=True)
class ColdRules:
    """The figures of the rule on returning partner systems.

    Attributes:
        start: the share of its capacity at its return.
        cold_s: when it is warm.
        multiple: how many times its present capacity it bears.
        window_s: over what time the calls are counted.
    """

    start: float
    cold_s: float
    multiple: float
    window_s: float


@dataclass(frozen=True)
class Push:
    """The calls of one window.

    Attributes:
        calls: how many came.
        limit: how many it bears.
        at_s: the begin of the window, from the return on.
        sources: from whom they came.
    """

    calls: int
    limit: float
    at_s: float
    sources: list[str]


class ColdPartner:
    """One capacity: takes calls and answers none in a hang, and is cold behind it.

    Attributes:
        is_hanging: whether it answers nothing.
        returned_at: when it came back; None: it was never away.
        told: the couriers of which a call failed in the hang.
    """

    def __init__(self, capacity: float, rules: ColdRules) -> None:
        self.capacity = capacity
        self.rules = rules
        self.is_hanging = False
        self.returned_at: float | None = None
        self.told: set[str] = set()
        self._taken: list[Request] = []
        self._free_at = 0.0

    def share(self, at: float) -> float:
        """Return the share of its capacity that it has."""
        if self.returned_at is None:
            return 1.0
        rise = (1 - self.rules.start) * max(0.0, at - self.returned_at) / self.rules.cold_s
        return min(1.0, self.rules.start + rise)

    async def answer(self, endpoint: Endpoint, request: Request) -> Answer | None:
        """Serve a call, turn it away where the queue is full, or take it and never answer."""
        if self.is_hanging:
            self._taken.append(request)
            return None
        rate = self.capacity * self.share(now())
        if (self._free_at - now()) * rate > max(2.0, QUEUE_S * self.capacity):
            await asyncio.sleep(0.02)
            return 503, {}, b""
        self._free_at = max(self._free_at, now()) + 1 / rate
        await asyncio.sleep(self._free_at - now() + random.uniform(0.15, 0.3))
        return delivered(request)

    def come_back(self) -> None:
        """End the hang, and note who has been told of it by a call that it never answered."""
        self.is_hanging = False
        self.returned_at = now()
        self.told = {request.source for request in self._taken if request.ended_at is not None}

    def limit(self, since_return_s: float) -> float:
        """Return how many calls it bears in the window that begins then."""
        middle_s = since_return_s + self.rules.window_s / 2
        share = min(1.0, self.rules.start + (1 - self.rules.start) * middle_s / self.rules.cold_s)
        budget = self.rules.multiple * self.capacity * share * self.rules.window_s
        spread = 3 if budget < SMALL_BUDGET else 2
        return budget + spread * (math.sqrt(budget) + 1)

    def hardest_push(self, calls: list[Request]) -> Push | None:
        """Return the window of calls that went furthest over, or least far under, what it bears."""
        assert self.returned_at is not None
        returned_at = self.returned_at
        pushing = [call for call in calls if call.at >= returned_at]
        pushes = []
        for call in pushing:
            window = [each for each in pushing if call.at <= each.at < call.at + self.rules.window_s]
            at_s = call.at - returned_at
            pushes.append(Push(len(window), self.limit(at_s), at_s, [each.source for each in window]))
        return max(pushes, key=lambda push: push.calls / push.limit, default=None)


@dataclass(frozen=True)
class Traffic:
    """Messages at even intervals.

    Attributes:
        class_name: their class.
        time_s: the time of each.
        destination: where they go.
        every_s: the interval.
    """

    class_name: str
    time_s: float
    destination: int
    every_s: float


async def stream(case: Case, client: Client, courier: Courier, traffic: Traffic) -> None:
    """Hand in messages while the front sends to the courier."""
    waits: set[asyncio.Task[Message]] = set()
    await asyncio.sleep(random.uniform(0.0, traffic.every_s))
    while True:
        if courier.name in case.in_front:
            message = Message(
                new_id(),
                traffic.class_name,
                traffic.destination,
                traffic.time_s,
                key=random.getrandbits(52),
                token=new_id(),
            )
            task = asyncio.create_task(client.submit(courier, message))
            waits.add(task)
            task.add_done_callback(waits.discard)
        await asyncio.sleep(traffic.every_s)


def judge(record: Record, partner: ColdPartner, endpoint: Endpoint) -> bool:
    """Return whether the partner was pushed over, mostly by couriers that had been told of its outage."""
    push = partner.hardest_push(endpoint.calls)
    if push is None:
        return False
    told = sum(source in partner.told for source in push.sources)
    record.write(
        f"hardest push: {push.calls} calls in {partner.rules.window_s} s, from {push.at_s:.2f} s behind the "
        f"return on, of at most {push.limit:.1f}; {told} of them from couriers that had been told of the "
        f"outage ({', '.join(sorted(partner.told))})"
    )
    return push.calls > push.limit and told * 3 > 2 * push.calls
