"""A partner hangs for 18.9 s; two of three couriers are killed in it, and come back as it does, cold."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any, Final

from cold_partner_2 import ColdPartner, ColdRules, Traffic, judge, stream
from stand_ins_2 import BROKEN, HELD, NS, Case, Client, Endpoint, kenanga_settings, run_case

RULES: Final = ColdRules(start=0.23, cold_s=11.5, multiple=2.0, window_s=2.0)
CAPACITY: Final = 3.4
LISTED_RATE: Final = 2.7
WARM_S: Final = 10.0
HANG_S: Final = 18.9
DOWN_S: Final = 3.0
TAIL_S: Final = 12.0
TRAFFIC: Final = (Traffic("order-payment", 24.0, 7, 1.25), Traffic("order-payment", 24.0, 8, 0.5))


def settings(count: int, number: int) -> dict[str, Any]:
    """Return the site's settings; a partner is warm after 11.5 s (`cold_s = [11, 14]`)."""
    values = kenanga_settings(count, number)
    values["rules"]["cold_ns"] = int(RULES.cold_s * NS)
    return values


async def play(case: Case) -> int:
    """Play the case, and return the exit code."""
    partner = ColdPartner(CAPACITY, RULES)
    sick = Endpoint(case.record, "s-7", 7, "mid-host", LISTED_RATE)
    sick.behaviour = partner.answer
    well = Endpoint(case.record, "s-8", 8, "mid-host", 12.0)
    couriers = await case.add_couriers(3, [sick, well], settings)
    client = Client(case.record)
    tasks = [
        asyncio.create_task(stream(case, client, courier, traffic))
        for courier in couriers
        for traffic in TRAFFIC
    ]
    await asyncio.sleep(WARM_S)
    partner.is_hanging = True
    case.record.write("s-7 hangs")
    await asyncio.sleep(HANG_S - DOWN_S)
    if case.has_trouble:
        await case.kill(couriers[:2])
    await asyncio.sleep(DOWN_S)
    partner.come_back()
    case.record.write("s-7 is back, cold")
    if case.has_trouble:
        await case.restart(couriers[:2])
    await asyncio.sleep(TAIL_S)
    for task in tasks:
        task.cancel()
    return BROKEN if judge(case.record, partner, sick) else HELD


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
