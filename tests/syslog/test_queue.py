"""The queue: bounded, every message accounted for, dropped by its rule, in order."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from coralvale.syslog.queue import OVERHEAD, RANKS, Gap, Queue, Queued

MOST = 4096


def message(sequence: int, outcome: str = "refused", size: int = 100) -> Queued:
    return Queued(sequence, outcome, b"x" * size)


def test_a_flood_of_refusals_costs_refusals_and_the_oldest_first() -> None:
    queue = Queue(MOST)
    for n in range(5):
        assert queue.put(message(n, "served"))
    for n in range(5, 1000):
        assert queue.put(message(n))
    left = list(queue.waiting)
    room = MOST // (100 + OVERHEAD)
    assert left == [0, 1, 2, 3, 4, *range(1000 - (room - 5), 1000)]
    for n in range(1000, 1000 + room):
        assert queue.put(message(n, "served"))
    assert not queue.put(message(5000, "failed")) and not queue.put(
        message(5001)
    )  # all that waits ranks higher
    gap, batch = queue.read(1 << 20)
    assert (
        gap
        and gap.counts == {"refused": 996, "served": 5, "failed": 1}
        and (gap.first, gap.last) == (0, 5001)
    )
    assert [m.sequence for m in batch] == list(range(1000, 1000 + room))
    assert queue.read(1 << 20) == (None, [])


def test_what_was_lost_on_the_way_goes_out_again_first_and_with_the_same_id() -> None:
    queue = Queue(MOST)
    for n in range(6):
        queue.put(message(n, "served", 10))
    _, first = queue.read(30)
    assert [m.sequence for m in first] == [0, 1, 2]
    queue.sent(1)
    queue.back(Gap(Counter(refused=2), 90, 91))
    gap, again = queue.read(1 << 20)
    assert [m.sequence for m in again] == [1, 2, 3, 4, 5] and again[0] is first[1]
    assert gap and gap.counts == {"refused": 2} and (gap.first, gap.last) == (90, 91)
    with pytest.raises(ValueError, match="a queue of 10 bytes"):
        Queue(10)


class Model(RuleBasedStateMachine):
    """Whatever comes: bytes within the bound, every message once in one place, order kept, gaps exact."""

    def __init__(self) -> None:
        super().__init__()
        self.queue, self.serial = Queue(MOST), 0
        self.put: dict[int, str] = {}
        self.gone: list[int] = []
        self.told: Counter[str] = Counter()
        self.flying: list[int] = []
        self.untold: Gap | None = None

    @rule(outcome=st.sampled_from(sorted(RANKS)), size=st.integers(1, 1500))
    def one(self, outcome: str, size: int) -> None:
        self.serial += 1
        self.put[self.serial] = outcome
        before = Counter(m.outcome for m in self.queue.waiting.values())
        self.queue.put(message(self.serial, outcome, size))
        after = Counter(m.outcome for m in self.queue.waiting.values())
        for lost in before - after:  # nothing of a higher rank went for it
            assert RANKS[lost] <= RANKS[outcome]

    @precondition(lambda self: not (self.flying or self.untold))
    @rule(most=st.integers(1, 4000))
    def read(self, most: int) -> None:
        gap, batch = self.queue.read(most)
        self.flying = [m.sequence for m in batch]
        self.untold = gap
        assert self.flying == sorted(self.flying)

    @precondition(lambda self: self.flying or self.untold)
    @rule()
    def arrives(self) -> None:
        self.queue.sent(len(self.flying))
        self.gone += self.flying
        self.told += self.untold.counts if self.untold else Counter()
        self.flying, self.untold = [], None

    @precondition(lambda self: self.flying or self.untold)
    @rule()
    def breaks(self) -> None:
        self.queue.back(self.untold)
        self.flying, self.untold = [], None

    @invariant()
    def accounted(self) -> None:
        waiting = [m.sequence for m in self.queue.waiting.values()]
        places = self.gone + self.flying + waiting
        assert len(places) == len(set(places)) and set(places) <= set(self.put)
        dropped = Counter(self.put[n] for n in set(self.put) - set(places))
        untold = self.untold.counts if self.untold else Counter[str]()
        assert dropped == self.told + untold + self.queue.gap.counts
        assert self.queue.accounts() == (len(self.gone), len(self.flying) + len(waiting), dropped.total())
        assert self.queue.bytes <= MOST and waiting == sorted(waiting)
        held = [*self.queue.waiting.values(), *self.queue.flying]
        assert self.queue.bytes == sum(m.size for m in held)


TestQueue = Model.TestCase
TestQueue.settings = settings(max_examples=100, stateful_step_count=50, deadline=None)
