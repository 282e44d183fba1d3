"""Maps the scheduler's class and attribute names of versions up to 5bc3544 to the present ones."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final

from winchspan.scheduling.endpoint_health import EndpointHealth
from winchspan.scheduling.scheduler import Scheduler
from winchspan.scheduling.slow_start import SlowStart
from winchspan.scheduling.state import Destination, Endpoint, RateLimit

RENAMED_CLASSES: Final = {
    ("winchspan.choice", "Limit"): ("winchspan.scheduling.state", "RateLimit"),
    ("winchspan.choice", "Sender"): ("winchspan.scheduling.scheduler", "Scheduler"),
}
"""Renamed classes: old module and name to the present ones."""

RENAMED_ATTRIBUTES: Final = {
    ("winchspan.scheduling.scheduler", "Scheduler"): {
        "gov": "overload_control",
        "s": "settings",
        "v_at": "v_updated_ns",
        "dests": "destinations",
        "unheard": "unacknowledged",
        "turns": "key_queues",
        "rests": "key_paused_until_ns",
        "flying": "in_flight",
        "timer_at": "timer_ns",
        "wake": "wake_ns",
        "actions": "commands",
        "free": "free_slots",
        "cap": "max_window",
        "half": "initial_window",
        "rng": "health.rng",
        "usual": "health.latency_by_kind",
        "spare": "health.max_idle_by_kind",
        "stale": "health.lost_idle_ns",
        "idle_trust": "health.unreliable_idle_ns",
        "trust_again": "health.unreliable_until_ns",
    },
    ("winchspan.scheduling.state", "Message"): {
        "cls": "message_class",
        "dest": "destination",
        "born": "accepted_ns",
        "deadline": "deadline_ns",
        "attempts": "attempt_count",
        "out": "in_flight",
        "over": "is_completed",
        "ran_at": "maybe_ran_ns",
        "ran_zone": "maybe_ran_zone",
        "last": "last_endpoint",
        "silent_at": "unanswered_ns",
        "lowest": "is_lowest_priority",
    },
    ("winchspan.scheduling.state", "Call"): {
        "dest": "destination",
        "cls": "message_class",
        "sent": "sent_ns",
        "paid": "charged_ns",
        "overdue": "is_overdue",
        "judged": "is_outcome_recorded",
        "withdrawn": "is_withdrawn",
        "retries": "retry_count",
        "idle": "idle_ns",
    },
    ("winchspan.scheduling.state", "RateLimit"): {
        "wait_until": "retry_after_ns",
        "stated": "stated_per_s",
        "rate": "learned_per_s",
        "next_at": "next_call_ns",
        "sent": "recent_sends_ns",
    },
    ("winchspan.scheduling.state", "Endpoint"): {
        "per_call": "max_batch",
        "fill": "batch_size",
        "listed": "listed_ns",
        "usable": "is_usable",
        "gone": "unlisted_ns",
        "calls": "call_count",
        "conn_cap": "max_calls",
        "mean": "latency_ns",
        "dev": "deviation_ns",
        "last_ok": "last_success_ns",
        "ok_sent": "success_sent_ns",
        "strikes": "consecutive_failures",
        "fail_share": "failure_ratio",
        "lost": "loss_ratio",
        "doubt": "suspected_since_ns",
        "unseen": "never_ran",
        "silent": "is_silent",
        "open": "is_open",
        "ramp": "slow_start_since_ns",
        "next_at": "next_call_ns",
        "idle": "idle_since_ns",
    },
    ("winchspan.scheduling.state", "Destination"): {
        "tag": "start_tag",
        "cost": "costs_ns",
        "best": "best_latency_ns",
        "mean": "latency_ns",
        "calls": "call_count",
        "retries": "retry_tokens",
        "refused": "rejected_since_ns",
        "next_at": "next_call_ns",
    },
}
"""Renamed attributes, old to new, by the present module and name of their class.

A dotted name is an attribute of a component.
"""

_REMOVED: Final[dict[type[object], frozenset[str]]] = {Endpoint: frozenset({"served", "share"})}
"""Attributes without a successor: the demand belongs to the capacity now, and is learned again."""


def set_attributes(instance: object, attributes: Mapping[str, Any]) -> None:
    """Set the attributes of an instance and of its components by their present names."""
    if isinstance(instance, RateLimit):  # old versions had no slow start of a capacity
        instance.name = ""
        instance.destination = None
        instance.slow_start = SlowStart()
    if isinstance(instance, Destination):
        instance.absent_since_ns = None
    removed = _REMOVED.get(type(instance), frozenset())
    if isinstance(instance, Scheduler) and "settings" in attributes:
        # Old versions had no separate endpoint health object; it shares the settings and the command list.
        instance.health = EndpointHealth(attributes["settings"], 0, attributes["commands"])
    for name, value in attributes.items():
        if name in removed:
            continue
        part, _, attribute = name.rpartition(".")
        object.__setattr__(getattr(instance, part) if part else instance, attribute, value)
