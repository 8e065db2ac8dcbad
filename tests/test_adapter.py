"""The simulator's protocol in both directions, malformed input, and equal actions under every hash seed."""

import io
import os
import subprocess
import sys
from pathlib import Path

import pytest

from coralvale.adapter import Adapter, MalformedLine

ROOT = Path(__file__).resolve().parent.parent
SETTINGS = {
    "n_instances": "2",
    "locality": "0",
    "classes.count": "1",
    "classes.0.aim_s": "1.0",
    "classes.0.give_up_s": "4.0",
    "classes.0.worth": "2.0",
    "classes.0.repeat": "free",
    "packages.count": "1",
    "packages.0.per_second": "4.0",
    "packages.0.most_at_once": "8.0",
    "packages.0.excess_cost": "1.0",
    "rules.stop_sending_within_s": "1.0",
    "rules.cold_from": "0.2",
    "rules.ramp_time_s": "10",
    "rules.fall_multiple": "2.0",
    "rules.overload_for_s": "3.0",
    "ceilings.send_cap": "3",
    "ceilings.retry_after": "true",
    "ceilings.max_retry_after_s": "1.0",
    "something.new": "skipped",
}


def hello(**changes: str | None) -> str:
    pairs = {**SETTINGS, **{k.replace("__", "."): v for k, v in changes.items()}}
    return "HELLO\tnonce64=7\t" + "\t".join(f"{k}={v}" for k, v in pairs.items() if v is not None)


def batch(now: float, *lines: str) -> str:
    return "\n".join([f"ROUND\tmoment_s={now}", "ABOUT\ti=3", *lines, "FLUSH\n"])


def start(settings: str) -> str:
    entry = "M\tscale=1\thost=10.0.0.1:80\tgroup=0\thealth=healthy\tregion_part=0\tmachine=0\tnews=1"
    roster = "ROSTER_CHANGE\tgeneration=1\thow=C\tlist=0"
    return batch(10.0, settings, "MANIFEST\tlist=0\titems=1", entry, roster)


def ingress(name: str, **more: str) -> str:
    fields = {"band": "0", "tariff": "0", "member": "5", "n_entries": "1", "expires_s": "14.1", **more}
    return f"INGRESS\ttid={name}\t" + "\t".join(f"{k}={v}" for k, v in fields.items())


def play(*batches: str) -> list[str]:
    sink = io.StringIO()
    Adapter().run(io.StringIO("".join(batches)), sink)
    return sink.getvalue().splitlines()


def test_a_request_is_sent_and_its_answer_ends_it() -> None:
    done = "DONE\ttid=rq_a\tn=0\thost=10.0.0.1:80\toutcome=pass\tdelay_seen_s=0.1\tover=1\tquota_use=86"
    lines = play(start(hello()), batch(10.1, ingress("rq_a")), batch(10.2, done))
    assert lines == [
        "AS\ti=3",
        "WAKE_AT\tmark=0\tsleep_for_s=0.100000",
        "DONE",
        "AS\ti=3",
        "HAND_OFF\ttid=rq_a\thost=10.0.0.1:80\tuntil_s=14.100000",
        "DONE",
        "DONE",
    ]


def test_a_refusal_carries_its_advice() -> None:
    lines = play(start(hello()), batch(10.1, *(ingress(f"rq_{i}", price_units="4") for i in range(3))))
    assert "OVERLOAD_REPLY\ttid=rq_2\tcool_down_s=0.250000" in lines  # a quarter of the aim


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"rules__cold_from": None}, "rules.cold_from: missing"),
        ({"rules__cold_from": "1.5"}, "cold_share"),
        ({"classes__0__aim_s": "soon"}, "classes.0.aim_s"),
        ({"classes__0__repeat": "sometimes"}, "classes.0.repeat"),
        ({"classes__0__aim_s": "9"}, "classes[0].aim"),
        ({"packages__0__per_second": "nan"}, "plans[0].rate"),
        ({"packages__0__most_at_once": "0"}, "plans[0].burst"),
    ],
)
def test_an_invalid_setting_is_rejected_by_name(change: dict[str, str | None], named: str) -> None:
    crash = [line for line in play(batch(10.0, hello(**change))) if line.startswith("CRASH")]
    assert len(crash) == 1
    assert named in crash[0]


def test_an_unknown_class_or_plan_is_an_error_that_names_it() -> None:
    for field in ("band", "tariff"):
        lines = play(start(hello()), batch(10.1, ingress("rq_a", **{field: "9"})))
        (crash,) = [line for line in lines if line.startswith("CRASH")]
        assert "rq_a" in crash
        assert "9" in crash


@pytest.mark.parametrize(
    "line", ["NONSENSE\tx=1", "INGRESS\ttid=rq_a", "DONE\tbroken", "TIMEOUT_FIRED\tmark=x"]
)
def test_a_malformed_line_is_named_in_the_error(line: str) -> None:
    with pytest.raises(MalformedLine, match=line.split("\t")[0]):
        play(start(hello()), batch(10.1, line))


def run_process(text: str, hash_seed: str) -> subprocess.CompletedProcess[str]:
    env = {**os.environ, "PYTHONHASHSEED": hash_seed}
    command = [sys.executable, "-m", "coralvale.adapter"]
    return subprocess.run(command, input=text, capture_output=True, text=True, env=env, cwd=ROOT, check=False)


def test_the_process_ends_on_a_malformed_line_with_a_message() -> None:
    result = run_process("ROUND\tmoment_s=1\nWHAT\tx=1\nFLUSH\n", "0")
    assert result.returncode != 0
    assert "WHAT" in result.stderr


def test_actions_are_the_same_under_different_hash_seeds() -> None:
    entries = [f"M\tscale=1\thost=10.0.0.{i}:80\tgroup={i % 3}\thealth=healthy" for i in range(9)]
    roster = "ROSTER_CHANGE\tgeneration=1\thow=C\tlist=0"
    text = batch(10.0, hello(), "MANIFEST\tlist=0\titems=9", *entries, roster)
    for i in range(40):
        text += batch(10.1 + i / 100, ingress(f"rq_{i}", member=str(i % 7)))
    replies = {run_process(text, seed).stdout for seed in ("1", "2", "3")}
    assert len(replies) == 1
    assert replies.pop().count("HAND_OFF") > 20
