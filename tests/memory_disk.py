"""An in-memory folder with limited space, for tests."""

from __future__ import annotations

import errno


class Disk:
    """An in-memory folder. It takes `room` more bytes, then part of a write, and raises ENOSPC."""

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}
        self.room = 1 << 40

    def names(self) -> list[str]:
        return list(self.files)

    def read(self, name: str) -> bytes:
        if name not in self.files:
            raise FileNotFoundError(errno.ENOENT, "no such file")
        return self.files[name]

    def read_from(self, name: str, offset: int, size: int) -> bytes:
        return self.read(name)[offset : offset + size]

    def size(self, name: str) -> int:
        return len(self.read(name))

    def put(self, name: str, data: bytes) -> None:
        kept = data[: max(0, self.room)]
        self.room -= len(kept)
        self.files[name] = self.files.get(name, b"") + kept
        if len(kept) < len(data):
            raise OSError(errno.ENOSPC, "No space left on device")

    def create(self, name: str) -> File:
        self.put(name, b"")
        return File(self, name)

    def replace(self, name: str, data: bytes) -> None:
        if self.room < len(data):
            raise OSError(errno.ENOSPC, "No space left on device")
        self.files[name] = data

    def rename(self, name: str, new: str) -> None:
        self.files[new] = self.files.pop(name)

    def remove(self, name: str) -> None:
        self.room += len(self.files.pop(name))


class File:
    """A file of `Disk`, opened for appending."""

    def __init__(self, disk: Disk, name: str) -> None:
        self.disk, self.name = disk, name

    def write(self, data: bytes) -> None:
        self.disk.put(self.name, data)

    def sync(self) -> None:
        pass

    def close(self) -> None:
        pass
