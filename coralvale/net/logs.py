"""Rate limiting of log lines, for faults that recur with every request or every peer."""

from __future__ import annotations

import logging
import time


class RateLimitFilter(logging.Filter):
    """Passes at most `max_lines` records with one message template per period of `period_s` seconds."""

    def __init__(self, max_lines: int = 5, period_s: float = 10.0) -> None:
        super().__init__()
        self.max_lines, self.period_s, self.period_start = max_lines, period_s, time.monotonic()
        self.counts: dict[object, int] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        if time.monotonic() - self.period_start > self.period_s:
            self.period_start, self.counts = time.monotonic(), {}
        count = self.counts[record.msg] = self.counts.get(record.msg, 0) + 1
        return count <= self.max_lines
