"""Compares the rates of the members' clocks: only members whose drift is within the bound may hold leases."""

from __future__ import annotations

from loguru import logger

from winchspan.cluster.messages import NodeAnnouncement
from winchspan.leases.clock_drift import ClockDriftMonitor


class ClockChecks:
    """Tracks the members whose clocks drift too much, by own measurement and by their own reports.

    Attributes:
        drifts: drift of each clock beyond the bound, by member, as a fraction of time.
    """

    def __init__(self, own_name: str, max_drift: float) -> None:
        """Start without any clock reading.

        Args:
            own_name: this member's name.
            max_drift: greatest permitted drift, as a fraction of time.
        """
        self._own_name = own_name
        self._max_drift = max_drift
        self._monitor = ClockDriftMonitor()
        self._self_reported_drifting: set[str] = set()
        self.drifts: dict[str, float] = {}

    def record(self, now: float, member: str, announcement: NodeAnnouncement) -> None:
        """Record the clock reading of a member's announcement."""
        self._monitor.record_reading(now, member, announcement.incarnation, announcement.clock_ms)

    def record_self_report(self, member: str, *, is_clock_drifting: bool) -> None:
        """Record whether a member reports that its own clock drifts too much."""
        if is_clock_drifting:
            self._self_reported_drifting.add(member)
        else:
            self._self_reported_drifting.discard(member)

    def is_drifting(self, member: str) -> bool:
        """Return whether this member measures too much drift of a member's clock."""
        return member in self.drifts

    def may_hold_leases(self, member: str) -> bool:
        """Return whether a member may hold leases."""
        return member not in self.drifts and member not in self._self_reported_drifting

    def compare(self) -> bool:
        """Compare all readings, log changes, and return whether `is_drifting` of this member has changed."""
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
