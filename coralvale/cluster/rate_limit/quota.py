"""A tenant's quota as a token bucket of the whole fleet, divided into parts that can be used apart.

The rule bounds what runs in any window of length W: (rate x W + burst) x (1 + excess) + slack = M. A token
bucket of depth D that fills by q a second lets through at most D + q x W in any window, and that holds for the
buckets of a fleet together as long as their depths sum to D and their fills to q, whenever each was emptied or
began anew (empty). A token that is granted to another gateway is used up to `GRANT_LIFE` after it was taken
out. And once in a window, after the loss of many processes, those that start may begin with an allowance A in
their buckets (`share_desk`). So D + A + q x (W + GRANT_LIFE) must not pass M.
"""

from __future__ import annotations

from zlib import crc32

from attrs import frozen

from coralvale.cluster.rate_limit.shares import CELLS

GRANT_LIFE = 0.25  # s after it was asked for until which a granted token may be used
MARGIN = 0.99  # of what the rule allows
LEAST_STORE = 0.05  # of it, that is not the fill's at least
ALLOWANCE = 0.35  # of what is not the fill's
TOKENS_A_PART = 3.0  # depth of a part at least: one of less would seldom hold a whole token


@frozen
class Rule:
    """The quota's rule: in any `window` seconds at most (rate x window + burst) x (1 + excess) + slack."""

    window: float
    excess: float
    slack: float

    def most(self, rate: float, burst: float) -> float:
        return (rate * self.window + burst) * (1 + self.excess) + self.slack


@frozen
class Quota:
    """The fleet's bucket for one tenant. `parts`: into how many it is divided, a power of two."""

    depth: float
    allowance: float  # that a bucket may begin with, no more than its depth
    fill: float  # tokens a second
    parts: int

    @staticmethod
    def of(rule: Rule, rate: float, burst: float) -> Quota:
        most, window = rule.most(rate, burst) * MARGIN, rule.window + GRANT_LIFE
        least = min(most, max(1.0, LEAST_STORE * most))
        fill = min(rate, (most - least) / window)
        store = most - fill * window
        depth = max(min(store, 1.0), (1 - ALLOWANCE) * store)
        parts = 1
        while parts < CELLS and depth >= 2 * parts * TOKENS_A_PART:
            parts *= 2
        return Quota(depth, store - depth, fill, parts)


def cells_of(tenant: str, parts: int) -> range:
    """The cells whose owners own a tenant's parts. Those of fewer parts are among those of more."""
    stride = CELLS // parts
    return range(crc32(tenant.encode()) % stride, CELLS, stride)
