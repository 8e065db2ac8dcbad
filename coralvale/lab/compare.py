"""Paired comparison: the same seeds, the same arrivals, so that differences tell more than two means would.

Intervals are Student's t over seeds (95%, each figure by itself). Where nought lies within, the page says
so and no more.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import numpy as np

from coralvale.lab.model import Experiment, LabError, Must, Outcome

LEVEL = 0.95


@dataclass(frozen=True)
class Mean:
    """A mean over seeds, and half the width of its interval (nan for one seed)."""

    value: float
    half: float
    count: int


@dataclass(frozen=True)
class Difference:
    """`other` less `one`, over the seeds that both have."""

    figure: str
    one: float
    other: float
    difference: float
    half: float  # of the interval's width; nan for one seed
    count: int

    @property
    def verdict(self) -> str:
        """What may be said: more, less, no difference, or nothing."""
        if self.count < 2:
            return "one seed tells no interval"
        if abs(self.difference) <= self.half:
            return "no difference"
        return "more" if self.difference > 0 else "less"


def mean(values: Sequence[float]) -> Mean:
    """Raises ValueError for no values."""
    if not values:
        raise ValueError("no values")
    found = np.asarray(values, float)
    if len(found) < 2:
        return Mean(float(found[0]), math.nan, 1)
    from scipy import stats  # a second to import, which only those pay who have two seeds

    spread = float(found.std(ddof=1)) / math.sqrt(len(found))
    half = float(stats.t.ppf(0.5 + LEVEL / 2, len(found) - 1)) * spread
    return Mean(float(found.mean()), half, len(found))


def paired(one: Iterable[Outcome], other: Iterable[Outcome], figures: Sequence[str] = ()) -> list[Difference]:
    """Differences in all figures that both have, or in those named. Raises LabError if no seed is in both."""
    first = {o.seed: o for o in one}
    second = {o.seed: o for o in other}
    seeds = sorted(first.keys() & second.keys())
    if not seeds:
        raise LabError("no seed was played by both")
    names = figures or sorted(
        set.intersection(
            *(o.figures.keys() & second[s].figures.keys() for s, o in first.items() if s in second)
        )
    )
    told = []
    for name in names:
        a = [first[s].figures.get(name, 0.0) for s in seeds]
        b = [second[s].figures.get(name, 0.0) for s in seeds]
        gap = mean([y - x for x, y in zip(a, b, strict=True)])
        told.append(Difference(name, float(np.mean(a)), float(np.mean(b)), gap.value, gap.half, gap.count))
    return told


@dataclass(frozen=True)
class Verdict:
    """What became of a `[[must]]`."""

    must: Must
    value: float
    least: float | None
    most: float | None
    holds: bool

    def __str__(self) -> str:
        bounds = [f"at least {self.least:.4g}"] if self.least is not None else []
        bounds += [f"at most {self.most:.4g}"] if self.most is not None else []
        word = "holds" if self.holds else "FAILS"
        return f"{word}: {self.must.figure} of {self.must.policy} is {self.value:.4g}, {' and '.join(bounds)}"


def verdicts(made: Experiment, outcomes: Sequence[Outcome]) -> list[Verdict]:
    """Each `[[must]]` against the mean over seeds and points. A figure that a run has not is 0."""

    def value(policy: str, figure: str) -> float:
        found = [o.figures.get(figure, 0.0) for o in outcomes if o.policy == policy]
        return float(np.mean(found)) if found else math.nan

    told = []
    for must in made.must:
        base = 1.0
        if must.of:
            policy, _, figure = must.of.rpartition(":")
            base = value(policy or must.policy, figure)
        least = None if must.at_least is None else must.at_least * base
        most = None if must.at_most is None else must.at_most * base
        here = value(must.policy, must.figure)
        holds = (least is None or here >= least) and (most is None or here <= most)
        told.append(Verdict(must, here, least, most, holds and not math.isnan(here)))
    return told
