"""Verdicts and chains against a reference model; the command."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coralvale.attempts.journal import SUFFIX, Journal
from coralvale.attempts.model import NOT_RUN, Answered, End, Ended, Intent, JournalError, Record, Verdict
from coralvale.attempts.query import (
    LIKELY_RETRY_GAP_S,
    MAX_RETRY_GAP_S,
    Filter,
    chains,
    request_histories,
    unresolved,
)
from coralvale.attempts.store import Folder

AT = 1_700_000_000.0


def intent(request: str, attempt: int = 0, at: float = AT, station: str = "101", digest: str = "d") -> Intent:
    return Intent(request, attempt, at, station, "bookmark-add", f"s-{attempt}", "POST", "/api", digest)


ends = st.none() | st.sampled_from(End)


@given(st.lists(st.tuples(st.integers(0, 4), ends), min_size=1, max_size=20), st.randoms())
def test_verdicts_match_the_reference_model_in_any_order_of_records(
    attempts: list[tuple[int, End | None]], rng: object
) -> None:
    model: dict[str, list[End | None]] = {}
    records: list[Record] = []
    for number, (n, end) in enumerate(attempts):
        model.setdefault(f"r{n}", []).append(end)
        records.append(intent(f"r{n}", number, AT + number))
        if end is not None:
            records.append(Ended(f"r{n}", number, AT, end))
    rng.shuffle(records)  # type: ignore[attr-defined]
    found = {b.request: b for b in request_histories({"g": records})}
    assert set(found) == set(model)
    for name, outcomes in model.items():
        verdict = found[name].verdict
        may = [e for e in outcomes if e is None or e in (End.TIMEOUT, End.RESET, End.CANCELLED)]
        if End.OK in outcomes:
            assert verdict is Verdict.SAVED
        elif may:
            assert verdict is Verdict.MAY_HAVE_RUN
        elif End.ERROR in outcomes:
            assert verdict is Verdict.FAILED
        else:
            assert verdict is Verdict.NOT_SENT and set(outcomes) <= NOT_RUN
    assert {b.request for b in unresolved(list(found.values()))} == {
        n for n, b in found.items() if b.verdict is Verdict.MAY_HAVE_RUN
    }


def test_retry_through_another_gateway_forms_a_chain_with_certainty() -> None:
    first = [intent("a")]  # no end: its gateway was killed
    second = [intent("b", at=AT + 5), Ended("b", 0, AT + 5, End.OK), Answered("b", AT + 5, 200)]
    (chain,) = chains(request_histories({"g1": first, "g2": second}))
    assert [b.request for b in chain.requests] == ["a", "b"] and chain.certainty == "likely one bookmark"
    assert chain.verdict is Verdict.SAVED
    apart = {
        "late": intent("b", at=AT + LIKELY_RETRY_GAP_S + 1),
        "too late": intent("b", at=AT + MAX_RETRY_GAP_S + 1),
        "another station": intent("b", at=AT + 5, station="102"),
        "another body": intent("b", at=AT + 5, digest="e"),
    }
    for why, other in apart.items():
        joined = chains(request_histories({"g1": first, "g2": [other]}))
        assert len(joined) == (1 if why == "late" else 2), why
        assert why != "late" or joined[0].certainty == "possibly one bookmark"
    everything = request_histories({"g1": first, "g2": second})
    assert [b.request for b in everything if Filter(node="s-0", since=AT + 1).matches(b)] == ["b"]


def command(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "coralvale", "attempts", *arguments],
        cwd=Path(__file__).resolve().parent.parent.parent, capture_output=True, text=True, timeout=30,
    )  # fmt: skip


def test_command_shows_checks_and_merges_and_reports_errors_in_one_line(tmp_path: Path) -> None:
    one, two = tmp_path / "g1", tmp_path / "g2"
    for path, name in ((one, "a"), (two, "b")):
        folder = Folder(str(path))
        journal = Journal(folder, AT)
        journal.enqueue(intent(name, at=AT + (name == "b")))
        if name == "b":
            journal.enqueue(Ended("b", 0, AT + 1, End.OK))
            journal.enqueue(Answered("b", AT + 1, 200))
        assert journal.flush(AT)
        with pytest.raises(JournalError, match="another gateway has this journal"):
            Folder(str(path))
        folder.close()
    result = command("show", str(one), str(two))
    assert result.returncode == 0 and "2 requests, likely one bookmark: saved" in result.stdout
    assert "may have run: don't retry" in result.stdout and "nothing known" in result.stdout
    (row,) = json.loads(command("show", str(one), str(two), "--json").stdout)
    assert row["verdict"] == "saved" and [r["gateway"] for r in row["requests"]] == ["g1", "g2"]
    assert command("show", str(one), "--station", "nobody").stdout == "none\n"
    assert command("show", str(one), "--since", "2030-01-01").stdout == "none\n"
    result = command("unresolved", str(one), str(two), "--json")
    assert result.returncode == 1 and [r["request"] for r in json.loads(result.stdout)] == ["a"]
    merged = [json.loads(line) for line in command("merge", str(one), str(two)).stdout.splitlines()]
    assert [r["request"] for r in merged] == ["a", "b"] and merged[1]["attempts"][0]["end"] == "ok"
    assert command("check", str(one)).returncode == 0
    name = one / f"{1:010d}{SUFFIX}"
    name.write_bytes(name.read_bytes()[:-3])
    result = command("check", str(one), "--json")
    assert result.returncode == 1 and "torn tail" in json.loads(result.stdout)[0]["problems"][0]
    for wrong in (("show", str(tmp_path / "none")), ("show", str(one), "--since", "soon")):
        result = command(*wrong)
        assert (
            result.returncode == 2
            and result.stderr.count("\n") == 1
            and result.stderr.startswith("coralvale: ")
        )
