"""A history indexed for the rules: requests, lives of processes, disturbances, time lost by the machine."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterable
from typing import TypeVar

from attrs import define, field, frozen

from coralvale.cluster.soak import history as h

E = TypeVar("E")
MARGIN_S = 1.0  # beyond a bound, for a process's own work while many requests are in flight
DISTURBANCES = {"start", "term", "kill", "stop", "cont", "wipe", "exit", "overdue", "disk-full", "disk-well"}


@frozen
class Violation:
    """A broken rule. `at`: the moment in the history, s."""

    rule: str
    at: float
    text: str
    subject: str = ""  # the request id, lock, key or process that it is about


@define
class Life:
    """One life of a gateway: its process from start to exit. Times in s; None: that did not happen."""

    gateway: int
    number: int
    core: bool
    started_at: float
    killed_at: float | None = None
    terminated_at: float | None = None
    exited_at: float | None = None
    exit_code: int = 0
    overdue: bool = False  # still running long after its grace, and killed for that
    stopped_spans: list[tuple[float, float]] = field(factory=list)  # from SIGSTOP to SIGCONT
    cpu_waits: list[tuple[float, float]] = field(factory=list)  # time, s waited for a CPU so far


@define
class Request:
    """A client's request, its runs at hosts and its outcome."""

    sent: h.Sent
    written_at: float | None = None
    end: h.Answered | h.Closed | h.Left | h.Silent | None = None
    ran: list[h.Ran] = field(factory=list)
    finished: dict[str, float] = field(factory=dict)  # by host: when it was done with the request

    def hosts_at_work(self, moment: float) -> list[str]:
        """The hosts that had begun the request and were not done with it."""
        return [r.host for r in self.ran if r.at <= moment < self.finished.get(r.host, float("inf"))]


class Timeline:
    """A history sorted by time, with indexes by request, process, gateway and host."""

    def __init__(self, events: Iterable[h.Event]) -> None:
        self.events = sorted(events, key=lambda event: event.at)
        self.run = next((e for e in self.events if isinstance(e, h.Began)), h.Began(0.0, 0, 0))
        self.last_at = self.events[-1].at if self.events else 0.0
        self.lives: dict[tuple[int, int], Life] = {}
        self.disturbances: dict[int, list[float]] = defaultdict(list)  # by gateway
        self.core_disturbances: list[float] = []
        self.requests: dict[str, Request] = {}
        self.by_connection: dict[int, list[Request]] = defaultdict(list)  # in the order sent
        self.stalls: list[tuple[float, float]] = []
        self.link_disturbances: dict[str, list[float]] = defaultdict(list)  # of links and hosts, by host
        self.host_breaks: dict[str, list[float]] = defaultdict(list)  # ends and resets, by host; no silence
        self.unknown_runs: list[h.Ran] = []  # runs of requests that no client sent
        for event in self.events:
            self._add(event)

    def events_of(self, kind: type[E]) -> list[E]:
        """All events of a kind, by time."""
        return [event for event in self.events if isinstance(event, kind)]

    def _add(self, event: h.Event) -> None:
        match event:
            case h.Process():
                self._add_process(event)
            case h.Sample():
                if life := self.lives.get((event.gateway, event.life)):
                    life.cpu_waits.append((event.at, event.waited))
            case h.Stall():
                self.stalls.append((event.at, event.seconds))
            case h.Sent():
                self.requests[event.id] = Request(event)
                self.by_connection[event.connection].append(self.requests[event.id])
            case h.Written():
                self.requests[event.id].written_at = event.at
            case h.Answered() | h.Closed() | h.Left() | h.Silent():
                request = self.requests[event.id]
                request.end = request.end or event
            case h.Ran():
                if request_ := self.requests.get(event.id):
                    request_.ran.append(event)
                else:
                    self.unknown_runs.append(event)
            case h.Done() | h.AnswerLost():
                if request_ := self.requests.get(event.id):
                    request_.finished[event.host] = event.at
            case h.Link():
                self.link_disturbances[event.host].append(event.at)
                if event.what == "reset":
                    self.host_breaks[event.host].append(event.at)
            case h.HostState() if event.what in ("crash", "gone"):
                self.link_disturbances[event.host].append(event.at)
                self.host_breaks[event.host].append(event.at)

    def _add_process(self, event: h.Process) -> None:
        key = (event.gateway, event.life)
        if event.what == "start":
            self.lives[key] = Life(event.gateway, event.life, event.core, event.at)
        life = self.lives.get(key)
        if life is None:
            return
        if event.what == "term":
            life.terminated_at = life.terminated_at or event.at
        elif event.what == "kill":
            life.killed_at = life.killed_at or event.at
        elif event.what == "overdue":
            life.overdue = True
        elif event.what == "exit":
            life.exited_at, life.exit_code = event.at, event.code
        elif event.what == "stop":
            life.stopped_spans.append((event.at, float("inf")))
        elif event.what == "cont" and life.stopped_spans:
            life.stopped_spans[-1] = (life.stopped_spans[-1][0], event.at)
        if event.what in DISTURBANCES:
            self.disturbances[event.gateway].append(event.at)
            if event.core:
                self.core_disturbances.append(event.at)

    # Time

    def lost_time(self, life: Life | None, since: float, until: float) -> float:
        """Seconds between two moments in which a process could not run or the soak's event loop stalled."""
        frozen = sum(
            max(0.0, min(until, end) - max(since, begin))
            for begin, end in (life.stopped_spans if life else [])
        )
        stalled = sum(s for at, s in self.stalls if since <= at <= until + s)
        return frozen + stalled + (_cpu_wait(life.cpu_waits, since, until) if life else 0.0)

    def undisturbed(self, gateway: int, since: float, until: float) -> bool:
        """Whether neither this gateway nor the core was disturbed from `ContactMs` before `since` on."""
        begin = since - self.run.contact
        own, core = self.disturbances.get(gateway, []), self.core_disturbances
        return not _any_between(own, begin, until) and not _any_between(core, begin, until)

    def link_undisturbed(self, host: str, since: float, until: float) -> bool:
        """Whether neither a host nor its link was disturbed from `ContactMs` before `since` on."""
        return not _any_between(self.link_disturbances.get(host, []), since - self.run.contact, until)

    def closed_with(self, request: Request) -> list[Request]:
        """The requests of its connection up to this one that had no complete answer when it was closed."""
        sent = self.by_connection[request.sent.connection]
        return [r for r in sent[: sent.index(request) + 1] if isinstance(r.end, h.Closed)]

    def life_of(self, request: Request) -> Life | None:
        """The life of the gateway that the request was sent to; None if it is not known."""
        return self.lives.get((request.sent.gateway, request.sent.life))


def _any_between(moments: list[float], since: float, until: float) -> bool:
    return bisect_left(moments, since) < bisect_right(moments, until)


def _cpu_wait(samples: list[tuple[float, float]], since: float, until: float) -> float:
    """Seconds waited for a CPU from the last sample before `since` to the first after `until`.

    Where there is no such sample, the nearest one counts.
    """
    if len(samples) < 2:
        return 0.0
    times = [at for at, _ in samples]
    first = max(0, bisect_right(times, since) - 1)
    last = min(len(samples) - 1, bisect_left(times, until))
    return max(0.0, samples[last][1] - samples[first][1])
