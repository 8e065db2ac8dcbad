"""Lock leases, measured by the monotonic clock of the leader of one view.

Leases are neither stored nor replicated. A caller counts its hold time from sending its call, the leader from
the call's arrival, so the lease at the leader never ends first. A newly elected leader counts from the time
at which it had applied the whole log: every renewal that an earlier leader acknowledged was sent before that,
because a majority still answered that leader after the renewal had arrived.
"""

from __future__ import annotations

from coralvale.cluster.coordination.state import Lock

CLOCK_DRIFT_MARGIN_S = 0.05  # drift allowed between the monotonic clocks of two machines during one hold


class Leases:
    """Leases at the leader of one view, from the time at which it may answer calls. Times are in s."""

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.ends: dict[str, tuple[int, float]] = {}  # by lock: fence, and end of the lease
        self.extended_at: dict[str, float] = {}  # by lock: time of the last grant or renewal

    def extend(self, now: float, name: str, fence: int, hold_ms: int) -> None:
        """Records a grant or renewal at `now` for `hold_ms`; a shorter renewal does not shorten the lease."""
        known, end = self.ends.get(name, (0, 0.0))
        fresh = now + hold_ms / 1000
        self.ends[name] = (fence, max(end, fresh) if known == fence else fresh)
        self.extended_at[name] = now

    def end(self, name: str, lock: Lock) -> float:
        """When the lease is over for certain, whatever this or an earlier leader acknowledged."""
        fence, end = self.ends.get(name, (0, 0.0))
        earlier_leaders = self.started_at + lock.hold_ms / 1000
        return max(earlier_leaders, end if fence == lock.fence else 0.0) + CLOCK_DRIFT_MARGIN_S

    def expired(self, now: float, name: str, lock: Lock) -> bool:
        return now >= self.end(name, lock)

    def last_renewed_at(self, name: str, lock: Lock) -> float | None:
        """When the lock was last granted or renewed under its fence; None if not in this view."""
        fence, _ = self.ends.get(name, (0, 0.0))
        return self.extended_at[name] if fence == lock.fence else None

    def forget(self, name: str) -> None:
        self.ends.pop(name, None)
        self.extended_at.pop(name, None)
