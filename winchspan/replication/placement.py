"""Which nodes hold the replicas of a journal, and which one takes it over when its owner is lost."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from hashlib import blake2b
from typing import Final

from winchspan.leases.commands import JOURNAL_ROLE_PREFIX
from winchspan.leases.lease_table import Lease, LeaseTable, ReplicaPlacement
from winchspan.replication.replica_set import ReplicaProgress, most_complete

TAKEOVER_GRACE_MS: Final = 2_500.0  # without the owner, before failover: a kill and a restart take less
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
        owner: node whose journal it is.
        candidates: nodes that may be chosen.
        count: wanted number of replicas; there are fewer if the candidates do not suffice.
        locations: zone and region by node, as far as they are known.
        current: nodes that hold a replica already, preferred so that no data moves needlessly.

    Returns:
        The names in order: current replicas first in the choice, then nodes of other zones than the owner's.
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
    """The consensus leader's decisions on who is to own each journal."""

    def __init__(self) -> None:
        self._missing_since_ms: dict[str, float] = {}
        self._progress: dict[str, dict[str, ReplicaProgress | None]] = {}  # by owner and replica node
        self._next_query_at_ms: dict[str, float] = {}
        self._shutting_down: dict[str, int] = {}  # incarnations of owners in graceful shutdown

    def record_shutdown(self, owner: str, incarnation: int) -> None:
        """Note that an owner's process hands its journal over: there is no grace period for it."""
        self._shutting_down[owner] = incarnation

    def record_progress(self, owner: str, node: str, progress: ReplicaProgress | None) -> None:
        """Note a node's answer to a progress query; None: it has no replica."""
        if owner in self._next_query_at_ms:
            self._progress.setdefault(owner, {})[node] = progress

    def owners_to_query(self, now: float) -> list[str]:
        """Return the owners about whose replicas all nodes are to be queried now."""
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
        """Return the node that is to hold the lease on a journal; empty: the lease stays as it is.

        Args:
            now: the clock's reading in ms.
            role: the leased role of that journal.
            alive: incarnations of the nodes that are alive, by name.
            lease_table: the agreed leases.
            journal_epochs: by node, its incarnation and the epoch in its own journal; 0: it knows none.
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
            return ""  # it never held the lease: there is nothing to take over
        if lease.holder != owner and lease.holder in alive:
            self._reset(owner)
            return lease.holder  # its takeover is under way or complete
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
            del self._shutting_down[owner]  # it has restarted

    def _is_handing_over(self, owner: str, lease: Lease) -> bool:
        return (lease.holder, lease.process_nonce) == (owner, self._shutting_down.get(owner, 0))

    def _choose_successor(
        self, owner: str, alive: Mapping[str, int], placement: ReplicaPlacement | None
    ) -> str:
        """Return the node with the most complete replica, once all replicas that are alive have answered."""
        if placement is None or not placement.replicas:
            return ""  # no replica was ever complete
        answers = self._progress.get(owner, {})
        expected = [name for name in placement.replicas if name in alive]
        if not expected or any(name not in answers for name in expected):
            return ""
        progress = [answers[name] for name in expected]
        chosen = most_complete([one for one in progress if one is not None])
        return chosen.node if chosen is not None else ""

    def _reset(self, owner: str) -> None:
        self._missing_since_ms.pop(owner, None)
        self._progress.pop(owner, None)
        self._next_query_at_ms.pop(owner, None)


def _has_lost_journal(
    owner: str, lease: Lease, lease_table: LeaseTable, incarnation: int, journal_epoch: int
) -> bool:
    """Whether an owner came back without its data directory while replicas of its journal exist.

    It gets its lease again only after the takeover of that journal is complete, also if it comes back during
    the takeover. A journal without any replica is lost for good, or there never was one.
    """
    is_new = incarnation != 0 and not journal_epoch
    if not is_new or (lease.holder == owner and incarnation == lease.process_nonce):
        return False
    placement = lease_table.placements.get(owner)
    has_replicas = placement is not None and bool(placement.replicas)
    return has_replicas and lease_table.completed_takeovers.get(owner, 0) < lease.epoch


def _is_takeover_complete(owner: str, lease: Lease, lease_table: LeaseTable) -> bool:
    """Whether all of a journal has been taken over under the current epoch."""
    return lease.holder != owner and lease_table.completed_takeovers.get(owner, 0) >= lease.epoch


def is_takeover_incomplete(origin: tuple[str, int] | None, lease_table: LeaseTable) -> bool:
    """Whether a message is not in force, since the takeover that it came with was not completed.

    Args:
        origin: owner and epoch of that takeover; None: the message did not come with one.
        lease_table: the agreed leases.
    """
    return origin is not None and lease_table.completed_takeovers.get(origin[0], 0) < origin[1]


def is_taken_over(owner: str, epoch: int, lease_table: LeaseTable) -> bool:
    """Whether a journal was taken over since its owner held the lease under an epoch."""
    return lease_table.completed_takeovers.get(owner, 0) > epoch
