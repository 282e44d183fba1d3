"""End-to-end tests of the adapter process."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from typing import Any

import pytest

INFO = {
    "balancers": 2,
    "me": 0,
    "zone": "z1",
    "failure_domains": ["z1"],
    "kinds": ["plain"],
    "unheard_of": [1],
    "family_info": {"kind_apart": [False], "per_call": [1], "workers": 4, "decay": "even"},
    "limits": {
        "cancel": True,
        "max_open": 50,
        "try_limit": 4,
        "retry_after": True,
        "max_retry_after_ns": 10**9,
        "connect_timeout_ns": 10**9,
        "keepalive_ns": 5 * 10**9,
        "multiplex": 1,
    },
    "request_classes": [
        {
            "name": "c",
            "goal_time_ns": 10**9,
            "hard_limit_ns": 5 * 10**9,
            "gain": 1.0,
            "idempotency": "repeatable",
            "late_worth": 0.5,
        }
    ],
    "rules": {
        "start_capacity": 0.3,
        "cold_ns": 10**10,
        "fall_multiple": 2.0,
        "tip_after_ns": 10**9,
        "drain_grace_ns": 10**9,
        "grace_to_answer_ns": 10**7,
    },
    "step_ns": 5_000_000,
}


def batch(ts: int, *news: dict[str, Any]) -> str:
    return json.dumps({"ts_ns": ts, "news": list(news)})


def begin(number: int = 0, info: dict[str, Any] | None = None) -> dict[str, Any]:
    return {"Begin": {"dispatcher": number, "nonce64": 5, "info": INFO if info is None else info}}


def inventory(endpoint: int, number: int = 0, dest: int = 1) -> dict[str, Any]:
    return {
        "Inventory": {
            "roster_id": number,
            "rows": [
                {
                    "belongs_to": dest,
                    "availability": "in_service",
                    "rating": 1,
                    "endpoint": endpoint,
                    "area": "z1",
                    "type": "plain",
                }
            ],
        }
    }


def update(number: int = 0, scope: str = "disk", roster: int = 0) -> dict[str, Any]:
    return {"Update": {"dispatcher": number, "roster_id": roster, "seq_no": 1, "scope": scope}}


def order(name: str, number: int = 0) -> dict[str, Any]:
    return {
        "Order": {
            "dispatcher": number,
            "corr": name,
            "profile": "c",
            "patience_left_ns": 5 * 10**9,
            "terminates_at": 1,
        }
    }


def run(lines: list[str], hash_seed: str = "0") -> tuple[int, list[list[dict[str, Any]]], str]:
    """Run the adapter as a process; return its exit code, its replies and its stderr output."""
    done = subprocess.run(
        [sys.executable, "-m", "winchspan.adapter"],
        input="\n".join(lines) + "\n",
        text=True,
        capture_output=True,
        env=os.environ | {"PYTHONHASHSEED": hash_seed},
        check=False,
    )
    return done.returncode, [json.loads(line)["cmds"] for line in done.stdout.splitlines()], done.stderr


def calls(reply: list[dict[str, Any]]) -> list[tuple[int, str, int]]:
    return [
        (c["CallOut"]["dispatcher"], c["CallOut"]["corr"], c["CallOut"]["endpoint"])
        for c in reply
        if "CallOut" in c
    ]


START = [batch(1), batch(10, begin(), inventory(77), update())]


def test_a_message_goes_out_and_the_input_may_end():
    code, replies, err = run([*START, batch(20, order("rq_a"))])
    assert (code, err) == (0, "") and len(replies) == 3 and replies[0] == []
    assert calls(replies[2]) == [(0, "rq_a", 77)]


def test_an_outcome_comes_back_and_a_further_attempt_goes_out():
    ended = {
        "Returned": {
            "dispatcher": 0,
            "corr": "rq_a",
            "round_no": 0,
            "endpoint": 77,
            "verdict": 4,
            "lag_ns": 5,
        }
    }
    code, replies, _ = run(
        [
            *START,
            batch(20, order("rq_a")),
            batch(30, ended),
            batch(40, {"Elapsed": {"dispatcher": 0, "ctx": 0}}),
        ]
    )
    assert code == 0 and sum(len(calls(r)) for r in replies) >= 2


def test_a_reused_list_number_is_read_in_the_order_of_events():
    news = [
        begin(0),
        begin(1),
        inventory(77),
        update(0),
        inventory(78),
        update(1),
        order("a", 0),
        order("b", 1),
    ]
    _, replies, _ = run([batch(10, *news)])
    assert calls(replies[0]) == [(0, "a", 77), (1, "b", 78)]


def test_a_restart_under_the_same_number_in_one_batch_forgets_the_past():
    ended = {
        "Returned": {
            "dispatcher": 0,
            "corr": "rq_a",
            "round_no": 0,
            "endpoint": 77,
            "verdict": 1,
            "lag_ns": 5,
        }
    }
    again = [{"Detach": {"dispatcher": 0}}, begin(), inventory(79), update(), order("rq_b")]
    code, replies, _ = run([*START, batch(20, order("rq_a")), batch(30, ended, *again)])
    assert code == 0 and calls(replies[-1]) == [(0, "rq_b", 79)]


def test_changed_and_whole_lists_and_a_failed_call():
    drain = inventory(77)
    drain["Inventory"]["rows"][0]["availability"] = "terminating"
    code, replies, _ = run(
        [
            *START,
            batch(
                20,
                drain,
                update(scope="diff"),
                {"Update": {"dispatcher": 0, "roster_id": 9, "seq_no": 2, "scope": "error"}},
                order("a"),
            ),
        ]
    )
    assert code == 0 and calls(replies[-1]) == []


def test_a_very_large_batch():
    code, replies, _ = run([*START, batch(20, *(order(f"rq_{i}") for i in range(3_000)))])
    assert code == 0 and len([c for c in replies[-1] if "Bounce" in c]) > 2_900


def test_unknown_ids_are_passed_over():
    news = [
        {"Returned": {"dispatcher": 0, "corr": "no", "round_no": 0, "endpoint": 1, "verdict": 1}},
        {"Dropped": {"dispatcher": 0, "corr": "no"}},
        {"Elapsed": {"dispatcher": 9, "ctx": 0}},
    ]
    code, replies, err = run([*START, batch(20, *news)])
    assert (code, err) == (0, "") and replies[-1] == []


@pytest.mark.parametrize(
    ("line", "word"),
    [
        ("{", "JSON"),
        ("[]", "object"),
        (batch(20, {"Nonsense": {"dispatcher": 0}}), "Nonsense"),
        (batch(20, {"Order": {"dispatcher": 0}}), "corr"),
        (json.dumps({"news": []}), "ts_ns"),
        (batch(20, {"Order": order("a")["Order"] | {"patience_left_ns": "soon"}}), "patience_left_ns"),
        (
            batch(
                20, {"Returned": {"dispatcher": 0, "corr": "a", "round_no": 0, "endpoint": 1, "verdict": 99}}
            ),
            "verdict",
        ),
        (batch(20, update(roster=12)), "list"),
        (batch(20, {"Order": 3}), "Order"),
    ],
)
def test_bad_input_ends_with_one_plain_line(line: str, word: str):
    code, replies, err = run([*START, line])
    assert code != 0 and len(replies) == 2
    assert word in err and err.count("\n") == 1 and "Traceback" not in err


def test_unusable_settings_are_the_fault_of_that_instance():
    bad = INFO | {"request_classes": []}
    code, replies, _ = run(
        [batch(10, begin(0, bad), begin(1), inventory(77), update(0), update(1), order("b", 1))]
    )
    assert code == 0 and "classes" in replies[0][0]["Crash"]["words"] and calls(replies[0]) == [(1, "b", 77)]


def test_the_same_events_give_the_same_actions_in_one_process_or_two_and_whatever_the_hash_seed():
    def news(numbers: list[int]) -> list[str]:
        out = [batch(10, *(begin(n) for n in numbers), inventory(77), *(update(n) for n in numbers))]
        out += [batch(10 + 10**8 * i, *(order(f"rq_{n}_{i}", n) for n in numbers)) for i in range(1, 30)]
        return out

    both = run(news([0, 1]), "1")[1]
    assert both == run(news([0, 1]), "2")[1]
    for n in (0, 1):
        alone = run(news([n]))[1]
        kept = [[c for c in reply if next(iter(c.values()))["dispatcher"] == n] for reply in both]
        assert alone == kept
