"""Claims on messages that were taken over, in fleets with couriers of an earlier version."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

import pytest

from winchspan.cluster.claim_service import ClaimService
from winchspan.cluster.messages import ClaimsAnnounced
from winchspan.config.platform import Address
from winchspan.replication.claims import taken_over_name
from winchspan.runtime.clock import ManualClock
from winchspan.storage.journal_records import JournalEntry

from .test_takeover_steps import SimulatedFleet

TAKEOVER_EPOCH = 6
LATER_EPOCH = 9


class RecordingBus:
    """Passes received messages to their subscriber, and records those that are sent."""

    def __init__(self) -> None:
        self.handlers: dict[type, Callable[[str, Any], None]] = {}
        self.sent: list[object] = []

    def subscribe(self, kind: type, handler: Callable[[str, Any], None]) -> None:
        self.handlers[kind] = handler

    def broadcast(self, message: object) -> None:
        self.sent.append(message)

    def receive(self, sender: str, message: object) -> None:
        self.handlers[type(message)](sender, message)


class Successor:
    """The parts of a courier that its claims use, with one entry that it took over from n1."""

    def __init__(self) -> None:
        self.name = "n2"
        self.address = Address("127.0.0.1", 1)
        self.clock = ManualClock()
        self.bus = RecordingBus()
        self.class_tables: dict[int, list[dict[str, Any]]] = {}
        self.classes: dict[str, object] = {}
        entry = JournalEntry(1, "a", "pay", 7, 0, self.clock.persistent_unix_ms() + 5_000.0, "t1", b"")
        self.open_messages = [entry]
        self.journal = self
        part = cast("Any", self)
        self.claims = ClaimService(part, part, part, part, part)
        self.claims.claim_taken_over("n1", TAKEOVER_EPOCH, self.open_messages)

    def now_ms(self) -> float:
        return self.clock.now()

    def get(self, number: int) -> JournalEntry | None:
        return next((entry for entry in self.open_messages if entry.number == number), None)


# Guards against a returning courier of an earlier version, which ends the claims on what was taken over from
# it at the other couriers of that version: the next messages of the keys went first.
@pytest.mark.parametrize(("sender", "is_renewed"), [("n1", True), ("n3", False)])
def test_claims_on_messages_taken_over_are_announced_again_when_their_owner_is_back(
    sender: str, is_renewed: bool
):
    successor = Successor()
    successor.bus.sent.clear()
    successor.bus.receive(sender, ClaimsAnnounced("n1", LATER_EPOCH, []))
    announced = [each for each in successor.bus.sent if isinstance(each, ClaimsAnnounced)]
    names = [each.owner for each in announced if [row.message_id for row in each.claims] == ["a"]]
    assert names == ([taken_over_name("n1", TAKEOVER_EPOCH)] if is_renewed else [])


# Guards against a claim of nothing under a later epoch, which cancels the claims of a successor of an earlier
# version: it has them under the owner's name.
def test_courier_that_is_back_after_a_takeover_claims_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
):
    simulated = SimulatedFleet(tmp_path, replica_count=1, size=3)
    try:
        simulated.fleet.execute_action("kill", "n1")
        simulated.fleet.wait_until(
            "another has taken over from n1",
            lambda: any(simulated.replication_metric(name, "taken_over") for name in ("n0", "n2")),
        )
        claimed: list[str] = []
        original = ClaimService.claim

        def claim(service: ClaimService, owner: str, epoch: int, entries: list[JournalEntry]) -> None:
            claimed.append(owner)
            original(service, owner, epoch, entries)

        monkeypatch.setattr(ClaimService, "claim", claim)
        simulated.fleet.execute_action("start", "n1")
        simulated.fleet.wait_until("n1 is back", lambda: bool(simulated.replication_metric("n1", "mine")))
        assert "n1" not in claimed
        simulated.assert_all_recover()
    finally:
        simulated.fleet.close()
