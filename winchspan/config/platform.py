"""Reads and validates the platform's configuration, and fills in defaults.

The file named by ROUTER_CONFIG holds the configuration as JSON; ROUTER_NAME, ROUTER_LISTEN, ROUTER_DISCOVERY,
ROUTER_STATE and ROUTER_ADMIN override the file. Every error names the faulty key.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, Final, NamedTuple

from winchspan import api
from winchspan.config.errors import ConfigurationError
from winchspan.config.json_fields import (
    FieldError,
    key_paths,
    parse_json,
    read_field,
    read_finite_number,
    read_integer,
    read_object,
)
from winchspan.config.settings import settings_from_wire

MIN_SOCKETS: Final = 32
MAX_PORT: Final = 65_535
MAX_DESCRIPTOR_DIGITS: Final = 7
BYTES_PER_MEGABYTE: Final = 1_000_000
LOG_LEVELS: Final = ("DEBUG", "INFO", "WARNING", "ERROR")
_DEFAULT_SOCKETS: Final = 1_024
_DEFAULT_DISK_MEGABYTES: Final = 3.0
_DEFAULT_MEMORY_MEGABYTES: Final = 192.0
_START_ONLY_KEYS: Final = frozenset({"known", "seed", "admin"})


class ConfigError(ConfigurationError):
    """The platform's configuration is invalid; the message names the faulty key."""


@dataclass(frozen=True, slots=True)
class Address:
    """An address to listen on or to connect to."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class ConfigurationInForce(NamedTuple):
    """The configuration of the platform's file that a process acts by, as it is handed over.

    Attributes:
        document: the file's object as JSON, without the keys that apply only at the start.
        loaded_at_ms: monotonic clock reading at which the file was read, comparable between processes.
        is_reloaded: whether a SIGHUP has put it in force, in this process or in one before.
    """

    document: bytes
    loaded_at_ms: float = 0.0
    is_reloaded: bool = False


_EMPTY_CONFIGURATION: Final = ConfigurationInForce(b"{}")


class FileVersion(NamedTuple):
    """What changes when a file is replaced: its inode, its modification time and its size."""

    inode: int
    modified_ns: int
    size_bytes: int


@dataclass(frozen=True, slots=True)
class PlatformConfig:
    """The configuration of a courier at its start.

    Attributes:
        name: the courier's name.
        listen: the address to which clients connect.
        discovery: the address of the discovery service.
        data_directory: an existing directory that survives a restart.
        seed: the seed of the random numbers.
        max_sockets: upper bound on open sockets.
        max_disk_bytes: upper bound on the size of the data directory.
        max_memory_bytes: upper bound on the memory of the process.
        log_level: the lowest level that is logged.
        known_endpoints: the initial endpoint list.
        settings: the settings of the scheduler.
        admin_address: the address of the admin server; None if there is none.
        present_keys: the dotted paths of the keys in the file.
        listener_fd: the descriptor of the clients' listening socket, if the platform has opened it.
        in_force: what the file says, and since when.
        file_version: the version of the file that was read; None without a file.
    """

    name: str
    listen: Address
    discovery: Address
    data_directory: Path
    seed: int
    max_sockets: int
    max_disk_bytes: int
    max_memory_bytes: int
    log_level: str
    known_endpoints: Mapping[str, Any]
    settings: api.Settings
    admin_address: Address | None = None
    present_keys: frozenset[str] = frozenset()
    listener_fd: int | None = None
    in_force: ConfigurationInForce = _EMPTY_CONFIGURATION
    file_version: FileVersion | None = None


@dataclass(frozen=True, slots=True)
class _Fields:
    """The parsed fields of the file and of the environment, before their ranges are checked."""

    name: str
    listen: Address
    discovery: Address
    admin_address: Address | None
    listener_fd: str
    data_directory: Path
    max_sockets: int
    disk_megabytes: float
    memory_megabytes: float
    log_level: str
    known_endpoints: Mapping[str, Any]
    seed: int


def load_platform_config(environ: Mapping[str, str], now_ms: float = 0.0) -> PlatformConfig:
    """Load the configuration.

    Args:
        environ: the environment variables.
        now_ms: the clock's monotonic reading.

    Raises:
        ConfigError: if it is invalid.
    """
    path = environ.get("ROUTER_CONFIG")
    version = read_file_version(path or "")
    config = build_platform_config(environ, read_config_file(path) if path else {})
    in_force = config.in_force._replace(loaded_at_ms=now_ms)
    return replace(config, in_force=in_force, file_version=version)


def parse_address(text: str, key: str) -> Address:
    """Parse an address `host:port`.

    Args:
        text: the address.
        key: the key that an error names.

    Raises:
        ConfigError: if the text is not an address.
    """
    host, colon, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not colon or not host or not is_number or int(port) > MAX_PORT:
        raise ConfigError(f"{key}: expected host:port, not {text!r:.80}")
    return Address(host.strip("[]"), int(port))


def read_file_version(path: str) -> FileVersion | None:
    """Return the version of the file; None if there is none."""
    if not path:
        return None
    try:
        status = Path(path).stat()
    except OSError:
        return None
    return FileVersion(status.st_ino, status.st_mtime_ns, status.st_size)


def read_config_file(path: str) -> dict[str, Any]:
    """Read the JSON object of the file; raises ConfigError."""
    try:
        data = parse_json(Path(path).read_bytes())
    except OSError as err:
        raise ConfigError(f"ROUTER_CONFIG: cannot read {path}: {err.strerror}") from None
    except FieldError as err:
        raise ConfigError(f"ROUTER_CONFIG: {path}: {err}") from None
    if not isinstance(data, dict):
        raise ConfigError(f"ROUTER_CONFIG: {path} must hold an object")
    return data


def present_keys(data: Mapping[str, Any]) -> frozenset[str]:
    """Return the paths of the file's keys, except for those that apply only at the start."""
    return frozenset(key_paths(data, excluded=_START_ONLY_KEYS))


def build_platform_config(environ: Mapping[str, str], data: Mapping[str, Any]) -> PlatformConfig:
    """Build the configuration from the file and the environment variables that override it.

    Raises:
        ConfigError: if it is invalid.
    """
    try:
        fields = _read_fields(environ, data)
    except FieldError as err:
        raise ConfigError(str(err)) from None
    _check_ranges(fields)
    return PlatformConfig(
        name=fields.name,
        listen=fields.listen,
        discovery=fields.discovery,
        data_directory=fields.data_directory,
        seed=fields.seed,
        max_sockets=fields.max_sockets,
        max_disk_bytes=int(fields.disk_megabytes * BYTES_PER_MEGABYTE),
        max_memory_bytes=int(fields.memory_megabytes * BYTES_PER_MEGABYTE),
        log_level=fields.log_level,
        known_endpoints=fields.known_endpoints,
        settings=_read_settings(data),
        admin_address=fields.admin_address,
        present_keys=present_keys(data),
        listener_fd=int(fields.listener_fd) if fields.listener_fd else None,
        in_force=ConfigurationInForce(_document(data)),
    )


def _document(data: Mapping[str, Any]) -> bytes:
    return json.dumps({key: value for key, value in data.items() if key not in _START_ONLY_KEYS}).encode()


def _read_fields(environ: Mapping[str, str], data: Mapping[str, Any]) -> _Fields:
    """Read all fields except for the settings."""

    def required(variable: str, key: str, default: str = "") -> str:
        value = environ.get(variable) or read_field(data, key, str, default)
        if not value:
            raise ConfigError(f"{key}: missing; give {variable} or {key!r} in ROUTER_CONFIG")
        return value

    limits = read_object(data, "limits")
    name = required("ROUTER_NAME", "name", "winchspan")
    listen = parse_address(required("ROUTER_LISTEN", "listen"), "listen")
    discovery = parse_address(required("ROUTER_DISCOVERY", "discovery"), "discovery")
    admin = environ.get("ROUTER_ADMIN") or read_field(data, "admin", str, "")
    return _Fields(
        name=name,
        listen=listen,
        discovery=discovery,
        admin_address=parse_address(admin, "admin") if admin else None,
        listener_fd=environ.get("ROUTER_SOCKET_FD", ""),
        data_directory=Path(required("ROUTER_STATE", "state")),
        max_sockets=read_integer(limits, "sockets", _DEFAULT_SOCKETS),
        disk_megabytes=read_finite_number(limits, "disk_mb", _DEFAULT_DISK_MEGABYTES),
        memory_megabytes=read_finite_number(limits, "memory_mb", _DEFAULT_MEMORY_MEGABYTES),
        log_level=environ.get("ROUTER_LOG", "INFO").upper(),
        known_endpoints=read_object(data, "known"),
        seed=_parse_seed(read_field(data, "seed", str, "0")),
    )


def _parse_seed(text: str) -> int:
    """Parse the seed from hexadecimal digits."""
    try:
        return int(text, 16)
    except ValueError:
        raise ConfigError(f"seed: expected hexadecimal digits, not {text!r:.80}") from None


def _check_ranges(fields: _Fields) -> None:
    """Raise a ConfigError that names the first field with an invalid value."""
    descriptor = fields.listener_fd
    is_number = descriptor.isascii() and descriptor.isdigit() and len(descriptor) <= MAX_DESCRIPTOR_DIGITS
    if descriptor and not is_number:
        raise ConfigError(f"ROUTER_SOCKET_FD: expected a descriptor's number, not {descriptor!r:.80}")
    if fields.max_sockets < MIN_SOCKETS:
        raise ConfigError(f"limits.sockets: must be at least {MIN_SOCKETS}, not {fields.max_sockets}")
    if fields.disk_megabytes <= 0:
        raise ConfigError(f"limits.disk_mb: must be positive, not {fields.disk_megabytes}")
    if fields.memory_megabytes <= 0:
        raise ConfigError(f"limits.memory_mb: must be positive, not {fields.memory_megabytes}")
    if fields.log_level not in LOG_LEVELS:
        raise ConfigError(f"ROUTER_LOG: expected DEBUG, INFO, WARNING or ERROR, not {fields.log_level!r:.80}")
    if not fields.data_directory.is_dir():
        raise ConfigError(f"state: {fields.data_directory} is not a directory")


def _read_settings(data: Mapping[str, Any]) -> api.Settings:
    """Read the settings object, which checks the types and ranges of its own fields."""
    try:
        return settings_from_wire(read_field(data, "settings", dict))
    except (FieldError, ValueError, TypeError, AttributeError, ArithmeticError) as err:
        raise ConfigError(f"settings: {err}") from None
