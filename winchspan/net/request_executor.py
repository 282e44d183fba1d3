"""Executes the requests of one client connection, up to a limit in each dispatch cycle."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final, Protocol

from loguru import logger

from winchspan.delivery.errors import BadRequestError, RejectedError
from winchspan.delivery.ports import ReplicationPort
from winchspan.net import resp
from winchspan.net.receive_buffer import ReceiveBuffer
from winchspan.net.submit_request import MessageIntake, parse_submit

MAX_REQUESTS_PER_CYCLE: Final = 16
"""Most requests of one connection that are answered before other connections are served."""


MAX_PING_BYTES: Final = 1024
"""Longest word that `PING` returns; replies that a client does not read occupy memory."""


class RequestContext(Protocol):
    """The parts of the courier that requests use."""

    intake: MessageIntake
    replication: ReplicationPort | None
    is_out_of_service: bool

    def format_rejection(self, rejection: RejectedError) -> str:
        """Return the text of the error reply to a rejected message."""


@dataclass(slots=True)
class RequestBatch:
    """The requests of one dispatch cycle.

    Attributes:
        replies: pieces of the replies, in order.
        handles: handles of the accepted messages.
        reply_ends: for each of them, the offset in bytes at which its reply ends.
        size: length of the replies to requests, in bytes.
        request_count: number of executed requests.
        is_protocol_broken: whether the input violates the protocol, so that no further request can be read.
        is_replicating: whether the last reply waits for the replication of its message.
    """

    replies: list[bytes] = field(default_factory=list)
    handles: list[int] = field(default_factory=list)
    reply_ends: list[int] = field(default_factory=list)
    size: int = 0
    request_count: int = 0
    is_protocol_broken: bool = False
    is_replicating: bool = False


class RequestExecutor:
    """Reads requests from a receive buffer and executes them.

    Attributes:
        bad_request_count: number of bad requests.
    """

    __slots__ = ("_context", "_parser", "bad_request_count")

    def __init__(self, context: RequestContext) -> None:
        self._context = context
        self._parser = resp.RequestParser()
        self.bad_request_count = 0

    @property
    def has_partial_request(self) -> bool:
        """Whether the parser has read a part of a request."""
        return self._parser.has_partial_request

    def execute_batch(self, buffer: ReceiveBuffer, age_ms: float, *, may_submit: bool = True) -> RequestBatch:
        """Execute complete requests, up to the limit of one dispatch cycle.

        Args:
            buffer: the received bytes.
            age_ms: upper bound on the time since the client sent them.
            may_submit: whether messages may be accepted; otherwise they are rejected.
        """
        batch = RequestBatch()
        try:
            while batch.request_count < MAX_REQUESTS_PER_CYCLE and not batch.is_replicating:
                request = self._parser.next_request(buffer.data, buffer.start, buffer.end)
                if request is None:
                    break
                words, buffer.start = request
                pieces = self._execute(words, batch, age_ms, may_submit=may_submit)
                batch.replies.extend(pieces)
                batch.size += sum(map(len, pieces))
                batch.reply_ends.extend([batch.size] * (len(batch.handles) - len(batch.reply_ends)))
                batch.request_count += 1
        except resp.RespProtocolError as err:
            logger.debug("client connection: {}", err)
            batch.replies.append(resp.error_reply(f"ERR Protocol error: {err}"))
            batch.is_protocol_broken = True
        return batch

    def _execute(
        self, words: list[bytes], batch: RequestBatch, age_ms: float, *, may_submit: bool
    ) -> tuple[bytes, ...]:
        """Execute one request and return the pieces of its reply; add the handle of an accepted message."""
        command = words[0].upper()
        try:
            if command == b"SUBMIT" and not may_submit:
                raise RejectedError(0.0, "its client has closed the connection")
            if command == b"SUBMIT":
                batch.handles.append(parse_submit(words, self._context.intake, age_ms))
                batch.is_replicating = self._context.replication is not None
                return (resp.simple_string("OK"),)
            if command == b"PING" and self._context.is_out_of_service:
                return (resp.error_reply("BUSY out of service"),)
            if command == b"PING":
                if len(words[-1]) > MAX_PING_BYTES:
                    raise BadRequestError("the word of PING is too long")
                return resp.bulk_string(words[1]) if len(words) > 1 else (resp.simple_string("PONG"),)
            raise BadRequestError(f"unknown command {words[0][:32].decode('latin-1')!r}")
        except RejectedError as rejection:
            return (resp.error_reply(self._context.format_rejection(rejection)),)
        except BadRequestError as err:
            self.bad_request_count += 1
            return (resp.error_reply(f"ERR {err}"),)
        except Exception:  # a bug must not close every client's connection
            logger.exception("unexpected error while executing a request")
            return (resp.error_reply("ERR internal error"),)
