"""Who speaks for a zone, and when.

Each gateway hears the words of all in its zone, so each could report their sums. The first in an order that all
of them know alike does, each period; the next ones hear its reports and speak when none has come for longer. A
speaker that dies, freezes or is cut off is thus replaced within two periods, whatever membership says of it. Two
that speak at once do no harm: a report takes the place of the one before (`zones`).
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from coralvale.cluster.rate_limit.usage import PERIOD

STANDBYS = 2  # gateways beside the first that hear the zone's reports, and speak in its place
LONGER = 0.5  # periods that each of them waits longer than the one before it
EARLIER = 0.7  # periods after which the first takes over again from one that has spoken in its place
GATEWAY_TIMEOUT_S = 1.2  # s without a word of a gateway, after which the sums are without it


class ZoneReporter:
    """One gateway's part in it."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.reported = -math.inf  # when the zone was reported last, by anyone
        self.speaks = False  # it was by this gateway
        self.gateways = 0  # that the report of this gateway sums

    def candidates(self, here: Iterable[str], carriers: Iterable[str]) -> list[str]:
        """The first ones that may speak, of the zone's gateways that were heard of; those that carry words have
        the link for it, and go first."""
        first = set(carriers)
        return sorted(here, key=lambda ip: (ip not in first, ip))[: 1 + STANDBYS]

    def other_reported(self, now: float, gateways: int) -> None:
        """Another has reported this zone. One that hears much less of it does not speak for it."""
        if 2 * gateways >= self.gateways:
            self.reported, self.speaks = now, False

    def due(self, order: list[str]) -> float:
        """When this gateway is to report; inf where others do."""
        if self.address not in order:
            return math.inf
        if self.speaks:
            return self.reported + PERIOD
        rank = order.index(self.address)
        return self.reported + PERIOD * (1 + LONGER * rank if rank else EARLIER)

    def start_report(self, now: float, gateways: int) -> None:
        """This gateway reports now."""
        self.reported, self.gateways, self.speaks = now, gateways, True
