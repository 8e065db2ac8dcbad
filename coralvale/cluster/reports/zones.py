"""Which report of another zone counts.

A report takes the place of the one before it, whoever sent that, so that nothing counts twice when the speaker
changes, and what is lost counts as before until the next one. Of two speakers at once the one that sums more
gateways is followed. A gateway that a report sums is not counted by words of its own beside it.
"""

from __future__ import annotations

import math

from attrs import define, field

from coralvale.cluster.rate_limit.usage import PERIOD
from coralvale.cluster.reports.model import ReportHead

# s without a report, after which one that sums fewer gateways is followed as well: less than a standby waits,
# which may no longer hear the speaker in whose place it reports.
STALE = 1.2 * PERIOD
FRESH = 1.3  # s for which a report stands for the gateways that it sums


@define
class Held:
    """What is followed of a zone: whose reports, and how many gateways the newest of them sums."""

    by: str = ""
    gateways: int = 0
    heard: float = -math.inf
    serials: dict[type, int] = field(factory=dict)  # by kind: the newest


class ZoneReports:
    """The newest reports of all other zones."""

    def __init__(self) -> None:
        self.held: dict[int, Held] = {}
        self.zones: dict[str, int] = {}  # by address: the zone whose report sums the gateway

    def accepts(self, now: float, head: ReportHead, kind: type) -> bool:
        """Whether a report counts; it is to be passed on then, and else to be passed over."""
        held = self.held.setdefault(head.zone, Held())
        if head.reporter != held.by:
            if head.gateways < held.gateways and now - held.heard < STALE:
                return False
            held = self.held[head.zone] = Held(head.reporter)
        elif held.serials.get(kind) == head.serial:
            return False  # it came by two ways
        held.gateways, held.heard = head.gateways, now
        held.serials[kind] = head.serial
        return True

    def set_members(self, zone: int, addresses: list[str]) -> None:
        """A report sums these gateways."""
        for address in [a for a, of in self.zones.items() if of == zone]:
            del self.zones[address]
        for address in addresses:
            self.zones[address] = zone

    def covers(self, now: float, address: str) -> bool:
        """Whether what a gateway does is in a report that counts."""
        zone = self.zones.get(address)
        return zone is not None and now - self.held[zone].heard < FRESH

    def drop_silent(self, now: float, longest: float) -> list[int]:
        """Zones without a report for so long; they are forgotten."""
        zones = [zone for zone, held in self.held.items() if now - held.heard > longest]
        for zone in zones:
            del self.held[zone]
            self.set_members(zone, [])
        return zones
