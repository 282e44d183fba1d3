"""Sends delivery attempts to endpoints as HTTP calls of one or more messages, and reads the responses."""

from __future__ import annotations

import json
import socket
from base64 import b64encode
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Final, NamedTuple

from loguru import logger

from winchspan import api
from winchspan.config.json_fields import FieldError, parse_json
from winchspan.config.platform import Address
from winchspan.delivery.messages import AttemptResult, OutgoingMessage
from winchspan.net import http
from winchspan.net.connection_pool import CallOptions, HttpConnectionPool
from winchspan.net.endpoint_directory import EndpointDirectory
from winchspan.net.http_call import HttpCall, HttpCallOutcome, HttpCallResult, HttpCallState, HttpPeer
from winchspan.runtime.clock import Clock
from winchspan.runtime.metrics import Metrics

_OUTCOMES: Final = {
    HttpCallOutcome.NOT_WRITTEN: api.Outcome.CONNECT_FAILED,
    HttpCallOutcome.CONNECTION_LOST: api.Outcome.RESET,
    HttpCallOutcome.TIMED_OUT: api.Outcome.TIMEOUT,
    HttpCallOutcome.CANCELLED: api.Outcome.CANCELLED,
    HttpCallOutcome.RECALLED: api.Outcome.NOT_SENT,
    HttpCallOutcome.INVALID_RESPONSE: api.Outcome.ERROR,
}
_BATCH_STATES: Final = {
    "ok": (api.Outcome.DELIVERED, True),
    "error": (api.Outcome.ERROR, False),
    "later": (api.Outcome.FULL, False),
    "gone": (api.Outcome.NOT_SENT, True),
    "exhausted": (api.Outcome.NOT_SENT, False),
}
_NOT_EXECUTED_STATUSES: Final = (410, 504)
_MAX_BACKOFF_MS: Final = 1e9
MIN_BACKOFF_LEFT_MS: Final = 1.0  # a rejection that has asked for a wait is not one without


class CallContent(NamedTuple):
    """The messages of a call.

    Attributes:
        messages: all messages that the call was started with.
        sent_messages: the messages in the request, decided right before its first byte is written.
    """

    messages: list[OutgoingMessage]
    sent_messages: list[OutgoingMessage]

    def results(
        self, result: HttpCallResult, *, has_load_reports: bool, head_age_ms: float = 0.0
    ) -> list[AttemptResult]:
        """Return a result for each message; a message that was not sent was not executed."""
        sent_results = read_results(
            result, self.sent_messages, has_load_reports=has_load_reports, head_age_ms=head_age_ms
        )
        by_id = {
            message.id: attempt_result
            for message, attempt_result in zip(self.sent_messages, sent_results, strict=True)
        }
        return [by_id.get(message.id, AttemptResult(api.Outcome.NOT_SENT)) for message in self.messages]

    def is_response_of_other_call(self, response: http.ResponseParser) -> bool:
        """Return whether the response to a batch names other messages, and none of the sent ones.

        Guards against a connection whose responses are one call late. A body that names no message at all
        may be a faulty response to this call.
        """
        if response.status != 200 or len(self.sent_messages) < 2:
            return False
        states = _batch_states(bytes(response.body))
        return bool(states) and not any(message.id in states for message in self.sent_messages)

    def is_unreadable(self, response: http.ResponseParser | None) -> bool:
        """Return whether the response to a batch names no message."""
        if response is None or response.status != 200 or len(self.sent_messages) < 2:
            return False
        return not _batch_states(bytes(response.body))


@dataclass(slots=True)
class TransportSettings:
    """The platform's settings for calls.

    Attributes:
        messages_per_call: the most messages that a call may hold, by kind of destination.
        has_load_reports: whether responses hold load reports.
    """

    messages_per_call: dict[str, int]
    has_load_reports: bool = False


class HttpAttemptTransport:
    """Sends delivery attempts to endpoints over HTTP.

    Attributes:
        shared_backoff_ms: returns the ms that a destination must not be called, as it asked other couriers;
            None: backoffs are not shared.
        on_backoff: called with each destination that asks to back off, and the ms.
        on_wait: called with destination, endpoint and ms as soon as a response asks to back off.
        may_send: returns whether a call may be sent, right before its first byte; None: always.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        pool: HttpConnectionPool,
        clock: Clock,
        settings: TransportSettings,
        metrics: Metrics | None = None,
    ) -> None:
        self._directory = directory
        self._pool = pool
        self._clock = clock
        self._settings = settings
        self._metrics = metrics or Metrics()
        self.shared_backoff_ms: Callable[[int], float] | None = None
        self.on_backoff: Callable[[int, float], None] | None = None
        self.on_wait: Callable[[int, int, float], None] = lambda destination, endpoint, wait_ms: None
        pool.on_head = self._read_head
        self.may_send: Callable[[], bool] | None = None

    def set_settings(self, settings: TransportSettings) -> None:
        """Use other settings for later calls and responses."""
        self._settings = settings

    def start(
        self,
        endpoint: int,
        messages: list[OutgoingMessage],
        deadline_ms: float,
        start_by_ms: float | None,
        on_results: Callable[[list[AttemptResult]], None],
        is_wanted: Callable[[str], bool],
    ) -> HttpCall:
        """Start a call.

        Args:
            endpoint: the number of the endpoint.
            messages: the messages to send in one call.
            deadline_ms: clock reading at which the call times out.
            start_by_ms: clock reading by which the call must be written; None: no limit.
            on_results: called once, with a result for each message.
            is_wanted: returns whether the message of an id is still to be sent.
        """
        record = self._directory.endpoints[endpoint]
        if self.shared_backoff_ms is not None:
            backoff_ms = self.shared_backoff_ms(record.destination)
            if backoff_ms > 0.0:
                results = [AttemptResult(api.Outcome.NOT_SENT, retry_after_ms=backoff_ms)] * len(messages)
                return self._pool.immediate_call(lambda: on_results(results))
        content = CallContent(messages, [*messages])
        call = self._pool.start_call(
            record.peer,
            partial(self._make_request, content, record.address, deadline_ms, is_wanted),
            deadline_ms,
            lambda result: on_results(self._results(result, content, record.peer)),
            CallOptions(
                start_by_ms=start_by_ms,
                on_written=lambda: self._metrics.count_sent(len(content.sent_messages)),
                is_foreign=content.is_response_of_other_call,
            ),
        )
        call.context = content
        return call

    def _make_request(
        self, content: CallContent, address: Address, deadline_ms: float, is_wanted: Callable[[str], bool]
    ) -> list[bytes]:
        """Return the request, right before its first byte is written; empty if no message is to be sent.

        Guards against messages that complete while the connection is being established: they would be sent
        after their final result, together with the other messages of the call.
        """
        wanted = [message for message in content.messages if is_wanted(message.id)]
        content.sent_messages[:] = wanted
        if not wanted or (self.may_send is not None and not self.may_send()):
            return []
        remaining_seconds = max(0.0, deadline_ms - self._clock.now()) / 1_000.0
        encode = _encode_batch if len(wanted) > 1 else _encode_single
        return encode(wanted, str(address), remaining_seconds)

    def _read_head(self, peer: HttpPeer, response: http.ResponseParser) -> None:
        """Report the backoff that a response asks for, which binds whatever becomes of the response."""
        record = self._directory.endpoints.get(peer.endpoint_number)
        backoff_ms = _backoff_ms(response.headers)
        if record is None or not backoff_ms:
            return
        logger.debug("endpoint {} asks to wait {:.0f} ms, {}", record.name, backoff_ms, response.status)
        self.on_wait(record.destination, record.number, backoff_ms)
        if self.on_backoff is not None:
            self.on_backoff(record.destination, backoff_ms)

    def _results(self, result: HttpCallResult, content: CallContent, peer: HttpPeer) -> list[AttemptResult]:
        if content.is_unreadable(result.response):  # its connection may be out of order
            self._pool.close_idle(peer)
        head_ms = None if result.response is None else result.response.head_received_ms
        return content.results(
            result,
            has_load_reports=self._settings.has_load_reports,
            head_age_ms=0.0 if head_ms is None else self._clock.now() - head_ms,
        )

    def adopt(
        self,
        sock: socket.socket,
        call: HttpCall,
        state: HttpCallState,
        on_results: Callable[[list[AttemptResult]], None],
    ) -> None:
        """Take over a call that another process has written.

        Args:
            sock: the connection of the call.
            call: the call, without a connection yet.
            state: the call's state in the other process.
            on_results: called once, with a result for each message.
        """
        content: CallContent = state.context
        call.context = content
        call.is_foreign = content.is_response_of_other_call
        self._pool.adopt_call(
            sock, call, state, lambda result: on_results(self._results(result, content, state.peer))
        )

    def serves(self, destination: int) -> bool:
        """Return whether an endpoint of the destination is listed; True before the first endpoint list."""
        return destination in self._directory.endpoint_counts or not self._directory.endpoint_counts

    def recall(self, endpoint: int) -> None:
        """Recall the calls to an endpoint that are not completely written."""
        if record := self._directory.endpoints.get(endpoint):
            self._pool.recall(record.peer)

    def close_idle(self, endpoint: int) -> None:
        """Close the idle connections to an endpoint, if the directory still holds it."""
        if record := self._directory.endpoints.get(endpoint):
            self._pool.close_idle(record.peer)

    def describe(self, endpoint: int) -> tuple[str, str, int]:
        """Return name and zone of an endpoint, and the most messages that a call to it may hold."""
        record = self._directory.endpoints.get(endpoint)
        if record is None:
            return "?", "", 1
        return record.name, record.zone, self._settings.messages_per_call.get(record.kind, 1)


def _encode_single(messages: list[OutgoingMessage], host: str, remaining_s: float) -> list[bytes]:
    (message,) = messages
    headers = [("X-Request-Id", message.id), ("X-Deadline", f"{remaining_s:.3f}")]
    if message.idempotency_key:
        headers.append(("Idempotency-Key", message.idempotency_key))
    return http.encode_request("POST", "/hook", host, headers, message.body)


def _encode_batch(messages: list[OutgoingMessage], host: str, remaining_s: float) -> list[bytes]:
    items = []
    for message in messages:
        item = {"id": message.id}
        if message.idempotency_key:
            item["key"] = message.idempotency_key
        items.append(item | {"body": b64encode(message.body).decode()})
    headers = [("X-Deadline", f"{remaining_s:.3f}"), ("Content-Type", "application/json")]
    body = json.dumps(items, separators=(",", ":")).encode()
    return http.encode_request("POST", "/hook/batch", host, headers, body)


class ResponseSignals(NamedTuple):
    """The flow-control headers of a response.

    Attributes:
        backoff_ms: ms during which the destination asks for no further call; 0: not stated.
        limit_remaining: the remaining share of the allowance, if reported.
        limit_rate: the limit in calls a second, if reported.
    """

    backoff_ms: float
    limit_remaining: float | None
    limit_rate: float | None

    def result(self, outcome: api.Outcome, *, is_final: bool = False) -> AttemptResult:
        """Return the result of an attempt with these signals."""
        return AttemptResult(outcome, is_final, self.backoff_ms, False, self.limit_remaining, self.limit_rate)


def read_results(
    result: HttpCallResult,
    messages: list[OutgoingMessage],
    *,
    has_load_reports: bool = False,
    head_age_ms: float = 0.0,
) -> list[AttemptResult]:
    """Return the result of the attempt for each message in a completed call.

    Args:
        result: the result of the call.
        messages: the messages in its request.
        has_load_reports: whether responses hold load reports.
        head_age_ms: time since the head of the response, by which the wait that it asks for is over.
    """
    response = result.response
    if response is None:
        if result.first_line_status == 200 and len(messages) == 1:
            # By the protocol, a status line with 200 is a delivery, even if the rest of the response is lost.
            return [AttemptResult(api.Outcome.DELIVERED, True)]
        return [AttemptResult(_OUTCOMES[result.outcome])] * len(messages)
    limit_remaining, limit_rate = _load_report(response.headers.get("x-load", "") if has_load_reports else "")
    backoff_ms = _backoff_ms(response.headers)
    if backoff_ms:
        backoff_ms = max(MIN_BACKOFF_LEFT_MS, backoff_ms - head_age_ms)
    signals = ResponseSignals(backoff_ms, limit_remaining, limit_rate)
    if response.status == 200 and len(messages) > 1:
        return _read_batch(bytes(response.body), messages, signals)
    return [_read_single(response, signals)] * len(messages)


def _read_single(response: http.ResponseParser, signals: ResponseSignals) -> AttemptResult:
    """Return the result that the status gives for every message of the call."""
    status = response.status
    if status == 200:
        return signals.result(api.Outcome.DELIVERED, is_final=True)
    if status in http.REJECTING_STATUSES and response.headers.get("x-over-slots") == "1":
        return AttemptResult(api.Outcome.NOT_SENT, no_slot=True)
    if status in http.REJECTING_STATUSES:
        return signals.result(api.Outcome.FULL)
    if status in _NOT_EXECUTED_STATUSES:
        return AttemptResult(api.Outcome.NOT_SENT, status == 410)
    if status != 500:
        logger.warning("an endpoint responded with the unexpected status {}", status)
    return signals.result(api.Outcome.ERROR)


def _read_batch(
    body: bytes, messages: list[OutgoingMessage], signals: ResponseSignals
) -> list[AttemptResult]:
    """Return the results of a batch; a message without a state in the response may have been executed."""
    states = _batch_states(body)
    results = []
    for message in messages:
        outcome, is_final = _BATCH_STATES.get(str(states.get(message.id)), (api.Outcome.ERROR, False))
        results.append(signals.result(outcome, is_final=is_final))
    return results


def _batch_states(body: bytes) -> dict[object, object]:
    """Return the states by message id; a partly unreadable body gives none at all."""
    try:
        return {row["id"]: row["state"] for row in parse_json(body)}
    except (FieldError, TypeError, KeyError) as err:
        logger.warning("unreadable response to a batch call: {!r:.100}", err)
        return {}


def retry_after_ms(result: HttpCallResult) -> float:
    """Return the ms that the response asks to back off; 0 without a response or a valid header."""
    return _backoff_ms(result.response.headers) if result.response is not None else 0.0


def _backoff_ms(headers: dict[str, str]) -> float:
    """Return the ms to back off; 0 if the header is missing or invalid."""
    text = headers.get("x-ratelimit-wait-ms", "")
    try:
        backoff_ms = float(text) if text else 0.0
    except ValueError:
        return 0.0
    return backoff_ms if 0.0 < backoff_ms < _MAX_BACKOFF_MS else 0.0


def _load_report(text: str) -> tuple[float | None, float | None]:
    """Return the remaining share and the limit from `x0=0.4,x1=25`; both None if invalid."""
    values: dict[str, float] = {}
    for item in text.split(",") if text else ():
        name, _, value = item.partition("=")
        try:
            parsed = float(value)
        except ValueError:
            return None, None
        if not 0.0 <= parsed < 1e9:  # rejects NaN too
            return None, None
        values[name.strip()] = parsed
    return values.get("x0"), values.get("x1")
