"""Notifies the platform of accepted messages that were not delivered, until it acknowledges."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from loguru import logger

from winchspan.config.platform import Address
from winchspan.net import http
from winchspan.net.connection_pool import HttpConnectionPool
from winchspan.net.http_call import HttpCallOutcome, HttpCallResult, HttpPeer
from winchspan.runtime.clock import Clock
from winchspan.runtime.timers import TimerQueue

RESPONSE_LIMIT_MS: Final = 100.0
"""Time for the response, which the platform sends immediately; notifications may be 300 ms late at most."""

RETRY_DELAY_MS: Final = 50.0
MAX_BATCH: Final = 200
"""Most notifications in one request."""


@dataclass(frozen=True, slots=True)
class Notification:
    """The outcome of one message, to be sent to the platform.

    Attributes:
        message_id: the id of the completed message.
        state: "failed" or "returned", the names of the protocol.
        retry_after_ms: ms after which the client should submit the message again; 0: not stated.
        on_acknowledged: called once the platform has acknowledged the notification.
        reason: the reason in words; empty unless the operator's file enables it.
    """

    message_id: str
    state: str
    retry_after_ms: int
    on_acknowledged: Callable[[], None]
    reason: str = ""

    def encode(self) -> bytes:
        """Return the notification as a line of JSON."""
        data: dict[str, object] = {"id": self.message_id, "state": self.state}
        if self.state == "returned" and self.retry_after_ms:
            data["after_ms"] = self.retry_after_ms
        if self.reason:
            data["reason"] = self.reason
        return json.dumps(data, separators=(",", ":")).encode() + b"\n"


class NotificationQueue:
    """Sends pending notifications, one request at a time; those added meanwhile go into the next request.

    Attributes:
        is_in_flight: whether a request is in flight.
        may_send: returns whether a request may be sent, right before its first byte; None: always.
    """

    def __init__(self, pool: HttpConnectionPool, clock: Clock, timers: TimerQueue, address: Address) -> None:
        self._pool = pool
        self._clock = clock
        self._timers = timers
        self._address = address
        self._pending: list[Notification] = []
        self._is_scheduled = False  # a request is due or in flight
        self._is_suspended = False
        self._is_send_deferred = False  # a request is due once the queue is resumed
        self.is_in_flight = False
        self.may_send: Callable[[], bool] | None = None

    def __len__(self) -> int:
        return len(self._pending)

    def set_address(self, address: Address) -> None:
        """Send later requests to another address.

        The request in flight may still be acknowledged by the old address; otherwise it is repeated at the
        new one.
        """
        if address != self._address:
            self._pool.close_idle(HttpPeer(self._address))
            self._address = address

    def add(self, notification: Notification) -> None:
        """Queue a notification, which is sent until it is acknowledged."""
        self._pending.append(notification)
        if not self._is_scheduled:
            self._is_scheduled = True
            self._timers.call_at(self._clock.now(), self._send)

    def clear(self) -> None:
        """Drop all pending notifications, since another courier sends them."""
        self._pending.clear()

    def suspend(self, suspended: bool) -> None:
        """Suspend sending, or resume it; the request in flight may still be acknowledged."""
        self._is_suspended = suspended
        if not suspended and self._is_send_deferred:
            self._is_send_deferred = False
            self._timers.call_at(self._clock.now(), self._send)

    def _send(self) -> None:
        if not self._pending:  # cleared since it was scheduled
            self._is_scheduled = False
            return
        if self._is_suspended:
            self._is_send_deferred = True
            return
        self.is_in_flight = True
        batch = self._pending[:MAX_BATCH]
        body = b"".join(notification.encode() for notification in batch)
        request = http.encode_request("POST", "/v1/notices", str(self._address), body=body)
        self._pool.start_call(
            HttpPeer(self._address),
            lambda: request if self.may_send is None or self.may_send() else [],
            self._clock.now() + RESPONSE_LIMIT_MS,
            lambda result: self._complete(result, batch),
        )

    def _complete(self, result: HttpCallResult, batch: list[Notification]) -> None:
        self.is_in_flight = False
        response = result.response
        is_answered = result.outcome is HttpCallOutcome.ANSWERED and response is not None
        if is_answered and response is not None and 200 <= response.status < 300:
            self._acknowledge(batch)
            return
        status = response.status if response is not None else result.outcome.value
        logger.warning("notifications: {} not acknowledged: {}", len(batch), status)
        self._timers.call_later(RETRY_DELAY_MS, self._send)

    def _acknowledge(self, batch: list[Notification]) -> None:
        del self._pending[: len(batch)]
        self._is_scheduled = bool(self._pending)
        if self._pending:
            self._timers.call_at(self._clock.now(), self._send)
        for notification in batch:
            notification.on_acknowledged()
