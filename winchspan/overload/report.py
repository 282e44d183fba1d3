"""Reports of the overload control: a log line for each state transition, and a metrics file on request."""

from __future__ import annotations

import importlib
import os
from pathlib import Path
from typing import Final

from loguru import logger

from winchspan.overload.governor import OverloadGovernor
from winchspan.overload.tracked_destination import StateTransition
from winchspan.runtime.clock import ns_to_ms
from winchspan.runtime.timers import TimerQueue

POLL_INTERVAL_MS: Final = 250.0  # between two checks for new transitions


class OverloadReport:
    """Logs the governor's transitions, and writes its metrics as Prometheus text."""

    def __init__(self, governor: OverloadGovernor, timers: TimerQueue, path: Path | None) -> None:
        """Create a report.

        Args:
            governor: the governor to report on.
            timers: the courier's timers.
            path: the metrics file; None: no metrics are written.
        """
        self._governor = governor
        self._timers = timers
        self._path = path
        if path is not None:  # loads 12 MB now, rather than during a storm
            importlib.import_module("winchspan.overload.prometheus_metrics")

    def set_governor(self, governor: OverloadGovernor) -> None:
        """Report on another governor."""
        self._governor = governor

    def start(self) -> None:
        """Start to log transitions periodically."""
        self._log_transitions()

    def _log_transitions(self) -> None:
        while self._governor.transitions:
            _log_transition(self._governor.transitions.popleft())
        self._timers.call_later(POLL_INTERVAL_MS, self._log_transitions)

    def write_metrics(self) -> None:
        """Replace the metrics file atomically; log an error if that fails."""
        if self._path is None:
            return
        try:
            new_file = self._path.with_name(self._path.name + ".new")
            new_file.write_bytes(self.metrics_text())
            os.replace(new_file, self._path)
        except OSError as err:
            logger.error("cannot write the overload metrics to {}: {}", self._path, err)

    def metrics_text(self) -> bytes:
        """Return the metrics in Prometheus' text format."""
        from winchspan.overload.prometheus_metrics import metrics_text  # on demand: it takes 12 MB

        return metrics_text(self._governor)


def _log_transition(transition: StateTransition) -> None:
    logger.bind(
        event="storm",
        destination=transition.destination,
        before=transition.before.value,
        state=transition.state.value,
        share=round(transition.retry_share, 3),
        level=round(transition.level, 3),
        held=transition.held_count,
        falls=transition.consecutive_outages,
        at_ms=ns_to_ms(transition.at_ns),
    ).info(
        "storm: destination {}: {} after {}, {:.0%} repeats, level {:.0%}, {} held, falls {}",
        transition.destination,
        transition.state.value,
        transition.before.value,
        transition.retry_share,
        transition.level,
        transition.held_count,
        transition.consecutive_outages,
    )
