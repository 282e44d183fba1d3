"""An event queue in virtual time, and the faults of a simulated network.

This is the base of the simulated clusters. The same seed gives the same run.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import count


@dataclass(frozen=True, slots=True)
class NetworkFaults:
    """The faults of a network."""

    loss: float = 0.0  # share of messages that are lost
    delay_ms: float = 2.0  # mean of the exponential delay
    duplicated: float = 0.0  # share of messages that arrive twice


class VirtualTimeWorld:
    """A discrete-event simulation with a random number generator, network faults and cut links.

    Attributes:
        now: virtual time, in ms.
        rng: source of all random numbers.
        network: faults of every link.
        cut_links: pairs of source and target whose link passes nothing.
    """

    def __init__(self, seed: int, network: NetworkFaults) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.network = network
        self.cut_links: set[tuple[str, str]] = set()
        self._event_numbers = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def call_later(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay; actions at the same time run in the order of scheduling."""
        heappush(self._events, (self.now + delay_ms, next(self._event_numbers), action))

    def run(self, duration_ms: float) -> None:
        """Run all events within a duration."""
        end = self.now + duration_ms
        while self._events and self._events[0][0] <= end:
            self._run_next_event()
        self.now = end

    def run_until(self, condition: Callable[[], bool], timeout_ms: float) -> float:
        """Run events until a condition holds.

        Returns:
            The elapsed virtual time, in ms.

        Raises:
            AssertionError: the condition does not hold within `timeout_ms`, or no events are left.
        """
        started_at = self.now
        while not condition():
            if not self._events or self.now - started_at > timeout_ms:
                raise AssertionError(f"not within {timeout_ms:.0f} ms")
            self._run_next_event()
        return self.now - started_at

    def draw_delay_ms(self) -> float:
        """Draw the delay of a message."""
        return self.rng.expovariate(1.0 / self.network.delay_ms)

    def draw_copy_count(self) -> int:
        """Draw the number of copies in which a message arrives, if it is not lost."""
        return 2 if self.rng.random() < self.network.duplicated else 1

    def _run_next_event(self) -> None:
        self.now, _, action = heappop(self._events)
        action()
