"""Rehearsals in virtual time: real delivery engines, fake partners and fake clients in one process.

All share one manual clock and one timer queue, so that the same scenario and seed give the same run. A
network of fixed latency replaces the sockets. All other code is the courier's own, with its journal on disk.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Final

from winchspan import api
from winchspan.dead_letters.archiver import ArchiverSettings
from winchspan.dead_letters.policy import RedeliveryPolicy
from winchspan.dead_letters.redelivery import RedeliveryPorts, RedeliveryWorker
from winchspan.dead_letters.store import STORE_FILE_NAME
from winchspan.dead_letters.store_eviction import StoreBounds
from winchspan.delivery.engine import DeliveryEngine
from winchspan.delivery.errors import BadRequestError, RejectedError
from winchspan.delivery.messages import AttemptResult, OutgoingMessage, SubmittedMessage
from winchspan.delivery.ports import EnginePorts
from winchspan.fakes.audit import Result, evaluate_run
from winchspan.fakes.clients import Clients, Message, Workload
from winchspan.fakes.inline_archiver import InlineArchiver
from winchspan.fakes.partner import Partner, Reply
from winchspan.fakes.platform import ENDPOINT_KIND, SECOND_NS, platform
from winchspan.fakes.scenario import DRAIN_TIMEOUT_MS, RESTART_DELAY_MS, LoadBalancer, Scenario
from winchspan.overload.governor import OverloadGovernor
from winchspan.runtime.clock import ManualClock, ms_to_ns
from winchspan.runtime.sketches import CountMinSketch, RecentKeyFilter
from winchspan.runtime.timers import Timer, TimerQueue
from winchspan.storage.journal import Journal

LATENCY_MS: Final = 1.0  # one-way latency of the network
CLIENT_TIMEOUT_MS: Final = 400.0  # of a client's wait for a courier's answer
JOURNAL_QUOTA_BYTES: Final = 3_000_000
RECENT_KEY_COUNT: Final = 20_000  # capacity of the filter that detects retries by their idempotency key
RECENT_KEY_NS: Final = 30 * SECOND_NS  # retention of a key in this filter
ENDPOINT_NUMBERS_PER_PARTNER: Final = 100


class _IncarnationTimers(TimerQueue):
    """The timers of one incarnation of a courier; they do not fire after it is killed."""

    def __init__(self, timers: TimerQueue, clock: ManualClock) -> None:
        super().__init__(clock)
        self._timers = timers
        self.is_alive = True

    def call_at(self, deadline_ms: float, callback: Callable[[], None]) -> Timer:
        """Call `callback` at a time, unless the incarnation is killed before."""

        def call_if_alive() -> None:
            if self.is_alive:
                callback()

        return self._timers.call_at(deadline_ms, call_if_alive)

    def call_soon(self, callback: Callable[[], None]) -> Timer:
        """Call `callback` at the present time, after the callbacks that are already due."""
        return self.call_at(self._clock.now(), callback)


class _PartnerCall:
    """A call to a partner over a network of fixed latency; it is written completely at its start."""

    def __init__(
        self,
        rehearsal: InProcessRehearsal,
        timers: _IncarnationTimers,
        messages: list[OutgoingMessage],
        report: Callable[[list[AttemptResult]], None],
    ) -> None:
        self._rehearsal = rehearsal
        self._timers = timers
        self._messages = messages
        self._report = report
        self._is_over = False
        self._timeout: Timer | None = None
        self._cancel_partner_call: Callable[[], None] = lambda: None

    def start(self, partner: Partner, until: float) -> None:
        """Send the call, and wait for its answer until `until`, in ms of the run's clock."""
        self._timeout = self._timers.call_at(until, self._expire)
        self._rehearsal.timers.call_later(LATENCY_MS, partial(self._arrive, partner))

    def _arrive(self, partner: Partner) -> None:
        if not self._is_over:
            self._cancel_partner_call = partner.receive_call(self._send_reply)

    def _send_reply(self, reply: Reply, wait_ms: float) -> None:
        if reply is Reply.OK:
            for message in self._messages:
                self._rehearsal.clients.executed(message.idempotency_key)
        self._rehearsal.timers.call_later(LATENCY_MS, partial(self._receive_reply, reply, wait_ms))

    def _receive_reply(self, reply: Reply, wait_ms: float) -> None:
        if self._is_over or not self._timers.is_alive:
            return
        if reply is Reply.OK:
            for message in self._messages:
                self._rehearsal.clients.delivered(message.id)
            self._end(AttemptResult(api.Outcome.DELIVERED, is_final=True))
        elif reply is Reply.FULL:
            self._end(AttemptResult(api.Outcome.FULL, retry_after_ms=wait_ms))
        else:
            self._end(AttemptResult(api.Outcome.CONNECT_FAILED))

    def _expire(self) -> None:
        self._cancel_partner_call()
        self._end(AttemptResult(api.Outcome.TIMEOUT))

    def _end(self, result: AttemptResult) -> None:
        if self._is_over:
            return
        self._is_over = True
        if self._timeout is not None:
            self._timeout.cancel()
        if self._timers.is_alive:
            self._report([result] * len(self._messages))

    def accept_held_response(self) -> None:
        """Do nothing: no response is held."""

    def drop_unwanted_messages(self) -> None:
        """Drop nothing: the whole call has been written."""

    def cancel(self) -> None:
        """Cancel the call; its end is reported later, as the courier's transport does."""
        self._cancel_partner_call()
        self._timers.call_soon(lambda: self._end(AttemptResult(api.Outcome.CANCELLED)))


class _Transport:
    """An `AttemptTransport` that passes the attempts of one incarnation to the partners."""

    def __init__(self, rehearsal: InProcessRehearsal, timers: _IncarnationTimers) -> None:
        self._rehearsal = rehearsal
        self._timers = timers

    def start(  # noqa: PLR0913 - the signature of `AttemptTransport.start`
        self,
        endpoint: int,
        parcels: list[OutgoingMessage],
        until: float,
        begin_by: float | None,
        done: Callable[[list[AttemptResult]], None],
        wanted: Callable[[str], bool],
    ) -> _PartnerCall:
        """Start a call."""
        call = _PartnerCall(self._rehearsal, self._timers, parcels, done)
        call.start(self._rehearsal.partner_of(endpoint), until)
        return call

    def recall(self, endpoint: int) -> None:
        """Recall nothing: calls are written at their start."""

    def close_idle(self, endpoint: int) -> None:
        """Close nothing: there are no connections."""

    def serves(self, dest: int) -> bool:
        """Return whether the run has a partner with this number."""
        return dest in self._rehearsal.partners

    def describe(self, endpoint: int) -> tuple[str, str, int]:
        """Return an endpoint's name, its zone, and the maximum number of messages per call."""
        return f"s-{endpoint}", "", 1


class _Notifier:
    """A `Notifier` that passes the notifications of one incarnation to the clients."""

    def __init__(self, rehearsal: InProcessRehearsal, timers: _IncarnationTimers) -> None:
        self._rehearsal = rehearsal
        self._timers = timers

    def notify(
        self, message: str, state: str, after_ms: int, on_acknowledged: Callable[[], None], reason: str = ""
    ) -> None:
        """Send a notification and its acknowledgement, each with the network's latency."""

        def arrive() -> None:
            self._rehearsal.clients.notified(message, state, float(after_ms))
            self._timers.call_later(LATENCY_MS, on_acknowledged)

        self._timers.call_later(LATENCY_MS, arrive)


class _CourierNode:
    """A courier in virtual time; each incarnation has its own engine, journal and timers."""

    def __init__(self, rehearsal: InProcessRehearsal, number: int) -> None:
        self._rehearsal = rehearsal
        self._number = number
        self._directory = rehearsal.directory / f"n{number}"
        self._directory.mkdir(exist_ok=True)
        self._incarnation_count = 0
        self.engine: DeliveryEngine | None = None
        self.governor: OverloadGovernor | None = None
        self._archiver: InlineArchiver | None = None
        self.start()

    def start(self) -> None:
        """Start an incarnation on the data directory of the previous one."""
        rehearsal = self._rehearsal
        scenario = rehearsal.scenario
        settings = replace(
            platform(scenario.couriers, self._number, **scenario.changes),
            can_recall=True,
            notifications_are_acknowledged=True,
        )
        self._timers = _IncarnationTimers(rehearsal.timers, rehearsal.clock)
        self._journal = Journal(self._directory, JOURNAL_QUOTA_BYTES)
        self._incarnation_count += 1
        seed = self._number * 1_000 + self._incarnation_count
        self.governor = self._create_governor(settings, seed)
        self._archiver = self._create_archiver(settings, seed)
        engine = DeliveryEngine(settings, seed, self._create_ports())
        self.engine = engine
        engine.update_endpoints(rehearsal.endpoint_list(api.UpdateScope.STALE))
        engine.recover()
        engine.update_endpoints(rehearsal.endpoint_list(api.UpdateScope.SNAPSHOT))
        if self._archiver is not None and scenario.redelivery_rules is not None:
            RedeliveryWorker(
                RedeliveryPorts(rehearsal.clock, self._timers, self._archiver, engine),
                RedeliveryPolicy(scenario.redelivery_rules, settings.classes),
            ).start()

    def _create_governor(self, settings: api.Settings, seed: int) -> OverloadGovernor | None:
        overload_settings = self._rehearsal.scenario.overload
        if overload_settings is None:
            return None
        now_ns = ms_to_ns(self._rehearsal.clock.now())
        recent_keys = RecentKeyFilter(now_ns, RECENT_KEY_COUNT, RECENT_KEY_NS)
        return OverloadGovernor(
            settings, replace(overload_settings, seed=seed), recent_keys, CountMinSketch()
        )

    def _create_archiver(self, settings: api.Settings, seed: int) -> InlineArchiver | None:
        if self._rehearsal.scenario.redelivery_rules is None:
            return None
        return InlineArchiver(
            self._timers.call_later,
            random.Random(seed),
            ArchiverSettings(self._directory / STORE_FILE_NAME, StoreBounds()),
            settings,
            self._rehearsal.clock,
        )

    def _create_ports(self) -> EnginePorts:
        return EnginePorts(
            self._rehearsal.clock,
            self._timers,
            self._journal,
            _Transport(self._rehearsal, self._timers),
            _Notifier(self._rehearsal, self._timers),
            self._timers.call_soon,
            self.governor,
            self._archiver,
        )

    def kill(self) -> None:
        """Kill the incarnation with its calls; the next one starts 600 ms later."""
        self._timers.is_alive = False
        self.engine = None
        self._journal.close_without_flush()
        if self._archiver is not None:
            self._archiver.stop()
        self._rehearsal.timers.call_later(RESTART_DELAY_MS, self.start)

    def submit(self, message: Message, is_retry: bool) -> None:
        """Receive a submission of a client."""
        timers = self._rehearsal.timers
        clients = self._rehearsal.clients
        if self.engine is None:  # the load balancer has not detected the failure yet
            timers.call_later(CLIENT_TIMEOUT_MS, partial(clients.rejected, message.id, 0.0))
            return
        try:
            self.engine.accept(
                SubmittedMessage(
                    message.id,
                    message.stream.cls,
                    message.key or None,
                    message.stream.destination,
                    message.deadline - self._rehearsal.clock.now(),
                    message.idempotency_key,
                    b"x",
                    is_retry,
                )
            )
        except RejectedError as err:
            timers.call_later(LATENCY_MS, partial(clients.rejected, message.id, err.retry_after_ms))
        except BadRequestError as err:
            raise AssertionError(f"the fake client submitted an invalid message: {err}") from err
        else:
            timers.call_later(LATENCY_MS, partial(clients.accepted, message.id))


class InProcessRehearsal:
    """Runs a scenario in virtual time.

    Attributes:
        clients: clients with the state of each message.
        partners: partners by their numbers.
        nodes: couriers by their numbers.
    """

    def __init__(self, scenario: Scenario, seed: int, directory: Path) -> None:
        """Prepare a run.

        Args:
            scenario: the scenario to run.
            seed: of all random numbers.
            directory: holds the data directories of the couriers.
        """
        self.scenario = scenario
        self.directory = directory
        self.clock = ManualClock()
        self.timers = TimerQueue(self.clock)
        self._started_at_ms = self.clock.now()
        self.partners = {
            settings.number: Partner(settings, self.clock, self.timers) for settings in scenario.partners
        }
        self._endpoint_generations = dict.fromkeys(self.partners, 0)
        classes = platform(scenario.couriers, **scenario.changes).classes
        self.clients = Clients(Workload(classes, scenario.streams, seed), self.clock, self.timers)
        self.clients.submit = self._submit
        self._load_balancer = LoadBalancer(scenario, seed)
        self.nodes = [_CourierNode(self, number) for number in range(scenario.couriers)]
        for time_ms, number in scenario.restarts:
            self.timers.call_later(time_ms, self.nodes[number].kill)
        for time_ms, number in scenario.endpoint_replacements:
            self.timers.call_later(time_ms, partial(self._replace_endpoints, number))

    def partner_of(self, endpoint: int) -> Partner:
        """Return the partner that an endpoint belongs to."""
        return self.partners[endpoint // ENDPOINT_NUMBERS_PER_PARTNER]

    def endpoint_list(self, scope: api.UpdateScope) -> api.EndpointsUpdated:
        """Return the endpoint list, with one endpoint per partner."""
        entries = tuple(
            api.EndpointEntry(
                number * ENDPOINT_NUMBERS_PER_PARTNER + self._endpoint_generations[number],
                number,
                kind=ENDPOINT_KIND,
                rating=partner.settings.listed,
            )
            for number, partner in self.partners.items()
        )
        return api.EndpointsUpdated(scope, entries)

    def _replace_endpoints(self, partner_number: int) -> None:
        self._endpoint_generations[partner_number] += 1
        for node in self.nodes:
            if node.engine is not None:
                node.engine.update_endpoints(self.endpoint_list(api.UpdateScope.SNAPSHOT))

    def _submit(self, message: Message, is_retry: bool) -> None:
        self.nodes[self._load_balancer.choose_courier(message)].submit(message, is_retry)

    def run(self) -> Result:
        """Run the scenario, and then up to `DRAIN_TIMEOUT_MS` longer for attempts in flight."""
        end = self._started_at_ms + self.scenario.duration_ms + DRAIN_TIMEOUT_MS
        while (deadline := self.timers.next_deadline_ms()) is not None and deadline <= end:
            self.clock.advance(max(0.0, deadline - self.clock.now()))
            self.timers.run_due()
        audited_partner = next(iter(self.partners.values()))
        return evaluate_run(
            audited_partner,
            self.clients,
            self._started_at_ms,
            self._started_at_ms + self.scenario.duration_ms,
        )
