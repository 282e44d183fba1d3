"""A new version takes over, and sends what it holds by a list that the courier knew to be out of date."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import (
    TROUBLE,
    Call,
    Case,
    CaseError,
    Client,
    Courier,
    Endpoint,
    copy_of_program,
    free_port,
    main,
    message_class,
    ok_answer,
    response,
    runs_of,
    settings,
)

DESTINATION, OTHER_DESTINATION = 7, 9
KEY = "5c0f6e1a2b3d4c59"
PACE = 0.4  # s that a call takes: within 250 to 430 ms, as at a partner system of usual pace
TOLD_BEFORE = 7.0  # s between the change of the list and the upgrade: over the 6 s of the standing test
QUEUE = 5  # messages of one key that are handed in when the new version is started
# The version that takes over: "next" has one comment more in one file, "same" is equal to the serving one.
VERSION = os.environ.get("VERSION", "next")


async def deliver(call: Call) -> bytes:
    """Deliver at the usual pace."""
    await asyncio.sleep(PACE)
    return ok_answer(call)


async def refuse(_: Call) -> bytes:
    """Answer a call with a message of another destination."""
    return response(400)


async def hand_in(case: Case, courier: Courier, number: int) -> str:
    """Hand in a message on a connection of its own; return its id."""
    message = f"9b1f03aa5c7e{number:04x}"
    client = await Client(case.record, courier.port).open()
    if not (await client.hand_in(message, "order-payment", DESTINATION, key=KEY)).startswith(b"+OK"):
        raise CaseError(f"{message} was not taken on")
    client.close()
    return message


async def replace_endpoint(case: Case, old: Endpoint) -> tuple[Endpoint, Endpoint]:
    """Replace an endpoint under a new id; a new endpoint of another destination gets its address."""
    await old.stop()
    new = await case.endpoint("s-new", DESTINATION, deliver)
    other = await case.endpoint("s-other", OTHER_DESTINATION, refuse, port=old.port)
    case.platform.change(old.entry("removed"), new.entry(), other.entry())
    return new, other


async def start_new_version(case: Case, courier: Courier) -> None:
    """Start `run` a second time, with a new second address and everything else unchanged."""
    program = copy_of_program(case.folder / "next-version")
    if VERSION == "next":
        file = program / "winchspan" / "net" / "http.py"
        file.write_text(file.read_text() + "\n# The next version.\n")
    courier.root = program
    courier.admin_port = free_port()
    courier.start()


async def play(case: Case) -> list[str]:
    """Return what was broken."""
    old = await case.endpoint("s-old", DESTINATION, deliver)
    courier = case.courier(settings([message_class("order-payment", "by_key", in_order=True)]))
    courier.hold_listener()
    courier.write_config()
    courier.start()
    await courier.wait_ready()
    await courier.wait_admin_ready()
    await hand_in(case, courier, 1)
    await asyncio.sleep(2 * PACE)
    new, other = await replace_endpoint(case, old)
    await asyncio.sleep(1.0)
    heard = await hand_in(case, courier, 2)
    await asyncio.sleep(TOLD_BEFORE - 1.0)
    if not runs_of([new], heard):
        raise CaseError("the courier has not heard of the change")
    if TROUBLE:
        await start_new_version(case, courier)
    messages = [await hand_in(case, courier, 3 + number) for number in range(QUEUE)]
    if TROUBLE:
        await courier.wait_admin_ready()
        courier.signal(signal.SIGTERM, 0)
    await asyncio.sleep(QUEUE * (PACE + 0.2) + 2.0)
    if not all(runs_of([new], message) for message in messages):
        raise CaseError("not all messages have come to their destination by now")
    wrong = f"for destination {DESTINATION} was sent to an endpoint of destination {other.block}"
    return [f"{call.ids[0]} {wrong} at {call.at:.3f} s" for call in other.calls]


main(__file__, play)
