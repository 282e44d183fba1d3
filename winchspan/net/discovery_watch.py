"""Watches discovery through a streaming response with a line for each change, reopened whenever it ends."""

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
"""Time until the first line, which discovery sends immediately.

A change must be applied within 6 s, even by the third watch after two silent ones.
"""

REOPEN_DELAY_MS: Final = 200.0
"""Delay between the end of a watch and the next request."""

NO_DEADLINE_MS: Final = 1e15
_MAX_LINE_BYTES: Final = 1024 * 1024
_OBJECT_START: Final = re.compile(rb'\s*\{\s*("|$)')  # a line that may begin an object
_STRING: Final = re.compile(rb'"(?:[^"\\]|\\.)*"')


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
        self._call: HttpCall | None = None
        self._silence_timer: Timer | None = None
        self._partial_line = bytearray()
        self._partial_object = b""  # received lines of an object that spans several lines
        self._open_bracket_count = 0  # in `_partial_object`
        self._needs_snapshot = False  # request the full list, after an unusable update
        self._is_superseded = False  # the call in flight, if any, uses the previous address
        self.has_received = False

    @property
    def has_response_head(self) -> bool:
        """Whether the head of the response has been received."""
        return self._call is not None and self._call.parser.status > 0

    def open(self) -> None:
        """Request the changes since the directory's version, or the full list."""
        self._is_superseded = False
        self._partial_line.clear()
        self._partial_object = b""
        path = "/api/targets?follow=1"
        if not self._needs_snapshot and self._directory.sequence >= 0:
            path += f"&since={self._directory.sequence}"
        request = http.encode_request("GET", path, str(self._address))
        self._call = self._pool.start_call(
            HttpPeer(self._address), lambda: request, NO_DEADLINE_MS, self._reopen, CallOptions(self._receive)
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
            if self._call is not None:
                self._call.cancel()

    def _restart_silence_timer(self, limit_ms: float = SILENCE_LIMIT_MS) -> None:
        """Expect the next input within `limit_ms`."""
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        self._silence_timer = self._timers.call_later(limit_ms, self._silence_exceeded)

    def _silence_exceeded(self) -> None:
        """Cancel the watch: discovery is down, or the connection is dead."""
        logger.debug("discovery: the watch is silent")
        if self._call is not None:
            self._call.cancel()

    def _receive(self, piece: bytes) -> None:
        """Process the complete lines of the received bytes."""
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
            self._directory.apply(update)
        except FieldError as err:
            logger.warning("discovery: unreadable update: {}", err)
            self._request_snapshot()
            return
        # Only a full list ends the request: a change does not repeat the update that could not be read.
        if update.get("whole") is True:
            self._needs_snapshot = False

    def _request_snapshot(self) -> None:
        """Cancel the watch and request the full list, after an unusable update."""
        self._needs_snapshot = True
        self._partial_line.clear()
        self._partial_object = b""
        if self._call is not None:
            self._call.cancel()

    def _reopen(self, result: HttpCallResult) -> None:
        """Schedule the next watch after one has ended."""
        self._call = None
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        if result.response is not None and result.response.status != 200:
            logger.warning("discovery: unexpected response status {}", result.response.status)
        self._timers.call_later(0.0 if self._is_superseded else REOPEN_DELAY_MS, self.open)


def _unclosed_bracket_count(line: bytes) -> int:
    """Return opened minus closed brackets of a line, outside strings; no string spans several lines."""
    structure = _STRING.sub(b"", line)
    return structure.count(b"{") + structure.count(b"[") - structure.count(b"}") - structure.count(b"]")
