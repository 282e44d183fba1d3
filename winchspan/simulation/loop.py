"""An asyncio event loop in virtual time: when no callback is ready, its clock jumps to the next timer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextvars import Context
from typing import Final, Protocol, TypeAlias

NS_PER_SECOND: Final = 1_000_000_000
NS_PER_MS: Final = 1_000_000
INITIAL_CLOCK_NS: Final = 1_000 * NS_PER_SECOND
MIN_DELAY_SECONDS: Final = 1e-9
"""Minimum delay of a timer, unless its delay is 0: it fires at a later clock reading than it was set at."""

ProtocolFactory: TypeAlias = Callable[[], asyncio.BaseProtocol]


class ConnectionProvider(Protocol):
    """Connects and listens for code that runs on no emulated machine."""

    async def create_connection(
        self, protocol_factory: ProtocolFactory, host: str | None = None, port: int | None = None
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        """Connect to a port; raises OSError."""

    async def create_server(
        self, protocol_factory: ProtocolFactory, host: str | None = None, port: int | None = None
    ) -> object:
        """Listen on a port; return the part of the `asyncio.Server` interface that fakes use."""


class DeadlockError(RuntimeError):
    """No callback is ready and no timer is set, so that the loop would wait for ever."""


class _ClockAdvancer:
    """Replaces the selector: instead of waiting for descriptors it advances the clock."""

    def __init__(self, loop: EmulatedLoop) -> None:
        self._loop = loop

    def select(self, timeout_seconds: float | None) -> list[object]:
        if timeout_seconds is None:
            raise DeadlockError("no callback is ready and no timer is set")
        if timeout_seconds > 0.0:
            self._loop.advance(timeout_seconds)
        return []


class EmulatedLoop(asyncio.BaseEventLoop):
    """The event loop that all hosts of an emulation share.

    Attributes:
        ns: the virtual clock in nanoseconds.
        connection_provider: opens connections for code that runs on no emulated machine; set it before the
            first connection.
    """

    def __init__(self) -> None:
        self.ns = INITIAL_CLOCK_NS
        super().__init__()
        self._selector = _ClockAdvancer(self)
        self._clock_resolution = MIN_DELAY_SECONDS
        self.connection_provider: ConnectionProvider | None = None

    # ---- time --------------------------------------------------------------------------------------------
    def time(self) -> float:
        """Return the virtual clock in seconds."""
        return self.ns / NS_PER_SECOND

    def advance(self, timeout_seconds: float) -> None:
        """Advance the clock by a time rounded up to whole nanoseconds, at least one."""
        self.ns += max(1, -int(-timeout_seconds * NS_PER_SECOND // 1))

    def call_later(
        self,
        delay: float,
        callback: Callable[..., object],
        *args: object,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """Call back after a delay in seconds.

        A positive delay is at least `MIN_DELAY_SECONDS`: a timer that fires too early by less than a float's
        resolution would otherwise be set again and again without an advance of the clock.
        """
        return super().call_later(
            max(delay, MIN_DELAY_SECONDS) if delay > 0.0 else delay, callback, *args, context=context
        )

    # ---- methods of a selector loop ----------------------------------------------------------------------
    def _process_events(self, event_list: list[object]) -> None:
        """Do nothing: events of the emulated network are timers."""

    def _write_to_self(self) -> None:
        """Do nothing: there is no blocking selector to wake up."""

    # ---- connections of code that runs on no emulated machine --------------------------------------------
    async def create_connection(  # type: ignore[override]  # few of the superclass's options are emulated
        self,
        protocol_factory: ProtocolFactory,
        host: str | None = None,
        port: int | None = None,
        **options: object,
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        """Connect over the emulated network."""
        assert self.connection_provider is not None
        return await self.connection_provider.create_connection(protocol_factory, host, port)

    async def create_server(  # type: ignore[override]  # few of the superclass's options are emulated
        self,
        protocol_factory: ProtocolFactory,
        host: str | None = None,
        port: int | None = None,
        **options: object,
    ) -> object:
        """Listen on the emulated network; port 0 stands for any free port."""
        assert self.connection_provider is not None
        return await self.connection_provider.create_server(protocol_factory, host, port)
