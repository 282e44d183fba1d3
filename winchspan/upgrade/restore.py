"""Restores the components of the new process from the state of the old process."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from winchspan.delivery.messages import AttemptResult, PendingCall
from winchspan.net.http_call import HttpCall
from winchspan.runtime.system import System
from winchspan.upgrade.courier_components import CourierComponents
from winchspan.upgrade.take_over import InheritedState
from winchspan.upgrade.transferred_state import (
    CourierState,
    TransferredKeyPause,
    TransferredState,
    TransferredWait,
)


def restore_courier(
    components: CourierComponents,
    loop: asyncio.AbstractEventLoop,
    system: System,
    inherited: InheritedState,
) -> None:
    """Restore the scheduler, the messages, the calls in flight and the clients of another process.

    Args:
        components: this process's components, newly created.
        loop: event loop for the adopted connections.
        system: opens the connections from their descriptors.
        inherited: the state, and the descriptors in the order that `TransferredState` documents.
    """
    state = inherited.state
    assert state is not None
    sockets = [system.adopt_connection(descriptor) for descriptor in inherited.descriptors]
    call_count = len(state.courier.call_states) if state.courier is not None else 0
    idle_start = call_count + len(state.clients)
    components.engine.import_ended(state.ended)
    components.engine.import_classes(state.classes)
    if state.courier is not None:
        _restore_engine(components, state.courier, sockets[:call_count])
    else:
        _restore_waits(components, state.waits)
        _restore_paused_keys(components, state.paused_keys)
        components.engine.recover()
    for sock, client in zip(sockets[call_count:], state.clients, strict=False):
        components.clients.adopt(loop, sock, client, inherited.drain_requested_ms)
    _restore_idle_connections(components, state, sockets[idle_start:])
    if state.backlog_since_ms is not None:
        components.clients.adopt_backlog(state.backlog_since_ms)
    if state.is_out_of_service:
        components.clients.begin_drain()


def _restore_waits(components: CourierComponents, waits: list[TransferredWait]) -> None:
    """Begin the waits of the other process, before any message is recovered."""
    now_ms = components.clock.now()
    for wait in waits:
        number = components.endpoint_directory.number_of(wait.endpoint_name, wait.destination)
        if wait.until_ms > now_ms:
            components.engine.begin_wait(wait.destination, number, wait.until_ms - now_ms)


def _restore_paused_keys(components: CourierComponents, pauses: list[TransferredKeyPause]) -> None:
    """Continue the pauses of the other process, before any message is recovered."""
    now_ms = components.clock.now()
    for pause in pauses:
        if pause.until_ms > now_ms:
            components.engine.pause_key(pause.key, pause.until_ms - now_ms)


def _restore_engine(
    components: CourierComponents, courier: CourierState, sockets: list[socket.socket]
) -> None:
    index_by_call = {id(call): index for index, call in courier.calls.items()}

    def resume_call(call: PendingCall, on_done: Callable[[list[AttemptResult]], None]) -> None:
        assert isinstance(call, HttpCall)
        index = index_by_call[id(call)]
        components.attempt_transport.adopt(sockets[index], call, courier.call_states[index], on_done)

    components.endpoint_directory.import_state(courier.endpoint_directory)
    components.engine.import_state(courier.engine, resume_call)


def _restore_idle_connections(
    components: CourierComponents, state: TransferredState, sockets: list[socket.socket]
) -> None:
    connections = state.courier.idle_connections if state.courier is not None else []
    for sock, connection in zip(sockets, connections, strict=True):
        components.http_connections.adopt_idle(sock, connection.peer, connection.idle_ms_left)
