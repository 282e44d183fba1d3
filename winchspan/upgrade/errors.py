"""Errors of an upgrade."""

from __future__ import annotations


class UpgradeError(Exception):
    """Base of all errors of an upgrade."""


class HandOverError(UpgradeError):
    """The state cannot be handed over, or cannot be read.

    Before the commit, this error only ends the hand-over: the serving process resumes. The message is one
    line that names the place, the problem, and what was expected.
    """


class StateFormatError(HandOverError):
    """The bytes of a state do not have the documented format."""

    def __init__(self, where: str, problem: str, expected: str) -> None:
        """Create the error.

        Args:
            where: name of the record or of the field.
            problem: the invalid content.
            expected: the content that was expected.
        """
        super().__init__(f"{where}: {problem}; expected {expected}")
        self.where = where
        self.problem = problem
        self.expected = expected
