"""The book on disk: full disks, torn ends, damage, and what the service may say that it knows meanwhile."""

from __future__ import annotations

import random
from typing import Any

import pytest
from memory_disk import Disk
from plans.test_plan_book import NOW, STATIONS, opened

from coralvale import interface as api
from coralvale.plans.book import Book
from coralvale.plans.commands import Reused, record_for
from coralvale.plans.desk import KEPT, PAGE, Desk
from coralvale.plans.model import Entry, PlansError, Refused
from coralvale.plans.readers import MOST, Readers
from coralvale.plans.store import Store

MOVE = {"command": "a", "do": "move", "station": STATIONS[0], "plan": "team"}


def kept(disk: Disk) -> tuple[Store, Book]:
    store = Store(disk)
    book = store.load()
    assert book is not None
    return store, book


@pytest.mark.parametrize("seed", range(60))
def test_through_full_disks_and_kills_what_was_acknowledged_is_the_book(seed: int) -> None:
    lots, disk = random.Random(seed), Disk()
    book = opened()
    store = Store(disk)
    store.begin(book, "a1")
    desk, stalled = Desk(book, "a1"), 0
    for n in range(60):
        now = NOW + n
        fate = lots.random()
        disk.room = lots.randrange(0, 90) if fate < 0.4 else 1 << 40
        command = {
            "command": f"c{n}",
            "do": "move",
            "station": STATIONS[n % 3],
            "plan": ["team", "federal"][n % 2],
        }
        entry, new = desk.check(now, command)
        assert new
        try:
            store.append([entry])
            desk.durable(entry)
            assert desk.asof(now) == now
        except OSError:
            stalled += 1
            since = desk.asof(now + 0.5)
            assert since <= now  # nobody is told that the book is all there was
            if lots.random() < 0.5:
                disk.room = 1 << 40
                store.begin(desk.book, desk.id)
                desk.settled()
        if lots.random() < 0.2:  # killed, perhaps with the last write half there and never acknowledged
            before = desk.book.serial
            store, found = kept(disk)
            assert found.serial in (before, before + 1) and found.serial >= before
            if found.serial == before:
                assert found == desk.book
            disk.room = 1 << 40
            store.begin(found, store.id)
            desk = Desk(found, store.id)
    assert stalled > 3
    store, found = kept(disk)
    assert found.serial >= desk.book.serial and store.id == "a1"


def test_damage_in_the_middle_is_told_and_a_torn_end_is_not_there() -> None:
    disk = Disk()
    book = opened()
    store = Store(disk)
    store.begin(book, "a1")
    for n in range(4):
        entry = record_for(book, NOW + 10 * n, {"command": f"c{n}", "do": "move", "station": STATIONS[0],
                                                "plan": ["team", "federal"][n % 2]})  # fmt: skip
        store.append([entry])
        book.apply(entry)
    (name,) = [n for n in disk.files if n.startswith("log")]
    whole = disk.files[name]
    disk.files[name] = whole[:-3]
    assert kept(disk)[1].serial == book.serial - 1
    second = Store(disk)
    second.load()
    second.append([Entry(book.serial, "d", record_for(kept(disk)[1], NOW + 60, {
        "command": "d", "do": "move", "station": STATIONS[1], "plan": "team"}).record)])  # fmt: skip
    assert kept(disk)[1].on(STATIONS[1], NOW + 100) == "team"  # in its place, and behind it nothing old
    disk.files[name] = whole[:40] + b"\0\0\0\0" + whole[44:]
    with pytest.raises(PlansError, match="damaged: record 9 after 5"):
        Store(disk).load()
    disk.files["snapshot"] = disk.files["snapshot"][:-1]
    with pytest.raises(PlansError, match="snapshot: damaged"):
        Store(disk).load()
    del disk.files["snapshot"]
    with pytest.raises(PlansError, match="snapshot: missing, though there is log"):
        Store(disk).load()
    assert Store(Disk()).load() is None


@pytest.mark.parametrize(
    ("command", "error"),
    [
        ([], "a command is a JSON object"),
        ({}, "command: expected a plain word"),
        ({"command": "a"}, "do: expected one of plan, move"),
        ({"command": "a", "do": "fly"}, "do: expected one of"),
        ({"command": "a", "do": "move", "plan": "team"}, "station: missing"),
        ({**MOVE, "to": 1}, "to: unknown; move takes"),
        ({**MOVE, "plan": {}}, "plan: expected a name"),
        ({"command": "a", "do": "plan", "plan": "team"}, "plan: expected a table"),
        ({**MOVE, "station": 7}, "station: expected 16 hex digits"),
        ({**MOVE, "at": "noon"}, "at: expected a number"),
        ({"command": "a", "do": "pool", "pool": "p", "rate": -1}, "rate: expected a number from 0"),
        ({"command": "a", "do": "withdraw", "serial": 1.5}, "serial: expected a whole number"),
        (
            {
                "command": "a", "do": "reserve", "id": "x", "pool": "matches", "station": STATIONS[0], "rate": 0,
                "until": NOW + 99,
            },
            "rate: expected a number above 0",
        ),
    ],
)  # fmt: skip
def test_what_is_no_command_is_told_where(command: Any, error: str) -> None:
    with pytest.raises(PlansError, match=error):
        record_for(opened(), NOW, command)


def test_a_command_that_was_carried_out_is_not_again_and_its_name_is_no_others() -> None:
    book = opened()
    command = {"command": "a", "do": "move", "station": STATIONS[0], "plan": "federal"}
    entry = record_for(book, NOW, command)
    book.apply(entry)
    assert record_for(book, NOW + 99, command) is entry
    with pytest.raises(Reused, match="command a: was another one, record 6"):
        record_for(book, NOW, {**command, "plan": "team"})
    with pytest.raises(Reused):
        record_for(book, NOW, {"command": "a", "do": "cancel", "id": "x"})
    with pytest.raises(Refused):
        record_for(book, NOW, {"command": "b", "do": "cancel", "id": "x"})


def test_a_gateway_is_told_what_comes_after_its_record_and_no_more_than_a_page() -> None:
    desk = Desk(opened(), "a1", ("g0",))
    first = desk.read(NOW, "g0", "", None)
    assert first and first.head["whole"] and first.head["serial"] == 5 and len(first.entries) == 5
    assert desk.read(NOW, "g0", "a1", 5) is None
    assert desk.nothing_new(NOW).head == {
        "id": "a1", "asof": NOW, "serial": 5, "whole": False, "entries": 0
    }  # fmt: skip
    for n in range(KEPT + 10):
        plan = api.Plan("team", 1.0 + n, 1.0)
        desk.durable(Entry(desk.book.serial + 1, "", desk.book.define(NOW + 10 * n, plan)))
        if n % 100 == 99:
            trimmed = desk.book.trim(NOW + 10 * n)
            assert trimmed
            desk.durable(Entry(desk.book.serial + 1, "", trimmed))
    told = desk.read(NOW, "g0", "a1", desk.book.serial - PAGE - 1)
    assert told and len(told.entries) == PAGE and told.head["asof"] is None  # not all yet: nothing to rely on
    assert told.entries[0].serial == desk.book.serial - PAGE
    last = desk.read(NOW, "g0", "a1", desk.book.serial - 1)
    assert last and len(last.entries) == 1 and last.head["asof"] == NOW
    for id_, after in (("a1", 5), ("b2", desk.book.serial), ("a1", desk.book.serial + 1)):
        told = desk.read(NOW, "g0", id_, after)  # too far behind, another book, ahead of it: all of it
        assert told and told.head["whole"]
    assert desk.state(NOW)["gateways"][0]["name"] == "g0"


def test_who_is_waited_for_and_who_does_not_know() -> None:
    readers = Readers(("g0", "g1"))
    assert readers.missing(NOW, 5) == ["g0", "g1"]
    readers.heard(NOW, "g0", 5)
    readers.heard(NOW, "g7", 4)
    assert readers.missing(NOW, 5) == ["g1", "g7"]
    assert readers.missing(NOW + 61, 5) == ["g1"]  # nobody expects g7, and it is silent
    for n in range(MOST + 5):
        readers.heard(NOW, f"x{n}", 1)
    assert len(readers.seen) == MOST
