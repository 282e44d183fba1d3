"""Clients, wait conditions and assertions of tests with fleets of courier processes."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from winchspan.fakes.client_load import NOTICE, PAYMENT
from winchspan.fakes.fleet import Fleet, ProcessFleetOptions
from winchspan.fakes.fleet_courier import wait_for
from winchspan.fakes.recording_endpoints import RecordingEndpoints, ThreadedRecordingEndpoints
from winchspan.fakes.submission import Submission, new_message_id, submit_message

NAMES = ("n0", "n1", "n2")
ACCEPTED = b"+OK\r\n"
NO_TOKEN = "0" * 16
NOTICE_DEADLINE_MS = 9_000
PAYMENT_DEADLINE_MS = 20_000
ENDPOINTS = ("s-0", "s-1", "s-2")


@contextmanager
def recording_partner() -> Iterator[ThreadedRecordingEndpoints]:
    """Serve `ENDPOINTS`; each delivery takes a moment, so that it is recorded as it starts."""
    endpoints = ThreadedRecordingEndpoints(len(ENDPOINTS), 200.0)
    endpoints.service_seconds = 0.02
    try:
        yield endpoints
    finally:
        endpoints.close()


@contextmanager
def replicated_fleet(
    directory: Path,
    partner: ThreadedRecordingEndpoints,
    section_options: str = "(copies 1)",
    *,
    has_relay: bool = True,
    settings_changes: Mapping[str, Any] | None = None,
) -> Iterator[Fleet]:
    """Run a fleet of the couriers `NAMES` with replicas; all of them accept messages."""
    fleet = Fleet(
        directory,
        len(NAMES),
        ProcessFleetOptions(
            section_options,
            has_relay=has_relay,
            discovery_port=partner.agent_port,
            known_endpoints=partner.endpoint_list(),
            settings_changes=settings_changes or {},
        ),
    )
    fleet.start()
    try:
        wait_until_all_accept(fleet)
        yield fleet
    finally:
        fleet.stop()


def submit_notice(port: int, destination: int, deadline_ms: int = 5_000, message_id: str = "") -> bytes:
    """Submit one notice, and return the courier's reply."""
    submission = Submission(message_id or new_message_id(), NOTICE, destination, deadline_ms, NO_TOKEN)
    return submit_message(port, submission)


def submit_notices(fleet: Fleet, name: str, count: int) -> list[str]:
    """Submit notices to a courier, and return the ids of the accepted ones."""
    message_ids = []
    for number in range(count):
        message_id = new_message_id()
        reply = submit_notice(fleet[name].client_port, number % 3, NOTICE_DEADLINE_MS, message_id)
        if reply.startswith(b"+OK"):
            message_ids.append(message_id)
    return message_ids


def submit_payment(fleet: Fleet, name: str, ordering_key: int, token: str = "") -> str:
    """Submit a payment until the courier accepts it, and return its id.

    A courier that has lost its replica rejects messages until it has another replica.
    """
    message_id = ""

    def is_accepted() -> bool:
        nonlocal message_id
        message_id = new_message_id()
        submission = Submission(
            message_id, PAYMENT, 0, PAYMENT_DEADLINE_MS, token or message_id, ordering_key
        )
        return submit_message(fleet[name].client_port, submission) == ACCEPTED

    wait_for("the payment is accepted", is_accepted)
    return message_id


def accepts_messages(fleet: Fleet, name: str) -> bool:
    """Return whether a courier accepts messages: it owns its journal, and all records are replicated."""
    metrics = fleet[name].read_metrics()
    return (
        bool(metrics.get("fleet.copies.mine"))
        and metrics.get("fleet.copies.unsecured") == 0
        and submit_notice(fleet[name].client_port, 0).startswith(b"+OK")
    )


def wait_until_all_accept(fleet: Fleet) -> None:
    """Wait until all couriers accept messages."""
    wait_for("all accept messages", lambda: all(accepts_messages(fleet, name) for name in NAMES))


def takeover_counts(fleet: Fleet, names: Iterable[str] = NAMES) -> list[int | None]:
    """Return the number of takeovers by each courier; None for a courier that does not answer."""
    return [fleet[name].read_metrics().get("fleet.copies.taken_over") for name in names]


def wait_for_takeover(fleet: Fleet, names: Iterable[str]) -> None:
    """Wait until one of the given couriers has taken over another's messages."""
    candidates = list(names)
    wait_for("another takes over its messages", lambda: any(takeover_counts(fleet, candidates)))


def wait_for_no_takeover(fleet: Fleet) -> None:
    """Wait until all couriers answer, and none has taken over another's messages."""
    wait_for("all answer without a takeover", lambda: takeover_counts(fleet) == [0] * len(NAMES))


def wait_for_final_answers(endpoints: RecordingEndpoints, message_ids: Iterable[str]) -> None:
    """Wait until each message has been delivered or its notification acknowledged."""
    expected = list(message_ids)
    wait_for("all messages have final answers", lambda: all(map(endpoints.has_final_answer, expected)))


def assert_delivered_once(endpoints: RecordingEndpoints, message_ids: list[str]) -> None:
    """Assert that no message was delivered twice, after its notification, or in concurrent calls."""
    assert endpoints.concurrent_message_ids == []
    assert all(endpoints.delivery_counts[message_id] <= 1 for message_id in message_ids)
    assert endpoints.delivered_after_notification(message_ids) == []


def has_started(endpoints: RecordingEndpoints, message_id: str) -> bool:
    """Return whether an endpoint has received a message."""
    return any(start.message_id == message_id for start in endpoints.delivery_starts)
