"""Looks into a history that several rules share: lives of processes, troubles, and time that a machine lost."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterable
from typing import TypeVar

from attrs import define, field, frozen

from coralvale.cluster.soak import history as h

E = TypeVar("E")
MARGIN = 1.0  # s that a process may take beside what it waited for: its own work in a crowd of requests
TROUBLES = {"start", "term", "kill", "stop", "cont", "wipe", "exit", "overdue", "disk-full", "disk-well"}


@frozen
class Violation:
    """A broken rule, with the moment around which to read."""

    rule: str
    at: float
    text: str
    subject: str = ""  # the id, number or name that it is about


@define
class Life:
    """One life of a gateway's process."""

    gateway: int
    number: int
    core: bool
    begun: float
    killed: float | None = None
    told: float | None = None
    ended: float | None = None
    code: int = 0
    overdue: bool = False
    frozen: list[tuple[float, float]] = field(factory=list)
    waited: list[tuple[float, float]] = field(factory=list)  # time, s waited for a processor so far


@define
class Request:
    """A client's request and what became of it."""

    sent: h.Sent
    written: float | None = None
    end: h.Answered | h.Closed | h.Left | h.Silent | None = None
    ran: list[h.Ran] = field(factory=list)


class Timeline:
    """A history, sorted out."""

    def __init__(self, events: Iterable[h.Event]) -> None:
        self.events = sorted(events, key=lambda event: event.at)
        self.began = next((e for e in self.events if isinstance(e, h.Began)), h.Began(0.0, 0, 0))
        self.last = self.events[-1].at if self.events else 0.0
        self.lives: dict[tuple[int, int], Life] = {}
        self.troubles: dict[int, list[float]] = defaultdict(list)  # by gateway
        self.core_troubles: list[float] = []
        self.requests: dict[str, Request] = {}
        self.stalls: list[tuple[float, float]] = []
        self.links: dict[str, list[float]] = defaultdict(list)  # troubles of links and hosts, by host
        self.unknown: list[h.Ran] = []  # runs of requests that nobody sent
        for event in self.events:
            self._take(event)

    def of(self, kind: type[E]) -> list[E]:
        return [event for event in self.events if isinstance(event, kind)]

    def _take(self, event: h.Event) -> None:
        match event:
            case h.Process():
                self._take_process(event)
            case h.Sample():
                if life := self.lives.get((event.gateway, event.life)):
                    life.waited.append((event.at, event.waited))
            case h.Stall():
                self.stalls.append((event.at, event.seconds))
            case h.Sent():
                self.requests[event.id] = Request(event)
            case h.Written():
                self.requests[event.id].written = event.at
            case h.Answered() | h.Closed() | h.Left() | h.Silent():
                request = self.requests[event.id]
                request.end = request.end or event
            case h.Ran():
                if request_ := self.requests.get(event.id):
                    request_.ran.append(event)
                else:
                    self.unknown.append(event)
            case h.Link():
                self.links[event.host].append(event.at)
            case h.HostState() if event.what in ("crash", "gone"):
                self.links[event.host].append(event.at)

    def _take_process(self, event: h.Process) -> None:
        key = (event.gateway, event.life)
        if event.what == "start":
            self.lives[key] = Life(event.gateway, event.life, event.core, event.at)
        life = self.lives.get(key)
        if life is None:
            return
        if event.what == "term":
            life.told = life.told or event.at
        elif event.what == "kill":
            life.killed = life.killed or event.at
        elif event.what == "overdue":
            life.overdue = True
        elif event.what == "exit":
            life.ended, life.code = event.at, event.code
        elif event.what == "stop":
            life.frozen.append((event.at, float("inf")))
        elif event.what == "cont" and life.frozen:
            life.frozen[-1] = (life.frozen[-1][0], event.at)
        if event.what in TROUBLES:
            self.troubles[event.gateway].append(event.at)
            if event.core:
                self.core_troubles.append(event.at)

    # Time

    def lost_time(self, life: Life | None, since: float, until: float) -> float:
        """Seconds between two moments in which a process could not run, or the player could not see."""
        frozen = sum(
            max(0.0, min(until, end) - max(since, begin)) for begin, end in (life.frozen if life else [])
        )
        stalled = sum(s for at, s in self.stalls if since <= at <= until + s)
        return frozen + stalled + (_waited(life.waited, since, until) if life else 0.0)

    def in_touch(self, gateway: int, since: float, until: float) -> bool:
        """Whether neither this gateway nor the core had a trouble from `ContactMs` before `since` on."""
        begin = since - self.began.contact
        own, core = self.troubles.get(gateway, []), self.core_troubles
        return not _any(own, begin, until) and not _any(core, begin, until)

    def link_well(self, host: str, since: float, until: float) -> bool:
        """Whether neither a host nor its link had a trouble from `ContactMs` before `since` on."""
        return not _any(self.links.get(host, []), since - self.began.contact, until)

    def life_of(self, request: Request) -> Life | None:
        return self.lives.get((request.sent.gateway, request.sent.life))


def _any(moments: list[float], since: float, until: float) -> bool:
    return bisect_left(moments, since) < bisect_right(moments, until)


def _waited(samples: list[tuple[float, float]], since: float, until: float) -> float:
    """From the last sample before to the first after; where there is none, the nearest."""
    if len(samples) < 2:
        return 0.0
    times = [at for at, _ in samples]
    first = max(0, bisect_right(times, since) - 1)
    last = min(len(samples) - 1, bisect_left(times, until))
    return max(0.0, samples[last][1] - samples[first][1])
