"""What is in force at a gateway: around changes, out of touch, and over schedules of moves and faults."""

from __future__ import annotations

import multiprocessing
import os
import subprocess
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from plans.simulation import FLOOR, HOSTS, NAME, PLANS, SETTINGS, STATION, Passed, Result, play

from coralvale import Gateway
from coralvale import interface as api
from coralvale.plans import terms as module
from coralvale.plans.book import Book
from coralvale.plans.model import Entry, Record
from coralvale.plans.terms import AHEAD, GUARD, Terms

SCHEDULES = 200
NOW = 1_000_000.0


def batch(first: int) -> tuple[list[str], list[Result]]:
    found, results = [], []
    for seed in range(first, first + 20):
        try:
            results.append(play(seed))
        except Passed as error:
            found.append(str(error))
    return found, results


def test_over_any_schedule_of_moves_and_faults_no_ceiling_is_passed() -> None:
    spawned = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(min(8, os.cpu_count() or 1), mp_context=spawned) as pool:
        batches = list(pool.map(batch, range(0, SCHEDULES, 20)))
    found = [text for texts, _ in batches for text in texts]
    assert not found, found[:5]
    results = [result for _, some in batches for result in some]
    assert sum(r.moves for r in results) > 4 * SCHEDULES  # what it is about did happen
    assert sum(r.caught for r in results) > SCHEDULES
    assert sum(r.floored for r in results) > 0.1 * sum(r.asked for r in results)
    assert sum(r.used for r in results) > 0.6 * SCHEDULES  # and a ceiling is of use


def test_without_the_overlap_or_the_floor_it_would_be(monkeypatch: pytest.MonkeyPatch) -> None:
    """The schedules are hard enough to find what they are for."""

    def passed(strict: bool = True) -> int:
        count = 0
        for seed in range(30):
            try:
                play(seed, strict=strict)
            except Passed:
                count += 1
        return count

    assert passed(strict=False) > 0
    monkeypatch.setattr(module, "AHEAD", 0.0)
    assert passed() > 0


def test_a_seed_is_played_again_by_one_command() -> None:
    script = Path(__file__).parent / "simulation.py"
    said = [
        subprocess.run([sys.executable, script, "17"], capture_output=True, text=True).stdout
        for _ in range(2)
    ]
    assert said[0] == said[1] and said[0].startswith("Result(")


def booked(*records: Record) -> Book:
    book = Book()
    for record in records:
        book.apply(Entry(book.serial + 1, "", record))
    return book


def opened(lead: float = 5.0) -> Book:
    book = Book()
    for record in (book.led(NOW - 100, lead, FLOOR), *(book.define(NOW - 90, plan) for plan in PLANS)):
        assert record
        book.apply(Entry(book.serial + 1, "", record))
    return book


def do(book: Book, record: Record) -> None:
    book.apply(Entry(book.serial + 1, "", record))


def ceiling(terms: Terms, now: float, named: int = 0) -> tuple[float, float]:
    plan = terms.plan(now, STATION, named)
    return plan.ceiling_rate, plan.ceiling_burst


def test_around_a_change_both_ceilings_hold() -> None:
    book, terms = opened(), Terms(SETTINGS, strict=False)
    do(book, book.move(NOW, NAME, "federal", NOW + 10))
    do(book, book.move(NOW, NAME, "team", NOW + 20))
    terms.changed(book)
    assert ceiling(terms, NOW + 10 - AHEAD - 0.01) == (0, 0)
    before = terms.plan(NOW + 10 - AHEAD + 0.01, STATION, 0)
    assert before.name == "team" and (before.ceiling_rate, before.ceiling_burst) == (12.0, 18.0)
    assert terms.plan(NOW + 10, STATION, 0).name == "federal"
    assert terms.plan(NOW + 20, STATION, 0).name == "team" and ceiling(terms, NOW + 20) == (12.0, 18.0)
    assert ceiling(terms, NOW + 20 + GUARD + 0.01) == (0, 0)


def test_what_a_request_names_counts_where_the_book_says_nothing() -> None:
    book, terms = opened(), Terms(SETTINGS, strict=False)
    cup = replace(PLANS[1], name="cup", ceiling_rate=5.0)
    do(book, book.define(NOW, cup))
    terms.changed(book)
    assert terms.numbers == {b"team": 0, b"federal": 1, b"small": 2, b"cup": 3}
    assert terms.plan(NOW, STATION, 1).name == "federal"
    assert terms.plan(NOW, STATION, 3).name == "cup"  # named before it holds: as it will
    do(book, book.move(NOW, NAME, "small"))
    terms.changed()
    assert terms.plan(NOW + 6, STATION, 3).name == "small" and terms.plan(NOW + 6, 8, 3).name == "cup"


def test_names_that_no_book_has_any_more_make_room(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "NAMES", 4)
    terms = Terms(SETTINGS, strict=False)
    for n in range(20):
        book = opened()
        for name in (f"cup-{n}", f"derby-{n}"):
            do(book, book.define(NOW, replace(PLANS[1], name=name)))
        terms.changed(book)
        assert len(terms.names) == len(terms.numbers) <= len(PLANS) + 4
        for name in (f"cup-{n}", f"derby-{n}", "team", "federal"):
            assert terms.plan(NOW + 9, STATION, terms.numbers[name.encode()]).name == name


def test_what_was_charged_to_a_ceiling_that_is_lowered_is_not_given_back_to_the_lower_one() -> None:
    class Shared:
        """An allowance that lets all in and notes what comes back."""

        def __init__(self) -> None:
            self.back: list[float] = []

        def wait(self, now: float, request: api.Request, plan: api.Plan, quota: bool) -> float | None:
            return None if quota else 0.0

        def charge(self, request: api.Request, plan: api.Plan) -> None: ...

        def refund(self, request: api.Request, plan: api.Plan) -> None:
            self.back.append(plan.ceiling_rate)

        def due(self, now: float) -> list[api.Action]:
            return []

        def reply(self, now: float, event: api.CounterReply) -> list[api.Action]:
            return []

    book, terms, shared = opened(), Terms(SETTINGS, strict=False), Shared()
    do(book, book.move(NOW, NAME, "federal"))
    do(book, book.move(NOW, NAME, "small", NOW + 20))
    terms.changed(book)
    gateway = Gateway(SETTINGS, 1, shared, terms)
    gateway.handle(NOW, HOSTS)
    for at, name in ((NOW + 10, "a"), (NOW + 10, "b")):
        gateway.handle(at, api.Request(name, 0, 0, STATION, 1, NOW + 60, check=True))
    gateway.handle(NOW + 11, api.Checked("a", api.Verdict.DENIED))
    gateway.handle(NOW + 21, api.Request("c", 0, 0, STATION, 1, NOW + 60))  # the lower one holds
    gateway.handle(NOW + 21, api.Checked("b", api.Verdict.DENIED))
    assert shared.back == [12.0, 0.0]


def test_approvals_that_come_together_do_not_pass_the_burst() -> None:
    book, terms = opened(), Terms(SETTINGS, strict=False)
    do(book, book.move(NOW, NAME, "small"))  # 4 a second, 6 at once
    terms.changed(book)
    gateway = Gateway(SETTINGS, 1, None, terms)
    gateway.handle(NOW - 100, HOSTS)

    def sent(actions: list[api.Action]) -> int:
        return sum(isinstance(action, api.Send) for action in actions)

    for n in range(6):
        gateway.handle(NOW + 10, api.Request(f"a{n}", 0, 0, STATION, 1, NOW + 60, check=True))
    assert len(gateway.pending_checks) == 6
    # Meanwhile as much has risen as the burst: it may not be used before those have gone.
    arrivals = sum(
        sent(gateway.handle(NOW + 12, api.Request(f"b{n}", 0, 0, STATION, 1, NOW + 60))) for n in range(6)
    )
    arrivals += sum(
        sent(gateway.handle(NOW + 12, api.Checked(f"a{n}", api.Verdict.ALLOWED))) for n in range(6)
    )
    assert arrivals == 6


def test_a_reservation_raises_the_quota_for_its_time_and_no_ceiling() -> None:
    book, terms = opened(), Terms(SETTINGS, strict=False)
    do(book, book.pool(NOW, "matches", 50.0))
    do(book, book.reserve(NOW, "a", "matches", NAME, 20.0, NOW + 10, NOW + 20, 40.0))
    terms.changed(book)
    figures = [(p.rate, p.burst) for p in (terms.plan(NOW + t, STATION, 0) for t in (9.9, 10.0, 19.9, 20.0))]
    assert figures == [(300, 300), (320, 340), (320, 340), (300, 300)]
    assert ceiling(terms, NOW + 15, named=1) == (12.0, 18.0)


def test_out_of_touch_a_strict_gateway_holds_to_the_floor() -> None:
    book, terms = opened(), Terms(SETTINGS, strict=True, floor=FLOOR)
    terms.changed(book)
    assert ceiling(terms, NOW) == FLOOR  # not heard yet
    terms.heard(NOW)
    until = NOW + 5.0 - AHEAD - GUARD
    assert terms.in_touch(until - 0.01) and ceiling(terms, until - 0.01) == (0, 0)
    assert not terms.in_touch(until) and ceiling(terms, until) == FLOOR
    lower = replace(PLANS[0], ceiling_rate=2.0, ceiling_burst=9.0)
    assert terms._floored(lower).ceiling_rate == 2.0  # what it knows to be lower still holds
    other = Terms(SETTINGS, strict=True, floor=(5.0, 6.0))  # the book's plans may be below this one
    other.changed(book)
    other.heard(NOW)
    assert not other.in_touch(NOW)


moves = st.lists(
    st.tuples(st.sampled_from(["team", "federal", "small", ""]), st.integers(1, 12)), min_size=1, max_size=6
)


@settings(max_examples=200, deadline=None)
@given(moves, st.lists(st.floats(0, 12), min_size=1, max_size=30), st.integers(0, 2))
def test_no_ceiling_that_holds_nearby_is_above_what_is_in_force(
    asked: list[tuple[str, int]], moments: list[float], named: int
) -> None:
    book, at = opened(lead=1.0), NOW
    for to, gap in asked:
        at += gap * 0.2
        do(book, book.move(NOW - 50.0, NAME, to, at))
    terms = Terms(SETTINGS, strict=False)
    terms.changed(book)
    for moment in sorted(moments):
        now = NOW + moment
        plan = terms.plan(now, STATION, named)
        again = Terms(SETTINGS, strict=False)  # nothing kept from before
        again.changed(book)
        assert again.plan(now, STATION, named) == plan
        for near in (now - GUARD, now - 0.06, now, now + 0.1, now + AHEAD):
            held: api.Plan = book.plan(book.on(NAME, near) or PLANS[named].name, near) or PLANS[named]
            if held.ceiling_rate:
                assert 0 < plan.ceiling_rate <= held.ceiling_rate
                assert plan.ceiling_burst <= held.ceiling_burst
