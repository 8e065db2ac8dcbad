"""The plan book: rules of commands, replay, snapshots; the calendar against a count by hand."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from coralvale import interface as api
from coralvale.plans import calendar
from coralvale.plans.book import KNOWN, MOST_CHANGES, Book
from coralvale.plans.model import (
    Entry,
    PlansError,
    Record,
    Refused,
    Reserved,
    entry_of,
    plan_of,
    station_of,
    written,
)

NOW = 1_000_000.0
STATIONS = [f"{n:016x}" for n in range(3)]
PLANS = ["team", "federal", "large"]


def do(book: Book, record: Record | None, command: str = "") -> Record:
    """What the plan service does with a command's record: it goes through JSON, then into the book."""
    assert record is not None
    book.apply(entry_of(json.loads(json.dumps(written(Entry(book.serial + 1, command, record))))))
    return record


def opened(lead: float = 5.0, floor: tuple[float, float] = (1.0, 2.0)) -> Book:
    book = Book()
    do(book, book.led(NOW - 100.0, lead, floor))
    for name, ceiling in (("team", 0.0), ("federal", 12.0), ("large", 40.0)):
        plan = api.Plan(name, 6.0, 9.0, ceiling_rate=ceiling, ceiling_burst=2 * ceiling)
        do(book, book.define(NOW - 90.0, plan))
    do(book, book.pool(NOW - 90.0, "matches", 100.0))
    return book


times = st.integers(0, 60).map(lambda n: NOW + 0.5 * n)
commands = st.one_of(
    st.tuples(st.just("move"), st.sampled_from(STATIONS), st.sampled_from([*PLANS, ""]), times),
    st.tuples(st.just("define"), st.sampled_from(PLANS), st.sampled_from([0.0, 1.0, 30.0]), times),
    st.tuples(st.just("pool"), st.integers(0, 150).map(float), times),
    st.tuples(
        st.just("reserve"), st.integers(0, 9).map(str), st.sampled_from(STATIONS),
        st.integers(1, 120).map(float), times, st.integers(1, 40).map(lambda n: 0.5 * n),
    ),
    st.tuples(st.just("cancel"), st.integers(0, 9).map(str)),
    st.tuples(st.just("withdraw"), st.integers(1, 40)),
    st.tuples(st.just("lead"), st.sampled_from([2.0, 5.0, 8.0])),
    st.tuples(st.just("trim")),
)  # fmt: skip


def ask(book: Book, now: float, word: str, *a: Any) -> Record | None:
    if word == "move":
        return book.move(now, a[0], a[1], a[2])
    if word == "define":
        plan = api.Plan(a[0], 5.0, 5.0, ceiling_rate=a[1], ceiling_burst=2 * a[1])
        return book.define(now, plan, a[2])
    if word == "pool":
        return book.pool(now, "matches", a[0], a[1])
    if word == "reserve":
        return book.reserve(now, a[0], "matches", a[1], a[2], a[3], a[3] + a[4], burst=1.0)
    if word == "cancel":
        return book.cancel(now, a[0])
    if word == "withdraw":
        return book.withdraw(now, a[0])
    if word == "lead":
        return book.led(now, a[0], (1.0, 2.0))
    return book.trim(now - 10.0)


# A change of 10.0 s, told at 8.0 s, when a lead of 8 s has just ended and one of 2 s counts: within 8 s of 7.0 s.
@example(
    [
        (0, ("lead", 8.0)),
        (0, ("move", STATIONS[0], "team", NOW)),
        (0, ("lead", 2.0)),
        (5, ("move", STATIONS[0], "team", NOW)),
        (3, ("trim",)),
        (6, ("pool", 0.0, NOW + 15.0)),
        (2, ("cancel", "0")),
        (0, ("move", STATIONS[0], "team", NOW + 10.0)),
    ]
)
@settings(max_examples=400, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 6), commands), max_size=40))
def test_whatever_is_asked_the_rules_hold_and_the_records_are_the_book(asked: list[Any]) -> None:
    book, now, entries = opened(), NOW, list[Entry]()
    again = Book.restore(book.kept(), book.serial)
    known: dict[
        tuple[str, float], Any
    ] = {}  # what was said to hold at a moment that could not change any more
    for gap, (word, *arguments) in asked:
        now += gap / 2
        try:
            record = ask(book, now, word, *arguments)
        except Refused as error:
            assert str(error) and "\n" not in str(error)
            if error.most is not None and word == "reserve":
                refused_was_right(book, now, error, arguments)
            continue
        if record is None:
            continue
        do(book, record)
        entries.append(Entry(book.serial, "", record))
        again.apply(entries[-1])
        # Nothing is reserved that is not there, at any time.
        assert not [span for span in calendar.over(book.left("matches")) if span[1] > now - 10.0]
        # What was told to hold within the lead still does.
        for (station, moment), held in known.items():
            if moment >= now - 10.0:
                assert (book.on(station, moment), book.extra(station, moment)) == held
        # A lead that is made shorter counts from the end of the longer one: before that, a change is told the
        # longer one ahead, and from then on the shorter one. What holds now holds until the soonest of both.
        soonest = book.soonest(now)
        for station in STATIONS:
            for moment in (now, (now + soonest) / 2, soonest - 0.01):
                known[station, moment] = book.on(station, moment), book.extra(station, moment)
        for changes in (*book.plans.values(), *book.stations.values(), *book.pools.values()):
            assert [c.at for c in changes] == sorted({c.at for c in changes})
            assert sum(c.at > now for c in changes) <= MOST_CHANGES
    assert again == book
    rows = json.loads(json.dumps([written(entry) for entry in book.kept()]))
    assert Book.restore(map(entry_of, rows), book.serial) == book


def refused_was_right(book: Book, now: float, error: Refused, arguments: list[Any]) -> None:
    """What a refused reservation is told would fit does, and no more and no sooner."""
    _, station, rate, at, length = arguments
    if "ceiling" in str(error):
        assert error.most is not None and error.most < rate
        return
    left, most = book.left("matches"), error.most or 0.0
    assert most < rate and calendar.fits(left, at, at + length, most)
    assert not calendar.fits(left, at, at + length, most + 0.01)
    for n in range(80):  # all moments of the grid on which everything lies
        begin = at + n / 2
        if error.earliest is not None and begin >= error.earliest:
            assert calendar.fits(left, error.earliest, error.earliest + length, rate)
            break
        assert not calendar.fits(left, begin, begin + length, rate)


@settings(max_examples=300, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 20), st.integers(0, 9)), max_size=5),
    st.lists(st.tuples(st.integers(0, 20), st.integers(1, 8), st.integers(1, 5)), max_size=8),
    st.integers(0, 20), st.integers(1, 9), st.integers(1, 9),
)  # fmt: skip
def test_the_calendar_is_what_one_counts_by_hand(
    capacity: Any, boxes: Any, begin: int, length: int, rate: int
) -> None:
    steps = sorted({float(at): float(r) for at, r in capacity}.items())
    held = [(float(at), float(at + n), float(r)) for at, n, r in boxes]
    by_hand = []
    for moment in range(200):
        had = [r for at, r in steps if at <= moment]
        by_hand.append((had[-1] if had else 0) - sum(r for at, end, r in held if at <= moment < end))
    left = calendar.free(steps, held)
    assert all(calendar.at(left, m) == by_hand[m] for m in range(200))
    assert calendar.most(left, begin, begin + length) == max(0, min(by_hand[begin : begin + length]))
    found = calendar.earliest(left, float(begin), float(length), float(rate), 100.0)
    fit = [m for m in range(begin, 101) if min(by_hand[m : m + length]) >= rate]
    assert found == (fit[0] if fit else None)
    assert {m for b, e, _ in calendar.over(left) for m in range(200) if b <= m < e} == {
        m for m, rest in enumerate(by_hand) if rest < 0
    }


def test_a_change_is_told_ahead_and_the_last_one_is_withdrawn_first() -> None:
    book = opened()
    with pytest.raises(Refused, match="too soon; a change is told 5 s ahead"):
        book.move(NOW, STATIONS[0], "federal", NOW + 4.9)
    first = do(book, book.move(NOW, STATIONS[0], "federal"))
    assert first.at == NOW + 5.0 and book.on(STATIONS[0], NOW + 4.9) == ""
    assert book.on(STATIONS[0], NOW + 5.0) == "federal"
    do(book, book.move(NOW, STATIONS[0], "large", NOW + 20.0))
    with pytest.raises(Refused, match="record 7 changes it at"):
        book.move(NOW, STATIONS[0], "team", NOW + 15.0)
    with pytest.raises(Refused, match="withdraw the last change first, record 7"):
        book.withdraw(NOW, 6)
    do(book, book.withdraw(NOW, 7))
    assert book.on(STATIONS[0], NOW + 30.0) == "federal"
    with pytest.raises(Refused, match="too near"):
        book.withdraw(NOW + 0.1, 6)
    with pytest.raises(Refused, match="no change"):
        book.withdraw(NOW, 7)


def test_a_shorter_lead_waits_until_nobody_relies_on_the_longer_one() -> None:
    book = opened(lead=10.0)
    do(book, book.led(NOW, 2.0, (1.0, 2.0)))
    assert book.lead(NOW + 9.9) == 10.0 and book.lead(NOW + 10.0) == 2.0
    do(book, book.led(NOW + 20.0, 30.0, (1.0, 2.0)))
    assert book.lead(NOW + 20.0) == 30.0
    assert book.led(NOW + 21.0, 30.0, (1.0, 2.0)) is None
    with pytest.raises(Refused, match="above the ceiling of plan federal"):
        book.led(NOW, 30.0, (13.0, 2.0))


def test_plans_keep_above_the_floor_and_are_not_taken_from_under_a_station() -> None:
    book = opened()
    with pytest.raises(Refused, match="below the floor"):
        book.define(NOW, api.Plan("tiny", 1.0, 1.0, ceiling_rate=0.5, ceiling_burst=9.0))
    do(book, book.define(NOW, api.Plan("cup", 1.0, 1.0), NOW + 10.0))
    with pytest.raises(Refused, match="not in the book at that time"):
        book.move(NOW, STATIONS[0], "cup", NOW + 9.0)
    do(book, book.move(NOW, STATIONS[0], "cup", NOW + 10.0))
    with pytest.raises(Refused, match=f"station {STATIONS[0]} is to be on it"):
        book.withdraw(NOW, 6)
    with pytest.raises(PlansError, match="16 hex digits"):
        book.move(NOW, "7", "team")


def test_a_reservation_for_more_than_is_left_is_told_what_would_fit() -> None:
    book = opened()
    do(book, book.reserve(NOW, "cup", "matches", STATIONS[0], 60.0, NOW + 100, NOW + 200, 30.0))
    with pytest.raises(Refused, match="more than is left then, 40") as told:
        book.reserve(NOW, "derby", "matches", STATIONS[1], 60.0, NOW + 150, NOW + 250)
    assert told.value.most == 40.0 and told.value.earliest == NOW + 200
    do(book, book.reserve(NOW, "derby", "matches", STATIONS[1], 40.0, NOW + 150, NOW + 250))
    with pytest.raises(Refused, match=r"20 units a second short of what is reserved .*cup, derby"):
        book.pool(NOW, "matches", 80.0, NOW + 120)
    do(book, book.pool(NOW, "matches", 40.0, NOW + 200))
    assert book.extra(STATIONS[0], NOW + 150) == (60.0, 30.0) and book.extra(STATIONS[0], NOW + 200) == (0, 0)
    do(book, book.cancel(NOW + 120, "cup"))  # begun: it ends when all can know
    assert book.extra(STATIONS[0], NOW + 124.9)[0] == 60.0 and book.extra(STATIONS[0], NOW + 125)[0] == 0
    with pytest.raises(Refused, match="ends before"):
        book.cancel(NOW + 121, "cup")
    do(book, book.cancel(NOW + 120, "derby"))  # not begun: as if it had never been
    assert "derby" not in book.reserved and calendar.most(book.left("matches"), NOW + 150, NOW + 200) == 100.0


def test_a_reservation_raises_no_ceiling() -> None:
    book = opened()
    do(book, book.move(NOW, STATIONS[0], "federal", NOW + 50))
    do(
        book, book.reserve(NOW, "a", "matches", STATIONS[0], 50.0, NOW + 10, NOW + 50)
    )  # on no plan that has one
    with pytest.raises(Refused, match="leaves 6 above its rate") as told:
        book.reserve(NOW, "b", "matches", STATIONS[0], 50.0, NOW + 40, NOW + 60)
    assert told.value.most == 6.0 and told.value.earliest is None
    do(book, book.reserve(NOW, "b", "matches", STATIONS[0], 6.0, NOW + 40, NOW + 60))


def test_what_is_over_is_forgotten_and_nothing_that_holds() -> None:
    book = opened()
    do(book, book.move(NOW, STATIONS[0], "federal"), command="c1")
    do(book, book.move(NOW, STATIONS[1], "team"))
    do(book, book.move(NOW, STATIONS[1], "", NOW + 10))
    do(book, book.reserve(NOW, "a", "matches", STATIONS[0], 5.0, NOW + 10, NOW + 20))
    assert book.trim(NOW) is None  # nothing is over yet
    do(book, book.trim(NOW + 100))
    assert set(book.stations) == {STATIONS[0]} and not book.reserved and not book.of_station
    assert book.on(STATIONS[0], NOW + 100) == "federal" and set(book.plans) == set(PLANS)
    done = book.done("c1")
    assert done and done.serial == 6 and book.done("c2") is None


@pytest.mark.parametrize(
    ("figures", "error"),
    [
        ({"rate": 1.0, "burst": 1.0}, "plan.name: expected a plain word"),
        ({"name": "a b", "rate": 1.0, "burst": 1.0}, "plan.name: expected a plain word"),
        ({"name": "a", "burst": 1.0}, "plan.rate: missing"),
        ({"name": "a", "rate": -1.0, "burst": 1.0}, "plan.rate: expected a number from 0"),
        ({"name": "a", "rate": True, "burst": 1.0}, "plan.rate: expected a number from 0"),
        ({"name": "a", "rate": float("nan"), "burst": 1.0}, "plan.rate: expected a number from 0"),
        ({"name": "a", "rate": 1.0, "burst": 0.0}, "plan.burst: a rate needs a burst"),
        ({"name": "a", "rate": 0, "burst": 0, "ceiling_rate": 5.0}, "plan.ceiling_burst: a ceiling needs"),
        ({"name": "a", "rate": 0, "burst": 0, "cieling": 5.0}, "plan.cieling: unknown"),
        ([1], "expected a table"),
    ],
)
def test_a_bad_plan_is_told_where_it_is_bad(figures: Any, error: str) -> None:
    with pytest.raises(PlansError, match=error):
        plan_of(figures)


json_values = st.recursive(
    st.none() | st.booleans() | st.floats() | st.text(max_size=3) | st.integers(-5, 5),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=3), inner, max_size=3),
    max_leaves=8,
)


@given(
    st.sampled_from(["plan", "move", "pool", "reserve", "cancel", "withdraw", "lead", "trim"]), json_values
)
def test_what_is_no_record_is_refused_by_one_error(word: str, value: Any) -> None:
    for row in (value, [1, "", word, value], [1, "", word, 5.0, value], [1, "", word, 5.0, "a", value]):
        try:
            entry = entry_of(row)
        except PlansError:
            continue
        assert written(entry)[2] == word


def test_records_follow_one_another() -> None:
    book = opened()
    row = Reserved(NOW, NOW + 1, "a", "matches", STATIONS[0], 1.0, 0.0)
    with pytest.raises(PlansError, match="record 9 after 5"):
        book.apply(Entry(9, "", row))
    assert book.serial == 5
    with pytest.raises(PlansError, match="serial 4 after record 5"):
        Book.restore(book.kept(), 4)
    with pytest.raises(PlansError, match="record 5 after 5"):
        Book.restore([*book.kept(), list(book.kept())[-1]], 5)
    for n in range(200):  # a change after another: what is over for long is not kept
        do(book, book.move(NOW + 10 * n, STATIONS[0], PLANS[n % 2], NOW + 10 * n + 5))
    assert len(book.stations[STATIONS[0]]) == KNOWN and book.on(STATIONS[0], NOW + 1994) == PLANS[0]
    with pytest.raises(PlansError, match="above the largest"):
        station_of("0000000200000000")
