"""Commands of the replicated log that change the lease table, and their JSON encoding."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any, Final

JOURNAL_ROLE_PREFIX: Final = (
    "work-"  # prefix, before a courier's name, of the role that owns the courier's journal
)


@dataclass(frozen=True, slots=True)
class AssignRole:
    """Assign a role to a process, if the role's epoch is still the expected one."""

    role: str
    holder: str
    process_nonce: int
    expected_epoch: int  # 0 if the role has no holder yet

    def encode(self) -> bytes:
        """Encode the command as the data of a log entry."""
        fields = {
            "assign": self.role,
            "owner": self.holder,
            "life": self.process_nonce,
            "was": self.expected_epoch,
        }
        return json.dumps(fields, separators=(",", ":")).encode()


@dataclass(frozen=True, slots=True)
class SetReplicaPlacement:
    """Set the replica nodes of a courier's journal, if the placement's version is still the expected one."""

    owner: str
    replicas: tuple[str, ...]
    joining: tuple[str, ...]
    expected_version: int  # 0 if there is no placement yet

    def encode(self) -> bytes:
        """Encode the command as the data of a log entry."""
        fields = {
            "place": self.owner,
            "names": self.replicas,
            "joining": self.joining,
            "was": self.expected_version,
        }
        return json.dumps(fields, separators=(",", ":")).encode()


@dataclass(frozen=True, slots=True)
class TakeoverCompleted:
    """Record that another node has taken over a courier's journal, whose replicas become obsolete."""

    owner: str
    epoch: int

    def encode(self) -> bytes:
        """Encode the command as the data of a log entry."""
        return json.dumps({"done": self.owner, "epoch": self.epoch}, separators=(",", ":")).encode()


LeaseCommand = AssignRole | SetReplicaPlacement | TakeoverCompleted


def decode_command(data: bytes) -> LeaseCommand | None:
    """Decode the data of a log entry; return None if it is not a command of this version."""
    try:
        fields = json.loads(data)
        if "assign" in fields:
            return _read_assign_role(fields)
        if "place" in fields:
            return _read_set_replica_placement(fields)
        return TakeoverCompleted(str(fields["done"]), int(fields["epoch"]))
    except (ValueError, KeyError, TypeError):
        return None


def _read_assign_role(fields: dict[str, Any]) -> AssignRole:
    return AssignRole(str(fields["assign"]), str(fields["owner"]), int(fields["life"]), int(fields["was"]))


def _read_set_replica_placement(fields: dict[str, Any]) -> SetReplicaPlacement:
    return SetReplicaPlacement(
        str(fields["place"]),
        tuple(map(str, fields["names"])),
        tuple(map(str, fields["joining"])),
        int(fields["was"]),
    )


def journal_role(owner: str) -> str:
    """Return the name of the role that owns a courier's journal."""
    return JOURNAL_ROLE_PREFIX + owner


def journal_owner_of(data: bytes) -> str:
    """Return the courier whose journal a command refers to; empty if it refers to none."""
    try:
        fields = json.loads(data)
        return str(fields.get("place", fields.get("done", "")))
    except (ValueError, AttributeError):
        return ""
