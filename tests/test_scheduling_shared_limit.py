"""Many senders that share one rate limit, in virtual time: each learns the limit from its own calls alone."""

from __future__ import annotations

import heapq
import random
from itertools import count

from winchspan import Scheduler, api
from winchspan.api import Outcome

from .helpers import MS, SECOND, settings

LIMIT = 10.0  # calls a second that the destination accepts from all senders
BUCKET = 10.0  # capacity of the token bucket, in calls
RATE = 0.5  # messages a second per sender: forty senders offer twice the limit
LATENCY = 50 * MS


def play_fleet(senders: int, seconds: int, seed: int) -> tuple[int, int]:
    """Return the numbers of accepted and rejected first attempts of all senders at one token bucket.

    A rejected call uses a token like an accepted one, as at the destinations of the fleet tests.
    """
    rng, order = random.Random(seed), count()
    fleet = [Scheduler(settings(senders=senders, slots=6), seed + n) for n in range(senders)]
    due: list[tuple[int, int, int, api.Event]] = []
    for n in range(senders):
        rows = (api.EndpointEntry(endpoint=11, destination=1),)
        heapq.heappush(due, (0, next(order), n, api.EndpointsUpdated(api.UpdateScope.SNAPSHOT, rows)))
        at = int(rng.expovariate(RATE) * SECOND)
        while at < seconds * SECOND:
            heapq.heappush(due, (at, next(order), n, api.MessageArrived(f"{n}-{at}", "safe", 1, 5 * SECOND)))
            at += int(rng.expovariate(RATE) * SECOND)
    tokens, filled, accepted, rejected = BUCKET, 0, 0, 0
    attempts: dict[str, int] = {}
    while due:
        now, _, n, event = heapq.heappop(due)
        for action in fleet[n].handle(now, [event]):
            if isinstance(action, api.SetTimer):
                heapq.heappush(due, (now + action.after_ns, next(order), n, api.TimerFired(action.token)))
            elif isinstance(action, api.StartAttempt):
                tokens = min(BUCKET, tokens + (now - filled) * LIMIT / SECOND) - 1
                filled, is_over_limit = now, tokens < 0
                tokens = max(tokens, 0.0)
                attempt = attempts.get(action.message, 0)
                attempts[action.message] = attempt + 1
                if not attempt:
                    rejected, accepted = rejected + is_over_limit, accepted + (not is_over_limit)
                ended = api.AttemptCompleted(
                    action.message,
                    attempt,
                    11,
                    Outcome.FULL if is_over_limit else Outcome.DELIVERED,
                    latency_ns=LATENCY,
                    is_final=not is_over_limit,
                )
                heapq.heappush(due, (now + LATENCY, next(order), n, ended))
    return accepted, rejected


def test_forty_senders_of_a_call_a_second_learn_limit_they_share():
    """Guards against senders that learn no rate from a single rejection, so that forty exceed the limit.

    Over four seeds more than half of the first attempts were rejected without learning from one rejection
    (0.516), fewer than half with it (0.479); seen at site kenanga, herd+vast.
    """
    plays = [play_fleet(40, 30, seed) for seed in range(1, 5)]
    accepted, rejected = sum(t for t, _ in plays), sum(r for _, r in plays)
    assert rejected < 0.5 * (accepted + rejected)
