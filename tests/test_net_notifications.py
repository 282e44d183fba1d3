"""Notifications to the platform: repeated until acknowledged."""

from __future__ import annotations

from winchspan.config.platform import Address
from winchspan.net.http_call import HttpCallOutcome, HttpCallResult, HttpPeer
from winchspan.net.notifications import Notification, NotificationQueue
from winchspan.runtime.clock import ManualClock
from winchspan.runtime.timers import TimerQueue

from .network_fakes import (
    PLATFORM,
    FakePool,
    http_result,
    response_result,
)


def test_notifications_set_address_repeats_unacknowledged_at_new_address():
    clock, connections, acknowledged = ManualClock(), FakePool(), list[str]()
    timers = TimerQueue(clock)
    notifications = NotificationQueue(connections, clock, timers, PLATFORM)  # type: ignore[arg-type]
    notifications.add(Notification("a", "failed", 0, lambda: acknowledged.append("a")))
    timers.run_due()
    notifications.set_address(Address("127.0.0.9", 9))
    assert connections.peers_closed_idle == [HttpPeer(PLATFORM)]
    connections.calls[0][1](HttpCallResult(HttpCallOutcome.CONNECTION_LOST))
    clock.advance(100)
    timers.run_due()
    assert b"Host: 127.0.0.9:9\r\n" in connections.calls[1][0][0]
    connections.calls[1][1](response_result(b"HTTP/1.1 204 No Content\r\n\r\n"))
    assert acknowledged == ["a"]


def test_notifications_unacknowledged_repeated_and_waiting_ones_sent_together():
    clock, connections, acknowledged = ManualClock(), FakePool(), list[str]()
    timers = TimerQueue(clock)
    notifications = NotificationQueue(connections, clock, timers, PLATFORM)  # type: ignore[arg-type]
    for name in ("a", "b"):
        notifications.add(Notification(name, "returned", 500, lambda n=name: acknowledged.append(n)))  # type: ignore[misc]
    timers.run_due()
    line = b'{"id":"a","state":"returned","after_ms":500}\n'
    assert connections.calls[0][0][1].startswith(line) and connections.calls[0][0][1].count(b"\n") == 2
    connections.calls[0][1](HttpCallResult(HttpCallOutcome.CONNECTION_LOST))
    clock.advance(100)
    timers.run_due()
    notifications.add(Notification("c", "failed", 0, lambda: acknowledged.append("c")))
    connections.calls[1][1](http_result(500))
    clock.advance(100)
    timers.run_due()
    assert acknowledged == [] and connections.calls[2][0][1].endswith(b'{"id":"c","state":"failed"}\n')
    connections.calls[2][1](response_result(b"HTTP/1.1 204 No Content\r\n\r\n"))
    assert acknowledged == ["a", "b", "c"] and len(notifications) == 0
