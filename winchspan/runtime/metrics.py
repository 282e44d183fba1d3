"""Counters of one process, and their text format."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Final

OUTCOMES: Final = ("answered", "deferred", "errored")
"""Outcomes of completed messages, as used in metric names."""


class Metrics:
    """Counts completed messages, messages sent to endpoints, and configurations loaded.

    Attributes:
        completed_counts: completed messages by outcome, then by message class.
        sent_count: number of messages that were written completely to endpoints.
        config_loaded_count: number of configurations that were applied.
        config_invalid_count: number of configurations that were rejected.
    """

    def __init__(self, classes: Iterable[str] = ()) -> None:
        self.completed_counts: dict[str, dict[str, int]] = {outcome: {} for outcome in OUTCOMES}
        self.sent_count = 0
        self.config_loaded_count = 0
        self.config_invalid_count = 0
        self.register_classes(classes)

    def register_classes(self, classes: Iterable[str]) -> None:
        """Report these message classes from now on, even with a count of 0; earlier classes remain."""
        names = tuple(classes)
        for counts in self.completed_counts.values():
            for name in names:
                counts.setdefault(name, 0)

    def count_completed(self, outcome: str, class_name: str) -> None:
        """Count one completed message of a class; `outcome` is one of `OUTCOMES`."""
        counts = self.completed_counts[outcome]
        counts[class_name] = counts.get(class_name, 0) + 1

    def count_sent(self, message_count: int) -> None:
        """Count the messages of a call that was written completely to an endpoint."""
        self.sent_count += message_count

    def render(self, prefix: str, gauges: Mapping[str, int]) -> str:
        """Return all metrics, one per line.

        Args:
            prefix: prefix of each metric's name.
            gauges: current values by name.

        Returns:
            `PREFIX.NAME:VALUE|c` for each counter, then `PREFIX.NAME:VALUE|g` for each gauge.
        """
        lines = [f"{prefix}.{name}:{value}|c" for name, value in self._counters().items()]
        lines += [f"{prefix}.{name}:{value}|g" for name, value in gauges.items()]
        return "\n".join(lines) + "\n"

    def _counters(self) -> dict[str, int]:
        """Return the counters by metric name; these names are an interface and never change."""
        counters = {
            f"{outcome}.{class_name}": count
            for outcome, counts in self.completed_counts.items()
            for class_name, count in counts.items()
        }
        counters["sends"] = self.sent_count
        counters["conf_loaded"] = self.config_loaded_count
        counters["conf_invalid"] = self.config_invalid_count
        return counters
