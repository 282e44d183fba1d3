"""The auditor: no violations of the unchanged courier; the violation of each courier that breaks a rule."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace
from pathlib import Path

import pytest

from winchspan.application.notifier import PlatformNotifier
from winchspan.config.platform import PlatformConfig
from winchspan.delivery.engine import DeliveryEngine
from winchspan.fakes.partner import Outage, OutageMode, PartnerSettings
from winchspan.fakes.scenario import Scenario, storm_scenario
from winchspan.net import attempt_transport as hooks
from winchspan.net import http, resp
from winchspan.net.attempt_transport import HttpAttemptTransport
from winchspan.net.endpoint_directory import EndpointDirectory
from winchspan.net.request_executor import RequestExecutor
from winchspan.simulation import emulated_application
from winchspan.simulation.audit.rules import RULES, Rule
from winchspan.simulation.emulation import Emulation, EmulationResult
from winchspan.simulation.environment import Environment, FaultKind, InjectedFault
from winchspan.simulation.link import LinkProfile

OUTAGE = Outage(3_000.0, 17_000.0, OutageMode.SILENT)


def adverse_scenario(changes: dict[str, object] | None = None) -> Scenario:
    """Return a scenario with an outage, announced waits, and a changed endpoint list.

    The partner accepts fewer calls than it lists, and is silent for 14 s.

    Args:
        changes: changes of the platform's settings.
    """
    partner = PartnerSettings(actual=14.0, tells_wait=True, outages=(OUTAGE,), cold=3_000.0)
    scenario = storm_scenario(0.9, 2, partner=partner, duration_ms=26_000.0)
    return replace(scenario, endpoint_replacements=((2_000.0, 7),), changes=changes or scenario.changes)


def play(
    folder: Path, scenario: Scenario | None = None, environment: Environment | None = None
) -> EmulationResult:
    return Emulation(scenario or adverse_scenario(), 5, folder, environment=environment).play()


@pytest.mark.parametrize(
    "environment",
    [
        Environment(),
        Environment(LinkProfile(1.0, 3.0), is_fragmenting=True),
        Environment(
            faults=tuple(
                InjectedFault(1_000.0 + 700.0 * n, FaultKind.RESET_CONNECTIONS, f"n{n % 2}")
                for n in range(30)
            )
        ),
        Environment(
            faults=(
                InjectedFault(5_000.0, FaultKind.POWER_LOSS, "n0", duration_ms=1_000.0),
                InjectedFault(19_000.0, FaultKind.RESTART, "n1", duration_ms=600.0),
            )
        ),
        Environment(
            faults=(
                InjectedFault(1_000.0, FaultKind.PARTITION, "n0", "partner 7", 900.0),
                InjectedFault(18_000.0, FaultKind.PARTITION, "partner 7", "n1", 3_000.0),
            )
        ),
    ],
)
def test_auditor_of_the_unchanged_courier_finds_no_violation(tmp_path: Path, environment: Environment):
    emulation_result = play(tmp_path, environment=environment)
    assert emulation_result.violations == []
    assert emulation_result.result.refusals > 5
    assert emulation_result.result.delivered > 200


# ---- couriers that break a rule --------------------------------------------------------------------------
def call_twice(patch: pytest.MonkeyPatch) -> None:
    start = HttpAttemptTransport.start

    def start_twice(self: HttpAttemptTransport, *args: object) -> object:
        start(self, *args[:-1], lambda verdicts: None)
        return start(self, *args)

    patch.setattr(HttpAttemptTransport, "start", start_twice)


def ignore_ordering_keys(patch: pytest.MonkeyPatch) -> None:
    accept = DeliveryEngine.accept
    patch.setattr(
        DeliveryEngine, "accept", lambda self, submitted: accept(self, replace(submitted, key=None))
    )


def ignore_deduplication_windows(patch: pytest.MonkeyPatch) -> None:
    load = emulated_application.load_platform_config

    def load_with_endless_windows(environ: Mapping[str, str], now_ms: float) -> PlatformConfig:
        config = load(environ, now_ms)
        classes = {
            name: replace(message_class, dedup_ns=10**12)
            for name, message_class in config.settings.classes.items()
        }
        return replace(config, settings=replace(config.settings, classes=classes))

    patch.setattr(emulated_application, "load_platform_config", load_with_endless_windows)


def ignore_removed_endpoints(patch: pytest.MonkeyPatch) -> None:
    apply = EndpointDirectory.apply
    patch.setattr(
        EndpointDirectory,
        "apply",
        lambda self, update, scope=None: apply(self, dict(update) | {"whole": False}),
    )


def ignore_waits(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(hooks, "_backoff_ms", lambda headers: 0.0)


def swap_destinations(patch: pytest.MonkeyPatch) -> None:
    read_endpoint = EndpointDirectory._read_endpoint

    def read_other_destination(self: EndpointDirectory, row: object) -> object:
        endpoint = read_endpoint(self, row)
        return replace(endpoint, destination=15 - endpoint.destination)

    patch.setattr(EndpointDirectory, "_read_endpoint", read_other_destination)


def change_bodies(patch: pytest.MonkeyPatch) -> None:
    encode_single = hooks._encode_single
    patch.setattr(
        hooks,
        "_encode_single",
        lambda parcels, *rest: encode_single(
            [replace(parcel, body=parcel.body + b"!") for parcel in parcels], *rest
        ),
    )


def exceed_retry_after(patch: pytest.MonkeyPatch) -> None:
    encode_error = resp.error_reply
    patch.setattr(resp, "error_reply", lambda text: encode_error(text.replace("BUSY ", "BUSY 9")))


def reply_twice(patch: pytest.MonkeyPatch) -> None:
    execute = RequestExecutor._execute
    patch.setattr(
        RequestExecutor,
        "_execute",
        lambda self, *args, **more: (*execute(self, *args, **more), resp.simple_string("OK")),
    )


def send_no_notification(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(PlatformNotifier, "notify", lambda self, *args, **more: None)


def notify_two_states(patch: pytest.MonkeyPatch) -> None:
    notify = PlatformNotifier.notify

    def announce_both(
        self: PlatformNotifier,
        message_id: str,
        _state: str,
        retry_after_ms: int,
        on_acknowledged: Callable[[], None],
        reason: str = "",
    ) -> None:
        notify(self, message_id, "failed", 0, lambda: None)
        notify(self, message_id, "returned", retry_after_ms, on_acknowledged, reason)

    patch.setattr(PlatformNotifier, "notify", announce_both)


def send_malformed_requests(patch: pytest.MonkeyPatch) -> None:
    request = http.encode_request
    patch.setattr(
        http,
        "encode_request",
        lambda method, path, *rest: (
            [b"POST /hook\r\n\r\n"] if "hook" in path else request(method, path, *rest)
        ),
    )


@pytest.mark.parametrize(
    ("rule", "break_rule", "changes"),
    [
        (Rule.COPY, call_twice, {}),
        (Rule.ORDER, ignore_ordering_keys, {}),
        (Rule.REPEAT, ignore_deduplication_windows, {}),
        (Rule.DRAIN, ignore_removed_endpoints, {}),
        (Rule.WAIT, ignore_waits, {}),
        (Rule.DESTINATION, swap_destinations, {}),
        (Rule.CONTENT, change_bodies, {}),
        (Rule.ANSWER, exceed_retry_after, {"max_held": 20}),
        (Rule.ANSWER, reply_twice, {}),
        (Rule.END, send_no_notification, {}),
        (Rule.END, notify_two_states, {}),
        (Rule.FORM, send_malformed_requests, {}),
    ],
)
def test_auditor_of_a_courier_that_breaks_a_rule_records_the_violation(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    rule: Rule,
    break_rule: Callable[[pytest.MonkeyPatch], None],
    changes: dict[str, object],
):
    break_rule(monkeypatch)
    emulation_result = play(tmp_path, adverse_scenario(changes))
    assert rule in RULES
    assert emulation_result.violation_counts[rule] > 0, emulation_result.violation_counts
    violation = next(recorded for recorded in emulation_result.violations if recorded.rule is rule)
    assert violation.at_ms > 0.0
    assert violation.evidence


def test_auditor_of_a_long_run_removes_finished_messages_and_connections(tmp_path: Path):
    streams = tuple(replace(stream, end=400_000.0) for stream in storm_scenario(0.5).streams)
    partners = PartnerSettings(), PartnerSettings(number=8, listed=12.0)
    scenario = Scenario(partners, streams, 1, duration_ms=400_000.0)
    emulation = Emulation(scenario, 1, tmp_path)
    emulation_result = emulation.play()
    assert emulation_result.violations == []
    assert emulation.auditor.accepted_count > 5_000
    assert emulation.auditor.max_known_messages < 2_000
    assert emulation.auditor.open_connection_count < 50
