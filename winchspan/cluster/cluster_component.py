"""The cluster as a component of a courier: the failure detector and the services on top of it."""

from __future__ import annotations

import socket
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from loguru import logger

from winchspan import api
from winchspan.application.component import Component, OperatorOptions
from winchspan.cluster.datagram_transport import DatagramTransport
from winchspan.cluster.node import ClusterNode, DeliveryResources
from winchspan.cluster.options import cluster_members, leased_roles, option_error
from winchspan.config.operator.fleet_section import needs_consensus
from winchspan.config.platform import Address, PlatformConfig
from winchspan.membership.actions import (
    Action,
    NameConflictDetected,
    NodeRestarted,
    NodeStateChanged,
    SendDatagram,
)
from winchspan.membership.config import SwimConfig, SwimTiming
from winchspan.membership.messages import Datagram, NodeState
from winchspan.membership.swim import Swim
from winchspan.runtime.timers import Timer

if TYPE_CHECKING:
    from winchspan.cluster.replication_service import ReplicationService
    from winchspan.cluster.services import ClusterService, ClusterServices
    from winchspan.dead_letters.policy import RedeliveryRateLimiter
    from winchspan.delivery.engine import DeliveryEngine
    from winchspan.delivery.ports import ReplicationPort

UPGRADE_CONFLICT: Final = "not beside ROUTER_SOCKET_FD: two processes would use one name"


class ClusterComponent(Component):
    """This courier as a member of a cluster."""

    def __init__(
        self,
        node: ClusterNode,
        config: PlatformConfig,
        operator: OperatorOptions,
        delivery: DeliveryResources,
        abort: Callable[[str], None],
    ) -> None:
        """Open the sockets and create the services.

        Args:
            node: this process, without its incarnation, which is drawn at random.
            config: the platform's configuration.
            operator: the operator's file.
            delivery: journal, endpoints and connections, on which the services act.
            abort: ends the process with a reason.

        Raises:
            ConfigError: if the operator's file cannot be used with this configuration.
        """
        self._values = values = operator["fleet"]
        if config.listener_fd is not None:
            raise option_error(values, "on", UPGRADE_CONFLICT)
        members = cluster_members(values, node.name)
        secret = Path(values["secret-file"]).read_bytes() if values["secret-file"] else b""
        self._socket = _open_socket(node, members[node.name], values)
        self._node = node = replace(node, incarnation=node.system.random_nonce())
        self._swim = _create_swim(node, members, values)
        self._services: ClusterServices | None = None
        if needs_consensus(values):
            from winchspan.cluster.consensus_service import ConsensusPorts
            from winchspan.cluster.services import ClusterServiceFactory

            factory = ClusterServiceFactory(node, operator, delivery)
            ports = ConsensusPorts(
                delivery.journal, delivery.connections, self._live_nodes, self._reached_by_others_only, abort
            )
            self._services = factory.create(config, members, secret, ports)
        self._transport = DatagramTransport(members, secret, self._on_datagram)
        self._timer: Timer | None = None

    @property
    def replication(self) -> ReplicationPort | None:
        """Replication port of the engine; None if journals are not replicated."""
        return self._services.replication if self._services is not None else None

    @property
    def redelivery_rate(self) -> RedeliveryRateLimiter | None:
        """Rate of redeliveries that the cluster shares; None if it shares none."""
        return self._services.redelivery_rate if self._services is not None else None

    def attach_engine(self, engine: DeliveryEngine) -> None:
        """Pass the engine to the service that replicates its journal."""
        if self._services is not None and self._services.replication is not None:
            self._services.replication.attach_engine(engine)

    async def start(self) -> None:
        """Listen, and start the failure detector and all services.

        Raises:
            ConfigError: if the TCP address cannot be bound.
        """
        await self._transport.open(self._node.loop, self._socket)
        if self._services is not None:
            try:
                self._services.consensus.start()
            except OSError as err:
                address = self._transport.members[self._swim.node_name]
                raise option_error(self._values, "listen", f"{address}, TCP: {err.strerror}") from None
        for service in self._dependent_services():
            service.start()
        self._on_timer()

    def reconfigure(self, settings: api.Settings) -> None:
        """Apply new settings."""
        if self._services is not None and self._services.health_checks is not None:
            self._services.health_checks.reconfigure(settings)

    def reload_options(self, operator: OperatorOptions) -> None:
        """Apply the reloaded operator's file, in which members may have been added or removed.

        Raises:
            ConfigError: if an option has changed that only a restart can change.
        """
        values = operator["fleet"]
        if not values["on"]:
            raise option_error(values, "on", "can be disabled only by a restart")
        members = cluster_members(values, self._node.name)
        if members[self._node.name] != self._transport.members[self._node.name]:
            raise option_error(values, "listen", "can be changed only by a restart")
        self._transport.members = members
        if self._services is not None:
            self._services.consensus.set_members(members)
            self._services.consensus.set_roles(leased_roles(values))
        self._execute(self._swim.reconfigure(self._node.clock.now(), members))

    def request_stop(self) -> bool:
        """Announce to the other members that this one leaves, and start the hand-over of its journal."""
        self._execute(self._swim.leave(self._node.clock.now()))
        replication = self._replication_to_hand_over()
        if replication is not None:
            replication.start_hand_over()
        return False

    @property
    def is_busy(self) -> bool:
        """Whether the hand-over of the journal is still in progress."""
        replication = self._replication_to_hand_over()
        return replication is not None and replication.is_handing_over

    def _replication_to_hand_over(self) -> ReplicationService | None:
        """Return the replication service if its journal is handed over at a stop, else None."""
        if self._services is None or not self._values["hand-over"]:
            return None
        return self._services.replication

    def status(self) -> dict[str, Any]:
        """Return the members as this courier sees them, and each service's entries."""
        document = {
            "incarnation": self._swim.incarnation,
            "health": self._swim.local_health,
            "conflict": self._swim.has_name_conflict,
            "members": self._member_status(),
            "dropped": dict(self._dropped_counts()),
        }
        if self._services is not None:
            document |= self._services.consensus.status()
        for service in self._dependent_services():
            document |= service.status()
        return {"fleet": document}

    def _member_status(self) -> dict[str, dict[str, Any]]:
        now = self._node.clock.now()
        return {
            name: {
                "state": "unknown" if record.state is None else record.state.name.lower(),
                "incarnation": record.incarnation,
                "for_s": round((now - record.state_since_ms) / 1_000.0, 1),
                "conflict": record.has_name_conflict,
            }
            for name, record in self._swim.records.items()
        }

    def metrics(self) -> dict[str, int]:
        """Return members by state, local health, frames by outcome, and the services' metrics."""
        metrics = {f"fleet.members.{state}": count for state, count in self._swim.count_by_state().items()}
        metrics["fleet.health"] = self._swim.local_health
        metrics["fleet.frames.sent"] = self._transport.sent_count
        metrics["fleet.frames.received"] = self._transport.received_count
        if self._services is not None:
            metrics |= self._services.consensus.metrics()
        for service in self._dependent_services():
            metrics |= service.metrics()
        for cause, count in self._dropped_counts().items():
            metrics[f"fleet.dropped.{cause.replace(' ', '_')}"] = count
        return metrics

    def _dependent_services(self) -> list[ClusterService]:
        return self._services.all if self._services is not None else []

    def _dropped_counts(self) -> Counter[str]:
        """Return the number of dropped frames and connections by cause, over both transports."""
        counts = self._transport.dropped + self._swim.dropped
        if self._services is not None:
            counts += self._services.consensus.dropped
        return counts

    def close(self) -> None:
        """Stop, and close all sockets and files."""
        if self._timer is not None:
            self._timer.cancel()
        self._transport.close()
        for service in self._dependent_services():
            service.close()
        if self._services is not None:
            self._services.consensus.close()
        self._socket.close()

    def crash(self) -> None:
        """Release open files as the system does when a process is killed."""
        for service in self._dependent_services():
            service.close()
        if self._services is not None:
            self._services.consensus.crash()

    # ---- failure detector --------------------------------------------------------------------------------
    def _live_nodes(self) -> dict[str, int]:
        """Return the incarnations of live members, except for names that two processes use."""
        nodes = {
            name: record.process_nonce
            for name, record in self._swim.records.items()
            if record.state in (NodeState.ALIVE, NodeState.SUSPECT) and not record.has_name_conflict
        }
        if not self._swim.has_name_conflict and not self._swim.is_leaving:
            nodes[self._swim.node_name] = self._swim.process_nonce
        return nodes

    def _reached_by_others_only(self, out_of_contact: set[str]) -> list[str]:
        """Probe members that are out of contact with this one; return those that only other members reach."""
        now = self._node.clock.now()
        reached_by_others_only = [
            name for name in sorted(out_of_contact) if self._swim.is_reached_by_others_only(now, name)
        ]
        self._execute(self._swim.probe_reachability(now, out_of_contact))
        return reached_by_others_only

    def _on_datagram(self, datagram: Datagram) -> None:
        self._execute(self._swim.handle_datagram(self._node.clock.now(), datagram))

    def _on_timer(self) -> None:
        self._timer = None
        self._execute(self._swim.tick(self._node.clock.now()))

    def _execute(self, actions: list[Action]) -> None:
        """Execute the actions of the failure detector, and set the timer for its next tick."""
        for action in actions:
            match action:
                case SendDatagram(to, datagram):
                    self._transport.send(to, datagram)
                case NodeStateChanged():
                    _log_state_change(action)
                case NodeRestarted(name, _):
                    logger.info("fleet: {} continues in another process", name)
                case NameConflictDetected(name):
                    logger.error("fleet: two processes use the name {}", name)
        if self._timer is None or self._timer.deadline_ms > self._swim.next_tick_ms:
            if self._timer is not None:
                self._timer.cancel()
            self._timer = self._node.timers.call_at(self._swim.next_tick_ms, self._on_timer)


def _create_swim(node: ClusterNode, members: Mapping[str, Address], values: Mapping[str, Any]) -> Swim:
    timing = SwimTiming(values["period"] * 1_000.0, values["answer"] * 1_000.0, values["suspicion"])
    config = SwimConfig(node.name, node.incarnation, node.seed, timing)
    return Swim(config, members, node.clock.now())


def _open_socket(node: ClusterNode, address: Address, values: Mapping[str, Any]) -> socket.socket:
    try:
        return node.system.open_datagram_socket(address.host, address.port)
    except OSError as err:
        raise option_error(values, "listen", f"{address}: {err.strerror}") from None


def _log_state_change(change: NodeStateChanged) -> None:
    state = "no member" if change.state is None else change.state.name.lower()
    logger.info("fleet: {} is {}, incarnation {}: {}", change.name, state, change.incarnation, change.reason)
