"""Evaluates a run from the observations of its partners and clients."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final, NamedTuple

from winchspan.fakes.clients import Clients
from winchspan.fakes.partner import Partner

SECOND_MS: Final = 1_000.0
RECOVERED_RATIO: Final = 0.95  # of the steady rate of deliveries, from which service counts as recovered
RATE_WINDOW_MS: Final = 3_000.0  # window of each measurement of the rate of deliveries
RATE_STEP_MS: Final = 100.0  # interval between measurements of the rate
RETRY_BURST_WINDOW_MS: Final = 200.0  # retries within this window count as simultaneous


class _TimeSpan(NamedTuple):
    """A half-open time interval, in ms of the run's clock."""

    begin: float
    end: float

    def contains(self, time: float) -> bool:
        return self.begin <= time < self.end


def max_count_in_window(times: Sequence[float], window_ms: float = SECOND_MS) -> int:
    """Return the largest number of sorted times that fall into one half-open window."""
    most = 0
    first = 0
    for last, time in enumerate(times):
        while times[first] <= time - window_ms:
            first += 1
        most = max(most, last - first + 1)
    return most


def recovery_time_ms(
    delivered: Sequence[float], outage_end: float, steady_rate: float, end: float
) -> float | None:
    """Return how long deliveries take to recover to 95% of their steady rate after an outage.

    Args:
        delivered: times of deliveries in ms, sorted.
        outage_end: end of the outage, in ms.
        steady_rate: deliveries per second before the outage.
        end: end of the run, in ms.

    Returns:
        The time since `outage_end`, in ms; None if the rate does not recover within the run.
    """
    time = outage_end + RATE_WINDOW_MS
    while time <= end:
        count = bisect_left(delivered, time) - bisect_left(delivered, time - RATE_WINDOW_MS)
        if count / RATE_WINDOW_MS * SECOND_MS >= RECOVERED_RATIO * steady_rate:
            return time - outage_end
        time += RATE_STEP_MS
    return None


@dataclass(frozen=True, slots=True)
class Result:
    """The measurements of one run; the field names are columns of the stored results of experiments."""

    worth: float  # delivered worth over possible worth, of clients that honour the retry-after
    worth_other: float  # the same ratio, averaged over the other destinations
    most_a_second: int  # the largest number of calls that the partner received in any second
    calls_out: int  # calls that the partner received during outages
    refusals: int  # calls that the partner rejected
    falls: int  # collapses of the partner under load
    early: int  # retries before the retry-after, by clients that honour it
    twice: int  # messages with two final answers
    double: int  # messages with an idempotency key that took effect twice
    lump: int  # the largest number of retries within 200 ms
    returns: int  # retries by clients
    ended: int  # all messages of the clients
    delivered: int
    unended: int  # accepted messages without a final answer: neither delivered nor notified
    regained: float | None  # ms from the end of the last outage to 95% of the steady rate of deliveries


def evaluate_run(partner: Partner, clients: Clients, started_at_ms: float, ended_at_ms: float) -> Result:
    """Evaluate the calls to `partner` in a run from `started_at_ms` to `ended_at_ms` of its clock."""
    observations = partner.observations
    number = partner.settings.number
    outages = _outage_spans(partner, started_at_ms)
    return Result(
        worth=clients.worth_ratio(number),
        worth_other=_worth_ratio_of_others(clients, number),
        most_a_second=max_count_in_window(observations.call_times_ms),
        calls_out=sum(
            1 for time in observations.call_times_ms if any(outage.contains(time) for outage in outages)
        ),
        refusals=len(observations.rejection_times_ms),
        falls=len(observations.collapse_times_ms),
        early=clients.counts.early_retries,
        twice=clients.counts.repeated_final_answers,
        double=clients.counts.repeated_effects,
        lump=max_count_in_window(sorted(clients.counts.retry_times_ms), RETRY_BURST_WINDOW_MS),
        returns=len(clients.counts.retry_times_ms),
        ended=len(clients.messages),
        delivered=sum(message.delivered_at is not None for message in clients.messages),
        unended=sum(
            message.awaits_final_answer and message.delivered_at is None for message in clients.messages
        ),
        regained=_recovery_time_after_last_outage_ms(
            partner, clients, _TimeSpan(started_at_ms, ended_at_ms), outages
        ),
    )


def _outage_spans(partner: Partner, started_at_ms: float) -> list[_TimeSpan]:
    settings = partner.settings
    planned = [
        _TimeSpan(started_at_ms + outage.begin, started_at_ms + outage.end) for outage in settings.outages
    ]
    return planned + [
        _TimeSpan(time, time + settings.fall_for) for time in partner.observations.collapse_times_ms
    ]


def _worth_ratio_of_others(clients: Clients, audited_destination: int) -> float:
    others = {message.stream.destination for message in clients.messages} - {audited_destination}
    ratios = [clients.worth_ratio(other) for other in sorted(others)]
    return sum(ratios) / len(ratios) if ratios else 1.0


def _recovery_time_after_last_outage_ms(
    partner: Partner, clients: Clients, run: _TimeSpan, outages: list[_TimeSpan]
) -> float | None:
    if not partner.observations.recovery_times_ms:
        return None
    delivered = sorted(
        message.delivered_at
        for message in clients.messages
        if message.delivered_at is not None and message.stream.destination == partner.settings.number
    )
    first_outage_begin = min((outage.begin for outage in outages), default=run.end)
    count_before = sum(1 for time in delivered if time < first_outage_begin)
    steady_rate = count_before / max(1.0, first_outage_begin - run.begin) * SECOND_MS
    return recovery_time_ms(delivered, partner.observations.recovery_times_ms[-1], steady_rate, run.end)
