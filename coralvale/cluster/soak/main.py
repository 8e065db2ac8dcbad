"""`myrtlehatch soak`: runs seeds or a schedule, also in parallel, shrinks failed ones, prints results."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import traceback
from pathlib import Path

import msgspec
from attrs import frozen

from coralvale.cluster.soak import checker, report
from coralvale.cluster.soak.history import read
from coralvale.cluster.soak.play import Outcome, SoakError, play
from coralvale.cluster.soak.schedule import Schedule, draw, dump
from coralvale.cluster.soak.shrink import shrink
from coralvale.cluster.soak.terms import Terms

NETWORK_COUNT = 40_000  # address ranges 127.x.y over which parallel runs are spread


@frozen
class Options:
    """Options for all runs of a command."""

    folder: Path
    terms: Terms
    at_once: int = 1
    level: str = "INFO"
    as_json: bool = False
    plot: bool = False
    shrink: bool = False


def loopback_network(index: int) -> str:
    """The loopback range (three bytes of its addresses) of a run, by the process's id and the run's index."""
    number = (os.getpid() * 64 + index % 64) % NETWORK_COUNT + 20_000
    return f"127.{number >> 8}.{number & 255}"


def play_all(schedules: list[Schedule], options: Options) -> int:
    """Runs all schedules. Exit code: 0: no rule was broken; 1: one was; 2: a run could not be carried out."""
    try:
        return asyncio.run(_play_all(schedules, options))
    except asyncio.CancelledError:
        print("terminated before all runs were finished", file=sys.stderr)
        return 2


async def _play_all(schedules: list[Schedule], options: Options) -> int:
    main_task = asyncio.current_task()
    assert main_task
    # On SIGTERM it ends its gateways as well.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, main_task.cancel)
    slots = asyncio.Semaphore(options.at_once)

    async def one(index: int, schedule: Schedule) -> int:
        async with slots:
            return await _play_one(index, schedule, options)

    codes = await asyncio.gather(*(one(index, schedule) for index, schedule in enumerate(schedules)))
    if not options.as_json:
        print(
            f"{len(codes)} runs, {codes.count(0)} well, {codes.count(1)} broken, {codes.count(2)} not played"
        )
    return max(codes, default=0)


async def _play_one(index: int, schedule: Schedule, options: Options) -> int:
    folder = options.folder / f"seed-{schedule.seed}"
    try:
        outcome = await _play(index, schedule, folder, options)
    except SoakError as error:
        print(f"seed {schedule.seed}: not played: {error}", file=sys.stderr)
        return 2
    except Exception:  # noqa: BLE001 - an error of the soak itself must not end the other runs
        print(f"seed {schedule.seed}: not played: {traceback.format_exc()}", file=sys.stderr)
        return 2
    _report(outcome, folder, options)
    if outcome.violations and options.shrink:
        await _shrink(index, outcome, folder, options)
    return 1 if outcome.violations else 0


async def _play(index: int, schedule: Schedule, folder: Path, options: Options) -> Outcome:
    return await play(schedule, folder, loopback_network(index), level=options.level, terms=options.terms)


def _report(outcome: Outcome, folder: Path, options: Options) -> None:
    summary = report.summarise(outcome.events, outcome.violations, outcome.left_out)
    if options.as_json:
        print(msgspec.json.encode(summary).decode(), flush=True)
    else:
        print(report.text(summary), flush=True)
    broken = []
    for violation in outcome.violations:
        broken += [f"{violation.at:.3f} {violation.rule} {violation.subject}: {violation.text}"]
        broken += [f"  {line}" for line in report.context(outcome.events, violation)]
    (folder / "broken.txt").write_text("\n".join(broken))
    if options.plot:
        report.plot(outcome.events, folder / "plot.png")


async def _shrink(index: int, outcome: Outcome, folder: Path, options: Options) -> None:
    """Writes the smallest schedule found that breaks one of the same rules."""
    rules = {violation.rule for violation in outcome.violations}

    async def fails(schedule: Schedule) -> bool:
        try:
            found = await _play(index, schedule, folder / "shrink", options)
        except SoakError:
            return False
        return any(violation.rule in rules for violation in found.violations)

    least = await shrink(outcome.schedule, fails)
    dump(least, folder / "least.toml")
    print(
        f"seed {least.seed}: {len(least.acts)} of {len(outcome.schedule.acts)} acts: {folder / 'least.toml'}"
    )


def recheck(path: Path, as_json: bool) -> int:
    """Checks a recorded history again and prints its summary; returns the exit code. Raises HistoryError."""
    events = read(path)
    violations = checker.check(events)
    summary = report.summarise(events, violations)
    print(msgspec.json.encode(summary).decode() if as_json else report.text(summary))
    return 0 if summary.passed else 1


def draw_schedules(first: int, seeds: int, gateways: int, seconds: float) -> list[Schedule]:
    """The schedules of `seeds` consecutive seeds."""
    return [draw(seed, gateways, seconds) for seed in range(first, first + seeds)]
