"""One page for a run or a comparison, with pictures in SVG: one file, which needs no network."""

from __future__ import annotations

import io
import math
import re
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import jinja2
import matplotlib
import numpy as np

matplotlib.use("svg")

from matplotlib import pyplot as plt  # noqa: E402
from matplotlib.figure import Figure  # noqa: E402

from coralvale.lab import compare, faults, truth  # noqa: E402
from coralvale.lab.measure import (  # noqa: E402
    BEYOND,
    FIGURES,
    INSIDE,
    QUANTILES,
    WITH_ROOM,
    WITHOUT,
)
from coralvale.lab.model import Experiment, Outcome  # noqa: E402

# Okabe and Ito's colours, told apart by all readers.
COLOURS = ["#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9", "#000000", "#f0e442"]
STYLE: Any = {
    "svg.hashsalt": "coralvale", "svg.fonttype": "none", "font.size": 10, "axes.spines.top": False,
    "axes.spines.right": False, "axes.grid": True, "grid.alpha": 0.25, "legend.frameon": False,
}  # fmt: skip
TOP = [
    "score",
    "served",
    "worst",
    "beyond",
    "over_quota",
    "with_room",
    "refused",
    "late",
    "failed",
    "calls",
    "tries",
]
AT_ONCE = ("counter.swap", "gateway.kill", "gateway.restart", "host.replace")  # have no length of their own
POINTS = 60  # rows of a table of points


@dataclass
class Row:
    """One figure in the table: a mean and half an interval for each policy."""

    figure: str
    meaning: str
    values: list[compare.Mean]


@dataclass
class Picture:
    title: str
    says: str
    svg: str


def page(made: Experiment, outcomes: Sequence[Outcome], code: str, fingerprint: str) -> str:
    """The page, as HTML. Raises ValueError without an outcome."""
    if not outcomes:
        raise ValueError("no run to report of")
    policies = list(dict.fromkeys(o.policy for o in outcomes))
    policies.sort(key=lambda name: made.policies.index(name) if name in made.policies else 99)
    points = list({tuple(sorted(o.point.items())): o.point for o in outcomes}.values())
    base = [o for o in outcomes if o.point == points[0]]
    by = {name: [o for o in base if o.policy == name] for name in policies}
    differences = {
        name: [d for d in compare.paired(by[policies[0]], by[name], TOP)]
        for name in policies[1:]
        if {o.seed for o in by[name]} & {o.seed for o in by[policies[0]]}
    }
    seeds = sorted({o.seed for o in base})
    return _template().render(
        made=made, code=code, fingerprint=fingerprint, policies=policies, seeds=seeds, runs=len(outcomes),
        rows=_rows(by, policies), differences=differences, verdicts=compare.verdicts(made, outcomes),
        violations=[(o, v) for o in outcomes for v in o.violations], rules=truth.RULES,
        pictures=_pictures(made, by), faults=[(f, faults.MEANING[f.what]) for f in made.timeline],
        points=_points(points, outcomes, policies)[:POINTS], more_points=max(0, len(points) - POINTS),
        level=round(100 * compare.LEVEL),
    )  # fmt: skip


def _rows(by: dict[str, list[Outcome]], policies: list[str]) -> list[Row]:
    names = [
        *TOP,
        *sorted({f for o in by[policies[0]] for f in o.figures if f.startswith(("p50", "p99", "served."))}),
    ]
    return [
        Row(
            name,
            FIGURES.get(
                name, FIGURES["served.NAME"] if name.startswith("served.") else FIGURES["p50.CLASS p99.CLASS"]
            ),
            [
                compare.mean([o.figures.get(name, 0.0) for o in by[policy]] or [math.nan])
                for policy in policies
            ],
        )
        for name in names
    ]


def _points(
    points: list[dict[str, float]], outcomes: Sequence[Outcome], policies: list[str]
) -> list[tuple[dict[str, float], list[compare.Mean]]]:
    if len(points) < 2:
        return []
    told = []
    for point in points:
        scores = [
            compare.mean(
                [o.figures["score"] for o in outcomes if o.point == point and o.policy == name] or [math.nan]
            )
            for name in policies
        ]
        told.append((point, scores))
    return told


# Pictures


def _svg(draw: Callable[[], Figure]) -> str:
    with plt.rc_context(STYLE):
        figure = draw()
        out = io.StringIO()
        figure.savefig(out, format="svg", bbox_inches="tight", metadata={"Date": None, "Creator": None})
        plt.close(figure)
    text = out.getvalue()
    text = re.sub(r"<metadata>.*?</metadata>", "", text, flags=re.DOTALL)  # names other places
    return text[text.index("<svg") :]


def _series(outcomes: list[Outcome], name: str, length: int) -> np.ndarray:
    """Mean over seeds, a value for each second."""
    found = np.array([o.series.get(name, [0.0] * length)[:length] for o in outcomes])
    return np.asarray(found.mean(axis=0))


def _strip(axes: Any, made: Experiment) -> None:  # noqa: ANN401
    """The schedule of faults above a picture, on the same seconds."""
    for n, fault in enumerate(made.timeline):
        at_once = fault.what in AT_ONCE
        lasts = fault.lasts or fault.over or (made.seconds / 100 if at_once else made.seconds - fault.at)
        colour = COLOURS[n % len(COLOURS)]
        axes.barh(n, lasts, left=fault.at, height=0.6, color=colour, alpha=0.6)
        axes.text(fault.at, n, f" {fault.what}", va="center", fontsize=8)
    axes.set_ylim(len(made.timeline) - 0.4, -0.6)
    axes.set_yticks([])
    axes.grid(visible=False)
    axes.spines["left"].set_visible(False)
    axes.set_title("what happens", loc="left", fontsize=9)


def _over_time(made: Experiment, height: float, rows: int = 1) -> tuple[Figure, list[Any]]:
    """A picture over the run's seconds, with the schedule on top if there is one."""
    strip = [0.35 + 0.22 * len(made.timeline)] if made.timeline else []
    figure, axes = plt.subplots(
        len(strip) + rows, 1, sharex=True, squeeze=False, figsize=(9.5, sum(strip) + height * rows),
        gridspec_kw={"height_ratios": strip + [height] * rows},
    )  # fmt: skip
    figure.subplots_adjust(hspace=0.4)
    cells = [row[0] for row in axes]
    if strip:
        _strip(cells[0], made)
        cells = cells[1:]
    cells[-1].set_xlabel("time in the run, s")
    cells[-1].set_xlim(0, made.seconds)
    for cell in cells:
        cell.axvspan(0, made.measure.warm_up, color="grey", alpha=0.08, lw=0)
    return figure, cells


def _pictures(made: Experiment, by: dict[str, list[Outcome]]) -> list[Picture]:
    length = int(made.seconds)
    seconds = np.arange(length) + 0.5
    told = []

    def answers() -> Figure:
        reasons = sorted(
            {n for outcomes in by.values() for o in outcomes for n in o.series if n.startswith("refused: ")}
        )
        figure, cells = _over_time(made, 1.9, len(by))
        for cell, (policy, outcomes) in zip(cells, by.items(), strict=True):
            layers = {
                "served in time": _series(outcomes, "served", length),
                "late": _series(outcomes, "late", length),
            }
            layers["failed"] = _series(outcomes, "failed", length)
            layers |= {n.removeprefix("refused: "): _series(outcomes, n, length) for n in reasons}
            colours = ["#b7dcc8", "#999999", "#7a1f1f", *COLOURS[1:], *COLOURS]
            cell.stackplot(seconds, *layers.values(), labels=list(layers), colors=colours, lw=0)
            cell.plot(seconds, _series(outcomes, "tries", length), color="black", lw=0.8, label="tries asked")
            cell.set_ylabel("a second")
            cell.set_title(policy, loc="left")
        cells[0].legend(loc="upper left", bbox_to_anchor=(1.0, 1.0), fontsize=8)
        return figure

    told.append(
        Picture(
            "Served, refused and why",
            "Answers by second, mean over seeds; refusals by the policy's own reason. Grey at the left: not counted.",
            _svg(answers),
        )
    )

    def quotas() -> Figure:
        figure, cells = _over_time(made, 2.2, 2)
        for n, (policy, outcomes) in enumerate(by.items()):
            cells[0].plot(seconds, _series(outcomes, "beyond", length), color=COLOURS[n], label=policy)
            cells[1].plot(seconds, _series(outcomes, "with room", length), color=COLOURS[n], label=policy)
        cells[0].set_ylabel("units a second")
        cells[0].set_title("sent on beyond quotas", loc="left")
        cells[1].set_ylabel("tries a second")
        cells[1].set_title("refused though the quota had room", loc="left")
        cells[0].legend(fontsize=8)
        return figure

    told.append(Picture("Quotas", "What was let in beyond them, and refused within them.", _svg(quotas)))

    def delays() -> Figure:
        names = [c.name for c in made.classes]
        figure, axes = plt.subplots(1, len(names), squeeze=False, sharey=True, figsize=(9.5, 3.2))
        places = [math.log10(1 / (1 - q)) for q in QUANTILES]
        marks = (0.5, 0.9, 0.99, 0.999)
        for cell, cls in zip(axes[0], made.classes, strict=True):
            for n, (policy, outcomes) in enumerate(by.items()):
                found = [o.delays[cls.name] for o in outcomes if cls.name in o.delays]
                if found:
                    cell.plot(places, np.mean(found, axis=0), color=COLOURS[n], marker=".", label=policy)
            cell.axhline(cls.aim, color="grey", ls="--", lw=0.8)
            cell.text(0, cls.aim, f" aim {cls.aim:g} s", fontsize=8, va="bottom")
            cell.set_yscale("log")
            cell.set_xticks([math.log10(1 / (1 - q)) for q in marks], [f"{100 * q:g}%" for q in marks])
            cell.set_xlabel("share of answers that took at most this")
            cell.set_title(cls.name, loc="left")
        axes[0][0].set_ylabel("s from the first try")
        axes[0][0].legend(fontsize=8)
        return figure

    told.append(Picture("Delays", "Quantiles of served requests, mean over seeds; log scales.", _svg(delays)))

    for policy, outcomes in list(by.items())[:2]:
        rows = outcomes[0].hosts if outcomes else []
        if not rows:
            continue

        def loads(rows: list[list[float]] = rows) -> Figure:
            figure, cells = _over_time(made, 2.6)
            table = np.array([row[:length] for row in rows])
            image = cells[0].imshow(
                table, aspect="auto", origin="lower", extent=(0, length, 0, len(rows)), cmap="viridis", vmin=0, vmax=1,
                interpolation="nearest",
            )  # fmt: skip
            cells[0].grid(visible=False)
            cells[0].set_ylabel("host")
            # Beside the picture and not in it, so that its seconds stay under those of the schedule.
            place = cells[0].get_position()
            bar = figure.add_axes((place.x1 + 0.01, place.y0, 0.012, place.height))
            figure.colorbar(image, cax=bar, label="share of cores at work")
            return figure

        told.append(
            Picture(
                f"Work by host: {policy}",
                f"Seed {outcomes[0].seed}; each row is a host.",
                _svg(loads),
            )
        )
    if traced := [(p, o[0]) for p, o in by.items() if o and o[0].trace]:
        told += [_time_lines(made, policy, outcome) for policy, outcome in traced]
    return told


def _time_lines(made: Experiment, policy: str, outcome: Outcome) -> Picture:
    """Two customers, one that was let in most beyond its quota and one refused most with room; and all gateways."""
    rows = [row for row in outcome.trace if row[0] >= made.measure.warm_up]
    counts = {kind: Counter(row[2] for row in rows if row[1] == kind) for kind in (BEYOND, WITH_ROOM)}
    chosen = [name for name, _ in counts[BEYOND].most_common(1)]
    chosen += [name for name, _ in counts[WITH_ROOM].most_common(2) if name not in chosen][:1]
    length, gateways = int(made.seconds), made.fleet.gateways

    def draw() -> Figure:
        figure, cells = _over_time(made, 1.7, len(chosen) + 2)
        for cell, customer in zip(cells, chosen, strict=False):
            mine = [row for row in outcome.trace if row[2] == customer]
            cell.plot(
                [r[0] for r in mine], [100 * r[4] for r in mine], color="grey", lw=0.7, label="store, truth"
            )
            for kind, colour, label in (
                (INSIDE, COLOURS[2], "taken inside"),
                (BEYOND, COLOURS[1], "taken beyond"),
                (WITH_ROOM, COLOURS[0], "refused with room"),
                (WITHOUT, "#bbbbbb", "refused, no room"),
            ):
                here = [r for r in mine if r[1] == kind]
                cell.plot(
                    [r[0] for r in here], [100 * r[4] for r in here], ".", ms=3, color=colour, label=label
                )
            cell.set_ylabel("% of its burst")
            asked = len({r[3] for r in mine})
            cell.set_title(f"customer {customer}, at {asked} gateways", loc="left", fontsize=9)
        cells[0].legend(fontsize=7, loc="upper left", bbox_to_anchor=(1.0, 1.0))
        for cell, kind, label in zip(
            cells[len(chosen) :], (BEYOND, WITH_ROOM), ("taken beyond", "refused with room"), strict=True
        ):
            table = np.zeros((gateways, length))
            for at, what, _, gateway, _ in outcome.trace:
                if what == kind and at < length:
                    table[gateway, int(at)] += 1
            cell.imshow(
                table, aspect="auto", origin="lower", extent=(0, length, 0, gateways), cmap="magma_r",
                interpolation="nearest", vmin=0, vmax=max(1.0, float(np.quantile(table, 0.995))),
            )  # fmt: skip
            cell.grid(visible=False)
            cell.set_ylabel("gateway")
            cell.set_title(f"{label}, by gateway and second (dark: many)", loc="left", fontsize=9)
        return figure

    says = f"Seed {outcome.seed}. The customer that was let in most beyond its quota, and the one refused most within it."
    return Picture(f"Time lines: {policy}", says, _svg(draw))


def _template() -> jinja2.Template:
    def show(value: float) -> str:
        if math.isnan(value):
            return "–"
        return f"{value:.3f}" if abs(value) < 100 else f"{value:.0f}"

    world = jinja2.Environment(autoescape=True, trim_blocks=True, lstrip_blocks=True)
    world.filters["show"] = show
    return world.from_string(PAGE)


PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width, initial-scale=1">
<title>{{ made.name }}</title>
<style>
body { font: 16px/1.45 system-ui, sans-serif; margin: 0 auto; max-width: 1120px; padding: 1rem; color: #1a1a1a; }
h1 { margin: 0 0 .2rem; } h2 { margin: 2rem 0 .3rem; font-size: 1.2rem; } p { margin: .3rem 0; max-width: 75ch; }
.small { color: #555; font-size: .875rem; } .wide { overflow-x: auto; } code { overflow-wrap: anywhere; }
.wide svg { min-width: 640px; width: 100%; height: auto; display: block; }
table { border-collapse: collapse; font-variant-numeric: tabular-nums; }
td, th { padding: .2rem .7rem .2rem 0; text-align: right; white-space: nowrap; border-bottom: 1px solid #e4e4e4; }
td:first-child, th:first-child { text-align: left; } td.says { white-space: normal; text-align: left; color: #555; min-width: 16rem; }
.well { color: #00684a; } .ill { color: #b3261e; font-weight: 600; }
</style></head><body>
<h1>{{ made.name }}</h1>
{% if made.about %}<p>{{ made.about }}</p>{% endif %}
<p class="small">{{ made.fleet.gateways }} gateways, {{ made.fleet.hosts }} hosts, {{ made.load.customers }} customers,
{{ made.load.rate | round(1) }} first tries a second, {{ made.seconds }} s; seeds {{ seeds | join(", ") }}; {{ runs }} runs.
Code <code>{{ code }}</code>, experiment <code>{{ fingerprint }}</code>.</p>

<h2>What must hold</h2>
{% for v in violations %}
<p class="ill">Rule broken ({{ rules[v[1].rule] }}): {{ v[1].text }}, at {{ v[1].at }} s.
<code>coralvale lab replay FILE --seed {{ v[0].seed }} --policy {{ v[0].policy }}</code></p>
{% else %}<p class="well">No rule was broken: {{ rules.values() | join("; ") }}.</p>{% endfor %}
{% for v in verdicts %}<p class="{{ 'well' if v.holds else 'ill' }}">{{ v }}</p>{% endfor %}

<h2>Figures</h2>
<p class="small">Mean over seeds ± half of the {{ level }}% interval; a share unless it says otherwise; p50 and p99 in s.</p>
<div class="wide"><table><tr><th>figure</th>{% for p in policies %}<th>{{ p }}</th>{% endfor %}<th></th></tr>
{% for r in rows %}<tr><td>{{ r.figure }}</td>
{% for m in r["values"] %}<td>{{ m.value | show }}{% if m.count > 1 %} ± {{ m.half | show }}{% endif %}</td>{% endfor %}
<td class="says">{{ r.meaning }}</td></tr>
{% endfor %}</table></div>

{% for name, told in differences.items() %}
<h2>{{ name }} less {{ policies[0] }}</h2>
<p class="small">Paired by seed: the same arrivals for both.</p>
<div class="wide"><table><tr><th>figure</th><th>difference</th><th>{{ level }}% interval</th><th></th></tr>
{% for d in told %}<tr><td>{{ d.figure }}</td><td>{{ d.difference | show }}</td>
<td>{% if d.count > 1 %}{{ (d.difference - d.half) | show }} to {{ (d.difference + d.half) | show }}{% else %}–{% endif %}</td>
<td>{{ d.verdict }}</td></tr>{% endfor %}</table></div>
{% endfor %}

{% if points %}
<h2>Points</h2><p class="small">Score at each; the pictures below are of the first.</p>
<div class="wide"><table><tr><th>point</th>{% for p in policies %}<th>{{ p }}</th>{% endfor %}</tr>
{% for point, scores in points %}<tr><td>{% for k, v in point.items() %}{{ k }} = {{ v | show }} {% endfor %}</td>
{% for m in scores %}<td>{{ m.value | show }}{% if m.count > 1 %} ± {{ m.half | show }}{% endif %}</td>{% endfor %}</tr>
{% endfor %}</table></div>{% if more_points %}<p class="small">{{ more_points }} more are in the store.</p>{% endif %}
{% endif %}

{% for p in pictures %}
<h2>{{ p.title }}</h2><p class="small">{{ p.says }}</p><div class="wide">{{ p.svg | safe }}</div>
{% endfor %}

{% if faults %}<h2>What happens</h2><div class="wide"><table><tr><th>at, s</th><th>for, s</th><th>what</th><th></th></tr>
{% for f, says in faults %}<tr><td>{{ f.at }}</td><td>{{ f.lasts or "to the end" }}</td><td>{{ f.what }}</td>
<td class="says">{{ says }}{% if f.by %}; by {{ f.by }}{% endif %}{% if f.share %}; share {{ f.share }}{% endif %}
{% if f.zone >= 0 %}; zone {{ f.zone }}{% endif %}</td></tr>{% endfor %}</table></div>{% endif %}
</body></html>
"""
