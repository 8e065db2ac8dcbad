"""Files of a folder that one process has, and records in them that carry their own check.

  record   MARK, length (4 bytes, little-endian), CRC-32 of length and payload (4), payload

A damaged record is skipped up to the next position at which a whole one begins: MARK finds candidates, length and
checksum decide. Files are always an argument of what decides (the journal of attempts, the spool), so that a test
can put a faulty folder in their place.
"""

from __future__ import annotations

import fcntl
import os
import struct
import zlib
from pathlib import Path
from typing import Protocol

LOCK = "lock"
MARK = b"\xf5\xa7"
HEADER, LENGTH = struct.Struct("<2sII"), struct.Struct("<I")


class FolderInUseError(OSError):
    """Another process has this folder."""


def encode_record(payload: bytes) -> bytes:
    """A record that holds a payload."""
    length = LENGTH.pack(len(payload))
    return HEADER.pack(MARK, len(payload), zlib.crc32(payload, zlib.crc32(length))) + payload


def read_record(data: bytes, offset: int, max_length: int) -> tuple[bytes, int] | None:
    """The payload of the whole record that begins at `offset`, and where it ends; None if none does."""
    if len(data) - offset < HEADER.size:
        return None
    mark, length, check = HEADER.unpack_from(data, offset)
    end = offset + HEADER.size + length
    if mark != MARK or length > max_length or end > len(data):
        return None
    payload = data[offset + HEADER.size : end]
    return (payload, end) if zlib.crc32(payload, zlib.crc32(LENGTH.pack(length))) == check else None


def find_record(data: bytes, offset: int, max_length: int) -> int:
    """Where the next whole record behind `offset` begins; -1 if none does."""
    after = offset + 1
    while (after := data.find(MARK, after)) >= 0 and read_record(data, after, max_length) is None:
        after += 1
    return after


class AppendFile:
    """A file that is appended to."""

    def __init__(self, path: str) -> None:
        self.fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)

    def write(self, data: bytes) -> None:
        left = memoryview(data)
        while left:
            left = left[os.write(self.fd, left) :]

    def sync(self) -> None:
        os.fdatasync(self.fd)

    def close(self) -> None:
        if self.fd >= 0:
            fd, self.fd = self.fd, -1
            os.close(fd)


class AppendableFile(Protocol):
    """What `AppendFile` does, for folders of tests."""

    def write(self, data: bytes) -> None: ...

    def sync(self) -> None: ...

    def close(self) -> None: ...


class Files(Protocol):
    """What `Folder` does, for folders of tests. Every call may raise OSError."""

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def read_from(self, name: str, offset: int, size: int) -> bytes: ...

    def size(self, name: str) -> int: ...

    def create(self, name: str) -> AppendableFile: ...

    def replace(self, name: str, data: bytes) -> None: ...

    def rename(self, name: str, new: str) -> None: ...

    def remove(self, name: str) -> None: ...


class Folder:
    """A directory; with `lock` no other process may have it, until `close`.

    Raises FolderInUseError if another process has it, OSError if it cannot be made.
    """

    def __init__(self, path: str, lock: bool = True) -> None:
        self.path, self.fd = Path(path), -1
        if lock:
            self.path.mkdir(parents=True, exist_ok=True)
            self.fd = os.open(self.path / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            try:
                fcntl.flock(self.fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                os.close(self.fd)
                raise FolderInUseError(f"{path}: another process has this folder") from None

    def close(self) -> None:
        if self.fd >= 0:
            os.close(self.fd)
            self.fd = -1

    def names(self) -> list[str]:
        return os.listdir(self.path)

    def read(self, name: str) -> bytes:
        return (self.path / name).read_bytes()

    def read_from(self, name: str, offset: int, size: int) -> bytes:
        """At most `size` bytes from `offset` on."""
        with (self.path / name).open("rb") as file:
            return os.pread(file.fileno(), size, offset)

    def size(self, name: str) -> int:
        return (self.path / name).stat().st_size

    def create(self, name: str) -> AppendFile:
        return AppendFile(str(self.path / name))

    def replace(self, name: str, data: bytes) -> None:
        """A small file's new contents, all or nothing."""
        opened = AppendFile(str(self.path / f"{name}.new"))
        try:
            opened.write(data)
        finally:
            opened.close()
        os.replace(self.path / f"{name}.new", self.path / name)

    def rename(self, name: str, new: str) -> None:
        os.replace(self.path / name, self.path / new)
        fd = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def remove(self, name: str) -> None:
        os.unlink(self.path / name)
