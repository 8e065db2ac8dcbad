"""Words of a large fleet, joined by carriers: all hear all, in few datagrams, whoever of the carriers is gone."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from coralvale.cluster.configuration.model import Configuration, parse_configuration
from coralvale.cluster.rate_limit.usage import PERIOD
from coralvale.cluster.registry.register import PARTS, Register, Row, part
from coralvale.cluster.server import relay
from coralvale.cluster.server.arrivals import MAX_MISMATCH_S
from coralvale.cluster.server.gossip import NEAR_ONLY
from coralvale.cluster.server.messages import Word, encode, pack_out
from coralvale.cluster.server.node import GatewayNode
from coralvale.cluster.server.peers import CARRY, LOAD, OUT, WORD
from coralvale.cluster.server.relay import Carriers, RelayBatch, unpack
from coralvale.cluster.settings import parse
from coralvale.members.model import Member, State, Update
from coralvale.members.swim import Known
from coralvale.standins.cluster import configuration, settings

MANY = 60


class Fleet:
    """Gateways in two zones whose datagrams are carried here, on a clock of the test's own."""

    def __init__(self, carriers: int) -> None:
        self.now, self.dead = 100.0, set[str]()
        self.sent: Counter[str] = Counter()
        self.kinds: Counter[bytes] = Counter()
        self.waiting: list[tuple[str, str, bytes]] = []
        self.ips = [f"10.0.0.{n}" for n in range(1, MANY + 1)]
        self.all = {ip: self._made(n) for n, ip in enumerate(self.ips)}
        self.carriers = self.ips[: 2 * carriers]
        for one in self.all.values():
            for ip in self.carriers:
                one.gossip.carriers.hear(self.now, ip, True)

    def _made(self, number: int) -> GatewayNode:
        one = GatewayNode(parse(settings(number, self.ips, 3, Path("/nowhere"), False)), "")
        fake: Any = one
        fake.runtime.clock = self
        one.membership.begin()
        for n, ip in enumerate(self.ips):
            if n != number:
                member = Member(f"gateway-{n}", (ip, 1), n % 2)
                one.membership.swim.known[member.name] = Known(Update(State.ALIVE, member, 1), self.now)
        one.membership.swim.others, one.membership.large, one.gossip.relaying = None, True, True
        fake.runtime.peers.udp = self._udp(self.ips[number])
        return one

    def monotonic(self) -> float:
        return self.now

    def _udp(self, ip: str) -> Any:  # noqa: ANN401
        fleet = self

        class Udp:
            def sendto(self, data: bytes, at: tuple[str, int]) -> None:
                fleet.sent[ip] += 1
                fleet.kinds[data[:1]] += 1
                fleet.waiting.append((ip, at[0], data))

        return Udp()

    def deliver(self) -> None:
        """All that is on its way, and what carriers have to bring, until nothing is."""
        while True:
            while self.waiting:
                ip, at, data = self.waiting.pop(0)
                if ip not in self.dead and at not in self.dead:
                    self.all[at].gossip.datagram(ip, data)
            for one in self.all.values():
                if one.gossip.batch.near:
                    one.gossip.send_batch()
                    one.gossip.relaying = True
            if not self.waiting:
                return

    def words(self) -> None:
        for ip in self.ips:
            if ip not in self.dead:
                self.all[ip].gossip.tell_all(WORD, encode(Word(1, 0, carries=ip in self.carriers)))
        self.deliver()

    def heard(self) -> list[int]:
        """Of how many others each that lives has heard now."""
        return [
            sum(at == self.now for at in one.membership.talks.values())
            for ip, one in self.all.items()
            if ip not in self.dead
        ]


def play(scene: Callable[[], None]) -> None:
    async def whole() -> None:
        scene()

    asyncio.run(whole())


def test_all_hear_all_in_few_datagrams() -> None:
    def scene() -> None:
        fleet, direct = Fleet(2), Fleet(0)
        for each in (fleet, direct):
            each.words()
            assert set(each.heard()) == {MANY - 1}
        others = [ip for ip in fleet.ips if ip not in fleet.carriers]
        assert all(fleet.sent[ip] == 1 for ip in others)
        assert 4 * sum(fleet.sent.values()) < sum(direct.sent.values())
        # What is out goes to the zone alone; words go on to the other, once.
        fleet.kinds.clear()
        fleet.all[others[0]].gossip.tell_all(OUT, pack_out([(1, 1)]))
        fleet.deliver()
        assert OUT in NEAR_ONLY and not fleet.kinds[CARRY] and fleet.kinds[LOAD] == 1

    play(scene)


def test_one_dead_carrier_costs_each_second_word_and_none_left_is_found_out() -> None:
    def scene() -> None:
        fleet = Fleet(2)
        fleet.dead = {fleet.carriers[0]}
        heard: Counter[str] = Counter()
        for _ in range(4):
            fleet.now += 0.1
            fleet.words()
            for ip, one in fleet.all.items():
                heard[ip] += sum(at == fleet.now for at in one.membership.talks.values())
        for ip, one in fleet.all.items():
            # Each of the others was heard of in two of four rounds, or is dead itself.
            assert ip in fleet.dead or (
                len(one.membership.talks) == MANY - 2 and heard[ip] >= 1.4 * (MANY - 2)
            )
        fleet.dead, before = set(fleet.carriers), fleet.kinds[LOAD]
        fleet.now += max(relay.NEAR, relay.FAR) + 0.1
        fleet.words()
        # All tell all: in their zone each, in the other but for what was told, by lot, to one that is dead.
        alive = MANY - len(fleet.dead)
        assert min(fleet.heard()) >= alive // 2 - 1 + 0.7 * alive / 2 and not fleet.kinds[LOAD] - before

    play(scene)


def test_who_carries_is_ready_and_has_a_link_that_bears_it() -> None:
    def scene() -> None:
        one = next(iter(Fleet(0).all.values()))
        assert not one.gossip.carries(one.runtime.clock.monotonic())  # it knows no configuration
        one.was_ready = True
        taken = parse_configuration(configuration(1, ["s"]), Configuration())
        assert isinstance(taken, Configuration)
        one.changes.configuration = taken
        assert one.gossip.carries(one.runtime.clock.monotonic())
        one.runtime.stopping = True
        assert not one.gossip.carries(one.runtime.clock.monotonic())
        assert relay.bears(96, 31, 12.5e6, PERIOD) and not relay.bears(96, 31, 0.25e6, PERIOD)

    play(scene)


def test_the_newest_word_of_each_kind_goes_and_what_waits_is_bounded() -> None:
    batch = RelayBatch()
    batch.add("10.0.0.1", WORD + b"old", True)
    batch.add("10.0.0.1", WORD + b"new", True)
    batch.add("10.0.0.1", OUT + b"out", False)
    near, far = batch.take()
    assert [list(unpack(data)) for data in near] == [
        [("10.0.0.1", WORD + b"new"), ("10.0.0.1", OUT + b"out")]
    ]
    assert [list(unpack(data)) for data in far] == [[("10.0.0.1", WORD + b"new")]]
    assert batch.take() == ([], [])
    for n in range(3 * relay.MOST_LOADED):
        batch.add(f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}", WORD + bytes(200), True)
    assert len(batch.near) == len(batch.far) == relay.MOST_LOADED
    near, _ = batch.take()
    assert max(map(len, near)) <= relay.MOST_BYTES
    assert sum(len(list(unpack(data))) for data in near) == relay.MOST_LOADED
    chance = random.Random(3)
    for _ in range(300):  # what is cut short, or noise, tells nothing that was not there
        data = near[0][: chance.randrange(len(near[0]))]
        assert all(len(whole) == 201 for _, whole in unpack(data))
        list(unpack(chance.randbytes(chance.randrange(64))))


def test_carriers_are_the_same_at_all_and_forgotten_when_silent() -> None:
    carriers, ips = Carriers(), [f"10.0.0.{n}" for n in range(1, 9)]
    for ip in chance_order(ips):
        carriers.hear(1.0, ip, True)
    assert carriers.of(1.5, ips, relay.NEAR) == ips[: relay.FEWEST]
    carriers.hear(1.6, ips[0], False)
    assert carriers.of(1.6, ips, relay.NEAR) == ips[1:3]
    carriers.hear(2.5, ips[5], True)
    assert carriers.of(2.5, ips, relay.NEAR) == [ips[5]]
    carriers.keep({ips[0]})
    assert not carriers.heard


def test_a_large_zone_has_more_carriers_and_only_wide_links_with_a_replica_share_its_work() -> None:
    wide, narrow = 12.5e6, 0.25e6
    assert [relay.wanted(n, n // 3, PERIOD) for n in (30, 96, 300, 3000)] == [2, 2, 7, relay.MOST]
    for replica in (False, True):
        assert relay.bears(96, 31, wide, PERIOD, replica) and not relay.bears(30, 10, narrow, PERIOD, replica)
    assert relay.bears(300, 99, wide, PERIOD, True) and not relay.bears(300, 99, wide, PERIOD, False)
    assert not relay.bears(300, 99, narrow, PERIOD, True) and not relay.bears(2300, 115, wide, PERIOD, True)
    carriers, ips = Carriers(), [f"10.0.0.{n}" for n in range(1, 9)]
    carriers.most = 5
    for ip in ips:
        carriers.hear(1.0, ip, True)
    assert carriers.of(1.5, ips, relay.NEAR) == ips[:5]


def chance_order(ips: list[str]) -> list[str]:
    return random.Random(1).sample(ips, len(ips))


def row(n: int) -> Row:
    return Row(f"i-{n}", "s", "10.0.1.1", 80, "z", "v", 4, 0, 0.0, 7)


def test_registers_are_compared_by_parts() -> None:
    here, there = Register(1.5), Register(1.5)
    for n in range(200):
        there.merge(0.0, row(n))
        if n not in (7, 70):
            here.merge(0.0, row(n))
    told = there.rows(0.0, here.parts)
    assert {"i-7", "i-70"} <= {r.id for r in told} and len({part(r.id) for r in told}) <= 2 < PARTS
    for each in told:
        here.merge(0.0, each)
    assert here.digest == there.digest and not there.rows(0.0, here.parts)
    assert len(there.rows(0.0)) == 200  # one that knows nothing gets all
    there.mark_gone(1.0, "i-9")
    assert {r.id: r.state for r in there.rows(1.0, here.parts)}["i-9"] == 2


def test_a_register_that_differs_is_asked_for_once_both_are_still_or_it_lasts() -> None:
    def scene() -> None:
        fleet = Fleet(0)
        one, other = fleet.all[fleet.ips[0]], fleet.ips[1]
        pulled: list[float] = []

        async def pull(ip: str) -> bool:
            return True

        fake: Any = one
        fake.host_replication.pull, fake.runtime.spawn = (
            pull,
            lambda work: (work.close(), pulled.append(fleet.now)),
        )
        for n in range(40):  # hosts come all the while: not before it has lasted
            fleet.now += PERIOD
            one.register.merge(fleet.now, row(n))
            one.gossip.word(fleet.now, other, Word(1, 1000 + n))
            assert bool(pulled) == (n * PERIOD >= MAX_MISMATCH_S)
        one.host_replication.mismatch.clear()
        pulled.clear()
        for _ in range(2):
            assert not pulled
            fleet.now += PERIOD
            one.gossip.word(fleet.now, other, Word(1, 5))
        assert pulled  # both are still, and differ
        one.gossip.word(fleet.now, other, Word(1, one.register.digest))
        assert not one.host_replication.mismatch

    play(scene)
