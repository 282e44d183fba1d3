"""Exit codes of the command line, and functions to exit with them."""

from __future__ import annotations

from enum import IntEnum
from typing import NoReturn

import click


class ExitCode(IntEnum):
    """Exit code of a command."""

    DONE = 0
    NOTHING_FOUND = 1
    FAILED = 2  # invalid arguments or files, or no reply from the courier


def fail(message: object) -> NoReturn:
    """Print a one-line error to standard error and exit."""
    click.echo(f"winchspan: {message}", err=True)
    raise SystemExit(ExitCode.FAILED)


def exit_by_count(count: int) -> NoReturn:
    """Exit with `DONE` if the count is positive, else with `NOTHING_FOUND`."""
    raise SystemExit(ExitCode.DONE if count else ExitCode.NOTHING_FOUND)
