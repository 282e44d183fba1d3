"""Model of journal replication and takeover: three couriers, one destination, two messages of one key.

The model uses the couriers' own state machines (`ReplicationStream`, `ReplicaSet`, `TakeoverPlanner`,
`LeaseTable`) and drives them like `winchspan.cluster.replication_service`, without sockets. Consensus is
assumed to work (`winchspan.model_checking.leases` explores it): all couriers that the leader reaches in both
directions receive a committed entry at once, and the others when they are reachable again. Leases expire by
the clock. An owner with a slow clock treats its lease as valid for too long.

The client of the first courier submits two messages of one key. The destination processes a call for
`SERVICE_ROUNDS` and checks the order and the number of executions.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Final

from winchspan.leases.commands import AssignRole, SetReplicaPlacement
from winchspan.model_checking.checker import InvariantViolationError, canonical_state
from winchspan.model_checking.network import ReceivedMessage
from winchspan.model_checking.replication_consensus import ROLE, ModelConsensus
from winchspan.model_checking.replication_courier import (
    DestinationResponse,
    ModelCourier,
    ModelMessage,
)
from winchspan.model_checking.replication_environment import (
    COURIERS,
    LONG_ROUNDS,
    MESSAGE_IDS,
    OWNER,
    SHORT_AND_LONG_ROUNDS,
    Defect,
    Environment,
    Fault,
    FaultKind,
    ModelClock,
    ModelDestination,
    ReplicationEnvelope,
    ReplicationNetwork,
)
from winchspan.model_checking.replication_service import ModelReplicationService

DESTINATION: Final = "destination"
HEALTHY_ROUNDS: Final = 45  # without a fault, after which every message is complete; 25 are a grace period
SETTLING_ROUNDS: Final = 8  # after the start, until the owner's replicas are complete
MAX_MESSAGES_PER_ROUND: Final = 200  # more count as an endless exchange


class ReplicationModel:
    """The couriers and their environment, which the checker advances in rounds.

    Attributes:
        couriers: couriers by name.
        clock: the clock of all couriers.
        network: messages in flight and cut links.
        destination: calls and completions of the messages.
        consensus: the replicated lease table.
    """

    def __init__(
        self, replica_count: int = 1, at_most_once: bool = True, defects: frozenset[Defect] = frozenset()
    ) -> None:
        """Create a cluster in which the owner holds its lease and its replicas are complete.

        Args:
            replica_count: number of replicas in addition to the owner's journal.
            at_most_once: whether a message may be executed at most once; otherwise it is idempotent.
            defects: safeguards to remove.
        """
        self.couriers = {name: ModelCourier(name) for name in COURIERS}
        self.clock = ModelClock()
        self.network = ReplicationNetwork(MAX_MESSAGES_PER_ROUND)
        self.destination = ModelDestination(at_most_once=at_most_once)
        self.consensus = ModelConsensus(self.couriers, self.network, self.clock, defects)
        environment = Environment(self.clock, self.network, self.destination, defects)
        self._service = ModelReplicationService(self.couriers, self.consensus, environment)
        self._healthy_rounds = 0  # rounds since the last fault, at most HEALTHY_ROUNDS
        self._restart_rounds: dict[str, int] = {}  # by crashed courier, rounds until it restarts
        self.consensus.commit(AssignRole(ROLE, OWNER, 1, 0).encode())
        replicas = COURIERS[1 : 1 + replica_count]
        self.consensus.commit(SetReplicaPlacement(OWNER, replicas, (), 0).encode())
        for _ in range(SETTLING_ROUNDS):
            self.run_round()
        assert self.couriers[OWNER].stream is not None
        for message_id in MESSAGE_IDS:
            self.submit(message_id)

    def submit(self, message_id: str) -> bool:
        """Submit a message to the owner as a client; return whether the owner accepts it."""
        return self._service.accept(self.couriers[OWNER], message_id)

    # ---- faults ------------------------------------------------------------------------------------------
    def available_faults(self) -> list[Fault]:
        """Return the faults that may begin now."""
        faults: list[Fault] = []
        process_faults = (
            FaultKind.KILL,
            FaultKind.LOSE_DATA_DIRECTORY,
            FaultKind.FREEZE,
            FaultKind.ISOLATE,
        )
        for courier in self.couriers.values():
            if courier.is_active:
                faults += [
                    Fault(kind, courier.name, rounds)
                    for kind in process_faults
                    for rounds in SHORT_AND_LONG_ROUNDS
                ]
        first, second, third = COURIERS
        for one, other in ((first, second), (first, third), (second, third)):
            faults.append(Fault(FaultKind.PARTITION, one, LONG_ROUNDS, other))
        faults += [Fault(FaultKind.ONE_WAY_PARTITION, OWNER, LONG_ROUNDS, peer) for peer in COURIERS[1:]]
        return [*faults, Fault(FaultKind.SLOW_CLOCK, OWNER, LONG_ROUNDS)]

    def inject_fault(self, fault: Fault) -> None:
        """Begin a fault."""
        match fault.kind:
            case FaultKind.KILL | FaultKind.LOSE_DATA_DIRECTORY:
                self._crash(fault)
            case FaultKind.FREEZE:
                self.couriers[fault.courier].frozen_rounds = fault.rounds
            case FaultKind.SLOW_CLOCK:
                self.clock.slow_rounds = fault.rounds
            case FaultKind.ISOLATE:
                for other in COURIERS:
                    if other != fault.courier:
                        self.network.cut_both_ways(fault.courier, other, fault.rounds)
            case FaultKind.ONE_WAY_PARTITION:
                self.network.cut(fault.courier, fault.peer, fault.rounds)
            case FaultKind.PARTITION:
                self.network.cut_both_ways(fault.courier, fault.peer, fault.rounds)

    def _crash(self, fault: Fault) -> None:
        courier = self.couriers[fault.courier]
        courier.crash()
        self.destination.abort_calls(courier.name)
        if fault.kind is FaultKind.LOSE_DATA_DIRECTORY:
            courier.lose_data_directory()
        self._restart_rounds[courier.name] = fault.rounds

    # ---- a round -----------------------------------------------------------------------------------------
    def run_round(self) -> None:
        """Deliver the messages in flight, advance the time, and run the actions that are due.

        Raises:
            InvariantViolationError: if an invariant does not hold.
        """
        self.network.deliver_all(self._receive)
        self._advance_destination()
        self.clock.advance_round()
        self._advance_frozen()
        self._restart_crashed()
        self.network.advance_round()
        self.clock.slow_rounds = max(0, self.clock.slow_rounds - 1)
        self._check_completions()
        self.consensus.run_round()
        for courier in self.couriers.values():
            if courier.is_active:
                self._service.run_round(courier)

    def _receive(self, envelope: ReplicationEnvelope) -> None:
        target = self.couriers[envelope.target]
        if target.is_running and self.couriers[envelope.source].is_running:
            self._deliver(target, envelope.source, envelope.message)

    def _advance_destination(self) -> None:
        for call in self.destination.advance_round():
            response = DestinationResponse(call.message_id)
            self._deliver(self.couriers[call.courier], DESTINATION, response)

    def _deliver(self, courier: ModelCourier, source: str, message: ModelMessage) -> None:
        if courier.frozen_rounds:
            courier.unread.append(ReceivedMessage(source, message))
        else:
            self._service.receive(courier, source, message)

    def _advance_frozen(self) -> None:
        for courier in self.couriers.values():
            if not courier.frozen_rounds:
                continue
            courier.frozen_rounds -= 1
            if not courier.frozen_rounds:
                unread = courier.unread
                courier.unread = []
                for received in unread:
                    self._service.receive(courier, received.source, received.message)

    def _restart_crashed(self) -> None:
        for name in list(self._restart_rounds):
            self._restart_rounds[name] -= 1
            if self._restart_rounds[name] <= 0:
                del self._restart_rounds[name]
                self.couriers[name].restart()

    def _check_completions(self) -> None:
        """Check that acknowledged messages are complete after `HEALTHY_ROUNDS` without a fault."""
        has_fault = (
            self.network.cut_links
            or self._restart_rounds
            or self.clock.slow_rounds
            or any(courier.frozen_rounds for courier in self.couriers.values())
        )
        self._healthy_rounds = 0 if has_fault else min(self._healthy_rounds + 1, HEALTHY_ROUNDS)
        incomplete = self.destination.incomplete()
        if incomplete and self._healthy_rounds >= HEALTHY_ROUNDS:
            raise InvariantViolationError(f"{incomplete} were acknowledged, and never complete")

    # ---- the checker -------------------------------------------------------------------------------------
    def key(self) -> Hashable:
        """Return the state as a comparable value, with times relative to now."""
        return (
            self._healthy_rounds,
            tuple(canonical_state(courier, self.clock.now) for courier in self.couriers.values()),
            repr(self.network.in_flight),
            tuple(sorted(self.network.cut_links.items())),
            self.clock.slow_rounds,
            repr(self._restart_rounds),
            self.consensus.key(),
            canonical_state(self.destination, self.clock.now),
        )
