"""A route is silent for 15 s; while it warms up, two of three couriers are restarted by SIGKILL."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Final

from cold_partner_2 import ColdPartner, ColdRules, Traffic, judge, stream
from stand_ins_2 import BROKEN, HELD, Case, Client, Endpoint, run_case, varazdin_settings

RULES: Final = ColdRules(start=0.29, cold_s=13.0, multiple=1.5, window_s=1.5)
CAPACITY: Final = 4.0
LISTED_RATE: Final = 3.2
WARM_S: Final = 10.0
SILENT_S: Final = 15.0
COLD_S: Final = 1.0
DOWN_S: Final = 0.6
TAIL_S: Final = 12.0
TRAFFIC: Final = (Traffic("order-step", 20.0, 7, 1.25), Traffic("order-step", 20.0, 8, 0.45))


async def play(case: Case) -> int:
    """Play the case, and return the exit code."""
    partner = ColdPartner(CAPACITY, RULES)
    sick = Endpoint(case.record, "s-7", 7, "regional", LISTED_RATE)
    sick.behaviour = partner.answer
    well = Endpoint(case.record, "s-8", 8, "regional", 12.0)
    sick.site, well.site = "zgrada-a", "zgrada-b"
    couriers = await case.add_couriers(3, [sick, well], varazdin_settings)
    client = Client(case.record)
    tasks = [
        asyncio.create_task(stream(case, client, courier, traffic))
        for courier in couriers
        for traffic in TRAFFIC
    ]
    await asyncio.sleep(WARM_S)
    partner.is_hanging = True
    case.record.write("s-7 is silent")
    await asyncio.sleep(SILENT_S)
    partner.come_back()
    case.record.write("s-7 is back, cold")
    await asyncio.sleep(COLD_S)
    if case.has_trouble:
        await case.kill(couriers[:2])
        await asyncio.sleep(DOWN_S)
        await case.restart(couriers[:2])
    await asyncio.sleep(TAIL_S)
    for task in tasks:
        task.cancel()
    return BROKEN if judge(case.record, partner, sick) else HELD


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
