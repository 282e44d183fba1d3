"""The settings object that the simulator and a courier share, and message classes as journal records."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final

from winchspan import api
from winchspan.config.json_fields import (
    FieldError,
    read_array,
    read_choice,
    read_field,
    read_finite_number,
    read_integer,
    read_object,
)

_EFFECTS: Final = {
    "repeatable": api.Effect.REPEATABLE,
    "by_key": api.Effect.KEYED,
    "once": api.Effect.ONCE,
}
_LISTED_RATES: Final = {"nominal": api.ListedRate.EXACT, "rough": api.ListedRate.APPROXIMATE}


def message_class_to_json(cls: api.MessageClass) -> dict[str, Any]:
    """Return a message class as the journal records it; these keys and their order never change."""
    return {
        "name": cls.name,
        "worth": cls.worth,
        "aim_ns": cls.latency_objective_ns,
        "deadline_ns": cls.deadline_ns,
        "late_worth": cls.late_worth,
        "effect": cls.effect.value,
        "dedup_ns": cls.dedup_ns,
        "dedup_per_zone": cls.dedup_per_zone,
        "ordered": cls.ordered,
        "max_attempts": cls.max_attempts,
    }


_CLASS_DEFAULTS: Final = message_class_to_json(api.MessageClass(name=""))


def message_class_from_json(row: Mapping[str, Any]) -> api.MessageClass:
    """Return a message class that `message_class_to_json` of this or an earlier version has written.

    Raises:
        FieldError: if a key is unknown, or the name or the effect is missing or unknown.
    """
    for key in ("name", "effect"):
        if key not in row:
            raise FieldError(f"message class: missing field {key!r}")
    unknown_keys = row.keys() - _CLASS_DEFAULTS.keys()
    if unknown_keys:
        raise FieldError(f"message class: unknown field {min(unknown_keys, key=str)!r:.60}")
    try:
        effect = api.Effect(row["effect"])
    except ValueError as err:
        raise FieldError(f"message class: {err}") from None
    values = {**_CLASS_DEFAULTS, **row}
    return api.MessageClass(
        name=values["name"],
        worth=values["worth"],
        latency_objective_ns=values["aim_ns"],
        deadline_ns=values["deadline_ns"],
        late_worth=values["late_worth"],
        effect=effect,
        dedup_ns=values["dedup_ns"],
        dedup_per_zone=values["dedup_per_zone"],
        ordered=values["ordered"],
        max_attempts=values["max_attempts"],
    )


def settings_from_wire(info: Mapping[str, Any]) -> api.Settings:
    """Translate the settings object, ignoring unknown keys; raises FieldError or ValueError if invalid."""
    limits = read_object(info, "limits")
    rules = read_object(info, "rules")
    family = read_object(info, "family_info")
    return api.Settings(
        classes=_message_classes(info),
        kinds=_destination_kinds(info, family),
        tenants=_tenants(info),
        slots=read_integer(family, "workers"),
        max_held=read_integer(limits, "max_open", 1_000),
        senders=read_integer(info, "balancers", 1),
        me=read_integer(info, "me", 0),
        zone=read_field(info, "zone", str, ""),
        zone_fees=dict(
            zip(read_array(info, "failure_domains"), read_array(family, "fee_by_zone"), strict=False)
        ),
        over_share_worth=read_finite_number(info, "over_share_worth", 1.0),
        halves_late_worth=family.get("decay") == "by_half",
        listed_rate=_LISTED_RATES.get(read_field(info, "weights", str, "none"), api.ListedRate.NONE),
        refused_price=read_finite_number(family, "refused_price", 0.0),
        max_attempts=read_integer(limits, "try_limit", 1_000),
        second_copies=read_field(limits, "second_copies", bool, False),
        can_cancel=read_field(limits, "cancel", bool, False),
        can_notify_peers=read_field(limits, "peers", bool, False),
        must_subscribe=info.get("discovery") == "ask",
        max_retry_after_ns=_max_retry_after_ns(limits),
        connect_timeout_ns=read_integer(limits, "connect_timeout_ns", 1_000_000_000),
        keepalive_ns=read_integer(limits, "keepalive_ns", 5_000_000_000),
        calls_per_connection=read_integer(limits, "multiplex", 1),
        answer_grace_ns=read_integer(rules, "grace_to_answer_ns", 0),
        responses_report_load=read_object(info, "load_report").get("how") == "answers",
        step_ns=read_integer(info, "step_ns", 1_000_000),
        drain_grace_ns=read_integer(rules, "drain_grace_ns", 0),
        start_capacity=read_finite_number(rules, "start_capacity", 0.1),
        cold_ns=read_integer(rules, "cold_ns", 15_000_000_000),
        fall_multiple=read_finite_number(rules, "fall_multiple", 1.0),
        tip_after_ns=read_integer(rules, "tip_after_ns", 3_000_000_000),
        key_rest_ns=read_integer(rules, "turn_gap_ns", 0),
    )


def _message_classes(info: Mapping[str, Any]) -> dict[str, api.MessageClass]:
    """Return the message classes by name."""
    classes = {}
    for row in read_array(info, "request_classes"):
        name = read_field(row, "name", str)
        classes[name] = api.MessageClass(
            name=name,
            worth=read_finite_number(row, "gain", 1.0),
            latency_objective_ns=read_integer(row, "goal_time_ns"),
            deadline_ns=read_integer(row, "hard_limit_ns"),
            late_worth=read_finite_number(row, "late_worth", 0.0),
            effect=read_choice(_EFFECTS, row.get("idempotency", "once"), "idempotency"),
            dedup_ns=read_integer(row, "window_ns", 0),
            dedup_per_zone=row.get("group", "all") != "all",
            ordered=read_field(row, "in_order", bool, False),
        )
    return classes


def _destination_kinds(info: Mapping[str, Any], family: Mapping[str, Any]) -> dict[str, api.DestinationKind]:
    """Return the kinds of destinations by name; the two parallel arrays of their values may be shorter."""
    apart_by_kind = read_array(family, "kind_apart")
    per_call_by_kind = read_array(family, "per_call")
    kinds = {}
    for i, name in enumerate(read_array(info, "kinds")):
        has_separate_routes = bool(apart_by_kind[i]) if i < len(apart_by_kind) else False
        messages_per_call = int(per_call_by_kind[i]) if i < len(per_call_by_kind) else 1
        kinds[name] = api.DestinationKind(
            has_separate_routes=has_separate_routes, messages_per_call=messages_per_call
        )
    return kinds


def _tenants(info: Mapping[str, Any]) -> dict[str, api.Tenant]:
    """Return the tenants by name."""
    rows = read_array(info, "tenants")
    return {read_field(row, "name", str): api.Tenant(row.get("allowance_per_s")) for row in rows}


def _max_retry_after_ns(limits: Mapping[str, Any]) -> int:
    """Return the longest wait that an endpoint may request; 0 if such responses are not used."""
    if not limits.get("retry_after"):
        return 0
    return read_integer(limits, "max_retry_after_ns", 0)
