"""What is agreed of each duty, the same at all members: its owner, that one's process, and the epoch.

An epoch is the index of the log's entry that gave the duty: it only rises, and no two grants share one.
`Fence` is for whoever stores or serves: an act of an earlier epoch than one that was seen is turned away.
"""

from __future__ import annotations

import json
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Grant:
    """A duty is this process's, since this epoch."""

    owner: str
    life: int
    epoch: int


@dataclass(frozen=True, slots=True)
class Assign:
    """Give a duty to a process, if it is still held under the epoch that the proposer saw (0: by nobody)."""

    duty: str
    owner: str
    life: int
    was: int

    def data(self) -> bytes:
        """As an entry of the log holds it."""
        return json.dumps({"assign": self.duty, "owner": self.owner, "life": self.life,
                           "was": self.was}, separators=(",", ":")).encode()


def read_assign(data: bytes) -> Assign | None:
    """An entry's data as an assignment; None if it is none, or another version's."""
    try:
        fields = json.loads(data)
        return Assign(str(fields["assign"]), str(fields["owner"]), int(fields["life"]), int(fields["was"]))
    except (ValueError, KeyError, TypeError):
        return None


class Ledger:
    """All duties, as the committed entries have them."""

    def __init__(self) -> None:
        self.grants: dict[str, Grant] = {}

    def apply(self, index: int, data: bytes) -> str:
        """Take a committed entry; the duty that has another owner now, or empty."""
        a = read_assign(data)
        held = self.grants.get(a.duty) if a is not None else None
        if a is None or (held.epoch if held is not None else 0) != a.was:
            return ""                          # it was proposed on what is no more so
        self.grants[a.duty] = Grant(a.owner, a.life, index)
        return a.duty

    def data(self) -> bytes:
        """All of it, for a snapshot."""
        return json.dumps({duty: [g.owner, g.life, g.epoch] for duty, g in sorted(self.grants.items())},
                          separators=(",", ":")).encode()

    def restore(self, data: bytes) -> None:
        """Begin anew from a snapshot."""
        rows = json.loads(data) if data else {}
        self.grants = {str(duty): Grant(str(row[0]), int(row[1]), int(row[2])) for duty, row in rows.items()}


class Fence:
    """Turns away acts of owners that others have come after."""

    def __init__(self) -> None:
        self.epochs: dict[str, int] = {}
        self.turned_away = 0

    def admit(self, duty: str, epoch: int) -> bool:
        """Whether an act under an epoch may still be done."""
        if epoch < self.epochs.get(duty, 0):
            self.turned_away += 1
            return False
        self.epochs[duty] = epoch
        return True
