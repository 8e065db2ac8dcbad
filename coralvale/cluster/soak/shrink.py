"""Shrinks a schedule that breaks a rule: whole series are left out first, then single acts."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec

from coralvale.cluster.soak.schedule import Act, Schedule

Fails = Callable[[Schedule], Awaitable[bool]]
MAX_RUNS = 40


async def shrink(schedule: Schedule, fails: Fails, max_runs: int = MAX_RUNS) -> Schedule:
    """A failed schedule, with as few of its acts as `max_runs` runs find necessary.

    A fault that does not show in every run may keep more acts than it needs, never fewer.
    """
    search = _Search(schedule, fails, max_runs)
    by_series: dict[int, list[Act]] = {}
    for act in schedule.acts:
        by_series.setdefault(act.series, []).append(act)
    kept = await search.reduce(list(by_series.values()))
    acts = await search.reduce([[act] for group in kept for act in group])
    return search.schedule_of(acts)


class _Search:
    """Delta debugging (Zeller 2002) over groups of acts."""

    def __init__(self, schedule: Schedule, fails: Fails, max_runs: int) -> None:
        self.schedule, self.fails, self.runs_left = schedule, fails, max_runs

    def schedule_of(self, groups: list[list[Act]]) -> Schedule:
        """The schedule with only these acts."""
        acts = sorted((act for group in groups for act in group), key=lambda act: act.at)
        return msgspec.structs.replace(self.schedule, acts=tuple(acts))

    async def reduce(self, groups: list[list[Act]]) -> list[list[Act]]:
        """A small subset of the groups that still fails."""
        pieces = 2
        while len(groups) >= 2 and self.runs_left > 0:
            size = -(-len(groups) // pieces)
            for begin in range(0, len(groups), size):
                rest = groups[:begin] + groups[begin + size :]
                if self.runs_left > 0 and await self._fails(rest):
                    groups, pieces = rest, max(2, pieces - 1)
                    break
            else:
                if size == 1:
                    break
                pieces = min(len(groups), pieces * 2)
        return groups

    async def _fails(self, groups: list[list[Act]]) -> bool:
        self.runs_left -= 1
        return await self.fails(self.schedule_of(groups))
