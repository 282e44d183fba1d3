"""A short soak of a few seeded days; `python -m tests.soak FIRST LAST [upgrades]` runs a longer one."""

from __future__ import annotations

import asyncio
import random
import socket
import time
from pathlib import Path

import pytest

from winchspan.fakes.sockets import HOST

from .slow_start_processes import Overload, ProcessFleet
from .soak import (
    LATE_SECONDS,
    Accepted,
    AuditedDestination,
    AuditedPlatform,
    SoakAudit,
    Unanswered,
    draw_day,
    run_day,
)


@pytest.mark.parametrize("seed", [1, 2, 8])
def test_soak_day_breaks_no_rule(seed: int, tmp_path: Path):
    audit = run_day(draw_day(seed), tmp_path)
    assert audit.faults(time.monotonic()) == {}


@pytest.mark.parametrize("seed", [2, 5])
def test_soak_day_with_upgrades_breaks_no_rule(seed: int, tmp_path: Path):
    audit = run_day(draw_day(seed, has_upgrades=True), tmp_path)
    assert audit.faults(time.monotonic()) == {}


CALL = b"POST /hook HTTP/1.1\r\nX-Request-Id: 0001a\r\nContent-Length: 0\r\n\r\n"
STALL_SECONDS = 0.5
SHORT_STALL_SECONDS = 0.1


@pytest.mark.parametrize("is_closed", [True, False])
def test_soak_audit_counts_two_calls_only_while_the_first_connection_is_open(is_closed: bool):
    """Guards against a call that the courier has closed and the endpoint still answers."""
    audit = SoakAudit()

    async def play() -> None:
        destination = AuditedDestination(ProcessFleet(endpoints=1), random.Random(1), audit)
        await destination.open()
        _, first = await asyncio.open_connection(HOST, destination.ports[0])
        first.write(CALL)
        while destination.call_count < 1 and not destination._in_flight:
            await asyncio.sleep(0.001)
        if is_closed:
            first.transport.abort()
        reader, second = await asyncio.open_connection(HOST, destination.ports[0])
        second.write(CALL)
        await reader.readline()
        first.close()
        second.close()
        destination.close()

    asyncio.run(play())
    assert (audit.superseded, audit.concurrent) == ((["0001a"], []) if is_closed else ([], ["0001a"]))


@pytest.mark.parametrize("is_stalled", [True, False])
def test_soak_audit_counts_a_notification_from_when_it_can_have_come(is_stalled: bool):
    """Guards against a message told as lost since the audit's own process stood still; only then."""
    audit = SoakAudit()

    async def play() -> None:
        destination = AuditedDestination(ProcessFleet(endpoints=1), random.Random(1), audit)
        platform = AuditedPlatform(destination, 10.0, audit)
        await platform.open()
        body = b'{"id":"m","state":"failed"}'
        reader, writer = await asyncio.open_connection(HOST, platform.port)
        await asyncio.sleep(0.1)
        audit.accepted["m"] = Accepted(0, "order-payment", due_at=time.monotonic() - LATE_SECONDS + 0.2)
        if is_stalled:
            writer.write(b"POST /v1/notices HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            time.sleep(STALL_SECONDS)
        else:
            await asyncio.sleep(STALL_SECONDS)
            writer.write(b"POST /v1/notices HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        await reader.readline()
        writer.close()
        platform.close()

    asyncio.run(play())
    assert audit.lost_messages(time.monotonic()) == ([] if is_stalled else ["m"])


@pytest.mark.parametrize("is_stalled", [True, False])
def test_soak_audit_counts_a_notification_on_a_new_connection_from_when_it_can_have_come(is_stalled: bool):
    """Guards against a message told as lost since the audit stalled in a row: to accept, and to read."""
    audit = SoakAudit()

    async def play() -> None:
        destination = AuditedDestination(ProcessFleet(endpoints=1), random.Random(1), audit)
        platform = AuditedPlatform(destination, 10.0, audit)
        await platform.open()
        body = b'{"id":"m","state":"failed"}'
        await asyncio.sleep(0.1)
        accepted = Accepted(0, "order-payment", due_at=time.monotonic() - LATE_SECONDS + SHORT_STALL_SECONDS)
        audit.accepted["m"] = accepted
        if not is_stalled:
            await asyncio.sleep(STALL_SECONDS)
        with socket.create_connection((HOST, platform.port)) as connection:
            connection.sendall(
                b"POST /v1/notices HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
            )
            while accepted.ended_at is None:
                if is_stalled:
                    time.sleep(SHORT_STALL_SECONDS)
                await asyncio.sleep(0)
        platform.close()

    asyncio.run(play())
    assert audit.lost_messages(time.monotonic()) == ([] if is_stalled else ["m"])


def test_soak_audit_names_each_broken_rule():
    """Guards against an audit that overlooks a broken rule, so that no day can fail by it."""
    audit = SoakAudit()
    audit.accepted = {
        "in time": Accepted(0, "order-payment", due_at=10.0, ended_at=9.0),
        "late": Accepted(0, "order-payment", due_at=10.0, ended_at=10.5),
        "never": Accepted(1, "order-payment", due_at=10.0),
        "late by a restart": Accepted(2, "order-payment", due_at=10.0, ended_at=13.0),
        "late in spite of a restart": Accepted(2, "order-payment", due_at=10.0, ended_at=13.6),
    }
    audit.downtimes = [(2, 8.0, 12.0)]
    audit.unanswered.append(Unanswered("a", 1, 0.1, True, None, ""))
    audit.concurrent.append("b")
    audit.late_stops.append(3)
    audit.crashes.append("n1")
    audit.overload = Overload(at_seconds=1.0, calls=80, aware_calls=70, budget=50.0)
    faults = audit.faults(now=20.0)
    assert faults.pop("lost") == ["late", "never", "late in spite of a restart"]
    assert faults.keys() == {"unanswered", "twice at once", "late stops", "crashes", "overload"}
    assert not Overload(at_seconds=1.0, calls=80, aware_calls=40, budget=50.0).breaks_rule
