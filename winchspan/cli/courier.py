"""The command `courier`: executes operators' operations over the control socket of a running courier."""

from __future__ import annotations

from pathlib import Path

import click

from winchspan.admin.operations import Operation
from winchspan.cli.exit_codes import fail
from winchspan.control.client import ControlClient
from winchspan.control.protocol import ControlError


@click.command()
@click.option(
    "--socket", "path", type=click.Path(path_type=Path), required=True, help="the courier's control socket"
)
@click.argument("operation", type=click.Choice([operation.value for operation in Operation]))
@click.argument("endpoint", default="")
def courier(path: Path, operation: str, endpoint: str) -> None:
    """Execute an operation on a running courier; `offline` and `online` need an ENDPOINT."""
    try:
        client = ControlClient(path)
        try:
            click.echo(client.call(operation, **({"id": endpoint} if endpoint else {})))
        finally:
            client.close()
    except ControlError as err:
        fail(err)
