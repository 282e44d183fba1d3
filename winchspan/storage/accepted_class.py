"""The message class that a journal entry was accepted under, whatever the class of its name says since."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from loguru import logger

from winchspan import api
from winchspan.config.json_fields import FieldError
from winchspan.config.settings import message_class_from_json
from winchspan.storage.journal_records import JournalEntry

ClassTables = Mapping[int, Sequence[Mapping[str, Any]]]
"""The journal's tables of message classes by number, as JSON."""


def accepted_class(class_tables: ClassTables, entry: JournalEntry) -> api.MessageClass | None:
    """Return the class that an entry was accepted under; None if the journal does not tell."""
    for row in class_tables.get(entry.class_table, ()):
        if row.get("name") != entry.class_name:
            continue
        try:
            return message_class_from_json(row)
        except FieldError as err:
            logger.error("journal: class table {}: {}", entry.class_table, err)
            return None
    return None
