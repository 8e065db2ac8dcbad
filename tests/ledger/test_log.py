"""A ledger on disk: killed at any byte, damaged, full; and the export to a receiver whose answers are lost."""

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
from coralvale.ledger.log import HEADER, Folder, Log, load, segment_names
from coralvale.ledger.model import Account, Batch, LedgerError, Line

TERMS = Terms(period=100.0, grace=5.0, patience=30.0, gather=0.0)
ONE = Account("0000000000000101", "basico", "bookmark-add")


class ProcessKilled(Exception):
    """The process was killed here."""


class Memory:
    """Files in memory, each of a fixed size. After `left` bytes the process is killed, during a copy."""

    def __init__(self) -> None:
        self.files: dict[str, bytearray] = {}
        self.left, self.full = 1 << 40, False

    def names(self) -> list[str]:
        return list(self.files)

    def read(self, name: str) -> bytes:
        return bytes(self.files[name])

    def allocate(self, name: str, size: int) -> MappedFile:
        if self.full:
            raise OSError(errno.ENOSPC, "No space left on device")
        self.files[name] = bytearray(size)
        return MappedFile(self, name)

    def remove(self, name: str) -> None:
        del self.files[name]


class MappedFile:
    def __init__(self, memory: Memory, name: str) -> None:
        self.memory, self.name = memory, name

    def write_at(self, offset: int, data: bytes) -> None:
        part = data[: max(0, self.memory.left)]
        self.memory.left -= len(part)
        self.memory.files[self.name][offset : offset + len(part)] = part
        if len(part) < len(data):
            raise ProcessKilled

    def sync(self) -> None:
        pass

    def close(self) -> None:
        pass


def run_random_operations(log: Log, rng: random.Random, serial: int, now: float) -> tuple[int, float]:
    """Runs a few random operations of a gateway."""
    for _ in range(rng.randrange(1, 8)):
        book, draw = log.book, rng.random()
        if draw < 0.5:
            serial += 1
            log.write(book.open(now, f"r{serial}", ONE, 1))
        elif draw < 0.9 and book.open_tries:
            log.write(book.close(rng.choice(sorted(book.open_tries)), rng.random() < 0.8))
        elif book.batches:
            log.write(book.acknowledge(min(book.batches)))
        now += rng.choice([0.1, 3.0, 60.0])
        log.write(book.tick(now))
    return serial, now


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 2**32))
def test_kill_at_any_byte_loses_no_written_record(seed: int) -> None:
    rng, memory, serial, now = random.Random(seed), Memory(), 0, 1000.0
    log = Log(memory, TERMS, lambda: "name", 2048)
    for _ in range(25):
        memory.left = rng.randrange(0, 6000) if rng.random() < 0.7 else 1 << 40
        try:
            while memory.left < 1 << 39 or rng.random() < 0.8:
                serial, now = run_random_operations(log, rng, serial, now)
        except ProcessKilled:
            serial += 1000
        written = log.book.snapshot()
        memory.left = 1 << 40
        again = Log(memory, TERMS, lambda: "another name", 2048)
        # The record whose copy was interrupted may be complete, if none of its bytes was missing.
        assert again.ledger == "name" and again.book.snapshot() == written
        log = again
        if rng.random() < 0.3:
            log.write(log.book.doubt_all())


def test_damaged_ledger_is_refused_with_byte_offset(tmp_path: Path) -> None:
    folder = Folder(str(tmp_path))
    log = Log(folder, TERMS, lambda: "name", 65_536)
    for n in range(20):
        log.write(log.book.open(1.0, f"r{n}", ONE, 1))
    offset = log.offset
    log.close()
    name = segment_names(folder.names())[-1]
    data = bytearray((tmp_path / name).read_bytes())
    data[offset - 300] ^= 1
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


def test_full_disk_rejects_a_record_and_leaves_book_and_disk_unchanged() -> None:
    memory = Memory()
    log = Log(memory, TERMS, lambda: "name", 2048)
    memory.full = True
    count = 0
    with pytest.raises(OSError, match="No space left"):
        for n in range(1000):
            log.write(log.book.open(1.0, f"r{n}", ONE, 1))
            count += 1
    assert len(log.book.open_tries) == count > 5
    memory.full = False
    log.write(log.book.open(1.0, "after", ONE, 1))
    again = load(memory, TERMS)
    assert again and len(again[1].open_tries) == count + 1
    assert all(bytes(data).startswith(HEADER) for data in memory.files.values())


def test_only_the_newest_segments_are_kept_for_audits(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("coralvale.ledger.log.MAX_SEGMENTS", 3)
    folder = Folder(str(tmp_path))
    log = Log(folder, TERMS, lambda: "name", 4096)
    for n in range(600):
        log.write(log.book.open(1.0, f"r{n}", ONE, 1))
        log.write(log.book.close(f"r{n}", True))
    assert len(segment_names(folder.names())) > 3
    log.close()
    assert len(segment_names(folder.names())) == 3
    found = load(folder, TERMS)
    assert found and found[1].totals().tries == 600
    folder.close()


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 2**32))
def test_batch_is_created_once_despite_lost_answers_and_changing_senders(seed: int) -> None:
    rng, now = random.Random(seed), 0.0
    batches = {n: Batch(n, (Line(1, ONE, n, n),)) for n in range(1, 9)}
    there: dict[str, str] = {}  # ETags that the receiver has, by path
    created = Counter[str]()
    exporter, moves = Exporter("l", seed), 0
    while batches:
        moves += 1
        assert moves < 5000
        now += rng.choice([0.1, 1.0, 30.0])
        if rng.random() < 0.05:
            exporter = Exporter("l", seed + moves)  # a new process, or the export command
        put = exporter.due(now, batches)
        if put is None:
            continue
        assert exporter.due(now, batches) is None  # one batch in flight at a time
        draw = rng.random()
        if draw < 0.3:
            exporter.failed(now)  # it never arrived
            continue
        if draw < 0.4:
            assert not exporter.answered(now, rng.choice([503, 500, 429, 408, 404]), "")
            continue
        status = 412 if put.path in there else 201
        if status == 201:
            there[put.path] = put.tag
            created[put.path] += 1
        if draw < 0.6:
            exporter.failed(now)  # it arrived, and its answer was lost
            continue
        assert exporter.answered(now, status, f'"{there[put.path]}"')
        del batches[put.serial]
    assert created == {f"/batches/l/{n}": 1 for n in range(1, 9)}


def test_other_contents_under_the_name_of_a_batch_stop_the_export() -> None:
    exporter, batches = Exporter("l", 1), {1: Batch(1, (Line(1, ONE, 1, 1),))}
    assert exporter.due(0.0, batches)
    assert not exporter.answered(0.0, 412, '"other"')
    assert exporter.stopped == "batch 1 is there with other contents (other)"
    assert exporter.due(1e9, batches) is None
    assert exporter.is_new_problem("a") and not exporter.is_new_problem("a") and exporter.is_new_problem("b")


def test_backoff_doubles_up_to_its_maximum() -> None:
    exporter, batches, now, sent = Exporter("l", 1), {1: Batch(1, (Line(1, ONE, 1, 1),))}, 0.0, list[float]()
    while now < 1000.0:
        now += 0.05
        if exporter.due(now, batches):
            sent.append(now)
            exporter.failed(now)
    assert sent[1] - sent[0] < 0.6 and 30.0 <= sent[-1] - sent[-2] <= 60.1 and len(sent) < 35
    assert Book(TERMS).tick(0.0) == []
