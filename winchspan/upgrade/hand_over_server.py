"""The serving process's side of the hand-over socket: wait for a new process, and hand over to it."""

from __future__ import annotations

import array
import asyncio
import os
import socket
from collections.abc import Callable
from pathlib import Path
from struct import Struct
from typing import Final, NamedTuple, Protocol

from loguru import logger

from winchspan.upgrade.errors import HandOverError
from winchspan.upgrade.state_machine import (
    TRANSFER_TIMEOUT_MS,
    HandOverAction,
    HandOverState,
    HandOverStateMachine,
)
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

REQUEST_TIMEOUT_SECONDS: Final = 1.0  # for a new process to say what it wants
DRAIN_POLL_SECONDS: Final = 0.005  # between two checks whether the drain has ended
MAX_LINE_BYTES: Final = 200
_CREDENTIALS: Final = Struct("3i")  # of a peer: process, user, group
_ROOT_UID: Final = 0


class StateTransfer(NamedTuple):
    """What is handed over: the encoded state, and descriptors in the order that the state names them."""

    state: bytes
    descriptors: list[int]


class HandOverActions(Protocol):
    """The serving process's components, as the server drives them."""

    def start_drain(self, same_program: bool) -> None:
        """Accept no client, start no attempt, and recall the calls that are not written."""

    def is_drained(self) -> bool:
        """Whether all that is left can be handed over."""

    def cancel_undrained(self) -> None:
        """End what did not drain in time."""

    def freeze_and_export(self) -> StateTransfer:
        """Stop every timer and every read, and return the state; raises HandOverError."""

    def commit(self) -> None:
        """Close the journal, and our copies of the connections."""

    def resume(self) -> None:
        """Roll back: go on as if no process had asked."""

    def stop(self) -> None:
        """Shut down as at SIGTERM."""

    def exit(self) -> None:
        """End the process: nothing is left to do here."""


class HandOverServer:
    """Listens in the state directory, and hands over to one new process at a time."""

    def __init__(
        self, directory: Path, fingerprint: str, actions: HandOverActions, now: Callable[[], float]
    ) -> None:
        """Make it.

        Args:
            directory: the state directory.
            fingerprint: this program's.
            actions: carry out what the state machine commands.
            now: the clock's reading, ms.
        """
        self._directory = directory
        self._fingerprint = fingerprint
        self._actions = actions
        self._now = now
        self._machine = HandOverStateMachine()
        self._socket: socket.socket | None = None
        self._task: asyncio.Task[None] | None = None
        self._loop: asyncio.AbstractEventLoop | None = None

    def listen(self, loop: asyncio.AbstractEventLoop) -> None:
        """Wait for a new process; raises OSError. A previous incarnation's socket is replaced."""
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
        self._carry_out(self._machine.on_stop())

    def _accept(self) -> None:
        assert self._socket is not None
        assert self._loop is not None
        try:
            taker, _ = self._socket.accept()
        except OSError:
            return
        credentials = taker.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _CREDENTIALS.size)
        pid, uid, _ = _CREDENTIALS.unpack(credentials)
        peer = f"uid {uid} (pid {pid})"
        if uid not in (_ROOT_UID, os.geteuid()) or self._task is not None:
            logger.warning("upgrade: rejected {}", peer)
            taker.close()
            return
        taker.setblocking(False)
        self._task = self._loop.create_task(self._serve(taker, peer))

    async def _serve(self, taker: socket.socket, peer: str) -> None:
        """Serve one connection to its end, whatever becomes of it."""
        try:
            fingerprint = await self._receive_request(taker)
            await self._hand_over(taker, peer, same_program=fingerprint == self._fingerprint)
        except (OSError, TimeoutError, HandOverError) as err:
            logger.warning("upgrade: not handed over to {}: {!r}", peer, err)
            self._carry_out(self._machine.on_new_process_lost())
        except Exception:  # guards against a fault of ours that would leave the courier frozen
            logger.exception("upgrade: not handed over to {}", peer)
            self._carry_out(self._machine.on_new_process_lost())
        finally:
            taker.close()
            self._task = None

    async def _receive_request(self, taker: socket.socket) -> str:
        """Receive the request to take over, and return the fingerprint of the new program."""
        words = (await asyncio.wait_for(self._receive_line(taker), REQUEST_TIMEOUT_SECONDS)).split()
        match words:
            case ["TAKE", version, fingerprint] if version == str(PROTOCOL_VERSION):
                return fingerprint
            case _:
                expected = f"TAKE {PROTOCOL_VERSION} FINGERPRINT"
                raise HandOverError(f"request: {words!r:.80}; expected {expected}")

    async def _hand_over(self, taker: socket.socket, peer: str, *, same_program: bool) -> None:
        assert self._loop is not None
        difference = "" if same_program else "; it decides differently"
        logger.info("upgrade: {} asks to take over{}", peer, difference)
        began_ms = self._now()
        actions = self._machine.on_request(began_ms, same_program)
        if HandOverAction.REJECT in actions:
            await self._loop.sock_sendall(taker, b"NO it is ending\n")
            return
        self._carry_out(actions, same_program=same_program)
        await self._drain()
        transfer = self._actions.freeze_and_export()
        frozen_ms = self._now()
        await asyncio.wait_for(self._send(taker, transfer), TRANSFER_TIMEOUT_MS / 1_000.0)
        self._commit(taker)
        logger.info(
            "upgrade: handed over {} bytes and {} connections; drained in {:.0f} ms, frozen for {:.0f} ms",
            len(transfer.state),
            len(transfer.descriptors),
            frozen_ms - began_ms,
            self._now() - frozen_ms,
        )

    async def _drain(self) -> None:
        """Wait until all that is left can be handed over; raises HandOverError."""
        while self._machine.state is HandOverState.DRAINING:
            await asyncio.sleep(DRAIN_POLL_SECONDS)
            if self._actions.is_drained():
                self._carry_out(self._machine.on_drained(self._now()))
            else:
                self._carry_out(self._machine.on_tick(self._now()))
        if self._machine.state is not HandOverState.TRANSFERRING:
            raise HandOverError("calls or client connections do not drain")

    async def _send(self, taker: socket.socket, transfer: StateTransfer) -> None:
        """Send the state and the descriptors, and wait until they have been read."""
        assert self._loop is not None
        head = HEAD.pack(STATE_KIND, len(transfer.state), len(transfer.descriptors))
        await self._loop.sock_sendall(taker, head)
        await self._loop.sock_sendall(taker, transfer.state)
        for first in range(0, len(transfer.descriptors), DESCRIPTORS_PER_MESSAGE):
            await self._send_descriptors(taker, transfer.descriptors[first : first + DESCRIPTORS_PER_MESSAGE])
        line = await self._receive_line(taker)
        if line != READY_LINE.decode().strip():
            raise HandOverError(f"acknowledgement: {line!r:.80}; expected READY")

    async def _send_descriptors(self, taker: socket.socket, descriptors: list[int]) -> None:
        rights = (socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", descriptors))
        while True:
            try:
                taker.sendmsg([b"F"], [rights])
                return
            except BlockingIOError:
                await asyncio.sleep(DRAIN_POLL_SECONDS)

    def _commit(self, taker: socket.socket) -> None:
        actions = self._machine.on_acknowledged()
        try:
            taker.send(COMMIT_LINE)  # one small message on an empty socket: it goes whole or not at all
        except OSError as err:
            self._carry_out(self._machine.on_commit_failed())
            raise HandOverError(f"commit: the new process is gone: {err}") from None
        self._carry_out(actions)

    async def _receive_line(self, taker: socket.socket) -> str:
        assert self._loop is not None
        line = b""
        while not line.endswith(b"\n"):
            piece = await self._loop.sock_recv(taker, 1)
            if not piece or len(line) > MAX_LINE_BYTES:
                raise HandOverError(f"the new process is gone, or its line has over {MAX_LINE_BYTES} bytes")
            line += piece
        return line.decode("latin-1").strip()

    def _carry_out(self, actions: list[HandOverAction], *, same_program: bool = True) -> None:
        """Carry out the state machine's actions."""
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
                    pass  # done in place, by whoever holds the connection
