"""Retry budget of each service, which holds for all gateways together without any communication about it.

The rule (RULES, BUDGET): in any `RetryWindowS`, summed over all machines, there are no more retries than
`RetryRatio` times the requests for the service, plus `RetryExtra`. Two sources pay for a retry:

- What this process's own requests in the window earn, less what was spent of that in the window. A process
  counts nothing that another has seen, so the sum holds whichever processes are killed.
- The extra, which is divided by the table of shares like the tenants' quotas: a token bucket, empty when its
  process starts, sized by this gateway's share of the cells. Depth and refill within a window together are
  this share of the extra, so any number of successive processes stay within it, and no network cut, start, or
  gateway that knows only few others changes what a gateway owns. Without a valid lease on the table there is
  none.

Both may pay for parts of one retry.
"""

from __future__ import annotations

import math
from collections import deque

from coralvale.cluster.rate_limit.holding import FleetShare

USABLE_FRACTION = 0.8  # of `RetryRatio` and `RetryExtra`, since the rule holds for sliding windows
DEPTH_FRACTION = 0.6  # of the usable extra: capacity of all buckets; the rest is their refill per window


class RetryTokenBucket:
    """Token bucket for this gateway's share of the extra. `window`: s; `extra`: retries of all gateways."""

    def __init__(self, window: float, extra: float) -> None:
        self.window, self.extra = window, USABLE_FRACTION * extra
        self.share = self.tokens = 0.0
        self.refilled_at = math.inf  # before the first refill

    def refill(self, now: float, fleet_share: FleetShare) -> None:
        """Adds tokens up to `now`. A smaller share removes tokens in proportion, a larger one adds none."""
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
        """Seconds in which an empty bucket fills."""
        return self.window * DEPTH_FRACTION / (1 - DEPTH_FRACTION)

    def is_idle(self, now: float) -> bool:
        """Whether a newly made bucket would behave the same."""
        return self.refilled_at == math.inf or now - self.refilled_at > self._fill_time()


class RetryBudget:
    """Retry budget of one service at one gateway. `window`: s; `extra`: retries of all gateways."""

    def __init__(self, ratio: float, window: float, extra: float) -> None:
        self.ratio, self.window = ratio, window
        self.reserve = RetryTokenBucket(window, extra)
        self.request_times: deque[float] = deque()
        self.spent: deque[tuple[float, float]] = deque()  # when, and how much of the requests' earnings
        self.spent_sum = 0.0

    def record_request(self, now: float) -> None:
        """Counts a request of the service, which earns a part of a retry."""
        self.request_times.append(now)
        self._expire(now)

    def _expire(self, now: float) -> None:
        while self.request_times and now - self.request_times[0] > self.window:
            self.request_times.popleft()
        while self.spent and now - self.spent[0][0] > self.window:
            self.spent_sum -= self.spent.popleft()[1]
        if not self.spent:
            self.spent_sum = 0.0  # drops rounding errors

    def _earned(self) -> float:
        return max(0.0, USABLE_FRACTION * self.ratio * len(self.request_times) - self.spent_sum)

    def is_idle(self, now: float) -> bool:
        """Whether it can be dropped: a new budget would behave the same."""
        self._expire(now)
        return not self.request_times and not self.spent and self.reserve.is_idle(now)

    def allows(self, now: float, fleet_share: FleetShare) -> bool:
        """Whether one more retry is within the budget."""
        self._expire(now)
        self.reserve.refill(now, fleet_share)
        return self._earned() + self.reserve.tokens >= 1

    def charge(self, now: float) -> None:
        """Pays for a retry that was allowed: from earnings first, the rest from the bucket."""
        earned = min(1.0, self._earned())
        if earned:
            self.spent.append((now, earned))
            self.spent_sum += earned
        self.reserve.tokens = max(0.0, self.reserve.tokens - (1 - earned))
