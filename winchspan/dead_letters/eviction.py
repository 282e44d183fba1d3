"""Ranks dead letters for eviction from a full store: those that are safest to lose are evicted first."""

from __future__ import annotations

from typing import Final

from winchspan.dead_letters.records import (
    CLOSED_STATES,
    FINAL_STATE_RETURNED,
    DeadLetter,
    DeadLetterState,
    ExecutionEvidence,
)

# Ranks are stored in the rows and are part of the names of the counters of evicted messages.
RANK_CLOSED: Final = 0  # needs no further action
RANK_RETURNED: Final = 1  # the client was asked to submit it again, and in most cases has done so
RANK_FAILED_WITHOUT_EFFECT: Final = 2
RANK_MAY_HAVE_RUN_WITHOUT_EFFECT: Final = 3
RANK_FAILED_WITH_EFFECT: Final = 4
RANK_MAY_HAVE_RUN_WITH_EFFECT: Final = 5  # an operator must find out whether, say, a payment was made
RANK_REDELIVERING: Final = 6  # never evicted: the outcome of the redelivery updates its row


def eviction_rank(dead_letter: DeadLetter, *, has_effect: bool) -> int:
    """Return the eviction rank. The lowest rank is evicted first, and within a rank the oldest message.

    Args:
        dead_letter: the message.
        has_effect: whether a second delivery of its class has an effect.
    """
    if dead_letter.state in CLOSED_STATES:
        return RANK_CLOSED
    if dead_letter.state is DeadLetterState.REDELIVERING:
        return RANK_REDELIVERING
    if dead_letter.execution_evidence is ExecutionEvidence.MAY_HAVE_RUN:
        return RANK_MAY_HAVE_RUN_WITH_EFFECT if has_effect else RANK_MAY_HAVE_RUN_WITHOUT_EFFECT
    if dead_letter.final_state == FINAL_STATE_RETURNED:
        return RANK_RETURNED
    return RANK_FAILED_WITH_EFFECT if has_effect else RANK_FAILED_WITHOUT_EFFECT
