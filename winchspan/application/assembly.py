"""Builds the delivery engine and the client connections from a courier's resources."""

from __future__ import annotations

from winchspan.application.capacity import max_client_connections, receive_buffer_bytes
from winchspan.application.notifier import PlatformNotifier
from winchspan.application.registry import ComponentSelection
from winchspan.application.resources import CourierResources
from winchspan.delivery.engine import DeliveryEngine
from winchspan.delivery.ports import EnginePorts
from winchspan.net.client_listener import ClientConnections, ListenerOptions


def reports_reasons(resources: CourierResources) -> bool:
    """Return whether rejections and notifications include a reason for people."""
    options = resources.operator.get("storms", {})
    return bool(options.get("on") and options.get("words"))


def create_engine(resources: CourierResources, selection: ComponentSelection) -> DeliveryEngine:
    """Create the delivery engine with the ports that the optional components provide.

    The transport reports to it the waits that responses ask for.
    """
    engine = DeliveryEngine(
        resources.settings,
        resources.config.seed,
        EnginePorts(
            resources.clock,
            resources.timers,
            resources.journal,
            resources.transport,
            PlatformNotifier(resources.notifications, reports_reasons(resources)),
            resources.loop.call_soon,
            selection.overload_control,
            selection.archiver,
            resources.metrics,
            resources.system.poll_monitor,
            selection.replication,
        ),
    )
    resources.transport.on_wait = engine.begin_wait
    return engine


def create_client_connections(
    engine: DeliveryEngine, resources: CourierResources, selection: ComponentSelection
) -> ClientConnections:
    """Create the client connections, not listening yet."""
    return ClientConnections(
        engine,
        resources.clock,
        resources.timers,
        resources.sockets,
        ListenerOptions(
            max_client_connections(
                resources.sockets.limit, resources.settings, resources.config.max_memory_bytes
            ),
            resources.connections.retire_oldest,
            reports_reasons(resources),
            resources.system.poll_monitor,
            selection.replication,
            receive_buffer_bytes(resources.config.max_memory_bytes),
        ),
    )
