"""The journal against disks that crash at every operation, fill, fail, and hold garbage."""

from __future__ import annotations

import random

import pytest
from attempts.disk import Crash, Disk
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from coralvale.attempts.frames import HEAD, MAGIC, MOST, frame, header, scan
from coralvale.attempts.journal import OPEN, SUFFIX, WAITING, Journal, segment_names
from coralvale.attempts.model import Answered, Checkpoint, End, Ended, Intent, JournalError, Record

AT = 1000.0


def intent(n: int, attempt: int = 0, at: float = AT) -> Intent:
    return Intent(f"r{n}", attempt, at, "101", "bookmark-add", "s-0", "POST", "/api", "00" * 16)


def ended(n: int, end: End = End.OK, attempt: int = 0) -> Ended:
    return Ended(f"r{n}", attempt, AT, end)


class Workload:
    """Attempts that begin and end, in batches. `told`: durable intents; `closed`: ends that were flushed."""

    def __init__(self, disk: Disk, seed: int, first: int = 0) -> None:
        self.lots, self.first = random.Random(seed), first
        self.begun: set[int] = set()
        self.told: set[int] = set()
        self.ending: set[int] = set()
        self.closed: set[int] = set()
        self.journal = Journal(disk, AT, segment_bytes=700)

    def run(self, batches: int = 12) -> None:
        number = self.first
        for batch in range(batches):
            for _ in range(self.lots.randint(1, 3)):
                n, number = number, number + 1
                self.begun.add(n)
                self.journal.enqueue(intent(n), lambda ok, n=n: self.told.add(n) if ok else None)  # type: ignore[misc]
            ending = {n for n in self.told - self.closed if self.lots.random() < 0.5}
            self.ending |= ending
            for n in ending:
                self.journal.enqueue(ended(n))
            if self.journal.flush(AT + batch):
                self.closed |= ending


def check(disk: Disk, load: Workload, where: str) -> None:
    """What must hold after a crash, whatever of the unsynced was left."""
    found = {int(i.request[1:]) for i in Journal(disk, AT).recovered.unresolved}
    assert load.told - load.ending <= found, (
        f"{where}: a told intent is gone: {load.told - load.ending - found}"
    )
    assert not found & load.closed, f"{where}: one that had ended is open again: {found & load.closed}"
    assert found <= load.begun, where


def test_at_every_operation_a_crash_loses_nothing_that_was_told() -> None:
    disk = Disk()
    Workload(disk, 1).run()
    assert disk.operations > 40 and len(segment_names(disk.names())) > 3
    for stop in range(disk.operations):
        for variant in range(4):
            broken = Disk(stop_at=stop)
            load = Workload.__new__(Workload)
            try:
                load.__init__(broken, 1)  # type: ignore[misc]
                load.run()
            except Crash:
                pass
            else:
                raise AssertionError(f"operation {stop} was never reached")
            if not hasattr(load, "journal"):
                continue  # it had not begun
            left = broken.after(random.Random(f"{stop}/{variant}"))
            # Killed in the middle of recovery, at each of its operations, again and again.
            for again in range(6):
                left.stop_at, left.operations = again, 0
                try:
                    Journal(left, AT)
                except Crash:
                    left = left.after(random.Random(f"{stop}/{variant}/{again}"))
            left.stop_at = -1
            check(left, load, f"stop {stop}, variant {variant}")


@hypothesis_settings(max_examples=60, deadline=None)
@given(seed=st.integers(0, 2**32))
def test_disks_that_fill_and_fail_lose_nothing_that_was_told(seed: int) -> None:
    lots, disk = random.Random(seed), Disk()
    load = Workload(disk, seed)
    for part in range(8):
        disk.full, disk.bad = lots.random() < 0.3, lots.random() < 0.3
        load.first = 100 * part
        load.run(3)
        if lots.random() < 0.4:
            check(disk.after(lots), load, f"seed {seed}")
    disk.full = disk.bad = False
    load.first = 10_000
    load.run(3)  # freed: it goes on by itself
    assert any(n >= 10_000 for n in load.told)
    assert load.journal.flush(AT)
    check(disk.after(lots), load, f"seed {seed}")


def test_a_failed_sync_is_told_and_the_next_batch_is_in_another_segment() -> None:
    disk, told = Disk(), list[bool]()
    journal = Journal(disk, AT)
    disk.bad = True
    assert journal.enqueue(intent(1), told.append) and not journal.flush(AT) and told == [False]
    disk.bad = False
    before = segment_names(disk.names())
    assert journal.enqueue(intent(2), told.append) and journal.flush(AT) and told == [False, True]
    assert len(segment_names(disk.names())) == len(before) + 1
    assert {i.request for i in Journal(disk, AT).recovered.unresolved} == {
        "r1",
        "r2",
    }


def test_a_damaged_record_is_named_and_skipped_and_a_torn_tail_cut() -> None:
    records: list[Record] = [intent(n) for n in range(6)]
    data = header(1) + frame(Checkpoint(AT, 0)) + b"".join(map(frame, records))
    place = data.index(b"r2") + 1
    broken = data[:place] + b"\xff" + data[place + 1 :] + frame(ended(1))[:-3]
    found = scan("x", broken)
    assert found.records == [Checkpoint(AT, 0), *records[:2], *records[3:]]
    assert len(found.damaged) == 1 and found.torn == len(frame(ended(1))) - 3
    disk = Disk()
    Journal(disk, AT)
    disk.files[f"{1:010d}{SUFFIX}"].data[:] = broken
    told = Journal(disk, AT).recovered
    assert [i.request for i in told.unresolved] == ["r0", "r1", "r3", "r4", "r5"]
    assert "damaged from byte" in told.problems[0] and "torn tail" in told.problems[1]


@given(data=st.binary(max_size=400), cut=st.integers(0, 400), at=st.integers(0, 400))
def test_whatever_is_in_a_segment_reading_it_ends_and_keeps_what_is_whole(
    data: bytes, cut: int, at: int
) -> None:
    good = header(7) + b"".join(frame(intent(n)) for n in range(3))
    found = scan("x", good + data + frame(intent(9)))
    assert found.records[:3] == [intent(n) for n in range(3)] and found.records[-1] == intent(9)
    place = HEAD.size + at % (len(good) - HEAD.size)
    hurt = scan("x", good[:place] + bytes([good[place] ^ 0x41]) + good[place + 1 :])
    assert len(hurt.records) == 2 and (hurt.damaged or hurt.torn)
    assert scan("x", good[: HEAD.size + cut]).number == 7


def test_a_newer_format_and_what_is_no_journal_are_refused_by_name() -> None:
    disk = Disk()
    Journal(disk, AT)
    name = f"{1:010d}{SUFFIX}"
    disk.files[name].data[len(MAGIC)] = 2
    with pytest.raises(JournalError, match=f"{name}: format 2, this program knows 1"):
        Journal(disk, AT)
    for data, why in (
        (b"", "no journal"),
        (b"x" * 100, "no journal"),
        (header(1)[:-1] + b"x", "header is damaged"),
    ):
        with pytest.raises(JournalError, match=why):
            scan("x", data)


def test_what_waits_and_what_is_open_is_bounded_and_large_records_are_refused() -> None:
    journal = Journal(Disk(), AT)
    taken = sum(journal.enqueue(Answered(f"r{n}", AT, 200)) for n in range(WAITING // 256 + 100))
    assert WAITING // 256 <= taken <= WAITING // 256 + 1
    journal = Journal(Disk(), AT, segment_bytes=1 << 30)
    for n in range(10_000):  # ten thousand open at once
        assert journal.enqueue(intent(n))
    assert journal.flush(AT) and len(journal.open) == 10_000 < OPEN
    with pytest.raises(ValueError, match="a record of"):
        frame(Intent("r", 0, AT, "1", "c", "s", "POST", "x" * MOST))


def test_segments_are_retired_by_age_and_size_and_what_is_open_stays_for_its_time() -> None:
    disk = Disk()
    journal = Journal(disk, AT, segment_bytes=400, keep=100.0, most=3000)
    journal.enqueue(intent(0, at=AT))
    for n in range(1, 60):
        journal.enqueue(intent(n, at=AT + n))
        journal.enqueue(ended(n))
        journal.flush(AT + n)
    assert sum(disk.size(name) for name in segment_names(disk.names())) <= 3400
    assert [i.request for i in Journal(disk, AT + 60, keep=100.0).recovered.unresolved] == ["r0"]
    later = Journal(disk, AT + 150, keep=100.0)
    assert "r0" not in {i.request for i in later.open.values()} and len(segment_names(disk.names())) >= 1


def test_clocks_that_step_back_change_nothing() -> None:
    disk = Disk()
    journal = Journal(disk, AT, segment_bytes=300)
    for n in range(20):
        journal.enqueue(intent(n, at=AT - n))
        assert journal.flush(AT - n)
    assert len(Journal(disk, AT - 30).recovered.unresolved) == 20
