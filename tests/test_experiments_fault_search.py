"""The fault search: crashes are failures, and recorded failures are run again."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace
from pathlib import Path

import pytest
from msgspec.structs import replace as replace_struct

from tests.experiment_samples import base_point
from winchspan.application.adoption_gate import AdoptionGate
from winchspan.experiments.experiment_file import load_experiment
from winchspan.experiments.fault_search import run_trial
from winchspan.experiments.runner import run_point
from winchspan.net.http_connection import HttpConnection
from winchspan.runtime.poll_monitor import PollMonitor
from winchspan.simulation.environment import FaultKind, InjectedFault
from winchspan.storage.journal import Journal
from winchspan.upgrade.hand_over_source import HandOverSource

REGRESSIONS = sorted((Path(__file__).parent / "regressions").glob("*.sexp"))


def test_run_trial_of_a_point_that_crashes_is_a_failure():
    crashing = (InjectedFault(100.0, FaultKind.POWER_LOSS, "n9"),)
    point = replace(base_point(), environment=replace_struct(base_point().environment, faults=crashing))
    result = run_trial(point)
    assert result.is_failure and result.broken_rules[0].startswith("crash: EmulationError")


@pytest.mark.parametrize("path", REGRESSIONS, ids=lambda path: path.stem)
def test_run_point_of_a_recorded_failure_breaks_no_rule(path: Path):
    for point in load_experiment(path).points:
        assert run_point(point).breaches == []


def adopt_without_waiting(self: HttpConnection, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
    """Adopt a connection without waiting until the event loop watches it."""
    self._loop, self._connecting = loop, loop.create_task(self._adopt(loop, sock))


@pytest.mark.parametrize(
    ("failure", "rule", "owner", "method", "replacement"),
    [
        ("clock-set-back", "end", Journal, "anchor_clock", lambda self, clock: None),
        ("disk-full-for-a-moment", "end", Journal, "_append_or_defer", lambda self, data: self._append(data)),
        (
            "notice-told-again",
            "end",
            HandOverSource,
            "is_drained",  # drained although a notification is in flight
            lambda self: not self._undrained_calls() and not self._components.clients.untransferable_count(),
        ),
        ("given-up-when-taken-over", "copy", HttpConnection, "adopt", adopt_without_waiting),
        (
            "read-late-through-a-hang",
            "end",
            PollMonitor,
            "received_after",
            lambda self, unread, polls: float("inf"),
        ),
    ],
)
def test_run_trial_of_a_recorded_failure_fails_without_its_fix(
    monkeypatch: pytest.MonkeyPatch, failure: str, rule: str, owner: type, method: str, replacement: object
):
    monkeypatch.setattr(owner, method, replacement)
    if failure == "given-up-when-taken-over":  # the gate alone prevents it, too
        monkeypatch.setattr(AdoptionGate, "start", lambda gate: gate._on_open())
    (path,) = (path for path in REGRESSIONS if path.stem == failure)
    assert rule in run_trial(load_experiment(path).points[0]).broken_rules
