"""Files that can stop at any operation, tear the last write, and drop what was not synced."""

from __future__ import annotations

import random
from dataclasses import dataclass, field


class Crash(Exception):
    """The machine stops here."""


@dataclass
class Content:
    data: bytearray = field(default_factory=bytearray)
    synced: int = 0


@dataclass
class Disk:
    """`stop_at`: the operation at which it crashes, halfway through if it is a write. `full`, `bad`: errors."""

    files: dict[str, Content] = field(default_factory=dict)
    stop_at: int = -1
    operations: int = 0
    full: bool = False  # writes fail in the middle
    bad: bool = False  # syncs fail, and lose what they should have made durable

    def step(self) -> bool:
        """Counts an operation; whether it is the one that the machine stops at."""
        self.operations += 1
        return self.operations - 1 == self.stop_at

    def names(self) -> list[str]:
        return list(self.files)

    def read(self, name: str) -> bytes:
        return bytes(self.files[name].data)

    def size(self, name: str) -> int:
        return len(self.files[name].data)

    def create(self, name: str) -> Handle:
        if self.step():
            raise Crash
        if self.full:
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

    def after(self, lots: random.Random) -> Disk:
        """What is found after a crash: of what was not synced nothing, a part, or all, and perhaps garbage."""
        left = Disk()
        for name, content in self.files.items():
            kept = lots.choice(
                [content.synced, len(content.data), lots.randint(content.synced, len(content.data))]
            )
            data = content.data[:kept]
            if kept > content.synced and lots.random() < 0.3:  # a page of it was written, another was not
                place = lots.randrange(content.synced, kept)
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
        if self.disk.full:
            self.content.data += data[: len(data) // 2]
            raise OSError(28, "No space left on device")
        self.content.data += data

    def sync(self) -> None:
        if self.disk.step():
            raise Crash
        if self.disk.bad:
            del self.content.data[self.content.synced :]  # the pages are dropped, and the next sync is happy
            raise OSError(5, "Input/output error")
        self.content.synced = len(self.content.data)

    def close(self) -> None:
        pass
