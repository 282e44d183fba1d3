"""Faults of the lease model that the checker explores, and defects that tests plant in the model."""

from __future__ import annotations

from enum import Enum
from typing import Final, NamedTuple

NODE_IDS: Final = ("a#1", "b#1", "c#1")
STORE: Final = "store"  # name of the store to which the lease holder writes
FAULT_ROUNDS: Final = (4, 15)  # shorter than an election, and longer than a lease


class FaultKind(Enum):
    """The kind of a fault; the values appear in counterexamples."""

    REVERSE_MESSAGES = "reverse messages in flight"
    LOSE_MESSAGES = "lose messages in flight"
    RESTART = "restart"
    LOSE_DATA_DIRECTORY = "lose data directory"
    FREEZE = "freeze"
    CUT_OUTBOUND = "cut outbound"
    CUT_INBOUND = "cut inbound"
    ISOLATE = "isolate"
    DELAY_LINK = "delay link"
    PARTITION_LINK = "partition link"


class Fault(NamedTuple):
    """A fault with its location and duration; empty fields do not apply to the kind."""

    kind: FaultKind
    node_id: str = ""
    peer: str = ""
    rounds: int = 0

    def __str__(self) -> str:
        """Describe the fault for counterexamples."""
        place = " to ".join(part for part in (self.node_id, self.peer) if part)
        duration = f"for {self.rounds} rounds" if self.rounds else ""
        return " ".join(part for part in (self.kind.value, place, duration) if part)


class Defect(Enum):
    """A safeguard that a test removes to verify that the model checker finds the violation."""

    VOTE_BEFORE_PERSIST = "votes are sent before they are persisted"
    NO_LEASE_CHECK = "the lease is not checked right before the act"
    NO_EPOCH_CHECK = "the store does not compare epochs"


def node_faults(node_id: str) -> list[Fault]:
    """Return the faults that may affect a running node."""
    kinds = (FaultKind.FREEZE, FaultKind.CUT_OUTBOUND, FaultKind.CUT_INBOUND, FaultKind.ISOLATE)
    faults = [Fault(FaultKind.RESTART, node_id), Fault(FaultKind.LOSE_DATA_DIRECTORY, node_id)]
    faults += [Fault(kind, node_id, rounds=rounds) for kind in kinds for rounds in FAULT_ROUNDS]
    return faults


def link_faults() -> list[Fault]:
    """Return the faults that affect a single link."""
    longest = FAULT_ROUNDS[-1]
    delays = [
        Fault(FaultKind.DELAY_LINK, source, target, longest)
        for source in NODE_IDS
        for target in (*NODE_IDS, STORE)
        if source != target
    ]
    neighbours = zip(NODE_IDS, (*NODE_IDS[1:], NODE_IDS[0]), strict=True)
    partitions = [Fault(FaultKind.PARTITION_LINK, one, other, longest) for one, other in neighbours]
    return delays + partitions
