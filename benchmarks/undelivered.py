"""Dead letters: `python benchmarks/undelivered.py`.

First a test in virtual time: couriers are killed repeatedly during outages of each kind, while rules
redeliver dead letters at once, and a partner counts effects. Then the cost: the ordinary path with and
without a store, and filters over a large store. `--sockets` runs the test with processes, in real time.
`--memory MINUTES` prints the memory of a courier that fails and archives messages all the time.
"""

from __future__ import annotations

import asyncio
import cProfile
import resource
import statistics
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import click
from loguru import logger

from winchspan.dead_letters.filters import DeadLetterFilter
from winchspan.dead_letters.policy import RedeliveryRule
from winchspan.dead_letters.records import (
    AttemptHistory,
    DeadLetter,
    DeadLetterState,
    DestinationSnapshot,
    ExecutionEvidence,
    FailureHistory,
)
from winchspan.dead_letters.store import STORE_FILE_NAME, DeadLetterStore
from winchspan.dead_letters.store_eviction import StoreBounds
from winchspan.fakes.clients import Stream
from winchspan.fakes.partner import Outage, OutageMode, PartnerSettings
from winchspan.fakes.rehearsal import Rehearsal
from winchspan.fakes.rehearsal_in_process import InProcessRehearsal
from winchspan.fakes.scenario import Scenario
from winchspan.overload.settings import OverloadSettings
from winchspan.storage.journal import Journal

UNLIMITED_RULE = RedeliveryRule(
    "at once",
    evidence=(ExecutionEvidence.NEVER_RAN, ExecutionEvidence.MAY_HAVE_RUN),
    rate=1_000.0,
    max_age_ms=1e12,
    backoff_ms=0.0,
    max_redeliveries=9,
)
KILL_COUNT = 20  # in each run
ALL_MESSAGES = 1_000_000
NOW_MS = 1_700_000_000_000.0
OPERATOR = Path(__file__).with_suffix(".sexp")


@dataclass(frozen=True, slots=True)
class CourierRemains:
    """The content of a courier's data directory after a run.

    Attributes:
        dead_letters: the messages in its store.
        message_ids: the ids of the dead letters and of the journal's open messages.
        unanswered_count: the journal's open messages without a final answer.
    """

    dead_letters: list[DeadLetter]
    message_ids: set[str]
    unanswered_count: int


@dataclass(frozen=True, slots=True)
class FloodResult:
    """The effects of redelivering many messages at once."""

    live_worth: float
    delivered_count: int
    max_calls_per_second: int


def fault_scenario(seed: int, outage_ms: float = 6_000.0, kill_interval_ms: float = 977.0) -> Scenario:
    """Return a scenario with three outages 3 s apart, whose kinds follow from the seed, and kills."""
    modes = [OutageMode.SILENT, OutageMode.REFUSING, OutageMode.HANGING, OutageMode.DOWN]
    span = outage_ms + 3_000.0
    outages = tuple(
        Outage(2_000.0 + span * n, 2_000.0 + outage_ms + span * n, modes[(seed + n) % 4]) for n in range(3)
    )
    end = 3 * span
    streams = (
        Stream("order-payment", 7, 6.0, end=end, keys=20, tries=1),
        Stream("gallery-notice", 7, 10.0, end=end, tries=1),
        Stream("gallery-notice", 8, 5.0, end=end, tries=1),
    )
    kills = tuple((1_000.0 + (kill_interval_ms + seed) * n, n % 2) for n in range(KILL_COUNT))
    return Scenario(
        (PartnerSettings(outages=outages, cold=2_000.0), PartnerSettings(number=8, listed=30.0)),
        streams,
        2,
        duration_ms=end + 43_000.0,
        restarts=kills,
        redelivery_rules=(UNLIMITED_RULE,),
    )


def read_store(directory: Path) -> list[DeadLetter]:
    """Return all messages of a courier's store."""
    store = DeadLetterStore(directory / STORE_FILE_NAME, StoreBounds(), read_only=True)
    dead_letters = store.find(DeadLetterFilter(), ALL_MESSAGES)
    store.close()
    return dead_letters


def store_counts(dead_letters: list[DeadLetter]) -> dict[str, int]:
    """Return counts of the stores after a run, under the names of the printed lines."""
    return {
        "kept": len(dead_letters),
        "resends": sum(letter.redelivery_count for letter in dead_letters),
        "delivered by them": sum(letter.state is DeadLetterState.DELIVERED for letter in dead_letters),
        "payments held": sum(
            letter.state is DeadLetterState.ON_HOLD and letter.class_name == "order-payment"
            for letter in dead_letters
        ),
    }


def unexplained_count(dead_letters: list[DeadLetter]) -> int:
    """Return the number of messages without a reason or without evidence."""
    return sum(not letter.failure_history.reason or not letter.evidence_text for letter in dead_letters)


def play(seed: int) -> dict[str, int]:
    """Execute one run in virtual time, and return its counts."""
    logger.remove()
    with tempfile.TemporaryDirectory() as folder:
        rehearsal = InProcessRehearsal(fault_scenario(seed), seed, Path(folder))
        rehearsal.run()
        dead_letters = [letter for me in range(2) for letter in read_store(Path(folder) / f"n{me}")]
        open_count = sum(1 for node in rehearsal.nodes for _ in node._journal.open_messages)
        return {
            "kills": KILL_COUNT,
            "messages": len(rehearsal.clients.messages),
            **store_counts(dead_letters),
            "effects doubled": rehearsal.clients.counts.repeated_effects,
            "second ends": rehearsal.clients.counts.repeated_final_answers,
            "kept without a reason": unexplained_count(dead_letters),
            "left in a journal": open_count,
        }


def read_remains(directory: Path) -> CourierRemains:
    """Return the content of a courier's data directory after a run."""
    dead_letters = read_store(directory)
    journal = Journal(directory, 3_000_000)
    entries = list(journal.open_messages)
    journal.close()
    return CourierRemains(
        dead_letters,
        {letter.id for letter in dead_letters} | {entry.id for entry in entries},
        sum(entry.pending_notification is None for entry in entries),
    )


def play_on_sockets(seed: int) -> dict[str, int]:
    """Execute the run on real sockets: a courier is killed every other second, and restarted after 600 ms."""
    logger.remove()
    scenario = fault_scenario(seed, 10_000.0, 2_017.0)  # a courier process takes longer to restart
    with tempfile.TemporaryDirectory() as name:
        rehearsal = Rehearsal(scenario, seed, Path(name), OPERATOR)
        asyncio.run(rehearsal.run())
        clients = rehearsal.clients
        assert clients is not None
        remains = [read_remains(directory) for directory in rehearsal.data_directories()]
        dead_letters = [letter for courier in remains for letter in courier.dead_letters]
        message_ids = {message_id for courier in remains for message_id in courier.message_ids}
        undelivered = [message for message in clients.messages if message.delivered_at is None]
        return {
            "kills": KILL_COUNT,
            "messages": len(clients.messages),
            **store_counts(dead_letters),
            "effects doubled": clients.counts.repeated_effects,
            "second ends": clients.counts.repeated_final_answers,
            "kept without a reason": unexplained_count(dead_letters),
            "ended, and neither kept nor in a journal": sum(
                bool(message.final_state) and message.id not in message_ids for message in clients.messages
            ),
            "taken on, and without an end": sum(message.awaits_final_answer for message in undelivered),
            "still owed an end in a journal": sum(courier.unanswered_count for courier in remains),
        }


def print_memory(minutes: float) -> None:
    """Print the memory of a courier that archives failed messages; an outage takes 20 s of each 30 s."""
    outages = tuple(
        Outage(30_000.0 * n, 30_000.0 * n + 20_000.0, [OutageMode.REFUSING, OutageMode.SILENT][n % 2])
        for n in range(int(minutes * 2))
    )
    lasts_ms = minutes * 60_000.0
    streams = (
        Stream("order-payment", 7, 10.0, end=lasts_ms, keys=200, tries=1),
        Stream("gallery-notice", 7, 20.0, end=lasts_ms, tries=1),
        Stream("order-payment", 8, 20.0, end=lasts_ms, keys=200, tries=1),
    )
    scenario = Scenario(
        (
            PartnerSettings(outages=outages, cold=1_000.0, listed=60.0, capacity=80.0),
            PartnerSettings(number=8, listed=60.0, capacity=80.0),
        ),
        streams,
        1,
        duration_ms=lasts_ms,
    )
    with tempfile.TemporaryDirectory() as name:
        rehearsal = Rehearsal(scenario, 1, Path(name), OPERATOR)
        asyncio.run(rehearsal.run())
        dead_letters = read_store(rehearsal.data_directories()[0])
    assert rehearsal.clients is not None
    redelivery_count = sum(letter.redelivery_count for letter in dead_letters)
    click.echo(
        f"{len(rehearsal.clients.messages)} messages, {len(dead_letters)} kept, {redelivery_count} "
        f"resends, in {minutes:g} minutes"
    )
    every = max(1, len(rehearsal.memory_samples) // 12)
    for at, (size, *_) in rehearsal.memory_samples[::every]:
        click.echo(f"after {at / 60_000.0:.1f} minutes: {size / 1e6:.1f} MB")
    second_half = [size for at, (size, *_) in rehearsal.memory_samples if at > lasts_ms / 2]
    click.echo(f"in the second half: {min(second_half) / 1e6:.1f} to {max(second_half) / 1e6:.1f} MB")


def ordinary_cpu(seed: int, *, is_on: bool) -> float:
    """Return the CPU seconds of a run in which all messages are delivered."""
    streams = (
        Stream("order-payment", 8, 20.0, end=60_000.0, keys=200),
        Stream("gallery-notice", 8, 10.0, end=60_000.0),
    )
    scenario = Scenario(
        (PartnerSettings(number=8, listed=90.0, capacity=100.0),),
        streams,
        1,
        duration_ms=60_000.0,
        redelivery_rules=() if is_on else None,
    )
    with tempfile.TemporaryDirectory() as folder:
        rehearsal = InProcessRehearsal(scenario, seed, Path(folder))
        begin = time.process_time()
        rehearsal.run()
        return time.process_time() - begin


def process_cpu(job: tuple[bool, int]) -> float:
    """Return the CPU seconds of a courier process in 30 s in which all messages are delivered."""
    logger.remove()
    is_on, seed = job
    streams = (
        Stream("order-payment", 8, 80.0, end=30_000.0, keys=2_000),
        Stream("gallery-notice", 8, 40.0, end=30_000.0),
    )
    partner = PartnerSettings(number=8, listed=400.0, capacity=400.0, service=20.0, queue=200)
    with tempfile.TemporaryDirectory() as folder:
        rehearsal = Rehearsal(
            Scenario((partner,), streams, 1, duration_ms=30_000.0),
            seed,
            Path(folder),
            OPERATOR if is_on else None,
        )
        result = asyncio.run(rehearsal.run())
        assert result.delivered == result.ended, f"{result.ended - result.delivered} were not delivered"
    return rehearsal.cpu_seconds[0]


def call_count(*, is_on: bool) -> int:
    """Return the number of function calls of the same run, a cost that is independent of the machine."""
    profile = cProfile.Profile()
    profile.runcall(ordinary_cpu, 1, is_on=is_on)
    return sum(entry.callcount for entry in profile.getstats())


def fill_with_approved(directory: Path, count: int) -> None:
    """Create a store with `count` messages whose redelivery is approved."""
    store = DeadLetterStore(directory / STORE_FILE_NAME, StoreBounds(200_000_000, 1_000_000))
    history = FailureHistory("out of time", 1_699_999_000_000.0, (), 3, DestinationSnapshot())
    store.add(
        [
            DeadLetter(
                f"k{n}",
                NOW_MS + n,
                "gallery-notice",
                7,
                None,
                f"k{n:015x}",
                b"x",
                "failed",
                history,
                ExecutionEvidence.NEVER_RAN,
                "3 attempts",
                None,
                DeadLetterState.PENDING,
                is_approved=True,
            )
            for n in range(count)
        ],
        NOW_MS,
    )
    store.close()


def flood(job: tuple[int, int]) -> FloodResult:
    """Redeliver messages at once after an outage of the partner; a job is their count and a seed."""
    count, seed = job
    logger.remove()
    with tempfile.TemporaryDirectory() as folder:
        directory = Path(folder) / "n0"
        directory.mkdir()
        fill_with_approved(directory, count)
        partner = PartnerSettings(outages=(Outage(1_000.0, 15_000.0, OutageMode.SILENT),))
        streams = (
            Stream("order-payment", 7, 9.0, end=90_000.0, keys=100),
            Stream("gallery-notice", 7, 5.0, end=90_000.0),
        )
        scenario = Scenario(
            (partner,),
            streams,
            1,
            duration_ms=90_000.0,
            redelivery_rules=(UNLIMITED_RULE,),
            overload=OverloadSettings(),
        )
        result = InProcessRehearsal(scenario, seed, Path(folder)).run()
        delivered_count = sum(
            letter.state is DeadLetterState.DELIVERED and letter.id.startswith("k")
            for letter in read_store(directory)
        )
        return FloodResult(result.worth, delivered_count, result.most_a_second)


def varied_dead_letter(number: int) -> DeadLetter:
    """Return a message of a large store; its fields vary by its number."""
    attempts = tuple(AttemptHistory(f"s-{n}", NOW_MS, "timeout", 900.0) for n in range(3))
    reason = "out of time" if number % 5 else "no room"
    return DeadLetter(
        f"m{number}",
        NOW_MS + number,
        "order-payment" if number % 3 else "gallery-notice",
        number % 40,
        number % 900,
        f"{number:016x}",
        bytes(200),
        "failed" if number % 7 else "returned",
        FailureHistory(reason, NOW_MS + number, attempts, 0, DestinationSnapshot()),
        ExecutionEvidence.MAY_HAVE_RUN if number % 4 else ExecutionEvidence.NEVER_RAN,
        "timeout",
        NOW_MS,
        DeadLetterState.PENDING,
    )


def large_store_filters(count: int) -> dict[str, DeadLetterFilter]:
    """Return the filters that are timed over `count` messages."""
    middle_ms = NOW_MS + count / 2
    may_have_run = ExecutionEvidence.MAY_HAVE_RUN
    return {
        "newest": DeadLetterFilter(),
        "destination": DeadLetterFilter(destination=7),
        "key": DeadLetterFilter(key=17),
        "evidence and class": DeadLetterFilter(class_name="gallery-notice", execution_evidence=may_have_run),
        "reason and end": DeadLetterFilter(reason="no room", final_state="returned"),
        "a span of time": DeadLetterFilter(since_unix_ms=middle_ms, until_unix_ms=middle_ms + 500),
        "nothing found": DeadLetterFilter(reason="none such"),
    }


def print_large_store(count: int) -> None:
    """Print the times of filters over `count` messages."""
    with tempfile.TemporaryDirectory() as folder:
        store = DeadLetterStore(Path(folder) / STORE_FILE_NAME, StoreBounds(2_000_000_000, 10_000_000))
        for first in range(0, count, 1_000):
            store.add([varied_dead_letter(number) for number in range(first, first + 1_000)], NOW_MS)
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        for name, wanted in large_store_filters(count).items():
            times_ms = []
            for _ in range(5):
                begin = time.perf_counter()
                found = store.find(wanted, 100)
                times_ms.append((time.perf_counter() - begin) * 1_000.0)
            click.echo(
                f"{count} kept, 100 by {name}: {statistics.median(times_ms):.1f} ms, {len(found)} found"
            )
        grown = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before
        size = store.stats()["file_bytes"] / 1e6
        click.echo(f"memory grown by these: {grown / 1_000:.1f} MB; file {size:.0f} MB")


def print_process_cpu(pairs: int) -> None:
    """Print the CPU of courier processes with and without a store, in pairs."""
    with ProcessPoolExecutor(2) as pool:  # a pair at a time
        jobs = [(is_on, seed) for seed in range(1, pairs + 1) for is_on in (True, False)]
        seconds = list(pool.map(process_cpu, jobs))
    seconds_on, seconds_off = seconds[::2], seconds[1::2]
    parts = [on / off - 1 for on, off in zip(seconds_on, seconds_off, strict=True)]
    click.echo(
        f"CPU of a process, 3,600 messages: {statistics.mean(seconds_off):.2f} s off, "
        f"{statistics.mean(seconds_on):.2f} s on ({sum(seconds_on) / sum(seconds_off) - 1:+.1%}; pairs "
        f"{min(parts):+.1%} to {max(parts):+.1%})"
    )


def print_proof(run_count: int, *, on_sockets: bool) -> None:
    """Print the sums over runs with different seeds."""
    with ProcessPoolExecutor(10 if on_sockets else None) as pool:
        results = list(pool.map(play_on_sockets if on_sockets else play, range(1, run_count + 1)))
    for name in results[0]:
        click.echo(f"{name}: {sum(result[name] for result in results)}")


def print_flood() -> None:
    """Print the effect on live traffic of redelivering 10,000 messages at once."""
    with ProcessPoolExecutor() as pool:
        results = list(pool.map(flood, [(count, seed) for seed in range(1, 6) for count in (0, 10_000)]))
    without, released = results[::2], results[1::2]
    worth_released = statistics.mean(result.live_worth for result in released)
    worth_without = statistics.mean(result.live_worth for result in without)
    max_calls = max(result.max_calls_per_second for result in released)
    click.echo(
        f"10000 released at once: live worth {worth_released:.4f} against {worth_without:.4f} without "
        f"(5 seeds); {released[0].delivered_count} of them delivered in 90 s, "
        f"{max_calls} calls a second at most"
    )


def print_ordinary_path(pairs: int) -> None:
    """Print the CPU and the function calls of the ordinary path, with and without a store."""
    logger.remove()
    ordinary_cpu(0, is_on=False)
    both = [(ordinary_cpu(1, is_on=True), ordinary_cpu(1, is_on=False)) for _ in range(pairs)]
    parts = [on / off - 1 for on, off in both]
    least = min(on for on, _ in both) / min(off for _, off in both) - 1
    click.echo(
        f"ordinary path, on against off: {least:+.1%} CPU, least of {pairs} runs each (median of the "
        f"pairs {statistics.median(parts):+.1%}, {min(parts):+.1%} to {max(parts):+.1%})"
    )
    calls_on, calls_off = call_count(is_on=True), call_count(is_on=False)
    click.echo(f"function calls: {calls_off} off, {calls_on} on ({calls_on / calls_off - 1:+.1%})")


@click.command()
@click.option("--runs", type=click.IntRange(1, 1_000), default=10, show_default=True, help="of 20 kills each")
@click.option("--kept", type=click.IntRange(1_000, 10_000_000), default=100_000, show_default=True)
@click.option("--pairs", type=click.IntRange(1, 50), default=25, show_default=True, help="of ordinary runs")
@click.option("--sockets", is_flag=True, help="only the proof, on real sockets")
@click.option("--cpu", type=click.IntRange(1, 50), help="only the ordinary path, in pairs of processes")
@click.option("--memory", type=click.FloatRange(1, 600), help="only memory, over so many minutes")
def main(runs: int, kept: int, pairs: int, sockets: bool, cpu: int | None, memory: float | None) -> None:  # noqa: PLR0913 - one parameter for each option
    """Run the measurements, and print their results."""
    if memory is not None:
        print_memory(memory)
        return
    if cpu is not None:
        print_process_cpu(cpu)
        return
    print_proof(runs, on_sockets=sockets)
    if sockets:
        return
    print_flood()
    print_ordinary_path(pairs)
    print_large_store(kept)


if __name__ == "__main__":
    main()
