"""Commands on dead letters with JSON results, used over the control socket and on the store's file alike."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Final, Generic, TypeVar

import msgspec

from winchspan.dead_letters import operator_actions
from winchspan.dead_letters.errors import OperatorActionError
from winchspan.dead_letters.operator_actions import OperatorAction
from winchspan.dead_letters.partner_reports import actions_for_report, parse_report
from winchspan.dead_letters.policy import RedeliveryPolicy
from winchspan.dead_letters.query_arguments import (
    MAX_AUDIT_ENTRIES_PER_PAGE,
    ActionArguments,
    AuditLogArguments,
    ImportArguments,
    ListArguments,
    MessageArguments,
    NoArguments,
)
from winchspan.dead_letters.record_codec import JsonObject, dead_letter_from_json, dead_letter_to_json
from winchspan.dead_letters.records import DeadLetter
from winchspan.dead_letters.store import DeadLetterStore

MAX_MESSAGES_PER_PAGE: Final = 500  # for pages without bodies
MAX_BODIES_PER_PAGE: Final = 8  # keeps a page within one frame of the control protocol
MAX_OPERATOR_LENGTH: Final = 100  # characters
MAX_SOURCE_LENGTH: Final = 200  # characters of a file name in the audit log
DEFAULT_REPORT_SOURCE: Final = "a report"
_AUDIT_FIELD_NAMES: Final = (
    "seq",
    "at",
    "who",
    "action",
    "number",
    "detail",
)  # JSON keys of the `AuditEntry` fields
_OPERATOR_ACTIONS: Final = ("resend", "hold", "release", "drop")
_REPORT: Final = "report"

ArgumentsT = TypeVar("ArgumentsT", bound=msgspec.Struct)


@dataclass(frozen=True, slots=True)
class QueryEnvironment:
    """The dependencies of a query.

    Attributes:
        store: holds the messages.
        now_ms: the current time, in Unix ms.
        policy: decides on redeliveries; None where the operator's rules are not available.
    """

    store: DeadLetterStore
    now_ms: float
    policy: RedeliveryPolicy | None = None


@dataclass(frozen=True, slots=True)
class Query(Generic[ArgumentsT]):
    """Definition of one query.

    Attributes:
        arguments: type of the query's arguments.
        execute: executes the query, and returns its result as JSON.
        is_read_only: the query never changes the store.
    """

    arguments: type[ArgumentsT]
    execute: Callable[[QueryEnvironment, ArgumentsT], object]
    is_read_only: bool = True


def parse_arguments(name: str, arguments: Mapping[str, object]) -> msgspec.Struct:
    """Return the checked arguments of a query.

    Raises:
        OperatorActionError: if an argument is invalid; the message names it.
    """
    try:
        checked: msgspec.Struct = msgspec.convert(dict(arguments), _QUERIES[name].arguments)
    except msgspec.ValidationError as err:
        raise OperatorActionError(f"{name}: {err}") from err
    return checked


def is_read_only(name: str, arguments: Mapping[str, object]) -> bool:
    """Return whether a query leaves the store unchanged."""
    return _QUERIES[name].is_read_only or bool(arguments.get("dry_run"))


def execute(name: str, arguments: msgspec.Struct, environment: QueryEnvironment) -> object:
    """Execute a query, and return its result as JSON.

    Args:
        name: one of `QUERY_NAMES`.
        arguments: the result of `parse_arguments`.
        environment: the query's dependencies.

    Raises:
        OperatorActionError: if the query cannot be executed.
        DeadLetterStoreError: if the store cannot be used.
    """
    return _QUERIES[name].execute(environment, arguments)


# ---- reading ---------------------------------------------------------------------------------------------
def _to_json(dead_letter: DeadLetter, *, with_body: bool) -> JsonObject:
    """Return a message with its key in hexadecimal digits, and its body in Base64 or only the body size."""
    encoded = dead_letter_to_json(dead_letter)
    encoded["key"] = None if dead_letter.key is None else f"{dead_letter.key:x}"
    encoded["body_bytes"] = len(dead_letter.body)
    if not with_body:
        del encoded["body"]
    return encoded


def _list(environment: QueryEnvironment, arguments: ListArguments) -> list[JsonObject]:
    max_limit = MAX_BODIES_PER_PAGE if arguments.with_bodies else MAX_MESSAGES_PER_PAGE
    limit = max(1, min(arguments.limit, max_limit))
    found = environment.store.find(
        arguments.filter.to_filter(), limit, arguments.after, oldest_first=arguments.is_oldest_first
    )
    return [_to_json(dead_letter, with_body=arguments.with_bodies) for dead_letter in found]


def _show(environment: QueryEnvironment, arguments: MessageArguments) -> JsonObject:
    return _to_json(operator_actions.stored_dead_letter(environment.store, arguments.number), with_body=True)


def _why(environment: QueryEnvironment, arguments: MessageArguments) -> JsonObject:
    """Return a message, with the current decision of the rules where they are available."""
    dead_letter = operator_actions.stored_dead_letter(environment.store, arguments.number)
    encoded = _to_json(dead_letter, with_body=False)
    if environment.policy is not None:
        decision = environment.policy.decide(environment.now_ms, dead_letter)
        encoded["decision"] = {
            "action": decision.action.value,
            "at": decision.next_check_unix_ms,
            "why": decision.reason,
            "rule": decision.rule_name,
        }
    return encoded


def _stats(environment: QueryEnvironment, _: NoArguments) -> JsonObject:
    return environment.store.stats()


def _audit_log(environment: QueryEnvironment, arguments: AuditLogArguments) -> JsonObject:
    limit = max(1, min(arguments.limit, MAX_AUDIT_ENTRIES_PER_PAGE))
    page = environment.store.read_audit_log(arguments.after, limit)
    return {
        "head": page.head,
        "first": page.first_sequence,
        "entries": [dict(zip(_AUDIT_FIELD_NAMES, entry, strict=True)) for entry in page.entries],
    }


# ---- changing --------------------------------------------------------------------------------------------
def _import(environment: QueryEnvironment, arguments: ImportArguments) -> list[JsonObject]:
    """Store the messages of an export; messages that are stored already stay unchanged."""
    _check_names(arguments.operator, arguments.source)
    store = environment.store
    found = [
        operator_actions.prepare_import(_imported_message(fields, number, arguments.source), arguments.source)
        for number, fields in enumerate(arguments.messages, 1)
    ]
    new = [each for each in found if not store.contains(each.id, each.deadline_unix_ms)]
    if new and not arguments.is_dry_run:
        store.add(new, environment.now_ms, arguments.operator, arguments.source)
    return [{"id": each.id, "state": each.state.value} for each in new]


def _imported_message(fields: JsonObject, number: int, source: str) -> DeadLetter:
    try:
        key = fields.get("key")
        known = fields | {"key": None if key is None else int(str(key), 16)}
        known.pop("body_bytes", None)
        return dead_letter_from_json(known)
    except (ValueError, TypeError, msgspec.MsgspecError) as err:
        raise OperatorActionError(f"message {number} of {source}: {err}") from err


def _act(environment: QueryEnvironment, arguments: ActionArguments) -> list[JsonObject]:
    """Apply an action to messages, up to the first one to which it cannot be applied."""
    _check_names(arguments.operator, arguments.source)
    planned = _planned_actions(environment.store, arguments)
    if not arguments.is_dry_run:
        for action in planned:
            action.apply(environment.store, arguments.operator, environment.now_ms)
    return [
        {
            "action": action.action,
            "number": action.number,
            "before": action.expected.value,
            "after": action.new_state.value,
        }
        for action in planned
    ]


def _planned_actions(store: DeadLetterStore, arguments: ActionArguments) -> list[OperatorAction]:
    if arguments.action == _REPORT:
        report = parse_report(arguments.report_lines)
        return actions_for_report(store, report, arguments.source or DEFAULT_REPORT_SOURCE)
    if arguments.action not in _OPERATOR_ACTIONS:
        expected = ", ".join((_REPORT, *_OPERATOR_ACTIONS))
        raise OperatorActionError(f"action: expected {expected}, not {arguments.action!r:.40}")
    return [_planned_action(store, number, arguments) for number in dict.fromkeys(arguments.numbers)]


def _planned_action(store: DeadLetterStore, number: int, arguments: ActionArguments) -> OperatorAction:
    match arguments.action:
        case "resend":
            return operator_actions.approve_redelivery(store, number)
        case "hold":
            return operator_actions.hold(store, number, arguments.reason)
        case "release":
            return operator_actions.release(store, number, arguments.operator, arguments.reason)
        case _:
            return operator_actions.drop(store, number, arguments.reason)


def _check_names(operator: str, source: str) -> None:
    if not operator.strip() or len(operator) > MAX_OPERATOR_LENGTH:
        raise OperatorActionError(f"who: a name of 1 to {MAX_OPERATOR_LENGTH} characters is needed")
    if len(source) > MAX_SOURCE_LENGTH:
        raise OperatorActionError(f"source: a name of up to {MAX_SOURCE_LENGTH} characters is needed")


_QUERIES: Final[dict[str, Query[Any]]] = {
    "list": Query(ListArguments, _list),
    "show": Query(MessageArguments, _show),
    "stats": Query(NoArguments, _stats),
    "trail": Query(AuditLogArguments, _audit_log),
    "why": Query(MessageArguments, _why),
    "act": Query(ActionArguments, _act, is_read_only=False),
    "import": Query(ImportArguments, _import, is_read_only=False),
}
QUERY_NAMES: Final = tuple(_QUERIES)
