"""Whether a degraded destination has capacity for one more message."""

from __future__ import annotations

from typing import Final

from winchspan import api
from winchspan.api import AdmissionRequest
from winchspan.overload.settings import OverloadSettings
from winchspan.overload.tracked_destination import TrackedDestination

DEADLINE_MARGIN: Final = 0.9  # of its time left that a message may wait and still be admitted
MIN_CAPACITY_SHARE: Final = 0.5  # of a destination's capacity that any message may use
MIN_LATE_WORTH: Final = 0.5  # of its worth that a late message counts with at least


class AdmissionCapacity:
    """Judges messages by the time that they have left, and by the capacity of the courier."""

    def __init__(self, settings: api.Settings, overload_settings: OverloadSettings) -> None:
        """Create it.

        Args:
            settings: the platform's settings.
            overload_settings: the operator's settings.
        """
        self._overload_settings = overload_settings
        self.reconfigure(settings)

    def reconfigure(self, settings: api.Settings) -> None:
        """Use other settings from now on."""
        self._settings = settings
        self._max_worth = max((cls.worth for cls in settings.classes.values()), default=1.0) or 1.0

    def admits(
        self, now: int, destination: TrackedDestination, request: AdmissionRequest, *, is_last: bool
    ) -> bool:
        """Return whether a message can be delivered in its time, and there is capacity to hold it.

        What still has its full worth is served first, and so are clients with reservations.

        Args:
            now: the current time in ns.
            destination: the destination of the message.
            request: the message.
            is_last: whether it stands behind all that is held, as a retry without a reservation.
        """
        share = self._overload_settings.capacity_share
        max_held = max(1, int(share * self._settings.max_held * self._capacity_share(request)))
        if len(destination.held) >= max_held:
            return False
        ahead = len(destination.held) if is_last else destination.held.count_in_time(now)
        if is_last or not request.is_repeated:
            ahead += destination.anonymous_reservations.count(now)
        remaining_outage_ns = destination.remaining_outage_ns(now, self._settings)
        wait_ns = remaining_outage_ns + destination.drain_ns(now, ahead + 1, self._settings)
        return wait_ns <= DEADLINE_MARGIN * request.remaining_ns

    def _capacity_share(self, request: AdmissionRequest) -> float:
        """Return the share of the capacity that a message may use: from a half to all, by its worth.

        Where capacity is short, what is worth most gets the rest of it: the class's worth, less once it is
        late.
        """
        cls = request.message_class
        is_late = request.remaining_ns < cls.deadline_ns - cls.latency_objective_ns
        worth = cls.worth * (max(cls.late_worth, MIN_LATE_WORTH) if is_late else 1.0)
        return MIN_CAPACITY_SHARE + (1.0 - MIN_CAPACITY_SHARE) * min(1.0, worth / self._max_worth)
