"""What goes on in the new process: messages in hand, calls in flight, and time."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

from winchspan.config.platform import Address
from winchspan.delivery.ports import EnginePorts
from winchspan.net.connection_pool import HttpConnectionPool, PoolTimeouts
from winchspan.net.http import ResponseParser
from winchspan.net.http_call import HttpCall, HttpCallOutcome, HttpCallResult, HttpCallState, HttpPeer
from winchspan.net.socket_budget import SocketBudget
from winchspan.runtime.clock import ManualClock
from winchspan.runtime.timers import TimerQueue
from winchspan.upgrade.connection_converter import call_from_record, call_to_record

from .delivery_world import OK, World


def test_a_courier_goes_on_with_what_is_out_and_still_owes_each_end(tmp_path: Path):
    """Messages out, queued, and ended by a notice that nobody has heard."""
    world = World(tmp_path)
    for n in range(8):
        world.put(f"m{n}", "keyed", key=n % 2 + 1)
    world.put("late", left=1.0)
    world.run(50)
    assert list(world.out.notices) == ["late"] and world.out.sent
    world.courier.suspend(True)
    world.put("meanwhile", "safe")  # taken while it settles
    handed, out = world.courier.export_state(), world.out
    for sent in out.sent:
        sent.cancel = None  # type: ignore[assignment, method-assign]   # no way back to the old process
    taken = list(out.sent)
    world.journal.close()

    rejoined = []
    world.clock.advance(30)
    state = handed
    before = world.courier
    world.turns, world.journal = [], type(world.journal)(tmp_path, world.disk)
    world.out = type(out)(world.journal, 1)
    world.courier = type(before)(
        world.settings,
        1,
        EnginePorts(world.clock, world.deadlines, world.journal, world.out, world.out, world.turns.append),
    )
    world.courier.import_state(state, lambda call, done: rejoined.append((call, done)))
    assert len(rejoined) == len(taken) and list(world.out.notices) == ["late"]
    for call, done in rejoined:
        done([OK] * len(call.parcels))  # type: ignore[attr-defined]
    for _ in range(40):
        world.run(100)
        for sent in list(world.out.sent):
            world.out.sent.remove(sent)
            sent.end(OK)
    world.out.notices["late"][2]()
    world.run()
    assert world.courier.held_count == 0 and not list(world.journal.open_messages)


def test_time_goes_on_for_what_is_taken_while_the_module_stands_still(tmp_path: Path):
    """Its end came as late as the courier had been settling: 'lost', 0.55 s after its time."""
    world = World(tmp_path, slots=1)
    world.put("before", "once")  # holds the only slot
    world.courier.suspend(True)
    world.put("meanwhile", left=2_000.0)
    world.run(900)
    world.courier.suspend(False)
    world.run(1_090)
    assert list(world.out.notices) == ["meanwhile"], "2,000 ms after it was taken"


def test_a_call_taken_over_cannot_be_taken_back_as_unwritten_and_ends_with_its_answer():
    """Before its connection was up here it counted as not written, and went out a second time."""

    async def play() -> list[HttpCallResult]:
        loop, clock, ends = asyncio.get_running_loop(), ManualClock(), list[HttpCallResult]()
        pool = HttpConnectionPool(
            loop, clock, TimerQueue(clock), SocketBudget(9), PoolTimeouts(1_000.0, 5_000.0)
        )
        mine, theirs = socket.socketpair()
        mine.setblocking(False)
        peer = HttpPeer(Address("127.0.0.1", 1), 11)
        half = ResponseParser()
        head = bytearray(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab")
        half.feed(head, 0, len(head))  # the process before has read so much of the answer
        handed = HttpCallState(peer, clock.now() + 9_000.0, None, half, b"", clock.now() + 400.0, False)
        taken_over = call_from_record(call_to_record(handed))
        pool.adopt_call(mine, HttpCall.without_connection(), taken_over, ends.append)
        pool.recall(peer)
        pool.recall_all_unwritten()
        for _ in range(3):
            await asyncio.sleep(0)
        assert not ends
        theirs.sendall(b"cd")
        while not ends:
            await asyncio.sleep(0)
        theirs.close()
        return ends

    (end,) = asyncio.run(play())
    assert (
        end.outcome is HttpCallOutcome.ANSWERED
        and end.response is not None
        and bytes(end.response.body) == b"abcd"
    )
