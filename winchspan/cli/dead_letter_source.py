"""Sources of dead letters for the command `undelivered`: a running courier, or the file of its store."""

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
"""Maximum growth of a store's file by one query of a tool."""

_NO_LIMIT: Final = 10**9


class DeadLetterSource(Protocol):
    """Interface to execute queries on dead letters."""

    def query(self, name: str, /, **arguments: JsonValue) -> JsonValue:
        """Execute one of `queries.QUERY_NAMES` and return its result.

        Raises:
            ControlError: if the request to the courier fails.
            OperatorActionError: if the arguments are invalid.
            DeadLetterStoreError: if the store is unusable.
        """


class FileSource:
    """Queries the file of a store, whether or not a courier runs."""

    def __init__(self, path: Path) -> None:
        """Create a source; `path` is the file of the store or its directory."""
        self._path = path / STORE_FILE_NAME if path.is_dir() else path

    def query(self, name: str, /, **arguments: JsonValue) -> JsonValue:
        """Execute a query on the file, which is open only for this query; see `DeadLetterSource`."""
        checked = queries.parse_arguments(name, arguments)
        if not self._path.exists():
            raise DeadLetterStoreError(f"{self._path}: there is no store")
        # Only the courier has the operator's bounds and evicts messages beyond them; a tool evicts nothing.
        max_bytes = self._path.stat().st_size + MAX_FILE_GROWTH_BYTES
        bounds = StoreBounds(max_bytes, _NO_LIMIT, 1e6, _NO_LIMIT)
        store = DeadLetterStore(self._path, bounds, read_only=queries.is_read_only(name, arguments))
        try:
            environment = queries.QueryEnvironment(store, time.time() * 1_000.0)
            return cast("JsonValue", queries.execute(name, checked, environment))
        finally:
            store.close()


class SocketSource:
    """Queries a running courier over its control socket."""

    def __init__(self, path: Path) -> None:
        """Create a source; `path` is the courier's control socket."""
        self._path = path

    def query(self, name: str, /, **arguments: JsonValue) -> JsonValue:
        """Execute a query over a new connection; see `DeadLetterSource`."""
        client = ControlClient(self._path)
        try:
            return client.call(f"undelivered.{name}", **arguments)
        finally:
            client.close()


def query_or_exit(source: DeadLetterSource, name: str, /, **arguments: JsonValue) -> JsonValue:
    """Execute a query; on failure print a one-line error and exit."""
    try:
        return source.query(name, **arguments)
    except (ControlError, OperatorActionError, DeadLetterStoreError) as err:
        fail(err)


def messages_with_bodies(source: DeadLetterSource, message_filter: JsonValue) -> Iterator[MessageDocument]:
    """Yield all messages that match a filter with their bodies, oldest first."""
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
