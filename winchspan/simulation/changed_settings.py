"""Changed settings for an emulated courier, which loads them at SIGHUP: stricter classes, fewer attempts."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path
from typing import Final

from winchspan.api import Effect, MessageClass

CHANGED_ATTEMPT_LIMIT: Final = 3


def write_changed_settings(path: Path, original: bytes) -> None:
    """Write a configuration in which idempotent classes are at-most-once, with an attempt limit of three.

    Args:
        path: the configuration file.
        original: contents of the file before any change.
    """
    config = json.loads(original)
    config["settings"]["limits"]["try_limit"] = CHANGED_ATTEMPT_LIMIT
    for row in config["settings"]["request_classes"]:
        if row["idempotency"] == "repeatable":
            row["idempotency"] = "once"
    path.write_text(json.dumps(config))


def changed_classes(classes: Mapping[str, MessageClass]) -> dict[str, MessageClass]:
    """Return the classes of the configuration that `write_changed_settings` writes."""
    return {
        name: replace(message_class, effect=Effect.ONCE)
        if message_class.effect is Effect.REPEATABLE
        else message_class
        for name, message_class in classes.items()
    }
