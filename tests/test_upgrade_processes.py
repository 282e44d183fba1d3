"""Hand-overs between two real processes, under load and with either process killed."""

from __future__ import annotations

import os
import shutil
import signal
import socket
import subprocess
import sys
import threading
from http.server import ThreadingHTTPServer
from pathlib import Path

import pytest

from examples.submit import encode_submit
from winchspan.config.platform import ConfigError, load_platform_config
from winchspan.upgrade.errors import HandOverError
from winchspan.upgrade.fingerprint import program_fingerprint
from winchspan.upgrade.hand_over_client import receive_hand_over

from .test_end_to_end import (
    ROOT,
    WAIT_TIMEOUT_SECONDS,
    Partner,
    partner,
    send_request,
    start_courier,
    wait_for,
)

__all__ = ["partner"]  # a fixture

FREEZE_SECONDS = 0.4  # longer than calls may cross a wait, or are usually out


def listening_socket() -> socket.socket:
    found = socket.create_server(("127.0.0.1", 0))
    os.set_inheritable(found.fileno(), True)
    return found


class Clients:
    """Four clients, each of which submits messages one by one on its own connection until `stop`."""

    def __init__(self, port: int) -> None:
        self.answers: list[bytes] = []
        self.closed_count = 0  # connections that the courier closed
        self._stop_event = threading.Event()
        self._threads = [
            threading.Thread(target=self._submit_messages, args=(port, n), daemon=True) for n in range(4)
        ]
        for thread in self._threads:
            thread.start()

    def _submit_messages(self, port: int, client_index: int) -> None:
        with socket.create_connection(("127.0.0.1", port), timeout=WAIT_TIMEOUT_SECONDS) as connection:
            lines = connection.makefile("rb")
            while not self._stop_event.wait(0.002):
                connection.sendall(
                    encode_submit("order-payment", "7", "x", f"{client_index + 1:016x}", 1_200_000)
                )
                if line := lines.readline():
                    self.answers.append(line)
                else:
                    self.closed_count += 1
                    return

    def stop(self) -> None:
        self._stop_event.set()
        for thread in self._threads:
            thread.join(WAIT_TIMEOUT_SECONDS)


def copy_with_changed_scheduler(folder: Path) -> Path:
    """Copy the program with a changed scheduler module, and return the copy's folder."""
    shutil.copytree(ROOT / "winchspan", folder / "winchspan", ignore=shutil.ignore_patterns("__pycache__"))
    with (folder / "winchspan" / "scheduling" / "scheduler.py").open("a") as file:
        file.write("# another version\n")
    return folder


def copy_with_slow_restore(folder: Path) -> Path:
    """Copy the program with a start that takes longer, and the same fingerprint."""
    shutil.copytree(ROOT / "winchspan", folder / "winchspan", ignore=shutil.ignore_patterns("__pycache__"))
    path = folder / "winchspan" / "application" / "application.py"
    text = path.read_text()
    line = "        restore_courier(self.hand_over_components()"
    assert line in text
    path.write_text(text.replace(line, f"        __import__('time').sleep({FREEZE_SECONDS})\n{line}"))
    return folder


@pytest.mark.parametrize("differ", [False, True], ids=["same program", "other program each time"])
def test_upgrades_under_load_lose_no_request_and_complete_each_message_once(
    tmp_path: Path, partner: ThreadingHTTPServer, differ: bool
):
    Partner.may_answer.set()
    other = copy_with_changed_scheduler(tmp_path / "other") if differ else ROOT
    sock = listening_socket()
    port, running = int(sock.getsockname()[1]), []
    running.append(start_courier(tmp_path, port, partner.server_port, socket_fd=sock.fileno()))
    clients = Clients(port)
    try:
        for number in range(3):
            answer_count = len(clients.answers)
            wait_for("load", lambda count=answer_count: len(clients.answers) > count + 40)
            (tmp_path / "log").write_bytes(b"")
            running.append(
                start_courier(
                    tmp_path,
                    port,
                    partner.server_port,
                    socket_fd=sock.fileno(),
                    ready_by=b" listens on ",
                    root=ROOT if number % 2 else other,
                )
            )
            assert running[number].wait(WAIT_TIMEOUT_SECONDS) == 0, "the old process exits by itself"
            assert (b"recovered" if differ else b"took over") in (tmp_path / "log").read_bytes()
            assert (b"decides differently" in (tmp_path / "log").read_bytes()) == differ
        answer_count = len(clients.answers)
        wait_for("load", lambda: len(clients.answers) > answer_count + 40)
        clients.stop()
        accepted_count = clients.answers.count(b"+OK\r\n")
        wait_for(
            "all messages are completed",
            lambda: len(Partner.answered) + len(set(Partner.notified)) >= accepted_count,
        )
    finally:
        clients.stop()
        for process in running:
            process.kill()
            process.wait()
        sock.close()
    assert clients.closed_count == 0
    assert len(Partner.received) == len(set(Partner.received)) and not set(Partner.received) & set(
        Partner.notified
    )
    assert len(Partner.received) + len(set(Partner.notified)) == accepted_count


def test_new_process_that_dies_during_the_hand_over_leaves_the_old_one_serving(
    tmp_path: Path, partner: ThreadingHTTPServer
):
    """The new process dies before its request, during it, after it, and with the state received."""
    Partner.may_answer.set()
    sock = listening_socket()
    port = int(sock.getsockname()[1])
    courier = start_courier(tmp_path, port, partner.server_port, socket_fd=sock.fileno())
    state = tmp_path / "state"

    try:
        for words in (b"", b"TAKE", b"TAKE 1 other\n", b"TAKE 9 x\n", b"nonsense\n"):
            with socket.socket(socket.AF_UNIX) as connection:
                connection.connect(str(state / "upgrade.sock"))
                connection.sendall(words)
            assert send_request(port, encode_submit("order-payment", "7", "x")) == b"+OK\r\n"
        for fingerprint in ("another", program_fingerprint()):  # dies after it received the state
            for _ in range(3):
                read: list[bytes] = []

                def fail_to_read(data: bytes, read: list[bytes] = read) -> None:
                    read.append(data)
                    raise HandOverError("raised by the test")

                wait_for(
                    "the state is read",
                    lambda fingerprint=fingerprint, fail_to_read=fail_to_read, read=read: (
                        receive_hand_over(state, fingerprint, fail_to_read) is None and read
                    ),
                )
                assert send_request(port, encode_submit("order-payment", "7", "x")) == b"+OK\r\n"
        assert courier.poll() is None
        courier.send_signal(signal.SIGTERM)
        assert courier.wait(WAIT_TIMEOUT_SECONDS) == 0
    finally:
        courier.kill()
        courier.wait()
        sock.close()


def test_new_process_waits_for_a_killed_old_process_and_recovers(
    tmp_path: Path, partner: ThreadingHTTPServer
):
    sock = listening_socket()
    port = int(sock.getsockname()[1])
    courier = start_courier(tmp_path, port, partner.server_port, socket_fd=sock.fileno())
    try:
        assert (
            send_request(port, encode_submit("order-payment", "7", "x", f"{1:016x}", 1_200_000)) == b"+OK\r\n"
        )
        wait_for("a call is in flight", lambda: Partner.received)
        (tmp_path / "state" / "upgrade.sock").unlink()  # like an old version without hand-over
        courier.kill()
        Partner.may_answer.set()
        successor = start_courier(tmp_path, port, partner.server_port, socket_fd=sock.fileno())
        courier.wait()
        try:
            wait_for("delivered in the new process", lambda: len(Partner.answered) == 2)
        finally:
            successor.kill()
            successor.wait()
    finally:
        courier.kill()
        sock.close()


def test_old_process_killed_during_the_transfer_leaves_a_recoverable_journal(
    tmp_path: Path, partner: ThreadingHTTPServer
):
    sock = listening_socket()
    port, state = int(sock.getsockname()[1]), tmp_path / "state"
    courier = start_courier(tmp_path, port, partner.server_port, socket_fd=sock.fileno())
    successor = None
    try:
        assert (
            send_request(port, encode_submit("order-payment", "7", "x", f"{1:016x}", 1_200_000)) == b"+OK\r\n"
        )
        wait_for("a call is in flight", lambda: Partner.received)

        def kill(_state: bytes) -> None:
            courier.kill()
            courier.wait()

        assert receive_hand_over(state, program_fingerprint(), kill) is None, (
            "the old process has not committed"
        )
        Partner.may_answer.set()
        successor = start_courier(tmp_path, port, partner.server_port, socket_fd=sock.fileno())
        wait_for("delivered by the next process", lambda: len(Partner.answered) == 2)
        assert len(set(Partner.answered)) == 1
    finally:
        for process in (courier, successor):
            if process is not None:
                process.kill()
                process.wait()
        sock.close()


def test_start_with_a_descriptor_that_does_not_listen_fails_with_one_line(tmp_path: Path):
    with pytest.raises(ConfigError, match="ROUTER_SOCKET_FD"):
        load_platform_config(
            {
                "ROUTER_SOCKET_FD": "x",
                "ROUTER_LISTEN": "127.0.0.1:0",
                "ROUTER_DISCOVERY": "127.0.0.1:1",
                "ROUTER_STATE": str(tmp_path),
            }
        )
    config = ROOT / "examples" / "config.json"
    env = os.environ | {"ROUTER_CONFIG": str(config), "ROUTER_STATE": str(tmp_path)}
    for descriptor in ("2", "77"):
        result = subprocess.run(
            [sys.executable, "-m", "winchspan"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            env=env | {"ROUTER_SOCKET_FD": descriptor},
            check=False,
        )
        assert (
            result.returncode == 2 and "ROUTER_SOCKET_FD" in result.stderr and result.stderr.count("\n") == 1
        )


def test_plain_start_imports_neither_the_upgrade_nor_msgspec():
    program = (
        "import sys, winchspan.__main__, winchspan.application.application, winchspan.application.components;"
        "print([m for m in sys.modules if m.startswith('winchspan.upgrade') or m == 'msgspec'])"
    )
    result = subprocess.run(
        [sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert result.stdout == "[]\n"


def test_start_without_a_serving_process_does_not_import_the_codec(tmp_path: Path):
    program = (
        "import sys, pathlib; from winchspan.upgrade.take_over import acquire_state_directory as acquire;"
        "found = acquire(pathlib.Path(sys.argv[1]), lambda: True, lambda: 0.0);"
        "print(found.state, found.descriptors, 'msgspec' in sys.modules)"
    )
    result = subprocess.run(
        [sys.executable, "-c", program, str(tmp_path)], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert result.stdout == "None [] False\n"
