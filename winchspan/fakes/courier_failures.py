"""Failures of couriers in a fleet under load, audited from the observations of clients and endpoints.

`simulate_failures` runs a scenario in virtual time. `run_failures_on_processes` runs it on real processes,
with a relay between each pair of them.
"""

from __future__ import annotations

import asyncio
import random
import re
import threading
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Final, Protocol

from winchspan.fakes.client_load import DEPOSIT, MESSAGE_CLASSES, PAYMENT, AcceptedMessage, ClientLoad
from winchspan.fakes.fleet import Fleet, ProcessFleetOptions
from winchspan.fakes.recording_endpoints import RecordingEndpoints, ThreadedRecordingEndpoints
from winchspan.simulation.cluster import EmulatedFleet, FleetOptions
from winchspan.simulation.link import LinkProfile

DEDUPLICATION_WINDOW_SECONDS: Final = 10.0  # of payments at their endpoints, from the first delivery
DESTINATION_COUNT: Final = 6
SERVICE_SECONDS: Final = 0.2  # duration of a call
ENDPOINT_CALLS_PER_SECOND: Final = 200.0
QUICK_RESTART_SECONDS: Final = 0.6  # from a kill to a restart that precedes the failure detection
DRAIN_SECONDS: Final = 30.0  # time limit for the final answers of all accepted messages
CLIENTS_TIMEOUT_SECONDS: Final = 60.0


class FailureKind(StrEnum):
    """How a courier fails."""

    KILL = "kill"
    LOSE_DATA = "lose"  # killed, and its data directory deleted
    FREEZE = "freeze"
    QUICK_RESTART = "blink"
    CUT_OUTGOING = "mute"
    CUT_INCOMING = "deaf"
    CUT_BOTH = "alone"


@dataclass(frozen=True, slots=True)
class FailureScenario:
    """Parameters of a run with failures of couriers under load.

    Attributes:
        directory: holds all files of the couriers.
        courier_count: size of the fleet.
        failure_count: number of rounds of failures.
        seed: of all random numbers.
        replica_count: replicas of each journal, and the maximum number of couriers that fail at once.
        messages_per_second: rate at which clients submit messages.
        hands_over: whether a courier hands its messages over when it shuts down; for processes only.
    """

    directory: Path
    courier_count: int
    failure_count: int
    seed: int
    replica_count: int = 1
    messages_per_second: float = 30.0
    hands_over: bool = False


@dataclass(frozen=True, slots=True)
class DeliveryAudit:
    """The outcome of the accepted messages, as clients and endpoints observed it.

    Attributes:
        lost: messages that were answered `+OK`, but neither delivered nor notified.
        delivered_after_notification: ids of messages that were delivered after their notification.
        concurrent: ids of messages that were in two calls at the same time.
        repeated: tokens of payments that were executed again after their deduplication window, and of
            deposits that were executed again at all.
        redelivered_count: messages that were delivered more than once, which their class may allow.
    """

    lost: list[AcceptedMessage]
    delivered_after_notification: list[str]
    concurrent: list[str]
    repeated: list[str]
    redelivered_count: int

    @property
    def violations(self) -> dict[str, list[str]]:
        """Violating messages, ids or tokens, by rule; empty if all rules hold."""
        rules = {
            "lost": [str(message) for message in self.lost],
            "delivered after a notification": self.delivered_after_notification,
            "concurrent": self.concurrent,
            "repeated": self.repeated,
        }
        return {rule: violations for rule, violations in rules.items() if violations}


@dataclass(frozen=True, slots=True)
class FailureReport:
    """The result of a run with failures."""

    failure_counts: Counter[str]  # injected failures, by kind
    accepted_count: int
    audit: DeliveryAudit
    taken_over_count: int  # messages that another courier took over
    rejected_count: int
    duration_seconds: float


class FailingFleet(Protocol):
    """A fleet into whose couriers failures can be injected."""

    @property
    def names(self) -> list[str]:
        """Return the names of all couriers."""

    def execute_action(self, action: str, name: str) -> None:
        """Execute one of `faults.ACTIONS` on a courier, except for the isolations."""

    def cut(self, source: str, target: str) -> None:
        """Drop all traffic in one direction of the link between two couriers."""

    def heal(self) -> None:
        """Restore all links."""

    def are_all_alive(self) -> bool:
        """Return whether all couriers run, and each sees all others as alive."""

    def run(self, seconds: float) -> None:
        """Run the fleet for some time."""

    def wait_until(self, description: str, condition: Callable[[], bool]) -> float:
        """Run the fleet until a condition holds; return how long that took, in seconds."""


def audit_deliveries(endpoints: RecordingEndpoints, load: ClientLoad) -> DeliveryAudit:
    """Audit the calls and notifications for the accepted messages, as their receivers recorded them."""
    return DeliveryAudit(
        lost=[
            message
            for message_id, message in load.accepted.items()
            if not endpoints.has_final_answer(message_id)
        ],
        # The protocol allows a notification for a message that was delivered before.
        delivered_after_notification=endpoints.delivered_after_notification(load.accepted),
        concurrent=list(endpoints.concurrent_message_ids),
        repeated=_repeated_tokens(endpoints, load),
        redelivered_count=sum(endpoints.delivery_counts[message_id] > 1 for message_id in load.accepted),
    )


def _repeated_tokens(endpoints: RecordingEndpoints, load: ClientLoad) -> list[str]:
    class_names = {message.token: message.class_name for message in load.accepted.values()}
    first_starts: dict[str, float] = {}
    repeated: list[str] = []
    for started_at, _, token in endpoints.delivery_starts:
        first_started_at = first_starts.get(token)
        if first_started_at is None:
            first_starts[token] = started_at
            continue
        class_name = class_names.get(token)
        is_window_over = started_at > first_started_at + DEDUPLICATION_WINDOW_SECONDS
        if class_name == DEPOSIT or (class_name == PAYMENT and is_window_over):
            repeated.append(token)
    return repeated


def make_emulated_fleet(
    directory: Path, courier_count: int, seed: int, section_options: str
) -> EmulatedFleet:
    """Create a fleet in virtual time without health checks, with the message classes of `ClientLoad`."""
    options = FleetOptions(
        endpoint_count=DESTINATION_COUNT,
        check_interval_seconds=0.0,
        link=LinkProfile(latency_ms=0.3, mean_jitter_ms=0.5),
        fleet_section_options=section_options,
        settings_changes={"classes": MESSAGE_CLASSES},
    )
    return EmulatedFleet(directory, courier_count, seed, options)


def simulate_failures(scenario: FailureScenario) -> FailureReport:
    """Inject random failures into a fleet under load, in virtual time."""
    section_options = f"(copies {scenario.replica_count})"
    fleet = make_emulated_fleet(scenario.directory, scenario.courier_count, scenario.seed, section_options)
    try:
        fleet.endpoints.service_seconds = SERVICE_SECONDS
        fleet.start()
        fleet.wait_until(
            "all accept messages",
            lambda: all(member.metrics().get("fleet.copies.mine") for member in fleet.members.values()),
        )
        fleet.run(3.0)
        load = _make_load(scenario, fleet.ports, fleet.now)
        clients = fleet.loop.create_task(load.run())
        started_at = fleet.now()
        failure_counts = inject_failures(fleet, scenario)
        load.stop()
        fleet.wait_until("all clients have ended", clients.done)
        fleet.run(DRAIN_SECONDS)
        return FailureReport(
            failure_counts,
            len(load.accepted),
            audit_deliveries(fleet.endpoints, load),
            sum(
                member.metrics().get("fleet.copies.messages_taken_over", 0)
                for member in fleet.members.values()
            ),
            load.rejected_count,
            fleet.now() - started_at,
        )
    finally:
        fleet.close()


def run_failures_on_processes(scenario: FailureScenario) -> FailureReport:
    """Run the scenario on one process per courier, with a relay between each pair."""
    endpoints = ThreadedRecordingEndpoints(DESTINATION_COUNT, ENDPOINT_CALLS_PER_SECOND)
    endpoints.service_seconds = SERVICE_SECONDS
    fleet = _make_fleet(scenario, endpoints)
    ports = {name: courier.client_port for name, courier in fleet.couriers.items()}
    load = _make_load(scenario, ports, fleet.now)
    clients = threading.Thread(target=lambda: asyncio.run(load.run()))
    try:
        fleet.start()
        fleet.wait_until(
            "all accept messages",
            lambda: all(
                courier.read_metrics().get("fleet.copies.mine") for courier in fleet.couriers.values()
            ),
        )
        fleet.run(1.0)
        clients.start()
        started_at = fleet.now()
        failure_counts = inject_failures(fleet, scenario)
        load.stop()
        clients.join(CLIENTS_TIMEOUT_SECONDS)
        drained_by = fleet.now() + DRAIN_SECONDS
        while fleet.now() < drained_by and audit_deliveries(endpoints, load).lost:
            fleet.run(0.5)
        return FailureReport(
            failure_counts,
            len(load.accepted),
            audit_deliveries(endpoints, load),
            _logged_takeover_count(fleet),
            load.rejected_count,
            fleet.now() - started_at,
        )
    finally:
        load.stop()
        fleet.stop()
        endpoints.close()


def _make_load(scenario: FailureScenario, ports: dict[str, int], clock: Callable[[], float]) -> ClientLoad:
    return ClientLoad(ports, scenario.messages_per_second, DESTINATION_COUNT, clock, scenario.seed)


def _make_fleet(scenario: FailureScenario, endpoints: ThreadedRecordingEndpoints) -> Fleet:
    hand_over = " (hand-over yes)" if scenario.hands_over else ""
    options = ProcessFleetOptions(
        f"(copies {scenario.replica_count}){hand_over}",
        has_relay=True,
        seed=scenario.seed,
        discovery_port=endpoints.agent_port,
        known_endpoints=endpoints.endpoint_list(),
        settings_changes={"classes": MESSAGE_CLASSES},
    )
    return Fleet(scenario.directory, scenario.courier_count, options)


def _logged_takeover_count(fleet: Fleet) -> int:
    """Return how many messages were taken over, read from the logs: metrics are lost with their process."""
    return sum(
        int(message_count)
        for courier in fleet.couriers.values()
        for message_count in re.findall(r"takeover: completed, (\d+) messages", courier.read_log())
    )


def inject_failures(fleet: FailingFleet, scenario: FailureScenario) -> Counter[str]:
    """Inject failures in rounds, and wait after each round until all couriers have recovered.

    Returns:
        The number of injected failures, by kind.
    """
    rng = random.Random(scenario.seed)
    counts: Counter[str] = Counter()
    for _ in range(scenario.failure_count):
        failing_names = rng.sample(fleet.names, rng.randint(1, scenario.replica_count))
        failures = {name: rng.choice(list(FailureKind)) for name in failing_names}
        counts.update(kind.value for kind in failures.values())
        fleet.run(rng.uniform(0.5, 2.0))
        inject_failure_round(fleet, failures, rng)
        fleet.wait_until("all couriers have recovered", fleet.are_all_alive)
        fleet.run(rng.uniform(0.5, 3.0))
    return counts


def inject_failure_round(fleet: FailingFleet, failures: dict[str, FailureKind], rng: random.Random) -> None:
    """Inject one failure into each of some couriers at the same time, and end the failures later."""
    for name, kind in failures.items():
        _inject_failure(fleet, name, kind)
    is_quick = FailureKind.QUICK_RESTART in failures.values()
    fleet.run(QUICK_RESTART_SECONDS if is_quick else rng.uniform(0.3, 8.0))
    fleet.heal()
    for name in failures:
        fleet.execute_action("thaw", name)
        fleet.execute_action("start", name)


def _inject_failure(fleet: FailingFleet, name: str, kind: FailureKind) -> None:
    match kind:
        case FailureKind.KILL | FailureKind.LOSE_DATA | FailureKind.FREEZE:
            fleet.execute_action(kind.value, name)
        case FailureKind.QUICK_RESTART:
            fleet.execute_action("kill", name)
        case _:
            for other in fleet.names:
                if other != name and kind is not FailureKind.CUT_INCOMING:
                    fleet.cut(name, other)
                if other != name and kind is not FailureKind.CUT_OUTGOING:
                    fleet.cut(other, name)
