"""Sends and receives claims, and delays this courier's messages while a claim blocks them.

A claim announces an open message of some courier's journal. Messages of other couriers with the same ordering
key or idempotency token wait until the claimed message is completed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from winchspan import api
from winchspan.cluster.consensus_service import ConsensusService
from winchspan.cluster.messages import (
    ClaimCompleted,
    ClaimRow,
    ClaimsAnnounced,
    ClaimsReleased,
    PossiblyExecuted,
)
from winchspan.cluster.node import ClusterNode, DeliveryResources
from winchspan.replication.claims import (
    PRIORITY_PREFIX,
    TOKEN_PREFIX,
    Claim,
    ClaimTable,
    EarlierAttempt,
    claimed_owner,
    lock_keys_of,
    taken_over_name,
)
from winchspan.replication.replica_set import ReplicaSet
from winchspan.replication.replica_store import ReplicaStore
from winchspan.storage.accepted_class import ClassTables, accepted_class
from winchspan.storage.journal_records import JournalEntry

MAX_CLAIMS_PER_FRAME: Final = 256
PRIORITY_EPOCH: Final = 1  # of all claims with priority
# Limit of the tokens for which this courier stores an attempt that may have executed its message. The oldest
# token is evicted first.
MAX_TRACKED_TOKENS: Final = 1_024
LOCK_KEY_BYTES: Final = 9  # length of a lock key, see `lock_keys_of`
MAX_LOCK_KEYS_PER_CLAIM: Final = 2  # one for the ordering key, one for the token
MAX_TEXT_LENGTH: Final = 64  # characters of a message id or zone received from another member

ClaimMessage = ClaimsAnnounced | ClaimCompleted | ClaimsReleased | PossiblyExecuted
ReleaseCallback = Callable[[tuple[float, str] | None], None]


class ClaimedJournal(NamedTuple):
    """Owner of the journal whose messages are claimed, and the epoch of the claims."""

    owner: str
    epoch: int


class FirstAttempt(NamedTuple):
    """Start of the first attempt that may have executed a message, by the persistent clock, and its zone."""

    started_unix_ms: float
    zone: str


class WaitingMessage(NamedTuple):
    """A message of this courier that waits for the end of a claim."""

    lock_keys: tuple[bytes, ...]
    release: ReleaseCallback


class _ClaimedLog(NamedTuple):
    """Entries of a journal or of a replica, and the class tables that they refer to."""

    entries: list[JournalEntry]
    class_tables: ClassTables


class ClaimService:
    """Announces this courier's claims, and queues its messages that are blocked by claims of others."""

    def __init__(
        self,
        node: ClusterNode,
        delivery: DeliveryResources,
        consensus: ConsensusService,
        store: ReplicaStore,
        replicas: ReplicaSet,
    ) -> None:
        """Subscribe to messages about claims.

        Args:
            node: this process.
            delivery: this courier's journal and message classes.
            consensus: provides the live members and the message bus.
            store: replicas on this courier's disk.
            replicas: epoch and last index of each replica.
        """
        self._node = node
        self._delivery = delivery
        self._consensus = consensus
        self._bus = consensus.bus
        self._store = store
        self._replicas = replicas
        self._claims = ClaimTable()
        self._waiting: dict[int, WaitingMessage] = {}
        self._silent_owner_epochs: dict[str, int] = {}  # by silent owner, the epoch of the claims made for it
        self._claimed_entries: dict[int, ClaimedJournal] = {}  # by number of a claimed entry of this journal
        self._attempts_by_token: dict[bytes, FirstAttempt] = {}
        self._bus.subscribe(ClaimsAnnounced, self._on_claims_announced)
        self._bus.subscribe(ClaimCompleted, self._on_claim_completed)
        self._bus.subscribe(ClaimsReleased, self._on_claims_released)
        self._bus.subscribe(PossiblyExecuted, self._on_possibly_executed)

    def metrics(self) -> dict[str, int]:
        """Return the number of known claims, and of this courier's messages that wait for one."""
        return {"fleet.copies.claims": len(self._claims), "fleet.copies.waiting": self._claims.waiting_count}

    def run_due(self, now: float) -> None:
        """Claim the messages of silent couriers, expire claims, and release messages that they blocked."""
        self._claim_for_silent_owners()
        self._claims.expire(now)
        self._release_waiting()

    def clear(self) -> None:
        """Drop the claims on this courier's journal, which another courier has taken over.

        They end without a completion: that would end the other courier's claims on the same messages, too.
        """
        own_priority = ClaimedJournal(PRIORITY_PREFIX + self._node.name, PRIORITY_EPOCH)
        has_priority_claims = own_priority in self._claimed_entries.values()
        self._claimed_entries.clear()
        if has_priority_claims:
            self._broadcast(ClaimsReleased(own_priority.owner, own_priority.epoch))

    # ---- this courier's messages -------------------------------------------------------------------------
    def release_when_unclaimed(
        self, number: int, lock_keys: tuple[bytes, ...], origin: str | None, on_released: ReleaseCallback
    ) -> None:
        """Release a message as soon as no claim on its lock keys is open, possibly before returning.

        Args:
            number: number of the message's journal entry.
            lock_keys: lock keys of its ordering key and idempotency token.
            origin: courier that the message was taken over from; empty for a message that this courier
                accepted before its restart; None for a new message.
            on_released: called on release with the age in ms and the zone of an earlier attempt that may have
                executed a message of the same token; None if no such attempt is known.
        """
        taken_over_from = self._node.name if origin == "" else origin or ""
        if self._claims.wait_if_claimed(number, lock_keys, taken_over_from):
            self._waiting[number] = WaitingMessage(lock_keys, on_released)
        else:
            on_released(self._earlier_attempt_of(lock_keys))

    def cancel(self, number: int) -> None:
        """Remove a waiting message, since it is complete."""
        self._claims.cancel(number)
        self._waiting.pop(number, None)

    def _earlier_attempt_of(self, lock_keys: tuple[bytes, ...]) -> tuple[float, str] | None:
        attempt = self._claims.earlier_attempt(self._node.now_ms(), lock_keys)
        return None if attempt is None else (attempt.age_ms, attempt.zone)

    def _release_waiting(self) -> None:
        for number in self._claims.pop_unblocked():
            waiting = self._waiting.pop(number, None)
            if waiting is not None:
                waiting.release(self._earlier_attempt_of(waiting.lock_keys))

    # ---- received messages -------------------------------------------------------------------------------
    def _on_claims_announced(self, sender: str, message: ClaimsAnnounced) -> None:
        # A claim is valid whichever member sends it.
        claims = [
            Claim(row.message_id, tuple(row.lock_keys[:MAX_LOCK_KEYS_PER_CLAIM]), row.remaining_ms)
            for row in message.claims
            if _is_within_bounds(row)
        ]
        self._claims.add_claims(self._node.now_ms(), message.owner, message.epoch, claims)
        if not message.owner.startswith(PRIORITY_PREFIX) and claimed_owner(message.owner) != self._node.name:
            self._claim_own_tokens(
                {lock_key for claim in claims for lock_key in claim.lock_keys if lock_key[:1] == TOKEN_PREFIX}
            )
        if sender == message.owner:
            self._renew_taken_over(message.owner)

    def _on_possibly_executed(self, sender: str, message: PossiblyExecuted) -> None:
        del sender
        if len(message.lock_key) == LOCK_KEY_BYTES:
            attempt = EarlierAttempt(message.age_ms, message.zone[:MAX_TEXT_LENGTH])
            self._claims.record_attempt(self._node.now_ms(), message.lock_key, attempt)

    def _on_claim_completed(self, sender: str, message: ClaimCompleted) -> None:
        del sender
        attempt = None
        if message.executed_ago_ms >= 0.0:
            attempt = EarlierAttempt(message.executed_ago_ms, message.zone[:MAX_TEXT_LENGTH])
        self._claims.complete(self._node.now_ms(), message.owner, message.epoch, message.message_id, attempt)
        self._release_waiting()

    def _on_claims_released(self, sender: str, message: ClaimsReleased) -> None:
        del sender
        self._claims.release(message.owner, message.epoch)
        self._release_waiting()

    def _broadcast(self, message: ClaimMessage) -> None:
        """Send a message to all other members, and process it locally."""
        self._bus.broadcast(message)
        own = self._node.name
        match message:
            case ClaimsAnnounced():
                self._on_claims_announced(own, message)
            case ClaimCompleted():
                self._on_claim_completed(own, message)
            case ClaimsReleased():
                self._on_claims_released(own, message)
            case PossiblyExecuted():
                self._on_possibly_executed(own, message)

    def _claim_own_tokens(self, tokens: set[bytes]) -> None:
        """Claim this courier's own messages of the tokens, so that they go before those that are taken over.

        A client may submit a message here before any member notices that the message's first courier is
        silent. This message may be in flight or executed already. The one that is taken over must not run at
        the same time, nor after the idempotency window of this one.
        """
        for lock_key in tokens & self._attempts_by_token.keys():
            attempt = self._attempts_by_token[lock_key]
            age_ms = max(0.0, self._node.clock.persistent_unix_ms() - attempt.started_unix_ms)
            self._broadcast(PossiblyExecuted(lock_key, age_ms, attempt.zone))
        entries = [
            entry
            for entry in self._delivery.journal.open_messages
            if entry.number not in self._waiting
            and entry.number not in self._claimed_entries
            and entry.origin is None
            and tokens & set(self._lock_keys_of(entry, self._delivery.journal.class_tables))
        ]
        if entries:
            self._claim_entries(ClaimedJournal(PRIORITY_PREFIX + self._node.name, PRIORITY_EPOCH), entries)

    # ---- outgoing claims ---------------------------------------------------------------------------------
    def claim(self, owner: str, epoch: int, entries: Iterable[JournalEntry]) -> None:
        """Announce claims on entries of this courier's journal to all members, under an owner's name."""
        self._silent_owner_epochs.pop(owner, None)
        self._claim_entries(ClaimedJournal(owner, epoch), list(entries))

    def claim_taken_over(self, owner: str, epoch: int, entries: Iterable[JournalEntry]) -> None:
        """Announce claims on entries that this courier has taken over.

        They have a name of their own, with the epoch of the takeover. A later epoch of the owner cancels only
        what was claimed for the owner's own journal: the owner no longer knows of the entries taken over.

        Args:
            owner: the courier that the entries were taken over from.
            epoch: epoch of the takeover.
            entries: the entries in this courier's journal.
        """
        self._silent_owner_epochs.pop(owner, None)
        self._claim_entries(ClaimedJournal(taken_over_name(owner, epoch), epoch), list(entries))
        self._broadcast(ClaimsReleased(owner, epoch))

    def _renew_taken_over(self, owner: str) -> None:
        """Announce the claims on what was taken over from an owner again, since the owner is back.

        An owner of an earlier version has ended them by then, at itself and at the members of that version.
        """
        journals = {
            journal
            for journal in self._claimed_entries.values()
            if journal.owner != owner and claimed_owner(journal.owner) == owner
        }
        for journal in journals:
            numbers = [number for number, claimed in self._claimed_entries.items() if claimed == journal]
            entries = [entry for number in numbers if (entry := self._delivery.journal.get(number))]
            self._claim_entries(journal, entries)

    def _claim_entries(self, journal: ClaimedJournal, entries: list[JournalEntry]) -> None:
        self._claimed_entries |= {entry.number: journal for entry in entries}
        log = _ClaimedLog(entries, self._delivery.journal.class_tables)
        for message in self._build_announcements(journal, log, is_empty_announced=True):
            self._broadcast(message)

    def _replica_of(self, owner: str) -> _ClaimedLog:
        """Return what this courier's replica of an owner's journal has."""
        return _ClaimedLog(self._store.open_messages(owner), self._store.class_tables(owner))

    def _build_announcements(
        self, journal: ClaimedJournal, log: _ClaimedLog, *, is_empty_announced: bool = False
    ) -> list[ClaimsAnnounced]:
        """Return the claims on entries, divided into messages of at most `MAX_CLAIMS_PER_FRAME` claims."""
        rows = self._claim_rows(log)
        count = max(1, len(rows)) if is_empty_announced else len(rows)
        return [
            ClaimsAnnounced(journal.owner, journal.epoch, rows[start : start + MAX_CLAIMS_PER_FRAME])
            for start in range(0, count, MAX_CLAIMS_PER_FRAME)
        ]

    def _claim_rows(self, log: _ClaimedLog) -> list[ClaimRow]:
        """Return claims on the entries that are ordered by key or not idempotent, except for redeliveries."""
        now_unix_ms = self._node.clock.persistent_unix_ms()
        rows = []
        for entry in log.entries:
            lock_keys = self._lock_keys_of(entry, log.class_tables)
            if lock_keys and not entry.redelivery_of:
                rows.append(ClaimRow(entry.id, list(lock_keys), max(0.0, entry.deadline_ms - now_unix_ms)))
        return rows

    def _lock_keys_of(self, entry: JournalEntry, class_tables: ClassTables) -> tuple[bytes, ...]:
        """Return the lock keys of an entry by the class that it was accepted under."""
        message_class = accepted_class(class_tables, entry) or self._delivery.classes.get(entry.class_name)
        if message_class is None:
            return lock_keys_of(entry.class_name, entry.key, entry.idempotency_key)
        key = entry.key if message_class.ordered else None
        token = "" if message_class.effect is api.Effect.REPEATABLE else entry.idempotency_key
        return lock_keys_of(entry.class_name, key, token)

    def _is_silent(self, owner: str) -> bool:
        return owner not in self._consensus.live_nodes() or not self._bus.is_connected(owner)

    def _claim_for_silent_owners(self) -> None:
        """Claim the messages of silent couriers whose replica this courier holds."""
        for owner, replica in self._replicas.replicas.items():
            placement = self._consensus.leases.table.placements.get(owner)
            if (
                replica.epoch
                and self._silent_owner_epochs.get(owner) != replica.epoch
                and self._is_silent(owner)
                and placement is not None
                and self._node.name in placement.replicas
            ):
                self._silent_owner_epochs[owner] = replica.epoch
                journal = ClaimedJournal(owner, replica.epoch)
                for message in self._build_announcements(journal, self._replica_of(owner)):
                    self._broadcast(message)

    # ---- events ------------------------------------------------------------------------------------------
    def on_entry_completed(self, entry: JournalEntry) -> None:
        """Record when a completed message may first have been executed, and announce the end of its claim."""
        journal = self._claimed_entries.pop(entry.number, None)
        executed_unix_ms = (
            entry.first_executed_at_ms if entry.first_executed_at_ms is not None else entry.in_flight_since_ms
        )
        zone = entry.first_executed_zone or entry.in_flight_zone
        if executed_unix_ms is not None:
            self._remember_attempt(entry, FirstAttempt(executed_unix_ms, zone))
        if journal is not None:
            age_ms = -1.0
            if executed_unix_ms is not None:
                age_ms = max(0.0, self._node.clock.persistent_unix_ms() - executed_unix_ms)
            self._broadcast(ClaimCompleted(journal.owner, journal.epoch, entry.id, age_ms, zone))

    def _remember_attempt(self, entry: JournalEntry, attempt: FirstAttempt) -> None:
        for lock_key in self._lock_keys_of(entry, self._delivery.journal.class_tables):
            if lock_key[:1] == TOKEN_PREFIX:
                self._attempts_by_token[lock_key] = attempt
        while len(self._attempts_by_token) > MAX_TRACKED_TOKENS:
            del self._attempts_by_token[next(iter(self._attempts_by_token))]

    def on_connected(self, member: str) -> None:
        """Send all claims made by this courier to a member whose connection is established."""
        journals: dict[ClaimedJournal, list[JournalEntry]] = {}
        for number, journal in self._claimed_entries.items():
            entry = self._delivery.journal.get(number)
            if entry is not None:
                journals.setdefault(journal, []).append(entry)
        class_tables = self._delivery.journal.class_tables
        logs = {journal: _ClaimedLog(entries, class_tables) for journal, entries in journals.items()}
        for owner, epoch in self._silent_owner_epochs.items():
            logs[ClaimedJournal(owner, epoch)] = self._replica_of(owner)
        for journal, log in logs.items():
            for message in self._build_announcements(journal, log):
                self._bus.send(member, message)

    def on_owner_active(self, owner: str) -> None:
        """Release the claims made for a courier that replicates its journal itself again."""
        if self._is_silent(owner):
            return
        epoch = self._silent_owner_epochs.pop(owner, 0)
        if epoch:
            self._broadcast(ClaimsReleased(owner, epoch))


def _is_within_bounds(row: ClaimRow) -> bool:
    lock_keys = row.lock_keys[:MAX_LOCK_KEYS_PER_CLAIM]
    return len(row.message_id) <= MAX_TEXT_LENGTH and all(
        len(lock_key) == LOCK_KEY_BYTES for lock_key in lock_keys
    )
