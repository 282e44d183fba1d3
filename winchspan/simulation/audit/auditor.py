"""Checks every rule of the platform on the traffic of the couriers' sockets, without access to their state.

Memory use does not grow with the length of a run, because messages are removed some time after their end.
The checks use the times at a courier's system: bytes count as sent when it accepts them, and as received when
they reach it. 50 ms are added to each time limit of PROTOCOL, as its rules on sockets do.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Final

from winchspan.api import MessageClass, Settings
from winchspan.simulation.audit.calls import CallChecker
from winchspan.simulation.audit.client_connection import ClientConnection
from winchspan.simulation.audit.message_registry import MessageRegistry
from winchspan.simulation.audit.notifications import NotificationChecker
from winchspan.simulation.audit.outgoing_connection import OutgoingCheckers, OutgoingConnection
from winchspan.simulation.audit.records import GRACE_NS, CourierRecord, MessageRecord
from winchspan.simulation.audit.rules import Rule, ViolationLog
from winchspan.simulation.audit.submissions import SubmissionChecker
from winchspan.simulation.audit.wire_parsers import WireFormatError
from winchspan.simulation.connection import ConnectionEnd
from winchspan.simulation.loop import NS_PER_MS
from winchspan.simulation.trace import Side

OVERDUE_AFTER_NS: Final = 300 * NS_PER_MS
"""Time after a message's deadline by which its end must have been seen, with `GRACE_NS` on top."""

START_GRACE_NS: Final = 1_500 * NS_PER_MS
"""Time after a courier's start before which overdue messages are not reported as violations."""

ABANDONED_AFTER_NS: Final = 600_000 * NS_PER_MS
"""Time after a message's deadline at which it counts as finished, whatever its state."""


class Auditor:
    """Checks all rules for all couriers of a run, as the `TrafficObserver` of the network.

    Attributes:
        violation_log: the violations found so far.
    """

    def __init__(self, settings: Settings, courier_hosts: list[str], now_ns: Callable[[], int]) -> None:
        """Create an auditor.

        Args:
            settings: the platform's settings.
            courier_hosts: the hosts of the couriers to audit.
            now_ns: returns the time of the loop's clock in ns.
        """
        self.violation_log = ViolationLog()
        self._now_ns = now_ns
        self._couriers = {host: CourierRecord(host) for host in courier_hosts}
        self._registry = MessageRegistry()
        self._submissions = SubmissionChecker(settings, self._registry, self.violation_log)
        self._outgoing = OutgoingCheckers(
            CallChecker(settings, self._registry, self.violation_log),
            NotificationChecker(self._registry, self.violation_log),
        )
        self._connections: dict[ConnectionEnd, ClientConnection | OutgoingConnection] = {}

    # ---- statistics --------------------------------------------------------------------------------------
    @property
    def call_count(self) -> int:
        """Number of calls that couriers have begun."""
        return self._outgoing.calls.call_count

    @property
    def accepted_count(self) -> int:
        """Number of messages that couriers have accepted."""
        return self._registry.accepted_count

    @property
    def max_known_messages(self) -> int:
        """Maximum number of messages in the registry at any time."""
        return self._registry.max_size

    @property
    def open_connection_count(self) -> int:
        """Number of connections that are being observed."""
        return len(self._connections)

    # ---- events of couriers ------------------------------------------------------------------------------
    def on_courier_started(self, host: str) -> None:
        """Handle the start of an incarnation, which has not received any waits or endpoints."""
        courier = self._couriers[host]
        courier.started_at_ns = self._now_ns()
        courier.is_running = True
        courier.waits = {}
        courier.key_rest_ends_ns = {}
        courier.endpoints = {}

    def on_courier_stopped(self, host: str) -> None:
        """Handle that a courier has ended, or has been signalled to end."""
        courier = self._couriers[host]
        courier.is_running = False
        courier.stopped_at_ns = self._now_ns()

    def on_courier_suspended(self, host: str, duration_ms: float) -> None:
        """Handle a suspension: messages that become overdue during it are due at its end."""
        self._couriers[host].resumed_at_ns = self._now_ns() + int(duration_ms * NS_PER_MS)

    def on_endpoint_offline(self, host: str, endpoint_name: str) -> None:
        """Handle that operators have taken an endpoint offline at a courier."""
        self._couriers[host].offline_since_ns.setdefault(endpoint_name, self._now_ns())

    def on_endpoint_online(self, host: str, endpoint_name: str) -> None:
        """Handle that operators put an endpoint online again at a courier."""
        self._couriers[host].offline_since_ns.pop(endpoint_name, None)

    def on_classes_changed(self, host: str, classes: Mapping[str, MessageClass]) -> None:
        """Handle that other message classes apply to new submissions to a courier."""
        self._couriers[host].classes = classes

    # ---- network traffic ---------------------------------------------------------------------------------
    def connection_opened(self, end: ConnectionEnd, port: int) -> None:
        """Start to observe a connection, if this end belongs to a courier."""
        courier = self._couriers.get(end.host)
        if courier is None:
            return
        if end.side is Side.CLIENT:
            self._connections[end] = OutgoingConnection(courier, port, self._outgoing)
        else:
            self._connections[end] = ClientConnection(courier, self._submissions)

    def bytes_sent(self, end: ConnectionEnd, data: bytes) -> None:
        """Read and check bytes that a courier has sent."""
        connection = self._connections.get(end)
        if connection is None:
            return
        now_ns = self._now_ns()
        try:
            connection.on_sent(now_ns, data)
        except (WireFormatError, ValueError, KeyError, TypeError, IndexError) as err:
            self.violation_log.record(Rule.FORM, "", now_ns, f"{end.host} sent what cannot be parsed: {err}")
            self.connection_closed(end, False)  # the rest of the connection cannot be parsed

    def bytes_received(self, end: ConnectionEnd, data: bytes) -> None:
        """Read and check bytes that a courier has received."""
        connection = self._connections.get(end)
        if connection is None:
            return
        try:
            connection.on_received(self._now_ns(), data, end.unacknowledged_bytes)
        except (WireFormatError, ValueError, KeyError, TypeError, IndexError):
            self.connection_closed(end, False)  # the rest of the connection cannot be parsed

    def connection_closed(self, end: ConnectionEnd, is_local_close: bool) -> None:
        """Stop observing a connection."""
        connection = self._connections.pop(end, None)
        if connection is not None:
            connection.on_closed(self._now_ns(), is_courier_close=is_local_close)

    # ---- overdue messages --------------------------------------------------------------------------------
    def check_overdue(self) -> None:
        """Check for overdue messages, and remove messages that finished long ago; called periodically."""
        now_ns = self._now_ns()
        for message in self._registry.messages():
            self._check_end(message, now_ns)
            if now_ns > message.deadline_ns + ABANDONED_AFTER_NS:
                self._registry.finish(message, now_ns)
        self._registry.forget_old(now_ns)

    def _check_end(self, message: MessageRecord, now_ns: int) -> None:
        courier = self._couriers[message.courier_host]
        earliest_ns = max(message.deadline_ns, courier.started_at_ns + START_GRACE_NS, courier.resumed_at_ns)
        is_owed = message.is_accepted and not (message.is_finished or message.notified_state)
        if message.is_overdue_reported or not (is_owed and courier.is_running):
            return
        if now_ns > earliest_ns + OVERDUE_AFTER_NS + GRACE_NS:
            message.is_overdue_reported = True
            overdue_ms = (now_ns - message.deadline_ns) / NS_PER_MS
            self.violation_log.record(
                Rule.END,
                message.id,
                now_ns,
                f"accepted by {message.courier_host}, and neither delivered nor announced "
                f"{overdue_ms:.0f} ms after its deadline",
            )
