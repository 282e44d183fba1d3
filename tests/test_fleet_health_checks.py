"""Tests of health checks by three real couriers with relays between them, audited at the endpoints."""

from __future__ import annotations

import contextlib
import signal
import threading
import time
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path

import pytest

from winchspan.fakes.fleet import Fleet, ProcessFleetOptions
from winchspan.fakes.fleet_courier import wait_for
from winchspan.fakes.health_check_audit import ObservedHealthCheck, audit_health_checks
from winchspan.fakes.recording_endpoints import FakeResponse, ThreadedRecordingEndpoints
from winchspan.fakes.submission import new_message_id

from .fleet_helpers import NAMES, submit_notice, wait_for_final_answers

INTERVAL_SECONDS = 1.0
REDELIVERIES_PER_SECOND = 2.0


@pytest.fixture(scope="module")
def endpoints() -> Iterator[ThreadedRecordingEndpoints]:
    recording = ThreadedRecordingEndpoints(24, 200.0)
    yield recording
    recording.close()


@pytest.fixture(scope="module")
def running_fleet(
    tmp_path_factory: pytest.TempPathFactory, endpoints: ThreadedRecordingEndpoints
) -> Iterator[Fleet]:
    three_couriers = Fleet(
        tmp_path_factory.mktemp("fleet"),
        3,
        ProcessFleetOptions(
            f"(probe-every {INTERVAL_SECONDS:g}) (shared-waits yes)",
            has_relay=True,
            discovery_port=endpoints.agent_port,
            known_endpoints=endpoints.endpoint_list(),
        ),
    )
    three_couriers.start()
    yield three_couriers
    three_couriers.stop()


@pytest.fixture
def fleet(running_fleet: Fleet, endpoints: ThreadedRecordingEndpoints) -> Iterator[Fleet]:
    """Provide three couriers that all check endpoints, and repair the faults of the test afterwards."""
    started_at = time.monotonic()
    running_fleet.wait_until_all_alive("all nodes are alive")

    def are_all_checking() -> bool:
        nodes = {check.node for check in checks_since(endpoints, started_at)}
        return are_all_checked(endpoints, 2, started_at) and nodes == set(NAMES)

    wait_for("all check endpoints", are_all_checking)
    yield running_fleet
    running_fleet.relay.heal()
    for courier in running_fleet.couriers.values():
        if courier.process is None:
            courier.start()
        courier.send_signal(signal.SIGCONT)


def checks_since(
    endpoints: ThreadedRecordingEndpoints, since_seconds: float, endpoint: str = ""
) -> list[ObservedHealthCheck]:
    """Return the health checks since a time, of one endpoint or of all endpoints."""
    return [
        check
        for check in endpoints.health_checks
        if check.received_at_seconds > since_seconds and endpoint in ("", check.endpoint)
    ]


def are_all_checked(
    endpoints: ThreadedRecordingEndpoints, count: int, since_seconds: float, but: str = ""
) -> bool:
    """Return whether each endpoint except `but` has been checked at least `count` times since a time."""
    counts = Counter(check.endpoint for check in checks_since(endpoints, since_seconds))
    return all(counts[name] >= count for name in endpoints.ports if name != but)


def wait_until_checked_by(endpoints: ThreadedRecordingEndpoints, nodes: Iterable[str]) -> None:
    """Wait until each endpoint has been checked twice more, most recently by one of the given nodes."""
    expected = set(nodes)
    started_at = time.monotonic()

    def are_checked() -> bool:
        latest = {check.endpoint: check for check in endpoints.health_checks}
        return (
            are_all_checked(endpoints, 2, started_at)
            and {check.node for check in latest.values()} <= expected
        )

    wait_for(f"{expected} check all endpoints", are_checked)


def wait_until_checking(endpoints: ThreadedRecordingEndpoints, node: str) -> None:
    """Wait until a node checks endpoints again."""
    started_at = time.monotonic()
    wait_for(
        f"{node} checks endpoints again",
        lambda: any(check.node == node for check in checks_since(endpoints, started_at)),
    )


def assert_none_repeated_or_stale(checks: list[ObservedHealthCheck]) -> None:
    """Assert that no check was repeated too early or made under an epoch after a later one."""
    audit = audit_health_checks(checks, INTERVAL_SECONDS, 1e9, 0.0)
    assert audit.repeated == [] and audit.stale == []


def busiest_node(endpoints: ThreadedRecordingEndpoints) -> str:
    """Return the node that has sent most of the latest health checks."""
    nodes = [check.node for check in endpoints.health_checks[-48:]]
    return max(NAMES, key=nodes.count)


def others(name: str) -> tuple[str, ...]:
    return tuple(other for other in NAMES if other != name)


# Guards against false reports of repeated checks when the observer is stalled on a busy machine.
@pytest.mark.usefixtures("fleet")
def test_audit_of_checks_that_the_observer_read_late_finds_none_repeated(
    endpoints: ThreadedRecordingEndpoints,
):
    started_at = time.monotonic()

    def are_read_late() -> bool:
        endpoints.block_event_loop(0.17)
        time.sleep(0.4)
        return sum(check.max_read_delay_seconds > 0.1 for check in checks_since(endpoints, started_at)) >= 5

    wait_for("checks are read late", are_read_late)
    wait_until_checked_by(endpoints, NAMES)
    assert_none_repeated_or_stale(checks_since(endpoints, started_at))


def test_health_checks_of_killed_node_move_to_others_and_return_after_restart(
    fleet: Fleet, endpoints: ThreadedRecordingEndpoints
):
    killed = busiest_node(endpoints)
    fleet[killed].kill()
    wait_until_checked_by(endpoints, others(killed))
    fleet[killed].start()
    fleet.wait_until_all_alive("the node has rejoined")
    wait_until_checking(endpoints, killed)
    assert_none_repeated_or_stale(list(endpoints.health_checks))


def test_health_checks_of_frozen_node_move_and_none_is_stale_after_it_resumes(
    fleet: Fleet, endpoints: ThreadedRecordingEndpoints
):
    frozen = busiest_node(endpoints)
    fleet[frozen].send_signal(signal.SIGSTOP)
    wait_until_checked_by(endpoints, others(frozen))
    fleet[frozen].send_signal(signal.SIGCONT)
    fleet.wait_until_all_alive("the node has rejoined")
    wait_until_checking(endpoints, frozen)
    assert_none_repeated_or_stale(list(endpoints.health_checks))


@pytest.mark.parametrize("is_outgoing", [True, False])
def test_health_checks_of_node_cut_off_in_one_direction_move_to_others(
    fleet: Fleet, endpoints: ThreadedRecordingEndpoints, is_outgoing: bool
):
    cut_off = busiest_node(endpoints)
    for other in others(cut_off):
        fleet.relay.cut(*((cut_off, other) if is_outgoing else (other, cut_off)))
    wait_until_checked_by(endpoints, others(cut_off))
    wait_for(
        "the isolated node has no lease",
        lambda: bool(fleet[cut_off].read_metrics()) and not fleet[cut_off].read_leased_roles(),
    )
    fleet.relay.heal()
    wait_until_checking(endpoints, cut_off)
    assert_none_repeated_or_stale(list(endpoints.health_checks))


def test_health_checks_two_nodes_cut_off_from_each_other_repeat_none(
    fleet: Fleet, endpoints: ThreadedRecordingEndpoints
):
    fleet.relay.cut("n0", "n1")
    fleet.relay.cut("n1", "n0")
    wait_until_checked_by(endpoints, NAMES)
    assert_none_repeated_or_stale(list(endpoints.health_checks))
    fleet.relay.heal()


def test_shared_backoff_of_one_check_holds_messages_and_checks_of_all_nodes(
    fleet: Fleet, endpoints: ThreadedRecordingEndpoints
):
    """No courier sends a message or a check during a Retry-After wait received by one health check."""
    wait_seconds = 3.0
    endpoints.responses["s-3"] = FakeResponse(429, (("X-RateLimit-Wait-Ms", f"{wait_seconds * 1_000:.0f}"),))
    wait_for(
        "all nodes have the wait",
        lambda: all(fleet[name].read_metrics().get("fleet.waits", 0) for name in NAMES),
    )
    answered_at = checks_since(endpoints, 0.0, "s-3")[-1].received_at_seconds
    endpoints.responses.clear()
    for name in NAMES:
        assert submit_notice(fleet[name].client_port, 3).startswith(b"+OK")
    wait_for("the messages come", lambda: sum(call.endpoint == "s-3" for call in endpoints.calls) >= 3)
    messages_at = [call.answered_at_seconds for call in endpoints.calls if call.endpoint == "s-3"]
    checks_at = [check.received_at_seconds for check in checks_since(endpoints, answered_at, "s-3")]
    # The platform also admits calls for 100 ms after the response; all processes use the same clock.
    assert min(messages_at + checks_at) > answered_at + wait_seconds - 0.1
    assert_none_repeated_or_stale(list(endpoints.health_checks))


def test_health_checks_endpoint_taken_offline_is_not_checked_until_online(
    fleet: Fleet, endpoints: ThreadedRecordingEndpoints
):
    for name in NAMES:
        fleet[name].post_admin("endpoints/s-5/offline")
    offline_at = time.monotonic()
    wait_for("the others are checked", lambda: are_all_checked(endpoints, 3, offline_at, but="s-5"))
    assert checks_since(endpoints, offline_at + 0.25, "s-5") == []
    for name in NAMES:
        fleet[name].post_admin("endpoints/s-5/online")
    wait_for("it is checked again", lambda: checks_since(endpoints, offline_at, "s-5") != [])


def test_rolling_restart_under_load_completes_all_messages_and_repeats_no_check(
    fleet: Fleet, endpoints: ThreadedRecordingEndpoints
):
    earlier_check_count = len(endpoints.health_checks)
    accepted: set[str] = set()
    stop = threading.Event()

    def run_client() -> None:
        number = 0
        while not stop.wait(0.02):
            number += 1
            with contextlib.suppress(OSError):  # the courier is shutting down, or starting
                message_id = new_message_id()
                port = fleet[NAMES[number % 3]].client_port
                if submit_notice(port, number % 24, 9_000, message_id).startswith(b"+OK"):
                    accepted.add(message_id)

    client = threading.Thread(target=run_client)
    client.start()
    try:
        for name in NAMES:
            process = fleet[name].process
            fleet[name].send_signal(signal.SIGTERM)
            assert process is not None and process.wait(60.0) == 0
            for other in others(name):
                fleet[other].send_signal(signal.SIGHUP)
            fleet[name].start()
            fleet.wait_until_all_alive("the node has rejoined")
            wait_until_checking(endpoints, name)
    finally:
        stop.set()
        client.join()
    assert len(accepted) > 50
    # On a slow machine, messages restored by a restarted courier may end with a notification.
    wait_for_final_answers(endpoints, accepted)
    assert_none_repeated_or_stale(endpoints.health_checks[earlier_check_count:])


def test_membership_slow_node_declares_no_healthy_node_gone(
    fleet: Fleet, endpoints: ThreadedRecordingEndpoints
):
    """A node that runs a sixth of the time, as on a busy core, does not declare healthy nodes gone."""
    slow = "n1"
    logged_lengths = {name: len(fleet[name].read_log()) for name in NAMES}
    started_at = time.monotonic()
    while not are_all_checked(endpoints, 4, started_at):
        fleet[slow].send_signal(signal.SIGSTOP)
        time.sleep(0.1)
        fleet[slow].send_signal(signal.SIGCONT)
        time.sleep(0.02)
    for name in NAMES:
        new_lines = fleet[name].read_log()[logged_lengths[name] :]
        assert not any(f"fleet: {other} is gone" in new_lines for other in others(slow))
    fleet.wait_until_all_alive("all nodes are alive")
    assert_none_repeated_or_stale(list(endpoints.health_checks))


@pytest.fixture
def failing_endpoints() -> Iterator[ThreadedRecordingEndpoints]:
    recording = ThreadedRecordingEndpoints(3, 200.0)
    recording.responses = dict.fromkeys(recording.ports, FakeResponse(503))
    yield recording
    recording.close()


@pytest.fixture
def redelivering_fleet(tmp_path: Path, failing_endpoints: ThreadedRecordingEndpoints) -> Iterator[Fleet]:
    """Provide three couriers that store dead letters and redeliver them."""
    three_couriers = Fleet(
        tmp_path,
        3,
        ProcessFleetOptions(
            "(shared-resends yes)",
            has_relay=True,
            discovery_port=failing_endpoints.agent_port,
            known_endpoints=failing_endpoints.endpoint_list(),
        ),
    )
    for courier in three_couriers.couriers.values():
        (courier.directory / "kept").mkdir()
        courier.operator_file += (
            f'(undelivered (on yes) (folder "{courier.directory}/kept"))\n'
            f'(resend "all" (after 0) (rate {REDELIVERIES_PER_SECOND:g}) (most 9) (backoff 0))\n'
        )
        courier.write_configuration(3)
    yield three_couriers
    three_couriers.stop()


def test_shared_redelivery_rate_holds_for_the_fleet_when_lease_holder_is_killed(
    redelivering_fleet: Fleet, failing_endpoints: ThreadedRecordingEndpoints
):
    """Guards against redelivery at the rule's rate by each courier, without the leased role."""
    fleet, endpoints = redelivering_fleet, failing_endpoints
    fleet.start()
    for number in range(36):
        port = fleet[NAMES[number % 3]].client_port
        assert submit_notice(port, number % 3, 400).startswith(b"+OK")

    def have_all_ended() -> bool:
        metrics = [fleet[name].read_metrics() for name in NAMES]
        return all(
            row.get("answered.gallery-notice", 0) == 0 and row.get("current", 1) == 0 for row in metrics
        )

    wait_for("all have ended", have_all_ended)
    endpoints.responses.clear()
    endpoints.calls.clear()
    wait_for("some are redelivered", lambda: len(endpoints.calls) >= 8)
    lease_holder = next(name for name in NAMES if fleet[name].read_leased_roles().get("resends"))
    fleet[lease_holder].kill()
    wait_for("the others redeliver", lambda: len(endpoints.calls) >= 20)
    called_at = [call.answered_at_seconds for call in endpoints.calls]
    for first_at in called_at:  # allows for tokens of the bucket and two polls
        count = sum(first_at <= at < first_at + 3.0 for at in called_at)
        assert count <= 3.0 * REDELIVERIES_PER_SECOND + 4
