"""Payments that must run once are called with again: their class was retuned, and their courier died."""

from __future__ import annotations

import asyncio
import copy
import signal
import sys
from pathlib import Path
from typing import Any, Final

from stand_ins_2 import (
    BROKEN,
    HELD,
    Case,
    Client,
    CouldNotRunError,
    Endpoint,
    Message,
    answer_at_once,
    never_answer,
    new_id,
    run_case,
    varazdin_settings,
)

SETTLE_S: Final = 6.0
PAYMENTS: Final = 6
OTHERS: Final = 18  # for a well partner: the silent one gets a quarter of the traffic
TIME_S: Final = 20.0
DOWN_S: Final = 5.0


def retuned(settings: dict[str, Any]) -> dict[str, Any]:
    """Return the settings with payments that are safe to repeat."""
    changed = copy.deepcopy(settings)
    for row in changed["request_classes"]:
        if row["name"] == "payment":
            row["idempotency"] = "repeatable"
    return changed


async def play(case: Case) -> int:
    """Play the case, and return the exit code."""
    partner = Endpoint(case.record, "s-7", 7, "national", 20.0)
    well = Endpoint(case.record, "s-8", 8, "national", 20.0)
    couriers = await case.add_fleet(3, [partner, well], varazdin_settings, "(copies 1)")
    client = Client(case.record)
    await asyncio.sleep(SETTLE_S)
    partner.behaviour = never_answer
    case.record.write("s-7 takes calls and answers none")
    payments = [
        await client.submit(couriers[1], Message(new_id(), "payment", 7, TIME_S)) for _ in range(PAYMENTS)
    ]
    if not all(payment.is_taken for payment in payments):
        raise CouldNotRunError("the courier did not take the payments")
    for number in range(OTHERS):
        await client.submit(couriers[number % 3], Message(new_id(), "status-notice", 8, 16.0))
    await asyncio.sleep(1.0)
    for courier in couriers:
        courier.settings = retuned(courier.settings)
        courier.write_config()
        courier.signal(signal.SIGHUP)
    await asyncio.sleep(2.5)
    if case.has_trouble:
        await case.kill([couriers[1]])
        await asyncio.sleep(DOWN_S)
        await case.restart([couriers[1]])
    else:
        await asyncio.sleep(DOWN_S)
    partner.behaviour = answer_at_once
    case.record.write("s-7 answers again")
    await asyncio.sleep(16.0)
    doubled = 0
    for payment in payments:
        calls = [call for call in partner.calls if payment.id in call.ids]
        case.record.write(f"{payment.id}: {[(call.source, call.outcome) for call in calls]}")
        doubled += len(calls) > 1
    case.record.write(f"{doubled} of {PAYMENTS} payments were called with again, though they may have run")
    return BROKEN if doubled else HELD


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
