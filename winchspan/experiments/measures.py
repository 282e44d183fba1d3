"""Computes the rows that are stored of a run: service over time, lost weight, and latencies.

A message obtains the priority weight of its class if it is delivered within its latency objective, and less
weight if it is delivered later. Columns of the stored tables call the weight `worth`.

The encoded names of the rows' fields are the columns of the stored tables.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final, NamedTuple, TypeAlias

import msgspec
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]  # has no type information

from winchspan.experiments.experiment import MS_PER_SECOND
from winchspan.fakes.clients import Clients, Message

Cell: TypeAlias = str | int | float | None
Row: TypeAlias = dict[str, Cell]

WINDOW_MS: Final = 10_000.0
QUANTILES: Final = (1.0, 5.0, 10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 100.0)
MIN_LATENCY_MS: Final = 1  # lower bound of a histogram
MAX_LATENCY_MS: Final = 120_000  # upper bound of a histogram
SIGNIFICANT_DIGITS: Final = 3  # decimal digits of precision of a histogram
MIN_LOST_WEIGHT: Final = 1e-9  # smaller values are rounding errors


class WindowRow(msgspec.Struct, frozen=True):
    """The service of a destination for messages first submitted in one window; time in ms from the start."""

    destination: int
    start_ms: float = msgspec.field(name="at")
    message_count: int = msgspec.field(name="messages")
    offered_weight: float = msgspec.field(name="asked")
    obtained_weight: float = msgspec.field(name="got")
    calls_per_second: float = msgspec.field(name="calls")


class LossCause(StrEnum):
    """Why a message has lost weight; the values are part of the stored tables."""

    LATE = "late"
    FAILED = "failed"
    REJECTED_AFTER_ACCEPTANCE = "handed back, and not in time again"
    INCOMPLETE = "never ended"
    REJECTED = "refused until it was too late"


class CauseRow(msgspec.Struct, frozen=True):
    """The weight that a destination lost by one cause."""

    destination: int
    cause: str
    lost_weight: float = msgspec.field(name="worth")
    message_count: int = msgspec.field(name="messages")


class LatencyRow(msgspec.Struct, frozen=True):
    """One quantile of the time from the first submission to the delivery."""

    destination: int
    message_class: str = msgspec.field(name="class")
    quantile: float
    latency_ms: float = msgspec.field(name="ms")
    message_count: int = msgspec.field(name="messages")


class _Loss(NamedTuple):
    weight: float = 0.0
    message_count: int = 0


def window_rows(
    clients: Clients, calls_at: dict[int, list[float]], started_at: float, duration_ms: float
) -> list[WindowRow]:
    """Return the offered and obtained weight and the rate of calls by destination and window.

    Args:
        clients: the clients, with all messages of the run.
        calls_at: by destination, the times at which its partner received calls, ms of the clock.
        started_at: start of the run, ms of the clock.
        duration_ms: time during which clients submitted messages.
    """
    rows = []
    for destination in sorted(calls_at):
        messages = [message for message in clients.messages if message.stream.destination == destination]
        start_ms = 0.0
        while start_ms < duration_ms:
            begin = started_at + start_ms
            end = begin + WINDOW_MS
            submitted = [message for message in messages if begin <= message.first_submission_at_ms < end]
            call_count = sum(begin <= called_at < end for called_at in calls_at[destination])
            rows.append(
                WindowRow(
                    destination=destination,
                    start_ms=start_ms,
                    message_count=len(submitted),
                    offered_weight=sum(offered_weight(clients, message) for message in submitted),
                    obtained_weight=sum(clients.worth(message) for message in submitted),
                    calls_per_second=call_count / WINDOW_MS * MS_PER_SECOND,
                )
            )
            start_ms += WINDOW_MS
    return rows


def offered_weight(clients: Clients, message: Message) -> float:
    """Return the weight that a message obtains if it is delivered in time."""
    return clients.classes[message.stream.cls].worth


def loss_cause(message: Message) -> LossCause:
    """Return why a message has lost weight."""
    if message.delivered_at is not None:
        return LossCause.LATE
    if message.final_state == "failed":
        return LossCause.FAILED
    if message.final_state == "returned":
        return LossCause.REJECTED_AFTER_ACCEPTANCE
    return LossCause.INCOMPLETE if message.awaits_final_answer else LossCause.REJECTED


def cause_rows(clients: Clients) -> list[CauseRow]:
    """Return the lost weight by destination and cause."""
    losses: dict[tuple[int, str], _Loss] = {}
    for message in clients.messages:
        lost_weight = offered_weight(clients, message) - clients.worth(message)
        if lost_weight > MIN_LOST_WEIGHT:
            key = (message.stream.destination, loss_cause(message).value)
            loss = losses.get(key, _Loss())
            losses[key] = _Loss(loss.weight + lost_weight, loss.message_count + 1)
    return [
        CauseRow(destination, cause, loss.weight, loss.message_count)
        for (destination, cause), loss in sorted(losses.items())
    ]


def latency_rows(clients: Clients) -> list[LatencyRow]:
    """Return quantiles of the time to delivery by destination and message class."""
    histograms: dict[tuple[int, str], HdrHistogram] = {}
    for message in clients.messages:
        if message.delivered_at is None:
            continue
        key = (message.stream.destination, message.stream.cls)
        if key not in histograms:
            histograms[key] = HdrHistogram(MIN_LATENCY_MS, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
        latency_ms = round(message.delivered_at - message.first_submission_at_ms)
        histograms[key].record_value(min(MAX_LATENCY_MS, max(MIN_LATENCY_MS, latency_ms)))
    return [
        LatencyRow(
            destination=destination,
            message_class=message_class,
            quantile=quantile,
            latency_ms=float(histogram.get_value_at_percentile(quantile)),
            message_count=histogram.get_total_count(),
        )
        for (destination, message_class), histogram in sorted(histograms.items())
        for quantile in QUANTILES
    ]
