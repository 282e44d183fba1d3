"""Tests of the command line against a running courier, over its control socket."""

from __future__ import annotations

import json
import os
import signal
from functools import partial
from http.server import ThreadingHTTPServer
from pathlib import Path

import pytest
from click.testing import CliRunner

from examples.submit import encode_submit
from winchspan.cli.__main__ import main as cli
from winchspan.control.client import ControlClient
from winchspan.control.protocol import ControlError

from .test_end_to_end import free_port, partner, send_request, start_courier, wait_for

__all__ = ["partner"]  # the fixture


def test_commands_against_running_courier_print_replies_and_exit_codes(
    tmp_path: Path, partner: ThreadingHTTPServer
):
    store_directory, port, control_file = tmp_path / "kept", free_port(), tmp_path / "control"
    store_directory.mkdir()
    operator = tmp_path / "operator.sexp"
    operator.write_text(
        f'(undelivered (on yes) (folder "{store_directory}"))(control (on yes) (socket "{control_file}"))'
    )
    courier = start_courier(tmp_path, port, partner.server_port, "--operator", str(operator))

    def run(*arguments: str) -> tuple[int, str]:
        found = CliRunner().invoke(cli, ["undelivered", "--socket", str(control_file), *arguments])
        return found.exit_code, found.output

    try:
        assert (
            send_request(port, encode_submit("gallery-notice", "8", "nobody there", deadline_ms=100))
            == b"+OK\r\n"
        )
        wait_for("the message is kept", lambda: run("list")[0] == 0)
        assert json.loads(run("show", "1", "--json")[1])["story"]["reason"] == "out of time, never sent"
        assert run("hold", "1", "--who", "operator-1", "--why", "to be looked at") == (
            0,
            "hold message 1: kept to held\n",
        )
        assert f"operator-1, uid {os.getuid()}" in run("trail")[1]
        assert run("drop", "7", "--why", "x") == (2, "winchspan: no message 7 is kept\n")
        assert run("export", str(tmp_path / "out"))[0] == 0
        client = ControlClient(control_file)
        assert client.call("status")["held"] == 0
        operate = partial(CliRunner().invoke, cli)
        base = ["courier", "--socket", str(control_file)]
        assert operate([*base, "ready"]).output == "ready\n"
        assert "courier.deferred.gallery-notice:1|c" in operate([*base, "counters"]).output
        assert operate([*base, "offline", "s-none"]).exit_code == 2
        assert operate([*base, "out-of-service"]).exit_code == 0
        assert operate([*base, "ready"]).output == "winchspan: out of service\n"
        assert operate([*base, "in-service"]).output == "in service\n"
        with pytest.raises(ControlError, match="Object contains unknown field"):
            client.call("undelivered.list", x=1)
        client.close()
        courier.send_signal(signal.SIGTERM)
        assert courier.wait(60.0) == 0
        assert not control_file.exists()
        assert run("list")[0] == 2
    finally:
        courier.kill()
        courier.wait()
