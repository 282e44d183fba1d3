"""Arguments of the commands on dead letters, for the control socket and the command line.

The encoded names (`name=`) are part of the control protocol and must not change. Times are Unix ms.
"""

from __future__ import annotations

from typing import Any, Final

from msgspec import Struct, field

from winchspan.dead_letters.errors import OperatorActionError
from winchspan.dead_letters.filters import DeadLetterFilter
from winchspan.dead_letters.records import DeadLetterState, ExecutionEvidence

MAX_AUDIT_ENTRIES_PER_PAGE: Final = 200


class FilterArguments(Struct, forbid_unknown_fields=True):
    """Arguments that form a `DeadLetterFilter`; the key is given in hexadecimal digits."""

    class_name: str | None = field(default=None, name="cls")
    destination: int | None = field(default=None, name="dest")
    final_state: str | None = field(default=None, name="end")
    reason: str | None = None
    execution_evidence: ExecutionEvidence | None = field(default=None, name="ran")
    state: DeadLetterState | None = None
    key: str | None = None
    idempotency_key: str | None = field(default=None, name="token")
    id: str | None = None
    since_unix_ms: float | None = field(default=None, name="since")
    until_unix_ms: float | None = field(default=None, name="until")

    def to_filter(self) -> DeadLetterFilter:
        """Return the filter.

        Raises:
            OperatorActionError: if the key is not a number.
        """
        return DeadLetterFilter(
            class_name=self.class_name,
            destination=self.destination,
            final_state=self.final_state,
            reason=self.reason,
            execution_evidence=self.execution_evidence,
            state=self.state,
            key=self._key_number(),
            idempotency_key=self.idempotency_key,
            id=self.id,
            since_unix_ms=self.since_unix_ms,
            until_unix_ms=self.until_unix_ms,
        )

    def _key_number(self) -> int | None:
        if self.key is None:
            return None
        try:
            return int(self.key, 16)
        except ValueError as err:
            raise OperatorActionError(f"key: expected hexadecimal digits, not {self.key!r:.40}") from err


class ListArguments(Struct, forbid_unknown_fields=True):
    """Arguments of `list`.

    Attributes:
        filter: selects the messages.
        limit: maximum number of messages in a page.
        after: last message number of the previous page; 0 for the first page.
        is_oldest_first: order by ascending number.
        with_bodies: include bodies, in Base64.
    """

    filter: FilterArguments = field(default_factory=FilterArguments, name="what")
    limit: int = field(default=50, name="most")
    after: int = 0
    is_oldest_first: bool = field(default=False, name="oldest_first")
    with_bodies: bool = field(default=False, name="bodies")


class MessageArguments(Struct, forbid_unknown_fields=True):
    """Arguments of `show` and `why`: the message's number."""

    number: int


class ImportArguments(Struct, forbid_unknown_fields=True):
    """Arguments of `import`.

    Attributes:
        operator: name of the operator.
        messages: the messages, as `list` returns them with bodies.
        source: name of their origin, for the audit log.
        is_dry_run: report the result without changing the store.
    """

    operator: str = field(name="who")
    messages: list[dict[str, Any]]
    source: str = "a file"
    is_dry_run: bool = field(default=False, name="dry_run")


class AuditLogArguments(Struct, forbid_unknown_fields=True):
    """Arguments of `trail`.

    Attributes:
        after: last entry number of the previous page; 0 for the first page.
        limit: maximum number of entries in a page.
    """

    after: int = 0
    limit: int = field(default=MAX_AUDIT_ENTRIES_PER_PAGE, name="most")


class NoArguments(Struct, forbid_unknown_fields=True):
    """Arguments of `stats`, which takes none."""


class ActionArguments(Struct, forbid_unknown_fields=True):
    """Arguments of `act`.

    Attributes:
        action: `resend`, `hold`, `release`, `drop` or `report`.
        operator: name of the operator.
        numbers: numbers of the messages; unused by `report`.
        reason: the operator's reason, where the action needs one.
        report_lines: lines of a partner's report, for `report`.
        source: name of the report, for `report`.
        is_dry_run: report the result without changing the store.
    """

    action: str
    operator: str = field(name="who")
    numbers: list[int] = field(default_factory=list)
    reason: str = field(default="", name="why")
    report_lines: list[str] = field(default_factory=list, name="lines")
    source: str = ""
    is_dry_run: bool = field(default=False, name="dry_run")
