"""Loads an operator's file: reads and validates it, and checks the consistency of its sections."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final

from winchspan.config.operator.reader import OperatorError, read_nodes
from winchspan.config.operator.schema import location_of, validate_sections
from winchspan.config.operator.sections import SECTIONS

MAX_SOCKET_PATH_BYTES: Final = 100
"""Slightly below the limit of the system for a socket path: unix(7)."""

ROUNDING_TOLERANCE: Final = 1e-9


def load_operator_file(path: Path) -> dict[str, dict[str, Any]]:
    """Load an operator's file.

    Returns:
        The values of each section by key; for a repeatable section, by name and key.

    Raises:
        OperatorError: if it is invalid; the message names file, line, column and key.
    """
    values = validate_sections(read_nodes(_read_text(path), str(path)), SECTIONS, str(path))
    _check_resend_rules(path, values["resend"])
    _check_control(path, values["control"])
    _check_undelivered(path, values["undelivered"])
    _check_shared_resends(values)
    _check_storms(path, values["storms"])
    return values


def _read_text(path: Path) -> str:
    """Read the file's text."""
    try:
        return path.read_text(encoding="utf-8")
    except OSError as err:
        raise OperatorError(f"{path}: cannot read it: {err.strerror}") from None
    except UnicodeDecodeError as err:
        raise OperatorError(f"{path}: not UTF-8: byte {err.start}") from None


def _check_resend_rules(path: Path, rules: Mapping[str, Mapping[str, Any]]) -> None:
    """Check that each rule has either no hours or a first and a last one."""
    for title, rule in rules.items():
        hour_count = len(rule["hours"])
        if hour_count not in (0, 2):
            raise OperatorError(f"{path}: resend.hours of {title!r}: expected two numbers, not {hour_count}")


def _check_control(path: Path, control: Mapping[str, Any]) -> None:
    """Check that the control socket can be created, if it is enabled."""
    if not control["on"]:
        return
    socket_path = control["socket"]
    is_short = len(socket_path.encode()) <= MAX_SOCKET_PATH_BYTES
    if not socket_path or not Path(socket_path).parent.is_dir() or not is_short:
        raise OperatorError(
            f"{path}: control.socket: expected a name of up to {MAX_SOCKET_PATH_BYTES} bytes in an "
            f"existing folder, not {socket_path!r:.80}"
        )


def _check_undelivered(path: Path, undelivered: Mapping[str, Any]) -> None:
    """Check that the directory of the store exists, if the store is enabled."""
    folder = undelivered["folder"]
    if undelivered["on"] and not (folder and Path(folder).is_dir()):
        raise OperatorError(f"{path}: undelivered.folder: expected an existing folder, not {folder!r:.80}")


def _check_shared_resends(values: Mapping[str, Mapping[str, Any]]) -> None:
    """Check that there is a store for resend rules that the fleet shares."""
    fleet = values["fleet"]
    if fleet["on"] and fleet["shared-resends"] and not values["undelivered"]["on"]:
        raise OperatorError(
            f"{location_of(fleet, 'shared-resends')}: fleet.shared-resends: needs "
            "undelivered.on: there are no messages to resend otherwise"
        )


def _check_storms(path: Path, storms: Mapping[str, Any]) -> None:
    """Check the consistency of the shares in the section `storms`."""
    calm_share = storms["calm-share"]
    storm_share = storms["storm-share"]
    if calm_share >= storm_share:
        raise OperatorError(
            f"{path}: storms.calm-share: must be below storms.storm-share, {storm_share:g}, "
            f"not {calm_share:g}"
        )
    parts_sum = sum(storms["parts"])
    if parts_sum > 1.0 + ROUNDING_TOLERANCE:
        raise OperatorError(f"{path}: storms.parts: must sum to at most 1, not {parts_sum:g}")
