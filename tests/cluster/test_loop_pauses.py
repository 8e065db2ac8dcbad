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


def test_a_signal_that_is_handled_after_a_pause_may_have_come_as_the_pause_began() -> None:
    pauses = LoopPauses(100.0)
    assert pauses.earliest_arrival(100.0) == 100.0
    pauses.expect(100.1)
    assert pauses.earliest_arrival(100.05) == 100.05  # the loop ran on time
    assert pauses.earliest_arrival(101.1) == 100.1  # handled before the periodic task
    pauses.record(100.1, 101.2)
    assert pauses.earliest_arrival(101.21) == 100.1  # handled right after it
    pauses.expect(101.25)
    pauses.record(101.25, 101.25)
    assert pauses.earliest_arrival(101.27) > 101.2
