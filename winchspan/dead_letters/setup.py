"""Creates the archiver and the redelivery rules from the operator's file, for the composition root."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from winchspan import api
from winchspan.dead_letters.archiver import ArchiverSettings, DeadLetterArchiver
from winchspan.dead_letters.policy import RedeliveryRule
from winchspan.dead_letters.records import ExecutionEvidence
from winchspan.dead_letters.store import STORE_FILE_NAME
from winchspan.dead_letters.store_eviction import StoreBounds
from winchspan.runtime.clock import Clock

BYTES_PER_MEGABYTE = 1e6
MS_PER_SECOND = 1_000.0
ANY_HOURS = (0.0, 24.0)


def archiver_settings(values: Mapping[str, Any]) -> ArchiverSettings:
    """Return the settings of the section `undelivered`."""
    bounds = StoreBounds(
        file_bytes=int(values["megabytes"] * BYTES_PER_MEGABYTE),
        message_count=values["count"],
        retention_days=values["days"],
        audit_entry_count=values["trail"],
    )
    return ArchiverSettings(
        path=Path(values["folder"]) / STORE_FILE_NAME,
        bounds=bounds,
        is_durable=values["durable"],
        archives_failed=values["failed"],
        archives_returned=values["returned"],
    )


def redelivery_rules(sections: Mapping[str, Mapping[str, Any]]) -> list[RedeliveryRule]:
    """Return the rules of the sections `resend`, in the order of the file."""
    return [_redelivery_rule(name, values) for name, values in sections.items()]


def _redelivery_rule(name: str, values: Mapping[str, Any]) -> RedeliveryRule:
    return RedeliveryRule(
        name=name,
        class_names=tuple(values["classes"]),
        destinations=tuple(values["dests"]),
        final_states=tuple(values["ends"]),
        reasons=tuple(values["reasons"]),
        evidence=tuple(ExecutionEvidence(word) for word in values["ran"]),
        min_age_ms=values["after"] * MS_PER_SECOND,
        max_age_ms=values["before"] * MS_PER_SECOND,
        rate=values["rate"],
        hours_utc=tuple(values["hours"]) or ANY_HOURS,
        max_redeliveries=values["most"],
        backoff_ms=values["backoff"] * MS_PER_SECOND,
        needs_approval=values["approve"],
    )


def create_archiver(
    values: Mapping[str, Any],
    settings: api.Settings,
    clock: Clock,
    call_soon: Callable[[Callable[[], None]], object],
) -> DeadLetterArchiver:
    """Return the archiver that the section `undelivered` configures."""
    return DeadLetterArchiver(archiver_settings(values), settings, clock, call_soon)
