"""Pickled states: those between programs of different fingerprints, and those of versions up to 5bc3544.

Programs of different fingerprints exchange a pickle of plain values, in both directions:
`{"drained": bool, "clients": [(unread bytes, is answered, faults, since ms), ...]}`. Every version reads it,
so its form must not change. Every version ignores further keys: `received_after` (of the clients, ms or None)
`ended` (since when it is complete, and a list of id, end and whether delivered), `configuration` (the
fields of `ConfigurationInForce`), `classes` (those of `ClassesState`), `waits` (a list of those of
`TransferredWait`), `paused_keys` (a list of those of `TransferredKeyPause`) and `backlog_since` (ms).

Between programs of the same fingerprint, versions up to 5bc3544 pickled their live objects. The tables below
map the names in such a state to the present ones. They can be removed once no supported version writes it.
"""

from __future__ import annotations

import io
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any, Final, TypeAlias

from winchspan.config.platform import ConfigurationInForce
from winchspan.delivery.ended_messages import EndedMessage, EndedMessagesState
from winchspan.delivery.engine_state import EngineState
from winchspan.delivery.reconfiguration import ClassesState
from winchspan.net.client_connection import ClientConnectionState
from winchspan.net.http_call import HttpCall
from winchspan.upgrade import legacy_overload, legacy_scheduling
from winchspan.upgrade.errors import StateFormatError
from winchspan.upgrade.restricted_pickle import RestrictedUnpickler, dump, load_with
from winchspan.upgrade.transferred_state import (
    CourierState,
    IdleConnection,
    TransferredKeyPause,
    TransferredState,
    TransferredWait,
)

# Converts the attributes of an old instance to the present ones.
_Converter: TypeAlias = Callable[[Mapping[str, Any]], Mapping[str, Any]]

_CLIENT_FIELD_COUNT: Final = 4  # that every version reads

# Modules whose classes were moved after commit 5bc3544, old to new.
_MOVED_MODULES: Final = {
    "winchspan.choice": "winchspan.scheduling.state",
    "winchspan.config": "winchspan.config.platform",
    "winchspan.courier": "winchspan.delivery.engine",
    "winchspan.interface": "winchspan.api.settings",
    "winchspan.net.client_link": "winchspan.net.client_connection",
    "winchspan.net.hooks": "winchspan.net.attempt_transport",
    "winchspan.net.host_group": "winchspan.net.endpoint_directory",
    "winchspan.net.server_link": "winchspan.net.http_connection",
    "winchspan.sketch": "winchspan.runtime.sketches",
    "winchspan.slots": "winchspan.runtime.slot_table",
}
# Classes that were renamed after commit 5bc3544: old module and name to the present ones.
_RENAMED_CLASSES: Final = {
    ("winchspan.interface", "PeerNote"): ("winchspan.api.events", "PeerNote"),
    ("winchspan.interface", "TimerFired"): ("winchspan.api.events", "TimerFired"),
    **legacy_scheduling.RENAMED_CLASSES,
    ("winchspan.courier", "Execution"): ("winchspan.delivery.messages", "DeliveryAttempt"),
    ("winchspan.courier", "Parcel"): ("winchspan.delivery.messages", "OutgoingMessage"),
    ("winchspan.courier", "Query"): ("winchspan.delivery.messages", "AcceptedMessage"),
    ("winchspan.courier", "Tried"): ("winchspan.delivery.messages", "AttemptRecord"),
    ("winchspan.interface", "Arrived"): ("winchspan.api.events", "MessageArrived"),
    ("winchspan.interface", "Ended"): ("winchspan.api.events", "AttemptCompleted"),
    ("winchspan.interface", "EndpointList"): ("winchspan.api.events", "EndpointsUpdated"),
    ("winchspan.interface", "Governor"): ("winchspan.api.overload_control", "OverloadControl"),
    ("winchspan.interface", "Heard"): ("winchspan.api.events", "NotificationAcknowledged"),
    ("winchspan.interface", "Kind"): ("winchspan.api.settings", "DestinationKind"),
    ("winchspan.interface", "Listing"): ("winchspan.api.settings", "EndpointStatus"),
    ("winchspan.interface", "Recovered"): ("winchspan.api.events", "MessageRecovered"),
    ("winchspan.interface", "Row"): ("winchspan.api.events", "EndpointEntry"),
    ("winchspan.interface", "Scope"): ("winchspan.api.settings", "UpdateScope"),
    ("winchspan.interface", "Withdrawn"): ("winchspan.api.events", "MessageWithdrawn"),
    ("winchspan.net.hooks", "Cargo"): ("winchspan.net.attempt_transport", "CallContent"),
    ("winchspan.net.host_group", "Host"): ("winchspan.net.endpoint_directory", "EndpointRecord"),
    ("winchspan.net.http", "AnswerParser"): ("winchspan.net.http", "ResponseParser"),
    ("winchspan.net.server_link", "HandedCall"): ("winchspan.net.http_call", "HttpCallState"),
    ("winchspan.net.server_link", "Peer"): ("winchspan.net.http_call", "HttpPeer"),
    ("winchspan.sketch", "CountMin"): ("winchspan.runtime.sketches", "CountMinSketch"),
    ("winchspan.sketch", "RecentKeys"): ("winchspan.runtime.sketches", "RecentKeyFilter"),
    **legacy_overload.RENAMED_CLASSES,
}
# Attributes that were renamed after commit 5bc3544, old to new, by the present module and name of the class.
_RENAMED_ATTRIBUTES: dict[tuple[str, str], dict[str, str]] = {
    ("winchspan.delivery.messages", "AcceptedMessage"): {
        "number": "journal_number",
        "dest": "destination",
        "deadline": "deadline_ms",
        "token": "idempotency_key",
        "cls": "class_name",
        "attempts": "attempt_count",
        "execution": "attempt",
        "over": "is_completed",
        "resend": "redelivery_of",
        "tried": "attempt_history",
    },
    ("winchspan.delivery.messages", "DeliveryAttempt"): {
        "started": "started_ms",
        "over": "is_withdrawn",
        "cancelled": "cancelled_handles",
    },
    **legacy_scheduling.RENAMED_ATTRIBUTES,
    **legacy_overload.RENAMED_ATTRIBUTES,
}
# Converters for classes whose attributes were restructured after commit 5bc3544.
_ATTRIBUTE_CONVERTERS: Final[dict[tuple[str, str], _Converter]] = {
    ("winchspan.overload.governor", "OverloadGovernor"): legacy_overload.governor_attributes,
}


def encode_legacy_state(state: TransferredState) -> bytes:
    """Encode the state for a program of another fingerprint; raises HandOverError."""
    fields: dict[str, Any] = {
        "drained": state.is_out_of_service,
        "clients": [tuple(client)[:_CLIENT_FIELD_COUNT] for client in state.clients],
    }
    if any(client.received_after_ms is not None for client in state.clients):
        fields["received_after"] = [client.received_after_ms for client in state.clients]
    if state.ended is not None:
        fields["ended"] = (state.ended.complete_since_ms, [tuple(message) for message in state.ended.ended])
    if state.configuration is not None:
        fields["configuration"] = tuple(state.configuration)
    if state.classes is not None:
        fields["classes"] = tuple(state.classes)
    if state.backlog_since_ms is not None:
        fields["backlog_since"] = state.backlog_since_ms
    if state.waits:
        fields["waits"] = [tuple(wait) for wait in state.waits]
    if state.paused_keys:
        fields["paused_keys"] = [tuple(pause) for pause in state.paused_keys]
    return dump(fields)


def decode_legacy_state(encoded: bytes) -> TransferredState:
    """Decode a pickled state of any version; raises HandOverError."""
    unpickler = _LegacyUnpickler(io.BytesIO(encoded))
    fields = load_with(unpickler)
    if not isinstance(fields, dict):
        raise StateFormatError("state", type(fields).__name__, "a dict")
    try:
        return _state_from_fields(fields, unpickler.calls)
    except (KeyError, TypeError, ValueError) as err:
        raise StateFormatError("state", f"{err!r:.200}", "the fields that 5bc3544 wrote") from err


def _state_from_fields(fields: Mapping[str, Any], calls: dict[int, HttpCall]) -> TransferredState:
    clients = [ClientConnectionState(*client) for client in fields["clients"]]
    received_after_ms = fields.get("received_after", [None] * len(clients))
    state = TransferredState(
        is_out_of_service=fields["drained"],
        clients=[
            client._replace(received_after_ms=ms)
            for client, ms in zip(clients, received_after_ms, strict=True)
        ],
        ended=_ended_messages(fields["ended"]) if "ended" in fields else None,
        configuration=ConfigurationInForce(*fields["configuration"]) if "configuration" in fields else None,
        classes=ClassesState(*fields["classes"]) if "classes" in fields else None,
        backlog_since_ms=fields.get("backlog_since"),
        waits=[TransferredWait(*wait) for wait in fields.get("waits", [])],
        paused_keys=[TransferredKeyPause(*pause) for pause in fields.get("paused_keys", [])],
    )
    if "courier" in fields:
        state.courier = CourierState(
            engine=_engine_state(fields["courier"]),
            endpoint_directory=fields["group"],
            calls=calls,
            call_states=fields["busy"],
            idle_connections=[IdleConnection(*connection) for connection in fields["idle"]],
        )
    return state


def _ended_messages(fields: tuple[float, list[tuple[str, float, bool]]]) -> EndedMessagesState:
    complete_since_ms, ended = fields
    return EndedMessagesState([EndedMessage(*message) for message in ended], complete_since_ms)


def _engine_state(fields: Mapping[str, Any]) -> EngineState:
    return EngineState(
        scheduler=fields["sender"],
        messages=fields["queries"],
        handles_by_id=fields["by_id"],
        held_count=fields["held"],
        in_flight_count=fields["out"],
        pending_events=fields["events"],
    )


class _LegacyUnpickler(RestrictedUnpickler):
    """Replaces old names by the present ones; `calls` collects the calls of the state by their numbers."""

    def __init__(self, file: io.BytesIO) -> None:
        super().__init__(file)
        self.calls: dict[int, HttpCall] = {}

    def persistent_load(self, pid: object) -> HttpCall:
        """Return the call with a number; its connection is adopted later."""
        if not isinstance(pid, int):
            raise StateFormatError("call", f"number {pid!r:.40}", "an integer")
        return self.calls.setdefault(pid, HttpCall.without_connection())

    def find_class(self, module: str, name: str) -> Any:  # noqa: ANN401  signature of the base class
        """Return the present class for an old name."""
        present_module, present_name = _RENAMED_CLASSES.get(
            (module, name), (_MOVED_MODULES.get(module, module), name)
        )
        found = super().find_class(present_module, present_name)
        if (convert := _ATTRIBUTE_CONVERTERS.get((present_module, present_name))) is not None:
            return _with_converter(found, convert)
        attributes = _RENAMED_ATTRIBUTES.get((present_module, present_name))
        return found if attributes is None else _with_old_attributes(found, attributes)


def _with_old_attributes(present: type, names: Mapping[str, str]) -> type:
    """Return a subclass whose instances accept old attribute names and then change to the present class."""
    return _with_converter(present, partial(_rename_attributes, names=names))


def _with_converter(present: type, convert: _Converter) -> type:
    """Return a subclass whose instances convert old attributes and then change to the present class."""

    def set_state(self: object, state: Any) -> None:  # noqa: ANN401  defined by pickle
        object.__setattr__(self, "__class__", present)  # allowed, because the layouts are equal
        if isinstance(state, list):  # a frozen dataclass with slots: values in the order of the fields
            present.__setstate__(self, state)  # type: ignore[attr-defined]  # generated by dataclass
            return
        converted = convert(_attributes(state))
        if hasattr(present, "__setstate__"):
            present.__setstate__(self, converted)
            return
        legacy_scheduling.set_attributes(self, converted)

    return type(present.__name__, (present,), {"__slots__": (), "__setstate__": set_state})


def _attributes(state: Any) -> dict[str, Any]:  # noqa: ANN401  defined by pickle
    """Return the attributes in a pickled state: a dict, or a pair of dicts or None (instance and slots)."""
    parts = state if isinstance(state, tuple) else (state,)
    return {name: value for part in parts if part is not None for name, value in part.items()}


def _rename_attributes(attributes: Mapping[str, Any], names: Mapping[str, str]) -> dict[str, Any]:
    return {names.get(name, name): value for name, value in attributes.items()}
