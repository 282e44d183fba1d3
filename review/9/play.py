"""The leader of a fleet is killed; what its other couriers hold is told too late, and so is lost."""

from __future__ import annotations

import asyncio
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
    kenanga_settings,
    new_id,
    now,
    run_case,
)

SETTLE_S: Final = 6.0
BEFORE_S: Final = 6.0
BEHIND_S: Final = 6.0
EVERY_S: Final = 0.03
TIMES_S: Final = (1.5, 2.0, 2.5, 3.0, 3.5)
DESTINATIONS: Final = (7, 8, 8, 7, 8, 8, 8, 7, 8, 8)  # three in ten go to the partner that is shut
# The greatest slack of the pages: half a second on the days at full size, and 50 ms on sockets.
SLACK_S: Final = 0.55
NEVER: Final = float("inf")


async def shut(endpoint: Endpoint, request: Request) -> Answer | None:
    """Turn all calls away, as a partner that is shut."""
    del endpoint, request
    await asyncio.sleep(0.05)
    return 503, {}, b""


async def stream(client: Client, courier: Courier) -> None:
    """Hand in notices with little time."""
    waits: set[asyncio.Task[Message]] = set()
    number = 0
    while True:
        time_s = TIMES_S[number // len(DESTINATIONS) % len(TIMES_S)]
        destination = DESTINATIONS[number % len(DESTINATIONS)]
        number += 1
        message = Message(new_id(), "gallery-notice", destination, time_s)
        task = asyncio.create_task(client.submit(courier, message))
        waits.add(task)
        task.add_done_callback(waits.discard)
        await asyncio.sleep(EVERY_S)


async def play(case: Case) -> int:
    """Play the case, and return the exit code."""
    sick = Endpoint(case.record, "s-7", 7, "large-host", 20.0)
    sick.behaviour = shut
    well = Endpoint(case.record, "s-8", 8, "large-host", 60.0)
    couriers = await case.add_fleet(3, [sick, well], kenanga_settings, "(copies 1)")
    client = Client(case.record)
    await asyncio.sleep(SETTLE_S)
    leaders = [each for each in couriers if "agreement.leads:1" in await each.counters()]
    if len(leaders) != 1:
        raise CouldNotRunError(f"{len(leaders)} leaders")
    others = [each for each in couriers if each not in leaders]
    case.record.write(f"{leaders[0].name} leads the fleet")
    tasks = [asyncio.create_task(stream(client, courier)) for courier in others]
    await asyncio.sleep(BEFORE_S)
    struck_at = now()
    if case.has_trouble:
        await case.kill(leaders)
    await asyncio.sleep(BEHIND_S)
    for task in tasks:
        task.cancel()
    await asyncio.sleep(max(TIMES_S) + 1.0)
    notices = {notice.id: notice for courier in couriers for notice in courier.platform.notices}
    delivered_at = {
        each: call.ended_at or NEVER
        for call in (*sick.calls, *well.calls)
        if call.outcome == "answered 200"
        for each in call.ids
    }
    lost = 0
    for message in (each for each in client.messages if each.is_taken):
        due_at = message.sent_at + message.time_left_s
        notice = notices.get(message.id)
        ended_at = min(delivered_at.get(message.id, NEVER), notice.at if notice is not None else NEVER)
        if ended_at <= due_at + SLACK_S:
            continue
        lost += 1
        case.record.write(
            f"{message.id}, taken by {message.courier}, was due {due_at - struck_at:.2f} s after the kill, "
            + (f"and over {ended_at - due_at:.2f} s later" if ended_at < NEVER else "and never over")
        )
    case.record.write(f"{lost} of {len(client.messages)} messages lost, at couriers that nothing befell")
    return BROKEN if lost else HELD


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
