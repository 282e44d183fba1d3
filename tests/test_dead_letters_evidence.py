"""The failure reason of a message, the evidence of its execution, and the safety of a repeat."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from winchspan.dead_letters import evidence
from winchspan.dead_letters.records import AttemptHistory, ExecutionEvidence

from .dead_letter_helpers import CLASSES, NOW_MS, make_dead_letter

OUTCOMES = ["delivered", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "not_sent"]


@pytest.mark.parametrize("outcome", OUTCOMES[1:])
def test_execution_finding_one_attempt_follows_its_outcome(outcome: str):
    proves = outcome in ("full", "connect_failed", "not_sent")
    attempt = AttemptHistory("s-1", NOW_MS, outcome)
    assert attempt.proves_no_execution is proves
    found, text = evidence.execution_finding((attempt,), 0, None if proves else NOW_MS)
    assert (
        found is (ExecutionEvidence.NEVER_RAN if proves else ExecutionEvidence.MAY_HAVE_RUN)
        and outcome in text
    )


def test_execution_finding_attempt_in_flight_may_have_run():
    attempts = (AttemptHistory("s-1", NOW_MS, "full"), AttemptHistory("s-2", NOW_MS, "still out"))
    assert evidence.execution_finding(attempts, 0, None)[0] is ExecutionEvidence.MAY_HAVE_RUN
    assert (
        evidence.execution_finding((), 2, NOW_MS)[0] is ExecutionEvidence.MAY_HAVE_RUN
        and evidence.execution_finding((), 2, None)[0] is ExecutionEvidence.NEVER_RAN
    )


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"deadline_ms": NOW_MS + 10}, "out of time"),
        ({"deadline_ms": NOW_MS + 10, "attempt_count": 0}, "out of time, never sent"),
        ({"attempt_count": 6}, "all attempts used"),
        ({"first_run_ms": NOW_MS - 11_000.0}, "repeats are no longer dropped"),
        ({"first_run_ms": NOW_MS, "message_class": CLASSES["once"]}, "must not run twice"),
        ({}, "no room"),
    ],
)
def test_failure_reason_names_the_first_cause_that_applies(changes: dict[str, Any], reason: str):
    default_context = {
        "now_ms": NOW_MS,
        "deadline_ms": NOW_MS + 9_000,
        "attempt_count": 1,
        "max_attempts": 6,
        "first_run_ms": None,
        "message_class": CLASSES["pay"],
        "grace_ms": 50.0,
    }
    assert reason in evidence.failure_reason(evidence.FailureContext(**(default_context | changes)))


@pytest.mark.parametrize(
    ("class_name", "age_ms", "is_safe"),
    [
        ("note", 10**9, True),
        ("pay", 1_000.0, True),
        ("pay", 9_800.0, False),
        ("pay", -3_600_000.0, False),
        ("once", 0.0, False),
        ("zoned", 1_000.0, False),
    ],
)
def test_redelivery_objection_message_that_may_have_run_is_none_only_where_a_repeat_is_safe(
    class_name: str, age_ms: float, is_safe: bool
):
    message_class = CLASSES[class_name]
    if class_name == "zoned":
        message_class = replace(message_class, dedup_per_zone=True)
    dead_letter = make_dead_letter(evidence=ExecutionEvidence.MAY_HAVE_RUN, first_run_unix_ms=NOW_MS - age_ms)

    def objection(**changes: object) -> str | None:
        return evidence.redelivery_objection(NOW_MS, replace(dead_letter, **changes), message_class)

    assert (objection() is None) is is_safe
    assert objection(release_statement="operator-1: seen") is None, (
        "an operator has confirmed that it was not executed"
    )
    ran = objection(execution_evidence=ExecutionEvidence.RAN, release_statement="operator-1: seen")
    assert ran is not None, "a confirmation does not override a proved execution"
    assert objection(execution_evidence=ExecutionEvidence.NEVER_RAN, first_run_unix_ms=None) is None
