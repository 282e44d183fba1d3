"""Translates between the JSON lines of the simulator and the scheduler; contains no scheduling logic."""

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
_STATUSES = {
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


def _endpoint_entry(row: dict[str, Any]) -> api.EndpointEntry:
    """Translate one row of an endpoint list."""
    return api.EndpointEntry(
        endpoint=read_integer(row, "endpoint"),
        destination=read_integer(row, "belongs_to"),
        status=read_choice(_STATUSES, row.get("availability", "in_service"), "availability"),
        zone=read_field(row, "area", str, ""),
        kind=read_field(row, "type", str, ""),
        rating=read_finite_number(row, "rating", 1.0),
    )


def _message_arrived(fields: dict[str, Any]) -> api.Event:
    """Translate an `Order`."""
    tenant = fields.get("customer") or ""
    return api.MessageArrived(
        message=read_field(fields, "corr", str),
        class_name=read_field(fields, "profile", str),
        destination=read_integer(fields, "terminates_at"),
        remaining_ns=read_integer(fields, "patience_left_ns"),
        tenant=str(tenant),
        key=None if fields.get("item") is None else read_integer(fields, "item"),
    )


def _attempt_completed(fields: dict[str, Any]) -> api.Event:
    """Translate a `Returned`."""
    usage, outcome = read_object(fields, "usage"), read_choice(_OUTCOMES, fields.get("verdict"), "verdict")
    wait = read_integer(fields, "wait_ms", 0)
    return api.AttemptCompleted(
        message=read_field(fields, "corr", str),
        attempt=read_integer(fields, "round_no"),
        endpoint=read_integer(fields, "endpoint"),
        outcome=outcome,
        latency_ns=read_integer(fields, "lag_ns", 0),
        is_final=read_field(fields, "last", bool, False),
        wait_ns=wait * 1_000_000 if outcome is api.Outcome.FULL else 0,
        no_slot=outcome is api.Outcome.NOT_SENT and wait == 1,
        limit_remaining=read_finite_number(usage, "x0") if "x0" in usage else None,
        limit_rate=read_finite_number(usage, "x1") if "x1" in usage else None,
    )


_EVENTS: dict[str, Callable[[dict[str, Any]], api.Event | None]] = {
    "Order": _message_arrived,
    "Returned": _attempt_completed,
    "Elapsed": lambda fields: api.TimerFired(read_integer(fields, "ctx")),
    "Dropped": lambda fields: api.MessageWithdrawn(read_field(fields, "corr", str)),
    "FromPeer": lambda fields: api.PeerNote(
        read_integer(fields, "src"), bytes.fromhex(read_field(fields, "bytes", str))
    ),
    "CheckResult": lambda fields: None,
    "HeadReceived": lambda fields: None,
}


def _to_wire(command: api.Command, instance: int) -> dict[str, Any]:
    """Translate one command."""
    header: dict[str, Any] = {"dispatcher": instance}
    match command:
        case api.StartAttempt(message, endpoint, until):
            return {"CallOut": header | {"corr": message, "endpoint": endpoint, "not_past_ns": until}}
        case api.RejectMessage(message, retry_after):
            return {"Bounce": header | {"corr": message, "retry_after_ns": retry_after}}
        case api.FailMessage(message):
            return {"FinishError": header | {"corr": message}}
        case api.CancelAttempt(message, attempt):
            return {"Withdraw": header | {"corr": message, "round_no": attempt}}
        case api.SetTimer(after, token):
            return {"Timer": header | {"sleep_for_ns": after, "ctx": token}}
        case api.RecallAttempts():
            raise ValueError("Recall is not on this wire; its settings do not allow it")
        case api.CloseIdleConnections(endpoint):
            return {"DropConns": header | {"endpoint": endpoint}}
        case api.Subscribe():
            return {"Watch": header | {"active": True}}
        case api.SendPeerNote(data):
            return {"MemoTo": header | {"addressee": None, "bytes": data.hex()}}
        case api.RecordSlowStart():
            raise ValueError("RecordSlowStart is not on this wire")
        case api.LogDecision(text):
            return {"Remark": header | {"words": text}}


class Adapter:
    """Hosts the scheduler instances of one process."""

    def __init__(self) -> None:
        self._schedulers: dict[int, Scheduler] = {}
        self._endpoint_lists: dict[int, tuple[api.EndpointEntry, ...]] = {}

    def _handle_events(
        self, now: int, instance: int, events: list[api.Event], wire_commands: list[dict[str, Any]]
    ) -> None:
        """Let one instance handle events; an exception is reported as its `Crash`."""
        try:
            commands = self._schedulers[instance].handle(now, events)
            # RecordSlowStart has no meaning here: no state survives an instance.
            on_wire = (command for command in commands if not isinstance(command, api.RecordSlowStart))
            wire_commands.extend(_to_wire(command, instance) for command in on_wire)
        except Exception as err:  # reported on the wire
            wire_commands.append({"Crash": {"dispatcher": instance, "words": f"{type(err).__name__}: {err}"}})

    def _begin(self, body: dict[str, Any], instance: int, wire_commands: list[dict[str, Any]]) -> None:
        """Start an instance; invalid settings are reported as its `Crash`."""
        info = read_field(body, "info", dict)
        try:
            self._schedulers[instance] = Scheduler(settings_from_wire(info), read_integer(body, "nonce64"))
        except ValueError as err:
            self._schedulers.pop(instance, None)
            wire_commands.append({"Crash": {"dispatcher": instance, "words": f"settings: {err}"}})

    def reply(self, line: str) -> str:
        """Return the reply to one batch of events."""
        try:
            batch = json.loads(line)
        except ValueError as err:
            raise FieldError(f"not JSON: {err}") from None
        if not isinstance(batch, dict):
            raise FieldError("a batch must be an object")
        now, wire_commands = read_integer(batch, "ts_ns"), list[dict[str, Any]]()
        pending: dict[int, list[api.Event]] = {}
        for item in read_field(batch, "news", list):
            if not isinstance(item, dict) or len(item) != 1:
                raise FieldError(f"an event must be an object with one name: {item!r:.60}")
            ((name, body),) = item.items()
            if not isinstance(body, dict):
                raise FieldError(f"event {name!r}: its fields must be an object")
            try:
                self._process_event(now, name, body, pending, wire_commands)
            except FieldError as err:
                raise FieldError(f"event {name!r}: {err}") from None
            except (ValueError, TypeError, AttributeError, OverflowError) as err:
                raise FieldError(f"event {name!r}: a field has the wrong type or value: {err}") from None
        for instance, events in pending.items():
            self._handle_events(now, instance, events, wire_commands)
        return json.dumps({"cmds": wire_commands}, separators=(",", ":"))

    def _process_event(
        self,
        now: int,
        name: str,
        body: dict[str, Any],
        pending: dict[int, list[api.Event]],
        wire_commands: list[dict[str, Any]],
    ) -> None:
        """Handle one event of a batch, or add it to those pending for its instance."""
        if name == "Inventory":
            self._endpoint_lists[read_integer(body, "roster_id")] = tuple(
                _endpoint_entry(row) for row in read_field(body, "rows", list)
            )
            return
        if name not in _EVENTS and name not in ("Begin", "Update", "Detach"):
            raise FieldError("unknown")
        instance = read_integer(body, "dispatcher")
        if name == "Detach":
            self._schedulers.pop(instance, None)
            pending.pop(instance, None)
        elif name == "Begin":
            pending.pop(instance, None)
            self._begin(body, instance, wire_commands)
        else:
            event: api.Event | None
            if name == "Update":
                scope = read_choice(_SCOPES, body.get("scope"), "scope")
                rows = (
                    ()
                    if scope is api.UpdateScope.FAILED
                    else self._endpoint_lists.get(read_integer(body, "roster_id"))
                )
                if rows is None:
                    raise FieldError("names a list that was never given")
                event = api.EndpointsUpdated(scope, rows)
            else:
                event = _EVENTS[name](body)
            if instance in self._schedulers and event is not None:
                pending.setdefault(instance, []).append(event)


def main(lines: TextIO, replies: TextIO) -> int:
    """Reply to batches until the end of the input."""
    adapter = Adapter()
    for line in lines:
        if not line.strip():
            continue
        try:
            reply = adapter.reply(line)
        except FieldError as err:
            print(f"winchspan.adapter: {err}", file=sys.stderr)
            return 1
        replies.write(reply + "\n")
        replies.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.stdin, sys.stdout))
