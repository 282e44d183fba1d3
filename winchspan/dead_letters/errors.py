"""Errors of the dead-letter package."""

from __future__ import annotations


class DeadLetterError(Exception):
    """Base of all errors of this package; the message is one line for operators."""


class DeadLetterStoreError(DeadLetterError):
    """The store cannot be used; the message gives the reason."""


class AuditLogError(DeadLetterError):
    """The hash chain of the audit log is broken; the message names the entry."""


class OperatorActionError(DeadLetterError):
    """An operator's request cannot be carried out; the message gives the reason."""
