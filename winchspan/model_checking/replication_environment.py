"""The environment of the couriers in the replication model: faults, network, clock and destination."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Final, TypeAlias

from winchspan.model_checking.checker import InvariantViolationError
from winchspan.model_checking.network import Envelope, ModelNetwork
from winchspan.model_checking.replication_courier import ModelMessage

COURIERS: Final = ("a", "b", "c")
OWNER: Final = "a"
MESSAGE_IDS: Final = ("m1", "m2")  # of one key, in the order of acceptance
ROUND_MS: Final = 100.0
SERVICE_ROUNDS: Final = 2  # duration of a call at the destination
SHORT_AND_LONG_ROUNDS: Final = (4, 40)  # fault durations: below a lease, and above grace period plus takeover
LONG_ROUNDS: Final = SHORT_AND_LONG_ROUNDS[-1]

ReplicationEnvelope: TypeAlias = Envelope[ModelMessage]
ReplicationNetwork: TypeAlias = ModelNetwork[ModelMessage]


class FaultKind(Enum):
    """The kind of a fault; the values appear in counterexamples."""

    KILL = "kill"
    LOSE_DATA_DIRECTORY = "lose-data-directory"
    FREEZE = "freeze"
    ISOLATE = "isolate"
    PARTITION = "partition"  # between two couriers, in both directions
    ONE_WAY_PARTITION = "mute"  # from one courier to another, in this direction only
    SLOW_CLOCK = "slow-clock"  # the owner treats its lease as valid for too long


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of a courier, or of the link between a courier and a peer, for a number of rounds."""

    kind: FaultKind
    courier: str
    rounds: int
    peer: str = ""


class Defect(Enum):
    """A safeguard that a test removes to verify that the model checker finds the violation."""

    ATTEMPT_START_NOT_REPLICATED = "attempt start not replicated"
    LEASE_NOT_CHECKED = "lease not checked"
    MOST_COMPLETE_REPLICA_NOT_CHOSEN = "most complete replica not chosen"
    EPOCHS_NOT_COMPARED = "epochs not compared"


@dataclass(slots=True)
class ModelClock:
    """The time, and the remaining rounds for which the owner's slow clock keeps its lease valid."""

    now: float = 0.0  # ms
    slow_rounds: int = 0

    def advance_round(self) -> None:
        """Advance by one round."""
        self.now += ROUND_MS


class Completion(Enum):
    """How a message was first completed."""

    DELIVERED = "delivered"
    NOTIFIED = "notified"  # the client was notified that it may have been executed


@dataclass(frozen=True, slots=True)
class Call:
    """A call that the destination processes."""

    courier: str
    message_id: str
    remaining_rounds: int


class ModelDestination:
    """The destination, which checks the delivery guarantees with each call."""

    def __init__(self, *, at_most_once: bool) -> None:
        """Create a destination without calls.

        Args:
            at_most_once: whether a message may be executed at most once; otherwise it is idempotent.
        """
        self.at_most_once = at_most_once
        self.acknowledged: list[str] = []  # messages answered +OK
        self.executed: list[str] = []
        self.completions: dict[str, Completion] = {}
        self.calls: list[Call] = []

    def start_call(self, courier: str, message_id: str) -> None:
        """Execute a message.

        Raises:
            InvariantViolationError: if the call violates a delivery guarantee.
        """
        if any(message_id == call.message_id for call in self.calls):
            raise InvariantViolationError(f"two calls of {message_id} at once")
        if self.at_most_once and message_id in self.executed:
            raise InvariantViolationError(f"{message_id} is executed again")
        if self.completions.get(message_id) is Completion.NOTIFIED:
            raise InvariantViolationError(f"{message_id} is executed after its notification")
        first, second = MESSAGE_IDS
        if message_id == second and first in self.acknowledged and first not in self.completions:
            raise InvariantViolationError(
                f"{message_id} is executed before {first}, which was accepted first, is complete"
            )
        self.executed.append(message_id)
        self.calls.append(Call(courier, message_id, SERVICE_ROUNDS))

    def advance_round(self) -> Iterator[Call]:
        """Advance all calls by one round, and yield each completed call before advancing the next."""
        calls = self.calls
        self.calls = []
        for call in calls:
            if call.remaining_rounds > 1:
                self.calls.append(Call(call.courier, call.message_id, call.remaining_rounds - 1))
                continue
            self.complete(call.message_id, Completion.DELIVERED)
            yield call

    def complete(self, message_id: str, completion: Completion) -> None:
        """Record the first completion of a message."""
        self.completions.setdefault(message_id, completion)

    def abort_calls(self, courier: str) -> None:
        """Abort the calls of a courier."""
        self.calls = [call for call in self.calls if call.courier != courier]

    def has_call_from(self, courier: str) -> bool:
        """Whether a courier has a call in flight."""
        return any(call.courier == courier for call in self.calls)

    def has_call_for(self, courier: str, message_id: str) -> bool:
        """Whether a courier has a call with a message in flight."""
        return any((call.courier, call.message_id) == (courier, message_id) for call in self.calls)

    def incomplete(self) -> list[str]:
        """Return the messages that were acknowledged with +OK and are not complete."""
        return [message_id for message_id in self.acknowledged if message_id not in self.completions]


@dataclass(frozen=True, slots=True)
class Environment:
    """The environment of the couriers."""

    clock: ModelClock
    network: ReplicationNetwork
    destination: ModelDestination
    defects: frozenset[Defect]
