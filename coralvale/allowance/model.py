"""Types of the shared ceilings: the ceiling, calls to the counter, and states of the counter.

Rates are units a second; times are Unix time in seconds on the caller's clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class Ceiling:
    """A hard limit over all gateways of a station: at most `burst + rate * t` units in any t seconds."""

    rate: float
    burst: float


class Kind(Enum):
    """What the total of a name on the counter means. Other gateways read the values."""

    DEMAND = "a"  # rate that each gateway could use in a window beyond its own part
    GRANT = "p"  # share of its part that one gateway grants another for a window; only the donor writes it


@dataclass(frozen=True, slots=True)
class Name:
    """A name on the counter. `donor` and `recipient` are indexes in the station's set of gateways, or -1."""

    kind: Kind
    station: int
    window: int
    donor: int = -1
    recipient: int = -1

    def __str__(self) -> str:
        ends = f".{self.donor}.{self.recipient}" if self.kind is Kind.GRANT else ""
        return f"{self.kind.value}{self.station:x}.{self.window:x}{ends}"


@dataclass(frozen=True, slots=True)
class Call:
    """Adds an amount to a name and returns the total; a new name is kept for `lifetime` seconds."""

    name: Name
    amount: float
    lifetime: float


class CounterState(Enum):
    """State of the counter as one gateway sees it; see the table in `escrow`.

    It decides which calls are made and has no effect on the ceiling.
    """

    WHOLE = "whole"
    CROWDED = "crowded"
    SHORT = "short"
    SILENT = "silent"
