"""The serving process's side of the hand-over socket."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import ClassVar

from winchspan.upgrade.hand_over_client import receive_hand_over
from winchspan.upgrade.hand_over_server import HandOverServer

from .test_end_to_end import WAIT_TIMEOUT_SECONDS


def test_exception_during_the_export_resumes_the_courier(tmp_path: Path):
    """Without the rollback the courier would stay frozen, with all its timers and connections stopped."""

    class FailingActions:
        performed: ClassVar[list[str]] = []

        def __getattr__(self, name: str) -> Callable[..., object]:
            def perform(*_args: object) -> object:
                self.performed.append(name)
                if name == "freeze_and_export":
                    raise ZeroDivisionError
                return True

            return perform

    async def run_hand_over() -> list[str]:
        actions = FailingActions()
        server = HandOverServer(tmp_path, "f", actions, lambda: 0.0)  # type: ignore[arg-type]
        server.listen(asyncio.get_running_loop())
        assert await asyncio.to_thread(receive_hand_over, tmp_path, "f", lambda data: None) is None
        async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
            while "resume" not in actions.performed:
                await asyncio.sleep(0.001)
        server.close()
        return actions.performed

    assert asyncio.run(run_hand_over())[-1] == "resume"
