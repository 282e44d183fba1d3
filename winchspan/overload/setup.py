"""Creates the overload control from the section `storms` of the operator's file."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final

from winchspan import api
from winchspan.overload.governor import OverloadGovernor
from winchspan.overload.settings import NS_PER_SECOND, OverloadSettings
from winchspan.runtime.sketches import CountMinSketch, RecentKeyFilter

MIN_SKETCH_WIDTH: Final = 256
SKETCH_WIDTH_PER_DESTINATION: Final = 4

# The operator's keys by field of the settings; the values of the second table are in seconds.
_KEYS: Final[Mapping[str, str]] = {
    "max_destinations": "destinations",
    "max_reservations": "keys",
    "rate_share": "share",
    "sender_count": "senders",
    "sender_shares": "parts",
    "min_governed_rate": "least-part",
    "limits_when_calm": "pace-calm",
    "outage_failure_count": "outage-strikes",
    "storm_retry_share": "storm-share",
    "calm_retry_share": "calm-share",
    "storm_min_retries": "storm-least",
    "ramp_factor": "push",
    "capacity_share": "room",
    "retry_ratio": "retry-share",
    "min_retries_per_second": "retry-least",
    "max_saved_retries": "retry-burst",
}
_TIME_KEYS: Final[Mapping[str, str]] = {
    "outage_after_ns": "outage-after",
    "trial_interval_ns": "trial-every",
    "calm_after_ns": "calm-after",
    "storm_backlog_ns": "storm-backlog",
    "half_life_ns": "memory",
    "grace_period_ns": "grace",
    "early_tolerance_ns": "early",
}


def _seconds_to_ns(seconds: float) -> int:
    return int(seconds * NS_PER_SECOND)


def overload_settings(values: Mapping[str, Any], seed: int = 0) -> OverloadSettings:
    """Return the settings of the section `storms`.

    Args:
        values: the values of all keys of the section.
        seed: seed of the sequence that spreads reservations.
    """
    plain: dict[str, Any] = {name: values[key] for name, key in _KEYS.items()}
    times: dict[str, Any] = {name: _seconds_to_ns(values[key]) for name, key in _TIME_KEYS.items()}
    return OverloadSettings(**plain, **times, seed=seed)


def create_governor(
    values: Mapping[str, Any], settings: api.Settings, seed: int, now: int
) -> OverloadGovernor:
    """Return the overload control of the section `storms`.

    Args:
        values: the values of all keys of the section.
        settings: the platform's settings.
        seed: seed of the sequence that spreads reservations.
        now: the current time on the scheduler's clock, in ns.
    """
    own_settings = overload_settings(values, seed)
    recent_keys = RecentKeyFilter(now, values["recent-keys"], _seconds_to_ns(values["recent-seconds"]))
    sketch_width = max(MIN_SKETCH_WIDTH, SKETCH_WIDTH_PER_DESTINATION * own_settings.max_destinations)
    return OverloadGovernor(settings, own_settings, recent_keys, CountMinSketch(sketch_width))
