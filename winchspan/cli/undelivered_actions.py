"""The commands of `undelivered` that change dead letters; each adds an entry to the audit log."""

from __future__ import annotations

from pathlib import Path
from typing import Final, NoReturn, TextIO, Unpack, cast

import click

from winchspan.cli.dead_letter_documents import ActionDocument
from winchspan.cli.dead_letter_format import format_action
from winchspan.cli.dead_letter_options import ActionOptions, action_options
from winchspan.cli.dead_letter_source import DeadLetterSource, query_or_exit
from winchspan.cli.exit_codes import exit_by_count
from winchspan.control.protocol import JsonValue


def _execute_action(
    source: DeadLetterSource, action: str, options: ActionOptions, /, **arguments: JsonValue
) -> NoReturn:
    """Execute an action, print its effect on each message, and exit."""
    result = query_or_exit(source, "act", action=action, **options, **arguments)
    action_documents = cast("list[ActionDocument]", result)
    for document in action_documents:
        click.echo(format_action(document, is_dry_run=options["dry_run"]))
    exit_by_count(len(action_documents))


@click.command()
@click.argument("numbers", type=int, nargs=-1, required=True)
@action_options(needs_reason=False)
@click.pass_obj
def resend(source: DeadLetterSource, /, numbers: tuple[int, ...], **options: Unpack[ActionOptions]) -> None:
    """Approve the next resend of messages; the courier skips those that could have a second effect."""
    _execute_action(source, "resend", options, numbers=list(numbers))


@click.command()
@click.argument("numbers", type=int, nargs=-1, required=True)
@action_options(needs_reason=True)
@click.pass_obj
def hold(source: DeadLetterSource, /, numbers: tuple[int, ...], **options: Unpack[ActionOptions]) -> None:
    """Exclude messages from all redelivery rules."""
    _execute_action(source, "hold", options, numbers=list(numbers))


@click.command()
@click.argument("numbers", type=int, nargs=-1, required=True)
@action_options(needs_reason=True)
@click.pass_obj
def release(source: DeadLetterSource, /, numbers: tuple[int, ...], **options: Unpack[ActionOptions]) -> None:
    """Confirm that messages have not run, so that they are sent again. Ask the partner first."""
    _execute_action(source, "release", options, numbers=list(numbers))


@click.command()
@click.argument("numbers", type=int, nargs=-1, required=True)
@action_options(needs_reason=True)
@click.pass_obj
def drop(source: DeadLetterSource, /, numbers: tuple[int, ...], **options: Unpack[ActionOptions]) -> None:
    """Drop messages; they stay readable until their space is needed."""
    _execute_action(source, "drop", options, numbers=list(numbers))


@click.command()
@click.argument("file", type=click.File("r", encoding="utf-8"))
@action_options(needs_reason=False)
@click.pass_obj
def report(source: DeadLetterSource, /, file: TextIO, **options: Unpack[ActionOptions]) -> None:
    """Import a partner's report as evidence: one line per ID or idempotency key, with ran or never."""
    _execute_action(source, "report", options, lines=file.read().splitlines(), source=Path(file.name).name)


ACTION_COMMANDS: Final = (resend, hold, release, drop, report)
