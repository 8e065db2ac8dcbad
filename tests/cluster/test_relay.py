"""Gossip relayed by carriers: all gateways get all messages, in few datagrams, also if carriers die."""

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
from coralvale.cluster.server.gossip import ZONE_ONLY_KINDS
from coralvale.cluster.server.messages import GossipMessage, encode, pack_in_flight
from coralvale.cluster.server.node import GatewayNode
from coralvale.cluster.server.peers import GOSSIP, IN_FLIGHT, RELAY_BATCH, RELAY_REQUEST
from coralvale.cluster.server.relay import Carriers, RelayBatch, unpack_batch
from coralvale.cluster.settings import parse
from coralvale.members.model import Member, State, Update
from coralvale.members.swim import Known
from coralvale.standins.cluster import configuration, settings

GATEWAYS = 60


class Fleet:
    """Gateways in two zones, with delivery of their datagrams and the clock under control of the test."""

    def __init__(self, carriers: int) -> None:
        self.now, self.dead = 100.0, set[str]()
        self.sent: Counter[str] = Counter()
        self.kinds: Counter[bytes] = Counter()
        self.waiting: list[tuple[str, str, bytes]] = []
        self.ips = [f"10.0.0.{n}" for n in range(1, GATEWAYS + 1)]
        self.all = {ip: self._make_gateway(n) for n, ip in enumerate(self.ips)}
        self.carriers = self.ips[: 2 * carriers]
        for one in self.all.values():
            for ip in self.carriers:
                one.gossip.carriers.record(self.now, ip, True)

    def _make_gateway(self, number: int) -> GatewayNode:
        one = GatewayNode(parse(settings(number, self.ips, 3, Path("/nowhere"), False)), "")
        fake: Any = one
        fake.runtime.clock = self
        one.membership.start()
        for n, ip in enumerate(self.ips):
            if n != number:
                member = Member(f"gateway-{n}", (ip, 1), n % 2)
                one.membership.swim.known[member.name] = Known(Update(State.ALIVE, member, 1), self.now)
        one.membership.swim.others, one.membership.is_large, one.gossip.batch_scheduled = None, True, True
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
        """Delivers all datagrams, and sends the carriers' batches, until nothing is left."""
        while True:
            while self.waiting:
                ip, at, data = self.waiting.pop(0)
                if ip not in self.dead and at not in self.dead:
                    self.all[at].gossip.handle_datagram(ip, data)
            for one in self.all.values():
                if one.gossip.batch.near:
                    one.gossip.send_batch()
                    one.gossip.batch_scheduled = True
            if not self.waiting:
                return

    def gossip_round(self) -> None:
        """All live gateways send a gossip message, which is delivered."""
        for ip in self.ips:
            if ip not in self.dead:
                self.all[ip].gossip.send_to_all(
                    GOSSIP, encode(GossipMessage(1, 0, carries=ip in self.carriers))
                )
        self.deliver()

    def heard_counts(self) -> list[int]:
        """For each live gateway, the number of others whose messages it has got now."""
        return [
            sum(at == self.now for at in one.membership.gossip_heard_at.values())
            for ip, one in self.all.items()
            if ip not in self.dead
        ]


def run_scene(scene: Callable[[], None]) -> None:
    async def main() -> None:
        scene()

    asyncio.run(main())


def test_all_gateways_get_all_messages_in_few_datagrams() -> None:
    def scene() -> None:
        fleet, direct = Fleet(2), Fleet(0)
        for each in (fleet, direct):
            each.gossip_round()
            assert set(each.heard_counts()) == {GATEWAYS - 1}
        others = [ip for ip in fleet.ips if ip not in fleet.carriers]
        assert all(fleet.sent[ip] == 1 for ip in others)
        assert 4 * sum(fleet.sent.values()) < sum(direct.sent.values())
        # In-flight messages stay in the zone; gossip goes to the other zone, once.
        fleet.kinds.clear()
        fleet.all[others[0]].gossip.send_to_all(IN_FLIGHT, pack_in_flight([(1, 1)]))
        fleet.deliver()
        assert (
            IN_FLIGHT in ZONE_ONLY_KINDS and not fleet.kinds[RELAY_BATCH] and fleet.kinds[RELAY_REQUEST] == 1
        )

    run_scene(scene)


def test_a_dead_carrier_costs_every_second_message_and_without_carriers_all_send_to_all() -> None:
    def scene() -> None:
        fleet = Fleet(2)
        fleet.dead = {fleet.carriers[0]}
        heard: Counter[str] = Counter()
        for _ in range(4):
            fleet.now += 0.1
            fleet.gossip_round()
            for ip, one in fleet.all.items():
                heard[ip] += sum(at == fleet.now for at in one.membership.gossip_heard_at.values())
        for ip, one in fleet.all.items():
            # A live gateway got the messages of each of the others in two of four rounds.
            assert ip in fleet.dead or (
                len(one.membership.gossip_heard_at) == GATEWAYS - 2 and heard[ip] >= 1.4 * (GATEWAYS - 2)
            )
        fleet.dead, before = set(fleet.carriers), fleet.kinds[RELAY_REQUEST]
        fleet.now += max(relay.NEAR_TIMEOUT_S, relay.FAR_TIMEOUT_S) + 0.1
        fleet.gossip_round()
        # All send to all: to each in their zone, and to a random one of the other zone, which may be dead.
        alive = GATEWAYS - len(fleet.dead)
        assert (
            min(fleet.heard_counts()) >= alive // 2 - 1 + 0.7 * alive / 2
            and not fleet.kinds[RELAY_REQUEST] - before
        )

    run_scene(scene)


def test_only_a_ready_gateway_with_enough_bandwidth_is_a_carrier() -> None:
    def scene() -> None:
        one = next(iter(Fleet(0).all.values()))
        assert not one.gossip.is_carrier(one.runtime.clock.monotonic())  # it has no configuration
        one.was_ready = True
        taken = parse_configuration(configuration(1, ["s"]), Configuration())
        assert isinstance(taken, Configuration)
        one.changes.configuration = taken
        assert one.gossip.is_carrier(one.runtime.clock.monotonic())
        one.runtime.stopping = True
        assert not one.gossip.is_carrier(one.runtime.clock.monotonic())
        assert relay.can_carry(96, 31, 12.5e6, PERIOD) and not relay.can_carry(96, 31, 0.25e6, PERIOD)

    run_scene(scene)


def test_a_batch_has_the_newest_message_of_each_kind_and_is_bounded() -> None:
    batch = RelayBatch()
    batch.add("10.0.0.1", GOSSIP + b"old", True)
    batch.add("10.0.0.1", GOSSIP + b"new", True)
    batch.add("10.0.0.1", IN_FLIGHT + b"out", False)
    near, far = batch.take()
    assert [list(unpack_batch(data)) for data in near] == [
        [("10.0.0.1", GOSSIP + b"new"), ("10.0.0.1", IN_FLIGHT + b"out")]
    ]
    assert [list(unpack_batch(data)) for data in far] == [[("10.0.0.1", GOSSIP + b"new")]]
    assert batch.take() == ([], [])
    for n in range(3 * relay.MAX_BATCHED):
        batch.add(f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}", GOSSIP + bytes(200), True)
    assert len(batch.near) == len(batch.far) == relay.MAX_BATCHED
    near, _ = batch.take()
    assert max(map(len, near)) <= relay.MAX_DATAGRAM_BYTES
    assert sum(len(list(unpack_batch(data))) for data in near) == relay.MAX_BATCHED
    rng = random.Random(3)
    for _ in range(300):  # truncated or random data yields no message that was not sent
        data = near[0][: rng.randrange(len(near[0]))]
        assert all(len(datagram) == 201 for _, datagram in unpack_batch(data))
        list(unpack_batch(rng.randbytes(rng.randrange(64))))


def test_all_gateways_choose_the_same_carriers_and_drop_silent_ones() -> None:
    carriers, ips = Carriers(), [f"10.0.0.{n}" for n in range(1, 9)]
    for ip in shuffled(ips):
        carriers.record(1.0, ip, True)
    assert carriers.active(1.5, ips, relay.NEAR_TIMEOUT_S) == ips[: relay.MIN_CARRIERS]
    carriers.record(1.6, ips[0], False)
    assert carriers.active(1.6, ips, relay.NEAR_TIMEOUT_S) == ips[1:3]
    carriers.record(2.5, ips[5], True)
    assert carriers.active(2.5, ips, relay.NEAR_TIMEOUT_S) == [ips[5]]
    carriers.retain({ips[0]})
    assert not carriers.heard_at


def test_a_large_zone_uses_more_carriers_and_only_wide_links_with_a_replica_share_the_traffic() -> None:
    wide, narrow = 12.5e6, 0.25e6
    assert [relay.carrier_count(n, n // 3, PERIOD) for n in (30, 96, 300, 3000)] == [
        2,
        2,
        7,
        relay.MAX_CARRIERS,
    ]
    for replica in (False, True):
        assert relay.can_carry(96, 31, wide, PERIOD, replica) and not relay.can_carry(
            30, 10, narrow, PERIOD, replica
        )
    assert relay.can_carry(300, 99, wide, PERIOD, True) and not relay.can_carry(300, 99, wide, PERIOD, False)
    assert not relay.can_carry(300, 99, narrow, PERIOD, True) and not relay.can_carry(
        2300, 115, wide, PERIOD, True
    )
    carriers, ips = Carriers(), [f"10.0.0.{n}" for n in range(1, 9)]
    carriers.max_active = 5
    for ip in ips:
        carriers.record(1.0, ip, True)
    assert carriers.active(1.5, ips, relay.NEAR_TIMEOUT_S) == ips[:5]


def shuffled(ips: list[str]) -> list[str]:
    return random.Random(1).sample(ips, len(ips))


def row(n: int) -> Row:
    return Row(f"i-{n}", "s", "10.0.1.1", 80, "z", "v", 4, 0, 0.0, 7)


def test_only_the_parts_of_the_register_that_differ_are_sent() -> None:
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
    assert len(there.rows(0.0)) == 200  # a gateway without rows gets all
    there.mark_gone(1.0, "i-9")
    assert {r.id: r.state for r in there.rows(1.0, here.parts)}["i-9"] == 2


def test_a_differing_register_is_requested_once_both_are_unchanged_or_the_difference_lasts() -> None:
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
        for n in range(40):  # hosts change continuously: not before DIFFERS s have passed
            fleet.now += PERIOD
            one.register.merge(fleet.now, row(n))
            one.gossip.handle_gossip(fleet.now, other, GossipMessage(1, 1000 + n))
            assert bool(pulled) == (n * PERIOD >= MAX_MISMATCH_S)
        one.host_replication.mismatch.clear()
        pulled.clear()
        for _ in range(2):
            assert not pulled
            fleet.now += PERIOD
            one.gossip.handle_gossip(fleet.now, other, GossipMessage(1, 5))
        assert pulled  # both are unchanged, and differ
        one.gossip.handle_gossip(fleet.now, other, GossipMessage(1, one.register.digest))
        assert not one.host_replication.mismatch

    run_scene(scene)
