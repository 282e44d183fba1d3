"""The messages held for one destination."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings as options
from hypothesis import strategies as st

from winchspan.overload.held_messages import HeldMessages
from winchspan.overload.settings import NS_PER_SECOND

from .helpers import MS

NOW = 1_000 * NS_PER_SECOND


@options(derandomize=True, deadline=None, max_examples=80)
@given(st.lists(st.tuples(st.sampled_from(["add", "remove", "wait"]), st.integers(0, 40)), max_size=60))
def test_held_messages_after_any_steps_count_messages_in_time_like_a_plain_list(
    steps: list[tuple[str, int]],
):
    held, plain, now = HeldMessages(NOW), dict[str, int](), NOW
    for kind, value in steps:
        if kind == "add":
            held.add(now, str(value), now + value * 100 * MS)
            plain.setdefault(str(value), now + value * 100 * MS)
        elif kind == "remove":
            assert held.remove(str(value)) == (plain.pop(str(value), None) is not None)
        else:
            now += value * 250 * MS
        in_time = [at for at in plain.values() if at // (100 * MS) >= now // (100 * MS)]
        assert held.count_in_time(now) == len(in_time) and len(held) == len(plain)
