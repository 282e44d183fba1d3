"""Reservations of rejected clients, with and without an idempotency key."""

from __future__ import annotations

from winchspan.overload.reservations import AnonymousReservations, ReservationStatus, ReservationTable
from winchspan.overload.settings import NS_PER_SECOND

from .helpers import MS

NOW = 1_000 * NS_PER_SECOND


def test_reservation_table_early_client_keeps_its_time_and_loses_its_priority():
    table = ReservationTable(100, 500 * MS, 60 * MS)
    table.reserve(1, "t", None, NOW + NS_PER_SECOND, NOW + NS_PER_SECOND)
    assert table.status(NOW + 900 * MS, 1, "t") is ReservationStatus.EARLY
    assert table.status(NOW + 950 * MS, 1, "t") is ReservationStatus.DUE
    assert table.status(NOW + 1_600 * MS, 1, "t") is ReservationStatus.NONE, "the grace period is over"
    assert (
        table.status(NOW + NS_PER_SECOND, 2, "t") is ReservationStatus.NONE
        and table.status(NOW + NS_PER_SECOND, 1, "") is ReservationStatus.NONE
    )
    table.mark_early(1, "t")
    table.reserve(1, "t", None, NOW + NS_PER_SECOND, NOW + NS_PER_SECOND)
    assert table.status(NOW + NS_PER_SECOND, 1, "t") is ReservationStatus.NONE


def test_reservation_table_ordering_key_waits_for_its_message_that_was_rejected_first():
    table = ReservationTable(100, 500 * MS, 60 * MS)
    table.reserve(1, "first", 9, NOW + NS_PER_SECOND, NOW + NS_PER_SECOND)
    assert table.key_blocked_until(NOW, 9, "second") == NOW + 1_500 * MS
    assert table.key_blocked_until(NOW, 9, "first") == 0 and table.key_blocked_until(NOW, 8, "second") == 0
    table.release(1, "first", 9)
    assert table.key_blocked_until(NOW, 9, "second") == 0
    table.reserve(1, "first", 9, NOW + NS_PER_SECOND, NOW + NS_PER_SECOND)
    assert table.key_blocked_until(NOW + 1_500 * MS, 9, "second") == 0, (
        "the first message was not submitted again"
    )


def test_anonymous_reservations_retrying_client_gets_the_earliest_one_that_is_due():
    reservations = AnonymousReservations(3, 500 * MS, 60 * MS)
    for after in (300, 100, 200):
        reservations.reserve(NOW + after * MS)
    assert reservations.claim(NOW) is ReservationStatus.EARLY
    assert [reservations.claim(NOW + 200 * MS) for _ in range(3)] == [
        ReservationStatus.DUE,
        ReservationStatus.DUE,
        ReservationStatus.EARLY,
    ]
    assert reservations.count(NOW) == 1 and reservations.count(NOW + NS_PER_SECOND) == 0
    for after in range(10):
        reservations.reserve(NOW + after * MS)
    assert reservations.count(NOW) == 3
