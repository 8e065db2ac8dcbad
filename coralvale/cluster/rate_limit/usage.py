"""Metered use of tenants by all gateways, from their usage reports.

Each gateway reports to all others, every `PERIOD` seconds, what it admitted in the rule's window and since
its previous report, so lost or duplicate reports do no harm. The readings set the leak rates of the leaky
buckets. The limit that keeps all gateways within the quota, the tokens (`limiter`), does not depend on them.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

from attrs import define, field

PERIOD = 0.5  # s between the gossip messages of a gateway, which carry its usage report
NO_USAGE = (0, 0)  # of a tenant: admitted in the window, and since the previous report
REACHABLE_FOR_S = 1.3  # since the last message; after it a gateway counts as unreachable
FORGET_AFTER_S = 60.0  # without a message, after which a gateway counts as gone
MAX_GATEWAYS = 2400  # known at once, also to membership; reports of further ones are ignored

# By tenant: requests admitted in the window, and since the previous report.
TenantUsage = dict[str, tuple[int, int]]


@define
class PeerUsage:
    """State reported by another gateway, or by another zone.

    `heard_at`: time of its newest message, s; `version`: of its configuration; `reported_all`: its full usage is
    known, also from its zone's report; `left`: it has announced its shutdown.
    """

    use: TenantUsage = field(factory=dict)
    heard_at: float = -math.inf
    version: int = 0
    reported_all: bool = False
    left: bool = False


@define
class Elsewhere:
    """Requests of one tenant admitted by all other gateways: in the window, and in their newest periods."""

    window: int = 0
    newest: int = 0


class Window:
    """A sliding-window count over the last `length` seconds, in steps of `step` seconds."""

    def __init__(self, length: float, step: float) -> None:
        self.length, self.step = length, step
        self.steps: deque[tuple[float, int]] = deque()
        self.sum = 0

    def add(self, now: float, count: int) -> None:
        if count <= 0:
            return
        self.sum += count
        if self.steps and now - self.steps[-1][0] < self.step:
            at, before = self.steps[-1]
            self.steps[-1] = (at, before + count)
        else:
            self.steps.append((now, count))

    def total(self, now: float) -> int:
        while self.steps and now - self.steps[0][0] > self.length:
            self.sum -= self.steps.popleft()[1]
        return self.sum


class FleetUsage:
    """Usage reports of the other gateways, and which of them are reachable."""

    def __init__(self, window: float) -> None:
        self.window = window
        self.peers: dict[str, PeerUsage] = {}
        self.zones: dict[int, PeerUsage] = {}  # by zone: sum reported for all its gateways
        self.sums: dict[str, Elsewhere] = {}
        self.last_joined_at = -math.inf  # when a gateway joined or came back last, s

    def peer_joined(self, now: float, name: str) -> None:
        """A gateway joined or came back; it has not reported its usage yet."""
        self.last_joined_at = now
        if other := self.peers.get(name):
            other.left = False  # it came back
        elif len(self.peers) < MAX_GATEWAYS:
            self.peers[name] = PeerUsage(heard_at=now)

    def peer_left(self, name: str) -> None:
        """A gateway announced its shutdown."""
        if other := self.peers.get(name):
            other.left = True

    def record_peer(
        self, now: float, name: str, use: TenantUsage, whole: bool = True, version: int = 0
    ) -> None:
        """Records a gateway's usage report. `whole`: of all its tenants, else only of those that changed."""
        other = self.peers.get(name)
        if other is None:
            if len(self.peers) >= MAX_GATEWAYS:
                return
            other = self.peers[name] = PeerUsage()
        if whole:
            for tenant in [t for t in other.use if t not in use]:
                self._update(other, tenant, NO_USAGE)
            other.reported_all = True
        for tenant, reported in use.items():
            self._update(other, tenant, reported)
        other.heard_at, other.left, other.version = now, False, version

    def record_zone(self, now: float, zone: int, use: TenantUsage) -> None:
        """Records the usage of all gateways of another zone, replacing its previous report."""
        other = self.zones.setdefault(zone, PeerUsage())
        for tenant in [t for t in other.use if t not in use]:
            self._update(other, tenant, NO_USAGE)
        for tenant, reported in use.items():
            self._update(other, tenant, reported)
        other.heard_at = now

    def mark_present(self, now: float, names: Iterable[str]) -> None:
        """Marks gateways as reachable whose use is in their zone's report; their own reports no longer count.

        One that has announced its shutdown stays so until membership reports it back, because a zone's report
        may be older than the announcement.
        """
        for name in names:
            other = self.peers.get(name)
            if other is None:
                if len(self.peers) >= MAX_GATEWAYS:
                    return
                other = self.peers[name] = PeerUsage()
            if other.left:
                continue
            other.heard_at, other.reported_all = now, True
            if other.use:
                self._forget_use(other)

    def _forget_use(self, other: PeerUsage) -> None:
        for tenant in list(other.use):
            self._update(other, tenant, NO_USAGE)

    def _update(self, other: PeerUsage, tenant: str, reported: tuple[int, int]) -> None:
        before = other.use.get(tenant, NO_USAGE)
        if reported == before:
            return
        if (sums := self.sums.get(tenant)) is None:
            sums = self.sums[tenant] = Elsewhere()
        sums.window += reported[0] - before[0]
        sums.newest += reported[1] - before[1]
        if reported != NO_USAGE:
            other.use[tenant] = reported
        else:
            other.use.pop(tenant, None)

    def elsewhere(self, tenant: str) -> Elsewhere:
        """Requests that all other gateways admitted, as far as they have reported it."""
        return self.sums.get(tenant) or Elsewhere()

    def gateway_count(self, now: float) -> int:
        """Number of gateways that serve or may be serving behind a partition, including this one."""
        return 1 + sum(not o.left and now - o.heard_at < FORGET_AFTER_S for o in self.peers.values())

    def is_reachable(self, now: float, name: str) -> bool:
        """Whether messages of another gateway arrive."""
        other = self.peers.get(name)
        return other is not None and not other.left and now - other.heard_at < REACHABLE_FOR_S

    def has_heard_all(self) -> bool:
        """Whether every known gateway has reported its use."""
        return all(o.reported_all or o.left for o in self.peers.values())

    def drop_stale(self, now: float) -> None:
        """Drops usage reported longer ago than the window, and gateways silent for `FORGET_AFTER_S`."""
        for name in [
            n for n, other in self.peers.items() if now - other.heard_at > FORGET_AFTER_S and not other.use
        ]:
            del self.peers[name]
        for other in (*self.peers.values(), *self.zones.values()):
            if other.use and now - other.heard_at > self.window:
                self._forget_use(other)
        for name in [n for n, sums in self.sums.items() if not (sums.window or sums.newest)]:
            del self.sums[name]
