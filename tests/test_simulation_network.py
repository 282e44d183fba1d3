"""The emulated network: delays, fragmentation, partitions and resets of connections."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from winchspan.simulation.connection import WINDOW_BYTES
from winchspan.simulation.incarnation import Incarnation
from winchspan.simulation.link import LinkId, LinkProfile
from winchspan.simulation.loop import EmulatedLoop
from winchspan.simulation.machine import Machine
from winchspan.simulation.machine_clock import MachineClock
from winchspan.simulation.network import FIRST_PORT, Network

SERVER_PORT = FIRST_PORT + 1


class RecordingProtocol(asyncio.Protocol):
    """Records the data and the events of its connection."""

    def __init__(self) -> None:
        self.data = bytearray()
        self.events: list[str] = []
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]  # connection ends are both read and write transports

    def data_received(self, data: bytes) -> None:
        self.data += data

    def eof_received(self) -> bool:
        self.events.append("end")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.events.append(type(exc).__name__ if exc else "closed")

    def pause_writing(self) -> None:
        self.events.append("pause")

    def resume_writing(self) -> None:
        self.events.append("resume")


class TwoMachines:
    """Two machines: the client's machine `a`, and the server's machine `b`."""

    def __init__(self, link: LinkProfile | None = None, *, is_fragmenting: bool = False) -> None:
        self.loop = EmulatedLoop()
        self.network = Network(self.loop, 7, link, is_fragmenting=is_fragmenting)
        self.a = Machine(self.network, "a")
        self.b = Machine(self.network, "b")
        self.client = self.a.start_program()
        self.server = self.b.start_program()
        self.loop.connection_provider = Incarnation(self.network, MachineClock(self.loop), "outside")

    def run(self, scenario: Callable[[], Awaitable[None]]) -> None:
        try:
            self.loop.run_until_complete(asyncio.wait_for(scenario(), 1_000.0))
        finally:
            for task in asyncio.all_tasks(self.loop):
                task.cancel()
            self.loop.run_until_complete(asyncio.sleep(0))
            self.loop.close()

    async def connect(self) -> tuple[RecordingProtocol, RecordingProtocol]:
        """Connect `a` to `b`; return the protocols of both ends."""
        accepted: list[RecordingProtocol] = []

        def accept() -> RecordingProtocol:
            accepted.append(RecordingProtocol())
            return accepted[-1]

        server = await self.server.create_server(accept)
        port = server.sockets[0].getsockname()[1]
        _, client = await self.client.create_connection(RecordingProtocol, "", port)
        await asyncio.sleep(0.01)
        assert isinstance(client, RecordingProtocol)
        return client, accepted[0]


@pytest.mark.parametrize("is_fragmenting", [False, True])
@pytest.mark.parametrize("link", [LinkProfile(), LinkProfile(5.0, 50.0), LinkProfile(1.0, 10.0, 20_000.0)])
def test_connection_on_any_link_delivers_all_bytes_in_order(link: LinkProfile, is_fragmenting: bool):
    machines = TwoMachines(link, is_fragmenting=is_fragmenting)
    sent = bytes(n * 7 % 251 for n in range(30_000))

    async def scenario() -> None:
        a, b = await machines.connect()
        for position in range(0, len(sent), 997):
            a.transport.write(sent[position : position + 997])
        await asyncio.sleep(60)
        assert bytes(b.data) == sent
        assert b.transport.get_write_buffer_size() == 0

    machines.run(scenario)


def test_connection_whose_peer_does_not_read_pauses_writing_until_it_does():
    machines = TwoMachines()

    async def scenario() -> None:
        a, b = await machines.connect()
        a.transport.set_write_buffer_limits(high=0)
        b.transport.pause_reading()
        a.transport.write(bytes(WINDOW_BYTES + 5_000))
        await asyncio.sleep(5)
        assert a.events == ["pause"]
        assert a.transport.get_write_buffer_size() == 5_000
        assert not b.data
        b.transport.resume_reading()
        await asyncio.sleep(5)
        assert a.events == ["pause", "resume"]
        assert len(b.data) == WINDOW_BYTES + 5_000

    machines.run(scenario)


def test_network_partitioned_in_one_direction_holds_its_bytes_and_delivers_the_others():
    machines = TwoMachines()

    async def scenario() -> None:
        a, b = await machines.connect()
        machines.network.links.partition(LinkId("a", "b"))
        a.transport.write(b"one")
        b.transport.write(b"two")
        await asyncio.sleep(30)
        assert (bytes(a.data), bytes(b.data)) == (b"two", b"")
        a.transport.write(b" more")
        machines.network.links.heal(LinkId("a", "b"))
        await asyncio.sleep(1)
        assert bytes(b.data) == b"one more"

    machines.run(scenario)


def test_connection_that_is_closed_ends_the_stream_and_with_unread_bytes_resets():
    machines = TwoMachines()

    async def scenario() -> None:
        a, b = await machines.connect()
        a.transport.write(b"last words")
        a.transport.close()
        await asyncio.sleep(1)
        assert bytes(b.data) == b"last words"
        assert b.events == ["end", "closed"]
        assert a.events == ["closed"]
        c, d = await machines.connect()
        d.transport.pause_reading()
        c.transport.write(b"unread")
        await asyncio.sleep(1)
        d.transport.close()
        await asyncio.sleep(1)
        assert c.events == ["ConnectionResetError"]
        assert machines.network.open_connection_end_count == 0

    machines.run(scenario)


def test_connection_is_closed_by_the_end_of_a_process_and_silent_after_a_power_loss():
    machines = TwoMachines()

    async def scenario() -> None:
        a, b = await machines.connect()
        machines.b.power_off()
        a.transport.write(b"anybody there?")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(
                machines.client.create_connection(RecordingProtocol, "", SERVER_PORT), 30.0
            )
        assert a.events == []
        assert b.events == []
        machines.b.power_on()
        a.transport.write(b"and now?")
        await asyncio.sleep(1)
        assert a.events == ["ConnectionResetError"], "data for the old program is answered with a reset"
        with pytest.raises(ConnectionRefusedError):
            await machines.client.create_connection(RecordingProtocol, "", SERVER_PORT)
        machines.server = machines.b.start_program()
        c, d = await machines.connect()
        machines.b.kill_program()
        await asyncio.sleep(1)
        assert c.events == ["end", "closed"]
        assert d.events == [], "a process that has ended is not notified"

    machines.run(scenario)


def test_process_that_ends_before_its_first_step_closes_the_connections_it_inherited():
    """Guards against a connection that stays open: the system closes all descriptors of a process."""
    machines = TwoMachines()

    async def scenario() -> None:
        a, b = await machines.connect()
        descriptor = b.transport.get_extra_info("descriptor")
        inherited = machines.network.find_connection_end(descriptor)
        machines.server.release_connection(inherited)
        machines.server.kill()
        successor = machines.b.start_program()
        successor.inherit_connection(inherited)
        await asyncio.sleep(1)
        assert a.events == []
        successor.kill()
        await asyncio.sleep(1)
        assert a.events[-1:] != []

    machines.run(scenario)
