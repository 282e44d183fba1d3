"""Format of record files, and selection of the current one of two files.

A file is a sequence of adjacent records:

    offset  bytes  content
    0       4      length of the payload, unsigned, little-endian
    4       4      CRC-32 of the payload, unsigned, little-endian
    8       n      payload: one line of compact JSON, a line feed, then the body (possibly empty)

A file that was written by compaction begins with `{"t":"file","gen":N}`, and its contents end with
`{"t":"whole","gen":N}`; records that are appended later follow. `N` is the file's generation, which increases
by one with each compaction. The first file of a directory has neither record: its generation is 0.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from enum import IntEnum
from pathlib import Path
from struct import Struct
from typing import Any, Final, NamedTuple
from zlib import crc32

MAX_PAYLOAD_BYTES: Final = 256 * 1024
_PREFIX: Final = Struct("<II")  # length and checksum of the payload
_HEADER_START: Final = b'{"t":"file"'


class Record(NamedTuple):
    """A record that was read from a file."""

    line: bytes  # JSON without the line feed
    body: bytes
    size_bytes: int  # in the file, prefix included


class FileSelection(NamedTuple):
    """The current and the stale one of two files."""

    generation: int
    current: Path
    stale: Path


class _Completeness(IntEnum):
    EMPTY = 0
    PARTIAL = 1
    COMPLETE = 2


class _FileRank(NamedTuple):
    """Order of preference between two files: the file with the greater rank is current."""

    completeness: _Completeness
    generation: int  # negative for a partial file: of two, the older one is preferred


def encode_record(fields: dict[str, Any], body: bytes = b"") -> bytes:
    """Encode a record in the file format."""
    payload = json.dumps(fields, separators=(",", ":")).encode() + b"\n" + body
    return _PREFIX.pack(len(payload), crc32(payload)) + payload


def iterate_records(data: bytes) -> Iterator[Record]:
    """Yield the records before the first one that is torn or corrupt."""
    offset = 0
    while offset + _PREFIX.size <= len(data):
        length, checksum = _PREFIX.unpack_from(data, offset)
        start = offset + _PREFIX.size
        payload = data[start : start + length]
        if length > MAX_PAYLOAD_BYTES or len(payload) < length or crc32(payload) != checksum:
            return
        line, _, body = payload.partition(b"\n")
        yield Record(line, body, _PREFIX.size + length)
        offset = start + length


def file_header(generation: int) -> bytes:
    """Encode the first record of a file written by compaction."""
    return encode_record({"t": "file", "gen": generation})


def completion_mark(generation: int) -> bytes:
    """Encode the record that marks a file as a complete replacement of its predecessor."""
    return encode_record({"t": "whole", "gen": generation})


def select_current_file(first: Path, second: Path) -> FileSelection:
    """Select the current file of two.

    The complete file with the higher generation is current. If a faulty disk has left no complete file, the
    one with the lower generation is current: the other one was still being written.
    """
    first_rank = _rank(first)
    second_rank = _rank(second)
    if second_rank > first_rank:
        return FileSelection(abs(second_rank.generation), second, first)
    return FileSelection(abs(first_rank.generation), first, second)


def _rank(path: Path) -> _FileRank:
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        data = b""
    if not data:
        return _FileRank(_Completeness.EMPTY, 0)
    generation = 0
    for record in iterate_records(data):
        is_header = record.line.startswith(_HEADER_START)
        if not generation and not is_header:
            return _FileRank(_Completeness.COMPLETE, 0)
        if is_header:
            generation = int(json.loads(record.line)["gen"])
        elif record.line == b'{"t":"whole","gen":%d}' % generation:
            return _FileRank(_Completeness.COMPLETE, generation)
    return _FileRank(_Completeness.PARTIAL, -generation)
