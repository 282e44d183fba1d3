"""Tests of the parser of operators' HTTP requests."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings as tries
from hypothesis import strategies as st

from winchspan.admin.request import RequestError, RequestParser

REQUEST = b"POST /control/endpoints/s-1/offline HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"


@given(st.lists(st.integers(1, len(REQUEST) - 1), max_size=6))
@tries(derandomize=True, deadline=None)
def test_request_parser_request_split_anywhere_parsed_once_complete(cuts: list[int]):
    parser = RequestParser()
    for end in sorted(set(cuts)):
        assert parser.parse(bytearray(REQUEST[:end]), end) is None
    request = parser.parse(bytearray(REQUEST), len(REQUEST))
    assert request is not None and (request.method, request.path) == (
        "POST",
        "/control/endpoints/s-1/offline",
    )


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"GET /control/ready\r\n\r\n", 400),
        (b"get /x HTTP/1.1\r\n\r\n", 400),
        (b"GET x HTTP/1.1\r\n\r\n", 400),
        (b"\x00\xff\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nno header\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", 413),
        (b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", 411),
        (b"GET /" + b"x" * 9_000, 431),
    ],
)
def test_request_parser_unreadable_request_raises_client_error_status(head: bytes, status: int):
    with pytest.raises(RequestError) as err:
        RequestParser().parse(bytearray(head), len(head))
    assert err.value.status == status and err.value.reason
