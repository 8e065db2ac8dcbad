"""Reports of a run for people: counts, delays, violations with the history around them, and a plot."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from coralvale.cluster.soak import history as h
from coralvale.cluster.soak.timeline import Timeline, Violation

CONTEXT_S = 1.0  # of history printed before and after a violation
MAX_CONTEXT_LINES = 40  # of each kind, for each violation
MAX_DELAY_MS = 60_000  # greater delays count as this in the histogram
QUANTILES = (50.0, 90.0, 99.0, 99.9)


class Summary(msgspec.Struct, frozen=True):
    """Figures of one run; its fields are the keys of the JSON report."""

    seed: int
    gateways: int
    seconds: float
    requests: int
    answers: dict[str, int]  # by status; closed, left, silent
    acts: dict[str, int]
    changes: dict[str, int]  # by status of the answer
    calls: dict[str, int]  # coordination calls, by kind and status
    lives: int
    descriptors: int  # maximum of one process
    memory_mb: float  # maximum of all processes together
    delay_ms: dict[str, float]  # of answers with success, by quantile
    longest_stall: float  # s, of the soak's own event loop
    violations: list[str]
    left_out: int = 0  # acts that the fault budget did not allow in time

    @property
    def passed(self) -> bool:
        """Whether no rule was broken."""
        return not self.violations


def summarise(events: list[h.Event], violations: list[Violation], left_out: int = 0) -> Summary:
    """The figures of a run from its history."""
    timeline = Timeline(events)
    answers: Counter[str] = Counter()
    for request in timeline.requests.values():
        answers[_outcome(request.end)] += 1
    kinds = {called.number: called.call for called in timeline.events_of(h.Called)}
    calls = Counter(f"{kinds[a.number]} {a.status or 'unclear'}" for a in timeline.events_of(h.CallAnswer))
    samples = timeline.events_of(h.Sample)
    return Summary(
        timeline.run.seed,
        timeline.run.gateways,
        round(timeline.last_at - timeline.run.at, 1),
        len(timeline.requests),
        dict(sorted(answers.items())),
        dict(sorted(Counter(act.kind for act in timeline.events_of(h.Act)).items())),
        dict(sorted(Counter(str(a.status or "unclear") for a in timeline.events_of(h.ChangeAnswer)).items())),
        dict(sorted(calls.items())),
        len(timeline.lives),
        max((s.descriptors for s in samples), default=0),
        round(_peak_memory_kib(samples) / 1024, 1),
        _delays(timeline),
        round(max((s for _, s in timeline.stalls), default=0.0), 3),
        [f"{v.rule}: {v.text} ({v.subject})" for v in violations],
        left_out,
    )


def _outcome(end: h.Event | None) -> str:
    if isinstance(end, h.Answered):
        return str(end.status)
    return type(end).__name__.lower() if end else "open"


def _peak_memory_kib(samples: list[h.Sample]) -> int:
    """Maximum memory of all processes together in KiB, each by its latest sample."""
    now: dict[int, int] = {}
    peak = 0
    for sample in samples:
        now[sample.gateway] = sample.memory
        peak = max(peak, sum(now.values()))
    return peak


def _delays(timeline: Timeline) -> dict[str, float]:
    durations = [
        r.end.at - r.sent.at
        for r in timeline.requests.values()
        if isinstance(r.end, h.Answered) and r.end.status == 200
    ]
    try:
        from hdrh.histogram import HdrHistogram
    except ImportError:
        return _exact_quantiles(durations)
    histogram = HdrHistogram(1, MAX_DELAY_MS, 3)
    for seconds in durations:
        histogram.record_value(min(MAX_DELAY_MS, max(1, round(seconds * 1000))))
    return {f"p{q:g}": float(histogram.get_value_at_percentile(q)) for q in QUANTILES}


def _exact_quantiles(durations: list[float]) -> dict[str, float]:
    """Quantiles in ms, computed without the `hdrh` package."""
    ranked = sorted(durations)
    if not ranked:
        return {}
    places = {q: min(len(ranked) - 1, int(len(ranked) * q / 100)) for q in QUANTILES}
    return {f"p{q:g}": round(ranked[place] * 1000, 1) for q, place in places.items()}


def context(events: Iterable[h.Event], violation: Violation) -> list[str]:
    """History lines that name a violation's subject, and events of processes, hosts and changes around it."""
    encode = msgspec.json.Encoder().encode
    about, near = [], []
    for event in events:
        text = encode(event).decode()
        if violation.subject and f'"{violation.subject}"' in text:
            about.append(text)
        elif abs(event.at - violation.at) < CONTEXT_S and isinstance(
            event, h.Process | h.Act | h.HostState | h.Link | h.Change | h.ChangeAnswer | h.Stall
        ):
            near.append(text)
    return about[:MAX_CONTEXT_LINES] + near[:MAX_CONTEXT_LINES]


def text(summary: Summary) -> str:
    """The summary as lines of text."""

    def row(name: str, counts: dict[str, Any]) -> str:
        return f"  {name:<10} " + ", ".join(f"{key} {value}" for key, value in counts.items())

    lines = [
        f"seed {summary.seed}: {summary.gateways} gateways, {summary.seconds} s, {summary.requests} requests, "
        f"{summary.lives} lives, {'no rule broken' if summary.passed else 'BROKEN'}",
        row("answers", summary.answers),
        row("delay ms", summary.delay_ms),
        row("acts", {**summary.acts, "left out": summary.left_out}),
        row("changes", summary.changes),
        row("calls", summary.calls),
        f"  processes  {summary.descriptors} descriptors at most, {summary.memory_mb} MB together; "
        f"the player was late by {summary.longest_stall} s at most",
    ]
    return "\n".join(lines + [f"  BROKEN {line}" for line in summary.violations])


def plot(events: list[h.Event], path: Path) -> None:
    """Plots served, refused and failed requests over time, with the acts of the nemesis. Needs matplotlib."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    timeline = Timeline(events)
    counts: dict[str, Counter[int]] = {name: Counter() for name in ("served", "refused", "failed")}
    for request in timeline.requests.values():
        if request.end is not None and not isinstance(request.end, h.Left):
            counts[_plot_class(request.end)][int(request.end.at - timeline.run.at)] += 1
    seconds = range(int(timeline.last_at - timeline.run.at) + 1)
    figure, axes = pyplot.subplots(figsize=(12, 4))
    for name, colour in (("served", "tab:green"), ("refused", "tab:orange"), ("failed", "tab:red")):
        axes.plot(seconds, [counts[name][s] for s in seconds], label=name, color=colour)
    for act in timeline.events_of(h.Act):
        axes.axvline(act.at - timeline.run.at, color="grey", linewidth=0.5)
        axes.text(act.at - timeline.run.at, axes.get_ylim()[1], act.kind, rotation=90, fontsize=6, va="top")
    axes.set_xlabel("s")
    axes.set_ylabel("requests a second")
    axes.legend()
    figure.savefig(path, dpi=120, bbox_inches="tight")
    pyplot.close(figure)


def _plot_class(end: h.Event) -> str:
    if isinstance(end, h.Answered):
        if end.status == 200:
            return "served"
        return "refused" if end.status in (429, 503, 408, 421) else "failed"
    return "failed"
