"""Types of the allowance: a ceiling, the calls to the counter, the states of trust in it.

Rates are units a second, times seconds of Unix time on the caller's clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class Ceiling:
    """A hard ceiling over all gateways of a station: at most `burst + rate * t` units in any t seconds."""

    rate: float
    burst: float


class Kind(Enum):
    """What a name on the counter holds."""

    DEMAND = "a"  # what each gateway would use of the next window beyond its own part
    GRANT = (
        "p"  # the share of its part that one gives to one other for one window: written by the first alone
    )


@dataclass(frozen=True, slots=True)
class Name:
    """A name on the counter. `giver` and `taker` are places in the station's set, -1 where there is none."""

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
    """Add an amount to a name and tell the total; a new name lives for `keep` seconds."""

    name: Name
    amount: float
    lifetime: float


class CounterState(Enum):
    """What a gateway holds of the counter; see the table in `escrow`. It governs calls, never the bound."""

    WHOLE = "whole"
    CROWDED = "crowded"
    SHORT = "short"
    SILENT = "silent"
