"""A tenant's quota as one token bucket for the fleet, divided into cells that can be used independently.

The rule bounds what runs in any window of length W: (rate x W + burst) x (1 + excess) + slack = M. A token
bucket of depth D and fill rate q admits at most D + q x W in any window. This also holds for the buckets of a
fleet together as long as their depths sum to D and their fill rates to q, whenever each of them was emptied
or restarted empty. A token granted to another gateway is used up to `GRANT_LIFETIME_S` after it was taken.
Once per window, after many processes were lost, processes that start may begin with an allowance A in their
buckets (`share_desk`). So the capacity of a bucket, D + A + q x (W + GRANT_LIFETIME_S), is what it may admit
in a window, and the capacities of a quota's cells must not sum to more than M.

Cells are filled in one order, the ranks, and the size of each depends on the quota alone: a larger quota
gives no cell less depth, allowance or fill rate than a smaller one does. Gateways may therefore use different
terms of a tenant at the same time and for any time: every cell has one owner, whose bucket is no larger than
the largest of these quotas makes it, and their sum is within that quota.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from zlib import crc32

from attrs import field, frozen

from coralvale.cluster.rate_limit.shares import CELLS

GRANT_LIFETIME_S = 0.25  # a granted token may be used for this time after it was asked for
SAFETY_FACTOR = 0.99  # fraction of what the rule allows that is given out
# Fraction of a cell's capacity, without its slack, that goes to its fill rate: 0.9 of the rate if there is no
# burst.
FILL_FRACTION = 0.868
ALLOWANCE_FRACTION = 0.35  # fraction of the rest of that capacity, slack included, that is the allowance
CELL_DEPTH = 3.0  # tokens; a shallower cell would seldom hold a whole token
_RANK_BITS = CELLS.bit_length() - 1
# Every prefix of this order is spread evenly over the cells (van der Corput sequence).
_CELL_AT_RANK = tuple(int(f"{rank:0{_RANK_BITS}b}"[::-1], 2) for rank in range(CELLS))


@frozen
class Rule:
    """The rule: at most (rate x window + burst) x (1 + excess) + slack requests in any `window` seconds."""

    window: float
    excess: float
    slack: float

    def max_requests(self, rate: float, burst: float) -> float:
        """The bound for a quota of `rate` requests per second and `burst` requests."""
        return self.scaled(rate, burst) + self.slack

    def scaled(self, rate: float, burst: float) -> float:
        """The part of the bound that scales with the quota: without the slack."""
        return (rate * self.window + burst) * (1 + self.excess)


@frozen
class BucketSize:
    """Size of one owner's bucket. `depth` and `allowance` in tokens, `fill_rate` in tokens per second."""

    depth: float = 0.0
    allowance: float = 0.0  # tokens that it may start with, no more than the depth
    fill_rate: float = 0.0

    def __add__(self, other: BucketSize) -> BucketSize:
        return BucketSize(
            self.depth + other.depth, self.allowance + other.allowance, self.fill_rate + other.fill_rate
        )

    def capacity(self, window: float) -> float:
        """Upper bound of what it admits in a window, including granted tokens."""
        return self.depth + self.allowance + self.fill_rate * (window + GRANT_LIFETIME_S)

    @staticmethod
    def of(slack: float, capacity: float, window: float) -> BucketSize:
        """Size of a cell. `slack`: the part of its capacity that no terms change; `capacity`: the rest."""
        store = slack + (1 - FILL_FRACTION) * capacity
        depth = min(slack + capacity, max(1.0, (1 - ALLOWANCE_FRACTION) * store))
        allowance = min(depth, slack + capacity - depth, ALLOWANCE_FRACTION * store)
        return BucketSize(
            depth, allowance, (slack + capacity - depth - allowance) / (window + GRANT_LIFETIME_S)
        )


EMPTY_BUCKET = BucketSize()


@frozen
class CellSizes:
    """Capacity of each rank of a quota under one rule."""

    rule: Rule
    slack: float  # tokens, divided over the cells that all quotas have
    base: int  # number of cells that all quotas have
    # Capacity of a full cell without the slack.
    full: float = CELL_DEPTH / ((1 - ALLOWANCE_FRACTION) * (1 - FILL_FRACTION))

    @staticmethod
    def of(rule: Rule) -> CellSizes:
        slack = SAFETY_FACTOR * rule.slack
        base = max(1, min(CELLS, int((1 - ALLOWANCE_FRACTION) * slack / CELL_DEPTH)))
        return CellSizes(rule, slack, 1 << base.bit_length() - 1)

    def capacity(self, total: float, rank: int) -> float:
        """Share of the cell of this rank in `total` (without the slack); it never falls as `total` grows."""
        if total >= self.full * CELLS:
            return total / CELLS
        if rank < self.base:
            return min(self.full, total / self.base)
        return max(0.0, min(self.full, total - rank * self.full))

    def count(self, total: float) -> int:
        """Number of cells with a share of `total`."""
        return min(CELLS, max(self.base, math.ceil(total / self.full)))


@frozen
class Quota:
    """The quota of one tenant."""

    sizes: CellSizes
    total: float  # tokens, without the slack
    cells: int = field(init=False)  # number of cells in use, the first in rank

    def __attrs_post_init__(self) -> None:
        object.__setattr__(self, "cells", self.sizes.count(self.total))

    @staticmethod
    def of(sizes: CellSizes, rate: float, burst: float) -> Quota:
        return Quota(sizes, SAFETY_FACTOR * sizes.rule.scaled(rate, burst))

    def cell(self, rank: int) -> BucketSize:
        """Size of the cell of this rank."""
        slack = self.sizes.slack / self.sizes.base if rank < self.sizes.base else 0.0
        return BucketSize.of(slack, self.sizes.capacity(self.total, rank), self.sizes.rule.window)

    def bucket(self, ranks: Iterable[int]) -> BucketSize:
        """Size of the bucket of an owner of these ranks."""
        return sum((self.cell(rank) for rank in ranks), EMPTY_BUCKET)

    def share(self, bucket: BucketSize) -> float:
        """Fraction of the whole quota that a bucket has."""
        return bucket.capacity(self.sizes.rule.window) / (self.total + self.sizes.slack)


def cell_at(tenant: str, rank: int) -> int:
    """The cell that holds a rank of a tenant's quota."""
    return (crc32(tenant.encode()) + _CELL_AT_RANK[rank]) % CELLS
