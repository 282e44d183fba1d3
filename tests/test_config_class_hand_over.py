"""The transition from one set of message classes to the next, over a hand-over."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import pytest

from winchspan.api import Effect, Outcome, Settings
from winchspan.config.transitions import CLASS_TRANSITION_MS
from winchspan.delivery.messages import AttemptResult
from winchspan.delivery.ports import NoReplication
from winchspan.delivery.reconfiguration import ClassesState
from winchspan.upgrade.state_codec import decode_state, encode_state
from winchspan.upgrade.transferred_state import TransferredState

from .delivery_world import World

FAILED = AttemptResult(Outcome.ERROR)


class Upgrade:
    """A serving engine with a class that may run once only, and one that takes over with it repeatable."""

    def __init__(self, folder: Path) -> None:
        for name in ("old", "new"):
            (folder / name).mkdir()
        self.old = World(folder / "old")
        self.repeatable = self._with_repeatable(self.old.settings)
        self.new = World(folder / "new", classes=self.repeatable.classes)
        self.new.clock = self.old.clock
        self.new.settings = self.repeatable
        self.new.start()

    @staticmethod
    def _with_repeatable(settings: Settings) -> Settings:
        repeatable = replace(settings.classes["once"], effect=Effect.REPEATABLE)
        return replace(settings, classes=dict(settings.classes) | {"once": repeatable})

    def hand_over(self) -> None:
        self.new.engine.import_classes(self.old.engine.export_classes())

    def repeats(self, message: str) -> bool:
        """Return whether the new engine sends a message again whose first call may have run."""
        self.new.submit(message, "once")
        self.new.transport.calls[-1].end(FAILED)
        self.new.run(1_000)
        return [message] in self.new.sent_ids()[:-1]


@pytest.fixture
def upgrade(tmp_path: Path) -> Upgrade:
    return Upgrade(tmp_path)


def test_hand_over_continues_the_transition_of_a_class(upgrade: Upgrade):
    """Guards against a second run behind SIGHUP and an upgrade: the new process knew the new rules only."""
    upgrade.old.engine.reconfigure(upgrade.repeatable)
    upgrade.old.run(300)
    upgrade.hand_over()
    assert not upgrade.repeats("early")
    assert upgrade.new.transport.notifications["early"][0] == "failed"


def test_transition_ends_in_the_new_process_at_its_time(upgrade: Upgrade):
    upgrade.old.engine.reconfigure(upgrade.repeatable)
    upgrade.old.run(300)
    upgrade.hand_over()
    upgrade.new.run(int(CLASS_TRANSITION_MS) - 200)
    assert upgrade.repeats("late")


def test_transition_that_has_ended_is_not_continued(upgrade: Upgrade):
    upgrade.old.engine.reconfigure(upgrade.repeatable)
    upgrade.old.run(int(CLASS_TRANSITION_MS) + 100)
    upgrade.hand_over()
    assert upgrade.repeats("late")


def test_process_that_starts_with_other_classes_begins_a_transition(upgrade: Upgrade):
    """Guards against a second run where the file was replaced before the new process read it."""
    upgrade.hand_over()
    assert not upgrade.repeats("early")


def restart(world: World, settings: Settings) -> None:
    """Kill an engine, and start another one in its directory with other settings."""
    world.journal.close()
    world.settings = settings
    world.start()


def sends_again(world: World, message: str) -> bool:
    """Return whether an engine sends a message again whose first call may have run."""
    world.submit(message, "once")
    world.transport.calls[-1].end(FAILED)
    world.run(1_000)
    return [message] in world.sent_ids()[:-1]


def test_restart_within_a_transition_continues_it(tmp_path: Path):
    """Guards against a second run behind SIGHUP and a kill: the restarted process knew the new rules only."""
    world = World(tmp_path)
    repeatable = Upgrade._with_repeatable(world.settings)
    world.engine.reconfigure(repeatable)
    world.run(300)
    restart(world, repeatable)
    assert not sends_again(world, "early")
    world.run(int(CLASS_TRANSITION_MS))
    assert sends_again(world, "late")


def test_restart_before_the_new_classes_are_read_begins_a_transition(tmp_path: Path):
    """Guards against a kill right behind SIGHUP: the journal knows nothing of the new classes."""
    world = World(tmp_path)
    restart(world, Upgrade._with_repeatable(world.settings))
    assert not sends_again(world, "early")
    world.run(int(CLASS_TRANSITION_MS))
    assert sends_again(world, "late")


def test_restart_with_another_attempt_limit_alone_begins_no_transition_of_equal_classes(tmp_path: Path):
    world = World(tmp_path)
    world.engine.reconfigure(world.settings)  # copies the limit to each class
    world.run(int(CLASS_TRANSITION_MS) + 100)
    tables = len(world.journal.class_tables)
    restart(world, world.settings)
    restart(world, world.settings)
    assert world.engine.export_classes().ends_at_ms is None
    assert len(world.journal.class_tables) <= tables + 1


def test_restart_with_the_same_classes_begins_no_transition(tmp_path: Path):
    world = World(tmp_path)
    repeatable = Upgrade._with_repeatable(world.settings)
    world.engine.reconfigure(repeatable)
    world.run(int(CLASS_TRANSITION_MS) + 100)
    restart(world, repeatable)
    assert sends_again(world, "any")


@pytest.mark.parametrize("state", [None, ClassesState(b"{", b"[]", None), ClassesState(b"[1]", b"[]", 1.0)])
def test_classes_that_cannot_be_used_change_nothing(upgrade: Upgrade, state: ClassesState | None):
    upgrade.new.engine.import_classes(state)
    assert upgrade.repeats("any")


def test_classes_pass_to_a_program_of_another_version(upgrade: Upgrade):
    classes = upgrade.old.engine.export_classes()
    state = TransferredState(is_out_of_service=False, clients=[], classes=classes)
    assert decode_state(encode_state(state)).classes == classes


class HeldKeys(NoReplication):
    """Holds back each message until the test releases it, as a claim of another courier does."""

    def __init__(self) -> None:
        self.on_ready: list[Callable[[None], None]] = []

    def wait_for_predecessors(
        self,
        number: int,
        class_name: str,
        key: int | None,
        idempotency_key: str,
        origin: str | None,
        on_ready: Callable[[None], None],
    ) -> None:
        self.on_ready.append(on_ready)


def end_transition(world: World) -> None:
    repeatable = replace(world.settings.classes["once"], effect=Effect.REPEATABLE)
    changed = replace(world.settings, classes={**world.settings.classes, "once": repeatable})
    world.engine.reconfigure(changed)
    world.run(int(CLASS_TRANSITION_MS) + 10)


def effect_of(world: World, message_id: str) -> Effect:
    return world.engine._context.scheduler.held[message_id].message_class.effect


# Guards against a message that waits for another courier's, or for the end of a suspension, while its class
# changes: it came to the scheduler under the new class, and might have run twice.
def test_message_that_waits_for_another_couriers_keeps_its_class(tmp_path: Path):
    held = HeldKeys()
    world = World(tmp_path, replication=held)
    world.submit("m1", "once")
    end_transition(world)
    held.on_ready.pop()(None)
    world.run()
    assert effect_of(world, "m1") is Effect.ONCE


def test_message_that_waits_for_the_end_of_a_suspension_keeps_its_class(tmp_path: Path):
    world = World(tmp_path)
    world.engine.suspend(True)
    world.submit("m1", "once")
    end_transition(world)
    world.engine.suspend(False)
    world.run()
    assert effect_of(world, "m1") is Effect.ONCE
