"""Experiments as files: every mistake named with its place, points, results that are kept, pages."""

from __future__ import annotations

import json
import re
import xml.etree.ElementTree as ET
from collections.abc import Iterator
from pathlib import Path

import msgspec
import numpy as np
import pytest

from coralvale import cli
from coralvale.lab import compare, experiment, report, runs
from coralvale.lab.experiment import at, fingerprint, load, parse, points
from coralvale.lab.explore import Bounds, explore
from coralvale.lab.model import LabError, Must, Outcome
from coralvale.lab.runs import Job
from coralvale.lab.store import Store, encode, key
from lab.platforms import CLASSES, PLANS, TROUBLES, small

ROOT = Path(__file__).resolve().parents[2]
FILES = sorted((ROOT / "experiments").glob("*.toml"))


# Files


def mistakes(said: dict[str, object]) -> str:
    with pytest.raises(LabError) as caught:
        parse(said)
    return str(caught.value)


def test_all_mistakes_are_told_at_once_each_with_its_place() -> None:
    told = mistakes(
        {
            "name": "Bad Name",
            "clases": [],
            "classes": [{"name": "a", "work": -1, "repeat": "sometimes"}],
            "fleet": {"gateways": "ten", "hosts": 0},
            "timeline": [{"at": 1.0, "what": "host.melt"}, {"what": "host.kill"}],
        }
    ).splitlines()
    places = [line.split(": ")[1] for line in told]
    assert places == [
        "name", "clases", "classes[0].work", "classes[0].repeat", "fleet.gateways", "fleet.hosts",
        "timeline[0].what", "timeline[1].at", "plans",
    ]  # fmt: skip
    assert "expected one of" in told[1] and "missing" in told[-1]


@pytest.mark.parametrize(
    ("more", "place"),
    [
        ({"classes": []}, "classes: expected"),
        ({"classes": [{"name": "a", "aim": 5.0}]}, "classes[0].aim"),
        ({"plans": [PLANS[0], PLANS[0]]}, "plans[1].name"),
        ({"plans": [{"name": "p", "ceiling_rate": 1.0}]}, "plans[0].ceiling_burst"),
        ({"measure": {"warm_up": 10.0}}, "measure.warm_up"),
        ({"fleet": {"zones": 9}}, "fleet.zones"),
        ({"counter": {"zone": 2}}, "counter.zone"),
        ({"timeline": [{"at": 11.0, "what": "zone.lost"}]}, "timeline[0].at"),
        ({"timeline": [{"at": 1.0, "what": "zone.lost", "zone": 5}]}, "timeline[0].zone"),
        ({"timeline": [{"at": 1.0, "what": "load.surge", "plans": ["gold"]}]}, "timeline[0].plans"),
        ({"policies": ["theirs"]}, "policies[0]"),
        ({"seeds": []}, "seeds"),
        ({"must": [{"figure": "speed", "at_least": 1.0}]}, "must[0].figure"),
        ({"must": [{"figure": "served"}]}, "must[0]: expected at_least or at_most"),
        ({"must": [{"figure": "served", "at_least": 1.0, "policy": "late"}]}, "must[0].policy"),
        ({"vary": {"keys": {"fleet.gateways": []}}}, "vary.keys.fleet.gateways"),
        ({"vary": {"keys": {"fleet.doors": [1.0]}}}, "fleet.doors: unknown key"),
        ({"vary": {"keys": {"plans.7.rate": [1.0]}}}, "plans.7.rate: there is no such place"),
        ({"vary": {"keys": {"fleet.hosts": [0.5]}}}, "fleet.hosts"),
        ({"vary": {"how": "latin", "keys": {"load.rate": [5.0]}}}, "expected low and high"),
        ({"vary": {"keys": {"load.rate": [float(n) for n in range(1, 1100)]}}}, "expected at most 1000"),
    ],
)
def test_what_makes_no_sense_is_refused_by_its_place(more: dict[str, object], place: str) -> None:
    with pytest.raises(LabError, match=re.escape(place)):
        small(**more)


def test_a_file_that_cannot_be_read_is_named(tmp_path: Path) -> None:
    (tmp_path / "bad.toml").write_text("name = ")
    (tmp_path / "raw.toml").write_bytes(b"\xff\xfe")
    for name, says in (("bad.toml", "no TOML"), ("raw.toml", "no TOML"), ("none.toml", "No such file")):
        with pytest.raises(LabError, match=f"{name}: {says}"):
            load(str(tmp_path / name))


def test_a_grid_has_every_combination_and_a_hypercube_each_row_and_column_once() -> None:
    grid = small(vary={"keys": {"load.rate": [10.0, 20.0], "fleet.hosts": [2, 3, 4]}})
    assert len(points(grid)) == 6 and points(grid)[0] == {"load.rate": 10.0, "fleet.hosts": 2.0}
    assert at(grid, points(grid)[5]).fleet.hosts == 4
    latin = small(
        vary={"how": "latin", "samples": 10, "keys": {"load.rate": [10.0, 20.0], "load.light": [0.0, 1.0]}}
    )
    made = points(latin)
    assert made == points(latin) and len(made) == 10
    for path, low, high in (("load.rate", 10.0, 20.0), ("load.light", 0.0, 1.0)):
        cells = [int(10 * (p[path] - low) / (high - low)) for p in made]
        assert sorted(cells) == list(range(10))


def test_the_fingerprint_follows_what_is_played_and_not_how_it_is_told() -> None:
    made = small()
    assert fingerprint(made) == fingerprint(msgspec.structs.replace(made, about="other words"))
    assert fingerprint(made) != fingerprint(small(seconds=11.0))


@pytest.mark.parametrize("path", FILES, ids=[p.stem for p in FILES])
def test_the_experiments_hold_what_they_say_in_their_quick_form(path: Path) -> None:
    made, _ = load(str(path), quick=True)
    load(str(path))
    assert made.must and made.about
    outcomes = [runs.play(made, job) for job in runs.jobs(made)]
    assert [v for o in outcomes for v in o.violations] == []
    assert [str(v) for v in compare.verdicts(made, outcomes) if not v.holds] == []


def test_there_are_the_six() -> None:
    assert {"fleet-size", "zone-loss", "release", "counter-away", "retry-storm", "slow-host"} <= {
        p.stem for p in FILES
    }


# Runs and what is kept of them


def test_results_do_not_depend_on_the_number_of_workers_and_a_stopped_sweep_goes_on(tmp_path: Path) -> None:
    made = small(seconds=5.0, seeds=[1, 2], policies=["ours", "plain"], timeline=TROUBLES[:2])
    alone = {(o.policy, o.seed): encode(o) for o in (runs.play(made, job) for job in runs.jobs(made))}
    store = Store(str(tmp_path / "a" / "lab.sqlite3"))
    first = next(iter(runs.play_all(made, store, 1, ["plain"])))  # as if it had been stopped after a part
    assert first.policy == "plain"
    seen: list[tuple[int, int]] = []
    outcomes = list(runs.play_all(made, store, 3, progress=lambda done, of, _: seen.append((done, of))))
    assert {(o.policy, o.seed): encode(o) for o in outcomes} == alone
    assert seen[0] == (2, 4) and seen[-1] == (4, 4)  # two were there
    again = list(runs.play_all(made, store, 3, progress=lambda done, of, _: seen.append((done, of))))
    assert seen[-1] == (4, 4) and len(again) == 4
    store.close()


def test_what_is_in_the_store_stays_as_it_is() -> None:
    store = Store(":memory:")
    outcome = runs.play(small(seconds=4.0), Job((), 1, "plain"))
    store.put("n", "f", "c", outcome, 1.0)
    store.put("n", "f", "c", msgspec.structs.replace(outcome, figures={}), 1.0)
    assert [o.figures for o in store.all("f")] == [outcome.figures]
    assert store.has(key("f", {}, 1, "plain", "c")) and not store.has(key("f", {}, 2, "plain", "c"))
    assert store.names() == [("n", "f", 1, "c")]
    with pytest.raises(LabError, match="store.txt"):
        Store("/dev/null/store.txt")


def test_a_run_that_goes_on_after_a_broken_rule_is_kept_apart_from_one_that_ends_there() -> None:
    made = small(seconds=6.0, seeds=[1], policies=["broken:eager"], timeline=TROUBLES[:2])
    store = Store(":memory:")
    (ends,) = runs.play_all(made, store, 1)
    (goes_on,) = runs.play_all(made, store, 1, stop_at=0)
    assert len(ends.violations) == 1 < len(goes_on.violations)


def test_another_checkout_is_played_in_the_same_world(tmp_path: Path) -> None:
    """This checkout beside itself is the same, but for its name; one that decides otherwise is not."""
    made = small(seconds=5.0, timeline=TROUBLES[:2])
    here = runs.play(made, Job((), 1, "ours"))
    beside = runs.play(made, Job((), 1, "beside"), beside=str(ROOT))
    assert beside.policy == "beside" and beside.figures == here.figures and beside.series == here.series
    other = tmp_path / "other" / "coralvale"
    other.mkdir(parents=True)
    for file in (ROOT / "coralvale").glob("*.py"):
        (other / file.name).write_text(file.read_text().replace("SUBSET_SIZE = 8", "SUBSET_SIZE = 1"))
    changed = runs.play(made, Job((), 1, "beside"), beside=str(tmp_path / "other"))
    assert changed.series["asked"] == here.series["asked"] and changed.figures != here.figures
    with pytest.raises(LabError, match="no coralvale/logic.py"):
        runs.play(made, Job((), 1, "beside"), beside=str(tmp_path))


# Comparison


def outcome(policy: str, seed: int, **figures: float) -> Outcome:
    return Outcome(policy, seed, {}, figures, {}, {}, [], [])


def test_a_paired_difference_sees_what_two_means_would_not() -> None:
    draw = np.random.default_rng(5)
    base = draw.normal(0.7, 0.1, 12)
    one = [outcome("a", n, served=float(v)) for n, v in enumerate(base)]
    other = [outcome("b", n, served=float(v + 0.01 + draw.normal(0, 0.002))) for n, v in enumerate(base)]
    (told,) = compare.paired(one, other)
    assert told.verdict == "more" and told.difference == pytest.approx(0.01, abs=0.003)
    apart = compare.mean([o.figures["served"] for o in one])
    assert apart.half > 5 * told.half  # the seeds differ by far more than the policies


def test_where_there_is_no_difference_none_is_claimed_in_nineteen_of_twenty() -> None:
    draw = np.random.default_rng(6)
    claimed = 0
    for _ in range(400):
        one = [outcome("a", n, x=float(v)) for n, v in enumerate(draw.normal(0, 1, 8))]
        other = [outcome("b", n, x=float(v)) for n, v in enumerate(draw.normal(0, 1, 8))]
        claimed += compare.paired(one, other)[0].verdict != "no difference"
    assert 8 <= claimed <= 34  # 20 expected


def test_one_seed_tells_no_interval_and_no_common_seed_is_an_error() -> None:
    (told,) = compare.paired([outcome("a", 1, x=1.0)], [outcome("b", 1, x=2.0)])
    assert told.verdict == "one seed tells no interval"
    with pytest.raises(LabError, match="no seed"):
        compare.paired([outcome("a", 1, x=1.0)], [outcome("b", 2, x=2.0)])


def test_what_must_hold_is_held_against_its_own_figure_or_a_multiple_of_another() -> None:
    made = msgspec.structs.replace(
        small(),
        must=(
            Must(figure="served", at_least=0.8),
            Must(figure="served", at_least=0.9, of="plain:served"),
            Must(figure="served", at_most=0.5, of="refused"),
            Must(figure="refused.pressed", at_most=0.0),
        ),
    )
    runs_ = [outcome("ours", 1, served=0.7, refused=0.2), outcome("plain", 1, served=0.75)]
    assert [v.holds for v in compare.verdicts(made, runs_)] == [False, True, False, True]


# The page


class Page:
    def __init__(self, text: str) -> None:
        self.text = text
        self.pictures = re.findall(r"<svg.*?</svg>", text, re.DOTALL)


@pytest.fixture(scope="module")
def page() -> Iterator[Page]:
    made = small(
        about="What <b>this</b> is about", timeline=TROUBLES, seeds=[1, 2],
        policies=["ours", "plain", "broken:eager"],
        must=[{"figure": "served", "at_least": 0.99}],
    )  # fmt: skip
    outcomes = [runs.play(made, job) for job in runs.jobs(made)]
    yield Page(report.page(made, outcomes, "abc123", "f00d"))


def test_the_page_stands_alone_and_says_what_held_and_what_did_not(page: Page) -> None:
    assert not re.search(r"https?://|src=|<link|@import", re.sub(r'xmlns(:\w+)?="[^"]*"', "", page.text))
    assert "What &lt;b&gt;this&lt;/b&gt; is about" in page.text
    assert "FAILS: served of ours" in page.text
    assert "coralvale lab replay FILE --seed 1 --policy broken:eager" in page.text
    assert "plain less ours" in page.text and "width=device-width" in page.text


def test_its_pictures_are_whole_and_their_axes_have_units(page: Page) -> None:
    assert len(page.pictures) == 5  # answers, quotas, delays, two heat maps
    for picture in page.pictures:
        ET.fromstring(picture)
    words = " ".join(re.findall(r">([^<>]+)</text>", page.text))
    for label in (
        "time in the run, s",
        "units a second",
        "tries a second",
        "s from the first try",
        "share of cores",
    ):
        assert label in words
    assert words.count("host.reset") == 4  # the schedule stands above all pictures over time


def test_the_same_runs_make_the_same_page() -> None:
    made = small(seconds=4.0)
    outcomes = [runs.play(made, job) for job in runs.jobs(made)]
    assert report.page(made, outcomes, "c", "f") == report.page(made, outcomes, "c", "f")


# Model checking


def test_no_order_and_no_loss_of_messages_in_a_small_world_breaks_a_rule() -> None:
    found = explore(Bounds(depth=4))
    assert found.violation is None and found.complete
    assert found.states > 700 and found.met_again > 100 and found.leaves > 300


@pytest.mark.parametrize(
    ("mutant", "rule", "bounds"),
    [
        ("broken:eager", "twice", Bounds(depth=4)),
        ("broken:deaf", "drains", Bounds(depth=5)),
        ("broken:generous", "ceiling", Bounds(depth=3, requests=3)),
    ],
)
def test_the_exploration_finds_what_is_broken_and_the_way_to_it(
    mutant: str, rule: str, bounds: Bounds
) -> None:
    from coralvale.lab.broken import MUTANTS

    found = explore(bounds, MUTANTS[mutant][0])
    assert found.violation is not None and found.violation.rule == rule
    assert 0 < len(found.path) <= bounds.depth + 1


def test_a_bound_on_states_is_told() -> None:
    assert not explore(Bounds(depth=4, states=50)).complete


# The command line


def lab(*words: str) -> int:
    return cli.main(["lab", *words])


@pytest.fixture
def file(tmp_path: Path) -> Path:
    path = tmp_path / "small.toml"
    lines = ['name = "small"', "seconds = 5.0", "seeds = [1]", 'policies = ["ours", "plain"]']
    lines += ["[fleet]", "gateways = 4", "hosts = 6", "[load]", "customers = 30", "rate = 30.0"]
    for cls in CLASSES:
        lines += ["[[classes]]", *(f"{k} = {json.dumps(v)}" for k, v in cls.items())]
    for plan in PLANS:
        lines += ["[[plans]]", *(f"{k} = {json.dumps(v)}" for k, v in plan.items())]
    lines += ["[[timeline]]", "at = 1.0", 'what = "host.reset"', "share = 0.8", "by = 0.5", "lasts = 3.0"]
    lines += ["[[must]]", 'figure = "served"', "at_least = 0.2", "[quick]", '"seconds" = 4.0']
    path.write_text("\n".join(lines))
    return path


def test_a_run_is_kept_shown_and_reported(
    file: Path, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    kept, page = str(tmp_path / "lab.sqlite3"), tmp_path / "page.html"
    assert lab("run", str(file), "--store", kept, "--workers", "2", "--report", str(page)) == 0
    assert "holds: served of ours" in capsys.readouterr().out and "<svg" in page.read_text()
    assert lab("show", "--store", kept, "--json") == 0
    (shown,) = json.loads(capsys.readouterr().out)
    assert shown["name"] == "small" and shown["runs"] == 2
    assert lab("compare", str(file), "--store", kept, "--json") == 0
    told = json.loads(capsys.readouterr().out)
    assert told["ok"] and {r["policy"] for r in told["runs"]} == {"ours", "plain"}
    page.unlink()
    assert lab("report", str(file), "--store", kept, "-o", str(page)) == 0
    assert "<svg" in page.read_text()


def test_a_broken_rule_ends_in_1_and_a_line_that_replays_it(
    file: Path, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    words = ["run", str(file), "--store", str(tmp_path / "s"), "--workers", "1", "--policy", "broken:eager"]
    assert lab(*words) == 1
    out = capsys.readouterr().out
    line = re.search(r"coralvale lab (replay .*)", out)
    assert line and "BROKEN twice" in out
    assert lab(*line[1].split()) == 1
    assert "BROKEN twice" in capsys.readouterr().out
    small_file = str(tmp_path / "less.toml")
    assert lab("shrink", str(file), "--seed", "1", "--policy", "broken:eager", "-o", small_file) == 0
    assert lab(*capsys.readouterr().out.splitlines()[1].split()[2:]) == 1
    less, _ = load(small_file)
    assert less.load.rate < 30.0


def test_check_tells_of_files_and_of_mutants(file: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert lab("check", str(file), "--json") == 0
    assert json.loads(capsys.readouterr().out)["files"][str(file)]["runs"] == 2
    assert lab("check", str(file), "--mutants") == 1  # no ceiling is passed and no host is cold here
    out = capsys.readouterr().out
    assert "broken:eager: caught" in out and "broken:warm: NOT caught" in out
    file.write_text(file.read_text().replace("gateways = 4", "gateways = 0\ndoors = 1"))
    assert lab("check", str(file)) == 2
    err = capsys.readouterr().err.splitlines()
    assert len(err) == 2 and "fleet.gateways" in err[0] and "fleet.doors" in err[1]


@pytest.mark.parametrize(
    "words",
    [
        ["run", "FILE", "--policy", "theirs"],
        ["replay", "FILE", "--seed", "1", "--set", "fleet.hosts"],
        ["replay", "FILE", "--seed", "1", "--set", "fleet.doors=2"],
        ["shrink", "FILE", "--seed", "1", "-o", "x"],
        ["report", "FILE", "-o", "x", "--store", ":memory:"],
        ["compare", "FILE", "--beside", "/nowhere", "--workers", "1", "--store", ":memory:"],
        ["explore", "--depth", "0"],
        ["explore", "--policy", "plain"],
    ],
)
def test_a_wrong_call_is_2_and_one_line(
    words: list[str], file: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert lab(*[str(file) if w == "FILE" else w for w in words]) == 2
    assert len(capsys.readouterr().err.strip().splitlines()) == 1


def test_explore_from_the_command_line(capsys: pytest.CaptureFixture[str]) -> None:
    assert lab("explore", "--depth", "2") == 0
    assert "all within 2 choices and 1 losses" in capsys.readouterr().out
    assert lab("explore", "--depth", "4", "--policy", "broken:eager", "--json") == 1
    assert json.loads(capsys.readouterr().out)["violation"]["rule"] == "twice"


def test_the_gateway_does_without_the_laboratory() -> None:
    import subprocess
    import sys

    code = "import sys, coralvale.__main__; print({m.partition('.')[0] for m in sys.modules} & {*sys.argv})"
    heavy = ["numpy", "scipy", "matplotlib", "jinja2", "rich", "hdrh", "msgspec", "tomli_w"]
    done = subprocess.run(
        [sys.executable, "-c", code, *heavy], capture_output=True, text=True, cwd=ROOT, check=True
    )
    assert done.stdout.strip() == "set()"


def test_quick_values_that_name_nothing_are_refused() -> None:
    with pytest.raises(LabError, match=r"quick.classes.9.work: there is no such place"):
        said = {"name": "x", "classes": CLASSES, "plans": PLANS, "quick": {"classes.9.work": 1.0}}
        experiment.parse(said, quick=True)
