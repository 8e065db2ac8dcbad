"""The retry budget of all gateways together, while gateways are killed, join, or lose a share."""

from __future__ import annotations

import math
import random
from collections import deque

import pytest
from quota_world import alone
from test_routing import router

from coralvale.cluster.rate_limit.holding import FleetShare, Holding
from coralvale.cluster.rate_limit.shares import CELLS, CellAssignment, ShareChange, even_table, pack_change
from coralvale.cluster.routing import budget as budgets
from coralvale.cluster.routing.budget import RetryBudget, RetryTokenBucket

RATIO, WINDOW, EXTRA = 0.2, 10.0, 64.0


def test_retries_stay_within_the_budget_and_use_most_of_it() -> None:
    budget, tries, owned = RetryBudget(RATIO, WINDOW, EXTRA), deque[float](), FleetShare(1 / 12, -math.inf)
    total = 0
    for n in range(2000):
        now = n / 100
        budget.record_request(now)
        if budget.allows(now, owned):
            budget.charge(now)
            tries.append(now)
            total += 1
        while now - tries[0] > WINDOW:
            tries.popleft()
        assert len(tries) <= RATIO * len(budget.request_times) + EXTRA / 12
    assert total > 250


class Process:
    """A gateway that retries each request whenever its budget allows it."""

    def __init__(self, now: float, holding: Holding) -> None:
        self.born, self.holding = now, holding
        self.budget = RetryBudget(RATIO, WINDOW, EXTRA)

    def owned(self, now: float) -> FleetShare:
        return FleetShare(self.holding.share(now).share, max(self.born, self.holding.owned_since))


def worst_window(seed: int) -> float:
    """The most retries within a window as a fraction of what the rule allows.

    Processes are killed again and again, sometimes all at once, and an owner's cells move to a new gateway.
    """
    chance, now, worst = random.Random(seed), 0.0, 0.0
    count = chance.choice((3, 12, 40))
    names = [f"g{n}" for n in range(count + 1)]
    table = even_table(names[:-1])
    moved = chance.uniform(5, 30)
    holdings = {name: Holding(name) for name in names}
    for holding in holdings.values():
        holding.apply_answer(-math.inf, math.inf, table)
    processes = {name: Process(-100.0, holdings[name]) for name in names}
    requests: deque[float] = deque()
    tries: deque[float] = deque()
    rate = chance.choice((5.0, 60.0, 200.0))
    kill_every = chance.choice((0.5, 2.0, 9.0))
    killed = 0.0
    while now < 40.0:
        now += chance.expovariate(rate)
        if now - killed > kill_every:
            killed = now
            for name in names if chance.random() < 0.4 else [chance.choice(names)]:
                processes[name] = Process(now, holdings[name])
        if now > moved:
            moved = math.inf
            given = CellAssignment(
                names[-1], tuple(c for c, owner in enumerate(table.owners) if owner == "g0")
            )
            newer = even_table(names[:-1])
            assert newer.deliver(pack_change(ShareChange(newer.version, (given,))))
            for name in ("g0", names[-1]):  # the old owner gives them up first
                holdings[name].apply_answer(now, math.inf, newer)
        process = processes[chance.choice(names)]
        process.budget.record_request(now)
        requests.append(now)
        if process.budget.allows(now, process.owned(now)):
            process.budget.charge(now)
            tries.append(now)
        while requests and now - requests[0] > 2 * WINDOW:
            requests.popleft()
        while tries and now - tries[0] > WINDOW:
            tries.popleft()
        windows = (
            sum(now - WINDOW * (1 + back) <= at <= now - WINDOW * back for at in requests)
            for back in (0, 0.5, 1)
        )
        if len(tries) % 8 == 7:
            worst = max(worst, len(tries) / (RATIO * max(windows) + EXTRA))
    return worst


@pytest.mark.parametrize("seed", range(24))
def test_kills_and_moved_cells_do_not_exceed_the_budget(seed: int) -> None:
    """Guards against a process that starts with its whole part of the extra, used up by its predecessor."""
    assert worst_window(seed) <= 1


def test_the_schedules_detect_a_bucket_that_starts_full(monkeypatch: pytest.MonkeyPatch) -> None:
    begin = RetryTokenBucket.refill

    def full(self: RetryTokenBucket, now: float, owned: FleetShare) -> None:
        begin(self, now, FleetShare(owned.share, -math.inf))

    monkeypatch.setattr(RetryTokenBucket, "refill", full)
    assert sum(worst_window(seed) > 1 for seed in range(24)) >= 3


def test_the_bucket_refills_shrinks_with_its_share_and_ends_with_the_lease() -> None:
    reserve = RetryTokenBucket(WINDOW, EXTRA)
    reserve.refill(0.0, FleetShare(0.0, math.inf))
    assert reserve.is_idle(0.0) and not reserve.tokens
    reserve.refill(10.0, FleetShare(0.5, 8.0))
    filled = budgets.USABLE_FRACTION * (1 - budgets.DEPTH_FRACTION) * EXTRA * 0.5
    assert reserve.tokens == pytest.approx(filled * 2 / WINDOW)
    reserve.refill(10.0, FleetShare(0.25, 8.0))
    assert reserve.tokens == pytest.approx(filled / WINDOW)
    reserve.refill(10.0, FleetShare(0.5, 8.0))
    assert reserve.tokens == pytest.approx(filled / WINDOW)  # a larger share adds no tokens
    reserve.refill(1000.0, FleetShare(0.5, 8.0))
    assert reserve.tokens == pytest.approx(budgets.USABLE_FRACTION * budgets.DEPTH_FRACTION * EXTRA * 0.5)
    holding = alone().holding
    assert holding.share(0.0).share == 1 and holding.usable_count == CELLS
    holding.release_all()
    assert holding.share(0.0).share == 0


def test_a_retry_is_paid_from_earnings_first_and_the_rest_from_the_bucket() -> None:
    budget, owned = RetryBudget(RATIO, WINDOW, EXTRA), FleetShare(1.0, -math.inf)
    for _ in range(4):  # they earn 0.64 of a retry
        budget.record_request(0.0)
    assert budget.allows(0.0, owned)
    reserve = budget.reserve.tokens
    budget.charge(0.0)
    assert reserve - budget.reserve.tokens == pytest.approx(0.36)
    assert not budget.is_idle(0.0) and not budget.is_idle(WINDOW) and budget.is_idle(30.0)


def test_a_service_that_is_removed_and_added_again_keeps_its_used_budget() -> None:
    made = router()
    made._budget(0.0, "gone").record_request(0.0)
    made._budget(1.0, "other")
    assert "gone" in made.budgets
    made._budget(40.0, "third")
    assert "gone" not in made.budgets
