"""Attempts over HTTP: encoded requests, and the results of responses."""

from __future__ import annotations

import json

import pytest

from winchspan.api import Outcome
from winchspan.delivery.messages import OutgoingMessage
from winchspan.net.attempt_transport import HttpAttemptTransport, TransportSettings, read_results
from winchspan.net.endpoint_directory import EndpointDirectory
from winchspan.net.http_call import HttpCallOutcome, HttpCallResult
from winchspan.runtime.clock import ManualClock

from .network_fakes import (
    FakePool,
    endpoint_entry,
    http_result,
    watch_event,
)

FIRST, SECOND = OutgoingMessage("a", "f00d", b"\x00x"), OutgoingMessage("b", "", b"y")


@pytest.mark.parametrize(
    ("call_result", "outcome", "is_final", "wait_ms", "no_slot"),
    [
        (http_result(200), Outcome.DELIVERED, True, 0, False),
        (http_result(500), Outcome.ERROR, False, 0, False),
        (http_result(418), Outcome.ERROR, False, 0, False),
        (http_result(429, "X-RateLimit-Wait-Ms: 250"), Outcome.FULL, False, 250, False),
        (http_result(429, "X-RateLimit-Wait-Ms: soon"), Outcome.FULL, False, 0, False),
        (http_result(503), Outcome.FULL, False, 0, False),
        (http_result(503, "X-Over-Slots: 1"), Outcome.NOT_SENT, False, 0, True),
        (http_result(504), Outcome.NOT_SENT, False, 0, False),
        (http_result(410), Outcome.NOT_SENT, True, 0, False),
        (HttpCallResult(HttpCallOutcome.NOT_WRITTEN), Outcome.CONNECT_FAILED, False, 0, False),
        (HttpCallResult(HttpCallOutcome.CONNECTION_LOST), Outcome.RESET, False, 0, False),
        (HttpCallResult(HttpCallOutcome.TIMED_OUT), Outcome.TIMEOUT, False, 0, False),
        (HttpCallResult(HttpCallOutcome.RECALLED), Outcome.NOT_SENT, False, 0, False),
        (HttpCallResult(HttpCallOutcome.CANCELLED), Outcome.CANCELLED, False, 0, False),
        (HttpCallResult(HttpCallOutcome.INVALID_RESPONSE), Outcome.ERROR, False, 0, False),
        (
            HttpCallResult(HttpCallOutcome.INVALID_RESPONSE, first_line_status=500),
            Outcome.ERROR,
            False,
            0,
            False,
        ),
    ],
)
def test_read_results_single_message_maps_call_result_to_outcome(
    call_result: HttpCallResult, outcome: Outcome, is_final: bool, wait_ms: int, no_slot: bool
):
    (result,) = read_results(call_result, [FIRST])
    assert (result.outcome, result.is_final, result.retry_after_ms, result.no_slot) == (
        outcome,
        is_final,
        wait_ms,
        no_slot,
    )
    assert len(read_results(call_result, [FIRST, SECOND])) == 2


def test_read_results_batch_gives_each_message_its_result():
    states = ["ok", "error", "later", "gone", "exhausted"]
    messages = [OutgoingMessage(state, "", b"") for state in states]
    body = json.dumps([{"id": state, "state": state} for state in reversed(states)])
    results = read_results(http_result(200, "X-RateLimit-Wait-Ms: 40", body=body), messages)
    assert [(result.outcome, result.is_final) for result in results] == [
        (Outcome.DELIVERED, True),
        (Outcome.ERROR, False),
        (Outcome.FULL, False),
        (Outcome.NOT_SENT, True),
        (Outcome.NOT_SENT, False),
    ]
    assert {result.retry_after_ms for result in results} == {40.0}


@pytest.mark.parametrize(
    "body", ["", "{", "[" * 60_000, "[1]", '[{"id":"a"}]', '{"id":"a","state":"ok"}', "null", "[]"]
)
def test_read_results_batch_without_results_may_have_run(body: str):
    assert [result.outcome for result in read_results(http_result(200, body=body), [FIRST, SECOND])] == [
        Outcome.ERROR
    ] * 2


def test_read_results_load_report_read_only_where_enabled():
    response = http_result(200, "X-Load: x0=0.4,x1=25")
    (result,) = read_results(response, [FIRST], has_load_reports=True)
    assert (result.limit_remaining, result.limit_rate) == (0.4, 25.0)
    (result,) = read_results(response, [FIRST])  # load reports are disabled
    assert (result.limit_remaining, result.limit_rate) == (None, None)


@pytest.mark.parametrize(
    "call_outcome",
    [
        HttpCallOutcome.INVALID_RESPONSE,
        HttpCallOutcome.CONNECTION_LOST,
        HttpCallOutcome.TIMED_OUT,
        HttpCallOutcome.CANCELLED,
    ],
)
def test_read_results_status_line_200_delivers_single_message_whatever_follows(call_outcome: HttpCallOutcome):
    (result,) = read_results(HttpCallResult(call_outcome, first_line_status=200), [FIRST])
    assert result.outcome is Outcome.DELIVERED and result.is_final
    assert all(
        other.outcome is not Outcome.DELIVERED
        for other in read_results(HttpCallResult(call_outcome, first_line_status=200), [FIRST, SECOND])
    )


def test_read_results_batch_partly_unreadable_delivers_none():
    body = '[{"id":"a","state":"ok"},{"id":"b"}]'
    assert [result.outcome for result in read_results(http_result(200, body=body), [FIRST, SECOND])] == [
        Outcome.ERROR,
        Outcome.ERROR,
    ]


@pytest.mark.parametrize("text", ["x0=0.5,x1=?", "x0=nan,x1=5", "x0=0.5,x1=-1", "\x01\x02", "x0"])
def test_read_results_unreadable_load_report_ignored(text: str):
    (result,) = read_results(http_result(200, f"X-Load: {text}"), [FIRST], has_load_reports=True)
    assert (result.outcome, result.limit_remaining, result.limit_rate) == (Outcome.DELIVERED, None, None)


def test_attempt_transport_start_sends_id_key_and_body_unchanged():
    clock, connections = ManualClock(), FakePool()
    directory = EndpointDirectory(lambda event: None)
    directory.apply(watch_event(1, endpoint_entry("s-1"), whole=True))
    attempt_transport = HttpAttemptTransport(directory, connections, clock, TransportSettings({"k": 10}))  # type: ignore[arg-type]
    assert attempt_transport.serves(3) and not attempt_transport.serves(4)
    assert HttpAttemptTransport(
        EndpointDirectory(lambda event: None), connections, clock, TransportSettings({})
    ).serves(4)  # type: ignore[arg-type]
    assert attempt_transport.describe(1) == ("s-1", "a", 10)
    attempt_transport.start(1, [FIRST], clock.now() + 1_500, None, lambda results: None, lambda message: True)
    head, body = connections.calls[0][0]
    assert b"X-Request-Id: a\r\n" in head and b"Idempotency-Key: f00d\r\n" in head
    assert b"X-Deadline: 1.500\r\n" in head and body == b"\x00x"
    attempt_transport.start(
        1, [FIRST, SECOND], clock.now() + 1_500, None, lambda results: None, lambda message: True
    )
    head, body = connections.calls[1][0]
    assert head.startswith(b"POST /hook/batch ")
    assert json.loads(body) == [{"id": "a", "key": "f00d", "body": "AHg="}, {"id": "b", "body": "eQ=="}]


def test_attempt_transport_message_ended_while_connecting_not_sent():
    """Guards against sending a message after its final result, when the call waits for its connection."""
    connections, completed_ids, received_outcomes = FakePool(), set[str](), list[list[Outcome]]()
    directory = EndpointDirectory(lambda event: None)
    directory.apply(watch_event(1, endpoint_entry("s-1"), whole=True))
    attempt_transport = HttpAttemptTransport(
        directory, connections, ManualClock(), TransportSettings({"k": 10})
    )  # type: ignore[arg-type]

    def sent() -> list[bytes]:
        attempt_transport.start(
            1,
            [FIRST, SECOND],
            9e9,
            None,
            lambda results: received_outcomes.append([result.outcome for result in results]),
            lambda message: message not in completed_ids,
        )
        return connections.calls[-1][0]

    completed_ids.add("a")
    head, body = sent()
    assert head.startswith(b"POST /hook ") and b"X-Request-Id: b\r\n" in head and body == b"y"
    connections.calls[-1][1](http_result(200))
    completed_ids.add("b")
    assert sent() == []  # no message is left: the pool recalls the call
    connections.calls[-1][1](HttpCallResult(HttpCallOutcome.RECALLED))
    assert received_outcomes == [[Outcome.NOT_SENT, Outcome.DELIVERED], [Outcome.NOT_SENT] * 2]
