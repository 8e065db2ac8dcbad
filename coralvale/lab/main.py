"""`coralvale lab`: experiments with a whole platform on a virtual clock."""

from __future__ import annotations

import argparse
import json
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec

from coralvale.lab import broken, compare, experiment, policies, runs
from coralvale.lab.measure import STRETCH, stretches
from coralvale.lab.model import Experiment, LabError, Outcome
from coralvale.lab.store import Store

STORE = "lab.sqlite3"
REAL = [
    "score",
    "served",
    "refused",
    "with_room",
    "half_empty",
    "beyond",
    "over_quota",
    "failed",
    "late",
    "tries",
    "calls",
]
SHOWN = ["score", "served", "worst", "beyond", "over_quota", "with_room", "refused", "failed", "calls"]


def add(command: argparse.ArgumentParser) -> None:
    """The words of the command."""
    command.epilog = (
        "Exit codes: 0 well; 1 a rule was broken, a figure that must hold does not, or a mutant was not caught; "
        "2 a wrong call or a file that cannot be used."
    )
    words = command.add_subparsers(dest="word", metavar="WORD", required=True)
    told = {
        "run": "plays an experiment as it stands, without what it varies",
        "sweep": "plays all points of what an experiment varies",
        "compare": "sets policies side by side on the same arrivals, with intervals over seeds",
        "replay": "plays one run again and tells of the rule that it breaks",
        "loopback": "plays one run in real time, on real gateways and stand-ins, beside the same in the model",
        "shrink": "makes a failing experiment smaller while it breaks the same rule",
        "report": "writes the page of what the store holds of an experiment",
        "check": "reads experiments and says what is wrong with them; with --mutants, whether rules are caught",
        "explore": "looks at every order and loss of messages in a small world, up to a depth",
        "show": "what a store holds",
    }
    one = {word: words.add_parser(word, help=text, description=text) for word, text in told.items()}
    for word, it in one.items():
        if word == "check":
            it.add_argument("files", metavar="FILE", nargs="+")
            it.add_argument(
                "--mutants", action="store_true", help="plays a gateway broken on purpose for each rule"
            )
        elif word not in ("explore", "show"):
            it.add_argument("file", metavar="FILE", help="the experiment, in TOML")
        if word not in ("explore", "show"):
            it.add_argument("--quick", action="store_true", help="with the values of its [quick] table")
        it.add_argument("--json", action="store_true", help="one JSON object, for programs")
        if word in ("run", "sweep", "compare", "report", "show"):
            it.add_argument(
                "--store", metavar="FILE", default=STORE, help=f"where results are kept ({STORE})"
            )
        if word in ("run", "sweep", "compare"):
            it.add_argument(
                "--workers", type=int, default=0, metavar="N", help="processes (as many as cores)"
            )
            it.add_argument("--report", metavar="HTML", help="writes the page, too")
            it.add_argument(
                "--beside", metavar="CHECKOUT", default="", help="for the policy `beside`: another checkout"
            )
            it.add_argument("--all-violations", action="store_true", help="plays on after a broken rule")
        if word in ("run", "sweep", "replay", "shrink"):
            it.add_argument("--policy", metavar="NAME", help=f"one of {', '.join(policies.known())}")
        if word in ("replay", "shrink", "loopback"):
            it.add_argument("--seed", type=int, required=True, metavar="N")
        if word == "loopback":
            it.add_argument(
                "--members", action="store_true", help="gateways keep quotas among themselves ([members])"
            )
        if word in ("replay", "shrink", "loopback"):
            it.add_argument("--set", action="append", default=[], metavar="PATH=VALUE", help="another value")
    one["replay"].add_argument(
        "--every", type=int, default=0, metavar="S", help="a table, too, with a line for each S seconds"
    )
    one["compare"].add_argument(
        "--of", metavar="NAME", default="ours", help="the policy that others are held against"
    )
    one["report"].add_argument("-o", "--out", metavar="HTML", required=True)
    one["shrink"].add_argument("-o", "--out", metavar="FILE", required=True, help="the smaller experiment")
    explore = one["explore"]
    explore.add_argument("--depth", type=int, default=6, metavar="N", help="choices in a row (6)")
    explore.add_argument("--losses", type=int, default=1, metavar="N", help="messages that may be lost (1)")
    explore.add_argument("--requests", type=int, default=2, metavar="N", help="that clients ask (2)")
    explore.add_argument("--states", type=int, default=200_000, metavar="N", help="looked at at most")
    explore.add_argument("--policy", metavar="NAME", default="ours", help="ours, or one broken on purpose")
    text = "plays a day of the cluster on which copies sour, with shared health and each node alone"
    sour = words.add_parser("souring", help=text, description=text)
    text = "plays a day of services that are bound to a home region, and the same with nothing bound"
    home = words.add_parser("home", help=text, description=text)
    for day in (sour, home):
        day.add_argument("file", metavar="FILE", help="the day, in TOML")
        day.add_argument("--seeds", type=int, default=3, metavar="N", help="days with other luck (3)")
        day.add_argument("--first", type=int, default=1, metavar="SEED", help="the first seed (1)")
        day.add_argument("--plot", metavar="PNG", help="draws the first seed's day")
        day.add_argument("--json", action="store_true", help="one JSON object, for programs")
    sour.add_argument("--jobs", type=int, default=4, metavar="N", help="processes (4)")


def run(asked: argparse.Namespace) -> int:
    """Runs the word that was asked for."""
    try:
        return int(WORDS[asked.word](asked))
    except LabError as error:
        if getattr(asked, "json", False):
            print(json.dumps({"ok": False, "errors": str(error).splitlines()}))
        for line in str(error).splitlines():
            print(f"coralvale: {line}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        print(
            "coralvale: stopped; what has ended is in the store, and the same call goes on from there",
            file=sys.stderr,
        )
        return 1


# Runs


def _play(asked: argparse.Namespace, made: Experiment, only: Sequence[str]) -> tuple[list[Outcome], str]:
    """Plays it with progress on standard error; a broken rule stops a run."""
    from rich.console import Console
    from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

    if policies.BESIDE in (only or made.policies) and not asked.beside:
        raise LabError("--beside: the policy `beside` needs the checkout that it is")
    kept = Store(asked.store)
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn())
    with Progress(*columns, console=Console(stderr=True), transient=True) as shown:
        bar = shown.add_task(made.name, total=None)

        def progress(done: int, of: int, outcome: Outcome | None) -> None:
            shown.update(bar, completed=done, total=of)

        outcomes = list(
            runs.play_all(
                made, kept, asked.workers, only, 0 if asked.all_violations else 1, asked.beside, progress
            )
        )
    kept.close()
    return outcomes, experiment.fingerprint(made)


def _finish(asked: argparse.Namespace, made: Experiment, outcomes: list[Outcome], mark: str) -> int:
    """Verdicts, the page, the lines that replay what broke; the exit code."""
    told = compare.verdicts(made, outcomes)
    broke = [(o, v) for o in outcomes for v in o.violations]
    if asked.report:
        _write(asked.report, made, outcomes, mark)
    if asked.json:
        print(
            json.dumps(
                {
                    "ok": not broke and all(v.holds for v in told),
                    "experiment": made.name,
                    "fingerprint": mark,
                    "runs": [msgspec.to_builtins(_short(o)) for o in outcomes],
                    "must": [{"text": str(v), "holds": v.holds} for v in told],
                    "violations": [{"replay": _replay(asked, o), **msgspec.to_builtins(v)} for o, v in broke],
                }
            )
        )
    else:
        for verdict in told:
            print(verdict)
        for outcome, violation in broke:
            print(f"BROKEN {violation.rule} at {violation.at:g} s: {violation.text}")
            print(f"  {_replay(asked, outcome)}")
        if asked.report:
            print(f"page: {asked.report}")
    return 0 if not broke and all(v.holds for v in told) else 1


def _short(outcome: Outcome) -> dict[str, Any]:
    return {
        "policy": outcome.policy,
        "seed": outcome.seed,
        "point": outcome.point,
        "figures": outcome.figures,
    }


def _replay(asked: argparse.Namespace, outcome: Outcome) -> str:
    """The one line that plays a run again."""
    words = ["coralvale lab replay", asked.file, f"--seed {outcome.seed}", f"--policy {outcome.policy}"]
    words += ["--quick"] if asked.quick else []
    words += [f"--set {path}={value:g}" for path, value in outcome.point.items()]
    return " ".join(words)


def _table(made: Experiment, outcomes: list[Outcome]) -> None:
    from rich.console import Console
    from rich.table import Table

    console = Console(width=None if sys.stdout.isatty() else 200)
    shown = Table(box=None, pad_edge=False)
    shown.add_column("point" if any(o.point for o in outcomes) else "policy")
    for name in SHOWN:
        shown.add_column(name, justify="right")
    groups = dict.fromkeys((tuple(o.point.items()), o.policy) for o in outcomes)
    for point, policy in groups:
        here = [o for o in outcomes if tuple(o.point.items()) == point and o.policy == policy]
        label = " ".join(f"{path}={value:g}" for path, value in point)
        cells = []
        for name in SHOWN:
            mean = compare.mean([o.figures.get(name, 0.0) for o in here])
            cells.append(f"{mean.value:.3f}" + (f"±{mean.half:.3f}" if mean.count > 1 else ""))
        shown.add_row(" ".join(filter(None, (label, policy))), *cells)
    console.print(shown)


def _run(asked: argparse.Namespace) -> int:
    made, _ = experiment.load(asked.file, asked.quick)
    if asked.word == "run":
        made = msgspec.structs.replace(made, vary=type(made.vary)())
    only = [_policy(asked.policy)] if asked.policy else []
    if only and only[0] not in made.policies:
        made = msgspec.structs.replace(made, policies=tuple(only), must=())
    outcomes, mark = _play(asked, made, only)
    if not asked.json:
        _table(made, outcomes)
    return _finish(asked, made, outcomes, mark)


def _policy(name: str) -> str:
    if name not in policies.known():
        raise LabError(f"--policy: {name!r} is no policy; expected one of {', '.join(policies.known())}")
    return name


def _compare(asked: argparse.Namespace) -> int:
    made, _ = experiment.load(asked.file, asked.quick)
    made = msgspec.structs.replace(made, vary=type(made.vary)())
    named = list(dict.fromkeys([_policy(asked.of), *made.policies]))
    if asked.beside and policies.BESIDE not in named:
        named.append(policies.BESIDE)
    if len(named) < 2:
        raise LabError("compare: the experiment names one policy; expected two, or --beside CHECKOUT")
    made = msgspec.structs.replace(made, policies=tuple(named))
    outcomes, mark = _play(asked, made, named)
    by = {name: [o for o in outcomes if o.policy == name] for name in named}
    if not asked.json:
        _table(made, outcomes)
        for name in named[1:]:
            print(
                f"\n{name} less {asked.of}, paired over {len(by[name])} seeds, {compare.LEVEL:.0%} intervals:"
            )
            for d in compare.paired(by[asked.of], by[name], SHOWN):
                span = f"{d.difference - d.half:+.4f} to {d.difference + d.half:+.4f}" if d.count > 1 else "-"
                print(f"  {d.figure:12} {d.difference:+.4f}  ({span})  {d.verdict}")
    return _finish(asked, made, outcomes, mark)


# One run


def _set(asked: argparse.Namespace) -> Experiment:
    made, _ = experiment.load(asked.file, asked.quick)
    point = {}
    for text in asked.set:
        path, _, value = text.partition("=")
        try:
            point[path] = float(value)
        except ValueError:
            raise LabError(f"--set: {text!r}, expected PATH=NUMBER") from None
    return experiment.at(made, point)


def _again(asked: argparse.Namespace) -> int:
    made = _set(asked)
    policy = _policy(asked.policy or made.policies[0])
    if asked.every < 0:
        raise LabError(f"--every: {asked.every}, expected seconds above 0")
    began = time.perf_counter()
    outcome = runs.play(made, runs.Job((), asked.seed, policy))
    took = time.perf_counter() - began
    rows = stretches(outcome.series, int(made.seconds), asked.every) if asked.every else []
    if asked.json:
        print(
            json.dumps(
                _short(outcome)
                | {"violations": msgspec.to_builtins(outcome.violations), "took": took, "stretches": rows}
            )
        )
    else:
        if rows:
            print("".join(f"{name:>11}" for name in STRETCH))
        for row in rows:
            print("".join(f"{v:11.0f}" if v >= 10 or v == int(v) else f"{v:11.3f}" for v in row.values()))
        for name in SHOWN:
            print(f"{name:12} {outcome.figures.get(name, 0.0):.4f}")
        for violation in outcome.violations:
            print(f"BROKEN {violation.rule} at {violation.at:g} s: {violation.text}")
        print(f"{made.seconds:g} s played in {took:.1f} s")
    return 1 if outcome.violations else 0


def _loopback(asked: argparse.Namespace) -> int:
    import asyncio

    from coralvale.lab import loopback

    made = _set(asked)
    real = asyncio.run(loopback.play(made, asked.seed, asked.members))
    model = runs.play(made, runs.Job((), asked.seed, "ours")).figures
    told = {name: (real[name], model[name]) for name in REAL if name in real and name in model}
    told |= {name: (real[name], model[name]) for name in real if name.startswith("p") and name in model}
    if asked.json:
        print(json.dumps({name: {"real": a, "model": b} for name, (a, b) in told.items()}))
    else:
        print(f"{'':16} {'real':>9} {'model':>9}")
        for name, (a, b) in told.items():
            print(f"{name:16} {a:9.4f} {b:9.4f}")
    return 0


def _shrink(asked: argparse.Namespace) -> int:
    import tomli_w

    from coralvale.lab.shrink import shrink

    made = _set(asked)
    policy = _policy(asked.policy or made.policies[0])

    def test(smaller: Experiment) -> Any:  # noqa: ANN401
        found = runs.play(smaller, runs.Job((), asked.seed, policy)).violations
        return found[0] if found else None

    try:
        small = shrink(made, test, lambda text: print(f"  {text}", file=sys.stderr))
    except ValueError as error:
        raise LabError(f"{asked.file}: seed {asked.seed}, {policy}: {error}") from None
    small = msgspec.structs.replace(
        small, seeds=(asked.seed,), policies=(policy,), vary=type(small.vary)(), must=(), quick={}
    )
    told = _bare(msgspec.json.decode(msgspec.json.encode(small)))
    Path(asked.out).write_text(tomli_w.dumps(told), "utf-8")
    found = test(small)
    line = f"coralvale lab replay {asked.out} --seed {asked.seed} --policy {policy}"
    if asked.json:
        print(json.dumps({"file": asked.out, "replay": line, "violation": msgspec.to_builtins(found)}))
    else:
        print(f"{asked.out}: {len(small.timeline)} events, {small.seconds:g} s, {small.fleet.gateways} gateways, "
              f"{small.fleet.hosts} hosts, {small.load.customers} customers\n{line}")  # fmt: skip
    return 0


def _bare(said: Any) -> Any:  # noqa: ANN401
    """Without what is not set, which TOML cannot say."""
    if isinstance(said, dict):
        return {key: _bare(value) for key, value in said.items() if value is not None}
    return [_bare(one) for one in said] if isinstance(said, list) else said


# Pages and files


def _write(path: str, made: Experiment, outcomes: list[Outcome], mark: str) -> None:
    from coralvale.lab import report

    text = report.page(made, outcomes, runs.code(), mark)
    try:
        Path(path).write_text(text, "utf-8")
    except OSError as error:
        raise LabError(f"{path}: {error.strerror}") from None


def _report(asked: argparse.Namespace) -> int:
    made, mark = experiment.load(asked.file, asked.quick)
    kept = Store(asked.store)
    outcomes = list(kept.all(mark))
    if not outcomes:  # `run` plays it without what varies, under another mark
        made = msgspec.structs.replace(made, vary=type(made.vary)())
        mark = experiment.fingerprint(made)
        outcomes = list(kept.all(mark))
    kept.close()
    if not outcomes:
        raise LabError(f"{asked.store}: holds no run of {asked.file}; play it with `coralvale lab run` first")
    _write(asked.out, made, outcomes, mark)
    print(json.dumps({"page": asked.out, "runs": len(outcomes)}) if asked.json else f"page: {asked.out}")
    return 0


def _check(asked: argparse.Namespace) -> int:
    told: dict[str, Any] = {}
    well = True
    for path in asked.files:
        try:
            made, mark = experiment.load(path, asked.quick)
        except LabError as error:
            if len(asked.files) == 1:
                raise
            told[path] = {"ok": False, "errors": str(error).splitlines()}
            print(error, file=sys.stderr)
            well = False
            continue
        count = len(runs.jobs(made))
        told[path] = {"ok": True, "runs": count, "fingerprint": mark}
        if not asked.json:
            print(f"{path}: good; {count} runs of {made.seconds:g} s")
        if asked.mutants:
            caught = told[path]["mutants"] = _mutants(made, asked.json)
            well = well and all(caught.values())
    if asked.json:
        print(json.dumps({"ok": well, "files": told}))
    return 0 if well else (1 if asked.mutants else 2)


def _mutants(made: Experiment, quiet: bool) -> dict[str, bool]:
    """Whether each is caught by the rule that it breaks, on the experiment's own platform."""
    told = {}
    for name, (_, rule) in broken.MUTANTS.items():
        found = [v for seed in made.seeds for v in runs.play(made, runs.Job((), seed, name), 0).violations]
        told[name] = any(v.rule == rule for v in found)
        if not quiet:
            first = next((f": {v.text}, at {v.at:g} s" for v in found if v.rule == rule), "")
            print(
                f"  {name}: {'caught' + first if told[name] else 'NOT caught: nothing here brings it about'}"
            )
    return told


def _explore(asked: argparse.Namespace) -> int:
    from coralvale import Gateway
    from coralvale.lab import explore

    if asked.policy != "ours" and asked.policy not in broken.MUTANTS:
        raise LabError(f"--policy: {asked.policy!r}, expected ours or one of {', '.join(broken.MUTANTS)}")
    for name in ("depth", "requests", "states"):
        if getattr(asked, name) < 1:
            raise LabError(f"--{name}: expected a number above 0")
    make = Gateway if asked.policy == "ours" else broken.MUTANTS[asked.policy][0]
    bounds = explore.Bounds(asked.depth, asked.losses, asked.requests, asked.states)
    show = sys.stderr.isatty()
    found = explore.explore(
        bounds, make, lambda n: print(f"\r{n} states", end="", file=sys.stderr) if show else None
    )
    if asked.json:
        print(json.dumps(msgspec.to_builtins(found)))
    else:
        extent = "all" if found.complete else "not all: the bound on states was met;"
        print(f"{found.states} states, {found.met_again} met again, {found.leaves} played to their end; {extent} "
              f"within {asked.depth} choices and {asked.losses} losses")  # fmt: skip
        if found.violation:
            print(f"BROKEN {found.violation.rule}: {found.violation.text}")
            for step in found.path:
                print(f"  {step}")
    return 1 if found.violation else 0


def _show(asked: argparse.Namespace) -> int:
    kept = Store(asked.store)
    rows = kept.names()
    kept.close()
    if asked.json:
        print(
            json.dumps([dict(zip(("name", "fingerprint", "runs", "code"), row, strict=True)) for row in rows])
        )
    else:
        for name, mark, count, code in rows:
            print(f"{name:24} {mark}  {count:5} runs  {code}")
    return 0


def _cluster_days(asked: argparse.Namespace) -> int:
    """Days on the cluster's own machines."""
    try:
        from coralvale.lab import abroad, souring
    except ModuleNotFoundError as error:
        raise LabError(f"{asked.word} needs the extra cluster as well: {error.name} is missing") from None
    return abroad.run(asked) if asked.word == "home" else souring.run(asked)


WORDS = {
    "run": _run, "sweep": _run, "compare": _compare, "replay": _again, "loopback": _loopback, "shrink": _shrink,
    "report": _report,
    "check": _check, "explore": _explore, "show": _show, "souring": _cluster_days,
    "home": _cluster_days,
}  # fmt: skip
