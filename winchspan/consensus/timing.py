"""Timeouts of the Raft protocol."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RaftTiming:
    """Timeouts in milliseconds for a local network; every node must use the same values."""

    heartbeat_ms: float = 150.0  # a quarter of the election timeout
    election_timeout_ms: float = 600.0  # minimum; randomised up to 1.5 times this value (3.4)
    quorum_timeout_ms: float = (
        450.0  # three heartbeats; a leader without a quorum for this time steps down (6.2)
    )
    confirmation_window_ms: float = 300.0  # maximum age of the heartbeats whose replies confirm leadership
