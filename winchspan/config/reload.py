"""Decides which configuration is in force: that of the start, of SIGHUP, or of the process before.

There is one order: the file that was read last holds. A process that takes over compares the file of its own
start with the one that the serving process has in force, and reads the file again once it serves alone. After
any SIGHUP, in this process or in one before, the file's `discovery` takes precedence over ROUTER_DISCOVERY.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from loguru import logger

from winchspan.config.json_fields import FieldError, parse_json
from winchspan.config.platform import (
    ConfigError,
    ConfigurationInForce,
    FileVersion,
    PlatformConfig,
    build_platform_config,
    present_keys,
    read_config_file,
    read_file_version,
)


def reload_platform_config(
    environ: Mapping[str, str], running: PlatformConfig, now_ms: float = 0.0
) -> PlatformConfig:
    """Read the file again and return the running configuration with its `discovery` and `settings`.

    The file takes precedence over ROUTER_DISCOVERY, which cannot change while the process runs; otherwise
    the discovery address could never change. All other keys are checked, and take effect at the next start.

    Args:
        environ: the environment variables.
        running: the configuration in force.
        now_ms: the clock's monotonic reading.

    Raises:
        ConfigError: if the file is invalid, or lacks a key that it had before: an incomplete file must not
            replace values by defaults.
    """
    path = environ.get("ROUTER_CONFIG", "")
    version = read_file_version(path)
    data = read_config_file(path)
    missing_keys = running.present_keys - present_keys(data)
    if missing_keys:
        shortest = min(missing_keys, key=lambda path: (path.count("."), path))
        raise ConfigError(f"{shortest}: missing; the configuration in force has it")
    return _with_values(environ, running, data, now_ms, version)


def continue_platform_config(
    environ: Mapping[str, str],
    own: PlatformConfig,
    handed_over: ConfigurationInForce | None,
    now_ms: float = 0.0,
) -> PlatformConfig:
    """Return the configuration with which a process goes on that has taken over from another one.

    Guards against a SIGHUP that only the other process has received.

    Args:
        environ: the environment variables.
        own: the configuration that this process has read at its start.
        handed_over: the configuration in force in the other process; None if it does not tell.
        now_ms: the clock's monotonic reading.
    """
    config = own
    if handed_over is not None and handed_over.is_reloaded:
        config = _with_handed_over(environ, own, handed_over)
    if read_file_version(environ.get("ROUTER_CONFIG", "")) == own.file_version:
        return config
    try:
        return reload_platform_config(environ, config, now_ms)
    except ConfigError as err:
        logger.error("take-over: the previous configuration stays in force: {}", err)
        return config


def _with_handed_over(
    environ: Mapping[str, str], own: PlatformConfig, handed_over: ConfigurationInForce
) -> PlatformConfig:
    """Return the configuration that was read last, with the file's `discovery`."""
    latest = max(own.in_force, handed_over, key=lambda in_force: in_force.loaded_at_ms)
    try:
        data = parse_json(latest.document)
        if not isinstance(data, dict):
            raise FieldError("the document must be an object")
        return _with_values(environ, own, data, latest.loaded_at_ms, own.file_version)
    except (FieldError, ConfigError) as err:
        logger.error("take-over: the configuration of the previous process cannot be used: {}", err)
        return own


def _with_values(
    environ: Mapping[str, str],
    running: PlatformConfig,
    data: Mapping[str, object],
    loaded_at_ms: float,
    version: FileVersion | None,
) -> PlatformConfig:
    """Return the running configuration with `discovery` and `settings` of a file."""
    overrides = {"ROUTER_DISCOVERY": ""} if "discovery" in data else {}
    new = build_platform_config({**environ, **overrides}, data)
    return replace(
        running,
        discovery=new.discovery,
        settings=new.settings,
        present_keys=new.present_keys,
        in_force=new.in_force._replace(loaded_at_ms=loaded_at_ms, is_reloaded=True),
        file_version=version,
    )
