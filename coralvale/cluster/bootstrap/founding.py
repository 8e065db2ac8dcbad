"""Who founds the core: on the very first start all disks are empty, and nobody knows how many others there are.

All get the same seeds then, so all know the same nominator: the seed with the lowest address. It names one
disk, once. What holds at every moment: at most one disk is ever told that it is the founder.

- One with a disk names its own, and no other: so it says the same after a restart. While its disk cannot be read
  it names nobody.
- One without a disk remembers whom it named in memory alone; one that starts again names nobody until it is old
  enough to have heard of a core that is there (`OLD`).
- A disk that was lost (`Bootstrap` false) neither names nor founds; one that knows a core asks it for a seat.
- Nobody else is named in the place of one that was named and is silent: it may have founded the core behind a
  cut. The operator begins anew then (docs/operate/cluster.md), nothing was acknowledged yet.
"""

from __future__ import annotations

from attrs import define

OLD = 2.0  # s: a word of the core comes every half second, to all


@define
class Founding:
    ip: str
    seeds: tuple[str, ...]  # their IP numbers
    bootstrap: bool  # the whole system starts for the first time
    has_disk: bool
    born: float
    me: str = ""  # the own disk's id, once it was read
    named: str = ""  # whom this gateway has named
    founded: bool = False  # here

    @property
    def nominator(self) -> str:
        """Whom to ask."""
        return min(self.seeds, default=self.ip)

    def lost_disk(self) -> None:
        """What the disk held cannot be used: it may have been the founder's."""
        self.bootstrap = False

    def asked(self, now: float, candidate: str, core_known: bool) -> str:
        """Another's disk asks who founds the core: its id, "" while nobody is named."""
        if self.named:
            return self.named
        if not self.bootstrap or core_known or self.ip != self.nominator:
            return ""
        if self.has_disk:
            self.named = self.me
        elif now - self.born >= OLD:
            self.named = candidate
        return self.named

    def may_ask(self, core_known: bool) -> bool:
        """Whether this gateway's disk has to ask the nominator, or itself, who founds the core."""
        return self.bootstrap and bool(self.me) and not core_known and not self.founded

    def told(self, named: str, core_known: bool) -> bool:
        """The nominator's answer; whether to found the core now, which is said once."""
        if named != self.me or not self.may_ask(core_known):
            return False
        self.founded = True
        return True
