"""Fake discovery: serves the endpoint list and its watch, and receives notifications."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from contextlib import suppress
from typing import Any, Final

from winchspan.fakes.clients import Clients
from winchspan.fakes.platform import ENDPOINT_KIND
from winchspan.fakes.sockets import HOST, Request, Server, answer, read_request

WATCH_HEARTBEAT_SECONDS: Final = 2.0  # interval of the empty lines of an unchanged watch
NOTIFICATIONS_PATH: Final = "/v1/notices"
ENDPOINTS_PATH: Final = "/api/targets"


class Discovery:
    """Serves the endpoint list, and passes notifications on to the fake clients.

    Attributes:
        clients: receive the notifications.
        server: listens for the couriers.
    """

    def __init__(self, clients: Clients, show: Callable[[str], None]) -> None:
        """Create discovery with an empty list; `show` prints a line for each notification."""
        self.clients = clients
        self.server = Server(self._serve)
        self._show = show
        self._sequence_number = 1
        self._hosts: dict[str, dict[str, Any]] = {}
        self._changed = asyncio.Event()

    def add_endpoint(self, name: str, port: int, destination: int, rate: float) -> None:
        """Add an endpoint to the list, with its listed rate in calls per second."""
        self._hosts[name] = {
            "host": name,
            "dial": f"{HOST}:{port}",
            "site": "a",
            "class": ENDPOINT_KIND,
            "block": destination,
            "health": "up",
            "share": rate,
            "born_ms": 0,
        }
        self._publish()

    def remove_endpoint(self, name: str) -> None:
        """Remove an endpoint from the list."""
        del self._hosts[name]
        self._publish()

    def _publish(self) -> None:
        self._sequence_number += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def full_snapshot(self) -> dict[str, Any]:
        """Return the complete endpoint list in its wire format."""
        return {"seq": self._sequence_number, "whole": True, "hosts": list(self._hosts.values())}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await read_request(reader)) is not None:
            path, _, query = request.path.partition("?")
            if path == NOTIFICATIONS_PATH:
                self._receive_notifications(request)
                writer.write(answer(204))
            elif path == ENDPOINTS_PATH and "follow=1" in query:
                await self._serve_watch(reader, writer)
                return
            elif path == ENDPOINTS_PATH:
                writer.write(answer(200, json.dumps(self.full_snapshot()).encode()))
            else:
                writer.write(answer(404))

    def _receive_notifications(self, request: Request) -> None:
        for line in request.body.splitlines():
            notification = json.loads(line)
            retry_after_ms = notification.get("after_ms", 0)
            self.clients.notified(notification["id"], notification["state"], float(retry_after_ms))
            reason = f" ({notification['reason']})" if "reason" in notification else ""
            self._show(
                f"{notification['state']} {notification['id']}, retry after {retry_after_ms} ms{reason}"
            )

    async def _serve_watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send a full snapshot at each change, and an empty line after each `WATCH_HEARTBEAT_SECONDS`."""
        writer.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n")
        sent_sequence_number = -1
        while not writer.is_closing() and not reader.at_eof():
            changed = self._changed
            line = b"\n"
            if sent_sequence_number != self._sequence_number:
                line = json.dumps(self.full_snapshot()).encode() + b"\n"
            sent_sequence_number = self._sequence_number
            writer.write(b"%x\r\n%s\r\n" % (len(line), line))
            await writer.drain()
            with suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), WATCH_HEARTBEAT_SECONDS)
