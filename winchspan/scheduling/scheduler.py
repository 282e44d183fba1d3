"""Schedules by 2DFQ^E (Mace et al., SIGCOMM 2016, section 5): destinations are tenants, slots are threads."""

from __future__ import annotations

from bisect import insort
from collections import deque
from collections.abc import Iterable
from heapq import heappop, heappush
from itertools import count
from typing import Final

from winchspan import api
from winchspan.api import Command, Effect, EndpointStatus, Event, MessageClass, Outcome, Settings
from winchspan.runtime.smoothing import SMOOTHING
from winchspan.scheduling.endpoint_health import MIN_LOSS_RATIO, EndpointHealth
from winchspan.scheduling.slow_start import SECOND, FailureKind
from winchspan.scheduling.state import NEVER, Call, Destination, Endpoint, Message, RateLimit

ALPHA: Final = 0.99  # decay of the pessimistic cost at each completion (value of the paper)
BILLING_NS: Final = 10_000_000  # running calls are billed in whole steps of this length (value of the paper)
WINDOW_GROWTH_MULTIPLE: Final = 2  # a delivery within this multiple of the best latency widens the window
STUCK_MULTIPLE: Final = 4  # a call that takes this multiple of its overdue time is considered stuck
RESERVED_CAPACITY_DIVISOR: Final = 16  # one part in 16 of `max_held` is kept free for new messages
# Retries after a possible execution: tokens earned per delivery, and the largest number saved.
RETRY_SHARE, RETRY_BURST = 0.2, 10.0
# Cost of a call without a known outcome.
EFFECT_RISK: Final = {Effect.REPEATABLE: 0, Effect.KEYED: 1, Effect.ONCE: 2}
# Outcomes that prove that the call was not executed.
NEVER_RAN: Final = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)

_FAILURE_KINDS: Final = {
    Outcome.TIMEOUT: FailureKind.SILENT,
    Outcome.CANCELLED: FailureKind.SILENT,
    Outcome.CONNECT_FAILED: FailureKind.UNREACHABLE,
}


class Scheduler:
    """The scheduler of one sender. The same settings, seed and events produce the same commands."""

    def __init__(self, settings: Settings, seed: int, overload: api.OverloadControl | None = None) -> None:
        self.overload_control = overload or api.OverloadControl()  # the default does nothing
        self.now = self.v = 0  # `v`: the virtual time of the paper
        self.v_updated_ns: int | None = None
        self.destinations: dict[int, Destination] = {}
        self.active: dict[int, Destination] = {}  # with queued messages or calls in flight, by `order`
        self.running: dict[int, Call] = {}  # calls in flight by slot, in sending order
        self.endpoints: dict[int, Endpoint] = {}
        self.held: dict[str, Message] = {}
        self.unacknowledged: dict[str, Message] = {}  # keyed, final answer not yet acknowledged
        self.key_queues: dict[int, deque[Message]] = {}
        self.key_paused_until_ns: dict[int, int] = {}  # no first attempt of the key before then
        self.in_flight: dict[tuple[str, int], tuple[Message, Call]] = {}  # by message and attempt
        self.due: list[tuple[int, int, Message | Call | Endpoint]] = []
        self.numbers = count()
        self.timer_ns = self.wake_ns = NEVER
        self.commands: list[Command] = [api.Subscribe()] if settings.must_subscribe else []
        self.health = EndpointHealth(settings, seed, self.commands)
        self.reconfigure(settings)

    def reconfigure(self, settings: Settings) -> None:
        """Apply other settings from now on; held messages keep the class with which they were accepted."""
        self.settings = settings
        self.health.reconfigure(settings)
        self.free_slots = [slot for slot in range(settings.slots) if slot not in self.running]
        self.max_window = max(1, -(-3 * settings.slots // 4) - 1)  # less than three quarters of the slots
        self.initial_window = min(max(1, settings.slots // 2), self.max_window)

    def handle(self, now: int, events: Iterable[Event], *, may_start: bool = True) -> list[Command]:
        """Handle the events up to `now`, in order, and return the resulting commands.

        Args:
            now: the clock's reading.
            events: the events.
            may_start: whether attempts may start; what remains of the decisions goes on without them.
        """
        self.now = now
        self._advance_virtual_time()
        for event in events:
            self._handle_event(event)
        self._run_due()
        self._shed_load()
        self.wake_ns = NEVER
        if may_start:
            self._dispatch()
        wake_ns = min(self.wake_ns, self.due[0][0] if self.due else NEVER)
        if wake_ns < self.timer_ns:
            self.timer_ns = max(wake_ns, self.now + 1)
            self.commands.append(api.SetTimer(self.timer_ns - self.now, 0))
        commands = self.commands.copy()
        self.commands.clear()
        return commands

    def _handle_event(self, event: Event) -> None:
        match event:
            case api.MessageArrived():
                self.health.record_arrival(self._accept(event).destination, self.now)
            case api.AttemptCompleted():
                self._complete_attempt(event)
            case api.WaitRequested():
                self._request_wait(event)
            case api.MessageRecovered() | api.SlowStartRecovered() | api.KeyPaused():
                self._restore(event)
            case api.NotificationAcknowledged(message) if message in self.unacknowledged:
                self._release_key(self.unacknowledged.pop(message))
            case api.EndpointsUpdated():
                self._update_endpoints(event)
            case api.MessageWithdrawn(message) if message in self.held:
                self._close(self.held[message])
            case api.TimerFired():
                self.timer_ns = NEVER

    def _restore(self, event: api.MessageRecovered | api.SlowStartRecovered | api.KeyPaused) -> None:
        """Continue with what an earlier process of the courier knew."""
        match event:
            case api.MessageRecovered():
                self._recover(event)
            case api.SlowStartRecovered():
                limit = self._destination(event.destination).limit
                self.health.slow_starts.restore(limit, event, self.now)
            case api.KeyPaused(key, pause_ns):
                self.key_paused_until_ns[key] = self.now + pause_ns

    def _advance_virtual_time(self) -> None:
        if self.active and self.v_updated_ns is not None:
            self.v += (self.now - self.v_updated_ns) * self.settings.slots // len(self.active)
        self.v_updated_ns = self.now
        for call in self.running.values():
            used_ns = (self.now - call.sent_ns) // BILLING_NS * BILLING_NS
            if used_ns > call.charged_ns:
                call.destination.start_tag += used_ns - call.charged_ns
                call.charged_ns = used_ns

    def _enqueue(self, message: Message) -> None:
        destination = message.destination
        if destination.order not in self.active:
            destination.start_tag = max(destination.start_tag, self.v)
            self.active[destination.order] = destination
        destination.queue.append(message)

    def _deactivate_if_idle(self, destination: Destination) -> None:
        if not destination.queue and not destination.call_count:
            self.active.pop(destination.order, None)

    def _destination(self, number: int) -> Destination:
        if number not in self.destinations:
            window, order = self.initial_window, next(self.numbers)
            limit = RateLimit(f"destination {number}", number)
            self.health.slow_starts.observe(limit, self.now)
            destination = Destination(number, order, window, RETRY_BURST, limit=limit)
            destination.absent_since_ns = self.now
            self.destinations[number] = destination
        return self.destinations[number]

    def _update_endpoints(self, event: api.EndpointsUpdated) -> None:
        if event.scope in (api.UpdateScope.SNAPSHOT, api.UpdateScope.STALE):
            for endpoint in self.endpoints.values():
                endpoint.is_usable, endpoint.unlisted_ns = False, endpoint.unlisted_ns or self.now
        for row in event.rows:
            self._update_endpoint(row)
        self._recall(endpoint for endpoint in self.endpoints.values() if not endpoint.is_usable)
        for destination in self.destinations.values():
            self._update_presence(destination)
        self._remove_unlisted()

    def _update_presence(self, destination: Destination) -> None:
        """Track since when a destination has no endpoint in service; a new one begins with a slow start."""
        usable = [endpoint for endpoint in destination.endpoints.values() if endpoint.is_usable]
        if not usable:
            destination.absent_since_ns = destination.absent_since_ns or self.now
        elif destination.absent_since_ns is not None:
            absent_ns = self.now - destination.absent_since_ns
            destination.absent_since_ns = None
            # An endpoint that was listed before was only out of service for a while.
            if all(endpoint.listed_ns == self.now for endpoint in usable):
                self.health.slow_starts.begin(destination.limit, absent_ns, self.now)

    def _update_endpoint(self, row: api.EndpointEntry) -> None:
        destination = self._destination(row.destination)
        kind = self.settings.kinds.get(row.kind, api.DestinationKind())
        endpoint = self.endpoints.get(row.endpoint)
        if endpoint is None:
            limit = destination.limit
            if kind.has_separate_routes:
                limit = RateLimit(f"route {row.endpoint} of destination {row.destination}")
                self.health.slow_starts.observe(limit, self.now)
            fee = self.settings.zone_fees.get(row.zone, 0.0) if kind.has_separate_routes else 0.0
            batch = kind.messages_per_call
            endpoint = Endpoint(row.endpoint, row.zone, limit, batch, batch, fee, row.kind, self.now)
            self.endpoints[row.endpoint] = destination.endpoints[row.endpoint] = endpoint
        endpoint.is_usable = row.status is EndpointStatus.IN_SERVICE
        is_gone = row.status is EndpointStatus.GONE
        if endpoint.is_usable and endpoint.unlisted_ns is not None:
            endpoint.listed_ns = self.now  # it may have been restarted
        endpoint.unlisted_ns = (endpoint.unlisted_ns or self.now) if is_gone else None
        if row.needs_slow_start:  # returned to service by an operator: its start time is unknown
            endpoint.slow_start_since_ns = self.now
            self.health.pace(destination, endpoint, self.now)
        if self.settings.listed_rate is not api.ListedRate.NONE:
            endpoint.limit.stated_per_s = row.rating
            self.overload_control.rate_listed(
                self.now, destination.id, 0.0 if kind.has_separate_routes else row.rating
            )

    def _recall(self, endpoints: Iterable[Endpoint]) -> None:
        if self.settings.can_recall:
            self.commands.extend(api.RecallAttempts(each.id) for each in endpoints if each.call_count)

    def _remove_unlisted(self) -> None:
        for endpoint in [each for each in self.endpoints.values() if not each.call_count]:
            # A shared limit is kept with its destination.
            is_waiting_route = endpoint.limit.destination is None and endpoint.limit.retry_after_ns > self.now
            if endpoint.unlisted_ns is None or is_waiting_route:
                continue
            if self.now - endpoint.unlisted_ns > self.settings.cold_ns:
                del self.endpoints[endpoint.id]
                for destination in self.destinations.values():
                    destination.endpoints.pop(endpoint.id, None)
        for destination in list(self.destinations.values()):
            is_waiting = destination.limit.retry_after_ns > self.now
            if not destination.endpoints and not is_waiting and destination.order not in self.active:
                # This includes one that was still active when its last endpoint was removed.
                del self.destinations[destination.id]

    def _schedule(self, due_ns: int, item: Message | Call | Endpoint) -> None:
        heappush(self.due, (due_ns, next(self.numbers), item))

    def _accept(self, event: api.MessageArrived, attempts: int = 0) -> Message:
        # An unknown class gets the defaults, which are the safest.
        cls = self.settings.classes.get(event.class_name, MessageClass(event.class_name))
        destination = self._destination(event.destination)
        deadline_ns = self.now + event.remaining_ns
        key, accepted_ns = event.key if cls.ordered else None, deadline_ns - cls.deadline_ns
        message = Message(event.message, cls, destination, key, accepted_ns, deadline_ns, attempts)
        message.is_lowest_priority = event.is_lowest_priority
        self.held[message.id] = message
        self.overload_control.message_arrived(self.now, event, cls, attempts)
        self._enqueue(message)
        if message.key is not None:
            self.key_queues.setdefault(message.key, deque()).append(message)
        self._schedule(deadline_ns - 2 * self.settings.step_ns, message)
        return message

    def _recover(self, event: api.MessageRecovered) -> None:
        message = self._accept(event.arrived, event.attempts)
        if event.executed_ago_ns is not None:
            message.maybe_ran_ns, message.maybe_ran_zone = (
                self.now - event.executed_ago_ns,
                event.executed_zone,
            )
            self._schedule(message.last_send_ns(self.settings), message)
        if event.was_in_flight and message.key is not None:
            self.key_paused_until_ns[message.key] = self.now + self.settings.key_rest_ns
        if event.is_completed:
            self._close(message, has_notification=True)

    def _close(self, message: Message, *, has_notification: bool = False) -> None:
        if has_notification and self.settings.notifications_are_acknowledged and message.key is not None:
            self.unacknowledged[message.id] = message
        message.is_completed = True
        self.held.pop(message.id, None)
        self.overload_control.message_closed(self.now, message.destination.id, message.id)
        if message in message.destination.queue:
            message.destination.queue.remove(message)
            self._deactivate_if_idle(message.destination)
        if self.settings.can_cancel:
            self.commands.extend(api.CancelAttempt(message.id, number) for number in message.in_flight)
        self._release_key(message)

    def _release_key(self, message: Message) -> None:
        if message.key is not None and message.is_completed and not message.in_flight:
            queue = self.key_queues.get(message.key)
            if queue and message in queue and message.id not in self.unacknowledged:
                queue.remove(message)
                if not queue:
                    del self.key_queues[message.key]

    def _reject_or_fail(self, message: Message) -> None:
        cls, ran_ns, now = message.message_class, message.maybe_ran_ns, self.now
        # Whether a retry within the deduplication window is deduplicated.
        is_deduplicated = cls.effect is Effect.KEYED and not cls.dedup_per_zone
        remaining_ns = (
            message.last_send_ns(self.settings) - now if ran_ns is not None and is_deduplicated else None
        )
        rejection = None
        if is_deduplicated or cls.effect is Effect.REPEATABLE or (ran_ns is None and not message.in_flight):
            default_ns, destination = self.settings.max_retry_after_ns, message.destination.id
            rejection = self.overload_control.reject_held(
                now, destination, message.id, default_ns, remaining_ns
            )
        reject = rejection and api.RejectMessage(message.id, rejection.retry_after_ns, rejection.reason)
        self.commands.append(reject or api.FailMessage(message.id))
        self._close(message, has_notification=True)

    def _complete_attempt(self, event: api.AttemptCompleted) -> None:
        message, call = self.in_flight.pop((event.message, event.attempt), (None, None))
        if message is None or call is None:
            return
        message.in_flight.pop(event.attempt, None)
        call.members.pop(message.id, None)
        self._record_outcome(event, call)
        if not call.members:
            self._release_call(call)
        outcome = event.outcome
        if message.key is not None and outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED):
            if len(self.key_paused_until_ns) > self.settings.max_held:
                self.key_paused_until_ns = {
                    key: at for key, at in self.key_paused_until_ns.items() if at > self.now
                }
            self.key_paused_until_ns[message.key] = self.now + self.settings.key_rest_ns
        if outcome not in NEVER_RAN and outcome is not Outcome.DELIVERED and message.maybe_ran_ns is None:
            message.maybe_ran_ns, message.maybe_ran_zone = call.sent_ns, call.endpoint.zone
            self._schedule(message.last_send_ns(self.settings), message)
        if event.is_final or message.is_completed:
            if not message.is_completed:
                self._close(message)
            self._release_key(message)
        elif outcome is not Outcome.DELIVERED and not message.in_flight:
            is_unanswered = outcome in (Outcome.TIMEOUT, Outcome.CANCELLED)
            message.unanswered_ns = call.sent_ns if is_unanswered else NEVER
            message.last_endpoint = call.endpoint
            if message.is_exhausted(self.settings, self.now):
                self._reject_or_fail(message)
            else:
                self._enqueue(message)

    def _record_outcome(self, event: api.AttemptCompleted, call: Call) -> None:
        limit, now = call.endpoint.limit, self.now
        if event.limit_rate:
            limit.stated_per_s = event.limit_rate
            if event.limit_remaining is not None:  # less than one call remains: wait until it is refilled
                missing_calls = 1 - event.limit_remaining * event.limit_rate
                limit.next_call_ns = max(
                    limit.next_call_ns, now + int(missing_calls / event.limit_rate * SECOND)
                )
        if event.wait_ns:  # the response to a delivered call may request a wait, too
            self._begin_wait(call.destination, limit, event.wait_ns)
        if call.is_outcome_recorded or event.outcome is Outcome.NOT_SENT:
            return
        call.is_outcome_recorded = True
        duration_ns, outcome = now - call.sent_ns, event.outcome
        self.overload_control.call_ended(now, call.destination.id, outcome, duration_ns, event.wait_ns)
        if outcome is Outcome.DELIVERED:
            self._record_success(call, duration_ns)
        else:
            self._record_failure(call, event, duration_ns)

    def _request_wait(self, event: api.WaitRequested) -> None:
        destination = self._destination(event.destination)
        endpoint = self.endpoints.get(event.endpoint)
        self._begin_wait(destination, endpoint.limit if endpoint else destination.limit, event.wait_ns)

    def _begin_wait(self, destination: Destination, limit: RateLimit, wait_ns: int) -> None:
        """Start no call under a limit for a while, and recall those that are not written."""
        limit.retry_after_ns = max(limit.retry_after_ns, self.now + wait_ns)
        self._recall(each for each in destination.endpoints.values() if each.limit is limit)

    def _record_success(self, call: Call, duration_ns: int) -> None:
        destination = call.destination
        self.health.record_success(call.endpoint, call, duration_ns, self.now)
        destination.retry_tokens = min(RETRY_BURST, destination.retry_tokens + RETRY_SHARE)
        destination.rejected_since_ns, destination.next_call_ns = None, 0
        mean = destination.latency_ns
        destination.latency_ns = mean + (duration_ns - mean) / SMOOTHING if mean else float(duration_ns)
        destination.best_latency_ns = min(destination.best_latency_ns or NEVER, destination.latency_ns)
        is_quick = duration_ns <= WINDOW_GROWTH_MULTIPLE * destination.best_latency_ns
        step, most = (1, self.max_window) if is_quick else (0, self.initial_window)
        destination.window = min(destination.window + step, most)

    def _record_failure(self, call: Call, event: api.AttemptCompleted, duration_ns: int) -> None:
        destination, endpoint, outcome = call.destination, call.endpoint, event.outcome
        is_lost = outcome in (Outcome.CANCELLED, Outcome.TIMEOUT) and call.is_overdue
        if is_lost and endpoint.success_sent_ns > call.sent_ns:
            endpoint.batch_size = max(1, min(endpoint.batch_size, len(call.members) + 1) // 2)
        if outcome is not Outcome.CANCELLED:
            endpoint.never_ran, endpoint.is_silent = outcome in NEVER_RAN, outcome is Outcome.TIMEOUT
            destination.window = min(destination.window, self.initial_window)
        never_connected = outcome is Outcome.CONNECT_FAILED
        if (
            never_connected
            and duration_ns < self.settings.connect_timeout_ns
            and endpoint.suspected_since_ns is None
        ):
            self.health.record_failed_handshake(call, self.now)
        if outcome is Outcome.FULL:
            self.health.record_rejection(call, event.wait_ns, self.now)
        elif never_connected and endpoint.call_count > 1 and endpoint.last_success_ns >= call.sent_ns:
            endpoint.max_calls = max(1, endpoint.call_count - 1)  # its connection table is full
        elif never_connected or (outcome is not Outcome.CANCELLED and not call.is_overdue):
            kind = _FAILURE_KINDS.get(outcome, FailureKind.FAILED)
            self.health.record_failure(call, self.now, kind, is_error=outcome is not Outcome.TIMEOUT)
        elif call.is_overdue:
            kind = _FAILURE_KINDS.get(outcome, FailureKind.FAILED)
            self.health.confirm_failure(call, kind, self.now)

    def _release_call(self, call: Call) -> None:
        destination, endpoint, duration_ns = call.destination, call.endpoint, self.now - call.sent_ns
        destination.start_tag += duration_ns - call.charged_ns
        name = call.message_class.name
        destination.costs_ns[name] = max(int(ALPHA * destination.costs_ns[name]), duration_ns)
        destination.call_count -= 1
        self.overload_control.call_settled(self.now, destination.id, call.retry_count)
        endpoint.call_count -= 1
        if endpoint.call_count % self.settings.calls_per_connection == 0 and not call.is_withdrawn:
            endpoint.idle_since_ns.append(self.now)
            if endpoint.kind in self.health.max_idle_by_kind:
                self._schedule(self.now + self.health.max_idle_ns(endpoint.kind, self.now), endpoint)
        if call.slot < self.settings.slots:
            insort(self.free_slots, call.slot)
        del self.running[call.slot]
        self._deactivate_if_idle(destination)

    def _may_be_sent(self, message: Message) -> bool:
        destination, now = message.destination, self.now
        is_retry = message.maybe_ran_ns is not None and not message.was_lost_in_transit()
        if is_retry and destination.call_count and destination.retry_tokens < 1:
            return False
        ready_ns = 0
        if message.attempt_count and destination.call_count:
            ready_ns = self.overload_control.retry_ready_at(now, destination.id)
        if message.key is not None and ready_ns <= now:
            if self.key_queues[message.key][0] is not message:
                return False
            if message.attempt_count == 0:
                ready_ns = self.key_paused_until_ns.get(message.key, 0)
        if ready_ns > now:
            self.wake_ns = min(self.wake_ns, ready_ns)
        return ready_ns <= now

    def _rank(self, message: Message) -> tuple[bool, float, int]:
        cls, delivered_ns = message.message_class, self.now + int(message.destination.latency_ns)
        late_ns, worth = delivered_ns - message.accepted_ns - cls.latency_objective_ns, cls.worth
        if late_ns > 0 and self.settings.halves_late_worth:
            worth *= max(cls.late_worth, float(0.5 ** (late_ns / cls.latency_objective_ns)))
        elif late_ns > 0:
            span_ns = max(1, cls.deadline_ns - cls.latency_objective_ns)
            worth *= 1 - (1 - cls.late_worth) * min(1.0, late_ns / span_ns)
        return message.is_lowest_priority, -worth, message.accepted_ns + cls.latency_objective_ns

    def _preference(self, endpoint: Endpoint) -> tuple[bool, bool, float, int]:
        is_idle = any(self.now - at_ns < self.settings.keepalive_ns for at_ns in endpoint.idle_since_ns)
        is_warm = is_idle or endpoint.call_count % self.settings.calls_per_connection > 0
        is_suspected, cost = (
            endpoint.suspected_since_ns is not None,
            endpoint.fee * SECOND + endpoint.latency_ns,
        )
        return is_suspected, not is_warm, cost, endpoint.id

    def _pick(self, destination: Destination, used: set[int]) -> tuple[Message, Endpoint] | None:
        if not destination.queue or destination.call_count >= destination.window:
            return None
        ready_ns = max(destination.next_call_ns, self.overload_control.ready_at(self.now, destination.id))
        if ready_ns > self.now:
            self.wake_ns = min(self.wake_ns, ready_ns)
            return None
        ready = []
        for endpoint in destination.endpoints.values():
            ready_ns = self.health.ready_ns(endpoint, self.now)
            if ready_ns > self.now:
                self.wake_ns = min(self.wake_ns, ready_ns)
            elif not (endpoint.max_batch > 1 and endpoint.id in used):
                ready.append(endpoint)
        if not ready:
            return None
        ready.sort(key=self._preference)
        return self._pick_message(destination.queue, ready)

    def _pick_message(self, queue: list[Message], ready: list[Endpoint]) -> tuple[Message, Endpoint] | None:
        is_trial = all(endpoint.is_open for endpoint in ready)
        best, best_rank = None, (len(EFFECT_RISK), (True, 0.0, NEVER))
        for message in queue:
            rank = (EFFECT_RISK[message.message_class.effect] if is_trial else 0, self._rank(message))
            if rank < best_rank and self._may_be_sent(message):
                for endpoint in ready:
                    is_repeat = endpoint is message.last_endpoint and len(ready) > 1
                    if message.is_safe_at(endpoint, self.settings, self.now) and not is_repeat:
                        best, best_rank = (message, endpoint), rank
                        break
        return best

    def _dispatch(self) -> None:
        """Fill free slots, highest first, each from the eligible destination with the smallest finish tag."""
        n, used = self.settings.slots, set[int]()
        picks = {d.order: (d, pick) for d in self.active.values() if (pick := self._pick(d, used))}
        while self.free_slots and picks:
            slot = self.free_slots[-1]
            costs = {order: d.l_max(pick[0].message_class) for order, (d, pick) in picks.items()}
            starts = {order: d.start_tag * n - slot * costs[order] for order, (d, _) in picks.items()}
            if min(starts.values()) >= self.v * n:  # advance v: no slot stays idle while a window has room
                self.v = min(starts.values()) // n + 1
            eligible = [order for order, start in starts.items() if start < self.v * n]
            _, order = min((picks[order][0].start_tag + costs[order], order) for order in eligible)
            destination, (message, endpoint) = picks.pop(order)
            self.free_slots.pop()
            self._send(message, endpoint, slot)
            used.add(endpoint.id)
            if pick := self._pick(destination, used):
                picks[order] = (destination, pick)

    def _send(self, first: Message, endpoint: Endpoint, slot: int) -> None:
        destination, cls, now = first.destination, first.message_class, self.now
        call = Call(destination, endpoint, slot, cls, now, charged_ns=destination.l_max(cls))
        destination.start_tag += call.charged_ns
        messages = self._batch(first, endpoint)
        for message in messages:
            destination.queue.remove(message)
            if message.maybe_ran_ns is not None and not message.was_lost_in_transit():
                destination.retry_tokens = max(0.0, destination.retry_tokens - 1)
            call.members[message.id] = message, message.attempt_count
            message.in_flight[message.attempt_count] = call
            self.in_flight[message.id, message.attempt_count] = message, call
            message.attempt_count += 1
        destination.call_count += 1
        call.retry_count = sum(message.attempt_count > 1 for message in messages)
        self.overload_control.call_sent(now, destination.id, len(messages), call.retry_count)
        self.running[slot] = call
        self.health.reserve_connection(call, now)
        endpoint.call_count += 1
        for message in messages:
            abandon_at_ns = message.abandon_at_ns(
                self.health.overdue_after_ns(endpoint, message.message_class), now
            )
            is_keyed, has_run = message.message_class.effect is Effect.KEYED, message.maybe_ran_ns is not None
            send_before_ns = message.last_send_ns(self.settings) if is_keyed and has_run else 0
            pacing = self.health.pacing(endpoint)
            self.commands.append(
                api.StartAttempt(message.id, endpoint.id, abandon_at_ns, send_before_ns, pacing)
            )
        limit = endpoint.limit
        if limit.slow_start.is_paced:
            self.health.slow_starts.record_call(limit, len(messages), now)
        elif endpoint.slow_start_since_ns is not None and endpoint.suspected_since_ns is None:
            self.health.pace(destination, endpoint, now)
        limit.recent_sends_ns.append(now)
        while limit.recent_sends_ns[0] <= now - SECOND:
            limit.recent_sends_ns.popleft()
        if limit.learned_per_s:
            limit.next_call_ns = max(limit.next_call_ns, now) + int(SECOND / limit.learned_per_s)
        self._schedule(now + self.health.overdue_after_ns(endpoint, cls), call)

    def _batch(self, first: Message, endpoint: Endpoint) -> list[Message]:
        if endpoint.max_batch == 1 or (endpoint.is_open and not endpoint.never_ran):
            return [first]  # a trial risks one message only, if it may fail after execution
        queue = [each for each in sorted(first.destination.queue, key=self._rank) if each is not first]
        others = [each for each in queue if self._may_be_sent(each)]
        others = [each for each in others if each.is_safe_at(endpoint, self.settings, self.now)]
        return [first, *others[: endpoint.batch_size - 1]]

    def _run_due(self) -> None:
        while self.due and self.due[0][0] <= self.now:
            _, _, item = heappop(self.due)
            if isinstance(item, Message):
                is_exhausted = not item.in_flight and item.is_exhausted(self.settings, self.now)
                if not item.is_completed and (is_exhausted or item.is_late(self.settings, self.now)):
                    self._reject_or_fail(item)
            elif isinstance(item, Endpoint):
                max_idle_ns = self.health.max_idle_ns(item.kind, self.now)
                if item.idle_since_ns and self.now - item.idle_since_ns[0] >= max_idle_ns:
                    self.health.close_idle_connections(item)
            elif item.members and not item.is_outcome_recorded:
                self._handle_overdue(item)

    def _handle_overdue(self, call: Call) -> None:
        endpoint, destination = call.endpoint, call.destination
        endpoint.never_ran, endpoint.is_silent = False, True
        due_ns = self.health.overdue_after_ns(endpoint, call.message_class)
        if not call.is_overdue:
            self.health.close_idle_connections(endpoint)  # a new connection gives better evidence
        if endpoint.success_sent_ns > call.sent_ns:  # lost in transit, not delayed by the endpoint
            self.health.record_lost_call(call, self.now)
            if not call.is_overdue:
                endpoint.loss_ratio += (1 - endpoint.loss_ratio) / SMOOTHING
        elif not call.is_overdue:
            self.health.record_failure(call, self.now, FailureKind.OVERDUE, is_error=False)
        call.is_overdue = True
        destination.window = min(destination.window, self.initial_window)
        if self.settings.can_cancel and not call.is_withdrawn and self._should_withdraw(call, due_ns):
            call.is_withdrawn = True
            self.commands.extend(api.CancelAttempt(id_, number) for id_, (_, number) in call.members.items())
        self._schedule(self.now + due_ns, call)

    def _should_withdraw(self, call: Call, due_ns: int) -> bool:
        """Return whether to withdraw an overdue call; if retriable, the limit doubles with each attempt."""
        endpoint, duration_ns = call.endpoint, self.now - call.sent_ns
        if call.message_class.effect is not Effect.ONCE:
            doublings = max(message.attempt_count for message, _ in call.members.values())
            if endpoint.loss_ratio > MIN_LOSS_RATIO:
                doublings = (doublings - 1) // 2
            elif endpoint.success_sent_ns > call.sent_ns:
                doublings -= 1
            return duration_ns >= due_ns << doublings
        if duration_ns < STUCK_MULTIPLE * due_ns:
            return False
        queues = [self.key_queues[each.key] for each, _ in call.members.values() if each.key is not None]
        return bool(call.destination.queue) or not self.free_slots or any(len(queue) > 1 for queue in queues)

    def _shed_load(self) -> None:
        spare = max(1, self.settings.max_held // RESERVED_CAPACITY_DIVISOR)
        while len(self.held) > self.settings.max_held - spare:
            longest = max(self.active.values(), key=lambda d: (len(d.queue), -d.order), default=None)
            if longest is None or not longest.queue:
                return
            self._reject_or_fail(max(longest.queue, key=self._rank))
