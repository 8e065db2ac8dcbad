"""The measure of how long the event loop was held up."""

from __future__ import annotations

from coralvale.cluster.loop_pauses import WINDOW_S, LoopPauses


def test_the_longest_pause_is_that_of_the_last_two_windows() -> None:
    pauses = LoopPauses(100.0)
    assert pauses.record(100.1, 100.4) > 0.29
    assert pauses.record(100.5, 100.4) == 0.0  # woken early
    assert 0.29 < pauses.longest < 0.31
    pauses.record(101.0 + WINDOW_S, 101.1 + WINDOW_S)
    assert 0.29 < pauses.longest < 0.31  # in the window before
    pauses.record(102.0 + 2 * WINDOW_S, 102.0 + 2 * WINDOW_S)
    assert 0.09 < pauses.longest < 0.11
    pauses.record(110.0 + 9 * WINDOW_S, 110.0 + 9 * WINDOW_S)
    assert pauses.longest == 0.0
