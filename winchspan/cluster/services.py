"""The services that rest on consensus: what they have in common, and how they are created."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Protocol

from winchspan.cluster.consensus_service import ConsensusOptions, ConsensusPorts, ConsensusService
from winchspan.cluster.node import ClusterNode, DeliveryResources
from winchspan.cluster.options import consensus_key, leased_roles, option_error
from winchspan.config.operator.fleet_section import replica_quota_bytes
from winchspan.config.platform import Address, PlatformConfig
from winchspan.consensus.store import MAX_STORE_BYTES, ConsensusStoreError

if TYPE_CHECKING:
    from winchspan.cluster.health_check_service import HealthCheckService
    from winchspan.cluster.redelivery_service import ClusterRedeliveryRate
    from winchspan.cluster.replication_service import ReplicationService


class ClusterService(Protocol):
    """A service that rests on consensus."""

    def start(self) -> None:
        """Start."""

    def metrics(self) -> dict[str, int]:
        """Return gauges and counters by metric name."""

    def status(self) -> dict[str, Any]:
        """Return entries of the status document."""

    def close(self) -> None:
        """Stop, and close files."""


@dataclass(slots=True)
class ClusterServices:
    """Consensus and the services that are switched on.

    Attributes:
        consensus: the consensus service.
        all: the services that rest on it, in the order in which they are started.
        health_checks: also shares backoff; None if both are off.
        replication: None if it is off.
        redelivery_rate: of dead letters, in place of the rules' own; None if it is off.
    """

    consensus: ConsensusService
    all: list[ClusterService] = field(default_factory=list)
    health_checks: HealthCheckService | None = None
    replication: ReplicationService | None = None
    redelivery_rate: ClusterRedeliveryRate | None = None


class ClusterServiceFactory:
    """Creates the services that the operator's file switches on."""

    def __init__(
        self,
        node: ClusterNode,
        operator: Mapping[str, Mapping[str, Any]],
        delivery: DeliveryResources,
    ) -> None:
        self._node = node
        self._operator = operator
        self._values = operator["fleet"]
        self._delivery = delivery

    def create(
        self, config: PlatformConfig, members: Mapping[str, Address], secret: bytes, ports: ConsensusPorts
    ) -> ClusterServices:
        """Create consensus and the services that rest on it.

        Raises:
            ConfigError: if they cannot be had here.
        """
        services = ClusterServices(self._create_consensus(config, members, secret, ports))
        if self._values["probe-every"] or self._values["shared-waits"]:
            self._add_health_checks(services)
        if self._values["copies"]:
            self._add_replication(services)
        if self._values["shared-resends"]:
            self._add_redelivery(services)
        return services

    def _create_consensus(
        self, config: PlatformConfig, members: Mapping[str, Address], secret: bytes, ports: ConsensusPorts
    ) -> ConsensusService:
        values, key = self._values, consensus_key(self._values)
        if config.max_disk_bytes - replica_quota_bytes(values) < 2 * MAX_STORE_BYTES:
            raise option_error(
                values,
                key,
                f"the agreement's files take {MAX_STORE_BYTES >> 10} KiB, and limits.disk_mb leaves "
                "the journal less than that",
            )
        options = ConsensusOptions(
            leased_roles(values), secret, values["drift"], values["zone"], values["region"]
        )
        try:
            return ConsensusService(self._node, members, options, ports)
        except ConsensusStoreError as err:
            raise option_error(values, key, str(err)) from None

    def _add_health_checks(self, services: ClusterServices) -> None:
        from winchspan.cluster.health_check_service import HealthCheckOptions, HealthCheckService

        values = self._values
        options = HealthCheckOptions(
            values["probe-every"] * 1_000.0, values["probe-path"], values["shared-waits"]
        )
        service = HealthCheckService(self._node, self._delivery, services.consensus, options)
        services.health_checks = service
        services.all.append(service)

    def _add_replication(self, services: ClusterServices) -> None:
        from winchspan.cluster.replica_placer import ReplicationOptions
        from winchspan.cluster.replication_service import ReplicationService

        values = self._values
        options = ReplicationOptions(values["copies"], values["copies-strict"], replica_quota_bytes(values))
        try:
            service = ReplicationService(self._node, self._delivery, services.consensus, options)
        except OSError as err:
            raise option_error(values, "copies", str(err.strerror)) from None
        services.replication = service
        services.all.append(service)

    def _add_redelivery(self, services: ClusterServices) -> None:
        from winchspan.cluster.redelivery_service import ClusterRedeliveryRate, RedeliveryService
        from winchspan.dead_letters.setup import redelivery_rules

        rules = redelivery_rules(self._operator.get("resend", {}))
        service = RedeliveryService(self._node, services.consensus, rules)
        services.redelivery_rate = ClusterRedeliveryRate(service)
        services.all.append(service)
