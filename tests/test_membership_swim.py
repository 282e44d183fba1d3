"""Tests of SWIM membership in virtual time: failure detection without false suspicions by slow nodes."""

from __future__ import annotations

import copy

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from winchspan.fakes.membership_world import MembershipWorld, SimulatedMember
from winchspan.fakes.virtual_time import NetworkFaults
from winchspan.membership.actions import NameConflictDetected, NodeRestarted, NodeStateChanged, SendDatagram
from winchspan.membership.config import MAX_LOCAL_HEALTH, SwimConfig, SwimTiming
from winchspan.membership.dissemination import DisseminationBuffer
from winchspan.membership.local_health import LocalHealth
from winchspan.membership.messages import (
    MAX_INCARNATION,
    Ack,
    Datagram,
    MembershipUpdate,
    NodeState,
    Ping,
    PingRequest,
)
from winchspan.membership.node_record import suspicion_timeout_ms
from winchspan.membership.swim import Swim

PERIOD = SwimTiming().probe_interval_ms


def converged_world(size: int, seed: int = 1, network: NetworkFaults | None = None) -> MembershipWorld:
    """Return a cluster in which each node sees all others as alive."""
    world = MembershipWorld(size, seed, network)
    world.start_all()
    world.run(PERIOD)
    world.run_until(world.is_converged, 60_000.0)
    return world


@pytest.mark.parametrize("size", [2, 3, 5, 40])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_swim_crashed_node_is_declared_gone_by_all_and_no_other_is(size: int, seed: int):
    world = converged_world(size, seed, NetworkFaults(loss=0.05, delay_ms=1.0))
    world.kill("n1")
    elapsed_ms = world.run_until(lambda: world.is_seen_by_all("n1", NodeState.GONE), 30_000.0)
    assert elapsed_ms < 5_000.0 or size == 40
    world.run(10_000.0)
    assert {reported.subject for reported in world.state_changes(NodeState.GONE)} == {"n1"}


def test_swim_idle_cluster_suspects_no_node():
    world = converged_world(5)
    started_at = world.now
    world.run(300_000.0)
    assert world.state_changes(NodeState.SUSPECT, since_ms=started_at) == []


@pytest.mark.parametrize("delay_ms", [400.0, 1_500.0])
def test_swim_slow_node_declares_no_healthy_node_gone(delay_ms: float):
    world = converged_world(8, 4)
    world.members["n3"].max_lateness_ms = delay_ms
    started_at = world.now
    worst_health = 0
    swim = world.members["n3"].swim
    assert swim is not None
    for _ in range(120):
        world.run(1_000.0)
        worst_health = max(worst_health, swim.local_health)
    assert {reported.subject for reported in world.state_changes(NodeState.GONE, since_ms=started_at)} <= {
        "n3"
    }
    assert worst_health > 0, "the slow node detects its slowness"


def test_swim_node_resumed_after_long_pause_accuses_no_node_and_rejoins():
    world = converged_world(5, 2)
    world.freeze("n2")
    world.run_until(lambda: world.is_seen_by_all("n2", NodeState.GONE), 30_000.0)
    world.run(60_000.0)
    resumed_at = world.now
    world.thaw("n2")
    world.run_until(world.is_converged, 20_000.0)
    assert [
        reported
        for reported in world.events
        if reported.at_ms >= resumed_at
        and reported.observer == "n2"
        and isinstance(reported.event, NodeStateChanged)
        and reported.event.state in (NodeState.SUSPECT, NodeState.GONE)
    ] == []
    swim = world.members["n2"].swim
    assert swim is not None and swim.incarnation > 0


@pytest.mark.parametrize("is_postponed", [True, False])
def test_swim_delayed_tick_postpones_timeouts(monkeypatch: pytest.MonkeyPatch, is_postponed: bool):
    if not is_postponed:
        monkeypatch.setattr(Swim, "_handle_delayed_tick", lambda self, delay_ms: None)
    swim = Swim(SwimConfig("n0", 1, 1), ["n1", "n2", "n3"], 0.0)
    for name in ("n1", "n2", "n3"):
        swim.handle_datagram(0.0, Datagram(name, 0, 5, False, Ack(0, name)))
    swim.tick(0.0)  # sends a ping, whose Ack is not read
    swim.tick(SwimTiming().probe_timeout_ms)
    accused = [
        a for a in swim.tick(60_000.0) if isinstance(a, NodeStateChanged) and a.state is NodeState.SUSPECT
    ]
    assert bool(accused) is not is_postponed
    assert swim.local_health > 0 or not is_postponed


@pytest.mark.parametrize("link", [("n1", "n0"), ("n0", "n1")])
def test_swim_one_way_cut_between_two_nodes_leaves_both_active(link: tuple[str, str]):
    world = converged_world(5, 3)
    world.cut(*link)
    started_at = world.now
    world.run(60_000.0)
    assert world.state_changes(NodeState.GONE, since_ms=started_at) == []


@pytest.mark.parametrize("is_deaf", [True, False])
def test_swim_node_isolated_one_way_is_gone_and_the_others_stay_alive(is_deaf: bool):
    world = converged_world(5, 5)
    for other in ("n0", "n2", "n3", "n4"):
        world.cut(*((other, "n1") if is_deaf else ("n1", other)))
    world.run_until(lambda: world.is_seen_by_all("n1", NodeState.GONE), 30_000.0)
    world.run(20_000.0)
    assert all(
        world.state_seen_by(a, b) is NodeState.ALIVE
        for a in ("n0", "n2", "n3", "n4")
        for b in ("n0", "n2", "n3", "n4")
        if a != b
    )
    world.heal()
    world.run_until(world.is_converged, 30_000.0)


def test_swim_healed_partition_rejoins():
    world = converged_world(6, 6)
    world.partition({"n0", "n1"})
    world.run_until(
        lambda: (
            world.state_seen_by("n0", "n5") is NodeState.GONE
            and world.state_seen_by("n5", "n0") is NodeState.GONE
            and world.state_seen_by("n3", "n1") is NodeState.GONE
        ),
        60_000.0,
    )
    world.run(60_000.0)
    world.heal()
    world.run_until(world.is_converged, 60_000.0)


def test_swim_all_nodes_restarted_see_each_others_new_processes():
    world = converged_world(5, 7)
    for name in world.members:
        world.kill(name)
    world.run(2_000.0)
    world.start_all()
    world.run(PERIOD)
    world.run_until(world.is_converged, 20_000.0)
    world.run(5_000.0)
    assert all(
        r.process_nonce % 1_000 == 2
        for member in world.members.values()
        if member.swim is not None
        for r in member.swim.records.values()
    )


def test_swim_unnoticed_restart_is_reported_without_conflict():
    world = converged_world(4, 8)
    world.kill("n1")
    world.start("n1")
    world.run(20_000.0)
    reporters = {
        reported.observer
        for reported in world.events
        if isinstance(reported.event, NodeRestarted) and reported.event.name == "n1"
    }
    assert reporters == {"n0", "n2", "n3"} and world.is_converged()
    assert not [reported for reported in world.events if isinstance(reported.event, NameConflictDetected)]


def test_swim_late_datagrams_of_previous_processes_are_no_conflict():
    world = converged_world(4, 9, NetworkFaults(delay_ms=20.0, duplicated=0.3))
    recorded: list[tuple[str, Datagram]] = []
    deliver = world.send

    def record(source: str, target: str, datagram: Datagram) -> None:
        if source == "n1":
            recorded.append((target, datagram))
        deliver(source, target, datagram)

    world.send = record  # type: ignore[method-assign]
    for _ in range(6):
        world.run(5_000.0)
        world.kill("n1")
        world.run(600.0)
        world.start("n1")
    world.run(5_000.0)
    for target, datagram in recorded[::3]:
        deliver("n1", target, datagram)  # repeats datagrams of all its processes at once
    world.run_until(world.is_converged, 30_000.0)
    assert not [reported for reported in world.events if isinstance(reported.event, NameConflictDetected)]


def test_swim_two_processes_with_one_name_are_detected_by_all():
    world = converged_world(4, 10)
    duplicate = Swim(SwimConfig("n1", 99_999, 5), world.members, world.now)
    events: list[object] = []

    def execute(actions: list[object]) -> None:
        for action in actions:
            if isinstance(action, SendDatagram):
                world.send("n1", action.recipient, action.datagram)
            else:
                events.append(action)

    original = world.members["n1"].swim
    handle = world.handle_datagram

    def handle_at_both(member: SimulatedMember, datagram: Datagram) -> None:
        handle(member, datagram)
        if member is world.members["n1"]:
            execute(list(duplicate.handle_datagram(world.now, datagram)))

    world.handle_datagram = handle_at_both  # type: ignore[method-assign]
    for _ in range(200):
        world.run(PERIOD / 2)
        if duplicate.next_tick_ms <= world.now:
            execute(list(duplicate.tick(world.now)))
    assert original is not None and original.has_name_conflict and duplicate.has_name_conflict
    assert {
        reported.observer
        for reported in world.events
        if isinstance(reported.event, NameConflictDetected) and reported.event.name == "n1"
    } >= {
        "n0",
        "n2",
        "n3",
    }


def test_swim_leaving_node_is_not_declared_gone_and_may_rejoin():
    world = converged_world(5, 11)
    world.leave("n4")
    world.run_until(lambda: world.is_seen_by_all("n4", NodeState.LEFT), 5_000.0)
    world.run(20_000.0)
    assert world.state_changes(NodeState.GONE) == [] and world.state_changes(NodeState.SUSPECT, "n4") == []
    world.start("n4")
    world.run_until(world.is_converged, 10_000.0)


def test_swim_reconfigure_adds_and_removes_members():
    world = converged_world(3, 12)
    swim = world.members["n0"].swim
    assert swim is not None
    assert swim.reconfigure(world.now, ["n0", "n1", "n2", "n7"]) == []
    assert swim.count_by_state() == {"alive": 3, "suspect": 0, "gone": 0, "left": 0, "unknown": 1}
    actions = swim.reconfigure(world.now, ["n0", "n1"])
    assert [a.name for a in actions if isinstance(a, NodeStateChanged) and a.state is None] == ["n2", "n7"]
    world.kill("n2")
    world.run(10_000.0)
    assert world.state_seen_by("n0", "n1") is NodeState.ALIVE


def test_swim_load_per_node_is_independent_of_cluster_size():
    rates = {}
    for size in (5, 20, 60):
        world = converged_world(size, 13)
        world.sent_counts.clear()
        world.run(20_000.0)
        rates[size] = sum(world.sent_counts.values()) / size / 20.0
    assert max(rates.values()) < 1.25 * min(rates.values()), rates


UPDATE_LISTS = st.lists(
    st.builds(
        MembershipUpdate,
        st.sampled_from(["n1", "n2"]),
        st.sampled_from(list(NodeState)),
        st.integers(0, 4),
        st.sampled_from([7]),
        st.sampled_from(["n2", "n3"]),
    ),
    max_size=12,
)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(UPDATE_LISTS, st.randoms(use_true_random=False))
def test_swim_updates_reordered_and_duplicated_converge(updates: list[MembershipUpdate], rng: object):
    def final_states(order: list[MembershipUpdate]) -> list[tuple[object, ...]]:
        swim = Swim(SwimConfig("n0", 1, 1), ["n1", "n2", "n3"], 0.0)
        for update in order:
            swim.handle_datagram(1.0, Datagram("n3", 0, 3, False, Ack(0, "n3"), (update,)))
        return [(r.state, r.incarnation) for r in swim.records.values()]

    shuffled = updates + updates[:3]
    rng.shuffle(shuffled)  # type: ignore[attr-defined]
    assert final_states(updates) == final_states(shuffled)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    st.builds(
        Datagram,
        st.sampled_from(["n0", "n1", "n2", "x", ""]),
        st.integers(-2, MAX_INCARNATION + 2),
        st.integers(-1, 9),
        st.booleans(),
        st.one_of(
            st.builds(Ping, st.integers(0, 3), st.sampled_from(["n0", "n1", "x"])),
            st.builds(PingRequest, st.integers(0, 3), st.sampled_from(["n0", "n1", "x"])),
            st.builds(Ack, st.integers(0, 3), st.sampled_from(["n0", "n1", "x"])),
        ),
        st.tuples(
            st.builds(
                MembershipUpdate,
                st.sampled_from(["n0", "n1", "x"]),
                st.sampled_from(list(NodeState)),
                st.integers(-2, MAX_INCARNATION + 2),
                st.integers(-1, 9),
            )
        ),
    )
)
def test_swim_any_datagram_leaves_output_within_limits(datagram: Datagram):
    swim = Swim(SwimConfig("n0", 1, 1), ["n1", "n2"], 0.0)
    swim.tick(0.0)
    swim.handle_datagram(1.0, datagram)
    for action in [a for at in range(300, 5_000, 300) for a in swim.tick(float(at))]:
        if isinstance(action, SendDatagram):
            assert 0 <= action.datagram.incarnation <= MAX_INCARNATION and len(action.datagram.updates) <= 8


@pytest.mark.parametrize(
    ("member_count", "accuser_count", "timeout_ms"),
    [(2, 1, 1_200.0), (10, 1, 7_200.0), (10, 2, 4_200.0), (10, 4, 1_200.0), (100, 4, 2_400.0)],
)
def test_suspicion_timeout_more_accusers_shorten_it(member_count: int, accuser_count: int, timeout_ms: float):
    assert suspicion_timeout_ms(SwimTiming(), member_count, accuser_count) == pytest.approx(timeout_ms)


def test_local_health_saturates_and_recovers():
    health = LocalHealth()
    health.recover()
    assert health.score == 0 and health.multiplier == 1
    health.degrade(MAX_LOCAL_HEALTH + 1)
    assert health.score == MAX_LOCAL_HEALTH and health.multiplier == MAX_LOCAL_HEALTH + 1
    health.recover()
    assert health.score == MAX_LOCAL_HEALTH - 1


def test_dissemination_buffer_sends_each_update_a_bounded_number_of_times():
    buffer = DisseminationBuffer()
    updates = [MembershipUpdate(name, NodeState.ALIVE, 0, 1) for name in ("n1", "n2")]
    for update in updates:
        buffer.enqueue(update)
    assert buffer.take(8, "n1", 3) == updates[1:], "no update about the recipient"
    assert buffer.take(1, "n0", 3) == updates[:1], "the least often sent update is first"
    rounds = [buffer.take(8, "n0", 3) for _ in range(4)]
    assert rounds == [updates, updates, updates, []]


def test_swim_deep_copy_continues_identically():
    world = converged_world(4, 14)
    swim = world.members["n0"].swim
    assert swim is not None
    other = copy.deepcopy(swim)
    for at in (PERIOD, 2 * PERIOD, 3 * PERIOD):
        assert swim.tick(world.now + at) == other.tick(world.now + at)


@pytest.mark.parametrize(
    ("is_cut", "is_killed", "expected"), [(True, False, True), (False, False, False), (False, True, False)]
)
def test_swim_reachability_probe_distinguishes_a_cut_link_from_a_dead_node(
    is_cut: bool, is_killed: bool, expected: bool
):
    world = converged_world(4)
    if is_cut:
        world.cut("n0", "n1")
        world.cut("n1", "n0")
    if is_killed:
        world.kill("n1")
    observer = world.members["n0"]
    assert observer.swim is not None
    world.execute(observer, observer.swim.probe_reachability(world.now, {"n1"}))
    assert not observer.swim.is_reached_by_others_only(world.now, "n1")  # the probe is in flight
    world.run(2 * SwimTiming().probe_timeout_ms)
    assert observer.swim.is_reached_by_others_only(world.now, "n1") is expected
    observer.swim.probe_reachability(world.now, set())
    assert not observer.swim.is_reached_by_others_only(world.now, "n1")
