"""The lease table: the state machine that each node builds from the committed commands of the replicated log.

It contains the lease of each role, the replica placement of each courier's journal, and the epochs of
completed takeovers. An epoch is the index of the log entry that assigned the role. Epochs therefore increase,
and no two assignments have the same epoch.
"""

from __future__ import annotations

import json
from dataclasses import dataclass

from winchspan.leases.commands import (
    AssignRole,
    SetReplicaPlacement,
    TakeoverCompleted,
    decode_command,
    journal_role,
)


@dataclass(frozen=True, slots=True)
class Lease:
    """The holder of a role, the nonce of the holder's process, and the epoch of the assignment."""

    holder: str
    process_nonce: int
    epoch: int


@dataclass(frozen=True, slots=True)
class ReplicaPlacement:
    """The replica nodes of a courier's journal."""

    replicas: tuple[str, ...]
    joining: tuple[str, ...]  # nodes that replace `replicas` once they have caught up
    version: int  # index of the log entry that set this placement


class LeaseTable:
    """Leases, replica placements and completed takeovers."""

    def __init__(self) -> None:
        self.leases: dict[str, Lease] = {}  # by role
        self.placements: dict[str, ReplicaPlacement] = {}  # by courier
        self.completed_takeovers: dict[str, int] = {}  # epoch of the takeover by courier

    def apply(self, index: int, data: bytes) -> str:
        """Apply a committed command, unless its expected epoch or version is outdated.

        Args:
            index: index of the log entry.
            data: data of the log entry, ignored if it is not a command of this version.

        Returns:
            The role that the command has assigned; empty if none.
        """
        command = decode_command(data)
        match command:
            case AssignRole():
                return self._assign_role(index, command)
            case SetReplicaPlacement():
                self._set_placement(index, command)
            case TakeoverCompleted():
                self._complete_takeover(command)
        return ""

    def encode_snapshot(self) -> bytes:
        """Encode the table as the data of a snapshot."""
        leases = {
            role: [lease.holder, lease.process_nonce, lease.epoch]
            for role, lease in sorted(self.leases.items())
        }
        placements = {
            owner: [placement.replicas, placement.joining, placement.version]
            for owner, placement in sorted(self.placements.items())
        }
        rows = {
            "grants": leases,
            "places": placements,
            "done": dict(sorted(self.completed_takeovers.items())),
        }
        return json.dumps(rows, separators=(",", ":")).encode()

    def restore(self, data: bytes) -> None:
        """Replace the table with the one from a snapshot; empty data clears the table."""
        rows = json.loads(data) if data else {}
        self.leases = {
            str(role): Lease(str(row[0]), int(row[1]), int(row[2]))
            for role, row in rows.get("grants", {}).items()
        }
        self.placements = {
            str(owner): ReplicaPlacement(tuple(row[0]), tuple(row[1]), int(row[2]))
            for owner, row in rows.get("places", {}).items()
        }
        self.completed_takeovers = {str(owner): int(epoch) for owner, epoch in rows.get("done", {}).items()}

    def _assign_role(self, index: int, command: AssignRole) -> str:
        lease = self.leases.get(command.role)
        current_epoch = lease.epoch if lease is not None else 0
        if current_epoch != command.expected_epoch:
            return ""
        self.leases[command.role] = Lease(command.holder, command.process_nonce, index)
        return command.role

    def _set_placement(self, index: int, command: SetReplicaPlacement) -> None:
        placement = self.placements.get(command.owner)
        current_version = placement.version if placement is not None else 0
        if current_version == command.expected_version:
            self.placements[command.owner] = ReplicaPlacement(command.replicas, command.joining, index)

    def _complete_takeover(self, command: TakeoverCompleted) -> None:
        lease = self.leases.get(journal_role(command.owner))
        if lease is not None and lease.epoch == command.epoch and lease.holder != command.owner:
            self.completed_takeovers[command.owner] = command.epoch
            self.placements.pop(command.owner, None)
