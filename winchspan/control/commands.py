"""The commands of the control socket: the courier's status, operators' operations, and dead letters."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any, Final, Protocol, TypeVar, cast

from winchspan.admin.operations import Operation, Operations
from winchspan.control.command_call import Command, CommandCall, CommandResult
from winchspan.control.protocol import JsonValue
from winchspan.dead_letters import queries
from winchspan.dead_letters.errors import DeadLetterStoreError, OperatorActionError
from winchspan.dead_letters.policy import RedeliveryPolicy
from winchspan.dead_letters.query_arguments import ActionArguments, ImportArguments
from winchspan.dead_letters.store import DeadLetterStore
from winchspan.runtime.clock import Clock

_MAX_CLAIMED_NAME_CHARS: Final = 80  # maximum length of the operator name given by a client, in the audit log

T = TypeVar("T")


class StoreWorker(Protocol):
    """Interface of the dead letters' archiver to run functions on the thread of its store."""

    def run_on_store(
        self, operation: Callable[[DeadLetterStore], T], on_result: Callable[[T | None], None]
    ) -> None:
        """Run a function on the store's thread.

        Args:
            operation: function to run, called with the store.
            on_result: callback on the event loop, called with the function's result, or with None if the
                store is unusable.
        """


class StatusSource(Protocol):
    """Interface of the courier to report its status."""

    def status(self) -> dict[str, Any]:
        """Return the status document."""


def build_commands(
    courier: StatusSource,
    worker: StoreWorker | None,
    clock: Clock,
    context: RedeliveryPolicy | None = None,
    operations: Operations | None = None,
) -> dict[str, Command]:
    """Return all commands of a courier by name, without those of disabled features.

    Args:
        courier: source of the status document.
        worker: worker of the dead letters' store; None if dead letters are disabled.
        clock: clock of the courier.
        context: redelivery policy of the courier; None if there is none.
        operations: the operators' operations; None if they are disabled.
    """
    commands: dict[str, Command] = {"status": partial(_report_status, courier)}
    if operations is not None:
        for operation in Operation:
            commands[operation.value] = partial(_execute_operation, operations, operation)
    if worker is not None:
        dead_letters = _DeadLetterQueries(worker, clock, context)
        for name in queries.QUERY_NAMES:
            commands[f"undelivered.{name}"] = partial(dead_letters.execute, name)
    return commands


def _report_status(courier: StatusSource, call: CommandCall) -> None:
    call.respond(CommandResult(courier.status()))


def _execute_operation(operations: Operations, operation: Operation, call: CommandCall) -> None:
    result = operations.execute(operation, str(call.arguments.get("id", "")))
    text = result.text.rstrip("\n")
    call.respond(CommandResult(text) if result.is_success else CommandResult(error=text))


@dataclass(frozen=True, slots=True)
class _DeadLetterQueries:
    """Queries and actions on the dead letters' store, executed on the store's thread."""

    worker: StoreWorker
    clock: Clock
    context: RedeliveryPolicy | None

    def execute(self, name: str, call: CommandCall) -> None:
        """Validate the arguments of a query and schedule it on the store's thread."""
        try:
            checked = queries.parse_arguments(name, call.arguments)
        except OperatorActionError as err:
            call.respond(CommandResult(error=str(err)))
            return
        if isinstance(checked, ActionArguments | ImportArguments):
            # The audit log records the name given by the client and the credentials reported by the kernel.
            checked.operator = f"{checked.operator[:_MAX_CLAIMED_NAME_CHARS]}, {call.peer}"

        def run(store: DeadLetterStore) -> CommandResult:
            try:
                environment = queries.QueryEnvironment(store, self.clock.unix_ms(), self.context)
                return CommandResult(cast("JsonValue", queries.execute(name, checked, environment)))
            except (OperatorActionError, DeadLetterStoreError) as err:
                return CommandResult(error=str(err))

        def respond(result: CommandResult | None) -> None:
            if result is None:
                result = CommandResult(error="the store is out of order; see the log")
            call.respond(result)

        self.worker.run_on_store(run, respond)
