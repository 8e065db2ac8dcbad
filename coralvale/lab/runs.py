"""Runs of an experiment, over processes: with progress, resumed from where they stopped.

A run is a function of its experiment, point, seed and policy alone, so the number of workers changes
nothing but the time.
"""

from __future__ import annotations

import hashlib
import json
import os
import subprocess
import sys
import time
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from dataclasses import dataclass
from multiprocessing import get_context
from pathlib import Path

import msgspec

from coralvale.lab import experiment as files
from coralvale.lab import policies, store
from coralvale.lab.model import Experiment, LabError, Outcome
from coralvale.lab.store import Store
from coralvale.lab.world.platform import Platform

BESIDE_TIME = 3600.0  # s that a run of another checkout may take
ROOT = Path(__file__).resolve().parents[2]
Progress = Callable[[int, int, Outcome | None], None]


@dataclass(frozen=True)
class Job:
    """One run."""

    point: tuple[tuple[str, float], ...]
    seed: int
    policy: str


def code(root: Path = ROOT) -> str:
    """What is played: a checkout's commit, and a hash of what is not in it."""
    try:
        commit = _git(root, "rev-parse", "--short=12", "HEAD")
        changed = _git(root, "status", "--porcelain", "--", "coralvale")
    except (OSError, subprocess.SubprocessError):
        return "unversioned"
    if not changed:
        return commit
    text = b"".join(p.read_bytes() for p in sorted((root / "coralvale").rglob("*.py")))
    return f"{commit}+{hashlib.sha256(text).hexdigest()[:8]}"


def _git(root: Path, *words: str) -> str:
    done = subprocess.run(
        ["git", "-C", str(root), *words], capture_output=True, text=True, timeout=20, check=True
    )
    return done.stdout.strip()


def jobs(made: Experiment, only: Sequence[str] = ()) -> list[Job]:
    """Every run of an experiment: points, then seeds, then policies."""
    return [
        Job(tuple(point.items()), seed, policy)
        for point in files.points(made)
        for seed in made.seeds
        for policy in made.policies
        if not only or policy in only
    ]


def play(made: Experiment, job: Job, stop_at: int = 1, beside: str = "") -> Outcome:
    """One run in this process; one of another checkout in a process of its own."""
    here = files.at(made, dict(job.point))
    if job.policy == policies.BESIDE:
        return _play_beside(here, job, beside)
    if job.policy == policies.NODE:
        from coralvale.lab.virtual.platform import play as play_nodes

        return msgspec.structs.replace(play_nodes(here, job.seed, stop_at), point=dict(job.point))
    world = Platform(here, job.seed, job.policy, policies.factory(job.policy), stop_at)
    return msgspec.structs.replace(world.run(), point=dict(job.point))


def _worker(encoded: bytes, job: Job, stop_at: int, beside: str) -> tuple[Outcome, float]:
    began = time.perf_counter()
    made = msgspec.json.decode(encoded, type=Experiment)
    return play(made, job, stop_at, beside), time.perf_counter() - began


def play_all(
    made: Experiment,
    kept: Store,
    workers: int = 0,
    only: Sequence[str] = (),
    stop_at: int = 1,
    beside: str = "",
    progress: Progress = lambda done, of, outcome: None,
) -> Iterator[Outcome]:
    """Plays what the store does not have yet, and yields each run as it ends; then those that it had.

    Raises LabError if a run fails by itself, with the line that replays it.
    """
    name, of, version = made.name, files.fingerprint(made), code()
    if beside:
        version += f" beside {code(Path(beside))}"
    if stop_at != 1:  # a run that goes on after a broken rule is another run
        version += f" to {stop_at or 'all'} violations"
    asked = jobs(made, only)
    missing = [
        job for job in asked if not kept.has(store.key(of, dict(job.point), job.seed, job.policy, version))
    ]
    done = len(asked) - len(missing)
    progress(done, len(asked), None)
    encoded = msgspec.json.encode(made)
    count = min(workers or os.cpu_count() or 1, max(1, len(missing)))
    pool = ProcessPoolExecutor(count, mp_context=get_context("spawn"))
    try:
        waiting: dict[Future[tuple[Outcome, float]], Job] = {
            pool.submit(_worker, encoded, job, stop_at, beside): job for job in missing
        }
        while waiting:
            for future in wait(waiting, return_when=FIRST_COMPLETED).done:
                job = waiting.pop(future)
                try:
                    outcome, took = future.result()
                except LabError:
                    raise
                except Exception as error:
                    raise LabError(
                        f"seed {job.seed}, {job.policy}: {type(error).__name__}: {error}"
                    ) from error
                kept.put(name, of, version, outcome, took)
                done += 1
                progress(done, len(asked), outcome)
    finally:
        pool.shutdown(wait=False, cancel_futures=True)
    wanted = {(job.point, job.seed, job.policy) for job in asked}
    for outcome in kept.all(of, version):
        if (tuple(outcome.point.items()), outcome.seed, outcome.policy) in wanted:
            yield outcome


# Another checkout


def _play_beside(made: Experiment, job: Job, checkout: str) -> Outcome:
    """The decisions of another checkout in this world, in a process that imports them and nothing else of it."""
    if not (Path(checkout) / "coralvale" / "logic.py").is_file():
        raise LabError(f"--beside {checkout or '(not named)'}: there is no coralvale/logic.py in it")
    asked = {
        "experiment": msgspec.json.encode(made).decode(),
        "seed": job.seed,
        "checkout": str(Path(checkout).resolve()),
    }
    here = str(ROOT)
    done = subprocess.run(
        [sys.executable, "-c", BOOT, here], input=json.dumps(asked), capture_output=True, text=True,
        timeout=BESIDE_TIME, check=False,
    )  # fmt: skip
    if done.returncode:
        last = (done.stderr.strip().splitlines() or ["no word"])[-1]
        raise LabError(f"--beside {checkout}: {last}")
    outcome = msgspec.json.decode(done.stdout.encode(), type=Outcome)
    return msgspec.structs.replace(outcome, point=dict(job.point))


# The other checkout's package comes first; only what it lacks, the laboratory, is taken from this one.
BOOT = """
import json, sys
asked = json.load(sys.stdin)
sys.path.insert(0, asked["checkout"])
import coralvale
coralvale.__path__ = [sys.argv[1] + "/coralvale"]
import coralvale.lab
coralvale.__path__ = [asked["checkout"] + "/coralvale"]
from coralvale.lab.beside import main
main(asked)
"""
