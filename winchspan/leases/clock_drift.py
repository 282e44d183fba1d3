"""Detection of clocks that drift more than leases allow for, from clock readings that other nodes report.

Leases are safe while the drift of all clocks is within the stated bound (winchspan/leases/manager.py). A node
cannot verify its own clock alone, but a comparison of several clocks shows one that exceeds the bound. Each
node reports its clock reading periodically. Only the least delayed report of each window of several seconds
counts (Cristian 1989). The drift rate against the local clock is the median of the slopes over all pairs of
these reports (Theil 1950, Sen 1968), so that delayed reports that arrive together have no effect. The median
of the rates of all nodes, including the local rate of 0, is used as true time.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import combinations
from typing import Final, NamedTuple

WINDOW_MS: Final = 5_000.0  # window of which only the least delayed report counts
MAX_WINDOWS: Final = 8  # number of windows stored per process
MIN_WINDOWS: Final = 5  # number of windows needed to estimate a drift rate
ALARM_FACTOR: Final = 1.5  # alarm threshold, in stated drifts; the excess over 1 may be local drift
CLEAR_FACTOR: Final = 1.25  # threshold in stated drifts below which an alarm is cleared
MAX_PROCESSES: Final = 500  # number of processes tracked
MIN_CLOCKS: Final = 3  # with two clocks, it is undecidable which one drifts


class ClockOffset(NamedTuple):
    """A local clock reading, and the difference of a remote reading from it, ms."""

    local_ms: float
    offset_ms: float


def _median(values: Iterable[float]) -> float:
    """Return the median; an import of `statistics` would slow down the start of each courier."""
    ranked = sorted(values)
    return (ranked[len(ranked) // 2] + ranked[(len(ranked) - 1) // 2]) / 2.0


class ClockDriftMonitor:
    """Estimates the drift rates of the other nodes' clocks against the local clock."""

    def __init__(self) -> None:
        self._offsets: dict[tuple[str, int], list[ClockOffset]] = {}  # by node name and process nonce

    def record_reading(self, now: float, name: str, process_nonce: int, reading_ms: float) -> None:
        """Record a clock reading that a node's process reports.

        Args:
            now: local clock reading, ms.
            name: name of the node.
            process_nonce: nonce of its process; after a reboot a new process may use another clock.
            reading_ms: reported clock reading.
        """
        key = (name, process_nonce)
        observed = ClockOffset(now, reading_ms - now)
        offsets = self._offsets.get(key)
        if offsets is None:
            offsets = self._track_process(key)
        is_same_window = bool(offsets) and now // WINDOW_MS == offsets[-1].local_ms // WINDOW_MS
        if is_same_window:
            if observed.offset_ms > offsets[-1].offset_ms:
                offsets[-1] = observed
            return
        offsets.append(observed)
        del offsets[:-MAX_WINDOWS]

    def drift_rate(self, name: str) -> float | None:
        """Return the drift rate of a node's clock against the local clock, as a ratio; None if unknown."""
        offsets = next((offsets for key, offsets in self._offsets.items() if key[0] == name), [])
        if len(offsets) < MIN_WINDOWS:
            return None
        return _median(
            (later.offset_ms - earlier.offset_ms) / (later.local_ms - earlier.local_ms)
            for earlier, later in combinations(offsets, 2)
        )

    def find_drifting_clocks(
        self, local_name: str, max_drift: float, previously_drifting: Iterable[str] = ()
    ) -> dict[str, float]:
        """Return the drift rates of the clocks that certainly exceed the bound, as ratios by node name.

        Args:
            local_name: name of this node, which the result may include.
            max_drift: stated bound on the drift, as a ratio.
            previously_drifting: nodes of the previous result, which are cleared at a lower threshold.
        """
        rates = {local_name: 0.0}
        for name, _ in self._offsets:
            rate = self.drift_rate(name)
            if rate is not None and name != local_name:
                rates[name] = rate
        if len(rates) < MIN_CLOCKS:
            return {}
        true_rate = _median(rates.values())
        previous = set(previously_drifting)
        drifting = {}
        for name, rate in sorted(rates.items()):
            factor = CLEAR_FACTOR if name in previous else ALARM_FACTOR
            if abs(rate - true_rate) > factor * max_drift:
                drifting[name] = rate - true_rate
        return drifting

    def _track_process(self, key: tuple[str, int]) -> list[ClockOffset]:
        """Start to track a process instead of previous processes of the same node."""
        for previous in [other for other in self._offsets if other[0] == key[0]]:
            del self._offsets[previous]
        if len(self._offsets) >= MAX_PROCESSES:
            del self._offsets[next(iter(self._offsets))]
        offsets: list[ClockOffset] = []
        self._offsets[key] = offsets
        return offsets
