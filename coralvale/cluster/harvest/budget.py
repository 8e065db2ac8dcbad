"""Further tries, within a budget that all gateways share without asking each other on the way."""

from __future__ import annotations

from collections import deque

USED = 0.8  # of the budget that is used: the windows of the rule slide, and gateways come and go


class Budget:
    """One service's, at one gateway: a part of the even share, and of what its own requests earn."""

    def __init__(self, ratio: float, window: float, extra: float) -> None:
        self.ratio, self.window, self.extra = ratio, window, extra
        self.requests: deque[float] = deque()
        self.tries: deque[float] = deque()

    def request(self, now: float) -> None:
        self.requests.append(now)
        self._forget(now)

    def _forget(self, now: float) -> None:
        while self.requests and now - self.requests[0] > self.window:
            self.requests.popleft()
        while self.tries and now - self.tries[0] > self.window:
            self.tries.popleft()

    def allows(self, now: float, gateways: int) -> bool:
        """Whether one more try is within it."""
        self._forget(now)
        most = USED * (self.ratio * len(self.requests) + self.extra / max(1, gateways))
        return len(self.tries) + 1 <= most

    def charge(self, now: float) -> None:
        self.tries.append(now)
