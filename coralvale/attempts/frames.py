"""Format of a segment: a header, then records, each with its length and checksum. No I/O.

  header   MAGIC, version (2 bytes), segment number (4), CRC-32 of these (4)
  record   a record of `coralvale.disk`; its payload is a JSON list that starts with the type code

Numbers are little-endian. A damaged record is skipped up to the next position at which a valid one begins.
Bytes at the end that are not a valid record are a torn tail.
"""

from __future__ import annotations

import json
import struct
import zlib
from dataclasses import dataclass, field

from coralvale import disk
from coralvale.attempts.model import Answered, Checkpoint, End, Ended, Intent, JournalError, Record

MAGIC, VERSION = b"\x89ATT\r\n\x1a\n", 1
HEADER = struct.Struct("<8sHII")
MAX_RECORD_BYTES = 16 * 1024
RECORD_TYPES: dict[str, type] = {"i": Intent, "e": Ended, "a": Answered, "c": Checkpoint}
TYPE_CODES = {kind: letter for letter, kind in RECORD_TYPES.items()}


def header(number: int) -> bytes:
    """The header of the segment with this number."""
    start = HEADER.pack(MAGIC, VERSION, number, 0)[:-4]
    return start + struct.pack("<I", zlib.crc32(start))


def encode(record: Record) -> bytes:
    """The bytes of a record in a segment. Raises ValueError if its payload exceeds MAX_RECORD_BYTES."""
    fields = [getattr(record, name) for name in record.__dataclass_fields__]
    fields = [value.value if isinstance(value, End) else value for value in fields]
    payload = json.dumps([TYPE_CODES[type(record)], *fields], separators=(",", ":")).encode()
    if len(payload) > MAX_RECORD_BYTES:
        raise ValueError(f"a record of {len(payload)} bytes, at most {MAX_RECORD_BYTES}")
    return disk.encode_record(payload)


def _decode(payload: bytes) -> Record | None:
    """The record, or None if this version does not know its type."""
    letter, *fields = json.loads(payload)
    kind = RECORD_TYPES.get(letter)
    if kind is None:
        return None
    if kind is Ended:
        fields[-1] = End(fields[-1])
    record: Record = kind(*fields)
    return record


@dataclass
class SegmentContents:
    """What was read from a segment."""

    number: int
    records: list[Record] = field(default_factory=list)
    damaged: list[tuple[int, int]] = field(default_factory=list)  # skipped byte ranges: from, to
    torn_bytes: int = 0  # at the end of the segment, not a valid record
    checkpoint_index: int = -1  # index of the last checkpoint in `records`; -1: none


def scan_segment(name: str, data: bytes) -> SegmentContents:
    """Parses a segment. Raises JournalError if it is not a segment or has a newer format."""
    if len(data) < HEADER.size:
        raise JournalError(f"{name}: no journal: {len(data)} bytes")
    magic, version, number, check = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise JournalError(f"{name}: no journal")
    if version > VERSION:
        raise JournalError(
            f"{name}: format {version}, this program knows {VERSION}: it must not be written to"
        )
    if zlib.crc32(data[: HEADER.size - 4]) != check:
        raise JournalError(f"{name}: the header is damaged")
    found, at = SegmentContents(number), HEADER.size
    while at < len(data):
        if (read := disk.read_record(data, at, MAX_RECORD_BYTES)) is not None:
            payload, at = read
            if (record := _decode(payload)) is not None:
                if isinstance(record, Checkpoint):
                    found.checkpoint_index = len(found.records)
                found.records.append(record)
            continue
        after = disk.find_record(data, at, MAX_RECORD_BYTES)
        if after < 0:
            found.torn_bytes = len(data) - at
            break
        found.damaged.append((at, after))
        at = after
    return found
