"""The poll monitor: a message that is read late gets less time, so that it is not completed late."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TypeAlias

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.delivery_world import World
from tests.network_fakes import FakeIntake
from winchspan.delivery.errors import RejectedError
from winchspan.delivery.messages import SubmittedMessage
from winchspan.net.client_listener import ClientConnections, ListenerOptions
from winchspan.net.socket_budget import SocketBudget
from winchspan.runtime.clock import Clock, ManualClock
from winchspan.runtime.poll_monitor import MIN_BLOCKING_POLL_MS, TIMEOUT_TOLERANCE_MS, PollMonitor
from winchspan.runtime.system import System
from winchspan.runtime.timers import TimerQueue

POLL_TIMEOUT_MS = 100.0

Scenario: TypeAlias = Callable[["DelayedCourier"], Awaitable[None]]


class PollingLoop:
    """A simulated event loop that works and polls its sockets on a manual clock."""

    def __init__(self) -> None:
        self.now = 1_000.0
        self.monitor = PollMonitor(1_000.0)
        self.unread: list[float] = []  # receive times of unread data

    def work(self, ms: float) -> None:
        self.now += ms

    def poll(self, next_arrival: float | None, delay_ms: float = 0.0) -> None:
        """Poll until data arrives at `next_arrival`; the process is then delayed."""
        start = self.now
        if not self.unread:
            timeout_at = start + POLL_TIMEOUT_MS
            if next_arrival is not None and next_arrival <= timeout_at:
                self.now = max(start + MIN_BLOCKING_POLL_MS, next_arrival)
                self.unread.append(next_arrival)
            else:
                self.now = timeout_at
        if delay_ms:
            received = self.now + delay_ms / 2
            self.now += delay_ms
            self.unread.append(received)
        self.monitor.record_poll(start, self.now, POLL_TIMEOUT_MS)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    st.lists(
        st.tuples(
            st.floats(0.0, 900.0),
            st.floats(0.001, 0.999),
            st.one_of(st.none(), st.floats(0.5, 150.0)),
            st.sampled_from([0.0, 0.0, 300.0]),
        ),
        max_size=20,
    )
)
def test_received_after_is_a_lower_bound_unless_a_stop_ends_within_one_poll(
    cycles: list[tuple[float, float, float | None, float]],
):
    loop = PollingLoop()
    for work_ms, share, next_in, delay_ms in cycles:
        start = loop.now
        loop.work(work_ms)
        loop.unread.append(start + share * work_ms)  # received while the loop was busy
        loop.poll(None)
        loop.now += 0.01
        assert min(loop.unread) >= loop.monitor.received_after_ms, "older than the bound"
        loop.unread.clear()
        loop.poll(None if next_in is None else loop.now + next_in, delay_ms)
        if loop.unread:
            # a stop that ends within the time-out cannot be distinguished from a blocking poll
            tolerance = POLL_TIMEOUT_MS + TIMEOUT_TOLERANCE_MS if delay_ms else 0.0
            assert min(loop.unread) >= loop.monitor.received_after_ms - tolerance
        loop.unread.clear()


def test_record_poll_without_delays_bounds_by_the_last_blocking_poll():
    monitor = PollMonitor(0.0)
    monitor.record_poll(500.0, 540.0, 100.0)
    assert monitor.received_after_ms == 540.0
    monitor.record_poll(541.0, 541.05, 100.0)  # the data was there already: received since the previous poll
    assert monitor.received_after_ms == 540.0
    monitor.record_poll(542.0, 900.0, 100.0)  # the poll itself was delayed
    assert monitor.received_after_ms == 541.05


def test_record_poll_that_does_not_block_bounds_by_the_previous_poll():
    monitor = PollMonitor(100.0)
    monitor.record_poll(1_200.0, 1_200.0, 100.0)  # the process was delayed since its start
    assert monitor.received_after_ms == 100.0
    for n in range(1, 50):
        monitor.record_poll(1_200.0 + n, 1_200.0 + n, 100.0)
        assert monitor.received_after_ms == 1_199.0 + n and monitor.poll_count == n + 1
    monitor.record_poll(1_249.1, 1_251.0, 100.0)  # the poll blocked
    assert monitor.received_after_ms == 1_251.0


def test_run_due_with_a_timer_due_after_the_poll_waits_for_the_next_poll():
    clock, monitor, fired = ManualClock(), PollMonitor(0.0), list[str]()
    timers = TimerQueue(clock, None, monitor)
    start = clock.now()
    monitor.record_poll(start - 1.0, start, 100.0)

    def slow() -> None:
        fired.append("slow")
        clock.advance(110.0)  # the response to a call arrives meanwhile and is not read yet

    timers.call_at(start, slow)
    timers.call_at(start + 50.0, lambda: fired.append("overdue"))
    timers.run_due()
    assert fired == ["slow"]
    monitor.record_poll(clock.now(), clock.now() + 0.1, 0.0)
    clock.advance(0.1)
    timers.run_due()
    assert fired == ["slow", "overdue"]


def test_pause_with_a_timer_due_calls_it_at_resume():
    clock, fired = ManualClock(), list[str]()
    timers = TimerQueue(clock)
    timers.call_later(5.0, lambda: fired.append("due"))
    timers.pause()
    clock.advance(10.0)
    timers.run_due()
    assert fired == []
    timers.resume()
    assert fired == ["due"]


class DelayedCourier:
    """Client connections on real sockets, and an event loop that the test blocks."""

    def __init__(self, scenario: Scenario) -> None:
        system = System(process_start_ms=Clock().now())
        self.system, self.intake = system, FakeIntake()
        with asyncio.Runner(loop_factory=system.new_event_loop) as runner:
            runner.run(self._run(scenario))

    async def _run(self, scenario: Scenario) -> None:
        loop = asyncio.get_running_loop()
        timers = TimerQueue(self.system.clock, loop, self.system.poll_monitor)
        self.connections = ClientConnections(
            self.intake,
            self.system.clock,
            timers,
            SocketBudget(50),
            ListenerOptions(20, lambda: False, poll_monitor=self.system.poll_monitor),
        )
        self.port = self.connections.listen(loop, self.system.listen("127.0.0.1", 0))
        await scenario(self)

    def request(self, number: int) -> bytes:
        words = [b"SUBMIT", b"0", b"%016x" % number, b"c=x,d=5000,dest=7", b"body"]
        return b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)

    def client(self) -> socket.socket:
        found = socket.create_connection(("127.0.0.1", self.port))
        found.settimeout(5.0)
        return found

    async def wait_for_accepted(self, count: int) -> None:
        while len(self.intake.accepted_messages) < count:
            await asyncio.sleep(0.001)

    def block_loop(self, ms: float) -> None:
        """Block the event loop for a duration, independent of the machine's load."""
        end = self.system.clock.now() + ms
        while self.system.clock.now() < end:
            pass


def test_message_age_after_a_hang_is_its_duration_on_old_and_new_connections():
    async def scenario(courier: DelayedCourier) -> None:
        old_connection = courier.client()
        old_connection.sendall(courier.request(1))
        await courier.wait_for_accepted(1)
        await asyncio.sleep(0.05)
        old_connection.sendall(courier.request(2))
        await courier.wait_for_accepted(2)
        idle_connection = courier.client()
        hang_start_ms = courier.system.clock.now()
        new_connections = [courier.client() for _ in range(20)]  # more than one iteration accepts
        old_connection.sendall(courier.request(3))
        for number, connection in enumerate(new_connections):
            connection.sendall(courier.request(10 + number))
        courier.block_loop(350.0)
        hang_end_ms = courier.system.clock.now()
        await courier.wait_for_accepted(23)
        max_age_ms = courier.system.clock.now() - hang_start_ms
        assert all(349.0 <= age <= max_age_ms + 100.0 for age in courier.intake.ages[2:23]), (
            courier.intake.ages
        )
        await asyncio.sleep(0.05)
        idle_connection.sendall(courier.request(40))  # open since before the hang, without data until now
        await courier.wait_for_accepted(24)
        assert courier.intake.ages[23] <= courier.system.clock.now() - hang_end_ms, (
            "the age must not include the hang"
        )
        for connection in [old_connection, idle_connection, *new_connections]:
            connection.close()

    DelayedCourier(scenario)


def test_request_read_late_whose_client_has_closed_is_not_accepted():
    async def scenario(courier: DelayedCourier) -> None:
        closed_client, open_client = courier.client(), courier.client()
        closed_client.sendall(courier.request(1))
        closed_client.close()
        open_client.sendall(courier.request(2))
        courier.block_loop(450.0)
        await courier.wait_for_accepted(1)
        await asyncio.sleep(0.05)
        assert [message[0] for message in courier.intake.accepted_messages] == [f"{2:016x}"]
        open_client.close()

    DelayedCourier(scenario)


def test_message_read_late_is_rejected_or_has_an_earlier_deadline(tmp_path: Path):
    world = World(tmp_path)
    left = 1_000.0
    handle = world.engine.accept(SubmittedMessage("m1", "once", None, 1, left, "", b"x", age_ms=600.0))
    assert handle >= 0
    (entry,) = world.journal.open_messages
    assert abs(entry.deadline_ms - (world.clock.persistent_unix_ms() + 400.0)) < 1e-6
    with pytest.raises(RejectedError) as rejection:
        world.engine.accept(SubmittedMessage("m2", "once", None, 1, left, "", b"x", age_ms=1_000.0))
    assert rejection.value.retry_after_ms == 0.0
