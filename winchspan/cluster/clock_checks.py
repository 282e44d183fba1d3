"""Compares the members' clocks: leases may rest only on clocks that run as fast as stated."""

from __future__ import annotations

from loguru import logger

from winchspan.cluster.messages import NodeAnnouncement
from winchspan.leases.clock_drift import ClockDriftMonitor


class ClockChecks:
    """Which members' clocks are off, as seen here and as they say themselves."""

    def __init__(self, own_name: str, max_drift: float) -> None:
        """Start without any reading.

        Args:
            own_name: this member's.
            max_drift: the most that a clock gains or loses, as a part of time.
        """
        self._own_name = own_name
        self._max_drift = max_drift
        self._monitor = ClockDriftMonitor()
        self._self_reported_drifting: set[str] = set()
        self.drifts: dict[str, float] = {}  # of members whose clock is off, as a part of time

    def record(self, now: float, member: str, announcement: NodeAnnouncement) -> None:
        """Take a member's reading."""
        self._monitor.record_reading(now, member, announcement.incarnation, announcement.clock_ms)

    def record_self_report(self, member: str, *, is_clock_drifting: bool) -> None:
        """Take what a member says of its own clock."""
        if is_clock_drifting:
            self._self_reported_drifting.add(member)
        else:
            self._self_reported_drifting.discard(member)

    def is_drifting(self, member: str) -> bool:
        """Return whether a member's clock is off as seen here."""
        return member in self.drifts

    def may_hold_leases(self, member: str) -> bool:
        """Return whether a member may hold leases."""
        return member not in self.drifts and member not in self._self_reported_drifting

    def compare(self) -> bool:
        """Compare all readings, log what has changed, and return whether this member's own state has."""
        drifts = self._monitor.find_drifting_clocks(self._own_name, self._max_drift, self.drifts)
        for member in sorted(drifts.keys() - self.drifts.keys()):
            logger.error(
                "fleet: the clock of {} is off by {:+.2f}% against the others', stated {:.2f}%: it "
                "is assigned no role",
                member,
                100.0 * drifts[member],
                100.0 * self._max_drift,
            )
        for member in sorted(self.drifts.keys() - drifts.keys()):
            logger.info("fleet: the clock of {} is within its bound again", member)
        has_changed = (self._own_name in drifts) != (self._own_name in self.drifts)
        self.drifts = drifts
        return has_changed
