"""Derives this courier's options from the section `fleet` of the operator's file."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from winchspan.config.operator.fleet_section import parse_member, parse_member_address
from winchspan.config.operator.schema import location_of
from winchspan.config.platform import Address, ConfigError

# Keys that need consensus. An error that concerns consensus names the first of them that is set.
CONSENSUS_KEYS = ("duties", "probe-every", "shared-waits", "shared-resends", "copies")


def option_error(values: Mapping[str, Any], key: str, reason: str) -> ConfigError:
    """Return the error that a key of the section cannot be used, with the key's location in the file."""
    return ConfigError(f"{location_of(values, key)}: fleet.{key}: {reason}")


def consensus_key(values: Mapping[str, Any]) -> str:
    """Return the first key that is set and needs consensus."""
    return next(key for key in CONSENSUS_KEYS if values[key])


def cluster_members(values: Mapping[str, Any], name: str) -> dict[str, Address]:
    """Return the addresses of the members by name.

    Raises:
        ConfigError: unless this courier is one of the members, at its own address.
    """
    members = dict(map(parse_member, values["members"]))
    if name not in members:
        names = ", ".join(members)
        raise option_error(values, "members", f"this courier, {name!r}, is not among {names}")
    if members[name] != parse_member_address(values["listen"]):
        raise option_error(
            values, "listen", f"{values['listen']} is not the address of {name!r}, {members[name]}"
        )
    return members


def leased_roles(values: Mapping[str, Any]) -> tuple[str, ...]:
    """Return the leased roles: those of the operator's file and those of the couriers' shared tasks."""
    return (*values["duties"], *_cluster_task_roles(values))


def _cluster_task_roles(values: Mapping[str, Any]) -> tuple[str, ...]:
    roles: tuple[str, ...] = ()
    if values["probe-every"]:
        from winchspan.cluster_tasks.health_checks import shard_roles

        roles = shard_roles()
    if values["shared-resends"]:
        from winchspan.cluster_tasks.redelivery_rounds import REDELIVERY_ROLE

        roles += (REDELIVERY_ROLE,)
    if values["copies"]:
        from winchspan.leases.commands import journal_role

        roles += tuple(journal_role(parse_member(text)[0]) for text in values["members"])
    return roles
