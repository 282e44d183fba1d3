"""Admission of accepted messages to the scheduler."""

from __future__ import annotations

from typing import Protocol

from winchspan import api
from winchspan.delivery.event_queue import EventQueue
from winchspan.delivery.messages import AcceptedMessage


class Admission(Protocol):
    """Passes accepted messages on to the scheduler."""

    @property
    def backlog_count(self) -> int:
        """Number of messages that were taken over from other couriers and are not admitted yet."""

    def admit(
        self,
        message: AcceptedMessage,
        event: api.MessageArrived | api.MessageRecovered,
        message_class: api.MessageClass | None,
        origin: str | None = None,
    ) -> None:
        """Admit a message once no other courier's message has to go first.

        Args:
            message: the message.
            event: the event that is posted to the scheduler.
            message_class: its class; None if it is unknown.
            origin: the courier that accepted it; empty: this courier before a restart; None: it is new.
        """

    def admit_taken_over(
        self,
        message: AcceptedMessage,
        event: api.MessageRecovered,
        message_class: api.MessageClass | None,
        origin: str,
    ) -> None:
        """Admit a message that was taken over from another courier, once there is capacity for it."""

    def complete(self, journal_number: int) -> None:
        """Remove a completed message from the queue."""


class DirectAdmission:
    """Admits each message at once: there are no other couriers to coordinate with."""

    def __init__(self, events: EventQueue) -> None:
        self._events = events

    @property
    def backlog_count(self) -> int:
        """Always 0."""
        return 0

    def admit(
        self,
        message: AcceptedMessage,
        event: api.MessageArrived | api.MessageRecovered,
        message_class: api.MessageClass | None,
        origin: str | None = None,
    ) -> None:
        """Admit a message at once."""
        self._events.post(event)

    def admit_taken_over(
        self,
        message: AcceptedMessage,
        event: api.MessageRecovered,
        message_class: api.MessageClass | None,
        origin: str,
    ) -> None:
        """Do nothing: without other couriers no message is taken over."""

    def complete(self, journal_number: int) -> None:
        """Do nothing: the queue is always empty."""
