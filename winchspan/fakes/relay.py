"""A relay that injects network faults into the traffic between the couriers of a fleet.

Each directed link has its own faults. Datagrams are lost, delayed, duplicated or reordered. Bytes of a
connection are never lost, but they are delayed or held, as by retransmissions of TCP. A cut link passes
nothing, and a connection over it is established only after the link is restored.

Each link from `a` to `b` has a port on the relay, which courier `a` uses as the address of `b`. On this port
the relay receives the traffic from `a` to `b`. It also sends the datagrams from `b` to `a` from this port,
since couriers check the source of a datagram.
"""

from __future__ import annotations

import asyncio
import random
import threading
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from functools import partial
from typing import Final, NamedTuple

from winchspan.fakes.ports import HOST

READ_SIZE_BYTES: Final = 65_536
CALL_TIMEOUT_SECONDS: Final = 30.0  # for a call to the relay's thread
CLOSE_TIMEOUT_SECONDS: Final = 10.0


class Link(NamedTuple):
    """One direction of the traffic between two couriers."""

    source: str
    target: str

    @property
    def reverse(self) -> Link:
        """The other direction."""
        return Link(self.target, self.source)


@dataclass(frozen=True, slots=True)
class LinkFaults:
    """The faults of a link.

    Attributes:
        is_cut: whether the link passes nothing.
        loss: share of datagrams that are lost.
        duplicated: share of datagrams that arrive twice.
        reordered: share of datagrams that later ones overtake, since they are delayed by `reordering_ms`.
        reordering_ms: additional delay of reordered datagrams.
        delay_ms: delay of all datagrams and bytes.
    """

    is_cut: bool = False
    loss: float = 0.0
    duplicated: float = 0.0
    reordered: float = 0.0
    reordering_ms: float = 50.0
    delay_ms: float = 0.0


NO_FAULTS: Final = LinkFaults()


def _cut(faults: LinkFaults) -> LinkFaults:
    return replace(faults, is_cut=True)


class _DatagramReceiver(asyncio.DatagramProtocol):
    """Receives datagrams on the port of a link."""

    def __init__(self, on_datagram: Callable[[bytes, int], None]) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._on_datagram(data, addr[1])

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors: the target's courier is not running."""


class Relay:
    """All links of a fleet, on a separate thread and event loop."""

    def __init__(
        self, courier_ports: Mapping[str, int], link_ports: Mapping[tuple[str, str], int], seed: int
    ) -> None:
        """Open all links.

        Args:
            courier_ports: UDP and TCP port of each courier, by name.
            link_ports: ports of the relay, by source and target of the link.
            seed: of the random faults.
        """
        self._courier_ports = dict(courier_ports)
        self._link_ports = {Link(*link): port for link, port in link_ports.items()}
        self._rng = random.Random(seed)
        self._faults: dict[Link, LinkFaults] = {}
        self._datagram_transports: dict[Link, asyncio.DatagramTransport] = {}
        self._open_writers: set[asyncio.StreamWriter] = set()
        self._connection_tasks: set[asyncio.Task[None]] = set()
        self._faults_changed: asyncio.Event | None = None
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        asyncio.run_coroutine_threadsafe(self._start(), self._loop).result(CALL_TIMEOUT_SECONDS)

    # ---- faults, from any thread -------------------------------------------------------------------------
    def cut(self, source: str, target: str) -> None:
        """Drop all traffic in one direction of a link."""
        self._change_faults([Link(source, target)], _cut)

    def partition(self, names: set[str]) -> None:
        """Partition some couriers from the others, in both directions."""
        links = [link for link in self._link_ports if (link.source in names) != (link.target in names)]
        self._change_faults(links, _cut)

    def set_all_faults(self, faults: LinkFaults) -> None:
        """Give all links the same faults."""
        self._change_faults(self._link_ports, lambda previous: faults)

    def heal(self) -> None:
        """Restore all links."""
        self.set_all_faults(NO_FAULTS)

    def close(self) -> None:
        """Close all links and stop the thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(CLOSE_TIMEOUT_SECONDS)

    def _change_faults(self, links: Iterable[Link], change: Callable[[LinkFaults], LinkFaults]) -> None:
        """Change the faults of some links on the relay's thread, and wait until they are in effect."""

        async def change_all() -> None:
            self._faults |= {link: change(self._faults_of(link)) for link in links}
            assert self._faults_changed is not None
            self._faults_changed.set()
            self._faults_changed = asyncio.Event()

        asyncio.run_coroutine_threadsafe(change_all(), self._loop).result(CALL_TIMEOUT_SECONDS)

    # ---- on the relay's thread ---------------------------------------------------------------------------
    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()
        for task in asyncio.all_tasks(self._loop):
            task.cancel()
        for writer in self._open_writers:
            writer.transport.abort()
        for transport in self._datagram_transports.values():
            transport.close()
        self._loop.run_until_complete(asyncio.sleep(0))
        self._loop.run_until_complete(self._loop.shutdown_asyncgens())

    async def _start(self) -> None:
        self._faults_changed = asyncio.Event()
        for link, port in self._link_ports.items():
            self._datagram_transports[link], _ = await self._loop.create_datagram_endpoint(
                partial(_DatagramReceiver, partial(self._relay_datagram, link)), local_addr=(HOST, port)
            )
            await asyncio.start_server(partial(self._accept, link), HOST, port, limit=READ_SIZE_BYTES)

    def _faults_of(self, link: Link) -> LinkFaults:
        return self._faults.get(link, NO_FAULTS)

    def _relay_datagram(self, link: Link, data: bytes, source_port: int) -> None:
        faults = self._faults_of(link)
        if source_port != self._courier_ports[link.source]:
            return  # not from a courier of the fleet
        if faults.is_cut or self._rng.random() < faults.loss:
            return
        for _ in range(2 if self._rng.random() < faults.duplicated else 1):
            is_reordered = self._rng.random() < faults.reordered
            delay_ms = faults.delay_ms + (faults.reordering_ms if is_reordered else 0.0)
            self._loop.call_later(delay_ms / 1_000.0, self._send_datagram, link, data)

    def _send_datagram(self, link: Link, data: bytes) -> None:
        transport = self._datagram_transports[link.reverse]  # the target's address of the source
        if not transport.is_closing() and not self._faults_of(link).is_cut:
            transport.sendto(data, (HOST, self._courier_ports[link.target]))

    async def _wait_until_open(self, *links: Link) -> None:
        """Wait until none of the links is cut."""
        while any(self._faults_of(link).is_cut for link in links):
            assert self._faults_changed is not None
            await self._faults_changed.wait()

    def _accept(self, link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = self._loop.create_task(self._relay_connection(link, reader, writer))
        self._connection_tasks.add(task)
        task.add_done_callback(self._connection_tasks.discard)

    async def _relay_connection(
        self, link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Connect to the target once no direction is cut, and relay both directions until one ends."""
        target_writer: asyncio.StreamWriter | None = None
        self._open_writers.add(writer)
        try:
            await self._wait_until_open(link, link.reverse)
            target_reader, target_writer = await asyncio.open_connection(
                HOST, self._courier_ports[link.target], limit=READ_SIZE_BYTES
            )
            self._open_writers.add(target_writer)
            tasks = [
                self._loop.create_task(self._relay_bytes(link, reader, target_writer)),
                self._loop.create_task(self._relay_bytes(link.reverse, target_reader, writer)),
            ]
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in tasks:
                task.cancel()
        except OSError:
            pass  # the target's courier is not running
        finally:
            for open_writer in (writer, target_writer):
                if open_writer is not None:
                    self._open_writers.discard(open_writer)
                    open_writer.transport.abort()

    async def _relay_bytes(
        self, link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay one direction of a connection until it ends; bytes are held while the link is cut."""
        try:
            while data := await reader.read(READ_SIZE_BYTES):
                delay_ms = self._faults_of(link).delay_ms
                if delay_ms > 0.0:
                    await asyncio.sleep(delay_ms / 1_000.0)
                await self._wait_until_open(link)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass  # the connection was reset
