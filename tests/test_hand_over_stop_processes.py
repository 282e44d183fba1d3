"""SIGTERM to a process whose hand-over fails, with real courier processes."""

from __future__ import annotations

import signal
import threading
import time
from pathlib import Path

from winchspan.upgrade.errors import HandOverError
from winchspan.upgrade.hand_over_client import receive_hand_over

from .loopback import WAIT_TIMEOUT_SECONDS, CourierHarness, encode_submit, wait_for

STOP_LIMIT_SECONDS = 3.7  # from SIGTERM to SIGKILL
STALL_SECONDS = 2.0  # of the new process, longer than the time for a transfer


def stall_and_fail(_state: bytes) -> None:
    time.sleep(STALL_SECONDS)
    raise HandOverError("raised by the test")


def test_sigterm_during_a_hand_over_that_fails_ends_the_process_in_time(tmp_path: Path):
    """Guards against a SIGKILL within calls: the stop began only when the hand-over had failed."""
    harness = CourierHarness(tmp_path)
    harness.hold_listener()
    harness.start()
    try:
        harness.submit(encode_submit("hanging"))
        harness.wait_for_calls(1)
        arguments = (harness.folder / "state", "other", stall_and_fail)
        threading.Thread(target=receive_hand_over, args=arguments, daemon=True).start()
        wait_for("the drain", lambda: "asks to take over" in harness.read_log())
        assert harness.process is not None
        harness.process.send_signal(signal.SIGTERM)
        terminated_at = time.monotonic()
        assert harness.process.wait(WAIT_TIMEOUT_SECONDS) == 0
        assert "this process resumes" in harness.read_log()
        assert time.monotonic() - terminated_at <= STOP_LIMIT_SECONDS
    finally:
        harness.close()
