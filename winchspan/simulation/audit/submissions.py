"""Checks submissions and their replies: PROTOCOL, 'Clients to couriers'."""

from __future__ import annotations

import re
from typing import Final
from zlib import crc32

from winchspan.api import Settings
from winchspan.simulation.audit.message_registry import MessageRegistry
from winchspan.simulation.audit.records import CourierRecord, MessageRecord
from winchspan.simulation.audit.rules import Rule, ViolationLog
from winchspan.simulation.loop import NS_PER_MS

_SUBMIT_WORD_COUNT: Final = 5
_BUSY_REPLY: Final = re.compile(r"-BUSY( (\d{1,9}))?( .*)?")
_ROUNDING_MS: Final = 1.0  # rounding tolerance of a retry-after, which is sent in integer ms


class SubmissionChecker:
    """Registers the messages that clients submit, and checks the replies."""

    def __init__(self, settings: Settings, registry: MessageRegistry, violations: ViolationLog) -> None:
        self._settings = settings
        self._registry = registry
        self._violations = violations

    def on_request(self, courier: CourierRecord, now_ns: int, words: list[bytes]) -> MessageRecord | None:
        """Handle a complete request.

        Returns:
            The submitted message; None if the request is not a valid submission of a new message.
        """
        if len(words) != _SUBMIT_WORD_COUNT or words[0].upper() != b"SUBMIT":
            return None
        key, message_id, tag_text = (word.decode("latin-1") for word in words[1:4])
        tags = dict(tag.split("=", 1) for tag in tag_text.split(",") if "=" in tag)
        classes = self._settings.classes if courier.classes is None else courier.classes
        message_class = classes.get(tags.get("c", ""))
        if message_class is None or self._registry.find(message_id) is not None:
            return None
        try:
            time_left_ms = float(tags["d"])
            destination = int(tags["dest"])
        except (KeyError, ValueError):
            return None
        message = MessageRecord(
            id=message_id,
            message_class=message_class,
            ordering_key=key.lstrip("0") if message_class.ordered else "",
            destination=destination,
            idempotency_key=tags.get("k", ""),
            body_checksum=crc32(words[4]),
            courier_host=courier.host,
            deadline_ns=now_ns + int(time_left_ms * NS_PER_MS),
        )
        self._registry.add(message)
        return message

    def on_reply(self, message: MessageRecord, now_ns: int, reply: str) -> None:
        """Handle the reply to a submission."""
        if reply[:1] in "+$":
            message.is_accepted = True
            self._registry.accepted_count += 1
            if message.delivered_at_ns:
                self._registry.finish(message, now_ns)
            return
        match = _BUSY_REPLY.fullmatch(reply)
        max_retry_after_ms = self._settings.max_retry_after_ns / NS_PER_MS + _ROUNDING_MS
        is_malformed = match is None or float(match[2] or 0) > max_retry_after_ms
        if reply.startswith("-BUSY") and is_malformed:
            self._violations.record(
                Rule.ANSWER, message.id, now_ns, f"not the form of a rejection: {reply:.60}"
            )
        self._registry.finish(message, now_ns)

    def on_unexpected_reply(self, now_ns: int, reply: str) -> None:
        """Handle a reply without a request."""
        self._violations.record(Rule.ANSWER, "", now_ns, f"a reply without a request: {reply:.60}")

    def on_connection_lost(self, message: MessageRecord, now_ns: int, *, is_courier_fault: bool) -> None:
        """Handle the end of a client's connection before the reply: the courier owes nothing for this id."""
        if is_courier_fault:
            self._violations.record(
                Rule.ANSWER, message.id, now_ns, "the courier closed the connection without a reply"
            )
        self._registry.finish(message, now_ns)
