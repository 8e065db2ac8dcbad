"""Which list is served: the start, recovery, older lists, drains, lives of a name; weights of cold hosts."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import SETTINGS
from hypothesis import given
from hypothesis import strategies as st

from coralvale.control.drains import KEPT, Drains
from coralvale.control.model import Host, Placed, StateError
from coralvale.control.resources import assignment
from coralvale.control.roster import UNIT, Roster, State
from coralvale.control.snapshots import Snapshots
from coralvale.control.store import FILE, Saved, Store


def host(name: str, **more: object) -> Host:
    return replace(Host(name, "127.0.0.1", 80, "north", 1.0, 0.0), **more)  # type: ignore[arg-type]


def roster() -> Roster:
    return Roster(SETTINGS, older_list=30.0)


def leaving(served: Roster, now: float = 0.0) -> set[str]:
    view = served.view(now)
    assert view is not None
    return {p.host.id for p in view if p.host.leaving}


def test_an_unknown_roster_is_held_back_and_a_drain_told_once() -> None:
    one = roster()
    assert one.view(0) is None and one.state is State.UNKNOWN
    assert one.listed(0, 5, [host("a"), host("b")]) == []
    (drain,) = one.listed(1, 6, [host("a"), host("b", leaving=True)])
    assert drain.life == ("b", 0.0) and leaving(one) == {"b"}
    assert one.listed(2, 7, [host("a"), host("b", leaving=True)]) == []
    one.listed(3, 8, [host("a")])
    assert not leaving(one) and not one.drains
    assert one.listed(4, 9, [host("a"), host("b", started_at=4.0)]) == []  # back under its name, cold
    view = one.view(4.0)
    assert view and [(p.host.id, p.cold, p.host.leaving) for p in view] == [
        ("a", False, False),
        ("b", True, False),
    ]


def test_a_saved_drain_stays_one_until_discovery_has_answered() -> None:
    one = roster()
    one.restore([host("a"), host("b", leaving=True)], 7, 0.0)
    assert one.state is State.SAVED and leaving(one) == {"b"}
    one.listed(1, 7, [host("a"), host("b", leaving=True)])
    assert one.state is State.LIVE and leaving(one) == {"b"}
    one.listed(2, 8, [host("a"), host("b")])  # newer: the drain was called off
    assert not leaving(one)


def test_an_older_list_undoes_no_drain() -> None:
    one = roster()
    one.listed(0, 7, [host("a"), host("b", leaving=True), host("c")])
    assert one.listed(1, 3, [host("a"), host("b"), host("c")]) == []
    assert one.state is State.OLDER and leaving(one) == {"b"}
    (drain,) = one.listed(2, 4, [host("a", leaving=True), host("b")])  # a drain in it only takes work away
    assert drain.life[0] == "a" and leaving(one) == {"a", "b"}
    one.listed(31.5, 5, [host("a"), host("b")])  # for half a minute: discovery counts anew
    assert one.state is State.LIVE and one.index == 5 and leaving(one) == {"a", "b"}
    one.listed(32, 6, [host("a"), host("b")])  # and is now believed
    assert not leaving(one)
    one.listed(33, 2, [host("a")])
    one.listed(34, 6, [host("a"), host("b", leaving=True)])  # caught up: no new numbering
    assert one.older_since is None and leaving(one) == {"b"}


@given(
    lives=st.lists(st.tuples(st.integers(0, 9), st.booleans(), st.booleans()), max_size=30),
    start=st.integers(5, 9),
)
def test_while_indexes_do_not_grow_no_drained_life_gets_work(
    lives: list[tuple[int, bool, bool]], start: int
) -> None:
    """Whatever lists come, in whatever order: only a list that is newer than the drain's can end it."""
    one = roster()
    one.listed(0, start, [host("a", leaving=True), host("b")])
    newest = start
    for number, (index, a, b) in enumerate(lives):
        one.listed(number * 0.1, index, [host("a", leaving=a), host("b", leaving=b)])
        if index >= newest:
            newest = index
        elif index < start and newest == start:
            assert "a" in leaving(one)


@given(age=st.floats(0, 12), scale=st.floats(0.01, 50))
def test_a_weight_never_passes_what_a_host_surely_has(age: float, scale: float) -> None:
    one = roster()
    one.listed(0, 1, [host("a", started_at=100.0, scale=scale), host("b", scale=scale)])
    (cold, warm) = one.view(100.0 + age) or ()
    share = min(1.0, 0.25 + 0.75 * age / 10)
    assert cold.weight <= max(1.0, UNIT * scale * share * (1 + 1e-9)) and warm.weight == max(
        1, int(UNIT * scale)
    )
    assert one.warming(100.0 + age) == (age < 10)


def test_a_drain_is_written_acknowledged_or_late() -> None:
    drains = Drains(grace=0.5)
    for stream in (1, 2, 3, 4):
        drains.opened(stream)
    drains.told(10.0, "b", version=7)
    drains.written(10.01, 1, 7)
    drains.written(10.01, 2, 7)
    drains.written(10.01, 3, 6)  # older than the drain
    drains.acked(10.02, 1, 8)  # a newer one tells it too
    drains.refused(2, 7, "no")
    assert drains.next_look() == 10.25 and drains.late(10.24) == []
    late = {entry.stream: entry.why for entry in drains.late(10.26)}
    assert set(late) == {2, 3, 4} and "no" in late[2] and "does not read" in late[3]
    assert drains.late(10.3) == [] and drains.next_look() is None  # each is named once
    assert drains.waiting() == {2: ["b"], 3: ["b"], 4: ["b"]}
    seen = drains.records[0].streams[1]
    assert (seen.written_at, seen.acked_at) == (10.01, 10.02)
    drains.closed(3)
    drains.acked(11.0, 2, 9)
    assert drains.waiting() == {4: ["b"]}
    for number in range(2 * KEPT):
        drains.told(20.0, str(number), 8 + number)
    assert len(drains.records) == KEPT


def test_the_state_survives_and_a_damaged_file_is_refused_by_name(tmp_path: object) -> None:
    store = Store(str(tmp_path))
    assert store.load() is None
    made = Snapshots()
    made.make(1.0, {"type": {}})
    saved = Saved(9, 4, (host("a"), host("b", leaving=True, started_at=2.5)), made.kept)
    store.save(saved)
    assert Store(str(tmp_path)).load() == saved
    whole = store.path.read_bytes()
    for bad in (
        whole[:-3],
        whole.replace(b'"b"', b'"c"'),
        b"",
        b"\xff\xfe",
        whole.replace(b"roster 1", b"roster 2"),
    ):
        store.path.write_bytes(bad)
        with pytest.raises(StateError, match=FILE):
            store.load()
        assert store.load() is None and store.path.with_suffix(".json.bad").read_bytes() == bad
    store.save(saved)
    store.path.with_suffix(".json.new").write_bytes(b"torn")  # killed while it wrote
    assert store.load() == saved


def test_the_same_view_is_the_same_bytes_and_zones_are_kept() -> None:
    view = [Placed(host("a"), 1000, False), Placed(host("b", zone="south", leaving=True), 250, True)]
    assert assignment("s", view, 0.0) == assignment("s", view, 0.0)
    assert assignment("s", view, 0.0) != assignment("s", view, 0.3)
