"""Scenarios of rehearsals: partners, submissions, load balancing, kills and replaced endpoints.

`rehearsal_in_process` runs a scenario in virtual time, `rehearsal` against processes, and
`winchspan.simulation` on an emulated network.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from typing import Any, Final, TypedDict, Unpack

from winchspan.dead_letters.policy import RedeliveryRule
from winchspan.fakes.clients import Message, Stream
from winchspan.fakes.partner import Outage, OutageMode, PartnerSettings
from winchspan.overload.settings import OverloadSettings

RESTART_DELAY_MS: Final = 600.0  # from the kill of a courier to its restart
DRAIN_TIMEOUT_MS: Final = 30_000.0  # after the last submission, for the final answers


@dataclass(frozen=True, slots=True)
class Scenario:
    """The parameters of a run; times in ms from its start.

    Attributes:
        partners: audits evaluate the first one.
        streams: submissions of the clients.
        couriers: number of couriers.
        shares: each courier's share of the traffic; empty: equal shares.
        duration_ms: duration of the run.
        restarts: pairs of a time and the number of the courier that is killed; it is restarted after
            `RESTART_DELAY_MS`.
        endpoint_replacements: pairs of a time and the number of the partner whose endpoints are replaced.
        overload: settings of overload control; None: it is off.
        redelivery_rules: redelivery rules; None: dead letters are not stored.
        changes: fields of the platform's settings that differ from `platform`.
    """

    partners: tuple[PartnerSettings, ...]
    streams: tuple[Stream, ...]
    couriers: int = 3
    shares: tuple[float, ...] = ()
    duration_ms: float = 120_000.0
    restarts: tuple[tuple[float, int], ...] = ()
    endpoint_replacements: tuple[tuple[float, int], ...] = ()
    overload: OverloadSettings | None = None
    redelivery_rules: tuple[RedeliveryRule, ...] | None = None
    changes: dict[str, Any] = field(default_factory=dict)


class ScenarioChanges(TypedDict, total=False):
    """Fields of `Scenario` that callers of `storm_scenario` may override."""

    streams: tuple[Stream, ...]
    shares: tuple[float, ...]
    duration_ms: float
    restarts: tuple[tuple[float, int], ...]
    endpoint_replacements: tuple[tuple[float, int], ...]
    overload: OverloadSettings | None
    redelivery_rules: tuple[RedeliveryRule, ...] | None
    changes: dict[str, Any]


class LoadBalancer:
    """Routes submissions to couriers by shares; those with an ordering key always go to the same courier."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        """Create a load balancer; its random numbers are independent of those of the run's clients."""
        self._shares = scenario.shares or (1.0,) * scenario.couriers
        self._random = random.Random(seed + 2)

    def choose_courier(self, message: Message) -> int:
        """Return the number of the courier that receives a submission."""
        draw = random.Random(message.key).random() if message.key else self._random.random()
        remaining = draw * sum(self._shares)
        for courier, share in enumerate(self._shares):
            remaining -= share
            if remaining < 0:
                return courier
        return len(self._shares) - 1


def storm_scenario(
    load: float = 0.9,
    couriers: int = 3,
    *,
    partner: PartnerSettings | None = None,
    **changes: Unpack[ScenarioChanges],
) -> Scenario:
    """Return the standard retry storm: two minutes, with an outage of one partner from 30 s to 60 s.

    The partner lists 20 calls per second, and is silent during the outage. Two thirds of its messages are
    payments with 200 ordering keys, the others are notices. A second partner has no outage.

    Args:
        load: load on the partner, as a share of its listed rate.
        couriers: number of couriers.
        partner: the partner with the outage; None: the standard one.
        changes: fields of the scenario that override the standard ones.
    """
    failing = partner or PartnerSettings(outages=(Outage(30_000.0, 60_000.0, OutageMode.SILENT),))
    healthy = PartnerSettings(number=8, listed=12.0, capacity=14.0)
    rate = load * failing.listed
    streams = (
        Stream("order-payment", failing.number, rate * 0.68, keys=200),
        Stream("gallery-notice", failing.number, rate * 0.32),
        Stream("order-payment", healthy.number, 3.0, keys=50),
        Stream("gallery-notice", healthy.number, 2.0),
    )
    scenario = replace(Scenario((failing, healthy), streams, couriers), **changes)
    ended_streams = tuple(
        replace(stream, end=min(stream.end, scenario.duration_ms)) for stream in scenario.streams
    )
    return replace(scenario, streams=ended_streams)
