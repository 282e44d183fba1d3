"""Imports asyncio without TLS, which no connection of a courier uses."""

from __future__ import annotations

import sys
from types import ModuleType
from typing import Final, cast

_TLS_MODULE: Final = "ssl"
# `import` raises ModuleNotFoundError for a module with this entry (Python reference, "The module cache").
_NOT_FOUND: Final = cast("ModuleType", None)


def import_asyncio_without_tls() -> None:
    """Import asyncio, as on a Python without OpenSSL, which takes 4 MB of a process's memory.

    Without effect if asyncio or TLS is imported already. Later imports of TLS succeed.
    """
    if "asyncio" in sys.modules or _TLS_MODULE in sys.modules:
        return
    sys.modules[_TLS_MODULE] = _NOT_FOUND
    try:
        import asyncio  # noqa: F401  # for its import alone
    finally:
        del sys.modules[_TLS_MODULE]
