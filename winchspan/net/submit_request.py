"""The `SUBMIT` command of clients: validates it, and passes the message to the intake."""

from __future__ import annotations

import re
from typing import Final, Protocol

from winchspan.delivery.errors import BadRequestError
from winchspan.delivery.messages import SubmittedMessage

_ID: Final = re.compile(rb"[0-9A-Za-z_-]{1,64}")
_KEY: Final = re.compile(rb"[0-9a-fA-F]{1,32}")
_NUMBER: Final = re.compile(r"[0-9]{1,12}(\.[0-9]{1,6})?")
_MAX_DESTINATION_DIGITS: Final = 18


class MessageIntake(Protocol):
    """Accepts messages."""

    def accept(self, submitted: SubmittedMessage) -> int:
        """Accept a message and return its handle; raises RejectedError or BadRequestError."""

    def withdraw(self, handle: int) -> None:
        """Withdraw a message whose client has disconnected before its reply was sent."""

    def is_at_most_once(self, handle: int) -> bool:
        """Return whether an accepted message may be executed only once."""


def parse_submit(words: list[bytes], intake: MessageIntake, age_ms: float = 0.0) -> int:
    """Parse `SUBMIT KEY ID NAMES BODY` and submit the message to the intake.

    Args:
        words: the words of the request.
        intake: accepts the message.
        age_ms: upper bound on the time since the client sent the request.

    Returns:
        The message's handle.

    Raises:
        BadRequestError: the request violates the protocol.
        RejectedError: the message is not accepted at present.
    """
    if len(words) != 5:
        raise BadRequestError("SUBMIT takes a key, an id, a list of names and a body")
    _, key, message, names, body = words
    if not _KEY.fullmatch(key):
        raise BadRequestError("the key is not hexadecimal")
    if not _ID.fullmatch(message):
        raise BadRequestError("the id is not plain")
    values = _parse_names(names)
    return intake.accept(
        SubmittedMessage(
            message.decode(),
            values.get("c", ""),
            int(key, 16) or None,
            int(values["dest"]),
            float(values["d"]),
            values.get("k", ""),
            body,
            "r" in values,
            "again" in values,
            age_ms,
        )
    )


def _parse_names(names: bytes) -> dict[str, str]:
    """Parse `NAME=VALUE,NAME=VALUE`, and validate the known names; `d` and `dest` are required."""
    values: dict[str, str] = {}
    for item in names.decode("latin-1").split(","):
        name, equals, value = item.partition("=")
        if not equals or not value.isprintable():
            raise BadRequestError("the names are not NAME=VALUE")
        if name in values:
            raise BadRequestError("a name comes twice")
        values[name] = value
    if not _NUMBER.fullmatch(values.get("d", "")):
        raise BadRequestError("d is no number of milliseconds")
    destination = values.get("dest", "")
    if not (destination.isascii() and destination.isdigit() and len(destination) <= _MAX_DESTINATION_DIGITS):
        raise BadRequestError("dest is no number")
    token = values.get("k")
    if token and not _ID.fullmatch(token.encode("latin-1")):
        raise BadRequestError("k is not plain")
    if values.get("r", "1") != "1" or values.get("again", "1") != "1":
        raise BadRequestError("a mark is not 1")
    return values
