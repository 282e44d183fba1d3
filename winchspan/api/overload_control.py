"""The interface between overload control and the scheduler, the intake and the calls."""

from __future__ import annotations

from dataclasses import dataclass

from winchspan.api.events import MessageArrived
from winchspan.api.settings import MessageClass, Outcome, Settings


@dataclass(slots=True, frozen=True)
class AdmissionRequest:
    """A message that a client submits, before it is accepted."""

    message: str
    message_class: MessageClass
    destination: int
    remaining_ns: int
    key: int | None = None
    idempotency_key: str = ""
    is_repeated: bool = False  # the client marks it as rejected before
    is_resubmitted: bool = False  # the client marks that the courier which held it crashed
    held_count: int = 0  # number of messages that this sender holds


@dataclass(slots=True, frozen=True)
class Rejection:
    """The rejection of a message: when the client may retry, and the reason as text."""

    retry_after_ns: int
    reason: str


class OverloadControl:
    """Limits retry storms. This base class admits every message and delays no call.

    All times are readings of the scheduler's clock in ns. The scheduler notifies overload control of events,
    and queries the time before which a call, or a retry, must not be sent.
    """

    def admit(self, now: int, request: AdmissionRequest) -> Rejection | None:
        """Return the rejection of a message that must not be admitted; None: it is admitted."""
        return None

    def reject_when_full(self, now: int, request: AdmissionRequest, default_ns: int) -> Rejection:
        """Return the rejection of a message for which the courier has no capacity, for any destination."""
        return Rejection(default_ns, "")

    def reject_held(
        self, now: int, destination: int, message: str, default_ns: int, within_ns: int | None
    ) -> Rejection | None:
        """Return the rejection of a held message; None: the message fails instead.

        `within_ns` is the remaining deduplication window of a message that may have been executed.
        """
        return Rejection(default_ns, "")

    def reconfigure(self, settings: Settings) -> None:
        """Apply other settings from now on."""

    def can_continue(self, previous: OverloadControl) -> bool:
        """Return whether this control may be replaced by that of the previous process in an upgrade."""
        return type(self) is type(previous)

    def restarted(self, now: int, last_call_at: int) -> None:
        """Record a restart of the courier; its previous incarnation began its last call at `last_call_at`."""

    def rate_listed(self, now: int, destination: int, rate: float) -> None:
        """Record the listed rate of a destination in calls a second, for all senders; 0: not stated."""

    def message_arrived(
        self, now: int, event: MessageArrived, cls: MessageClass, attempt_count: int = 0
    ) -> None:
        """Record a message that is held from now on, with its attempts by the previous incarnation."""

    def message_closed(self, now: int, destination: int, message: str) -> None:
        """Record that a message is no longer held."""

    def ready_at(self, now: int, destination: int) -> int:
        """Return when the next call may be sent to a destination; at or before `now`: at once."""
        return 0

    def retry_ready_at(self, now: int, destination: int) -> int:
        """Return when a retry may be sent to a destination; at or before `now`: at once."""
        return 0

    def call_sent(self, now: int, destination: int, message_count: int, retry_count: int) -> None:
        """Record that a call is sent; `retry_count` of its `message_count` messages are retries."""

    def call_ended(
        self, now: int, destination: int, outcome: Outcome, duration_ns: int, wait_ns: int
    ) -> None:
        """Record that a call has ended or was abandoned; once for all of its messages."""

    def call_settled(self, now: int, destination: int, retry_count: int) -> None:
        """Record that no message of a call is in flight any longer; `retry_count` of them were retries."""
