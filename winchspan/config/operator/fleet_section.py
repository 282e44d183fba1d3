"""The section `fleet` of the operator's file: couriers that form a cluster."""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any, Final

from winchspan.config.operator.schema import Key, KeyFault, Section
from winchspan.config.platform import Address, ConfigError, parse_address

MEMBER_NAME_PATTERN: Final = re.compile(r"[0-9A-Za-z_-]{1,64}")
RESERVED_ROLE_PREFIXES: Final = ("probes-", "resends", "work-")
"""Prefixes of the names of roles that the courier itself defines."""

MIN_MEMBER_COUNT: Final = 2
MIN_PROBE_INTERVAL_SECONDS: Final = 0.5
PERIOD_TO_TIMEOUT: Final = 3
"""A ping period must have time for a direct ping and for pings through other members."""

BYTES_PER_MEGABYTE: Final = 1e6
_CONSENSUS_KEYS: Final = ("duties", "probe-every", "shared-waits", "shared-resends", "copies")


def parse_member(text: str) -> tuple[str, Address]:
    """Parse the name and the address of a member, such as `n0=127.0.0.1:7100`.

    Raises:
        ValueError: with the expected format.
    """
    name, equals, address = text.partition("=")
    if not equals or not MEMBER_NAME_PATTERN.fullmatch(name):
        raise ValueError(
            f"expected NAME=HOST:PORT, the name of up to 64 letters, digits, - and _, not {text!r:.80}"
        )
    return name, parse_member_address(address)


def parse_member_address(text: str) -> Address:
    """Parse the address of a member; raises ValueError with the expected format."""
    try:
        return parse_address(text, "")
    except ConfigError:
        raise ValueError(f"expected HOST:PORT, not {text!r:.80}") from None


def needs_consensus(values: Mapping[str, Any]) -> bool:
    """Return whether a section `fleet` enables a service that is based on consensus."""
    return any(values[key] for key in _CONSENSUS_KEYS)


def replica_quota_bytes(values: Mapping[str, Any]) -> int:
    """Return the size limit, in bytes, of other couriers' replicas in the data directory."""
    return int(values["copies-mb"] * BYTES_PER_MEGABYTE) if values["copies"] else 0


def _find_faults(values: dict[str, Any]) -> Iterator[KeyFault]:
    """Check the values of a section, if it is enabled."""
    if not values["on"]:
        return
    yield from _find_member_faults(values)
    yield from _find_name_faults(values)
    yield from _find_probe_faults(values)
    yield from _find_replication_faults(values)
    yield from _find_timing_faults(values)
    if values["secret-file"] and not Path(values["secret-file"]).is_file():
        yield KeyFault("secret-file", f"expected an existing file, not {values['secret-file']!r:.80}")


def _find_member_faults(values: Mapping[str, Any]) -> Iterator[KeyFault]:
    """Check the list of members, and that it has this courier's address."""
    names = set[str]()
    addresses = set[Address]()
    for text in values["members"]:
        try:
            name, address = parse_member(text)
        except ValueError as err:
            yield KeyFault("members", str(err))
            continue
        if name in names:
            yield KeyFault("members", f"duplicate name {name!r}")
        if address in addresses:
            yield KeyFault("members", f"duplicate address {address}")
        names.add(name)
        addresses.add(address)
    if len(values["members"]) < MIN_MEMBER_COUNT:
        yield KeyFault("members", "expected at least two members")
    try:
        if parse_member_address(values["listen"]) not in addresses:
            yield KeyFault("listen", f"{values['listen']} is not the address of a member")
    except ValueError as err:
        yield KeyFault("listen", str(err))


def _find_name_faults(values: Mapping[str, Any]) -> Iterator[KeyFault]:
    """Check the names of zone, region and leased roles."""
    for key in ("zone", "region"):
        if values[key] and not MEMBER_NAME_PATTERN.fullmatch(values[key]):
            yield KeyFault(key, f"expected up to 64 letters, digits, - and _, not {values[key]!r:.80}")
    for name in values["duties"]:
        if not MEMBER_NAME_PATTERN.fullmatch(name):
            yield KeyFault("duties", f"expected names of up to 64 letters, digits, - and _, not {name!r:.80}")
        if name.startswith(RESERVED_ROLE_PREFIXES):
            yield KeyFault("duties", f"{name!r} is reserved for the courier's own roles")


def _find_probe_faults(values: Mapping[str, Any]) -> Iterator[KeyFault]:
    """Check the keys of health checks."""
    interval = values["probe-every"]
    if 0.0 < interval < MIN_PROBE_INTERVAL_SECONDS:
        yield KeyFault("probe-every", f"expected 0, or at least 0.5 s, not {interval:g}")
    path = values["probe-path"]
    if not path.startswith("/") or not path.isprintable():
        yield KeyFault("probe-path", f"expected a path, not {path!r:.80}")


def _find_replication_faults(values: Mapping[str, Any]) -> Iterator[KeyFault]:
    """Check the keys of replication."""
    replicas = values["copies"]
    member_count = len(values["members"])
    if replicas >= max(MIN_MEMBER_COUNT, member_count):
        yield KeyFault(
            "copies", f"{replicas} copies need {replicas + 1} members, and there are {member_count}"
        )
    if values["hand-over"] and not replicas:
        yield KeyFault(
            "hand-over", "needs fleet.copies: without replicas no member can take the messages over"
        )


def _find_timing_faults(values: Mapping[str, Any]) -> Iterator[KeyFault]:
    """Check that a ping period is long enough for its timeouts."""
    timeout = values["answer"]
    period = values["period"]
    if timeout * PERIOD_TO_TIMEOUT > period:
        yield KeyFault(
            "answer",
            f"must be a third of fleet.period, {period:g} s, at most, not {timeout:g} s: "
            "the period must also allow pings through other members",
        )


FLEET: Final = Section(
    "fleet",
    "A cluster of couriers; all of them have the same section, except for `listen`.",
    (
        Key("on", bool, False, "switch the subsystem on"),
        Key("listen", str, "", "address of this courier, HOST:PORT, UDP; required if on"),
        Key("members", tuple, (), "all couriers, each as NAME=HOST:PORT; required if on", item_type=str),
        Key("secret-file", str, "", "file with the key that signs frames; none: not signed"),
        Key("period", float, 0.3, "interval between two pings of a member", "s", 0.05, 60),
        Key("answer", float, 0.08, "timeout of a ping, before others ping the member", "s", 0.01, 20),
        Key(
            "suspicion",
            float,
            4.0,
            "least time for which a member is suspected, times log10 of the fleet's size",
            "periods",
            1,
            1_000,
        ),
        Key(
            "drift",
            float,
            0.01,
            "upper bound on the drift of a clock, as a fraction of time; the same for all members",
            "",
            0.0001,
            0.1,
        ),
        Key("zone", str, "", "zone of this courier, sent to the other members"),
        Key("region", str, "", "region of this courier, sent to the other members"),
        Key(
            "probe-every",
            float,
            0.0,
            "interval between two health checks of an endpoint, by one courier for all; 0: none",
            "s",
            0.0,
            86_400,
        ),
        Key("probe-path", str, "/-/healthy", "path that a health check requests"),
        Key("shared-waits", bool, False, "whether a wait requested from one courier binds all"),
        Key(
            "copies",
            int,
            0,
            "couriers that replicate the messages of a courier, to take them over if it fails",
            "",
            0,
            5,
        ),
        Key("copies-strict", bool, True, "reject messages while there are fewer replicas"),
        Key("hand-over", bool, False, "another courier takes over at SIGTERM; requires copies"),
        Key("copies-mb", float, 1.0, "data directory quota for others' replicas", "MB", 0.1, 1_000_000),
        Key("shared-resends", bool, False, "`resend` rules apply to the fleet, not to each courier"),
        Key("duties", tuple, (), "names of roles that one courier leases at a time", item_type=str),
    ),
    find_faults=_find_faults,
)
