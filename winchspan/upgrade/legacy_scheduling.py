"""The old names of the scheduler's classes and attributes, up to commit 5bc3544."""

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
"""Old module and class name to the present ones, where the class was renamed."""

RENAMED_ATTRIBUTES: Final = {
    ("winchspan.scheduling.scheduler", "Scheduler"): {
        "gov": "overload_control",
        "s": "settings",
        "v_at": "v_updated_ns",
        "dests": "destinations",
        "unheard": "unacknowledged",
        "turns": "key_queues",
        "rests": "key_rests_ns",
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
        "idle_trust": "health.distrusted_idle_ns",
        "trust_again": "health.trusted_again_ns",
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
        "judged": "is_judged",
        "withdrawn": "is_withdrawn",
        "retries": "retry_count",
        "idle": "idle_ns",
    },
    ("winchspan.scheduling.state", "RateLimit"): {
        "wait_until": "retry_after_ns",
        "stated": "stated_per_s",
        "rate": "learned_per_s",
        "next_at": "next_call_ns",
        "sent": "recent_ns",
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
        "doubt": "suspected_ns",
        "unseen": "never_ran",
        "silent": "is_silent",
        "open": "is_open",
        "ramp": "slow_start_ns",
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
        "refused": "rejected_ns",
        "next_at": "next_call_ns",
    },
}
"""By the present module and name of a class, old to new; a dotted name is an attribute of a part."""

_REMOVED: Final[dict[type[object], frozenset[str]]] = {Endpoint: frozenset({"served", "share"})}
"""Attributes that have no successor: the demand is the capacity's, and is learned anew."""


def set_attributes(instance: object, attributes: Mapping[str, Any]) -> None:
    """Set the attributes of an instance, by their present names, those of its parts included."""
    if isinstance(instance, RateLimit):  # no slow start of a whole capacity was kept
        instance.name = ""
        instance.destination = None
        instance.slow_start = SlowStart()
    if isinstance(instance, Destination):
        instance.absent_since_ns = None
    removed = _REMOVED.get(type(instance), frozenset())
    if isinstance(instance, Scheduler) and "settings" in attributes:
        # The endpoint health was no object of its own; it shares the settings and the list of commands.
        instance.health = EndpointHealth(attributes["settings"], 0, attributes["commands"])
    for name, value in attributes.items():
        if name in removed:
            continue
        part, _, attribute = name.rpartition(".")
        object.__setattr__(getattr(instance, part) if part else instance, attribute, value)
