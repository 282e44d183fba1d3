"""Options shared by several commands of `undelivered`."""

from __future__ import annotations

import getpass
import time
from collections.abc import Callable, Mapping
from enum import Enum
from typing import Any, Final, NotRequired, TypedDict, TypeVar, cast

import click

from winchspan.control.protocol import JsonValue
from winchspan.dead_letters.records import DeadLetterState, ExecutionEvidence

_UNIT_SECONDS: Final = {"s": 1.0, "m": 60.0, "h": 3_600.0, "d": 86_400.0}

CommandFunction = TypeVar("CommandFunction", bound=Callable[..., Any])


class Duration(click.ParamType[float]):
    """Parameter type of a duration such as `10m`, converted to ms."""

    name = "span"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> float:
        """Return the duration in ms."""
        text = str(value)
        try:
            return float(text[:-1]) * _UNIT_SECONDS[text[-1:]] * 1_000.0
        except (ValueError, KeyError):
            self.fail(f"expected a span like 90s, 10m, 2h or 1d, not {text!r:.40}", param, ctx)


class FilterOptions(TypedDict):
    """Values of `filter_options`; None matches any message."""

    cls: str | None
    dest: int | None
    end: str | None
    reason: str | None
    ran: str | None
    state: str | None
    key: str | None
    token: str | None
    id: str | None
    since: float | None


class ActionOptions(TypedDict):
    """Values of `action_options`; `why` is present if the action requires a reason."""

    who: str
    dry_run: bool
    why: NotRequired[str]


def _choice(values: type[Enum]) -> click.Choice[str]:
    return click.Choice([member.value for member in values])


_FILTER_OPTIONS: Final = (
    click.option("--class", "cls", help="of this class"),
    click.option("--dest", type=int, help="for this destination"),
    click.option("--end", type=click.Choice(["failed", "returned"]), help="with this answer"),
    click.option("--reason", help="that ended for this reason, as listed by `stats`"),
    click.option("--ran", type=_choice(ExecutionEvidence), help="with this evidence of execution"),
    click.option("--state", type=_choice(DeadLetterState), help="in this state"),
    click.option("--key", help="of this key, in hexadecimal digits"),
    click.option("--token", help="with this idempotency key"),
    click.option("--id", "id", help="with this message id"),
    click.option("--since", type=Duration(), help="that ended within this duration before now, e.g. 10m"),
)

who_option: Final = click.option(
    "--who", default=getpass.getuser, show_default="your user name", help="operator's name for the audit log"
)
dry_run_option: Final = click.option("--dry-run", is_flag=True, help="only print the effect, change nothing")
_why_option: Final = click.option("--why", required=True, help="reason for the audit log")


def filter_options(command: CommandFunction) -> CommandFunction:
    """Add the options that filter messages."""
    for option in reversed(_FILTER_OPTIONS):
        command = option(command)
    return command


def build_filter(options: FilterOptions) -> dict[str, JsonValue]:
    """Convert the options to a query filter."""
    values = cast("Mapping[str, JsonValue]", options)
    chosen: dict[str, JsonValue] = {
        name: value for name, value in values.items() if value is not None and name != "since"
    }
    since_ms = options["since"]
    if since_ms is not None:
        chosen["since"] = time.time() * 1_000.0 - since_ms
    return chosen


def action_options(*, needs_reason: bool) -> Callable[[CommandFunction], CommandFunction]:
    """Add the options of a command that changes messages."""

    def add(command: CommandFunction) -> CommandFunction:
        if needs_reason:
            command = _why_option(command)
        return who_option(dry_run_option(command))

    return add
