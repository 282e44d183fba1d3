"""The schema language of the operator's file: sections and keys with types, units, ranges and defaults.

A key is written as `(key value)`, in the unit that the schema names. All faults of a file are reported
together, each with file, line, column and key.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any, NamedTuple, TypeAlias

from winchspan.config.operator.reader import Node, OperatorError

Atom: TypeAlias = bool | int | float | str


class KeyFault(NamedTuple):
    """A fault of a key in a section."""

    key: str
    text: str


@dataclass(frozen=True, slots=True)
class Key:
    """A key of a section.

    Attributes:
        name: the key in the file.
        value_type: bool, int, float, str or tuple; a tuple takes any number of values, each within the range.
        default: the value of an absent key.
        description: its description on the operators' page.
        unit: the unit of a number.
        minimum: the smallest allowed number.
        maximum: the largest allowed number.
        choices: the allowed words; empty: any word.
        item_type: the type of the values of a tuple: float, int or str.
    """

    name: str
    value_type: type
    default: Any
    description: str
    unit: str = ""
    minimum: float = 0.0
    maximum: float = 1e12
    choices: tuple[str, ...] = ()
    item_type: type = float

    @property
    def allowed_values(self) -> str:
        """The allowed values, as text."""
        if self.choices:
            return " or ".join(self.choices)
        if self.value_type is bool:
            return "yes or no"
        if self.value_type is str:
            return "a string"
        if self.value_type is tuple:
            if self.item_type is str:
                return "words"
            return f"numbers from {self.minimum:g} to {self.maximum:g}"
        unit = f" {self.unit}" if self.unit else ""
        return f"{self.minimum:g} to {self.maximum:g}{unit}"


@dataclass(frozen=True, slots=True)
class Section:
    """A section of the file: `(name (key value) ...)`.

    Attributes:
        name: the name of the section in the file.
        description: its description on the operators' page.
        keys: all keys of the section.
        is_repeatable: whether it may occur any number of times, each time with a different name:
            `(rule "nightly" (key value))`.
        find_faults: checks the consistency of the values.
    """

    name: str
    description: str
    keys: tuple[Key, ...]
    is_repeatable: bool = False
    find_faults: Callable[[dict[str, Any]], Iterable[KeyFault]] | None = None

    def defaults(self) -> dict[str, Any]:
        """Return the default of each key."""
        return {key.name: key.default for key in self.keys}


class Values(dict[str, Any]):
    """The values of a section by key, and the location of each key in the file; "" is that of the section."""

    locations: Mapping[str, str] = {"": "?"}


def location_of(values: Mapping[str, Any], key: str) -> str:
    """Return file, line and column of a key, or of its section if the key is absent."""
    locations = values.locations if isinstance(values, Values) else Values.locations
    return locations.get(key, locations[""])


def validate_sections(
    nodes: Iterable[Node], sections: Sequence[Section], name: str
) -> dict[str, dict[str, Any]]:
    """Check a file against the schema and fill in defaults.

    Args:
        nodes: the nodes of the file.
        sections: the schema.
        name: the file name in error messages.

    Returns:
        The values of each section by key; for a repeatable section, by name and key.

    Raises:
        OperatorError: if there are faults; the message has one line per fault.
    """
    validator = _Validator(sections, name)
    for node in nodes:
        validator.visit(node)
    return validator.result()


class _Validator:
    """Collects the values and the faults of one file."""

    def __init__(self, sections: Sequence[Section], file_name: str) -> None:
        self._sections = {section.name: section for section in sections}
        self._file_name = file_name
        self._found: dict[str, dict[str, Any]] = {}
        self._faults: list[str] = []

    def visit(self, node: Node) -> None:
        """Check one section of the file."""
        head = _head_word(node)
        if head is None:
            self._add_fault(node, "expected (section (key value) ...)")
            return
        section = self._sections.get(head.value)
        if section is None:
            known = ", ".join(self._sections)
            self._add_fault(head, f"{head.value}: unknown section; there are {known}")
        elif section.is_repeatable:
            self._visit_named(section, node)
        elif section.name in self._found:
            self._add_fault(head, f"{section.name}: duplicate section")
        else:
            self._found[section.name] = self._section_values(section, node)

    def result(self) -> dict[str, dict[str, Any]]:
        """Return the values of all sections; raises OperatorError if there are faults."""
        if self._faults:
            raise OperatorError("\n".join(self._faults))
        values = {}
        for section in self._sections.values():
            absent = {} if section.is_repeatable else section.defaults()
            values[section.name] = self._found.get(section.name, absent)
        return values

    def _add_fault(self, node: Node, text: str) -> None:
        self._faults.append(f"{self._location(node)}: {text}")

    def _location(self, node: Node) -> str:
        return f"{self._file_name}:{node.line}:{node.column}"

    def _visit_named(self, section: Section, node: Node) -> None:
        """Check one occurrence of a repeatable section."""
        named = self._found.setdefault(section.name, {})
        title = node.value[1].value if len(node.value) > 1 else None
        if not isinstance(title, str):
            self._add_fault(node, f"{section.name}: expected a name first")
        elif title in named:
            self._add_fault(node.value[1], f"{section.name}: duplicate name {title!r}")
        else:
            named[title] = section.defaults() | self._key_values(section, node.value[2:])

    def _section_values(self, section: Section, node: Node) -> Values:
        """Check a section that is not repeatable, including the consistency of its values."""
        parts: list[Node] = node.value[1:]
        values = Values(section.defaults() | self._key_values(section, parts))
        part_by_key = {
            head.value: part for head, part in zip(map(_head_word, parts), parts, strict=True) if head
        }
        if section.find_faults is not None:
            for key, text in section.find_faults(values):
                self._add_fault(part_by_key.get(key, node), f"{section.name}.{key}: {text}")
        locations = {key: self._location(part) for key, part in part_by_key.items()}
        values.locations = {"": self._location(node)} | locations
        return values

    def _key_values(self, section: Section, parts: Iterable[Node]) -> dict[str, Any]:
        """Return the values of the keys in one section."""
        keys = {key.name: key for key in section.keys}
        values: dict[str, Any] = {}
        for part in parts:
            head = _head_word(part)
            if head is None:
                self._add_fault(part, f"{section.name}: expected (key value)")
                continue
            path = f"{section.name}.{head.value}"
            key = keys.get(head.value)
            if key is None:
                self._add_fault(head, f"{path}: unknown key; there are {', '.join(keys)}")
            elif key.name in values:
                self._add_fault(head, f"{path}: duplicate key")
            else:
                self._read_value(key, part, path, values)
        return values

    def _read_value(self, key: Key, part: Node, path: str, values: dict[str, Any]) -> None:
        """Add the value of a key, `(key value)` or `(key value ...)`, to the values of its section."""
        operands: list[Node] = part.value[1:]
        faulty = part
        try:
            if key.value_type is tuple:
                item_key = replace(key, value_type=key.item_type)
                values[key.name] = tuple(_checked_atom(item_key, operand) for operand in operands)
            elif len(operands) != 1:
                self._add_fault(part, f"{path}: expected one value, not {len(operands)}")
            else:
                faulty = operands[0]
                values[key.name] = _checked_atom(key, faulty)
        except ValueError as err:
            self._add_fault(faulty, f"{path}: {err}")


def _head_word(node: Node) -> Node | None:
    """Return the word at the beginning of a list, or None if there is none."""
    if not node.is_list or not node.value:
        return None
    head: Node = node.value[0]
    return head if isinstance(head.value, str) else None


def _checked_atom(key: Key, node: Node) -> Atom:
    """Return the value of a key; raises ValueError with the expected values."""
    value = node.value
    if key.value_type is float and isinstance(value, int) and not isinstance(value, bool):
        value = float(value)
    is_valid = isinstance(value, key.value_type) and (key.value_type is bool or not isinstance(value, bool))
    if is_valid and key.value_type in (int, float):
        is_valid = key.minimum <= value <= key.maximum  # false for NaN
    if is_valid and key.choices:
        is_valid = value in key.choices
    if not is_valid:
        shown = "(...)" if node.is_list else value
        raise ValueError(f"expected {key.allowed_values}, not {shown!r:.60}")
    atom: Atom = value
    return atom


def render_example_file(sections: Sequence[Section]) -> str:
    """Return the schema as a commented example file: each key with its default."""
    lines = []
    for section in sections:
        # Repeatable sections are commented out, as none exists by default.
        prefix = "; " if section.is_repeatable else ""
        title = ' "name"' if section.is_repeatable else ""
        lines.append(f"; {section.description}")
        lines.append(f"{prefix}({section.name}{title}")
        for key in section.keys:
            setting = f"{prefix}  ({key.name} {_default_in_file(key)})"
            lines.append(f"{setting:<32}; {key.description} ({key.allowed_values})")
        lines.append(f"{prefix})")
    return "\n".join(lines) + "\n"


def _default_in_file(key: Key) -> str:
    """Return the default of a key in the syntax of the file."""
    if key.value_type is bool:
        return "yes" if key.default else "no"
    if key.value_type is str and not key.choices:
        return f'"{key.default}"'
    if key.value_type is tuple:
        return " ".join(map(str, key.default))
    return str(key.default)


def render_markdown(sections: Sequence[Section]) -> str:
    """Return the schema as tables for the operators' page."""
    lines = []
    for section in sections:
        lines.append(f"## `{section.name}`\n\n{section.description}\n")
        lines.append("| key | default | range | meaning |\n| --- | --- | --- | --- |")
        for key in section.keys:
            default = _default_on_page(key)
            lines.append(f"| `{key.name}` | {default} | {key.allowed_values} | {key.description} |")
        lines.append("")
    return "\n".join(lines)


def _default_on_page(key: Key) -> str:
    """Return the default of a key for the operators' page."""
    if key.value_type is bool:
        return "yes" if key.default else "no"
    if key.default in ((), ""):
        return "none"
    return str(key.default)
