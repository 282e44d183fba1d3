"""Tests takeovers of lost couriers' messages, and measures the cost of replication.

`PYTHONPATH=. python benchmarks/takeover.py losses --losses 50 --seeds 1 20 --members 3`: complete couriers in
virtual time under load. `... cost`: processes on loopback, latency of `+OK` and messages a second with 0, 1
and 2 copies.
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

ROUND_SECONDS = 10.0  # measurement of one number of copies in a round
CLIENTS = 8  # each submits one message after another


def run_scenario(work: tuple[int, int, int, int, bool]) -> tuple[int, FailureReport]:
    """Run one scenario; return its seed and its report."""
    seed, members, losses, copies, is_real = work
    logger.remove()
    folder = tempfile.mkdtemp()
    scenario = FailureScenario(Path(folder), members, losses, seed, copies)
    report = (run_failures_on_processes if is_real else simulate_failures)(scenario)
    if not report.audit.violations:
        shutil.rmtree(folder)  # otherwise its logs are kept for inspection
    return seed, report


@click.group()
def main() -> None:
    """Test takeovers, and measure replication."""


@main.command()
@click.option("--losses", "count", default=50, help="Number of losses in each run.")
@click.option("--seeds", nargs=2, default=(1, 8), help="First and last.")
@click.option("--members", default=3, help="Size of the fleet.")
@click.option("--copies", default=1, help="Replicas of each courier's journal.")
@click.option("--cores", default=4, help="Number of parallel runs.")
@click.option("--real", is_flag=True, help="Use processes on loopback, not virtual time.")
def losses(count: int, seeds: tuple[int, int], members: int, copies: int, cores: int, real: bool) -> None:
    """Inject failures of couriers at random."""
    work = [(seed, members, count, copies, real) for seed in range(seeds[0], seeds[1] + 1)]
    total, bad = 0, list[str]()
    accepted_count = taken_over_count = redelivered_count = 0
    with multiprocessing.Pool(cores) as pool:
        for seed, report in pool.imap_unordered(run_scenario, work):
            total += sum(report.failure_counts.values())
            audit = report.audit
            accepted_count += report.accepted_count
            taken_over_count += report.taken_over_count
            redelivered_count += audit.redelivered_count
            print(
                f"seed {seed}: {dict(report.failure_counts)}, {report.accepted_count} +OK, "
                f"{report.duration_seconds:.0f} s, lost {len(audit.lost)}, "
                f"both {len(audit.delivered_after_notification)}, at once {len(audit.concurrent)}, "
                f"doubled {len(audit.repeated)}",
                flush=True,
            )
            bad += [f"seed {seed}: {rule} {rows[:3]}" for rule, rows in audit.violations.items()]
    print(
        f"{members} members, {copies} copies, seeds {seeds[0]} to {seeds[1]}: {total} losses, "
        f"{accepted_count} answered +OK, {taken_over_count} taken over, "
        f"{redelivered_count} delivered again within their window; "
        f"breaches: {bad or 'none'}"
    )


async def client(port: int, stop: threading.Event, latencies_seconds: list[float], number: int) -> None:
    """Submit one message after another on one connection."""
    reader, writer = await asyncio.open_connection(HOST, port)
    count = 0
    while not stop.is_set():
        count += 1
        id_ = f"{number:08x}{count:08x}"
        submission = Submission(id_, NOTICE, count % 6, 5_000.0, id_, body=b"x" * 200)
        begin = time.monotonic()
        writer.write(submission.encode())
        if not (await reader.readline()).startswith(b"+OK"):
            await asyncio.sleep(0.05)
            continue
        latencies_seconds.append(time.monotonic() - begin)
        await asyncio.sleep(0.01)
    writer.close()


def measure_latencies(copies: int) -> list[float]:
    """Return the latencies of `+OK` in one round, in s."""
    partner, latencies_seconds, stop = (
        ThreadedRecordingEndpoints(6, 100_000.0),
        list[float](),
        threading.Event(),
    )
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
                "replication is active",
                lambda: not copies or bool(fleet["n0"].read_metrics().get("fleet.copies.mine")),
            )
            time.sleep(2.0)

            async def run() -> None:
                await asyncio.gather(
                    *(client(fleet["n0"].client_port, stop, latencies_seconds, n) for n in range(CLIENTS))
                )

            thread = threading.Thread(target=lambda: asyncio.run(run()))
            thread.start()
            time.sleep(ROUND_SECONDS)
            stop.set()
            thread.join()
        finally:
            fleet.stop()
            partner.close()
    return latencies_seconds


@main.command()
@click.option("--rounds", default=3, help="Rounds for each number of copies, in alternation.")
def cost(rounds: int) -> None:
    """Measure the latency of `+OK` and the throughput for each number of copies, in alternation."""
    latencies: dict[int, list[float]] = {0: [], 1: [], 2: []}
    for _ in range(rounds):
        for copies, rows in latencies.items():
            rows += measure_latencies(copies)
    for copies, rows in latencies.items():
        ranks = sorted(rows)
        print(
            f"copies {copies}: {len(rows) / rounds / ROUND_SECONDS:.0f} a second of {CLIENTS} clients, +OK "
            f"p50 {1e3 * statistics.median(ranks):.2f} ms, p99 {1e3 * ranks[int(0.99 * len(ranks))]:.2f} ms"
        )


@main.command()
@click.option("--rounds", default=20, help="Number of kills.")
@click.option("--messages", default=30, help="Open messages at each kill.")
def times(rounds: int, messages: int) -> None:
    """Measure the time from SIGKILL to the first call of adopted messages and to their last end."""
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
                    "replication is active",
                    lambda f=fleet: all(  # type: ignore[misc]
                        courier.read_metrics().get("fleet.copies.mine") for courier in f.couriers.values()
                    ),
                )
                time.sleep(1.0)
                partner.hold_calls(*(f"s-{n}" for n in range(6)))
                ids = [f"{number:08x}{n:08x}" for n in range(messages)]
                accepted_ids = [id_ for id_ in ids if asyncio.run(submit(fleet["n1"].client_port, id_))]
                fleet["n1"].kill()
                killed = time.monotonic()
                partner.release_calls()
                wait_for(
                    "all messages have a final answer",
                    lambda t=accepted_ids, p=partner: all(  # type: ignore[misc]
                        p.has_final_answer(id_) for id_ in t
                    ),
                )
                last.append(time.monotonic() - killed)
                first.append(
                    min(at for at, id_, _ in partner.delivery_starts if id_ in accepted_ids and at > killed)
                    - killed
                )
            finally:
                fleet.stop()
                partner.close()
    for event, rows in (("first call", first), ("last end", last)):
        print(f"{event}: median {statistics.median(rows):.2f} s, longest of {len(rows)} {max(rows):.2f} s")


async def submit(port: int, id_: str) -> bool:
    """Submit one message with a deadline of 9 s; return whether it was accepted."""
    reader, writer = await asyncio.open_connection(HOST, port)
    submission = Submission(id_, NOTICE, int(id_, 16) % 6, 9_000.0, id_, body=b"x" * 200)
    writer.write(submission.encode())
    answer = await reader.readline()
    writer.close()
    return answer.startswith(b"+OK")


@main.command()
@click.option("--seeds", nargs=2, default=(1, 5), help="First and last.")
@click.option("--members", default=6, help="Size of the fleet; a third of it is lost permanently.")
def worth(seeds: tuple[int, int], members: int) -> None:
    """Measure the share of worth that remains when a third of the couriers is lost, with 0 and 1 copies."""
    logger.remove()
    for copies in (0, 1):
        rows = [simulate_day(members, seed, copies) for seed in range(seeds[0], seeds[1] + 1)]
        print(
            f"copies {copies}: worth kept {statistics.mean(row[0] for row in rows):.3f} "
            f"({', '.join(f'{row[0]:.3f}' for row in rows)}), answered +OK without an end "
            f"{[row[1] for row in rows]}, bytes between couriers a message {rows[0][2]:.0f}"
        )


def simulate_day(members: int, seed: int, copies: int) -> tuple[float, int, float]:
    """Run 60 s in virtual time; the couriers are lost one after another after 28 s.

    Returns:
        The share of worth, the number of accepted messages without a final answer, and the bytes per message
        between couriers, heartbeats included.
    """
    operator_options = f"(copies {copies})" if copies else '(duties "one")'
    with tempfile.TemporaryDirectory() as folder:
        fleet = make_emulated_fleet(Path(folder), members, seed, operator_options)
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
            endpoints, best_worths = fleet.endpoints, dict[str, float]()
            for id_, accepted in load.accepted.items():
                if id_ in endpoints.first_delivered_at_seconds:
                    cls, late = (
                        MESSAGE_CLASSES[accepted.class_name],
                        endpoints.first_delivered_at_seconds[id_] - load.submitted[accepted.token].at_seconds,
                    )
                    share = max(
                        cls.late_worth, 0.5 ** max(0.0, late / (cls.latency_objective_ns / 1e9) - 1.0)
                    )
                    best_worths[accepted.token] = max(best_worths.get(accepted.token, 0.0), cls.worth * share)
            submitted_worth = sum(MESSAGE_CLASSES[cls].worth for cls, _ in load.submitted.values())
            open_count = sum(not endpoints.has_final_answer(id_) for id_ in load.accepted)
            bytes_per_message = fleet.network.links.bytes_between(set(fleet.names)) / max(
                1, len(load.accepted)
            )
            return sum(best_worths.values()) / submitted_worth, open_count, bytes_per_message
        finally:
            fleet.close()


if __name__ == "__main__":
    main()
