"""Further tries of a service's requests, within a budget that all gateways share without asking each other.

The rule (RULES, BUDGET): in any `RetryWindowS`, summed over all machines, no more than `RetryRatio` x the
requests for the service + `RetryExtra`. Two things pay for a further try:

- What this process's own requests of the window earn, less what was spent of it in the window. A process counts
  nothing that another has seen, so the sums hold whoever is killed.
- The extra, which is divided by the table of shares as the tenants' quotas are: a token bucket that begins empty
  with its process, of this gateway's share of the cells. Its depth and what it fills by in a window are together
  the share's part of the extra, so any number of processes that follow each other keep to it, and no cut, no
  start and no gateway that knows few others changes what is owned. Without the table, or past its lease, there
  is none.

A try may be paid for by a part of each.
"""

from __future__ import annotations

import math
from collections import deque

from coralvale.cluster.rate_limit.holding import FleetShare

USABLE_FRACTION = 0.8  # of the budget that is used: the windows of the rule slide
DEPTH_FRACTION = 0.6  # of the extra that a bucket holds; the rest is what it fills by in a window


class RetryTokenBucket:
    """This gateway's share of the extra."""

    def __init__(self, window: float, extra: float) -> None:
        self.window, self.extra = window, USABLE_FRACTION * extra
        self.share = self.tokens = 0.0
        self.refilled_at = math.inf  # of the newest refill

    def refill(self, now: float, fleet_share: FleetShare) -> None:
        """Less of a share takes tokens along, more of it brings none."""
        if fleet_share.share != self.share:
            self._add_tokens(now)
            if fleet_share.share < self.share:
                self.tokens *= fleet_share.share / self.share
            self.share, self.refilled_at = (
                fleet_share.share,
                now if self.refilled_at < math.inf else min(now, fleet_share.since),
            )
        self._add_tokens(now)

    def _add_tokens(self, now: float) -> None:
        if now > self.refilled_at:
            depth = DEPTH_FRACTION * self.extra * self.share
            fill = (1 - DEPTH_FRACTION) * self.extra * self.share / self.window
            self.tokens = min(depth, self.tokens + fill * min(now - self.refilled_at, self._fill_time()))
            self.refilled_at = now

    def _fill_time(self) -> float:
        """Seconds in which an empty one fills."""
        return self.window * DEPTH_FRACTION / (1 - DEPTH_FRACTION)

    def is_idle(self, now: float) -> bool:
        """Whether one that is made anew would be the same."""
        return self.refilled_at == math.inf or now - self.refilled_at > self._fill_time()


class RetryBudget:
    """One service's, at one gateway."""

    def __init__(self, ratio: float, window: float, extra: float) -> None:
        self.ratio, self.window = ratio, window
        self.reserve = RetryTokenBucket(window, extra)
        self.request_times: deque[float] = deque()
        self.spent: deque[tuple[float, float]] = deque()  # when, and how much of what requests earned
        self.spent_sum = 0.0

    def record_request(self, now: float) -> None:
        self.request_times.append(now)
        self._expire(now)

    def _expire(self, now: float) -> None:
        while self.request_times and now - self.request_times[0] > self.window:
            self.request_times.popleft()
        while self.spent and now - self.spent[0][0] > self.window:
            self.spent_sum -= self.spent.popleft()[1]
        if not self.spent:
            self.spent_sum = 0.0  # no rounding is kept

    def _earned(self) -> float:
        return max(0.0, USABLE_FRACTION * self.ratio * len(self.request_times) - self.spent_sum)

    def is_idle(self, now: float) -> bool:
        """Whether nothing of it would be missed."""
        self._expire(now)
        return not self.request_times and not self.spent and self.reserve.is_idle(now)

    def allows(self, now: float, fleet_share: FleetShare) -> bool:
        """Whether one more try is within it."""
        self._expire(now)
        self.reserve.refill(now, fleet_share)
        return self._earned() + self.reserve.tokens >= 1

    def charge(self, now: float) -> None:
        """One more try, that was allowed."""
        earned = min(1.0, self._earned())
        if earned:
            self.spent.append((now, earned))
            self.spent_sum += earned
        self.reserve.tokens = max(0.0, self.reserve.tokens - (1 - earned))
