"""Reads a client's connection to a courier."""

from __future__ import annotations

from collections import deque

from winchspan.simulation.audit.records import CourierRecord, MessageRecord
from winchspan.simulation.audit.submissions import SubmissionChecker
from winchspan.simulation.audit.wire_parsers import RespReplyParser, RespRequestParser, WireFormatError


class ClientConnection:
    """Matches requests with replies of a connection, as they pass the courier's end."""

    def __init__(self, courier: CourierRecord, checker: SubmissionChecker) -> None:
        self._courier = courier
        self._checker = checker
        self._requests = RespRequestParser()
        self._replies = RespReplyParser()
        self._unanswered_requests: deque[MessageRecord | None] = deque()  # None: without a new message
        self._has_malformed_request = False  # if so, replies to this client are not checked

    def on_received(self, now_ns: int, data: bytes, unacknowledged_bytes: int) -> None:
        """Handle bytes from the client."""
        if self._has_malformed_request:
            return
        try:
            for words in self._requests.feed(data):
                self._unanswered_requests.append(self._checker.on_request(self._courier, now_ns, words))
        except WireFormatError:
            self._has_malformed_request = True

    def on_sent(self, now_ns: int, data: bytes) -> None:
        """Handle bytes of the courier; raises WireFormatError."""
        for reply in self._replies.feed(data):
            if self._has_malformed_request:
                return
            if not self._unanswered_requests:
                # A courier rejects a request that is incomplete at its timeout or when the connection ends.
                is_rejection = reply.startswith(("-ERR", "-BUSY")) and self._requests.is_partial
                if not is_rejection:
                    self._checker.on_unexpected_reply(now_ns, reply)
                return
            message = self._unanswered_requests.popleft()
            if message is not None:
                self._checker.on_reply(message, now_ns, reply)

    def on_closed(self, now_ns: int, *, is_courier_close: bool) -> None:
        """Handle the end of the connection."""
        is_courier_fault = is_courier_close and self._courier.is_running and not self._has_malformed_request
        for message in self._unanswered_requests:
            if message is not None:
                self._checker.on_connection_lost(message, now_ns, is_courier_fault=is_courier_fault)
