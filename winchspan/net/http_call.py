"""One HTTP request and its result, independent of the connection that carries it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple, Protocol

from winchspan.config.platform import Address
from winchspan.net.http import ResponseParser
from winchspan.runtime.timers import Timer

RequestFactory = Callable[[], list[bytes]]
"""Returns the bytes of a request right before the first is written; empty if it must not be sent any more."""


class HttpCallOutcome(Enum):
    """How a call ended."""

    ANSWERED = "answered"
    NOT_WRITTEN = "not written"  # the last byte of the request was not written
    CONNECTION_LOST = "broken"  # the connection ended after the request was written
    TIMED_OUT = "timed out"
    CANCELLED = "cancelled"
    RECALLED = "recalled"  # withdrawn before the last byte was written
    INVALID_RESPONSE = "spoilt"  # the response violates the protocol, or does not end in time


@dataclass(slots=True)
class HttpCallResult:
    """The result of a call.

    Attributes:
        outcome: how the call ended.
        response: the response if it was accepted; of a rejection the head only.
        first_line_status: the status in the first line of an incomplete response; 0: none received.
    """

    outcome: HttpCallOutcome
    response: ResponseParser | None = None
    first_line_status: int = 0


@dataclass(frozen=True, slots=True)
class HttpPeer:
    """A server: its address, and the number of its endpoint (0: a service of the platform).

    Addresses are reused. The number prevents a connection to a former endpoint from serving its successor.
    """

    address: Address
    endpoint_number: int = 0


class CallConnection(Protocol):
    """The parts of a connection that its call uses."""

    is_written: bool

    @property
    def is_partially_written(self) -> bool:
        """Whether the kernel has taken some bytes of the request, but not all."""

    def abort(self) -> None:
        """Close the connection immediately."""

    def accept_held_response(self) -> None:
        """Complete its call with the response that is held; has no effect without one."""

    def has_unread_input(self) -> bool:
        """Return whether the loop has not yet read received bytes or the end of the stream."""

    def call_after_next_poll(self, action: Callable[[], None]) -> None:
        """Call `action` once the loop has read the input that has arrived by now."""


class HttpCall:
    """One request in flight, from `HttpConnectionPool.start_call` until its result is delivered."""

    __slots__ = (
        "connection",
        "context",
        "forced_outcome",
        "has_response_limit",
        "is_final_read_scheduled",
        "is_foreign",
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
        """Create a call without a connection.

        Args:
            make_request: returns the request's bytes.
            on_result: called once, with the result.
            parser: parses the response.
            has_response_limit: whether a response must end soon after its begin; a watch's is endless.
            start_by_ms: clock reading by which the call must be written, or is recalled; None: no limit.
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
        self.is_final_read_scheduled = False  # it is aborted once pending input is read
        self.on_written: Callable[[], None] | None = None  # called once the request is written
        # Returns whether a response certainly belongs to another call.
        self.is_foreign: Callable[[ResponseParser], bool] | None = None
        self.context: Any = None  # the owner's data for reading the response

    @classmethod
    def without_connection(cls) -> HttpCall:
        """Return a call without a connection and request, such as the call of another process."""
        return cls(list, ignore_result, ResponseParser(), has_response_limit=True, start_by_ms=None)

    def cancel(self) -> None:
        """Cancel the call; the result is delivered once the connection is closed."""
        self.abort(HttpCallOutcome.CANCELLED)

    def drop_unwanted_messages(self) -> None:
        """Drop completed messages: recalls a partially written call; a later request leaves them out."""
        if self.connection is not None and self.connection.is_partially_written:
            self.abort(HttpCallOutcome.RECALLED)

    def accept_held_response(self) -> None:
        """Complete the call with the response that is held; has no effect without one."""
        if self.connection is not None and self.forced_outcome is None:
            self.connection.accept_held_response()

    def recall(self) -> None:
        """Withdraw the call, unless it has been written."""
        if self.connection is not None and not self.connection.is_written:
            self.abort(HttpCallOutcome.RECALLED)

    def abort(self, outcome: HttpCallOutcome) -> None:
        """Abort the call by closing its connection.

        Reads the input that has arrived first. Guards against losing a response that arrives just before the
        abort: its backoff must be respected, and its delivery counts. A response that is held counts at once.
        """
        if self.on_result is None or self.forced_outcome is not None or self.connection is None:
            return
        if self._may_have_response(self.connection):
            self.is_final_read_scheduled = True
            self.connection.call_after_next_poll(lambda: self.abort(outcome))
            return
        self.accept_held_response()
        if self.on_result is None:
            return
        self.forced_outcome = outcome
        self.connection.abort()

    def _may_have_response(self, connection: CallConnection) -> bool:
        """Return whether the connection has unread input; True at most once for a call that is aborted."""
        is_candidate = connection.is_written and self.has_response_limit and not self.is_final_read_scheduled
        return is_candidate and connection.has_unread_input()

    def complete(self, result: HttpCallResult) -> None:
        """Deliver the result; later calls have no effect."""
        on_result = self.on_result
        self.on_result = None
        for timer in self.timers:
            timer.cancel()
        if on_result is not None:
            on_result(result)


class HttpCallState(NamedTuple):
    """The state of a call in flight that an upgrade transfers together with its connection.

    Attributes:
        peer: the server.
        deadline_ms: clock reading at which the call times out.
        context: the owner's data for reading the response.
        parser: the parser with the response so far.
        unread: received bytes that are not parsed yet.
        response_deadline_ms: clock reading at which an incomplete response is invalid; None: not begun.
        is_closing_after_call: whether the connection is closed after the call.
        request_bytes: size of the request, until its response begins; 0: not known.
    """

    peer: HttpPeer
    deadline_ms: float
    context: Any
    parser: ResponseParser
    unread: bytes
    response_deadline_ms: float | None
    is_closing_after_call: bool
    request_bytes: int = 0


def ignore_result(result: HttpCallResult) -> None:
    """Discard the result of a call."""
