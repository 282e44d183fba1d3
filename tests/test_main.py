"""The courier's command, `python -m winchspan`."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from winchspan.__main__ import main as run_courier

from .test_end_to_end import free_port, wait_for

ROOT = Path(__file__).parent.parent


@pytest.mark.parametrize("options", [["--operator"], ["--winch", "x"], ["--operator", "no-such-file"]])
def test_main_with_an_invalid_option_exits_with_2_and_one_line(
    options: list[str], capsys: pytest.CaptureFixture[str]
):
    assert run_courier(options) == 2
    assert capsys.readouterr().err.count("\n") == 1


def test_main_on_sigusr1_writes_its_counters(tmp_path: Path):
    operator, report = tmp_path / "storms.sexp", tmp_path / "storms.prom"
    operator.write_text(f'(storms (on yes) (report "{report}"))')
    port = free_port()
    (tmp_path / "state").mkdir()
    env = os.environ | {
        "ROUTER_CONFIG": str(ROOT / "examples" / "config.json"),
        "ROUTER_STATE": str(tmp_path / "state"),
        "ROUTER_LISTEN": f"127.0.0.1:{port}",
        "ROUTER_DISCOVERY": f"127.0.0.1:{free_port()}",
    }
    with (tmp_path / "log").open("wb") as log:
        courier = subprocess.Popen(
            [sys.executable, "-m", "winchspan", "--operator", str(operator)], cwd=ROOT, env=env, stderr=log
        )
    try:
        wait_for("ready", lambda: "listens on" in (tmp_path / "log").read_text() or courier.poll())
        courier.send_signal(signal.SIGUSR1)
        wait_for("the report", report.exists)
        assert "winchspan_storm_untracked_messages_total 0.0" in report.read_text()
    finally:
        courier.kill()
        courier.wait()


def test_main_without_optional_components_imports_no_optional_library():
    code = (
        "import sys, winchspan.__main__; winchspan.__main__.import_asyncio_without_tls(); "
        "import winchspan.application.application; "
        "import winchspan.application.components, winchspan.runtime.system; "
        "optional = ('sexpdata', 'xxhash', 'prometheus_client', 'click', 'ssl'); "
        "print([m for m in optional if m in sys.modules]); import ssl"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "[]"
