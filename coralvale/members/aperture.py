"""An even split of hosts over gateways: the few that each keeps to, the same answer at every member. No I/O.

Rendezvous hashing with bounded loads (D. Thaler, C. Ravishankar 1998; V. Mirrokni, M. Thorup, M. Zadimoghaddam,
"Consistent hashing with bounded loads", SODA 2018): each gateway in turn, the heaviest first, takes the hosts
that score highest for it, but for those that already have their part. Who joins or goes changes what others take
only where a host had no room for them, so little moves.

`Even` takes the place of the decisions' choice by lot; what is sent where among the chosen stays theirs.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence

from coralvale.health import Host, ServerSubset
from coralvale.members.model import Member
from coralvale.members.placement import drawn

OVER = 1.05  # times the mean that a host's load may be with half of the part that would come on top
MOST = 100_000  # pairs of gateway and host; past it each chooses by lot as without a view
Scores = dict[tuple[str, str], float]  # of gateway and host, both by name: ln of what was drawn for them


def split(
    gateways: Sequence[Member], hosts: Sequence[tuple[str, float]], size: int, scores: Scores | None = None
) -> dict[str, list[str]]:
    """Names of `size` hosts for each gateway, all of them if there are no more.

    `hosts` are names and capacities, above 0; a gateway's weight is its part of all traffic. `scores` keeps what
    was hashed for the next time. Whatever order they come in, the answer is the same.
    """
    scores = {} if scores is None else scores
    capacity = dict(hosts)
    if size >= len(capacity):
        return {g.name: sorted(capacity) for g in gateways}
    # Sums that do not depend on the order: all members are to find the same to the last bit.
    every, traffic = math.fsum(capacity.values()), math.fsum(g.weight for g in gateways)
    room = {name: OVER * traffic * part / every for name, part in capacity.items()}
    chosen = {}
    for gateway in sorted(gateways, key=lambda g: (-g.weight, drawn(g.name, b""), g.name)):
        rank = {}
        for name, part in capacity.items():
            if (lot := scores.get((gateway.name, name))) is None:
                lot = scores[gateway.name, name] = math.log(drawn(gateway.name, name.encode()))
            rank[name] = lot / part
        part = gateway.weight / size
        wanted = sorted(capacity, key=lambda name: (-rank[name], name))
        taken = [name for name in wanted if room[name] >= part / 2][:size]
        if len(taken) < size:  # one with more than its part of all traffic, or the last: where most is left
            left = sorted(set(wanted) - set(taken), key=lambda name: (-room[name] / capacity[name], name))
            taken += left[: size - len(taken)]
        for name in taken:
            room[name] -= part
        chosen[gateway.name] = taken
    return chosen


class Even(ServerSubset):
    """The near servers of one gateway, by the view: `members` tells who is there, `me` is its name among them."""

    def __init__(self, lots: random.Random, me: str, members: Callable[[], list[Member]]) -> None:
        super().__init__(lots)
        self.me, self.members = me, members
        self.scores: Scores = {}
        self.size = 0
        self.seen: object = None  # the view and the servers that it was found for
        self.mine: list[Host] = []  # by the split
        self.others: dict[str, Host] = {}  # in the place of those of them that are ill
        self.chosen = 0

    def renew(self, before: list[Host], warm: list[Host], size: int) -> None:
        """Another list of servers. On the path of a request: a split that stands is found anew in `step`."""
        self.size = size
        there = {h.info.id: h for h in warm}
        if self.mine and (mine := [there[h.info.id] for h in self.mine if h.info.id in there]):
            self.mine = mine
            self.others = {n: there[h.info.id] for n, h in self.others.items() if h.info.id in there}
            self._put()
        else:
            self._choose(before, warm)

    def _choose(self, before: list[Host], warm: list[Host]) -> None:
        """Finds the split, if the view or the servers are others than it was found for."""
        members, hosts = self.members(), [(h.info.id, h.scale) for h in warm]
        seen = [(m.name, m.weight) for m in members], hosts, self.size
        if seen == self.seen:
            return
        self.seen = seen
        if (
            self.size >= len(warm)
            or len(members) * len(warm) > MOST
            or all(m.name != self.me for m in members)
        ):
            self.mine, self.others = [], {}
            return super().renew(before, warm, self.size)
        self.chosen += 1
        if len(self.scores) > 2 * MOST:
            self.scores.clear()
        mine = set(split(members, hosts, self.size, self.scores)[self.me])
        self.mine = [h for h in warm if h.info.id in mine]
        self.others = {name: h for name, h in self.others.items() if name in mine}
        self._put()

    def _put(self) -> None:
        self.hosts = [self.others.get(h.info.id, h) for h in self.mine]

    def step(self, now: float, warm: list[Host], usual: float) -> None:
        """Once a second: another view, and for each that is ill another until it is well again."""
        if self.size:
            self._choose(warm, warm)
        if not self.mine:
            return super().step(now, warm, usual)
        near = {h.info.id for h in self.mine}
        for host in self.mine:
            name = host.info.id
            if not host.unhealthy(now, usual):
                self.others.pop(name, None)
            elif name not in self.others or self.others[name].unhealthy(now, usual):
                well = [h for h in warm if h.info.id not in near and not h.unhealthy(now, usual)]
                if well:
                    self.others[name] = self.rng.choice(well)
        self._put()
