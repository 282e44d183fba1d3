"""A bad client sends hundreds of commands at once, one of them with the id of another's open request."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import (
    TROUBLE,
    Call,
    Case,
    CaseError,
    Client,
    command,
    main,
    message_class,
    ok_answer,
    proves_that_it_never_ran,
    runs_of,
    settings,
    submit,
)

DESTINATION = 7
MESSAGE = "9b1f03aa5c7e2d41"
PACE = 0.3  # s that a call takes: within 250 to 430 ms, as at a partner system of usual pace
UNKNOWN = command("NOSUCH", "thing")
PING = command("PING")


async def deliver(call: Call) -> bytes:
    """Deliver at the usual pace."""
    await asyncio.sleep(PACE)
    return ok_answer(call)


async def send_badly(case: Case, client: Client) -> None:
    """Send hundreds of commands in one go, and read all answers."""
    groups = (UNKNOWN + 15 * PING) * 6
    data = groups + submit(MESSAGE, "payment", DESTINATION) + 130 * PING
    client.writer.write(data)
    await client.writer.drain()
    case.record(f"bad client: wrote 227 commands, {len(data)} bytes; the 97th is SUBMIT {MESSAGE}")
    while line := await client.reader.readline():
        if line != b"+PONG\r\n":
            case.record(f"bad client: was answered {line.decode('latin-1').strip()}")


async def play(case: Case) -> list[str]:
    """Return what was broken."""
    endpoint = await case.endpoint("s-1", DESTINATION, deliver)
    courier = case.courier(settings([message_class("payment", "once")]))
    courier.write_config()
    courier.start()
    await courier.wait_ready()
    usual = await Client(case.record, courier.port).open()
    bad = await Client(case.record, courier.port).open()
    if not (await usual.hand_in(MESSAGE, "payment", DESTINATION)).startswith(b"+OK"):
        raise CaseError("the message was not taken on")
    if TROUBLE:
        sending = asyncio.create_task(send_badly(case, bad))
        await asyncio.sleep(0.05)
        if any(call.answered_at for call in endpoint.calls):
            raise CaseError("the request was no longer open when the bad client sent")
    await asyncio.sleep(3.0)
    if TROUBLE:
        sending.cancel()
    first, *later = runs_of([endpoint], MESSAGE) or [None]
    if first is None or first.answered_at is None:
        raise CaseError("the message has not come to its destination")
    if proves_that_it_never_ran(first):
        raise CaseError("the first call has not run")
    return [
        f"payment {MESSAGE} ran at {first.at:.3f} s, was delivered at {first.answered_at:.3f} s, "
        f"and was sent again at {call.at:.3f} s"
        for call in later
    ]


main(__file__, play)
