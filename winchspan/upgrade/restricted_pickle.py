"""Pickles that may only name winchspan's own classes and plain library types.

An arbitrary pickle could name any function to be called. Both processes run as the same user, so this is a
second line of defence. It also detects early if a state names a class that this program does not have.
"""

from __future__ import annotations

import io
import pickle
from typing import Any, Final

from winchspan.upgrade.errors import HandOverError, StateFormatError

_PROTOCOL: Final = 5
_MAX_ERROR_CHARACTERS: Final = 200
# Modules whose classes are allowed in a state.
_ALLOWED_MODULES: Final = {
    "winchspan.api.commands",
    "winchspan.api.events",
    "winchspan.api.overload_control",
    "winchspan.api.settings",
    "winchspan.config.platform",
    "winchspan.delivery.engine",
    "winchspan.delivery.engine_state",
    "winchspan.delivery.messages",
    "winchspan.net.attempt_transport",
    "winchspan.net.client_connection",
    "winchspan.net.endpoint_directory",
    "winchspan.net.http",
    "winchspan.net.http_call",
    "winchspan.net.http_connection",
    "winchspan.runtime.sketches",
    "winchspan.runtime.slot_table",
    "winchspan.scheduling.demand",
    "winchspan.scheduling.endpoint_health",
    "winchspan.scheduling.scheduler",
    "winchspan.scheduling.slow_start",
    "winchspan.scheduling.state",
}
_ALLOWED_PACKAGES: Final = ("winchspan.overload.",)  # all classes of these packages are allowed
# Library classes and functions that pickles of these classes name.
_ALLOWED_LIBRARY_NAMES: Final = {
    ("collections", "deque"),
    ("collections", "OrderedDict"),
    ("array", "array"),
    ("array", "_array_reconstructor"),
    ("itertools", "count"),
    ("random", "Random"),
    ("builtins", "set"),
    ("builtins", "bytearray"),
    ("copyreg", "_reconstructor"),
    ("builtins", "object"),
    ("copyreg", "__newobj__"),
}


class RestrictedUnpickler(pickle.Unpickler):
    """Reads only pickles that name allowed classes."""

    def find_class(self, module: str, name: str) -> Any:  # noqa: ANN401  signature of the base class
        """Return an allowed class or function; raises HandOverError for any other."""
        if "." not in name and (module, name) in _ALLOWED_LIBRARY_NAMES:
            return super().find_class(module, name)
        if "." not in name and (module in _ALLOWED_MODULES or module.startswith(_ALLOWED_PACKAGES)):
            found = super().find_class(module, name)
            if isinstance(found, type) and found.__module__ == module:
                return found
        raise HandOverError(f"{module}.{name} is no part of a state; expected an allowed class")


def dump(value: object) -> bytes:
    """Pickle a value; raises HandOverError."""
    try:
        return pickle.dumps(value, protocol=_PROTOCOL)
    except (pickle.PicklingError, TypeError, AttributeError, RecursionError) as err:
        raise HandOverError(f"the state cannot be pickled: {err!r:.{_MAX_ERROR_CHARACTERS}}") from err


def load(encoded: bytes, unpickler: type[RestrictedUnpickler] = RestrictedUnpickler) -> object:
    """Load a pickle; raises HandOverError."""
    return load_with(unpickler(io.BytesIO(encoded)))


def load_with(unpickler: RestrictedUnpickler) -> object:
    """Load the pickle of an unpickler; raises HandOverError."""
    try:
        return unpickler.load()
    except HandOverError:
        raise
    except Exception as err:  # a damaged pickle may raise any exception
        problem = f"{err!r:.{_MAX_ERROR_CHARACTERS}}"
        raise StateFormatError("pickle", problem, "a complete pickle") from err
