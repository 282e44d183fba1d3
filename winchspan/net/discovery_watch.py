"""Watches discovery through a streaming response with a line for each change, reopened whenever it ends.

A watch without a first line in time stays open for a while beside the next one, and goes on if its line comes
after all: a discovery that is slow to answer would never be heard otherwise.
"""

from __future__ import annotations

import re
from typing import Final

from loguru import logger

from winchspan.config.json_fields import FieldError, parse_json
from winchspan.config.platform import Address
from winchspan.net import http
from winchspan.net.connection_pool import CallOptions, HttpConnectionPool
from winchspan.net.endpoint_directory import EndpointDirectory
from winchspan.net.http_call import HttpCall, HttpCallResult, HttpPeer
from winchspan.runtime.timers import Timer, TimerQueue

SILENCE_LIMIT_MS: Final = 3_000.0
"""Time without input after which a watch is closed; discovery sends an empty line every 2 s."""

FIRST_LINE_LIMIT_MS: Final = 1_000.0
"""Time until the first line, which discovery sends immediately, after which another watch is opened.

A change must be applied within 6 s, even by the third watch after two silent ones.
"""

OVERDUE_LIMIT_MS: Final = 3_000.0
"""Further time for the first line of a watch beside which another one is open."""

OLDER_VERSION_LIMIT_MS: Final = 4_000.0
"""Time for which a watch's versions may lie below the stored one.

A replica that lags catches up within it. A discovery that begins its versions anew, at the same address or at
another one, never would, and nothing it tells would be applied.
"""

REOPEN_DELAY_MS: Final = 200.0
"""Delay between the end of a watch and the next request."""

NO_DEADLINE_MS: Final = 1e15
_MAX_LINE_BYTES: Final = 1024 * 1024
_OBJECT_START: Final = re.compile(rb'\s*\{\s*("|$)')  # a line that may begin an object
_STRING: Final = re.compile(rb'"(?:[^"\\]|\\.)*"')


class _Stream:
    """One request for updates.

    Attributes:
        call: the HTTP call.
        has_input: whether any part of the response's body has been received.
        overdue_timer: cancels the stream while its first line is overdue.
    """

    __slots__ = ("call", "has_input", "overdue_timer")

    def __init__(self) -> None:
        self.call: HttpCall | None = None
        self.has_input = False
        self.overdue_timer: Timer | None = None

    def cancel(self) -> None:
        """Cancel the call; its end is still reported."""
        if self.overdue_timer is not None:
            self.overdue_timer.cancel()
        if self.call is not None:
            self.call.cancel()


class DiscoveryWatch:
    """Applies the updates of discovery to the endpoint directory.

    Attributes:
        has_received: whether a complete line has been received, an empty one included.
    """

    def __init__(
        self, directory: EndpointDirectory, pool: HttpConnectionPool, timers: TimerQueue, address: Address
    ) -> None:
        self._directory = directory
        self._pool = pool
        self._timers = timers
        self._address = address
        self._stream: _Stream | None = None  # the one whose updates are applied
        self._overdue: list[_Stream] = []  # without a first line in time
        self._reopen_timer: Timer | None = None
        self._silence_timer: Timer | None = None
        self._older_version_timer: Timer | None = None  # while the watch's versions lie below the stored one
        self._partial_line = bytearray()
        self._partial_object = b""  # received lines of an object that spans several lines
        self._open_bracket_count = 0  # in `_partial_object`
        self._needs_snapshot = False  # request the full list, after an unusable update
        self._is_superseded = False  # the call in flight, if any, uses the previous address
        self.has_received = False

    @property
    def has_response_head(self) -> bool:
        """Whether the head of the response has been received."""
        call = self._stream.call if self._stream is not None else None
        return call is not None and call.parser.status > 0

    def open(self) -> None:
        """Request the changes since the directory's version, or the full list."""
        self._is_superseded = False
        self._partial_line.clear()
        self._partial_object = b""
        path = "/api/targets?follow=1"
        if not self._needs_snapshot and self._directory.sequence >= 0:
            path += f"&since={self._directory.sequence}"
        request = http.encode_request("GET", path, str(self._address))
        stream = _Stream()
        self._stream = stream
        self._reopen_timer = None
        stream.call = self._pool.start_call(
            HttpPeer(self._address),
            lambda: request,
            NO_DEADLINE_MS,
            lambda result: self._handle_end(stream, result),
            CallOptions(lambda piece: self._receive(stream, piece)),
        )
        self._restart_silence_timer(FIRST_LINE_LIMIT_MS)

    def set_address(self, address: Address) -> None:
        """Watch discovery at another address, from the directory's version.

        The previous watch is cancelled immediately: waiting for its silence limit would delay drains by
        seconds.
        """
        if address != self._address:
            self._address = address
            self._is_superseded = True
            self._cancel_overdue()
            if self._stream is not None:
                self._stream.cancel()

    def _restart_silence_timer(self, limit_ms: float = SILENCE_LIMIT_MS) -> None:
        """Expect the next input within `limit_ms`."""
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        self._silence_timer = self._timers.call_later(limit_ms, self._silence_exceeded)

    def _silence_exceeded(self) -> None:
        """Cancel a watch that has fallen silent; open another one beside a watch that has not begun.

        Discovery is down or slow, or the connection is dead.
        """
        logger.debug("discovery: the watch is silent")
        stream = self._stream
        if stream is None:
            return
        if stream.has_input:
            stream.cancel()
            return
        self._stream = None
        self._overdue.append(stream)
        stream.overdue_timer = self._timers.call_later(OVERDUE_LIMIT_MS, stream.cancel)
        self._reopen_later(REOPEN_DELAY_MS)

    def _cancel_overdue(self) -> None:
        overdue = self._overdue
        self._overdue = []
        for stream in overdue:
            stream.cancel()

    def _continue_with(self, stream: _Stream) -> None:
        """Apply the updates of an overdue stream from now on, in place of the later one."""
        self._overdue.remove(stream)
        if stream.overdue_timer is not None:
            stream.overdue_timer.cancel()
        if self._reopen_timer is not None:
            self._reopen_timer.cancel()
            self._reopen_timer = None
        later = self._stream
        self._stream = stream
        if later is not None:
            later.cancel()

    def _receive(self, stream: _Stream, piece: bytes) -> None:
        """Process the complete lines of the received bytes."""
        if stream in self._overdue:
            self._continue_with(stream)
        elif stream is not self._stream:
            return
        stream.has_input = True
        self._cancel_overdue()
        self._restart_silence_timer()
        *lines, rest = (bytes(self._partial_line) + piece).split(b"\n")
        self._partial_line[:] = rest
        for line in lines:
            self.has_received = True
            self._process_line(line)
        if len(self._partial_line) + len(self._partial_object) > _MAX_LINE_BYTES:
            logger.warning("discovery: an update exceeds {} bytes", _MAX_LINE_BYTES)
            self._request_snapshot()

    def _process_line(self, line: bytes) -> None:
        """Process one line, or store it while its object is incomplete: an indented list spans many lines.

        An empty line, or a line that begins a new list, means that an incomplete object was truncated.
        """
        if self._partial_object and (not line.strip() or line.startswith(b'{"seq"')):
            logger.warning("discovery: the endpoint list was truncated")
            self._request_snapshot()
            return
        open_before = self._open_bracket_count if self._partial_object else 0
        open_now = open_before + _unclosed_bracket_count(line)
        if (self._partial_object or _OBJECT_START.match(line)) and open_now > 0:
            self._partial_object += line + b"\n"
            self._open_bracket_count = open_now
        elif line.strip():
            complete = self._partial_object + line
            self._partial_object = b""
            self._process_object(complete)

    def _process_object(self, data: bytes) -> None:
        """Apply a full list or a change to the directory."""
        try:
            update = parse_json(data)
            if not isinstance(update, dict):
                raise FieldError("a line must hold an object")
            is_older = self._directory.apply(update)
        except FieldError as err:
            logger.warning("discovery: unreadable update: {}", err)
            self._request_snapshot()
            return
        self._check_version(is_older=is_older)
        # Only a full list ends the request: a change does not repeat the update that could not be read.
        if update.get("whole") is True:
            self._needs_snapshot = False

    def _check_version(self, *, is_older: bool) -> None:
        """Bound the time for which discovery tells older versions than the stored one."""
        timer = self._older_version_timer
        if not is_older and timer is not None:
            timer.cancel()
            self._older_version_timer = None
        elif is_older and timer is None:
            self._older_version_timer = self._timers.call_later(
                OLDER_VERSION_LIMIT_MS, self._restart_versions
            )

    def _restart_versions(self) -> None:
        """Apply the full list of a discovery that has begun its versions anew."""
        logger.warning("discovery: its versions stay below {}: they begin anew", self._directory.sequence)
        self._older_version_timer = None
        self._directory.forget_version()
        self._request_snapshot()

    def _request_snapshot(self) -> None:
        """Cancel the watch and request the full list, after an unusable update."""
        self._needs_snapshot = True
        self._partial_line.clear()
        self._partial_object = b""
        if self._stream is not None:
            self._stream.cancel()

    def _handle_end(self, stream: _Stream, result: HttpCallResult) -> None:
        """Schedule the next watch after one has ended, unless another one is open."""
        if stream in self._overdue:
            self._overdue.remove(stream)
        if stream is not self._stream:
            return
        self._stream = None
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        if result.response is not None and result.response.status != 200:
            logger.warning("discovery: unexpected response status {}", result.response.status)
        self._reopen_later(0.0 if self._is_superseded else REOPEN_DELAY_MS)

    def _reopen_later(self, delay_ms: float) -> None:
        if self._reopen_timer is not None:
            self._reopen_timer.cancel()
        self._reopen_timer = self._timers.call_later(delay_ms, self.open)


def _unclosed_bracket_count(line: bytes) -> int:
    """Return opened minus closed brackets of a line, outside strings; no string spans several lines."""
    structure = _STRING.sub(b"", line)
    return structure.count(b"{") + structure.count(b"[") - structure.count(b"}") - structure.count(b"]")
