"""Settings of a typical platform, as `api.Settings` and in the wire format of a courier's configuration."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, Final

from winchspan import api

SECOND_NS: Final = 1_000_000_000
ENDPOINT_KIND: Final = "mid-host"  # kind of all fake endpoints
_EFFECT_NAMES = {api.Effect.REPEATABLE: "repeatable", api.Effect.KEYED: "by_key", api.Effect.ONCE: "once"}
_LISTED_RATE_NAMES = {
    api.ListedRate.NONE: "none",
    api.ListedRate.EXACT: "nominal",
    api.ListedRate.APPROXIMATE: "rough",
}


def _message_classes() -> dict[str, api.MessageClass]:
    payment = api.MessageClass(
        "order-payment",
        worth=2.0,
        latency_objective_ns=4 * SECOND_NS,
        deadline_ns=24 * SECOND_NS,
        late_worth=0.4,
        effect=api.Effect.KEYED,
        dedup_ns=10 * SECOND_NS,
        ordered=True,
    )
    notice = api.MessageClass(
        "gallery-notice",
        worth=1.0,
        latency_objective_ns=3 * SECOND_NS // 2,
        deadline_ns=5 * SECOND_NS,
        late_worth=0.1,
        effect=api.Effect.REPEATABLE,
    )
    return {payment.name: payment, notice.name: notice}


def platform(couriers: int, me: int = 0, **changes: object) -> api.Settings:
    """Return the settings of a typical platform.

    Args:
        couriers: number of couriers.
        me: number of the courier that gets the settings.
        changes: fields that differ from the typical settings.
    """
    typical = api.Settings(
        classes=_message_classes(),
        slots=12,
        max_held=200,
        senders=couriers,
        me=me,
        halves_late_worth=True,
        listed_rate=api.ListedRate.EXACT,
        max_attempts=6,
        can_cancel=True,
        kinds={ENDPOINT_KIND: api.DestinationKind()},
        max_retry_after_ns=2 * SECOND_NS,
        keepalive_ns=10 * SECOND_NS,
        answer_grace_ns=20_000_000,
        step_ns=5_000_000,
        drain_grace_ns=250_000_000,
        start_capacity=0.23,
        cold_ns=14 * SECOND_NS,
        fall_multiple=2.0,
        tip_after_ns=2 * SECOND_NS,
        key_rest_ns=300_000_000,
    )
    return replace(typical, **changes)  # type: ignore[arg-type]  # callers pass fields with valid types


def _class_to_wire(message_class: api.MessageClass) -> dict[str, Any]:
    return {
        "name": message_class.name,
        "gain": message_class.worth,
        "goal_time_ns": message_class.latency_objective_ns,
        "hard_limit_ns": message_class.deadline_ns,
        "late_worth": message_class.late_worth,
        "idempotency": _EFFECT_NAMES[message_class.effect],
        "window_ns": message_class.dedup_ns,
        "group": "zone" if message_class.dedup_per_zone else "all",
        "in_order": message_class.ordered,
    }


def _family_to_wire(settings: api.Settings) -> dict[str, Any]:
    return {
        "decay": "by_half" if settings.halves_late_worth else "even",
        "workers": settings.slots,
        "kind_apart": [kind.has_separate_routes for kind in settings.kinds.values()],
        "per_call": [kind.messages_per_call for kind in settings.kinds.values()],
        "fee_by_zone": list(settings.zone_fees.values()),
        "refused_price": settings.refused_price,
    }


def _limits_to_wire(settings: api.Settings) -> dict[str, Any]:
    return {
        "max_open": settings.max_held,
        "try_limit": settings.max_attempts,
        "cancel": settings.can_cancel,
        "second_copies": settings.second_copies,
        "peers": settings.can_notify_peers,
        "retry_after": settings.max_retry_after_ns > 0,
        "max_retry_after_ns": settings.max_retry_after_ns,
        "connect_timeout_ns": settings.connect_timeout_ns,
        "keepalive_ns": settings.keepalive_ns,
        "multiplex": settings.calls_per_connection,
    }


def _rules_to_wire(settings: api.Settings) -> dict[str, Any]:
    return {
        "grace_to_answer_ns": settings.answer_grace_ns,
        "drain_grace_ns": settings.drain_grace_ns,
        "start_capacity": settings.start_capacity,
        "cold_ns": settings.cold_ns,
        "fall_multiple": settings.fall_multiple,
        "tip_after_ns": settings.tip_after_ns,
        "turn_gap_ns": settings.key_rest_ns,
    }


def settings_to_wire(settings: api.Settings) -> dict[str, Any]:
    """Return the settings object of a configuration: the inverse of `config.settings.settings_from_wire`."""
    return {
        "balancers": settings.senders,
        "me": settings.me,
        "zone": settings.zone,
        "kinds": list(settings.kinds),
        "failure_domains": list(settings.zone_fees),
        "weights": _LISTED_RATE_NAMES[settings.listed_rate],
        "step_ns": settings.step_ns,
        "request_classes": [_class_to_wire(message_class) for message_class in settings.classes.values()],
        "over_share_worth": settings.over_share_worth,
        "discovery": "ask" if settings.must_subscribe else "push",
        "load_report": {"how": "answers" if settings.responses_report_load else "none"},
        "family_info": _family_to_wire(settings),
        "limits": _limits_to_wire(settings),
        "rules": _rules_to_wire(settings),
    }
