"""Endpoint health: circuit breaker, slow start, learned rates and idle connections."""

from __future__ import annotations

import random
from math import ceil, log
from typing import Final

from winchspan.api import CallPacing, CloseIdleConnections, Command, LogDecision, MessageClass, Settings
from winchspan.runtime.smoothing import SMOOTHING, smoothed
from winchspan.scheduling.slow_start import (
    FAILURE_RATIO_STEP,
    OUTAGE_FAILURE_RATIO,
    SECOND,
    FailureKind,
    SlowStartControl,
)
from winchspan.scheduling.state import NEVER, Call, Destination, Endpoint, RateLimit

OVERDUE_DEVIATIONS: Final = 4  # a call is overdue after mean + 4 deviations, like TCP's retransmission timer
RATE_CUT, RATE_RISE = 0.7, 0.05  # a rejection lowers the learned rate by 30%, a delivery raises it by 5%
MAX_TRANSIENT_FAILURES: Final = 2  # consecutive failures: one may be a coincidence, two rarely are
MIN_TRANSIENT_PROBABILITY: Final = 0.02  # less probable failures are not a coincidence
# Share of lost responses below which losses are ignored, and the largest share that is assumed.
MIN_LOSS_RATIO, MAX_LOSS_RATIO = 0.2, 0.6
MAX_TRIALS_PER_WINDOW: Final = 16  # trials of a rejecting destination in tip_after_ns
UNLIMITED_RATIO: Final = 2  # a learned rate of at least this multiple of the present rate does not limit it


class EndpointHealth:
    """Tracks the health of endpoints by the outcomes of their calls, and decides when each may be called.

    Attributes:
        settings: the current settings.
        commands: the commands of the scheduler, to which its own are added.
        rng: the source of random numbers.
        slow_starts: the slow starts of shared capacities.
        latency_by_kind: mean and deviation of the latency of deliveries, in ns.
        max_idle_by_kind: how long a connection may be idle, in ns, and since when this limit applies.
        lost_idle_ns: idle times of connections on which a call was lost.
        unreliable_idle_ns: connections that were idle for at least this time are closed before use.
        unreliable_until_ns: when `unreliable_idle_ns` expires.
    """

    def __init__(self, settings: Settings, seed: int, commands: list[Command]) -> None:
        self.settings, self.commands, self.rng = settings, commands, random.Random(seed)
        self.slow_starts = SlowStartControl(settings, self.rng, commands)
        self.latency_by_kind: dict[str, tuple[float, float]] = {}
        self.max_idle_by_kind: dict[str, tuple[int, int]] = {}
        self.lost_idle_ns: list[int] = []
        self.unreliable_idle_ns = NEVER
        self.unreliable_until_ns = 0

    def reconfigure(self, settings: Settings) -> None:
        """Apply other settings from now on."""
        self.settings = self.slow_starts.settings = settings

    def ready_ns(self, endpoint: Endpoint, now: int) -> int:
        """Return when the next call may be sent to the endpoint; at or before `now`: at once."""
        if not endpoint.is_usable or endpoint.call_count >= (1 if endpoint.is_open else endpoint.max_calls):
            return NEVER
        is_suspected, slow_start_since_ns = (
            endpoint.suspected_since_ns is not None,
            endpoint.slow_start_since_ns,
        )
        if (
            slow_start_since_ns is not None
            and not is_suspected
            and now - slow_start_since_ns >= self.settings.cold_ns
        ):
            endpoint.slow_start_since_ns = slow_start_since_ns = None
        limit = endpoint.limit
        paced_until_ns = self.slow_starts.ready_ns(limit, now)
        if not limit.slow_start.is_paced and (is_suspected or slow_start_since_ns is not None):
            paced_until_ns = endpoint.next_call_ns
        return max(limit.retry_after_ns, limit.next_call_ns, paced_until_ns)

    def pacing(self, endpoint: Endpoint) -> CallPacing:
        """Return why a call to the endpoint is let through now."""
        if endpoint.limit.slow_start.is_paced:
            return endpoint.limit.slow_start.pacing
        if endpoint.is_open:
            return CallPacing.TRIAL
        if endpoint.suspected_since_ns is not None:
            return CallPacing.SUSPECTED
        return CallPacing.UNPACED if endpoint.slow_start_since_ns is None else CallPacing.SLOW_START

    def overdue_after_ns(self, endpoint: Endpoint, message_class: MessageClass) -> int:
        """Return how long a call may take before it counts as a failure of the endpoint."""
        usual = self.latency_by_kind.get(endpoint.kind, (message_class.latency_objective_ns / 2, 0.0))
        mean, deviation = (endpoint.latency_ns, endpoint.deviation_ns) if endpoint.latency_ns else usual
        return int(mean + OVERDUE_DEVIATIONS * deviation) + 2 * self.settings.step_ns

    def pace(self, destination: Destination, endpoint: Endpoint, now: int) -> None:
        """Space out the calls to an endpoint that is unhealthy or warms up while its peers are healthy."""
        peer_count = max(1, len(_peers(destination, endpoint)))
        demand = self.slow_starts.demand_per_ns(endpoint.limit, now) / peer_count
        slow_start_since_ns = endpoint.slow_start_since_ns if endpoint.suspected_since_ns is None else None
        interval_ns = self.slow_starts.backoff_ns(demand, slow_start_since_ns, now)
        endpoint.next_call_ns = max(endpoint.next_call_ns, now + interval_ns)

    def record_success(self, endpoint: Endpoint, call: Call, latency_ns: int, now: int) -> None:
        """Record a delivery, and readmit the endpoint: with a slow start after an outage."""
        endpoint.loss_ratio -= endpoint.loss_ratio / SMOOTHING
        self.slow_starts.record_delivery(endpoint.limit, call.sent_ns, now, was_overdue=call.is_overdue)
        if endpoint.suspected_since_ns is not None:
            self._readmit(endpoint, now - endpoint.suspected_since_ns, call, now)
        if call.idle_ns:
            self.lost_idle_ns = [idle_ns for idle_ns in self.lost_idle_ns if idle_ns > call.idle_ns]
        endpoint.last_success_ns, endpoint.success_sent_ns = now, max(endpoint.success_sent_ns, call.sent_ns)
        endpoint.failure_ratio *= 1 - FAILURE_RATIO_STEP
        by_kind = self.latency_by_kind.get(endpoint.kind, (0.0, 0.0))
        known = (endpoint.latency_ns, endpoint.deviation_ns) if endpoint.latency_ns else by_kind
        endpoint.latency_ns, endpoint.deviation_ns = smoothed(*known, latency_ns)
        self.latency_by_kind[endpoint.kind] = smoothed(*by_kind, latency_ns)
        limit = endpoint.limit
        if limit.learned_per_s:  # a low rate must recover with few deliveries
            limit.learned_per_s += max(RATE_RISE * limit.learned_per_s, self._min_rate_per_s(limit))
        endpoint.max_calls = min(NEVER, endpoint.max_calls + 1)
        endpoint.batch_size = min(endpoint.max_batch, endpoint.batch_size + 1)

    def _readmit(self, endpoint: Endpoint, suspected_for_ns: int, call: Call, now: int) -> None:
        was_long = not call.is_overdue and suspected_for_ns > self.settings.tip_after_ns // 2
        has_failed = endpoint.consecutive_failures > 0  # otherwise it has only rejected calls
        had_outage = was_long and has_failed and _is_outage(endpoint)
        # The slow start of an endpoint without peers is that of its capacity.
        has_failed_alone = len(_peers(call.destination, endpoint)) > 1
        if has_failed_alone and (had_outage or endpoint.failure_ratio >= OUTAGE_FAILURE_RATIO):
            endpoint.slow_start_since_ns = now
        is_in_slow_start = endpoint.slow_start_since_ns is not None
        if endpoint.is_open:
            admission = "slow start" if is_in_slow_start else "at once"
            evidence = f"{endpoint.consecutive_failures} failures in {suspected_for_ns / SECOND:.1f} s"
            place = f"endpoint {endpoint.id} of destination {call.destination.id}"
            self.commands.append(LogDecision(f"{place} responds again after {evidence}: {admission}"))
        endpoint.suspected_since_ns, endpoint.is_open = None, False
        endpoint.consecutive_failures = endpoint.next_call_ns = 0
        if is_in_slow_start:
            self.pace(call.destination, endpoint, now)

    def record_arrival(self, destination: Destination, now: int) -> None:
        """Count a message that arrived, divided evenly among the capacities of its destination."""
        limits = {id(each.limit): each.limit for each in destination.endpoints.values()}
        for limit in limits.values() or (destination.limit,):
            self.slow_starts.record_arrival(limit, now, 1 / max(1, len(limits)))

    def confirm_failure(self, call: Call, kind: FailureKind, now: int) -> None:
        """Record that an overdue call has failed."""
        self.slow_starts.confirm_failure(call.endpoint.limit, kind, call.sent_ns, now)

    def record_failure(self, call: Call, now: int, kind: FailureKind, *, is_error: bool) -> None:
        """Suspect the endpoint of a failed call; open its circuit breaker unless it may be a coincidence."""
        endpoint, span_ns = call.endpoint, self.settings.tip_after_ns
        if call.is_overdue:
            self.confirm_failure(call, kind, now)
        elif not endpoint.is_open or endpoint.limit.slow_start.failure_kind is not None:
            self.slow_starts.record_failure(endpoint.limit, kind, call.sent_ns, now)
        endpoint.consecutive_failures += 1
        is_first = endpoint.suspected_since_ns is None
        endpoint.suspected_since_ns = endpoint.suspected_since_ns or now
        is_outage = _is_outage(endpoint)
        has_peers = len(_peers(call.destination, endpoint)) > 1
        if has_peers and not kind.is_rejection and is_outage and not is_first:
            self.pace(call.destination, endpoint, now)  # a rejection has already paused the whole destination
        if is_error:
            endpoint.failure_ratio += (1 - endpoint.failure_ratio) * FAILURE_RATIO_STEP
        quiet_since_ns = max(
            endpoint.last_success_ns, endpoint.listed_ns, endpoint.suspected_since_ns - span_ns
        )
        is_quiet = now - quiet_since_ns > span_ns
        is_proven = is_outage and (
            is_quiet or endpoint.consecutive_failures >= _max_transient_failures(endpoint)
        )
        is_failing = is_proven or endpoint.failure_ratio >= OUTAGE_FAILURE_RATIO
        if is_failing and not endpoint.is_open:
            endpoint.is_open = True
            failing_seconds = (now - endpoint.suspected_since_ns) / SECOND
            evidence = f"{endpoint.consecutive_failures} failures in {failing_seconds:.1f} s"
            place = f"endpoint {endpoint.id} of destination {call.destination.id}"
            self.commands.append(LogDecision(f"{place} considered unhealthy after {evidence}: trials only"))

    def record_rejection(self, call: Call, wait_ns: int, now: int) -> None:
        """Pause the destination that rejected a call, and learn a rate that its limit permits.

        If the destination has served this load without a limit until now, the rejection is a sign of an
        outage. Its calls are then paced as in any other outage, and no rate is learned.
        """
        destination, limit = call.destination, call.endpoint.limit
        destination.rejected_since_ns = destination.rejected_since_ns or now
        if limit.slow_start.failure_kind is None:
            limit.slow_start.had_served_unlimited = self._has_served_unlimited(limit, now)
        if not limit.slow_start.is_rejecting_outage:
            self._pause_destination(destination, call.endpoint, now)
            self._learn_rate(call.endpoint, wait_ns, now)
        kind = FailureKind.LIMITED if wait_ns else FailureKind.REJECTED
        self.record_failure(call, now, kind, is_error=False)
        if limit.slow_start.is_rejecting_outage and limit.learned_per_s:
            limit.learned_per_s = 0.0
            limit.next_call_ns = now + wait_ns
            destination.next_call_ns = now
        self.slow_starts.record_requested_wait(limit, wait_ns, now)
        call.endpoint.consecutive_failures -= 1

    def _has_served_unlimited(self, limit: RateLimit, now: int) -> bool:
        """Return whether calls have been delivered for some time without a known limit."""
        rate_per_s = max(1, _calls_in_last_second(limit, now))
        is_limited = 0 < limit.learned_per_s < UNLIMITED_RATIO * rate_per_s
        delivered = limit.slow_start.demand.delivered
        is_known = delivered.count >= 1 and delivered.observed_ns >= self.settings.cold_ns // 2
        return is_known and not is_limited

    def _pause_destination(self, destination: Destination, endpoint: Endpoint, now: int) -> None:
        """Pause a destination that rejects calls; the pause grows with the time for which it rejects them."""
        message_count = len(destination.queue) + 1
        rejecting_ns = now - (destination.rejected_since_ns or now)
        shortest_ns = self.settings.tip_after_ns // MAX_TRIALS_PER_WINDOW
        age_ns = max(rejecting_ns, int(endpoint.latency_ns), shortest_ns) / message_count
        backoff_ns = self.slow_starts.backoff_ns(1 / age_ns, None, now)
        destination.next_call_ns = max(destination.next_call_ns, now + backoff_ns)

    def _learn_rate(self, endpoint: Endpoint, wait_ns: int, now: int) -> None:
        """Lower the learned rate of a limit, unless the destination has an outage."""
        limit = endpoint.limit
        recent = _calls_in_last_second(limit, now)
        is_rate = recent * self.settings.senders > 2 or limit.learned_per_s > 0
        if not is_rate or endpoint.is_open or self.slow_starts.is_long_wait(wait_ns):
            return  # the slow start paces the calls
        rate_per_s = RATE_CUT * min(limit.learned_per_s or NEVER, recent)
        limit.learned_per_s = max(self._min_rate_per_s(limit), rate_per_s)
        pause_ns = int(SECOND / limit.learned_per_s * (0.5 + self.rng.random() / 2))
        limit.next_call_ns = max(limit.next_call_ns, now + wait_ns + pause_ns)

    def _min_rate_per_s(self, limit: RateLimit) -> float:
        """Return the lowest learned rate: half an equal share of a stated limit, or a call per `cold_ns`."""
        return max(limit.stated_per_s / self.settings.senders / 2, SECOND / self.settings.cold_ns)

    def max_idle_ns(self, kind: str, now: int) -> int:
        """Return how long a connection to a kind may be idle; doubles per `cold_ns` without a failure."""
        idle_ns, since_ns = self.max_idle_by_kind.get(kind, (self.settings.keepalive_ns, now))
        return min(self.settings.keepalive_ns, idle_ns << (now - since_ns) // self.settings.cold_ns)

    def close_idle_connections(self, endpoint: Endpoint) -> None:
        """Close all idle connections to an endpoint."""
        self.commands.append(CloseIdleConnections(endpoint.id))
        endpoint.idle_since_ns.clear()

    def reserve_connection(self, call: Call, now: int) -> None:
        """Assign an idle connection to a call, if there is one; otherwise a new one is opened."""
        endpoint, oldest_ns = call.endpoint, now - self.settings.keepalive_ns
        endpoint.idle_since_ns = [at_ns for at_ns in endpoint.idle_since_ns if at_ns > oldest_ns]
        if now >= self.unreliable_until_ns:
            self.unreliable_idle_ns = NEVER
        if endpoint.idle_since_ns and now - endpoint.idle_since_ns[0] >= self.unreliable_idle_ns:
            self.close_idle_connections(endpoint)
        if endpoint.idle_since_ns and endpoint.call_count % self.settings.calls_per_connection == 0:
            call.idle_ns = now - endpoint.idle_since_ns.pop()

    def record_lost_call(self, call: Call, now: int) -> None:
        """Suspect idle connections, as a call was lost at an endpoint that responds on other connections."""
        if call.idle_ns:
            self.lost_idle_ns.append(call.idle_ns)
            call.idle_ns = 0
        if len(self.lost_idle_ns) > MAX_TRANSIENT_FAILURES:
            if self.unreliable_idle_ns == NEVER:
                self.commands.append(
                    LogDecision("calls are lost on idle connections: closing these before use")
                )
            self.unreliable_idle_ns = min(self.lost_idle_ns)
            self.unreliable_until_ns = now + self.settings.cold_ns
            self.lost_idle_ns = self.lost_idle_ns[-MAX_TRANSIENT_FAILURES:]

    def record_failed_handshake(self, call: Call, now: int) -> None:
        """Shorten the idle time of connections to a kind, whose connection table may be full."""
        if self.settings.senders > self.settings.slots:  # otherwise the calls themselves fill the table
            kind, latency_ns = call.endpoint.kind, int(call.endpoint.latency_ns)
            idle_ns = min(
                self.max_idle_ns(kind, now) // 2, latency_ns or call.message_class.latency_objective_ns // 2
            )
            self.max_idle_by_kind[kind] = idle_ns, now


def _calls_in_last_second(limit: RateLimit, now: int) -> int:
    return sum(1 for sent_ns in limit.recent_sends_ns if sent_ns > now - SECOND)


def _peers(destination: Destination, endpoint: Endpoint) -> list[Endpoint]:
    """Return the endpoints that share a capacity with an endpoint, including itself."""
    return [each for each in destination.endpoints.values() if each.limit is endpoint.limit]


def _is_outage(endpoint: Endpoint) -> bool:
    count, max_transient = endpoint.consecutive_failures, _max_transient_failures(endpoint)
    return endpoint.never_ran or count > max_transient or (endpoint.is_silent and count >= max_transient)


def _max_transient_failures(endpoint: Endpoint) -> int:
    if endpoint.loss_ratio <= MIN_LOSS_RATIO:
        return MAX_TRANSIENT_FAILURES
    return max(
        MAX_TRANSIENT_FAILURES,
        ceil(log(MIN_TRANSIENT_PROBABILITY) / log(min(endpoint.loss_ratio, MAX_LOSS_RATIO))),
    )
