"""The HTTP server on which the fakes are built."""

from __future__ import annotations

import asyncio
from unittest.mock import Mock

from winchspan.fakes.sockets import Server

CONNECTIONS = 50


# Guards against traces of emulated runs that depend on the iteration order of a set of connections.
def test_break_all_resets_connections_in_the_order_in_which_they_came():
    resets: list[int] = []

    async def break_connections() -> None:
        served = asyncio.Event()

        async def serve(*_: object) -> None:
            await served.wait()

        server = Server(serve)
        tasks = []
        for number in range(CONNECTIONS):
            writer = Mock()
            writer.transport.abort = lambda number=number: resets.append(number)
            tasks.append(asyncio.create_task(server._run(Mock(), writer)))
        await asyncio.sleep(0)
        server.break_all()
        served.set()
        await asyncio.gather(*tasks)

    asyncio.run(break_connections())
    assert resets == list(range(CONNECTIONS))
