"""Decodes a large JSON body in steps, so that other threads run in between.

One call of msgspec holds the interpreter until it is done, which is seconds for a whole configuration of the
largest size. Here large tables are opened first, piece by piece, and their values decoded one by one. Result and
errors are those of one call: later entries of the same name count, and what cannot be read raises the same
exceptions.

A piece of a table is a run of whole members, `"name": {...}, "name": {...}`. Where one ends is guessed from the
text behind it, and holds if the run is a table once it stands in braces: a text that was cut within a member is
none, as a brace or a quotation mark of it is open.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from itertools import islice
from typing import Any

import msgspec
from msgspec import Raw

STEP_BYTES = 64 * 1024  # decoded in one call, well below a millisecond
PIECE_BYTES = 512 * 1024  # opened in one call, some milliseconds
OPENED_LEVELS = 3  # the body, `Upsert` in it, a section: items are decoded whole
MAX_GUESSES = 8  # of the end of a piece; then the rest of the table is opened in one call
_FIRST_BYTES = 16  # in which a table begins, unless it is preceded by more blanks
_NEXT_MEMBER = re.compile(rb'\}[ \t\r\n]*,[ \t\r\n]*(?=")')

_decode_any = msgspec.json.Decoder().decode
_decode_fields = msgspec.json.Decoder(dict[str, Raw]).decode


def decode_stepwise(body: bytes) -> Any:  # noqa: ANN401
    """The value of a JSON text.

    Raises msgspec.DecodeError, UnicodeDecodeError or RecursionError where it cannot be read.
    """
    return _decode(body, OPENED_LEVELS)


def open_table(text: bytes | Raw) -> dict[str, Raw]:
    """The values of a table, not decoded.

    Raises msgspec.DecodeError or UnicodeDecodeError where it cannot be read, or is no table.
    """
    if memoryview(text).nbytes <= PIECE_BYTES or not _begins_table(text):
        return _decode_fields(text)
    whole = bytes(text).strip(b" \t\r\n")
    if not whole.endswith(b"}"):
        return _decode_fields(text)
    table: dict[str, Raw] = {}
    for fields in _pieces(whole[1:-1]):
        table.update(fields)
    return table


def _pieces(members: bytes) -> Iterator[dict[str, Raw]]:
    """The members of a table by pieces. Raises as `open_table`."""
    start = 0
    while len(members) - start > PIECE_BYTES:
        for guess in islice(_NEXT_MEMBER.finditer(members, start + PIECE_BYTES), MAX_GUESSES):
            try:
                piece = _decode_fields(b"{" + members[start : guess.start() + 1] + b"}")
            except (msgspec.DecodeError, UnicodeDecodeError):
                continue
            start = guess.end()
            yield piece
            break
        else:
            break
    yield _decode_fields(b"{" + members[start:] + b"}")


def _decode(text: bytes | Raw, levels: int) -> Any:  # noqa: ANN401
    if not levels or memoryview(text).nbytes <= STEP_BYTES or not _begins_table(text):
        return _decode_any(text)
    return {name: _decode(raw, levels - 1) for name, raw in open_table(text).items()}


def _begins_table(text: bytes | Raw) -> bool:
    return bytes(memoryview(text)[:_FIRST_BYTES]).lstrip()[:1] == b"{"
