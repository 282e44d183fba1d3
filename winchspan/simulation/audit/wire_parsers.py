"""Parsers of RESP2 and HTTP/1.1 for the auditor, independent of the courier's own parsers.

A parser is fed with bytes as they arrive, and yields complete messages. Bytes that it cannot parse raise
WireFormatError.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Final, NamedTuple

MAX_MESSAGE_BYTES: Final = 1 << 22
"""Maximum size of a RESP2 request or an HTTP message."""

_CRLF: Final = b"\r\n"
_QUOTED_BYTES: Final = 40  # maximum of unparsable bytes that an error quotes


class WireFormatError(ValueError):
    """The bytes do not follow the protocol; the message quotes them."""


class _Line(NamedTuple):
    text: bytes  # without the end of the line
    next_position: int


def _read_line(buffer: bytearray, position: int) -> _Line | None:
    """Read the line that begins at a position; None if it is incomplete."""
    end = buffer.find(_CRLF, position)
    return None if end < 0 else _Line(bytes(buffer[position:end]), end + len(_CRLF))


def _read_length(line: _Line, marker: bytes, expected: str) -> int:
    """Read the number of a line such as `*3` or `$12`; raises WireFormatError."""
    if line.text[:1] != marker or not line.text[1:].isdigit():
        raise WireFormatError(f"expected {expected}, not {line.text[:_QUOTED_BYTES]!r}")
    return int(line.text[1:])


class RespRequestParser:
    """Parses RESP2 requests: arrays of bulk strings."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[list[bytes]]:
        """Yield the requests that these bytes complete, as lists of words."""
        self._buffer += data
        while (words := self._parse_request()) is not None:
            yield words
        if len(self._buffer) > MAX_MESSAGE_BYTES:
            raise WireFormatError("a request without an end")

    @property
    def is_partial(self) -> bool:
        """Whether part of a request has arrived."""
        return bool(self._buffer)

    def _parse_request(self) -> list[bytes] | None:
        line = _read_line(self._buffer, 0)
        if line is None:
            return None
        words: list[bytes] = []
        position = line.next_position
        for _ in range(_read_length(line, b"*", "an array")):
            length_line = _read_line(self._buffer, position)
            if length_line is None:
                return None
            end = length_line.next_position + _read_length(length_line, b"$", "a bulk string")
            position = end + len(_CRLF)
            if len(self._buffer) < position:
                return None
            words.append(bytes(self._buffer[length_line.next_position : end]))
        del self._buffer[:position]
        return words


class RespReplyParser:
    """Parses RESP2 replies, and returns the first line of each."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[str]:
        """Yield the first lines of the replies that these bytes complete."""
        self._buffer += data
        while (line := _read_line(self._buffer, 0)) is not None:
            end = line.next_position
            if line.text[:1] == b"$" and line.text[1:].isdigit():
                end += int(line.text[1:]) + len(_CRLF)
                if len(self._buffer) < end:
                    return
            elif line.text[:1] not in b"+-:" or not line.text:
                raise WireFormatError(f"expected a reply, not {line.text[:_QUOTED_BYTES]!r}")
            del self._buffer[:end]
            yield line.text.decode("latin-1")


@dataclass(slots=True)
class HttpMessage:
    """An HTTP request or response.

    Attributes:
        start_line: its first line, split into words.
        headers: header values by name in lower case.
        body: the body, as far as it has arrived.
    """

    start_line: list[str]
    headers: dict[str, str]
    body: bytearray = field(default_factory=bytearray)

    @property
    def status(self) -> int:
        """The status of a response; 0 for a request."""
        return _status_of(self.start_line)


def _status_of(start_line: list[str]) -> int:
    is_response = len(start_line) > 1 and start_line[1].isdigit()
    return int(start_line[1]) if is_response else 0


class _BodyPart(Enum):
    """The next part of a body to parse (RFC 9112, section 7.1)."""

    CONTENT = auto()  # bytes up to a content length
    CHUNK_SIZE = auto()
    CHUNK_DATA = auto()
    CHUNKS_END = auto()  # the empty line after the last chunk


class HttpParser:
    """Parses HTTP/1.1 messages of one direction, whose bodies have a content length or are chunked.

    Attributes:
        partial: a message whose head is complete and whose body is not, so that a long response can be read
            as it arrives; None if there is none.
    """

    def __init__(self) -> None:
        self.partial: HttpMessage | None = None
        self._buffer = bytearray()
        self._body_part = _BodyPart.CONTENT
        self._remaining_bytes = 0  # of the content or the present chunk

    def feed(self, data: bytes) -> Iterator[HttpMessage]:
        """Yield the messages that these bytes complete, without interim responses (1xx)."""
        self._buffer += data
        if len(self._buffer) > MAX_MESSAGE_BYTES:
            raise WireFormatError("a message without an end")
        while True:
            if self.partial is None:
                self.partial = self._parse_head()
            if self.partial is None or not self._parse_body(self.partial):
                return
            message = self.partial
            self.partial = None
            if not 100 <= message.status < 200:
                yield message

    @property
    def is_idle(self) -> bool:
        """Whether no part of a message has arrived."""
        return self.partial is None and not self._buffer

    @property
    def status(self) -> int:
        """The status of the incomplete response as soon as its status line is complete; 0 before."""
        if self.partial is not None:
            return self.partial.status
        line = _read_line(self._buffer, 0)
        return 0 if line is None else _status_of(line.text.decode("latin-1").split())

    def _parse_head(self) -> HttpMessage | None:
        end = self._buffer.find(_CRLF + _CRLF)
        if end < 0:
            return None
        start_line, *lines = bytes(self._buffer[:end]).decode("latin-1").split("\r\n")
        del self._buffer[: end + 2 * len(_CRLF)]
        if "HTTP/1.1" not in start_line:
            raise WireFormatError(f"expected HTTP/1.1, not {start_line[:_QUOTED_BYTES]!r}")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        if headers.get("transfer-encoding", "").lower() == "chunked":
            self._body_part = _BodyPart.CHUNK_SIZE
        else:
            self._body_part = _BodyPart.CONTENT
            self._remaining_bytes = int(headers.get("content-length", "0"))
        return HttpMessage(start_line.split(), headers)

    def _parse_body(self, message: HttpMessage) -> bool:
        """Parse the bytes of the body that have arrived; return whether the body is complete."""
        if self._body_part is _BodyPart.CONTENT:
            self._move_to_body(message, min(self._remaining_bytes, len(self._buffer)))
            return not self._remaining_bytes
        while self._body_part is not _BodyPart.CHUNKS_END:
            if not self._parse_chunk(message):
                return False
        if len(self._buffer) < len(_CRLF):
            return False
        del self._buffer[: len(_CRLF)]
        return True

    def _parse_chunk(self, message: HttpMessage) -> bool:
        """Parse the next part of a chunk; return False if it is incomplete."""
        if self._body_part is _BodyPart.CHUNK_SIZE:
            line = _read_line(self._buffer, 0)
            if line is None:
                return False
            self._remaining_bytes = int(line.text.split(b";")[0], 16)
            del self._buffer[: line.next_position]
            self._body_part = _BodyPart.CHUNK_DATA if self._remaining_bytes else _BodyPart.CHUNKS_END
            return True
        if len(self._buffer) < self._remaining_bytes + len(_CRLF):
            return False
        self._move_to_body(message, self._remaining_bytes)
        del self._buffer[: len(_CRLF)]
        self._body_part = _BodyPart.CHUNK_SIZE
        return True

    def _move_to_body(self, message: HttpMessage, size: int) -> None:
        message.body += self._buffer[:size]
        del self._buffer[:size]
        self._remaining_bytes -= size
