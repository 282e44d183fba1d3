"""Carries the wire's JSON lines to the decision module and back; it judges nothing."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any, TextIO, TypeVar

from winchspan import interface as api
from winchspan.choice import Sender

_T = TypeVar("_T")
_EFFECTS = {"repeatable": api.Effect.REPEATABLE, "by_key": api.Effect.KEYED, "once": api.Effect.ONCE}
_OUTCOMES = {0: api.Outcome.ERROR, 1: api.Outcome.DELIVERED, 2: api.Outcome.FULL, 3: api.Outcome.TIMEOUT,
             4: api.Outcome.CONNECT_FAILED, 5: api.Outcome.RESET, 6: api.Outcome.CANCELLED,
             7: api.Outcome.NOT_SENT}
_LISTINGS = {"in_service": api.Listing.IN_SERVICE, "terminating": api.Listing.DRAINING,
             "terminated": api.Listing.GONE}
_SCOPES = {"diff": api.Scope.CHANGES, "snapshot": api.Scope.WHOLE, "disk": api.Scope.STALE,
           "error": api.Scope.FAILED}
_RATES = {"nominal": api.ListedRate.EXACT, "rough": api.ListedRate.ROUGH}


class WireError(Exception):
    """The input does not follow the wire."""


def _get(obj: dict[str, Any], name: str, types: type[_T] | tuple[type[_T], ...],
         default: _T | None = None) -> _T:
    """Return a field of the right type, or its default when it is absent."""
    value = obj.get(name)
    if value is None:
        if default is None:
            raise WireError(f"missing field {name!r}")
        return default
    if not isinstance(value, types) or (isinstance(value, bool) and types is not bool):
        raise WireError(f"field {name!r} has the wrong type: {value!r:.60}")
    return value


def _int(obj: dict[str, Any], name: str, default: int | None = None) -> int:
    """Return a whole number."""
    value = _get(obj, name, (int, float), default)
    if value != int(value):
        raise WireError(f"field {name!r} is no whole number: {value!r}")
    return int(value)


def _num(obj: dict[str, Any], name: str, default: float | None = None) -> float:
    """Return a number."""
    return float(_get(obj, name, (int, float), default))


def _word(table: dict[Any, _T], value: Any, name: str) -> _T:
    """Return what a word or code of the wire stands for."""
    try:
        return table[value]
    except (KeyError, TypeError):
        raise WireError(f"field {name!r} has an unknown value: {value!r:.60}") from None


def _list(obj: dict[str, Any], name: str) -> list[Any]:
    """Return a list, empty when absent."""
    empty: list[Any] = []
    return _get(obj, name, list, empty)


def _dict(obj: dict[str, Any], name: str) -> dict[str, Any]:
    """Return an object, empty when absent."""
    empty: dict[str, Any] = {}
    return _get(obj, name, dict, empty)


def settings_from_wire(info: dict[str, Any]) -> api.Settings:
    """Translate the settings of a `Begin`; unknown keys are ignored."""
    limits, rules, family = _dict(info, "limits"), _dict(info, "rules"), _dict(info, "family_info")
    classes = {}
    for row in _list(info, "request_classes"):
        name = _get(row, "name", str)
        classes[name] = api.MessageClass(
            name=name, worth=_num(row, "gain", 1.0), aim_ns=_int(row, "goal_time_ns"),
            deadline_ns=_int(row, "hard_limit_ns"), late_worth=_num(row, "late_worth", 0.0),
            effect=_word(_EFFECTS, row.get("idempotency", "once"), "idempotency"),
            dedup_ns=_int(row, "window_ns", 0), dedup_per_zone=row.get("group", "all") != "all",
            ordered=_get(row, "in_order", bool, False))
    apart, per_call = _list(family, "kind_apart"), _list(family, "per_call")
    kinds = {name: api.Kind(apart=bool(apart[i]) if i < len(apart) else False,
                            per_call=int(per_call[i]) if i < len(per_call) else 1)
             for i, name in enumerate(_list(info, "kinds"))}
    tenants = {_get(row, "name", str): api.Tenant(row.get("allowance_per_s"))
               for row in _list(info, "tenants")}
    return api.Settings(
        classes=classes, slots=_int(family, "workers"), max_held=_int(limits, "max_open", 1_000),
        senders=_int(info, "balancers", 1), me=_int(info, "me", 0), zone=_get(info, "zone", str, ""),
        kinds=kinds, tenants=tenants,
        zone_fees=dict(zip(_list(info, "failure_domains"), _list(family, "fee_by_zone"), strict=False)),
        over_share_worth=_num(info, "over_share_worth", 1.0),
        worth_halves=family.get("decay") == "by_half",
        listed_rate=_RATES.get(_get(info, "weights", str, "none"), api.ListedRate.NONE),
        refused_price=_num(family, "refused_price", 0.0),
        max_attempts=_int(limits, "try_limit", 1_000),
        second_copies=_get(limits, "second_copies", bool, False),
        can_cancel=_get(limits, "cancel", bool, False),
        can_tell_peers=_get(limits, "peers", bool, False), must_subscribe=info.get("discovery") == "ask",
        max_retry_after_ns=_int(limits, "max_retry_after_ns", 0) if limits.get("retry_after") else 0,
        connect_timeout_ns=_int(limits, "connect_timeout_ns", 1_000_000_000),
        keepalive_ns=_int(limits, "keepalive_ns", 5_000_000_000),
        calls_per_connection=_int(limits, "multiplex", 1),
        answer_grace_ns=_int(rules, "grace_to_answer_ns", 0),
        step_ns=_int(info, "step_ns", 1_000_000), drain_grace_ns=_int(rules, "drain_grace_ns", 0),
        start_capacity=_num(rules, "start_capacity", 0.1), cold_ns=_int(rules, "cold_ns", 15_000_000_000),
        fall_multiple=_num(rules, "fall_multiple", 1.0),
        tip_after_ns=_int(rules, "tip_after_ns", 3_000_000_000),
        key_rest_ns=_int(rules, "turn_gap_ns", 0))


def _row(row: dict[str, Any]) -> api.Row:
    """Translate one line of a list."""
    return api.Row(endpoint=_int(row, "endpoint"), destination=_int(row, "belongs_to"),
                   listing=_word(_LISTINGS, row.get("availability", "in_service"), "availability"),
                   zone=_get(row, "area", str, ""), kind=_get(row, "type", str, ""),
                   rating=_num(row, "rating", 1.0))


def _arrived(e: dict[str, Any]) -> api.Event:
    """Translate an `Order`."""
    tenant = e.get("customer") or ""
    return api.Arrived(message=_get(e, "corr", str), cls=_get(e, "profile", str),
                       destination=_int(e, "terminates_at"), left_ns=_int(e, "patience_left_ns"),
                       tenant=str(tenant), key=None if e.get("item") is None else _int(e, "item"))


def _ended(e: dict[str, Any]) -> api.Event:
    """Translate a `Returned`."""
    usage, outcome = _dict(e, "usage"), _word(_OUTCOMES, e.get("verdict"), "verdict")
    wait = _int(e, "wait_ms", 0)
    return api.Ended(message=_get(e, "corr", str), attempt=_int(e, "round_no"), endpoint=_int(e, "endpoint"),
                     outcome=outcome, latency_ns=_int(e, "lag_ns", 0), final=_get(e, "last", bool, False),
                     wait_ns=wait * 1_000_000 if outcome is api.Outcome.FULL else 0,
                     no_slot=outcome is api.Outcome.NOT_SENT and wait == 1,
                     limit_left=_num(usage, "x0") if "x0" in usage else None,
                     limit_rate=_num(usage, "x1") if "x1" in usage else None)


_EVENTS: dict[str, Callable[[dict[str, Any]], api.Event | None]] = {
    "Order": _arrived,
    "Returned": _ended,
    "Elapsed": lambda e: api.TimerFired(_int(e, "ctx")),
    "Dropped": lambda e: api.Withdrawn(_get(e, "corr", str)),
    "FromPeer": lambda e: api.PeerNote(_int(e, "src"), bytes.fromhex(_get(e, "bytes", str))),
    "CheckResult": lambda e: None,
    "HeadReceived": lambda e: None,
}


def _to_wire(action: api.Action, instance: int) -> dict[str, Any]:
    """Translate one action."""
    me: dict[str, Any] = {"dispatcher": instance}
    match action:
        case api.Send(message, endpoint, until):
            return {"CallOut": me | {"corr": message, "endpoint": endpoint, "not_past_ns": until}}
        case api.Refuse(message, retry_after):
            return {"Bounce": me | {"corr": message, "retry_after_ns": retry_after}}
        case api.Fail(message):
            return {"FinishError": me | {"corr": message}}
        case api.Cancel(message, attempt):
            return {"Withdraw": me | {"corr": message, "round_no": attempt}}
        case api.SetTimer(after, token):
            return {"Timer": me | {"sleep_for_ns": after, "ctx": token}}
        case api.CloseIdle(endpoint):
            return {"DropConns": me | {"endpoint": endpoint}}
        case api.Subscribe():
            return {"Watch": me | {"active": True}}
        case api.TellPeers(data):
            return {"MemoTo": me | {"addressee": None, "bytes": data.hex()}}
        case api.Remark(text):
            return {"Remark": me | {"words": text}}


class Adapter:
    """Hosts the instances of one process."""

    def __init__(self) -> None:
        self._senders: dict[int, Sender] = {}
        self._lists: dict[int, tuple[api.Row, ...]] = {}

    def _act(self, now: int, instance: int, events: list[api.Event], out: list[dict[str, Any]]) -> None:
        """Let one instance decide; an exception becomes its declared fault."""
        try:
            actions = self._senders[instance].handle(now, events)
            out.extend(_to_wire(action, instance) for action in actions)
        except Exception as err:  # the wire has a word for it
            out.append({"Crash": {"dispatcher": instance, "words": f"{type(err).__name__}: {err}"}})

    def _begin(self, body: dict[str, Any], instance: int, out: list[dict[str, Any]]) -> None:
        """Start an instance; settings it cannot use become its declared fault."""
        info = _get(body, "info", dict)
        try:
            self._senders[instance] = Sender(settings_from_wire(info), _int(body, "nonce64"))
        except ValueError as err:
            self._senders.pop(instance, None)
            out.append({"Crash": {"dispatcher": instance, "words": f"settings: {err}"}})

    def reply(self, line: str) -> str:
        """Answer one batch."""
        try:
            batch = json.loads(line)
        except ValueError as err:
            raise WireError(f"not JSON: {err}") from None
        if not isinstance(batch, dict):
            raise WireError("a batch must be an object")
        now, out = _int(batch, "ts_ns"), list[dict[str, Any]]()
        pending: dict[int, list[api.Event]] = {}
        for item in _get(batch, "news", list):
            if not isinstance(item, dict) or len(item) != 1:
                raise WireError(f"an event must be an object with one name: {item!r:.60}")
            (name, body), = item.items()
            if not isinstance(body, dict):
                raise WireError(f"event {name!r}: its fields must be an object")
            try:
                self._event(now, name, body, pending, out)
            except WireError as err:
                raise WireError(f"event {name!r}: {err}") from None
            except (ValueError, TypeError, AttributeError, OverflowError) as err:
                raise WireError(f"event {name!r}: a field has the wrong type or value: {err}") from None
        for instance, events in pending.items():
            self._act(now, instance, events, out)
        return json.dumps({"cmds": out}, separators=(",", ":"))

    def _event(self, now: int, name: str, body: dict[str, Any], pending: dict[int, list[api.Event]],
               out: list[dict[str, Any]]) -> None:
        """Take one event of a batch, in order."""
        if name == "Inventory":
            self._lists[_int(body, "roster_id")] = tuple(_row(row) for row in _get(body, "rows", list))
            return
        if name not in _EVENTS and name not in ("Begin", "Update", "Detach"):
            raise WireError("unknown")
        instance = _int(body, "dispatcher")
        if name == "Detach":
            self._senders.pop(instance, None)
            pending.pop(instance, None)
        elif name == "Begin":
            pending.pop(instance, None)
            self._begin(body, instance, out)
        else:
            event: api.Event | None
            if name == "Update":
                scope = _word(_SCOPES, body.get("scope"), "scope")
                rows = () if scope is api.Scope.FAILED else self._lists.get(_int(body, "roster_id"))
                if rows is None:
                    raise WireError("names a list that was never given")
                event = api.EndpointList(scope, rows)
            else:
                event = _EVENTS[name](body)
            if instance in self._senders and event is not None:
                pending.setdefault(instance, []).append(event)


def main(lines: TextIO, replies: TextIO) -> int:
    """Answer batches until the input ends."""
    adapter = Adapter()
    for line in lines:
        if not line.strip():
            continue
        try:
            answer = adapter.reply(line)
        except WireError as err:
            print(f"winchspan.adapter: {err}", file=sys.stderr)
            return 1
        replies.write(answer + "\n")
        replies.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.stdin, sys.stdout))
