"""The journal's files on a disk, and the lock that keeps a second gateway out."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

from coralvale.attempts.model import JournalError

LOCK = "lock"


class Opened:
    """A file that is appended to."""

    def __init__(self, path: str) -> None:
        self.number = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)

    def write(self, data: bytes) -> None:
        left = memoryview(data)
        while left:
            left = left[os.write(self.number, left) :]

    def sync(self) -> None:
        os.fdatasync(self.number)

    def close(self) -> None:
        if self.number >= 0:
            number, self.number = self.number, -1
            os.close(number)


class Folder:
    """A directory of one gateway's journal; with `lock` nobody else may have it, until `close`.

    Raises JournalError if another process has it, OSError if it cannot be made.
    """

    def __init__(self, path: str, lock: bool = True) -> None:
        self.path, self.number = Path(path), -1
        if lock:
            self.path.mkdir(parents=True, exist_ok=True)
            self.number = os.open(self.path / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            try:
                fcntl.flock(self.number, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                os.close(self.number)
                raise JournalError(f"{path}: another gateway has this journal") from None

    def close(self) -> None:
        if self.number >= 0:
            os.close(self.number)
            self.number = -1

    def names(self) -> list[str]:
        return os.listdir(self.path)

    def read(self, name: str) -> bytes:
        return (self.path / name).read_bytes()

    def size(self, name: str) -> int:
        return (self.path / name).stat().st_size

    def create(self, name: str) -> Opened:
        return Opened(str(self.path / name))

    def rename(self, name: str, new: str) -> None:
        os.replace(self.path / name, self.path / new)
        number = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(number)
        finally:
            os.close(number)

    def remove(self, name: str) -> None:
        os.unlink(self.path / name)
