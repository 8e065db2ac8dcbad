"""Rules for processes: they exit only when signalled and within their grace; their resources don't grow."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Iterator
from itertools import dropwhile

from coralvale.cluster.soak import history as h
from coralvale.cluster.soak.timeline import MARGIN_S, Timeline, Violation

WARM_UP_S = 5.0  # after a process first reports its tasks; samples in it are ignored
CLIENT_WINDOW_S = 2.0  # in which a client that uses a gateway has sent it a request
MIN_SPAN_S = 10.0  # of samples after the warm-up; a life with fewer is not checked
GROWTH_LIMITS: tuple[tuple[str, Callable[[h.Sample], int], int], ...] = (
    ("descriptors", lambda sample: sample.descriptors, 40),
    ("tasks", lambda sample: sample.tasks, 60),
    ("KiB of memory", lambda sample: sample.memory, 40_000),
)  # name, value, and by how much it may grow


def process_ends(timeline: Timeline) -> Iterator[Violation]:
    """END: after SIGTERM a process exits within its grace with code 0; none exits without a signal."""
    for life in timeline.lives.values():
        name = f"gateway {life.gateway}, life {life.number}"
        at = life.exited_at if life.exited_at is not None else timeline.last_at
        if life.exited_at is not None and life.terminated_at is None and life.killed_at is None:
            yield Violation("END", at, f"{name} exited unasked with exit code {life.exit_code}", name)
        if life.terminated_at is None:
            continue
        took = at - life.terminated_at
        lost = timeline.lost_time(life, life.terminated_at, at)
        killed_early = life.killed_at is not None and not life.overdue
        if killed_early:
            continue
        if life.overdue or took - lost > timeline.run.grace + MARGIN_S:
            text = f"{name} exited {took:.2f} s after SIGTERM, of which it could not run for {lost:.2f} s"
            yield Violation("END", at, text, name)
        elif life.exited_at is not None and life.exit_code != 0:
            yield Violation("END", at, f"{name} exited with code {life.exit_code} after SIGTERM", name)


class _ClientCounts:
    """How many clients use each life of a gateway."""

    def __init__(self, timeline: Timeline) -> None:
        self.requests: dict[tuple[int, int], list[tuple[float, int]]] = defaultdict(list)
        for sent in timeline.events_of(h.Sent):
            client = sent.connection // h.CONNECTIONS_PER_CLIENT
            self.requests[sent.gateway, sent.life].append((sent.at, client))

    def at(self, gateway: int, life: int, moment: float) -> int:
        """The clients that sent it a request in the `CLIENT_WINDOW_S` before a moment."""
        requests = self.requests[gateway, life]
        first, last = bisect_left(requests, (moment - CLIENT_WINDOW_S,)), bisect_left(requests, (moment,))
        return len({client for _, client in requests[first:last]})

    def from_half_of_the_last(self, gateway: int, life: int, samples: list[h.Sample]) -> list[h.Sample]:
        """The samples from the first on at which half as many clients use the life as in the last fifth."""
        since = samples[-1].at - (samples[-1].at - samples[0].at) / 5
        least = min(self.at(gateway, life, s.at) for s in samples if s.at >= since)
        return list(dropwhile(lambda s: 2 * self.at(gateway, life, s.at) < least, samples))


def growth(timeline: Timeline) -> Iterator[Violation]:
    """GROWTH: resources of a long life in its last fifth exceed those in its first by no more than a margin.

    The minimum of the last fifth is compared with the maximum of the first. A life that clients come to later is
    compared from when half as many use it as at its end: each brings connections of its own and to hosts.
    """
    clients = _ClientCounts(timeline)
    by_life: dict[tuple[int, int], list[h.Sample]] = defaultdict(list)
    # When a life first reported its tasks: on a busy machine a process starts slowly.
    began: dict[tuple[int, int], float] = {}
    for sample in timeline.events_of(h.Sample):
        name = (sample.gateway, sample.life)
        life = timeline.lives.get(name)
        if sample.tasks:
            began.setdefault(name, sample.at)
        warm = name in began and sample.at >= began[name] + WARM_UP_S
        if life and warm and (life.terminated_at is None or sample.at < life.terminated_at):
            by_life[name].append(sample)
    for (gateway, number), warm_samples in by_life.items():
        samples = clients.from_half_of_the_last(gateway, number, warm_samples)
        span = samples[-1].at - samples[0].at
        if span < MIN_SPAN_S:
            continue
        first = [s for s in samples if s.at <= samples[0].at + span / 5]
        last = [s for s in samples if s.at >= samples[-1].at - span / 5]
        for what, count, margin in GROWTH_LIMITS:
            before, after = max(count(s) for s in first), min(count(s) for s in last)
            if before and after > before + margin:
                text = f"gateway {gateway}, life {number}: {before} {what}, and {after} after {span:.0f} s"
                yield Violation("GROWTH", samples[-1].at, text, f"gateway {gateway}")
