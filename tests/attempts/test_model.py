"""Journal and query against a reference model: any order of attempts, ends, crashes, restarts, disk errors."""

from __future__ import annotations

import json
import random
import subprocess
import sys
from pathlib import Path

from attempts.disk import Disk
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from coralvale.attempts.frames import scan_segment
from coralvale.attempts.journal import Journal, segment_names
from coralvale.attempts.model import NOT_RUN, End, Ended, Intent, Record, Verdict
from coralvale.attempts.query import request_histories
from coralvale.attempts.store import Folder

AT = 1_700_000_000.0


def read(disk: Disk) -> list[Record]:
    return [
        record
        for name in segment_names(disk.names())
        for record in scan_segment(name, disk.read(name)).records
    ]


class Model(RuleBasedStateMachine):
    """`sent`: attempts whose intent was reported durable. `ends`: their outcomes that were made durable."""

    def __init__(self) -> None:
        super().__init__()
        self.disk, self.serial = Disk(), 0
        self.journal = Journal(self.disk, AT, segment_bytes=600)
        self.sent: dict[str, bool] = {}  # request id -> whether its end is durable
        self.ends: dict[str, End] = {}
        self.waiting: dict[str, End] = {}
        self.unsent: set[str] = set()

    @rule()
    def intend(self) -> None:
        self.serial += 1
        name = f"r{self.serial}"
        record = Intent(name, 0, AT + self.serial, "101", "bookmark-add", "s-0", "POST", "/api", "d")

        def durable(ok: bool) -> None:
            if ok:
                self.sent[name] = False
                self.unsent.discard(name)

        self.unsent.add(name)
        assert self.journal.enqueue(record, durable)

    @precondition(lambda self: any(not done for done in self.sent.values()))
    @rule(end=st.sampled_from(End), draw=st.integers(0, 10**6))
    def end(self, end: End, draw: int) -> None:
        left = [n for n, done in self.sent.items() if not done and n not in self.waiting]
        if left:
            name = left[draw % len(left)]
            self.waiting[name] = end
            self.journal.enqueue(Ended(name, 0, AT, end))

    @rule()
    def flush(self) -> None:
        if self.journal.flush(AT):
            for name, end in self.waiting.items():
                self.sent[name], self.ends[name] = True, end
            self.waiting.clear()

    @rule(writes_fail=st.booleans(), sync_fails=st.booleans())
    def set_disk_errors(self, writes_fail: bool, sync_fails: bool) -> None:
        self.disk.writes_fail, self.disk.sync_fails = writes_fail, sync_fails

    @rule(seed=st.integers(0, 10**6))
    def crash(self, seed: int) -> None:
        self.disk = self.disk.after_crash(random.Random(seed))
        self.journal = Journal(self.disk, AT, segment_bytes=600)
        self.waiting.clear()  # their ends may or may not be on the disk: both are allowed

    @invariant()
    def verdicts_are_correct(self) -> None:
        found = {b.request: b for b in request_histories({"g": read(self.disk)})}
        for name, done in self.sent.items():
            assert name in found, f"{name} was sent, but is not in the journal"
            verdict = found[name].verdict
            if done:
                expected = self.ends[name]
                assert (verdict is Verdict.SAVED) == (expected is End.OK)
                assert (verdict is Verdict.NOT_SENT) == (expected in NOT_RUN)
        known = set(self.sent) | self.unsent
        assert set(found) <= known
        for name in self.unsent & set(found):  # it was not sent, but the journal cannot know
            assert found[name].verdict is Verdict.MAY_HAVE_RUN


TestModel = Model.TestCase
TestModel.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


def test_tail_shows_what_becomes_durable_from_now_on(tmp_path: Path) -> None:
    folder = Folder(str(tmp_path))
    journal = Journal(folder, AT, segment_bytes=700)
    old = Intent("old", 0, AT, "101", "bookmark-add", "s-0")
    assert journal.enqueue(old) and journal.flush(AT)
    tail = subprocess.Popen(
        [sys.executable, "-m", "coralvale", "attempts", "tail", str(tmp_path)],
        cwd=Path(__file__).resolve().parent.parent.parent, stdout=subprocess.PIPE, text=True,
    )  # fmt: skip
    assert tail.stdout
    printed: list[str] = []
    try:
        assert tail.stdout.readline() == '{"kind": "tail", "directories": 1}\n'
        for n in range(12):  # over several segments, each of which contains the old intent
            journal.enqueue(Intent(f"n{n}", 0, AT, "101", "bookmark-add", "s-0"))
            journal.enqueue(Ended(f"n{n}", 0, AT, End.OK))
            assert journal.flush(AT)
        while len(printed) < 24:
            printed.append(tail.stdout.readline())
    finally:
        tail.terminate()
        tail.wait()
    rows = [json.loads(line) for line in printed]
    assert [r["request"] for r in rows if r["kind"] == "intent"] == [f"n{n}" for n in range(12)]
    assert [r["end"] for r in rows if r["kind"] == "ended"] == ["ok"] * 12
    folder.close()
