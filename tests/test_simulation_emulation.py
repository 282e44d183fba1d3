"""Emulations: unchanged couriers in virtual time follow the rules during faults and operators' actions."""

from __future__ import annotations

import os
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest

from winchspan.dead_letters.filters import DeadLetterFilter
from winchspan.dead_letters.records import DeadLetter, DeadLetterState
from winchspan.dead_letters.store import STORE_FILE_NAME, DeadLetterStore
from winchspan.dead_letters.store_eviction import StoreBounds
from winchspan.fakes.partner import Outage, OutageMode, PartnerSettings
from winchspan.fakes.scenario import Scenario, storm_scenario
from winchspan.runtime.timers import TimerQueue
from winchspan.simulation.audit.rules import Rule
from winchspan.simulation.emulated_courier import EmulationError
from winchspan.simulation.emulation import Emulation, EmulationResult
from winchspan.simulation.environment import Environment, FaultKind, InjectedFault
from winchspan.simulation.link import LinkProfile

ROOT = Path(__file__).parent.parent


# ---- faults ----------------------------------------------------------------------------------------------
def play(
    folder: Path,
    environment: Environment | None = None,
    *,
    seed: int = 3,
    duration_ms: float = 20_000.0,
) -> EmulationResult:
    scenario = storm_scenario(0.7, partner=PartnerSettings(), duration_ms=duration_ms)
    emulation_result = Emulation(scenario, seed, folder, environment=environment).play()
    result = emulation_result.result
    assert (result.early, result.double, result.unended, result.falls) == (0, 0, 0, 0)
    return emulation_result


PLAY_SCRIPT = """
import sys
from pathlib import Path
sys.path.insert(0, sys.argv[1])
from loguru import logger
from tests.test_simulation_emulation import Environment, FaultKind, InjectedFault, LinkProfile, play
logger.remove()
faults = (
    InjectedFault(3_000.0, FaultKind.POWER_LOSS, "n0", duration_ms=1_000.0),
    InjectedFault(6_000.0, FaultKind.RESET_CONNECTIONS, "n1"),
    InjectedFault(7_000.0, FaultKind.RESTART, "n2", duration_ms=300.0),
)
environment = Environment(LinkProfile(1.0, 3.0), is_fragmenting=True, faults=faults)
played = play(Path(sys.argv[2]), environment, duration_ms=9_000.0)
print(played.trace_hash, played.event_count)
"""


def test_emulation_with_the_same_seed_in_another_process_is_the_same_to_the_byte(tmp_path: Path):
    outputs = []
    for number, hash_seed in enumerate(("1", "77")):
        (tmp_path / str(number)).mkdir()
        command = [sys.executable, "-c", PLAY_SCRIPT, str(ROOT), str(tmp_path / str(number))]
        process = subprocess.run(
            command,
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
            capture_output=True,
            text=True,
            check=True,
            timeout=120,
        )
        outputs.append(process.stdout)
    assert outputs[0] == outputs[1]
    assert len(outputs[0]) > 64


DEAD_LETTERS_ON = """(undelivered (on yes) (folder "@state@"))
(resend "at once" (ran never may) (after 0) (before 31536000) (rate 1000) (backoff 0) (most 9))"""


def test_emulation_with_dead_letters_and_kills_redelivers_without_loss_or_duplicate(tmp_path: Path):
    (tmp_path / "kept.sexp").write_text(DEAD_LETTERS_ON)
    partner = PartnerSettings(outages=(Outage(2_000.0, 9_000.0, OutageMode.REFUSING),), cold=2_000.0)
    streams = tuple(replace(s, tries=1) for s in storm_scenario(0.8, duration_ms=12_000.0).streams)
    kills = tuple((1_500.0 + 1_303.0 * n, n % 2) for n in range(12))
    scenario = Scenario(
        (partner, PartnerSettings(number=8)), streams, 2, duration_ms=30_000.0, restarts=kills
    )
    environment = Environment(LinkProfile(0.5, 1.0), is_fragmenting=True)
    emulation = Emulation(scenario, 4, tmp_path, tmp_path / "kept.sexp", environment)
    emulation_result = emulation.play()
    dead_letters: list[DeadLetter] = []
    for folder in emulation.data_directories():
        store = DeadLetterStore(folder / STORE_FILE_NAME, StoreBounds(), read_only=True)
        dead_letters += store.find(DeadLetterFilter(), 100_000)
        store.close()
    assert emulation.clients is not None
    ended = {message.id for message in emulation.clients.messages if message.final_state}
    assert len(ended) > 30
    assert ended <= {letter.id for letter in dead_letters}
    assert sum(letter.state is DeadLetterState.DELIVERED for letter in dead_letters) > 20
    assert (emulation_result.result.double, emulation_result.result.twice) == (0, 0)
    assert (emulation_result.violation_counts[Rule.COPY], emulation_result.violation_counts[Rule.REPEAT]) == (
        0,
        0,
    )


def test_emulation_with_a_control_socket_raises_emulation_error(tmp_path: Path):
    (tmp_path / "x.sexp").write_text('(control (on yes) (socket "@state@/s"))')
    with pytest.raises(EmulationError, match=r"control\.on"):
        Emulation(storm_scenario(), 1, tmp_path, tmp_path / "x.sexp").play()


def test_emulation_with_another_seed_is_another_run(tmp_path: Path):
    for name in "ab":
        (tmp_path / name).mkdir()
    first = play(tmp_path / "a", seed=3, duration_ms=5_000.0)
    second = play(tmp_path / "b", seed=4, duration_ms=5_000.0)
    assert first.trace_hash != second.trace_hash


@pytest.mark.parametrize(
    ("min_worth", "faults"),
    [
        (0.95, (InjectedFault(5_000.0, FaultKind.PARTITION, "n0", "partner 7", 4_000.0),)),
        (
            0.95,
            (
                InjectedFault(5_000.0, FaultKind.PARTITION, "outside", "n1", 1_000.0),
                InjectedFault(8_000.0, FaultKind.PARTITION, "n1", "outside", 1_000.0),
            ),
        ),
        (
            0.90,
            (
                InjectedFault(5_000.0, FaultKind.POWER_LOSS, "n0", duration_ms=2_000.0),
                InjectedFault(5_500.0, FaultKind.POWER_LOSS, "n1", duration_ms=500.0),
            ),
        ),
        (
            0.95,
            tuple(
                InjectedFault(3_000.0 + 300.0 * n, FaultKind.RESET_CONNECTIONS, f"n{n % 3}", "partner 7")
                for n in range(40)
            ),
        ),
        (
            0.90,
            tuple(
                InjectedFault(3_000.0 + 500.0 * n, FaultKind.RESET_CONNECTIONS, f"n{n % 3}")
                for n in range(20)
            ),
        ),
        (
            0.90,
            (
                InjectedFault(5_000.0, FaultKind.RESTART, "n0", duration_ms=500.0),
                InjectedFault(12_000.0, FaultKind.RESTART, "n1", duration_ms=500.0),
            ),
        ),
        (
            0.50,
            (
                InjectedFault(5_000.0, FaultKind.DISK_FULL, "n0", duration_ms=4_000.0),
                InjectedFault(12_000.0, FaultKind.DISK_FULL, "n1", duration_ms=1_000.0),
                InjectedFault(12_500.0, FaultKind.POWER_LOSS, "n1", duration_ms=500.0),
            ),
        ),
        (0.95, tuple(InjectedFault(3_000.0 + 500.0 * n, FaultKind.RELOAD, f"n{n % 3}") for n in range(20))),
        (
            0.90,
            (
                InjectedFault(5_000.0, FaultKind.WALL_TIME_STEP, "n0", duration_ms=-3.6e6),
                InjectedFault(6_000.0, FaultKind.RESTART, "n0", duration_ms=500.0),
            ),
        ),
        (
            0.90,
            (
                InjectedFault(5_000.0, FaultKind.WALL_TIME_STEP, "n0", duration_ms=3.6e6),
                InjectedFault(6_000.0, FaultKind.RESTART, "n0", duration_ms=500.0),
            ),
        ),
    ],
)
def test_emulation_with_faults_delivers_by_the_rules(
    tmp_path: Path, min_worth: float, faults: tuple[InjectedFault, ...]
):
    result = play(tmp_path, Environment(faults=faults)).result
    assert result.twice == 0
    assert result.worth > min_worth


def test_emulation_with_fragmented_reads_and_writes_delivers_by_the_rules(tmp_path: Path):
    environment = Environment(LinkProfile(0.3, 0.5), is_fragmenting=True, clock_drifts=(0.01, -0.01))
    result = play(tmp_path, environment).result
    assert result.twice == 0
    assert result.worth > 0.95


def test_courier_that_gets_sigterm_ends_within_its_time(tmp_path: Path):
    emulation = Emulation(
        storm_scenario(0.7, partner=PartnerSettings(), duration_ms=8_000.0),
        3,
        tmp_path,
        environment=Environment(faults=(InjectedFault(4_000.0, FaultKind.RESTART, "n1", duration_ms=1e9),)),
    )
    running_for_ms: list[float] = []
    schedule_faults = emulation.on_run_started

    def schedule_checks(timers: TimerQueue, begin_ms: float) -> None:
        schedule_faults(timers, begin_ms)
        sigterm_ms = begin_ms + 4_000.0

        def check() -> None:
            if emulation._couriers[1].machine.is_running:
                running_for_ms.append(emulation.clock().now() - sigterm_ms)

        for delay_ms in range(0, 4_000, 50):
            timers.call_at(sigterm_ms + delay_ms, check)

    emulation.on_run_started = schedule_checks  # type: ignore[method-assign]
    emulation.play()
    assert 700.0 < max(running_for_ms) <= 3_700.0


# ---- operators -------------------------------------------------------------------------------------------
OPERATORS_ACTIONS = {
    "upgrades": tuple(InjectedFault(2_000.0 + 700.0 * n, FaultKind.UPGRADE, f"n{n % 3}") for n in range(24)),
    "upgrades that are killed": tuple(
        InjectedFault(2_000.0 + 700.0 * n + delay_ms, kind, f"n{n % 3}", duration_ms=400.0)
        for n in range(24)
        for kind, delay_ms in ((FaultKind.UPGRADE, 0.0), (FaultKind.POWER_LOSS, 4.0 * (n % 8)))
    ),
    "upgrades that are killed later": tuple(
        InjectedFault(2_000.0 + 700.0 * n + delay_ms, kind, f"n{n % 3}", duration_ms=400.0)
        for n in range(24)
        for kind, delay_ms in ((FaultKind.UPGRADE, 0.0), (FaultKind.POWER_LOSS, 5.0 * (n % 8)))
    ),
    "upgrades of couriers that restart": tuple(
        InjectedFault(2_000.0 + 1_500.0 * n + delay_ms, kind, f"n{n % 3}", duration_ms=400.0)
        for n in range(10)
        for kind, delay_ms in ((FaultKind.UPGRADE, 0.0), (FaultKind.RESTART, 3.0 * n))
    ),
    "upgrades on a full disk": tuple(
        InjectedFault(2_000.0 + 1_500.0 * n + delay_ms, kind, f"n{n % 3}", duration_ms=300.0)
        for n in range(10)
        for kind, delay_ms in ((FaultKind.DISK_FULL, 0.0), (FaultKind.UPGRADE, 50.0))
    ),
    "drains": tuple(
        InjectedFault(2_000.0 + 2_000.0 * n + delay_ms, kind, f"n{n % 3}", duration_ms=1_500.0)
        for n in range(8)
        for kind, delay_ms in ((FaultKind.DRAIN, 0.0), (FaultKind.UPGRADE, 600.0))
    ),
    "offline": tuple(
        InjectedFault(2_000.0 + 1_500.0 * n + delay_ms, kind, f"n{n % 3}", "partner 7", 1_000.0)
        for n in range(10)
        for kind, delay_ms in ((FaultKind.ENDPOINT_OFFLINE, 0.0), (FaultKind.UPGRADE, 90.0))
    ),
    "offline and killed": tuple(
        InjectedFault(2_000.0 + 1_500.0 * n + delay_ms, kind, f"n{n % 3}", "partner 7", 900.0)
        for n in range(10)
        for kind, delay_ms in ((FaultKind.ENDPOINT_OFFLINE, 0.0), (FaultKind.POWER_LOSS, 300.0))
    ),
    "reconfigured": tuple(
        InjectedFault(2_000.0 + 2_500.0 * n + delay_ms, kind, f"n{n % 3}", duration_ms=2_000.0)
        for n in range(7)
        for kind, delay_ms in (
            (FaultKind.RECONFIGURE, 0.0),
            (FaultKind.UPGRADE, 500.0),
            (FaultKind.RESTART, 900.0),
        )
    ),
}


@pytest.mark.parametrize("name", OPERATORS_ACTIONS)
def test_emulation_with_operators_actions_breaks_no_rule(tmp_path: Path, name: str):
    scenario = storm_scenario(0.7, partner=PartnerSettings(), duration_ms=20_000.0)
    environment = Environment(LinkProfile(1.0, 2.0), is_fragmenting=True, faults=OPERATORS_ACTIONS[name])
    emulation = Emulation(scenario, 5, tmp_path, environment=environment)
    emulation_result = emulation.play()
    result = emulation_result.result
    assert (result.early, result.double, result.unended, result.falls, result.twice) == (0, 0, 0, 0, 0)
    assert emulation_result.violations == []
    assert result.worth > {"offline": 0.3, "offline and killed": 0.3, "reconfigured": 0.7}.get(name, 0.85)
    upgrades = sum(courier.upgrade_count for courier in emulation._couriers)
    assert upgrades >= {"upgrades": 24, "offline and killed": 0}.get(name, 3)
    if name == "upgrades":
        assert emulation.auditor.call_count == emulation.auditor.accepted_count, "no call is made again"
