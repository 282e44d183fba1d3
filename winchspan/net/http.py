"""HTTP/1.1 for clients: parses responses in place in the receive buffer, and encodes requests."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable
from typing import Any

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 64 * 1024  # of a collected body; the protocol sends no more
MAX_CHUNK_BYTES = 4 * 1024 * 1024  # of a streamed body
MAX_INTERIM_RESPONSES = 32
REJECTING_STATUSES = (429, 503)
_MAX_CHUNK_LINE_BYTES = 1_024
_HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")


class HttpProtocolError(Exception):
    """The received bytes are not an HTTP/1.1 response that this client accepts."""


class ResponseParser:
    """Parses one response.

    With `on_body`, the pieces of the body are passed to it and not collected.

    Attributes:
        status: the status of the response; 0 until its head is complete.
        first_line_status: the status in the first line, set before the rest of the head is parsed; 0: none.
        headers: the values by name in lower case.
        body: the collected body.
        is_complete: whether the whole response has been parsed.
        keep_alive: whether the connection may be used again.
        head_received_ms: clock reading at which its reader has got the head; None: not yet.
    """

    head_received_ms: float | None = None  # not part of a state that another program has written

    def __init__(self, on_body: Callable[[bytes], None] | None = None) -> None:
        self.status = 0
        self.first_line_status = 0
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.is_complete = False
        self.keep_alive = True
        self._on_body = on_body
        self._interim = 0
        self._step: Callable[[bytearray, int, int], int | None] = self._head
        self._remaining_bytes = 0

    def __getstate__(self) -> dict[str, Any]:
        """Return the parser's state for another process; `on_body` must not be set."""
        return {**self.__dict__, "_step": self._step.__name__}

    def __setstate__(self, state: dict[str, Any]) -> None:
        self.__dict__.update(state)
        if state["_step"] not in ("_head", "_sized", "_until_end", "_chunk_size", "_chunk", "_trailer"):
            raise HttpProtocolError(f"unknown parser step {state['_step']!r:.40}")
        self._step = getattr(self, state["_step"])

    @property
    def is_rejection(self) -> bool:
        """Whether the status rejects the request; the body holds no further information then."""
        return self.status in REJECTING_STATUSES

    def feed(self, buffer: bytearray, start: int, end: int) -> int:
        """Parse the bytes from `start` to `end`; return the position of the first unparsed byte."""
        while not self.is_complete:
            next_start = self._step(buffer, start, end)
            if next_start is None:
                break
            start = next_start
        return start

    def end_of_stream(self) -> None:
        """Record the end of the connection, which ends a body without a length."""
        if self._step == self._until_end:
            self.is_complete = True

    def _head(self, buffer: bytearray, start: int, end: int) -> int | None:
        limit = min(end, start + MAX_HEAD_BYTES)
        if not self.first_line_status:
            stop = buffer.find(b"\r\n", start, limit)
            if stop >= 0:
                # The first line counts even where the rest of the head violates the protocol.
                self.first_line_status = _status(str(buffer[start:stop], "latin-1"))
        stop = buffer.find(b"\r\n\r\n", start, limit)
        if stop < 0:
            if end - start >= MAX_HEAD_BYTES:
                raise HttpProtocolError("the response head is too long")
            return None
        with memoryview(buffer) as view:
            first, *lines = str(view[start:stop], "latin-1").split("\r\n")
        for line in lines:
            name, colon, value = line.partition(":")
            name, value = name.lower(), value.strip()
            if not colon or not _HEADER_NAME.fullmatch(name):
                raise HttpProtocolError(f"malformed header line {line!r:.60}")
            if name == "content-length" and self.headers.get(name, value) != value:
                # Guards against an ambiguous end of the body.
                raise HttpProtocolError("conflicting Content-Length headers")
            self.headers[name] = value
        status = self.first_line_status
        if status < 200:  # an interim response: the real one follows
            self.headers.clear()
            self.first_line_status = 0
            self._interim += 1
            if status == 101 or self._interim > MAX_INTERIM_RESPONSES:
                raise HttpProtocolError(f"unexpected interim response {status}, number {self._interim}")
            return stop + 4
        self.status = status
        tokens = {token.strip() for token in self.headers.get("connection", "").lower().split(",")}
        is_http_1_0 = first.startswith("HTTP/1.0")
        self.keep_alive = "close" not in tokens and (not is_http_1_0 or "keep-alive" in tokens)
        self._begin_body()
        return stop + 4

    def _begin_body(self) -> None:
        """Select the parser step for the body's framing."""
        coding, length = self.headers.get("transfer-encoding"), self.headers.get("content-length")
        max_length = MAX_BODY_BYTES if self._on_body is None else MAX_CHUNK_BYTES
        if self.status in (204, 304):
            self.is_complete = True
        elif coding is not None and length is not None:
            raise HttpProtocolError("both Content-Length and Transfer-Encoding are set")
        elif coding is not None:
            if coding.lower() != "chunked":
                raise HttpProtocolError(f"unsupported transfer coding {coding!r:.60}")
            self._step = self._chunk_size
        elif length is not None:
            if not _is_decimal(length, 9) or int(length) > max_length:
                raise HttpProtocolError(f"invalid Content-Length {length!r:.60}")
            self._remaining_bytes = int(length)
            self.is_complete = not self._remaining_bytes
            self._step = self._sized
        else:
            self.keep_alive = False
            self._step = self._until_end

    def _deliver(self, buffer: bytearray, start: int, stop: int) -> None:
        """Pass a piece of the body to `on_body`, or collect it."""
        with memoryview(buffer) as view, view[start:stop] as piece:
            if self._on_body is not None:
                self._on_body(bytes(piece))
                return
            self.body += piece
        if len(self.body) > MAX_BODY_BYTES:
            raise HttpProtocolError("the response body is too long")

    def _deliver_available(self, buffer: bytearray, start: int, end: int) -> int | None:
        """Deliver the received part of a piece whose length is known."""
        stop = min(end, start + self._remaining_bytes)
        if stop == start:
            return None
        self._deliver(buffer, start, stop)
        self._remaining_bytes -= stop - start
        return stop

    def _sized(self, buffer: bytearray, start: int, end: int) -> int | None:
        stop = self._deliver_available(buffer, start, end)
        self.is_complete = not self._remaining_bytes
        return stop

    def _until_end(self, buffer: bytearray, start: int, end: int) -> int | None:
        if start == end:
            return None
        self._deliver(buffer, start, end)
        return end

    def _chunk_size(self, buffer: bytearray, start: int, end: int) -> int | None:
        stop = buffer.find(b"\r\n", start, min(end, start + _MAX_CHUNK_LINE_BYTES))
        if stop < 0:
            if end - start >= _MAX_CHUNK_LINE_BYTES:
                raise HttpProtocolError("the chunk size line is too long")
            return None
        digits = bytes(buffer[start:stop]).partition(b";")[0].strip()
        if not 1 <= len(digits) <= 8 or any(digit not in b"0123456789abcdefABCDEF" for digit in digits):
            raise HttpProtocolError(f"malformed chunk size {digits!r:.60}")
        self._remaining_bytes = int(digits, 16)
        if self._remaining_bytes > MAX_CHUNK_BYTES:
            raise HttpProtocolError("the chunk is too long")
        self._step = self._chunk if self._remaining_bytes else self._trailer
        return stop + 2

    def _chunk(self, buffer: bytearray, start: int, end: int) -> int | None:
        if not self._remaining_bytes:
            if end - start < 2:
                return None
            if buffer[start] != 13 or buffer[start + 1] != 10:
                raise HttpProtocolError("the chunk is not terminated by CRLF")
            self._step = self._chunk_size
            return start + 2
        return self._deliver_available(buffer, start, end)

    def _trailer(self, buffer: bytearray, start: int, end: int) -> int | None:
        stop = buffer.find(b"\r\n", start, min(end, start + MAX_HEAD_BYTES))
        if stop < 0:
            if end - start >= MAX_HEAD_BYTES:
                raise HttpProtocolError("the trailer line is too long")
            return None
        self.is_complete = stop == start
        return stop + 2


def _status(line: str) -> int:
    """Return the status code of a status line; raises HttpProtocolError if it is malformed."""
    words = line.split(" ", 2)
    if len(words) < 2 or words[0] not in ("HTTP/1.1", "HTTP/1.0") or not _is_decimal(words[1], 3):
        raise HttpProtocolError(f"malformed status line {line!r:.60}")
    if int(words[1]) < 100:
        raise HttpProtocolError(f"invalid status code in {line!r:.60}")
    return int(words[1])


def _is_decimal(text: str, max_digits: int) -> bool:
    """Return whether the text consists of at max_digits `max_digits` decimal digits."""
    return text.isascii() and text.isdigit() and len(text) <= max_digits


def encode_request(
    method: str, path: str, host: str, headers: Iterable[tuple[str, str]] = (), body: bytes | None = None
) -> list[bytes]:
    """Return a request in pieces for a vectored write: its head, then its body."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", *(f"{name}: {value}" for name, value in headers)]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
    return [head, body] if body else [head]
