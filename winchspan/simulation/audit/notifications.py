"""Checks the notifications of couriers to the platform: PROTOCOL, 'Notices'."""

from __future__ import annotations

from typing import TypedDict

from winchspan.simulation.audit.message_registry import MessageRegistry
from winchspan.simulation.audit.records import CROSSING_TOLERANCE_NS, CourierRecord, MessageRecord
from winchspan.simulation.audit.rules import Rule, ViolationLog


class NotificationRow(TypedDict):
    """A line of a notification's body."""

    id: str
    state: str


class NotificationChecker:
    """Checks that each message is announced once, with a single state."""

    def __init__(self, registry: MessageRegistry, violations: ViolationLog) -> None:
        self._registry = registry
        self._violations = violations

    def on_notification(
        self, courier: CourierRecord, now_ns: int, row: NotificationRow
    ) -> MessageRecord | None:
        """Handle a sent notification; return its message if that is registered."""
        message_id = str(row["id"])
        state = str(row["state"])
        message = self._registry.find(message_id)
        evidence = self._find_violation(courier, message, now_ns, state)
        if evidence:
            self._violations.record(Rule.END, message_id, now_ns, evidence)
        elif message is not None:
            message.notified_state = state
        return message

    def on_acknowledged(self, message: MessageRecord, now_ns: int) -> None:
        """Handle the acknowledgement of a notification."""
        message.acknowledged_at_ns = now_ns
        self._registry.finish(message, now_ns)

    @staticmethod
    def _find_violation(
        courier: CourierRecord, message: MessageRecord | None, now_ns: int, state: str
    ) -> str:
        """Return the evidence of a violation; empty if there is none."""
        if message is None:
            return "a notification of a message that nobody has submitted, or that finished long ago"
        delivered_at_ns = message.delivered_at_ns
        is_late = delivered_at_ns != 0 and now_ns > delivered_at_ns + CROSSING_TOLERANCE_NS
        if is_late and not courier.may_have_missed(delivered_at_ns):
            return f"announced as {state} after its delivery reached the courier"
        if message.notified_state and message.notified_state != state:
            return f"announced as {state} after {message.notified_state}"
        if courier.started_at_ns < message.acknowledged_at_ns:
            return "announced again after the notification was acknowledged"
        return ""
