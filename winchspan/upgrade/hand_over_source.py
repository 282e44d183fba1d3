"""Drains, freezes and exports the components of the serving process; commits or resumes."""

from __future__ import annotations

import os
from collections.abc import Callable

from loguru import logger

from winchspan.delivery.context import AttemptHold
from winchspan.net.http_connection import HttpConnection
from winchspan.runtime.clock import ns_to_ms
from winchspan.runtime.timers import Timer
from winchspan.upgrade.courier_components import CourierComponents
from winchspan.upgrade.errors import HandOverError
from winchspan.upgrade.hand_over_server import StateTransfer
from winchspan.upgrade.state_codec import encode_state
from winchspan.upgrade.transferred_state import (
    CourierState,
    IdleConnection,
    TransferredKeyPause,
    TransferredState,
    TransferredWait,
)
from winchspan.upgrade.undrained import Undrained


class HandOverSource:
    """Performs the actions of a hand-over on the components of the serving process."""

    def __init__(
        self,
        components: CourierComponents,
        spare_descriptor_count: Callable[[], int],
        on_stop: Callable[[], None],
        on_exit: Callable[[], None],
    ) -> None:
        """Create the source of a hand-over.

        Args:
            components: the courier's components.
            spare_descriptor_count: returns how many descriptors both processes may hold in addition to those
                of this process.
            on_stop: shuts down as at SIGTERM.
            on_exit: releases the state directory, and ends the process.
        """
        self._components = components
        self._spare_descriptor_count = spare_descriptor_count
        self._on_stop = on_stop
        self._on_exit = on_exit
        self._same_program = True
        self.is_frozen = False
        self._has_suspended_engine = False  # in the freeze
        self._resume_timer: Timer | None = None
        self._exported_descriptors: list[int] = []

    def start_drain(self, same_program: bool) -> None:
        """Start no attempt, and recall the unwritten calls.

        Messages that reach their deadline meanwhile get their final answers, and the platform is notified.
        """
        self._same_program = same_program
        if self._resume_timer is not None:  # the hand-over before has just failed
            self._resume_timer.cancel()
            self._resume_decisions()
        self._components.engine.hold_attempts(AttemptHold.HAND_OVER)
        self._components.http_connections.recall_all_unwritten()

    def is_drained(self) -> bool:
        """Whether all remaining calls and connections can be handed over.

        New clients and notifications are suspended only once nothing else is awaited: one may follow another
        without a gap.
        """
        undrained = self.undrained()
        self._components.clients.suspend_accepting(undrained.are_calls_drained)
        self._components.notifications.suspend(undrained.is_done_but_notification)
        return not undrained

    def undrained(self) -> Undrained:
        """Return what cannot be handed over yet."""
        calls = self._undrained_calls()
        return Undrained(
            servers=tuple(str(connection.peer.address) for connection in calls),
            held_count=sum(connection.has_held_response for connection in calls),
            client_count=self._components.clients.untransferable_count(),
            has_notification=self._components.notifications.is_in_flight,
            has_unsettled_attempts=not self._components.engine.is_settled(),
        )

    def cancel_undrained(self) -> None:
        """Cancel the calls and connections that did not drain in time.

        The scheduler treats the messages of these calls as possibly executed.
        """
        undrained = self._undrained_calls()
        logger.warning(
            "upgrade: cancelled {} calls and {} client connections that did not drain",
            len(undrained),
            self._components.clients.untransferable_count(),
        )
        for connection in undrained:
            if connection.call is not None:
                connection.call.cancel()
        self._components.clients.abort_untransferable()

    def time_to_deadline_ms(self) -> float:
        """Return the time to the first deadline of an open message; 0 if a notification is due."""
        if len(self._components.notifications):
            return 0.0
        return self._components.engine.first_deadline_ms() - self._components.clock.now()

    def freeze_and_export(self) -> StateTransfer:
        """Stop all timers and reads, and return the state.

        Raises:
            HandOverError: if the state cannot be handed over.
        """
        self._freeze()
        spare_count = self._spare_descriptor_count()
        busy, idle = self._components.http_connections.transferable()
        clients = self._components.clients.export_states()
        # Both processes hold the descriptors during the transfer.
        idle = idle[: max(0, spare_count - len(busy) - len(clients))]
        clients = clients[: max(0, spare_count - len(busy))]
        client_descriptors = [descriptor for descriptor, _ in clients]
        state = TransferredState(
            is_out_of_service=self._components.clients.is_out_of_service,
            clients=[client for _, client in clients],
            backlog_since_ms=self._components.clients.backlog_since_ms,
            ended=self._components.engine.export_ended(),
            configuration=self._components.configuration_in_force(),
            classes=self._components.engine.export_classes(),
        )
        if not self._same_program:
            state.waits = self._waits()
            state.paused_keys = [
                TransferredKeyPause(key, ns_to_ms(until_ns))
                for key, until_ns in self._components.engine.paused_keys()
            ]
            return self._export(state, client_descriptors)
        state.courier = self._courier_state(busy, idle)
        busy_descriptors = [connection.fileno() for connection in busy]
        idle_descriptors = [connection.fileno() for connection in idle]
        return self._export(state, busy_descriptors + client_descriptors + idle_descriptors)

    def commit(self) -> None:
        """Close the journal and this process's copies of the connections.

        Otherwise a connection that the new process closes would stay open through the copy: an endpoint would
        treat a cancelled call as still in flight, and a client would write to a connection that is not read.
        """
        self._components.journal.close()
        self.release_descriptors(self._exported_descriptors)

    def release_descriptors(self, descriptors: list[int]) -> None:
        """Close this process's copies of connections."""
        null_device = os.open(os.devnull, os.O_RDWR | os.O_CLOEXEC)
        for descriptor in descriptors:
            # Keeps the number in use: a socket object of this process still refers to it.
            os.dup2(null_device, descriptor, inheritable=False)
        os.close(null_device)

    def resume(self) -> None:
        """Roll back: serve again as before the request.

        The engine decides once the input that came during a freeze has been read: timers are called after
        polled events. A response in it may ask for a wait.
        """
        self.is_frozen = False
        self._components.clients.suspend_accepting(False)
        self._components.clients.pause_for_hand_over(False)
        self._components.http_connections.pause_for_hand_over(False)
        self._components.notifications.suspend(False)
        self._components.timers.resume()
        self._resume_timer = self._components.timers.call_later(0.0, self._resume_decisions)

    def _resume_decisions(self) -> None:
        self._resume_timer = None
        if self._has_suspended_engine:
            self._has_suspended_engine = False
            self._components.engine.set_suspended(False)
        self._components.engine.release_attempts(AttemptHold.HAND_OVER)

    def stop(self) -> None:
        """Shut down as at SIGTERM."""
        self._on_stop()

    def exit(self) -> None:
        """End the process after the commit."""
        self._on_exit()

    def _undrained_calls(self) -> list[HttpConnection]:
        """Return the connections whose calls cannot be handed over: all calls, if the programs differ."""
        return self._components.http_connections.untransferable(all_calls=not self._same_program)

    def _freeze(self) -> None:
        self.is_frozen = True
        self._components.engine.decide_pending()  # a cancelled call pauses its ordering key
        self._has_suspended_engine = not self._components.engine.is_suspended
        self._components.engine.set_suspended(True)
        self._components.notifications.suspend(True)
        self._components.timers.pause()
        self._components.clients.pause_for_hand_over(True)
        self._components.http_connections.pause_for_hand_over(True)
        if not self._components.journal.flush_backlog():
            raise HandOverError("the journal cannot be written; its disk may be full")

    def _waits(self) -> list[TransferredWait]:
        """Return the waits in force; those of endpoints that are not known any more are left out."""
        endpoints = self._components.endpoint_directory.endpoints
        return [
            TransferredWait(
                wait.destination,
                None if wait.endpoint is None else endpoints[wait.endpoint].name,
                ns_to_ms(wait.until_ns),
            )
            for wait in self._components.engine.requested_waits()
            if wait.endpoint is None or wait.endpoint in endpoints
        ]

    def _courier_state(self, busy: list[HttpConnection], idle: list[HttpConnection]) -> CourierState:
        now_ms = self._components.clock.now()
        calls = [connection.call for connection in busy if connection.call is not None]
        return CourierState(
            engine=self._components.engine.export_state(),
            endpoint_directory=self._components.endpoint_directory.export_state(),
            calls=dict(enumerate(calls)),
            call_states=[connection.export_state() for connection in busy],
            idle_connections=[_idle_connection(connection, now_ms) for connection in idle],
        )

    def _export(self, state: TransferredState, descriptors: list[int]) -> StateTransfer:
        encoded = encode_state(state)
        self._exported_descriptors = descriptors
        return StateTransfer(encoded, descriptors)


def _idle_connection(connection: HttpConnection, now_ms: float) -> IdleConnection:
    idle_ms_left = connection.retire_timer.deadline_ms - now_ms if connection.retire_timer else 0.0
    return IdleConnection(connection.peer, idle_ms_left)
