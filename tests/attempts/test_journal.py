"""The journal on disks that crash at every operation, fill up, fail, and contain garbage."""

from __future__ import annotations

import random

import pytest
from attempts.disk import Crash, Disk
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from coralvale.attempts.frames import HEADER, MAGIC, MAX_RECORD_BYTES, encode, header, scan_segment
from coralvale.attempts.journal import MAX_OPEN_ATTEMPTS, MAX_PENDING_BYTES, SUFFIX, Journal, segment_names
from coralvale.attempts.model import Answered, Checkpoint, End, Ended, Intent, JournalError, Record

AT = 1000.0


def intent(n: int, attempt: int = 0, at: float = AT) -> Intent:
    return Intent(f"r{n}", attempt, at, "101", "bookmark-add", "s-0", "POST", "/api", "00" * 16)


def ended(n: int, end: End = End.OK, attempt: int = 0) -> Ended:
    return Ended(f"r{n}", attempt, AT, end)


class Workload:
    """Starts and ends attempts in batches.

    `durable`: attempts whose intent was reported durable; `closed`: attempts whose end was flushed.
    """

    def __init__(self, disk: Disk, seed: int, first: int = 0) -> None:
        self.rng, self.first = random.Random(seed), first
        self.started: set[int] = set()
        self.durable: set[int] = set()
        self.end_enqueued: set[int] = set()
        self.closed: set[int] = set()
        self.journal = Journal(disk, AT, segment_bytes=700)

    def run(self, batches: int = 12) -> None:
        number = self.first
        for batch in range(batches):
            for _ in range(self.rng.randint(1, 3)):
                n, number = number, number + 1
                self.started.add(n)
                self.journal.enqueue(intent(n), lambda ok, n=n: self.durable.add(n) if ok else None)  # type: ignore[misc]
            ending = {n for n in self.durable - self.closed if self.rng.random() < 0.5}
            self.end_enqueued |= ending
            for n in ending:
                self.journal.enqueue(ended(n))
            if self.journal.flush(AT + batch):
                self.closed |= ending


def check_recovery(disk: Disk, load: Workload, where: str) -> None:
    """Checks recovery after a crash, whatever part of the unsynced data was left."""
    found = {int(i.request[1:]) for i in Journal(disk, AT).recovered.unresolved}
    assert load.durable - load.end_enqueued <= found, (
        f"{where}: a durable intent is lost: {load.durable - load.end_enqueued - found}"
    )
    assert not found & load.closed, f"{where}: an ended attempt is open again: {found & load.closed}"
    assert found <= load.started, where


def test_crash_at_any_operation_loses_no_durable_intent() -> None:
    disk = Disk()
    Workload(disk, 1).run()
    assert disk.operations > 40 and len(segment_names(disk.names())) > 3
    for stop in range(disk.operations):
        for variant in range(4):
            broken = Disk(crash_at=stop)
            load = Workload.__new__(Workload)
            try:
                load.__init__(broken, 1)  # type: ignore[misc]
                load.run()
            except Crash:
                pass
            else:
                raise AssertionError(f"operation {stop} was never reached")
            if not hasattr(load, "journal"):
                continue  # crashed before the journal was opened
            left = broken.after_crash(random.Random(f"{stop}/{variant}"))
            # Crash repeatedly during recovery, each time at a later operation.
            for again in range(6):
                left.crash_at, left.operations = again, 0
                try:
                    Journal(left, AT)
                except Crash:
                    left = left.after_crash(random.Random(f"{stop}/{variant}/{again}"))
            left.crash_at = -1
            check_recovery(left, load, f"stop {stop}, variant {variant}")


@hypothesis_settings(max_examples=60, deadline=None)
@given(seed=st.integers(0, 2**32))
def test_full_and_failing_disks_lose_no_durable_intent(seed: int) -> None:
    rng, disk = random.Random(seed), Disk()
    load = Workload(disk, seed)
    for part in range(8):
        disk.writes_fail, disk.sync_fails = rng.random() < 0.3, rng.random() < 0.3
        load.first = 100 * part
        load.run(3)
        if rng.random() < 0.4:
            check_recovery(disk.after_crash(rng), load, f"seed {seed}")
    disk.writes_fail = disk.sync_fails = False
    load.first = 10_000
    load.run(3)  # after the disk recovers, the journal continues without a restart
    assert any(n >= 10_000 for n in load.durable)
    assert load.journal.flush(AT)
    check_recovery(disk.after_crash(rng), load, f"seed {seed}")


def test_failed_sync_is_reported_and_next_batch_starts_a_new_segment() -> None:
    disk, callbacks = Disk(), list[bool]()
    journal = Journal(disk, AT)
    disk.sync_fails = True
    assert journal.enqueue(intent(1), callbacks.append) and not journal.flush(AT) and callbacks == [False]
    disk.sync_fails = False
    before = segment_names(disk.names())
    assert journal.enqueue(intent(2), callbacks.append) and journal.flush(AT) and callbacks == [False, True]
    assert len(segment_names(disk.names())) == len(before) + 1
    assert {i.request for i in Journal(disk, AT).recovered.unresolved} == {
        "r1",
        "r2",
    }


def test_damaged_record_is_reported_and_skipped_and_torn_tail_is_cut() -> None:
    records: list[Record] = [intent(n) for n in range(6)]
    data = header(1) + encode(Checkpoint(AT, 0)) + b"".join(map(encode, records))
    place = data.index(b"r2") + 1
    broken = data[:place] + b"\xff" + data[place + 1 :] + encode(ended(1))[:-3]
    found = scan_segment("x", broken)
    assert found.records == [Checkpoint(AT, 0), *records[:2], *records[3:]]
    assert len(found.damaged) == 1 and found.torn_bytes == len(encode(ended(1))) - 3
    disk = Disk()
    Journal(disk, AT)
    disk.files[f"{1:010d}{SUFFIX}"].data[:] = broken
    recovered = Journal(disk, AT).recovered
    assert [i.request for i in recovered.unresolved] == ["r0", "r1", "r3", "r4", "r5"]
    assert "damaged from byte" in recovered.problems[0] and "torn tail" in recovered.problems[1]


@given(data=st.binary(max_size=400), cut=st.integers(0, 400), at=st.integers(0, 400))
def test_scanning_arbitrary_bytes_terminates_and_keeps_valid_records(data: bytes, cut: int, at: int) -> None:
    good = header(7) + b"".join(encode(intent(n)) for n in range(3))
    found = scan_segment("x", good + data + encode(intent(9)))
    assert found.records[:3] == [intent(n) for n in range(3)] and found.records[-1] == intent(9)
    place = HEADER.size + at % (len(good) - HEADER.size)
    damaged_scan = scan_segment("x", good[:place] + bytes([good[place] ^ 0x41]) + good[place + 1 :])
    assert len(damaged_scan.records) == 2 and (damaged_scan.damaged or damaged_scan.torn_bytes)
    assert scan_segment("x", good[: HEADER.size + cut]).number == 7


def test_newer_format_and_non_journal_files_are_refused_with_file_name() -> None:
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
            scan_segment("x", data)


def test_pending_and_open_records_are_bounded_and_large_records_are_refused() -> None:
    journal = Journal(Disk(), AT)
    taken = sum(journal.enqueue(Answered(f"r{n}", AT, 200)) for n in range(MAX_PENDING_BYTES // 256 + 100))
    assert MAX_PENDING_BYTES // 256 <= taken <= MAX_PENDING_BYTES // 256 + 1
    journal = Journal(Disk(), AT, segment_bytes=1 << 30)
    for n in range(10_000):
        assert journal.enqueue(intent(n))
    assert journal.flush(AT) and len(journal.open) == 10_000 < MAX_OPEN_ATTEMPTS
    with pytest.raises(ValueError, match="a record of"):
        encode(Intent("r", 0, AT, "1", "c", "s", "POST", "x" * MAX_RECORD_BYTES))


def test_segments_are_deleted_by_age_and_size_and_open_intents_are_kept_for_retention() -> None:
    disk = Disk()
    journal = Journal(disk, AT, segment_bytes=400, retention_s=100.0, max_total_bytes=3000)
    journal.enqueue(intent(0, at=AT))
    for n in range(1, 60):
        journal.enqueue(intent(n, at=AT + n))
        journal.enqueue(ended(n))
        journal.flush(AT + n)
    assert sum(disk.size(name) for name in segment_names(disk.names())) <= 3400
    assert [i.request for i in Journal(disk, AT + 60, retention_s=100.0).recovered.unresolved] == ["r0"]
    later = Journal(disk, AT + 150, retention_s=100.0)
    assert "r0" not in {i.request for i in later.open.values()} and len(segment_names(disk.names())) >= 1


def test_clock_steps_backwards_lose_no_open_intent() -> None:
    disk = Disk()
    journal = Journal(disk, AT, segment_bytes=300)
    for n in range(20):
        journal.enqueue(intent(n, at=AT - n))
        assert journal.flush(AT - n)
    assert len(Journal(disk, AT - 30).recovered.unresolved) == 20
