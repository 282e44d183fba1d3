"""The restored courier in the new process: open messages, calls in flight, and deadlines."""

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


def test_restored_engine_completes_attempts_in_flight_and_owed_notifications(tmp_path: Path):
    """The state has messages in flight, queued messages, and one with an unacknowledged notification."""
    world = World(tmp_path)
    for n in range(8):
        world.submit(f"m{n}", "keyed", key=n % 2 + 1)
    world.submit("late", left=1.0)
    world.run(50)
    assert list(world.transport.notifications) == ["late"] and world.transport.calls
    world.engine.suspend(True)
    world.submit("meanwhile", "safe")  # accepted while the engine is suspended
    exported, transport = world.engine.export_state(), world.transport
    for sent in transport.calls:
        sent.cancel = None  # type: ignore[assignment, method-assign]   # must not be called on the old process
    sent_calls = list(transport.calls)
    world.journal.close()

    adopted_calls = []
    world.clock.advance(30)
    state = exported
    before = world.engine
    world.callbacks, world.journal = [], type(world.journal)(tmp_path, world.disk_limit_bytes)
    world.transport = type(transport)(world.journal, 1)
    world.engine = type(before)(
        world.settings,
        1,
        EnginePorts(
            world.clock, world.timers, world.journal, world.transport, world.transport, world.callbacks.append
        ),
    )
    world.engine.import_state(state, lambda call, on_done: adopted_calls.append((call, on_done)))
    assert len(adopted_calls) == len(sent_calls) and list(world.transport.notifications) == ["late"]
    for call, on_done in adopted_calls:
        on_done([OK] * len(call.messages))  # type: ignore[attr-defined]
    for _ in range(40):
        world.run(100)
        for sent in list(world.transport.calls):
            world.transport.calls.remove(sent)
            sent.end(OK)
    world.transport.notifications["late"][2]()
    world.run()
    assert world.engine.held_count == 0 and not list(world.journal.open_messages)


def test_message_accepted_while_the_engine_is_suspended_expires_at_its_deadline(tmp_path: Path):
    """Its deadline was extended by the suspension: it ended as `lost`, 0.55 s after its deadline."""
    world = World(tmp_path, slots=1)
    world.submit("before", "once")  # holds the only slot
    world.engine.suspend(True)
    world.submit("meanwhile", left=2_000.0)
    world.run(900)
    world.engine.suspend(False)
    world.run(1_090)
    assert list(world.transport.notifications) == ["meanwhile"], "2,000 ms after it was accepted"


def test_adopted_call_is_not_recalled_as_unwritten_and_completes_with_its_response():
    """Until its connection was set up, the adopted call counted as unwritten and was sent a second time."""

    async def run_call() -> list[HttpCallResult]:
        loop, clock, ends = asyncio.get_running_loop(), ManualClock(), list[HttpCallResult]()
        pool = HttpConnectionPool(
            loop, clock, TimerQueue(clock), SocketBudget(9), PoolTimeouts(1_000.0, 5_000.0)
        )
        own_end, peer_end = socket.socketpair()
        own_end.setblocking(False)
        peer = HttpPeer(Address("127.0.0.1", 1), 11)
        parser = ResponseParser()
        head = bytearray(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab")
        parser.feed(head, 0, len(head))  # the old process has read this part of the response
        exported = HttpCallState(peer, clock.now() + 9_000.0, None, parser, b"", clock.now() + 400.0, False)
        call_state = call_from_record(call_to_record(exported))
        pool.adopt_call(own_end, HttpCall.without_connection(), call_state, ends.append)
        pool.recall(peer)
        pool.recall_all_unwritten()
        for _ in range(3):
            await asyncio.sleep(0)
        assert not ends
        peer_end.sendall(b"cd")
        while not ends:
            await asyncio.sleep(0)
        peer_end.close()
        return ends

    (end,) = asyncio.run(run_call())
    assert (
        end.outcome is HttpCallOutcome.ANSWERED
        and end.response is not None
        and bytes(end.response.body) == b"abcd"
    )
