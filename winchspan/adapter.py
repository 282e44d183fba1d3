"""Carries the wire's JSON lines to the decision module and back; it judges nothing."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any, TextIO

from winchspan import api
from winchspan.config.json_fields import (
    FieldError,
    read_choice,
    read_field,
    read_finite_number,
    read_integer,
    read_object,
)
from winchspan.config.settings import settings_from_wire
from winchspan.scheduling.scheduler import Scheduler

_OUTCOMES = {
    0: api.Outcome.ERROR,
    1: api.Outcome.DELIVERED,
    2: api.Outcome.FULL,
    3: api.Outcome.TIMEOUT,
    4: api.Outcome.CONNECT_FAILED,
    5: api.Outcome.RESET,
    6: api.Outcome.CANCELLED,
    7: api.Outcome.NOT_SENT,
}
_LISTINGS = {
    "in_service": api.EndpointStatus.IN_SERVICE,
    "terminating": api.EndpointStatus.DRAINING,
    "terminated": api.EndpointStatus.GONE,
}
_SCOPES = {
    "diff": api.UpdateScope.CHANGES,
    "snapshot": api.UpdateScope.SNAPSHOT,
    "disk": api.UpdateScope.STALE,
    "error": api.UpdateScope.FAILED,
}


def _row(row: dict[str, Any]) -> api.EndpointEntry:
    """Translate one line of a list."""
    return api.EndpointEntry(
        endpoint=read_integer(row, "endpoint"),
        destination=read_integer(row, "belongs_to"),
        status=read_choice(_LISTINGS, row.get("availability", "in_service"), "availability"),
        zone=read_field(row, "area", str, ""),
        kind=read_field(row, "type", str, ""),
        rating=read_finite_number(row, "rating", 1.0),
    )


def _arrived(e: dict[str, Any]) -> api.Event:
    """Translate an `Order`."""
    tenant = e.get("customer") or ""
    return api.MessageArrived(
        message=read_field(e, "corr", str),
        class_name=read_field(e, "profile", str),
        destination=read_integer(e, "terminates_at"),
        remaining_ns=read_integer(e, "patience_left_ns"),
        tenant=str(tenant),
        key=None if e.get("item") is None else read_integer(e, "item"),
    )


def _ended(e: dict[str, Any]) -> api.Event:
    """Translate a `Returned`."""
    usage, outcome = read_object(e, "usage"), read_choice(_OUTCOMES, e.get("verdict"), "verdict")
    wait = read_integer(e, "wait_ms", 0)
    return api.AttemptCompleted(
        message=read_field(e, "corr", str),
        attempt=read_integer(e, "round_no"),
        endpoint=read_integer(e, "endpoint"),
        outcome=outcome,
        latency_ns=read_integer(e, "lag_ns", 0),
        is_final=read_field(e, "last", bool, False),
        wait_ns=wait * 1_000_000 if outcome is api.Outcome.FULL else 0,
        no_slot=outcome is api.Outcome.NOT_SENT and wait == 1,
        limit_remaining=read_finite_number(usage, "x0") if "x0" in usage else None,
        limit_rate=read_finite_number(usage, "x1") if "x1" in usage else None,
    )


_EVENTS: dict[str, Callable[[dict[str, Any]], api.Event | None]] = {
    "Order": _arrived,
    "Returned": _ended,
    "Elapsed": lambda e: api.TimerFired(read_integer(e, "ctx")),
    "Dropped": lambda e: api.MessageWithdrawn(read_field(e, "corr", str)),
    "FromPeer": lambda e: api.PeerNote(read_integer(e, "src"), bytes.fromhex(read_field(e, "bytes", str))),
    "CheckResult": lambda e: None,
    "HeadReceived": lambda e: None,
}


def _to_wire(action: api.Command, instance: int) -> dict[str, Any]:
    """Translate one action."""
    me: dict[str, Any] = {"dispatcher": instance}
    match action:
        case api.StartAttempt(message, endpoint, until):
            return {"CallOut": me | {"corr": message, "endpoint": endpoint, "not_past_ns": until}}
        case api.RejectMessage(message, retry_after):
            return {"Bounce": me | {"corr": message, "retry_after_ns": retry_after}}
        case api.FailMessage(message):
            return {"FinishError": me | {"corr": message}}
        case api.CancelAttempt(message, attempt):
            return {"Withdraw": me | {"corr": message, "round_no": attempt}}
        case api.SetTimer(after, token):
            return {"Timer": me | {"sleep_for_ns": after, "ctx": token}}
        case api.RecallAttempts():
            raise ValueError("Recall is not on this wire; its settings do not allow it")
        case api.CloseIdleConnections(endpoint):
            return {"DropConns": me | {"endpoint": endpoint}}
        case api.Subscribe():
            return {"Watch": me | {"active": True}}
        case api.SendPeerNote(data):
            return {"MemoTo": me | {"addressee": None, "bytes": data.hex()}}
        case api.RecordSlowStart():
            raise ValueError("RecordSlowStart is not on this wire")
        case api.LogDecision(text):
            return {"Remark": me | {"words": text}}


class Adapter:
    """Hosts the instances of one process."""

    def __init__(self) -> None:
        self._senders: dict[int, Scheduler] = {}
        self._lists: dict[int, tuple[api.EndpointEntry, ...]] = {}

    def _act(self, now: int, instance: int, events: list[api.Event], out: list[dict[str, Any]]) -> None:
        """Let one instance decide; an exception becomes its declared fault."""
        try:
            actions = self._senders[instance].handle(now, events)
            wired = (action for action in actions if not isinstance(action, api.RecordSlowStart))
            out.extend(_to_wire(action, instance) for action in wired)  # nothing outlasts an instance here
        except Exception as err:  # the wire has a word for it
            out.append({"Crash": {"dispatcher": instance, "words": f"{type(err).__name__}: {err}"}})

    def _begin(self, body: dict[str, Any], instance: int, out: list[dict[str, Any]]) -> None:
        """Start an instance; settings it cannot use become its declared fault."""
        info = read_field(body, "info", dict)
        try:
            self._senders[instance] = Scheduler(settings_from_wire(info), read_integer(body, "nonce64"))
        except ValueError as err:
            self._senders.pop(instance, None)
            out.append({"Crash": {"dispatcher": instance, "words": f"settings: {err}"}})

    def reply(self, line: str) -> str:
        """Answer one batch."""
        try:
            batch = json.loads(line)
        except ValueError as err:
            raise FieldError(f"not JSON: {err}") from None
        if not isinstance(batch, dict):
            raise FieldError("a batch must be an object")
        now, out = read_integer(batch, "ts_ns"), list[dict[str, Any]]()
        pending: dict[int, list[api.Event]] = {}
        for item in read_field(batch, "news", list):
            if not isinstance(item, dict) or len(item) != 1:
                raise FieldError(f"an event must be an object with one name: {item!r:.60}")
            ((name, body),) = item.items()
            if not isinstance(body, dict):
                raise FieldError(f"event {name!r}: its fields must be an object")
            try:
                self._event(now, name, body, pending, out)
            except FieldError as err:
                raise FieldError(f"event {name!r}: {err}") from None
            except (ValueError, TypeError, AttributeError, OverflowError) as err:
                raise FieldError(f"event {name!r}: a field has the wrong type or value: {err}") from None
        for instance, events in pending.items():
            self._act(now, instance, events, out)
        return json.dumps({"cmds": out}, separators=(",", ":"))

    def _event(
        self,
        now: int,
        name: str,
        body: dict[str, Any],
        pending: dict[int, list[api.Event]],
        out: list[dict[str, Any]],
    ) -> None:
        """Take one event of a batch, in order."""
        if name == "Inventory":
            self._lists[read_integer(body, "roster_id")] = tuple(
                _row(row) for row in read_field(body, "rows", list)
            )
            return
        if name not in _EVENTS and name not in ("Begin", "Update", "Detach"):
            raise FieldError("unknown")
        instance = read_integer(body, "dispatcher")
        if name == "Detach":
            self._senders.pop(instance, None)
            pending.pop(instance, None)
        elif name == "Begin":
            pending.pop(instance, None)
            self._begin(body, instance, out)
        else:
            event: api.Event | None
            if name == "Update":
                scope = read_choice(_SCOPES, body.get("scope"), "scope")
                rows = (
                    ()
                    if scope is api.UpdateScope.FAILED
                    else self._lists.get(read_integer(body, "roster_id"))
                )
                if rows is None:
                    raise FieldError("names a list that was never given")
                event = api.EndpointsUpdated(scope, rows)
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
        except FieldError as err:
            print(f"winchspan.adapter: {err}", file=sys.stderr)
            return 1
        replies.write(answer + "\n")
        replies.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.stdin, sys.stdout))
