"""Replication of this courier's journal, and the services for the journals of other couriers.

A courier acts on its journal only while it holds the lease on the journal's role. Without the lease it admits
no message and starts no attempt. Actions that require replicated records wait in `when_replicated`.
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
from winchspan.replication.replica_store import ReplicaStore, replica_limit_bytes
from winchspan.storage.journal_records import JournalEntry

POLL_INTERVAL_MS: Final = 50.0  # between two checks of leases, replicas and unanswered requests
# Time without the lease after which attempts in flight are cancelled; a takeover starts only after 2,500 ms.
ABANDON_AFTER_MS: Final = 2_000.0
RETRY_AFTER_MS: Final = 500.0  # delay that a rejected client is told to wait
REPLICA_DIRECTORY: Final = "copies"


class ReplicationService:
    """Replicates this courier's journal, as the engine's replication port."""

    def __init__(
        self,
        node: ClusterNode,
        delivery: DeliveryResources,
        consensus: ConsensusService,
        options: ReplicationOptions,
    ) -> None:
        """Open the replicas of other couriers' journals on this disk.

        Args:
            node: this process.
            delivery: journal, endpoints and connections of this courier.
            consensus: provides the leases on journals.
            options: number of replicas, and disk space for those of others.

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
        self._last_owned_ms = 0.0  # when this courier last held the lease on its journal; 0: never
        self._is_recovered = False
        self._is_closed = False
        self._bus.subscribe(ReplicateRecords, self._on_records)
        self._bus.subscribe(SnapshotChunk, self._on_records)

    def _open_replicas(self, options: ReplicationOptions) -> ReplicaHolder:
        directory = self._node.state_directory / REPLICA_DIRECTORY
        owner_count = len(self._bus.other_members())
        store = ReplicaStore(directory, options.capacity_bytes, self._node.system.disk, owner_count)
        self._delivery.journal.limit_to_replicas(replica_limit_bytes(options.capacity_bytes, owner_count))
        return ReplicaHolder(self._bus, store)

    def _create_takeover_service(self) -> TakeoverService:
        ports = TakeoverPorts(
            self._holder,
            self._claims,
            self._late_deliveries,
            self._counters,
            self._stream.when_replicated,
            self._stream.is_owner,
        )
        return TakeoverService(self._node, self._delivery, self._consensus, ports)

    def attach_engine(self, engine: DeliveryEngine) -> None:
        """Set the engine whose messages are replicated."""
        self._engine = engine
        self._late_deliveries.attach_engine(engine)
        self._takeovers.attach_engine(engine)
        self._hand_over.attach_engine(engine)

    def start(self) -> None:
        """Start the service; the engine stays suspended until this courier owns its journal."""
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
        """Stop replication, and close all files."""
        self._is_closed = True
        self._stream.close()
        self._hand_over.close()
        self._delivery.journal.on_records_written = None
        self._delivery.journal.on_message_completed = None
        self._holder.store.close()

    def start_hand_over(self) -> None:
        """Stop admission, wait for attempts in flight, and hand the journal over."""
        self._hand_over.start()

    @property
    def is_handing_over(self) -> bool:
        """Whether the hand-over of the journal is in progress."""
        return self._hand_over.is_started and not self._hand_over.is_complete

    def metrics(self) -> dict[str, int]:
        """Return gauges and counters of replication, claims, replicas and takeovers."""
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
        """Return the holders of this journal's replicas, and the replicas that this courier holds."""
        return {
            "copies": {
                "holders": list(self._stream.placer.replicas),
                "joining": list(self._stream.placer.joining),
                "held": self._holder.status(),
            }
        }

    # ---- the engine's replication port -------------------------------------------------------------------
    def admission_delay_ms(self) -> float:
        """Return the delay in ms after which a message may be retried; 0 if it may be admitted now."""
        is_full = self._takeovers.needs_capacity
        if is_full or self._hand_over.is_started or not self._stream.may_admit():
            self._counters.rejected += 1
            return RETRY_AFTER_MS
        return 0.0

    def when_replicated(self, on_replicated: Callable[[], None], on_taken_over: Callable[[], None]) -> None:
        """Call back once all records written so far are replicated, or the journal is taken over."""
        self._stream.when_replicated(on_replicated, on_taken_over)

    def wait_for_predecessors(  # the engine's port
        self,
        number: int,
        class_name: str,
        key: int | None,
        idempotency_key: str,
        origin: str | None,
        on_ready: ReleaseCallback,
    ) -> None:
        """Call `on_ready` once no message of another journal with the same key or token must go first."""
        self._claims.release_when_unclaimed(
            number, lock_keys_of(class_name, key, idempotency_key), origin, on_ready
        )

    def cancel_wait(self, number: int) -> None:
        """Remove a waiting message, since it is complete."""
        self._claims.cancel(number)

    def report_delivered(self, message_id: str) -> None:
        """Report a delivery to the successor, if this courier's journal has been taken over."""
        if not self._stream.is_open:
            self._late_deliveries.add(0, message_id)
            self._late_deliveries.announce()

    # ---- ownership ---------------------------------------------------------------------------------------
    def _recall_without_lease(self) -> None:
        """Recall partially written calls if the lease on the journal has expired."""
        if not self._stream.is_owner():
            self._delivery.connections.recall_partially_written()

    def _acquire(self, now: float, epoch: int) -> None:
        """Own the journal under a new epoch, without the entries that other couriers own now."""
        journal, table = self._delivery.journal, self._leases.table
        was_taken_over = (
            not self._is_recovered
            and journal.work_epoch > 0
            and is_taken_over(self._node.name, journal.work_epoch, table)
        )
        if was_taken_over:
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
            if not was_taken_over:  # claims of nothing would cancel those of an earlier version
                self._claims.claim(self._node.name, epoch, journal.open_messages)
            self._engine.recover()

    def _discard_taken_over_entries(self) -> None:
        journal = self._delivery.journal
        numbers = [entry.number for entry in journal.open_messages]
        self._claims.clear()
        journal.record_completed(numbers)
        self._counters.own_messages_taken_over += len(numbers)
        logger.warning(
            "takeover: another courier took this courier's {} messages over during its absence",
            len(numbers),
        )

    def _release_journal(self) -> None:
        """Stop acting on the journal, which another courier has taken over."""
        logger.warning("takeover: this courier's messages were taken over: it holds none from now on")
        self._late_deliveries.discard_replicated(self._stream.replicated_number)
        self._counters.own_messages_taken_over += self._engine.held_count
        self._stream.drop()
        self._claims.clear()
        self._engine.release_all()
        self._delivery.notifications.clear()
        # The successor may be connected already, so that no connection event follows.
        self._late_deliveries.announce()

    # ---- periodic work -----------------------------------------------------------------------------------
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
            # A successor may soon start its own attempts: two attempts at the same time must not happen.
            self._counters.abandoned_attempts += self._engine.cancel_in_flight()
        self._engine.set_suspended(is_suspended)
        self._delivery.notifications.suspend(is_suspended)

    # ---- events ------------------------------------------------------------------------------------------
    def _on_entry_completed(self, entry: JournalEntry) -> None:
        is_delivered = entry.pending_notification is None and entry.in_flight_since_ms is not None
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
