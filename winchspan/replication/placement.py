"""Choice of the nodes that hold a journal's replicas, and of the node that takes over a journal."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from hashlib import blake2b
from typing import Final

from winchspan.leases.commands import JOURNAL_ROLE_PREFIX
from winchspan.leases.lease_table import Lease, LeaseTable, ReplicaPlacement
from winchspan.replication.replica_set import ReplicaProgress, most_complete

TAKEOVER_GRACE_MS: Final = 2_500.0  # absence of the owner before a takeover: a restart takes less
PROGRESS_QUERY_INTERVAL_MS: Final = 250.0  # between two queries for the replicas' progress


def choose_replicas(
    owner: str,
    candidates: Iterable[str],
    count: int,
    locations: Mapping[str, tuple[str, str]],
    current: Iterable[str] = (),
) -> tuple[str, ...]:
    """Choose the nodes that are to hold the replicas of a journal, by rendezvous hashing.

    Args:
        owner: node whose journal is replicated.
        candidates: nodes that may be chosen.
        count: required number of replicas; fewer are chosen if there are too few candidates.
        locations: known zones and regions by node.
        current: nodes that already hold a replica; they are preferred, to avoid copying data.

    Returns:
        The sorted names of the chosen nodes. Current replicas are chosen first, then nodes of other zones
        than the owner's.
    """
    owner_zone = locations.get(owner, ("", ""))[0]
    current_replicas = set(current)

    def rank(name: str) -> tuple[bool, bool, bytes]:
        is_same_zone = locations.get(name, ("", ""))[0] == owner_zone
        digest = blake2b(f"{owner}\n{name}".encode(), digest_size=8).digest()
        return name not in current_replicas, is_same_zone, digest

    ranked = sorted((name for name in candidates if name != owner), key=rank)
    return tuple(sorted(ranked[:count]))


class TakeoverPlanner:
    """The consensus leader's decisions on the owner of each journal."""

    def __init__(self) -> None:
        self._missing_since_ms: dict[str, float] = {}
        self._progress: dict[str, dict[str, ReplicaProgress | None]] = {}  # by owner and replica node
        self._next_query_at_ms: dict[str, float] = {}
        self._shutting_down: dict[str, int] = {}  # incarnations of owners in graceful shutdown

    def record_shutdown(self, owner: str, incarnation: int) -> None:
        """Record that an owner's process hands its journal over, so that no grace period applies."""
        self._shutting_down[owner] = incarnation

    def record_progress(self, owner: str, node: str, progress: ReplicaProgress | None) -> None:
        """Record a node's reply to a progress query; None if it has no replica."""
        if owner in self._next_query_at_ms:
            self._progress.setdefault(owner, {})[node] = progress

    def owners_to_query(self, now: float) -> list[str]:
        """Return the owners for whose replicas a progress query to all nodes is due."""
        due = [owner for owner, due_at in self._next_query_at_ms.items() if now >= due_at]
        for owner in due:
            self._next_query_at_ms[owner] = now + PROGRESS_QUERY_INTERVAL_MS
        return due

    def choose_owner(
        self,
        now: float,
        role: str,
        alive: Mapping[str, int],
        lease_table: LeaseTable,
        journal_epochs: Mapping[str, tuple[int, int]],
    ) -> str:
        """Return the node that is to hold the lease on a journal; empty to leave the lease as it is.

        Args:
            now: clock reading, ms.
            role: leased role of the journal.
            alive: incarnations of the live nodes, by name.
            lease_table: committed leases.
            journal_epochs: incarnation of each node and the epoch in its own journal, 0 if that has none.
        """
        owner = role.removeprefix(JOURNAL_ROLE_PREFIX)
        lease = lease_table.leases.get(role)
        self._forget_finished_shutdown(owner, alive)
        must_move = lease is not None and (
            _has_lost_journal(owner, lease, lease_table, *journal_epochs.get(owner, (0, 0)))
            or self._is_handing_over(owner, lease)
        )
        if owner in alive and not must_move:
            self._reset(owner)
            return owner
        if lease is None:
            return ""  # the owner never held the lease: there is nothing to take over
        if lease.holder != owner and lease.holder in alive:
            self._reset(owner)
            return lease.holder  # its takeover is in progress or complete
        if _is_takeover_complete(owner, lease, lease_table):
            return ""
        missing_since_ms = self._missing_since_ms.setdefault(owner, now)
        if now - missing_since_ms < TAKEOVER_GRACE_MS and not must_move:
            return ""
        self._next_query_at_ms.setdefault(owner, now)
        return self._choose_successor(owner, alive, lease_table.placements.get(owner))

    def _forget_finished_shutdown(self, owner: str, alive: Mapping[str, int]) -> None:
        incarnation = self._shutting_down.get(owner, 0)
        if incarnation and alive.get(owner, incarnation) != incarnation:
            del self._shutting_down[owner]  # the owner has restarted

    def _is_handing_over(self, owner: str, lease: Lease) -> bool:
        return (lease.holder, lease.process_nonce) == (owner, self._shutting_down.get(owner, 0))

    def _choose_successor(
        self, owner: str, alive: Mapping[str, int], placement: ReplicaPlacement | None
    ) -> str:
        """Return the node with the most complete replica, once all live replica nodes have replied."""
        if placement is None or not placement.replicas:
            return ""  # no replica was ever complete
        answers = self._progress.get(owner, {})
        expected = [name for name in placement.replicas if name in alive]
        if not expected or any(name not in answers for name in expected):
            return ""
        progress = [answers[name] for name in expected]
        chosen = most_complete([replica for replica in progress if replica is not None])
        return chosen.node if chosen is not None else ""

    def _reset(self, owner: str) -> None:
        self._missing_since_ms.pop(owner, None)
        self._progress.pop(owner, None)
        self._next_query_at_ms.pop(owner, None)


def _has_lost_journal(
    owner: str, lease: Lease, lease_table: LeaseTable, incarnation: int, journal_epoch: int
) -> bool:
    """Whether an owner restarted without its data directory while replicas of its journal exist.

    The owner gets its lease again only after the takeover of that journal is complete, even if it restarts
    during the takeover. A journal without any replica cannot be recovered, or never existed.
    """
    is_new = incarnation != 0 and not journal_epoch
    if not is_new or (lease.holder == owner and incarnation == lease.process_nonce):
        return False
    placement = lease_table.placements.get(owner)
    has_replicas = placement is not None and bool(placement.replicas)
    return has_replicas and lease_table.completed_takeovers.get(owner, 0) < lease.epoch


def _is_takeover_complete(owner: str, lease: Lease, lease_table: LeaseTable) -> bool:
    """Whether the takeover of a journal under the current epoch is complete."""
    return lease.holder != owner and lease_table.completed_takeovers.get(owner, 0) >= lease.epoch


def is_takeover_incomplete(origin: tuple[str, int] | None, lease_table: LeaseTable) -> bool:
    """Whether a message is not in force, since the takeover that it was journaled for is not complete.

    Args:
        origin: owner and epoch of that takeover; None if the message was not taken over.
        lease_table: committed leases.
    """
    return origin is not None and lease_table.completed_takeovers.get(origin[0], 0) < origin[1]


def is_taken_over(owner: str, epoch: int, lease_table: LeaseTable) -> bool:
    """Whether a journal was taken over after its owner held the lease under an epoch."""
    return lease_table.completed_takeovers.get(owner, 0) > epoch
