"""The bootstrap of the core (the group of replicas): the choice of the one disk that creates it.

On the very first start all disks are empty, and no gateway knows how many others there are. All have the same
seeds, so all know the same nominator: the seed with the lowest address. It nominates one disk, once.
Invariant: at most one disk is ever told that it is the founder.

- A nominator with a disk nominates only its own, so it gives the same answer after a restart. While its disk
  cannot be read it nominates nobody.
- A nominator without a disk keeps the nomination in memory only. After a restart it nominates nobody until it
  has run long enough to have heard of an existing core (`MIN_UPTIME_S`).
- A gateway whose disk was lost (`Bootstrap` false) neither nominates nor founds. A gateway that knows a core
  asks it to join.
- A nominated disk that is silent is not replaced by another: it may have founded the core on the other side
  of a network partition. The operator then starts over (docs/operate/cluster.md); nothing was acknowledged
  yet.
"""

from __future__ import annotations

from attrs import define

MIN_UPTIME_S = 2.0  # messages about the core reach all gateways every 0.5 s


@define
class CoreBootstrap:
    """The bootstrap rules at one gateway. Times are seconds of a monotonic clock."""

    ip: str
    seeds: tuple[str, ...]  # IP addresses
    bootstrap: bool  # the whole system starts for the first time
    has_disk: bool
    started_at: float  # when this process started
    disk_id: str = ""  # id of the own disk, "" until it was read
    nominated: str = ""  # id of the disk that this gateway has nominated
    bootstrapped: bool = False  # whether this gateway has founded the core

    @property
    def nominator(self) -> str:
        """Address of the gateway that nominates the founder."""
        return min(self.seeds, default=self.ip)

    def mark_disk_lost(self) -> None:
        """The contents of the disk cannot be used: it may have been the founder's, so this gateway must not
        found."""
        self.bootstrap = False

    def answer_request(self, now: float, candidate: str, core_known: bool) -> str:
        """Answers a gateway that asks who founds the core: the founder's disk id, "" while none is
        nominated."""
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
        """Whether this gateway should ask the nominator (possibly itself) who founds the core."""
        return self.bootstrap and bool(self.disk_id) and not core_known and not self.bootstrapped

    def accept_answer(self, named: str, core_known: bool) -> bool:
        """Takes the nominator's answer; whether to found the core now, which is true only once."""
        if named != self.disk_id or not self.should_ask(core_known):
            return False
        self.bootstrapped = True
        return True
