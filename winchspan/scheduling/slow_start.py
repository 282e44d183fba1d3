"""Slow start after an outage, for a capacity that many senders share and that several endpoints may have.

The rule is about a sum: in any window of `tip_after_ns` a capacity that returns may get only so many calls,
from all senders and at all its endpoints. A sender knows its own calls alone. It therefore keeps one state
for each capacity, and sends its part of the budget from the first evidence of an outage until the slow start
is over:

    healthy    no call has failed since the last delivery
    suspected  one call has failed; the next one goes at once, and tells more
    outage     more have failed: trials, paced for the capacity at its return, which may be at any moment
    slow start delivered again: calls paced for the capacity, which grows with time

Failures that are followed at once by a delivery are taken for chance, as an outage would have to have ended
in just that moment. Those that are followed later may have been an outage's, and the slow start begins: with
many senders each sees no more of an outage than that.
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
from winchspan.scheduling.recovery_budget import budget_share, cold_capacity, gap_ns, least_demand_per_ns

SECOND: Final = 1_000_000_000
BACKOFF_SHARE: Final = 0.8  # of the rate that a destination seems to take, after it has rejected a call
FIRST_GAP: Final = 1.25  # gaps in which all senders' first calls lie, where all begin at one moment
FURTHER_MESSAGE_WEIGHT: Final = 0.25  # a further message in a call weighs this much of a call, at most
OUTAGE_FAILURES: Final = 3  # failures without a delivery between them that are no longer left to chance
OUTAGE_SILENCES: Final = 2  # the same for calls that got nothing back at all: chance rarely does that twice
OUTAGE_REJECTIONS: Final = 2  # the same for rejections without a wait, over a part of tip_after_ns
REJECTING_TIME: Final = 8  # that part is tip_after_ns / this: what lasts no longer is a burst's
OUTAGE_FAILURE_RATIO: Final = 0.5  # an outage is 'most calls fail': the smoothed ratio that counts as one
FAILURE_RATIO_STEP: Final = 0.25  # weight of one outcome in that ratio
CHANCE_TIME: Final = 4  # failures that are over within tip_after_ns / this are taken for chance
CHANCE_OF_DELAY: Final = 2  # the same where calls were late, but none has failed
ROUGH_RATE_EXCESS: Final = 1.5  # a rate that is listed roughly may be stated so many times too high


class FailureKind(Enum):
    """How a call failed; a later kind is the stronger evidence of an outage."""

    OVERDUE = 1  # no answer yet, and it may still come
    LIMITED = 2  # rejected until a stated moment, as by a rate limit
    REJECTED = 3  # rejected without a wait, by a rate limit, a full queue or an outage
    FAILED = 4  # an error, or a broken connection: it failed at about the time of the news
    UNREACHABLE = 5  # no connection
    SILENT = 6  # given up without an answer: it may have failed at any time since its sending

    @property
    def is_rejection(self) -> bool:
        """Whether the destination has rejected the call."""
        return self in (FailureKind.LIMITED, FailureKind.REJECTED)


_UNANSWERED: Final = (FailureKind.OVERDUE, FailureKind.SILENT)


@dataclass(slots=True, eq=False)
class SlowStart:
    """What one sender knows of the outages of one capacity.

    Attributes:
        kind: the strongest evidence since the last delivery; None: nothing has failed.
        failure_count: failures since the last delivery; calls that were in flight together count as one.
        counted_ns: when the latest of them was counted.
        told_ns: when the latest news of a failure came.
        failing_since_ns: the earliest moment at which the first of them may have been failing.
        failing_until_ns: the latest moment at which a call was failing.
        delivered_sent_ns: when the latest call was sent that was delivered in time.
        failure_ratio: smoothed share of the calls that failed.
        had_served: whether, until the present failures, it had served its load under no limit.
        is_outage: whether calls are trials.
        ramp_ns: the likely moment of the return, from which the slow start's pace grows.
        warm_ns: when the slow start is over, even if the return was at its latest possible moment.
        next_call_ns: when the next call may go, while calls are paced.
        demand: what the sender asks of the capacity.
    """

    kind: FailureKind | None = None
    failure_count: int = 0
    counted_ns: int = 0
    told_ns: int = 0
    failing_since_ns: int = 0
    failing_until_ns: int = 0
    delivered_sent_ns: int = 0
    failure_ratio: float = 0.0
    had_served: bool = False
    is_outage: bool = False
    ramp_ns: int | None = None
    warm_ns: int = 0
    next_call_ns: int = 0
    demand: Demand = field(default_factory=Demand.unknown)

    @property
    def is_paced(self) -> bool:
        """Whether calls are let through one by one."""
        return self.is_outage or self.ramp_ns is not None

    @property
    def rejects_all(self) -> bool:
        """Whether it is out, and rejects calls for that and not for a limit."""
        return self.is_outage and self.had_served

    @property
    def pacing(self) -> CallPacing:
        """What a call is, that is let through now."""
        if self.is_outage:
            return CallPacing.TRIAL
        if self.ramp_ns is not None:
            return CallPacing.SLOW_START
        return CallPacing.UNPACED if self.kind is None else CallPacing.SUSPECTED


class Capacity(Protocol):
    """One capacity: its state, and what is known of it.

    Attributes:
        name: for the log.
        destination: the destination's number; None: the capacity of one of its routes.
        slow_start: the state.
        stated_per_s: calls a second that it takes from all senders, as listed; 0: not stated.
    """

    name: str
    destination: int | None
    slow_start: SlowStart
    stated_per_s: float


class SlowStartControl:
    """Judges capacities by how calls end, and paces the calls to them.

    Attributes:
        settings: the settings in force.
    """

    def __init__(self, settings: Settings, rng: random.Random, commands: list[Command]) -> None:
        self.settings = settings
        self._rng = rng
        self._commands = commands

    # ---- events ------------------------------------------------------------------------------------------
    def observe(self, capacity: Capacity, now: int) -> None:
        """Begin to observe a capacity that is new."""
        demand = capacity.slow_start.demand
        demand.delivered.skip_to(now)
        demand.offered.skip_to(now)

    def record_arrival(self, capacity: Capacity, now: int, part: float = 1.0) -> None:
        """Count a message that arrived for a capacity, or the part of it that falls to this one."""
        offered = capacity.slow_start.demand.offered
        offered.advance(now, self.settings.cold_ns)
        offered.count += part

    def record_failure(self, capacity: Capacity, kind: FailureKind, sent_ns: int, now: int) -> None:
        """Take a call that failed, or is overdue, as evidence of an outage."""
        state = capacity.slow_start
        if kind in _UNANSWERED and state.delivered_sent_ns > sent_ns:
            return  # lost on its way: a call that was sent later has been delivered
        if state.kind is None:
            state.failing_since_ns = sent_ns if kind in _UNANSWERED else now
            self._observe(state, now)
        if sent_ns >= state.counted_ns:  # else it was in flight beside one that is counted
            state.failure_count += 1
            if kind is not FailureKind.OVERDUE and not kind.is_rejection:
                state.failure_ratio += (1 - state.failure_ratio) * FAILURE_RATIO_STEP
            state.counted_ns = now
        self._strengthen(state, kind, sent_ns, now)
        self._begin_outage_if_proven(capacity, now)

    def confirm_failure(self, capacity: Capacity, kind: FailureKind, sent_ns: int, now: int) -> None:
        """Note that a call which was recorded as overdue has failed."""
        state = capacity.slow_start
        if state.kind is not None:  # else a call that was sent later has been delivered
            self._strengthen(state, kind, sent_ns, now)
            self._begin_outage_if_proven(capacity, now)

    def record_delivery(self, capacity: Capacity, sent_ns: int, now: int, *, was_overdue: bool) -> None:
        """Take a delivered call as evidence that the capacity serves."""
        state = capacity.slow_start
        state.failure_ratio *= 1 - FAILURE_RATIO_STEP
        if not was_overdue:
            state.delivered_sent_ns = max(state.delivered_sent_ns, sent_ns)
        if state.kind is None:
            self._count_delivery(state, now)
            return
        if sent_ns < state.failing_until_ns and not was_overdue:
            return  # sent before the last failure: it says nothing of the time since
        if self._is_chance(state, sent_ns, now, was_overdue=was_overdue):
            self._end_suspicion(state, now)
            if state.ramp_ns is None:
                self._count_delivery(state, now)
            return
        if not was_overdue:
            self._begin_ramp(capacity, sent_ns, self._jitter(), now)
        elif state.ramp_ns is None:  # all senders may have been answered at once: anywhere in the gap
            self._begin_ramp(capacity, now, self._rng.random(), now)
        else:  # it is slow, and not out once more
            self._end_suspicion(state, now)

    def record_call(self, capacity: Capacity, message_count: int, now: int) -> None:
        """Pace what follows a call that is sent now."""
        state = capacity.slow_start
        if state.is_paced:
            weight = 1 + FURTHER_MESSAGE_WEIGHT * (message_count - 1)
            self._pace(capacity, now, weight * self._jitter())

    def record_wait(self, capacity: Capacity, wait_ns: int, now: int) -> None:
        """Take a wait that is longer than a rate limit's for an outage that ends for all senders at once."""
        if not self.is_long_wait(wait_ns):
            return
        state = capacity.slow_start
        self._observe(state, now)
        self._set_ramp(state, now + wait_ns, now + wait_ns)
        self._pace(capacity, now + wait_ns, self._rng.random() * FIRST_GAP)  # anywhere in the gap
        reason = f"slow start after a wait of {wait_ns / SECOND:.1f} s"
        self._log(f"{capacity.name}: {reason}; {self._rate(capacity, now)}")
        self._record(capacity, SlowStartPhase.SLOW_START, now + wait_ns)

    def begin(self, capacity: Capacity, absent_ns: int, now: int) -> None:
        """Begin the slow start of a capacity that had no endpoint in service for some time.

        What has arrived meanwhile waits at all senders, and all are told of the new endpoint at one moment.
        """
        if absent_ns <= self.settings.tip_after_ns // CHANCE_TIME:
            return
        state = capacity.slow_start
        self._observe(state, now - absent_ns)  # nothing could be delivered since
        self._set_ramp(state, now, now)
        self._pace(capacity, now, self._rng.random() * FIRST_GAP)
        reason = f"slow start after {absent_ns / SECOND:.1f} s without an endpoint"
        self._log(f"{capacity.name}: {reason}; {self._rate(capacity, now)}")
        self._record(capacity, SlowStartPhase.SLOW_START, now)

    def restore(self, capacity: Capacity, recovered: SlowStartRecovered, now: int) -> None:
        """Go on where the previous incarnation was: a restart must not forget what it was told."""
        state, settings = capacity.slow_start, self.settings
        if recovered.phase is SlowStartPhase.HEALTHY or recovered.elapsed_ns >= settings.cold_ns:
            return
        state.demand.delivered.set_rate(recovered.calls_per_s / SECOND, settings.cold_ns, now)
        if recovered.phase is SlowStartPhase.OUTAGE:
            state.is_outage = True
            state.had_served = recovered.calls_per_s > 0
            state.kind = FailureKind.SILENT
            state.failure_count = OUTAGE_SILENCES
            state.failing_since_ns = now - recovered.elapsed_ns
            state.failing_until_ns = now  # nothing is known of the time since it was recorded
        else:
            returned_ns = now - recovered.elapsed_ns
            self._set_ramp(state, returned_ns, returned_ns)
        begin_ns = max(now, state.ramp_ns or now)
        self._pace(capacity, begin_ns, self._rng.random())  # a restart comes anywhere in the gap

    # ---- questions ---------------------------------------------------------------------------------------
    def is_long_wait(self, wait_ns: int) -> bool:
        """Return whether a wait is longer than a rate limit's: the destination is shut until its end."""
        return wait_ns > self.settings.tip_after_ns

    def ready_ns(self, capacity: Capacity, now: int) -> int:
        """Return when the next call may go; at or before `now`: at once."""
        state = capacity.slow_start
        if state.ramp_ns is not None and not state.is_outage and now >= state.warm_ns:
            state.ramp_ns = None
            state.demand.delivered.skip_to(now)
            self._record(capacity, SlowStartPhase.HEALTHY, now)
        return state.next_call_ns if state.is_paced else 0

    def demand_per_ns(self, capacity: Capacity, at_ns: int) -> float:
        """Return the sender's part of a capacity at a reading of the clock, in calls a nanosecond.

        The parts of all senders must add up to no more than the capacity. Both what all of them have
        delivered there and what the list states do, and so does any mean of the two. A sender of less than
        its even part may take that part: it sends no more than it has.
        """
        settings, demand = self.settings, capacity.slow_start.demand
        least_ns = settings.tip_after_ns
        even = capacity.stated_per_s / (settings.senders * SECOND)
        if settings.listed_rate is ListedRate.APPROXIMATE:
            even /= ROUGH_RATE_EXCESS
        if demand.delivered.count >= 1:
            own = demand.delivered.per_ns(least_ns)
        else:  # a sender that has just started, or of very few calls, knows only what comes
            own = demand.offered.per_ns_at(at_ns, settings.cold_ns, least_ns)
            own = min(own, even) if even else own
        return max(even, (own + even) / 2) if even else own

    # ---- states ------------------------------------------------------------------------------------------
    def _observe(self, state: SlowStart, now: int) -> None:
        """Close the observation of deliveries, unless it is closed: what an outage delivers is no demand."""
        if not state.is_paced:
            state.demand.delivered.advance(now, self.settings.cold_ns)

    def _count_delivery(self, state: SlowStart, now: int) -> None:
        if not state.is_paced:
            state.demand.delivered.advance(now, self.settings.cold_ns)
            state.demand.delivered.count += 1

    def _strengthen(self, state: SlowStart, kind: FailureKind, sent_ns: int, now: int) -> None:
        if state.kind is None or kind.value > state.kind.value:
            state.kind = kind
        failing_ns = sent_ns if kind in _UNANSWERED else now
        state.failing_until_ns = max(state.failing_until_ns, failing_ns)
        state.told_ns = now

    def _begin_outage_if_proven(self, capacity: Capacity, now: int) -> None:
        state = capacity.slow_start
        if not state.is_outage and self._is_proven(state):
            self._begin_outage(capacity, now)

    def _is_proven(self, state: SlowStart) -> bool:
        """Return whether so many calls have failed that it is not chance."""
        match state.kind:
            case FailureKind.OVERDUE | FailureKind.LIMITED:
                return False  # it may be slow; a limit says itself for how long it lasts
            case FailureKind.REJECTED:
                rejecting_ns = state.told_ns - state.failing_since_ns
                is_lasting = rejecting_ns >= self.settings.tip_after_ns // REJECTING_TIME
                return state.failure_count >= OUTAGE_REJECTIONS and is_lasting
            case FailureKind.FAILED:
                return state.failure_count >= OUTAGE_FAILURES
            case _:
                return state.failure_count >= OUTAGE_SILENCES

    def _begin_outage(self, capacity: Capacity, now: int) -> None:
        state = capacity.slow_start
        state.is_outage = True
        state.next_call_ns = 0
        self._pace(capacity, now, self._jitter())
        self._log(f"{capacity.name}: outage, {self._evidence(state, now)}; {self._rate(capacity, now)}")
        self._record(capacity, SlowStartPhase.OUTAGE, now)

    def _is_chance(self, state: SlowStart, sent_ns: int, now: int, *, was_overdue: bool) -> bool:
        """Return whether what failed before a delivery is taken for chance.

        All of it lies between the first moment of failure and the delivery. The shorter that time is, the
        fewer senders can have seen no more than that of an outage.
        """
        if state.failure_ratio >= OUTAGE_FAILURE_RATIO:
            return False
        match state.kind:
            case FailureKind.LIMITED | FailureKind.REJECTED:
                return not state.is_outage and self._is_rate_limit(state, now)
            case FailureKind.OVERDUE if was_overdue:
                return True  # it was slow, and nothing has failed
            case FailureKind.OVERDUE | FailureKind.FAILED:
                part = CHANCE_OF_DELAY
            case _:
                part = CHANCE_TIME
        served_ns = now if was_overdue else sent_ns
        # After one failure the next call went at once: in an outage it would have failed as well.
        since_ns = state.told_ns if state.failure_count == 1 else state.failing_since_ns
        return served_ns - since_ns <= self.settings.tip_after_ns // part

    def _is_rate_limit(self, state: SlowStart, now: int) -> bool:
        """Return whether rejections are a rate limit's, and not those of what is out or cold."""
        rejecting_ns = now - state.failing_since_ns
        if state.ramp_ns is not None:  # it has just returned, and may not have done so yet
            return rejecting_ns <= self.settings.tip_after_ns // CHANCE_TIME
        return rejecting_ns <= self.settings.tip_after_ns or state.failure_count < OUTAGE_FAILURES

    def _end_suspicion(self, state: SlowStart, now: int) -> None:
        state.kind = None
        state.failure_count = 0
        state.is_outage = False
        state.next_call_ns = 0 if state.ramp_ns is None else state.next_call_ns
        state.demand.delivered.skip_to(now)

    def _begin_ramp(self, capacity: Capacity, served_ns: int, calls: float, now: int) -> None:
        """Begin the slow start, with so many calls from `served_ns` on as the budget allows until the next.

        The outage ended between the last failure and now. The middle is right in the mean over all senders,
        and those that learn of the return first are so few that the sum keeps its budget at each moment.
        """
        state = capacity.slow_start
        evidence = self._evidence(state, now)
        likely_return_ns = (min(state.failing_until_ns, now) + now) // 2
        self._end_suspicion(state, now)
        self._set_ramp(state, likely_return_ns, now)
        state.next_call_ns = 0
        self._pace(capacity, served_ns, calls)
        self._log(f"{capacity.name}: slow start after {evidence}; {self._rate(capacity, now)}")
        self._record(capacity, SlowStartPhase.SLOW_START, now)

    def _set_ramp(self, state: SlowStart, likely_return_ns: int, latest_return_ns: int) -> None:
        """Pace calls for a capacity that has returned, until it is warm."""
        state.is_outage = False
        state.ramp_ns = likely_return_ns
        state.warm_ns = latest_return_ns + self.settings.cold_ns

    # ---- pace --------------------------------------------------------------------------------------------
    def _jitter(self) -> float:
        """Return a number of calls that is one in the mean: at random, to part the senders."""
        return 0.5 + self._rng.random()

    def _pace(self, capacity: Capacity, now: int, calls: float) -> None:
        """Set the time of the next call: once the sender's part of the budget allows so many calls more."""
        state = capacity.slow_start
        cold = cold_capacity(self.settings, None if state.is_outage else state.ramp_ns, now)
        demand_per_ns = max(self.demand_per_ns(capacity, now), least_demand_per_ns(self.settings))
        share = budget_share(self.settings, demand_per_ns, cold.part)
        pause_ns = gap_ns(self.settings, share * demand_per_ns, cold, calls)
        state.next_call_ns = max(state.next_call_ns, now + pause_ns)

    def backoff_ns(self, demand_per_ns: float, ramp_ns: int | None, now: int) -> int:
        """Return the time to the next call at a destination that rejects calls, or to one of its endpoints.

        Args:
            demand_per_ns: the part of the capacity, in calls a nanosecond.
            ramp_ns: since when the slow start goes on; None: the return is still to come.
            now: the present time.
        """
        cold = cold_capacity(self.settings, ramp_ns, now)
        return gap_ns(self.settings, BACKOFF_SHARE * demand_per_ns, cold, self._jitter())

    # ---- log ---------------------------------------------------------------------------------------------
    def _evidence(self, state: SlowStart, now: int) -> str:
        kind = "" if state.kind is None else state.kind.name.lower()
        failing_for = (now - state.failing_since_ns) / SECOND
        return f"{state.failure_count} calls failed in {failing_for:.1f} s, the gravest {kind}"

    def _rate(self, capacity: Capacity, now: int) -> str:
        demand = self.demand_per_ns(capacity, now) * SECOND
        wait = capacity.slow_start.next_call_ns / SECOND
        return f"part of the demand {demand:.3f} calls/s, next call at {wait:.2f} s"

    def _record(self, capacity: Capacity, phase: SlowStartPhase, since_ns: int) -> None:
        """Have the state kept for the next incarnation; a route is not known by a lasting number."""
        if capacity.destination is not None:
            calls_per_s = self.demand_per_ns(capacity, since_ns) * SECOND
            self._commands.append(RecordSlowStart(capacity.destination, phase, since_ns, calls_per_s))

    def _log(self, text: str) -> None:
        self._commands.append(LogDecision(text))
