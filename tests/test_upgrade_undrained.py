"""What a hand-over waits for: when it blocks, and how the log names it."""

from __future__ import annotations

from dataclasses import replace

import pytest

from winchspan.upgrade.undrained import Undrained

DRAINED = Undrained(
    servers=(), held_count=0, client_count=0, has_notification=False, has_unsettled_attempts=False
)


def test_log_names_all_that_blocks_a_hand_over():
    undrained = Undrained(
        servers=("127.0.0.1:2", "127.0.0.1:1", "127.0.0.1:2"),
        held_count=1,
        client_count=4,
        has_notification=True,
        has_unsettled_attempts=True,
    )
    assert str(undrained) == (
        "3 calls to 127.0.0.1:1, 127.0.0.1:2; 1 of them with a held response; 4 clients; a notification; "
        "unsettled attempts"
    )
    assert str(DRAINED) == "nothing"


@pytest.mark.parametrize(
    ("undrained", "are_calls_drained", "is_done_but_notification"),
    [
        (replace(DRAINED, servers=("127.0.0.1:1",)), False, False),
        (replace(DRAINED, has_unsettled_attempts=True), False, False),
        (replace(DRAINED, client_count=1), True, False),
        (replace(DRAINED, has_notification=True), True, True),
    ],
)
def test_each_part_blocks_a_hand_over(
    undrained: Undrained, are_calls_drained: bool, is_done_but_notification: bool
):
    assert undrained and not DRAINED
    assert undrained.are_calls_drained is are_calls_drained
    assert undrained.is_done_but_notification is is_done_but_notification
