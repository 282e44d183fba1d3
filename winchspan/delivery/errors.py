"""Errors that the delivery engine raises when it does not accept a message."""

from __future__ import annotations


class DeliveryError(Exception):
    """Base of all errors of this package."""


class RejectedError(DeliveryError):
    """The message is rejected for now.

    Attributes:
        retry_after_ms: when there may be capacity again, in milliseconds from now; 0 if that is not known.
        reason: an explanation for people; may be empty.
    """

    def __init__(self, retry_after_ms: float, reason: str = "") -> None:
        super().__init__(retry_after_ms, reason)
        self.retry_after_ms = retry_after_ms
        self.reason = reason


class BadRequestError(DeliveryError):
    """The message is invalid: submitting it again unchanged is of no use."""
