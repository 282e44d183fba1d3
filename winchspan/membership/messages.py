"""SWIM protocol messages. Each message fits one datagram, including its piggybacked updates.

Node names are those of the operator's file. A process nonce is a random positive number that distinguishes
the processes that have run under one node name.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Final

MAX_INCARNATION: Final = 1 << 53  # larger numbers are not exact in a double, which other decoders may use


class NodeState(IntEnum):
    """State of a node. Within one incarnation the higher state overrides the lower one (SWIM 4.2)."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2
    LEFT = 3  # announced by the node itself


@dataclass(frozen=True, slots=True)
class MembershipUpdate:
    """A statement about the state of one node, spread by piggybacking (SWIM 4.1).

    Attributes:
        name: name of the node that the statement describes.
        state: state of the node.
        incarnation: incarnation of the node to which the statement applies.
        process_nonce: nonce of the node's process to which the statement applies.
        suspected_by: node that raised the suspicion; empty if there is none.
    """

    name: str
    state: NodeState
    incarnation: int
    process_nonce: int
    suspected_by: str = ""


@dataclass(frozen=True, slots=True)
class Ping:
    """Direct probe of `target`; `on_behalf_of` names the requester of an indirect probe."""

    sequence_number: int
    target: str
    on_behalf_of: str = ""


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Request for an indirect probe of `target` (SWIM's ping-req)."""

    sequence_number: int
    target: str


@dataclass(frozen=True, slots=True)
class Ack:
    """Acknowledgement by `target`, sent directly or relayed to the requester of an indirect probe."""

    sequence_number: int
    target: str


@dataclass(frozen=True, slots=True)
class Nack:
    """Reply of a helper that `target` has not acknowledged in time (Lifeguard, "local health")."""

    sequence_number: int
    target: str


Body = Ping | PingRequest | Ack | Nack


@dataclass(frozen=True, slots=True)
class Datagram:
    """One message with the identity of its sender and piggybacked updates.

    Attributes:
        source: name of the sending node.
        incarnation: incarnation of the sender.
        process_nonce: nonce of the sender's process.
        is_leaving: whether the sender has announced that it leaves.
        body: the message.
        updates: piggybacked statements about nodes.
    """

    source: str
    incarnation: int
    process_nonce: int
    is_leaving: bool
    body: Body
    updates: tuple[MembershipUpdate, ...] = ()
