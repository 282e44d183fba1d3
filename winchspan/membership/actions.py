"""Actions that the membership protocol returns to its driver: datagrams to send and events to report."""

from __future__ import annotations

from dataclasses import dataclass

from winchspan.membership.messages import Datagram, NodeState


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send a datagram to the node `recipient`."""

    recipient: str
    datagram: Datagram


@dataclass(frozen=True, slots=True)
class NodeStateChanged:
    """The local view of a node's state has changed; `state` is None if the node was removed."""

    name: str
    state: NodeState | None
    incarnation: int
    process_nonce: int
    reason: str


@dataclass(frozen=True, slots=True)
class NodeRestarted:
    """A node runs in a new process, which has none of the previous process's state."""

    name: str
    process_nonce: int


@dataclass(frozen=True, slots=True)
class NameConflictDetected:
    """Two running processes use one node name."""

    name: str


Action = SendDatagram | NodeStateChanged | NodeRestarted | NameConflictDetected
