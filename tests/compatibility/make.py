"""Records samples with the present program: `python -m tests.compatibility.make [NAME...]`.

The samples in `recorded/` were written by the program of commit 5bc3544 and must not be written again: later
programs must read them. Only samples of new formats are added, and `README.md` names the commit of each.
"""

from __future__ import annotations

import os
import shutil
import sys
import threading
from http.server import ThreadingHTTPServer
from pathlib import Path
from tempfile import TemporaryDirectory

from examples.submit import encode_submit
from tests import test_end_to_end as harness
from tests.compatibility.samples import WRITERS
from winchspan.upgrade.errors import HandOverError
from winchspan.upgrade.fingerprint import program_fingerprint
from winchspan.upgrade.hand_over_client import receive_hand_over

RECORDED = Path(__file__).parent / "recorded"
OPERATOR_TEXT = (
    "(storms (on yes) (least-part 2) (pace-calm no) (words no) (recent-keys 100) (destinations 8))"
)


def write_upgrade(folder: Path) -> None:
    """Record the hand-over state of a courier process.

    It has calls in flight, queued messages, an unacknowledged notification and clients.
    """
    folder.mkdir(parents=True, exist_ok=True)
    with TemporaryDirectory() as directory:
        _capture(Path(directory), folder)


def _capture(directory: Path, folder: Path) -> None:
    import socket

    partner = _partner()
    listener = socket.create_server(("127.0.0.1", 0))
    os.set_inheritable(listener.fileno(), True)
    port = int(listener.getsockname()[1])
    operator = directory / "operator.sexp"
    operator.write_text(OPERATOR_TEXT)
    courier = harness.start_courier(
        directory, port, partner.server_port, "--operator", str(operator), socket_fd=listener.fileno()
    )
    clients: list[socket.socket] = []
    try:
        harness.Partner.may_answer.set()
        assert harness.send_request(port, encode_submit("gallery-notice", "7", "answered")) == b"+OK\r\n"
        harness.wait_for("a delivery", lambda: harness.Partner.answered)
        harness.Partner.may_answer.clear()
        for number in range(6):
            line = encode_submit("order-payment", "7", f"body {number}", f"{number % 2 + 1:016x}", 1_200_000)
            assert harness.send_request(port, line) == b"+OK\r\n"
        assert (
            harness.send_request(port, encode_submit("gallery-notice", "8", "nobody", deadline_ms=600_000))
            == b"+OK\r\n"
        )
        harness.wait_for("calls are in flight", lambda: len(harness.Partner.received) == 3)
        for name, fingerprint in (("same", program_fingerprint()), ("differs", "another")):
            clients.append(socket.create_connection(("127.0.0.1", port)))
            clients[-1].sendall(b"*1\r\n$4\r\nPING\r\n")
            assert clients[-1].recv(100) == b"+PONG\r\n"
            if name == "same":
                clients.append(socket.create_connection(("127.0.0.1", port)))
                clients[-1].sendall(b"*1\r\n$4\r\nPI")
            (folder / f"{name}.state").write_bytes(_state(directory / "state", fingerprint))
    finally:
        for client in clients:
            client.close()
        courier.kill()
        courier.wait()
        listener.close()
        harness.Partner.may_answer.set()
        partner.shutdown()
        partner.server_close()


def _state(folder: Path, fingerprint: str) -> bytes:
    received: list[bytes] = []

    def reject(data: bytes) -> None:
        received.append(data)
        raise HandOverError("the state is only recorded")

    harness.wait_for(
        "the state", lambda: receive_hand_over(folder, fingerprint, reject) is None and bool(received)
    )
    return received[0]


def _partner() -> ThreadingHTTPServer:
    harness.Partner.answered, harness.Partner.received, harness.Partner.notified = [], [], []
    harness.Partner.notification_ports, harness.Partner.call_ports, harness.Partner.extra_hosts = [], [], []
    harness.Partner.may_answer = threading.Event()
    return harness.serve()


def main(names: list[str]) -> None:
    """Record the named samples; all if no name is given."""
    writers = WRITERS | {"upgrade": write_upgrade}
    for name in names or list(writers):
        shutil.rmtree(RECORDED / name, ignore_errors=True)
        writers[name](RECORDED / name)


if __name__ == "__main__":
    main(sys.argv[1:])
