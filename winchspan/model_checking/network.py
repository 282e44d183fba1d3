"""The network of a model: messages in flight, and links that drop them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, NamedTuple, TypeVar

from winchspan.model_checking.checker import InvariantViolationError

MessageT = TypeVar("MessageT")


class Envelope(NamedTuple, Generic[MessageT]):
    """A message in flight, with its source and target."""

    source: str
    target: str
    message: MessageT


class ReceivedMessage(NamedTuple, Generic[MessageT]):
    """A message in the receive buffer of a frozen process."""

    source: str
    message: MessageT


class ModelNetwork(Generic[MessageT]):
    """Delivers messages in the order in which they were sent.

    Attributes:
        in_flight: messages that were sent and are not delivered yet.
        cut_links: by source and target, the number of rounds for which the link still drops messages.
    """

    def __init__(self, max_messages_per_round: int) -> None:
        """Create a network without messages.

        Args:
            max_messages_per_round: upper bound; a larger number counts as an endless exchange.
        """
        self._max_messages_per_round = max_messages_per_round
        self.in_flight: list[Envelope[MessageT]] = []
        self.cut_links: dict[tuple[str, str], int] = {}

    def send(self, source: str, target: str, message: MessageT) -> None:
        """Send a message from a source to a target."""
        self.in_flight.append(Envelope(source, target, message))

    def cut(self, source: str, target: str, rounds: int) -> None:
        """Drop the messages of one direction of a link for a number of rounds."""
        self.cut_links[source, target] = rounds

    def cut_both_ways(self, one: str, other: str, rounds: int) -> None:
        """Drop the messages of both directions of a link for a number of rounds."""
        self.cut(one, other, rounds)
        self.cut(other, one, rounds)

    def is_cut(self, source: str, target: str) -> bool:
        """Whether messages from the source to the target are dropped."""
        return (source, target) in self.cut_links

    def deliver_all(self, deliver: Callable[[Envelope[MessageT]], None]) -> None:
        """Deliver messages until none is in flight, including those sent during delivery.

        Args:
            deliver: called with each message that is not dropped.

        Raises:
            InvariantViolationError: if the exchange does not end.
        """
        for _ in range(self._max_messages_per_round):
            if not self.in_flight:
                return
            envelope = self.in_flight.pop(0)
            if not self.is_cut(envelope.source, envelope.target):
                deliver(envelope)
        raise InvariantViolationError("endless exchange of messages")

    def advance_round(self) -> None:
        """Advance by one round, and restore the links whose cut has ended."""
        self.cut_links = rounds_after_one(self.cut_links)


def rounds_after_one(rounds_left: dict[tuple[str, str], int]) -> dict[tuple[str, str], int]:
    """Return the remaining rounds of link faults after one more round, without the faults that end."""
    return {link: rounds - 1 for link, rounds in rounds_left.items() if rounds > 1}
