"""The schema of the operator's file. `deploy/kenanga.sexp` is the file of the platform."""

from __future__ import annotations

from typing import Final

from winchspan.config.operator.fleet_section import FLEET
from winchspan.config.operator.schema import Key, Section

STORMS: Final = Section(
    "storms",
    "Overload control: detects and limits retry storms, and tells clients when to retry.",
    (
        Key("on", bool, False, "switch the subsystem on"),
        Key(
            "destinations",
            int,
            256,
            "tracked exactly; a sketch counts others, without limits",
            "",
            1,
            100_000,
        ),
        Key("keys", int, 20_000, "upper bound on reservations, and on blocked keys", "", 16, 10_000_000),
        Key("recent-keys", int, 50_000, "idempotency keys in the filter of recent keys", "", 16, 100_000_000),
        Key("recent-seconds", float, 30.0, "how long the filter holds a key, or twice that", "s", 1, 86_400),
        Key("share", float, 1.0, "share of the listed rate that all couriers use", "", 0.05, 1),
        Key("senders", int, 0, "couriers that share the rate; 0: as the platform states", "", 0, 1_000),
        Key("parts", tuple, (), "share of each courier, by its number; none: equal", "", 0.01, 1),
        Key(
            "least-part",
            float,
            0.0,
            "a courier's share of a rate below which it only observes",
            "calls a second",
            0,
            1e6,
        ),
        Key("pace-calm", bool, True, "enforce the listed rate without a storm, too"),
        Key("outage-strikes", int, 3, "consecutive failed calls that count as an outage", "", 1, 1_000),
        Key("outage-after", float, 1.0, "least time of these failures, without a delivery", "s", 0, 600),
        Key("trial-every", float, 0.7, "interval between two calls in an outage", "s", 0, 600),
        Key("storm-share", float, 0.3, "share of retries that begins a storm", "", 0.01, 1),
        Key("calm-share", float, 0.1, "share of retries that ends a storm", "", 0, 1),
        Key("calm-after", float, 2.0, "how long it must last to end the storm", "s", 0, 600),
        Key("storm-least", float, 6.0, "least number of recent retries in a storm", "", 1, 1e6),
        Key("storm-backlog", float, 6.0, "backlog that makes a lower share a storm", "s", 0, 86_400),
        Key("push", float, 1.5, "rate on return, as a multiple of the least capacity", "", 0.1, 4),
        Key("memory", float, 2.0, "half-life of the counts of arrivals", "s", 0.1, 600),
        Key("room", float, 0.5, "largest share of held messages of a degraded destination", "", 0.01, 1),
        Key("grace", float, 0.5, "how long a reserved slot is kept for a late client", "s", 0, 600),
        Key("early", float, 0.06, "how much before its slot a client may retry", "s", 0, 10),
        Key("retry-share", float, 0.2, "retries per first attempt, when degraded", "", 0, 10),
        Key("retry-least", float, 1.0, "retries that are always allowed", "a second", 0, 1e6),
        Key("retry-burst", float, 10.0, "upper bound on saved retries", "", 1, 1e6),
        Key("words", bool, False, "send the reason of a rejection or notification as text"),
        Key("report", str, "", "file to which SIGUSR1 writes the counters; empty: none"),
    ),
)

UNDELIVERED: Final = Section(
    "undelivered",
    "The dead letter store, which holds undelivered messages for inspection.",
    (
        Key("on", bool, False, "switch the subsystem on"),
        Key("folder", str, "", "existing directory of `undelivered.sqlite`; required if on"),
        Key("failed", bool, True, "store messages that ended as `failed`"),
        Key("returned", bool, True, "store messages that ended as `returned`"),
        Key("megabytes", float, 64.0, "upper bound on the store's file, without its log", "MB", 2, 1_000_000),
        Key("count", int, 200_000, "upper bound on stored messages", "", 1, 100_000_000),
        Key("days", float, 30.0, "how long a message is stored", "days", 0.001, 36_500),
        Key("trail", int, 10_000, "entries of the audit log, or a tenth more", "", 10, 10_000_000),
        Key("durable", bool, False, "sync commits to the disk, to survive a crash of the machine"),
    ),
)

CONTROL: Final = Section(
    "control",
    "A Unix-domain socket for commands to a running courier.",
    (
        Key("on", bool, False, "switch the subsystem on"),
        Key("socket", str, "", "socket path, in an existing directory; required if on"),
    ),
)

RESEND: Final = Section(
    "resend",
    "A rule that resends stored messages; the first rule that matches a message applies.",
    (
        Key("classes", tuple, (), "message classes; none: all", item_type=str),
        Key("dests", tuple, (), "destinations; none: all", "", 0, 1e18, item_type=int),
        Key("ends", tuple, (), "final answers; none: both", choices=("failed", "returned"), item_type=str),
        Key("reasons", tuple, (), "reasons, as texts; none: all", item_type=str),
        Key("ran", tuple, ("never",), "whether they were executed", choices=("never", "may"), item_type=str),
        Key("after", float, 60.0, "least age of the final answer", "s", 0, 31_536_000),
        Key("before", float, 86_400.0, "age of the final answer, at most", "s", 0, 31_536_000),
        Key("rate", float, 1.0, "rate of resends by this rule", "a second", 0.0001, 1_000),
        Key("hours", tuple, (), "first and last hour of resends, UTC; none: all day", "", 0, 24),
        Key("most", int, 3, "upper bound on the resends of one message", "", 1, 1_000),
        Key("backoff", float, 60.0, "between resends of a message, doubled each time", "s", 0, 31_536_000),
        Key("approve", bool, False, "whether an operator must approve each resend"),
    ),
    is_repeatable=True,
)

SECTIONS: Final = (STORMS, UNDELIVERED, RESEND, CONTROL, FLEET)
