"""Encodes the opaque field `decisions`, the state of the scheduler, as a restricted pickle.

The scheduler is a graph of about a dozen classes that change with every scheduling rule: queued messages,
destinations, endpoints, calls, limits, timers, random state, counters, and the overload governor. The field
passes only between programs of the same fingerprint, whose classes are equal to the byte. No other version
reads it. Reading checks the classes against an allow-list, and the structure by its outermost types only.
"""

from __future__ import annotations

from collections.abc import Sequence

from winchspan import api
from winchspan.scheduling.scheduler import Scheduler
from winchspan.upgrade.errors import StateFormatError
from winchspan.upgrade.restricted_pickle import dump, load


def encode_decisions(scheduler: Scheduler, pending_events: Sequence[api.Event]) -> bytes:
    """Encode the scheduler with its overload governor, and the events that it has not handled yet."""
    return dump((scheduler, list(pending_events)))


def decode_decisions(encoded: bytes) -> tuple[Scheduler, list[api.Event]]:
    """Decode the result of `encode_decisions`; raises HandOverError."""
    match load(encoded):
        case (Scheduler() as scheduler, list() as pending_events):
            return scheduler, pending_events
        case other:
            raise StateFormatError("decisions", type(other).__name__, "a scheduler and a list of events")
