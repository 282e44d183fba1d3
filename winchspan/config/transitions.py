"""The message classes in force while settings change, as clients use the old ones for a while. Does no I/O.

The platform's clients name new classes some time after SIGHUP. Until then a changed class applies with the
stricter rules of both versions, and a removed class is still accepted.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from typing import Final

from winchspan.api import Effect, MessageClass, Settings

CLASS_TRANSITION_MS: Final = 1_500.0
"""How long both apply: by the platform's documentation, clients name the new classes 1.2 s after SIGHUP."""

_STRICTNESS: Final = {Effect.REPEATABLE: 0, Effect.KEYED: 1, Effect.ONCE: 2}


def with_attempt_limits(settings: Settings) -> Settings:
    """Return the settings with the attempt limit copied to each class, so that held messages keep it."""
    classes = {
        name: replace(cls, max_attempts=cls.max_attempts or settings.max_attempts)
        for name, cls in settings.classes.items()
    }
    return replace(settings, classes=classes)


def stricter(old: MessageClass, new: MessageClass) -> MessageClass:
    """Return a class that complies with the rules of both."""
    return replace(
        new,
        effect=max(old.effect, new.effect, key=_STRICTNESS.__getitem__),
        max_attempts=min(old.max_attempts, new.max_attempts),
        deadline_ns=min(old.deadline_ns, new.deadline_ns),
        dedup_ns=min(old.dedup_ns, new.dedup_ns),
        ordered=old.ordered or new.ordered,
        dedup_per_zone=old.dedup_per_zone or new.dedup_per_zone,
    )


def transitional_classes(
    old: Mapping[str, MessageClass], new: Mapping[str, MessageClass]
) -> dict[str, MessageClass]:
    """Return the classes in force while clients may use either of two settings."""
    classes = dict(old)
    for name, cls in new.items():
        classes[name] = stricter(old[name], cls) if name in old else cls
    return classes
