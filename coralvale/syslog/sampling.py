"""Sampling of refusals under a flood: which are told, and for how many each stands. No I/O.

Of each kind of refusal (station, class and reason) the first `over` in a second are told one by one. Of those
beyond, every `factor`-th is told, and stands for those since the one before it: the factors of what was told and
what `pending` holds add up to all that came, whatever the flood looks like. What is pending when the flood ends
is told with the kind's next refusal. Kinds are bounded in number; a kind past the bound is not sampled.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass

MOST = 4096  # kinds
FORGET = 60.0  # s without a refusal after which a kind with nothing pending is forgotten


@dataclass(slots=True)
class Kind:
    second: float
    count: int = 0  # in this second
    pending: int = 0  # that came since the last one that was told


class Sampler:
    """Refusals of one gateway. A `factor` of 1 samples nothing. Raises ValueError for one below that."""

    def __init__(self, over: int, factor: int) -> None:
        if factor < 1 or over < 0:
            raise ValueError(f"sampling over {over} by {factor}")
        self.over, self.factor = over, factor
        self.kinds: dict[Hashable, Kind] = {}

    def stands_for(self, now: float, kind: Hashable) -> int:
        """For how many refusals this one stands; 0: it is not told."""
        if self.factor == 1:
            return 1
        known = self.kinds.get(kind)
        if known is None:
            if len(self.kinds) >= MOST and not self._forget(now):
                return 1
            known = self.kinds[kind] = Kind(now)
        if now - known.second >= 1.0 or now < known.second:
            known.second, known.count = now, 0
        known.count += 1
        known.pending += 1
        if known.count > self.over and known.pending < self.factor:
            return 0
        told, known.pending = known.pending, 0
        return told

    def pending(self) -> int:
        """Refusals that no message stands for yet."""
        return sum(kind.pending for kind in self.kinds.values())

    def _forget(self, now: float) -> bool:
        old = [k for k, known in self.kinds.items() if now - known.second > FORGET and not known.pending]
        for kind in old:
            del self.kinds[kind]
        return bool(old)
