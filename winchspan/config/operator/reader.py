"""Reads S-expressions with sexpdata and records the position of each node, for error messages."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass
from typing import Any, Final

import sexpdata  # type: ignore[import-untyped]

from winchspan.config.errors import ConfigurationError

MAX_FILE_CHARACTERS: Final = 256 * 1024
"""Upper bound on the size of an operator's file, which holds only settings."""

_BOOLEANS: Final = {"yes": True, "no": False}


class OperatorError(ConfigurationError):
    """The operator's file is invalid; the message names file, line, column and key."""


@dataclass(frozen=True, slots=True)
class Node:
    """A node of the file: an atom (str, int, float, bool) or a list of nodes, and its position."""

    value: Any
    line: int  # from 1
    column: int  # from 1

    @property
    def is_list(self) -> bool:
        """Whether the node is a list in round brackets."""
        return isinstance(self.value, list)


@dataclass(frozen=True, slots=True)
class _PositionedAtom:
    """An atom that sexpdata has parsed, and its offset in the text."""

    value: Any
    offset: int


class _PositionedList(list[Any]):
    """A list that sexpdata has parsed, and the offset after its opening bracket."""

    offset = 0


class _Parser(sexpdata.Parser):  # type: ignore[misc]
    """A parser of sexpdata that also records the offset of each node."""

    def parse_atom(self, i: int) -> tuple[int, _PositionedAtom]:
        """Parse a number, a word, `yes` or `no`."""
        end, value = super().parse_atom(i)
        return end, _PositionedAtom(value, i)

    def parse_str(self, i: int) -> tuple[int, _PositionedAtom]:
        """Parse a string in double quotes."""
        end, value = super().parse_str(i)
        return end, _PositionedAtom(value, i)

    def parse_sexp(self, i: int) -> tuple[int, _PositionedList]:
        """Parse the contents of a list."""
        end, parts = super().parse_sexp(i)
        positioned = _PositionedList(parts)
        positioned.offset = i
        return end, positioned


class _Document:
    """The text of a file; converts the parsed values of sexpdata to nodes."""

    def __init__(self, text: str, name: str) -> None:
        self._name = name
        self._line_offsets = [0] + [i + 1 for i, char in enumerate(text) if char == "\n"]

    @property
    def line_count(self) -> int:
        """The number of the last line."""
        return len(self._line_offsets)

    def position(self, offset: int) -> tuple[int, int]:
        """Return the line and the column of an offset, both from 1."""
        line = bisect_right(self._line_offsets, offset)
        return line, offset - self._line_offsets[line - 1] + 1

    def node(self, part: object) -> Node:
        """Return the node of a parsed value, with all nodes below it."""
        match part:
            case _PositionedList():
                children = [self.node(child) for child in part]
                return Node(children, *self.position(max(0, part.offset - 1)))
            case _PositionedAtom(sexpdata.Symbol() as symbol, offset):
                word = str(symbol.value())
                return Node(_BOOLEANS.get(word, word), *self.position(offset))
            case _PositionedAtom(value, offset):
                return Node(value, *self.position(offset))
        raise OperatorError(f"{self._name}: only round brackets, words, numbers and strings are supported")


def read_nodes(text: str, name: str) -> list[Node]:
    """Parse the text of a file.

    Args:
        text: the contents of the file.
        name: the file name in error messages.

    Raises:
        OperatorError: if the text is too long, or is not a sequence of S-expressions.
    """
    if len(text) > MAX_FILE_CHARACTERS:
        raise OperatorError(f"{name}: larger than {MAX_FILE_CHARACTERS} bytes")
    document = _Document(text, name)
    try:
        parts = _Parser(text, nil=None, true=None, false=None).parse()
        return [document.node(part) for part in parts]
    except sexpdata.ExpectClosingBracket:
        raise OperatorError(f"{name}:{document.line_count}: unclosed bracket") from None
    except sexpdata.ExpectNothing as err:
        unparsed = str(err).split(": ", 1)[-1]
        line, column = document.position(len(text) - len(unparsed))
        raise OperatorError(f"{name}:{line}:{column}: unexpected closing bracket") from None
    except (AttributeError, IndexError):  # raised by sexpdata at the end of the text
        raise OperatorError(f"{name}:{document.line_count}: unclosed string") from None
    except (RecursionError, sexpdata.ExpectSExp):
        raise OperatorError(f"{name}: nested too deeply, or a quote without an expression") from None
