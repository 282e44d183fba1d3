"""Common interface of the services that depend on consensus, and their creation."""

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
    from winchspan.cluster.redelivery_service import ClusterRedeliveryRateLimiter
    from winchspan.cluster.replication_service import ReplicationService


class ClusterService(Protocol):
    """A service that depends on consensus."""

    def start(self) -> None:
        """Start the service."""

    def metrics(self) -> dict[str, int]:
        """Return gauges and counters by metric name."""

    def status(self) -> dict[str, Any]:
        """Return entries of the status document."""

    def close(self) -> None:
        """Stop the service, and close its files."""


@dataclass(slots=True)
class ClusterServices:
    """Consensus and the enabled services.

    Attributes:
        consensus: consensus service.
        all: services that depend on consensus, in the order of their start.
        health_checks: health checks and shared backoff; None if both are disabled.
        replication: replication service; None if it is disabled.
        redelivery_rate: shared rate of redeliveries, in place of the rules' own; None if it is disabled.
    """

    consensus: ConsensusService
    all: list[ClusterService] = field(default_factory=list)
    health_checks: HealthCheckService | None = None
    replication: ReplicationService | None = None
    redelivery_rate: ClusterRedeliveryRateLimiter | None = None


class ClusterServiceFactory:
    """Creates the services that the operator's file enables."""

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
        """Create consensus and the services that depend on it.

        Raises:
            ConfigError: if an option cannot be used with this configuration.
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
        from winchspan.cluster.redelivery_service import ClusterRedeliveryRateLimiter, RedeliveryService
        from winchspan.dead_letters.setup import redelivery_rules

        rules = redelivery_rules(self._operator.get("resend", {}))
        service = RedeliveryService(self._node, services.consensus, rules)
        services.redelivery_rate = ClusterRedeliveryRateLimiter(service)
        services.all.append(service)
