"""The optional components of a courier; each imports its packages only if it is enabled."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

from loguru import logger

from winchspan import api
from winchspan.application.capacity import is_cluster_enabled
from winchspan.application.component import Component
from winchspan.application.registry import ComponentSelection, ProcessControl
from winchspan.application.resources import CourierResources
from winchspan.config.platform import Address
from winchspan.runtime.clock import Clock, ms_to_ns
from winchspan.runtime.system import System
from winchspan.runtime.timers import TimerQueue
from winchspan.storage.accepted_class import accepted_class

if TYPE_CHECKING:
    from winchspan.admin.operations import Operations
    from winchspan.admin.server import AdminServer
    from winchspan.cluster.cluster_component import ClusterComponent
    from winchspan.control.server import ControlServer
    from winchspan.dead_letters.archiver import DeadLetterArchiver
    from winchspan.dead_letters.policy import RedeliveryPolicy, RedeliveryRateLimiter, RedeliveryRule
    from winchspan.delivery.engine import DeliveryEngine
    from winchspan.overload.report import OverloadReport
    from winchspan.upgrade.hand_over_server import HandOverServer
    from winchspan.upgrade.hand_over_source import HandOverSource


class OverloadComponent(Component):
    """Reports of the overload control, which itself is a port of the engine."""

    def __init__(self, report: OverloadReport, loop: asyncio.AbstractEventLoop) -> None:
        self._report = report
        self._loop = loop
        report.start()

    def prepare(self) -> None:
        """Write the metrics at each SIGUSR1."""
        self._loop.add_signal_handler(signal.SIGUSR1, self._report.write_metrics)

    def on_state_restored(self, overload_control: api.OverloadControl) -> None:
        """Report on the overload control in force."""
        self._report.set_governor(overload_control)  # type: ignore[arg-type]  # a governor made another


class DeadLetterComponent(Component):
    """The archive of undelivered messages, and their redelivery by rule."""

    def __init__(
        self,
        archiver: DeadLetterArchiver,
        rules: Sequence[RedeliveryRule],
        classes: dict[str, api.MessageClass],
        clock: Clock,
        timers: TimerQueue,
    ) -> None:
        self.redelivery_rate: RedeliveryRateLimiter | None = (
            None  # set by a cluster, in place of the rules' rate
        )
        self._archiver = archiver
        self._rules = rules
        self._classes = classes
        self._clock = clock
        self._timers = timers
        self._engine: DeliveryEngine

    def attach_engine(self, engine: DeliveryEngine) -> None:
        """Set the engine that redelivers messages."""
        self._engine = engine

    async def start(self) -> None:
        """Start redelivery; without a rule, only messages that operators release are redelivered."""
        from winchspan.dead_letters.policy import RedeliveryPolicy
        from winchspan.dead_letters.redelivery import RedeliveryPorts, RedeliveryWorker

        RedeliveryWorker(
            RedeliveryPorts(self._clock, self._timers, self._archiver, self._engine),
            RedeliveryPolicy(self._rules, self._classes),
            self.redelivery_rate,
        ).start()

    def reconfigure(self, settings: api.Settings) -> None:
        """Apply new settings."""
        self._archiver.reconfigure(settings)

    def close(self) -> None:
        """Close the store."""
        self._archiver.close()


class AdminComponent(Component):
    """The operators' HTTP server."""

    def __init__(
        self,
        address: Address,
        system: System,
        timers: TimerQueue,
        loop: asyncio.AbstractEventLoop,
        operations: Callable[[], Operations],
    ) -> None:
        self._address = address
        self._system = system
        self._timers = timers
        self._loop = loop
        self._operations = operations
        self._server: AdminServer | None = None

    def prepare(self) -> None:
        """Listen for operators.

        Raises:
            OSError: if the address cannot be bound.
        """
        from winchspan.admin.server import AdminServer

        self._server = AdminServer(self._operations(), self._timers)
        self._server.listen(self._loop, self._system.listen(self._address.host, self._address.port))
        logger.info("admin server listening on {}", self._address)

    def close(self) -> None:
        """Close the server."""
        if self._server is not None:
            self._server.close()


class DeadLetterAccess(NamedTuple):
    """The archive of undelivered messages, and its policy, for the control commands."""

    archiver: DeadLetterArchiver
    policy: RedeliveryPolicy


class ControlComponent(Component):
    """The control socket; a courier that cannot open it continues without it."""

    def __init__(
        self,
        path: Path,
        process: ProcessControl,
        clock: Clock,
        timers: TimerQueue,
        dead_letters: DeadLetterAccess | None,
    ) -> None:
        self._path = path
        self._process = process
        self._clock = clock
        self._timers = timers
        self._dead_letters = dead_letters
        self._server: ControlServer | None = None

    async def start(self) -> None:
        """Open the socket."""
        from winchspan.control.commands import build_commands
        from winchspan.control.server import ControlServer

        archiver, policy = self._dead_letters or (None, None)
        commands = build_commands(self._process, archiver, self._clock, policy, self._process.operations())
        server = ControlServer(self._path, commands, self._timers)
        try:
            await server.start()
        except OSError as err:
            logger.error("control: cannot listen on {}: {}", self._path, err)
            return
        self._server = server

    def close(self) -> None:
        """Close the socket."""
        if self._server is not None:
            self._server.close()


class UpgradeComponent(Component):
    """The hand-over to a new process; a courier that cannot listen for one continues without it."""

    def __init__(
        self, state_directory: Path, clock: Clock, loop: asyncio.AbstractEventLoop, process: ProcessControl
    ) -> None:
        self._state_directory = state_directory
        self._clock = clock
        self._loop = loop
        self._process = process
        self._server: HandOverServer | None = None
        self._source: HandOverSource | None = None

    def on_serving(self) -> None:
        """Listen for a new process."""
        from winchspan.upgrade.fingerprint import program_fingerprint
        from winchspan.upgrade.hand_over_server import HandOverServer
        from winchspan.upgrade.hand_over_source import HandOverSource

        self._source = HandOverSource(
            self._process.hand_over_components(),
            self._process.spare_descriptor_count,
            self._process.shut_down,
            self._process.complete_hand_over,
        )
        server = HandOverServer(self._state_directory, program_fingerprint(), self._source, self._clock.now)
        try:
            server.listen(self._loop)
        except OSError as err:
            logger.error("upgrade: cannot listen for a new process: {}", err)
            return
        self._server = server

    @property
    def is_handing_over(self) -> bool:
        """Whether a hand-over is in progress."""
        return self._source is not None and self._source.is_frozen

    def request_stop(self) -> bool:
        """Complete a hand-over that is in progress before the stop."""
        if self._server is None:
            return False
        self._server.stop()
        return True

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()


def create_components(resources: CourierResources, process: ProcessControl) -> ComponentSelection:
    """Create the components that the operator's file and the platform enable, in the order of their calls.

    Raises:
        ConfigError: if a section of the operator's file cannot be used on this platform.
    """
    operator, config = resources.operator, resources.config
    selection = ComponentSelection()
    if _is_enabled(operator, "storms"):
        _add_overload(resources, selection)
    dead_letters = _add_dead_letters(resources, selection) if _is_enabled(operator, "undelivered") else None
    if config.admin_address is not None:
        selection.components.append(
            AdminComponent(
                config.admin_address, resources.system, resources.timers, resources.loop, process.operations
            )
        )
    if _is_enabled(operator, "control"):
        _add_control(resources, process, selection)
    if config.listener_fd is not None:
        selection.components.append(
            UpgradeComponent(config.data_directory, resources.clock, resources.loop, process)
        )
    if is_cluster_enabled(operator):
        cluster = _add_cluster(resources, process, selection)
        if dead_letters is not None:
            dead_letters.redelivery_rate = cluster.redelivery_rate
    return selection


def _is_enabled(operator: Mapping[str, Mapping[str, Any]], section: str) -> bool:
    return bool(operator.get(section, {}).get("on"))


def _redelivery_rules(resources: CourierResources) -> list[RedeliveryRule]:
    from winchspan.dead_letters.setup import redelivery_rules

    return redelivery_rules(resources.operator.get("resend", {}))


def _add_overload(resources: CourierResources, selection: ComponentSelection) -> None:
    from winchspan.overload.report import OverloadReport
    from winchspan.overload.setup import create_governor

    values = resources.operator["storms"]
    path = Path(values["report"]) if values["report"] else None
    now_ns = ms_to_ns(resources.clock.now())
    control = create_governor(values, resources.settings, resources.config.seed, now_ns)
    selection.overload_control = control
    report = OverloadReport(control, resources.timers, path)
    selection.components.append(OverloadComponent(report, resources.loop))


def _add_dead_letters(resources: CourierResources, selection: ComponentSelection) -> DeadLetterComponent:
    from winchspan.dead_letters.setup import create_archiver

    create = resources.system.archiver_factory or create_archiver
    archiver: DeadLetterArchiver = create(
        resources.operator["undelivered"],
        resources.settings,
        resources.clock,
        resources.loop.call_soon_threadsafe,
    )
    archiver.set_accepted_class_finder(lambda entry: accepted_class(resources.journal.class_tables, entry))
    selection.archiver = archiver
    component = DeadLetterComponent(
        archiver, _redelivery_rules(resources), resources.classes, resources.clock, resources.timers
    )
    selection.components.append(component)
    return component


def _add_control(resources: CourierResources, process: ProcessControl, selection: ComponentSelection) -> None:
    access = None
    if selection.archiver is not None:
        from winchspan.dead_letters.policy import RedeliveryPolicy

        policy = RedeliveryPolicy(_redelivery_rules(resources), resources.classes)
        access = DeadLetterAccess(selection.archiver, policy)
    path = Path(resources.operator["control"]["socket"])
    selection.components.append(ControlComponent(path, process, resources.clock, resources.timers, access))


def _add_cluster(
    resources: CourierResources, process: ProcessControl, selection: ComponentSelection
) -> ClusterComponent:
    from winchspan.cluster.cluster_component import ClusterComponent
    from winchspan.cluster.node import ClusterNode, DeliveryResources

    config = resources.config
    node = ClusterNode(
        config.name,
        config.data_directory,
        config.seed,
        resources.clock,
        resources.timers,
        resources.loop,
        resources.system,
    )
    delivery = DeliveryResources(
        resources.settings,
        resources.classes,
        resources.journal,
        resources.connections,
        resources.directory,
        resources.transport,
        resources.notifications,
    )
    cluster = ClusterComponent(node, config, resources.operator, delivery, process.abort)
    selection.replication = cluster.replication
    selection.components.append(cluster)
    return cluster
