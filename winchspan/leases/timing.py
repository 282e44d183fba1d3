"""Durations of leases."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Lease durations in milliseconds and the tolerated clock drift; every node must use the same values."""

    lease_ms: float = 750.0  # allows three renewal attempts at intervals of 225 ms, with some margin
    max_clock_drift: float = 0.01  # of any clock against true time, as a ratio; 100 times that of a quartz
    election_timeout_ms: float = 600.0  # minimum of Raft; the lease allows for twice its maximum
    confirmation_window_ms: float = 300.0  # maximum age of the heartbeats whose replies confirm a renewal
    settle_ms: float = 3_000.0  # time without a change of live nodes before roles of live holders move

    @property
    def holder_validity_ms(self) -> float:
        """Validity of a lease for its holder, starting at the renewal request."""
        return self.lease_ms * (1.0 - self.max_clock_drift) / (1.0 + self.max_clock_drift)

    @property
    def post_election_wait_ms(self) -> float:
        """Time for which a new leader waits for leases that its predecessor may have renewed."""
        drift_ms = self.max_clock_drift * (self.election_timeout_ms + self.confirmation_window_ms)
        min_gap_ms = self.election_timeout_ms - self.confirmation_window_ms - drift_ms
        return (self.lease_ms - min_gap_ms) * (1.0 + self.max_clock_drift)
