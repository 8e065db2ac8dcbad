"""The part of one tenant's quota that this gateway owns: a token bucket that begins empty.

Nothing here depends on what other gateways say: whatever is late, lost or cut off, the sum of what all such
buckets let through stays within the quota's rule (`quota`). A process that starts knows nothing of what the one
before it let through, so its bucket begins empty, and fills as the one before it did.

A token that was taken out may be put back for `GRANT_LIFE`. For as long it keeps its place in the bucket, which
fills up to its depth less those; so a token that comes back is never one more than the depth holds.
"""

from __future__ import annotations

from collections import deque

from attrs import define

from coralvale.cluster.rate_limit.quota import GRANT_LIFE, BucketSize


@define
class Taken:
    """Tokens taken out at a moment."""

    at: float
    count: int


class Escrow:
    def __init__(self, now: float, since: float, allowed: bool = False) -> None:
        """`since`: since when what is owned here has been owned here, by this process. `allowed`: it begins with
        the quota's allowance."""
        self.at, self.allowed = min(now, since), allowed
        self.depth = self.fill = self.tokens = 0.0
        self.recent: deque[Taken] = deque()
        self.places = 0  # of the recent
        self.begun = False

    def settle(self, now: float, size: BucketSize) -> None:
        """The quota, or what of it is owned here, is another from now on. Less of it takes tokens along, more of
        it brings none."""
        if self.begun:
            self._refill(now)
        elif self.allowed:
            self.tokens = size.allowance
        self.begun = True
        if size.depth < self.depth:
            self.tokens *= size.depth / self.depth
        self.depth, self.fill = size.depth, size.fill

    def _refill(self, now: float) -> None:
        while self.recent and now - self.recent[0].at > GRANT_LIFE:
            self.places -= self.recent.popleft().count
        if now > self.at:
            most = max(self.tokens, self.depth - self.places)
            self.tokens = min(most, self.tokens + self.fill * (now - self.at))
            self.at = now

    def available(self, now: float) -> float:
        self._refill(now)
        return self.tokens

    def take(self, now: float, most: int) -> int:
        """Takes up to `most` whole tokens out, to be used here or granted to another; how many."""
        self._refill(now)
        taken = min(most, int(self.tokens))
        if taken:
            self.tokens -= taken
            self.places += taken
            self.recent.append(Taken(now, taken))
        return taken

    def put_back(self, now: float, taken_at: float, count: int) -> None:
        """Tokens that were taken out at a moment and not used; those of too long ago count as used."""
        self._refill(now)
        for taken in self.recent:
            if taken.at == taken_at:
                count = min(count, taken.count)
                taken.count -= count
                self.places -= count
                self.tokens += count
                return

    def wait(self) -> float:
        """Seconds until a whole token is there, from the last refill on; inf where none ever is."""
        if self.depth < 1 or not self.fill:
            return float("inf")
        return max(0.0, (1 - self.tokens) / self.fill)


@define
class Granted:
    """Tokens that another gateway granted, until they end."""

    until: float
    count: int


class Stock:
    """Granted tokens that nobody has used yet; those that end first go first."""

    def __init__(self) -> None:
        self.granted: deque[Granted] = deque()

    def add(self, until: float, count: int) -> None:
        if count > 0:
            self.granted.append(Granted(until, count))

    def take(self, now: float) -> bool:
        """Uses one; whether there was one."""
        while self.granted:
            first = self.granted[0]
            if first.until <= now or not first.count:
                self.granted.popleft()
                continue
            first.count -= 1
            return True
        return False
