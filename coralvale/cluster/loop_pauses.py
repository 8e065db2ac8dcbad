"""Measures how long the event loop was held up, so that a slow request can be told from a slow network.

A periodic task wakes later than it was due by as long as something else ran. Times are in s of the monotonic
clock.
"""

from __future__ import annotations

import math

from attrs import define, field

WINDOW_S = 60.0  # the longest pause is that of this window and the one before
LOGGED_PAUSE_S = 0.25
PAST_PAUSE_S = 0.05  # after a pause, in which what came during it is handled


@define
class LoopPauses:
    """The longest pauses of an event loop, by what a periodic task reports of its wake-ups."""

    window_start: float = 0.0
    current_window: float = field(default=0.0, init=False)
    previous_window: float = field(default=0.0, init=False)
    next_due: float = field(default=math.inf, init=False)  # of the periodic task
    latest: tuple[float, float] = field(default=(-math.inf, -math.inf), init=False)  # begin, end

    def expect(self, due: float) -> None:
        """Notes when the periodic task runs next."""
        self.next_due = due

    def record(self, due: float, now: float) -> float:
        """Records that a task that was due at `due` ran at `now`; returns the pause in s."""
        pause = max(0.0, now - due)
        self.latest, self.next_due = (min(due, now), now), math.inf
        elapsed = now - self.window_start
        if elapsed >= WINDOW_S:
            self.previous_window = self.current_window if elapsed < 2 * WINDOW_S else 0.0
            self.current_window = 0.0
            self.window_start = now
        self.current_window = max(self.current_window, pause)
        return pause

    def earliest_arrival(self, now: float) -> float:
        """The earliest moment at which a signal that is handled now can have come."""
        if now > self.next_due:  # the loop is held up still
            return self.next_due
        begin, end = self.latest
        return begin if now - end < PAST_PAUSE_S else now

    @property
    def longest(self) -> float:
        """The longest pause, in s, of the last one to two windows."""
        return max(self.current_window, self.previous_window)
