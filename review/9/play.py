"""A courier of a fleet is away for 3.5 s; then messages of its keys go before their predecessors."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path
from typing import Final

from stand_ins_2 import (
    BROKEN,
    HELD,
    Answer,
    Case,
    Client,
    CouldNotRunError,
    Courier,
    Endpoint,
    Message,
    Request,
    answer_at_once,
    new_id,
    run_case,
    varazdin_settings,
)

KEYS: Final = 10
SETTLE_S: Final = 6.0
DOWN_S: Final = 3.5
BUSY_S: Final = 2.0
TIME_S: Final = 20.0
OTHERS: Final = 20  # for a well partner: the one that is shut gets a quarter of what is taken on
HAND_IN_S: Final = 8.0


class BusyPartner:
    """Shuts and refuses all, until it opens again."""

    def __init__(self) -> None:
        self.has_room = True

    async def answer(self, endpoint: Endpoint, request: Request) -> Answer | None:
        """Answer 503, or deliver."""
        if self.has_room:
            return await answer_at_once(endpoint, request)
        await asyncio.sleep(0.05)
        return 503, {}, b""


async def hand_in(client: Client, courier: Courier, destination: int, key: int) -> Message:
    """Hand in a message, again after each refusal, with a new id each time and its idempotency key."""
    token = new_id()
    for _ in range(int(HAND_IN_S / 0.4)):
        message = Message(new_id(), "order-step", destination, TIME_S, key=key, token=token)
        await client.submit(courier, message)
        if message.is_taken:
            return message
        await asyncio.sleep(0.4)
    return message


def calls_of(message: Message, endpoints: list[Endpoint]) -> list[Request]:
    """Return the calls with a message, the first one first."""
    calls = [call for endpoint in endpoints for call in endpoint.calls if message.id in call.ids]
    return sorted(calls, key=lambda call: call.at)


def ended_at(message: Message, case: Case, endpoints: list[Endpoint]) -> float | None:
    """Return when a message was over: delivered, or its notice answered; None: it was not."""
    ends = [call.ended_at for call in calls_of(message, endpoints) if call.outcome == "answered 200"]
    notices = [notice for courier in case.couriers for notice in courier.platform.notices]
    ends += [notice.at for notice in notices if notice.id == message.id]
    return min((end for end in ends if end is not None), default=None)


def went_before(first: Message, second: Message, case: Case, endpoints: list[Endpoint]) -> bool:
    """Return whether the later message of a key was called with while the earlier one was not over."""
    calls = calls_of(second, endpoints)
    if not (first.is_taken and second.is_taken and calls):
        return False
    over_at = ended_at(first, case, endpoints)
    is_early = over_at is None or calls[0].at < over_at
    case.record.write(
        f"key {first.key:x}: {first.id} handed in {second.sent_at - first.sent_at:.1f} s before {second.id}; "
        f"the call with the latter came from {calls[0].source} "
        + (f"{over_at - calls[0].at:.2f} s before" if over_at is not None and is_early else "behind")
        + " the end of the former"
    )
    return is_early


async def play(case: Case) -> int:
    """Play the case, and return the exit code."""
    partner = BusyPartner()
    busy = Endpoint(case.record, "s-7", 7, "regional", 4.0)
    busy.behaviour = partner.answer
    well = Endpoint(case.record, "s-8", 8, "regional", 12.0)
    endpoints = [busy, well]
    couriers = await case.add_fleet(3, endpoints, varazdin_settings, "(copies 1)")
    client = Client(case.record)
    await asyncio.sleep(SETTLE_S)
    courier = couriers[1]
    keys = [random.getrandbits(52) for _ in range(KEYS)]
    for number in range(OTHERS):
        await client.submit(couriers[number % 3], Message(new_id(), "status-notice", 8, 16.0))
    partner.has_room = False
    case.record.write("s-7 is shut")
    first = [await hand_in(client, courier, 7, key) for key in keys]
    await asyncio.sleep(1.0)
    if case.has_trouble:
        await case.kill([courier])
        await asyncio.sleep(DOWN_S)
        await case.restart([courier])
    else:
        await asyncio.sleep(DOWN_S)
    second = list(await asyncio.gather(*[hand_in(client, courier, 8, key) for key in keys]))
    await asyncio.sleep(BUSY_S)
    partner.has_room = True
    case.record.write("s-7 is open again")
    await asyncio.sleep(12.0)
    if not any(message.is_taken for message in second):
        raise CouldNotRunError("the courier took none of the later messages")
    early = [went_before(a, b, case, endpoints) for a, b in zip(first, second, strict=True)]
    case.record.write(f"{sum(early)} of {KEYS} keys out of order")
    return BROKEN if any(early) else HELD


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
