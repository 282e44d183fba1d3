"""Assigns retry times to rejected clients: each gets a slot in the virtual queue of its destination."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final, NamedTuple

from winchspan import api
from winchspan.api import AdmissionRequest, Rejection
from winchspan.overload.outage_tracker import DestinationState
from winchspan.overload.reservations import ReservationTable
from winchspan.overload.settings import OverloadSettings
from winchspan.overload.tracked_destination import TrackedDestination

MIN_RETRY_AFTER_NS: Final = 50_000_000  # least wait of a client, since the reply takes time too
GOLDEN_RATIO: Final = 0.618_033_988_75  # steps of this size fill an interval evenly
_SEED_MODULUS: Final = 997
# The reason in rejections, by the state of the destination.
REJECTION_REASONS: Final[Mapping[DestinationState, str]] = {
    DestinationState.OUTAGE: "does not answer",
    DestinationState.RECOVERING: "is returning",
    DestinationState.STORM: "is overrun",
    DestinationState.CALM: "is busy",
}


class RetrySlot(NamedTuple):
    """A slot of the virtual queue; times in ns.

    Attributes:
        arrive_at: when the client should retry.
        slot_at: when the slot is free; later than `arrive_at` if the wait was capped.
    """

    arrive_at: int
    slot_at: int


class RetrySlots:
    """Assigns slots to rejected clients."""

    def __init__(
        self, settings: api.Settings, overload_settings: OverloadSettings, reservations: ReservationTable
    ) -> None:
        """Create the slots of one courier.

        Args:
            settings: the platform's settings.
            overload_settings: the operator's settings.
            reservations: stores the slots of the clients.
        """
        self._settings = settings
        self._overload_settings = overload_settings
        self._reservations = reservations
        # The courier's number offsets the slots of couriers that start at the same time.
        sender_count = overload_settings.sender_count or settings.senders
        seed_offset = (overload_settings.seed % _SEED_MODULUS) / _SEED_MODULUS
        self._spread = (settings.me / max(1, sender_count) + seed_offset) % 1.0

    def reconfigure(self, settings: api.Settings) -> None:
        """Use other settings for later rejections."""
        self._settings = settings

    def reject(self, now: int, destination: TrackedDestination, request: AdmissionRequest) -> Rejection:
        """Reject a message, and reserve a slot for its client."""
        reservation = self._reservations.find(destination.id, request.idempotency_key)
        if (
            reservation is not None
            and reservation.arrive_at > now + self._overload_settings.early_tolerance_ns
        ):
            slot = RetrySlot(reservation.arrive_at, reservation.slot_at)  # too early: keeps its time
        elif reservation is not None and reservation.slot_at > now:  # its wait was capped: keeps its slot
            slot = RetrySlot(self.cap(now, reservation.slot_at), reservation.slot_at)
        else:
            slot = self.next_slot(now, destination)
        self._reservations.reserve(
            destination.id, request.idempotency_key, request.key, slot.arrive_at, slot.slot_at
        )
        if not request.idempotency_key:
            destination.anonymous_reservations.reserve(slot.arrive_at)
        return rejection(now, destination, slot.arrive_at)

    def reject_until(
        self, now: int, destination: TrackedDestination, request: AdmissionRequest, key_blocked_until: int
    ) -> Rejection:
        """Reject a message until an earlier one of its ordering key has been admitted."""
        arrive_at = self.cap(now, key_blocked_until)
        self._reservations.reserve(
            destination.id, request.idempotency_key, None, arrive_at, key_blocked_until
        )
        reason = f"partner {destination.id}: an earlier order of the same key comes first"
        return Rejection(arrive_at - now, reason)

    def next_slot(self, now: int, destination: TrackedDestination) -> RetrySlot:
        """Take the next free slot of the virtual queue.

        This is a GCRA: slots are one message's send time apart, after held messages and earlier reservations.
        """
        message_count = destination.held.count_in_time(now) + 1
        remaining_outage_ns = destination.remaining_outage_ns(now, self._settings)
        free_at = now + remaining_outage_ns + destination.drain_ns(now, message_count, self._settings)
        interval_ns = destination.slot_interval_ns(now)
        slot_at = max(free_at + int(interval_ns * self._next_fraction()), destination.next_slot_at)
        destination.next_slot_at = slot_at + interval_ns
        return RetrySlot(self.cap(now, slot_at), slot_at)

    def cap(self, now: int, slot_at: int) -> int:
        """Return when the client of a slot should retry; too long a wait is spread below the limit."""
        max_wait_ns = self._settings.max_retry_after_ns
        if slot_at - now <= max_wait_ns:
            return max(slot_at, now + min(MIN_RETRY_AFTER_NS, max_wait_ns))
        return self.spread(now, max_wait_ns)

    def spread(self, now: int, max_wait_ns: int) -> int:
        """Return a time in the second half of a wait, to spread clients that are rejected together."""
        return now + int(max_wait_ns * (0.5 + 0.5 * self._next_fraction()))

    def _next_fraction(self) -> float:
        """Return a fraction of an interval; successive fractions fill it evenly."""
        self._spread = (self._spread + GOLDEN_RATIO) % 1.0
        return self._spread


def rejection(now: int, destination: TrackedDestination, arrive_at: int) -> Rejection:
    """Return a rejection whose reason is the state of the destination."""
    reason = REJECTION_REASONS[destination.tracker.state]
    return Rejection(arrive_at - now, f"partner {destination.id} {reason}")
