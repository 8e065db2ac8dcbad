"""Names of stations and programmes, from a table of the operator's own. Ids are those of the wire.

[stations]
"0000000000000101" = "Radio [Ceibo]"

[programmes]                        # by the target of the request, without its query
"/api/episodes/17" = "Atahualpa, \\"el de siempre\\""
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

MOST = 4 * 1024 * 1024  # bytes of the file


class NamesError(ValueError):
    """The table cannot be used; one line: file, place, what was expected."""


@dataclass(frozen=True)
class Names:
    stations: Mapping[str, str] = field(default_factory=dict)
    programmes: Mapping[str, str] = field(default_factory=dict)


def parse(name: str, text: str) -> Names:
    """Reads a table; `name` is its file's, for errors. Raises NamesError."""
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise NamesError(f"{name}: no TOML: {error}") from None
    if unknown := set(data) - {"stations", "programmes"}:
        raise NamesError(f"{name}: {min(unknown)}: expected [stations] and [programmes]")
    for table, rows in data.items():
        if not isinstance(rows, dict):
            raise NamesError(f"{name}: {table}: expected a table")
        for key, value in rows.items():
            if not isinstance(value, str):
                raise NamesError(f"{name}: {table}.{key}: expected a text")
            if table == "stations" and (len(key) != 16 or set(key) - set("0123456789abcdef")):
                raise NamesError(f"{name}: stations: expected 16 hex digits, got {key!r}")
    return Names(data.get("stations", {}), data.get("programmes", {}))


def read(path: str) -> Names:
    """The table at `path`; an empty path is an empty table. Raises NamesError."""
    if not path:
        return Names()
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise NamesError(f"{path}: {error.strerror}") from None
    if len(data) > MOST:
        raise NamesError(f"{path}: {len(data)} bytes, at most {MOST}")
    try:
        return parse(path, data.decode())
    except UnicodeDecodeError as error:
        raise NamesError(f"{path}: no UTF-8 at byte {error.start}") from None
