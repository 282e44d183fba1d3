"""Replication as it runs in a courier: its own journal, and the services for those of others.

A courier owns its journal while it holds the lease on the journal's role; until then, and whenever that is
over, it admits nothing and starts nothing. What must be replicated first waits in `secure`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

from loguru import logger

from winchspan.cluster.claim_service import ClaimService, ReleaseCallback
from winchspan.cluster.consensus_service import ConsensusService
from winchspan.cluster.journal_hand_over import HandOverPorts, JournalHandOver
from winchspan.cluster.journal_stream import JournalStream
from winchspan.cluster.late_deliveries import LateDeliveries
from winchspan.cluster.node import ClusterNode, DeliveryResources
from winchspan.cluster.replica_holder import ReplicaHolder
from winchspan.cluster.replica_placer import ReplicationOptions
from winchspan.cluster.replication_counters import ReplicationCounters
from winchspan.cluster.takeover_planning import TakeoverPlanning
from winchspan.cluster.takeover_service import TakeoverPorts, TakeoverService
from winchspan.delivery.engine import DeliveryEngine
from winchspan.leases.commands import journal_role
from winchspan.replication.claims import lock_keys_of
from winchspan.replication.messages import ReplicateRecords, SnapshotChunk
from winchspan.replication.placement import is_taken_over, is_takeover_incomplete
from winchspan.replication.replica_store import ReplicaStore
from winchspan.storage.journal_records import JournalEntry

POLL_INTERVAL_MS: Final = 50.0  # between two checks of leases, replicas and what was not answered
ABANDON_AFTER_MS: Final = 2_000.0  # without the lease, attempts are given up: a takeover waits for 2,500 ms
RETRY_AFTER_MS: Final = 500.0  # after which a client that was rejected may come again
REPLICA_DIRECTORY: Final = "copies"


class ReplicationService:
    """Replicates this courier's journal; the engine's replication port."""

    def __init__(
        self,
        node: ClusterNode,
        delivery: DeliveryResources,
        consensus: ConsensusService,
        options: ReplicationOptions,
    ) -> None:
        """Open the replicas that are held here.

        Args:
            node: this process.
            delivery: its journal, endpoints and connections.
            consensus: knows whose journal is whose.
            options: how many replicas, and what they may take.

        Raises:
            OSError: if the replicas cannot be opened.
        """
        self._node = node
        self._delivery = delivery
        self._consensus = consensus
        self._bus = consensus.bus
        self._leases = consensus.leases
        self._role = journal_role(node.name)
        self._engine: DeliveryEngine
        self._counters = ReplicationCounters()
        self._holder = self._open_replicas(options)
        self._stream = JournalStream(node, delivery.journal, consensus, options)
        self._claims = ClaimService(node, delivery, consensus, self._holder.store, self._holder.replicas)
        self._late_deliveries = LateDeliveries(self._bus, self._counters)
        self._planning = TakeoverPlanning(node, consensus, self._holder)
        self._takeovers = self._create_takeover_service()
        ports = HandOverPorts(self._stream, delivery.notifications, self._planning, self._counters)
        self._hand_over = JournalHandOver(node, consensus, ports)
        self._last_owned_ms = 0.0  # when the journal was last this courier's
        self._is_recovered = False
        self._is_closed = False
        self._bus.subscribe(ReplicateRecords, self._on_records)
        self._bus.subscribe(SnapshotChunk, self._on_records)

    def _open_replicas(self, options: ReplicationOptions) -> ReplicaHolder:
        directory = self._node.state_directory / REPLICA_DIRECTORY
        store = ReplicaStore(directory, options.capacity_bytes, self._node.system.disk)
        store.max_owner_count = max(1, len(self._bus.other_members()))
        return ReplicaHolder(self._bus, store)

    def _create_takeover_service(self) -> TakeoverService:
        ports = TakeoverPorts(
            self._holder,
            self._claims,
            self._late_deliveries,
            self._counters,
            self._stream.secure,
            self._stream.is_owner,
        )
        return TakeoverService(self._node, self._delivery, self._consensus, ports)

    def attach_engine(self, engine: DeliveryEngine) -> None:
        """Take the engine whose messages are replicated."""
        self._engine = engine
        self._late_deliveries.attach_engine(engine)
        self._takeovers.attach_engine(engine)
        self._hand_over.attach_engine(engine)

    def start(self) -> None:
        """Start; nothing is recovered or started before the journal is this courier's."""
        self._delivery.journal.on_records_written = self._stream.on_written
        self._delivery.journal.on_message_completed = self._on_entry_completed
        self._bus.on_connected(self._on_connected)
        self._engine.suspend(True)
        self._delivery.transport.may_send = self._stream.is_owner
        self._delivery.notifications.may_send = self._stream.is_owner
        self._consensus.poll_guard.add(self._recall_without_lease)
        self._leases.preferred_holder = self._planning.preferred_holder
        self._leases.on_lost(self._takeovers.on_role_lost)
        self._consensus.on_committed(self._run_soon)
        self._on_timer()

    def close(self) -> None:
        """Replicate no more, and close all files."""
        self._is_closed = True
        self._stream.close()
        self._hand_over.close()
        self._delivery.journal.on_records_written = None
        self._delivery.journal.on_message_completed = None
        self._holder.store.close()

    def start_hand_over(self) -> None:
        """Admit nothing more, let attempts in flight complete, and hand the journal over."""
        self._hand_over.start()

    @property
    def is_handing_over(self) -> bool:
        """Whether the journal is still to be handed over."""
        return self._hand_over.is_started and not self._hand_over.is_complete

    def metrics(self) -> dict[str, int]:
        """Return how far the replicas go, what is held of others, and what was taken over."""
        return {
            "fleet.copies.unsecured": self._stream.unreplicated_count,
            "fleet.copies.lag_ms": int(self._stream.lag_ms()),
            "fleet.copies.epoch": self._stream.epoch,
            "fleet.copies.mine": int(self._stream.is_owner()),
            **self._claims.metrics(),
            "fleet.copies.held": self._holder.replica_count,
            **self._counters.metrics(),
        }

    def status(self) -> dict[str, Any]:
        """Return who holds replicas of this journal, and whose replicas are held here."""
        return {
            "copies": {
                "holders": list(self._stream.placer.replicas),
                "joining": list(self._stream.placer.joining),
                "held": self._holder.status(),
            }
        }

    # ---- the engine's replication port -------------------------------------------------------------------
    def refused(self) -> float:
        """Return after how many ms a message may be admitted; 0: now."""
        if self._hand_over.is_started or not self._stream.may_admit():
            self._counters.rejected += 1
            return RETRY_AFTER_MS
        return 0.0

    def secure(self, then: Callable[[], None], lost: Callable[[], None]) -> None:
        """Call `then` once all that is written by now is replicated; `lost` if the journal is another's."""
        self._stream.secure(then, lost)

    def enter(  # the engine's port
        self,
        number: int,
        cls: str,
        key: int | None,
        token: str,
        origin: str | None,
        free: ReleaseCallback,
    ) -> None:
        """Call `free` once no message of another journal with the same key or token goes first."""
        self._claims.release_when_unclaimed(number, lock_keys_of(cls, key, token), origin, free)

    def forget(self, number: int) -> None:
        """Forget a waiting message that is complete."""
        self._claims.cancel(number)

    def delivered(self, message: str) -> None:
        """Tell whoever continues this journal of a delivery that came after all."""
        if not self._stream.is_open:
            self._late_deliveries.add(0, message)
            self._late_deliveries.announce()

    # ---- ownership ---------------------------------------------------------------------------------------
    def _recall_without_lease(self) -> None:
        """Recall partially written calls under a lease that is over."""
        if not self._stream.is_owner():
            self._delivery.connections.recall_partially_written()

    def _acquire(self, now: float, epoch: int) -> None:
        """Own the journal under a new epoch; what it held before is still open, or another's."""
        journal, table = self._delivery.journal, self._leases.table
        if (
            not self._is_recovered
            and journal.work_epoch
            and is_taken_over(self._node.name, journal.work_epoch, table)
        ):
            self._discard_taken_over_entries()
        journal.record_completed(
            [entry.number for entry in journal.open_messages if is_takeover_incomplete(entry.origin, table)]
        )
        self._stream.open(now, epoch)
        journal.record_work_epoch(epoch)
        self._consensus.announcements.set_journal_epoch(epoch)
        self._last_owned_ms = now
        if not self._is_recovered:
            self._is_recovered = True
            self._claims.claim(self._node.name, epoch, journal.open_messages)
            self._engine.recover()

    def _discard_taken_over_entries(self) -> None:
        journal = self._delivery.journal
        numbers = [entry.number for entry in journal.open_messages]
        journal.record_completed(numbers)
        self._counters.own_messages_taken_over += len(numbers)
        logger.warning(
            "takeover: this courier's messages were taken over during its absence: {} are another's",
            len(numbers),
        )

    def _release_journal(self) -> None:
        """Start nothing any more of a journal that another courier has taken over."""
        logger.warning("takeover: this courier's messages were taken over: it holds none from now on")
        self._late_deliveries.discard_replicated(self._stream.replicated_number)
        self._counters.own_messages_taken_over += self._engine.held_count
        self._stream.drop()
        self._claims.clear()
        self._engine.release_all()
        self._delivery.notifications.clear()
        self._late_deliveries.announce()  # whoever continues it may be connected already

    # ---- what is due -------------------------------------------------------------------------------------
    def _run_soon(self) -> None:
        if not self._is_closed:
            self._node.loop.call_soon(self._run_due)

    def _on_timer(self) -> None:
        if self._is_closed:
            return
        self._node.timers.call_later(POLL_INTERVAL_MS, self._on_timer)
        self._run_due()

    def _run_due(self) -> None:
        if self._is_closed or self._hand_over.is_complete:
            return
        now, epoch = self._node.now_ms(), self._leases.permitted_epoch(self._role)
        if epoch and self._stream.epoch != epoch:
            self._acquire(now, epoch)
        self._suspend_without_lease(now)
        if self._stream.is_open:
            if is_taken_over(self._node.name, self._stream.epoch, self._leases.table):
                self._release_journal()
            else:
                self._stream.update(now)
        self._planning.request_progress(now)
        self._takeovers.run_due(now)
        self._claims.run_due(now)
        self._holder.remove_superseded(self._leases.table.completed_takeovers)

    def _suspend_without_lease(self, now: float) -> None:
        is_suspended = not (self._is_recovered and self._stream.is_owner())
        if not is_suspended:
            self._last_owned_ms = now
        elif (
            self._last_owned_ms
            and now > self._last_owned_ms + ABANDON_AFTER_MS
            and self._engine.in_flight_count
        ):
            # Guards against two attempts at once: a takeover may start its own soon after.
            self._counters.abandoned_attempts += self._engine.cancel_in_flight()
        self._engine.set_suspended(is_suspended)
        self._delivery.notifications.suspend(is_suspended)

    # ---- events ------------------------------------------------------------------------------------------
    def _on_entry_completed(self, entry: JournalEntry) -> None:
        is_delivered = entry.owed_notification is None and entry.in_flight_since_ms is not None
        if self._stream.is_open and is_delivered and not self._takeovers.is_discarding:
            self._late_deliveries.add(self._stream.next_number, entry.id)
        self._claims.on_entry_completed(entry)

    def _on_connected(self, member: str) -> None:
        self._claims.on_connected(member)
        self._stream.on_connected(member)
        if not self._stream.is_open:
            self._late_deliveries.announce()

    def _on_records(self, sender: str, message: ReplicateRecords | SnapshotChunk) -> None:
        if message.owner == sender:
            self._claims.on_owner_active(sender)
            self._holder.receive(sender, message)
