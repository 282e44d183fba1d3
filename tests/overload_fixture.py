"""A governor with a clock, for tests of the overload control."""

from __future__ import annotations

from dataclasses import replace

from winchspan import api
from winchspan.api import Outcome
from winchspan.overload.governor import OverloadGovernor
from winchspan.overload.outage_tracker import DestinationState
from winchspan.overload.settings import NS_PER_SECOND, OverloadSettings
from winchspan.runtime.sketches import CountMinSketch, RecentKeyFilter

from .helpers import CLASSES, MS, settings

NOW = 1_000 * NS_PER_SECOND
ORDERED = replace(CLASSES["keyed"], ordered=True)


class GovernorFixture:
    """A governor with a clock, and helpers that submit messages and begin outages."""

    def __init__(self, rate: float = 10.0, **overload_settings: object) -> None:
        self.settings = settings(max_held=100, senders=2, me=0, max_retry_after_ns=2 * NS_PER_SECOND)
        self.overload_settings = replace(OverloadSettings(), **overload_settings)  # type: ignore[arg-type]
        self.governor = OverloadGovernor(
            self.settings,
            self.overload_settings,
            RecentKeyFilter(0, 10_000, 30 * NS_PER_SECOND),
            CountMinSketch(),
        )
        self.governor.rate_listed(NOW, 1, rate)
        self.now = NOW
        self.message_count = 0

    def submit(
        self,
        token: str = "",
        repeat: bool = False,
        key: int | None = None,
        left: int = 20,
        dest: int = 1,
        again: bool = False,
    ) -> api.Rejection | None:
        self.message_count += 1
        cls = ORDERED if token else CLASSES["safe"]
        request = api.AdmissionRequest(
            f"m{self.message_count}", cls, dest, left * NS_PER_SECOND, key, token, repeat, again
        )
        rejection = self.governor.admit(self.now, request)
        if rejection is None:
            self.governor.message_arrived(
                self.now, api.MessageArrived(request.message, cls.name, dest, request.remaining_ns), cls
            )
        return rejection

    def begin_outage(self, dest: int = 1) -> None:
        self.submit(dest=dest)
        for _ in range(3):
            self.now += 600 * MS
            self.governor.call_ended(self.now, dest, Outcome.TIMEOUT, 500 * MS, 0)

    def state(self, dest: int = 1) -> DestinationState:
        return next(
            destination for destination in self.governor.destinations if destination.id == dest
        ).tracker.state
