"""Takes over the journals of failed couriers, step by step."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Final

from loguru import logger

from winchspan.cluster.claim_service import ClaimService
from winchspan.cluster.consensus_service import ConsensusService
from winchspan.cluster.late_deliveries import LateDeliveries
from winchspan.cluster.messages import EpochPromised, EpochPromiseRequested
from winchspan.cluster.node import ClusterNode, DeliveryResources
from winchspan.cluster.replica_holder import ReplicaHolder
from winchspan.cluster.replication_counters import ReplicationCounters
from winchspan.cluster.takeover_capacity import fit_entries, may_have_run
from winchspan.delivery.engine import DeliveryEngine
from winchspan.leases.commands import JOURNAL_ROLE_PREFIX, TakeoverCompleted, journal_role
from winchspan.replication.placement import is_takeover_incomplete
from winchspan.storage.journal_records import JournalEntry

RETRY_INTERVAL_MS: Final = 200.0  # between two requests to the members or to the leader

CAPACITY_RETRY_INTERVAL_MS: Final = 500.0  # each try writes entries, and ends them if they do not all fit

WhenReplicated = Callable[[Callable[[], None], Callable[[], None]], None]


@dataclass(slots=True)
class Takeover:
    """A journal that is being taken over.

    Attributes:
        epoch: epoch of this courier's lease on the journal.
        started_ms: time at which the takeover started.
        last_request_ms: time of the last request to the members or to the leader.
        promised_by: members that have promised the epoch.
        entries: open messages that are written to this courier's journal.
        offline_endpoints: endpoints that an operator had taken offline at the owner.
        is_delayed: whether this courier's journal has had no capacity for the entries.
        next_try_ms: time from which on the entries may be written again.
        is_journaled: whether all entries are in this courier's journal.
        is_replicated: whether all entries are replicated, too.
    """

    epoch: int
    started_ms: float
    last_request_ms: float = float("-inf")
    promised_by: set[str] = field(default_factory=set)
    entries: list[JournalEntry] = field(default_factory=list)
    offline_endpoints: list[str] = field(default_factory=list)
    is_delayed: bool = False
    next_try_ms: float = 0.0
    is_journaled: bool = False
    is_replicated: bool = False


@dataclass(frozen=True, slots=True)
class TakeoverPorts:
    """Components that a takeover uses.

    Attributes:
        holder: replicas on this courier's disk.
        claims: announces claims on the messages taken over.
        late_deliveries: deliveries that the owner reports.
        counters: counters of replication.
        when_replicated: calls back once all records written so far are replicated, or will not be.
        is_owner: returns whether this courier may act on its own journal now.
    """

    holder: ReplicaHolder
    claims: ClaimService
    late_deliveries: LateDeliveries
    counters: ReplicationCounters
    when_replicated: WhenReplicated
    is_owner: Callable[[], bool]


class TakeoverService:
    """The journals of other couriers that this courier takes over.

    Attributes:
        is_discarding: whether entries are being completed that were never in force at this courier, so that
            their completion is not a delivery.
    """

    def __init__(
        self,
        node: ClusterNode,
        delivery: DeliveryResources,
        consensus: ConsensusService,
        ports: TakeoverPorts,
    ) -> None:
        self._node = node
        self._delivery = delivery
        self._consensus = consensus
        self._bus = consensus.bus
        self._leases = consensus.leases
        self._ports = ports
        self._engine: DeliveryEngine
        self._takeovers: dict[str, Takeover] = {}  # by owner
        self.is_discarding = False
        self._bus.subscribe(EpochPromiseRequested, self._on_promise_requested)
        self._bus.subscribe(EpochPromised, self._on_promised)

    @property
    def needs_capacity(self) -> bool:
        """Whether a takeover waits for capacity in this courier's journal."""
        return any(each.is_delayed and not each.is_journaled for each in self._takeovers.values())

    def attach_engine(self, engine: DeliveryEngine) -> None:
        """Set the engine that resumes the messages taken over."""
        self._engine = engine

    def run_due(self, now: float) -> None:
        """Advance each takeover by one step."""
        table = self._leases.table
        for role, lease in list(table.leases.items()):
            owner = role.removeprefix(JOURNAL_ROLE_PREFIX)
            is_others_journal = role.startswith(JOURNAL_ROLE_PREFIX) and owner != self._node.name
            if not is_others_journal or lease.holder != self._node.name:
                continue
            takeover = self._takeovers.get(owner)
            if table.completed_takeovers.get(owner, 0) >= lease.epoch:
                if takeover is not None and takeover.epoch == lease.epoch:
                    self._complete(owner, takeover)
                continue
            epoch = self._leases.permitted_epoch(role)
            if epoch and self._ports.is_owner():
                self._advance(now, owner, self._current_takeover(now, owner, epoch))

    def on_role_lost(self, role: str) -> None:
        """Discard an incomplete takeover, since its role is released."""
        takeover = self._takeovers.pop(role.removeprefix(JOURNAL_ROLE_PREFIX), None)
        if takeover is not None:
            self._discard_entries(takeover)

    def _current_takeover(self, now: float, owner: str, epoch: int) -> Takeover:
        takeover = self._takeovers.get(owner)
        if takeover is None or takeover.epoch != epoch:
            takeover = Takeover(epoch, now)
            self._takeovers[owner] = takeover
            logger.info("takeover: started for the messages of {}, epoch {}", owner, epoch)
        return takeover

    def _advance(self, now: float, owner: str, takeover: Takeover) -> None:
        """Collect the promises of all live replicas, journal the open messages, and propose the takeover."""
        if not self._ports.holder.promise(owner, takeover.epoch):
            return
        if not self._live_replica_nodes(owner) <= takeover.promised_by:
            if now >= takeover.last_request_ms + RETRY_INTERVAL_MS:
                takeover.last_request_ms = now
                self._bus.broadcast(EpochPromiseRequested(owner, takeover.epoch))
            return
        if not takeover.is_journaled and now < takeover.next_try_ms:
            return
        if not takeover.is_journaled and not self._journal_entries(owner, takeover):
            return
        if takeover.is_replicated and now >= takeover.last_request_ms + RETRY_INTERVAL_MS:
            takeover.last_request_ms = now
            self._consensus.propose(TakeoverCompleted(owner, takeover.epoch).encode())

    def _live_replica_nodes(self, owner: str) -> set[str]:
        placement = self._leases.table.placements.get(owner)
        nodes = set(placement.replicas) - {self._node.name} if placement is not None else set()
        live = self._consensus.live_nodes()
        return {name for name in nodes if name in live}

    def _journal_entries(self, owner: str, takeover: Takeover) -> bool:
        """Write all open messages of a replica to this journal; return False if its capacity is exceeded.

        A message for which there is no capacity is completed: its final answer needs no body.
        """
        store = self._ports.holder.store
        table = self._leases.table
        # The replica's own entries stay as they are, for another attempt.
        entries = [
            replace(entry)
            for entry in store.open_messages(owner)
            # The owner's archive stores a redelivery; what the owner had not taken over yet is not its own.
            if not entry.redelivery_of and not is_takeover_incomplete(entry.origin, table)
        ]
        are_fitted = fit_entries(entries, self._delivery.journal.taken_over_capacity_bytes())
        if not are_fitted or not all(self._journal_entry(entry, owner, takeover) for entry in entries):
            self._delay(owner, takeover)
            return False
        replica = store.replica(owner)
        takeover.offline_endpoints = list(replica.disabled_endpoints) if replica is not None else []
        takeover.is_journaled = True
        self._ports.when_replicated(lambda: _mark_replicated(takeover), lambda: None)
        return True

    def _journal_entry(self, entry: JournalEntry, owner: str, takeover: Takeover) -> bool:
        """Write an entry with the class that its owner accepted it under; return False if it does not fit."""
        journal = self._delivery.journal
        rows = self._ports.holder.store.class_tables(owner).get(entry.class_table)
        class_table = journal.import_class_table(rows) if rows else journal.current_class_table
        if class_table is None:
            return False
        entry.class_table = class_table
        if journal.take_over(entry, owner, takeover.epoch) is None:
            return False
        takeover.entries.append(entry)
        return True

    def _delay(self, owner: str, takeover: Takeover) -> None:
        """Retry a takeover for which there is no capacity; no new message is admitted until then."""
        if not takeover.is_delayed:
            logger.error("takeover: no capacity for the messages of {} yet", owner)
        takeover.is_delayed = True
        takeover.next_try_ms = self._node.now_ms() + CAPACITY_RETRY_INTERVAL_MS
        self._discard_entries(takeover)

    def _discard_entries(self, takeover: Takeover) -> None:
        """Complete the entries of a takeover that is not in force."""
        self.is_discarding = True
        self._delivery.journal.record_completed([entry.number for entry in takeover.entries])
        self.is_discarding = False
        takeover.entries.clear()

    def _complete(self, owner: str, takeover: Takeover) -> None:
        """Resume the messages of a journal whose takeover by this courier is committed."""
        del self._takeovers[owner]
        entries = takeover.entries
        executed_count = sum(map(may_have_run, entries))
        logger.info(
            "takeover: completed, {} messages of {}, {} of which may have run",
            len(entries),
            owner,
            executed_count,
        )
        counters = self._ports.counters
        counters.completed_takeovers += 1
        counters.last_takeover_ms = int(self._node.now_ms() - takeover.started_ms)
        self._take_endpoints_offline(owner, takeover.offline_endpoints)
        counters.messages_taken_over += len(entries)
        counters.possibly_executed += executed_count
        self._ports.claims.claim_taken_over(owner, takeover.epoch, entries)
        self.is_discarding = True  # adopting completes entries whose message id this courier already has
        self._engine.adopt(entries)
        self.is_discarding = False
        self._ports.late_deliveries.complete_reported(owner, entries)

    def _take_endpoints_offline(self, owner: str, endpoints: list[str]) -> None:
        directory = self._delivery.directory
        for name in endpoints:
            if name not in directory.offline_names and directory.take_offline(name):
                logger.warning("takeover: endpoint {} stays offline, as it was at {}", name, owner)

    def _on_promise_requested(self, sender: str, message: EpochPromiseRequested) -> None:
        """Promise an epoch to the lease holder; if the lease table here is behind, the holder asks again."""
        lease = self._leases.table.leases.get(journal_role(message.owner))
        if lease is None or (lease.holder, lease.epoch) != (sender, message.epoch):
            return
        if self._ports.holder.promise(message.owner, message.epoch):
            self._bus.send(sender, EpochPromised(message.owner, message.epoch))

    def _on_promised(self, sender: str, message: EpochPromised) -> None:
        takeover = self._takeovers.get(message.owner)
        if takeover is not None and takeover.epoch == message.epoch:
            takeover.promised_by.add(sender)


def _mark_replicated(takeover: Takeover) -> None:
    takeover.is_replicated = True
