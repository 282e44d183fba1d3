"""The components of a courier that a hand-over drains, exports and restores."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from winchspan.config.platform import ConfigurationInForce
from winchspan.delivery.engine import DeliveryEngine
from winchspan.net.attempt_transport import HttpAttemptTransport
from winchspan.net.client_listener import ClientConnections
from winchspan.net.connection_pool import HttpConnectionPool
from winchspan.net.endpoint_directory import EndpointDirectory
from winchspan.net.notifications import NotificationQueue
from winchspan.runtime.clock import Clock
from winchspan.runtime.timers import TimerQueue
from winchspan.storage.journal import Journal


@dataclass(slots=True)
class CourierComponents:
    """The components of one courier that take part in a hand-over.

    The last one returns the configuration in force.
    """

    clock: Clock
    timers: TimerQueue
    journal: Journal
    endpoint_directory: EndpointDirectory
    engine: DeliveryEngine
    clients: ClientConnections
    http_connections: HttpConnectionPool
    attempt_transport: HttpAttemptTransport
    notifications: NotificationQueue
    configuration_in_force: Callable[[], ConfigurationInForce]
