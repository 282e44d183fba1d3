"""Tests of the control socket's server: order of replies, limits, timeouts and permissions."""

from __future__ import annotations

import asyncio
import socket
import stat
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, TypeVar

import pytest

from winchspan.control import command_call
from winchspan.control.client import ControlClient
from winchspan.control.command_call import CommandCall, CommandResult
from winchspan.control.connection import STEP_TIMEOUT_MS
from winchspan.control.protocol import (
    FRAME_HEADER,
    MAX_REPLY_BYTES,
    MAX_REQUEST_BYTES,
    PROTOCOL_VERSION,
    ControlError,
    Request,
    decode_length,
    decode_reply,
    encode_frame,
)
from winchspan.control.server import MAX_CONNECTIONS, ControlServer
from winchspan.runtime.clock import ManualClock
from winchspan.runtime.timers import TimerQueue

T = TypeVar("T")


class ServerWorld:
    """A server with test commands, on a separate event loop for the duration of a test."""

    def __init__(self, directory: Path) -> None:
        self.path = directory / "control"
        self.clock = ManualClock()
        self.timers = TimerQueue(self.clock)
        self.pending_calls: list[CommandCall] = []
        commands = {"echo": self.echo, "later": self.later, "fail": self.fail, "long": self.long}
        self.server = ControlServer(self.path, commands, self.timers)

    def echo(self, call: CommandCall) -> None:
        call.respond(CommandResult(dict(call.arguments)))

    def later(self, call: CommandCall) -> None:
        self.pending_calls.append(call)

    def fail(self, call: CommandCall) -> None:
        raise RuntimeError("unexpected failure")

    def long(self, call: CommandCall) -> None:
        call.respond(CommandResult("x" * MAX_REPLY_BYTES))

    def run(self, work: Callable[[], T]) -> T:
        """Run a function in a thread while the event loop serves, and return its result."""

        async def serve() -> T:
            await self.server.start()
            try:
                return await asyncio.to_thread(work)
            finally:
                self.server.close()

        return asyncio.run(serve())

    def raw(self, data: bytes) -> bytes:
        """Send bytes, shut down the sending side, and return all bytes received."""
        with socket.socket(socket.AF_UNIX) as sock:
            sock.settimeout(30.0)
            sock.connect(str(self.path))
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
            received = b""
            while chunk := sock.recv(65_536):
                received += chunk
            return received


def test_server_requests_one_after_another_get_replies_in_order(tmp_path: Path):
    world = ServerWorld(tmp_path)

    def work() -> list[Any]:
        client = ControlClient(world.path)
        try:
            return [client.call("echo", number=number, text="\N{WHITE SMILING FACE}") for number in range(20)]
        finally:
            client.close()

    assert [reply["number"] for reply in world.run(work)] == list(range(20))
    assert not world.path.exists(), "close removes the socket file"


def test_server_pipelined_requests_get_replies_in_order(tmp_path: Path):
    world = ServerWorld(tmp_path)
    with socket.socket(socket.AF_UNIX) as sock:

        def talk() -> list[int]:
            sock.settimeout(30.0)
            sock.connect(str(world.path))
            sock.sendall(
                b"".join(encode_frame(Request(PROTOCOL_VERSION, n, "echo", {"n": n})) for n in range(1, 9))
            )
            stream = sock.makefile("rb")
            return [
                decode_reply(stream.read(decode_length(stream.read(FRAME_HEADER.size)))).id for _ in range(8)
            ]

        assert world.run(talk) == list(range(1, 9))


# Guards against missing replies: recursion from each request to the next exceeded the recursion limit.
def test_server_a_thousand_requests_sent_at_once_get_all_replies(tmp_path: Path):
    world = ServerWorld(tmp_path)
    count = 1_000
    requests = b"".join(encode_frame(Request(PROTOCOL_VERSION, n, "echo")) for n in range(1, count + 1))
    replies = world.run(lambda: world.raw(requests))
    ids = []
    while replies:
        frame_end = FRAME_HEADER.size + decode_length(replies[: FRAME_HEADER.size])
        ids.append(decode_reply(replies[FRAME_HEADER.size : frame_end]).id)
        replies = replies[frame_end:]
    assert ids == list(range(1, count + 1))


@pytest.mark.parametrize(
    ("frame", "error"),
    [
        (FRAME_HEADER.pack(0), "a frame of 0 bytes"),
        (FRAME_HEADER.pack(MAX_REQUEST_BYTES + 1), "a frame of 65537 bytes"),
        (FRAME_HEADER.pack(2) + b"no", "not a request"),
        (FRAME_HEADER.pack(2) + b"{}", "not a request"),
        (FRAME_HEADER.pack(1) + b"\xff", "not a request"),
        (encode_frame(Request(99, 1, "echo")), "version 99; this program speaks 1"),
        (
            FRAME_HEADER.pack(len(b'{"v":1,"id":1,"command":"echo","x":2}'))
            + b'{"v":1,"id":1,"command":"echo","x":2}',
            "unknown field",
        ),
    ],
)
def test_server_unreadable_frame_replies_error_and_closes(tmp_path: Path, frame: bytes, error: str):
    world = ServerWorld(tmp_path)
    found = world.run(lambda: world.raw(frame + encode_frame(Request(PROTOCOL_VERSION, 2, "echo"))))
    assert error in decode_reply(found[FRAME_HEADER.size :]).error


@pytest.mark.parametrize(
    ("command", "error"),
    [
        ("nothing", "unknown command 'nothing'; there are echo, fail, later, long"),
        ("fail", "internal error"),
        ("long", "the answer is too large"),
    ],
)
def test_server_failed_command_replies_error_and_keeps_connection(tmp_path: Path, command: str, error: str):
    world = ServerWorld(tmp_path)

    def work() -> str:
        client = ControlClient(world.path)
        try:
            with pytest.raises(ControlError) as found:
                client.call(command)
            assert client.call("echo", x=1) == {"x": 1}, "the connection stays open"
            return str(found.value)
        finally:
            client.close()

    assert error in world.run(work)


def test_server_other_user_or_too_many_connections_rejected(tmp_path: Path, monkeypatch: pytest.MonkeyPatch):
    world = ServerWorld(tmp_path)

    class CredentialsOfOtherUser:
        size = 12

        @staticmethod
        def unpack(_data: bytes) -> tuple[int, int, int]:
            return 1, 54_321, 1

    def work() -> None:
        assert stat.S_IMODE(world.path.stat().st_mode) == 0o600
        clients = [ControlClient(world.path) for _ in range(MAX_CONNECTIONS)]
        for client in clients:
            client.call("echo")
        with pytest.raises(ControlError):
            ControlClient(world.path).call("echo")
        for client in clients:
            client.close()
        monkeypatch.setattr(command_call, "_CREDENTIALS", CredentialsOfOtherUser)
        with pytest.raises(ControlError):
            ControlClient(world.path).call("echo")

    world.run(work)
    assert world.server.rejected_count == 2


def test_server_silent_or_partial_request_closed_after_timeout(tmp_path: Path):
    world = ServerWorld(tmp_path)

    async def serve() -> None:
        await world.server.start()
        connections = []
        for data in (
            b"",
            b"\x00\x00",
            encode_frame(Request(PROTOCOL_VERSION, 1, "echo"))[:-1],
            encode_frame(Request(PROTOCOL_VERSION, 1, "later")),
        ):
            reader, writer = await asyncio.open_unix_connection(str(world.path))
            writer.write(data)
            connections.append((reader, writer))
        while len(world.server._connections) < 4 or not world.pending_calls:
            await asyncio.sleep(0.001)
        world.clock.advance(STEP_TIMEOUT_MS + 1.0)
        world.timers.run_due()
        for reader, writer in connections:
            with suppress(ConnectionResetError):
                assert await reader.read() == b""
            writer.close()
        world.pending_calls[0].respond(CommandResult("too late"))  # has no effect
        world.server.close()

    asyncio.run(serve())
    assert not world.server._connections


def test_server_start_replaces_stale_socket_but_no_other_file(tmp_path: Path):
    world = ServerWorld(tmp_path)
    stale_socket = socket.socket(socket.AF_UNIX)
    stale_socket.bind(str(world.path))
    stale_socket.close()
    assert world.run(lambda: True)
    world.path.write_text("regular file")
    with pytest.raises(OSError, match="in use"):
        world.run(lambda: True)
    assert world.path.read_text() == "regular file"


def test_server_second_result_of_call_sends_no_second_reply(tmp_path: Path):
    world = ServerWorld(tmp_path)

    async def serve() -> list[int]:
        await world.server.start()
        reader, writer = await asyncio.open_unix_connection(str(world.path))
        ids = []
        for number in (1, 2):
            writer.write(encode_frame(Request(PROTOCOL_VERSION, number, "later")))
            while len(world.pending_calls) < number:
                await asyncio.sleep(0.001)
            for call in (*world.pending_calls, world.pending_calls[-1]):  # answered calls as well
                call.respond(CommandResult(number))
            size = decode_length(await reader.readexactly(FRAME_HEADER.size))
            ids.append(decode_reply(await reader.readexactly(size)).id)
        world.server.close()
        remaining = await reader.read()
        writer.close()
        assert remaining == b""
        return ids

    assert asyncio.run(serve()) == [1, 2]
