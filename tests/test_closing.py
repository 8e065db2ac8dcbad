"""The table of net/closing.py: which answer is the last one, and when a connection may be closed."""

from __future__ import annotations

import pytest

from coralvale.net.closing import LINGER_S, Delivery, Phase, answer_is_last, may_close


@pytest.mark.parametrize(
    ("phase", "draining", "in_hand", "partly_read", "unread", "last"),
    [
        (Phase.OPEN, False, 1, False, False, False),
        (Phase.OPEN, True, 1, False, False, True),
        (Phase.OPEN, True, 2, False, False, False),
        (Phase.OPEN, True, 1, True, False, False),
        (Phase.OPEN, True, 1, False, True, False),
        (Phase.LAST_READ, False, 1, False, False, True),
        (Phase.LAST_READ, False, 2, False, False, False),
        (Phase.LAST_READ, True, 1, True, True, True),  # none of these is read any more
    ],
)
def test_an_answer_is_the_last_one_only_with_nothing_behind_it(
    phase: Phase, draining: bool, in_hand: int, partly_read: bool, unread: bool, last: bool
) -> None:
    assert answer_is_last(phase, draining, in_hand, partly_read, lambda: unread) is last


@pytest.mark.parametrize(
    ("unsent", "client_closed", "delivered_for", "closes"),
    [
        (1, False, 0.0, False),
        (1, True, 2 * LINGER_S, False),
        (0, False, 0.0, False),
        (0, True, 0.0, True),
        (0, False, LINGER_S, True),
    ],
)
def test_a_connection_is_closed_only_once_its_client_has_all_bytes(
    unsent: int, client_closed: bool, delivered_for: float, closes: bool
) -> None:
    assert may_close(Delivery(unsent, client_closed, delivered_for)) is closes
