"""SWIM failure detector of one node: takes datagrams and clock readings, and returns actions. Sans-I/O.

Implements SWIM (Das, Gupta, Motivala 2002): dissemination by piggybacking (4.1), suspicion and incarnations
(4.2), round-robin probe targets (4.3); and Lifeguard (Dadgar, Phillips, Currey 2017): local health
multiplier, dynamic suspicion, buddy system. docs/owners.md describes the deviations of this implementation.

All times are readings of one clock in ms.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Container, Iterable, Mapping
from dataclasses import replace
from random import Random
from typing import Final

from winchspan.membership.actions import Action, SendDatagram
from winchspan.membership.config import (
    ABSENT_PROBE_PERIODS,
    DELAYED_TICK_SHARE,
    INDIRECT_PROBE_COUNT,
    LEAVE_FANOUT,
    MAX_PIGGYBACKED_UPDATES,
    MAX_PROXY_PROBES,
    SwimConfig,
)
from winchspan.membership.local_health import LocalHealth
from winchspan.membership.membership_view import (
    DROPPED_INVALID_NUMBER,
    DROPPED_UNKNOWN_MEMBER,
    MembershipView,
    is_valid,
)
from winchspan.membership.messages import (
    Ack,
    Body,
    Datagram,
    MembershipUpdate,
    Nack,
    NodeState,
    Ping,
    PingRequest,
)
from winchspan.membership.node_record import NodeRecord
from winchspan.membership.probes import (
    Probe,
    ProbeRotation,
    ProxyProbe,
    ProxyProbeTable,
    ReachabilityProbe,
    ReachabilityProbes,
)

# Causes for which a message is dropped; they are labels of the metric `fleet.dropped.CAUSE`.
DROPPED_OWN_NAME: Final = "own name"
DROPPED_WRONG_TARGET: Final = "meant for another"
DROPPED_TOO_MANY_PROXY_PROBES: Final = "too many at once"


class Swim:
    """Membership protocol of one node.

    Attributes:
        timing: timing of the cluster.
    """

    def __init__(self, config: SwimConfig, others: Iterable[str], now: float) -> None:
        """Start the protocol.

        Args:
            config: identity and parameters.
            others: names of the other nodes; the local one may be among them.
            now: time in ms.
        """
        self.timing = config.timing
        self._actions: list[Action] = []
        self._health = LocalHealth()
        self._view = MembershipView(config, others, now, self._health, self._actions)
        self._rng = Random(config.seed)
        self._last_sequence_number = 0
        self._period_count = 0
        self._rotation = ProbeRotation(self._rng)
        self._probe: Probe | None = None
        self._proxy_probes = ProxyProbeTable()
        self._reachability_probes = ReachabilityProbes()
        self._next_period_ms = now

    # ---- state -------------------------------------------------------------------------------------------
    @property
    def node_name(self) -> str:
        """Name of the local node."""
        return self._view.node_name

    @property
    def process_nonce(self) -> int:
        """Random number that identifies this process."""
        return self._view.process_nonce

    @property
    def incarnation(self) -> int:
        """Incarnation of the local node; raised to refute statements of other nodes about it."""
        return self._view.incarnation

    @property
    def is_leaving(self) -> bool:
        """Whether the local node has announced that it leaves."""
        return self._view.is_leaving

    @property
    def has_name_conflict(self) -> bool:
        """Whether another running process uses this node's name."""
        return self._view.has_name_conflict

    @property
    def records(self) -> Mapping[str, NodeRecord]:
        """The other nodes by name."""
        return self._view.records

    @property
    def local_health(self) -> int:
        """Lifeguard's local health score; 0 is healthy."""
        return self._health.score

    @property
    def dropped(self) -> Counter[str]:
        """Messages and updates that were not processed, by cause."""
        return self._view.dropped

    def active_members(self) -> list[str]:
        """Return the other nodes that are alive, suspected or not."""
        return self._view.active_members()

    def count_by_state(self) -> dict[str, int]:
        """Return the number of nodes in each state, the local one included."""
        return self._view.count_by_state()

    @property
    def next_tick_ms(self) -> float:
        """Time at which `tick` is due."""
        times = [self._next_period_ms]
        if self._probe is not None and not self._probe.is_acknowledged:
            times.append(self._probe.next_step_ms)
        times += self._view.suspicion_deadlines_ms()
        times += self._proxy_probes.deadlines_ms()
        return min(times)

    # ---- inputs ------------------------------------------------------------------------------------------
    def tick(self, now: float) -> list[Action]:
        """Process every timeout that is due."""
        late_ms = now - self.next_tick_ms
        if late_ms > DELAYED_TICK_SHARE * self.timing.probe_interval_ms:
            # Allow time to read the datagrams that arrived during the delay.
            self._handle_delayed_tick(late_ms + self.timing.probe_timeout_ms)
        if not self.is_leaving:
            self._advance_probe(now)
        self._view.expire_suspicions(now)
        for proxy in self._proxy_probes.take_expired(now):
            self._send(proxy.requester, Nack(proxy.requester_sequence_number, proxy.target))
        if self._next_period_ms <= now:
            self._begin_period(now)
        return self._take_actions()

    def handle_datagram(self, now: float, datagram: Datagram) -> list[Action]:
        """Process a datagram; an invalid datagram is counted and otherwise ignored."""
        if datagram.source not in self.records:
            self._handle_unknown_source(datagram)
            return self._take_actions()
        if not is_valid(datagram.incarnation, datagram.process_nonce):
            self.dropped[DROPPED_INVALID_NUMBER] += 1
            return []
        state = NodeState.LEFT if datagram.is_leaving else NodeState.ALIVE
        update = MembershipUpdate(datagram.source, state, datagram.incarnation, datagram.process_nonce)
        self._view.apply(now, update, "the node reported it")
        for piggybacked in datagram.updates[:MAX_PIGGYBACKED_UPDATES]:
            self._view.handle_update(now, piggybacked)
        match datagram.body:
            case Ping() as ping:
                self._handle_ping(datagram.source, ping)
            case PingRequest() as request:
                self._handle_ping_request(now, datagram.source, request)
            case Ack() as ack:
                self._handle_ack(datagram.source, ack)
            case Nack() as nack:
                self._handle_nack(datagram.source, nack)
        return self._take_actions()

    def leave(self, now: float) -> list[Action]:
        """Announce that the node leaves; from now on it answers probes but sends none."""
        self._view.is_leaving = True
        self._probe = None
        active = self.active_members()
        for name in self._rng.sample(active, min(LEAVE_FANOUT, len(active))):
            self._send(name, Ping(self._next_sequence_number(), name))
        return self._take_actions()

    def reconfigure(self, now: float, others: Iterable[str]) -> list[Action]:
        """Replace the set of members, and remove all other nodes."""
        self._view.reconfigure(now, others)
        if self._probe is not None and self._probe.target not in self.records:
            self._probe = None
        self._rotation.retain(self.records)
        return self._take_actions()

    # ---- reachability ------------------------------------------------------------------------------------
    def probe_reachability(self, now: float, targets: Container[str]) -> list[Action]:
        """Probe the given nodes directly and through helpers at once, and discard probes of other nodes."""
        self._reachability_probes.retain(targets)
        for target in self.active_members():
            if target in targets and self._reachability_probes.is_due(now, target):
                self._begin_reachability_probe(now, target)
        return self._take_actions()

    def is_reached_by_others_only(self, now: float, target: str) -> bool:
        """Return whether only helpers, not this node, have reached a node by its latest probe."""
        return self._reachability_probes.is_reached_by_others_only(now, target)

    def _begin_reachability_probe(self, now: float, target: str) -> None:
        number = self._next_sequence_number()
        probe = ReachabilityProbe(number, now + 2 * self.timing.probe_timeout_ms)  # a helper's Ack comes last
        self._reachability_probes.add(target, probe)
        self._send(target, Ping(number, target))
        for helper in self._choose_helpers(target):
            self._send(helper, PingRequest(number, target))

    def _choose_helpers(self, target: str) -> list[str]:
        """Return random helpers for indirect probes of a node."""
        helpers = [name for name in self.active_members() if name != target]
        return self._rng.sample(helpers, min(INDIRECT_PROBE_COUNT, len(helpers)))

    # ---- probes ------------------------------------------------------------------------------------------
    def _handle_delayed_tick(self, delay_ms: float) -> None:
        """Postpone all timeouts, because replies may be unread, and degrade the local health (Lifeguard)."""
        self._health.degrade()
        if self._probe is not None:
            self._probe.postpone(delay_ms)
        self._next_period_ms += delay_ms
        self._view.postpone_suspicions(delay_ms)
        self._proxy_probes.postpone(delay_ms)

    def _begin_period(self, now: float) -> None:
        # Interval and timeout grow with the local health multiplier (Lifeguard, "local health").
        multiplier = self._health.multiplier
        self._next_period_ms = now + self.timing.probe_interval_ms * multiplier
        self._period_count += 1
        if self.is_leaving:
            return
        self._ping_absent_node()
        target = self._rotation.next_target(self.active_members())
        if target is None:
            return
        indirect_at_ms = min(now + self.timing.probe_timeout_ms * multiplier, self._next_period_ms)
        probe = Probe(self._next_sequence_number(), target, indirect_at_ms, self._next_period_ms)
        self._probe = probe
        self._send(target, Ping(probe.sequence_number, target))

    def _ping_absent_node(self) -> None:
        """Periodically ping a node that is not active, so that a healed partition merges again."""
        absent = [name for name, record in self.records.items() if not record.is_active]
        is_due = self._period_count % ABSENT_PROBE_PERIODS == 1
        if absent and (is_due or len(absent) == len(self.records)):
            name = self._rng.choice(absent)
            self._send(name, Ping(self._next_sequence_number(), name))

    def _advance_probe(self, now: float) -> None:
        probe = self._probe
        if probe is None or probe.is_acknowledged:
            return
        if not probe.is_indirect and probe.indirect_at_ms <= now:
            self._request_indirect_probes(probe)
        if probe.deadline_ms <= now:
            self._fail_probe(now, probe)

    def _request_indirect_probes(self, probe: Probe) -> None:
        probe.is_indirect = True
        for name in self._choose_helpers(probe.target):
            probe.silent_helpers.add(name)
            self._send(name, PingRequest(probe.sequence_number, probe.target))

    def _fail_probe(self, now: float, probe: Probe) -> None:
        self._probe = None
        # Each helper that sent neither Ack nor Nack is evidence that the local node is slow (Lifeguard).
        self._health.degrade(len(probe.silent_helpers) or int(not probe.is_indirect))
        self._view.suspect(now, probe.target)

    def _handle_ping(self, source: str, ping: Ping) -> None:
        if ping.target == self.node_name:
            self._send(source, Ack(ping.sequence_number, self.node_name))
        else:
            self.dropped[DROPPED_WRONG_TARGET] += 1

    def _handle_ping_request(self, now: float, requester: str, request: PingRequest) -> None:
        if request.target not in self.records:
            self.dropped[DROPPED_UNKNOWN_MEMBER] += 1
            return
        if len(self._proxy_probes) >= MAX_PROXY_PROBES:
            self.dropped[DROPPED_TOO_MANY_PROXY_PROBES] += 1
            return
        number = self._next_sequence_number()
        deadline_ms = now + self.timing.probe_timeout_ms
        proxy = ProxyProbe(requester, request.sequence_number, request.target, deadline_ms)
        self._proxy_probes.add(number, proxy)
        self._send(request.target, Ping(number, request.target, requester))

    def _handle_ack(self, source: str, ack: Ack) -> None:
        proxy = self._proxy_probes.acknowledge(source, ack)
        if proxy is not None:
            self._send(proxy.requester, Ack(proxy.requester_sequence_number, ack.target))
        self._reachability_probes.acknowledge(source, ack)
        probe = self._probe
        if probe is None or probe.is_acknowledged:
            return
        if probe.matches(ack.sequence_number, ack.target):
            probe.is_acknowledged = True
            self._health.recover()

    def _handle_nack(self, source: str, nack: Nack) -> None:
        if self._probe is not None and self._probe.matches(nack.sequence_number, nack.target):
            self._probe.silent_helpers.discard(source)

    def _handle_unknown_source(self, datagram: Datagram) -> None:
        if datagram.source != self.node_name:
            self.dropped[DROPPED_UNKNOWN_MEMBER] += 1
            return
        self.dropped[DROPPED_OWN_NAME] += 1
        if datagram.process_nonce != self.process_nonce:
            self._view.handle_foreign_process(datagram.process_nonce, datagram.incarnation)

    # ---- output ------------------------------------------------------------------------------------------
    def _next_sequence_number(self) -> int:
        self._last_sequence_number += 1
        return self._last_sequence_number

    def _send(self, recipient: str, body: Body) -> None:
        updates = self._view.piggyback(recipient)
        datagram = Datagram(
            self.node_name, self.incarnation, self.process_nonce, self.is_leaving, body, updates
        )
        self._actions.append(SendDatagram(recipient, datagram))

    def _take_actions(self) -> list[Action]:
        """Return the pending actions, with the current incarnation in each datagram."""
        actions = [self._stamp(action) for action in self._actions]
        self._actions.clear()
        return actions

    def _stamp(self, action: Action) -> Action:
        if not isinstance(action, SendDatagram):
            return action
        datagram = replace(action.datagram, incarnation=self.incarnation, is_leaving=self.is_leaving)
        return replace(action, datagram=datagram)
