"""The state of a courier as live objects: before it is encoded, and after it is decoded."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from winchspan.config.platform import ConfigurationInForce
from winchspan.delivery.ended_messages import EndedMessagesState
from winchspan.delivery.engine_state import EngineState
from winchspan.delivery.reconfiguration import ClassesState
from winchspan.net.client_connection import ClientConnectionState
from winchspan.net.http_call import HttpCall, HttpCallState, HttpPeer


class IdleConnection(NamedTuple):
    """A connection to an endpoint with no call on it.

    Attributes:
        peer: the endpoint at the other end.
        idle_ms_left: remaining time for which the connection may stay idle.
    """

    peer: HttpPeer
    idle_ms_left: float


@dataclass(slots=True)
class CourierState:
    """The part of the state that passes only between programs of the same fingerprint.

    Attributes:
        engine: the scheduler, and the open messages.
        endpoint_directory: the state that `EndpointDirectory.export_state` returns.
        calls: the calls in flight to which the attempts of `engine` refer, by their index in `call_states`.
        call_states: the progress of each call, in the order of the connections' descriptors.
        idle_connections: the idle connections, in the order of their descriptors.
    """

    engine: EngineState
    endpoint_directory: dict[str, Any]
    calls: dict[int, HttpCall]
    call_states: list[HttpCallState]
    idle_connections: list[IdleConnection]


class TransferredWait(NamedTuple):
    """A wait that a destination has asked for.

    Attributes:
        destination: the destination's number.
        endpoint_name: the endpoint whose route alone it binds; None: it binds the whole destination.
        until_ms: when it ends, in ms of the monotonic clock, which both processes share.
    """

    destination: int
    endpoint_name: str | None
    until_ms: float


class TransferredKeyPause(NamedTuple):
    """An ordering key of which no message may be sent yet, since an earlier call may still run.

    Attributes:
        key: the ordering key.
        until_ms: when the pause ends, in ms of the monotonic clock, which both processes share.
    """

    key: int
    until_ms: float


@dataclass(slots=True)
class TransferredState:
    """The state that a new process takes over, in addition to the descriptors of the connections.

    The descriptors come in the order: calls in flight, clients, idle connections.

    Attributes:
        is_out_of_service: whether an operator has taken the courier out of service.
        clients: the state of the clients' connections, in the order of their descriptors.
        backlog_since_ms: clock reading after which the clients in the backlog of the listening socket have
            connected; None from a program that does not tell.
        ended: messages that have ended recently; None from a program that does not tell.
        configuration: the configuration in force; None from a program that does not tell.
        classes: the message classes in force; None from a program that does not tell.
        courier: None from a program of another fingerprint. The new process then recovers from the journal.
        waits: the waits in force, which `courier` contains otherwise.
        paused_keys: the paused ordering keys, which `courier` contains otherwise.
    """

    is_out_of_service: bool
    clients: list[ClientConnectionState]
    backlog_since_ms: float | None = None
    ended: EndedMessagesState | None = None
    configuration: ConfigurationInForce | None = None
    classes: ClassesState | None = None
    courier: CourierState | None = None
    waits: list[TransferredWait] = field(default_factory=list)
    paused_keys: list[TransferredKeyPause] = field(default_factory=list)
