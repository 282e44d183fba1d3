"""An HTTP endpoint of a fake partner, for calls with one message or a batch."""

from __future__ import annotations

import asyncio
import json
from base64 import b64decode
from collections.abc import Callable
from contextlib import suppress
from itertools import cycle
from typing import Any, Final, NamedTuple

from winchspan.fakes.clients import Clients
from winchspan.fakes.partner import OutageMode, Partner, Reply
from winchspan.fakes.sockets import Request, Server, answer, read_request

SINGLE_PATH: Final = "/hook"
BATCH_PATH: Final = "/hook/batch"

WAIT_HEADER: Final = "X-RateLimit-Wait-Ms"
BATCH_WAITS_MS: Final = (0.0, 400.0, 0.0, 0.0, 1_200.0, 0.0, 250.0)
"""Waits that the responses to delivered calls of several messages ask for, by turns."""

COPY_DELAYS_SECONDS: Final = (0.003, 0.012, 0.025, 0.045)
"""Times from a response to its second copy, by turns; none is sent once a further request has arrived."""


class _Delivery(NamedTuple):
    """One message of a call."""

    message_id: str
    idempotency_key: str


class _PartnerReply(NamedTuple):
    """The partner's reply to a call, and the wait in ms that it names."""

    reply: Reply
    wait_ms: float


class _InvalidCallError(Exception):
    """The request is not a valid call, and is answered with `status`."""

    def __init__(self, status: int) -> None:
        super().__init__(f"invalid call: answered with {status}")
        self.status = status


def _is_peer_closed(writer: asyncio.StreamWriter) -> bool:
    """Return whether the peer is gone: a machine that loses power does not close its connections."""
    is_closed = writer.get_extra_info("peer_closed")  # None on a real connection, which cannot detect it
    return is_closed is not None and bool(is_closed())


def _parse_call(request: Request) -> list[_Delivery]:
    """Return the messages of a call; raises _InvalidCallError."""
    if request.path == SINGLE_PATH:
        headers = request.headers
        return [_Delivery(headers.get("x-request-id", ""), headers.get("idempotency-key", ""))]
    if request.path != BATCH_PATH:
        raise _InvalidCallError(404)
    rows = json.loads(request.body)
    if not all(b64decode(row["body"], validate=True) for row in rows):
        raise _InvalidCallError(400)
    return [_Delivery(row["id"], row.get("key", "")) for row in rows]


def _format_batch_response(deliveries: list[_Delivery], state: str, wait_ms: float) -> bytes:
    states = [{"id": delivery.message_id, "state": state} for delivery in deliveries]
    headers = ((WAIT_HEADER, f"{wait_ms:.0f}"),) if wait_ms > 0.0 else ()
    return answer(200, json.dumps(states).encode(), headers=headers)


class PartnerEndpoint:
    """One endpoint of a partner.

    Attributes:
        partner: executes the calls.
        clients: receive the events of executions and deliveries.
        server: listens for calls.
    """

    def __init__(self, partner: Partner, clients: Clients, show: Callable[[str], None]) -> None:
        """Create an endpoint; `show` prints a line for each delivery."""
        self.partner = partner
        self.clients = clients
        self.server = Server(self._serve)
        self._show = show
        self._copy_delays = cycle(COPY_DELAYS_SECONDS)
        self._batch_waits_ms = cycle(BATCH_WAITS_MS)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        copy_timer: asyncio.TimerHandle | None = None
        while (request := await read_request(reader)) is not None:
            if copy_timer is not None:
                copy_timer.cancel()
            if self.partner.outage_mode is OutageMode.DOWN:
                writer.transport.abort()
                return
            try:
                deliveries = _parse_call(request)
            except _InvalidCallError as err:
                writer.write(answer(err.status))
                continue
            reply, wait_ms = await self._execute(reader)
            if reply is Reply.DOWN:
                return
            if reply is Reply.OK:
                self._report_deliveries(deliveries, can_arrive=not _is_peer_closed(writer))
            response = self._format_response(request, reply, wait_ms, deliveries)
            writer.write(response)
            if self.partner.copies_responses:
                loop = asyncio.get_running_loop()
                copy_timer = loop.call_later(next(self._copy_delays), writer.write, response)

    def _report_deliveries(self, deliveries: list[_Delivery], *, can_arrive: bool) -> None:
        for delivery in deliveries:
            self.clients.executed(delivery.idempotency_key)
            if can_arrive:
                self.clients.delivered(delivery.message_id)
            self._show(f"delivered {delivery.message_id}")

    def _format_response(
        self, request: Request, reply: Reply, wait_ms: float, deliveries: list[_Delivery]
    ) -> bytes:
        if request.path == BATCH_PATH and self.partner.asks_to_wait_in_batches:
            if reply is Reply.OK:
                return _format_batch_response(deliveries, "ok", next(self._batch_waits_ms))
            return _format_batch_response(deliveries, "later", wait_ms)
        if reply is Reply.FULL and wait_ms > 0.0:
            return answer(429, headers=((WAIT_HEADER, f"{wait_ms:.0f}"),))
        if reply is Reply.FULL:
            return answer(503)
        if request.path == SINGLE_PATH:
            return answer(200)
        return _format_batch_response(deliveries, "ok", 0.0)

    async def _execute(self, reader: asyncio.StreamReader) -> _PartnerReply:
        """Return the partner's reply to a call; DOWN if the courier closes the connection before it."""
        replied: asyncio.Future[_PartnerReply] = asyncio.get_running_loop().create_future()

        def on_reply(reply: Reply, wait_ms: float) -> None:
            if not replied.done():
                replied.set_result(_PartnerReply(reply, wait_ms))

        cancel_call = self.partner.receive_call(on_reply)
        # A courier sends nothing while its call is in flight: only the end of the connection can be read.
        closed = asyncio.ensure_future(reader.read(1))
        both: list[asyncio.Future[Any]] = [replied, closed]
        try:
            await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
            if replied.done():
                return replied.result()
            cancel_call()
            return _PartnerReply(Reply.DOWN, 0.0)
        finally:
            closed.cancel()
            with suppress(asyncio.CancelledError, OSError):
                await closed
