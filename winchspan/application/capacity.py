"""Division of a courier's limits on disk space, memory and file descriptors among its parts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from winchspan import api
from winchspan.config.platform import PlatformConfig

if TYPE_CHECKING:
    from winchspan.application.component import OperatorOptions

ADMIN_DESCRIPTOR_COUNT: Final = 18  # the listening socket, 16 connections, one being accepted
OWN_DESCRIPTOR_COUNT: Final = 16  # standard streams, the event loop, the journal, the listening socket
IDLE_MEMORY_BYTES: Final = 32 * 1024 * 1024  # of a process with messages and without clients
CLIENT_MEMORY_BYTES: Final = 8 * 1024  # of a client connection without an incomplete request
CLIENT_MEMORY_SHARE: Final = 0.3  # share of the memory beyond the idle process for client connections
RECEIVE_BUFFER_SHARE: Final = 0.25  # the same for their incomplete requests
MIN_CLIENT_SHARE: Final = 1 / 3  # of the descriptors; clients that mean well hold no more (LATER, "Score")
MIN_RECEIVE_BUFFER_BYTES: Final = 512 * 1024  # a few requests of the greatest size
CONSENSUS_STORE_BYTES: Final = 512 * 1024  # maximum size of a consensus store's files (consensus/store.py)


def is_cluster_enabled(operator: OperatorOptions) -> bool:
    """Return whether the operator's file enables the cluster."""
    return bool(operator.get("fleet", {}).get("on"))


def journal_capacity_bytes(config: PlatformConfig, operator: OperatorOptions) -> int:
    """Return the disk space for the journal, without that of the cluster's files in its directory."""
    if not is_cluster_enabled(operator):
        return config.max_disk_bytes
    from winchspan.config.operator.fleet_section import needs_consensus, replica_quota_bytes

    values = operator["fleet"]
    consensus_bytes = CONSENSUS_STORE_BYTES if needs_consensus(values) else 0
    return config.max_disk_bytes - consensus_bytes - replica_quota_bytes(values)


def connection_capacity(config: PlatformConfig, operator: OperatorOptions) -> int:
    """Return the number of descriptors for connections to clients and endpoints."""
    admin_count = ADMIN_DESCRIPTOR_COUNT if config.admin_address else 0
    cluster_count = int(is_cluster_enabled(operator))
    return config.max_sockets - (OWN_DESCRIPTOR_COUNT + admin_count + cluster_count)


def max_client_connections(capacity: int, settings: api.Settings, max_memory_bytes: int) -> int:
    """Return the maximum number of client connections.

    Args:
        capacity: descriptors for connections to clients and endpoints; the rest is for the endpoints.
        settings: the settings in force.
        max_memory_bytes: the process's memory limit.
    """
    by_memory = int(CLIENT_MEMORY_SHARE * _client_memory_bytes(max_memory_bytes)) // CLIENT_MEMORY_BYTES
    by_descriptors = max(capacity // 2, capacity - settings.slots - 4)
    return min(by_descriptors, max(by_memory, int(MIN_CLIENT_SHARE * capacity)))


def receive_buffer_bytes(max_memory_bytes: int) -> int:
    """Return the memory for the incomplete requests of all clients together.

    Descriptors do not bound it: each of hundreds of clients may stop in the middle of a large request.
    """
    by_memory = int(RECEIVE_BUFFER_SHARE * _client_memory_bytes(max_memory_bytes))
    return max(by_memory, MIN_RECEIVE_BUFFER_BYTES)


def _client_memory_bytes(max_memory_bytes: int) -> int:
    return max(0, max_memory_bytes - IDLE_MEMORY_BYTES)


def spare_descriptor_count(config: PlatformConfig, open_count: int) -> int:
    """Return the number of unused descriptors while two processes share the limit during an upgrade."""
    return config.max_sockets - open_count - 2 * (OWN_DESCRIPTOR_COUNT + ADMIN_DESCRIPTOR_COUNT)
