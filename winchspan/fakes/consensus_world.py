"""A simulated Raft cluster in virtual time, whose disks may tear writes, fill up or be lost.

Each step checks two invariants on the committed state: one leader per term, and one entry per index.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Final

from winchspan.consensus.messages import (
    CommitEntry,
    LeaderChanged,
    LogEntry,
    Message,
    PersistentState,
    PersistState,
    RaftCommand,
    RestoreSnapshot,
    SendMessage,
)
from winchspan.consensus.node_state import RaftRole
from winchspan.consensus.raft import Raft
from winchspan.consensus.store import apply_persist_state
from winchspan.consensus.timing import RaftTiming
from winchspan.fakes.virtual_time import NetworkFaults, VirtualTimeWorld

MAX_UNREAD_MESSAGES: Final = 500  # buffered for a frozen node; further ones are lost
TIMER_TOLERANCE_MS: Final = 1e-6
PROPOSAL_INTERVAL_MS: Final = 200.0


class InvariantViolationError(AssertionError):
    """An invariant of the cluster is violated."""


@dataclass(slots=True)
class SimulatedNode:
    """A node's disk, its process if it runs, and the unread messages of a frozen process."""

    node_id: str
    persistent_state: PersistentState = field(default_factory=PersistentState)
    raft: Raft | None = None
    unread: list[tuple[str, Message]] | None = None
    is_disk_full: bool = False
    pending_writes: list[PersistState] = field(
        default_factory=list
    )  # writes that wait until the disk has space
    commands: list[bytes] = field(default_factory=list)  # committed commands that this process has applied
    next_tick_ms: float = -1.0  # virtual time of the armed timer; negative without one
    clock_rate: float = 1.0  # seconds of the node's clock per second of virtual time

    @property
    def is_running(self) -> bool:
        """Whether the node's process runs and is not frozen."""
        return self.raft is not None and self.unread is None


class ConsensusWorld(VirtualTimeWorld):
    """The nodes of a Raft cluster with their disks, network and clocks."""

    def __init__(
        self,
        node_ids: list[str],
        seed: int,
        timing: RaftTiming | None = None,
        network: NetworkFaults | None = None,
    ) -> None:
        """Create the nodes; the first one bootstraps the cluster.

        Args:
            node_ids: ids of the nodes, in the form `name#incarnation`.
            seed: of all random numbers.
            timing: Raft timing of the nodes.
            network: faults of the network; none but a small delay by default.
        """
        super().__init__(seed, network or NetworkFaults())
        self.timing = timing or RaftTiming()
        self.nodes = {node_id: SimulatedNode(node_id) for node_id in node_ids}
        self.leaders: dict[int, str] = {}  # by term
        self.committed: dict[int, LogEntry] = {}  # by index
        self.crash_at_write: dict[
            str, int
        ] = {}  # by node: number of the write from now at which the process is killed
        self.persists_votes = True  # False in tests that violate the obligation to persist votes
        for node_id in node_ids:
            self.start(node_id)
        first = self.nodes[node_ids[0]]
        assert first.raft is not None
        self.execute(first, first.raft.bootstrap(self.clock(first), frozenset(node_ids)))

    def clock(self, node: SimulatedNode) -> float:
        """Return the reading of a node's clock, in ms."""
        return self.now * node.clock_rate

    # ---- faults and requests of the test -----------------------------------------------------------------
    def start(self, node_id: str) -> None:
        """Start a process on the state of its disk; the disk of a new node is empty."""
        node = self.nodes.setdefault(node_id, SimulatedNode(node_id))
        seed = self.rng.randrange(1 << 30)
        node.raft = Raft(node_id, node.persistent_state, seed, self.clock(node), self.timing)
        node.unread = None
        node.next_tick_ms = -1.0
        node.commands = []
        node.pending_writes = []
        self.arm_timer(node)

    def kill(self, node_id: str) -> None:
        """Kill a process; its disk stays."""
        self.nodes[node_id].raft = None

    def freeze(self, node_id: str) -> None:
        """Freeze a process, as SIGSTOP does."""
        self.nodes[node_id].unread = []

    def thaw(self, node_id: str) -> None:
        """Resume a frozen process, which first handles its unread messages."""
        node = self.nodes[node_id]
        unread = node.unread or []
        node.unread = None
        for source, message in unread:
            self._handle(node, source, message)
        self.arm_timer(node)

    def set_disk_full(self, node_id: str, is_full: bool) -> None:
        """Fill or free a disk; once it is free, the pending writes are applied first."""
        node = self.nodes[node_id]
        node.is_disk_full = is_full
        if is_full or node.raft is None:
            return
        for write in node.pending_writes:
            node.persistent_state = apply_persist_state(node.persistent_state, write)
        node.pending_writes.clear()
        self.execute(node, node.raft.set_suspended(self.clock(node), False))

    def partition(self, node_ids: set[str]) -> None:
        """Partition some nodes from the others, in both directions."""
        self.cut_links |= {
            (source, target)
            for source in self.nodes
            for target in self.nodes
            if (source in node_ids) != (target in node_ids)
        }

    def propose(self, data: bytes) -> int:
        """Propose a command to each running leader until one accepts it; return its index, or 0."""
        for node in self.nodes.values():
            if node.raft is not None and node.raft.role is RaftRole.LEADER and node.unread is None:
                index, commands = node.raft.propose(self.clock(node), data)
                self.execute(node, commands)
                if index:
                    return index
        return 0

    def change_membership(self, members: frozenset[str]) -> int:
        """Propose other voting members to the leader; return the index of the entry, or 0."""
        node = self.leader()
        if node is None or node.raft is None:
            return 0
        index, commands = node.raft.change_membership(self.clock(node), members)
        self.execute(node, commands)
        return index

    def compact(self, node: SimulatedNode, data: bytes) -> None:
        """Replace the committed log entries of a running node by a snapshot."""
        assert node.raft is not None
        self.execute(node, node.raft.compact(node.raft.commit_index, data))

    def leader(self) -> SimulatedNode | None:
        """Return the running leader of the latest term; None without a leader."""
        leaders = [
            (node.raft.term, node)
            for node in self.nodes.values()
            if node.raft is not None and node.raft.role is RaftRole.LEADER and node.unread is None
        ]
        return max(leaders, key=lambda pair: pair[0])[1] if leaders else None

    # ---- time --------------------------------------------------------------------------------------------
    def commit(self, data: bytes, timeout_ms: float = 20_000.0) -> None:
        """Propose a command repeatedly until it is committed."""
        started_at = self.now
        while not any(entry.data == data for entry in self.committed.values()):
            if self.now - started_at > timeout_ms:
                raise AssertionError(f"{data!r} not committed within {timeout_ms:.0f} ms")
            self.propose(data)
            self.run(PROPOSAL_INTERVAL_MS)

    def arm_timer(self, node: SimulatedNode) -> None:
        """Rearm a node's timer if its state machine needs an earlier tick."""
        if node.raft is None or node.unread is not None:
            return
        raft = node.raft
        due_at = max(self.now, raft.tick_due_ms / node.clock_rate)
        if not self.now < node.next_tick_ms <= due_at:
            node.next_tick_ms = due_at
            self.call_later(due_at - self.now, lambda: self._tick(node, raft))

    def _tick(self, node: SimulatedNode, raft: Raft) -> None:
        if node.raft is not raft or node.unread is not None:
            return
        node.next_tick_ms = -1.0
        if raft.tick_due_ms <= self.clock(node) + TIMER_TOLERANCE_MS:
            self.execute(node, raft.tick(max(raft.tick_due_ms, self.clock(node))))
        self.arm_timer(node)

    # ---- commands ----------------------------------------------------------------------------------------
    def execute(self, node: SimulatedNode, commands: list[RaftCommand]) -> None:
        """Execute a node's commands in order; the process may be killed at any write."""
        raft = node.raft
        for command in commands:
            if node.raft is not raft:
                return
            self._execute_one(node, command)

    def _execute_one(self, node: SimulatedNode, command: RaftCommand) -> None:
        match command:
            case PersistState():
                self._persist(node, command)
            case SendMessage(target, message):
                if not node.pending_writes:
                    self._send(node.node_id, target, message)
            case CommitEntry(entry):
                self._apply(node, entry)
            case RestoreSnapshot(snapshot):
                node.commands = snapshot.data.split(b",") if snapshot.data else []
            case LeaderChanged(leader, term, _) if leader == node.node_id:
                if self.leaders.setdefault(term, leader) != leader:
                    raise InvariantViolationError(
                        f"term {term} has two leaders, {self.leaders[term]} and {leader}"
                    )

    def _persist(self, node: SimulatedNode, write: PersistState) -> None:
        writes_left = self.crash_at_write.get(node.node_id, 0)
        if writes_left:
            self.crash_at_write[node.node_id] = writes_left - 1
            if writes_left == 1:
                self._crash_in_write(node, write)
                return
        if node.is_disk_full and node.raft is not None:
            node.pending_writes.append(write)
            if not node.raft.is_suspended:
                self.execute(node, node.raft.set_suspended(self.clock(node), True))
            return
        changes_log = bool(write.entries or write.truncate_from or write.snapshot is not None)
        if self.persists_votes or changes_log:
            node.persistent_state = apply_persist_state(node.persistent_state, write)

    def _crash_in_write(self, node: SimulatedNode, write: PersistState) -> None:
        """Kill a process before a write reaches the disk, or with a torn tail, which recovery drops."""
        self.kill(node.node_id)
        if write.entries and self.rng.random() < 0.5:
            torn_write = replace(write, entries=write.entries[:-1])
            node.persistent_state = apply_persist_state(node.persistent_state, torn_write)

    def _apply(self, node: SimulatedNode, entry: LogEntry) -> None:
        committed = self.committed.setdefault(entry.index, entry)
        if committed != entry:
            raise InvariantViolationError(f"{node.node_id} commits {entry}, but {committed} was committed")
        if entry.data:
            node.commands.append(entry.data)

    # ---- network -----------------------------------------------------------------------------------------
    def is_lost(self, source: str, target: str) -> bool:
        """Return whether the network loses a message; draws a random number unless the link is cut."""
        if (source, target) in self.cut_links:
            return True
        return self.rng.random() < self.network.loss or target not in self.nodes

    def _send(self, source: str, target: str, message: Message) -> None:
        if self.is_lost(source, target):
            return
        for _ in range(self.draw_copy_count()):
            self.call_later(self.draw_delay_ms(), lambda: self._receive(target, source, message))

    def _receive(self, target: str, source: str, message: Message) -> None:
        node = self.nodes[target]
        if node.unread is None:
            self._handle(node, source, message)
            self.arm_timer(node)
        elif len(node.unread) < MAX_UNREAD_MESSAGES:
            node.unread.append((source, message))

    def _handle(self, node: SimulatedNode, source: str, message: Message) -> None:
        if node.raft is not None:
            self.execute(node, node.raft.handle_message(self.clock(node), source, message))
