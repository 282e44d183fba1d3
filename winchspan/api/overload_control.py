"""The port between the scheduler, intake and calls on one side and overload control on the other."""

from __future__ import annotations

from dataclasses import dataclass

from winchspan.api.events import MessageArrived
from winchspan.api.settings import MessageClass, Outcome, Settings


@dataclass(slots=True, frozen=True)
class AdmissionRequest:
    """A message that a client hands in, before it is taken on."""

    message: str
    message_class: MessageClass
    destination: int
    remaining_ns: int
    key: int | None = None
    idempotency_key: str = ""
    is_repeated: bool = False  # the client says that it was refused before
    is_resubmitted: bool = False  # the client says that a courier that had it died
    held_count: int = 0  # messages that this sender holds now


@dataclass(slots=True, frozen=True)
class Rejection:
    """A message is not taken on: when to come again, and why in words."""

    retry_after_ns: int
    reason: str


class OverloadControl:
    """What damps retry storms, between intake, decisions and calls. This one is inert: it changes nothing.

    All times are readings of the scheduler's clock in ns. The decisions notify it of what happens and ask it
    for times before which a call, or a retry, must not be sent.
    """

    def admit(self, now: int, request: AdmissionRequest) -> Rejection | None:
        """Return the rejection of a message that must not be admitted; None: it may be."""
        return None

    def reject_when_full(self, now: int, request: AdmissionRequest, default_ns: int) -> Rejection:
        """Return the rejection of a message for which there is no capacity, whatever its destination."""
        return Rejection(default_ns, "")

    def reject_held(
        self, now: int, destination: int, message: str, default_ns: int, within_ns: int | None
    ) -> Rejection | None:
        """Return the rejection of a message that was held; None: it fails instead.

        `within_ns` is the time left in which a repeat is still dropped, for one that may have run.
        """
        return Rejection(default_ns, "")

    def reconfigure(self, settings: Settings) -> None:
        """Use other settings from now on."""

    def can_continue(self, previous: OverloadControl) -> bool:
        """Return whether the previous process's control may take this one's place in an upgrade."""
        return type(self) is type(previous)

    def restarted(self, now: int, last_call_at: int) -> None:
        """The courier was restarted: its previous incarnation began its last call at a time."""

    def rate_listed(self, now: int, destination: int, rate: float) -> None:
        """The endpoint list states the calls a second that a destination takes from all; 0: not stated."""

    def message_arrived(
        self, now: int, event: MessageArrived, cls: MessageClass, attempt_count: int = 0
    ) -> None:
        """A message is held from now on; the previous incarnation made `attempt_count` attempts at it."""

    def message_closed(self, now: int, destination: int, message: str) -> None:
        """A message is no longer held."""

    def ready_at(self, now: int, destination: int) -> int:
        """Return when the next call may be sent to a destination; at or before `now`: at once."""
        return 0

    def retry_ready_at(self, now: int, destination: int) -> int:
        """Return when a retry may be sent to a destination; at or before `now`: at once."""
        return 0

    def call_sent(self, now: int, destination: int, message_count: int, retry_count: int) -> None:
        """A call is sent with so many messages, of which some are retries."""

    def call_ended(
        self, now: int, destination: int, outcome: Outcome, duration_ns: int, wait_ns: int
    ) -> None:
        """A call has ended, or is given up; once for all messages in it."""

    def call_settled(self, now: int, destination: int, retry_count: int) -> None:
        """No message of a call is in flight any longer; so many of them were retries."""
