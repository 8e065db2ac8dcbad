"""State that the decision module keeps between events. Nothing in this file decides anything."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any

from coralvale import interface as api


class RateEstimate:
    """Rate of own events of one kind, from an exponential average of their gaps (`weight` of the newest)."""

    def __init__(self, weight: float) -> None:
        self.weight, self.gap, self.last_at = weight, math.inf, -math.inf

    def note(self, now: float) -> None:
        """Records an event."""
        gap = now - self.last_at
        self.gap = gap if self.gap == math.inf else self.gap + self.weight * (gap - self.gap)
        self.last_at = now

    def rate(self, now: float) -> float:
        """Events per second; an open gap that is longer than the average counts already."""
        gap = (
            self.gap + self.weight * max(0.0, now - self.last_at - self.gap)
            if self.gap < math.inf
            else math.inf
        )
        return 1 / max(gap, 1e-3)


@dataclass(slots=True)
class Attempt:
    """One sending of a request to a server."""

    host: Any  # the server, a `health.Host`
    sent_at: float
    done: bool = False


@dataclass(slots=True)
class HeldRequest:
    """An admitted request, kept until it is answered and no attempt is in flight."""

    request: api.Request
    arrived: float
    restrictor: Any  # the customer's `Restrictor`
    epoch: int  # of the restrictor, when it was charged
    attempts: list[Attempt] = field(default_factory=list)
    maybe_ran: Attempt | None = None  # the first attempt that may have run
    unanswered: bool = True  # and its client still waits


@dataclass(slots=True)
class HeldCheck:
    """A request that waits for its authoriser; its units are reserved."""

    request: api.Request
    arrived: float
    restrictor: Any
    plan: api.Plan  # under which it was charged
    epoch: int  # of the restrictor, when it was charged
    charged: float  # by how much the bucket was filled


class Refusals:
    """Counts refusals by reason, for one log line each `every` seconds."""

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
        counts = ", ".join(f"{reason} {count}" for reason, count in sorted(self.counts.items()))
        self.counts = {}
        return [api.Log(f"refused in {self.every:.0f} s: {counts}")] if counts else []
