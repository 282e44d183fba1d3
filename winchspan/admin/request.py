"""Parses one HTTP/1.1 request of an operator and encodes its response, without I/O."""

from __future__ import annotations

import re
from collections.abc import Sequence
from http import HTTPStatus
from typing import Final, NamedTuple

MAX_HEAD_BYTES: Final = 8 * 1024
"""Maximum size of a request line and its headers, including the empty line after them."""

MAX_BODY_BYTES: Final = 16 * 1024
"""Maximum size of a body, which is read and ignored because no operation has one."""

_HEAD_END: Final = b"\r\n\r\n"
_MAX_LENGTH_DIGITS: Final = 9  # maximum number of digits of a valid Content-Length
_METHOD: Final = re.compile(rb"[A-Z]{1,16}")
_HEADER_NAME: Final = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_REASON_PHRASES: Final = {
    HTTPStatus.OK: "OK",
    HTTPStatus.BAD_REQUEST: "Bad Request",
    HTTPStatus.NOT_FOUND: "Not Found",
    HTTPStatus.METHOD_NOT_ALLOWED: "Method Not Allowed",
    HTTPStatus.REQUEST_TIMEOUT: "Request Timeout",
    HTTPStatus.LENGTH_REQUIRED: "Length Required",
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: "Content Too Large",
    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: "Request Header Fields Too Large",
    HTTPStatus.INTERNAL_SERVER_ERROR: "Internal Server Error",
    HTTPStatus.SERVICE_UNAVAILABLE: "Service Unavailable",
}
"""Reason phrases of RFC 9110, because those of `http.HTTPStatus` depend on the version of Python."""


class RequestError(Exception):
    """The received bytes are not a valid request; the message gives the cause in one line.

    Attributes:
        status: HTTP status of the response.
        reason: message of the error.
    """

    def __init__(self, status: HTTPStatus, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class AdminRequest(NamedTuple):
    """The method and the path of a request, as received."""

    method: str
    path: str


class _RequestHead(NamedTuple):
    """A request and the length of its body in bytes."""

    request: AdminRequest
    body_bytes: int


class RequestParser:
    """Incremental parser of the single request of a connection."""

    def __init__(self) -> None:
        self._request: AdminRequest | None = None
        self._end = 0  # offset of the end of the body in bytes, once the head is parsed

    def parse(self, data: bytearray, size: int) -> AdminRequest | None:
        """Return the request once it is complete.

        Args:
            data: buffer with all bytes received on the connection.
            size: number of valid bytes in the buffer.

        Raises:
            RequestError: if the request is invalid or too large.
        """
        if self._request is None:
            head_end = data.find(_HEAD_END, 0, min(size, MAX_HEAD_BYTES))
            if head_end < 0:
                if size >= MAX_HEAD_BYTES:
                    raise RequestError(
                        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                        f"the head has over {MAX_HEAD_BYTES} bytes",
                    )
                return None
            head = _parse_head(bytes(data[:head_end]))
            self._request = head.request
            self._end = head_end + len(_HEAD_END) + head.body_bytes
        return self._request if size >= self._end else None


def encode_response(status: HTTPStatus, text: str, allowed_method: str = "") -> bytes:
    """Encode a response with the body `text` that announces the close of its connection."""
    body = text.encode()
    allow = f"Allow: {allowed_method}\r\n" if allowed_method else ""
    return (
        f"HTTP/1.1 {status.value} {_REASON_PHRASES.get(status, 'Error')}\r\n"
        f"Content-Type: text/plain; charset=utf-8\r\n"
        f"Content-Length: {len(body)}\r\n{allow}Connection: close\r\n\r\n"
    ).encode() + body


def _parse_head(head: bytes) -> _RequestHead:
    """Parse a request line and its headers (RFC 9112, sections 3 and 5)."""
    request_line, *header_lines = head.split(b"\r\n")
    return _RequestHead(_parse_request_line(request_line), _parse_body_length(header_lines))


def _parse_request_line(line: bytes) -> AdminRequest:
    words = line.split(b" ")
    if len(words) != 3 or words[2] not in (b"HTTP/1.1", b"HTTP/1.0") or not _METHOD.fullmatch(words[0]):
        raise RequestError(HTTPStatus.BAD_REQUEST, "the first line is not METHOD PATH HTTP/1.1")
    method, path, _ = words
    if not path.startswith(b"/") or not path.isascii() or not path.decode("ascii").isprintable():
        raise RequestError(HTTPStatus.BAD_REQUEST, "the path can't be read")
    return AdminRequest(method.decode(), path.decode())


def _parse_body_length(header_lines: Sequence[bytes]) -> int:
    """Return the length of the body in bytes; 0 without a Content-Length header."""
    lengths: set[bytes] = set()
    for line in header_lines:
        name, colon, value = line.partition(b":")
        if not colon or not _HEADER_NAME.fullmatch(name):
            raise RequestError(HTTPStatus.BAD_REQUEST, "a header can't be read")
        if name.lower() == b"transfer-encoding":
            raise RequestError(HTTPStatus.LENGTH_REQUIRED, "a body needs a Content-Length")
        if name.lower() == b"content-length":
            lengths.add(value.strip())
    length = lengths.pop() if lengths else b"0"
    if lengths or not (length.isdigit() and len(length) <= _MAX_LENGTH_DIGITS):
        raise RequestError(HTTPStatus.BAD_REQUEST, "the length can't be read")
    if int(length) > MAX_BODY_BYTES:
        raise RequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"the body has over {MAX_BODY_BYTES} bytes")
    return int(length)
