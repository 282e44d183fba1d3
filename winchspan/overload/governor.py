"""The overload control: decides on admissions, on call times, and on the retry times of rejected clients.

It implements `winchspan.api.OverloadControl`. It only restricts: calls that it allows are still subject to
the scheduler's backoffs, drains, windows and slow starts.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import replace
from typing import Final, Protocol

from winchspan import api
from winchspan.api import AdmissionRequest, MessageArrived, MessageClass, Outcome, Rejection
from winchspan.overload.admission_capacity import AdmissionCapacity
from winchspan.overload.destination_table import ArrivalCounter, DestinationTable
from winchspan.overload.outage_tracker import DestinationState
from winchspan.overload.reservations import ReservationStatus, ReservationTable
from winchspan.overload.retry_slots import RetrySlots, rejection
from winchspan.overload.settings import OverloadSettings
from winchspan.overload.tracked_destination import (
    ENTERED_EVENTS,
    OverloadEvent,
    StateTransition,
    TrackedDestination,
)

CALL_SIZE_SMOOTHING: Final = 0.125  # weight of a call in the moving mean of messages per call
EVALUATION_INTERVAL_NS: Final = 50_000_000  # between two storm evaluations of a destination
MAX_TRANSITIONS: Final = 256  # bound of the transitions not reported yet
_COURIER_FULL: Final = "the courier is full"


class RecentKeys(Protocol):
    """Stores recent keys in bounded memory."""

    def check_and_add(self, now: int, key: bytes) -> bool:
        """Add a key; return whether it was present already."""


class OverloadGovernor(api.OverloadControl):
    """One courier's overload control. It is deterministic in its settings, seed and calls.

    Attributes:
        transitions: state changes of destinations that are not reported yet.
    """

    def __init__(
        self,
        settings: api.Settings,
        overload_settings: OverloadSettings,
        recent_keys: RecentKeys,
        arrival_counter: ArrivalCounter,
    ) -> None:
        """Create a governor without destinations.

        Args:
            settings: the platform's settings.
            overload_settings: the operator's settings.
            recent_keys: stores recent idempotency keys.
            arrival_counter: counts arrivals for untracked destinations.
        """
        self._overload_settings = overload_settings
        self._recent_keys = recent_keys
        self._destinations = DestinationTable(settings, overload_settings, arrival_counter)
        self._tracked = self._destinations.tracked
        self._reservations = ReservationTable(
            overload_settings.max_reservations,
            overload_settings.grace_period_ns,
            overload_settings.early_tolerance_ns,
        )
        self._retry_slots = RetrySlots(settings, overload_settings, self._reservations)
        self._capacity = AdmissionCapacity(settings, overload_settings)
        self._settings = settings
        self.transitions: deque[StateTransition] = deque(maxlen=MAX_TRANSITIONS)

    def reconfigure(self, settings: api.Settings) -> None:
        """Use other settings, and keep the state of all destinations."""
        self._settings = settings
        self._destinations.reconfigure(settings)
        self._retry_slots.reconfigure(settings)
        self._capacity.reconfigure(settings)

    def can_continue(self, previous: api.OverloadControl) -> bool:
        """Return whether the operator configured the previous process's alike; seeds differ."""
        if not isinstance(previous, OverloadGovernor):
            return False
        return replace(previous._overload_settings, seed=0) == replace(self._overload_settings, seed=0)

    @property
    def destinations(self) -> Iterator[TrackedDestination]:
        """The tracked destinations, for reports."""
        return iter(self._tracked.values())

    @property
    def untracked_count(self) -> int:
        """Number of messages for untracked destinations, which are not governed."""
        return self._destinations.untracked_count

    @property
    def entry_count(self) -> int:
        """Number of entries in all tables that grow with clients and destinations."""
        return len(self._reservations) + self._destinations.entry_count

    # ---- events ------------------------------------------------------------------------------------------
    def restarted(self, now: int, last_call_at: int) -> None:
        """Allow no call in the window of the previous incarnation's last call."""
        self._destinations.record_restart(last_call_at)

    def rate_listed(self, now: int, destination: int, rate: float) -> None:
        """Set the rate of the endpoint list."""
        self._destinations.set_listed_rate(destination, rate)

    def message_arrived(
        self, now: int, event: MessageArrived, cls: MessageClass, attempt_count: int = 0
    ) -> None:
        """Record a held message; failed attempts of the previous incarnation suggest an outage."""
        destination = self._tracked.get(event.destination)
        if destination is None:
            destination = self._destinations.find_or_track(now, event.destination)
            if destination is None:
                return
        destination.held.add(
            now, event.message, now + event.remaining_ns - cls.deadline_ns + cls.latency_objective_ns
        )
        if attempt_count > 1:
            # Guards against a courier that restarts during a storm and has lost its state: the attempts in
            # its journal have failed. A single attempt may just have been in flight at the restart.
            destination.tracker.suspect(now)
            self._report_transition(now, destination)

    def message_closed(self, now: int, destination: int, message: str) -> None:
        """Record that a message is no longer held."""
        if tracked := self._tracked.get(destination):
            tracked.held.remove(message)

    def call_sent(self, now: int, destination: int, message_count: int, retry_count: int) -> None:
        """Record a call that is sent."""
        if tracked := self._tracked.get(destination):
            tracked.rate.record_call(now)
            tracked.retry_budget.record_call(now, message_count - retry_count, retry_count)
            tracked.messages_per_call += (message_count - tracked.messages_per_call) * CALL_SIZE_SMOOTHING
            tracked.count(OverloadEvent.CALL_SENT)
            tracked.count(OverloadEvent.RETRY_SENT, retry_count)

    def call_settled(self, now: int, destination: int, retry_count: int) -> None:
        """Record that no message of a call is in flight any longer."""
        if tracked := self._tracked.get(destination):
            tracked.retry_budget.record_settled(retry_count)

    def call_ended(
        self, now: int, destination: int, outcome: Outcome, duration_ns: int, wait_ns: int
    ) -> None:
        """Record the outcome of a call, and adjust the trust in the listed rate."""
        tracked = self._tracked.get(destination)
        if tracked is None:
            return
        if wait_ns:
            tracked.paused_until = max(tracked.paused_until, now + wait_ns)
        if outcome is Outcome.FULL:
            if tracked.tracker.state is DestinationState.CALM:
                tracked.rate.record_rejection(now)
            tracked.count(OverloadEvent.REJECTED_BY_DESTINATION)
        elif outcome is Outcome.DELIVERED:
            tracked.rate.record_delivery()
        tracked.tracker.record_outcome(now, outcome, duration_ns)
        is_outage = tracked.tracker.state is DestinationState.OUTAGE
        if is_outage and tracked.reported_state is not DestinationState.OUTAGE:
            tracked.rate.undo_cut_since(tracked.tracker.outage_since)
        self._report_transition(now, tracked)

    # ---- when to send ------------------------------------------------------------------------------------
    def ready_at(self, now: int, destination: int) -> int:
        """Return when the next call may be sent: evenly spaced, less often in an outage or a recovery."""
        tracked = self._tracked.get(destination)
        if tracked is None or not tracked.is_governed:
            return 0
        tracker = tracked.tracker
        if tracker.state is DestinationState.OUTAGE:
            return tracked.rate.next_call_at(1.0, self._overload_settings.trial_interval_ns)
        if tracker.is_warming_up:
            return tracked.rate.next_call_at(tracker.level(now))
        if self._overload_settings.limits_when_calm or tracker.is_degraded:
            return tracked.rate.next_call_at(1.0)
        return 0

    def retry_ready_at(self, now: int, destination: int) -> int:
        """Return when a retry may be sent: by the retry budget while the destination is degraded."""
        tracked = self._tracked.get(destination)
        if tracked is None or not tracked.is_governed or not tracked.tracker.is_degraded:
            return 0
        if tracked.tracker.state is DestinationState.OUTAGE:
            return 0
        return tracked.retry_budget.ready_at(now)

    # ---- admission ---------------------------------------------------------------------------------------
    def admit(self, now: int, request: AdmissionRequest) -> Rejection | None:
        """Admit a message, unless its destination is degraded and the time or capacity is insufficient."""
        destination = self._destinations.find_or_track(now, request.destination)
        if destination is None:
            return None
        token = request.idempotency_key
        is_recent_key = bool(token) and self._recent_keys.check_and_add(now, token.encode())
        is_retry = request.is_repeated or request.is_resubmitted or is_recent_key
        destination.tracker.record_arrival(now, is_retry=is_retry)
        if now >= destination.evaluate_at:
            self._evaluate(now, destination)
        if not destination.is_governed:
            return None
        if blocked_until := self._reservations.key_blocked_until(now, request.key, token):
            destination.count(OverloadEvent.REJECTED_KEY_ORDER)
            return self._retry_slots.reject_until(now, destination, request, blocked_until)
        if destination.tracker.is_degraded:
            return self._admit_degraded(now, destination, request, is_retry=is_retry)
        self._reservations.release(destination.id, token, request.key)
        return None

    def _evaluate(self, now: int, destination: TrackedDestination) -> None:
        destination.evaluate_at = now + EVALUATION_INTERVAL_NS
        backlog_ns = destination.drain_ns(now, len(destination.held), self._settings)
        destination.tracker.evaluate_storm(now, backlog_ns)
        self._report_transition(now, destination)

    def _admit_degraded(
        self, now: int, destination: TrackedDestination, request: AdmissionRequest, *, is_retry: bool
    ) -> Rejection | None:
        """Admit a message for a degraded destination if it can be delivered before its deadline."""
        status = self._reservation_status(now, destination, request, is_retry=is_retry)
        if status is ReservationStatus.EARLY:
            destination.count(OverloadEvent.REJECTED_EARLY)
            self._reservations.mark_early(destination.id, request.idempotency_key)
            return self._retry_slots.reject(now, destination, request)
        has_reservation = status is ReservationStatus.DUE
        is_last = is_retry and not request.is_resubmitted and not has_reservation
        if not self._capacity.admits(now, destination, request, is_last=is_last):
            destination.count(_capacity_rejection(has_reservation=has_reservation, is_retry=is_retry))
            return self._retry_slots.reject(now, destination, request)
        admitted = OverloadEvent.ADMITTED_RESERVED if has_reservation else OverloadEvent.ADMITTED
        destination.count(admitted)
        self._reservations.release(destination.id, request.idempotency_key, request.key)
        return None

    def _reservation_status(
        self, now: int, destination: TrackedDestination, request: AdmissionRequest, *, is_retry: bool
    ) -> ReservationStatus:
        """Return the status of a client's reservation; without an idempotency key, claim the earliest one."""
        if request.is_resubmitted or not is_retry:
            return ReservationStatus.NONE  # new, or submitted again after the failure of another courier
        if request.idempotency_key:
            return self._reservations.status(now, destination.id, request.idempotency_key)
        return destination.anonymous_reservations.claim(now)

    # ---- rejections --------------------------------------------------------------------------------------
    def reject_when_full(self, now: int, request: AdmissionRequest, default_ns: int) -> Rejection:
        """Reject a message because the courier itself is full."""
        destination = self._tracked.get(request.destination)
        if destination is None:
            return Rejection(self._retry_slots.spread(now, default_ns) - now, _COURIER_FULL)
        destination.count(OverloadEvent.REJECTED_NO_CAPACITY)
        if not destination.is_governed:
            return Rejection(default_ns, _COURIER_FULL)
        rejected = self._retry_slots.reject(now, destination, request)
        return Rejection(rejected.retry_after_ns, f"{_COURIER_FULL}; {rejected.reason}")

    def reject_held(
        self, now: int, destination: int, message: str, default_ns: int, within_ns: int | None
    ) -> Rejection | None:
        """Reject a message that was held; its client cannot be identified when it submits again.

        Args:
            now: the current time in ns.
            destination: the number of the destination.
            message: the message's id.
            default_ns: the wait where the destination is not governed.
            within_ns: the rest of the deduplication window of a message that may have been executed; None:
                the message may be submitted again at any time.

        Returns:
            The rejection, or None if the message must fail instead: it may have been executed, and the client
            would submit it again after its window. This holds for every governed destination, where a
            message that is submitted again may wait longer than its window, without a link to the attempt
            that may have been executed.
        """
        tracked = self._tracked.get(destination)
        if tracked is not None and not tracked.is_governed:
            return Rejection(default_ns, "")
        if tracked is None:
            arrive_at = self._retry_slots.spread(now, default_ns)
        else:
            arrive_at = self._retry_slots.next_slot(now, tracked).arrive_at
        latest_arrival = arrive_at + self._overload_settings.grace_period_ns
        if within_ns is not None and (tracked is not None or latest_arrival - now > within_ns):
            return None
        if tracked is None:
            return Rejection(arrive_at - now, "")
        tracked.count(OverloadEvent.REJECTED_HELD)
        tracked.anonymous_reservations.reserve(arrive_at)
        return rejection(now, tracked, arrive_at)

    # ---- reports -----------------------------------------------------------------------------------------
    def _report_transition(self, now: int, destination: TrackedDestination) -> None:
        """Record a change of a destination's state for the report."""
        tracker = destination.tracker
        state = tracker.state
        if state is destination.reported_state:
            return
        destination.count(ENTERED_EVENTS[state])
        transition = StateTransition(
            at_ns=now,
            destination=destination.id,
            before=destination.reported_state,
            state=state,
            retry_share=tracker.retry_share(now),
            level=tracker.level(now),
            held_count=len(destination.held),
            consecutive_outages=tracker.consecutive_outages,
        )
        self.transitions.append(transition)
        destination.reported_state = state


def _capacity_rejection(*, has_reservation: bool, is_retry: bool) -> OverloadEvent:
    if has_reservation:
        return OverloadEvent.REJECTED_RESERVED
    return OverloadEvent.REJECTED_RETRY if is_retry else OverloadEvent.REJECTED_FIRST
