"""The folder of a journal, and the lock that keeps a second gateway out."""

from __future__ import annotations

from coralvale import disk
from coralvale.attempts.model import JournalError
from coralvale.disk import LOCK, AppendFile

__all__ = ["LOCK", "Folder", "AppendFile"]


class Folder(disk.Folder):
    """A directory of one gateway's journal; with `lock` nobody else may have it, until `close`.

    Raises JournalError if another process has it, OSError if it cannot be made.
    """

    def __init__(self, path: str, lock: bool = True) -> None:
        try:
            super().__init__(path, lock)
        except disk.FolderInUseError:
            raise JournalError(f"{path}: another gateway has this journal") from None
