"""The ledger's decisions: every arrived try is billed once, in its period, whatever order things come in."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coralvale.ledger.book import OTHERS, Book, Terms
from coralvale.ledger.model import (
    Account,
    Batch,
    LedgerError,
    Line,
    Record,
    body,
    decode,
    digest,
    encode,
)

TERMS = Terms(period=100.0, grace=5.0, patience=30.0, gather=10.0)
ONE, TWO = (
    Account("0000000000000101", "basico", "bookmark-add"),
    Account("0000000000000102", "federal", "episode-fetch"),
)


class Kept:
    """A book, and what its records say when they are read back."""

    def __init__(self) -> None:
        self.book, self.records = Book(TERMS), list[Record]()

    def do(self, records: list[Record]) -> list[Record]:
        for record in records:
            self.records.append(decode(encode(record)))
            self.book.apply(record)
        return records

    def again(self) -> Book:
        book = Book(TERMS)
        for record in self.records:
            book.apply(record)
        return book

    def tick(self, now: float) -> None:
        while self.do(self.book.tick(now)):
            pass


def lines(book: Book) -> list[Line]:
    return [line for batch in book.batches.values() for line in batch.lines]


def test_a_try_stays_with_the_period_of_its_first_attempt() -> None:
    kept = Kept()
    kept.do(kept.book.open(99.0, "a", ONE, 2_000_000))
    kept.do(kept.book.open(101.0, "b", ONE, 1_000_000))
    kept.tick(106.0)
    assert not kept.book.batches  # `a` is open: its second attempt is under way
    kept.do(kept.book.close("b", True))
    kept.do(kept.book.close("a", True))
    kept.tick(107.0)
    assert lines(kept.book) == [Line(0, ONE, 1, 2_000_000)] and kept.book.sealed == 0
    kept.tick(206.0)
    assert lines(kept.book)[1:] == [Line(1, ONE, 1, 1_000_000)]


def test_what_comes_after_a_period_is_sealed_is_a_correction_and_the_batch_stays() -> None:
    kept = Kept()
    kept.do(kept.book.open(99.0, "slow", ONE, 1_000_000))
    kept.do(kept.book.open(98.0, "fast", ONE, 1_000_000))
    kept.do(kept.book.close("fast", True))
    kept.tick(129.9)
    assert not kept.book.batches
    kept.tick(130.0)  # patience is over
    before = body("l", kept.book.batches[1])
    kept.do(kept.book.close("slow", True))
    kept.tick(131.0)
    assert body("l", kept.book.batches[1]) == before
    assert kept.book.batches[2].lines == (Line(0, ONE, 1, 1_000_000, "late"),)
    kept.do(kept.book.open(50.0, "clock stepped back", TWO, 3))
    kept.do(kept.book.close("clock stepped back", True))
    kept.tick(135.0)
    assert 3 not in kept.book.batches  # corrections are gathered
    kept.tick(141.0)
    assert kept.book.batches[3].lines == (Line(0, TWO, 1, 3, "late"),)


def test_a_try_that_never_left_costs_nothing_and_one_of_a_dead_process_is_in_doubt() -> None:
    kept = Kept()
    kept.do(kept.book.open(1.0, "unsent", ONE, 1))
    kept.do(kept.book.close("unsent", False))
    for name in ("x", "y", "z"):
        kept.do(kept.book.open(2.0, name, TWO, 5))
    kept.do(kept.book.doubt_all())
    kept.do(kept.book.resolve("x", True))  # before its period is sealed
    kept.tick(200.0)
    assert lines(kept.book) == [Line(0, TWO, 1, 5)]
    kept.do(kept.book.resolve("y", True))
    kept.do(kept.book.resolve("z", False))
    kept.do(kept.book.adjust("n1", 0, ONE, 0, -4, "agreed with Radio Ceibo"))
    kept.tick(300.0)
    assert set(kept.book.batches[2].lines) == {
        Line(0, TWO, 1, 5, "resolved"),
        Line(0, ONE, 0, -4, "agreed with Radio Ceibo"),
    }
    for call, why in (
        (lambda: kept.book.resolve("x", True), "x: is not in doubt"),
        (lambda: kept.book.adjust("n1", 0, ONE, 1, 0, "again"), "n1: is done already"),
        (lambda: kept.book.adjust("n2", 0, ONE, 1, 0, " "), "a reason of its own"),
        (lambda: kept.book.adjust("n2", 0, ONE, 1, 0, "late"), "a reason of its own"),
        (lambda: kept.book.adjust("n2", 0, ONE, 0, 0, "why"), "a correction of nothing"),
    ):
        with pytest.raises(LedgerError, match=why):
            call()
    assert not kept.book.close("x", True) and not kept.book.acknowledge(99)


def test_accounts_of_a_period_are_bounded_and_no_use_is_lost() -> None:
    book = Book(Terms(period=100.0, grace=0.0, patience=0.0, gather=0.0, most_accounts=3))

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
        assert [line.tries for line in batch.lines if line.account.station == OTHERS] == [7]
    assert len(book.batches) == 2


def test_tries_that_are_open_are_bounded() -> None:
    book = Book(Terms(most_open=2))
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
def test_whatever_happens_each_arrived_try_is_in_one_line_and_no_line_ever_changes(seed: int) -> None:
    lots, kept, now = random.Random(seed), Kept(), 0.0
    going, arrived, doubted, adjusted = (
        list[str](),
        Counter[tuple[int, Account]](),
        dict[str, tuple[int, Account]](),
        0,
    )
    of: dict[str, tuple[int, Account]] = {}
    seen: dict[int, Batch] = {}
    for n in range(200):
        lot = lots.random()
        book = kept.book
        if lot < 0.4:
            at = now - lots.choice([0, 0, 0, 150.0])  # now and then a clock steps back
            name, account = f"r{n}", lots.choice([ONE, TWO])
            kept.do(book.open(at, name, account, n))
            of[name] = book.period(at), account
            going.append(name)
        elif lot < 0.75 and going:
            name = going.pop(lots.randrange(len(going)))
            came = lots.random() < 0.8
            kept.do(book.close(name, came))
            arrived[of[name]] += came
        elif lot < 0.78:  # a kill: what it left is in doubt
            kept.book = kept.again()
            kept.do(kept.book.doubt_all())
            doubted |= {name: of[name] for name in going}
            going.clear()
        elif lot < 0.82 and doubted:
            name = lots.choice(sorted(doubted))
            came = lots.random() < 0.5
            kept.do(book.resolve(name, came))
            arrived[doubted.pop(name)] += came
        elif lot < 0.84:
            kept.do(book.adjust(f"n{n}", 0, ONE, 1, 7, "by hand"))
            adjusted += 1
        elif lot < 0.9 and book.batches:
            kept.do(book.acknowledge(min(book.batches)))
        now += lots.choice([0.0, 0.5, 5.0, 40.0])
        kept.do(kept.book.tick(now))
        for serial, batch in kept.book.batches.items():
            assert seen.setdefault(serial, batch) == batch
        if lots.random() < 0.1:
            assert kept.again().snapshot() == kept.book.snapshot()
            assert Book.restore(TERMS, kept.book.snapshot()).snapshot() == kept.book.snapshot()
        assert kept.book.totals().tries == arrived.total() + adjusted
    for name in going:
        kept.do(kept.book.close(name, True))
        arrived[of[name]] += 1
    kept.tick(now + 1000.0)
    kept.tick(now + 2000.0)
    for serial, batch in kept.book.batches.items():
        assert seen.setdefault(serial, batch) == batch
    assert sorted(seen) == list(range(1, kept.book.serial + 1))
    told, used = Counter[tuple[int, Account]](), Counter[tuple[int, Account]]()
    for batch in seen.values():
        for line in batch.lines:
            if line.why != "by hand":
                told[line.period, line.account] += line.tries
            if not line.why:
                used[line.period, line.account] += 1
    assert told == +arrived and all(count == 1 for count in used.values())  # use is said once a period
    assert not kept.book.balances and not kept.book.corrections and set(kept.book.doubts) == set(doubted)


@given(st.binary(max_size=60) | st.just(b'["o",1]') | st.just(b'["z"]') | st.just(b'["s",{}]'))
def test_any_bytes_are_a_record_or_refused(data: bytes) -> None:
    try:
        record: Any = decode(data)
    except LedgerError:
        return
    assert decode(encode(record)) == record


def test_the_bytes_of_a_batch_are_its_own() -> None:
    batch = Batch(3, (Line(1, ONE, 2, 3),))
    assert body("l", batch) == body("l", batch) and digest(body("l", batch)) != digest(body("m", batch))
