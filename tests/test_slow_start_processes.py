"""The slow start of a destination, counted over a fleet of real processes.

Guards against overloading a destination of several endpoints after an outage by the sum of some 200 couriers,
each of which sends little. Each courier judged each endpoint separately. An endpoint at which it had seen no
failed call counted as healthy and got all held messages. Each of the others had its own slow start, with a
rate for the demand on the whole destination.

With 150 couriers that get half a message a second each, six endpoints and a hang of 8 s, the destination got
248 calls in the worst 2 s and tolerates 179. 242 of them came from couriers that had seen a call fail. The
log of a courier shows a separate state for each endpoint:

    endpoint 2 of destination 3 considered unhealthy after 2 failures in 2.2 s: trials only
    endpoint 3 of destination 3 considered unhealthy after 2 failures in 4.8 s: trials only
    endpoint 3 of destination 3 responds again after 3 failures in 10.1 s: slow start with 0.58 calls/s
"""

from __future__ import annotations

import asyncio
from pathlib import Path

from .slow_start_processes import Fault, ProcessFleet, run_process_fleet, worst_overload


# Guards against couriers that all send their held messages as soon as the new endpoint is listed.
def test_replaced_endpoint_gets_no_more_than_the_budget_from_many_processes(tmp_path: Path):
    fleet = ProcessFleet(couriers=150, endpoints=1, fault=Fault.REPLACED)
    destination = asyncio.run(run_process_fleet(fleet, tmp_path, seed=1))
    overload = worst_overload(fleet, destination.arrivals)
    assert len(destination.arrivals) > overload.budget / 4, "too few calls are sent to the new endpoint"
    assert not overload.breaks_rule, overload


def test_destination_returning_to_many_processes_gets_no_more_than_its_budget(tmp_path: Path):
    fleet = ProcessFleet(couriers=150, endpoints=6)
    destination = asyncio.run(run_process_fleet(fleet, tmp_path, seed=1))
    overload = worst_overload(fleet, destination.arrivals)
    assert len(destination.aware_couriers) > fleet.couriers / 2, "too few couriers are aware of the outage"
    assert len(destination.arrivals) > overload.budget / 4, "too few calls are sent after the outage"
    assert not overload.breaks_rule, overload
