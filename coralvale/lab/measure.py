"""What a run leaves in figures: sums by second, delays in a histogram, work by host.

Delays go to an HDR histogram (G. Tene) of three digits from 0.1 ms to an hour; sums are kept for each second.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping, Sequence

from hdrh.histogram import HdrHistogram

from coralvale.lab.model import Class, Experiment, Plan

UNIT = 1e-4  # s of the histogram's steps
QUANTILES = (0.01, 0.05, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999)
WORST = 10  # s of the worst stretch
KINDS = INSIDE, BEYOND, WITH_ROOM, WITHOUT = range(4)  # of a line of the trace: two taken, two refused
MOST_TRACE = 300_000  # lines; what comes later is counted in the series `not traced`
FIGURES = {
    "score": "worth served in time less the cost of what was beyond quotas, over the worth asked for",
    "served": "worth served within the aim, over the worth asked for",
    "served.NAME": "the same for a class or a plan",
    "worst": f"the least `served` of any {WORST} s",
    "beyond": "units beyond quotas, over all units that came to hosts",
    "over_quota": "cost of units beyond quotas, over the worth asked for",
    "with_room": "tries refused though the customer's quota had room, over all tries",
    "half_empty": "tries refused though half of the customer's burst or more was unused, over all tries",
    "fitting": "worth of what came to hosts inside quotas, over that of the first tries that fit them",
    "refused": "tries refused, over all tries",
    "refused.REASON": "the same by the gateway's reason",
    "late": "first tries answered well after their aim, over all",
    "failed": "tries answered as failed, over all tries",
    "tries": "tries for each first try",
    "attempts": "attempts at hosts for each try that was let in",
    "calls": "calls to the counter for each try",
    "p50.CLASS p99.CLASS": "s until the answer, of what was served",
    "busy": "share of all cores' time at work",
    "uneven": "the busiest host's work over the mean",
    "lowest_ceiling": "the least that any ceiling's store held, units",
    "coldest": "the most work that came to a cold host in the rule's window, over what it could do in it",
    "hosts": "hosts that a gateway has sent to, on average",
    "lost": "requests without an answer, of those of gateways that live",
}


STRETCH = {
    "from": "s",
    "first": "first tries a second",
    "tries": "tries for each first try",
    "in_time": "first tries that were served within their aim, by this try or a later one, over all",
    "refused": "tries refused, over all",
    "half_empty": "tries refused though half of the burst or more was unused, over all",
    "beyond": "units beyond quotas, over all that came to hosts",
    "cost": "cost of what was beyond, over the worth asked for",
    "calls": "calls to the counter",
    "silent": "calls that got no answer in time, over all",
    "away": "calls that were turned away, over all",
}


def stretches(series: Mapping[str, Sequence[float]], seconds: int, every: int) -> list[dict[str, float]]:
    """STRETCH for each `every` s of a run's series: the table that a bench prints of a day."""
    told = []
    for start in range(0, seconds, every):
        end = min(start + every, seconds)

        def of(name: str, start: int = start, end: int = end) -> float:
            return sum(series.get(name, ())[start:end])

        tries, calls, taken = max(1.0, of("tries")), max(1.0, of("calls")), max(1.0, of("taken"))
        told.append(
            {
                "from": start, "first": of("asked") / (end - start), "tries": of("tries") / max(1.0, of("asked")),
                "in_time": of("served") / max(1.0, of("asked")), "refused": of("refused") / tries,
                "half_empty": of("half empty") / tries, "beyond": of("beyond") / taken,
                "cost": of("cost") / max(1e-9, of("worth asked")), "calls": of("calls"),
                "silent": of("calls without answer") / calls, "away": of("calls turned away") / calls,
            }
        )  # fmt: skip
    return told


class Measure:
    """Counts from `warm_up` on; series hold the whole run."""

    def __init__(self, experiment: Experiment) -> None:
        self.experiment = experiment
        self.length = int(experiment.seconds) + 1
        self.series: defaultdict[str, list[float]] = defaultdict(lambda: [0.0] * self.length)
        self.sums: defaultdict[str, float] = defaultdict(float)
        self.delays = {c.name: HdrHistogram(1, int(3600 / UNIT), 3) for c in experiment.classes}
        self.work: defaultdict[str, list[float]] = defaultdict(lambda: [0.0] * self.length)
        self.second, self.counts = 0, False
        self.trace: list[tuple[float, int, int, int, float]] = []

    def tick(self, now: float) -> None:
        """The run has come to `now`: cheaper to be told than to ask at each count."""
        self.second = min(int(now), self.length - 1)
        self.counts = now >= self.experiment.measure.warm_up

    def add(self, name: str, amount: float = 1.0) -> None:
        """Something has happened in the present second."""
        self.series[name][self.second] += amount
        if self.counts:
            self.sums[name] += amount

    def add_at(self, name: str, asked: float, amount: float = 1.0) -> None:
        """Something that belongs to the second in which its request was asked first."""
        self.series[name][min(int(asked), self.length - 1)] += amount
        if asked >= self.experiment.measure.warm_up:
            self.sums[name] += amount

    def note(self, now: float, kind: int, customer: int, gateway: int, fill: float) -> None:
        """A line of the trace, if there is to be one."""
        if len(self.trace) >= MOST_TRACE:
            self.add("not traced")
        elif self.experiment.measure.trace:
            self.trace.append((round(now, 3), kind, customer, gateway, round(fill, 3)))

    def delay(self, cls: Class, took: float) -> None:
        if self.counts:
            self.delays[cls.name].record_value(max(1, int(took / UNIT)))

    def busy(self, host: str, now: float, share: float) -> None:
        """A host works from `now` for `share` s of all its cores; over seconds if need be."""
        row, second = self.work[host], int(now)
        while share > 0 and second < self.length:
            here = min(share, second + 1 - now)
            row[second] += here
            share, second, now = share - here, second + 1, float(second + 1)

    # After the run

    def figures(self, plans: tuple[Plan, ...], lowest_ceiling: float) -> dict[str, float]:
        """All of FIGURES, each rounded to what it can tell."""
        s, experiment = self.sums, self.experiment
        worth, tries = max(1e-9, s["worth asked"]), max(1.0, s["tries"])
        told = {
            "score": (s["worth served"] - s["cost"]) / worth,
            "served": s["worth served"] / worth,
            "worst": self.worst(),
            "beyond": s["beyond"] / max(1.0, s["taken"]),
            "over_quota": s["cost"] / worth,
            "with_room": s["with room"] / tries,
            "half_empty": s["half empty"] / tries,
            "fitting": s["worth inside"] / max(1e-9, s["worth fitting"]),
            "refused": s["refused"] / tries,
            "late": s["late"] / max(1.0, s["asked"]),
            "failed": s["failed"] / tries,
            "tries": s["tries"] / max(1.0, s["asked"]),
            "attempts": s["attempts"] / max(1.0, s["let in"]),
            "calls": s["calls"] / tries,
            "lost": s["lost"],
            "asked": s["asked"],
            "lowest_ceiling": lowest_ceiling,
        }
        for name in [c.name for c in experiment.classes] + [p.name for p in plans]:
            told[f"served.{name}"] = s[f"worth served {name}"] / max(1e-9, s[f"worth asked {name}"])
        for name, amount in s.items():
            if name.startswith("refused: "):
                told[f"refused.{name[9:].replace(' ', '_')}"] = amount / tries
        for name, histogram in self.delays.items():
            if histogram.get_total_count():
                for q in (0.5, 0.99):
                    told[f"p{q * 100:g}.{name}"] = histogram.get_value_at_percentile(q * 100) * UNIT
        loads = [sum(row) for row in self.work.values()]
        if loads and sum(loads):
            told["busy"] = sum(loads) / experiment.seconds / max(len(loads), experiment.fleet.hosts)
            told["uneven"] = max(loads) * len(loads) / sum(loads)
        return {name: round(value, 6) for name, value in sorted(told.items())}

    def worst(self) -> float:
        """The least share of worth served in any stretch of WORST s that is counted."""
        start = int(self.experiment.measure.warm_up + 0.999)
        asked, served = self.series["worth asked"], self.series["worth served"]
        last = int(self.experiment.seconds)
        shares = [
            sum(served[t : t + WORST]) / total
            for t in range(start, max(start + 1, last - WORST + 1))
            if (total := sum(asked[t : t + WORST])) > 0
        ]
        return min(shares, default=0.0)

    def quantiles(self) -> dict[str, list[float]]:
        return {
            name: [round(h.get_value_at_percentile(q * 100) * UNIT, 6) for q in QUANTILES]
            for name, h in self.delays.items()
            if h.get_total_count()
        }
