"""Transmits between hosts, with delays, bandwidth, partitions and power failures.

A partitioned link loses no bytes of a connection: they arrive when the link is healed, since TCP would
retransmit them.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from typing import NamedTuple

import numpy as np

from winchspan.simulation.link import LinkId, LinkProfile
from winchspan.simulation.loop import NS_PER_MS, NS_PER_SECOND, EmulatedLoop


class _HeldDelivery(NamedTuple):
    """A delivery on a partitioned link, which is held until the link is healed."""

    link: LinkId
    deliver: Callable[[], None]


class NetworkLinks:
    """The links between all hosts.

    Attributes:
        transmitted_bytes: number of bytes sent so far, by link.
        powered_off_hosts: the hosts without power; deliveries from or to them are lost.
    """

    def __init__(
        self,
        loop: EmulatedLoop,
        default_profile: LinkProfile,
        delay_seed: np.random.SeedSequence,
        loss_seed: np.random.SeedSequence,
    ) -> None:
        """Create the links.

        Args:
            loop: the event loop in virtual time.
            default_profile: profile of each link whose profile is not set.
            delay_seed: seed of the random stream of delays.
            loss_seed: seed of the random stream of datagram faults.
        """
        self.transmitted_bytes: Counter[LinkId] = Counter()
        self.powered_off_hosts: set[str] = set()
        self._loop = loop
        self._default_profile = default_profile
        self._profiles: dict[LinkId, LinkProfile] = {}
        self._partitioned: set[LinkId] = set()
        self._held_deliveries: deque[_HeldDelivery] = deque()
        self._delay_random = np.random.default_rng(delay_seed)
        self._loss_random = np.random.default_rng(loss_seed)

    def set_profile(self, link: LinkId, profile: LinkProfile) -> None:
        """Set the profile of a link."""
        self._profiles[link] = profile

    def partition(self, link: LinkId) -> None:
        """Partition a link: nothing is delivered over it until it is healed."""
        self._partitioned.add(link)

    def heal(self, link: LinkId) -> None:
        """Heal a link, and deliver what it has held."""
        self._partitioned.discard(link)
        self._release_held_deliveries()

    def heal_all(self) -> None:
        """Heal all links, and deliver what they have held."""
        self._partitioned.clear()
        self._release_held_deliveries()

    def bytes_between(self, hosts: set[str]) -> int:
        """Return the number of bytes that some hosts have sent to each other."""
        return sum(
            size
            for link, size in self.transmitted_bytes.items()
            if link.source in hosts and link.target in hosts
        )

    def datagram_copies(self, link: LinkId) -> int:
        """Draw how many copies of a datagram to transmit: 1, 0 if it is lost, or 2 if it is duplicated."""
        profile = self._profiles.get(link, self._default_profile)
        if self._draw(profile.loss_probability) or link in self._partitioned:
            return 0
        return 2 if self._draw(profile.duplication_probability) else 1

    def transmit(
        self,
        link: LinkId,
        size_bytes: int,
        on_arrival: Callable[[], None],
        *,
        not_before_ns: int = 0,
        is_held_while_partitioned: bool = True,
    ) -> int:
        """Transmit a number of bytes over a link.

        Args:
            link: the link.
            size_bytes: number of bytes, which determines the transmission time.
            on_arrival: called at the arrival, unless either host is without power at that time.
            not_before_ns: reading of the loop's clock after which the bytes arrive, in ns.
            is_held_while_partitioned: whether a partitioned link delivers the bytes after it is healed (True)
                or loses them (False).

        Returns:
            The arrival time in ns of the loop's clock, if the link is not partitioned at that time.
        """
        self.transmitted_bytes[link] += size_bytes
        arrival_ns = self._arrival_ns(link, size_bytes, not_before_ns)

        def arrive() -> None:
            if link in self._partitioned:
                if is_held_while_partitioned:
                    self._held_deliveries.append(_HeldDelivery(link, arrive))
            elif self.powered_off_hosts.isdisjoint(link):
                on_arrival()

        self._loop.call_at(arrival_ns / NS_PER_SECOND, arrive)
        return arrival_ns

    def _arrival_ns(self, link: LinkId, size_bytes: int, not_before_ns: int) -> int:
        profile = self._profiles.get(link, self._default_profile)
        delay_ms = profile.latency_ms
        if profile.mean_jitter_ms > 0.0:
            delay_ms += float(self._delay_random.exponential(profile.mean_jitter_ms))
        # Timers that are due at the same time have no order: two arrivals of a stream need different times.
        arrival_ns = max(not_before_ns + 1, self._loop.ns + int(delay_ms * NS_PER_MS))
        if profile.bandwidth_bytes_per_second > 0.0:
            arrival_ns += int(size_bytes / profile.bandwidth_bytes_per_second * NS_PER_SECOND)
        return arrival_ns

    def _draw(self, probability: float) -> bool:
        return probability > 0.0 and float(self._loss_random.random()) < probability

    def _release_held_deliveries(self) -> None:
        held_deliveries = self._held_deliveries
        self._held_deliveries = deque()
        for delivery in held_deliveries:
            if delivery.link in self._partitioned:
                self._held_deliveries.append(delivery)
            else:
                delivery.deliver()
