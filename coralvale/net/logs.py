"""What keeps a log readable when every request, or every peer, fails in the same way."""

from __future__ import annotations

import logging
import time


class RateLimitFilter(logging.Filter):
    """Lets through a few lines of a kind in some seconds: a fault in every request must not fill the log."""

    def __init__(self, max_lines: int = 5, period_s: float = 10.0) -> None:
        super().__init__()
        self.max_lines, self.period_s, self.period_start = max_lines, period_s, time.monotonic()
        self.counts: dict[object, int] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        if time.monotonic() - self.period_start > self.period_s:
            self.period_start, self.counts = time.monotonic(), {}
        count = self.counts[record.msg] = self.counts.get(record.msg, 0) + 1
        return count <= self.max_lines
