"""The resources on which a courier's delivery engine is built."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace

from winchspan import api
from winchspan.application.capacity import connection_capacity, journal_capacity_bytes
from winchspan.application.component import OperatorOptions
from winchspan.config.platform import PlatformConfig
from winchspan.net.attempt_transport import HttpAttemptTransport, TransportSettings
from winchspan.net.connection_pool import HttpConnectionPool, PoolTimeouts
from winchspan.net.endpoint_directory import EndpointDirectory
from winchspan.net.notifications import NotificationQueue
from winchspan.net.socket_budget import SocketBudget
from winchspan.runtime.clock import Clock, ns_to_ms
from winchspan.runtime.metrics import Metrics
from winchspan.runtime.system import System
from winchspan.runtime.timers import TimerQueue
from winchspan.storage.journal import Journal


@dataclass(frozen=True, slots=True)
class CourierResources:
    """The resources that a process's engine and optional components use."""

    config: PlatformConfig
    operator: OperatorOptions
    settings: api.Settings
    classes: dict[str, api.MessageClass]  # classes in force; a reconfiguration changes the mapping in place
    loop: asyncio.AbstractEventLoop
    system: System
    clock: Clock
    timers: TimerQueue
    journal: Journal
    sockets: SocketBudget
    metrics: Metrics
    connections: HttpConnectionPool
    directory: EndpointDirectory
    notifications: NotificationQueue
    transport: HttpAttemptTransport


def engine_settings(settings: api.Settings) -> api.Settings:
    """Return the platform's settings with the engine's features: completion events and recalls."""
    return replace(settings, notifications_are_acknowledged=True, can_recall=True)


def transport_settings(settings: api.Settings) -> TransportSettings:
    """Return the transport's part of the platform's settings."""
    messages_per_call = {name: kind.messages_per_call for name, kind in settings.kinds.items()}
    return TransportSettings(messages_per_call, settings.responses_report_load)


def pool_timeouts(settings: api.Settings) -> PoolTimeouts:
    """Return the connection pool's time limits."""
    return PoolTimeouts(ns_to_ms(settings.connect_timeout_ns), ns_to_ms(settings.keepalive_ns))


def _create_connections(
    loop: asyncio.AbstractEventLoop,
    timers: TimerQueue,
    clock: Clock,
    sockets: SocketBudget,
    settings: api.Settings,
) -> HttpConnectionPool:
    return HttpConnectionPool(loop, clock, timers, sockets, pool_timeouts(settings))


def open_resources(
    config: PlatformConfig,
    operator: OperatorOptions,
    loop: asyncio.AbstractEventLoop,
    system: System,
    on_endpoints_updated: Callable[[api.EndpointsUpdated], None],
) -> CourierResources:
    """Open the journal and build all resources of the engine; raise OSError on failure."""
    settings = engine_settings(config.settings)
    clock, timers = system.clock, TimerQueue(system.clock, loop, system.poll_monitor)
    journal = Journal(config.data_directory, journal_capacity_bytes(config, operator), system.disk)
    sockets = SocketBudget(connection_capacity(config, operator))
    metrics = Metrics(settings.classes)
    connections = _create_connections(loop, timers, clock, sockets, settings)
    directory = EndpointDirectory(
        on_endpoints_updated, connections.drain_peer, journal.record_disabled_endpoints
    )
    directory.offline_names.update(journal.disabled_endpoints)
    notifications = NotificationQueue(connections, clock, timers, config.discovery)
    transport = HttpAttemptTransport(directory, connections, clock, transport_settings(settings), metrics)
    return CourierResources(
        config=config,
        operator=operator,
        settings=settings,
        classes=dict(settings.classes),
        loop=loop,
        system=system,
        clock=clock,
        timers=timers,
        journal=journal,
        sockets=sockets,
        metrics=metrics,
        connections=connections,
        directory=directory,
        notifications=notifications,
        transport=transport,
    )
