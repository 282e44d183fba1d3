"""Reads a courier's connection to an endpoint, to discovery or to the platform."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Final

from winchspan.simulation.audit.calls import CallChecker, CallItem, CallStart, CallState
from winchspan.simulation.audit.endpoint_list import apply_endpoint_list
from winchspan.simulation.audit.notifications import NotificationChecker
from winchspan.simulation.audit.records import CourierRecord, MessageRecord
from winchspan.simulation.audit.wire_parsers import HttpMessage, HttpParser

_CALL_PATH: Final = "/hook"
_BATCH_CALL_PATH: Final = "/hook/batch"
_NOTIFICATION_PATH: Final = "/v1/notices"
_DISCOVERY_PATH: Final = "/api/targets"
_STATUS_OK: Final = 200
_STATUS_NO_CONTENT: Final = 204
_MAX_READ_WATCH_BYTES: Final = 1 << 16  # lines already read are dropped above this size
_STATE_BY_STATUS: Final = {
    _STATUS_OK: CallState.OK,
    500: CallState.ERROR,
    410: CallState.GONE,
    504: CallState.EXHAUSTED,
}


@dataclass(frozen=True, slots=True)
class OutgoingCheckers:
    """The checkers of the requests that couriers send."""

    calls: CallChecker
    notifications: NotificationChecker


class OutgoingConnection:
    """Matches requests with responses of a connection, as they pass the courier's end."""

    def __init__(self, courier: CourierRecord, port: int, checkers: OutgoingCheckers) -> None:
        self._courier = courier
        self._port = port
        self._checkers = checkers
        self._requests = HttpParser()
        self._responses = HttpParser()
        self._request_begin_ns = 0  # when the first byte of the latest request was sent
        self._is_request_complete = False
        self._request_bytes = 0  # sent of the latest request
        self._is_out_of_order = False  # a part of surplus bytes may follow
        self._called_messages: list[MessageRecord] = []  # of the call in flight
        self._notified_messages: list[MessageRecord] = []  # of the notification in flight
        self._is_discovery_watch = False  # the response is a discovery watch
        self._watch_read_bytes = 0

    # ---- requests ----------------------------------------------------------------------------------------
    def on_sent(self, now_ns: int, data: bytes) -> None:
        """Handle bytes of the courier; raises WireFormatError, ValueError, KeyError or TypeError."""
        if self._requests.is_idle:
            self._request_begin_ns = now_ns
            self._request_bytes = 0
        self._request_bytes += len(data)
        for request in self._requests.feed(data):
            self._on_request(now_ns, request)
        if self._requests.partial is not None and not self._called_messages:
            self._on_call_head(now_ns, self._requests.partial)

    def _on_call_head(self, now_ns: int, head: HttpMessage) -> None:
        """Handle the head of a call with a single message, which contains the message's id and key."""
        if head.start_line[1] == _CALL_PATH:
            item = CallItem(head.headers.get("x-request-id", ""), head.headers.get("idempotency-key", ""))
            self._begin_call(now_ns, [item])
            self._is_request_complete = False

    def _on_request(self, now_ns: int, request: HttpMessage) -> None:
        path, _, query = request.start_line[1].partition("?")
        if path == _CALL_PATH:
            if not self._called_messages:
                self._on_call_head(now_ns, request)
            for message in self._called_messages:
                self._checkers.calls.on_body(message, now_ns, bytes(request.body))
        elif path == _BATCH_CALL_PATH:
            rows = json.loads(request.body)
            self._begin_call(now_ns, [CallItem(row["id"], row.get("key", "")) for row in rows])
        elif path == _NOTIFICATION_PATH:
            self._on_notifications(now_ns, request)
        elif path == _DISCOVERY_PATH:
            self._is_discovery_watch = "follow=1" in query
            self._watch_read_bytes = 0
        self._is_request_complete = True

    def _begin_call(self, now_ns: int, items: list[CallItem]) -> None:
        call = CallStart(self, self._courier, self._port, self._request_begin_ns, now_ns)
        self._called_messages = self._checkers.calls.on_call(call, items)

    def _on_notifications(self, now_ns: int, request: HttpMessage) -> None:
        messages = [
            self._checkers.notifications.on_notification(self._courier, now_ns, json.loads(row))
            for row in request.body.splitlines()
        ]
        self._notified_messages = [message for message in messages if message is not None]

    # ---- responses ---------------------------------------------------------------------------------------
    def on_received(self, now_ns: int, data: bytes, unacknowledged_bytes: int) -> None:
        """Handle bytes for the courier; raises WireFormatError, ValueError, KeyError or TypeError.

        Bytes that were sent before the server had any byte of the call are no response to it.
        """
        if self._is_out_of_order:
            return
        if self._called_messages and unacknowledged_bytes >= self._request_bytes:
            surplus = HttpParser()
            list(surplus.feed(data))
            self._is_out_of_order = not surplus.is_idle
            return
        for response in self._responses.feed(data):
            if self._is_discovery_watch:
                self._read_watch(now_ns, response)
            elif self._notified_messages:
                self._on_notification_response(now_ns, response)
            elif self._called_messages:
                self._on_call_response(now_ns, response)
        if self._is_discovery_watch and self._responses.partial is not None:
            self._read_watch(now_ns, self._responses.partial)

    def _on_notification_response(self, now_ns: int, response: HttpMessage) -> None:
        if response.status == _STATUS_NO_CONTENT:
            for message in self._notified_messages:
                self._checkers.notifications.on_acknowledged(message, now_ns)
        self._notified_messages = []

    def _read_watch(self, now_ns: int, response: HttpMessage) -> None:
        """Read the lines of a discovery watch as they arrive."""
        text = response.body
        while (line_end := text.find(b"\n", self._watch_read_bytes)) >= 0:
            line = bytes(text[self._watch_read_bytes : line_end]).strip()
            self._watch_read_bytes = line_end + 1
            if line:
                apply_endpoint_list(self._courier, now_ns, json.loads(line))
        if self._watch_read_bytes > _MAX_READ_WATCH_BYTES:
            del text[: self._watch_read_bytes]
            self._watch_read_bytes = 0

    def _on_call_response(self, now_ns: int, response: HttpMessage) -> None:
        """Handle a response, whose status applies to all messages of a call unless it lists their states."""
        common_state: str = _STATE_BY_STATUS.get(response.status, CallState.LATER)
        states: dict[str, str] = {}
        if response.status == _STATUS_OK and len(self._called_messages) > 1:
            states = {row["id"]: row["state"] for row in json.loads(response.body)}
            common_state = CallState.ERROR if states else common_state
        wait_ms = float(response.headers.get("x-ratelimit-wait-ms", "0"))
        if wait_ms > 0.0:
            destination = self._called_messages[0].destination
            self._checkers.calls.on_wait(self._courier, now_ns, destination, wait_ms)
        for message in self._called_messages:
            state = states.get(message.id, common_state)
            self._checkers.calls.on_result(message, self._request_begin_ns, now_ns, state)
        self._called_messages = []

    # ---- end ---------------------------------------------------------------------------------------------
    def on_closed(self, now_ns: int, *, is_courier_close: bool) -> None:
        """Handle the end of the connection, which also ends a call in flight."""
        # The status line with status 200 delivers a single message, even if the rest of the response is lost.
        if len(self._called_messages) == 1 and self._responses.status == _STATUS_OK:
            state = CallState.OK
        elif self._is_request_complete:
            state = CallState.ERROR
        else:
            state = CallState.LATER
        for message in self._called_messages:
            self._checkers.calls.on_result(message, self._request_begin_ns, now_ns, state)
            if state is CallState.ERROR:
                self._checkers.calls.on_unanswered(self._courier, message, now_ns)
        self._called_messages = []
