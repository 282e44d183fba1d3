"""One HTTP request and its end, whatever connection carries it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple, Protocol

from winchspan.config.platform import Address
from winchspan.net.http import ResponseParser
from winchspan.runtime.timers import Timer

RequestFactory = Callable[[], list[bytes]]
"""Makes a request's bytes right before the first of them is written; none if nothing may be sent any more."""


class HttpCallOutcome(Enum):
    """How a call ended."""

    ANSWERED = "answered"
    NOT_WRITTEN = "not written"  # its last byte was never written
    CONNECTION_LOST = "broken"  # the connection ended after that
    TIMED_OUT = "timed out"
    CANCELLED = "cancelled"
    RECALLED = "recalled"  # withdrawn before its last byte was written
    INVALID_RESPONSE = "spoilt"  # the response violates the protocol, or does not come to an end


@dataclass(slots=True)
class HttpCallResult:
    """The end of a call.

    Attributes:
        outcome: how it ended.
        response: the complete response, if there was one.
        first_line_status: the status in the response's first line, complete or not; 0 if none came.
    """

    outcome: HttpCallOutcome
    response: ResponseParser | None = None
    first_line_status: int = 0


@dataclass(frozen=True, slots=True)
class HttpPeer:
    """Who is called: an address, and the number of the endpoint that holds it (0: discovery).

    Addresses are used again: no connection to the old holder may serve the new one.
    """

    address: Address
    endpoint_number: int = 0


class CallConnection(Protocol):
    """The connection that carries a call, as the call sees it."""

    is_written: bool

    @property
    def is_partially_written(self) -> bool:
        """Whether a part of the call's bytes has reached the system, and not all."""

    def abort(self) -> None:
        """Close at once, whatever is on the way."""

    def has_unread_input(self) -> bool:
        """Return whether bytes, or the end, have come that the loop has not read yet."""

    def call_after_next_poll(self, action: Callable[[], None]) -> None:
        """Call once what has come by now has been read."""


class HttpCall:
    """One request in flight, from `HttpConnectionPool.start_call` until its result is delivered."""

    __slots__ = (
        "connection",
        "context",
        "forced_outcome",
        "has_response_limit",
        "is_last_read_due",
        "make_request",
        "on_result",
        "on_written",
        "parser",
        "response_timer",
        "start_by_ms",
        "timers",
    )

    def __init__(
        self,
        make_request: RequestFactory,
        on_result: Callable[[HttpCallResult], None],
        parser: ResponseParser,
        *,
        has_response_limit: bool,
        start_by_ms: float | None,
    ) -> None:
        """Make a call that no connection carries yet.

        Args:
            make_request: gives the request's bytes.
            on_result: gets the result, once.
            parser: reads the response.
            has_response_limit: whether a response that has begun must end soon; a watch's never does.
            start_by_ms: clock reading by which it must be written, or is recalled; None: no limit.
        """
        self.make_request = make_request
        self.on_result: Callable[[HttpCallResult], None] | None = on_result
        self.parser = parser
        self.has_response_limit = has_response_limit
        self.start_by_ms = start_by_ms
        self.connection: CallConnection | None = None
        self.timers: list[Timer] = []
        self.response_timer: Timer | None = None
        self.forced_outcome: HttpCallOutcome | None = None
        self.is_last_read_due = False  # it is given up once what has come is read
        self.on_written: Callable[[], None] | None = None  # called once the last byte is written
        self.context: Any = None  # what its owner needs to read the response

    @classmethod
    def without_connection(cls) -> HttpCall:
        """Return a call without a connection yet, such as one that another process has written."""
        return cls(list, ignore_result, ResponseParser(), has_response_limit=True, start_by_ms=None)

    def cancel(self) -> None:
        """Stop waiting; the result is delivered once the connection is closed."""
        self.abort(HttpCallOutcome.CANCELLED)

    def lessen(self) -> None:
        """Drop messages that are over: the request is made without them, or recalled if partially written."""
        if self.connection is not None and self.connection.is_partially_written:
            self.abort(HttpCallOutcome.RECALLED)

    def recall(self) -> None:
        """Withdraw it, unless it has been written."""
        if self.connection is not None and not self.connection.is_written:
            self.abort(HttpCallOutcome.RECALLED)

    def abort(self, outcome: HttpCallOutcome) -> None:
        """Give the call up by closing its connection.

        What has come by then is read first. Guards against a response that crosses with the end of its call:
        a wait that it tells binds, and a delivery is one.
        """
        if self.on_result is None or self.forced_outcome is not None or self.connection is None:
            return
        if self._may_have_response(self.connection):
            self.is_last_read_due = True
            self.connection.call_after_next_poll(lambda: self.abort(outcome))
            return
        self.forced_outcome = outcome
        self.connection.abort()

    def _may_have_response(self, connection: CallConnection) -> bool:
        """Return whether something has come that is still to be read, once, before the call is given up."""
        is_candidate = connection.is_written and self.has_response_limit and not self.is_last_read_due
        return is_candidate and connection.has_unread_input()

    def complete(self, result: HttpCallResult) -> None:
        """Deliver the result, once."""
        on_result = self.on_result
        self.on_result = None
        for timer in self.timers:
            timer.cancel()
        if on_result is not None:
            on_result(result)


class HttpCallState(NamedTuple):
    """What one process hands to the next of a call in flight, beside its connection.

    Attributes:
        peer: who is called.
        deadline_ms: clock reading at which it is given up.
        context: what its owner needs to read the response.
        parser: the response so far.
        unread: bytes received that the parser could not use yet.
        response_deadline_ms: clock reading at which a response that has begun counts as spoilt.
        is_closing_after_call: whether the connection is closed after it.
    """

    peer: HttpPeer
    deadline_ms: float
    context: Any
    parser: ResponseParser
    unread: bytes
    response_deadline_ms: float | None
    is_closing_after_call: bool


def ignore_result(result: HttpCallResult) -> None:
    """Take the result of a call that nobody waits for."""
