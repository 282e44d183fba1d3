"""Messages as clients submit them to a courier."""

from __future__ import annotations

import socket
import time
from dataclasses import dataclass
from typing import Final

from winchspan.fakes.ports import HOST

SUBMIT_TIMEOUT_SECONDS: Final = 5.0
MAX_REPLY_BYTES: Final = 100


@dataclass(frozen=True, slots=True)
class Submission:
    """One message as a client submits it.

    Attributes:
        message_id: 16 hexadecimal digits.
        class_name: name of its message class.
        destination: number of its destination.
        deadline_ms: time limit of the delivery, from the submission.
        token: idempotency key.
        ordering_key: messages with the same key are delivered one after another; 0: no ordering.
        body: content to deliver.
    """

    message_id: str
    class_name: str
    destination: int
    deadline_ms: float
    token: str
    ordering_key: int = 0
    body: bytes = b"x"

    def encode(self) -> bytes:
        """Return the RESP2 command."""
        parameters = f"c={self.class_name},d={self.deadline_ms:.0f},k={self.token},dest={self.destination}"
        words = [
            b"SUBMIT",
            b"%016x" % self.ordering_key,
            self.message_id.encode(),
            parameters.encode(),
            self.body,
        ]
        return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


def new_message_id() -> str:
    """Return a message id that is unique within this process."""
    return f"{time.monotonic_ns() % (1 << 64):016x}"


def submit_message(port: int, submission: Submission) -> bytes:
    """Submit a message on a new connection, and return the courier's reply."""
    with socket.create_connection((HOST, port), timeout=SUBMIT_TIMEOUT_SECONDS) as connection:
        connection.sendall(submission.encode())
        return connection.recv(MAX_REPLY_BYTES)
