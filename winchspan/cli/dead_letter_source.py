"""Where the command `undelivered` gets its answers: a running courier, or the file of its store."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path
from typing import Final, Protocol, cast

from winchspan.cli.dead_letter_documents import MessageDocument
from winchspan.cli.exit_codes import fail
from winchspan.control.client import ControlClient
from winchspan.control.protocol import ControlError, JsonValue
from winchspan.dead_letters import queries
from winchspan.dead_letters.errors import DeadLetterStoreError, OperatorActionError
from winchspan.dead_letters.store import STORE_FILE_NAME, DeadLetterStore
from winchspan.dead_letters.store_eviction import StoreBounds

MAX_FILE_GROWTH_BYTES: Final = 64_000_000
"""What a store's file may grow by one query of a tool."""

_NO_LIMIT: Final = 10**9


class DeadLetterSource(Protocol):
    """What executes queries."""

    def query(self, name: str, /, **arguments: JsonValue) -> JsonValue:
        """Execute one of `queries.QUERY_NAMES` and return its result.

        Raises:
            ControlError: if the courier cannot be asked.
            OperatorActionError: if the arguments are wrong.
            DeadLetterStoreError: if the store cannot be used.
        """


class FileSource:
    """The file of a store, whether a courier runs or not."""

    def __init__(self, path: Path) -> None:
        """Make it; `path` is the file, or its directory."""
        self._path = path / STORE_FILE_NAME if path.is_dir() else path

    def query(self, name: str, /, **arguments: JsonValue) -> JsonValue:
        """Open the file for one query; see `DeadLetterSource`."""
        checked = queries.parse_arguments(name, arguments)
        if not self._path.exists():
            raise DeadLetterStoreError(f"{self._path}: there is no store")
        # Only the courier knows the operator's bounds, and evicts what is beyond them; a tool evicts nothing.
        max_bytes = self._path.stat().st_size + MAX_FILE_GROWTH_BYTES
        bounds = StoreBounds(max_bytes, _NO_LIMIT, 1e6, _NO_LIMIT)
        store = DeadLetterStore(self._path, bounds, read_only=queries.is_read_only(name, arguments))
        try:
            environment = queries.QueryEnvironment(store, time.time() * 1_000.0)
            return cast("JsonValue", queries.execute(name, checked, environment))
        finally:
            store.close()


class SocketSource:
    """A running courier."""

    def __init__(self, path: Path) -> None:
        """Make it; `path` is the courier's control socket."""
        self._path = path

    def query(self, name: str, /, **arguments: JsonValue) -> JsonValue:
        """Open a connection for one query; see `DeadLetterSource`."""
        client = ControlClient(self._path)
        try:
            return client.call(f"undelivered.{name}", **arguments)
        finally:
            client.close()


def query_or_exit(source: DeadLetterSource, name: str, /, **arguments: JsonValue) -> JsonValue:
    """Execute a query; a failure ends the command with one line."""
    try:
        return source.query(name, **arguments)
    except (ControlError, OperatorActionError, DeadLetterStoreError) as err:
        fail(err)


def complete_messages(source: DeadLetterSource, message_filter: JsonValue) -> Iterator[MessageDocument]:
    """Yield all messages that match, with their bodies, the oldest first."""
    after = 0
    while True:
        result = query_or_exit(
            source,
            "list",
            what=message_filter,
            most=queries.MAX_BODIES_PER_PAGE,
            after=after,
            oldest_first=True,
            bodies=True,
        )
        page = cast("list[MessageDocument]", result)
        if not page:
            return
        yield from page
        after = page[-1]["number"]
