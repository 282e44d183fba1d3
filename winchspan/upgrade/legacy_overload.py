"""Reads the overload control of versions up to 5bc3544, which pickled it as one object with all tables."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final

from winchspan.overload.governor import OverloadGovernor
from winchspan.overload.reservations import KeyBlock

# Classes of the former package `winchspan.storms`: old module and name to the present ones.
RENAMED_CLASSES: Final = {
    ("winchspan.storms.book", "Appointment"): ("winchspan.overload.reservations", "Reservation"),
    ("winchspan.storms.book", "Book"): ("winchspan.overload.reservations", "ReservationTable"),
    ("winchspan.storms.book", "Loose"): ("winchspan.overload.reservations", "AnonymousReservations"),
    ("winchspan.storms.budget", "RetryBudget"): ("winchspan.overload.retry_budget", "RetryBudget"),
    ("winchspan.storms.course", "Course"): ("winchspan.overload.outage_tracker", "OutageTracker"),
    ("winchspan.storms.course", "State"): ("winchspan.overload.outage_tracker", "DestinationState"),
    ("winchspan.storms.governor", "News"): ("winchspan.overload.tracked_destination", "StateTransition"),
    ("winchspan.storms.governor", "StormGovernor"): ("winchspan.overload.governor", "OverloadGovernor"),
    ("winchspan.storms.governor", "Watched"): (
        "winchspan.overload.tracked_destination",
        "TrackedDestination",
    ),
    ("winchspan.storms.held", "Held"): ("winchspan.overload.held_messages", "HeldMessages"),
    ("winchspan.storms.pace", "Pace"): ("winchspan.overload.adaptive_rate", "AdaptiveRate"),
    ("winchspan.storms.settings", "StormSettings"): ("winchspan.overload.settings", "OverloadSettings"),
}
# Renamed attributes, old to new, by the present module and name of their class. Frozen dataclasses need no
# entry: their pickles hold the values only, in the order of the fields.
RENAMED_ATTRIBUTES: Final[dict[tuple[str, str], dict[str, str]]] = {
    ("winchspan.overload.adaptive_rate", "AdaptiveRate"): {
        "_senders": "_sender_count",
        "_me": "_sender_index",
        "_part": "_configured_share",
        "_rate": "_listed_rate",
        "_mean": "_mean_rate",
        "_sent": "_calls_sent_at",
        "_cut_at": "_trust_cut_at",
        "_before": "_trust_before_cut",
        "_not_before": "_blocked_until",
    },
    ("winchspan.overload.held_messages", "HeldMessages"): {
        "_until": "_bucket_by_message",
        "_buckets": "_counts_by_bucket",
        "_cursor": "_current_bucket",
        "_in_time": "_in_time_count",
    },
    ("winchspan.overload.outage_tracker", "OutageTracker"): {
        "_s": "_settings",
        "_start": "_start_level",
        "_cold": "_warm_up_ns",
        "since": "_state_since",
        "falls": "consecutive_outages",
        "out_since": "outage_since",
        "_back_at": "_recovering_since",
        "_strikes": "_failure_count",
        "_first_strike": "_first_failure_at",
        "_fresh": "_first_arrivals",
        "_repeats": "_retry_arrivals",
        "_counted": "_decayed_at",
        "_low_since": "_low_share_since",
    },
    ("winchspan.overload.reservations", "AnonymousReservations"): {
        "_told": "_arrival_times",
        "_grace": "_grace_period_ns",
        "_early": "_early_tolerance_ns",
    },
    ("winchspan.overload.reservations", "Reservation"): {
        "told": "arrive_at",
        "place": "slot_at",
        "early": "came_early",
    },
    ("winchspan.overload.reservations", "ReservationTable"): {
        "_most": "_max_entries",
        "_grace": "_grace_period_ns",
        "_early": "_early_tolerance_ns",
        "_bars": "_key_blocks",
    },
    ("winchspan.overload.retry_budget", "RetryBudget"): {
        "_share": "_retry_ratio",
        "_least": "_min_retries_per_second",
        "_burst": "_max_saved",
        "_at": "_filled_at",
        "_calls": "_calls_in_flight",
        "_further": "_retry_calls_in_flight",
    },
    ("winchspan.overload.tracked_destination", "TrackedDestination"): {
        "course": "tracker",
        "pace": "rate",
        "budget": "retry_budget",
        "loose": "anonymous_reservations",
        "told": "reported_state",
        "fill": "messages_per_call",
        "next_place": "next_slot_at",
        "governed": "is_governed",
        "wait_until": "paused_until",
        "look_at": "evaluate_at",
        "busy": "recent_arrivals",
    },
}


def governor_attributes(before: Mapping[str, Any]) -> dict[str, Any]:
    """Return the present attributes of a governor from those of versions in which it held all tables."""
    governor = OverloadGovernor(before["_s"], before["_storms"], before["_recent"], before["_others"])
    attributes = vars(governor)
    vars(attributes["_destinations"]).update(
        tracked=before["_watched"],
        untracked_count=before["_untracked"],
        _configured_share=before["_part"],
        _sender_count=before["_senders"],
        _listed_rates=before["_rates"],
        _arrivals_halve_at=before["_fades_at"],
        _previous_incarnation_call_at=before["_last_life"],
    )
    key_blocks = vars(before["_book"])["_key_blocks"]
    for key, token_and_time in key_blocks.items():  # plain tuples in old versions
        key_blocks[key] = KeyBlock(*token_and_time)
    vars(attributes["_retry_slots"]).update(_reservations=before["_book"], _spread=before["_spread"])
    return attributes | {
        "_tracked": before["_watched"],
        "_reservations": before["_book"],
        "transitions": before["news"],
    }
