"""The size limit of a journal's directory."""

from __future__ import annotations

import pytest

from winchspan.storage.quota import StorageQuota

QUOTA = StorageQuota(1_000_000)


def test_quota_leaves_a_margin_below_its_limit():
    assert QUOTA.usable_bytes == 950_000


@pytest.mark.parametrize(
    ("live_bytes", "record_bytes", "accepts"),
    [(0, 400_000, True), (0, 400_001, False), (399_000, 1_000, True), (399_001, 1_000, False)],
)
def test_quota_accepts_a_message_that_fits_twice(live_bytes: int, record_bytes: int, accepts: bool):
    assert QUOTA.accepts_message(live_bytes, record_bytes) == accepts


@pytest.mark.parametrize(
    ("file_bytes", "live_bytes", "record_bytes", "is_needed"),
    [
        (65_536, 0, 100, False),
        (65_537, 0, 100, True),  # garbage
        (600_000, 300_000, 25_000, False),
        (600_000, 300_000, 25_001, True),  # both files together would exceed the limit
    ],
)
def test_quota_needs_compaction_for_garbage_or_lack_of_capacity(
    file_bytes: int, live_bytes: int, record_bytes: int, is_needed: bool
):
    assert QUOTA.needs_compaction(file_bytes, live_bytes, record_bytes) == is_needed
