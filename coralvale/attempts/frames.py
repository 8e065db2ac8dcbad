"""The form of a segment: a header, then records, each with its length and checksum. No I/O.

  header   MAGIC, version (2 bytes), number of the segment (4), CRC-32 of these (4)
  record   a frame of `coralvale.disk`, whose payload is a list in JSON, its kind first

Numbers are little-endian. A record that is damaged is skipped up to the next place at which a whole one begins.
What stands at the end and is no whole record is a torn tail.
"""

from __future__ import annotations

import json
import struct
import zlib
from dataclasses import dataclass, field

from coralvale import disk
from coralvale.attempts.model import Answered, Checkpoint, End, Ended, Intent, JournalError, Record

MAGIC, VERSION = b"\x89ATT\r\n\x1a\n", 1
HEAD = struct.Struct("<8sHII")
MOST = 16 * 1024  # bytes of a record
KINDS: dict[str, type] = {"i": Intent, "e": Ended, "a": Answered, "c": Checkpoint}
LETTERS = {kind: letter for letter, kind in KINDS.items()}


def header(number: int) -> bytes:
    start = HEAD.pack(MAGIC, VERSION, number, 0)[:-4]
    return start + struct.pack("<I", zlib.crc32(start))


def frame(record: Record) -> bytes:
    """A record as it stands in a segment. Raises ValueError for one of more than MOST bytes."""
    fields = [getattr(record, name) for name in record.__dataclass_fields__]
    fields = [value.value if isinstance(value, End) else value for value in fields]
    payload = json.dumps([LETTERS[type(record)], *fields], separators=(",", ":")).encode()
    if len(payload) > MOST:
        raise ValueError(f"a record of {len(payload)} bytes, at most {MOST}")
    return disk.encode_record(payload)


def _record(payload: bytes) -> Record | None:
    """A record, or None for one of a kind that this version does not know."""
    letter, *fields = json.loads(payload)
    kind = KINDS.get(letter)
    if kind is None:
        return None
    if kind is Ended:
        fields[-1] = End(fields[-1])
    made: Record = kind(*fields)
    return made


@dataclass
class Scan:
    """What a segment holds."""

    number: int
    records: list[Record] = field(default_factory=list)
    damaged: list[tuple[int, int]] = field(default_factory=list)  # places that were skipped: from, to
    torn: int = 0  # bytes at the end that are no whole record
    checkpoint: int = -1  # index of the last whole one in `records`


def scan(name: str, data: bytes) -> Scan:
    """Reads a segment. Raises JournalError for a file that is none, or is of a newer format."""
    if len(data) < HEAD.size:
        raise JournalError(f"{name}: no journal: {len(data)} bytes")
    magic, version, number, check = HEAD.unpack_from(data)
    if magic != MAGIC:
        raise JournalError(f"{name}: no journal")
    if version > VERSION:
        raise JournalError(
            f"{name}: format {version}, this program knows {VERSION}: it must not be written to"
        )
    if zlib.crc32(data[: HEAD.size - 4]) != check:
        raise JournalError(f"{name}: the header is damaged")
    found, at = Scan(number), HEAD.size
    while at < len(data):
        if (read := disk.read_record(data, at, MOST)) is not None:
            payload, at = read
            if (record := _record(payload)) is not None:
                if isinstance(record, Checkpoint):
                    found.checkpoint = len(found.records)
                found.records.append(record)
            continue
        after = disk.find_record(data, at, MOST)
        if after < 0:
            found.torn = len(data) - at
            break
        found.damaged.append((at, after))
        at = after
    return found
