"""The one clock and queue of a run. Events of one moment happen in the order in which they were planned."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

START = 1000.0  # of the clock: Unix time is never near 0, and nothing may depend on where it begins


class Engine:
    """`now` is the run's time in s since its start; what is given to the decisions is `clock`."""

    origin = START

    def __init__(self) -> None:
        self.now, self.serial, self.events, self.stopped = 0.0, 0, 0, False
        self.due: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    @property
    def clock(self) -> float:
        """What gateways take for the time."""
        return self.origin + self.now

    def later(self, delay: float, what: Callable[..., None], *given: Any) -> None:  # noqa: ANN401
        """Plans `what(*given)`; a delay below 0 counts as 0."""
        self.serial += 1
        heapq.heappush(self.due, (self.now + max(0.0, delay), self.serial, what, given))

    def at(self, time: float, what: Callable[..., None], *given: Any) -> None:  # noqa: ANN401
        self.later(time - self.now, what, *given)

    def run(self, until: float) -> None:
        """All that is due up to `until`, unless `stopped` is set on the way."""
        due = self.due
        while due and due[0][0] <= until and not self.stopped:
            self.now, _, what, given = heapq.heappop(due)
            self.events += 1
            what(*given)
        if not self.stopped:
            self.now = until
