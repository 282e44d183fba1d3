"""Payments of 20 KiB come in clumps for a partner that takes ten messages in a call, and 64 KiB in a body."""

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
    Answer,
    Case,
    Client,
    Endpoint,
    Message,
    Request,
    answer_at_once,
    kenanga_settings,
    new_id,
    run_case,
)

MOST_BYTES: Final = 64 * 1024
BODY_BYTES: Final = 20 * 1024
CLUMP: Final = 8
CLUMPS: Final = 3
TIME_S: Final = 24.0


async def take_bodies_of_64_kib(endpoint: Endpoint, request: Request) -> Answer | None:
    """Turn away a body that the protocol does not allow, and run nothing of it; deliver all others."""
    if len(request.body) > MOST_BYTES:
        return 413, {}, b""
    return await answer_at_once(endpoint, request)


def payment() -> Message:
    """Return a payment of a gallery of its own."""
    body = os.urandom(BODY_BYTES)
    key = random.getrandbits(52)
    return Message(new_id(), "order-payment", 7, TIME_S, key=key, token=new_id(), body=body)


async def play(case: Case) -> int:
    """Play the case, and return the exit code."""
    partner = Endpoint(case.record, "s-7", 7, "large-host", 8.0)
    partner.behaviour = take_bodies_of_64_kib
    (courier,) = await case.add_couriers(1, [partner], kenanga_settings)
    client = Client(case.record)
    for _ in range(CLUMPS):
        clump = [payment() for _ in range(CLUMP)]
        if case.has_trouble:
            await asyncio.gather(*[client.submit(courier, message) for message in clump])
        else:
            for message in clump:
                await client.submit(courier, message)
                await asyncio.sleep(0.6)
        await asyncio.sleep(2.0)
    await asyncio.sleep(TIME_S + 1.0)
    taken = [message for message in client.messages if message.is_taken]
    too_long = [call for call in partner.calls if len(call.body) > MOST_BYTES]
    delivered = {each for call in partner.calls if call.outcome == "answered 200" for each in call.ids}
    states = {notice.id: notice.state for notice in courier.platform.notices}
    lost = [states.get(message.id, "no end") for message in taken if message.id not in delivered]
    longest = max((len(call.body) for call in partner.calls), default=0)
    case.record.write(
        f"{len(taken)} payments taken on, {len(taken) - len(lost)} delivered, the others ended as {lost}; "
        f"{len(too_long)} of {len(partner.calls)} calls had a body of over {MOST_BYTES} bytes, "
        f"{longest} at most"
    )
    return BROKEN if too_long else HELD


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
