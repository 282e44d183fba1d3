"""A fake partner with a capacity, a queue, a listed rate, outages, a slow start, and collapse under overload.

The model does no I/O. A clock and timers drive it, and a transport passes calls to `Partner.receive_call`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import Enum
from functools import partial
from typing import Final

from winchspan.runtime.clock import Clock
from winchspan.runtime.timers import Timer, TimerQueue

SECOND_MS: Final = 1_000.0
LONG_AGO_MS: Final = 1e12  # age of the last outage at the start of a run: the partner is warm


class OutageMode(Enum):
    """How a partner handles calls during an outage."""

    SILENT = "silent"  # accepts them and never answers
    REFUSING = "refusing"  # answers 503 at once
    HANGING = "hanging"  # accepts them and answers them all when the outage ends
    DOWN = "down"  # refuses connections


class Reply(Enum):
    """How a partner answers a call."""

    OK = "ok"
    FULL = "full"
    DOWN = "down"  # the connection fails


ReplyCallback = Callable[[Reply, float], None]
"""Receives the reply, and the wait in ms that it names (0: no wait)."""


@dataclass(frozen=True, slots=True)
class Outage:
    """An outage: its begin and end in ms from the start of the run, and its kind."""

    begin: float
    end: float
    mode: OutageMode = OutageMode.SILENT


@dataclass(frozen=True, slots=True)
class PartnerSettings:
    """Parameters of a partner; times in ms, rates in calls per second.

    The field names are part of the addresses under which the results of experiments are stored.
    """

    number: int = 7
    listed: float = 20.0  # rate in the endpoint list
    actual: float = 0.0  # rate that the partner accepts; 0: the listed rate. Calls above it are answered 429
    capacity: float = 24.0  # completed calls per second when warm
    service: float = 200.0  # duration of a call when warm
    queue: int = 24  # maximum number of calls that wait for a worker; further ones are answered 503
    outages: tuple[Outage, ...] = ()
    cold: float = 14_000.0  # duration of its slow start
    start: float = 1 / 3  # share of the capacity at the start of the slow start
    fall_multiple: float = 2.0  # load at which it collapses, as a multiple of its present capacity
    tip_after: float = 2_000.0  # duration of that load until the collapse
    fall_for: float = 15_000.0  # duration of the outage after a collapse
    tells_wait: bool = False  # whether a 429 names the time until the oldest call leaves the rate's window


@dataclass(slots=True)
class _Call:
    """A call in the partner's queue or in progress."""

    on_reply: ReplyCallback
    completion: Timer | None = None


@dataclass(slots=True)
class PartnerObservations:
    """Times of events at a partner, for audits, by the run's clock."""

    call_times_ms: list[float] = field(default_factory=list)
    rejection_times_ms: list[float] = field(default_factory=list)
    collapse_times_ms: list[float] = field(default_factory=list)
    recovery_times_ms: list[float] = field(default_factory=list)


class Partner:
    """A partner, which answers each call at most once, and possibly later; a silent one never answers.

    Attributes:
        settings: its parameters.
        observations: times of events, for audits.
        copies_responses: whether its endpoints send a second copy of each response.
        asks_to_wait_in_batches: whether its endpoints answer the messages of a call one by one where they
            reject them all, and ask for a wait in some responses that deliver all messages of a call.
    """

    def __init__(self, settings: PartnerSettings, clock: Clock, timers: TimerQueue) -> None:
        self.settings = settings
        self.observations = PartnerObservations()
        self.copies_responses = False
        self.asks_to_wait_in_batches = False
        self._clock = clock
        self._timers = timers
        self._outage_mode: OutageMode | None = None
        self._last_return_at = -LONG_AGO_MS
        self._queue: deque[_Call] = deque()
        self._running: list[_Call] = []
        self._hanging: list[_Call] = []  # calls that are answered at the end of the outage
        self._recent_accepted: deque[float] = deque()  # times of accepted calls within the last second
        self._recent_received: deque[float] = deque()  # times of all calls within the last `tip_after` ms
        self._outage_end: Timer | None = None
        self.schedule_outages(settings.outages)

    def schedule_outages(self, outages: tuple[Outage, ...]) -> None:
        """Schedule outages, whose times are relative to now."""
        self.settings = replace(self.settings, outages=outages)
        start = self._clock.now()
        for outage in outages:
            begin_outage = partial(self._begin_outage, outage.mode, outage.end - outage.begin)
            self._timers.call_at(start + outage.begin, begin_outage)

    @property
    def outage_mode(self) -> OutageMode | None:
        """Kind of the present outage; None without an outage."""
        return self._outage_mode

    def capacity_ratio(self) -> float:
        """Return the present share of the full capacity: less than 1 during the slow start."""
        warm_up_ratio = (self._clock.now() - self._last_return_at) / self.settings.cold
        return min(1.0, self.settings.start + (1.0 - self.settings.start) * warm_up_ratio)

    def receive_call(self, on_reply: ReplyCallback) -> Callable[[], None]:
        """Receive a call.

        Args:
            on_reply: is called with the reply, possibly before this method returns.

        Returns:
            A function that cancels the call if it still waits for a worker.
        """
        now = self._clock.now()
        call = _Call(on_reply)
        if self._outage_mode is OutageMode.DOWN:
            on_reply(Reply.DOWN, 0.0)
            return lambda: None
        self.observations.call_times_ms.append(now)
        self._detect_collapse(now)
        if self._outage_mode is OutageMode.REFUSING:
            self._reject(call, 0.0)
        elif self._outage_mode is OutageMode.HANGING:
            self._hanging.append(call)
        elif self._outage_mode is None:
            self._accept_or_reject(call, now)
        return partial(self._cancel, call)

    def _cancel(self, call: _Call) -> None:
        if call in self._queue:
            self._queue.remove(call)

    def _detect_collapse(self, now: float) -> None:
        """Record a call, and collapse if the load during the slow start is too high for too long."""
        settings = self.settings
        self._recent_received.append(now)
        while self._recent_received[0] <= now - settings.tip_after:
            self._recent_received.popleft()
        is_in_slow_start = now - self._last_return_at < settings.cold
        if self._outage_mode is not None or not is_in_slow_start:
            return
        limit_rate = settings.fall_multiple * self.capacity_ratio() * settings.capacity
        limit_count = limit_rate * settings.tip_after / SECOND_MS
        received_count = sum(1 for at in self._recent_received if at >= self._last_return_at)
        if received_count > limit_count + 1:
            self.observations.collapse_times_ms.append(now)
            self._begin_outage(OutageMode.SILENT, settings.fall_for)

    def _accept_or_reject(self, call: _Call, now: float) -> None:
        recent = self._recent_accepted
        while recent and recent[0] <= now - SECOND_MS:
            recent.popleft()
        rate = self.settings.actual or self.settings.listed
        # Accept one call more than the rate, which may be fractional, and since call latencies vary.
        if len(recent) >= rate + 1:
            wait_ms = recent[0] + SECOND_MS - now if self.settings.tells_wait else 0.0
            self._reject(call, wait_ms)
        elif len(self._queue) >= self.settings.queue:
            self._reject(call, 0.0)
        else:
            recent.append(now)
            self._queue.append(call)
            self._start_queued_calls()

    def _reject(self, call: _Call, wait_ms: float) -> None:
        self.observations.rejection_times_ms.append(self._clock.now())
        call.on_reply(Reply.FULL, wait_ms)

    def _start_queued_calls(self) -> None:
        """Start queued calls on free workers; calls take longer during the slow start."""
        worker_count = max(1, round(self.settings.capacity * self.settings.service / SECOND_MS))
        while self._queue and len(self._running) < worker_count:
            call = self._queue.popleft()
            self._running.append(call)
            duration_ms = self.settings.service / self.capacity_ratio()
            call.completion = self._timers.call_later(duration_ms, partial(self._complete, call))

    def _complete(self, call: _Call) -> None:
        self._running.remove(call)
        call.on_reply(Reply.OK, 0.0)
        self._start_queued_calls()

    def _begin_outage(self, mode: OutageMode, duration_ms: float) -> None:
        """Begin an outage: calls in progress are dropped, or answered at its end in mode `HANGING`."""
        for call in [*self._running, *self._queue]:
            if call.completion is not None:
                call.completion.cancel()
            if mode is OutageMode.HANGING:
                self._hanging.append(call)
        self._running = []
        self._queue = deque()
        self._outage_mode = mode
        if self._outage_end is not None:
            self._outage_end.cancel()
        self._outage_end = self._timers.call_later(duration_ms, self._end_outage)

    def _end_outage(self) -> None:
        self._outage_mode = None
        self._outage_end = None
        self._last_return_at = self._clock.now()
        self._recent_received.clear()
        self._recent_accepted.clear()
        self.observations.recovery_times_ms.append(self._last_return_at)
        hanging = self._hanging
        self._hanging = []
        for call in hanging:
            call.on_reply(Reply.OK, 0.0)
