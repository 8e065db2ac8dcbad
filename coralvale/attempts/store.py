"""The directory of a journal, and the lock that excludes a second gateway."""

from __future__ import annotations

from coralvale import disk
from coralvale.attempts.model import JournalError
from coralvale.disk import LOCK, AppendFile

__all__ = ["LOCK", "Folder", "AppendFile"]


class Folder(disk.Folder):
    """The directory of one gateway's journal; with `lock`, other processes are excluded until `close`.

    Raises JournalError if another process has locked it, OSError if it cannot be created.
    """

    def __init__(self, path: str, lock: bool = True) -> None:
        try:
            super().__init__(path, lock)
        except disk.FolderInUseError:
            raise JournalError(f"{path}: another gateway has this journal") from None
