"""Encodes and decodes the state that one process hands over to the next.

For a program of the same fingerprint the state is a record (see `records`). For any other program it is a
pickle of plain values (see `legacy_pickle`). The first bytes distinguish the two forms.
"""

from __future__ import annotations

import msgspec

from winchspan.config.platform import ConfigurationInForce
from winchspan.delivery.reconfiguration import ClassesState
from winchspan.net.http import HttpProtocolError
from winchspan.net.http_call import HttpCall
from winchspan.upgrade.connection_converter import (
    call_from_record,
    call_to_record,
    client_from_record,
    client_to_record,
    idle_connection_from_record,
    idle_connection_to_record,
)
from winchspan.upgrade.directory_converter import directory_from_record, directory_to_record
from winchspan.upgrade.engine_converter import (
    ended_from_record,
    ended_to_record,
    engine_from_record,
    engine_to_record,
)
from winchspan.upgrade.errors import HandOverError, StateFormatError
from winchspan.upgrade.legacy_pickle import decode_legacy_state, encode_legacy_state
from winchspan.upgrade.records import (
    FORMAT_VERSION,
    MAGIC,
    ClassesRecord,
    ConfigurationRecord,
    CourierRecord,
    StateRecord,
)
from winchspan.upgrade.transferred_state import CourierState, TransferredState
from winchspan.upgrade.wire_protocol import MAX_STATE_BYTES


def encode_state(state: TransferredState) -> bytes:
    """Return the state as bytes.

    Raises:
        HandOverError: if it cannot be encoded, or exceeds the size that a new process reads.
    """
    encoded = encode_legacy_state(state) if state.courier is None else _encode_record(state, state.courier)
    if len(encoded) > MAX_STATE_BYTES:
        raise HandOverError(f"the state has {len(encoded)} bytes; expected at most {MAX_STATE_BYTES}")
    return encoded


def decode_state(encoded: bytes) -> TransferredState:
    """Decode a state of this or of an earlier version; raises HandOverError."""
    if len(encoded) > MAX_STATE_BYTES:
        raise StateFormatError("state", f"{len(encoded)} bytes", f"at most {MAX_STATE_BYTES}")
    if not encoded.startswith(MAGIC):
        return decode_legacy_state(encoded)
    try:
        record = msgspec.msgpack.decode(memoryview(encoded)[len(MAGIC) :], type=StateRecord)
    except (msgspec.DecodeError, RecursionError) as err:
        raise StateFormatError("state", f"{err!s:.200}", f"a record of version {FORMAT_VERSION}") from err
    if record.version != FORMAT_VERSION:
        raise StateFormatError("state", f"version {record.version}", f"version {FORMAT_VERSION}")
    try:
        return _state_from_record(record)
    except (HttpProtocolError, ValueError, IndexError) as err:
        raise StateFormatError("state", f"{err!r:.200}", "values that this program supports") from err


def _encode_record(state: TransferredState, courier: CourierState) -> bytes:
    record = StateRecord(
        version=FORMAT_VERSION,
        is_out_of_service=state.is_out_of_service,
        clients=[client_to_record(client) for client in state.clients],
        courier=CourierRecord(
            engine=engine_to_record(courier.engine, courier.calls),
            endpoint_directory=directory_to_record(courier.endpoint_directory),
            calls=[call_to_record(call) for call in courier.call_states],
            idle_connections=[idle_connection_to_record(each) for each in courier.idle_connections],
        ),
        ended=None if state.ended is None else ended_to_record(state.ended),
        configuration=None if state.configuration is None else ConfigurationRecord(*state.configuration),
        classes=None if state.classes is None else ClassesRecord(*state.classes),
        backlog_since_ms=state.backlog_since_ms,
    )
    try:
        return MAGIC + msgspec.msgpack.encode(record)
    except (TypeError, ValueError, OverflowError) as err:
        raise HandOverError(f"the state cannot be encoded: {err!r:.200}") from err


def _classes(record: ClassesRecord) -> ClassesState:
    return ClassesState(record.in_force, record.target, record.ends_at_ms)


def _configuration(record: ConfigurationRecord) -> ConfigurationInForce:
    return ConfigurationInForce(record.document, record.loaded_at_ms, record.is_reloaded)


def _state_from_record(record: StateRecord) -> TransferredState:
    courier = record.courier
    calls = {index: HttpCall.without_connection() for index in range(len(courier.calls))}
    return TransferredState(
        is_out_of_service=record.is_out_of_service,
        clients=[client_from_record(client) for client in record.clients],
        ended=None if record.ended is None else ended_from_record(record.ended),
        configuration=None if record.configuration is None else _configuration(record.configuration),
        classes=None if record.classes is None else _classes(record.classes),
        backlog_since_ms=record.backlog_since_ms,
        courier=CourierState(
            engine=engine_from_record(courier.engine, calls),
            endpoint_directory=directory_from_record(courier.endpoint_directory),
            calls=calls,
            call_states=[call_from_record(call) for call in courier.calls],
            idle_connections=[idle_connection_from_record(each) for each in courier.idle_connections],
        ),
    )
