"""The composition root of one courier: builds its engine and components, and runs its lifecycle."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from loguru import logger

from winchspan import api
from winchspan.application.assembly import create_client_connections, create_engine
from winchspan.application.capacity import max_client_connections, spare_descriptor_count
from winchspan.application.component import Component, OperatorOptions
from winchspan.application.registry import ComponentFactory, ProcessControl
from winchspan.application.resources import engine_settings, open_resources, pool_timeouts, transport_settings
from winchspan.application.shutdown import GracefulShutdown, ShutdownActions
from winchspan.application.start_gates import recover_and_await_discovery, suspend_until_adopted_input
from winchspan.config.json_fields import FieldError
from winchspan.config.platform import ConfigError, PlatformConfig
from winchspan.config.reload import reload_platform_config
from winchspan.net.discovery_watch import DiscoveryWatch
from winchspan.runtime.system import Listener, System

if TYPE_CHECKING:
    from winchspan.admin.operations import Operations, ServingState
    from winchspan.upgrade.courier_components import CourierComponents
    from winchspan.upgrade.take_over import InheritedState


@dataclass(frozen=True, slots=True)
class ProcessContext:
    """Resources with which a process starts.

    Attributes:
        system: the interface to clock, disk and sockets.
        inherited: state handed over by the previous process, if any.
        listener: the clients' listening socket, if the platform provides it.
        read_operator_options: rereads the operator's file at SIGHUP; may raise ConfigError.
    """

    system: System
    inherited: InheritedState | None = None
    listener: Listener | None = None
    read_operator_options: Callable[[], OperatorOptions] | None = None


def _log_unhandled_error(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log an unhandled error, which ends at most one connection."""
    del loop
    logger.error("{}: {!r}", context.get("message"), context.get("exception"))


class Application:
    """One courier: resources, engine, connections and optional components."""

    def __init__(
        self,
        config: PlatformConfig,
        loop: asyncio.AbstractEventLoop,
        operator: OperatorOptions,
        create_components: ComponentFactory,
        context: ProcessContext,
    ) -> None:
        """Build all parts of the courier.

        Args:
            config: the platform's configuration.
            loop: the event loop of the process.
            operator: the options of the operator's file.
            create_components: creates the optional components.
            context: the resources with which the process starts.

        Raises:
            ConfigError: if a section of the operator's file cannot be used on this platform.
            OSError: if a file or a socket cannot be opened.
        """
        self.config = config
        self._context = context
        self._loop = loop
        self._resources = open_resources(
            config, operator, loop, context.system, lambda update: self.engine.update_endpoints(update)
        )
        self._selection = create_components(self._resources, self._process_control())
        self.engine = create_engine(self._resources, self._selection)
        for component in self.components:
            component.attach_engine(self.engine)
        self._watch = DiscoveryWatch(
            self._resources.directory, self._resources.connections, self._resources.timers, config.discovery
        )
        self._clients = create_client_connections(self.engine, self._resources, self._selection)
        self._ended = asyncio.Event()
        self._shutdown = self._create_shutdown()
        self._abort_reason = ""
        self._is_serving = False
        self._is_handed_over = False

    def _create_shutdown(self) -> GracefulShutdown:
        actions = ShutdownActions(
            is_busy=self._is_busy,
            in_flight_count=lambda: self.engine.in_flight_count,
            freeze=self.engine.freeze,
            recall_unwritten=self._resources.connections.recall_all_unwritten,
            end=self._ended.set,
        )
        return GracefulShutdown(self._clients, self._resources.clock, self._resources.timers, actions)

    @property
    def components(self) -> list[Component]:
        """The optional components, in the order in which they are called."""
        return self._selection.components

    def _process_control(self) -> ProcessControl:
        return ProcessControl(
            operations=self.operations,
            status=self.status,
            hand_over_components=self.hand_over_components,
            spare_descriptor_count=self._spare_descriptor_count,
            shut_down=self._begin_shutdown,
            complete_hand_over=self._complete_hand_over,
            abort=self._abort,
        )

    # ---- operators and upgrades --------------------------------------------------------------------------
    def hand_over_components(self) -> CourierComponents:
        """Return all parts whose state an upgrade transfers to another process."""
        from winchspan.upgrade.courier_components import CourierComponents

        resources = self._resources
        return CourierComponents(
            resources.clock,
            resources.timers,
            resources.journal,
            resources.directory,
            self.engine,
            self._clients,
            resources.connections,
            resources.transport,
            resources.notifications,
            lambda: self.config.in_force,
        )

    def _spare_descriptor_count(self) -> int:
        return spare_descriptor_count(self.config, self._resources.sockets.open_count)

    def _complete_hand_over(self) -> None:
        """End this process, because another one serves in its place."""
        self._context.system.unlock_directory()
        self._is_handed_over = True
        self._ended.set()

    def operations(self) -> Operations:
        """Return the operations that operators can request."""
        from winchspan.admin.operations import Operations

        return Operations(self._resources.directory, self._clients, self.render_metrics, self._serving_state)

    def status(self) -> dict[str, Any]:
        """Return the status document: held messages, attempts in flight, and each component's entries."""
        document = self.engine.status()
        for component in self.components:
            document |= component.status()
        return document

    def _serving_state(self) -> ServingState:
        """Return whether this process is starting, serving or stopping."""
        from winchspan.admin.operations import ServingState

        if self._clients.is_stopping or self._is_handing_over():
            return ServingState.STOPPING
        return ServingState.SERVING if self._is_serving else ServingState.STARTING

    def render_metrics(self) -> str:
        """Return the current metrics as text."""
        listed = self._resources.directory.listed_endpoint_numbers()
        gauges: dict[str, int] = {
            "current": self.engine.held_count,
            "cluster_size": len(listed),
            "cluster_unhealthy": sum(self.engine.is_avoided(number) for number in listed),
        }
        for component in self.components:
            gauges |= component.metrics()
        return self._resources.metrics.render("courier", gauges)

    # ---- lifecycle ---------------------------------------------------------------------------------------
    def crash(self) -> None:
        """Release open files as when the process is killed; for emulated machines."""
        if self._ended.is_set():
            return
        self._resources.journal.close_without_flush()
        for component in self.components:
            component.crash()

    async def run(self) -> None:
        """Serve until stopped.

        Raises:
            ConfigError: if the data directory turns out to be unusable while the process serves.
            OSError: if a file or a socket cannot be opened.
        """
        state = self._context.inherited.state if self._context.inherited is not None else None
        if self.config.known_endpoints and (state is None or state.courier is None):
            self._apply_known_endpoints()
        self._loop.set_exception_handler(_log_unhandled_error)
        for component in self.components:
            component.prepare()
        self._recover()
        for component in self.components:
            await component.start()
        self._start_serving()
        await self._ended.wait()
        await self._close()

    def _apply_known_endpoints(self) -> None:
        """Use the endpoints of the configuration until discovery reports the current ones."""
        try:
            self._resources.directory.apply(self.config.known_endpoints, api.UpdateScope.STALE)
        except FieldError as err:
            logger.error("known: {}", err)

    def _recover(self) -> None:
        """Restore the state of the previous process, or recover it from the journal."""
        inherited = self._context.inherited
        if inherited is not None and inherited.state is not None:
            self._restore_inherited(inherited)
        elif self._selection.replication is None:  # with replication, once this courier owns the journal
            recover_and_await_discovery(self.engine, self._watch, self._resources)

    def _restore_inherited(self, inherited: InheritedState) -> None:
        from winchspan.upgrade.restore import restore_courier

        self.engine.suspend(True)
        restore_courier(self.hand_over_components(), self._loop, self._context.system, inherited)
        for component in self.components:
            component.on_state_restored(self.engine.overload_control)
        if self._selection.replication is None:  # with replication, once this courier owns the journal
            suspend_until_adopted_input(self.engine, self._resources)

    def _start_serving(self) -> None:
        self._watch.open()
        address = self.config.listen
        listener = self._context.listener or self._context.system.listen(address.host, address.port)
        is_restart = self._context.listener is not None and not self._has_taken_over()
        self._clients.listen(self._loop, listener, has_unknown_backlog=is_restart)
        for component in self.components:
            component.on_serving()
        logger.info("{} listens on {}", self.config.name, self.config.listen)
        self._is_serving = True
        if self._has_taken_over():
            self._watch_configuration_file()

    def _watch_configuration_file(self) -> None:
        from winchspan.application.configuration_monitor import ConfigurationMonitor

        path = self._context.system.environ.get("ROUTER_CONFIG", "")
        resources = self._resources
        ConfigurationMonitor(
            path, self.config.file_version, resources.clock, resources.timers, self.reload
        ).start()

    def _has_taken_over(self) -> bool:
        """Return whether another process has handed over to this one."""
        return self._context.inherited is not None and self._context.inherited.state is not None

    async def _close(self) -> None:
        if not self._is_handed_over:  # otherwise another process owns the connections
            self.engine.freeze()
            self._resources.connections.accept_held_responses()
            self._resources.connections.recall_all_unwritten()  # the next process may attempt them
            await asyncio.sleep(0)  # the calls' results arrive in the next loop iteration
            await self._clients.close_all()
        for component in self.components:
            component.close()
        self._resources.journal.close()
        logger.info("{} has stopped", self.config.name)
        if self._abort_reason:
            raise ConfigError(self._abort_reason)

    def _abort(self, reason: str) -> None:
        """End this process, because its configuration or data directory turns out to be unusable."""
        logger.error("{}", reason)
        self._abort_reason = self._abort_reason or reason
        self.engine.suspend(True)
        self._ended.set()

    # ---- signals -----------------------------------------------------------------------------------------
    def reload(self) -> None:
        """Reload the configuration; an unusable one changes nothing."""
        if self._is_handed_over:
            return  # the process that has taken over reads the file itself
        metrics = self._resources.metrics
        try:
            config = reload_platform_config(
                self._context.system.environ, self.config, self._resources.clock.now()
            )
        except ConfigError as err:
            metrics.config_invalid_count += 1
            logger.error("SIGHUP: the previous configuration stays in force: {}", err)
            return
        metrics.config_loaded_count += 1
        if config.settings != self.config.settings:
            self._reconfigure(config.settings)
        self.config = config
        self._watch.set_address(self.config.discovery)
        self._resources.notifications.set_address(self.config.discovery)
        logger.info("SIGHUP: discovery is at {}", self.config.discovery)
        self._reload_operator_options()

    def _reload_operator_options(self) -> None:
        read = self._context.read_operator_options
        try:
            operator = read() if read is not None else {}
            for component in self.components if operator else ():
                component.reload_options(operator)
        except ConfigError as err:
            logger.error("SIGHUP: the previous operator options stay in force: {}", err)

    def _reconfigure(self, platform_settings: api.Settings) -> None:
        """Apply new settings to all parts in one step."""
        resources = self._resources
        settings = engine_settings(platform_settings)
        self.engine.reconfigure(settings)
        resources.transport.set_settings(transport_settings(settings))
        resources.connections.set_timeouts(pool_timeouts(settings))
        memory_bytes = self.config.max_memory_bytes
        self._clients.set_limit(max_client_connections(resources.sockets.limit, settings, memory_bytes))
        resources.classes.clear()
        resources.classes.update(settings.classes)
        for component in self.components:
            component.reconfigure(settings)
        logger.info(
            "SIGHUP: classes {}, {} attempts, {} slots",
            ", ".join(settings.classes),
            settings.max_attempts,
            settings.slots,
        )

    def stop(self) -> None:
        """Shut down gracefully, unless a component completes the stop itself."""
        self._shutdown.request()
        if not any(component.request_stop() for component in self.components):
            self._begin_shutdown()

    def _begin_shutdown(self) -> None:
        self._shutdown.begin()

    def _is_handing_over(self) -> bool:
        return any(component.is_handing_over for component in self.components)

    def _is_busy(self) -> bool:
        """Return whether this process has work left."""
        return (
            self.engine.is_busy
            or len(self._resources.notifications) > 0
            or any(component.is_busy for component in self.components)
        )
