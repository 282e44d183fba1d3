"""Injects the faults of an environment into an emulation, and notifies the auditor of those that it needs."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from typing import Final

from winchspan.api import MessageClass
from winchspan.fakes.partner import Partner
from winchspan.runtime.clock import MS_PER_SECOND
from winchspan.runtime.timers import TimerQueue
from winchspan.simulation.audit.auditor import Auditor
from winchspan.simulation.changed_settings import changed_classes
from winchspan.simulation.emulated_courier import EmulatedCourier, EmulationError
from winchspan.simulation.environment import NETWORK_FAULTS, FaultKind, InjectedFault, partner_host
from winchspan.simulation.link import LinkId
from winchspan.simulation.network import Network

SETTINGS_DELAY_SECONDS: Final = 1.2
"""Time after SIGHUP by which new settings must be in force, according to the platform's specification."""

RESPONSE_FAULTS: Final = (FaultKind.RESPONSE_COPIES, FaultKind.BATCH_WAITS)
"""Faults of the responses of a partner."""

_ONLINE_RETRY_SECONDS: Final = 0.1


class FaultInjector:
    """Injects faults at their scheduled times."""

    def __init__(
        self,
        network: Network,
        auditor: Auditor,
        couriers: Sequence[EmulatedCourier],
        classes: Mapping[str, MessageClass],
        find_partners: Callable[[], Mapping[int, Partner]],
    ) -> None:
        """Create an injector.

        Args:
            network: the network.
            auditor: the auditor.
            couriers: all couriers; the caller may add couriers to the sequence until `schedule`.
            classes: the platform's message classes.
            find_partners: returns the partners by number, once the run has started.
        """
        self._network = network
        self._loop = network.loop
        self._auditor = auditor
        self._couriers = couriers
        self._classes = dict(classes)
        self._find_partners = find_partners
        self._class_change_timers: dict[
            str, asyncio.TimerHandle
        ] = {}  # by host, until changed classes are in force

    def schedule(self, timers: TimerQueue, begin_ms: float, faults: Sequence[InjectedFault]) -> None:
        """Schedule the faults of a run; raises EmulationError for a fault of a nonexistent courier."""
        hosts = {courier.machine.host for courier in self._couriers}
        for fault in faults:
            if fault.kind not in NETWORK_FAULTS and fault.source not in hosts:
                at_seconds = fault.at_ms / MS_PER_SECOND
                raise EmulationError(
                    f"{fault.kind} at {at_seconds:g} s: there is no courier {fault.source!r}"
                )
        for fault in faults:
            timers.call_at(begin_ms + fault.at_ms, partial(self._inject, fault))

    def _inject(self, fault: InjectedFault) -> None:
        if fault.kind is FaultKind.PARTITION:
            link = LinkId(fault.source, fault.target)
            self._network.links.partition(link)
            self._loop.call_later(fault.duration_ms / MS_PER_SECOND, self._network.links.heal, link)
        elif fault.kind is FaultKind.RESET_CONNECTIONS:
            self._network.reset_connections(fault.source, fault.target or None)
        elif fault.kind in RESPONSE_FAULTS:
            self._set_response_fault(fault, is_active=True)
            end = partial(self._set_response_fault, fault, is_active=False)
            self._loop.call_later(fault.duration_ms / MS_PER_SECOND, end)
        else:
            (courier,) = (other for other in self._couriers if other.machine.host == fault.source)
            if not self._inject_into_machine(fault, courier):
                self._inject_as_operator(fault, courier)

    def _set_response_fault(self, fault: InjectedFault, *, is_active: bool) -> None:
        for number, partner in self._find_partners().items():
            if partner_host(number) != fault.source:
                continue
            if fault.kind is FaultKind.RESPONSE_COPIES:
                partner.copies_responses = is_active
            else:
                partner.asks_to_wait_in_batches = is_active

    def _inject_into_machine(self, fault: InjectedFault, courier: EmulatedCourier) -> bool:
        """Inject a fault of a machine or process; return False if the fault is of another kind."""
        match fault.kind:
            case FaultKind.POWER_LOSS:
                courier.lose_power_for(fault.duration_ms)
            case FaultKind.WALL_TIME_STEP:
                courier.machine.clock.step_wall_time(fault.duration_ms)
            case FaultKind.DISK_FULL:
                self._fill_disk(fault, courier)
            case FaultKind.SUSPEND:
                courier.suspend_for(fault.duration_ms)
            case FaultKind.RELOAD:
                courier.signal(signal.SIGHUP)
            case FaultKind.RESTART:
                courier.restart(fault.duration_ms)
            case _:
                return False
        return True

    def _inject_as_operator(self, fault: InjectedFault, courier: EmulatedCourier) -> None:
        match fault.kind:
            case FaultKind.UPGRADE:
                courier.upgrade()
            case FaultKind.UPGRADE_TO_OTHER_PROGRAM:
                courier.upgrade(same_program=False)
            case FaultKind.FAILED_UPGRADE:
                courier.upgrade(stall_ms=fault.duration_ms)
            case FaultKind.DRAIN:
                courier.request("/control/out-of-service")
                duration_seconds = fault.duration_ms / MS_PER_SECOND
                self._loop.call_later(duration_seconds, courier.request, "/control/in-service")
            case FaultKind.RECONFIGURE:
                self._reconfigure(fault, courier)
            case FaultKind.ENDPOINT_OFFLINE:
                self._take_endpoint_offline(fault, courier)
            case _:
                raise AssertionError(f"a fault without a handler: {fault.kind}")

    def _fill_disk(self, fault: InjectedFault, courier: EmulatedCourier) -> None:
        disk = courier.machine.disk
        disk.is_full = True

        def free_space() -> None:
            disk.is_full = False

        self._loop.call_later(fault.duration_ms / MS_PER_SECOND, free_space)

    def _reconfigure(self, fault: InjectedFault, courier: EmulatedCourier) -> None:
        """Change the settings of a courier for the fault's duration.

        Until changed settings are in force, clients may rely on either settings. The auditor applies the less
        strict ones, which are the original ones.
        """
        host = courier.machine.host
        courier.use_changed_settings()
        self._use_original_classes(host)
        self._class_change_timers[host] = self._loop.call_later(
            SETTINGS_DELAY_SECONDS, self._auditor.on_classes_changed, host, changed_classes(self._classes)
        )
        self._loop.call_later(fault.duration_ms / MS_PER_SECOND, self._restore_settings, courier)

    def _restore_settings(self, courier: EmulatedCourier) -> None:
        courier.restore_settings()
        self._use_original_classes(courier.machine.host)

    def _use_original_classes(self, host: str) -> None:
        self._auditor.on_classes_changed(host, self._classes)
        if host in self._class_change_timers:
            self._class_change_timers.pop(host).cancel()

    def _take_endpoint_offline(self, fault: InjectedFault, courier: EmulatedCourier) -> None:
        """Take an endpoint of a partner offline for the fault's duration."""
        name = courier.find_endpoint_name(int(fault.target.removeprefix("partner ") or 0))
        if name and courier.request(f"/control/endpoints/{name}/offline"):
            self._auditor.on_endpoint_offline(courier.machine.host, name)
            duration_seconds = fault.duration_ms / MS_PER_SECOND
            self._loop.call_later(duration_seconds, self._put_endpoint_online, courier, name)

    def _put_endpoint_online(self, courier: EmulatedCourier, name: str) -> None:
        """Put an endpoint online again; retries the request until the courier serves and accepts it."""
        self._auditor.on_endpoint_online(courier.machine.host, name)
        if not courier.request(f"/control/endpoints/{name}/online"):
            self._loop.call_later(_ONLINE_RETRY_SECONDS, self._put_endpoint_online, courier, name)
