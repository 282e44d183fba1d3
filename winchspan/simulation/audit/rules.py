"""The rules that the auditor checks, and the log of violations."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from winchspan.simulation.loop import NS_PER_MS

MAX_RECORDED_VIOLATIONS: Final = 100
"""Maximum of violations that are recorded with their evidence; all are counted."""


class Rule(StrEnum):
    """A rule of the platform. The values are part of the results of experiments."""

    ANSWER = "answer"
    END = "end"
    COPY = "copy"
    REPEAT = "repeat"
    ORDER = "order"
    DRAIN = "drain"
    WAIT = "wait"
    DESTINATION = "dest"
    CONTENT = "content"
    FORM = "form"


RULES: Final = {
    Rule.ANSWER: "each submission has one reply, in order, of the form that PROTOCOL gives",
    Rule.END: "an accepted message ends in time, once, and in one way",
    Rule.COPY: "no message has two calls in flight at once",
    Rule.REPEAT: "a message that may have been executed is sent again only as far as its class allows",
    Rule.ORDER: "messages of one key are delivered one by one, in order, and rest behind an unanswered call",
    Rule.DRAIN: "no call begins at an endpoint later than the grace after it began to drain or was removed",
    Rule.WAIT: "no call begins at a destination while a wait that it has announced is in force",
    Rule.DESTINATION: "a message goes to endpoints of its destination only",
    Rule.CONTENT: "id, idempotency key and body are forwarded unchanged",
    Rule.FORM: "all requests and replies of a courier can be parsed",
}
"""Description of each rule for reports."""


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a rule.

    Attributes:
        rule: the rule.
        message_id: id of the message that it concerns; empty if there is none.
        at_ms: time of the loop's clock in ms.
        evidence: description of the observation.
    """

    rule: Rule
    message_id: str
    at_ms: float
    evidence: str


class ViolationLog:
    """Counts violations, and records the first of them.

    Attributes:
        violations: the first `MAX_RECORDED_VIOLATIONS` violations.
        counts: number of violations by rule.
    """

    def __init__(self) -> None:
        self.violations: list[Violation] = []
        self.counts: dict[Rule, int] = dict.fromkeys(RULES, 0)

    def record(self, rule: Rule, message_id: str, now_ns: int, evidence: str) -> None:
        """Count a violation, and record it if there is room."""
        self.counts[rule] += 1
        if len(self.violations) < MAX_RECORDED_VIOLATIONS:
            self.violations.append(Violation(rule, message_id, now_ns / NS_PER_MS, evidence))
