"""Tests of the control socket's frames: any bytes are decoded or rejected."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from winchspan.control.protocol import (
    FRAME_HEADER,
    ControlError,
    Reply,
    decode_reply,
    decode_request,
    encode_frame,
)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.binary(max_size=80))
def test_decode_any_bytes_raises_only_one_line_control_errors(data: bytes):
    for decode in (decode_request, decode_reply):
        error = ""
        try:
            decode(data)
        except ControlError as err:
            error = str(err)
        assert "\n" not in error
    assert decode_reply(encode_frame(Reply(3, [1], ""))[FRAME_HEADER.size :]).data == [1]
