"""What crosses a call: its dial, its first and last byte, its answer, and the end of its message."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from pathlib import Path

import pytest

from .loopback import HOST, Loopback, Server, submit


@pytest.fixture
def world(tmp_path: Path) -> Iterator[Loopback]:
    found = Loopback(tmp_path)
    yield found
    found.close()


class Crowded(Server):
    """Its backlog is full: a dial comes up once there is room, and the system tries it again."""

    def __init__(self) -> None:
        super().__init__(backlog=0, takes=False)
        self.fill = socket.create_connection((HOST, self.port))

    def room(self) -> None:
        self.takes.set()


def test_a_dial_that_comes_up_after_a_message_has_ended_carries_the_others(world: Loopback):
    """It was sent on after its final answer, with the others of its call."""
    world.set(limits_connect_timeout_ns=30 * 10**9)
    crowded = Crowded()
    world.list_endpoint("s-1", crowded)
    try:
        world.start()
        client = world.client()
        client.send(submit("early", left=500) + submit("late-1") + submit("late-2"))
        assert [client.line() for _ in range(3)] == [b"+OK\r\n"] * 3
        world.ended("early", "returned")
        assert not crowded.calls
        crowded.room()
        call, = world.calls(1, crowded)
        assert sorted(call.ids) == ["late-1", "late-2"]
        call.answer()
        world.take(submit("next"))
        assert world.calls(2, crowded)[1].ids == ["next"], "nothing is left behind"
        assert "early" not in crowded.begun()
    finally:
        crowded.close()
