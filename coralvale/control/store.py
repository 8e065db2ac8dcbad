"""The saved state: one JSON file, replaced atomically, with a checksum that is checked on reading.

A file that is torn, changed or of another format is refused by name and the service starts without it; it is
kept beside as `roster.json.bad`, for a person to look at.
"""

from __future__ import annotations

import contextlib
import hashlib
import json
import os
from dataclasses import asdict, dataclass
from pathlib import Path

from coralvale.control.model import Host, StateError
from coralvale.control.snapshots import Kept

FORMAT = 1
FILE = "roster.json"


@dataclass(frozen=True, slots=True)
class Saved:
    """What outlives a restart: the roster last served, its index, and the versions of what was served."""

    version: int
    index: int | None
    hosts: tuple[Host, ...]
    kept: Kept


class Store:
    """The file in a directory of the operator's. Raises OSError if the directory cannot be made or written."""

    def __init__(self, folder: str) -> None:
        self.folder = Path(folder)
        self.path = self.folder / FILE
        self.folder.mkdir(parents=True, exist_ok=True)

    def load(self) -> Saved | None:
        """What was saved last; None if nothing was. Raises StateError for a file that cannot be used."""
        try:
            text = self.path.read_bytes()
        except FileNotFoundError:
            return None
        except OSError as error:
            raise StateError(f"{self.path}: {error.strerror}") from None
        try:
            return self._read(text)
        except (ValueError, KeyError, TypeError, AttributeError, IndexError) as error:
            with contextlib.suppress(OSError):
                os.replace(self.path, self.path.with_suffix(".json.bad"))
            raise StateError(f"{self.path}: {error or type(error).__name__}; starting without it") from None

    @staticmethod
    def _read(text: bytes) -> Saved:
        head, _, content = text.partition(b"\n")
        kind, number, digest = head.decode("ascii", "replace").split(" ")
        if kind != "coralvale-roster" or int(number) != FORMAT:
            raise ValueError(f"format {head[:40]!r}, expected coralvale-roster {FORMAT}")
        if hashlib.sha256(content).hexdigest() != digest:
            raise ValueError("its checksum does not fit its content")
        data = json.loads(content)
        kept = {
            kind: {name: (int(v), str(d)) for name, (v, d) in held.items()}
            for kind, held in data["kept"].items()
        }
        hosts = tuple(Host(**host) for host in data["hosts"])
        return Saved(int(data["version"]), data["index"], hosts, kept)

    def save(self, saved: Saved) -> None:
        """Replaces the file: a reader, or a start after a kill at any point, sees the old or the new one."""
        content = json.dumps(
            {
                "version": saved.version,
                "index": saved.index,
                "hosts": [asdict(host) for host in saved.hosts],
                "kept": saved.kept,
            }
        ).encode()
        head = f"coralvale-roster {FORMAT} {hashlib.sha256(content).hexdigest()}\n".encode()
        new = self.path.with_suffix(".json.new")
        with new.open("wb") as file:
            file.write(head + content)
            file.flush()
            os.fsync(file.fileno())
        os.replace(new, self.path)
        folder = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(folder)  # the rename itself
        finally:
            os.close(folder)
