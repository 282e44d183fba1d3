"""Converts the state of client connections, calls in flight and idle connections to records and back."""

from __future__ import annotations

from typing import Any, Final

from winchspan.config.platform import Address
from winchspan.delivery.messages import OutgoingMessage
from winchspan.net.attempt_transport import CallContent
from winchspan.net.client_connection import ClientConnectionState
from winchspan.net.http import ResponseParser
from winchspan.net.http_call import HttpCallState, HttpPeer
from winchspan.upgrade.records import (
    CallContentRecord,
    CallRecord,
    ClientRecord,
    IdleConnectionRecord,
    OutgoingMessageRecord,
    PeerRecord,
    ResponseParserRecord,
)
from winchspan.upgrade.transferred_state import IdleConnection

# Fields of `ResponseParserRecord`, and their names in `ResponseParser.__getstate__`.
_PARSER_ATTRIBUTES: Final = {
    "status": "status",
    "first_line_status": "first_line_status",
    "headers": "headers",
    "is_done": "is_complete",
    "keep_alive": "keep_alive",
    "interim_count": "_interim",
    "step": "_step",
    "bytes_left": "_remaining_bytes",
}
_PARSER_BODY: Final = "body"
_PARSER_BODY_CALLBACK: Final = "_on_body"


def client_to_record(client: ClientConnectionState) -> ClientRecord:
    """Return the record of a client's connection."""
    return ClientRecord(
        unread=client.unread,
        is_answered=client.has_answered,
        fault_count=client.bad_request_count,
        since_ms=client.active_since_ms,
        received_after_ms=client.received_after_ms,
    )


def client_from_record(record: ClientRecord) -> ClientConnectionState:
    """Return the state of a client's connection from its record."""
    return ClientConnectionState(
        unread=record.unread,
        has_answered=record.is_answered,
        bad_request_count=record.fault_count,
        active_since_ms=record.since_ms,
        received_after_ms=record.received_after_ms,
    )


def idle_connection_to_record(connection: IdleConnection) -> IdleConnectionRecord:
    """Return the record of an idle connection."""
    return IdleConnectionRecord(peer=_peer_to_record(connection.peer), idle_ms_left=connection.idle_ms_left)


def idle_connection_from_record(record: IdleConnectionRecord) -> IdleConnection:
    """Return an idle connection from its record."""
    return IdleConnection(peer=_peer_from_record(record.peer), idle_ms_left=record.idle_ms_left)


def call_to_record(call: HttpCallState) -> CallRecord:
    """Return the record of a call in flight."""
    return CallRecord(
        peer=_peer_to_record(call.peer),
        deadline_ms=call.deadline_ms,
        content=_content_to_record(call.context) if isinstance(call.context, CallContent) else None,
        parser=_parser_to_record(call.parser),
        unread=call.unread,
        answer_deadline_ms=call.response_deadline_ms,
        closes_connection=call.is_closing_after_call,
        request_bytes=call.request_bytes,
    )


def call_from_record(record: CallRecord) -> HttpCallState:
    """Return a call in flight from its record.

    Raises:
        HttpProtocolError: if the parser of its response has an unknown step.
    """
    return HttpCallState(
        peer=_peer_from_record(record.peer),
        deadline_ms=record.deadline_ms,
        context=None if record.content is None else _content_from_record(record.content),
        parser=_parser_from_record(record.parser),
        unread=record.unread,
        response_deadline_ms=record.answer_deadline_ms,
        is_closing_after_call=record.closes_connection,
        request_bytes=record.request_bytes,
    )


def _peer_to_record(peer: HttpPeer) -> PeerRecord:
    return PeerRecord(host=peer.address.host, port=peer.address.port, endpoint_number=peer.endpoint_number)


def _peer_from_record(record: PeerRecord) -> HttpPeer:
    return HttpPeer(
        address=Address(host=record.host, port=record.port), endpoint_number=record.endpoint_number
    )


def _content_to_record(content: CallContent) -> CallContentRecord:
    index_by_message = {id(message): index for index, message in enumerate(content.messages)}
    return CallContentRecord(
        messages=[
            OutgoingMessageRecord(id=message.id, token=message.idempotency_key, body=message.body)
            for message in content.messages
        ],
        sent=[index_by_message[id(message)] for message in content.sent_messages],
    )


def _content_from_record(record: CallContentRecord) -> CallContent:
    messages = [
        OutgoingMessage(id=message.id, idempotency_key=message.token, body=message.body)
        for message in record.messages
    ]
    return CallContent(messages=messages, sent_messages=[messages[index] for index in record.sent])


def _parser_to_record(parser: ResponseParser) -> ResponseParserRecord:
    state = parser.__getstate__()
    fields = {field: state[attribute] for field, attribute in _PARSER_ATTRIBUTES.items()}
    return ResponseParserRecord(**fields, body=bytes(state[_PARSER_BODY]))


def _parser_from_record(record: ResponseParserRecord) -> ResponseParser:
    state: dict[str, Any] = {
        attribute: getattr(record, field) for field, attribute in _PARSER_ATTRIBUTES.items()
    }
    state[_PARSER_BODY] = bytearray(record.body)
    state[_PARSER_BODY_CALLBACK] = None
    parser = ResponseParser()
    parser.__setstate__(state)
    return parser
