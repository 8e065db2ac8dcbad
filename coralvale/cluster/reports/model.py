"""Messages that a zone's reporter sends to the other zones."""

from __future__ import annotations

import msgspec

# Fleet sizes from which zones report, and below which gossip messages go to all gateways again.
REPORTS_FROM, REPORTS_BELOW = 120, 100


def uses_zone_reports(gateways: int, before: bool) -> bool:
    """Whether the zones of a fleet of this size report. `before`: whether they do now."""
    return gateways >= (REPORTS_BELOW if before else REPORTS_FROM)


class ReportHead(msgspec.Struct, frozen=True, array_like=True):
    """Header of a report.

    `reporter`: address of the gateway that reports for the zone; `gateways`: number of gateways that the
    report sums; `serial`: different in each of the reporter's reports, to detect duplicates.
    """

    zone: int
    reporter: str
    gateways: int
    serial: int


class Presence(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The gateways of the zone, and the newest state that any of them knows."""

    head: ReportHead
    addresses: bytes  # of the gateways, packed
    carriers: int  # how many of them (the first ones) relay messages to all in the zone
    digest: int  # of the reporter's register of hosts
    shares: int  # version of the share table
    view: int
    leader: str  # its address
    core: tuple[str, ...]
    beats: list[tuple[str, int]]


class UsageSum(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Requests that the zone admitted, by tenant, packed. Replaces the previous report."""

    head: ReportHead
    rows: bytes


class InFlightSum(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Attempts of the zone in flight at each copy, packed. Replaces the previous report."""

    head: ReportHead
    rows: bytes


class HealthSum(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Health evidence of the zone about copies, packed. Replaces the previous report."""

    head: ReportHead
    rows: bytes


Report = Presence | UsageSum | InFlightSum | HealthSum
