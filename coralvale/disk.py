"""Access to a folder that one process locks, and checksummed records within its files.

Layout of a record:

  record   MARK, length (4 bytes, little-endian), CRC-32 of length and payload (4), payload

A damaged record is skipped up to the next position at which a valid one begins: MARK finds candidates, length
and checksum decide. The code that uses files (the journal of attempts, the spool) takes the folder as an
argument, so that a test can pass a faulty one.
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
    """Another process has locked this folder."""


def encode_record(payload: bytes) -> bytes:
    """A record with this payload."""
    length = LENGTH.pack(len(payload))
    return HEADER.pack(MARK, len(payload), zlib.crc32(payload, zlib.crc32(length))) + payload


def read_record(data: bytes, offset: int, max_length: int) -> tuple[bytes, int] | None:
    """The payload of the valid record at `offset`, and the offset of its end; None if there is none.

    `max_length`: bytes of the longest payload that is accepted.
    """
    if len(data) - offset < HEADER.size:
        return None
    mark, length, check = HEADER.unpack_from(data, offset)
    end = offset + HEADER.size + length
    if mark != MARK or length > max_length or end > len(data):
        return None
    payload = data[offset + HEADER.size : end]
    return (payload, end) if zlib.crc32(payload, zlib.crc32(LENGTH.pack(length))) == check else None


def find_record(data: bytes, offset: int, max_length: int) -> int:
    """Offset of the next valid record after `offset`, -1 if there is none."""
    after = offset + 1
    while (after := data.find(MARK, after)) >= 0 and read_record(data, after, max_length) is None:
        after += 1
    return after


class AppendFile:
    """A new file, opened for appending."""

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
    """The interface of `AppendFile`, also implemented by test doubles."""

    def write(self, data: bytes) -> None: ...

    def sync(self) -> None: ...

    def close(self) -> None: ...


class Files(Protocol):
    """The interface of `Folder`, also implemented by test doubles. Every call may raise OSError."""

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def read_from(self, name: str, offset: int, size: int) -> bytes: ...

    def size(self, name: str) -> int: ...

    def create(self, name: str) -> AppendableFile: ...

    def replace(self, name: str, data: bytes) -> None: ...

    def rename(self, name: str, new: str) -> None: ...

    def remove(self, name: str) -> None: ...


class Folder:
    """A directory; with `lock`, other processes are excluded until `close`.

    Raises FolderInUseError if another process has locked it, OSError if it cannot be created.
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
        """Replaces the contents of a small file atomically."""
        opened = AppendFile(str(self.path / f"{name}.new"))
        try:
            opened.write(data)
        finally:
            opened.close()
        os.replace(self.path / f"{name}.new", self.path / name)

    def rename(self, name: str, new: str) -> None:
        """Renames a file, and syncs the directory."""
        os.replace(self.path / name, self.path / new)
        fd = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def remove(self, name: str) -> None:
        os.unlink(self.path / name)
