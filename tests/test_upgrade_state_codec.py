"""The encoded state of a hand-over: records, the opaque scheduler, and pickles of other versions."""

from __future__ import annotations

import os
import pickle
from pathlib import Path

import msgspec
import pytest

from winchspan import api
from winchspan.api import Outcome
from winchspan.config.platform import Address, ConfigurationInForce
from winchspan.delivery.ended_messages import EndedMessage, EndedMessagesState
from winchspan.delivery.engine import DeliveryEngine
from winchspan.delivery.engine_state import EngineState
from winchspan.delivery.messages import AttemptResult, DeliveryAttempt, OutgoingMessage
from winchspan.delivery.ports import EnginePorts
from winchspan.delivery.reconfiguration import ClassesState
from winchspan.net.attempt_transport import CallContent
from winchspan.net.client_connection import ClientConnectionState
from winchspan.net.endpoint_directory import EndpointDirectory
from winchspan.net.http import ResponseParser
from winchspan.net.http_call import HttpCall, HttpCallState, HttpPeer
from winchspan.overload.governor import OverloadGovernor
from winchspan.overload.settings import OverloadSettings
from winchspan.runtime.sketches import CountMinSketch, RecentKeyFilter
from winchspan.scheduling.scheduler import Scheduler
from winchspan.upgrade import legacy_pickle
from winchspan.upgrade.decisions_codec import decode_decisions, encode_decisions
from winchspan.upgrade.engine_converter import engine_from_record, engine_to_record
from winchspan.upgrade.errors import HandOverError, StateFormatError
from winchspan.upgrade.records import MAGIC
from winchspan.upgrade.state_codec import decode_state, encode_state
from winchspan.upgrade.transferred_state import (
    CourierState,
    IdleConnection,
    TransferredKeyPause,
    TransferredState,
    TransferredWait,
)
from winchspan.upgrade.wire_protocol import MAX_STATE_BYTES

from .compatibility.make import RECORDED
from .delivery_world import World
from .helpers import MS, SECOND, settings


def busy_scheduler() -> Scheduler:
    """Return a scheduler with calls in flight, blocked keys, a retry-after, a suspected endpoint, a queue."""
    scheduler = Scheduler(settings(slots=3), 7)
    rows = (api.EndpointEntry(1, 1), api.EndpointEntry(2, 2), api.EndpointEntry(3, 3, kind="batch"))
    scheduler.handle(SECOND, [api.EndpointsUpdated(api.UpdateScope.SNAPSHOT, rows)])
    scheduler.handle(
        2 * SECOND,
        [
            api.MessageArrived(
                f"m{n}", ("safe", "turn", "keyed")[n % 3], n % 3 + 1, 15 * SECOND, key=n % 2 + 1
            )
            for n in range(14)
        ],
    )
    scheduler.handle(
        2 * SECOND + 50 * MS,
        [
            api.AttemptCompleted("m0", 0, 1, Outcome.FULL, wait_ns=2 * SECOND),
            api.AttemptCompleted("m1", 0, 2, Outcome.RESET),
        ],
    )
    return scheduler


def test_decoded_scheduler_makes_the_same_decisions_as_the_original():
    original = busy_scheduler()
    decoded, pending_events = decode_decisions(encode_decisions(original, []))
    assert (
        not pending_events
        and len(decoded.held) == len(original.held)
        and decoded.running.keys() == original.running.keys()
    )
    for step in range(60):
        now = 2 * SECOND + (100 + 100 * step) * MS
        events: list[api.Event] = [api.TimerFired(0)]
        if step % 7 == 3:
            events += [
                api.AttemptCompleted(message_id, number, call.endpoint.id, Outcome.DELIVERED, 40 * MS, True)
                for call in list(original.running.values())
                for message_id, (_, number) in call.members.items()
            ]
        original_commands, decoded_commands = original.handle(now, events), decoded.handle(now, events)
        assert original_commands == decoded_commands


def test_overload_governor_is_transferred_and_an_upgrade_degrades_no_destination(tmp_path: Path):
    """Reporting each message with a second attempt again marked its destination as recovering cold."""

    def governor(**changes: object) -> OverloadGovernor:
        overload_settings = OverloadSettings(**changes)  # type: ignore[arg-type]
        return OverloadGovernor(
            settings(), overload_settings, RecentKeyFilter(0, 1_000, SECOND), CountMinSketch()
        )

    world = World(tmp_path)
    world.submit("m", "keyed", key=1)
    for _ in range(2):
        world.transport.calls.pop().end(AttemptResult(Outcome.ERROR))
        world.run(1_500)
    before = governor(seed=1)
    before.rate_listed(0, 1, 10.0)
    before.message_arrived(0, api.MessageArrived("x", "safe", 1, SECOND), settings().classes["safe"])
    world.engine.scheduler.overload_control = before
    world.engine.suspend(True)
    scheduler, _ = decode_decisions(encode_decisions(world.engine.scheduler, []))
    after = scheduler.overload_control
    assert isinstance(after, OverloadGovernor)
    assert governor(seed=2).can_continue(after) and not governor(min_governed_rate=2.0).can_continue(after)
    assert [destination.id for destination in after.destinations] == [1]

    for changed, is_kept in (
        (OverloadSettings(seed=2), True),
        (OverloadSettings(capacity_share=0.25), False),
    ):
        new_governor = OverloadGovernor(
            settings(), changed, RecentKeyFilter(0, 1_000, SECOND), CountMinSketch()
        )
        world.engine.scheduler.overload_control = before
        fresh = DeliveryEngine(
            world.settings,
            1,
            EnginePorts(
                world.clock,
                world.timers,
                world.journal,
                world.transport,
                world.transport,
                world.callbacks.append,
                new_governor,
            ),
        )
        fresh.import_state(world.engine.export_state(), lambda call, on_done: None)
        assert (fresh.overload_control is before) == is_kept
        assert not [each.id for each in fresh.overload_control.destinations if each.tracker.is_degraded]  # type: ignore[attr-defined]


def busy_engine_state(world: World) -> EngineState:
    """Return an engine's state with a separate call for each attempt in flight."""
    for n in range(8):
        world.submit(f"m{n}", "keyed", key=n % 2 + 1)
    world.submit("done", "safe")
    world.run(50)
    world.transport.calls.pop().end(AttemptResult(Outcome.ERROR))
    world.run(10)
    world.engine.suspend(True)
    world.submit("meanwhile", "safe")
    state = world.engine.export_state()
    for attempt in attempts_of(state):
        attempt.call = HttpCall.without_connection()
    return state


def attempts_of(state: EngineState) -> list[DeliveryAttempt]:
    found = {id(message.attempt): message.attempt for message in state.messages}
    return [attempt for attempt in found.values() if attempt is not None]


def transferred_state(state: EngineState) -> TransferredState:
    """Return a complete state: clients, calls in flight, idle connections and an endpoint directory."""
    calls = [attempt.call for attempt in attempts_of(state)]
    peer = HttpPeer(Address("127.0.0.1", 80), 1)
    parser = ResponseParser()
    head = bytearray(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab")
    parser.feed(head, 0, len(head))
    parcels = [OutgoingMessage("m1", "t1", b"\x00body"), OutgoingMessage("m2", "", b"")]
    content = CallContent(parcels, [parcels[1]])
    directory = EndpointDirectory(lambda update: None)
    endpoints = [
        {"host": "s-\ud800", "block": 7, "health": "up", "dial": "127.0.0.1:81", "site": "z"},
        {"host": "s-b", "block": 8, "health": "up", "dial": "127.0.0.1:82", "class": "batch"},
    ]
    directory.apply({"seq": 3, "whole": True, "hosts": endpoints})
    return TransferredState(
        is_out_of_service=True,
        clients=[ClientConnectionState(b"*1\r\n", False, 2, 12.5, 11.5)],
        configuration=ConfigurationInForce(b'{"discovery":"127.0.0.1:1"}', 3.5, True),
        classes=ClassesState(b"[]", b'[{"name":"x","effect":"once"}]', 4.5),
        ended=EndedMessagesState([EndedMessage("m0", 8.5, is_delivered=True)], float("-inf")),
        courier=CourierState(
            engine=state,
            endpoint_directory=directory.export_state(),
            calls={index: call for index, call in enumerate(calls) if isinstance(call, HttpCall)},
            call_states=[HttpCallState(peer, 9.0, content, parser, b"rest", 7.0, True) for _ in calls],
            idle_connections=[IdleConnection(peer, 250.0)],
        ),
    )


def test_state_record_round_trip_keeps_every_field_and_the_identity_of_objects(tmp_path: Path):
    before = transferred_state(busy_engine_state(World(tmp_path)))
    encoded = encode_state(before)
    assert encoded.startswith(MAGIC)
    after = decode_state(encoded)
    assert before.courier is not None
    assert after.courier is not None
    assert (after.is_out_of_service, after.clients) == (True, before.clients)
    assert after.ended == before.ended
    assert (after.configuration, after.classes) == (before.configuration, before.classes)
    assert after.courier.idle_connections == before.courier.idle_connections
    old, new = before.courier.engine, after.courier.engine
    assert attempts_of(old) and len(attempts_of(new)) == len(attempts_of(old))
    assert list(new.messages) == [
        with_decoded_call(message, after.courier.calls, before.courier.calls) for message in old.messages
    ]
    for name in ("_generations", "_free", "_size"):
        assert getattr(new.messages, name) == getattr(old.messages, name)
    assert new.handles_by_id == old.handles_by_id
    assert (new.held_count, new.in_flight_count) == (old.held_count, old.in_flight_count)
    assert new.pending_events == old.pending_events and new.pending_events
    assert [id(a.call) for a in attempts_of(new)] == [id(call) for call in after.courier.calls.values()]
    for handle in new.handles_by_id.values():
        found = new.messages.get(handle)
        assert found is not None and found.handle == handle
    # Encoding the decoded state again gives the same record, except for the opaque scheduler.
    assert without_decisions(encode_state(after)) == without_decisions(encoded)


def with_decoded_call(message: object, calls: dict[int, HttpCall], before: dict[int, HttpCall]) -> object:
    """Return the message, with the call of its attempt replaced by the decoded call of the same index."""
    attempt: DeliveryAttempt | None = message.attempt  # type: ignore[attr-defined]
    if attempt is None or attempt.call in calls.values():
        return message
    (index,) = (number for number, call in before.items() if call is attempt.call)
    attempt.call = calls[index]
    return message


def without_decisions(encoded: bytes) -> object:
    record = msgspec.msgpack.decode(encoded[len(MAGIC) :])
    assert record["courier"]["engine"].pop("decisions")
    return record


def test_call_record_round_trip_keeps_the_content_and_the_half_read_answer(tmp_path: Path):
    before = transferred_state(busy_engine_state(World(tmp_path)))
    after = decode_state(encode_state(before))
    assert before.courier is not None
    assert after.courier is not None
    for old, new in zip(before.courier.call_states, after.courier.call_states, strict=True):
        assert new._replace(parser=old.parser) == old
        assert new.parser.__getstate__() == old.parser.__getstate__()
        assert new.context.sent_messages[0] is new.context.messages[1]
        new.parser.feed(bytearray(b"cd"), 0, 2)
        assert new.parser.is_complete and bytes(new.parser.body) == b"abcd"


def test_directory_record_round_trip_keeps_names_with_lone_surrogates_and_the_next_number(tmp_path: Path):
    before = transferred_state(busy_engine_state(World(tmp_path)))
    after = decode_state(encode_state(before))
    assert before.courier is not None
    assert after.courier is not None
    old, new = dict(before.courier.endpoint_directory), dict(after.courier.endpoint_directory)
    assert next(new.pop("next")) == next(old.pop("next"))
    assert new == old
    assert list(new["ever"]) == list(old["ever"]) and ("s-\ud800", 7) in new["numbers"]


def test_state_for_another_program_equals_the_recorded_one():
    recorded = (RECORDED / "upgrade" / "differs.state").read_bytes()
    state = decode_state(recorded)
    plain = pickle.loads(encode_state(state))
    assert plain == pickle.loads(recorded)
    assert list(plain) == ["drained", "clients"] and {type(row) for row in plain["clients"]} == {tuple}


def test_age_of_the_backlog_passes_to_another_program():
    encoded = encode_state(TransferredState(is_out_of_service=False, clients=[], backlog_since_ms=1_500.5))
    assert decode_state(encoded).backlog_since_ms == 1_500.5


def test_paused_keys_pass_to_another_program():
    pauses = [TransferredKeyPause(5, 1_500.5)]
    encoded = encode_state(TransferredState(is_out_of_service=False, clients=[], paused_keys=pauses))
    assert decode_state(encoded).paused_keys == pauses


def test_waits_pass_to_another_program():
    waits = [TransferredWait(7, None, 1_500.5), TransferredWait(8, "s-\udcff", 2_000.0)]
    encoded = encode_state(TransferredState(is_out_of_service=False, clients=[], waits=waits))
    assert decode_state(encoded).waits == waits


def test_state_record_with_a_wrong_type_field_version_or_reference_is_rejected(tmp_path: Path):
    encoded = encode_state(transferred_state(busy_engine_state(World(tmp_path))))

    def changed(*path: str | int, value: object) -> bytes:
        record = msgspec.msgpack.decode(encoded[len(MAGIC) :])
        place = record
        for key in path[:-1]:
            place = place[key]
        place[path[-1]] = value
        return MAGIC + msgspec.msgpack.encode(record)

    decode_state(changed("is_out_of_service", value=False))
    for path, value in (
        (("is_out_of_service",), 1),
        (("unknown",), 1),
        (("version",), 2),
        (("clients",), None),
        (("courier", "calls", 0, "deadline_ms"), "soon"),
        (("courier", "calls", 0, "content", "sent"), [9]),
        (("courier", "calls", 0, "parser", "step"), "close"),
        (("courier", "engine", "attempts", 0, "call"), 999),
        (("courier", "engine", "attempts"), []),
        (("courier", "engine", "messages", "generations"), []),
        (("courier", "engine", "messages", "free_indexes"), [0, 0, 0]),
        (("courier", "engine", "decisions"), b"\x80"),
        (("courier", "engine", "decisions"), pickle.dumps([])),
        (("courier", "endpoint_directory", "endpoints", 0, "status"), "unknown"),
    ):
        with pytest.raises(StateFormatError, match="expected"):
            decode_state(changed(*path, value=value))
    for damaged in (MAGIC, encoded[:-3], encoded + b"x"):
        with pytest.raises(StateFormatError, match="expected"):
            decode_state(damaged)


def test_state_larger_than_the_limit_is_neither_written_nor_read():
    client = ClientConnectionState(bytes(MAX_STATE_BYTES), True, 0, 0.0)
    with pytest.raises(HandOverError, match="at most"):
        encode_state(TransferredState(is_out_of_service=False, clients=[client]))
    with pytest.raises(StateFormatError, match="at most"):
        decode_state(bytes(MAX_STATE_BYTES + 1))


def test_state_with_a_foreign_class_or_a_call_without_a_connection_is_rejected(tmp_path: Path):
    class Trap:
        def __reduce__(self) -> object:
            return os.system, ("true",)

    with pytest.raises(HandOverError, match="no part of a state"):
        decode_state(pickle.dumps({"x": Trap()}))
    with pytest.raises(HandOverError, match="no part of a state"):
        decode_decisions(pickle.dumps((Trap(), [])))
    plain = encode_state(TransferredState(is_out_of_service=False, clients=[]))
    for damaged in (b"", b"\x80", plain[:-3], pickle.dumps([]), pickle.dumps({})):
        with pytest.raises(HandOverError):
            decode_state(damaged)
    state = busy_engine_state(World(tmp_path))
    attempt = attempts_of(state)[0]
    call = attempt.call
    assert isinstance(call, HttpCall)
    others = {index: each.call for index, each in enumerate(attempts_of(state)) if each is not attempt}
    with pytest.raises(HandOverError, match="no connection"):
        engine_to_record(state, others)  # type: ignore[arg-type]
    unsent = next(message for message in state.messages if message.attempt is None)
    unsent.attempt = attempt  # now an attempt of two messages
    calls = {index: each.call for index, each in enumerate(attempts_of(state))}
    decoded_calls = {index: HttpCall.without_connection() for index in calls}
    decoded = engine_from_record(engine_to_record(state, calls), decoded_calls)  # type: ignore[arg-type]
    sharing = [message.attempt for message in decoded.messages if message.attempt is not None]
    same_call = [each for each in sharing if each.call is decoded_calls[list(calls.values()).index(call)]]
    assert len(same_call) >= 2 and all(each is same_call[0] for each in same_call)


def test_legacy_pickle_scheduler_has_all_attributes_of_a_present_one():
    state = decode_state((RECORDED / "upgrade" / "same.state").read_bytes())
    assert state.courier is not None
    decoded, present = state.courier.engine.scheduler, busy_scheduler()
    assert vars(decoded).keys() == vars(present).keys()
    assert vars(decoded.health).keys() == vars(present.health).keys()
    assert decoded.health.commands is decoded.commands and decoded.health.settings is decoded.settings
    messages = [message for message, _ in decoded.in_flight.values()] + list(decoded.held.values())
    limits = [endpoint.limit for endpoint in decoded.endpoints.values()]
    tables = (
        messages,
        limits,
        decoded.running.values(),
        decoded.endpoints.values(),
        decoded.destinations.values(),
    )
    for records in tables:
        assert records
        assert all(hasattr(each, name) for each in records for name in type(each).__slots__)


def test_legacy_pickle_attributes_are_renamed_through_the_table(monkeypatch: pytest.MonkeyPatch):
    class Slotted:
        __slots__ = ("number",)

    present = legacy_pickle._with_old_attributes(Slotted, {"n": "number"})
    old = present.__new__(present)
    old.__setstate__((None, {"n": 7}))
    assert type(old) is Slotted and old.number == 7
    frozen = legacy_pickle._with_old_attributes(OutgoingMessage, {"key": "token"})
    message = frozen.__new__(frozen)
    message.__setstate__(["m", "t", b"body"])
    assert type(message) is OutgoingMessage and message == OutgoingMessage("m", "t", b"body")
    recorded = (RECORDED / "upgrade" / "same.state").read_bytes()
    unchanged = decode_state(recorded)
    assert unchanged.courier is not None
    held = unchanged.courier.engine.scheduler.held
    key = ("winchspan.scheduling.scheduler", "Scheduler")
    monkeypatch.setitem(legacy_pickle._RENAMED_ATTRIBUTES, key, {"held": "held_now"})
    state = decode_state(recorded)
    assert state.courier is not None
    scheduler = state.courier.engine.scheduler
    assert type(scheduler) is Scheduler
    assert list(vars(scheduler)["held_now"]) == list(held) != [] and "held" not in vars(scheduler)
