"""winchspan: the decisions of a sender that delivers webhooks to many outside destinations."""

from winchspan.choice import Sender

__all__ = ["Sender"]
