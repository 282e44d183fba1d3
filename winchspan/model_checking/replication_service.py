"""Drives replication, attempts and takeovers at each courier of the replication model.

Follows `winchspan.cluster.replication_service`, without sockets.
"""

from __future__ import annotations

from winchspan.leases.commands import TakeoverCompleted
from winchspan.model_checking.checker import InvariantViolationError
from winchspan.model_checking.replication_consensus import ROLE, ModelConsensus
from winchspan.model_checking.replication_courier import (
    DestinationResponse,
    MessageState,
    ModelCourier,
    ModelMessage,
    PendingRecord,
    PendingStep,
    PromiseReply,
    PromiseRequest,
    RecordKind,
    encode_journal_record,
    message_states,
)
from winchspan.model_checking.replication_environment import (
    OWNER,
    Completion,
    Defect,
    Environment,
)
from winchspan.replication.messages import (
    EpochSuperseded,
    ReplicaAcknowledged,
    ReplicaBehind,
    ReplicateRecords,
    SnapshotChunk,
)
from winchspan.replication.placement import is_taken_over
from winchspan.replication.replica_set import Reply
from winchspan.replication.stream import ReplicationStream


class ModelReplicationService:
    """Drives the state machines of all couriers."""

    def __init__(
        self, couriers: dict[str, ModelCourier], consensus: ModelConsensus, environment: Environment
    ) -> None:
        self._couriers = couriers
        self._consensus = consensus
        self._network = environment.network
        self._destination = environment.destination
        self._clock = environment.clock
        self._defects = environment.defects

    def accept(self, courier: ModelCourier, message_id: str) -> bool:
        """Accept a client's message if the courier's lease on its journal is valid by its clock."""
        if courier.stream is None or self.lease_epoch(courier) != courier.stream.epoch:
            return False
        self._append(courier, RecordKind.ACCEPTED, message_id, PendingStep.ACKNOWLEDGE_CLIENT)
        return True

    def lease_epoch(self, courier: ModelCourier) -> int:
        """Return the epoch of the courier's lease on the journal if it is valid by its clock; 0: none."""
        lease = courier.lease_table.leases.get(ROLE)
        if lease is None or (lease.holder, lease.process_nonce) != (courier.name, courier.incarnation):
            return 0
        has_slow_clock = self._clock.slow_rounds > 0 and courier.name == OWNER
        ignores_lease = Defect.LEASE_NOT_CHECKED in self._defects
        return (
            lease.epoch
            if self._clock.now < courier.lease_expires_at_ms or has_slow_clock or ignores_lease
            else 0
        )

    def run_round(self, courier: ModelCourier) -> None:
        """Run the actions that are due at a courier."""
        epoch = self.lease_epoch(courier)
        if courier.name == OWNER:
            self._run_owner(courier, epoch)
        elif epoch:
            self._take_over(courier, epoch)
        self._replicate(courier)
        self._start_next_attempt(courier, epoch)

    def _run_owner(self, courier: ModelCourier, epoch: int) -> None:
        if epoch and (courier.stream is None or courier.stream.epoch != epoch):
            self._start_stream(courier, epoch)
        if courier.stream is not None and is_taken_over(OWNER, courier.stream.epoch, courier.lease_table):
            courier.stream = None
            courier.pending = []
            self._destination.abort_calls(OWNER)

    def _start_stream(self, courier: ModelCourier, epoch: int) -> None:
        if courier.journal_epoch and is_taken_over(OWNER, courier.journal_epoch, courier.lease_table):
            courier.journal = []
        placement = courier.lease_table.placements.get(OWNER)
        replicas = placement.replicas if placement is not None else ()
        courier.stream = ReplicationStream(OWNER, epoch, replicas, self._clock.now)
        courier.journal_epoch = epoch
        courier.pending = []

    def _append(
        self, courier: ModelCourier, kind: RecordKind, message_id: str, step: PendingStep | None = None
    ) -> None:
        """Append a record to the owner's journal; `step` runs after all replicas have acknowledged it."""
        assert courier.stream is not None
        record = encode_journal_record(kind, message_id)
        courier.journal.append(record)
        is_attempt_start = kind is RecordKind.ATTEMPT_STARTED
        if not (is_attempt_start and Defect.ATTEMPT_START_NOT_REPLICATED in self._defects):
            courier.stream.append(self._clock.now, record)
        if step is not None:
            courier.pending.append(PendingRecord(courier.stream.last_index, step, message_id))
        self._replicate(courier)

    def _replicate(self, courier: ModelCourier) -> None:
        if courier.stream is None:
            return
        placement = courier.lease_table.placements.get(OWNER)
        if placement is not None:
            courier.stream.set_replicas(self._clock.now, placement.replicas, placement.joining)
        for node, message in courier.stream.messages_to_send(self._clock.now, lambda: list(courier.journal)):
            self._network.send(courier.name, node, message)
        self._release_pending(courier)

    def _release_pending(self, courier: ModelCourier) -> None:
        while (
            courier.stream is not None
            and courier.pending
            and courier.stream.acknowledged_index >= courier.pending[0].index
            and self.lease_epoch(courier) == courier.stream.epoch
        ):
            released = courier.pending.pop(0)
            match released.step:
                case PendingStep.ACKNOWLEDGE_CLIENT:
                    self._destination.acknowledged.append(released.message_id)
                case PendingStep.START_ATTEMPT:
                    self._destination.start_call(courier.name, released.message_id)

    def _start_next_attempt(self, courier: ModelCourier, epoch: int) -> None:
        """Start an attempt of the first incomplete message of the key."""
        is_owner = courier.name == OWNER
        states = message_states(courier.journal) if is_owner else courier.taken_over_messages
        for message_id, state in states.items():
            if state.is_completed:
                continue
            if is_owner:
                self._start_as_owner(courier, epoch, message_id, state)
            elif courier.lease_expires_at_ms > self._clock.now:
                self._start_as_successor(courier, message_id, state)
            return

    def _start_as_owner(
        self, courier: ModelCourier, epoch: int, message_id: str, state: MessageState
    ) -> None:
        is_current_owner = courier.stream is not None and epoch == courier.stream.epoch
        is_in_progress = self._destination.has_call_for(OWNER, message_id) or any(
            pending.message_id == message_id for pending in courier.pending
        )
        if not is_current_owner or is_in_progress or message_id not in self._destination.acknowledged:
            return
        if state.is_in_flight and self._destination.at_most_once:
            # In flight at the end of the previous incarnation: it may have been executed.
            self._append(courier, RecordKind.COMPLETED, message_id)
            self._destination.complete(message_id, Completion.NOTIFIED)
        else:
            self._append(courier, RecordKind.ATTEMPT_STARTED, message_id, PendingStep.START_ATTEMPT)

    def _start_as_successor(self, courier: ModelCourier, message_id: str, state: MessageState) -> None:
        if state.attempt_count and self._destination.at_most_once:
            state.is_completed = True
            self._destination.complete(message_id, Completion.NOTIFIED)
        elif not self._destination.has_call_from(courier.name):
            self._destination.start_call(courier.name, message_id)

    def _take_over(self, courier: ModelCourier, epoch: int) -> None:
        """Take over the owner's journal after all its reachable replicas have promised the epoch."""
        if courier.lease_table.completed_takeovers.get(OWNER, 0) >= epoch:
            return
        if courier.takeover_epoch == epoch and courier.has_completed_takeover:
            return
        courier.start_takeover(epoch)
        courier.promise_epoch(OWNER, epoch)
        placement = courier.lease_table.placements.get(OWNER)
        replicas = set(placement.replicas) if placement is not None else set()
        required_replicas = (replicas & self._consensus.majority()) - {courier.name}
        if not required_replicas <= courier.promised_by:
            for name in sorted(required_replicas):
                self._network.send(courier.name, name, PromiseRequest(epoch))
            return
        replicated_messages = courier.replicated_messages(OWNER)
        self._check_most_complete(courier, replicated_messages, required_replicas)
        courier.taken_over_messages |= {
            message_id: state
            for message_id, state in replicated_messages.items()
            if message_id not in courier.taken_over_messages
        }
        courier.has_completed_takeover = True
        self._consensus.commit(TakeoverCompleted(OWNER, epoch).encode())

    def _check_most_complete(
        self, courier: ModelCourier, replicated_messages: dict[str, MessageState], others: set[str]
    ) -> None:
        for message_id, state in replicated_messages.items():
            for name in others:
                other = self._couriers[name].replicated_messages(OWNER).get(message_id)
                if not state.is_completed and other is not None and other.is_completed:
                    raise InvariantViolationError(
                        f"{courier.name} takes over {message_id} as incomplete, "
                        "which a live replica has as completed"
                    )

    # ---- messages ----------------------------------------------------------------------------------------
    def receive(self, courier: ModelCourier, source: str, message: ModelMessage) -> None:
        """Handle a message at a courier that is not frozen."""
        match message:
            case DestinationResponse(message_id):
                self._receive_response(courier, message_id)
            case ReplicateRecords() | SnapshotChunk():
                self._receive_replication(courier, source, message)
            case ReplicaAcknowledged() | ReplicaBehind() | EpochSuperseded():
                if courier.stream is not None:
                    self._receive_reply(courier, courier.stream, source, message)
            case PromiseRequest(epoch):
                courier.promise_epoch(OWNER, epoch)
                self._network.send(courier.name, source, PromiseReply(epoch))
            case PromiseReply(epoch):
                courier.record_promise(source, epoch)

    def _receive_reply(
        self,
        courier: ModelCourier,
        stream: ReplicationStream,
        source: str,
        message: ReplicaAcknowledged | ReplicaBehind | EpochSuperseded,
    ) -> None:
        match message:
            case ReplicaAcknowledged():
                if stream.handle_acknowledged(self._clock.now, source, message):
                    self._release_pending(courier)
            case ReplicaBehind():
                stream.handle_behind(self._clock.now, source, message)
            case EpochSuperseded(_, epoch) if epoch > stream.epoch:
                stream.is_superseded = True

    def _receive_response(self, courier: ModelCourier, message_id: str) -> None:
        if courier.name == OWNER and courier.stream is not None:
            self._append(courier, RecordKind.COMPLETED, message_id)
        elif message_id in courier.taken_over_messages:
            courier.taken_over_messages[message_id].is_completed = True

    def _receive_replication(
        self, courier: ModelCourier, source: str, message: ReplicateRecords | SnapshotChunk
    ) -> None:
        replica_set = courier.replica_set
        if Defect.EPOCHS_NOT_COMPARED in self._defects and OWNER in replica_set.replicas:
            replica_set.replicas[OWNER].promised_epoch = 0
        if isinstance(message, ReplicateRecords):
            actions = replica_set.handle_records(message)
        else:
            actions = replica_set.handle_snapshot_chunk(message)
        for action in actions:
            if isinstance(action, Reply):
                self._network.send(courier.name, source, action.message)
            else:
                courier.stored_replica(OWNER).persist(action)
