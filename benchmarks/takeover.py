"""Losses of couriers whose work others take over, and what copies cost.

`PYTHONPATH=. python benchmarks/takeover.py losses --losses 50 --seeds 1 20 --members 3`: whole daemons in
virtual time under load; `... cost`: real processes on loopback, `+OK` and messages a second with copies 0, 1
and 2.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import shutil
import statistics
import tempfile
import threading
import time
from pathlib import Path

import click
from loguru import logger

from winchspan.fakes.client_load import MESSAGE_CLASSES, NOTICE, ClientLoad
from winchspan.fakes.courier_failures import (
    FailureReport,
    FailureScenario,
    make_emulated_fleet,
    run_failures_on_processes,
    simulate_failures,
)
from winchspan.fakes.fleet import Fleet, ProcessFleetOptions
from winchspan.fakes.fleet_courier import wait_for
from winchspan.fakes.recording_endpoints import ThreadedRecordingEndpoints
from winchspan.fakes.sockets import HOST
from winchspan.fakes.submission import Submission

ROUND = 10.0  # s that each number of copies is measured in one round
CLIENTS = 8  # that hand in one message after the other


def one(work: tuple[int, int, int, int, bool]) -> tuple[int, FailureReport]:
    """One run."""
    seed, members, losses, copies, real = work
    logger.remove()
    folder = tempfile.mkdtemp()
    scenario = FailureScenario(Path(folder), members, losses, seed, copies)
    found = (run_failures_on_processes if real else simulate_failures)(scenario)
    if not found.audit.violations:
        shutil.rmtree(folder)  # else its logs are kept
    return seed, found


@click.group()
def main() -> None:
    """Measure copies and takeovers."""


@main.command()
@click.option("--losses", "count", default=50, help="In each run.")
@click.option("--seeds", nargs=2, default=(1, 8), help="First and last.")
@click.option("--members", default=3, help="Size of the fleet.")
@click.option("--copies", default=1, help="Beside each courier's own.")
@click.option("--cores", default=4, help="Runs at once.")
@click.option("--real", is_flag=True, help="Processes on loopback, not virtual time.")
def losses(count: int, seeds: tuple[int, int], members: int, copies: int, cores: int, real: bool) -> None:
    """Strike couriers at random."""
    work = [(seed, members, count, copies, real) for seed in range(seeds[0], seeds[1] + 1)]
    total, bad = 0, list[str]()
    taken = over = repeated = 0
    with multiprocessing.Pool(cores) as pool:
        for seed, found in pool.imap_unordered(one, work):
            total += sum(found.failure_counts.values())
            audit = found.audit
            taken += found.accepted_count
            over += found.taken_over_count
            repeated += audit.redelivered_count
            print(
                f"seed {seed}: {dict(found.failure_counts)}, {found.accepted_count} +OK, "
                f"{found.duration_seconds:.0f} s, lost {len(audit.lost)}, "
                f"both {len(audit.delivered_after_notification)}, at once {len(audit.concurrent)}, "
                f"doubled {len(audit.repeated)}",
                flush=True,
            )
            bad += [f"seed {seed}: {rule} {rows[:3]}" for rule, rows in audit.violations.items()]
    print(
        f"{members} members, {copies} copies, seeds {seeds[0]} to {seeds[1]}: {total} losses, {taken} "
        f"answered +OK, {over} taken over, {repeated} delivered again within their window; "
        f"breaches: {bad or 'none'}"
    )


async def client(port: int, stop: threading.Event, took: list[float], number: int) -> None:
    """Hand in one message after the other on one connection."""
    reader, writer = await asyncio.open_connection(HOST, port)
    count = 0
    while not stop.is_set():
        count += 1
        id_ = f"{number:08x}{count:08x}"
        submission = Submission(id_, NOTICE, count % 6, 5_000.0, id_, body=b"x" * 200)
        begun = time.monotonic()
        writer.write(submission.encode())
        if not (await reader.readline()).startswith(b"+OK"):
            await asyncio.sleep(0.05)
            continue
        took.append(time.monotonic() - begun)
        await asyncio.sleep(0.01)
    writer.close()


def measured(copies: int) -> list[float]:
    """How long `+OK` took, s, in one round."""
    partner, took, stop = ThreadedRecordingEndpoints(6, 100_000.0), list[float](), threading.Event()
    with tempfile.TemporaryDirectory() as folder:
        options = ProcessFleetOptions(
            f"(copies {copies})" if copies else '(duties "one")',
            discovery_port=partner.agent_port,
            known_endpoints=partner.endpoint_list(),
        )
        fleet = Fleet(Path(folder), 3, options)
        try:
            fleet.start()
            wait_for(
                "it takes messages",
                lambda: not copies or bool(fleet["n0"].read_metrics().get("fleet.copies.mine")),
            )
            time.sleep(2.0)

            async def run() -> None:
                await asyncio.gather(
                    *(client(fleet["n0"].client_port, stop, took, n) for n in range(CLIENTS))
                )

            thread = threading.Thread(target=lambda: asyncio.run(run()))
            thread.start()
            time.sleep(ROUND)
            stop.set()
            thread.join()
        finally:
            fleet.stop()
            partner.close()
    return took


@main.command()
@click.option("--rounds", default=3, help="Of each number of copies, in turn.")
def cost(rounds: int) -> None:
    """What `+OK` waits for, and how many messages come through, paired."""
    found: dict[int, list[float]] = {0: [], 1: [], 2: []}
    for _ in range(rounds):
        for copies, rows in found.items():
            rows += measured(copies)
    for copies, rows in found.items():
        ranks = sorted(rows)
        print(
            f"copies {copies}: {len(rows) / rounds / ROUND:.0f} a second of {CLIENTS} clients, +OK p50 "
            f"{1e3 * statistics.median(ranks):.2f} ms, p99 {1e3 * ranks[int(0.99 * len(ranks))]:.2f} ms"
        )


@main.command()
@click.option("--rounds", default=20, help="Kills.")
@click.option("--messages", default=30, help="Open at each.")
def times(rounds: int, messages: int) -> None:
    """From SIGKILL for good to the adopted messages' first call, and to the last end; processes."""
    first, last = list[float](), list[float]()
    for number in range(rounds):
        partner = ThreadedRecordingEndpoints(6, 10_000.0)
        partner.service_seconds = 0.05
        with tempfile.TemporaryDirectory() as folder:
            options = ProcessFleetOptions(
                "(copies 1)",
                discovery_port=partner.agent_port,
                known_endpoints=partner.endpoint_list(),
            )
            fleet = Fleet(Path(folder), 3, options)
            try:
                fleet.start()
                wait_for(
                    "it takes messages",
                    lambda f=fleet: all(  # type: ignore[misc]
                        courier.read_metrics().get("fleet.copies.mine") for courier in f.couriers.values()
                    ),
                )
                time.sleep(1.0)
                partner.hold_calls(*(f"s-{n}" for n in range(6)))
                ids = [f"{number:08x}{n:08x}" for n in range(messages)]
                taken = [id_ for id_ in ids if asyncio.run(hand_in(fleet["n1"].client_port, id_))]
                fleet["n1"].kill()
                killed = time.monotonic()
                partner.release_calls()
                wait_for(
                    "all have ended",
                    lambda t=taken, p=partner: all(  # type: ignore[misc]
                        p.has_final_answer(id_) for id_ in t
                    ),
                )
                last.append(time.monotonic() - killed)
                first.append(
                    min(at for at, id_, _ in partner.delivery_starts if id_ in taken and at > killed) - killed
                )
            finally:
                fleet.stop()
                partner.close()
    for what, rows in (("first call", first), ("last end", last)):
        print(f"{what}: median {statistics.median(rows):.2f} s, longest of {len(rows)} {max(rows):.2f} s")


async def hand_in(port: int, id_: str) -> bool:
    """One notice, wanted within 9 s; whether it was taken."""
    reader, writer = await asyncio.open_connection(HOST, port)
    submission = Submission(id_, NOTICE, int(id_, 16) % 6, 9_000.0, id_, body=b"x" * 200)
    writer.write(submission.encode())
    answer = await reader.readline()
    writer.close()
    return answer.startswith(b"+OK")


@main.command()
@click.option("--seeds", nargs=2, default=(1, 5), help="First and last.")
@click.option("--members", default=6, help="Size of the fleet; a third of it is lost for good.")
def worth(seeds: tuple[int, int], members: int) -> None:
    """Share of worth kept on a day on which a third of the couriers is lost, without copies and with one."""
    logger.remove()
    for copies in (0, 1):
        rows = [day(members, seed, copies) for seed in range(seeds[0], seeds[1] + 1)]
        print(
            f"copies {copies}: worth kept {statistics.mean(row[0] for row in rows):.3f} "
            f"({', '.join(f'{row[0]:.3f}' for row in rows)}), answered +OK without an end "
            f"{[row[1] for row in rows]}, bytes between couriers a message {rows[0][2]:.0f}"
        )


def day(members: int, seed: int, copies: int) -> tuple[float, int, float]:
    """A day of 60 s in virtual time; the couriers are lost in its middle, one after the other.

    Returns the share of worth, how many that were answered +OK have no end, and bytes a message between
    couriers, heartbeats and all.
    """
    more = f"(copies {copies})" if copies else '(duties "one")'
    with tempfile.TemporaryDirectory() as folder:
        fleet = make_emulated_fleet(Path(folder), members, seed, more)
        try:
            fleet.endpoints.service_seconds = 0.2
            fleet.start()
            fleet.run(8.0)
            load = ClientLoad(fleet.ports, 10.0 * members, 6, fleet.now, seed)
            task = fleet.loop.create_task(load.run())
            fleet.run(20.0)
            for name in fleet.names[: members // 3]:
                fleet.execute_action("lose", name)
                fleet.run(5.0)
            fleet.run(40.0 - 5.0 * (members // 3))
            load.stop()
            fleet.wait_until("all clients have ended", task.done)
            fleet.run(30.0)
            seen, best = fleet.endpoints, dict[str, float]()
            for id_, taken in load.accepted.items():
                if id_ in seen.first_delivered_at_seconds:
                    cls, late = (
                        MESSAGE_CLASSES[taken.class_name],
                        seen.first_delivered_at_seconds[id_] - load.submitted[taken.token].at_seconds,
                    )
                    share = max(
                        cls.late_worth, 0.5 ** max(0.0, late / (cls.latency_objective_ns / 1e9) - 1.0)
                    )
                    best[taken.token] = max(best.get(taken.token, 0.0), cls.worth * share)
            asked = sum(MESSAGE_CLASSES[cls].worth for cls, _ in load.submitted.values())
            open_ = sum(not seen.has_final_answer(id_) for id_ in load.accepted)
            wire = fleet.network.links.bytes_between(set(fleet.names)) / max(1, len(load.accepted))
            return sum(best.values()) / asked, open_, wire
        finally:
            fleet.close()


if __name__ == "__main__":
    main()
