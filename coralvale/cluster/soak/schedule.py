"""Schedules of faults: drawn from a seed, written to TOML and read back."""

from __future__ import annotations

import random
from pathlib import Path

import msgspec

FIRST_ACT_S = 1.0  # without faults before the first act
CALM_S = 6.0  # without acts after each block, so that the rules with time bounds apply
BLOCK_S = 8.0  # in which series of acts overlap
MAX_FREEZE_S = 3.0
SERIES_PER_BLOCK = 4  # plus one for every six gateways


class Act(msgspec.Struct, frozen=True):
    """One fault. `target`: a number, taken modulo the present gateways or hosts; -1 is the leader."""

    at: float  # s since the workload began
    kind: str
    target: int = 0
    seconds: float = 0.0
    series: int = 0


class Schedule(msgspec.Struct, frozen=True):
    """A run: the size of its cluster, its length in s and its acts."""

    seed: int
    gateways: int = 5
    disks: int = 3
    budget: int = 1  # voters that may be lost at once
    seconds: float = 20.0
    acts: tuple[Act, ...] = ()


class ScheduleError(ValueError):
    """A schedule cannot be read."""


def draw(seed: int, gateways: int, seconds: float) -> Schedule:
    """The schedule of a seed. The same arguments give the same schedule."""
    disks, budget = (5, 2) if gateways >= 8 else (min(3, gateways), 1)
    rng = random.Random(f"soak/{seed}/{gateways}")
    silent_rng = random.Random(f"soak-silent/{seed}/{gateways}")  # of its own: the other acts stay a seed's
    acts: list[Act] = []
    series = 0
    begins = FIRST_ACT_S
    while begins + BLOCK_S / 2 < seconds:
        ends = min(begins + BLOCK_S, seconds)
        for _ in range(SERIES_PER_BLOCK + gateways // 6):
            kind = rng.choice(sorted(SERIES))
            at = rng.uniform(begins, max(begins, ends - BLOCK_S / 2))
            acts += SERIES[kind](rng, at, series, gateways)
            series += 1
        acts += _silent_hosts(silent_rng, begins, series, gateways)
        series += 1
        begins = ends + CALM_S
    acts.sort(key=lambda act: (act.at, act.series))
    return Schedule(seed, gateways, disks, budget, seconds, tuple(a for a in acts if a.at < seconds))


def _rolling(rng: random.Random, at: float, series: int, gateways: int) -> list[Act]:
    """Restarts of consecutive gateways; each begins before the one before it is back."""
    first, count = rng.randrange(gateways), min(gateways, rng.randint(2, 4))
    gap = rng.uniform(0.3, 1.5)
    return [Act(at + gap * n, "restart", first + n, 0.0, series) for n in range(count)]


def _crashes(rng: random.Random, at: float, series: int, gateways: int) -> list[Act]:
    count = rng.randint(1, 3)
    return [
        Act(at + rng.uniform(0, 3), "kill", rng.randrange(gateways), rng.uniform(0, 2), series)
        for _ in range(count)
    ]


def _herd(rng: random.Random, at: float, series: int, gateways: int) -> list[Act]:
    return [Act(at, "herd", 0, rng.uniform(0, 0.8), series)]


def _leader(rng: random.Random, at: float, series: int, gateways: int) -> list[Act]:
    kinds = [rng.choice(("restart", "kill", "freeze")) for _ in range(2)]
    return [Act(at + 3 * n, k, -1, rng.uniform(0.3, MAX_FREEZE_S), series) for n, k in enumerate(kinds)]


def _freezes(rng: random.Random, at: float, series: int, gateways: int) -> list[Act]:
    return [
        Act(
            at + rng.uniform(0, 2),
            "freeze",
            rng.randrange(gateways),
            rng.uniform(0.2, MAX_FREEZE_S),
            series,
        )
        for _ in range(rng.randint(1, 3))
    ]


def _freeze_and_end(rng: random.Random, at: float, series: int, gateways: int) -> list[Act]:
    """A gateway gets SIGTERM while it is frozen."""
    target = rng.randrange(gateways)
    return [
        Act(at, "freeze", target, rng.uniform(0.5, 2), series),
        Act(at + 0.2, "restart", target, 0, series),
    ]


def _settings(rng: random.Random, at: float, series: int, gateways: int) -> list[Act]:
    return [
        Act(at + 0.4 * n, rng.choice(("hup", "hup-bad")), rng.randrange(gateways), 0, series)
        for n in range(rng.randint(2, 5))
    ]


def _wipe(rng: random.Random, at: float, series: int, gateways: int) -> list[Act]:
    return [Act(at, "wipe", rng.randrange(gateways), rng.uniform(0, 1), series)]


def _disk_full(rng: random.Random, at: float, series: int, gateways: int) -> list[Act]:
    return [
        Act(at + rng.uniform(0, 3), "disk-full", rng.randrange(gateways), rng.uniform(0.3, 3), series)
        for _ in range(2)
    ]


def _move(rng: random.Random, at: float, series: int, gateways: int) -> list[Act]:
    return [Act(at, "move", rng.randrange(gateways), rng.uniform(0, 1), series)]


def _links(rng: random.Random, at: float, series: int, gateways: int) -> list[Act]:
    return [
        Act(
            at + rng.uniform(0, 3),
            rng.choice(("reset", "silence")),
            rng.randrange(99),
            rng.uniform(0.2, 2),
            series,
        )
        for _ in range(rng.randint(2, 4))
    ]


def _hosts(rng: random.Random, at: float, series: int, gateways: int) -> list[Act]:
    kinds = ("host-crash", "host-leave", "host-slow")
    return [
        Act(
            at + rng.uniform(0, 3),
            rng.choice(kinds),
            rng.randrange(99),
            rng.uniform(0.5, 2),
            series,
        )
        for _ in range(rng.randint(2, 3))
    ]


def _silent_hosts(rng: random.Random, at: float, series: int, gateways: int) -> list[Act]:
    """Hosts that lose answers, hang when full or go dark, while gateways are stopped, each with more signals."""
    kinds = ("host-loses", "host-hangs", "host-dark")
    weights = (4, 2, 1)
    hosts = [
        Act(at + rng.uniform(0, 1), rng.choices(kinds, weights)[0], rng.randrange(99), BLOCK_S, series)
        for _ in range(3)
    ]
    first, count = rng.randrange(gateways), 1 + gateways // 4
    stops = [
        Act(at + 1.5 + rng.uniform(0, 0.6) * n, "restart-signals", first + n, 0.0, series)
        for n in range(count)
    ]
    return hosts + stops


def _changes(rng: random.Random, at: float, series: int, gateways: int) -> list[Act]:
    kinds = ("change-bad", "change-rival", "change-burst")
    return [Act(at + 0.7 * n, rng.choice(kinds), 0, 0, series) for n in range(3)]


SERIES = {
    "rolling": _rolling,
    "crashes": _crashes,
    "herd": _herd,
    "leader": _leader,
    "freezes": _freezes,
    "freeze-and-end": _freeze_and_end,
    "settings": _settings,
    "empty": _wipe,
    "full-disks": _disk_full,
    "move": _move,
    "links": _links,
    "hosts": _hosts,
    "changes": _changes,
}


def dump(schedule: Schedule, path: Path) -> None:
    """Writes the TOML file that `load` reads."""
    path.write_bytes(msgspec.toml.encode(schedule))


def load(path: Path) -> Schedule:
    """The schedule in a TOML file. Raises ScheduleError."""
    try:
        return msgspec.toml.decode(path.read_bytes(), type=Schedule)
    except (OSError, msgspec.DecodeError) as error:
        raise ScheduleError(f"{path}: {error}") from None
