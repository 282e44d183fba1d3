"""One second copy of an answer crosses the next request: it is taken for that request's answer."""

from __future__ import annotations

import asyncio
import sys
import time
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import (
    HOST,
    TROUBLE,
    Call,
    Case,
    CaseError,
    Client,
    Endpoint,
    main,
    message_class,
    read_request,
    response,
    runs_of,
    settings,
)

DESTINATION = 7
KEY = "5c0f6e1a2b3d4c59"
MESSAGE_COUNT = 12
LEFT = 8.0  # s in which a message may be delivered
LOST_AFTER = (
    0.5  # s past its time after which a message without an end is lost: the longest that a page names
)
PACE = 0.25  # s that a call takes: as at a partner system of usual pace
LATENCY = 0.010  # s one way between courier and endpoint; the site file says 8 to 30 ms
COPY_AFTER = 0.003  # s after an answer in which its second copy follows: before the courier has the answer


def is_turned_away(endpoint: Endpoint, message: str) -> bool:
    """Return whether the endpoint turns a call away: the first one of every second message."""
    return int(message[-4:], 16) % 2 == 0 and len(runs_of([endpoint], message)) == 1


class CopyingEndpoint(Endpoint):
    """Sends a second copy of a 200 right after it, when nothing else waits on the connection."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.CancelledError):
            request = await read_request(reader)
            while request is not None:
                message = request.headers.get("x-request-id", "")
                call = Call(self.record.now(), self.name, [message], request)
                self.calls.append(call)
                self.record(f"{self.name}: call of {message}")
                await asyncio.sleep(PACE)
                call.answer = response(503 if is_turned_away(self, message) else 200)
                writer.write(call.answer)
                call.answered_at = self.record.now()
                self.record(f"{self.name}: answered {message} with {call.answer[9:12].decode()}")
                following = asyncio.create_task(read_request(reader))
                if TROUBLE and call.answer.startswith(b"HTTP/1.1 200"):
                    await asyncio.sleep(COPY_AFTER)
                    if not following.done():
                        writer.write(call.answer)
                        self.record(f"{self.name}: second copy of the answer to {message}")
                request = await following
        writer.transport.abort()


class Network:
    """Carries connections to an endpoint, with the latency of the site."""

    def __init__(self, target: int) -> None:
        self._target = target
        self._tasks: set[asyncio.Task[None]] = set()
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._connect, HOST, 0)
        self._server = server
        self.port = server.sockets[0].getsockname()[1]

    async def _connect(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        far_reader, far_writer = await asyncio.open_connection(HOST, self._target)
        for source, target in ((reader, far_writer), (far_reader, writer)):
            queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
            for job in (self._take(source, queue), self._bring(target, queue)):
                task = asyncio.create_task(job)
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    @staticmethod
    async def _take(source: asyncio.StreamReader, queue: asyncio.Queue[tuple[float, bytes]]) -> None:
        data = b"-"
        while data:
            try:
                data = await source.read(65_536)
            except OSError:
                data = b""
            queue.put_nowait((time.monotonic() + LATENCY, data))

    @staticmethod
    async def _bring(target: asyncio.StreamWriter, queue: asyncio.Queue[tuple[float, bytes]]) -> None:
        while True:
            due, data = await queue.get()
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            if not data:
                target.close()
                return
            target.write(data)


async def play(case: Case) -> list[str]:
    """Return what was broken."""

    async def unused(call: Call) -> bytes:
        raise CaseError(f"not used for {call.ids}")

    endpoint = CopyingEndpoint(case.record, "s-1", DESTINATION, unused)
    await endpoint.start()
    case.endpoints.append(endpoint)
    network = Network(endpoint.port)
    await network.start()
    case.platform.hosts["s-1"] = endpoint.entry() | {"dial": f"{HOST}:{network.port}"}
    courier = case.courier(settings([message_class("order-payment", "by_key", in_order=True)]))
    courier.write_config()
    courier.start()
    await courier.wait_ready()
    messages = [f"9b1f03aa5c7e{number:04x}" for number in range(1, MESSAGE_COUNT + 1)]
    for message in messages:
        client = await Client(case.record, courier.port).open()
        answer = await client.hand_in(
            message, "order-payment", DESTINATION, key=KEY, left_ms=int(1000 * LEFT)
        )
        client.close()
        if not answer.startswith(b"+OK"):
            raise CaseError(f"{message} was not taken on")
    await asyncio.sleep(LEFT + LOST_AFTER + 0.5)
    if TROUBLE and "second copy" not in (case.record.folder / "record.txt").read_text():
        raise CaseError("no second copy was sent")
    noticed = {message for _, message, _ in case.platform.notices}
    broken = []
    for message in messages:
        answers = [call.answer[9:12].decode() for call in runs_of([endpoint], message)]
        if "200" not in answers and message not in noticed:
            broken.append(f"{message} was taken on, its calls were answered {answers}, and it never ended")
    return broken


main(__file__, play)
