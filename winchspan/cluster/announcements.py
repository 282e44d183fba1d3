"""Announcements of the members' state, and the check that no member's consensus store was rolled back."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from loguru import logger
from msgspec import UNSET

from winchspan.cluster.clock_checks import ClockChecks
from winchspan.cluster.message_bus import MessageBus
from winchspan.cluster.messages import NodeAnnouncement
from winchspan.cluster.node import ClusterNode
from winchspan.consensus.bootstrap import ClusterBootstrap, node_name
from winchspan.consensus.messages import Message, PersistentState
from winchspan.consensus.node_state import RaftRole
from winchspan.consensus.raft import Raft
from winchspan.consensus.rollback_detection import (
    LoadedState,
    Promise,
    RollbackDetector,
    StoreProgress,
    promise_of_message,
)
from winchspan.consensus.store import ConsensusStore

MAX_LOCATION_LENGTH = 64  # characters of a zone or region received from another member


class JournalOwnership(NamedTuple):
    """Incarnation of a member's process, and the epoch under which the member owns its journal; 0: none."""

    incarnation: int
    epoch: int


class Location(NamedTuple):
    """Zone and region of a member."""

    zone: str
    region: str


@dataclass(frozen=True, slots=True)
class LocalState:
    """Components of this member whose state it announces.

    Attributes:
        store: consensus store on disk.
        loaded: state that the store held when this process started.
        raft: state machine of consensus.
        bootstrap: collects the members' reports for the creation of the cluster.
        clocks: checks of the members' clocks.
    """

    store: ConsensusStore
    loaded: PersistentState
    raft: Raft
    bootstrap: ClusterBootstrap
    clocks: ClockChecks


class NodeAnnouncements:
    """Announces this member to the others, and processes their announcements.

    Attributes:
        journals: journal ownership by member.
        locations: zone and region by member.
    """

    def __init__(
        self,
        node: ClusterNode,
        local: LocalState,
        bus: MessageBus,
        location: Location,
        on_rolled_back: Callable[[str], None],
    ) -> None:
        """Subscribe to announcements.

        Args:
            node: this process.
            local: components whose state is announced.
            bus: sends messages to the other members.
            location: this member's zone and region.
            on_rolled_back: called with the reason when another member shows that this member's store was
                rolled back.
        """
        self._node = node
        self._local = local
        self._bus = bus
        self._on_rolled_back = on_rolled_back
        self._rollbacks = RollbackDetector()
        self._loaded_state = LoadedState.of(local.loaded)
        self._is_stopped = False
        self.journals: dict[str, JournalOwnership] = {}
        self.locations = {node.name: location}
        bus.subscribe(NodeAnnouncement, self._on_announcement)
        bus.on_connected(self.announce_to)

    def stop(self) -> None:
        """Stop sending announcements."""
        self._is_stopped = True

    def set_journal_epoch(self, epoch: int) -> None:
        """Set the epoch under which this member owns its journal."""
        self.journals[self._node.name] = JournalOwnership(self._node.incarnation, epoch)

    def is_rolled_back(self, member: str) -> bool:
        """Return whether a member's store is older than the progress that it reported before."""
        return self._rollbacks.is_rolled_back(member)

    def record_promise(self, member: str, source: str, message: Message) -> None:
        """Record the vote or log entry that a member's store committed itself to in a message to this one."""
        raft = self._local.raft
        is_leader = raft.role is RaftRole.LEADER and raft.term == message.term
        promise = promise_of_message(message, source, raft.node_id, raft.log.term_at if is_leader else None)
        if promise is not None:
            self._rollbacks.record_promise(member, source, promise)

    def announce_to_all(self) -> None:
        """Announce this member to all others."""
        for member in self._bus.members:
            self.announce_to(member)

    def announce_to(self, member: str) -> None:
        """Announce this member to another one, unless its store has a backlog or this is stopped."""
        store, raft = self._local.store, self._local.raft
        if store.has_backlog or self._is_stopped:
            return
        location = self.locations[self._node.name]
        known = self._rollbacks.known_progress(member)
        announcement = NodeAnnouncement(
            store_id=store.member_id,
            is_empty=is_log_empty(raft),
            incarnation=self._node.incarnation,
            clock_ms=self._node.now_ms(),
            zone=location.zone,
            region=location.region,
            is_clock_drifting=self._local.clocks.is_drifting(self._node.name),
            journal_epoch=self.journals[self._node.name].epoch,
            store_start_count=store.start_count,
            term=raft.term,
            commit_index=raft.commit_index,
            last_index=raft.last_position[0],
            known_progress=known,
            loaded_state=self._loaded_state,
            known_promise=UNSET if known is None else self._rollbacks.known_promise(member, known[0]),
        )
        self._bus.send(member, announcement)

    def _on_announcement(self, sender: str, announcement: NodeAnnouncement) -> None:
        if node_name(announcement.store_id) != sender or not self._passes_rollback_check(
            sender, announcement
        ):
            return
        self._local.bootstrap.record_node(announcement.store_id, announcement.is_empty)
        self._local.clocks.record_self_report(sender, is_clock_drifting=announcement.is_clock_drifting)
        self.journals[sender] = JournalOwnership(announcement.incarnation, announcement.journal_epoch)
        self.locations[sender] = Location(
            announcement.zone[:MAX_LOCATION_LENGTH], announcement.region[:MAX_LOCATION_LENGTH]
        )
        self._local.clocks.record(self._node.now_ms(), sender, announcement)

    def _own_progress(self) -> StoreProgress:
        store, raft = self._local.store, self._local.raft
        return StoreProgress(
            store.start_count, self._node.incarnation, raft.term, raft.commit_index, raft.last_position[0]
        )

    def _describe_own_rollback(self, known: StoreProgress, promise: Promise) -> str:
        """Describe the state that this store lacks although another member knows of it; empty if none."""
        missing = self._own_progress().describe_rollback(known)
        if missing or known.life == self._node.incarnation:
            return missing
        missing = self._loaded_state.describe_rollback(known, promise)
        if not missing and not promise.is_satisfied_by(self._local.loaded):
            return f"entry {promise.index} of term {promise.entry_term}"
        return missing

    def _passes_rollback_check(self, sender: str, announcement: NodeAnnouncement) -> bool:
        """Return whether neither store lacks state that it is known to have had."""
        known = announcement.known_progress
        if known is not None and known[0] == self._local.store.member_id:
            promise = announcement.known_promise
            missing = self._describe_own_rollback(known[1], Promise() if promise is UNSET else promise)
            if missing:
                self._on_rolled_back(
                    f"{self._local.store.path}: is older than what {sender} knows of it ({missing}): "
                    "later promises are lost; start the courier with an empty data directory "
                    "or with the latest one"
                )
                return False
        progress = StoreProgress(
            announcement.store_start_count,
            announcement.incarnation,
            announcement.term,
            announcement.commit_index,
            announcement.last_index,
        )
        loaded = None if announcement.loaded_state is UNSET else announcement.loaded_state
        missing = self._rollbacks.record_progress(sender, announcement.store_id, progress, loaded)
        if missing:
            logger.error(
                "fleet: the data directory of {} was rolled back: {}", announcement.store_id, missing
            )
            self.announce_to(sender)
        return not missing


def is_log_empty(raft: Raft) -> bool:
    """Return whether a member has neither a log entry nor a term, so that it never took part in consensus."""
    return not raft.last_position[0] and not raft.term
