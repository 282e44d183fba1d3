"""Converts the endpoint directory's state to records and back."""

from __future__ import annotations

import copy
from itertools import count
from typing import Any

from winchspan import api
from winchspan.config.platform import Address
from winchspan.net.endpoint_directory import EndpointRecord
from winchspan.upgrade.records import (
    DestinationRecord,
    EndpointDirectoryRecord,
    EndpointNumberRecord,
    EndpointStateRecord,
)
from winchspan.upgrade.text_codec import decode_text, encode_text


def directory_to_record(state: dict[str, Any]) -> EndpointDirectoryRecord:
    """Return the record of the state that `EndpointDirectory.export_state` returned."""
    return EndpointDirectoryRecord(
        sequence=state["seq"],
        endpoints=[_endpoint_to_record(endpoint) for endpoint in state["hosts"].values()],
        destinations=[
            DestinationRecord(destination=destination, endpoint_count=endpoint_count)
            for destination, endpoint_count in state["dests"].items()
        ],
        numbers=[
            EndpointNumberRecord(name=encode_text(name), destination=destination, number=number)
            for (name, destination), number in state["numbers"].items()
        ],
        next_number=next(copy.copy(state["next"])),  # a copy, because this process may resume
        offline_names=[encode_text(name) for name in sorted(state["by_hand"])],
        cold_names=[encode_text(name) for name in sorted(state["cold"])],
        seen_names=[encode_text(name) for name in state["ever"]],
    )


def directory_from_record(record: EndpointDirectoryRecord) -> dict[str, Any]:
    """Return the state for `EndpointDirectory.import_state` from its record."""
    endpoints = [_endpoint_from_record(endpoint) for endpoint in record.endpoints]
    return {
        "seq": record.sequence,
        "hosts": {endpoint.number: endpoint for endpoint in endpoints},
        "dests": {row.destination: row.endpoint_count for row in record.destinations},
        "numbers": {(decode_text(row.name), row.destination): row.number for row in record.numbers},
        "next": count(record.next_number),
        "by_hand": {decode_text(name) for name in record.offline_names},
        "cold": {decode_text(name) for name in record.cold_names},
        "ever": {decode_text(name): None for name in record.seen_names},
    }


def _endpoint_to_record(endpoint: EndpointRecord) -> EndpointStateRecord:
    return EndpointStateRecord(
        number=endpoint.number,
        name=encode_text(endpoint.name),
        host=endpoint.address.host,
        port=endpoint.address.port,
        destination=endpoint.destination,
        zone=encode_text(endpoint.zone),
        kind=encode_text(endpoint.kind),
        status=endpoint.status.value,
        share=endpoint.listed_rate,
    )


def _endpoint_from_record(record: EndpointStateRecord) -> EndpointRecord:
    return EndpointRecord(
        number=record.number,
        name=decode_text(record.name),
        address=Address(host=record.host, port=record.port),
        destination=record.destination,
        zone=decode_text(record.zone),
        kind=decode_text(record.kind),
        status=api.EndpointStatus(record.status),
        listed_rate=record.share,
    )
