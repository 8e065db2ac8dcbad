"""The share of one tenant's quota that this gateway owns, as a token bucket that starts empty.

The bucket does not depend on messages from other gateways: when messages are late or lost or the network is
partitioned, the sum of what all such buckets admit stays within the quota's rule (`quota`). A new process
does not know what the previous one admitted, so its bucket starts empty and fills at the same rate.

A token that was taken may be put back for `GRANT_LIFETIME_S`. During that time its room in the bucket stays
reserved: the bucket fills only up to its depth less the reserved room, so that returned tokens never exceed
the depth.
"""

from __future__ import annotations

from collections import deque

from attrs import define

from coralvale.cluster.rate_limit.quota import GRANT_LIFETIME_S, BucketSize


@define
class Withdrawal:
    """Tokens taken out at one time; `count` is what has not been put back."""

    at: float
    count: int


class Escrow:
    """Token bucket of the locally owned share of one tenant's quota."""

    def __init__(self, now: float, since: float, with_allowance: bool = False) -> None:
        """`since`: when this process came to own the share, from which the bucket fills.

        `with_allowance`: the bucket starts with the quota's allowance instead of empty.
        """
        self.refilled_at, self.with_allowance = min(now, since), with_allowance
        self.depth = self.fill_rate = self.tokens = 0.0
        self.recent_withdrawals: deque[Withdrawal] = deque()
        self.reserved = 0  # tokens withdrawn recently that may still be put back
        self.started = False

    def resize(self, now: float, size: BucketSize) -> None:
        """Applies a new size of the share. A smaller depth scales the tokens down; a larger one adds none."""
        if self.started:
            self._refill(now)
        elif self.with_allowance:
            self.tokens = size.allowance
        self.started = True
        if size.depth < self.depth:
            self.tokens *= size.depth / self.depth
        self.depth, self.fill_rate = size.depth, size.fill_rate

    def _refill(self, now: float) -> None:
        while self.recent_withdrawals and now - self.recent_withdrawals[0].at > GRANT_LIFETIME_S:
            self.reserved -= self.recent_withdrawals.popleft().count
        if now > self.refilled_at:
            most = max(self.tokens, self.depth - self.reserved)
            self.tokens = min(most, self.tokens + self.fill_rate * (now - self.refilled_at))
            self.refilled_at = now

    def available(self, now: float) -> float:
        """Tokens in the bucket now, fractions included."""
        self._refill(now)
        return self.tokens

    def take(self, now: float, most: int) -> int:
        """Takes up to `most` whole tokens, for local use or a grant. Returns how many."""
        self._refill(now)
        taken = min(most, int(self.tokens))
        if taken:
            self.tokens -= taken
            self.reserved += taken
            self.recent_withdrawals.append(Withdrawal(now, taken))
        return taken

    def put_back(self, now: float, taken_at: float, count: int) -> None:
        """Puts back unused tokens taken at `taken_at`. After `GRANT_LIFETIME_S` they count as used."""
        self._refill(now)
        for taken in self.recent_withdrawals:
            if taken.at == taken_at:
                count = min(count, taken.count)
                taken.count -= count
                self.reserved -= count
                self.tokens += count
                return

    def wait(self) -> float:
        """Seconds from the last refill until a whole token is available; inf if there never will be one."""
        if self.depth < 1 or not self.fill_rate:
            return float("inf")
        return max(0.0, (1 - self.tokens) / self.fill_rate)


@define
class Grant:
    """Tokens that another gateway granted, which expire at `until`."""

    until: float
    count: int


class GrantPool:
    """Unused granted tokens; those that expire first are used first."""

    def __init__(self) -> None:
        self.grants: deque[Grant] = deque()

    def add(self, until: float, count: int) -> None:
        if count > 0:
            self.grants.append(Grant(until, count))

    def take(self, now: float) -> bool:
        """Uses one token that has not expired. False if there is none."""
        while self.grants:
            first = self.grants[0]
            if first.until <= now or not first.count:
                self.grants.popleft()
                continue
            first.count -= 1
            return True
        return False
