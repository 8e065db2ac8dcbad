"""Metered use of tenants: what this gateway let through, and what the others tell of themselves.

Each gateway tells all others, every `PERIOD`, what it let through in the rule's window and since the word
before, so that what is lost or comes twice does no harm. The readings feed the leak rates of the restrictors;
no limit rests on them.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

from attrs import define, field

PERIOD = 0.5  # s between words of a gateway
NOTHING = (0, 0)  # told of a tenant: let through in the window, and since the word before
LATE = 1.3  # s without a word after which a gateway is taken to be out of reach
KEPT_FOR = 60.0  # s without a word after which a gateway counts as gone
MAX_GATEWAYS = 2400  # gateways known at once, as membership has it; words of further ones are left out

TenantUsage = dict[
    str, tuple[int, int]
]  # by tenant: requests let through in the window, and since the word before


@define
class Other:
    """What another gateway has said. `version`: of the configuration that it has."""

    use: TenantUsage = field(factory=dict)
    heard_at: float = -math.inf
    version: int = 0
    spoke: bool = False
    left: bool = False


@define
class Elsewhere:
    """What all others let through of one tenant: in the window, and in their newest periods."""

    window: int = 0
    newest: int = 0


class Window:
    """A running sum over the last seconds, in steps."""

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
    """What the other gateways tell, and which of them are there."""

    def __init__(self, window: float) -> None:
        self.window = window
        self.peers: dict[str, Other] = {}
        self.zones: dict[int, Other] = {}  # what the reports of other zones say, each for all its gateways
        self.sums: dict[str, Elsewhere] = {}
        self.met = -math.inf  # when another gateway was met last

    def peer_joined(self, now: float, name: str) -> None:
        """Another gateway is there, though it has said nothing of tenants yet."""
        self.met = now
        if other := self.peers.get(name):
            other.left = False  # it is back
        elif len(self.peers) < MAX_GATEWAYS:
            self.peers[name] = Other(heard_at=now)

    def peer_left(self, name: str) -> None:
        """A gateway has said that it ends."""
        if other := self.peers.get(name):
            other.left = True

    def record_peer(
        self, now: float, name: str, use: TenantUsage, whole: bool = True, version: int = 0
    ) -> None:
        """Another gateway's word: of all tenants, or of those of whom it has something else to say."""
        other = self.peers.get(name)
        if other is None:
            if len(self.peers) >= MAX_GATEWAYS:
                return
            other = self.peers[name] = Other()
        if whole:
            for tenant in [t for t in other.use if t not in use]:
                self._take(other, tenant, NOTHING)
            other.spoke = True
        for tenant, told in use.items():
            self._take(other, tenant, told)
        other.heard_at, other.left, other.version = now, False, version

    def record_zone(self, now: float, zone: int, use: TenantUsage) -> None:
        """What all gateways of another zone let through, in place of what was told of it before."""
        other = self.zones.setdefault(zone, Other())
        for tenant in [t for t in other.use if t not in use]:
            self._take(other, tenant, NOTHING)
        for tenant, told in use.items():
            self._take(other, tenant, told)
        other.heard_at = now

    def mark_present(self, now: float, names: Iterable[str]) -> None:
        """Gateways whose use is in the report of their zone: they are there, and count by it alone. One that has
        said that it ends stays so until membership has it back: a report may be older than its leave."""
        for name in names:
            other = self.peers.get(name)
            if other is None:
                if len(self.peers) >= MAX_GATEWAYS:
                    return
                other = self.peers[name] = Other()
            if other.left:
                continue
            other.heard_at, other.spoke = now, True
            if other.use:
                self._forget_use(other)

    def _forget_use(self, other: Other) -> None:
        for tenant in list(other.use):
            self._take(other, tenant, NOTHING)

    def _take(self, other: Other, tenant: str, told: tuple[int, int]) -> None:
        before = other.use.get(tenant, NOTHING)
        if told == before:
            return
        if (sums := self.sums.get(tenant)) is None:
            sums = self.sums[tenant] = Elsewhere()
        sums.window += told[0] - before[0]
        sums.newest += told[1] - before[1]
        if told != NOTHING:
            other.use[tenant] = told
        else:
            other.use.pop(tenant, None)

    def elsewhere(self, tenant: str) -> Elsewhere:
        """What all others let through, as far as they have told it."""
        return self.sums.get(tenant) or Elsewhere()

    def gateway_count(self, now: float) -> int:
        """Gateways that serve, or may be serving behind a cut, this one as well."""
        return 1 + sum(not o.left and now - o.heard_at < KEPT_FOR for o in self.peers.values())

    def is_reachable(self, now: float, name: str) -> bool:
        """Whether another gateway's words come."""
        other = self.peers.get(name)
        return other is not None and not other.left and now - other.heard_at < LATE

    def has_heard_all(self) -> bool:
        """Whether each gateway that is known of has told its use."""
        return all(o.spoke or o.left for o in self.peers.values())

    def drop_stale(self, now: float) -> None:
        """What was told longer ago than the window is in no window any more; who has not been heard of for
        much longer is gone, and makes room for others."""
        for name in [
            n for n, other in self.peers.items() if now - other.heard_at > KEPT_FOR and not other.use
        ]:
            del self.peers[name]
        for other in (*self.peers.values(), *self.zones.values()):
            if other.use and now - other.heard_at > self.window:
                self._forget_use(other)
        for name in [n for n, sums in self.sums.items() if not (sums.window or sums.newest)]:
            del self.sums[name]
