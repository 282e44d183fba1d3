"""The metrics of the overload control in Prometheus' text format.

`prometheus_client` loads an HTTP server and TLS, which take 12 MB. Import this module only where it is used,
so that a courier without a metrics file does not need that memory.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from winchspan.overload.governor import OverloadGovernor
from winchspan.overload.tracked_destination import TrackedDestination

# Descriptions of the gauges of a destination, by name without the prefix `winchspan_storm_`.
_GAUGES: Final[Mapping[str, str]] = {
    "trouble": "1 while the destination is not calm",
    "level": "share of the courier's part of the rate that may be used",
    "trust": "share of the listed rate that refusals leave believable",
    "held": "messages held",
    "falls": "outages in a row",
}


def metrics_text(governor: OverloadGovernor) -> bytes:
    """Return all counters and gauges."""
    registry = CollectorRegistry()
    registry.register(_GovernorCollector(governor))
    return generate_latest(registry)


class _GovernorCollector(Collector):
    """Collects the metrics from the governor."""

    def __init__(self, governor: OverloadGovernor) -> None:
        self._governor = governor

    def collect(self) -> list[Metric]:
        """Return all metric families, with samples for each destination."""
        events = CounterMetricFamily(
            "winchspan_storm_events",
            "What the governor let in, turned away and sent, by destination",
            labels=["destination", "event"],
        )
        gauges = {
            name: GaugeMetricFamily(f"winchspan_storm_{name}", description, labels=["destination"])
            for name, description in _GAUGES.items()
        }
        for destination in self._governor.destinations:
            label = str(destination.id)
            for event, count in sorted(destination.counts.items()):
                events.add_metric([label, str(event)], count)
            for name, value in _gauge_values(destination).items():
                gauges[name].add_metric([label], value)
        untracked = CounterMetricFamily(
            "winchspan_storm_untracked_messages", "Messages for destinations beyond the bound"
        )
        untracked.add_metric([], self._governor.untracked_count)
        return [events, *gauges.values(), untracked]


def _gauge_values(destination: TrackedDestination) -> dict[str, float]:
    """Return the gauges; the level is the last regained one, since a report must not change the state."""
    return {
        "trouble": float(destination.tracker.is_degraded),
        "level": destination.tracker.regained_level,
        "trust": destination.rate.trust,
        "held": float(len(destination.held)),
        "falls": float(destination.tracker.consecutive_outages),
    }
