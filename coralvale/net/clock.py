"""The clock that all parts of the gateway use."""

from __future__ import annotations

import time


class Clock:
    """Unix time that never steps: the monotonic clock plus an offset that is read once, at the start.

    Discovery's `since_ms` and the time windows that all gateways share need Unix time, while a step of the
    system clock must not make all deadlines pass at once.
    """

    def __init__(self) -> None:
        self.offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Unix time in seconds."""
        return self.monotonic() + self.offset

    def monotonic(self) -> float:
        """Seconds since an arbitrary moment, for intervals."""
        return time.monotonic()
