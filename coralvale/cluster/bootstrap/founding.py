"""Who founds the core: on the very first start all disks are empty, and nobody knows how many others there are.

All get the same seeds then, so all know the same nominator: the seed with the lowest address. It names one
disk, once. What holds at every moment: at most one disk is ever told that it is the founder.

- One with a disk names its own, and no other: so it says the same after a restart. While its disk cannot be read
  it names nobody.
- One without a disk remembers whom it named in memory alone; one that starts again names nobody until it is old
  enough to have heard of a core that is there (`MIN_UPTIME_S`).
- A disk that was lost (`Bootstrap` false) neither names nor founds; one that knows a core asks it for a seat.
- Nobody else is named in the place of one that was named and is silent: it may have founded the core behind a
  cut. The operator begins anew then (docs/operate/cluster.md), nothing was acknowledged yet.
"""

from __future__ import annotations

from attrs import define

MIN_UPTIME_S = 2.0  # s: a word of the core comes every half second, to all


@define
class CoreBootstrap:
    ip: str
    seeds: tuple[str, ...]  # their IP numbers
    bootstrap: bool  # the whole system starts for the first time
    has_disk: bool
    started_at: float
    disk_id: str = ""  # the own disk's id, once it was read
    nominated: str = ""  # whom this gateway has named
    bootstrapped: bool = False  # here

    @property
    def nominator(self) -> str:
        """Whom to ask."""
        return min(self.seeds, default=self.ip)

    def mark_disk_lost(self) -> None:
        """What the disk held cannot be used: it may have been the founder's."""
        self.bootstrap = False

    def answer_request(self, now: float, candidate: str, core_known: bool) -> str:
        """Another's disk asks who founds the core: its id, "" while nobody is named."""
        if self.nominated:
            return self.nominated
        if not self.bootstrap or core_known or self.ip != self.nominator:
            return ""
        if self.has_disk:
            self.nominated = self.disk_id
        elif now - self.started_at >= MIN_UPTIME_S:
            self.nominated = candidate
        return self.nominated

    def should_ask(self, core_known: bool) -> bool:
        """Whether this gateway's disk has to ask the nominator, or itself, who founds the core."""
        return self.bootstrap and bool(self.disk_id) and not core_known and not self.bootstrapped

    def accept_answer(self, named: str, core_known: bool) -> bool:
        """The nominator's answer; whether to found the core now, which is said once."""
        if named != self.disk_id or not self.should_ask(core_known):
            return False
        self.bootstrapped = True
        return True
