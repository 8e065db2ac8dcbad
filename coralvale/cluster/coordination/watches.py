"""Watches that wait at the leader for the next put in their group."""

from __future__ import annotations

from attrs import frozen

MOST_WATCHES = 2048  # that wait at once


@frozen
class WaitingWatch:
    """`until`: when it is answered that there was nothing."""

    token: int
    group: str
    after: int
    until: float


class Watches:
    def __init__(self) -> None:
        self.by_group: dict[str, list[WaitingWatch]] = {}
        self.count = 0

    @property
    def full(self) -> bool:
        return self.count >= MOST_WATCHES

    def add(self, watch: WaitingWatch) -> None:
        self.by_group.setdefault(watch.group, []).append(watch)
        self.count += 1

    def take(self, group: str) -> list[WaitingWatch]:
        """Those of a group that has news; they do not wait any more."""
        taken = self.by_group.pop(group, [])
        self.count -= len(taken)
        return taken

    def take_due(self, now: float) -> list[WaitingWatch]:
        """Those whose time is up."""
        due = [watch for waiting in self.by_group.values() for watch in waiting if now >= watch.until]
        if due:
            self._keep({watch.token for watch in due})
        return due

    def take_all(self) -> list[WaitingWatch]:
        taken = [watch for waiting in self.by_group.values() for watch in waiting]
        self.by_group.clear()
        self.count = 0
        return taken

    def _keep(self, without: set[int]) -> None:
        kept = {
            group: [watch for watch in waiting if watch.token not in without]
            for group, waiting in self.by_group.items()
        }
        self.by_group = {group: waiting for group, waiting in kept.items() if waiting}
        self.count = sum(len(waiting) for waiting in self.by_group.values())
