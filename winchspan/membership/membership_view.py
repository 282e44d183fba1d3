"""Local view of the members: states, incarnations, suspicions (SWIM 4.2) and their dissemination (4.1)."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Final

from winchspan.membership.actions import Action, NameConflictDetected, NodeRestarted, NodeStateChanged
from winchspan.membership.config import (
    CONFLICT_THRESHOLD,
    MAX_PIGGYBACKED_UPDATES,
    MAX_TRACKED_NONCES,
    SwimConfig,
)
from winchspan.membership.dissemination import DisseminationBuffer
from winchspan.membership.local_health import LocalHealth
from winchspan.membership.messages import MAX_INCARNATION, MembershipUpdate, NodeState
from winchspan.membership.node_record import NodeRecord, suspicion_timeout_ms

# Causes for which an update is dropped; they are labels of the metric `fleet.dropped.CAUSE`.
DROPPED_UNKNOWN_MEMBER: Final = "no member"
DROPPED_INVALID_NUMBER: Final = "impossible numbers"


class MembershipView:
    """The local node's view of itself and of the other nodes.

    Attributes:
        node_name: name of the local node.
        process_nonce: random number that identifies this process.
        incarnation: incarnation of the local node; raised to refute statements of other nodes about it.
        is_leaving: whether the local node has announced that it leaves.
        has_name_conflict: whether another running process uses this node's name.
        records: the other nodes by name.
        dropped: messages and updates that were not processed, by cause.
    """

    def __init__(
        self, config: SwimConfig, others: Iterable[str], now: float, health: LocalHealth, outbox: list[Action]
    ) -> None:
        """Create a view of members in unknown states.

        Args:
            config: identity and parameters of the local node.
            others: names of the other nodes; the local one may be among them.
            now: time in ms.
            health: degraded when the local node has to refute a suspicion.
            outbox: list to which events are appended in order.
        """
        self.node_name = config.node_name
        self.process_nonce = config.process_nonce
        self.incarnation = 0
        self.is_leaving = False
        self.has_name_conflict = False
        self.records = {
            name: NodeRecord(state_since_ms=now) for name in sorted(others) if name != config.node_name
        }
        self.dropped: Counter[str] = Counter()
        self._timing = config.timing
        self._health = health
        self._outbox = outbox
        self._dissemination = DisseminationBuffer()
        self._foreign_nonces: Counter[int] = Counter()  # messages of other processes under the local name

    # ---- queries -----------------------------------------------------------------------------------------
    def active_members(self) -> list[str]:
        """Return the other nodes that are alive, suspected or not."""
        return [name for name, record in self.records.items() if record.is_active]

    def count_by_state(self) -> dict[str, int]:
        """Return the number of nodes in each state, the local one included."""
        counts = Counter(
            "unknown" if record.state is None else record.state.name.lower()
            for record in self.records.values()
        )
        counts["left" if self.is_leaving else "alive"] += 1
        return {state: counts[state] for state in ("alive", "suspect", "gone", "left", "unknown")}

    def suspicion_deadlines_ms(self) -> list[float]:
        """Return the times at which the suspected nodes are declared gone."""
        return [
            record.suspicion_deadline_ms
            for record in self.records.values()
            if record.state is NodeState.SUSPECT
        ]

    # ---- members -----------------------------------------------------------------------------------------
    def reconfigure(self, now: float, others: Iterable[str]) -> None:
        """Replace the set of members, and remove all other nodes."""
        members = {name for name in others if name != self.node_name}
        for name in sorted(self.records.keys() - members):
            record = self.records.pop(name)
            self._dissemination.discard(name)
            self._outbox.append(
                NodeStateChanged(
                    name, None, record.incarnation, record.process_nonce, "removed from the configuration"
                )
            )
        for name in sorted(members - self.records.keys()):
            self.records[name] = NodeRecord(state_since_ms=now)

    # ---- suspicions --------------------------------------------------------------------------------------
    def suspect(self, now: float, name: str) -> None:
        """Suspect a node whose probe has failed."""
        record = self.records[name]
        if record.is_active:
            self.handle_update(now, record.as_update(name, NodeState.SUSPECT, self.node_name))

    def postpone_suspicions(self, delay_ms: float) -> None:
        """Postpone the timeouts of all suspicions."""
        for record in self.records.values():
            if record.state is NodeState.SUSPECT:
                record.suspicion_deadline_ms += delay_ms

    def expire_suspicions(self, now: float) -> None:
        """Declare the nodes gone whose suspicion timeout has elapsed."""
        for name, record in self.records.items():
            if record.state is not NodeState.SUSPECT or record.suspicion_deadline_ms > now:
                continue
            update = record.as_update(name, NodeState.GONE, self.node_name)
            accusers = ", ".join(sorted(record.accusers))
            self.apply(now, update, f"suspected for {now - record.state_since_ms:.0f} ms by {accusers}")

    def _confirm_suspicion(self, record: NodeRecord, update: MembershipUpdate) -> None:
        if not record.add_accuser(update.suspected_by or "others"):
            return
        member_count = len(self.active_members()) + 1
        timeout_ms = suspicion_timeout_ms(self._timing, member_count, len(record.accusers))
        record.suspicion_deadline_ms = record.state_since_ms + timeout_ms
        self._dissemination.enqueue(update)

    # ---- updates -----------------------------------------------------------------------------------------
    def handle_update(self, now: float, update: MembershipUpdate) -> None:
        """Process an update from another node, or a suspicion raised by the local node."""
        if not is_valid(update.incarnation, update.process_nonce):
            self.dropped[DROPPED_INVALID_NUMBER] += 1
        elif update.name == self.node_name:
            self._handle_update_about_self(update)
        elif update.name not in self.records:
            self.dropped[DROPPED_UNKNOWN_MEMBER] += 1
        else:
            self.apply(now, update, f"{update.suspected_by or 'others'} reported it")

    def apply(self, now: float, update: MembershipUpdate, reason: str) -> None:
        """Apply an update that overrides the record; a confirmed suspicion may shorten the timeout."""
        record = self.records[update.name]
        if not record.is_superseded_by(update):
            if record.is_confirmed_by(update):
                self._confirm_suspicion(record, update)
            return
        if record.state is not None and update.process_nonce != record.process_nonce:
            self._handle_process_change(record, update)
        previous_state = record.state
        record.state = update.state
        record.incarnation = update.incarnation
        record.process_nonce = update.process_nonce
        record.accusers.clear()
        self._dissemination.enqueue(update)
        if update.state is not previous_state:
            record.state_since_ms = now
            self._outbox.append(
                NodeStateChanged(update.name, update.state, update.incarnation, update.process_nonce, reason)
            )
        if update.state is NodeState.SUSPECT:
            self._confirm_suspicion(record, update)

    def _handle_process_change(self, record: NodeRecord, update: MembershipUpdate) -> None:
        """Report a restart, or a name conflict if the previous process repeatedly reappears."""
        if update.process_nonce == record.previous_nonce:
            record.reappearance_count += 1
        record.previous_nonce = record.process_nonce
        if record.has_name_conflict:
            return
        if record.reappearance_count >= CONFLICT_THRESHOLD:
            record.has_name_conflict = True
            self._outbox.append(NameConflictDetected(update.name))
        else:
            self._outbox.append(NodeRestarted(update.name, update.process_nonce))

    # ---- the local node ----------------------------------------------------------------------------------
    def _handle_update_about_self(self, update: MembershipUpdate) -> None:
        """Refute a suspicion with a higher incarnation (SWIM 4.2)."""
        if update.process_nonce != self.process_nonce:
            self.handle_foreign_process(update.process_nonce, update.incarnation)
            return
        if update.state is NodeState.ALIVE or self.is_leaving:
            return
        if self.incarnation <= update.incarnation < MAX_INCARNATION:
            self.incarnation = update.incarnation + 1
            self._health.degrade()  # a suspicion by others is evidence of slowness (Lifeguard)
            self._announce_self()

    def handle_foreign_process(self, process_nonce: int, incarnation: int) -> None:
        """Override another process that uses this node's name: the previous or a concurrent one."""
        if not is_valid(incarnation, process_nonce) or incarnation == MAX_INCARNATION:
            self.dropped[DROPPED_INVALID_NUMBER] += 1
            return
        if incarnation < self.incarnation:
            return  # a late statement that is already overridden
        if process_nonce in self._foreign_nonces or len(self._foreign_nonces) < MAX_TRACKED_NONCES:
            self._foreign_nonces[process_nonce] += 1
        if self._foreign_nonces[process_nonce] >= CONFLICT_THRESHOLD and not self.has_name_conflict:
            self.has_name_conflict = True
            self._outbox.append(NameConflictDetected(self.node_name))
        self.incarnation = incarnation + 1
        self._announce_self()

    def _announce_self(self) -> None:
        state = NodeState.LEFT if self.is_leaving else NodeState.ALIVE
        update = MembershipUpdate(self.node_name, state, self.incarnation, self.process_nonce)
        self._dissemination.enqueue(update)

    # ---- dissemination -----------------------------------------------------------------------------------
    def piggyback(self, recipient: str) -> tuple[MembershipUpdate, ...]:
        """Return the recipient's state in this view (Lifeguard, "buddy system"), then the newest updates."""
        updates: list[MembershipUpdate] = []
        record = self.records.get(recipient)
        if record is not None and record.state is not None:
            accuser = min(record.accusers, default="")
            updates.append(record.as_update(recipient, record.state, accuser))
        max_count = MAX_PIGGYBACKED_UPDATES - len(updates)
        updates += self._dissemination.take(max_count, recipient, len(self.records) + 1)
        return tuple(updates)


def is_valid(incarnation: int, process_nonce: int) -> bool:
    """Return whether the incarnation and the process nonce of a message or an update are in range."""
    return 0 <= incarnation <= MAX_INCARNATION and process_nonce >= 1
