"""Claims: locks on the ordering keys and idempotency tokens of a silent courier's messages.

While a courier is silent, other couriers do not know the keys of its open messages. A node that holds a
replica of its journal therefore announces a *claim* for each open message to all nodes: the message's id and
its lock keys. A message with one of these lock keys that another courier accepts meanwhile waits, in the
order of acceptance, until the claimed message is completed. The next owner of the journal (the successor, or
the restarted courier) claims again under its own, later epoch, and announces each completion with the time of
the first attempt that may have been executed. A message that waited is then dispatched only as its class
allows a repeated execution.

Bounds: a claim expires with its message's deadline, a table holds `MAX_CLAIMS` claims, and a waiting message
keeps its own deadline.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Final, NamedTuple

MAX_CLAIMS: Final = 20_000  # far more than the open messages of a cluster; further claims are dropped
MAX_REMEMBERED_ATTEMPTS: Final = 4_096  # tokens with a stored first attempt; the oldest is evicted
EXECUTION_RETENTION_MS: Final = 60_000.0  # six times the longest idempotency window of a partner
ORDERING_KEY_PREFIX: Final = b"k"  # first byte of a lock key for per-key ordering
TOKEN_PREFIX: Final = b"t"  # first byte of a lock key for an idempotency token
# After the deadline of a claimed message: its notification is sent by then (PROTOCOL, the rules).
EXPIRY_MARGIN_MS: Final = 300.0
# Prefix of a courier's name for claims on its own messages of a claimed token. It sorts before all names, so
# that these messages go before those that were taken over.
PRIORITY_PREFIX: Final = "!"
TAKEOVER_SEPARATOR: Final = (
    "@"  # between owner and epoch in the name of taken-over claims; in no owner's name
)
MAX_REMAINING_MS: Final = 1e9  # limit of the time to the deadline that another courier reports


def taken_over_name(owner: str, epoch: int) -> str:
    """Return the name for claims on messages that were taken over from an owner under an epoch."""
    return f"{owner}{TAKEOVER_SEPARATOR}{epoch}"


def claimed_owner(name: str) -> str:
    """Return the courier that first owned the messages that are claimed under a name."""
    return name.partition(TAKEOVER_SEPARATOR)[0]


def lock_keys_of(class_name: str, ordering_key: int | None, token: str) -> tuple[bytes, ...]:
    """Return the lock keys of a message: messages that share one must not be reordered or duplicated.

    Args:
        class_name: name of the message's class in the settings.
        ordering_key: the message's ordering key if its class is ordered, else None.
        token: the message's idempotency token if its class is not idempotent, else empty.
    """
    lock_keys = []
    if ordering_key is not None:
        lock_keys.append(ORDERING_KEY_PREFIX + ordering_key.to_bytes(8, "little", signed=True))
    if token:
        digest = blake2b(f"{class_name}\n{token}".encode(), digest_size=8).digest()
        lock_keys.append(TOKEN_PREFIX + digest)
    return tuple(lock_keys)


@dataclass(frozen=True, slots=True)
class Claim:
    """An open message of a journal; `remaining_ms` is the time to its deadline when the claim was sent."""

    message_id: str
    lock_keys: tuple[bytes, ...]
    remaining_ms: float


@dataclass(frozen=True, slots=True)
class EarlierAttempt:
    """Age in ms and zone of the first attempt that may have executed a message."""

    age_ms: float
    zone: str = ""


class _ClaimedMessage(NamedTuple):
    lock_keys: tuple[bytes, ...]
    expires_at_ms: float


class _AttemptRecord(NamedTuple):
    at_ms: float
    zone: str


@dataclass(slots=True)
class _JournalClaims:
    """Claims of one journal's messages under an epoch."""

    epoch: int
    messages: dict[str, _ClaimedMessage] = field(default_factory=dict)  # by id


@dataclass(slots=True)
class _Waiter:
    """A message of this courier that waits for the end of a claim."""

    number: int
    lock_keys: tuple[bytes, ...]
    taken_over_from: str  # owner of the journal that it was taken over with; empty if it was not taken over


class ClaimTable:
    """All claims known to one courier, and its own messages that wait for them."""

    def __init__(self) -> None:
        self._journals: dict[str, _JournalClaims] = {}  # by owner
        self._owners_by_lock_key: dict[bytes, Counter[str]] = {}  # counts claims by owner
        self._first_attempts: dict[bytes, _AttemptRecord] = {}  # by lock key of a token
        self._waiters: dict[int, _Waiter] = {}  # in the order of acceptance

    def __len__(self) -> int:
        return sum(len(journal.messages) for journal in self._journals.values())

    @property
    def waiting_count(self) -> int:
        """Number of this courier's waiting messages."""
        return len(self._waiters)

    # ---- claims ------------------------------------------------------------------------------------------
    def add_claims(self, now: float, owner: str, epoch: int, claims: Iterable[Claim]) -> None:
        """Add claims of a journal's messages; claims of a later epoch replace those of earlier epochs.

        A claim under the name of a takeover replaces all others of the same message.
        """
        journal = self._journals.get(owner)
        if journal is not None and epoch < journal.epoch:
            return
        if journal is not None and epoch > journal.epoch:
            self._remove_journal(owner)
        journal = self._journals.setdefault(owner, _JournalClaims(epoch))
        capacity = MAX_CLAIMS - len(self)
        for claim in claims:
            if TAKEOVER_SEPARATOR in owner:
                self._remove_message(claim.message_id)
            self._remove_claim(owner, claim.message_id)
            if capacity <= 0:
                break
            capacity -= 1
            remaining_ms = max(0.0, min(claim.remaining_ms, MAX_REMAINING_MS))
            expires_at_ms = now + remaining_ms + EXPIRY_MARGIN_MS
            journal.messages[claim.message_id] = _ClaimedMessage(claim.lock_keys, expires_at_ms)
            for lock_key in claim.lock_keys:
                self._owners_by_lock_key.setdefault(lock_key, Counter())[owner] += 1
        if not journal.messages:
            del self._journals[owner]

    def complete(
        self, now: float, owner: str, epoch: int, message_id: str, attempt: EarlierAttempt | None
    ) -> None:
        """Remove the claim of a completed message, and record the attempt that may have executed it.

        A message may have been taken over more than once, so that all claims of it end. A claim with priority
        ends alone: a courier of an earlier version announces the end of those that it discards after a
        takeover.
        """
        journal = self._journals.get(owner)
        if journal is not None and epoch < journal.epoch:
            return
        for other in [owner] if owner.startswith(PRIORITY_PREFIX) else list(self._journals):
            if other not in self._journals:
                continue
            for lock_key in self._remove_claim(other, message_id):
                if attempt is not None:
                    self.record_attempt(now, lock_key, attempt)
            if not self._journals[other].messages:
                del self._journals[other]

    def record_attempt(self, now: float, lock_key: bytes, attempt: EarlierAttempt) -> None:
        """Record an attempt that may have executed a message with a token; other lock keys are ignored."""
        if lock_key[:1] != TOKEN_PREFIX:
            return
        found = _AttemptRecord(now - max(0.0, attempt.age_ms), attempt.zone)
        self._first_attempts[lock_key] = min(self._first_attempts.get(lock_key, found), found)
        while len(self._first_attempts) > MAX_REMEMBERED_ATTEMPTS:
            del self._first_attempts[next(iter(self._first_attempts))]

    def release(self, owner: str, epoch: int) -> None:
        """Remove the claims made by others for a journal whose owner is alive under the same epoch."""
        journal = self._journals.get(owner)
        if journal is not None and journal.epoch <= epoch:
            self._remove_journal(owner)

    def expire(self, now: float) -> None:
        """Remove expired claims and attempts."""
        for owner, journal in list(self._journals.items()):
            expired = [id_ for id_, message in journal.messages.items() if message.expires_at_ms <= now]
            for message_id in expired:
                self._remove_claim(owner, message_id)
            if not journal.messages:
                del self._journals[owner]
        oldest_ms = now - EXECUTION_RETENTION_MS
        self._first_attempts = {
            lock_key: attempt
            for lock_key, attempt in self._first_attempts.items()
            if attempt.at_ms > oldest_ms
        }

    def _remove_message(self, message_id: str) -> None:
        """Remove all claims of a message."""
        for owner in self._journals:
            self._remove_claim(owner, message_id)

    def _remove_claim(self, owner: str, message_id: str) -> tuple[bytes, ...]:
        """Remove a claim if it exists, and return its lock keys."""
        message = self._journals[owner].messages.pop(message_id, None)
        if message is None:
            return ()
        for lock_key in message.lock_keys:
            owners = self._owners_by_lock_key[lock_key]
            owners[owner] -= 1
            if not owners[owner]:
                del owners[owner]
            if not owners:
                del self._owners_by_lock_key[lock_key]
        return message.lock_keys

    def _remove_journal(self, owner: str) -> None:
        for message_id in list(self._journals[owner].messages):
            self._remove_claim(owner, message_id)
        del self._journals[owner]

    # ---- this courier's messages -------------------------------------------------------------------------
    def wait_if_claimed(self, number: int, lock_keys: tuple[bytes, ...], taken_over_from: str = "") -> bool:
        """Queue a message that shares a lock key with a claim or with a queued message.

        Args:
            number: number of the message, which increases with each message.
            lock_keys: lock keys of the message, from `lock_keys_of`.
            taken_over_from: owner of the journal that the message was taken over with. Of two journals that
                claim the same lock key, the owner whose name sorts first goes first, which avoids a deadlock.

        Returns:
            Whether the message has to wait; `pop_unblocked` returns it once it is not blocked any more.
        """
        if not lock_keys:
            return False
        is_behind_waiter = any(
            set(lock_keys) & set(waiter.lock_keys)
            for waiter in self._waiters.values()
            if waiter.taken_over_from or not taken_over_from
        )
        if not (is_behind_waiter or self._is_claimed(lock_keys, taken_over_from)):
            return False
        self._waiters[number] = _Waiter(number, lock_keys, taken_over_from)
        return True

    def pop_unblocked(self) -> list[int]:
        """Remove and return the messages that are not blocked any more, in the order of acceptance."""
        unblocked = []
        blocked_by_taken_over: set[bytes] = set()
        blocked_by_own: set[bytes] = set()
        for waiter in self._waiters.values():
            own_keys = set(waiter.lock_keys)
            # A message that was taken over was accepted first: this courier's own messages do not block it.
            blocked = (
                blocked_by_taken_over if waiter.taken_over_from else blocked_by_taken_over | blocked_by_own
            )
            if not blocked & own_keys and not self._is_claimed(waiter.lock_keys, waiter.taken_over_from):
                unblocked.append(waiter.number)
            elif waiter.taken_over_from:
                blocked_by_taken_over |= own_keys
            else:
                blocked_by_own |= own_keys
        for number in unblocked:
            del self._waiters[number]
        return unblocked

    def cancel(self, number: int) -> None:
        """Remove a waiting message, since it is complete."""
        self._waiters.pop(number, None)

    def earlier_attempt(self, now: float, lock_keys: tuple[bytes, ...]) -> EarlierAttempt | None:
        """Return the first attempt that may have executed a message with the same token; None if unknown."""
        attempts = [
            self._first_attempts[lock_key] for lock_key in lock_keys if lock_key in self._first_attempts
        ]
        if not attempts:
            return None
        first = min(attempts)
        return EarlierAttempt(now - first.at_ms, first.zone)

    def _is_claimed(self, lock_keys: tuple[bytes, ...], taken_over_from: str) -> bool:
        return any(
            not taken_over_from or owner < taken_over_from
            for lock_key in lock_keys
            for owner in self._owners_by_lock_key.get(lock_key, ())
        )
