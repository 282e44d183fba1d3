"""Checks the calls of couriers to endpoints: PROTOCOL, 'Couriers to endpoints'."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Final, NamedTuple
from zlib import crc32

from winchspan.api import Effect, Settings
from winchspan.simulation.audit.message_registry import MessageRegistry
from winchspan.simulation.audit.records import (
    CROSSING_TOLERANCE_NS,
    GRACE_NS,
    NO_WAIT,
    CourierRecord,
    MessageRecord,
    WaitWindow,
)
from winchspan.simulation.audit.rules import Rule, ViolationLog
from winchspan.simulation.loop import NS_PER_MS


class CallState(StrEnum):
    """The result of a call for a message. The values are those of PROTOCOL in the response to a batch."""

    OK = "ok"
    ERROR = "error"
    GONE = "gone"
    EXHAUSTED = "exhausted"
    LATER = "later"


POSSIBLY_EXECUTED_STATES: Final = frozenset({CallState.OK, CallState.ERROR})
"""Results after which the message may have been executed."""


@dataclass(frozen=True, slots=True)
class CallStart:
    """The start of a call.

    Attributes:
        connection: the connection that carries it, used as an identity.
        courier: the calling courier.
        port: the port of the endpoint.
        begin_ns: time when its first byte was sent.
        now_ns: time when its messages had been read from the request.
    """

    connection: object
    courier: CourierRecord
    port: int
    begin_ns: int
    now_ns: int


class CallItem(NamedTuple):
    """A message's id and idempotency key as sent in a call."""

    message_id: str
    idempotency_key: str


class CallChecker:
    """Checks the start, the content and the result of calls.

    Attributes:
        call_count: number of calls so far.
    """

    def __init__(self, settings: Settings, registry: MessageRegistry, violations: ViolationLog) -> None:
        self.call_count = 0
        self._settings = settings
        self._registry = registry
        self._violations = violations

    def on_call(self, call: CallStart, items: list[CallItem]) -> list[MessageRecord]:
        """Handle the start of a call; return those of its messages that are registered."""
        self.call_count += 1
        messages = []
        for item in items:
            message = self._registry.find(item.message_id)
            self._check_item(call, item, message)
            if message is not None:
                messages.append(message)
        for message in messages:
            self._check_message(call, message)
        if messages:
            self._check_endpoint(call, messages[0])
            self._check_wait(call, messages[0])
        return messages

    def on_body(self, message: MessageRecord, now_ns: int, body: bytes) -> None:
        """Handle the complete body of a call."""
        if crc32(body) != message.body_checksum:
            self._violations.record(
                Rule.CONTENT, message.id, now_ns, "the body is not the one that was submitted"
            )

    def on_result(self, message: MessageRecord, begin_ns: int, now_ns: int, state: str) -> None:
        """Handle the end of a call for a message; `state` is a `CallState` or any other text."""
        message.call_in_flight = None
        if state in POSSIBLY_EXECUTED_STATES and message.possibly_executed_since_ns is None:
            message.possibly_executed_since_ns = begin_ns
        if state == CallState.OK:
            message.delivered_at_ns = now_ns
        if state in (CallState.OK, CallState.GONE):
            self._registry.finish(message, now_ns)

    def on_unanswered(self, courier: CourierRecord, message: MessageRecord, now_ns: int) -> None:
        """Handle the end of a connection before the response: the message may still be executed."""
        if message.ordering_key:
            courier.key_rest_ends_ns[message.ordering_key] = now_ns + self._settings.key_rest_ns

    @staticmethod
    def on_wait(courier: CourierRecord, now_ns: int, destination: int, wait_ms: float) -> None:
        """Handle a response in which a destination announces a wait; the wait that ends last is in force."""
        end_ns = now_ns + int(wait_ms * NS_PER_MS)
        if end_ns > courier.waits.get(destination, NO_WAIT).end_ns:
            courier.waits[destination] = WaitWindow(now_ns, end_ns)

    def _check_item(self, call: CallStart, item: CallItem, message: MessageRecord | None) -> None:
        if message is None:
            evidence = "a call with a message that nobody has submitted"
        elif message.idempotency_key != item.idempotency_key:
            evidence = f"idempotency key {item.idempotency_key!r:.40}, not {message.idempotency_key!r:.40}"
        else:
            return
        self._violations.record(Rule.CONTENT, item.message_id, call.now_ns, evidence)

    def _check_message(self, call: CallStart, message: MessageRecord) -> None:
        previous_call = message.call_in_flight
        if previous_call not in (None, call.connection) and not self._settings.second_copies:
            self._violations.record(
                Rule.COPY,
                message.id,
                call.now_ns,
                f"{call.courier.host} began a call while another is in flight",
            )
        message.call_in_flight = call.connection
        self._check_repeat(call, message)
        self._check_order(call, message)

    def _check_order(self, call: CallStart, message: MessageRecord) -> None:
        rest_end_ns = call.courier.key_rest_ends_ns.get(message.ordering_key, 0)
        if not message.was_called and call.begin_ns < rest_end_ns - GRACE_NS:
            left_ms = (rest_end_ns - call.begin_ns) / NS_PER_MS
            evidence = (
                f"key {message.ordering_key}: an earlier call may still run, {left_ms:.0f} ms more to rest"
            )
            self._violations.record(Rule.ORDER, message.id, call.begin_ns, evidence)
        message.was_called = True
        head = self._registry.head_of_line(message)
        if head is not message:
            evidence = f"key {message.ordering_key}: {head.id} was submitted before, and is not finished"
            self._violations.record(Rule.ORDER, message.id, call.now_ns, evidence)

    def _check_repeat(self, call: CallStart, message: MessageRecord) -> None:
        message_class = message.message_class
        if message.possibly_executed_since_ns is None or message_class.effect is Effect.REPEATABLE:
            return
        elapsed_ns = call.begin_ns - message.possibly_executed_since_ns
        if message_class.effect is Effect.ONCE or elapsed_ns > message_class.dedup_ns + GRACE_NS:
            evidence = (
                f"{message_class.name} may have been executed, and began again after "
                f"{elapsed_ns / NS_PER_MS:.0f} ms"
            )
            self._violations.record(Rule.REPEAT, message.id, call.now_ns, evidence)

    def _check_endpoint(self, call: CallStart, message: MessageRecord) -> None:
        endpoints = [
            candidate for candidate in call.courier.endpoints.values() if candidate.port == call.port
        ]
        if not endpoints:
            return
        if all(endpoint.destination != message.destination for endpoint in endpoints):
            evidence = f"for {message.destination}, and sent to an endpoint of {endpoints[0].destination}"
            self._violations.record(Rule.DESTINATION, message.id, call.begin_ns, evidence)
        grace_ns = self._settings.drain_grace_ns + GRACE_NS
        draining_since_ns = [call.courier.draining_since_ns(endpoint) for endpoint in endpoints]
        if all(
            since_ns is not None and call.begin_ns > since_ns + grace_ns for since_ns in draining_since_ns
        ):
            elapsed_ms = (call.begin_ns - (draining_since_ns[-1] or 0)) / NS_PER_MS
            evidence = f"{endpoints[-1].name} was to get no more calls for {elapsed_ms:.0f} ms"
            self._violations.record(Rule.DRAIN, message.id, call.begin_ns, evidence)

    def _check_wait(self, call: CallStart, message: MessageRecord) -> None:
        wait = call.courier.waits.get(message.destination, NO_WAIT)
        if wait.begin_ns + CROSSING_TOLERANCE_NS < call.begin_ns < wait.end_ns - GRACE_NS:
            left_ms = (wait.end_ns - call.begin_ns) / NS_PER_MS
            evidence = f"destination {message.destination} had announced a wait of {left_ms:.0f} ms more"
            self._violations.record(Rule.WAIT, message.id, call.begin_ns, evidence)
