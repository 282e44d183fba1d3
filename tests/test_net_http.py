"""HTTP responses: split anywhere, chunked, and malformed."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from winchspan.net.http import HttpProtocolError, ResponseParser, encode_request


def parse(pieces: list[bytes], parser: ResponseParser | None = None) -> tuple[ResponseParser, bytes]:
    parser, data = parser or ResponseParser(), bytearray()
    for piece in pieces:
        data += piece
        data = data[parser.feed(data, 0, len(data)) :]
    return parser, bytes(data)


def split(raw: bytes, cuts: list[int]) -> list[bytes]:
    return [raw[a:b] for a, b in zip([0, *sorted(cuts)], [*sorted(cuts), len(raw)], strict=True)]


SIZED = b"HTTP/1.1 429 Too Many\r\nX-RateLimit-Wait-Ms: 250\r\nContent-Length: 5\r\n\r\nhello"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5;x=1\r\nhello\r\n6\r\n world\r\n0\r\nX-T: 1\r\n\r\n"
)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(0, len(CHUNKED)), max_size=8))
def test_response_parser_responses_split_anywhere_parsed_completely(cuts: list[int]):
    parser, rest = parse(split(CHUNKED, cuts))
    assert (parser.status, bytes(parser.body), parser.is_complete, rest) == (200, b"hello world", True, b"")
    parser, rest = parse(split(SIZED + b"next", [min(cut, len(SIZED)) for cut in cuts]))
    assert (parser.status, bytes(parser.body), parser.is_complete, rest) == (429, b"hello", True, b"next")
    assert parser.headers["x-ratelimit-wait-ms"] == "250" and parser.keep_alive


def test_response_parser_with_body_callback_passes_chunks_on_as_received():
    pieces_received: list[bytes] = []
    parser, _ = parse([CHUNKED[:60]], ResponseParser(pieces_received.append))
    assert pieces_received and not parser.is_complete and not parser.body


def test_response_parser_close_and_body_without_length_read_to_end_of_stream():
    assert not parse([b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"])[0].keep_alive
    assert not parse([b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n"])[0].keep_alive
    parser, _ = parse([b"HTTP/1.1 500 no\r\n\r\nwhatever"])
    assert not parser.is_complete and not parser.keep_alive
    parser.end_of_stream()
    assert parser.is_complete and bytes(parser.body) == b"whatever"


def test_response_parser_204_and_interim_response_have_no_body():
    parser, rest = parse([b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"])
    assert parser.is_complete and parser.status == 204 and rest == b""


@pytest.mark.parametrize(
    "raw",
    [
        b"SSH-2.0-x\r\n\r\n",
        b"HTTP/1.1 abc OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        b"x" * 20_000,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1" * 2_000,
        b"HTTP/1.1 101 Switching\r\n\r\n",
        b"HTTP/1.1 102 Still\r\n\r\n" * 40,
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 70_000,
        b"HTTP/1.1 200 OK\r\nbad name: 1\r\n\r\n",
        b"HTTP/1.1 000 OK\r\n\r\n",
        b"HTTP/1.x 200 OK\r\n\r\n",
    ],
)
def test_response_parser_malformed_response_raises_protocol_error(raw: bytes):
    with pytest.raises(HttpProtocolError):
        parse([raw])


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=60), st.sampled_from([b"", b"HTTP/1.1 200 OK\r\n", CHUNKED[:49]]))
def test_response_parser_any_bytes_parsed_or_protocol_error(raw: bytes, before: bytes):
    try:
        parse([before, *(bytes([byte]) for byte in raw)])
    except HttpProtocolError:
        return


def test_response_parser_status_line_known_before_head_complete_interim_not_counted():
    parser, _ = parse([b"HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 200 OK\r\nX-"])
    assert parser.first_line_status == 200 and not parser.is_complete
    parser = ResponseParser()
    with pytest.raises(HttpProtocolError):
        parse([b"HTTP/1.1 200 OK\r\n\x00\x01\r\n\r\n"], parser)
    assert parser.first_line_status == 200
    assert parse([b"HTTP/1.1 102 Wait\r\n\r\n"])[0].first_line_status == 0


def test_encode_request_gives_head_and_body():
    head, body = encode_request("POST", "/hook", "h:1", [("X-A", "b")], b"\x00body")
    assert head == b"POST /hook HTTP/1.1\r\nHost: h:1\r\nX-A: b\r\nContent-Length: 5\r\n\r\n"
    assert body == b"\x00body"
    assert encode_request("POST", "/hook", "h:1", body=b"")[0].endswith(b"Content-Length: 0\r\n\r\n")
