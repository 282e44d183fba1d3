"""Computes the fingerprint that shows whether two programs share decision code and state format."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from pathlib import Path
from typing import Final

# Packages and modules that define objects of the state or decide on them.
_FINGERPRINTED_PACKAGES: Final = (
    "api",
    "config",
    "delivery",
    "net",
    "overload",
    "runtime",
    "scheduling",
    "upgrade",
)
_FINGERPRINT_CHARACTERS: Final = 32


def program_fingerprint() -> str:
    """Return a digest of the fingerprinted packages, equal only if their sources are equal to the byte."""
    root = Path(__file__).parent.parent
    digest = hashlib.sha256()
    for path in _source_files(root):
        digest.update(path.relative_to(root).as_posix().encode())
        digest.update(path.read_bytes())
    return digest.hexdigest()[:_FINGERPRINT_CHARACTERS]


def _source_files(root: Path) -> Iterator[Path]:
    for name in _FINGERPRINTED_PACKAGES:
        module = root / f"{name}.py"
        if module.exists():
            yield module
        yield from sorted((root / name).rglob("*.py"))
