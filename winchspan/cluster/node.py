"""Parts of the process that the services of a cluster use."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from winchspan import api
from winchspan.net.attempt_transport import HttpAttemptTransport
from winchspan.net.connection_pool import HttpConnectionPool
from winchspan.net.endpoint_directory import EndpointDirectory
from winchspan.net.notifications import NotificationQueue
from winchspan.runtime.clock import Clock
from winchspan.runtime.system import System
from winchspan.runtime.timers import TimerQueue
from winchspan.storage.journal import Journal


@dataclass(frozen=True, slots=True)
class ClusterNode:
    """This process as a member of the cluster.

    Attributes:
        name: name of this courier, unique in the cluster.
        state_directory: directory of persistent state.
        seed: seed of all random decisions.
        clock: clock of the process.
        timers: timers on the event loop.
        loop: event loop.
        system: disk, sockets and random numbers.
        incarnation: random number that identifies this process to the other members; 0 before it is drawn.
    """

    name: str
    state_directory: Path
    seed: int
    clock: Clock
    timers: TimerQueue
    loop: asyncio.AbstractEventLoop
    system: System
    incarnation: int = 0

    def now_ms(self) -> float:
        """Return the time on the clock of leases, ms; it advances while the machine sleeps."""
        return self.clock.boottime_ms()


@dataclass(frozen=True, slots=True)
class DeliveryResources:
    """Components of message delivery that the cluster's services use.

    Attributes:
        settings: settings at the start of the process.
        classes: message classes in force; a reconfiguration changes the mapping in place.
        journal: write-ahead log of this courier.
        connections: HTTP connections to endpoints.
        directory: endpoints and destinations.
        transport: transport of delivery attempts.
        notifications: notifications that are owed to the platform.
    """

    settings: api.Settings
    classes: Mapping[str, api.MessageClass]
    journal: Journal
    connections: HttpConnectionPool
    directory: EndpointDirectory
    transport: HttpAttemptTransport
    notifications: NotificationQueue
