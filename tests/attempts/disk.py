"""A simulated disk that can crash at any operation, tear the last write, and lose data that was not synced."""

from __future__ import annotations

import random
from dataclasses import dataclass, field


class Crash(Exception):
    """The simulated machine crashed at this operation."""


@dataclass
class Content:
    data: bytearray = field(default_factory=bytearray)
    synced: int = 0


@dataclass
class Disk:
    """Files in memory.

    `crash_at`: index of the operation at which it crashes, halfway through if it is a write; -1: never.
    """

    files: dict[str, Content] = field(default_factory=dict)
    crash_at: int = -1
    operations: int = 0
    writes_fail: bool = False  # writes fail in the middle
    sync_fails: bool = False  # syncs fail, and the unsynced data is lost

    def step(self) -> bool:
        """Counts an operation; returns whether the machine crashes at it."""
        self.operations += 1
        return self.operations - 1 == self.crash_at

    def names(self) -> list[str]:
        return list(self.files)

    def read(self, name: str) -> bytes:
        return bytes(self.files[name].data)

    def size(self, name: str) -> int:
        return len(self.files[name].data)

    def create(self, name: str) -> Handle:
        if self.step():
            raise Crash
        if self.writes_fail:
            raise OSError(28, "No space left on device")
        self.files[name] = Content()
        return Handle(self, self.files[name])

    def rename(self, name: str, new: str) -> None:
        if self.step():
            raise Crash
        self.files[new] = self.files.pop(name)

    def remove(self, name: str) -> None:
        if self.step():
            raise Crash
        del self.files[name]

    def after_crash(self, rng: random.Random) -> Disk:
        """The disk after a crash: of unsynced data nothing, a part, or all is left, perhaps partly zeroed."""
        left = Disk()
        for name, content in self.files.items():
            kept = rng.choice(
                [content.synced, len(content.data), rng.randint(content.synced, len(content.data))]
            )
            data = content.data[:kept]
            if kept > content.synced and rng.random() < 0.3:  # one page was written, the next was not
                place = rng.randrange(content.synced, kept)
                data[place:] = bytes(kept - place)
            left.files[name] = Content(bytearray(data), len(data))
        return left


@dataclass
class Handle:
    disk: Disk
    content: Content

    def write(self, data: bytes) -> None:
        if self.disk.step():
            self.content.data += data[: len(data) // 2]
            raise Crash
        if self.disk.writes_fail:
            self.content.data += data[: len(data) // 2]
            raise OSError(28, "No space left on device")
        self.content.data += data

    def sync(self) -> None:
        if self.disk.step():
            raise Crash
        if self.disk.sync_fails:
            del self.content.data[self.content.synced :]  # the pages are dropped, and the next sync succeeds
            raise OSError(5, "Input/output error")
        self.content.synced = len(self.content.data)

    def close(self) -> None:
        pass
