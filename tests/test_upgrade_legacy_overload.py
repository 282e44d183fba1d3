"""The overload control of a recorded state with the old names of classes and attributes."""

from __future__ import annotations

from winchspan import api
from winchspan.overload.governor import OverloadGovernor
from winchspan.overload.outage_tracker import DestinationState
from winchspan.overload.reservations import KeyBlock, ReservationTable
from winchspan.overload.settings import NS_PER_SECOND, OverloadSettings
from winchspan.runtime.sketches import CountMinSketch, RecentKeyFilter
from winchspan.upgrade.legacy_overload import governor_attributes
from winchspan.upgrade.state_codec import decode_state

from .compatibility.make import RECORDED
from .helpers import CLASSES, settings


def recorded_governor() -> OverloadGovernor:
    state = decode_state((RECORDED / "upgrade" / "same.state").read_bytes())
    assert state.courier is not None
    governor = state.courier.engine.scheduler.overload_control
    assert isinstance(governor, OverloadGovernor)
    return governor


def test_governor_of_a_recorded_state_keeps_its_settings_and_destinations():
    governor = recorded_governor()
    busy, quiet = governor.destinations
    assert (busy.id, busy.is_governed, len(busy.held)) == (7, True, 6)
    assert (quiet.id, quiet.is_governed, len(quiet.held)) == (8, True, 0)
    assert busy.tracker.state is busy.reported_state is DestinationState.CALM
    assert (busy.counts, quiet.counts) == ({"calls": 2, "further_attempts": 0}, {})
    assert (governor.untracked_count, list(governor.transitions)) == (0, [])
    found = governor._overload_settings
    assert found == OverloadSettings(
        max_destinations=8, min_governed_rate=2.0, limits_when_calm=False, seed=found.seed
    )


def test_governor_of_a_recorded_state_answers_every_call():
    governor = recorded_governor()
    cls = CLASSES["keyed"]
    now = next(governor.destinations).tracker.outage_since + NS_PER_SECOND
    governor.reconfigure(governor._settings)
    governor.restarted(now, now)
    for number in (7, 8, 9):
        for key in (None, 1, 1):
            request = api.AdmissionRequest(f"{number}", cls, number, cls.deadline_ns, key, "t", True)
            assert governor.admit(now, request) is None
            assert governor.reject_when_full(now, request, NS_PER_SECOND).retry_after_ns > 0
        governor.rate_listed(now, number, 10.0)
        governor.message_arrived(now, api.MessageArrived("m", "keyed", number, NS_PER_SECOND), cls, 2)
        governor.call_sent(now, number, 2, 1)
        governor.call_ended(now, number, api.Outcome.FULL, 0, NS_PER_SECOND)
        governor.call_settled(now, number, 1)
        governor.message_closed(now, number, "m")
        assert governor.reject_held(now, number, "m", NS_PER_SECOND, None) is not None
        assert governor.ready_at(now, number) > now
        assert governor.retry_ready_at(now, number) <= now
    assert [destination.id for destination in governor.destinations] == [7, 8, 9]


def test_governor_attributes_of_a_single_object_are_distributed_to_the_tables():
    present = OverloadGovernor(
        settings(), OverloadSettings(), RecentKeyFilter(0, 100, NS_PER_SECOND), CountMinSketch()
    )
    reservations = ReservationTable(10, 0, 0)
    reservations._key_blocks[5] = ("t", 7)  # type: ignore[assignment]  # the format of old versions
    before = {
        "_s": present._settings,
        "_storms": present._overload_settings,
        "_recent": present._recent_keys,
        "_others": CountMinSketch(),
        "_part": 0.25,
        "_senders": 4,
        "_most_worth": 1.0,
        "_watched": {},
        "_rates": {3: 10.0},
        "_book": reservations,
        "_spread": 0.5,
        "_fades_at": 11,
        "_last_life": 12,
        "_untracked": 13,
        "news": [],
    }
    vars(present).update(governor_attributes(before))
    table = present._destinations
    assert (table._configured_share, table._sender_count, table._listed_rates) == (0.25, 4, {3: 10.0})
    assert (table._arrivals_halve_at, table._previous_incarnation_call_at) == (11, 12)
    assert table.tracked is present._tracked is before["_watched"]
    assert present._reservations is present._retry_slots._reservations is reservations
    assert reservations._key_blocks == {5: KeyBlock("t", 7)}
    assert reservations.key_blocked_until(6, 5, "other") == 7
    assert (present._retry_slots._spread, present.untracked_count) == (0.5, 13)
