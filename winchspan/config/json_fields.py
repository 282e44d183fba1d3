"""Typed access to the fields of untrusted JSON objects; every error names its field."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any, Final, TypeVar

from winchspan.config.errors import ConfigurationError

_T = TypeVar("_T")
MAX_FINITE: Final = 1e300
"""Upper bound on the magnitude of numbers, as Python's JSON parser accepts NaN and infinities."""


class FieldError(ConfigurationError):
    """A field is missing or has the wrong type or value; the message names the field."""


def parse_json(data: bytes | str) -> Any:  # noqa: ANN401 - the caller checks the type
    """Parse untrusted JSON.

    Raises:
        FieldError: if it is not valid JSON, or is nested too deeply.
    """
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as err:
        raise FieldError(f"not JSON: {err}") from None


def read_field(
    obj: Mapping[str, Any], name: str, types: type[_T] | tuple[type[_T], ...], default: _T | None = None
) -> _T:
    """Return a field of the given type, or its default if the field is absent or null.

    Raises:
        FieldError: if it has another type, or is absent without a default.
    """
    value = obj.get(name)
    if value is None:
        if default is None:
            raise FieldError(f"missing field {name!r}")
        return default
    if not isinstance(value, types) or (isinstance(value, bool) and types is not bool):
        raise FieldError(f"field {name!r} has the wrong type: {value!r:.60}")
    return value


def read_integer(obj: Mapping[str, Any], name: str, default: int | None = None) -> int:
    """Return an integer; JSON may represent it as a float without a fraction.

    Raises:
        FieldError: if it is not an integer, or is absent without a default.
    """
    value = read_field(obj, name, (int, float), default)
    if isinstance(value, float) and not value.is_integer():  # also false for NaN and infinities
        raise FieldError(f"field {name!r} is not an integer: {value!r}")
    return int(value)


def read_finite_number(obj: Mapping[str, Any], name: str, default: float | None = None) -> float:
    """Return a number that is neither NaN nor infinite.

    Raises:
        FieldError: if it is not such a number, or is absent without a default.
    """
    value = read_field(obj, name, (int, float), default)
    if not abs(value) < MAX_FINITE:  # NaN compares as false
        raise FieldError(f"field {name!r} is out of range: {value!r:.60}")
    return float(value)


def read_choice(choices: Mapping[Any, _T], value: object, name: str) -> _T:
    """Return the choice that a word or code of the wire represents.

    Raises:
        FieldError: if the value is not one of the choices.
    """
    try:
        return choices[value]
    except (KeyError, TypeError):
        raise FieldError(f"field {name!r} has an unknown value: {value!r:.60}") from None


def read_array(obj: Mapping[str, Any], name: str) -> list[Any]:
    """Return an array, empty if absent; raises FieldError if the field has another type."""
    empty: list[Any] = []
    return read_field(obj, name, list, empty)


def read_object(obj: Mapping[str, Any], name: str) -> dict[str, Any]:
    """Return an object, empty if absent; raises FieldError if the field has another type."""
    empty: dict[str, Any] = {}
    return read_field(obj, name, dict, empty)


def key_paths(data: object, parent: str = "", excluded: frozenset[str] = frozenset()) -> set[str]:
    """Return the dotted paths of all keys with a value.

    Args:
        data: parsed JSON.
        parent: the path of `data` itself.
        excluded: paths that are omitted, with all paths below them.

    Returns:
        The paths; for an array of objects (`name[]`), those that all of its objects have.
    """
    if isinstance(data, dict):
        paths: set[str] = set()
        for key, value in data.items():
            path = f"{parent}.{key}" if parent else str(key)
            if value is not None and path not in excluded:
                paths.add(path)
                paths |= key_paths(value, path, excluded)
        return paths
    if isinstance(data, list) and data and all(isinstance(row, dict) for row in data):
        return set.intersection(*(key_paths(row, f"{parent}[]", excluded) for row in data))
    return set()
