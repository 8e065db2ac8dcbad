"""Selects which reports of the other zones count.

A report replaces the previous one of its zone, whoever sent it, so nothing counts twice when the reporter
changes, and when a report is lost the previous one counts until the next. Of two concurrent reporters the one
that sums more gateways is followed. A gateway that a report sums is not also counted by its own messages.
"""

from __future__ import annotations

import math

from attrs import define, field

from coralvale.cluster.rate_limit.usage import PERIOD
from coralvale.cluster.reports.model import ReportHead

# Time without a report after which one that sums fewer gateways is followed as well. Shorter than the delay of
# a standby, which may no longer receive the messages of the reporter that it replaces.
STALE_AFTER_S = 1.2 * PERIOD
FRESH_FOR_S = 1.3  # since a report, for which it counts for the gateways that it sums


@define
class FollowedReports:
    """The reporter followed for a zone, and the number of gateways that its newest report sums."""

    reporter: str = ""
    gateways: int = 0
    heard_at: float = -math.inf
    serials: dict[type, int] = field(factory=dict)  # newest serial by kind of report


class ZoneReports:
    """The newest reports of all other zones."""

    def __init__(self) -> None:
        self.followed: dict[int, FollowedReports] = {}
        self.zone_of: dict[str, int] = {}  # by address, the zone whose report sums the gateway

    def accepts(self, now: float, head: ReportHead, kind: type) -> bool:
        """Whether a report counts and is to be forwarded; otherwise it is to be ignored."""
        followed = self.followed.setdefault(head.zone, FollowedReports())
        if head.reporter != followed.reporter:
            if head.gateways < followed.gateways and now - followed.heard_at < STALE_AFTER_S:
                return False
            followed = self.followed[head.zone] = FollowedReports(head.reporter)
        elif followed.serials.get(kind) == head.serial:
            return False  # duplicate over another path
        followed.gateways, followed.heard_at = head.gateways, now
        followed.serials[kind] = head.serial
        return True

    def set_members(self, zone: int, addresses: list[str]) -> None:
        """Sets the gateways that the zone's report sums."""
        for address in [a for a, of in self.zone_of.items() if of == zone]:
            del self.zone_of[address]
        for address in addresses:
            self.zone_of[address] = zone

    def covers(self, now: float, address: str) -> bool:
        """Whether a gateway is summed by a report that is still fresh."""
        zone = self.zone_of.get(address)
        return zone is not None and now - self.followed[zone].heard_at < FRESH_FOR_S

    def drop_silent(self, now: float, longest: float) -> list[int]:
        """Drops zones without a report for more than `longest` s, and returns them."""
        zones = [zone for zone, followed in self.followed.items() if now - followed.heard_at > longest]
        for zone in zones:
            del self.followed[zone]
            self.set_members(zone, [])
        return zones
