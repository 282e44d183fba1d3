"""The files, packages and functions that the engineers' pages name exist."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = (
    "docs/ARCHITECTURE.md",
    "docs/GLOSSARY.md",
    "docs/copies.md",
    "docs/design.md",
    "docs/duties.md",
    "docs/owners.md",
    "docs/retune.md",
    "docs/undelivered.md",
    "docs/upgrade.md",
    "CONTRIBUTING.md",
    "README.md",
    "tests/compatibility/README.md",
)
# Created by a run, and not part of the tree.
RUN_ONLY = {"examples/state", ".ci/venv", ".venv"}


def links(page: Path) -> list[str]:
    """Return the targets of a page's relative links."""
    return [link for link in re.findall(r"\]\(([^)#\s]+)\)", page.read_text()) if "://" not in link]


def paths(page: Path) -> list[str]:
    """Return the paths from the root that a page names in backticks."""
    return re.findall(
        r"`((?:winchspan|tests|docs|examples|benchmarks|deploy|\.ci)/[\w./-]+?)/?`", page.read_text()
    )


def functions(path: Path) -> set[str]:
    """Return the qualified names of a module's functions and classes."""
    names: set[str] = set()

    def walk(node: ast.AST, prefix: str) -> None:
        for child in ast.iter_child_nodes(node):
            if isinstance(child, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef):
                names.add(prefix + child.name)
                walk(child, f"{prefix}{child.name}.")

    walk(ast.parse(path.read_text()), "")
    return names


@pytest.mark.parametrize("name", PAGES)
def test_page_links_and_paths_exist(name: str):
    page = ROOT / name
    missing = [link for link in links(page) if not (page.parent / link).exists()]
    missing += [path for path in paths(page) if path not in RUN_ONLY and not (ROOT / path).exists()]
    assert missing == []


def test_architecture_page_names_every_package():
    named = set(re.findall(r"\.\./winchspan/(\w+)", (ROOT / "docs" / "ARCHITECTURE.md").read_text()))
    aliases = {"emulator", "lab", "standins"}  # kept as names of commands
    packages = {path.parent.name for path in (ROOT / "winchspan").glob("*/__init__.py")}
    assert packages - aliases <= named


def test_races_page_names_functions_that_exist():
    rows = [row for row in (ROOT / "docs" / "races.md").read_text().splitlines() if row.startswith("| ")]
    named = [re.findall(r"`(\w+/\w+\.py):([\w.]+)`", row) for row in rows if "`test_" in row]
    assert len(named) > 30
    missing = [
        f"{path}:{name}"
        for row in named
        for path, name in row
        if not (ROOT / "winchspan" / path).exists() or name not in functions(ROOT / "winchspan" / path)
    ]
    assert missing == []
    assert all(named), "each race names its function"
