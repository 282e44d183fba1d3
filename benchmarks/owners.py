"""Measures membership and leases of a fleet, and checks that each role has one holder and is on time.

`PYTHONPATH=. python benchmarks/owners.py measure`, 5 minutes: the time from SIGKILL until all others consider
a courier gone, and until the next holder of a role; CPU and memory of an idle courier with the fleet on and
off; in virtual time datagrams and bytes per member and second, and false suspicions.

`... proof kills --minutes 30`: three processes, one killed every minute. `... proof faults --count 125 --seed
1`: suspensions, partitions in one or both directions, kills and loss between three processes, at random. The
health checks that arrive at the endpoints are audited. `... emulated --members 40 --faults 1000 --seed 1`:
the same faults and more in virtual time.
"""

from __future__ import annotations

import multiprocessing
import os
import random
import shutil
import signal
import statistics
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import click
from loguru import logger

from winchspan.cluster.datagram_codec import encode_datagram
from winchspan.fakes.fleet import Fleet, ProcessFleetOptions
from winchspan.fakes.fleet_courier import FleetCourier, MemberCounts, wait_for
from winchspan.fakes.health_check_audit import audit_health_checks
from winchspan.fakes.membership_world import MembershipWorld
from winchspan.fakes.recording_endpoints import ThreadedRecordingEndpoints
from winchspan.fakes.relay import LinkFaults
from winchspan.membership.messages import NodeState
from winchspan.model_checking.checker import ExplorationResult, explore
from winchspan.model_checking.lease_initial_states import INITIAL_STATES
from winchspan.simulation.cluster import EmulatedFleet, FleetOptions
from winchspan.simulation.link import LinkProfile

IDLE_SECONDS = 20.0  # measurement of an idle courier


def spent(courier: FleetCourier) -> float:
    """Return the CPU seconds of a process."""
    assert courier.process is not None
    stat = (Path("/proc") / str(courier.process.pid) / "stat").read_text()
    user, system = stat.rpartition(")")[2].split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def resident(courier: FleetCourier) -> float:
    """Return the resident memory of a process in MB."""
    assert courier.process is not None
    pages = (Path("/proc") / str(courier.process.pid) / "statm").read_text().split()[1]
    return int(pages) * os.sysconf("SC_PAGE_SIZE") / 1e6


def kills(size: int, rounds: int) -> None:
    """Kill members one after another, and print the time until all others consider each one gone."""
    with tempfile.TemporaryDirectory() as folder:
        fleet, took = Fleet(Path(folder), size), list[float]()
        try:
            fleet.start()
            for number in range(rounds):
                name = f"n{number % size}"
                begun = time.monotonic()
                fleet[name].kill()
                others = [other for other in fleet.couriers if other != name]
                fleet.wait_for_members(f"{name} is gone", others, MemberCounts(alive=size - 1, gone=1))
                took.append(time.monotonic() - begun)
                fleet[name].start()
                fleet.wait_until_all_alive("all are there")
        finally:
            fleet.stop()
    print(
        f"{size} processes, {rounds} kills: gone for all others after {statistics.median(took):.2f} s in "
        f"the median, {max(took):.2f} s at most"
    )


def takeovers(rounds: int) -> None:
    """Kill the holder of a role, and print the time until another member holds it."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(
            Path(folder), 3, ProcessFleetOptions('(duties "one" "two" "three" "four" "five" "six")')
        )
        took = list[float]()
        try:
            fleet.start()
            for number in range(rounds):
                duty = ("one", "two", "three", "four", "five", "six")[number % 6]
                who = list[tuple[str, int]]()

                def owned(duty: str = duty, who: list[tuple[str, int]] = who) -> bool:
                    who[:] = [
                        (name, epoch)
                        for name, courier in fleet.couriers.items()
                        if courier.process is not None and (epoch := courier.read_leased_roles().get(duty, 0))
                    ]
                    return len(who) == 1

                wait_for("the duty has an owner", owned)
                name, epoch = who[0]
                begun = time.monotonic()
                fleet[name].kill()
                wait_for("the duty has another owner", owned)
                took.append(time.monotonic() - begun)
                assert who[0][0] != name and who[0][1] > epoch
                fleet[name].start()
                fleet.wait_until_all_alive("all are there")
        finally:
            fleet.stop()
    ranks = sorted(took)
    print(
        f"3 processes, {rounds} owners killed: another may act after {statistics.median(took):.2f} s in "
        f"the median, {ranks[int(0.99 * len(ranks))]:.2f} s at p99"
    )


def idle(on: bool) -> None:
    """Print the CPU and memory of an idle courier."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), 3, ProcessFleetOptions('(duties "one" "two" "three")' if on else ""))
        try:
            if on:
                fleet.start()
            else:
                for courier in fleet.couriers.values():
                    courier.operator_file = "(fleet (on no))\n"
                    courier.write_configuration(3)
                    courier.start()
                    while not courier.read_metrics():
                        time.sleep(0.1)
            before = [spent(courier) for courier in fleet.couriers.values()]
            time.sleep(IDLE_SECONDS)
            cost = [spent(c) - b for c, b in zip(fleet.couriers.values(), before, strict=True)]
            memory = [resident(c) for c in fleet.couriers.values()]
            print(
                f"idle, fleet {'on' if on else 'off'}: {100 * statistics.mean(cost) / IDLE_SECONDS:.2f}% of "
                f"a core, {statistics.mean(memory):.1f} MB"
            )
        finally:
            fleet.stop()


def traffic(size: int, seconds: float) -> None:
    """Print the datagrams and bytes of an idle member, and its false suspicions."""
    world = MembershipWorld(size, 1)
    world.datagram_size = lambda datagram: len(encode_datagram(datagram, b"secret"))
    world.start_all()
    world.run(1_000.0)
    world.run_until(world.is_converged, 120_000.0)
    world.run(20_000.0)
    world.sent_counts.clear()
    world.sent_bytes, begun = 0, world.now
    world.run(seconds * 1_000.0)
    sent = sum(world.sent_counts.values()) / size / seconds
    print(
        f"{size} members at rest for {seconds:g} s: {sent:.2f} datagrams "
        f"and {world.sent_bytes / size / seconds:.0f} bytes a member and second, "
        f"{len(world.state_changes(NodeState.SUSPECT, since_ms=begun))} suspected"
    )


def busy(seconds: float) -> None:
    """Print the suspicions in a fleet of eight, of which one member is up to 1 s late."""
    world = MembershipWorld(8, 2)
    world.start_all()
    world.run(1_000.0)
    world.run_until(world.is_converged, 120_000.0)
    world.members["n3"].max_lateness_ms = 1_000.0
    begun = world.now
    world.run(seconds * 1_000.0)
    healthy = [h for h in world.state_changes(NodeState.SUSPECT, since_ms=begun) if h.subject != "n3"]
    print(
        f"8 members, one up to 1 s late, {seconds:g} s: healthy ones suspected {len(healthy)} times, gone "
        f"{len([h for h in world.state_changes(NodeState.GONE, since_ms=begun) if h.subject != 'n3'])} times"
    )


ENDPOINTS, EVERY, LATE = 24, 1.0, 2.0  # count; s between health checks; s after which a check is late
RATE = 200.0  # calls a second that each endpoint accepts: high enough not to limit health checks
LOOK = 0.05  # s of virtual time between two checks of the role holders
REST = 4.0  # s from the end of a fault to the next: roles have returned to their preferred holders


Faults = list[tuple[float, str]]  # start time and description of each


def play(what: str, nemesis: Callable[[Fleet], Faults], seed: int, keep: str) -> None:
    """Inject faults while a fleet checks endpoints, and audit the received health checks."""
    probed = ThreadedRecordingEndpoints(ENDPOINTS, RATE)
    with tempfile.TemporaryDirectory() as folder:
        options = ProcessFleetOptions(
            f"(probe-every {EVERY:g})", has_relay=True, seed=seed, known_endpoints=probed.endpoint_list()
        )
        fleet = Fleet(Path(folder), 3, options)
        try:
            fleet.start()
            wait_for(
                "each endpoint has been probed",
                lambda: len({check.endpoint for check in probed.health_checks}) == ENDPOINTS,
            )
            time.sleep(REST)
            begun = time.monotonic()
            faults = nemesis(fleet)
            until = time.monotonic()
            found = audit_health_checks(
                [check for check in probed.health_checks if check.received_at_seconds > begun - EVERY],
                EVERY,
                LATE,
                until,
            )
            counts = Counter[str]()
            for courier in fleet.couriers.values():
                counts += Counter(
                    {
                        name.removeprefix("fleet.probes."): n
                        for name, n in courier.read_metrics().items()
                        if "fleet.probes" in name
                    }
                )
            if keep:
                shutil.copytree(folder, keep, dirs_exist_ok=True)
        finally:
            fleet.stop()
            probed.close()
    kinds = Counter(kind.split()[0] for _, kind in faults)
    print(f"{what}, seed {seed}: {until - begun:.0f} s, {len(faults)} faults {dict(kinds)}")
    print(
        f"  {found.check_count} probes of {ENDPOINTS} endpoints; twice {len(found.repeated)}, "
        f"over {LATE:g} s late {len(found.late)} (latest {found.max_lateness_seconds:.2f} s), "
        f"under an old epoch {len(found.stale)}; "
        f"{dict(counts)}"
    )
    for check, line in (*found.repeated, *found.late, *found.stale)[:20]:
        fault = max((f for f in faults if f[0] < check.received_at_seconds), default=(begun, "none"))
        wall_time = time.time() - time.monotonic() + check.received_at_seconds
        print(
            f"  {line}; {check.received_at_seconds - fault[0]:.2f} s after {fault[1]} began; log's time "
            f"{time.strftime('%H:%M:%S', time.gmtime(wall_time))}"
        )


def kills_each_minute(minutes: int, seed: int, keep: str) -> None:
    """Kill one of three couriers every minute, and start it again 10 s later."""

    def nemesis(fleet: Fleet) -> Faults:
        rng, faults = random.Random(seed), Faults()
        for _ in range(minutes):
            begun, name = time.monotonic(), rng.choice(list(fleet.couriers))
            time.sleep(rng.uniform(0.0, EVERY))
            fleet[name].kill()
            faults.append((time.monotonic(), f"kill {name}"))
            time.sleep(10.0)
            fleet[name].start()
            time.sleep(max(0.0, 60.0 - (time.monotonic() - begun)))
        return faults

    play(f"a kill a minute for {minutes} minutes", nemesis, seed, keep)


def faults_at_random(count: int, seed: int, keep: str) -> None:
    """Inject faults one after another, each at a random time."""

    def nemesis(fleet: Fleet) -> Faults:
        rng, faults, names = random.Random(seed), Faults(), list(fleet.couriers)
        for _ in range(count):
            name, other = rng.sample(names, 2)
            kind, lasts = (
                rng.choice(["freeze", "freeze", "cut", "cut", "mute", "deaf", "alone", "kill", "loss"]),
                rng.uniform(0.2, 4.0),
            )
            time.sleep(rng.uniform(0.0, EVERY))
            faults.append((time.monotonic(), f"{kind} {name} {other if kind == 'cut' else ''} {lasts:.2f} s"))
            if kind == "freeze":
                fleet[name].send_signal(signal.SIGSTOP)
            elif kind == "cut":
                fleet.relay.cut(name, other)
            elif kind in ("mute", "deaf"):
                for third in names:
                    if third != name:
                        fleet.relay.cut(*((name, third) if kind == "mute" else (third, name)))
            elif kind == "alone":
                fleet.relay.partition({name})
            elif kind == "kill":
                fleet[name].kill()
            else:
                fleet.relay.set_all_faults(LinkFaults(loss=0.2, duplicated=0.1, reordered=0.2, delay_ms=10.0))
            time.sleep(lasts)
            if kind == "freeze":
                fleet[name].send_signal(signal.SIGCONT)
            elif kind == "kill":
                fleet[name].start()
            else:
                fleet.relay.heal()
            fleet.wait_until_all_alive("all know each other")
            time.sleep(REST)
        return faults

    play("faults at random", nemesis, seed, keep)


def strike(fleet: EmulatedFleet, rng: random.Random, kind: str, name: str) -> None:
    """Inject a fault into a member, until it is repaired."""
    others = [other for other in fleet.names if other != name]
    if kind in ("freeze", "kill", "lose", "fill"):
        fleet.execute_action(kind, name)
    elif kind == "cut":
        fleet.cut(name, rng.choice(others))
    else:
        for other in others:
            if kind != "deaf":
                fleet.cut(name, other)
            if kind != "mute":
                fleet.cut(other, name)


def in_the_emulator(members: int, count: int, seed: int) -> None:
    """Inject random faults into complete couriers in virtual time, with clock drift and packet loss."""
    rng, kinds = random.Random(seed), Counter[str]()
    drifts = tuple(rng.uniform(-0.01, 0.01) for _ in range(members))
    link = LinkProfile(
        latency_ms=0.3, mean_jitter_ms=1.0, loss_probability=0.01, duplication_probability=0.01
    )
    with tempfile.TemporaryDirectory() as folder:
        fleet = EmulatedFleet(Path(folder), members, seed, FleetOptions(ENDPOINTS, EVERY, drifts, link))
        real, looks, doubled = time.monotonic(), 0, list[str]()

        def play(seconds: float) -> None:
            nonlocal looks
            end = fleet.now() + seconds
            while fleet.now() < end:
                fleet.run(LOOK)
                looks += 1
                doubled.extend(f"{duty} at {fleet.now():.2f}" for duty in fleet.roles_held_twice())

        try:
            fleet.start()
            play(REST)
            begun = fleet.now()
            while sum(kinds.values()) < count:
                struck = rng.sample(fleet.names, rng.randint(1, max(1, members // 10)))
                for name in struck:
                    kind = rng.choice(
                        ["freeze", "freeze", "kill", "lose", "fill", "cut", "mute", "deaf", "alone"]
                    )
                    kinds[kind] += 1
                    strike(fleet, rng, kind, name)
                play(rng.uniform(0.2, 4.0))
                fleet.heal()
                for name in struck:
                    fleet.execute_action("room", name)
                    fleet.execute_action("thaw", name)
                    fleet.execute_action("start", name)
                play(rng.uniform(0.5, 4.0))
            play(LATE + EVERY)
            found = audit_health_checks(
                [
                    check
                    for check in fleet.endpoints.health_checks
                    if check.received_at_seconds > begun - EVERY
                ],
                EVERY,
                LATE,
                fleet.now(),
            )
            lasted = fleet.now() - begun
        finally:
            fleet.close()
    print(
        f"emulator, {members} members, seed {seed}: {lasted:.0f} s in {time.monotonic() - real:.0f} s, "
        f"{sum(kinds.values())} faults {dict(kinds)}"
    )
    print(
        f"  {found.check_count} probes; twice {len(found.repeated)}, "
        f"over {LATE:g} s late {len(found.late)} (latest {found.max_lateness_seconds:.2f} s), "
        f"under an old epoch {len(found.stale)}; {looks} looks, two owners in {len(doubled)}",
        flush=True,
    )
    for line in (*(text for _, text in (*found.repeated, *found.stale)), *doubled)[:10]:
        print("  ", line)


@click.group()
def main() -> None:
    """Measure and test the membership and the leases of a fleet."""


@main.command()
@click.argument("what", type=click.Choice(["kills", "faults"]))
@click.option("--minutes", default=30, help="Duration of kills, one a minute.")
@click.option("--count", default=125, help="Number of faults.")
@click.option("--seed", default=1, help="Seed of the faults.")
@click.option("--keep", default="", help="Folder for the couriers' logs.")
def proof(what: str, minutes: int, count: int, seed: int, keep: str) -> None:
    """Inject faults into processes, and check from outside that each role has one holder and is on time."""
    if what == "kills":
        kills_each_minute(minutes, seed, keep)
    else:
        faults_at_random(count, seed, keep)


def share(work: tuple[str, int, int, int]) -> ExplorationResult:
    """Explore one part: the runs whose first fault begins in one round."""
    begin, rounds, deviations, first = work
    return explore(INITIAL_STATES[begin](), rounds, deviations, first_fault_rounds=[first])


@main.command()
@click.option("--rounds", default=16, help="Duration of each run, in rounds of 75 ms.")
@click.option("--faults", default=2, help="Maximum number of faults in a run.")
@click.option("--cores", default=4, help="Number of processes.")
def model(rounds: int, faults: int, cores: int) -> None:
    """Explore the consensus and the leases exhaustively."""
    for begin in INITIAL_STATES:
        started = time.monotonic()
        work = [(begin, rounds, faults, first) for first in range(rounds)]
        with multiprocessing.Pool(cores) as pool:
            found = pool.map(share, work, chunksize=1)
        print(
            f"model, from {begin}: {rounds} rounds, {faults} faults: {sum(f.states for f in found)} "
            f"states, {sum(f.runs for f in found)} runs, breaches {[f for f in found if f.violation]}, "
            f"{time.monotonic() - started:.0f} s",
            flush=True,
        )


@main.command()
@click.option("--members", default=5, help="Size of the fleet.")
@click.option("--faults", default=1_000, help="Number of faults.")
@click.option("--seed", default=1, help="Seed of all random numbers.")
def emulated(members: int, faults: int, seed: int) -> None:
    """Inject faults into couriers in virtual time, and check repeatedly for a role with two holders."""
    logger.remove()
    in_the_emulator(members, faults, seed)


@main.command()
@click.option("--kills", "rounds", default=20, help="Number of kills for each size of fleet.")
def measure(rounds: int) -> None:
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
