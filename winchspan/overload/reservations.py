"""Reservations of retry slots for rejected clients; the tables are bounded and drop the oldest first."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, TypeVar

_Key = TypeVar("_Key")
_Value = TypeVar("_Value")


class ReservationStatus(Enum):
    """Status of the reservation of a client that retries."""

    NONE = "none"  # no valid reservation
    EARLY = "early"
    DUE = "due"


@dataclass(slots=True)
class Reservation:
    """The reservation of a rejected client; times in ns.

    Attributes:
        arrive_at: when the client was asked to retry.
        slot_at: when its slot is free; later than `arrive_at` if the wait was capped.
        came_early: whether it retried too early, and has lost its priority.
    """

    arrive_at: int
    slot_at: int
    came_early: bool = False


class KeyBlock(NamedTuple):
    """Blocks later messages of an ordering key until an earlier one with a reservation is admitted.

    Attributes:
        token: the idempotency key of the earlier message.
        until: the end of the block, in ns.
    """

    token: str
    until: int


class ReservationTable:
    """The reservations of all destinations by idempotency key, and the ordering keys that they block."""

    def __init__(self, max_entries: int, grace_period_ns: int, early_tolerance_ns: int) -> None:
        """Create an empty table.

        Args:
            max_entries: bound of the reservations, and of the blocked ordering keys.
            grace_period_ns: how long a reservation stays valid after its time.
            early_tolerance_ns: how much too early a client may retry.
        """
        self._max_entries = max_entries
        self._grace_period_ns = grace_period_ns
        self._early_tolerance_ns = early_tolerance_ns
        self._by_token: OrderedDict[tuple[int, str], Reservation] = OrderedDict()
        self._key_blocks: OrderedDict[int, KeyBlock] = OrderedDict()

    def __len__(self) -> int:
        return len(self._by_token) + len(self._key_blocks)

    def reserve(self, destination: int, token: str, key: int | None, arrive_at: int, slot_at: int) -> None:
        """Store the reservation of a rejected client, and block its ordering key.

        Args:
            destination: the number of the destination.
            token: the idempotency key of the message; empty: none, and no reservation is stored here.
            key: the ordering key; None: none.
            arrive_at: when the client was asked to retry, in ns.
            slot_at: when its slot is free, in ns.
        """
        if token:
            previous = self._by_token.get((destination, token))
            came_early = previous is not None and previous.came_early
            self._put(self._by_token, (destination, token), Reservation(arrive_at, slot_at, came_early))
        if key is not None and (key not in self._key_blocks or self._key_blocks[key].token == token):
            self._put(self._key_blocks, key, KeyBlock(token, arrive_at + self._grace_period_ns))

    def _put(self, table: OrderedDict[_Key, _Value], key: _Key, value: _Value) -> None:
        table[key] = value
        table.move_to_end(key)
        while len(table) > self._max_entries:
            table.popitem(last=False)

    def find(self, destination: int, token: str) -> Reservation | None:
        """Return the reservation of a client, valid or not; None: none."""
        return self._by_token.get((destination, token)) if token else None

    def status(self, now: int, destination: int, token: str) -> ReservationStatus:
        """Return the status of the reservation of a client that retries now."""
        reservation = self.find(destination, token)
        if reservation is None:
            return ReservationStatus.NONE
        if now > reservation.arrive_at + max(
            self._grace_period_ns, reservation.slot_at - reservation.arrive_at
        ):
            return ReservationStatus.NONE
        if now < reservation.arrive_at - self._early_tolerance_ns:
            return ReservationStatus.EARLY
        return ReservationStatus.NONE if reservation.came_early else ReservationStatus.DUE

    def mark_early(self, destination: int, token: str) -> None:
        """Record that a client retried too early: it keeps its time and loses its priority."""
        if reservation := self.find(destination, token):
            reservation.came_early = True

    def release(self, destination: int, token: str, key: int | None) -> None:
        """Remove the reservation of an admitted message, and the block of its ordering key."""
        if token:
            self._by_token.pop((destination, token), None)
        if key is not None and key in self._key_blocks and self._key_blocks[key].token == token:
            del self._key_blocks[key]

    def key_blocked_until(self, now: int, key: int | None, token: str) -> int:
        """Return the time until which the ordering key blocks a message; 0: not blocked.

        Guards against admitting a later message of the key before an earlier one that was rejected and has a
        reservation.
        """
        if key is None or key not in self._key_blocks:
            return 0
        block = self._key_blocks[key]
        if block.until <= now:
            del self._key_blocks[key]
            return 0
        return 0 if block.token == token else block.until


class AnonymousReservations:
    """Reservations of clients without an idempotency key: a sorted queue of times."""

    def __init__(self, max_entries: int, grace_period_ns: int, early_tolerance_ns: int) -> None:
        """Create an empty queue; the arguments are those of `ReservationTable`."""
        self._arrival_times: deque[int] = deque(maxlen=max_entries)
        self._grace_period_ns = grace_period_ns
        self._early_tolerance_ns = early_tolerance_ns

    def reserve(self, arrive_at: int) -> None:
        """Record the time at which a client was asked to retry."""
        times = self._arrival_times
        if not times or arrive_at >= times[-1]:
            times.append(arrive_at)
            return
        index = len(times)
        while index and times[index - 1] > arrive_at:
            index -= 1
        if len(times) == times.maxlen:
            times.popleft()
            index -= 1
        times.insert(max(0, index), arrive_at)

    def claim(self, now: int) -> ReservationStatus:
        """Assign the earliest reservation to a client that retries, if it is due; return its status."""
        self._expire(now)
        if not self._arrival_times:
            return ReservationStatus.NONE
        if self._arrival_times[0] <= now + self._early_tolerance_ns:
            self._arrival_times.popleft()
            return ReservationStatus.DUE
        return ReservationStatus.EARLY

    def count(self, now: int) -> int:
        """Return the number of valid reservations."""
        self._expire(now)
        return len(self._arrival_times)

    def _expire(self, now: int) -> None:
        while self._arrival_times and self._arrival_times[0] < now - self._grace_period_ns:
            self._arrival_times.popleft()
