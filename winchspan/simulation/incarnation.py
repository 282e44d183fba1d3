"""A process on an emulated machine: its view of the event loop, with clock, signals and sockets."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from contextvars import Context
from functools import partial
from typing import Any, TypeVar, cast

from winchspan.runtime.clock import MS_PER_SECOND
from winchspan.runtime.poll_monitor import PollMonitor
from winchspan.simulation.connection import ConnectionEnd, StreamProtocol
from winchspan.simulation.datagram_socket import EmulatedDatagramSocket
from winchspan.simulation.listener import EmulatedListener
from winchspan.simulation.loop import ProtocolFactory
from winchspan.simulation.machine_clock import MachineClock
from winchspan.simulation.network import Network
from winchspan.simulation.suspension import Suspension

_Result = TypeVar("_Result")


class Incarnation:
    """A process from its start to its end; no callback of it runs after its end.

    It has the methods of `asyncio.AbstractEventLoop` that the application and its connections use.

    Attributes:
        network: the network that it uses.
        clock: the clock of its machine.
        host: the name of its machine.
        number: sequence number among the incarnations of its machine.
        is_alive: whether it has not ended.
        poll_monitor: records when its loop has polled its sockets.
        random: its random number generator, seeded with host and number.
    """

    def __init__(self, network: Network, clock: MachineClock, host: str, number: int = 0) -> None:
        self.network = network
        self.clock = clock
        self.host = host
        self.number = number
        self.is_alive = True
        self.poll_monitor = PollMonitor()
        self.random = random.Random(f"{host} {number}")
        self._loop = network.loop
        self._suspension = Suspension(
            network.loop, clock, self.poll_monitor, self._has_unread_data, self._run_callback
        )
        self._connections: list[ConnectionEnd] = []
        self._listeners: list[EmulatedListener] = []
        self._datagram_sockets: list[EmulatedDatagramSocket] = []
        self._signal_handlers: dict[int, Callable[[], object]] = {}
        self._tasks: list[asyncio.Task[Any]] = []
        self._end_callbacks: list[Callable[[], None]] = []

    # ---- life cycle --------------------------------------------------------------------------------------
    def add_end_callback(self, action: Callable[[], None]) -> None:
        """Call back at its end, to do what the operating system would, such as closing files."""
        self._end_callbacks.append(action)

    def kill(self) -> None:
        """End it immediately; the system closes its sockets and files."""
        if not self.is_alive:
            return
        self.is_alive = False
        for listener in self._listeners:
            listener.close()
        for connection in self._connections:
            connection.close_for_ended_process()
        for socket in self._datagram_sockets:
            socket.close()
        for action in self._end_callbacks:
            action()

    def pending_tasks(self) -> list[asyncio.Task[Any]]:
        """Return its unfinished tasks, to be cancelled at the end of the emulation."""
        return [task for task in self._tasks if not task.done()]

    def deliver_signal(self, number: int) -> bool:
        """Deliver a signal; return whether it has a handler."""
        if not self.is_alive or number not in self._signal_handlers:
            return False
        self.call_soon(self._signal_handlers[number])
        return True

    # ---- suspension --------------------------------------------------------------------------------------
    @property
    def is_suspended(self) -> bool:
        """Whether it is suspended, so that arrivals and due callbacks are deferred."""
        return self._suspension.is_active

    def suspend(self) -> None:
        """Suspend it until it is resumed."""
        self._suspension.begin()

    def resume(self) -> None:
        """Resume it."""
        self._suspension.end()

    def suspend_for(self, duration_ms: float) -> None:
        """Suspend it for a duration, unless it is already suspended."""
        if self.is_alive and not self.is_suspended:
            self.suspend()
            self._loop.call_later(duration_ms / MS_PER_SECOND, self.resume)

    def defer_while_suspended(self, action: Callable[[], None]) -> bool:
        """Defer an action while it is suspended; return whether it was deferred."""
        if not (self.is_suspended and self.is_alive):
            return False
        self._suspension.defer_arrival(action)
        return True

    def _has_unread_data(self) -> bool:
        return any(connection.has_unread_data for connection in self._connections) or any(
            listener.is_readable for listener in self._listeners
        )

    # ---- hand-over ---------------------------------------------------------------------------------------
    def inherit_connection(self, connection: ConnectionEnd) -> None:
        """Own a connection, which is closed when the process ends, even before a protocol is attached."""
        others = [other for other in self._connections if not other.is_closed and other is not connection]
        self._connections = [*others, connection]

    def release_connection(self, connection: ConnectionEnd) -> None:
        """Release a connection for a hand-over; its events are no longer delivered here."""
        self._connections = [other for other in self._connections if other is not connection]
        connection.detach()

    def release_listener(self, listener: EmulatedListener) -> None:
        """Leave a listening socket open for the next incarnation."""
        self._listeners = [other for other in self._listeners if other is not listener]
        listener.on_readable = None

    def inherit_listener(self, listener: EmulatedListener) -> None:
        """Take over a listening socket that the previous incarnation has released."""
        listener.process = self
        self._listeners.append(listener)

    # ---- asyncio: callbacks and tasks --------------------------------------------------------------------
    def time(self) -> float:
        """Return the reading of the machine's clock in seconds."""
        return self.clock.now() / MS_PER_SECOND

    def _run_callback(self, callback: Callable[..., object], arguments: tuple[object, ...]) -> None:
        if self.is_alive and self.is_suspended:
            self._suspension.defer_callback(callback, arguments)
        elif self.is_alive:
            callback(*arguments)

    def call_soon(
        self, callback: Callable[..., object], *args: object, context: Context | None = None
    ) -> asyncio.Handle:
        """Call back in the next tick."""
        return self._loop.call_soon(self._run_callback, callback, args, context=context)

    call_soon_threadsafe = call_soon

    def call_later(
        self, delay: float, callback: Callable[..., object], *args: object, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Call back after a delay in seconds of the machine's clock."""
        return self._loop.call_later(
            delay / self.clock.rate, self._run_callback, callback, args, context=context
        )

    def create_task(
        self,
        coroutine: Coroutine[Any, Any, _Result],
        *,
        name: str | None = None,
        context: Context | None = None,
    ) -> asyncio.Task[_Result]:
        """Run a coroutine as a task."""
        task = self._loop.create_task(coroutine, name=name, context=context)
        self._tasks = [*(other for other in self._tasks if not other.done()), task]
        return task

    def add_signal_handler(self, sig: int, callback: Callable[..., object], *args: object) -> None:
        """Handle a signal."""
        self._signal_handlers[sig] = partial(callback, *args)

    def set_exception_handler(self, handler: object) -> None:
        """Ignore the handler: an uncaught error ends the emulation."""

    def add_reader(self, fd: EmulatedListener, callback: Callable[..., object], *args: object) -> None:
        """Call back while a connection waits at a listener."""
        fd.on_readable = partial(callback, *args)
        fd.schedule_notification()

    def remove_reader(self, fd: EmulatedListener) -> bool:
        """Stop calling back for a listener."""
        fd.on_readable = None
        return True

    # ---- asyncio: sockets --------------------------------------------------------------------------------
    def listen(self, port: int) -> EmulatedListener:
        """Listen on a port; 0 stands for any free port. Raises OSError."""
        listener = self.network.listen(self, port)
        self._listeners.append(listener)
        return listener

    def bind(self, port: int) -> EmulatedDatagramSocket:
        """Open a datagram socket on a port. Raises OSError."""
        socket = self.network.bind(self, port)
        self._datagram_sockets.append(socket)
        return socket

    async def create_datagram_endpoint(
        self, protocol_factory: ProtocolFactory, *, sock: EmulatedDatagramSocket, **options: object
    ) -> tuple[EmulatedDatagramSocket, asyncio.BaseProtocol]:
        """Attach a protocol to a datagram socket."""
        protocol = protocol_factory()
        sock.attach(cast("asyncio.DatagramProtocol", protocol))
        return sock, protocol

    async def create_connection(
        self,
        protocol_factory: ProtocolFactory,
        host: str | None = None,
        port: int | None = None,
        **options: object,
    ) -> tuple[ConnectionEnd, asyncio.BaseProtocol]:
        """Connect to a port. Raises OSError."""
        if not self.is_alive:
            await self._wait_forever()
        assert port is not None
        connection = await self.network.connect(self, int(port))
        while self.is_suspended:
            resumed: asyncio.Future[None] = self._loop.create_future()
            self.defer_while_suspended(partial(resumed.set_result, None))
            await resumed
        return self._adopt(connection, protocol_factory)

    async def connect_accepted_socket(
        self, protocol_factory: ProtocolFactory, sock: ConnectionEnd, **options: object
    ) -> tuple[ConnectionEnd, asyncio.BaseProtocol]:
        """Attach a protocol to an accepted connection."""
        if not self.is_alive:
            await self._wait_forever()
        return self._adopt(sock, protocol_factory)

    async def create_server(
        self,
        protocol_factory: ProtocolFactory,
        host: str | None = None,
        port: int | None = None,
        **options: object,
    ) -> EmulatedServer:
        """Accept every connection to a port; None and 0 stand for any free port."""
        listener = self.listen(int(port or 0))
        listener.on_connection = lambda connection: self._adopt_if_alive(connection, protocol_factory)
        return EmulatedServer(listener)

    async def _wait_forever(self) -> None:
        """Never return, because coroutines of a process that has ended must not continue."""
        await self._loop.create_future()

    def _adopt(
        self, connection: ConnectionEnd, factory: ProtocolFactory
    ) -> tuple[ConnectionEnd, asyncio.BaseProtocol]:
        self.inherit_connection(connection)
        protocol = factory()
        connection.attach(self, cast("StreamProtocol", protocol))
        return connection, protocol

    def _adopt_if_alive(self, connection: ConnectionEnd, factory: ProtocolFactory) -> None:
        if self.is_alive:
            self._adopt(connection, factory)


class EmulatedServer:
    """The part of the `asyncio.Server` interface that fakes use.

    Attributes:
        sockets: a tuple with the only listener.
    """

    def __init__(self, listener: EmulatedListener) -> None:
        self.sockets = (listener,)
        self._listener = listener

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()

    async def wait_closed(self) -> None:
        """Return immediately: `close` is synchronous."""
