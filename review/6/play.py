"""A partner hangs while payments come for it; the copies of a fleet fill up, and it stands still for good."""

from __future__ import annotations

import asyncio
import os
import random
import sys
from pathlib import Path
from typing import Final

from stand_ins_2 import (
    BROKEN,
    HELD,
    Case,
    Client,
    Courier,
    Endpoint,
    Message,
    answer_at_once,
    kenanga_settings,
    never_answer,
    new_id,
    now,
    run_case,
)

SETTLE_S: Final = 6.0
HANG_S: Final = 15.0
BEHIND_S: Final = 5.0
TIME_S: Final = 24.0
BODY_BYTES: Final = 8 * 1024
# Three in ten messages go to the partner that hangs.
DESTINATIONS: Final = (7, 8, 8, 7, 8, 8, 8, 7, 8, 8)
EVERY_S: Final = 0.05
# The greatest slack of the pages: half a second on the days at full size, and 50 ms on sockets.
SLACK_S: Final = 0.55
NEVER: Final = float("inf")


async def stream(client: Client, courier: Courier) -> None:
    """Hand in payments, each of a gallery of its own."""
    waits: set[asyncio.Task[Message]] = set()
    number = 0
    while True:
        destination = DESTINATIONS[number % len(DESTINATIONS)]
        number += 1
        key = random.getrandbits(52)
        body = os.urandom(BODY_BYTES)
        message = Message(new_id(), "order-payment", destination, TIME_S, key=key, token=new_id(), body=body)
        task = asyncio.create_task(client.submit(courier, message))
        waits.add(task)
        task.add_done_callback(waits.discard)
        await asyncio.sleep(EVERY_S)


async def play(case: Case) -> int:
    """Play the case, and return the exit code."""
    sick = Endpoint(case.record, "s-7", 7, "mid-host", 12.0)
    well = Endpoint(case.record, "s-8", 8, "mid-host", 40.0)
    couriers = await case.add_fleet(3, [sick, well], kenanga_settings, "(copies 1)")
    client = Client(case.record)
    await asyncio.sleep(SETTLE_S)
    tasks = [asyncio.create_task(stream(client, courier)) for courier in couriers]
    await asyncio.sleep(3.0)
    if case.has_trouble:
        sick.behaviour = never_answer
        case.record.write("s-7 takes calls and answers none")
    await asyncio.sleep(HANG_S)
    sick.behaviour = answer_at_once
    case.record.write("s-7 answers again")
    await asyncio.sleep(BEHIND_S)
    for task in tasks:
        task.cancel()
    ended_at = now()
    await asyncio.sleep(TIME_S + 1.0)
    over_at = {notice.id: notice.at for courier in couriers for notice in courier.platform.notices}
    for call in (*sick.calls, *well.calls):
        if call.outcome == "answered 200":
            for each in call.ids:
                over_at[each] = min(over_at.get(each, NEVER), call.ended_at or NEVER)
    taken = [message for message in client.messages if message.is_taken]
    lost = [m for m in taken if over_at.get(m.id, NEVER) > m.sent_at + m.time_left_s + SLACK_S]
    never = sum(message.id not in over_at for message in lost)
    last_at = max((call.at for call in (*sick.calls, *well.calls)), default=0.0)
    for destination in (7, 8):
        count = sum(message.destination == destination for message in lost)
        case.record.write(f"{count} messages for destination {destination} lost")
    case.record.write(
        f"{len(taken)} of {len(client.messages)} messages taken on; {len(lost)} of these lost, {never} of "
        f"which never ended; the last call came {last_at - ended_at:.1f} s behind the last message handed in"
    )
    return BROKEN if lost else HELD


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
