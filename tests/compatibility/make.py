"""Records the samples with the program at hand: `python -m tests.compatibility.make [NAME...]`.

What stands in `recorded/` was written by the program of commit 5bc3544 and is not to be written again: later
programs must read it. Only what is new is added, with the commit that wrote it, in `README.md`.
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
STORMS = "(storms (on yes) (least-part 2) (pace-calm no) (words no) (recent-keys 100) (destinations 8))"


def write_upgrade(folder: Path) -> None:
    """The state of an upgrade: of a real courier with calls out, a queue, a notice unheard, and clients."""
    folder.mkdir(parents=True, exist_ok=True)
    with TemporaryDirectory() as place:
        _capture(Path(place), folder)


def _capture(place: Path, folder: Path) -> None:
    import socket

    partner = _partner()
    listener = socket.create_server(("127.0.0.1", 0))
    os.set_inheritable(listener.fileno(), True)
    port = int(listener.getsockname()[1])
    operator = place / "operator.sexp"
    operator.write_text(STORMS)
    courier = harness.start_courier(
        place, port, partner.server_port, "--operator", str(operator), socket_fd=listener.fileno()
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
        harness.wait_for("calls are out", lambda: len(harness.Partner.received) == 3)
        for name, mine in (("same", program_fingerprint()), ("differs", "another")):
            clients.append(socket.create_connection(("127.0.0.1", port)))
            clients[-1].sendall(b"*1\r\n$4\r\nPING\r\n")
            assert clients[-1].recv(100) == b"+PONG\r\n"
            if name == "same":
                clients.append(socket.create_connection(("127.0.0.1", port)))
                clients[-1].sendall(b"*1\r\n$4\r\nPI")
            (folder / f"{name}.state").write_bytes(_state(place / "state", mine))
    finally:
        for client in clients:
            client.close()
        courier.kill()
        courier.wait()
        listener.close()
        harness.Partner.may_answer.set()
        partner.shutdown()
        partner.server_close()


def _state(folder: Path, mine: str) -> bytes:
    read: list[bytes] = []

    def refuse(data: bytes) -> None:
        read.append(data)
        raise HandOverError("it was to be recorded only")

    harness.wait_for("the state", lambda: receive_hand_over(folder, mine, refuse) is None and bool(read))
    return read[0]


def _partner() -> ThreadingHTTPServer:
    harness.Partner.answered, harness.Partner.received, harness.Partner.notified = [], [], []
    harness.Partner.notification_ports, harness.Partner.call_ports, harness.Partner.extra_hosts = [], [], []
    harness.Partner.may_answer = threading.Event()
    return harness.serve()


def main(names: list[str]) -> None:
    """Record some samples, or all."""
    writers = WRITERS | {"upgrade": write_upgrade}
    for name in names or list(writers):
        shutil.rmtree(RECORDED / name, ignore_errors=True)
        writers[name](RECORDED / name)


if __name__ == "__main__":
    main(sys.argv[1:])
