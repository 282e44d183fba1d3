"""The state of messages, endpoints and couriers as observed on the sockets.

All times are in ns of the loop's clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from winchspan.api import MessageClass
from winchspan.simulation.loop import NS_PER_MS

GRACE_NS: Final = 50 * NS_PER_MS
"""Tolerance of every time limit: PROTOCOL, 'The rules on sockets'."""

CROSSING_TOLERANCE_NS: Final = 100 * NS_PER_MS
"""Time for which a call and a wait, or a notification and a delivery, may cross on the network."""


@dataclass(slots=True, eq=False)
class MessageRecord:
    """A message that a client has submitted.

    Attributes:
        id: its id.
        message_class: its class as of the submission.
        ordering_key: orders it among the messages of the same key; empty for an unordered class.
        destination: the number of its destination.
        idempotency_key: its idempotency key; empty for none.
        body_checksum: the CRC-32 of its body.
        courier_host: the host of the courier that it was submitted to.
        deadline_ns: its deadline.
        is_accepted: whether the courier has accepted it.
        is_finished: whether it was delivered, rejected, or its notification was acknowledged.
        delivered_at_ns: time when the response that delivered it reached the courier; 0 for none.
        notified_state: the final state that a notification has announced; empty for none.
        acknowledged_at_ns: time when the notification was acknowledged; 0 if it was not.
        call_in_flight: the connection of its call in flight; None for none.
        was_called: whether a call of it has begun.
        possibly_executed_since_ns: start of the first call that may have executed it; None for none.
        is_overdue_reported: whether the violation that it is overdue has been recorded.
    """

    id: str
    message_class: MessageClass
    ordering_key: str
    destination: int
    idempotency_key: str
    body_checksum: int
    courier_host: str
    deadline_ns: int
    is_accepted: bool = False
    is_finished: bool = False
    delivered_at_ns: int = 0
    notified_state: str = ""
    acknowledged_at_ns: int = 0
    call_in_flight: object | None = None
    was_called: bool = False
    possibly_executed_since_ns: int | None = None
    is_overdue_reported: bool = False


@dataclass(slots=True)
class EndpointRecord:
    """An endpoint in a courier's endpoint list.

    Attributes:
        name: its name.
        port: its port.
        destination: the number of its destination.
        removed_at_ns: time when the list marked it as draining or removed it; None if it is in service.
    """

    name: str
    port: int
    destination: int
    removed_at_ns: int | None = None


class WaitWindow(NamedTuple):
    """A period for which a destination has announced that it accepts no calls."""

    begin_ns: int
    end_ns: int


NO_WAIT: Final = WaitWindow(0, 0)


@dataclass(slots=True)
class CourierRecord:
    """A courier, with the endpoints and waits that its current incarnation has received, and its keys' rests.

    Attributes:
        host: its host.
        started_at_ns: start of its current incarnation.
        stopped_at_ns: time when its latest incarnation ended or was signalled to end.
        resumed_at_ns: end of its latest suspension.
        is_running: whether it runs and has not been signalled to end.
        endpoints: its endpoint list, by name.
        waits: the waits announced to it, by destination.
        key_rest_ends_ns: time until which no message of a key may begin its first call, by ordering key.
        offline_since_ns: time when operators took an endpoint offline, by name.
        classes: the message classes in force at this courier; None for the platform's.
    """

    host: str
    started_at_ns: int = 0
    stopped_at_ns: int = 0
    resumed_at_ns: int = 0
    is_running: bool = False
    endpoints: dict[str, EndpointRecord] = field(default_factory=dict)
    waits: dict[int, WaitWindow] = field(default_factory=dict)
    key_rest_ends_ns: dict[str, int] = field(default_factory=dict)
    offline_since_ns: dict[str, int] = field(default_factory=dict)
    classes: Mapping[str, MessageClass] | None = None

    def draining_since_ns(self, endpoint: EndpointRecord) -> int | None:
        """Return the time since which an endpoint must receive no new calls; None if it may receive them.

        An endpoint drains because discovery's list or an operator says so; the earlier time counts.
        """
        times = (endpoint.removed_at_ns, self.offline_since_ns.get(endpoint.name))
        return min((time for time in times if time is not None), default=None)

    def may_have_missed(self, arrival_ns: int) -> bool:
        """Return whether its incarnation may have ended before it read data that arrived at this time."""
        return self.stopped_at_ns - CROSSING_TOLERANCE_NS <= arrival_ns <= self.stopped_at_ns
