"""The decisions of a delivery, played against receivers and a disk that fail by a seeded schedule."""

from __future__ import annotations

import contextlib
import random
from collections import Counter
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from memory_disk import Disk

from coralvale.syslog import delivery as rules
from coralvale.syslog.delivery import Delivery, Limits, State
from coralvale.syslog.queue import RANKS, Gap, Queued
from coralvale.syslog.spool import Spool

LIMITS = Limits(queue=8192, batch=600, window=1500, stall=10.0, home=20.0)


class World:
    """Carries out a delivery's actions: receivers that are well, refuse, stall or break; a disk that fills up."""

    def __init__(self, seed: int, names: tuple[str, ...], spool: bool) -> None:
        self.lots, self.now = random.Random(seed), 1000.0
        self.disk = Disk()
        self.spool = Spool(self.disk, 1 << 20, 4096) if spool else None
        self.delivery = Delivery(LIMITS, names, seed, spool)
        self.sick = dict.fromkeys(range(len(names)), "")
        self.events: list[rules.Event] = []
        self.connection = self.receiver = 0
        self.open = False
        self.wire: list[bytes] = []
        self.got: list[tuple[int, bytes]] = []  # receiver and message
        self.connects: list[tuple[float, int]] = []
        self.said: list[str] = []
        self.put = Counter[str]()
        self.left_out = 0
        self.serial = 0

    def message(self, outcome: str, size: int = 60) -> None:
        self.serial += 1
        self.put[outcome] += 1
        data = b"%d " % self.serial + b"x" * size
        self.delivery.put(self.now, Queued(self.serial, outcome, data))

    def feed(self, event: rules.Event) -> None:
        self.events.append(event)
        while self.events:
            for action in self.delivery.handle(self.now, self.events.pop(0)):
                getattr(self, type(action).__name__.lower())(action)

    def step(self, seconds: float = 0.05) -> None:
        self.now += seconds
        self.feed(rules.Tick())
        if self.open and not self.sick[self.receiver] and self.wire:
            count = self.lots.randrange(1, len(self.wire) + 1)
            self.arrive(count)
            self.feed(rules.Arrived(self.connection, count))

    def arrive(self, count: int) -> None:
        self.got += [(self.receiver, data) for data in self.wire[:count]]
        del self.wire[:count]

    def break_off(self, arrived: int = 0) -> None:
        """The connection breaks; what had arrived by then was not told."""
        if self.open:
            self.arrive(min(arrived, len(self.wire)))
            self.open = False
            self.wire.clear()
            self.feed(rules.Lost(self.connection, "Connection reset by peer"))

    def connect(self, action: rules.Connect) -> None:
        assert not self.open
        self.connects.append((self.now, action.receiver))
        self.connection, self.receiver = action.connection, action.receiver
        if self.sick[action.receiver] == "gone":
            self.events.append(rules.Lost(action.connection, "Connection refused"))
        elif self.sick[action.receiver] != "silent":
            self.open, self.wire = True, []
            self.events.append(rules.Connected(action.connection))

    def close(self, action: rules.Close) -> None:
        assert action.connection == self.connection
        self.open = False
        self.wire.clear()

    def bytes_of(self, message: bytes | Gap | Queued) -> bytes:
        if isinstance(message, Gap):
            return f"gap {sum(message.counts.values())} {message.first} {message.last}".encode()
        data = message.data if isinstance(message, Queued) else message
        assert isinstance(data, bytes)
        return data

    def write(self, action: rules.Write) -> None:
        assert self.open and action.connection == self.connection
        self.wire += map(self.bytes_of, action.messages)

    def store(self, action: rules.Store) -> None:
        assert self.spool
        batch: list[tuple[int, int, bytes]] = []
        for message in action.messages:
            gap = isinstance(message, Gap)
            rank = 2 if gap else RANKS[message.outcome]  # type: ignore[union-attr]
            batch.append((rank, 0 if gap else message.sequence, self.bytes_of(message)))  # type: ignore[union-attr]
        try:
            dropped = self.spool.append(batch)
            self.events.append(rules.Stored(True, dropped))
        except OSError as error:
            self.events.append(rules.Stored(False, why=error.strerror))

    def fetch(self, action: rules.Fetch) -> None:
        assert self.spool
        self.events.append(rules.Fetched(action.connection, self.spool.fetch(action.size)))

    def advance(self, action: rules.Advance) -> None:
        assert self.spool
        with contextlib.suppress(OSError):  # it is done with all the same; a kill would send it again
            self.spool.advance(action.count)

    def rewind(self, action: rules.Rewind) -> None:
        assert self.spool
        self.spool.rewind()

    def say(self, action: rules.Say) -> None:
        self.said.append(action.text)

    def settle(self) -> None:
        """All is well from now on, until nothing waits any more."""
        self.sick = dict.fromkeys(self.sick, "")
        self.disk.room = 1 << 40
        for _ in range(5000):
            self.step()
            if self.delivery.idle() and not self.wire:
                return
        raise AssertionError("it never came to rest")

    def arrived(self) -> list[int]:
        """Sequence ids in the order in which they arrived first."""
        return list(dict.fromkeys(int(d.split()[0]) for _, d in self.got if not d.startswith(b"gap")))

    def gaps(self) -> list[tuple[int, int, int]]:
        """Gaps that arrived: how many answers, from which sequence id to which."""
        rows = [data.split()[1:] for _, data in self.got if data.startswith(b"gap")]
        return [(int(count), int(first), int(last)) for count, first, last in rows]


def wreck(world: World) -> None:
    """One step of a day on which everything goes wrong now and then."""
    lots = world.lots
    lot = lots.random()
    if lot < 0.5:
        for _ in range(lots.randrange(1, 12)):
            world.message(lots.choice(sorted(RANKS)), lots.choice([20, 60, 200]))
    elif lot < 0.6:
        world.break_off(lots.randrange(0, 5))
    elif lot < 0.68:
        sick = lots.randrange(len(world.sick))
        world.sick[sick] = lots.choice(["gone", "silent", "stalled", "", ""])
        if world.sick[sick] == "gone" and world.receiver == sick:
            world.break_off()
    elif lot < 0.72:
        world.disk.room = lots.choice([0, 50, 900, 1 << 40])
    elif lot < 0.76:
        world.feed(rules.Lost(world.connection - 1, "late news of an old connection"))
        world.feed(rules.Arrived(world.connection - 1, 3))
    world.step(lots.choice([0.01, 0.1, 1.0, 6.0]))


@settings(max_examples=120, deadline=None)
@given(st.integers(0, 2**32), st.integers(1, 3), st.booleans())
def test_whatever_breaks_every_answer_arrives_or_is_told_as_dropped(
    seed: int, receivers: int, spool: bool
) -> None:
    world = World(seed, tuple("abc"[:receivers]), spool)
    for _ in range(150):
        wreck(world)
        queue = world.delivery.queue
        assert queue.bytes <= LIMITS.queue
        assert world.delivery.out_bytes <= world.delivery.window + LIMITS.batch + 2 * rules.GAP_SIZE
    world.settle()
    arrived, gaps = world.arrived(), world.gaps()
    missing = set(range(1, world.serial + 1)) - set(arrived)
    # What had arrived unseen before its connection broke may be told as dropped, never the other way round.
    assert len(missing) <= sum(count for count, _, _ in gaps) and len(missing) <= world.delivery.queue.dropped
    assert all(any(first <= n <= last for _, first, last in gaps) for n in missing)
    if not spool:
        assert arrived == sorted(arrived)


@pytest.mark.parametrize("spool", [False, True])
def test_without_faults_all_arrives_once_and_in_order(spool: bool) -> None:
    world = World(1, ("a",), spool)
    for _ in range(400):
        world.message("served")
        world.step()
    world.settle()
    assert [int(data.split()[0]) for _, data in world.got] == list(range(1, 401))
    assert len(world.connects) == 1 and not world.said


def test_a_receiver_that_is_gone_is_tried_less_and_less_often_and_named_once() -> None:
    world = World(1, ("a",), False)
    world.sick[0] = "gone"
    for _ in range(6000):
        world.step(0.1)
    pauses = [b[0] - a[0] for a, b in zip(world.connects, world.connects[1:], strict=False)]
    assert pauses[0] < 0.5 and 15.0 <= pauses[-1] <= 30.2 and len(pauses) < 45
    assert world.said == ["a: Connection refused; messages wait"]
    world.message("served")
    world.settle()
    assert world.said[1:] == ["a: well again"] and world.arrived() == [1]


def test_a_receiver_that_resets_on_each_message_is_not_hammered() -> None:
    world = World(1, ("a",), False)
    for _ in range(3000):
        world.message("refused", 20)
        world.step(0.1)
        world.break_off(1)
    assert 10 < len(world.connects) < 60


def test_the_next_receiver_takes_over_at_once_and_the_first_is_gone_back_to() -> None:
    world = World(1, ("a", "b"), False)
    world.step()
    world.sick[0] = "gone"
    world.message("served")
    world.break_off()
    world.step()
    assert world.delivery.state is State.UP and world.receiver == 1
    world.settle()
    assert [receiver for receiver, _ in world.got] == [1]
    for _ in range(500):
        world.step(0.1)
    assert world.receiver == 0 and world.delivery.state is State.UP
    assert world.said[0] == "a: Connection refused; messages wait" or "reset" in world.said[0]


def test_one_that_reads_nothing_is_given_up_after_a_while_and_gets_it_all_again() -> None:
    world = World(1, ("a",), False)
    world.step()
    world.sick[0] = "stalled"
    world.message("served")
    for _ in range(95):
        world.step(0.1)
    assert len(world.connects) == 1 and world.delivery.out
    for _ in range(20):
        world.step(0.1)
    assert len(world.connects) == 2 and "takes nothing for 10 s" in world.said[0]
    world.settle()
    assert [int(data.split()[0]) for _, data in world.got] == [1]


def test_a_full_disk_is_passed_by_and_used_again() -> None:
    world = World(1, ("a",), True)
    world.disk.room = 0
    for _ in range(50):
        world.message("served")
        world.step()
    world.settle()
    assert len(world.arrived()) == 50 and "No space left on device" in world.said[0]
    for _ in range(200):
        world.step()
    world.message("served")
    world.settle()
    assert world.said[-1] == "the spool's disk is well again" and len(world.arrived()) == 51


def test_other_receivers_get_what_waits() -> None:
    world = World(1, ("a",), False)
    world.sick[0] = "gone"
    world.message("served")
    world.step()
    kind: Any = rules.Moved(("b",))
    world.sick[0] = ""
    world.feed(kind)
    world.settle()
    assert len(world.got) == 1 and world.delivery.names == ("b",)
    with pytest.raises(ValueError, match="without a receiver"):
        Delivery(LIMITS, (), 1)
