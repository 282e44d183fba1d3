"""What a process that starts waits for: before its first attempts, or before its first decisions."""

from __future__ import annotations

from functools import partial

from winchspan.application.adoption_gate import AdoptionGate
from winchspan.application.discovery_gate import DiscoveryGate
from winchspan.application.resources import CourierResources
from winchspan.delivery.context import AttemptHold
from winchspan.delivery.engine import DeliveryEngine
from winchspan.net.discovery_watch import DiscoveryWatch


def recover_and_await_discovery(
    engine: DeliveryEngine, watch: DiscoveryWatch, resources: CourierResources
) -> None:
    """Recover the open messages, and start no attempt until discovery has answered; final answers go on."""
    engine.hold_attempts(AttemptHold.DISCOVERY)
    engine.recover()
    release = partial(engine.release_attempts, AttemptHold.DISCOVERY)
    DiscoveryGate(watch, resources.clock, resources.timers, release).start()


def suspend_until_adopted_input(engine: DeliveryEngine, resources: CourierResources) -> None:
    """Make no decision until the input of adopted calls has been read; the engine is suspended already."""
    resume = partial(engine.set_suspended, False)
    AdoptionGate(resources.connections, resources.clock, resources.timers, resume).start()
