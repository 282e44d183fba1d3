"""Connections of the fake clients to couriers."""

from __future__ import annotations

import asyncio
from unittest.mock import Mock

import pytest

from winchspan.fakes.client_connections import ClientConnections


# Guards against a timeout while connecting that ends the submission's task with an error, without a retry.
def test_exchange_on_a_connection_that_does_not_come_up_in_time_has_no_answer(
    monkeypatch: pytest.MonkeyPatch,
):
    async def time_out(*_: object) -> None:
        raise TimeoutError

    monkeypatch.setattr(asyncio, "open_connection", time_out)
    connections = ClientConnections(Mock(), Mock(), Mock(), print)
    assert asyncio.run(connections._exchange(1, b"PING")) == b""
