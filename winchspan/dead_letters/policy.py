"""The operator's redelivery rules: which dead letters, when, how often, and whether an operator approves.

Rules can only allow a redelivery: `evidence.redelivery_objection` overrides them.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Final

from winchspan.api import MessageClass
from winchspan.dead_letters.evidence import redelivery_objection
from winchspan.dead_letters.records import DeadLetter, DeadLetterState, ExecutionEvidence

HOUR_MS: Final = 3_600_000.0
HOURS_PER_DAY: Final = 24.0
DAY_MS: Final = HOURS_PER_DAY * HOUR_MS
MAX_BACKOFF_MS: Final = 6 * HOUR_MS
POLL_INTERVAL_MS: Final = 500.0  # delay between two redelivery rounds


class RedeliveryAction(Enum):
    """The action of a decision; the values are part of the control commands' replies."""

    SEND = "send"
    WAIT = "wait"  # decide again at a given time
    AWAIT_APPROVAL = "ask"  # an operator must approve
    HOLD = "hold"  # a redelivery might have a second effect
    SKIP = "leave"  # no rule redelivers it


@dataclass(frozen=True, slots=True)
class RedeliveryDecision:
    """The decision about one dead letter.

    Attributes:
        action: the action to take.
        next_check_unix_ms: when to decide again.
        reason: the reason, shown to operators.
        rule_name: name of the rule that applies; empty if none does.
    """

    action: RedeliveryAction
    next_check_unix_ms: float
    reason: str
    rule_name: str = ""


@dataclass(frozen=True, slots=True)
class RedeliveryRule:
    """One rule of the operator's file; an empty tuple matches anything.

    Attributes:
        name: the rule's name in the file.
        class_names: names of the message classes.
        destinations: numbers of the destinations.
        final_states: final answers of the messages.
        reasons: failure reasons, as returned by `evidence.failure_reason`.
        evidence: evidence of an execution.
        min_age_ms: minimum time from the end of a message to its first redelivery.
        max_age_ms: time from the end of a message after which it is not redelivered.
        rate: maximum redeliveries per second by this rule.
        hours_utc: first and last hour of the day in which the rule applies, in UTC; may cross midnight.
        max_redeliveries: maximum number of redeliveries of one message.
        backoff_ms: delay between two redeliveries of a message, doubled after each.
        needs_approval: an operator must approve each redelivery.
    """

    name: str
    class_names: tuple[str, ...] = ()
    destinations: tuple[int, ...] = ()
    final_states: tuple[str, ...] = ()
    reasons: tuple[str, ...] = ()
    evidence: tuple[ExecutionEvidence, ...] = (ExecutionEvidence.NEVER_RAN,)
    min_age_ms: float = 0.0
    max_age_ms: float = DAY_MS
    rate: float = 1.0
    hours_utc: tuple[float, float] = (0.0, HOURS_PER_DAY)
    max_redeliveries: int = 3
    backoff_ms: float = 60_000.0
    needs_approval: bool = False

    def matches(self, dead_letter: DeadLetter) -> bool:
        """Return whether the rule applies to a message."""
        return (
            (not self.class_names or dead_letter.class_name in self.class_names)
            and (not self.destinations or dead_letter.destination in self.destinations)
            and (not self.final_states or dead_letter.final_state in self.final_states)
            and (not self.reasons or dead_letter.failure_history.reason in self.reasons)
            and dead_letter.execution_evidence in self.evidence
        )

    def next_open_unix_ms(self, now_ms: float) -> float:
        """Return `now_ms` if it is within the rule's hours, or else the next time at which they begin."""
        first, last = self.hours_utc
        hour = now_ms % DAY_MS / HOUR_MS
        if first == last:
            return now_ms
        is_open = first <= hour < last if first < last else (hour >= first or hour < last)
        if is_open:
            return now_ms
        return now_ms + ((first - hour) % HOURS_PER_DAY) * HOUR_MS

    def decide(self, now_ms: float, dead_letter: DeadLetter) -> RedeliveryDecision:
        """Return the decision for a message that this rule matches and that is safe to redeliver."""
        is_approved = dead_letter.is_approved
        redelivery_count = dead_letter.redelivery_count
        if redelivery_count >= self.max_redeliveries and not is_approved:
            reason = f"sent again {redelivery_count} times already"
            return RedeliveryDecision(RedeliveryAction.SKIP, now_ms, reason, self.name)
        if now_ms - dead_letter.failure_history.ended_unix_ms > self.max_age_ms and not is_approved:
            return RedeliveryDecision(RedeliveryAction.SKIP, now_ms, "too old", self.name)
        send_at_ms = self.next_open_unix_ms(max(now_ms, self._earliest_unix_ms(dead_letter)))
        if send_at_ms > now_ms:
            return RedeliveryDecision(RedeliveryAction.WAIT, send_at_ms, "its time has not come", self.name)
        if self.needs_approval and not is_approved:
            return RedeliveryDecision(
                RedeliveryAction.AWAIT_APPROVAL, now_ms, "an operator must approve", self.name
            )
        return RedeliveryDecision(RedeliveryAction.SEND, now_ms, "by rule", self.name)

    def _earliest_unix_ms(self, dead_letter: DeadLetter) -> float:
        ended_unix_ms = dead_letter.failure_history.ended_unix_ms
        earliest = max(dead_letter.next_redelivery_unix_ms, ended_unix_ms + self.min_age_ms)
        if not dead_letter.redelivery_count:
            return earliest
        backoff_ms = min(MAX_BACKOFF_MS, self.backoff_ms * 2.0 ** (dead_letter.redelivery_count - 1))
        return max(earliest, ended_unix_ms + backoff_ms)


@dataclass(frozen=True, slots=True)
class RedeliveryPolicy:
    """Decides on redeliveries, given the operator's rules and the platform's message classes.

    Attributes:
        rules: the rules, in the order of the operator's file; the first match applies.
        classes: the message classes by name.
    """

    rules: Sequence[RedeliveryRule]
    classes: Mapping[str, MessageClass]

    def rule_named(self, name: str) -> RedeliveryRule | None:
        """Return the rule with a name, or None."""
        return next((rule for rule in self.rules if rule.name == name), None)

    def decide(self, now_ms: float, dead_letter: DeadLetter) -> RedeliveryDecision:
        """Return the decision for a message at a time in Unix ms."""
        state = dead_letter.state
        has_operator_consent = dead_letter.is_released or dead_letter.is_approved
        if state is not DeadLetterState.PENDING and not (
            state is DeadLetterState.ON_HOLD and has_operator_consent
        ):
            return RedeliveryDecision(RedeliveryAction.SKIP, now_ms, f"it is {state.value}")
        message_class = self.classes.get(dead_letter.class_name)
        if message_class is None:
            reason = f"the class {dead_letter.class_name!r} is not known"
            return RedeliveryDecision(RedeliveryAction.HOLD, now_ms, reason)
        objection = redelivery_objection(now_ms, dead_letter, message_class)
        if objection is not None:
            return RedeliveryDecision(RedeliveryAction.HOLD, now_ms, objection)
        for rule in self.rules:
            if rule.matches(dead_letter):
                return rule.decide(now_ms, dead_letter)
        if dead_letter.is_approved:
            return RedeliveryDecision(RedeliveryAction.SEND, now_ms, "an operator has asked for it")
        return RedeliveryDecision(RedeliveryAction.SKIP, now_ms, "no rule is for it")


class RedeliveryRateLimiter:
    """Limits each rule to its rate; unused sends accumulate over one round at most."""

    def __init__(self) -> None:
        self._next_unix_ms: dict[str, float] = {}

    def may_send(self, now_ms: float, rule: RedeliveryRule) -> bool:
        """Return whether the rule may redeliver now; a clock set back delays it by one round at most."""
        interval_ms = 1_000.0 / rule.rate
        next_unix_ms = self._next_unix_ms.get(rule.name, 0.0)
        return now_ms >= next_unix_ms or next_unix_ms - now_ms > interval_ms + POLL_INTERVAL_MS

    def next_send_unix_ms(self, now_ms: float, rule: RedeliveryRule) -> float:
        """Return when to check a rate-limited rule again: in the next round or later."""
        return max(now_ms + POLL_INTERVAL_MS, self._next_unix_ms.get(rule.name, 0.0))

    def is_selection_valid(self) -> bool:
        """Return whether the selected messages may still be redelivered."""
        return True

    def complete_round(self) -> None:
        """Record the end of a round."""

    def record_sent(self, now_ms: float, rule: RedeliveryRule) -> None:
        """Count one redelivery against the rate of its rule."""
        interval_ms = 1_000.0 / rule.rate
        earliest_ms = now_ms - max(0.0, POLL_INTERVAL_MS - interval_ms)
        previous_ms = self._next_unix_ms.get(rule.name, 0.0)
        is_recent = earliest_ms < previous_ms <= now_ms
        self._next_unix_ms[rule.name] = (previous_ms if is_recent else earliest_ms) + interval_ms
