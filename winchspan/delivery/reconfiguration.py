"""Applies changed settings, and keeps the classes that open messages were accepted under."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import replace
from typing import NamedTuple

from loguru import logger

from winchspan import api
from winchspan.config.json_fields import FieldError, parse_json
from winchspan.config.settings import message_class_from_json, message_class_to_json
from winchspan.config.transitions import CLASS_TRANSITION_MS, transitional_classes, with_attempt_limits
from winchspan.delivery.context import EngineContext
from winchspan.delivery.dispatch_cycle import DispatchCycle
from winchspan.delivery.event_queue import EventQueue
from winchspan.runtime.timers import Timer


class ClassesState(NamedTuple):
    """The message classes in force, as a process hands them over to the next; JSON arrays of classes.

    Attributes:
        in_force: the classes in force, which during a transition comply with the rules of both settings.
        target: the classes that are in force once the transition has ended.
        ends_at_ms: clock reading at which the transition ends; None: there is none.
    """

    in_force: bytes
    target: bytes
    ends_at_ms: float | None


class Reconfiguration:
    """Manages the transition from one settings object to the next."""

    def __init__(self, context: EngineContext, events: EventQueue, cycle: DispatchCycle) -> None:
        self._context = context
        self._journal = context.journal
        self._events = events
        self._cycle = cycle
        self._switch_timer: Timer | None = None  # until clients use the new classes only
        self._target = context.settings  # what is in force once a transition has ended

    def apply(self, settings: api.Settings) -> None:
        """Apply settings; open messages keep the class that they were accepted under.

        Until clients use the new settings, the stricter version of each changed class is in force.
        """
        self._cycle.run()  # queued events are handled under the previous settings
        ends_at_ms = self._context.clock.now() + CLASS_TRANSITION_MS
        self._begin_transition(self._context.settings.classes, with_attempt_limits(settings), ends_at_ms)

    def _begin_transition(
        self, previous: Mapping[str, api.MessageClass], target: api.Settings, ends_at_ms: float
    ) -> None:
        """Put the stricter version of each class in force until `ends_at_ms`, and the target's then."""
        classes = transitional_classes(previous, target.classes)
        self._target = target
        self._put_in_force(replace(target, classes=classes))
        if self._switch_timer is not None:
            self._switch_timer.cancel()
        self._switch_timer = self._context.timers.call_at(ends_at_ms, lambda: self._finish_switch(target))

    def _finish_switch(self, settings: api.Settings) -> None:
        """Put the new classes alone in force."""
        self._cycle.run()
        self._switch_timer = None
        self._put_in_force(settings)

    def _end_transition(self) -> None:
        """End a transition before its time, if there is one."""
        if self._switch_timer is not None:
            self._switch_timer.cancel()
            self._finish_switch(self._target)

    def _put_in_force(self, settings: api.Settings) -> None:
        self._context.settings = settings
        self._context.classes = dict(settings.classes)
        self._events.keep_accepted_classes()  # of events that wait for the end of a suspension
        self._record_classes()
        self._context.metrics.register_classes(settings.classes)
        self._context.scheduler.reconfigure(replace(settings, classes=self._context.classes))
        self._context.overload_control.reconfigure(settings)
        self._events.post(api.TimerFired(0))  # lets the scheduler use additional slots

    # ---- upgrade -----------------------------------------------------------------------------------------
    def export_state(self) -> ClassesState:
        """Return the classes in force, for the process that takes over."""
        return ClassesState(
            _encode_classes(self._context.settings.classes),
            _encode_classes(self._target.classes),
            self._switch_timer.deadline_ms if self._switch_timer is not None else None,
        )

    def import_state(self, state: ClassesState | None) -> None:
        """Continue the transition of another process, or begin one if its classes differ from the own ones.

        Guards against a message that must run once only and is repeated by the rules of its class to be.

        Args:
            state: the classes of the other process; None if it does not tell.
        """
        if state is None:
            return
        try:
            in_force = _classes_from_rows(parse_json(state.in_force))
            target = _classes_from_rows(parse_json(state.target))
        except FieldError as err:
            logger.error("take-over: the classes of the previous process cannot be used: {}", err)
            return
        own = self._target
        now_ms = self._context.clock.now()
        if in_force == own.classes:
            self._end_transition()
            return
        is_same_target = target == own.classes and state.ends_at_ms is not None
        ends_at_ms = state.ends_at_ms if is_same_target else now_ms + CLASS_TRANSITION_MS
        if ends_at_ms is not None and ends_at_ms > now_ms:
            self._begin_transition(in_force, own, ends_at_ms)

    # ---- restart -----------------------------------------------------------------------------------------
    def recover(self) -> None:
        """Begin a transition if the classes in force at the end of the previous process were others.

        Clients may use them still: that process may have ended within a transition, or behind SIGHUP before
        it read the new settings. Guards against a message that must run once only and is repeated by the
        rules of its class to be.
        """
        target = with_attempt_limits(self._target)
        previous = self._recorded_classes()
        if previous and with_attempt_limits(replace(target, classes=previous)).classes != target.classes:
            self._begin_transition(previous, target, self._context.clock.now() + CLASS_TRANSITION_MS)
        else:
            self._record_classes()

    def _recorded_classes(self) -> dict[str, api.MessageClass]:
        """Return the classes in the journal; empty if there are none, or none that can be used."""
        try:
            return _classes_from_rows(self._journal.current_classes)
        except FieldError as err:
            logger.error("journal: the classes of the previous process cannot be used: {}", err)
            return {}

    def _record_classes(self) -> None:
        """Record the classes in force in the journal, for messages that are recovered from it."""
        classes = self._context.settings.classes.values()
        self._journal.record_classes([message_class_to_json(message_class) for message_class in classes])


def _encode_classes(classes: Mapping[str, api.MessageClass]) -> bytes:
    return json.dumps([message_class_to_json(message_class) for message_class in classes.values()]).encode()


def _classes_from_rows(rows: object) -> dict[str, api.MessageClass]:
    """Return classes by name; raises FieldError."""
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        raise FieldError("the classes must be an array of objects")
    classes = [message_class_from_json(row) for row in rows]
    return {message_class.name: message_class for message_class in classes}
