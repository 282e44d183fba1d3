"""SIGHUP moves discovery while a new process takes over: the new process never hears of it."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import (
    TROUBLE,
    Call,
    Case,
    CaseError,
    Client,
    Courier,
    Platform,
    free_port,
    main,
    message_class,
    ok_answer,
    ping,
    response,
    runs_of,
    settings,
)

DESTINATION = 7
QUIET_CLIENTS = 12  # clients whose connections fall quiet while staying open
QUIET_EVERY = 0.1  # s between them
IDLE_END = 2.1  # s after which a courier ends such a connection
NOT_ANSWERED = 0.06  # s without an answer to PING: the courier accepts nobody while it prepares a hand-over
LEFT = 3.0  # s in which the last message may be delivered
LOST_AFTER = (
    0.5  # s past its time after which a message without an end is lost: the longest that a page names
)
MESSAGE = "9b1f03aa5c7e2d41"


async def turn_away(call: Call) -> bytes:
    """Turn the last message away, whenever it comes; deliver all others."""
    await asyncio.sleep(0.25)
    return response(503) if MESSAGE in call.ids else ok_answer(call)


async def become_quiet(case: Case, courier: Courier) -> list[Client]:
    """Open connections one after another, hand in a message on each, and leave them open and quiet."""
    clients = []
    for number in range(QUIET_CLIENTS):
        client = await Client(case.record, courier.port).open()
        await client.hand_in(f"5be2a07c0000{number:04x}", "gallery-notice", DESTINATION)
        clients.append(client)
        await asyncio.sleep(QUIET_EVERY)
    return clients


async def wait_for_hand_over(courier: Courier) -> None:
    """Wait until new connections are not answered: the new process has asked the serving one to hand over."""
    for _ in range(500):
        if not await ping(courier.port, limit=NOT_ANSWERED):
            return
        await asyncio.sleep(0.005)
    raise CaseError("the hand-over was not seen")


async def move_discovery(case: Case, courier: Courier, target: Platform) -> None:
    """Replace the configuration, and send SIGHUP to the process that serves."""
    old = courier.platform
    courier.platform = target
    courier.write_config()
    courier.signal(signal.SIGHUP, 0)
    case.record(f"discovery and notices are at port {target.port} now")
    await old.end_after(1.5)


async def play(case: Case) -> list[str]:
    """Return what was broken."""
    endpoint = await case.endpoint("s-1", DESTINATION, turn_away)
    classes = [message_class("gallery-notice", "repeatable", goal_time_ns=1_500_000_000)]
    courier = case.courier(settings(classes))
    courier.hold_listener()
    courier.write_config()
    courier.start()
    await courier.wait_ready()
    await courier.wait_admin_ready()
    second = Platform(case.record, sequence=case.platform.sequence, hosts=case.platform.hosts)
    await second.start()
    quiet = await become_quiet(case, courier)
    await asyncio.sleep(IDLE_END - QUIET_CLIENTS * QUIET_EVERY + 0.1)
    if TROUBLE:
        courier.admin_port = free_port()
        courier.start()
        await wait_for_hand_over(courier)
        case.record("new connections are not answered: the hand-over has begun")
    moving = asyncio.create_task(move_discovery(case, courier, second))
    if TROUBLE:
        await courier.wait_admin_ready()
        courier.signal(signal.SIGTERM, 0)
    await moving
    await asyncio.sleep(2.5)  # SIGHUP was 4 s ago: what discovery has to tell counts as told
    client = await Client(case.record, courier.port).open()
    answer = await client.hand_in(MESSAGE, "gallery-notice", DESTINATION, left_ms=int(1000 * LEFT))
    if not answer.startswith(b"+OK"):
        raise CaseError("the message was not taken on")
    await asyncio.sleep(LEFT + LOST_AFTER)
    for each in (client, *quiet):
        each.close()
    if any(message == MESSAGE for _, message, _ in (*case.platform.notices, *second.notices)):
        return []
    calls = len(runs_of([endpoint], MESSAGE))
    return [f"{MESSAGE} was taken on, turned away {calls} times, and its end was never told: it is lost"]


main(__file__, play)
