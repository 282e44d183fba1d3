"""The local view of one other node, with its suspicion timeout."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import log, log10

from winchspan.membership.config import INDIRECT_PROBE_COUNT, MAX_SUSPICION_FACTOR, SwimTiming
from winchspan.membership.messages import MembershipUpdate, NodeState


@dataclass(slots=True)
class NodeRecord:
    """The local view of another node.

    Attributes:
        state: last known state; None before the first update about the node.
        incarnation: highest known incarnation.
        process_nonce: nonce of the process with this incarnation.
        state_since_ms: time of the last change of `state`.
        suspicion_deadline_ms: time at which a suspected node is declared gone.
        accusers: nodes that have raised or confirmed the suspicion.
        previous_nonce: nonce of the previous process; 0 if unknown.
        reappearance_count: number of updates from the previous process after those of a later one.
        has_name_conflict: whether two running processes use the node name.
    """

    state: NodeState | None = None
    incarnation: int = 0
    process_nonce: int = 0
    state_since_ms: float = 0.0
    suspicion_deadline_ms: float = 0.0
    accusers: set[str] = field(default_factory=set)
    previous_nonce: int = 0
    reappearance_count: int = 0
    has_name_conflict: bool = False

    @property
    def is_active(self) -> bool:
        """Whether the node is alive, suspected or not."""
        return self.state in (NodeState.ALIVE, NodeState.SUSPECT)

    def is_superseded_by(self, update: MembershipUpdate) -> bool:
        """Whether an update overrides the record: higher incarnation, then higher state (SWIM 4.2)."""
        if self.state is None:
            return True
        return (update.incarnation, update.state) > (self.incarnation, self.state)

    def is_confirmed_by(self, update: MembershipUpdate) -> bool:
        """Whether an update repeats the current suspicion."""
        return (
            update.state is self.state is NodeState.SUSPECT
            and update.incarnation == self.incarnation
            and update.process_nonce == self.process_nonce
        )

    def as_update(self, name: str, state: NodeState, suspected_by: str) -> MembershipUpdate:
        """Return an update about the node in its known incarnation."""
        return MembershipUpdate(name, state, self.incarnation, self.process_nonce, suspected_by)

    def add_accuser(self, accuser: str) -> bool:
        """Add an accuser; return whether it is a further one within the limit."""
        if accuser in self.accusers or len(self.accusers) > INDIRECT_PROBE_COUNT:
            return False
        self.accusers.add(accuser)
        return True


def suspicion_timeout_ms(timing: SwimTiming, member_count: int, accuser_count: int) -> float:
    """Return the timeout of a suspicion in ms (Lifeguard, "dynamic suspicion").

    The timeout starts at MAX_SUSPICION_FACTOR times the shortest timeout and decreases with the logarithm of
    the number of independent accusers.

    Args:
        timing: timing of the cluster.
        member_count: number of active nodes, including the local one.
        accuser_count: number of independent accusers, at least 1.
    """
    scale = max(1.0, log10(member_count))
    shortest_ms = timing.suspicion_multiplier * scale * timing.probe_interval_ms
    expected_confirmations = min(INDIRECT_PROBE_COUNT, member_count - 2)
    if expected_confirmations < 1:
        return shortest_ms
    share = log(accuser_count) / log(expected_confirmations + 1)
    range_ms = (MAX_SUSPICION_FACTOR - 1) * shortest_ms
    return max(shortest_ms, MAX_SUSPICION_FACTOR * shortest_ms - range_ms * share)
