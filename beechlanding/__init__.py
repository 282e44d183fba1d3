"""beechlanding: the decisions of a sender that delivers webhooks to many outside destinations."""

from beechlanding.choice import Sender

__all__ = ["Sender"]
