"""The network of the lease model, which can also delay messages and reverse their order."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass
from functools import partial
from typing import Final, NamedTuple, TypeAlias

from winchspan.consensus.messages import Message
from winchspan.leases.messages import LeaseReleased, LeasesRenewed, ReleaseLease, RenewLeases
from winchspan.model_checking.network import Envelope, ModelNetwork, rounds_after_one

MAX_MESSAGES_PER_ROUND: Final = 400  # more count as an endless exchange


@dataclass(frozen=True, slots=True)
class Act:
    """A lease holder's write to the store."""

    epoch: int


LeaseMessage: TypeAlias = Message | RenewLeases | LeasesRenewed | ReleaseLease | LeaseReleased | Act
LeaseEnvelope: TypeAlias = Envelope[LeaseMessage]


class _DelayedEnvelope(NamedTuple):
    rounds_left: int
    envelope: LeaseEnvelope


class LeaseNetwork(ModelNetwork[LeaseMessage]):
    """Delivers messages in order unless faults drop, delay or reorder them.

    Attributes:
        delayed_links: by source and target, the remaining rounds of the delay; a message is delayed by
            the number of rounds that remain when it would be delivered.
        is_next_round_reversed: whether the next round delivers the messages in flight in reverse order.
    """

    def __init__(self) -> None:
        super().__init__(MAX_MESSAGES_PER_ROUND)
        self._delayed: list[_DelayedEnvelope] = []
        self.delayed_links: dict[tuple[str, str], int] = {}
        self.is_next_round_reversed = False

    def delay(self, source: str, target: str, rounds: int) -> None:
        """Delay the messages of one direction of a link for a number of rounds."""
        self.delayed_links[source, target] = rounds

    def is_isolated(self, node_id: str, others: list[str]) -> bool:
        """Whether the links from a node to all others are cut in both directions."""
        return all(self.is_cut(node_id, other) and self.is_cut(other, node_id) for other in others)

    def deliver_all(self, deliver: Callable[[LeaseEnvelope], None]) -> None:
        """Deliver messages like `ModelNetwork`, except those that a fault delays."""
        self._release_delayed()
        if self.is_next_round_reversed:
            self.in_flight.reverse()
            self.is_next_round_reversed = False
        super().deliver_all(partial(self._deliver_or_delay, deliver))

    def advance_round(self) -> None:
        """Advance by one round, and end the faults whose duration has passed."""
        super().advance_round()
        self.delayed_links = rounds_after_one(self.delayed_links)

    def key(self) -> Hashable:
        """Return the state as a comparable value."""
        return (
            repr(self.in_flight),
            repr(self._delayed),
            tuple(sorted(self.cut_links.items())),
            tuple(sorted(self.delayed_links.items())),
        )

    def _deliver_or_delay(self, deliver: Callable[[LeaseEnvelope], None], envelope: LeaseEnvelope) -> None:
        rounds_left = self.delayed_links.get((envelope.source, envelope.target), 0)
        if rounds_left:
            self._delayed.append(_DelayedEnvelope(rounds_left, envelope))
        else:
            deliver(envelope)

    def _release_delayed(self) -> None:
        delayed = self._delayed
        self._delayed = []
        for rounds_left, envelope in delayed:
            if rounds_left > 1:
                self._delayed.append(_DelayedEnvelope(rounds_left - 1, envelope))
            else:
                self.in_flight.append(envelope)
