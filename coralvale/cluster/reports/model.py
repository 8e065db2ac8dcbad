"""What a zone's speaker tells the other zones."""

from __future__ import annotations

import msgspec

FROM, BELOW = 120, 100  # gateways from which on zones report, and below which all words go to all again


def uses_zone_reports(gateways: int, before: bool) -> bool:
    """Whether a fleet's zones report; `before`: whether they did until now."""
    return gateways >= (BELOW if before else FROM)


class ReportHead(msgspec.Struct, frozen=True, array_like=True):
    """`by`: address of the gateway that speaks for the zone; `gateways`: those whose words the report sums;
    `serial`: another one in each of the speaker's reports, so that one that comes twice is known."""

    zone: int
    reporter: str
    gateways: int
    serial: int


class Presence(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Who is there, and the newest that any of them knows."""

    head: ReportHead
    addresses: bytes  # of the gateways, packed
    carriers: int  # how many of them, the first ones, bring words to all in the zone
    digest: int  # of the speaker's register of hosts
    shares: int  # version of the table of shares
    view: int
    leader: str  # its address
    core: tuple[str, ...]
    beats: list[tuple[str, int]]


class UsageSum(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """What the zone let through, by tenant, packed. It takes the place of the one before."""

    head: ReportHead
    rows: bytes


class InFlightSum(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """What the zone has out at copies, packed. It takes the place of the one before."""

    head: ReportHead
    rows: bytes


class HealthSum(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """What the zone has found of copies, packed. It takes the place of the one before."""

    head: ReportHead
    rows: bytes


Report = Presence | UsageSum | InFlightSum | HealthSum
