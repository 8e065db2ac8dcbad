"""`coralvale answers` over files of every form, and what is asked of them."""

from __future__ import annotations

import gzip
import json
import os
import subprocess
import sys
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coralvale.syslog.framing import frame
from coralvale.syslog.main import messages, rotated
from coralvale.syslog.messages import SEVERITIES, Answer, Attempt, Encoder, Origin, encode
from coralvale.syslog.search import OTHERS, ROWS, Found, Query, Row, Summary, search

ROOT = Path(__file__).resolve().parent.parent.parent
AT = 1_796_121_000.0
ORIGIN = Origin("gw-1", process="7")
STATIONS = {
    "0000000000000101": 'Radio "Ceibo" [AM\\]',
    "0000000000000102": "ñandú \U0001f4fb",
    "0000000000000103": "",
}


def answer(n: int, **changes: Any) -> Answer:
    station = sorted(STATIONS)[n % 3]
    outcome = sorted(SEVERITIES)[n % 5]
    attempts = (Attempt(f"s-{n % 4}", "north", "ok", 0.01, True),) * (n % 3)
    fields: dict[str, Any] = {
        "at": AT + n, "sequence": n + 1, "station": STATIONS[station], "station_id": station, "plan": "team",
        "cls": "bookmark-add" if n % 2 else "episode-fetch", "request": f"r{n}", "outcome": outcome,
        "status": 200, "attempts": attempts,
    }  # fmt: skip
    return Answer(**{**fields, **changes})


def told(count: int) -> list[bytes]:
    return [encode(answer(n), ORIGIN) for n in range(count)]


def ask(*words: str) -> tuple[int, list[dict[str, Any]], str]:
    """Exit code, what was printed as JSON, and the lines on standard error."""
    said = subprocess.run(
        [sys.executable, "-m", "coralvale", "answers", *words, "--json"],
        cwd=ROOT, capture_output=True, text=True, timeout=60, check=False,
    )  # fmt: skip
    return said.returncode, [json.loads(line) for line in said.stdout.splitlines()], said.stderr


text = st.text(max_size=12) | st.sampled_from([*STATIONS.values(), "a]b", 'a"', "x" * 80, "s-1"])


@settings(max_examples=300, deadline=None)
@given(
    st.lists(st.tuples(text, text, text, text, st.sampled_from(sorted(SEVERITIES))), max_size=12),
    st.sampled_from(["station", "request", "cls", "node", "outcome"]),
    st.integers(0, 11),
)
def test_passing_messages_over_unread_finds_the_same(
    rows: list[tuple[str, str, str, str, str]], key: str, number: int
) -> None:
    """The quick way, which looks for bytes, against the way that reads every message."""
    data = [
        encode(
            answer(
                n, station=s, request=r, cls=c, outcome=o, attempts=(Attempt(node, "z", "ok", 0.0, True),)
            ),
            ORIGIN,
        )
        for n, (s, r, c, node, o) in enumerate(rows)
    ]
    wanted = "x"
    if rows:
        s, r, c, node, o = rows[number % len(rows)]
        wanted = {"station": s, "request": r, "cls": c, "node": node, "outcome": o}[key]
    quick = [r.sequence for r in search(data, Query(**{key: wanted}), Found())]
    exact = [r.sequence for r in search(data, Query(**{key: wanted}, exact=True), Found())]
    assert quick == exact


@pytest.mark.parametrize("form", ["lines", "counted", "gzip", "counted gzip", "stdin"])
def test_each_form_of_a_file_is_read_alike(
    tmp_path: Path, form: str, capsys: pytest.CaptureFixture[str]
) -> None:
    data = told(3000)
    whole = b"".join(map(frame, data)) if "counted" in form else b"\n".join(data) + b"\n"
    path = tmp_path / "answers.log"
    path.write_bytes(
        gzip.compress(whole[:100_000]) + gzip.compress(whole[100_000:]) if "gzip" in form else whole
    )
    if form == "stdin":
        command = [
            sys.executable,
            "-m",
            "coralvale",
            "answers",
            "search",
            "-",
            "--station",
            STATIONS["0000000000000101"],
        ]
        said = subprocess.run(command, cwd=ROOT, input=whole, capture_output=True, timeout=60, check=False)
        assert said.returncode == 0 and said.stdout.count(b"\n") == 1000
        assert b"1000 answers among 3000 messages; 0 lines are none" in said.stderr
        return
    code, rows, _ = ask(
        "search", str(path), "--station", STATIONS["0000000000000101"], "--class", "bookmark-add"
    )
    assert code == 0 and rows.pop() == {"end": {"answers": 500, "messages": 3000, "bad": 0, "dropped": {}}}
    assert [row["request"] for row in rows] == [f"r{n}" for n in range(3, 3000, 6)]
    assert (
        rows[0]["station"] == STATIONS["0000000000000101"]
        and rows[0]["at"] == "2026-12-01T10:30:03.000+00:00"
    )


def test_what_is_asked_is_what_is_found(tmp_path: Path) -> None:
    path = tmp_path / "a"
    path.write_bytes(b"\n".join(told(300)))
    since, until = "2026-12-01T10:31:00", "2026-12-01T10:31:59+00:00"
    for words, takes in (
        (["--station", "0000000000000102"], lambda n: n % 3 == 1),
        (["--request", "r17"], lambda n: n == 17),
        (["--node", "s-2"], lambda n: n % 4 == 2 and n % 3),
        (["--outcome", "refused"], lambda n: sorted(SEVERITIES)[n % 5] == "refused"),
        (["--since", since, "--until", until], lambda n: 60 <= n <= 119),
    ):
        code, rows, _ = ask("search", str(path), *words)
        assert code == 0 and [r["request"] for r in rows[:-1]] == [f"r{n}" for n in range(300) if takes(n)], (
            words
        )
    assert ask("search", str(path), "--request", "none")[0] == 1
    code, rows, _ = ask("summary", str(path), "--every", "100", "--station", "0000000000000101")
    assert code == 0 and len(rows) == 4 and rows[0]["station"] == STATIONS["0000000000000101"]
    assert sum(row.get("refused", 0) for row in rows) == sum(n % 3 == 0 and n % 5 == 3 for n in range(300))
    for words, why in (
        (["search", str(tmp_path / "none")], "No such file or directory"),
        (["search", str(path), "--since", "noon"], "--since: expected a time like"),
        (["summary", str(path), "--every", "0"], "--every: expected a number above 0"),
    ):
        code, _, said = ask(*words)
        assert code == 2 and why in said and said.startswith("coralvale: ") and said.count("\n") == 1


def test_bad_lines_are_counted_and_shown_and_cost_nothing_else(tmp_path: Path) -> None:
    data = told(50)
    data[10] = b"<134>1 nonsense"
    data[20] = b"\xff\xfe\x00"
    data[30] = data[30][:200]  # cut off within the structured data
    data.insert(40, b"<13>1 2026-12-01T10:00:00Z host other - - - something else")
    data.append(Encoder(ORIGIN).gap(AT, {"refused": 7, "served": 1}, 3, 10, 8))
    path = tmp_path / "a"
    path.write_bytes(b"\n".join(data))
    code, rows, said = ask("search", str(path), "--bad")
    assert code == 0 and len(rows) == 48
    assert rows[-1]["end"]["bad"] == 3 and rows[-1]["end"]["dropped"] == {"refused": 7, "served": 1}
    assert said.count("bad: ") == 3 and "no header of RFC 5424" in said and "nonsense" in said
    cut = tmp_path / "b.gz"
    cut.write_bytes(gzip.compress(b"\n".join(told(2000)))[:-400])
    code, rows, said = ask("search", str(cut))
    assert code == 0 and 100 < len(rows) < 2001 and "the compressed data is cut off" in said


def test_a_rotated_set_is_read_oldest_first(tmp_path: Path) -> None:
    data = told(40)
    (tmp_path / "a.log.10.gz").write_bytes(gzip.compress(b"\n".join(data[:10])))
    (tmp_path / "a.log.2").write_bytes(b"\n".join(data[10:20]) + b"\n")
    (tmp_path / "a.log.1").write_bytes(b"".join(map(frame, data[20:30])))
    (tmp_path / "a.log").write_bytes(b"\n".join(data[30:]))
    (tmp_path / "a.log.bak").write_bytes(b"no")
    path = str(tmp_path / "a.log")
    assert [Path(p).name for p in rotated(path)] == ["a.log.10.gz", "a.log.2", "a.log.1", "a.log"]
    code, rows, _ = ask("search", path, "--rotated")
    assert code == 0 and [r["request"] for r in rows[:-1]] == [f"r{n}" for n in range(40)]


def test_a_growing_file_is_followed_through_a_rotation(tmp_path: Path) -> None:
    data, path = told(6), tmp_path / "a"
    path.write_bytes(data[0] + b"\n" + data[1][:50])
    found = messages([str(path)], True)
    assert next(found) == data[0]
    with path.open("ab") as file:
        file.write(data[1][50:] + b"\n" + data[2] + b"\n")
    assert [next(found), next(found)] == data[1:3]
    with path.open("ab") as file:
        file.write(data[3] + b"\n")
    path.rename(tmp_path / "a.1")
    path.write_bytes(data[4] + b"\n")
    assert [next(found), next(found)] == data[3:5]
    path.write_bytes(data[5] + b"\n")
    process = subprocess.Popen(
        [sys.executable, "-m", "coralvale", "answers", "search", str(path), "--follow", "--json"],
        cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE,
    )  # fmt: skip
    assert process.stdout
    try:
        assert json.loads(process.stdout.readline())["request"] == "r5"
        with path.open("ab") as file:
            file.write(data[0] + b"\n")
        assert json.loads(process.stdout.readline())["request"] == "r0"
    finally:
        process.terminate()
        process.communicate()


def test_a_large_file_is_read_in_bounded_memory(tmp_path: Path) -> None:
    path = tmp_path / "a"
    with path.open("wb") as file:
        block = b"\n".join(told(2000)) + b"\n"
        for _ in range(60):
            file.write(block)
    code = (
        "import re, sys\nfrom coralvale.cli import main\n"
        "code = main(sys.argv[1:])\n"
        "peak = re.search(r'VmHWM:\\s*(\\d+)', open('/proc/self/status').read())[1]\n"
        "print(peak, file=sys.stderr)\nsys.exit(code)"
    )
    said = subprocess.run(
        [sys.executable, "-c", code, "answers", "search", str(path), "--request", "r1999"],
        cwd=ROOT, capture_output=True, text=True, timeout=60, check=False,
    )  # fmt: skip
    assert said.returncode == 0 and said.stdout.count("\n") == 60
    assert os.path.getsize(path) > 50e6 and int(said.stderr.splitlines()[-1]) < 45_000  # kB


def test_summaries_are_bounded_and_count_what_sampled_refusals_stand_for() -> None:
    summary = Summary(1.0)
    for n in range(ROWS + 5):
        summary.add(Row(float(n), "g", n, {"station": "s", "outcome": "refused", "factor": "20"}))
    assert len(summary.rows) == ROWS + 1 and summary.rows[0.0, OTHERS] == Counter(refused=100)
