"""The auditor's parsers of RESP2 and HTTP/1.1, with streams that are split at arbitrary positions."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from winchspan.simulation.audit.wire_parsers import (
    HttpMessage,
    HttpParser,
    RespReplyParser,
    RespRequestParser,
    WireFormatError,
)


def split(data: bytes, cuts: list[int]) -> list[bytes]:
    """Split bytes at some positions, which are taken modulo the length plus one."""
    bounds = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    return [data[begin:end] for begin, end in pairwise(bounds)]


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.lists(st.integers(0, 10**6), max_size=12))
def test_parsers_of_a_split_stream_yield_the_same_units(cuts: list[int]):
    request_parser = RespRequestParser()
    requests: list[list[bytes]] = []
    for piece in split(b"*2\r\n$4\r\nPING\r\n$3\r\na\r\n\r\n*1\r\n$0\r\n\r\n", cuts):
        requests += request_parser.feed(piece)
    assert requests == [[b"PING", b"a\r\n"], [b""]]
    reply_parser = RespReplyParser()
    replies: list[str] = []
    for piece in split(b"+OK\r\n-BUSY 20\r\n$3\r\nabc\r\n+PONG\r\n", cuts):
        replies += reply_parser.feed(piece)
    assert replies == ["+OK", "-BUSY 20", "$3", "+PONG"]
    parser = HttpParser()
    messages: list[HttpMessage] = []
    for piece in split(
        b"HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2\r\nde\r\n1;x\r\nf\r\n0\r\n\r\n"
        b"HTTP/1.1 204 X\r\n\r\n",
        cuts,
    ):
        messages += parser.feed(piece)
    assert [(message.status, bytes(message.body)) for message in messages] == [
        (200, b"abc"),
        (200, b"def"),
        (204, b""),
    ]
    assert parser.is_idle


@pytest.mark.parametrize("data", [b"PING\r\n", b"*x\r\n", b"*1\r\n:4\r\n"])
def test_request_parser_of_malformed_bytes_raises_wire_format_error(data: bytes):
    with pytest.raises(WireFormatError):
        list(RespRequestParser().feed(data))
