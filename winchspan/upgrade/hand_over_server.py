"""The serving process's side of the hand-over socket: waits for a new process and hands over to it."""

from __future__ import annotations

import array
import asyncio
import math
import os
import socket
from collections.abc import Callable
from pathlib import Path
from struct import Struct
from typing import Final, NamedTuple, Protocol

from loguru import logger

from winchspan.upgrade.errors import HandOverError
from winchspan.upgrade.state_machine import (
    HandOverAction,
    HandOverState,
    HandOverStateMachine,
    transfer_timeout_ms,
)
from winchspan.upgrade.undrained import Undrained
from winchspan.upgrade.wire_protocol import (
    COMMIT_LINE,
    DESCRIPTORS_PER_MESSAGE,
    HEAD,
    PROTOCOL_VERSION,
    READY_LINE,
    SOCKET_NAME,
    STATE_KIND,
    socket_path,
)

REQUEST_TIMEOUT_SECONDS: Final = 1.0  # for the request line of a new process
DRAIN_POLL_SECONDS: Final = 0.005  # delay between two checks for the end of the drain
LONG_DRAIN_MS: Final = 100.0  # duration of a drain after which the log names what it waits for
MAX_LINE_BYTES: Final = 200
_CREDENTIALS: Final = Struct("3i")  # SO_PEERCRED: process, user and group id
_ROOT_UID: Final = 0


class StateTransfer(NamedTuple):
    """The encoded state, and the descriptors in the order in which the state lists them."""

    state: bytes
    descriptors: list[int]


class HandOverActions(Protocol):
    """The actions that the server performs on the components of the serving process."""

    def start_drain(self, same_program: bool) -> None:
        """Start no attempt, and recall the unwritten calls."""

    def is_drained(self) -> bool:
        """Whether all remaining calls and connections can be handed over."""

    def undrained(self) -> Undrained:
        """Return what cannot be handed over yet."""

    def cancel_undrained(self) -> None:
        """Cancel the calls and connections that did not drain in time."""

    def time_to_deadline_ms(self) -> float:
        """Return the time to the first deadline of an open message; 0 if a notification is due."""

    def freeze_and_export(self) -> StateTransfer:
        """Stop all timers and reads, and return the state; raises HandOverError."""

    def commit(self) -> None:
        """Close the journal and this process's copies of the connections."""

    def resume(self) -> None:
        """Roll back: serve again as before the request."""

    def stop(self) -> None:
        """Shut down as at SIGTERM."""

    def exit(self) -> None:
        """End the process after the commit."""


class HandOverServer:
    """Listens in the state directory, and hands over to one new process at a time."""

    def __init__(
        self, directory: Path, fingerprint: str, actions: HandOverActions, now: Callable[[], float]
    ) -> None:
        """Create a server that does not listen yet.

        Args:
            directory: the state directory.
            fingerprint: this program's fingerprint.
            actions: performs the actions of the state machine.
            now: returns the monotonic time, ms.
        """
        self._directory = directory
        self._fingerprint = fingerprint
        self._actions = actions
        self._now = now
        self._machine = HandOverStateMachine()
        self._failed_transfers = 0  # in a row
        self._socket: socket.socket | None = None
        self._task: asyncio.Task[None] | None = None
        self._loop: asyncio.AbstractEventLoop | None = None

    def listen(self, loop: asyncio.AbstractEventLoop) -> None:
        """Listen for a new process, and replace the socket of an earlier process; raises OSError."""
        directory = os.open(self._directory, os.O_RDONLY | os.O_DIRECTORY)
        try:
            (self._directory / SOCKET_NAME).unlink(missing_ok=True)
            self._socket = self._bind(directory)
        finally:
            os.close(directory)
        self._loop = loop
        loop.add_reader(self._socket, self._accept)

    def _bind(self, directory: int) -> socket.socket:
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            listener.bind(socket_path(directory))
            os.chmod(self._directory / SOCKET_NAME, 0o600)
            listener.listen(1)
            listener.setblocking(False)
        except OSError:
            listener.close()
            raise
        return listener

    def close(self) -> None:
        """Stop listening; may be called twice."""
        if self._socket is not None and self._loop is not None:
            self._loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def stop(self) -> None:
        """Handle SIGTERM."""
        self._perform(self._machine.on_stop())

    def _accept(self) -> None:
        assert self._socket is not None
        assert self._loop is not None
        try:
            connection, _ = self._socket.accept()
        except OSError:
            return
        credentials = connection.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _CREDENTIALS.size)
        pid, uid, _ = _CREDENTIALS.unpack(credentials)
        peer = f"uid {uid} (pid {pid})"
        if uid not in (_ROOT_UID, os.geteuid()) or self._task is not None:
            logger.warning("upgrade: rejected {}", peer)
            connection.close()
            return
        connection.setblocking(False)
        self._task = self._loop.create_task(self._serve(connection, peer))

    async def _serve(self, connection: socket.socket, peer: str) -> None:
        """Serve one connection until it is handed over or fails."""
        try:
            fingerprint = await self._receive_request(connection)
            await self._hand_over(connection, peer, same_program=fingerprint == self._fingerprint)
        except (OSError, TimeoutError, HandOverError) as err:
            logger.warning("upgrade: not handed over to {}: {!r}", peer, err)
            self._perform(self._machine.on_new_process_lost())
        except Exception:  # guards against a bug that would leave the courier frozen
            logger.exception("upgrade: not handed over to {}", peer)
            self._perform(self._machine.on_new_process_lost())
        finally:
            connection.close()
            self._task = None

    async def _receive_request(self, connection: socket.socket) -> str:
        """Receive the request to take over, and return the fingerprint of the new program."""
        words = (await asyncio.wait_for(self._receive_line(connection), REQUEST_TIMEOUT_SECONDS)).split()
        match words:
            case ["TAKE", version, fingerprint] if version == str(PROTOCOL_VERSION):
                return fingerprint
            case _:
                expected = f"TAKE {PROTOCOL_VERSION} FINGERPRINT"
                raise HandOverError(f"request: {words!r:.80}; expected {expected}")

    async def _hand_over(self, connection: socket.socket, peer: str, *, same_program: bool) -> None:
        assert self._loop is not None
        difference = "" if same_program else "; it decides differently"
        logger.info("upgrade: {} asks to take over{}", peer, difference)
        started_ms = self._now()
        actions = self._machine.on_request(started_ms, same_program)
        if HandOverAction.REJECT in actions:
            await self._loop.sock_sendall(connection, b"NO it is ending\n")
            return
        self._perform(actions, same_program=same_program)
        await self._drain()
        transfer = self._actions.freeze_and_export()
        time_to_deadline_ms = self._actions.time_to_deadline_ms()
        frozen_ms = self._now()
        await self._transfer(connection, transfer, time_to_deadline_ms)
        self._commit(connection)
        logger.info(
            "upgrade: handed over {} bytes and {} connections; drained in {:.0f} ms, frozen for {:.0f} ms",
            len(transfer.state),
            len(transfer.descriptors),
            frozen_ms - started_ms,
            self._now() - frozen_ms,
        )

    async def _transfer(
        self, connection: socket.socket, transfer: StateTransfer, time_to_deadline_ms: float
    ) -> None:
        """Send the state, and wait until it has been read; raises TimeoutError."""
        timeout_ms = transfer_timeout_ms(time_to_deadline_ms, self._failed_transfers)
        self._failed_transfers += 1
        await asyncio.wait_for(self._send(connection, transfer), timeout_ms / 1_000.0)
        self._failed_transfers = 0

    async def _drain(self) -> None:
        """Wait until all remaining calls and connections can be handed over; raises HandOverError."""
        log_at_ms = self._now() + LONG_DRAIN_MS
        while self._machine.state is HandOverState.DRAINING:
            await asyncio.sleep(DRAIN_POLL_SECONDS)
            if self._now() >= log_at_ms:
                logger.info("upgrade: waits for {}", self._actions.undrained())
                log_at_ms = math.inf
            if self._actions.is_drained():
                self._perform(self._machine.on_drained(self._now()))
            else:
                self._perform(self._machine.on_tick(self._now()))
        if self._machine.state is not HandOverState.TRANSFERRING:
            raise HandOverError("calls or client connections did not drain in time")

    async def _send(self, connection: socket.socket, transfer: StateTransfer) -> None:
        """Send the state and the descriptors, and wait until they have been read."""
        assert self._loop is not None
        head = HEAD.pack(STATE_KIND, len(transfer.state), len(transfer.descriptors))
        await self._loop.sock_sendall(connection, head)
        await self._loop.sock_sendall(connection, transfer.state)
        for first in range(0, len(transfer.descriptors), DESCRIPTORS_PER_MESSAGE):
            await self._send_descriptors(
                connection, transfer.descriptors[first : first + DESCRIPTORS_PER_MESSAGE]
            )
        line = await self._receive_line(connection)
        if line != READY_LINE.decode().strip():
            raise HandOverError(f"acknowledgement: {line!r:.80}; expected READY")

    async def _send_descriptors(self, connection: socket.socket, descriptors: list[int]) -> None:
        rights = (socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", descriptors))
        while True:
            try:
                connection.sendmsg([b"F"], [rights])
                return
            except BlockingIOError:
                await asyncio.sleep(DRAIN_POLL_SECONDS)

    def _commit(self, connection: socket.socket) -> None:
        actions = self._machine.on_acknowledged()
        try:
            connection.send(COMMIT_LINE)  # a small write to an empty socket buffer is complete or fails
        except OSError as err:
            self._perform(self._machine.on_commit_failed())
            raise HandOverError(f"commit: the new process closed the connection: {err}") from None
        self._perform(actions)

    async def _receive_line(self, connection: socket.socket) -> str:
        assert self._loop is not None
        line = b""
        while not line.endswith(b"\n"):
            piece = await self._loop.sock_recv(connection, 1)
            if not piece or len(line) > MAX_LINE_BYTES:
                raise HandOverError(
                    f"the new process closed the connection, or its line has over {MAX_LINE_BYTES} bytes"
                )
            line += piece
        return line.decode("latin-1").strip()

    def _perform(self, actions: list[HandOverAction], *, same_program: bool = True) -> None:
        """Perform the state machine's actions."""
        for action in actions:
            match action:
                case HandOverAction.START_DRAIN:
                    self._actions.start_drain(same_program)
                case HandOverAction.CANCEL_UNDRAINED:
                    self._actions.cancel_undrained()
                case HandOverAction.COMMIT:
                    self._actions.commit()
                case HandOverAction.RESUME:
                    logger.warning("upgrade: this process resumes")
                    self._actions.resume()
                case HandOverAction.STOP:
                    self._actions.stop()
                case HandOverAction.EXIT:
                    self._actions.exit()
                case HandOverAction.TRANSFER | HandOverAction.REJECT:
                    pass  # the code that holds the connection performs these
