"""RESP2: parses requests (arrays of bulk strings) in place in the receive buffer, and encodes replies."""

from __future__ import annotations

MAX_WORDS = 16
MAX_BULK_BYTES = 64 * 1024
MAX_LEADING_WORD_BYTES = 1024  # of each word but the last one, which may be a message's body
MAX_REQUEST_BYTES = MAX_BULK_BYTES + 4 * 1024
_MAX_LENGTH_DIGITS = 12  # of a length line, a sign included


class RespProtocolError(Exception):
    """The received bytes are not a RESP2 request; the text goes to the client."""


class RequestParser:
    """Parses successive requests, and continues a request that arrives in pieces.

    Word positions are stored as (start, end) relative to the start of the request, so that the buffer may be
    moved between calls.
    """

    def __init__(self) -> None:
        self._reset()

    def _reset(self) -> None:
        self._parsed_bytes = 0  # bytes of the request that have been parsed
        self._remaining_words = -1  # -1: the array header is not parsed yet
        self._word_bytes = -1  # length of the next word; -1: its header is not parsed yet
        self._words: list[tuple[int, int]] = []

    @property
    def has_partial_request(self) -> bool:
        """Whether part of a request has been parsed."""
        return self._parsed_bytes > 0

    @property
    def _max_word_bytes(self) -> int:
        """Greatest length of the next word.

        A long list of names is rejected by its length: it costs neither memory nor the time to parse it.
        """
        return MAX_BULK_BYTES if self._remaining_words == 1 else MAX_LEADING_WORD_BYTES

    def next_request(self, buffer: bytearray, start: int, end: int) -> tuple[list[bytes], int] | None:
        """Return the words of the request at `start` and its end position, or None while it is incomplete."""
        while self._remaining_words != 0:
            if self._word_bytes < 0:
                type_byte = 0x2A if self._remaining_words < 0 else 0x24  # '*' or '$'
                number = self._parse_length(buffer, start + self._parsed_bytes, end, type_byte)
                if number is None:
                    return None
                if self._remaining_words < 0:
                    if not 1 <= number <= MAX_WORDS:
                        raise RespProtocolError(f"a request of {number} words")
                    self._remaining_words = number
                elif not 0 <= number <= self._max_word_bytes:
                    raise RespProtocolError(f"a word of {number} bytes")
                else:
                    self._word_bytes = number
                    if self._parsed_bytes + number > MAX_REQUEST_BYTES:
                        raise RespProtocolError("the request is too long")
                continue
            word_start = start + self._parsed_bytes
            word_end = word_start + self._word_bytes
            if end < word_end + 2:
                return None
            if buffer[word_end] != 13 or buffer[word_end + 1] != 10:
                raise RespProtocolError("a word does not end where it should")
            self._words.append((self._parsed_bytes, self._parsed_bytes + self._word_bytes))
            self._parsed_bytes += self._word_bytes + 2
            self._remaining_words -= 1
            self._word_bytes = -1
        with memoryview(buffer) as view:
            words = [bytes(view[start + first : start + last]) for first, last in self._words]
        request_end = start + self._parsed_bytes
        self._reset()
        return words, request_end

    def _parse_length(self, buffer: bytearray, at: int, end: int, type_byte: int) -> int | None:
        """Return the length in the header line at `at`, or None while the line is incomplete."""
        if at >= end:
            return None
        if buffer[at] != type_byte:
            raise RespProtocolError(f"expected {chr(type_byte)!r}, got byte {buffer[at]}")
        stop = buffer.find(b"\r\n", at + 1, min(end, at + _MAX_LENGTH_DIGITS + 3))
        if stop < 0:
            if end - at > _MAX_LENGTH_DIGITS + 2:
                raise RespProtocolError("a length that does not end")
            return None
        digits = buffer[at + 1 : stop]
        if not digits.isdigit():
            raise RespProtocolError("a length that is no number")
        self._parsed_bytes += stop + 2 - at
        return int(digits)


def simple_string(text: str) -> bytes:
    """Return an encoded simple string."""
    return f"+{text}\r\n".encode()


def error_reply(text: str) -> bytes:
    """Return an encoded error; line ends in the text are replaced, since they would end the reply."""
    return b"-" + text.replace("\r", " ").replace("\n", " ").encode("utf-8", "replace") + b"\r\n"


def bulk_string(data: bytes) -> tuple[bytes, bytes, bytes]:
    """Return an encoded bulk string, in pieces for a vectored write."""
    return b"$%d\r\n" % len(data), data, b"\r\n"
