"""winchspan: the decisions of a sender that delivers webhooks to many outside destinations."""

from winchspan.began import BEGAN as BEGAN  # first: the others cost time
from winchspan.choice import Sender

__all__ = ["Sender"]
