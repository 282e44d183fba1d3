"""Counters of replication since the start of the process."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class ReplicationCounters:
    """Counters since the start of the process.

    Attributes:
        completed_takeovers: journals of other couriers that this courier has taken over.
        messages_taken_over: open messages of these journals.
        possibly_executed: messages taken over that may have been executed before.
        own_messages_taken_over: messages of this courier that another courier has taken over.
        last_takeover_ms: duration of the last takeover.
        rejected: messages rejected because they could not be replicated.
        abandoned_attempts: attempts in flight that were cancelled without a result.
        late_deliveries: open messages completed because another courier reported their delivery.
        handed_over: messages handed over at SIGTERM.
    """

    completed_takeovers: int = 0
    messages_taken_over: int = 0
    possibly_executed: int = 0
    own_messages_taken_over: int = 0
    last_takeover_ms: int = 0
    rejected: int = 0
    abandoned_attempts: int = 0
    late_deliveries: int = 0
    handed_over: int = 0

    def metrics(self) -> dict[str, int]:
        """Return the counters by metric name."""
        return {
            "fleet.copies.taken_over": self.completed_takeovers,
            "fleet.copies.messages_taken_over": self.messages_taken_over,
            "fleet.copies.may_have_run": self.possibly_executed,
            "fleet.copies.lost_work": self.own_messages_taken_over,
            "fleet.copies.took_ms": self.last_takeover_ms,
            "fleet.copies.refused": self.rejected,
            "fleet.copies.given_up": self.abandoned_attempts,
            "fleet.copies.heard_delivered": self.late_deliveries,
            "fleet.copies.handed_over": self.handed_over,
        }
