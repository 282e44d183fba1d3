"""Tells the response to a request from bytes that its server sent before it had the request. Does no I/O.

HTTP/1.1 does not number responses (RFC 9112, 9.3.2): a second copy of a response, or any other surplus bytes
after it, would be taken for the response to the next request on the connection, and each later response for
that to the request behind it. Three rules keep such bytes apart:

- A connection carries no further request for a while after a response; a request waits for that. Surplus
  bytes that follow a response closely arrive meanwhile, and the connection is closed.
- Bytes that arrive before the server's system has acknowledged any byte of the request are no response to it.
- A delivery that is reported faster than every response of the server so far, shortly after another response
  on the same connection, is held until a second response would have come: surplus bytes that a request
  crosses arrive within its round trip, which no response undercuts. A second response counts in its place.

Surplus bytes that arrive later than the server's fastest response cannot be distinguished from a response.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from winchspan.net.http import HttpProtocolError, ResponseParser

MIN_SETTLE_MS: Final = 10.0
"""Least time for which a connection to an endpoint is not reused."""

MAX_SETTLE_MS: Final = 20.0
"""Most time for which a connection is not reused."""

EXPOSURE_MS: Final = 1_000.0
"""Time after a response in which surplus bytes may follow it."""

HOLD_FACTOR: Final = 2.0
"""Multiple of the server's slowest recent response by which the response to a request is expected."""

MAX_HOLD_MS: Final = 2_000.0
"""Most time from a request to the end of the wait for a second response."""

SLOWEST_DECAY: Final = 0.9
"""Share of the slowest response time that remains with each faster response."""

STATUS_OK: Final = 200
_LONG_AGO_MS: Final = float("-inf")


class ResponseTimes:
    """The response times of one server, in ms.

    Attributes:
        fastest_ms: the fastest response; 0 before the first.
        slowest_ms: the slowest recent response.
    """

    __slots__ = ("fastest_ms", "slowest_ms")

    def __init__(self) -> None:
        self.fastest_ms = 0.0
        self.slowest_ms = 0.0

    def record(self, response_ms: float) -> None:
        """Record the time of a response that belongs to its request."""
        self.fastest_ms = min(self.fastest_ms or response_ms, response_ms)
        self.slowest_ms = max(response_ms, SLOWEST_DECAY * self.slowest_ms)

    def expected_within_ms(self) -> float:
        """Return the time from a request by which its response is expected."""
        return min(HOLD_FACTOR * self.slowest_ms, MAX_HOLD_MS)


class ResponseOrder:
    """The requests and responses of one connection. All times are readings of one clock, in ms.

    Attributes:
        settled_at_ms: from when on the connection may carry the next request.
        request_bytes: size of the request, until its response begins; 0: not known.
        held: a complete response that may belong to an earlier request; None: there is none.
        had_response: whether a response has come before, or that is not known.
    """

    __slots__ = (
        "_held_response_ms",
        "_responded_at_ms",
        "_times",
        "_written_at_ms",
        "had_response",
        "held",
        "request_bytes",
        "settled_at_ms",
    )

    def __init__(self, times: ResponseTimes) -> None:
        """Create the state of a new connection.

        Args:
            times: the response times of its server, shared by all connections to it.
        """
        self._times = times
        self._written_at_ms = _LONG_AGO_MS  # of an adopted call: not known
        self._responded_at_ms = _LONG_AGO_MS
        self.settled_at_ms = _LONG_AGO_MS
        self.request_bytes = 0
        self.held: ResponseParser | None = None
        self.had_response = False
        self._held_response_ms = 0.0

    def adopt(self, now_ms: float) -> None:
        """Record that the connection comes from another process, and may have got a response just now."""
        self.had_response = True
        self._responded_at_ms = now_ms
        self.settled_at_ms = now_ms + MAX_SETTLE_MS

    def write_request(self, now_ms: float, size_bytes: int) -> None:
        """Record that a request of a size is written."""
        self._written_at_ms = now_ms
        self.request_bytes = size_bytes

    def precedes_request(self, unacknowledged_bytes: int) -> bool:
        """Return whether bytes that arrive now were sent before the server had any byte of the request.

        Args:
            unacknowledged_bytes: written bytes that the server's system has not acknowledged.
        """
        return 0 < self.request_bytes <= unacknowledged_bytes

    def hold_until_ms(self, now_ms: float, status: int) -> float | None:
        """Return until when a complete response is to be held; None: it belongs to the request.

        Args:
            now_ms: the time of the response.
            status: its status.
        """
        is_exposed = self._written_at_ms - self._responded_at_ms < EXPOSURE_MS
        if self.held is not None or status != STATUS_OK or not is_exposed:
            return None
        if now_ms - self._written_at_ms >= self._times.fastest_ms:
            return None
        return self._written_at_ms + self._times.expected_within_ms()

    def hold(self, response: ResponseParser, now_ms: float) -> None:
        """Hold a complete response."""
        self.held = response
        self._held_response_ms = now_ms - self._written_at_ms

    def accept_held(self) -> None:
        """Record that the held response belongs to the request after all."""
        self.held = None
        self._times.record(self._held_response_ms)

    def finish_response(self, now_ms: float) -> None:
        """Record that a response which was not held is complete, and that it belongs to the request."""
        if self._written_at_ms > _LONG_AGO_MS:
            self._times.record(now_ms - self._written_at_ms)

    def release(self, now_ms: float) -> None:
        """Record that the connection waits for the next request."""
        self.had_response = True
        self._responded_at_ms = now_ms
        self.settled_at_ms = now_ms + settle_ms(now_ms - self._written_at_ms)


def settle_ms(response_time_ms: float) -> float:
    """Return the ms after a response until its connection may be used again.

    Args:
        response_time_ms: time from the write of the request to the response.
    """
    return min(max(MIN_SETTLE_MS, response_time_ms), MAX_SETTLE_MS)


class SurplusResponse(NamedTuple):
    """Bytes that are no response to the call of their connection.

    Attributes:
        parser: has parsed as much of them as is a response.
        is_whole: whether they are exactly one complete response, so that another may follow it.
    """

    parser: ResponseParser
    is_whole: bool


def parse_surplus(data: bytes) -> SurplusResponse:
    """Parse surplus bytes."""
    parser = ResponseParser()
    try:
        parsed_bytes = parser.feed(bytearray(data), 0, len(data))
    except HttpProtocolError:
        return SurplusResponse(parser, is_whole=False)
    return SurplusResponse(parser, parser.is_complete and parser.keep_alive and parsed_bytes == len(data))
