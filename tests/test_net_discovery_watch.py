"""The discovery watch: lines, silence and changes of address."""

from __future__ import annotations

import json

import pytest

from winchspan import api
from winchspan.config.platform import Address
from winchspan.net.discovery_watch import REOPEN_DELAY_MS, SILENCE_LIMIT_MS, DiscoveryWatch
from winchspan.net.endpoint_directory import EndpointDirectory
from winchspan.net.http_call import HttpCallOutcome, HttpCallResult
from winchspan.runtime.clock import ManualClock
from winchspan.runtime.timers import TimerQueue

from .network_fakes import (
    PLATFORM,
    FakePool,
    endpoint_entry,
    watch_event,
)


def watch() -> tuple[ManualClock, TimerQueue, FakePool, list[api.EndpointsUpdated]]:
    clock, connections, updates = ManualClock(), FakePool(), list[api.EndpointsUpdated]()
    timers = TimerQueue(clock)
    directory = EndpointDirectory(updates.append)
    directory.apply(watch_event(5, endpoint_entry("s-1"), whole=True), api.UpdateScope.STALE)
    DiscoveryWatch(directory, connections, timers, PLATFORM).open()  # type: ignore[arg-type]
    return clock, timers, connections, updates


def test_discovery_watch_lines_split_anywhere_applied_from_stored_version():
    _, _, connections, updates = watch()
    pieces, _, body = connections.calls[0]
    assert b"follow=1&since=5" in pieces[0] and body is not None
    raw = json.dumps(watch_event(6, endpoint_entry("s-1", health="draining"))).encode() + b"\n\n"
    for byte in raw:
        body(bytes([byte]))
    assert [update.scope for update in updates] == [api.UpdateScope.STALE, api.UpdateScope.CHANGES]


def test_discovery_watch_silent_reopens_and_keeps_last_list():
    clock, timers, connections, updates = watch()
    for _ in range(2):
        clock.advance(SILENCE_LIMIT_MS + 1)
        timers.run_due()
        clock.advance(1_000)
        timers.run_due()
    assert connections.cancelled == 2 and len(connections.calls) == 3 and len(updates) == 1


def test_discovery_watch_set_address_reopens_there_immediately_from_stored_version():
    clock, connections = ManualClock(), FakePool()
    timers, directory = TimerQueue(clock), EndpointDirectory(lambda event: None)
    directory.apply(watch_event(5, endpoint_entry("s-1"), whole=True))
    watch = DiscoveryWatch(directory, connections, timers, PLATFORM)  # type: ignore[arg-type]
    watch.open()
    watch.set_address(PLATFORM)
    assert connections.cancelled == 0
    watch.set_address(Address("127.0.0.9", 9))
    timers.run_due()
    head = connections.calls[1][0][0]
    assert connections.cancelled == 1 and b"since=5" in head and b"Host: 127.0.0.9:9\r\n" in head
    # The address may also change between two watches.
    connections.calls[1][1](HttpCallResult(HttpCallOutcome.CONNECTION_LOST))
    watch.set_address(PLATFORM)
    clock.advance(REOPEN_DELAY_MS)
    timers.run_due()
    assert (
        b"Host: %s\r\n" % str(PLATFORM).encode() in connections.calls[2][0][0] and len(connections.calls) == 3
    )


@pytest.mark.parametrize(
    "line",
    [
        b"{nonsense\n",
        b"[1]\n",
        b"[" * 100_000 + b"\n",
        b"\xff\xfe\n",
        b'{"seq":NaN,"hosts":[]}\n',
        b'{"seq":1e999,"hosts":[]}\n',
    ],
)
def test_discovery_watch_unreadable_line_asks_for_full_snapshot(line: bytes):
    clock, timers, connections, _ = watch()
    body = connections.calls[0][2]
    assert body is not None
    body(line)
    clock.advance(1_000)
    timers.run_due()
    assert b"since" not in connections.calls[1][0][0]
