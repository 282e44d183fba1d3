"""The entry point of the command line, `python -m winchspan.cli`."""

from __future__ import annotations

import click

from winchspan.cli.courier import courier
from winchspan.cli.undelivered import undelivered


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Commands of winchspan. Exit codes: 0 success, 1 nothing found, 2 error."""


main.add_command(courier)
main.add_command(undelivered)

if __name__ == "__main__":
    main(prog_name="winchspan")
