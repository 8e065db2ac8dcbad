"""The ledger's decisions: every arrived try is billed once, in its period, in any order of events."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coralvale.ledger.book import OVERFLOW_STATION, Book, Terms
from coralvale.ledger.model import (
    Account,
    Batch,
    LedgerError,
    Line,
    Record,
    batch_body,
    decode,
    digest,
    encode,
)

TERMS = Terms(period=100.0, grace=5.0, patience=30.0, gather=10.0)
ONE, TWO = (
    Account("0000000000000101", "basico", "bookmark-add"),
    Account("0000000000000102", "federal", "episode-fetch"),
)


class RecordedBook:
    """A book, and its records as they are read back."""

    def __init__(self) -> None:
        self.book, self.records = Book(TERMS), list[Record]()

    def apply_all(self, records: list[Record]) -> list[Record]:
        for record in records:
            self.records.append(decode(encode(record)))
            self.book.apply(record)
        return records

    def replay(self) -> Book:
        book = Book(TERMS)
        for record in self.records:
            book.apply(record)
        return book

    def tick(self, now: float) -> None:
        while self.apply_all(self.book.tick(now)):
            pass


def lines(book: Book) -> list[Line]:
    return [line for batch in book.batches.values() for line in batch.lines]


def test_try_is_billed_in_the_period_of_its_first_attempt() -> None:
    recorded = RecordedBook()
    recorded.apply_all(recorded.book.open(99.0, "a", ONE, 2_000_000))
    recorded.apply_all(recorded.book.open(101.0, "b", ONE, 1_000_000))
    recorded.tick(106.0)
    assert not recorded.book.batches  # `a` is open: its second attempt is in flight
    recorded.apply_all(recorded.book.close("b", True))
    recorded.apply_all(recorded.book.close("a", True))
    recorded.tick(107.0)
    assert lines(recorded.book) == [Line(0, ONE, 1, 2_000_000)] and recorded.book.sealed == 0
    recorded.tick(206.0)
    assert lines(recorded.book)[1:] == [Line(1, ONE, 1, 1_000_000)]


def test_try_closed_after_sealing_is_a_correction_and_the_batch_is_unchanged() -> None:
    recorded = RecordedBook()
    recorded.apply_all(recorded.book.open(99.0, "slow", ONE, 1_000_000))
    recorded.apply_all(recorded.book.open(98.0, "fast", ONE, 1_000_000))
    recorded.apply_all(recorded.book.close("fast", True))
    recorded.tick(129.9)
    assert not recorded.book.batches
    recorded.tick(130.0)  # `patience` has passed: sealed although `slow` is open
    before = batch_body("l", recorded.book.batches[1])
    recorded.apply_all(recorded.book.close("slow", True))
    recorded.tick(131.0)
    assert batch_body("l", recorded.book.batches[1]) == before
    assert recorded.book.batches[2].lines == (Line(0, ONE, 1, 1_000_000, "late"),)
    recorded.apply_all(recorded.book.open(50.0, "clock stepped back", TWO, 3))
    recorded.apply_all(recorded.book.close("clock stepped back", True))
    recorded.tick(135.0)
    assert 3 not in recorded.book.batches  # corrections are gathered first
    recorded.tick(141.0)
    assert recorded.book.batches[3].lines == (Line(0, TWO, 1, 3, "late"),)


def test_unsent_try_is_not_billed_and_try_of_a_dead_process_is_in_doubt() -> None:
    recorded = RecordedBook()
    recorded.apply_all(recorded.book.open(1.0, "unsent", ONE, 1))
    recorded.apply_all(recorded.book.close("unsent", False))
    for name in ("x", "y", "z"):
        recorded.apply_all(recorded.book.open(2.0, name, TWO, 5))
    recorded.apply_all(recorded.book.doubt_all())
    recorded.apply_all(recorded.book.resolve("x", True))  # before its period is sealed
    recorded.tick(200.0)
    assert lines(recorded.book) == [Line(0, TWO, 1, 5)]
    recorded.apply_all(recorded.book.resolve("y", True))
    recorded.apply_all(recorded.book.resolve("z", False))
    recorded.apply_all(recorded.book.adjust("n1", 0, ONE, 0, -4, "agreed with Radio Ceibo"))
    recorded.tick(300.0)
    assert set(recorded.book.batches[2].lines) == {
        Line(0, TWO, 1, 5, "resolved"),
        Line(0, ONE, 0, -4, "agreed with Radio Ceibo"),
    }
    for call, why in (
        (lambda: recorded.book.resolve("x", True), "x: is not in doubt"),
        (lambda: recorded.book.adjust("n1", 0, ONE, 1, 0, "again"), "n1: is done already"),
        (lambda: recorded.book.adjust("n2", 0, ONE, 1, 0, " "), "a reason of its own"),
        (lambda: recorded.book.adjust("n2", 0, ONE, 1, 0, "late"), "a reason of its own"),
        (lambda: recorded.book.adjust("n2", 0, ONE, 0, 0, "why"), "a correction of nothing"),
    ):
        with pytest.raises(LedgerError, match=why):
            call()
    assert not recorded.book.close("x", True) and not recorded.book.acknowledge(99)


def test_accounts_of_a_period_are_bounded_without_losing_use() -> None:
    book = Book(Terms(period=100.0, grace=0.0, patience=0.0, gather=0.0, max_accounts=3))

    def do(records: list[Record]) -> None:
        for record in records:
            book.apply(record)

    for n in range(10):
        for late in ("", "late"):
            do(book.open(1.0, f"r{n}{late}", Account(f"{n:016x}", "team", "c"), 1))
    for n in range(10):
        do(book.close(f"r{n}", True))
    do(book.tick(100.0))
    for n in range(10):
        do(book.close(f"r{n}late", True))
    do(book.tick(101.0))
    for batch in book.batches.values():
        assert len(batch.lines) == 4 and sum(line.tries for line in batch.lines) == 10
        assert [line.tries for line in batch.lines if line.account.station == OVERFLOW_STATION] == [7]
    assert len(book.batches) == 2


def test_open_tries_are_bounded() -> None:
    book = Book(Terms(max_open=2))
    for n in range(2):
        for record in book.open(1.0, f"r{n}", ONE, 1):
            book.apply(record)
    with pytest.raises(LedgerError, match="2 tries are open or in doubt"):
        book.open(1.0, "r2", ONE, 1)
    with pytest.raises(LedgerError, match="r1: is open already"):
        book.open(1.0, "r1", ONE, 1)
    with pytest.raises(LedgerError, match="terms"):
        Terms(grace=10.0, patience=5.0)


@settings(max_examples=100, deadline=None)
@given(st.integers(0, 2**32))
def test_any_order_of_events_bills_each_arrived_try_once_and_changes_no_batch(seed: int) -> None:
    rng, recorded, now = random.Random(seed), RecordedBook(), 0.0
    open_names, arrived, doubted, adjusted = (
        list[str](),
        Counter[tuple[int, Account]](),
        dict[str, tuple[int, Account]](),
        0,
    )
    origin: dict[str, tuple[int, Account]] = {}
    seen: dict[int, Batch] = {}
    for n in range(200):
        draw = rng.random()
        book = recorded.book
        if draw < 0.4:
            at = now - rng.choice([0, 0, 0, 150.0])  # sometimes the clock steps back
            name, account = f"r{n}", rng.choice([ONE, TWO])
            recorded.apply_all(book.open(at, name, account, n))
            origin[name] = book.period(at), account
            open_names.append(name)
        elif draw < 0.75 and open_names:
            name = open_names.pop(rng.randrange(len(open_names)))
            arrived_now = rng.random() < 0.8
            recorded.apply_all(book.close(name, arrived_now))
            arrived[origin[name]] += arrived_now
        elif draw < 0.78:  # a kill: open tries are then in doubt
            recorded.book = recorded.replay()
            recorded.apply_all(recorded.book.doubt_all())
            doubted |= {name: origin[name] for name in open_names}
            open_names.clear()
        elif draw < 0.82 and doubted:
            name = rng.choice(sorted(doubted))
            arrived_now = rng.random() < 0.5
            recorded.apply_all(book.resolve(name, arrived_now))
            arrived[doubted.pop(name)] += arrived_now
        elif draw < 0.84:
            recorded.apply_all(book.adjust(f"n{n}", 0, ONE, 1, 7, "by hand"))
            adjusted += 1
        elif draw < 0.9 and book.batches:
            recorded.apply_all(book.acknowledge(min(book.batches)))
        now += rng.choice([0.0, 0.5, 5.0, 40.0])
        recorded.apply_all(recorded.book.tick(now))
        for serial, batch in recorded.book.batches.items():
            assert seen.setdefault(serial, batch) == batch
        if rng.random() < 0.1:
            assert recorded.replay().snapshot() == recorded.book.snapshot()
            assert Book.restore(TERMS, recorded.book.snapshot()).snapshot() == recorded.book.snapshot()
        assert recorded.book.totals().tries == arrived.total() + adjusted
    for name in open_names:
        recorded.apply_all(recorded.book.close(name, True))
        arrived[origin[name]] += 1
    recorded.tick(now + 1000.0)
    recorded.tick(now + 2000.0)
    for serial, batch in recorded.book.batches.items():
        assert seen.setdefault(serial, batch) == batch
    assert sorted(seen) == list(range(1, recorded.book.serial + 1))
    billed, used = Counter[tuple[int, Account]](), Counter[tuple[int, Account]]()
    for batch in seen.values():
        for line in batch.lines:
            if line.reason != "by hand":
                billed[line.period, line.account] += line.tries
            if not line.reason:
                used[line.period, line.account] += 1
    # One line of use per account and period.
    assert billed == +arrived and all(count == 1 for count in used.values())
    assert (
        not recorded.book.balances
        and not recorded.book.corrections
        and set(recorded.book.doubts) == set(doubted)
    )


@given(st.binary(max_size=60) | st.just(b'["o",1]') | st.just(b'["z"]') | st.just(b'["s",{}]'))
def test_arbitrary_bytes_decode_to_a_record_or_are_refused(data: bytes) -> None:
    try:
        record: Any = decode(data)
    except LedgerError:
        return
    assert decode(encode(record)) == record


def test_body_of_a_batch_is_deterministic_and_depends_on_the_ledger() -> None:
    batch = Batch(3, (Line(1, ONE, 2, 3),))
    assert batch_body("l", batch) == batch_body("l", batch) and digest(batch_body("l", batch)) != digest(
        batch_body("m", batch)
    )
