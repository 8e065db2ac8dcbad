"""Rules on processes: ends in order, and nothing that grows."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator

from coralvale.cluster.soak import history as h
from coralvale.cluster.soak.timeline import MARGIN, Timeline, Violation

WARM = 5.0  # s from a process's first word of itself that are not looked at
LONG = 10.0  # s of a life after that, at least: its first and last fifths are compared
GROWN: tuple[tuple[str, Callable[[h.Sample], int], int], ...] = (
    ("descriptors", lambda sample: sample.descriptors, 40),
    ("tasks", lambda sample: sample.tasks, 60),
    ("KiB of memory", lambda sample: sample.memory, 40_000),
)  # what is looked at, and by how much it may grow


def processes(line: Timeline) -> Iterator[Violation]:
    """END: a process that is told to end is gone within its grace with exit code 0; none ends by itself."""
    for life in line.lives.values():
        name = f"gateway {life.gateway}, life {life.number}"
        at = life.ended if life.ended is not None else line.last
        if life.ended is not None and life.told is None and life.killed is None:
            yield Violation("END", at, f"{name} ended by itself with exit code {life.code}", name)
        if life.told is None:
            continue
        took = at - life.told
        lost = line.lost_time(life, life.told, at)
        killed_early = life.killed is not None and not life.overdue
        if killed_early:
            continue
        if life.overdue or took - lost > line.began.grace + MARGIN:
            text = f"{name} ended {took:.2f} s after SIGTERM, of which it could not run for {lost:.2f} s"
            yield Violation("END", at, text, name)
        elif life.ended is not None and life.code != 0:
            yield Violation("END", at, f"{name} ended with exit code {life.code} after SIGTERM", name)


def growth(line: Timeline) -> Iterator[Violation]:
    """GROWTH: what a long life holds in its last fifth is no more than in its first, but for a margin."""
    by_life: dict[tuple[int, int], list[h.Sample]] = defaultdict(list)
    began: dict[
        tuple[int, int], float
    ] = {}  # when a life first told of its tasks: on a busy machine it starts slowly
    for sample in line.of(h.Sample):
        name = (sample.gateway, sample.life)
        life = line.lives.get(name)
        if sample.tasks:
            began.setdefault(name, sample.at)
        warm = name in began and sample.at >= began[name] + WARM
        if life and warm and (life.told is None or sample.at < life.told):
            by_life[name].append(sample)
    for (gateway, number), samples in by_life.items():
        span = samples[-1].at - samples[0].at
        if span < LONG:
            continue
        first = [s for s in samples if s.at <= samples[0].at + span / 5]
        last = [s for s in samples if s.at >= samples[-1].at - span / 5]
        for what, count, margin in GROWN:
            before, after = max(count(s) for s in first), min(count(s) for s in last)
            if before and after > before + margin:
                text = f"gateway {gateway}, life {number}: {before} {what}, and {after} after {span:.0f} s"
                yield Violation("GROWTH", samples[-1].at, text, f"gateway {gateway}")
