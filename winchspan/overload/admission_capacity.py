"""Decides whether a degraded destination has capacity for another message."""

from __future__ import annotations

from typing import Final

from winchspan import api
from winchspan.api import AdmissionRequest
from winchspan.overload.settings import OverloadSettings
from winchspan.overload.tracked_destination import TrackedDestination

DEADLINE_MARGIN: Final = 0.9  # of its remaining time that a message may have to wait
MIN_CAPACITY_SHARE: Final = 0.5  # of the capacity that a message of any worth may use
MIN_LATE_WORTH: Final = 0.5  # least factor for the worth of a late message


class AdmissionCapacity:
    """Checks messages against their remaining time and the capacity of the courier."""

    def __init__(self, settings: api.Settings, overload_settings: OverloadSettings) -> None:
        """Create the check for one courier.

        Args:
            settings: the platform's settings.
            overload_settings: the operator's settings.
        """
        self._overload_settings = overload_settings
        self.reconfigure(settings)

    def reconfigure(self, settings: api.Settings) -> None:
        """Use other settings for later messages."""
        self._settings = settings
        self._max_worth = max((cls.worth for cls in settings.classes.values()), default=1.0) or 1.0

    def admits(
        self, now: int, destination: TrackedDestination, request: AdmissionRequest, *, is_last: bool
    ) -> bool:
        """Return whether a message can be delivered before its deadline, and there is capacity to hold it.

        Messages with their full worth and clients with reservations have priority.

        Args:
            now: the current time in ns.
            destination: the destination of the message.
            request: the message.
            is_last: whether it queues after all held messages, as a retry without a reservation does.
        """
        share = self._overload_settings.capacity_share
        max_held = max(1, int(share * self._settings.max_held * self._capacity_share(request)))
        if len(destination.held) >= max_held:
            return False
        messages_ahead = len(destination.held) if is_last else destination.held.count_in_time(now)
        if is_last or not request.is_repeated:
            messages_ahead += destination.anonymous_reservations.count(now)
        remaining_outage_ns = destination.remaining_outage_ns(now, self._settings)
        wait_ns = remaining_outage_ns + destination.drain_ns(now, messages_ahead + 1, self._settings)
        return wait_ns <= DEADLINE_MARGIN * request.remaining_ns

    def _capacity_share(self, request: AdmissionRequest) -> float:
        """Return the share of the capacity that a message may use: from a half to all, by its worth.

        Reserves scarce capacity for the messages of most worth: the worth of the class, reduced once the
        message is late.
        """
        cls = request.message_class
        is_late = request.remaining_ns < cls.deadline_ns - cls.latency_objective_ns
        worth = cls.worth * (max(cls.late_worth, MIN_LATE_WORTH) if is_late else 1.0)
        return MIN_CAPACITY_SHARE + (1.0 - MIN_CAPACITY_SHARE) * min(1.0, worth / self._max_worth)
