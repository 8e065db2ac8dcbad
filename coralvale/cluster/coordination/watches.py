"""Watches waiting at the leader for the next put in their group."""

from __future__ import annotations

from attrs import frozen

MAX_WATCHES = 2048  # waiting at the same time


@frozen
class WaitingWatch:
    """A waiting watch. `deadline`: in s of the monotonic clock, when it is answered without events."""

    token: int
    group: str
    after: int
    deadline: float


class Watches:
    """The waiting watches, by group."""

    def __init__(self) -> None:
        self.by_group: dict[str, list[WaitingWatch]] = {}
        self.count = 0

    @property
    def full(self) -> bool:
        return self.count >= MAX_WATCHES

    def add(self, watch: WaitingWatch) -> None:
        self.by_group.setdefault(watch.group, []).append(watch)
        self.count += 1

    def take_group(self, group: str) -> list[WaitingWatch]:
        """Removes and returns the watches of a group."""
        taken = self.by_group.pop(group, [])
        self.count -= len(taken)
        return taken

    def take_expired(self, now: float) -> list[WaitingWatch]:
        """Removes and returns the watches whose deadline has passed."""
        due = [watch for waiting in self.by_group.values() for watch in waiting if now >= watch.deadline]
        if due:
            self._remove({watch.token for watch in due})
        return due

    def take_all(self) -> list[WaitingWatch]:
        """Removes and returns all watches."""
        taken = [watch for waiting in self.by_group.values() for watch in waiting]
        self.by_group.clear()
        self.count = 0
        return taken

    def _remove(self, tokens: set[int]) -> None:
        kept = {
            group: [watch for watch in waiting if watch.token not in tokens]
            for group, waiting in self.by_group.items()
        }
        self.by_group = {group: waiting for group, waiting in kept.items() if waiting}
        self.count = sum(len(waiting) for waiting in self.by_group.values())
