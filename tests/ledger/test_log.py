"""A ledger on a disk: killed at any byte, damaged, full; and the export to a receiver that loses answers."""

from __future__ import annotations

import errno
import random
from collections import Counter
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coralvale.ledger.book import Book, Terms
from coralvale.ledger.export import Exporter
from coralvale.ledger.log import HEADER, Folder, Log, load, segments
from coralvale.ledger.model import Account, Batch, LedgerError, Line

TERMS = Terms(period=100.0, grace=5.0, patience=30.0, gather=0.0)
ONE = Account("0000000000000101", "basico", "bookmark-add")


class Killed(Exception):
    """The process is gone."""


class Memory:
    """Files in memory, each of a fixed size. After `left` bytes the process is gone, in the middle of a copy."""

    def __init__(self) -> None:
        self.files: dict[str, bytearray] = {}
        self.left, self.full = 1 << 40, False

    def names(self) -> list[str]:
        return list(self.files)

    def read(self, name: str) -> bytes:
        return bytes(self.files[name])

    def allocate(self, name: str, size: int) -> Region:
        if self.full:
            raise OSError(errno.ENOSPC, "No space left on device")
        self.files[name] = bytearray(size)
        return Region(self, name)

    def remove(self, name: str) -> None:
        del self.files[name]


class Region:
    def __init__(self, memory: Memory, name: str) -> None:
        self.memory, self.name = memory, name

    def put(self, at: int, data: bytes) -> None:
        part = data[: max(0, self.memory.left)]
        self.memory.left -= len(part)
        self.memory.files[self.name][at : at + len(part)] = part
        if len(part) < len(data):
            raise Killed

    def sync(self) -> None:
        pass

    def close(self) -> None:
        pass


def play(log: Log, lots: random.Random, serial: int, now: float) -> tuple[int, float]:
    """A few things that a gateway does."""
    for _ in range(lots.randrange(1, 8)):
        book, lot = log.book, lots.random()
        if lot < 0.5:
            serial += 1
            log.write(book.open(now, f"r{serial}", ONE, 1))
        elif lot < 0.9 and book.open_:
            log.write(book.close(lots.choice(sorted(book.open_)), lots.random() < 0.8))
        elif book.batches:
            log.write(book.acknowledge(min(book.batches)))
        now += lots.choice([0.1, 3.0, 60.0])
        log.write(book.tick(now))
    return serial, now


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 2**32))
def test_killed_at_any_byte_all_that_was_written_before_is_there(seed: int) -> None:
    lots, memory, serial, now = random.Random(seed), Memory(), 0, 1000.0
    log = Log(memory, TERMS, lambda: "name", 2048)
    for _ in range(25):
        memory.left = lots.randrange(0, 6000) if lots.random() < 0.7 else 1 << 40
        try:
            while memory.left < 1 << 39 or lots.random() < 0.8:
                serial, now = play(log, lots, serial, now)
        except Killed:
            serial += 1000
        written = log.book.snapshot()
        memory.left = 1 << 40
        again = Log(memory, TERMS, lambda: "another name", 2048)
        # The record in whose copy it was killed may be there in whole, if no byte of it was missing.
        assert again.ledger == "name" and again.book.snapshot() == written
        log = again
        if lots.random() < 0.3:
            log.write(log.book.doubt_all())


def test_a_ledger_with_a_hole_in_it_is_refused_by_the_byte(tmp_path: Path) -> None:
    folder = Folder(str(tmp_path))
    log = Log(folder, TERMS, lambda: "name", 65_536)
    for n in range(20):
        log.write(log.book.open(1.0, f"r{n}", ONE, 1))
    at = log.at
    log.close()
    name = segments(folder.names())[-1]
    data = bytearray((tmp_path / name).read_bytes())
    data[at - 300] ^= 1
    (tmp_path / name).write_bytes(bytes(data))
    with pytest.raises(LedgerError, match=rf"{name}: damaged at byte \d+"):
        load(folder, TERMS)
    (tmp_path / name).write_bytes(b"something else" + bytes(data[14:]))
    with pytest.raises(LedgerError, match="no segment of a ledger that this program knows"):
        load(folder, TERMS)
    with pytest.raises(LedgerError, match="another process has this ledger"):
        Folder(str(tmp_path))
    memory = Memory()
    Log(memory, TERMS, lambda: "name", 2048)
    with pytest.raises(LedgerError, match="its period is 100 s, not 60"):
        Log(memory, Terms(period=60.0), lambda: "name", 2048)
    folder.close()


def test_a_full_disk_refuses_a_record_and_leaves_book_and_disk_as_they_were() -> None:
    memory = Memory()
    log = Log(memory, TERMS, lambda: "name", 2048)
    memory.full = True
    count = 0
    with pytest.raises(OSError, match="No space left"):
        for n in range(1000):
            log.write(log.book.open(1.0, f"r{n}", ONE, 1))
            count += 1
    assert len(log.book.open_) == count > 5
    memory.full = False
    log.write(log.book.open(1.0, "after", ONE, 1))
    again = load(memory, TERMS)
    assert again and len(again[1].open_) == count + 1
    assert all(bytes(data).startswith(HEADER) for data in memory.files.values())


def test_old_segments_are_kept_for_audits_and_retired(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("coralvale.ledger.log.KEEP", 3)
    folder = Folder(str(tmp_path))
    log = Log(folder, TERMS, lambda: "name", 4096)
    for n in range(600):
        log.write(log.book.open(1.0, f"r{n}", ONE, 1))
        log.write(log.book.close(f"r{n}", True))
    assert len(segments(folder.names())) > 3
    log.close()
    assert len(segments(folder.names())) == 3
    found = load(folder, TERMS)
    assert found and found[1].totals().tries == 600
    folder.close()


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 2**32))
def test_a_batch_is_created_once_whatever_answers_are_lost_and_whoever_sends_it(seed: int) -> None:
    lots, now = random.Random(seed), 0.0
    batches = {n: Batch(n, (Line(1, ONE, n, n),)) for n in range(1, 9)}
    there: dict[str, str] = {}  # what the receiver has, by path
    created = Counter[str]()
    exporter, moves = Exporter("l", seed), 0
    while batches:
        moves += 1
        assert moves < 5000
        now += lots.choice([0.1, 1.0, 30.0])
        if lots.random() < 0.05:
            exporter = Exporter("l", seed + moves)  # a new process, or whoever exports a dead one's ledger
        put = exporter.due(now, batches)
        if put is None:
            continue
        assert exporter.due(now, batches) is None  # one at a time
        lot = lots.random()
        if lot < 0.3:
            exporter.failed(now)  # it never came
            continue
        if lot < 0.4:
            assert not exporter.answered(now, lots.choice([503, 500, 429, 408, 404]), "")
            continue
        status = 412 if put.path in there else 201
        if status == 201:
            there[put.path] = put.tag
            created[put.path] += 1
        if lot < 0.6:
            exporter.failed(now)  # it came, and its answer was lost
            continue
        assert exporter.answered(now, status, f'"{there[put.path]}"')
        del batches[put.serial]
    assert created == {f"/batches/l/{n}": 1 for n in range(1, 9)}


def test_other_contents_under_a_batchs_name_stop_the_export() -> None:
    exporter, batches = Exporter("l", 1), {1: Batch(1, (Line(1, ONE, 1, 1),))}
    assert exporter.due(0.0, batches)
    assert not exporter.answered(0.0, 412, '"other"')
    assert exporter.stopped == "batch 1 is there with other contents (other)"
    assert exporter.due(1e9, batches) is None
    assert exporter.news("a") and not exporter.news("a") and exporter.news("b")


def test_pauses_double_to_their_bound() -> None:
    exporter, batches, now, sent = Exporter("l", 1), {1: Batch(1, (Line(1, ONE, 1, 1),))}, 0.0, list[float]()
    while now < 1000.0:
        now += 0.05
        if exporter.due(now, batches):
            sent.append(now)
            exporter.failed(now)
    assert sent[1] - sent[0] < 0.6 and 30.0 <= sent[-1] - sent[-2] <= 60.1 and len(sent) < 35
    assert Book(TERMS).tick(0.0) == []
