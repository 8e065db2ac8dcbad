"""A tenant's quota as a token bucket of the whole fleet, divided into cells that can be used apart.

The rule bounds what runs in any window of length W: (rate x W + burst) x (1 + excess) + slack = M. A token
bucket of depth D that fills by q a second lets through at most D + q x W in any window, and that holds for the
buckets of a fleet together as long as their depths sum to D and their fills to q, whenever each was emptied or
began anew (empty). A token that is granted to another gateway is used up to `GRANT_LIFE` after it was taken
out. And once in a window, after the loss of many processes, those that start may begin with an allowance A in
their buckets (`share_desk`). So the capacity of a bucket, D + A + q x (W + GRANT_LIFE), is what it may let
through in a window, and the capacities of a quota's cells must not sum to more than M.

Cells are filled in one order, the ranks, and each by the quota's size alone: a larger quota leaves no cell with
less depth, allowance or fill than a smaller one does. So gateways may go by different terms of a tenant at the
same time, for as long as they like: every cell has one owner, whose bucket is no larger than the largest of
these quotas makes it, and their sum is within that quota.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from zlib import crc32

from attrs import field, frozen

from coralvale.cluster.rate_limit.shares import CELLS

GRANT_LIFE = 0.25  # s after it was asked for until which a granted token may be used
MARGIN = 0.99  # of what the rule allows
FILL_PART = 0.868  # of a capacity beside the slack, that is the fill: 0.9 of the rate where there is no burst
ALLOWANCE = 0.35  # of what is not the fill's
CELL_DEPTH = 3.0  # tokens: one of less would seldom hold a whole token
_RANK_BITS = CELLS.bit_length() - 1
# Every prefix of this order is spread evenly over the cells (van der Corput's sequence).
_CELL_AT_RANK = tuple(int(f"{rank:0{_RANK_BITS}b}"[::-1], 2) for rank in range(CELLS))


@frozen
class Rule:
    """The quota's rule: in any `window` seconds at most (rate x window + burst) x (1 + excess) + slack."""

    window: float
    excess: float
    slack: float

    def most(self, rate: float, burst: float) -> float:
        return self.scaled(rate, burst) + self.slack

    def scaled(self, rate: float, burst: float) -> float:
        """What goes with the quota's size."""
        return (rate * self.window + burst) * (1 + self.excess)


@frozen
class BucketSize:
    """Of the bucket that one owner has: tokens that it holds, that it may begin with, and tokens a second."""

    depth: float = 0.0
    allowance: float = 0.0  # no more than the depth
    fill: float = 0.0

    def __add__(self, other: BucketSize) -> BucketSize:
        return BucketSize(self.depth + other.depth, self.allowance + other.allowance, self.fill + other.fill)

    def capacity(self, window: float) -> float:
        """What it lets through in a window at most, granted tokens too."""
        return self.depth + self.allowance + self.fill * (window + GRANT_LIFE)

    @staticmethod
    def of(slack: float, capacity: float, window: float) -> BucketSize:
        """Of a cell. `slack`: the part of its capacity that no terms change; `capacity`: the other part."""
        store = slack + (1 - FILL_PART) * capacity
        depth = min(slack + capacity, max(1.0, (1 - ALLOWANCE) * store))
        allowance = min(depth, slack + capacity - depth, ALLOWANCE * store)
        return BucketSize(depth, allowance, (slack + capacity - depth - allowance) / (window + GRANT_LIFE))


NOTHING = BucketSize()


@frozen
class CellSizes:
    """How much of a quota each rank has, for one rule."""

    rule: Rule
    slack: float  # tokens, over the cells that all quotas have
    base: int  # how many those are
    full: float = CELL_DEPTH / ((1 - ALLOWANCE) * (1 - FILL_PART))  # capacity of a full cell beside the slack

    @staticmethod
    def of(rule: Rule) -> CellSizes:
        slack = MARGIN * rule.slack
        base = max(1, min(CELLS, int((1 - ALLOWANCE) * slack / CELL_DEPTH)))
        return CellSizes(rule, slack, 1 << base.bit_length() - 1)

    def capacity(self, total: float, rank: int) -> float:
        """Of a quota's total beside the slack, what the cell of this rank has; it never sinks as that grows."""
        if total >= self.full * CELLS:
            return total / CELLS
        if rank < self.base:
            return min(self.full, total / self.base)
        return max(0.0, min(self.full, total - rank * self.full))

    def count(self, total: float) -> int:
        """Cells that have some of it."""
        return min(CELLS, max(self.base, math.ceil(total / self.full)))


@frozen
class Quota:
    """One tenant's."""

    sizes: CellSizes
    total: float  # beside the slack
    cells: int = field(init=False)  # in use, of those that are first in rank

    def __attrs_post_init__(self) -> None:
        object.__setattr__(self, "cells", self.sizes.count(self.total))

    @staticmethod
    def of(sizes: CellSizes, rate: float, burst: float) -> Quota:
        return Quota(sizes, MARGIN * sizes.rule.scaled(rate, burst))

    def cell(self, rank: int) -> BucketSize:
        slack = self.sizes.slack / self.sizes.base if rank < self.sizes.base else 0.0
        return BucketSize.of(slack, self.sizes.capacity(self.total, rank), self.sizes.rule.window)

    def bucket(self, ranks: Iterable[int]) -> BucketSize:
        """Of the owner of these ranks."""
        return sum((self.cell(rank) for rank in ranks), NOTHING)

    def share(self, bucket: BucketSize) -> float:
        """Of the whole quota, what a bucket has."""
        return bucket.capacity(self.sizes.rule.window) / (self.total + self.sizes.slack)


def cell_at(tenant: str, rank: int) -> int:
    """The cell whose owner owns a rank of a tenant's quota."""
    return (crc32(tenant.encode()) + _CELL_AT_RANK[rank]) % CELLS
