"""RESP requests: split anywhere, pipelined, and malformed."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from winchspan.net.resp import MAX_BULK_BYTES, MAX_LEADING_WORD_BYTES, RequestParser, RespProtocolError


def encode(words: list[bytes]) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


def parse(pieces: list[bytes]) -> list[list[bytes]]:
    parser, data, start, requests_read = RequestParser(), bytearray(), 0, []
    for piece in pieces:
        data += piece
        while request := parser.next_request(data, start, len(data)):
            words, start = request
            requests_read.append(words)
        data, start = data[start:], 0  # as the receive buffer does
    return requests_read


@settings(derandomize=True, deadline=None)
@given(st.lists(st.lists(st.binary(max_size=40), min_size=1, max_size=5), max_size=4), st.data())
def test_request_parser_requests_split_anywhere_parsed_completely(
    requests: list[list[bytes]], data: st.DataObject
):
    raw = b"".join(encode(words) for words in requests)
    cuts = sorted(data.draw(st.lists(st.integers(0, len(raw)), max_size=8)))
    pieces = [raw[a:b] for a, b in zip([0, *cuts], [*cuts, len(raw)], strict=True)]
    assert parse(pieces) == requests


def test_request_parser_largest_bulk_accepted_and_larger_rejected():
    assert parse([encode([b"x" * MAX_BULK_BYTES])]) == [[b"x" * MAX_BULK_BYTES]]
    with pytest.raises(RespProtocolError, match="bytes"):
        parse([b"*1\r\n$%d\r\n" % (MAX_BULK_BYTES + 1)])
    with pytest.raises(RespProtocolError, match="too long"):
        parse([encode([*[b"x" * MAX_LEADING_WORD_BYTES] * 5, b"y" * MAX_BULK_BYTES])])


# Guards against large words in the memory of clients that are owed an error: the length is enough to reject.
def test_request_parser_leading_word_beyond_its_limit_rejected_before_it_arrives():
    largest = [b"x" * MAX_LEADING_WORD_BYTES, b"body"]
    assert parse([encode(largest)]) == [largest]
    with pytest.raises(RespProtocolError, match="bytes"):
        parse([b"*2\r\n$%d\r\n" % (MAX_LEADING_WORD_BYTES + 1)])


@pytest.mark.parametrize(
    "raw",
    [
        b"PING\r\n",
        b"*x\r\n",
        b"*-1\r\n",
        b"*0\r\n",
        b"*99\r\n",
        b"*1\r\n:5\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n$3\r\nabcde",
        b"*" + b"1" * 40,
        b"*\r\n",
    ],
)
def test_request_parser_malformed_request_raises_protocol_error(raw: bytes):
    with pytest.raises(RespProtocolError):
        parse([raw])


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=60))
def test_request_parser_any_bytes_parsed_or_protocol_error(raw: bytes):
    try:
        parse([bytes([byte]) for byte in raw])
    except RespProtocolError:
        return
