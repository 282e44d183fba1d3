"""Reads the responses on one connection, and passes on those that belong to the call in flight."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from loguru import logger

from winchspan.net.http import REJECTING_STATUSES, HttpProtocolError, ResponseParser
from winchspan.net.http_call import HttpCall, HttpCallOutcome, HttpPeer
from winchspan.net.receive_buffer import ReceiveBuffer
from winchspan.net.response_order import ResponseOrder, ResponseTimes, parse_surplus
from winchspan.net.socket_state import unacknowledged_bytes
from winchspan.runtime.timers import Timer


class ReaderContext(Protocol):
    """The parts of the pool that a reader uses."""

    def now(self) -> float:
        """Return the clock's reading in ms."""

    def call_at(self, at_ms: float, action: Callable[[], None]) -> Timer:
        """Call `action` at a reading of the clock."""

    def limit_response(self, call: HttpCall, deadline_ms: float | None = None) -> Timer:
        """Limit the time until a response that has begun is complete."""

    def response_times(self, peer: HttpPeer) -> ResponseTimes:
        """Return the response times of a server."""

    def report_head(self, peer: HttpPeer, response: ResponseParser) -> None:
        """Report the head of a response, whatever becomes of the response."""


class ResponseReader:
    """Parses received bytes; holds or discards responses that do not belong to the call.

    Attributes:
        buffer: the received bytes that are not parsed yet.
        order: the requests and responses of the connection.
        is_out_of_order: whether surplus bytes have been seen, so that no further call may be carried.
    """

    def __init__(
        self, context: ReaderContext, peer: HttpPeer, on_response: Callable[[HttpCall], None]
    ) -> None:
        """Create the reader of a new connection.

        Args:
            context: the connection's pool.
            peer: the server.
            on_response: called with the call once its response is complete, or is a rejection.
        """
        self._context = context
        self._peer = peer
        self._on_response = on_response
        self._hold_timer: Timer | None = None  # a response is held until then
        self.buffer = ReceiveBuffer()
        self.order = ResponseOrder(context.response_times(peer))
        self.is_out_of_order = False

    def read(self, call: HttpCall, transport: asyncio.Transport) -> None:
        """Parse the received bytes of the call's response."""
        is_early = self.order.precedes_request(unacknowledged_bytes(transport))
        if is_early and not self._rejects_connection():
            self._discard_surplus(call)
            return
        self.order.request_bytes = 0
        self._parse(call)

    def read_end_of_stream(self, call: HttpCall) -> None:
        """Complete a response without a length, which ends with the stream."""
        call.parser.end_of_stream()
        if call.parser.is_complete:
            self._handle_response(call)

    def take_held(self) -> ResponseParser | None:
        """Return the response that is held, and hold it no longer; None if there is none."""
        held = self.order.held
        self.order.held = None
        if self._hold_timer is not None:
            self._hold_timer.cancel()
            self._hold_timer = None
        return held

    def _discard_surplus(self, call: HttpCall) -> None:
        """Discard a surplus response, and wait for that of the call; anything else ends the call.

        The request may still be executed.
        """
        if not self.read_surplus():
            call.abort(HttpCallOutcome.INVALID_RESPONSE)
            return
        self.buffer.start = self.buffer.end
        self.is_out_of_order = True

    def _rejects_connection(self) -> bool:
        """Return whether the received bytes reject a new connection, and so its first request."""
        if self.order.had_response:
            return False
        return parse_surplus(self._received()).parser.first_line_status in REJECTING_STATUSES

    def _received(self) -> bytes:
        return bytes(self.buffer.data[self.buffer.start : self.buffer.end])

    def read_surplus(self) -> bool:
        """Report the head of a surplus response; return whether the bytes are exactly one response."""
        data = self._received()
        logger.debug("http connection to {}: {} surplus bytes", self._peer.address, len(data))
        surplus = parse_surplus(data)
        self._report_head(surplus.parser)
        return surplus.is_whole

    def _report_head(self, response: ResponseParser) -> None:
        """Report a head that is complete, once: what it says of the server holds for any response."""
        if response.status and response.head_received_ms is None:
            response.head_received_ms = self._context.now()
            self._context.report_head(self._peer, response)

    def _parse(self, call: HttpCall) -> None:
        buffer = self.buffer
        try:
            buffer.start = call.parser.feed(buffer.data, buffer.start, buffer.end)
        except HttpProtocolError as err:
            self._report_head(call.parser)
            self._handle_invalid_response(call, err)
            return
        self._report_head(call.parser)
        if call.parser.is_complete or call.parser.is_rejection:
            self._handle_response(call)
        elif not call.parser.first_line_status and not len(buffer):  # only an interim response so far
            self._stop_response_timer(call)
        elif call.response_timer is None and call.has_response_limit:
            call.response_timer = self._context.limit_response(call)

    def _handle_response(self, call: HttpCall) -> None:
        """Pass a response on, unless it belongs to another call, or may do so and is held."""
        now_ms = self._context.now()
        if call.is_foreign is not None and call.is_foreign(call.parser):
            self.is_out_of_order = True
            self._expect_another(call)
            return
        until_ms = self._hold_until_ms(call, now_ms)
        if until_ms is not None:
            logger.info(
                "http connection to {}: response {} is held for {:.0f} ms, as it came faster than all others",
                self._peer.address,
                call.parser.status,
                until_ms - now_ms,
            )
            self.order.hold(call.parser, now_ms)
            self._hold_timer = self._context.call_at(until_ms, lambda: self.accept_held(call))
            self._expect_another(call)
            return
        if self.take_held() is not None:
            self.is_out_of_order = True
        self.order.finish_response(now_ms)
        self._on_response(call)

    def _hold_until_ms(self, call: HttpCall, now_ms: float) -> float | None:
        """Return until when the response is held; None if it is not."""
        if not call.has_response_limit or not call.parser.is_complete:
            return None
        until_ms = self.order.hold_until_ms(now_ms, call.parser.status)
        return until_ms if until_ms is not None and until_ms > now_ms else None

    def _expect_another(self, call: HttpCall) -> None:
        """Read another response, in place of one that belongs or may belong to an earlier call."""
        logger.debug("http connection to {}: a response that may be out of order", self._peer.address)
        call.parser = ResponseParser()
        self._stop_response_timer(call)
        if len(self.buffer):
            self._parse(call)

    def accept_held(self, call: HttpCall) -> None:
        """Pass on the response that is held, since no other one has come; has no effect without one."""
        held = self.take_held()
        if held is None or call.on_result is None:
            return
        self.order.accept_held()
        if call.parser.first_line_status:  # a part of another one
            self.is_out_of_order = True
        call.parser = held
        self._on_response(call)

    def _handle_invalid_response(self, call: HttpCall, err: HttpProtocolError) -> None:
        """End a call by an invalid response; noise behind a response that is held does not undo that."""
        logger.warning("http connection to {}: {}", self._peer.address, err)
        if self.order.held is None:
            call.abort(HttpCallOutcome.INVALID_RESPONSE)
            return
        self.is_out_of_order = True
        self.accept_held(call)

    @staticmethod
    def _stop_response_timer(call: HttpCall) -> None:
        if call.response_timer is not None:
            call.response_timer.cancel()
            call.response_timer = None
