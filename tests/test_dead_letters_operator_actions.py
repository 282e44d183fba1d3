"""Commands for operators' actions and partners' reports."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

from winchspan.api import Outcome
from winchspan.dead_letters.operator_actions import prepare_import
from winchspan.dead_letters.records import DeadLetterState, ExecutionEvidence
from winchspan.delivery.messages import AttemptResult

from .dead_letter_helpers import RedeliveringCourier, run_command


def test_release_payment_that_may_have_run_is_sent_only_after_confirmation(tmp_path: Path):
    courier = RedeliveringCourier(tmp_path)
    courier.archive_message(class_name="keyed")
    run_command(tmp_path, "resend", "1")  # an approval alone is not enough
    courier.run_redelivery_round()
    assert courier.states() == [DeadLetterState.ON_HOLD] and courier.world.open_ids() == []
    assert run_command(tmp_path, "release", "1", code=2).count("--why") >= 1
    release = ("release", "1", "--who", "operator-1", "--why", "the partner says it never came")
    run_command(tmp_path, *release, "--dry-run")
    assert courier.states() == [DeadLetterState.ON_HOLD]
    run_command(tmp_path, *release)
    assert courier.stored()[0].release_statement == "operator-1: the partner says it never came"
    courier.run_redelivery_round()
    assert courier.world.open_ids() == ["a"]
    courier.deliver_latest()
    assert courier.states() == [DeadLetterState.DELIVERED]
    assert "operator-1: release message 1: the partner says it never came" in run_command(tmp_path, "trail")


def test_release_is_valid_for_one_redelivery(tmp_path: Path):
    courier = RedeliveringCourier(tmp_path)
    courier.archive_message(class_name="keyed")
    run_command(tmp_path, "release", "1", "--why", "it never came")
    courier.run_redelivery_round()
    courier.world.transport.calls[-1].end(AttemptResult(Outcome.TIMEOUT))
    for _ in range(250):
        courier.world.run(100)
    courier.loop.run_calls(2)
    (dead_letter,) = courier.stored()
    assert (dead_letter.state, dead_letter.release_statement, dead_letter.is_approved) == (
        DeadLetterState.ON_HOLD,
        "",
        False,
    )


def test_report_changes_the_evidence_once(tmp_path: Path):
    courier = RedeliveringCourier(tmp_path)
    for name in ("a", "b", "c"):
        courier.archive_message(name, "keyed")
    report = tmp_path / "report.txt"
    report.write_text("# of Tuesday\na ran\nb never\nnobody ran\n")
    assert run_command(tmp_path, "report", str(report), "--dry-run").count("would report") == 2
    run_command(tmp_path, "report", str(report))
    assert [(dead_letter.state, dead_letter.execution_evidence) for dead_letter in courier.stored()] == [
        (DeadLetterState.ALREADY_RAN, ExecutionEvidence.RAN),
        (DeadLetterState.PENDING, ExecutionEvidence.NEVER_RAN),
        (DeadLetterState.ON_HOLD, ExecutionEvidence.MAY_HAVE_RUN),
    ]
    report.write_text("a never\n")
    run_command(tmp_path, "report", str(report), code=1)
    assert courier.stored()[0].execution_evidence is ExecutionEvidence.RAN, (
        "a later report does not revoke an execution"
    )
    report.write_text("a perhaps\n")
    assert "line 1: expected a name" in run_command(tmp_path, "report", str(report), code=2)


def test_action_on_closed_or_redelivering_message_is_rejected(tmp_path: Path):
    courier = RedeliveringCourier(tmp_path)
    courier.archive_message()
    courier.run_redelivery_round()
    for words in (["resend", "1"], ["drop", "1", "--why", "x"], ["hold", "1", "--why", "x"]):
        assert "is being sent again" in run_command(tmp_path, *words, code=2)
    courier.deliver_latest()
    assert "is delivered" in run_command(tmp_path, "resend", "1", code=2)
    assert "no message 9" in run_command(tmp_path, "drop", "9", "--why", "x", code=2)


def test_hold_and_drop_exempt_messages_from_rules(tmp_path: Path):
    courier = RedeliveringCourier(tmp_path)
    courier.archive_message("a")
    courier.archive_message("b")
    run_command(tmp_path, "hold", "1", "--why", "not yet")
    run_command(tmp_path, "drop", "2", "--why", "nobody wants it")
    courier.run_redelivery_round()
    assert (
        courier.states() == [DeadLetterState.ON_HOLD, DeadLetterState.DROPPED]
        and courier.world.open_ids() == []
    )


def test_import_of_an_export_is_stored_on_hold(tmp_path: Path):
    (tmp_path / "a").mkdir()
    (tmp_path / "b").mkdir()
    source, target = RedeliveringCourier(tmp_path / "a"), RedeliveringCourier(tmp_path / "b")
    source.archive_message()
    target.archive_message("b")
    export_path = str(tmp_path / "out.jsonl")
    run_command(tmp_path / "a", "export", export_path)
    assert "would keep 1 of 1" in run_command(tmp_path / "b", "import", export_path, "--dry-run")
    for count in (1, 0):
        assert f"kept {count} of 1" in run_command(
            tmp_path / "b", "import", export_path, "--who", "operator-1"
        )
    dead_letter = target.stored()[1]
    assert (dead_letter.id, dead_letter.body, dead_letter.state, dead_letter.failure_history) == (
        "a",
        b"a",
        DeadLetterState.ON_HOLD,
        source.stored()[0].failure_history,
    )
    assert "operator-1: import message 2: out.jsonl" in run_command(tmp_path / "b", "trail")
    Path(export_path).write_text('{"id": 3}\n')
    assert "message 1 of out.jsonl" in run_command(tmp_path / "b", "import", export_path, code=2)


def test_import_message_exported_while_redelivering_may_have_run(tmp_path: Path):
    courier = RedeliveringCourier(tmp_path)
    courier.archive_message()
    courier.run_redelivery_round()
    (dead_letter,) = courier.stored()
    found = prepare_import(replace(dead_letter, execution_evidence=ExecutionEvidence.NEVER_RAN), "x")
    assert (found.state, found.execution_evidence) == (
        DeadLetterState.ON_HOLD,
        ExecutionEvidence.MAY_HAVE_RUN,
    )
