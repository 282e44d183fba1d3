"""Upgrades of an emulated courier: an incarnation hands over to the next on the same machine.

The hand-over has the same steps, state and connections as between real processes. Only the socket between the
two processes is not emulated: a descriptor is the number of a connection's end in the emulated network.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from loguru import logger

from winchspan.application.application import Application
from winchspan.runtime.clock import MS_PER_SECOND
from winchspan.simulation.incarnation import Incarnation
from winchspan.simulation.listener import EmulatedListener
from winchspan.simulation.loop import NS_PER_MS
from winchspan.upgrade.errors import HandOverError
from winchspan.upgrade.hand_over_server import DRAIN_POLL_SECONDS, StateTransfer
from winchspan.upgrade.hand_over_source import HandOverSource
from winchspan.upgrade.state_codec import decode_state
from winchspan.upgrade.state_machine import HandOverAction, HandOverStateMachine, transfer_timeout_ms
from winchspan.upgrade.take_over import InheritedState

TRANSFER_SECONDS: Final = 0.02
"""Time to transfer and decode the state."""

DESCRIPTOR_LIMIT: Final = 10_000
"""Limit of open descriptors that is reported to the hand-over; emulated processes enforce no limit."""


class _EmulatedHandOverSource(HandOverSource):
    """The source of a hand-over, with connections of the emulated network."""

    incarnation: Incarnation

    def release_descriptors(self, descriptors: list[int]) -> None:
        """Release connections to the next incarnation, so that this incarnation no longer uses them."""
        for descriptor in descriptors:
            connection = self.incarnation.network.find_connection_end(descriptor)
            self.incarnation.release_connection(connection)


class EmulatedUpgrade:
    """A hand-over between two incarnations of a courier.

    Attributes:
        is_over: whether it has ended, successfully or not.
        stall_ms: time after which the new process fails with the state unread; 0: it takes over.
    """

    def __init__(
        self,
        application: Application,
        incarnation: Incarnation,
        listener: EmulatedListener,
        start_successor: Callable[[InheritedState], None],
        *,
        same_program: bool,
    ) -> None:
        """Prepare a hand-over.

        Args:
            application: application of the serving courier.
            incarnation: process of the serving courier.
            listener: the clients' listening socket, which stays open.
            start_successor: starts the next incarnation with inherited state, once `incarnation` has ended.
            same_program: whether the new process is of the same program.
        """
        self.is_over = False
        self.stall_ms = 0.0
        self._incarnation = incarnation
        self._listener = listener
        self._start_successor = start_successor
        self._same_program = same_program
        self._loop = incarnation.network.loop
        self._state_machine = HandOverStateMachine()
        self._source = _EmulatedHandOverSource(
            application.hand_over_components(), lambda: DESCRIPTOR_LIMIT, lambda: None, lambda: None
        )
        self._source.incarnation = incarnation

    def start(self) -> None:
        """Request the hand-over, as a new process would."""
        self._execute(self._state_machine.on_request(self._now_ms(), self._same_program))
        self._loop.call_later(DRAIN_POLL_SECONDS, self._poll)

    def _now_ms(self) -> float:
        return self._loop.ns / NS_PER_MS

    def _poll(self) -> None:
        """Check whether the drain has completed, and perform the resulting actions."""
        if not self._incarnation.is_alive:
            self.is_over = True
            return
        if self._source.is_drained():
            actions = self._state_machine.on_drained(self._now_ms())
        else:
            actions = self._state_machine.on_tick(self._now_ms())
        if HandOverAction.TRANSFER in actions:
            self._transfer()
            return
        self._execute(actions)
        self._poll_again()

    def _poll_again(self) -> None:
        if not self.is_over:
            self._loop.call_later(DRAIN_POLL_SECONDS, self._poll)

    def _transfer(self) -> None:
        try:
            transfer = self._source.freeze_and_export()
        except HandOverError as err:
            logger.warning("upgrade: {}", err)
            self._execute(self._state_machine.on_new_process_lost())
            return
        if self.stall_ms:
            timeout_ms = transfer_timeout_ms(self._source.time_to_deadline_ms(), failed_transfers=0)
            self._incarnation.suspend()  # bounds the age of what it reads behind the freeze
            self._loop.call_later(min(self.stall_ms, timeout_ms) / MS_PER_SECOND, self._on_failed)
        else:
            self._loop.call_later(TRANSFER_SECONDS, self._on_transferred, transfer)

    def _on_failed(self) -> None:
        if self._incarnation.is_alive:
            self._incarnation.resume()
            self._execute(self._state_machine.on_new_process_lost())
        self.is_over = True

    def _on_transferred(self, transfer: StateTransfer) -> None:
        if not self._incarnation.is_alive:  # killed during the transfer: the next start recovers the journal
            self.is_over = True
            return
        state = decode_state(transfer.state)
        self._execute(self._state_machine.on_acknowledged())
        self._incarnation.release_listener(self._listener)
        self._incarnation.kill()
        self.is_over = True
        self._start_successor(InheritedState(state, transfer.descriptors))

    def _execute(self, actions: list[HandOverAction]) -> None:
        for action in actions:
            match action:
                case HandOverAction.START_DRAIN:
                    self._source.start_drain(self._same_program)
                case HandOverAction.CANCEL_UNDRAINED:
                    self._source.cancel_undrained()
                case HandOverAction.COMMIT:
                    self._source.commit()
                case HandOverAction.RESUME:
                    self._source.resume()
                    self.is_over = True
                case _:
                    pass
