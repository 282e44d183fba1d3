"""Days of the emulator that are drawn by seed: waits in all kinds of responses, and upgrades of all kinds.

`python -m tests.test_drawn_days FIRST LAST` plays the days of more seeds.
"""

from __future__ import annotations

import random
import sys
import tempfile
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import msgspec
import pytest
from loguru import logger

from winchspan import api
from winchspan.delivery.engine import DeliveryEngine
from winchspan.fakes.clients import Stream
from winchspan.fakes.partner import Outage, OutageMode, PartnerSettings
from winchspan.fakes.platform import ENDPOINT_KIND, SECOND_NS
from winchspan.fakes.scenario import Scenario, storm_scenario
from winchspan.net.connection_pool import HttpConnectionPool
from winchspan.net.http_connection import HttpConnection
from winchspan.simulation import emulated_upgrade
from winchspan.simulation.audit.rules import Rule
from winchspan.simulation.emulation import Emulation
from winchspan.simulation.environment import (
    Environment,
    FaultKind,
    InjectedFault,
    courier_host,
    partner_host,
)
from winchspan.simulation.link import LinkProfile
from winchspan.upgrade.hand_over_source import HandOverSource
from winchspan.upgrade.state_machine import TRANSFER_TIMEOUT_MS

PARTNER = 7
DURATION_MS = 15_000.0
MESSAGES_PER_CALL = 5
UPGRADE_KINDS = (FaultKind.UPGRADE, FaultKind.UPGRADE_TO_OTHER_PROGRAM)
OUTAGE_MODES = (OutageMode.SILENT, OutageMode.HANGING, OutageMode.REFUSING)
UPGRADES_PER_COURIER = 3  # that fail
LONGEST_STALL_MS = 600.0  # of a new process that fails
BOOKING = api.MessageClass(
    "seat-booking",
    worth=2.0,
    latency_objective_ns=4 * SECOND_NS,
    deadline_ns=12 * SECOND_NS,
    late_worth=0.4,
    effect=api.Effect.ONCE,
    ordered=True,
)
LONGEST_SERIES_GAP_MS = 2_500.0  # between two upgrades of a series


def draw_day(seed: int) -> tuple[Scenario, Environment]:
    """Draw a day: a partner with an outage that asks for waits, and upgrades in series."""
    rng = random.Random(seed)
    begin = rng.uniform(1_000.0, 6_000.0)
    outage = Outage(begin, begin + rng.uniform(1_000.0, 6_000.0), rng.choice(OUTAGE_MODES))
    listed = rng.choice((6.0, 20.0, 60.0))
    partner = PartnerSettings(
        number=PARTNER,
        listed=listed,
        capacity=1.2 * listed,
        service=rng.choice((60.0, 200.0, 500.0)),
        outages=(outage,) if rng.random() < 0.7 else (),
        tells_wait=True,
    )
    kinds = {ENDPOINT_KIND: api.DestinationKind(False, rng.choice((1, MESSAGES_PER_CALL, MESSAGES_PER_CALL)))}
    scenario = storm_scenario(
        rng.choice((0.7, 1.1, 1.6)), partner=partner, duration_ms=DURATION_MS, changes={"kinds": kinds}
    )
    faults = [InjectedFault(0.0, FaultKind.BATCH_WAITS, partner_host(PARTNER), duration_ms=DURATION_MS)]
    for number in range(scenario.couriers):
        at_ms = rng.uniform(1_500.0, 8_000.0)
        for _ in range(rng.choice((0, 1, 3))):
            faults.append(InjectedFault(at_ms, rng.choice(UPGRADE_KINDS), courier_host(number)))
            at_ms += rng.uniform(300.0, LONGEST_SERIES_GAP_MS)
    faults.sort(key=lambda fault: fault.at_ms)
    link = LinkProfile(rng.choice((0.2, 5.0, 10.0)), rng.choice((0.0, 3.0)))
    return scenario, Environment(link, faults=tuple(faults))


def draw_day_of_ordered_messages(seed: int) -> tuple[Scenario, Environment]:
    """Draw a day with at-most-once messages of few keys, hanging endpoints, and other programs."""
    rng = random.Random(seed)
    begin = rng.uniform(1_000.0, 3_000.0)
    outage = Outage(begin, begin + rng.uniform(2_000.0, 6_000.0), OutageMode.HANGING)
    partner = PartnerSettings(number=PARTNER, listed=20.0, capacity=24.0, service=100.0, outages=(outage,))
    rate, key_count = rng.choice((4.0, 12.0)), rng.choice((3, 10))
    scenario = storm_scenario(
        partner=partner,
        streams=(
            Stream(BOOKING.name, PARTNER, rate, keys=key_count),
            Stream(BOOKING.name, 8, 3.0, keys=key_count),
        ),
        duration_ms=DURATION_MS,
        changes={"classes": {BOOKING.name: BOOKING}},
    )
    faults = [
        InjectedFault(
            begin + rng.uniform(0.0, 2_000.0), FaultKind.UPGRADE_TO_OTHER_PROGRAM, courier_host(number)
        )
        for number in range(scenario.couriers)
    ]
    faults.sort(key=lambda fault: fault.at_ms)
    return scenario, Environment(LinkProfile(0.2, 0.0), faults=tuple(faults))


def draw_day_of_failing_upgrades(seed: int) -> tuple[Scenario, Environment]:
    """Draw a day whose new processes stall and fail, so that the serving ones resume behind a freeze."""
    scenario, environment = draw_day(seed)
    rng = random.Random(seed)
    faults = [fault for fault in environment.faults if fault.kind not in UPGRADE_KINDS]
    for number in range(scenario.couriers):
        for _ in range(UPGRADES_PER_COURIER):
            at_ms, stall_ms = rng.uniform(1_500.0, 10_000.0), rng.uniform(50.0, LONGEST_STALL_MS)
            faults.append(
                InjectedFault(at_ms, FaultKind.FAILED_UPGRADE, courier_host(number), duration_ms=stall_ms)
            )
    faults.sort(key=lambda fault: fault.at_ms)
    return scenario, msgspec.structs.replace(environment, faults=tuple(faults))


def play_day(
    folder: Path, seed: int, draw: Callable[[int], tuple[Scenario, Environment]] = draw_day
) -> Counter[str]:
    """Play the day of a seed, and return the number of violations of each rule."""
    scenario, environment = draw(seed)
    played = Emulation(scenario, seed, folder, environment=environment).play()
    counts = Counter({str(rule): count for rule, count in played.violation_counts.items() if count})
    if played.result.unended:
        counts["unended"] = played.result.unended
    return counts


def do_nothing(*_arguments: object) -> None:
    """Take out a mend that is one method."""


_start_drain = HandOverSource.start_drain


def suspend_in_drain(self: HandOverSource, same_program: bool) -> None:
    """Suspend all decisions in a drain, and not attempts alone."""
    _start_drain(self, same_program)
    self._components.engine.set_suspended(True)


@pytest.mark.parametrize("seed", [1, 2, 6, 14, 16, 23, 24, 30, 47])
def test_drawn_day_breaks_no_rule(tmp_path: Path, seed: int):
    assert play_day(tmp_path, seed) == {}


@pytest.mark.parametrize("seed", [3, 4, 9])
def test_drawn_day_of_ordered_messages_breaks_no_rule(tmp_path: Path, seed: int):
    assert play_day(tmp_path, seed, draw_day_of_ordered_messages) == {}


@pytest.mark.parametrize("seed", [3, 5, 22])
def test_drawn_day_of_failing_upgrades_breaks_no_rule(tmp_path: Path, seed: int):
    assert play_day(tmp_path, seed, draw_day_of_failing_upgrades) == {}


class RemovedMend(NamedTuple):
    """A mend that is taken out, and a day on which its rule is broken then."""

    rule: Rule
    seed: int
    owner: object
    method: str
    replacement: Callable[..., object]
    draw: Callable[[int], tuple[Scenario, Environment]] = draw_day


REMOVED_MENDS = {
    "wait of a held response": RemovedMend(Rule.WAIT, 1, HttpConnectionPool, "report_head", do_nothing),
    "end in a drain": RemovedMend(Rule.END, 2, HandOverSource, "start_drain", suspend_in_drain),
    "wait over an upgrade": RemovedMend(Rule.WAIT, 14, HandOverSource, "_waits", lambda self: []),
    "end behind a held response": RemovedMend(
        Rule.END, 47, HttpConnection, "accept_held_response", do_nothing
    ),
    "rest of a key over an upgrade": RemovedMend(
        Rule.ORDER, 3, DeliveryEngine, "paused_keys", lambda self: [], draw_day_of_ordered_messages
    ),
    "result that is queued at a freeze": RemovedMend(
        Rule.ORDER, 4, DeliveryEngine, "decide_pending", do_nothing, draw_day_of_ordered_messages
    ),
    "end in a freeze": RemovedMend(
        Rule.END,
        3,
        emulated_upgrade,
        "transfer_timeout_ms",
        lambda _time_to_deadline_ms, failed_transfers: TRANSFER_TIMEOUT_MS,
        draw_day_of_failing_upgrades,
    ),
}


@pytest.mark.parametrize("mend", REMOVED_MENDS.values(), ids=REMOVED_MENDS.keys())
def test_drawn_day_finds_a_fault_whose_mend_is_taken_out(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, mend: RemovedMend
):
    monkeypatch.setattr(mend.owner, mend.method, mend.replacement)
    assert play_day(tmp_path, mend.seed, mend.draw)[mend.rule] > 0


def main(first: int, last: int) -> int:
    """Play the days of some seeds, each of all kinds; return the number of days that broke a rule."""
    logger.remove()
    broken_days = 0
    for seed in range(first, last + 1):
        for draw in (draw_day, draw_day_of_ordered_messages, draw_day_of_failing_upgrades):
            with tempfile.TemporaryDirectory() as folder:
                counts = play_day(Path(folder), seed, draw)
            broken_days += bool(counts)
            print(f"{draw.__name__}, seed {seed}: {dict(counts) or 'no rule broken'}", flush=True)
    return broken_days


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
