"""Losses of couriers in a fleet under load, in virtual time, judged by what clients and partners saw."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from winchspan.emulator.fleet import EmulatedFleet
from winchspan.emulator.network import Way
from winchspan.standins.load import CLASSES, DEPOSIT, Load, Taken

WINDOW = 10.0             # s in which a repeat of a payment is dropped by its partner, from its first run
PARTNERS, SERVICE = 6, 0.2    # and s that a call takes
KINDS = ("kill", "lose", "freeze", "blink", "mute", "deaf", "alone")


@dataclass(frozen=True, slots=True)
class Judged:
    """What a run came to."""

    losses: Counter[str]
    taken: int
    lost: list[Taken]         # answered +OK, and neither delivered nor ended by a notice
    both: list[str]           # delivered after a notice had ended it
    at_once: list[str]        # of which two calls were out together
    doubled: list[str]        # payments that ran again outside the window of their first run, deposits again
    repeated: int             # delivered more than once, as their class allows
    taken_over: int           # messages
    refused: int
    seconds: float            # of virtual time


def judge(fleet: EmulatedFleet, load: Load) -> tuple[list[Taken], list[str], list[str], list[str], int]:
    """What was lost, ended twice, ran at once, or had a second effect; and how many were repeated."""
    seen, first, doubled = fleet.endpoints, dict[str, float](), list[str]()
    classes = {t.token: t.cls for t in load.taken.values()}
    for at, _, token in seen.begun:
        cls, again = classes.get(token, ""), token in first
        if cls == "order-payment" and at > first.setdefault(token, at) + WINDOW or cls == DEPOSIT and again:
            doubled.append(token)
        first.setdefault(token, at)
    lost = [t for id_, t in load.taken.items() if not seen.ids[id_] and not seen.noticed[id_]]
    # A notice for a message that was delivered does no harm, by the protocol; a delivery after one does.
    both = [id_ for id_ in load.taken if seen.ids[id_] and seen.first_end[id_] == "notice"]
    return lost, both, list(seen.at_once), doubled, sum(seen.ids[id_] > 1 for id_ in load.taken)


def play(folder: Path, members: int, losses: int, seed: int, copies: int = 1, rate: float = 30.0) -> Judged:
    """Let a fleet under load lose couriers at random, at most as many at once as there are copies."""
    rng, kinds = random.Random(seed), Counter[str]()
    way = Way(latency=0.3, jitter=0.5)
    fleet = EmulatedFleet(folder, members, seed, PARTNERS, 0.0, way=way, more=f"(copies {copies})",
                          changes={"classes": CLASSES})
    try:
        fleet.endpoints.service = SERVICE
        fleet.start()
        fleet.until("all take messages", lambda: all(
            member.figures().get("fleet.copies.mine") for member in fleet.members.values()))
        fleet.run(3.0)
        load = Load(fleet.ports, rate, PARTNERS, fleet.now, seed)
        task, begun = fleet.loop.create_task(load.run()), fleet.now()
        for _ in range(losses):
            struck = {name: rng.choice(KINDS) for name in rng.sample(fleet.names, rng.randint(1, copies))}
            kinds.update(struck.values())
            fleet.run(rng.uniform(0.5, 2.0))
            strike(fleet, struck, rng)
            fleet.until("all are there again", fleet.whole)
            fleet.run(rng.uniform(0.5, 3.0))
        load.stop()
        fleet.until("all clients have ended", task.done)
        fleet.run(30.0)
        lost, both, at_once, doubled, repeated = judge(fleet, load)
        over = sum(m.figures().get("fleet.copies.messages_taken_over", 0) for m in fleet.members.values())
        return Judged(kinds, len(load.taken), lost, both, at_once, doubled, repeated, over, load.refused,
                      fleet.now() - begun)
    finally:
        fleet.close()


def strike(fleet: EmulatedFleet, struck: dict[str, str], rng: random.Random) -> None:
    """Let some be lost at the same time, each in its way, and come back after a while."""
    for name, kind in struck.items():
        if kind in ("kill", "lose", "freeze", "blink"):
            fleet.act("kill" if kind == "blink" else kind, name)
            continue
        for other in fleet.names:
            if other != name and kind != "deaf":
                fleet.cut(name, other)
            if other != name and kind != "mute":
                fleet.cut(other, name)
    fleet.run(0.6 if "blink" in struck.values() else rng.uniform(0.3, 8.0))
    fleet.heal()
    for name in struck:
        fleet.act("thaw", name)
        fleet.act("start", name)
