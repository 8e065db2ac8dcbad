"""What the nemesis will do, as data: drawn from a seed, written to TOML and read back."""

from __future__ import annotations

import random
from pathlib import Path

import msgspec

FIRST = 1.0  # s of calm before the first act
CALM = 6.0  # s without acts after a block of series: rules with a bound on time bind in it
BLOCK = 8.0  # s in which series overlap
MOST_FROZEN = 3.0  # s
TOGETHER = 4  # series that overlap in a block of an otherwise quiet run


class Act(msgspec.Struct, frozen=True):
    """One fault. `target`: a number that is reduced to those that are there; -1 is the leader."""

    at: float  # s since the workload began
    kind: str
    target: int = 0
    seconds: float = 0.0
    series: int = 0


class Schedule(msgspec.Struct, frozen=True):
    """A run: its cluster, its length and its acts."""

    seed: int
    gateways: int = 5
    disks: int = 3
    budget: int = 1  # voters that may be lost at once
    seconds: float = 20.0
    acts: tuple[Act, ...] = ()


class ScheduleError(ValueError):
    """A schedule cannot be read."""


def draw(seed: int, gateways: int, seconds: float) -> Schedule:
    """The schedule of a seed. The same arguments lead to the same schedule."""
    disks, budget = (5, 2) if gateways >= 8 else (min(3, gateways), 1)
    chance = random.Random(f"soak/{seed}/{gateways}")
    acts: list[Act] = []
    series = 0
    begins = FIRST
    while begins + BLOCK / 2 < seconds:
        ends = min(begins + BLOCK, seconds)
        for _ in range(TOGETHER + gateways // 6):
            kind = chance.choice(sorted(SERIES))
            at = chance.uniform(begins, max(begins, ends - BLOCK / 2))
            acts += SERIES[kind](chance, at, series, gateways)
            series += 1
        begins = ends + CALM
    acts.sort(key=lambda act: (act.at, act.series))
    return Schedule(seed, gateways, disks, budget, seconds, tuple(a for a in acts if a.at < seconds))


def _rolling(chance: random.Random, at: float, series: int, gateways: int) -> list[Act]:
    """Restarts in order, one after another before the last is back."""
    first, count = chance.randrange(gateways), min(gateways, chance.randint(2, 4))
    gap = chance.uniform(0.3, 1.5)
    return [Act(at + gap * n, "restart", first + n, 0.0, series) for n in range(count)]


def _crashes(chance: random.Random, at: float, series: int, gateways: int) -> list[Act]:
    count = chance.randint(1, 3)
    return [
        Act(at + chance.uniform(0, 3), "kill", chance.randrange(gateways), chance.uniform(0, 2), series)
        for _ in range(count)
    ]


def _herd(chance: random.Random, at: float, series: int, gateways: int) -> list[Act]:
    return [Act(at, "herd", 0, chance.uniform(0, 0.8), series)]


def _leader(chance: random.Random, at: float, series: int, gateways: int) -> list[Act]:
    kinds = [chance.choice(("restart", "kill", "freeze")) for _ in range(2)]
    return [Act(at + 3 * n, k, -1, chance.uniform(0.3, MOST_FROZEN), series) for n, k in enumerate(kinds)]


def _freezes(chance: random.Random, at: float, series: int, gateways: int) -> list[Act]:
    return [
        Act(
            at + chance.uniform(0, 2),
            "freeze",
            chance.randrange(gateways),
            chance.uniform(0.2, MOST_FROZEN),
            series,
        )
        for _ in range(chance.randint(1, 3))
    ]


def _freeze_and_end(chance: random.Random, at: float, series: int, gateways: int) -> list[Act]:
    """Told to end while it is frozen."""
    target = chance.randrange(gateways)
    return [
        Act(at, "freeze", target, chance.uniform(0.5, 2), series),
        Act(at + 0.2, "restart", target, 0, series),
    ]


def _settings(chance: random.Random, at: float, series: int, gateways: int) -> list[Act]:
    return [
        Act(at + 0.4 * n, chance.choice(("hup", "hup-bad")), chance.randrange(gateways), 0, series)
        for n in range(chance.randint(2, 5))
    ]


def _empty(chance: random.Random, at: float, series: int, gateways: int) -> list[Act]:
    return [Act(at, "wipe", chance.randrange(gateways), chance.uniform(0, 1), series)]


def _full_disks(chance: random.Random, at: float, series: int, gateways: int) -> list[Act]:
    return [
        Act(
            at + chance.uniform(0, 3), "disk-full", chance.randrange(gateways), chance.uniform(0.3, 3), series
        )
        for _ in range(2)
    ]


def _move(chance: random.Random, at: float, series: int, gateways: int) -> list[Act]:
    return [Act(at, "move", chance.randrange(gateways), chance.uniform(0, 1), series)]


def _links(chance: random.Random, at: float, series: int, gateways: int) -> list[Act]:
    return [
        Act(
            at + chance.uniform(0, 3),
            chance.choice(("reset", "silence")),
            chance.randrange(99),
            chance.uniform(0.2, 2),
            series,
        )
        for _ in range(chance.randint(2, 4))
    ]


def _hosts(chance: random.Random, at: float, series: int, gateways: int) -> list[Act]:
    kinds = ("host-crash", "host-leave", "host-slow")
    return [
        Act(
            at + chance.uniform(0, 3),
            chance.choice(kinds),
            chance.randrange(99),
            chance.uniform(0.5, 2),
            series,
        )
        for _ in range(chance.randint(2, 3))
    ]


def _changes(chance: random.Random, at: float, series: int, gateways: int) -> list[Act]:
    kinds = ("change-bad", "change-rival", "change-burst")
    return [Act(at + 0.7 * n, chance.choice(kinds), 0, 0, series) for n in range(3)]


SERIES = {
    "rolling": _rolling,
    "crashes": _crashes,
    "herd": _herd,
    "leader": _leader,
    "freezes": _freezes,
    "freeze-and-end": _freeze_and_end,
    "settings": _settings,
    "empty": _empty,
    "full-disks": _full_disks,
    "move": _move,
    "links": _links,
    "hosts": _hosts,
    "changes": _changes,
}


def dump(schedule: Schedule, path: Path) -> None:
    """Writes the TOML file that `load` reads."""
    path.write_bytes(msgspec.toml.encode(schedule))


def load(path: Path) -> Schedule:
    """Raises ScheduleError."""
    try:
        return msgspec.toml.decode(path.read_bytes(), type=Schedule)
    except (OSError, msgspec.DecodeError) as error:
        raise ScheduleError(f"{path}: {error}") from None
