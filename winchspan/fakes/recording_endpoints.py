"""Endpoints of fake partners that record what they receive, and the platform's agent for notifications.

They serve couriers, real or simulated, and hold calls or notifications back where a test wants it. Tests and
audits read the records, so that they rely on nothing that couriers report of themselves.
"""

from __future__ import annotations

import asyncio
import json
import threading
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Collection, Iterable
from contextlib import suppress
from enum import Enum, auto
from functools import partial
from typing import Final, NamedTuple

from winchspan.fakes.health_check_audit import ObservedHealthCheck
from winchspan.fakes.hold_up_monitor import HoldUpMonitor
from winchspan.fakes.platform import KIND
from winchspan.fakes.ports import HOST
from winchspan.fakes.sockets import Request, Server, answer, read_request

POLL_INTERVAL_SECONDS: Final = 0.01  # between two checks of whether a held call may be answered
START_TIMEOUT_SECONDS: Final = 30.0
CLOSE_TIMEOUT_SECONDS: Final = 10.0
CONNECTIONS_END_SECONDS: Final = 0.05  # in which the served connections see their end


class FinalAnswer(Enum):
    """How a message ended."""

    DELIVERED = auto()
    NOTIFIED = auto()


class FakeResponse(NamedTuple):
    """An HTTP response that an endpoint gives."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()


class MessageCall(NamedTuple):
    """A call with messages that an endpoint has answered."""

    answered_at_seconds: float
    endpoint: str


class DeliveryStart(NamedTuple):
    """The moment at which an endpoint began with a message of a call that takes time."""

    at_seconds: float
    message_id: str
    token: str


class MessageInCall(NamedTuple):
    """A message of a call."""

    message_id: str
    token: str


def _parse_messages(request: Request) -> list[MessageInCall]:
    """Return the messages of a call; none for a health check."""
    if request.path == "/hook/batch":
        return [MessageInCall(item["id"], item.get("key", "")) for item in json.loads(request.body)]
    message_id = request.headers.get("x-request-id", "")
    if not message_id:
        return []
    return [MessageInCall(message_id, request.headers.get("idempotency-key", ""))]


class RecordingEndpoints:
    """Some destinations with one endpoint each, on the running event loop.

    Attributes:
        ports: of the endpoints, by name.
        agent_port: where notifications are received; there is no discovery watch.
        responses: that endpoints give instead of 200, by name.
        service_seconds: that a call with messages takes; 0 for an immediate answer.
        holds_notifications: whether notifications are read, and not acknowledged for now.
        health_checks: as received.
        calls: with messages, as answered.
        delivery_starts: of messages in calls that took time or were held.
        delivery_counts: how often a message was answered 200.
        first_delivered_at_seconds: when a message was first answered 200.
        read_notification_counts: notifications of a message that were read.
        notification_counts: those that were acknowledged.
        first_final_answers: how a message ended first.
        concurrent_message_ids: messages of which two calls were in flight together.
        concurrent_tokens: tokens of which two calls were, whatever the messages' ids.
        max_messages_per_call: of calls that took time or were held.
    """

    def __init__(
        self, count: int, calls_per_second: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Make the endpoints; `start` opens them.

        Args:
            count: number of destinations.
            calls_per_second: that the endpoint list gives each endpoint, from all couriers together.
            clock: of the records, in seconds.
        """
        self._count = count
        self._calls_per_second = calls_per_second
        self._clock = clock
        self.ports: dict[str, int] = {}
        self.agent_port = 0
        self.responses: dict[str, FakeResponse] = {}
        self.service_seconds = 0.0
        self.holds_notifications = False
        self.health_checks: list[ObservedHealthCheck] = []
        self.calls: list[MessageCall] = []
        self.delivery_starts: list[DeliveryStart] = []
        self.delivery_counts: Counter[str] = Counter()
        self.first_delivered_at_seconds: dict[str, float] = {}
        self.read_notification_counts: Counter[str] = Counter()
        self.notification_counts: Counter[str] = Counter()
        self.first_final_answers: dict[str, FinalAnswer] = {}
        self.concurrent_message_ids: list[str] = []
        self.concurrent_tokens: list[str] = []
        self.max_messages_per_call = 0
        self._held_endpoints: set[str] = set()
        self._messages_in_flight: Counter[str] = Counter()
        self._tokens_in_flight: Counter[str] = Counter()
        self._servers: list[Server] = []

    async def start(self) -> None:
        """Listen for notifications and for calls."""
        self.agent_port = await self._start_server(self._serve_notifications)
        for number in range(self._count):
            name = f"s-{number}"
            self.ports[name] = await self._start_server(partial(self._serve_calls, name))

    def close(self) -> None:
        """Close all servers."""
        for server in self._servers:
            server.close()

    def hold_calls(self, *names: str) -> None:
        """Answer no call with messages at these endpoints until `release_calls`."""
        self._held_endpoints = set(names)

    def release_calls(self) -> None:
        """Answer all calls that are held."""
        self._held_endpoints = set()

    def has_in_flight(self, message_ids: Iterable[str]) -> bool:
        """Return whether a call with one of these messages is held or takes time."""
        return any(self._messages_in_flight[message_id] > 0 for message_id in message_ids)

    def has_final_answer(self, message_id: str) -> bool:
        """Return whether a message has been delivered, or its notification acknowledged."""
        return self.delivery_counts[message_id] > 0 or self.notification_counts[message_id] > 0

    def delivered_after_notification(self, message_ids: Iterable[str]) -> list[str]:
        """Return those of some messages that were delivered after a notification had ended them."""
        return [
            message_id
            for message_id in message_ids
            if self.delivery_counts[message_id]
            and self.first_final_answers[message_id] is FinalAnswer.NOTIFIED
        ]

    def endpoint_list(self, draining: Collection[str] = ()) -> dict[str, object]:
        """Return the full snapshot of the endpoints as discovery sends it; some are draining."""
        return {
            "seq": 1,
            "whole": True,
            "hosts": [
                {
                    "host": name,
                    "dial": f"{HOST}:{port}",
                    "site": "a",
                    "class": KIND,
                    "block": number,
                    "health": "draining" if name in draining else "up",
                    "share": self._calls_per_second,
                    "born_ms": 0,
                }
                for number, (name, port) in enumerate(self.ports.items())
            ],
        }

    async def _start_server(
        self, serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
    ) -> int:
        server = Server(serve)
        await server.start()
        self._servers.append(server)
        return server.port

    # ---- notifications -----------------------------------------------------------------------------------
    async def _serve_notifications(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await read_request(reader)) is not None:
            if request.path != "/v1/notices":
                writer.write(answer(404))
                continue
            message_ids = [json.loads(line)["id"] for line in request.body.splitlines()]
            self.read_notification_counts.update(message_ids)
            while self.holds_notifications:
                await asyncio.sleep(POLL_INTERVAL_SECONDS)
            if writer.is_closing():
                return  # the courier is gone and cannot read the acknowledgement
            for message_id in message_ids:
                self.notification_counts[message_id] += 1
                self.first_final_answers.setdefault(message_id, FinalAnswer.NOTIFIED)
            writer.write(answer(204))

    # ---- calls -------------------------------------------------------------------------------------------
    async def _serve_calls(
        self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_request(reader)) is not None:
            messages = _parse_messages(request)
            if messages and (name in self._held_endpoints or self.service_seconds):
                self._record_start(messages)
                is_connected = await self._wait_until_done(reader, name)
                self._messages_in_flight.subtract(message.message_id for message in messages)
                self._tokens_in_flight.subtract(message.token for message in messages)
                if not is_connected:
                    return  # the courier has given the call up, or has died
            writer.write(self._respond(name, request))

    def _record_start(self, messages: list[MessageInCall]) -> None:
        self.max_messages_per_call = max(self.max_messages_per_call, len(messages))
        for message_id, token in messages:
            if self._messages_in_flight[message_id]:
                self.concurrent_message_ids.append(message_id)
            if token and self._tokens_in_flight[token]:
                self.concurrent_tokens.append(token)
            self._messages_in_flight[message_id] += 1
            self._tokens_in_flight[token] += 1
            self.delivery_starts.append(DeliveryStart(self._clock(), message_id, token))

    async def _wait_until_done(self, reader: asyncio.StreamReader, name: str) -> bool:
        """Wait until a call has taken its time and is not held; False if its connection ends before."""
        end_of_stream = asyncio.ensure_future(reader.read(1))  # a courier sends nothing before the response
        timeout_seconds = (
            POLL_INTERVAL_SECONDS if name in self._held_endpoints else self.service_seconds or None
        )
        await asyncio.wait([end_of_stream], timeout=timeout_seconds)
        while name in self._held_endpoints and not end_of_stream.done():
            await asyncio.wait([end_of_stream], timeout=POLL_INTERVAL_SECONDS)
        if end_of_stream.done():
            end_of_stream.exception()  # a reset is an end like any other
            return False
        end_of_stream.cancel()
        with suppress(asyncio.CancelledError, OSError):
            await end_of_stream
        return True

    def _held_up_seconds(self) -> float:
        """Return for how long what is read now may have lain unread."""
        return 0.0

    def _respond(self, name: str, request: Request) -> bytes:
        """Record a call or a health check, and return its response."""
        if "x-probe" in request.headers:
            role, epoch, sequence, node = request.headers["x-probe"].split()
            check = ObservedHealthCheck(
                self._clock(), name, role, int(epoch), int(sequence), node, self._held_up_seconds()
            )
            self.health_checks.append(check)
        else:
            self.calls.append(MessageCall(self._clock(), name))
        response = self.responses.get(name, FakeResponse(200))
        messages = _parse_messages(request) if response.status == 200 else []
        for message_id, _ in messages:
            self.delivery_counts[message_id] += 1
            self.first_delivered_at_seconds.setdefault(message_id, self._clock())
            self.first_final_answers.setdefault(message_id, FinalAnswer.DELIVERED)
        body = json.dumps([{"id": message.message_id, "state": "ok"} for message in messages]).encode()
        return answer(response.status, body if request.path == "/hook/batch" else b"", response.headers)


class ThreadedRecordingEndpoints(RecordingEndpoints):
    """Recording endpoints on an event loop and thread of their own, for tests with real processes."""

    def __init__(self, count: int, calls_per_second: float) -> None:
        super().__init__(count, calls_per_second)
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._hold_ups: HoldUpMonitor
        asyncio.run_coroutine_threadsafe(self.start(), self._loop).result(START_TIMEOUT_SECONDS)

    async def start(self) -> None:
        """Listen, and watch for how long the thread does not run."""
        self._hold_ups = HoldUpMonitor(self._loop, self._clock)
        await super().start()

    def _held_up_seconds(self) -> float:
        return self._hold_ups.held_up_seconds()

    def close(self) -> None:
        """Close all servers, and end the thread."""
        asyncio.run_coroutine_threadsafe(self._close_servers(), self._loop).result(CLOSE_TIMEOUT_SECONDS)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(CLOSE_TIMEOUT_SECONDS)

    def hold_up(self, seconds: float) -> None:
        """Keep the thread from running, as other processes on a busy machine do."""
        self._loop.call_soon_threadsafe(time.sleep, seconds)

    async def _close_servers(self) -> None:
        super().close()
        await asyncio.sleep(CONNECTIONS_END_SECONDS)
