"""Selects the gateway that reports for a zone, and when it reports.

Each gateway receives the gossip messages of all gateways in its zone, so each could report their sums. The
first in an order that they all compute alike reports each period; the next ones receive its reports and take
over when none has arrived for longer. A reporter that dies, freezes or is partitioned is thus replaced within
two periods, whatever membership says of it. Two concurrent reporters do no harm: a report replaces the
previous one (`zones`).
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from coralvale.cluster.rate_limit.usage import PERIOD

STANDBY_COUNT = 2  # gateways after the first that receive the zone's reports and take over
STANDBY_DELAY_PERIODS = 0.5  # additional delay of each standby
RECLAIM_PERIODS = 0.7  # after which the first takes over again from a standby
GATEWAY_TIMEOUT_S = 1.2  # without a message, after which a gateway is left out of the sums


class ZoneReporter:
    """One gateway's role in reporting for its zone."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.reported_at = -math.inf  # time of the zone's last report by any gateway, s
        self.is_reporting = False  # the last report was by this gateway
        self.gateways = 0  # number that this gateway's last report summed

    def candidates(self, here: Iterable[str], carriers: Iterable[str]) -> list[str]:
        """The gateways that may report, in order; `here`: the reachable ones of the zone.

        The carriers, which relay messages, have the bandwidth for it and go first.
        """
        first = set(carriers)
        return sorted(here, key=lambda ip: (ip not in first, ip))[: 1 + STANDBY_COUNT]

    def other_reported(self, now: float, gateways: int) -> None:
        """Another gateway has reported this zone. Ignored if it sums less than half as many gateways."""
        if 2 * gateways >= self.gateways:
            self.reported_at, self.is_reporting = now, False

    def due(self, order: list[str]) -> float:
        """Time at which this gateway has to report (s); inf if only others do."""
        if self.address not in order:
            return math.inf
        if self.is_reporting:
            return self.reported_at + PERIOD
        rank = order.index(self.address)
        return self.reported_at + PERIOD * (1 + STANDBY_DELAY_PERIODS * rank if rank else RECLAIM_PERIODS)

    def start_report(self, now: float, gateways: int) -> None:
        """Records that this gateway reports now."""
        self.reported_at, self.gateways, self.is_reporting = now, gateways, True
