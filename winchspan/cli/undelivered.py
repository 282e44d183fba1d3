"""The command `undelivered`: queries and changes dead letters of a running courier or in a store's file."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TextIO, Unpack, cast

import click

from winchspan.cli.dead_letter_documents import AuditLogDocument, MessageDocument
from winchspan.cli.dead_letter_format import (
    format_audit_entry,
    format_decision,
    format_details,
    format_summary,
)
from winchspan.cli.dead_letter_options import (
    FilterOptions,
    build_filter,
    dry_run_option,
    filter_options,
    who_option,
)
from winchspan.cli.dead_letter_source import (
    DeadLetterSource,
    FileSource,
    SocketSource,
    messages_with_bodies,
    query_or_exit,
)
from winchspan.cli.exit_codes import exit_by_count, fail
from winchspan.cli.undelivered_actions import ACTION_COMMANDS
from winchspan.dead_letters import queries
from winchspan.dead_letters.query_arguments import MAX_AUDIT_ENTRIES_PER_PAGE


@click.group()
@click.option(
    "--store", type=click.Path(path_type=Path, exists=True), help="the store's file or its directory"
)
@click.option("--socket", type=click.Path(path_type=Path), help="the control socket of a running courier")
@click.pass_context
def undelivered(ctx: click.Context, store: Path | None, socket: Path | None) -> None:
    """Messages that were not delivered. Needs --store or --socket.

    Example: python -m winchspan.cli undelivered --store /var/lib/winchspan list --ran may --since 2h
    """
    if store is not None and socket is None:
        ctx.obj = FileSource(store)
    elif socket is not None and store is None:
        ctx.obj = SocketSource(socket)
    else:
        raise click.UsageError("give either --store or --socket")


for _command in ACTION_COMMANDS:
    undelivered.add_command(_command)


@undelivered.command("list")
@filter_options
@click.option(
    "--most",
    type=click.IntRange(1, queries.MAX_MESSAGES_PER_PAGE),
    default=50,
    show_default=True,
    help="maximum number of messages on a page",
)
@click.option("--after", type=int, default=0, help="number of the previous page's last message")
@click.option("--json", "as_json", is_flag=True, help="one JSON object per line, without bodies")
@click.pass_obj
def list_messages(
    source: DeadLetterSource, /, most: int, after: int, as_json: bool, **options: Unpack[FilterOptions]
) -> None:
    """List messages, newest first."""
    result = query_or_exit(source, "list", what=build_filter(options), most=most, after=after)
    messages = cast("list[MessageDocument]", result)
    for message in messages:
        click.echo(json.dumps(message) if as_json else format_summary(message))
    exit_by_count(len(messages))


@undelivered.command()
@click.argument("number", type=int)
@click.option("--json", "as_json", is_flag=True, help="as a JSON object, with the body in Base64")
@click.pass_obj
def show(source: DeadLetterSource, /, number: int, as_json: bool) -> None:
    """Show a message: the cause of its failure, each attempt, and whether it may have run."""
    message = cast("MessageDocument", query_or_exit(source, "show", number=number))
    click.echo(json.dumps(message) if as_json else "\n".join(format_details(message)))


@undelivered.command()
@click.argument("number", type=int)
@click.option("--json", "as_json", is_flag=True, help="as a JSON object")
@click.pass_obj
def why(source: DeadLetterSource, /, number: int, as_json: bool) -> None:
    """Explain the state of a message; with --socket also the rules' present decision about it."""
    message = cast("MessageDocument", query_or_exit(source, "why", number=number))
    if as_json:
        click.echo(json.dumps(message))
        return
    click.echo("\n".join(format_details(message)))
    decision = message.get("decision")
    if decision:
        click.echo(format_decision(decision))


@undelivered.command()
@click.option("--json", "as_json", is_flag=True, help="as a JSON object")
@click.pass_obj
def stats(source: DeadLetterSource, /, as_json: bool) -> None:
    """Show totals, and counts by state, answer, reason, evidence and destination."""
    statistics = cast("dict[str, int | dict[str, int]]", query_or_exit(source, "stats"))
    if as_json:
        click.echo(json.dumps(statistics))
        return
    for name, value in statistics.items():
        if isinstance(value, dict):
            click.echo(f"{name}:")
            for group, count in value.items():
                click.echo(f"  {group}: {count}")
        else:
            click.echo(f"{name}: {value}")


@undelivered.command()
@filter_options
@click.argument("out", type=click.File("w", encoding="utf-8"))
@click.pass_obj
def export(source: DeadLetterSource, /, out: TextIO, **options: Unpack[FilterOptions]) -> None:
    """Write messages with their bodies to OUT, one JSON object per line, oldest first."""
    written_count = 0
    for message in messages_with_bodies(source, build_filter(options)):
        out.write(json.dumps(message) + "\n")
        written_count += 1
    click.echo(f"{written_count} messages", err=True)


@undelivered.command("import")
@click.argument("file", type=click.File("r", encoding="utf-8"))
@dry_run_option
@who_option
@click.pass_obj
def import_messages(source: DeadLetterSource, /, file: TextIO, dry_run: bool, who: str) -> None:
    """Import messages of an export; they are held until an operator acts on them."""
    imported_count = 0
    file_name = Path(file.name).name
    lines = [line for line in file if line.strip()]
    for first in range(0, len(lines), queries.MAX_BODIES_PER_PAGE):
        try:
            messages = [json.loads(line) for line in lines[first : first + queries.MAX_BODIES_PER_PAGE]]
        except ValueError as err:
            fail(f"{file.name}: line {first + 1} and on: not JSON: {err}")
        result = query_or_exit(
            source, "import", messages=messages, who=who, dry_run=dry_run, source=file_name
        )
        imported_count += len(cast("list[MessageDocument]", result))
    verb = "would keep" if dry_run else "kept"
    click.echo(f"{verb} {imported_count} of {len(lines)} messages", err=True)


@undelivered.command()
@click.option("--json", "as_json", is_flag=True, help="as a JSON object")
@click.pass_obj
def trail(source: DeadLetterSource, /, as_json: bool) -> None:
    """Show the audit log of operators' actions; exit code 2 if it has been tampered with."""
    log = _fetch_audit_log(source)
    if as_json:
        click.echo(json.dumps(log))
        return
    if log["first"] > 1:
        click.echo(f"entries up to {log['first'] - 1} have been let go")
    for entry in log["entries"]:
        click.echo(format_audit_entry(entry))
    if log["head"]:
        click.echo(f"the audit log is intact; its head is {log['head']}")


def _fetch_audit_log(source: DeadLetterSource) -> AuditLogDocument:
    """Return the audit log with the entries of all pages."""
    log = page = cast("AuditLogDocument", query_or_exit(source, "trail"))
    while len(page["entries"]) == MAX_AUDIT_ENTRIES_PER_PAGE:
        last_seq = page["entries"][-1]["seq"]
        page = cast("AuditLogDocument", query_or_exit(source, "trail", after=last_seq))
        log = AuditLogDocument(
            head=page["head"], first=log["first"], entries=[*log["entries"], *page["entries"]]
        )
    return log
