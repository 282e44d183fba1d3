"""Endpoints of fake partners that record received calls, and the platform's agent for notifications.

They serve real and simulated couriers, and can delay calls and notifications. Tests and audits read these
records, so that they do not depend on the couriers' own reports.
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

from winchspan.fakes.event_loop_stall_monitor import EventLoopStallMonitor
from winchspan.fakes.health_check_audit import ObservedHealthCheck
from winchspan.fakes.platform import ENDPOINT_KIND
from winchspan.fakes.ports import HOST
from winchspan.fakes.sockets import Request, Server, answer, read_request

POLL_INTERVAL_SECONDS: Final = 0.01  # between two checks whether a held call is released
START_TIMEOUT_SECONDS: Final = 30.0
CLOSE_TIMEOUT_SECONDS: Final = 10.0
CONNECTIONS_END_SECONDS: Final = 0.05  # time for the open connections to close


class FinalAnswer(Enum):
    """The final answer that a message got."""

    DELIVERED = auto()
    NOTIFIED = auto()


class FakeResponse(NamedTuple):
    """An HTTP response of an endpoint."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()


class MessageCall(NamedTuple):
    """A call with messages that an endpoint answered."""

    answered_at_seconds: float
    endpoint: str


class DeliveryStart(NamedTuple):
    """The start of the execution of a message, in a call that is held or takes time."""

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
    """Destinations with one endpoint each, on the running event loop.

    Attributes:
        ports: ports of the endpoints, by endpoint name.
        agent_port: port for notifications; there is no discovery watch.
        responses: responses other than 200, by endpoint name.
        service_seconds: duration of a call with messages; 0 for an immediate answer.
        holds_notifications: whether the agent delays the acknowledgement of notifications.
        health_checks: received health checks.
        calls: answered calls with messages.
        delivery_starts: messages in calls that were held or took time.
        delivery_counts: number of answers 200, by message id.
        first_delivered_at_seconds: time of the first answer 200, by message id.
        read_notification_counts: number of received notifications, by message id.
        notification_counts: number of acknowledged notifications, by message id.
        first_final_answers: first final answer, by message id.
        final_answer_seconds: clock reading of it, by message id.
        concurrent_message_ids: ids of messages that were in two calls at the same time.
        concurrent_tokens: tokens that were in two calls at the same time, under any message ids.
        max_messages_per_call: maximum over the calls that were held or took time.
    """

    def __init__(
        self, count: int, calls_per_second: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Create the endpoints; `start` opens them.

        Args:
            count: number of destinations.
            calls_per_second: listed rate of each endpoint, for all couriers together.
            clock: time of the records, in seconds.
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
        self.final_answer_seconds: dict[str, float] = {}
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
        """Hold the answers to calls with messages at these endpoints until `release_calls`."""
        self._held_endpoints = set(names)

    def release_calls(self) -> None:
        """Answer all held calls."""
        self._held_endpoints = set()

    def has_in_flight(self, message_ids: Iterable[str]) -> bool:
        """Return whether a held or slow call with one of these messages is in flight."""
        return any(self._messages_in_flight[message_id] > 0 for message_id in message_ids)

    def has_final_answer(self, message_id: str) -> bool:
        """Return whether a message was delivered, or its notification acknowledged."""
        return self.delivery_counts[message_id] > 0 or self.notification_counts[message_id] > 0

    def delivered_after_notification(self, message_ids: Iterable[str]) -> list[str]:
        """Return the ids of the messages that were delivered after their notification."""
        return [
            message_id
            for message_id in message_ids
            if self.delivery_counts[message_id]
            and self.first_final_answers[message_id] is FinalAnswer.NOTIFIED
        ]

    def endpoint_list(self, draining: Collection[str] = ()) -> dict[str, object]:
        """Return a full snapshot of the endpoint list in the wire format of discovery.

        Args:
            draining: names of the endpoints with health `draining`.
        """
        return {
            "seq": 1,
            "whole": True,
            "hosts": [
                {
                    "host": name,
                    "dial": f"{HOST}:{port}",
                    "site": "a",
                    "class": ENDPOINT_KIND,
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
                return  # the courier has closed the connection, and would not get the acknowledgement
            for message_id in message_ids:
                self.notification_counts[message_id] += 1
                self._record_final_answer(message_id, FinalAnswer.NOTIFIED)
            writer.write(answer(204))

    def _record_final_answer(self, message_id: str, final_answer: FinalAnswer) -> None:
        self.first_final_answers.setdefault(message_id, final_answer)
        self.final_answer_seconds.setdefault(message_id, self._clock())

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
                    return  # the courier has cancelled the call, or has exited
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
        """Wait for a call's service time and until it is not held; False if its connection ends first."""
        end_of_stream = asyncio.ensure_future(reader.read(1))  # a courier sends nothing before the response
        timeout_seconds = (
            POLL_INTERVAL_SECONDS if name in self._held_endpoints else self.service_seconds or None
        )
        await asyncio.wait([end_of_stream], timeout=timeout_seconds)
        while name in self._held_endpoints and not end_of_stream.done():
            await asyncio.wait([end_of_stream], timeout=POLL_INTERVAL_SECONDS)
        if end_of_stream.done():
            end_of_stream.exception()  # a reset counts as the end of the stream, too
            return False
        end_of_stream.cancel()
        with suppress(asyncio.CancelledError, OSError):
            await end_of_stream
        return True

    def _max_read_delay_seconds(self) -> float:
        """Return an upper bound on how long data that is read now lay unread."""
        return 0.0

    def _respond(self, name: str, request: Request) -> bytes:
        """Record a call or a health check, and return its response."""
        if "x-probe" in request.headers:
            role, epoch, sequence, node = request.headers["x-probe"].split()
            check = ObservedHealthCheck(
                self._clock(), name, role, int(epoch), int(sequence), node, self._max_read_delay_seconds()
            )
            self.health_checks.append(check)
        else:
            self.calls.append(MessageCall(self._clock(), name))
        response = self.responses.get(name, FakeResponse(200))
        messages = _parse_messages(request) if response.status == 200 else []
        for message_id, _ in messages:
            self.delivery_counts[message_id] += 1
            self.first_delivered_at_seconds.setdefault(message_id, self._clock())
            self._record_final_answer(message_id, FinalAnswer.DELIVERED)
        body = json.dumps([{"id": message.message_id, "state": "ok"} for message in messages]).encode()
        return answer(response.status, body if request.path == "/hook/batch" else b"", response.headers)


class ThreadedRecordingEndpoints(RecordingEndpoints):
    """Recording endpoints on a separate thread and event loop, for tests with real processes."""

    def __init__(self, count: int, calls_per_second: float) -> None:
        super().__init__(count, calls_per_second)
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._stall_monitor: EventLoopStallMonitor
        asyncio.run_coroutine_threadsafe(self.start(), self._loop).result(START_TIMEOUT_SECONDS)

    async def start(self) -> None:
        """Listen, and monitor stalls of the event loop."""
        self._stall_monitor = EventLoopStallMonitor(self._loop, self._clock)
        await super().start()

    def _max_read_delay_seconds(self) -> float:
        return self._stall_monitor.max_read_delay_seconds()

    def close(self) -> None:
        """Close all servers, and stop the thread."""
        asyncio.run_coroutine_threadsafe(self._close_servers(), self._loop).result(CLOSE_TIMEOUT_SECONDS)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(CLOSE_TIMEOUT_SECONDS)

    def block_event_loop(self, seconds: float) -> None:
        """Block the event loop, as other processes do on a busy machine."""
        self._loop.call_soon_threadsafe(time.sleep, seconds)

    async def _close_servers(self) -> None:
        super().close()
        await asyncio.sleep(CONNECTIONS_END_SECONDS)
