"""The endpoint directory: applied updates, and endpoints taken offline by operators."""

from __future__ import annotations

import copy
from pathlib import Path
from typing import Any

import pytest

from winchspan import api
from winchspan.api import EndpointStatus
from winchspan.config.json_fields import FieldError
from winchspan.net.attempt_transport import HttpAttemptTransport, TransportSettings
from winchspan.net.endpoint_directory import MAX_OFFLINE_ENDPOINTS, EndpointDirectory
from winchspan.net.http_call import HttpPeer
from winchspan.runtime.clock import ManualClock
from winchspan.storage.journal import Journal

from .network_fakes import (
    FakePool,
    endpoint_entry,
    watch_event,
)


def test_endpoint_directory_apply_numbers_endpoints_and_ignores_stale_events():
    updates: list[api.EndpointsUpdated] = []
    drained_peers: list[HttpPeer] = []
    directory = EndpointDirectory(updates.append, drained_peers.append)
    directory.apply(
        watch_event(5, endpoint_entry("s-1"), endpoint_entry("s-2"), whole=True), api.UpdateScope.STALE
    )
    directory.apply(watch_event(4, endpoint_entry("s-1", health="removed")))
    directory.apply(watch_event(7, endpoint_entry("s-2", health="draining")))
    assert [update.scope for update in updates] == [api.UpdateScope.STALE, api.UpdateScope.CHANGES]
    assert (
        updates[1].rows == (api.EndpointEntry(2, 3, api.EndpointStatus.DRAINING, "a", "k", 2.0),)
        and drained_peers
    )
    directory.apply(watch_event(8, endpoint_entry("s-1", dial="127.0.0.2:9")))
    assert str(directory.endpoints[1].address) == "127.0.0.2:9"
    directory.apply(watch_event(3, endpoint_entry("s-3")))  # stale, but assigns a number
    directory.apply(watch_event(9, endpoint_entry("s-3"), endpoint_entry("s-4")))
    assert [record.name for record in directory.endpoints.values()] == ["s-1", "s-2", "s-3", "s-4"]


def test_endpoint_directory_removed_endpoint_releases_peer_and_address_gets_new_peer():
    drained_peers: list[HttpPeer] = []
    directory = EndpointDirectory(lambda event: None, drained_peers.append)
    directory.apply(watch_event(1, endpoint_entry("s-1"), endpoint_entry("s-2"), whole=True))
    directory.apply(watch_event(2, endpoint_entry("s-3"), whole=True))
    assert drained_peers == [
        directory.endpoints[1].peer,
        directory.endpoints[2].peer,
    ] and directory.endpoint_counts == {3: 3}
    assert (
        directory.endpoints[3].address == directory.endpoints[1].address
        and directory.endpoints[3].peer != directory.endpoints[1].peer
    )


@pytest.mark.parametrize("bad", [{}, {"seq": "x"}, {"seq": 9, "hosts": 5}, {"seq": 9, "whole": 1}])
def test_endpoint_directory_unreadable_event_changes_nothing(bad: dict[str, Any]):
    updates: list[api.EndpointsUpdated] = []
    directory = EndpointDirectory(updates.append)
    with pytest.raises(FieldError):
        directory.apply(bad)
    assert not updates and directory.sequence == -1


@pytest.mark.parametrize(
    "bad",
    [
        1,
        {"host": "a"},
        endpoint_entry(dial="x"),
        endpoint_entry(health="x"),
        endpoint_entry(share="x"),
        endpoint_entry(share=float("nan")),
        endpoint_entry(block=float("inf")),
        endpoint_entry(block=10**18),  # greater than clients can send
        endpoint_entry(block=1e300),
    ],
)
def test_endpoint_directory_unreadable_entry_does_not_hide_others(bad: object):
    updates: list[api.EndpointsUpdated] = []
    directory = EndpointDirectory(updates.append)
    directory.apply(watch_event(1, endpoint_entry("s-8"), endpoint_entry("s-9"), whole=True))
    gone = {"host": "s-8", "block": 3, "health": "removed"}
    directory.apply(watch_event(2, bad, gone, endpoint_entry("s-9", health="draining")))
    listings = [(row.endpoint, row.status) for row in updates[1].rows]
    assert listings == [(1, api.EndpointStatus.GONE), (2, api.EndpointStatus.DRAINING)]
    assert directory.endpoints[1].name == "s-8"


def test_endpoint_directory_drops_endpoints_long_removed_and_never_reuses_numbers():
    directory = EndpointDirectory(lambda event: None)
    for i in range(1_200):
        directory.apply(watch_event(i, endpoint_entry(f"s-{i}"), whole=True))
    assert (
        len(directory.endpoints) <= 1_001
        and max(directory.endpoints) == 1_200
        and directory.endpoints[1_200].name == "s-1199"
    )
    assert directory.endpoint_counts == {3: len(directory.endpoints)} and len(directory._numbers) == len(
        directory.endpoints
    )
    assert [record.status for record in directory.endpoints.values()].count(
        api.EndpointStatus.IN_SERVICE
    ) == 1
    attempt_transport = HttpAttemptTransport(directory, FakePool(), ManualClock(), TransportSettings({}))  # type: ignore[arg-type]
    attempt_transport.close_idle(1)
    attempt_transport.recall(1)
    assert attempt_transport.describe(1) == ("?", "", 1)


def listing(seq: int, health: str = "up", whole: bool = True, born: str = "1") -> dict[str, Any]:
    return {
        "seq": seq,
        "whole": whole,
        "hosts": [{"host": "s-1", "dial": f"127.0.0.1:{born}", "block": 3, "health": health}],
    }


def test_endpoint_directory_offline_endpoint_drains_whatever_listed_and_returns_cold(tmp_path: Path):
    updates: list[api.EndpointsUpdated] = []
    journal = Journal(tmp_path, 100_000)
    directory = EndpointDirectory(updates.append, on_offline_change=journal.record_disabled_endpoints)
    assert not directory.knows("s-1")
    directory.apply(listing(1))
    assert directory.take_offline("s-1") and directory.take_offline("s-1")  # repeating it changes nothing
    assert updates[-1].rows[0].status is EndpointStatus.DRAINING
    for seq, health in ((2, "up"), (3, "removed"), (4, "up"), (5, "draining"), (6, "up")):
        directory.apply(listing(seq, health, whole=seq % 2 == 0))
        assert updates[-1].rows[0].status is not EndpointStatus.IN_SERVICE
    journal.close()

    restarted = EndpointDirectory(updates.append)  # after a restart
    restarted.offline_names.update(Journal(tmp_path, 100_000).disabled_endpoints)
    restarted.apply(listing(7))
    assert updates[-1].rows[0].status is EndpointStatus.DRAINING
    restarted.bring_online("s-1")
    assert updates[-1].rows[0].status is EndpointStatus.IN_SERVICE and updates[-1].rows[0].needs_slow_start
    update_count = len(updates)
    restarted.bring_online("s-1")
    assert len(updates) == update_count  # no change, no update
    restarted.apply(listing(8))
    assert not updates[-1].rows[0].needs_slow_start


def test_endpoint_directory_offline_change_during_upgrade_holds_in_next_process(tmp_path: Path):
    updates: list[api.EndpointsUpdated] = []
    journal = Journal(tmp_path, 100_000)
    directory = EndpointDirectory(updates.append, on_offline_change=journal.record_disabled_endpoints)
    directory.apply(listing(1))
    directory.apply({"seq": 2, "whole": False, "hosts": [{"host": "s-2", "dial": "127.0.0.1:2", "block": 3}]})
    directory.take_offline("s-1")
    exported = copy.deepcopy(
        {name: value for name, value in directory.export_state().items() if name != "next"}
    )
    directory.bring_online("s-1")
    directory.take_offline("s-2")
    journal.close()
    restarted = EndpointDirectory(updates.append)
    restarted.offline_names.update(Journal(tmp_path, 100_000).disabled_endpoints)
    restarted.import_state(exported | {"next": directory.export_state()["next"]})
    rows = {row.endpoint: row for row in updates[-1].rows}
    assert rows[1].status is EndpointStatus.IN_SERVICE and rows[1].needs_slow_start
    assert rows[2].status is EndpointStatus.DRAINING


def test_endpoint_directory_offline_names_survive_compaction_and_are_limited(tmp_path: Path):
    journal = Journal(tmp_path, 400_000)
    directory = EndpointDirectory(lambda event: None, on_offline_change=journal.record_disabled_endpoints)
    for number in range(MAX_OFFLINE_ENDPOINTS):
        assert directory.take_offline(f"s-{number}")
    assert not directory.take_offline("one-more") and directory.take_offline("s-0")
    for number in range(2, MAX_OFFLINE_ENDPOINTS):
        directory.bring_online(f"s-{number}")
    journal.close()
    assert (
        Journal(tmp_path, 400_000).disabled_endpoints
        == Journal(tmp_path, 400_000).disabled_endpoints
        == ["s-0", "s-1"]
    )
