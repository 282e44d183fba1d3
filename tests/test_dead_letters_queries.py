"""Commands on the store: their results as text and as JSON."""

from __future__ import annotations

import json
from pathlib import Path

from click.testing import CliRunner

from winchspan.cli.__main__ import main as cli
from winchspan.dead_letters.policy import RedeliveryPolicy
from winchspan.dead_letters.queries import QueryEnvironment, execute, parse_arguments
from winchspan.dead_letters.store import STORE_FILE_NAME, DeadLetterStore
from winchspan.dead_letters.store_eviction import StoreBounds

from .dead_letter_helpers import (
    BOUNDS,
    UNLIMITED_RULE,
    ArchivingCourier,
    RedeliveringCourier,
    make_dead_letter,
    run_command,
)


def test_commands_on_the_file_return_the_stored_messages(tmp_path: Path):
    courier = ArchivingCourier(tmp_path)
    courier.fail_message()
    courier.acknowledge_notification()
    courier.loop.run_calls(2)

    def run(*words: str) -> tuple[int, str]:
        found = CliRunner().invoke(cli, ["undelivered", "--store", str(tmp_path), *words])
        return found.exit_code, found.output

    code, text = run("list")
    assert code == 0 and "returned may" in text and text.rstrip().endswith("a")
    assert run("list", "--ran", "never")[0] == 1
    assert json.loads(run("list", "--json")[1])["story"]["reason"] == "out of time"
    code, text = run("show", "1")
    assert code == 0 and "attempt 1" in text and "a call to s-11 was still out" in text
    assert json.loads(run("show", "1", "--json")[1])["body"] == "YQ=="
    assert run("show", "2")[0] == 2
    assert json.loads(run("stats", "--json")[1])["count"] == 1
    assert run("list", "--key", "xyz")[0] == 2 and run("list", "--since", "soon")[0] == 2
    out = tmp_path / "out.jsonl"
    assert run("export", str(out))[0] == 0 and json.loads(out.read_text())["id"] == "a"
    other = tmp_path / "other"
    other.write_text("no store")
    assert CliRunner().invoke(cli, ["undelivered", "--store", str(other), "list"]).exit_code == 2


def test_why_with_a_policy_returns_its_decision(tmp_path: Path):
    courier = RedeliveringCourier(tmp_path)
    courier.archive_message(class_name="keyed")
    store = DeadLetterStore(courier.path, BOUNDS, read_only=True)
    policy = RedeliveryPolicy([UNLIMITED_RULE], courier.world.settings.classes)
    found = execute(
        "why",
        parse_arguments("why", {"number": 1}),
        QueryEnvironment(store, courier.world.clock.unix_ms(), policy),
    )
    assert found["decision"]["action"] == "leave" and found["decision"]["why"] == "it is held"
    assert "has it run may" in run_command(tmp_path, "why", "1")


def test_audit_log_longer_than_a_page_is_read_completely(tmp_path: Path):
    store = DeadLetterStore(tmp_path / STORE_FILE_NAME, StoreBounds())
    store.add([make_dead_letter(n) for n in range(450)], 0.0, "operator-1", "a file")
    store.close()
    assert run_command(tmp_path, "trail").count("import message") == 450
    assert len(json.loads(run_command(tmp_path, "trail", "--json"))["entries"]) == 450
    assert (
        len(
            execute(
                "trail",
                parse_arguments("trail", {"most": 10**9}),
                QueryEnvironment(DeadLetterStore(tmp_path / STORE_FILE_NAME, BOUNDS, read_only=True), 0.0),
            )["entries"]
        )
        == 200
    )
