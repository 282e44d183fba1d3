"""What a fleet's members cost, and how fast they see: `PYTHONPATH=. python benchmarks/owners.py`, 5 minutes.

Real processes: time from SIGKILL until all others hold a courier for gone, and CPU and memory of an idle one
with the fleet on and off. In virtual time: datagrams and bytes a member and second, and false suspicions.
"""

from __future__ import annotations

import os
import statistics
import tempfile
import time
from pathlib import Path

import click

from winchspan.members.messages import State
from winchspan.net.fleet_link import encode
from winchspan.standins.couriers import Fleet, FleetCourier, wait_for
from winchspan.standins.fleet_world import World

IDLE = 20.0               # s over which an idle courier is measured


def spent(courier: FleetCourier) -> float:
    """CPU seconds of a process."""
    assert courier.process is not None
    stat = (Path("/proc") / str(courier.process.pid) / "stat").read_text()
    user, system = stat.rpartition(")")[2].split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def resident(courier: FleetCourier) -> float:
    """Memory of a process, MB."""
    assert courier.process is not None
    pages = (Path("/proc") / str(courier.process.pid) / "statm").read_text().split()[1]
    return int(pages) * os.sysconf("SC_PAGE_SIZE") / 1e6


def kills(size: int, rounds: int) -> None:
    """Kill one after the other, and say how long it takes until the rest know."""
    with tempfile.TemporaryDirectory() as folder:
        fleet, took = Fleet(Path(folder), size), list[float]()
        try:
            fleet.start()
            for number in range(rounds):
                name = f"n{number % size}"
                begun = time.monotonic()
                fleet[name].kill()
                fleet.wait(f"{name} is gone", *((other, (size - 1, 0, 1, 0)) for other in fleet.couriers
                                                if other != name))
                took.append(time.monotonic() - begun)
                fleet[name].start()
                fleet.wait("all are there", *((other, (size, 0, 0, 0)) for other in fleet.couriers))
        finally:
            fleet.stop()
    print(f"{size} processes, {rounds} kills: gone for all others after {statistics.median(took):.2f} s in "
          f"the median, {max(took):.2f} s at most")


def takeovers(rounds: int) -> None:
    """Kill the owner of a duty, and say how long it takes until another may do it."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), 3, '(duties "one" "two" "three" "four" "five" "six")')
        took = list[float]()
        try:
            fleet.start()
            for number in range(rounds):
                duty = ("one", "two", "three", "four", "five", "six")[number % 6]
                who = list[tuple[str, int]]()

                def owned(duty: str = duty, who: list[tuple[str, int]] = who) -> bool:
                    who[:] = [(name, epoch) for name, courier in fleet.couriers.items()
                              if courier.process is not None and (epoch := courier.duties().get(duty, 0))]
                    return len(who) == 1
                wait_for("the duty has an owner", owned)
                name, epoch = who[0]
                begun = time.monotonic()
                fleet[name].kill()
                wait_for("the duty has another owner", owned)
                took.append(time.monotonic() - begun)
                assert who[0][0] != name and who[0][1] > epoch
                fleet[name].start()
                fleet.wait("all are there", *((other, (3, 0, 0, 0)) for other in fleet.couriers))
        finally:
            fleet.stop()
    ranks = sorted(took)
    print(f"3 processes, {rounds} owners killed: another may act after {statistics.median(took):.2f} s in "
          f"the median, {ranks[int(0.99 * len(ranks))]:.2f} s at p99")


def idle(on: bool) -> None:
    """What an idle courier costs."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), 3, '(duties "one" "two" "three")' if on else "")
        try:
            if on:
                fleet.start()
            else:
                for courier in fleet.couriers.values():
                    courier.fleet = "(fleet (on no))\n"
                    courier.write(3)
                    courier.start()
                    while not courier.figures():
                        time.sleep(0.1)
            before = [spent(courier) for courier in fleet.couriers.values()]
            time.sleep(IDLE)
            cost = [spent(c) - b for c, b in zip(fleet.couriers.values(), before, strict=True)]
            memory = [resident(c) for c in fleet.couriers.values()]
            print(f"idle, fleet {'on' if on else 'off'}: {100 * statistics.mean(cost) / IDLE:.2f}% of a "
                  f"core, {statistics.mean(memory):.1f} MB")
        finally:
            fleet.stop()


def traffic(size: int, seconds: float) -> None:
    """Datagrams and bytes of a member at rest, and what it suspects."""
    world = World(size, 1)
    world.measure = lambda datagram: len(encode(datagram, b"secret"))
    world.start_all()
    world.run(1_000.0)
    world.until(world.whole, 120_000.0)
    world.run(20_000.0)
    world.sent.clear()
    world.bytes, begun = 0, world.now
    world.run(seconds * 1_000.0)
    sent = sum(world.sent.values()) / size / seconds
    print(f"{size} members at rest for {seconds:g} s: {sent:.2f} datagrams "
          f"and {world.bytes / size / seconds:.0f} bytes a member and second, "
          f"{len(world.changes(State.SUSPECT, since=begun))} suspected")


def busy(seconds: float) -> None:
    """One member of eight does everything up to 1 s late."""
    world = World(8, 2)
    world.start_all()
    world.run(1_000.0)
    world.until(world.whole, 120_000.0)
    world.seats["n3"].slow = 1_000.0
    begun = world.now
    world.run(seconds * 1_000.0)
    healthy = [h for h in world.changes(State.SUSPECT, since=begun) if h.what.name != "n3"]
    print(f"8 members, one up to 1 s late, {seconds:g} s: healthy ones suspected {len(healthy)} times, gone "
          f"{len([h for h in world.changes(State.GONE, since=begun) if h.what.name != 'n3'])} times")


@click.command()
@click.option("--kills", "rounds", default=20, help="Kills for each size of fleet.")
def main(rounds: int) -> None:
    """Measure the members of a fleet."""
    for size in (5, 40, 200):
        traffic(size, 60.0 if size < 200 else 10.0)
    busy(600.0)
    for on in (False, True):
        idle(on)
    for size in (3, 5):
        kills(size, rounds)
    takeovers(rounds)


if __name__ == "__main__":
    main()
