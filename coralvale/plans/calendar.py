"""How much of a pool is reserved at which time, and where something fits. No I/O.

A pool is a step function of time (units a second that can be reserved), reservations are boxes in it. Both are
half-open: what ends at a moment and what begins at it do not overlap.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections.abc import Iterable
from itertools import pairwise

Box = tuple[float, float, float]  # from, until, rate
Steps = list[tuple[float, float]]  # (from, rate) in order; nought before the first
EXACT = 1e-9  # units a second: sums of floats in another order differ by less


def at(steps: Steps, moment: float) -> float:
    """What holds at a moment."""
    place = bisect_right(steps, (moment, math.inf))
    return steps[place - 1][1] if place else 0.0


def free(capacity: Steps, boxes: Iterable[Box]) -> Steps:
    """What is left at every time; below nought where more is reserved than there is."""
    changes: dict[float, float] = {}
    for moment, rate in _jumps(capacity):
        changes[moment] = changes.get(moment, 0.0) + rate
    for begin, end, rate in boxes:
        changes[begin] = changes.get(begin, 0.0) - rate
        changes[end] = changes.get(end, 0.0) + rate
    level, steps = 0.0, Steps()
    for moment in sorted(changes):
        level += changes[moment]
        steps.append((moment, level))
    return steps


def _jumps(steps: Steps) -> Iterable[tuple[float, float]]:
    before = 0.0
    for moment, rate in steps:
        yield moment, rate - before
        before = rate


def most(left: Steps, begin: float, end: float) -> float:
    """The largest rate that is left over the whole of [begin, end); never below nought."""
    inside = [rate for moment, rate in left if begin < moment < end]
    return max(0.0, min([at(left, begin), *inside]))


def fits(left: Steps, begin: float, end: float, rate: float) -> bool:
    return most(left, begin, end) >= rate - EXACT


def earliest(left: Steps, after: float, length: float, rate: float, horizon: float) -> float | None:
    """The first moment from `after` on from which `rate` is left for `length`; None if none by `horizon`.

    It is `after` itself, or a moment at which something ends: nowhere else does more become free.
    """
    moments = [moment for moment, _ in left]
    short = -math.inf  # before this moment nothing that lasts so long fits
    for begin in (after, *moments[bisect_right(moments, after) : bisect_right(moments, horizon)]):
        if begin < short or at(left, begin) < rate - EXACT:
            continue
        # The last moment within it at which too little is left: whatever begins before it runs into it.
        inside = left[bisect_right(moments, begin) : bisect_left(moments, begin + length)]
        bad = [moment for moment, rest in inside if rest < rate - EXACT]
        if not bad:
            return begin
        short = bad[-1]
    return None


def over(left: Steps) -> list[tuple[float, float, float]]:
    """Times at which more is reserved than there is: from, until, by how much."""
    ends = [*left, (math.inf, 0.0)]
    return [(begin, end, -rate) for (begin, rate), (end, _) in pairwise(ends) if rate < -EXACT]
