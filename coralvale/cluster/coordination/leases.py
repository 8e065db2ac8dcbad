"""How long the holders of locks may still hold them, by the steady clock of the leader of one view.

Nothing of it is on disk or replicated. A caller counts its time from when it sent its call; the leader from
when the call came, so the leader's end is never the earlier one. A leader that was elected later begins with
the moment at which it had applied all of the log: any renewal that an earlier leader acknowledged was sent
before that, since a majority had still answered that leader after the renewal came.
"""

from __future__ import annotations

from coralvale.cluster.coordination.state import Lock

CLOCK_MARGIN = 0.05  # s: steady clocks of two machines may run apart by this while a lock is held


class Leases:
    """Of the leader of one view, from the moment that it may answer."""

    def __init__(self, now: float) -> None:
        self.since = now
        self.ends: dict[str, tuple[int, float]] = {}  # by lock: its fence, and when its lease is over
        self.extended: dict[str, float] = {}  # by lock: when it was last

    def extend(self, now: float, name: str, fence: int, hold_ms: int) -> None:
        """A grant or a renewal has come at `now`."""
        known, end = self.ends.get(name, (0, 0.0))
        fresh = now + hold_ms / 1000
        self.ends[name] = (fence, max(end, fresh) if known == fence else fresh)
        self.extended[name] = now

    def end(self, name: str, lock: Lock) -> float:
        """When the holder's time is over, whatever it was told."""
        fence, end = self.ends.get(name, (0, 0.0))
        earlier_leaders = self.since + lock.hold_ms / 1000
        return max(earlier_leaders, end if fence == lock.fence else 0.0) + CLOCK_MARGIN

    def expired(self, now: float, name: str, lock: Lock) -> bool:
        return now >= self.end(name, lock)

    def renewed(self, name: str, lock: Lock) -> float | None:
        """When the lock was last granted or renewed under its fence, None if not in this view."""
        fence, _ = self.ends.get(name, (0, 0.0))
        return self.extended[name] if fence == lock.fence else None

    def forget(self, name: str) -> None:
        self.ends.pop(name, None)
        self.extended.pop(name, None)
