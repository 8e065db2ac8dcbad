"""Decodes a large JSON body in steps, so that other threads run in between.

One call of msgspec holds the interpreter until it is done, which is seconds for a whole configuration of the
largest size. Here large tables are opened first, and their values decoded one by one. Result and errors are
those of one call: later entries of the same name count, and what cannot be read raises the same exceptions.
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Raw

STEP_BYTES = 64 * 1024  # decoded in one call, well below a millisecond
OPENED_LEVELS = 3  # the body, `Upsert` in it, a section: items are decoded whole
_FIRST_BYTES = 16  # in which a table begins, unless it is preceded by more blanks

_decode_any = msgspec.json.Decoder().decode
_decode_fields = msgspec.json.Decoder(dict[str, Raw]).decode


def decode_stepwise(body: bytes) -> Any:  # noqa: ANN401
    """The value of a JSON text.

    Raises msgspec.DecodeError, UnicodeDecodeError or RecursionError where it cannot be read.
    """
    return _decode(body, OPENED_LEVELS)


def _decode(text: bytes | Raw, levels: int) -> Any:  # noqa: ANN401
    if not levels or not _is_large_table(text):
        return _decode_any(text)
    return {name: _decode(raw, levels - 1) for name, raw in _decode_fields(text).items()}


def _is_large_table(text: bytes | Raw) -> bool:
    view = memoryview(text)
    return view.nbytes > STEP_BYTES and bytes(view[:_FIRST_BYTES]).lstrip()[:1] == b"{"
