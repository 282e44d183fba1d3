"""SIGHUP makes a class repeatable; a payment that was open then, and may have run, is sent again."""

from __future__ import annotations

import asyncio
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
    copy_of_program,
    main,
    message_class,
    ok_answer,
    response,
    runs_of,
    settings,
)

DESTINATION = 7
MESSAGE = "9b1f03aa5c7e2d41"
# The sections of deploy/kenanga.sexp; undelivered messages are on, with one rule.
OPERATOR_FILE = """
(storms (on yes) (least-part 2) (pace-calm no) (words no))
(undelivered (on yes) (folder "{folder}"))
(resend "payments" (classes payment) (ran never may) (after 1) (rate 2))
(control (on no))
(fleet (on no))
"""
SLOW = 1.5  # s until the endpoint answers the payment with an error: it may have taken effect


async def play(case: Case) -> list[str]:
    """Return what was broken."""

    async def answer(call: Call) -> bytes:
        if MESSAGE in call.ids and len(runs_of(case.endpoints, MESSAGE)) == 1:
            await asyncio.sleep(SLOW)
            return response(500)
        return ok_answer(call)

    endpoint = await case.endpoint("s-1", DESTINATION, answer)
    kept = case.folder / "kept"
    kept.mkdir()
    courier = case.courier(settings([message_class("payment", "once")]))
    operator_file = OPERATOR_FILE.format(folder=kept)
    courier.root = copy_of_program(case.folder / "program", operator_file)
    courier.write_config()
    courier.start()
    await courier.wait_ready()
    await asyncio.sleep(1.1)  # SIGHUP does not come in the first second
    client = await Client(case.record, courier.port).open()
    if not (await client.hand_in(MESSAGE, "payment", DESTINATION)).startswith(b"+OK"):
        raise CaseError("the payment was not taken on")
    await asyncio.sleep(0.3)
    if TROUBLE:
        courier.values = settings([message_class("payment", "repeatable")])
        courier.write_config()
        courier.signal(signal.SIGHUP)
    await asyncio.sleep(8.0)
    if not any(message == MESSAGE and state == "failed" for _, message, state in case.platform.notices):
        raise CaseError("the payment was not given up as failed")
    first, *later = runs_of([endpoint], MESSAGE)
    return [
        f"payment {MESSAGE} may have run at {first.at:.3f} s, and was sent again at {call.at:.3f} s"
        for call in later
    ]


main(__file__, play)
