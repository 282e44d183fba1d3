"""Slow start after an outage, for a capacity that many senders share and that may have several endpoints.

The limit applies to a sum: in any window of `tip_after_ns` a returning capacity may receive a limited number
of calls, from all senders and at all its endpoints. Each sender sees only its own calls. It therefore keeps
one state per capacity, and sends at most its share of the budget from the first evidence of an outage until
the slow start ends:

    healthy    no call has failed since the last delivery
    suspected  one call has failed; the next call is sent without delay, to gather more evidence
    outage     more calls have failed: trials only, paced for a cold capacity, which may return at any moment
    slow start a call was delivered again: calls are paced for a capacity that grows with time

Failures that are followed immediately by a delivery count as transient, because an outage would have to have
ended in exactly that interval. If the delivery comes later, the failures may have been an outage, and the
slow start begins: where there are many senders, each one sees only a few failures of an outage.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum
from typing import Final, Protocol

from winchspan.api import (
    CallPacing,
    Command,
    ListedRate,
    LogDecision,
    RecordSlowStart,
    Settings,
    SlowStartPhase,
    SlowStartRecovered,
)
from winchspan.scheduling.demand import Demand
from winchspan.scheduling.recovery_budget import (
    budget_share,
    call_interval_ns,
    min_demand_per_ns,
    warm_up_capacity,
)

SECOND: Final = 1_000_000_000
BACKOFF_SHARE: Final = 0.8  # share of the estimated rate of a destination that is used after a rejection
# Senders that all begin at one moment spread their first calls over this many call intervals.
FIRST_CALL_SPREAD: Final = 1.25
ADDITIONAL_MESSAGE_WEIGHT: Final = 0.25  # upper bound on the cost of each further message of a call, in calls
OUTAGE_FAILURES: Final = 3  # consecutive failures that count as an outage
OUTAGE_UNANSWERED_CALLS: Final = 2  # same for calls without any response: rarely a coincidence
# Same for rejections without a wait that span at least tip_after_ns / REJECTION_BURST_DIVISOR.
OUTAGE_REJECTIONS: Final = 2
REJECTION_BURST_DIVISOR: Final = 8  # rejections caused by a burst of calls end within tip_after_ns / 8
OUTAGE_FAILURE_RATIO: Final = 0.5  # smoothed failure ratio that counts as an outage: most calls fail
FAILURE_RATIO_STEP: Final = 0.25  # weight of one outcome in the smoothed failure ratio
TRANSIENT_FAILURE_DIVISOR: Final = 4  # failures that end within tip_after_ns / 4 are transient
TRANSIENT_DELAY_DIVISOR: Final = 2  # same, for calls that were late or that failed with an error
OUTAGE_RECORD_DIVISOR: Final = 8  # an outage that lasts is recorded again each cold_ns / 8
APPROXIMATE_RATE_MARGIN: Final = 1.5  # an approximate listed rate may exceed the true rate by this factor


class FailureKind(Enum):
    """How a call failed; members with a higher value are stronger evidence of an outage."""

    OVERDUE = 1  # no response yet; it may still arrive
    LIMITED = 2  # rejected with a stated wait, as by a rate limit
    REJECTED = 3  # rejected without a wait: a rate limit, a full queue or an outage
    FAILED = 4  # an error or a broken connection: it failed at about the time of the report
    UNREACHABLE = 5  # no connection could be established
    SILENT = 6  # abandoned without a response: it may have failed at any time since it was sent

    @property
    def is_rejection(self) -> bool:
        """Whether the destination has rejected the call."""
        return self in (FailureKind.LIMITED, FailureKind.REJECTED)


_UNANSWERED: Final = (FailureKind.OVERDUE, FailureKind.SILENT)


@dataclass(slots=True, eq=False)
class SlowStart:
    """One sender's evidence of outages of one capacity.

    Attributes:
        failure_kind: the strongest evidence since the last delivery; None: no call has failed.
        failure_count: failures since the last delivery; calls in flight together count as one.
        last_counted_failure_ns: when the latest failure in `failure_count` was counted.
        last_failure_report_ns: when the latest failure was reported.
        failing_since_ns: the earliest moment at which the first failed call may have been failing.
        failing_until_ns: the latest moment at which a call was known to fail.
        last_delivery_sent_ns: when the most recently sent call that was delivered in time was sent.
        failure_ratio: smoothed share of the calls that failed.
        had_served_unlimited: whether the capacity served its load without a rate limit before these failures.
        is_outage: whether an outage is assumed, and calls are trials.
        return_ns: the estimated time of the return, from which the pace of the slow start grows; None: no
            slow start.
        slow_start_end_ns: when the slow start ends; `cold_ns` after the latest possible time of the return.
        next_call_ns: when the next call may be sent, while calls are paced.
        recorded_ns: when the outage was last recorded for the next incarnation.
        demand: the estimated load that the sender puts on the capacity.
    """

    failure_kind: FailureKind | None = None
    failure_count: int = 0
    last_counted_failure_ns: int = 0
    last_failure_report_ns: int = 0
    failing_since_ns: int = 0
    failing_until_ns: int = 0
    last_delivery_sent_ns: int = 0
    failure_ratio: float = 0.0
    had_served_unlimited: bool = False
    is_outage: bool = False
    return_ns: int | None = None
    slow_start_end_ns: int = 0
    next_call_ns: int = 0
    recorded_ns: int = 0
    demand: Demand = field(default_factory=Demand.unknown)

    @property
    def is_paced(self) -> bool:
        """Whether calls are spaced out, in an outage or a slow start."""
        return self.is_outage or self.return_ns is not None

    @property
    def is_rejecting_outage(self) -> bool:
        """Whether the capacity rejects calls because of an outage, rather than a rate limit."""
        return self.is_outage and self.had_served_unlimited

    @property
    def pacing(self) -> CallPacing:
        """Why a call that is sent now is let through."""
        if self.is_outage:
            return CallPacing.TRIAL
        if self.return_ns is not None:
            return CallPacing.SLOW_START
        return CallPacing.UNPACED if self.failure_kind is None else CallPacing.SUSPECTED


class Capacity(Protocol):
    """A capacity that senders share: its slow start state and its stated rate.

    Attributes:
        name: its name in log lines.
        destination: the destination's number; None: the capacity belongs to a single route.
        slow_start: the state.
        stated_per_s: calls a second that it accepts from all senders, as listed; 0: not stated.
    """

    name: str
    destination: int | None
    slow_start: SlowStart
    stated_per_s: float


class SlowStartControl:
    """Detects outages of capacities from the outcomes of calls, and paces the calls to them.

    Attributes:
        settings: the current settings.
    """

    def __init__(self, settings: Settings, rng: random.Random, commands: list[Command]) -> None:
        self.settings = settings
        self._rng = rng
        self._commands = commands

    # ---- events ------------------------------------------------------------------------------------------
    def observe(self, capacity: Capacity, now: int) -> None:
        """Begin to observe a new capacity."""
        demand = capacity.slow_start.demand
        demand.delivered.skip_to(now)
        demand.offered.skip_to(now)

    def record_arrival(self, capacity: Capacity, now: int, weight: float = 1.0) -> None:
        """Count a message that arrived for a capacity; `weight` is the fraction of the message to count."""
        offered = capacity.slow_start.demand.offered
        offered.advance(now, self.settings.cold_ns)
        offered.count += weight

    def record_failure(self, capacity: Capacity, kind: FailureKind, sent_ns: int, now: int) -> None:
        """Record a failed or overdue call as evidence of an outage."""
        state = capacity.slow_start
        if kind in _UNANSWERED and state.last_delivery_sent_ns > sent_ns:
            return  # lost in transit: a call that was sent later has been delivered
        if state.failure_kind is None:
            state.failing_since_ns = sent_ns if kind in _UNANSWERED else now
            self._close_observation(state, now)
        # A call that was sent before the last counted failure was in flight together with a counted call.
        if sent_ns >= state.last_counted_failure_ns:
            state.failure_count += 1
            if kind is not FailureKind.OVERDUE and not kind.is_rejection:
                state.failure_ratio += (1 - state.failure_ratio) * FAILURE_RATIO_STEP
            state.last_counted_failure_ns = now
        self._add_evidence(state, kind, sent_ns, now)
        self._begin_outage_if_evident(capacity, now)

    def confirm_failure(self, capacity: Capacity, kind: FailureKind, sent_ns: int, now: int) -> None:
        """Record that a call which was recorded as overdue has failed."""
        state = capacity.slow_start
        if state.failure_kind is not None:  # otherwise a call that was sent later has been delivered
            self._add_evidence(state, kind, sent_ns, now)
            self._begin_outage_if_evident(capacity, now)

    def record_delivery(self, capacity: Capacity, sent_ns: int, now: int, *, was_overdue: bool) -> None:
        """Record a delivered call as evidence that the capacity is available."""
        state = capacity.slow_start
        state.failure_ratio *= 1 - FAILURE_RATIO_STEP
        if not was_overdue:
            state.last_delivery_sent_ns = max(state.last_delivery_sent_ns, sent_ns)
        if state.failure_kind is None:
            self._count_delivery(state, now)
            return
        if sent_ns < state.failing_until_ns and not was_overdue:
            return  # sent before the last failure: no evidence about the time since then
        if self._is_transient(state, sent_ns, now, was_overdue=was_overdue):
            self._dismiss_failures(capacity, now)
            if state.return_ns is None:
                self._count_delivery(state, now)
            return
        if not was_overdue:
            self._begin_slow_start(capacity, sent_ns, self._jitter(), now)
        elif state.return_ns is None:  # all senders may have got responses at once: spread over the interval
            self._begin_slow_start(capacity, now, self._rng.random(), now)
        else:  # the capacity is slow; this is not another outage
            self._dismiss_failures(capacity, now)

    def record_call(self, capacity: Capacity, message_count: int, now: int) -> None:
        """Set the time of the next call after one that is sent now."""
        state = capacity.slow_start
        if state.is_paced:
            weight = 1 + ADDITIONAL_MESSAGE_WEIGHT * (message_count - 1)
            self._pace(capacity, now, weight * self._jitter())

    def record_requested_wait(self, capacity: Capacity, wait_ns: int, now: int) -> None:
        """Treat a wait longer than a rate limit's as an outage that ends for all senders at once."""
        if not self.is_long_wait(wait_ns):
            return
        state = capacity.slow_start
        self._close_observation(state, now)
        self._set_slow_start(state, now + wait_ns, now + wait_ns)
        # All senders begin at once: their first calls are spread over the interval.
        self._pace(capacity, now + wait_ns, self._rng.random() * FIRST_CALL_SPREAD)
        reason = f"slow start after a wait of {wait_ns / SECOND:.1f} s"
        self._log(f"{capacity.name}: {reason}; {self._rate_text(capacity, now)}")
        self._record(capacity, SlowStartPhase.SLOW_START, now + wait_ns)

    def begin(self, capacity: Capacity, absent_ns: int, now: int) -> None:
        """Begin the slow start of a capacity that had no endpoint in service for some time.

        Messages that arrived meanwhile wait at all senders, and all senders learn of the new endpoint at the
        same time.
        """
        if absent_ns <= self.settings.tip_after_ns // TRANSIENT_FAILURE_DIVISOR:
            return
        state = capacity.slow_start
        self._close_observation(state, now - absent_ns)  # nothing could be delivered since then
        self._set_slow_start(state, now, now)
        self._pace(capacity, now, self._rng.random() * FIRST_CALL_SPREAD)
        reason = f"slow start after {absent_ns / SECOND:.1f} s without an endpoint"
        self._log(f"{capacity.name}: {reason}; {self._rate_text(capacity, now)}")
        self._record(capacity, SlowStartPhase.SLOW_START, now)

    def restore(self, capacity: Capacity, recovered: SlowStartRecovered, now: int) -> None:
        """Restore the state of the previous incarnation, so that a restart does not lose it.

        A slow start ends after `cold_ns`. An outage that was recorded within this time may end at the moment
        of the restart. If it was recorded earlier, the capacity has returned at some time since then, on
        average in the middle.
        """
        state, settings = capacity.slow_start, self.settings
        is_old = recovered.elapsed_ns >= settings.cold_ns
        is_warm = recovered.phase is SlowStartPhase.SLOW_START and is_old
        if recovered.phase is SlowStartPhase.HEALTHY or is_warm:
            return
        state.demand.delivered.set_rate(recovered.calls_per_s / SECOND, settings.cold_ns, now)
        if recovered.phase is SlowStartPhase.OUTAGE and is_old:
            self._set_slow_start(state, now - recovered.elapsed_ns // 2, now)
        elif recovered.phase is SlowStartPhase.OUTAGE:
            state.is_outage = True
            state.had_served_unlimited = recovered.calls_per_s > 0
            state.failure_kind = FailureKind.SILENT
            state.failure_count = OUTAGE_UNANSWERED_CALLS
            state.failing_since_ns = now - recovered.elapsed_ns
            state.failing_until_ns = now  # it may have lasted until now
        else:
            returned_ns = now - recovered.elapsed_ns
            self._set_slow_start(state, returned_ns, returned_ns)
        begin_ns = max(now, state.return_ns or now)
        self._pace(capacity, begin_ns, self._rng.random())  # a restart may fall anywhere in the interval

    # ---- queries ----------------------------------------------------------------------------------------
    def is_long_wait(self, wait_ns: int) -> bool:
        """Return whether a wait is longer than a rate limit's, so that the destination is unavailable."""
        return wait_ns > self.settings.tip_after_ns

    def ready_ns(self, capacity: Capacity, now: int) -> int:
        """Return when the next call may be sent; at or before `now`: at once."""
        state = capacity.slow_start
        if state.is_outage and now >= state.recorded_ns + self.settings.cold_ns // OUTAGE_RECORD_DIVISOR:
            self._record_outage(capacity, now)  # its record tells for how long there has been no evidence
        if state.return_ns is not None and not state.is_outage and now >= state.slow_start_end_ns:
            state.return_ns = None
            state.demand.delivered.skip_to(now)
            self._record(capacity, SlowStartPhase.HEALTHY, now)
        return state.next_call_ns if state.is_paced else 0

    def demand_per_ns(self, capacity: Capacity, at_ns: int) -> float:
        """Return the sender's share of a capacity at a reading of the clock, in calls a nanosecond.

        The shares of all senders must not add up to more than the capacity. This holds for their delivery
        rates, for equal shares of the listed rate, and for any mean of the two. A sender with a demand below
        its equal share may use the equal share: it cannot send more calls than it has.
        """
        settings, demand = self.settings, capacity.slow_start.demand
        min_observed_ns = settings.tip_after_ns
        equal_share = capacity.stated_per_s / (settings.senders * SECOND)
        if settings.listed_rate is ListedRate.APPROXIMATE:
            equal_share /= APPROXIMATE_RATE_MARGIN
        if demand.delivered.count >= 1:
            own_rate = demand.delivered.per_ns(min_observed_ns)
        else:  # a new sender, or one with very few calls, has only the rate of arrivals
            own_rate = demand.offered.per_ns_at(at_ns, settings.cold_ns, min_observed_ns)
            own_rate = min(own_rate, equal_share) if equal_share else own_rate
        return max(equal_share, (own_rate + equal_share) / 2) if equal_share else own_rate

    # ---- states ------------------------------------------------------------------------------------------
    def _close_observation(self, state: SlowStart, now: int) -> None:
        """End the observation of deliveries, as deliveries during an outage do not show the demand."""
        if not state.is_paced:
            state.demand.delivered.advance(now, self.settings.cold_ns)

    def _count_delivery(self, state: SlowStart, now: int) -> None:
        if not state.is_paced:
            state.demand.delivered.advance(now, self.settings.cold_ns)
            state.demand.delivered.count += 1

    def _add_evidence(self, state: SlowStart, kind: FailureKind, sent_ns: int, now: int) -> None:
        if state.failure_kind is None or kind.value > state.failure_kind.value:
            state.failure_kind = kind
        failing_ns = sent_ns if kind in _UNANSWERED else now
        state.failing_until_ns = max(state.failing_until_ns, failing_ns)
        state.last_failure_report_ns = now

    def _begin_outage_if_evident(self, capacity: Capacity, now: int) -> None:
        state = capacity.slow_start
        if not state.is_outage and self._is_outage_evident(state):
            self._begin_outage(capacity, now)

    def _is_outage_evident(self, state: SlowStart) -> bool:
        """Return whether enough calls have failed to rule out a coincidence."""
        match state.failure_kind:
            case FailureKind.OVERDUE | FailureKind.LIMITED:
                return False  # it may only be slow; a rate limit states its own duration
            case FailureKind.REJECTED:
                rejecting_ns = state.last_failure_report_ns - state.failing_since_ns
                is_lasting = rejecting_ns >= self.settings.tip_after_ns // REJECTION_BURST_DIVISOR
                return state.failure_count >= OUTAGE_REJECTIONS and is_lasting
            case FailureKind.FAILED:
                return state.failure_count >= OUTAGE_FAILURES
            case _:
                return state.failure_count >= OUTAGE_UNANSWERED_CALLS

    def _begin_outage(self, capacity: Capacity, now: int) -> None:
        state = capacity.slow_start
        state.is_outage = True
        state.next_call_ns = 0
        self._pace(capacity, now, self._jitter())
        self._log(
            f"{capacity.name}: outage, {self._evidence_text(state, now)}; {self._rate_text(capacity, now)}"
        )
        self._record_outage(capacity, now)

    def _is_transient(self, state: SlowStart, sent_ns: int, now: int, *, was_overdue: bool) -> bool:
        """Return whether the failures before a delivery count as transient, rather than as an outage.

        All of them lie between the first moment of failure and the delivery. The shorter that time is, the
        fewer senders can have seen only these failures of an outage.
        """
        if state.failure_ratio >= OUTAGE_FAILURE_RATIO:
            return False
        match state.failure_kind:
            case FailureKind.LIMITED | FailureKind.REJECTED:
                return not state.is_outage and self._is_rate_limit(state, now)
            case FailureKind.OVERDUE if was_overdue:
                return True  # the call was slow, and no call has failed
            case FailureKind.OVERDUE | FailureKind.FAILED:
                divisor = TRANSIENT_DELAY_DIVISOR
            case _:
                divisor = TRANSIENT_FAILURE_DIVISOR
        served_ns = now if was_overdue else sent_ns
        # After one failure the next call was sent without delay: in an outage it would have failed as well.
        since_ns = state.last_failure_report_ns if state.failure_count == 1 else state.failing_since_ns
        return served_ns - since_ns <= self.settings.tip_after_ns // divisor

    def _is_rate_limit(self, state: SlowStart, now: int) -> bool:
        """Return whether rejections come from a rate limit, rather than from an outage or a cold capacity."""
        rejecting_ns = now - state.failing_since_ns
        if state.return_ns is not None:  # in a slow start: the capacity may not have returned yet
            return rejecting_ns <= self.settings.tip_after_ns // TRANSIENT_FAILURE_DIVISOR
        return rejecting_ns <= self.settings.tip_after_ns or state.failure_count < OUTAGE_FAILURES

    def _end_suspicion(self, state: SlowStart, now: int) -> None:
        state.failure_kind = None
        state.failure_count = 0
        state.is_outage = False
        state.next_call_ns = 0 if state.return_ns is None else state.next_call_ns
        state.demand.delivered.skip_to(now)

    def _dismiss_failures(self, capacity: Capacity, now: int) -> None:
        """End the suspicion without a slow start of its own, and an outage that the journal may hold."""
        state = capacity.slow_start
        was_outage = state.is_outage
        self._end_suspicion(state, now)
        if not was_outage:
            return
        if state.return_ns is None:
            self._record(capacity, SlowStartPhase.HEALTHY, now)
        else:
            latest_return_ns = state.slow_start_end_ns - self.settings.cold_ns
            self._record(capacity, SlowStartPhase.SLOW_START, latest_return_ns)

    def _begin_slow_start(self, capacity: Capacity, served_ns: int, calls: float, now: int) -> None:
        """Begin the slow start; the next call waits until the budget allows `calls` calls after `served_ns`.

        The outage ended between the last failure and now. The midpoint is right on average over all senders.
        The senders that detect the return first are so few that the sum stays within its budget at all times.
        """
        state = capacity.slow_start
        evidence = self._evidence_text(state, now)
        likely_return_ns = (min(state.failing_until_ns, now) + now) // 2
        self._end_suspicion(state, now)
        self._set_slow_start(state, likely_return_ns, now)
        state.next_call_ns = 0
        self._pace(capacity, served_ns, calls)
        self._log(f"{capacity.name}: slow start after {evidence}; {self._rate_text(capacity, now)}")
        self._record(capacity, SlowStartPhase.SLOW_START, now)

    def _set_slow_start(self, state: SlowStart, likely_return_ns: int, latest_return_ns: int) -> None:
        """Pace calls for a capacity that has returned, until it is fully warmed up."""
        state.is_outage = False
        state.return_ns = likely_return_ns
        state.slow_start_end_ns = latest_return_ns + self.settings.cold_ns

    # ---- pace --------------------------------------------------------------------------------------------
    def _jitter(self) -> float:
        """Return a random number of calls with mean 1, which spreads the senders' calls over time."""
        return 0.5 + self._rng.random()

    def _pace(self, capacity: Capacity, now: int, calls: float) -> None:
        """Set the time of the next call: when the sender's share of the budget allows `calls` more calls."""
        state = capacity.slow_start
        warming = warm_up_capacity(self.settings, None if state.is_outage else state.return_ns, now)
        demand_per_ns = max(self.demand_per_ns(capacity, now), min_demand_per_ns(self.settings))
        share = budget_share(self.settings, demand_per_ns, warming.fraction)
        pause_ns = call_interval_ns(self.settings, share * demand_per_ns, warming, calls)
        state.next_call_ns = max(state.next_call_ns, now + pause_ns)

    def backoff_ns(self, demand_per_ns: float, return_ns: int | None, now: int) -> int:
        """Return the interval to the next call to a destination that rejects calls, or to an endpoint of it.

        Args:
            demand_per_ns: the share of the capacity, in calls a nanosecond.
            return_ns: when the slow start began; None: the capacity has not returned yet.
            now: the current time.
        """
        warming = warm_up_capacity(self.settings, return_ns, now)
        return call_interval_ns(self.settings, BACKOFF_SHARE * demand_per_ns, warming, self._jitter())

    # ---- log ---------------------------------------------------------------------------------------------
    def _evidence_text(self, state: SlowStart, now: int) -> str:
        kind = "" if state.failure_kind is None else state.failure_kind.name.lower()
        failing_seconds = (now - state.failing_since_ns) / SECOND
        return f"{state.failure_count} calls failed in {failing_seconds:.1f} s, strongest evidence {kind}"

    def _rate_text(self, capacity: Capacity, now: int) -> str:
        demand = self.demand_per_ns(capacity, now) * SECOND
        wait = capacity.slow_start.next_call_ns / SECOND
        return f"share of the demand {demand:.3f} calls/s, next call at {wait:.2f} s"

    def _record_outage(self, capacity: Capacity, now: int) -> None:
        """Record that an outage is assumed at present."""
        capacity.slow_start.recorded_ns = now
        self._record(capacity, SlowStartPhase.OUTAGE, now)

    def _record(self, capacity: Capacity, phase: SlowStartPhase, since_ns: int) -> None:
        """Record the state for the next incarnation, except for routes, which have no persistent number."""
        if capacity.destination is not None:
            calls_per_s = self.demand_per_ns(capacity, since_ns) * SECOND
            self._commands.append(RecordSlowStart(capacity.destination, phase, since_ns, calls_per_s))

    def _log(self, text: str) -> None:
        self._commands.append(LogDecision(text))
