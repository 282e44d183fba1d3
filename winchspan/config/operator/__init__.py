"""The operator's file: reads S-expressions, validates them against a schema and fills in defaults."""

from winchspan.config.operator.reader import Node, OperatorError, read_nodes
from winchspan.config.operator.schema import (
    Key,
    Section,
    render_example_file,
    render_markdown,
    validate_sections,
)

__all__ = [
    "Key",
    "Node",
    "OperatorError",
    "Section",
    "read_nodes",
    "render_example_file",
    "render_markdown",
    "validate_sections",
]
