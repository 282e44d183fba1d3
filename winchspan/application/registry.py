"""Interface between the application and the registry of optional components."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from winchspan import api
from winchspan.application.component import Component
from winchspan.application.resources import CourierResources
from winchspan.delivery.ports import ReplicationPort

if TYPE_CHECKING:
    from winchspan.admin.operations import Operations
    from winchspan.dead_letters.archiver import DeadLetterArchiver
    from winchspan.upgrade.courier_components import CourierComponents


@dataclass(frozen=True, slots=True)
class ProcessControl:
    """Functions of the running process that a component may need once it is started."""

    operations: Callable[[], Operations]
    status: Callable[[], dict[str, Any]]
    hand_over_components: Callable[[], CourierComponents]
    spare_descriptor_count: Callable[[], int]
    shut_down: Callable[[], None]
    complete_hand_over: Callable[[], None]
    abort: Callable[[str], None]


@dataclass(slots=True)
class ComponentSelection:
    """The optional components of a process, and the engine's ports that they provide."""

    components: list[Component] = field(default_factory=list)
    overload_control: api.OverloadControl | None = None
    archiver: DeadLetterArchiver | None = None
    replication: ReplicationPort | None = None


ComponentFactory = Callable[[CourierResources, ProcessControl], ComponentSelection]
