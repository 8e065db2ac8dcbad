"""What the decision module keeps while it waits; nothing in this file decides anything."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any

from coralvale import interface as api


class Pace:
    """How often own events of a kind come: a running mean of the gaps, the newest weighted by `weight`."""

    def __init__(self, weight: float) -> None:
        self.weight, self.gap, self.at = weight, math.inf, -math.inf

    def note(self, now: float) -> None:
        gap = now - self.at
        self.gap = gap if self.gap == math.inf else self.gap + self.weight * (gap - self.gap)
        self.at = now

    def rate(self, now: float) -> float:
        """Events a second; a gap that lasts longer than usual counts while it lasts."""
        gap = self.gap + self.weight * max(0.0, now - self.at - self.gap) if self.gap < math.inf else math.inf
        return 1 / max(gap, 1e-3)


@dataclass(slots=True)
class Attempt:
    host: Any  # the server that it went to
    sent_at: float
    done: bool = False


@dataclass(slots=True)
class Held:
    """A request in hand, kept until it is answered and no attempt is out."""

    request: api.Request
    arrived: float
    restrictor: Any  # the customer's
    epoch: int  # of the restrictor, when it was charged
    attempts: list[Attempt] = field(default_factory=list)
    maybe: Attempt | None = None  # the first attempt that may have run
    live: bool = True


@dataclass(slots=True)
class Asked:
    """A request that an authoriser is asked about; its units are kept for it."""

    request: api.Request
    arrived: float
    restrictor: Any
    plan: api.Plan  # that it was charged under
    epoch: int  # of the restrictor, when it was charged
    filled: float  # what its store was filled by


class Refusals:
    """Counts refusals by reason for the log line that on-call staff read."""

    def __init__(self, every: float) -> None:
        self.every, self.due = every, math.inf
        self.counts: dict[str, int] = {}

    def note(self, reason: str) -> None:
        self.counts[reason] = self.counts.get(reason, 0) + 1

    def lines(self, now: float) -> list[api.Action]:
        """The line that is due now, if any."""
        self.due = now + self.every if self.due == math.inf else self.due
        if now < self.due:
            return []
        self.due += self.every
        told = ", ".join(f"{reason} {count}" for reason, count in sorted(self.counts.items()))
        self.counts = {}
        return [api.Log(f"refused in {self.every:.0f} s: {told}")] if told else []
