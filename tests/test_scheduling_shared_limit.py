"""Many senders before one limited destination, in virtual time: what one sender learns alone comes late."""

from __future__ import annotations

import heapq
import random
from itertools import count

from winchspan import Scheduler, api
from winchspan.api import Outcome

from .helpers import MS, SECOND, settings

LIMIT = 10.0  # calls a second that the destination takes from all senders together
BUCKET = 10.0  # calls it may take at once
RATE = 0.5  # messages a second at each sender: forty offer twice the limit
LATENCY = 50 * MS


def play_fleet(senders: int, seconds: int, seed: int) -> tuple[int, int]:
    """First attempts accepted and rejected over all senders, before one token bucket.

    A rejected call uses the limit up as an accepted one does, as the destinations of the fleet's days do.
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
    tokens, filled, taken, refused = BUCKET, 0, 0, 0
    attempts: dict[str, int] = {}
    while due:
        now, _, n, event = heapq.heappop(due)
        for action in fleet[n].handle(now, [event]):
            if isinstance(action, api.SetTimer):
                heapq.heappush(due, (now + action.after_ns, next(order), n, api.TimerFired(action.token)))
            elif isinstance(action, api.StartAttempt):
                tokens = min(BUCKET, tokens + (now - filled) * LIMIT / SECOND) - 1
                filled, over = now, tokens < 0
                tokens = max(tokens, 0.0)
                attempt = attempts.get(action.message, 0)
                attempts[action.message] = attempt + 1
                if not attempt:
                    refused, taken = refused + over, taken + (not over)
                ended = api.AttemptCompleted(
                    action.message,
                    attempt,
                    11,
                    Outcome.FULL if over else Outcome.DELIVERED,
                    latency_ns=LATENCY,
                    is_final=not over,
                )
                heapq.heappush(due, (now + LATENCY, next(order), n, ended))
    return taken, refused


def test_forty_senders_of_a_call_a_second_learn_limit_they_share():
    """Site kenanga, herd+vast: a lone rejection taught no rate, and forty senders stayed over the limit.

    Over four seeds more than half the first attempts were rejected where no sender learned from one
    rejection (0.516); learning from it, fewer than half (0.479).
    """
    plays = [play_fleet(40, 30, seed) for seed in range(1, 5)]
    taken, refused = sum(t for t, _ in plays), sum(r for _, r in plays)
    assert refused < 0.5 * (taken + refused)
