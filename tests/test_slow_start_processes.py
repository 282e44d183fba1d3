"""The slow start of a destination, counted over a fleet of real processes.

A destination of several endpoints came back from an outage and was pushed over by the sum of some two
hundred couriers, each of which sent little. Each courier judged each endpoint by itself. It had seen one
or two calls fail at some of the endpoints and none at the others, held those others to be healthy, and
sent them all that it had held back; every endpoint that it did hold back had a slow start of its own,
for the demand of the whole destination. What was small in one courier was too much in all.

What settled it, with 150 couriers that are handed half a message a second each, six endpoints and a hang
of 8 s: in the worst 2 s there were 248 calls where the destination bears 179, and 242 of them came from
couriers that had seen a call fail. A courier's log shows one endpoint after another in a state of its
own:

    endpoint 2 of destination 3 taken for sick after 2 failures in 2.2 s: trials only
    endpoint 3 of destination 3 taken for sick after 2 failures in 4.8 s: trials only
    endpoint 3 of destination 3 answers again after 3 failures in 10.1 s: slow start with 0.58 calls/s
"""

from __future__ import annotations

import asyncio
from pathlib import Path

from .slow_start_processes import Fault, ProcessFleet, play_process_fleet, worst_overload


# Guards against couriers that send what has waited to a new endpoint, when all are told of it at one moment.
def test_replaced_endpoint_gets_no_more_than_the_budget_from_many_processes(tmp_path: Path):
    fleet = ProcessFleet(couriers=150, endpoints=1, fault=Fault.REPLACED)
    destination = asyncio.run(play_process_fleet(fleet, tmp_path, seed=1))
    overload = worst_overload(fleet, destination.arrivals)
    assert len(destination.arrivals) > overload.budget / 4, "hardly anything is sent to the new endpoint"
    assert not overload.breaks_rule, overload


def test_destination_returning_to_many_processes_gets_no_more_than_its_budget(tmp_path: Path):
    fleet = ProcessFleet(couriers=150, endpoints=6)
    destination = asyncio.run(play_process_fleet(fleet, tmp_path, seed=1))
    overload = worst_overload(fleet, destination.arrivals)
    assert len(destination.told) > fleet.couriers / 2, "the outage was hardly noticed"
    assert len(destination.arrivals) > overload.budget / 4, "hardly anything is sent after the return"
    assert not overload.breaks_rule, overload
