"""A host's leave is sent until all gateways know it, and acknowledged once it can't be lost."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from msgspec.structs import replace

from coralvale.cluster.registry.register import Register, Row, gone_row
from coralvale.cluster.server import gossip
from coralvale.cluster.server.hosts import Hosts
from coralvale.cluster.server.membership import GOSSIP_ALIVE_S
from coralvale.cluster.server.messages import Ack, GossipMessage
from coralvale.cluster.server.node import GatewayNode
from coralvale.cluster.server.peers import HOST_ROWS
from coralvale.cluster.settings import parse
from coralvale.members.model import Member, State, Update
from coralvale.members.swim import Known
from coralvale.standins.cluster import settings

IPS = [f"10.0.0.{n}" for n in range(1, 6)]


class Link:
    """A link to a gateway that does not confirm anything until its event is set."""

    def __init__(self, asked: Counter[str], ip: str, there: asyncio.Event) -> None:
        self.asked, self.ip, self.membership = asked, ip, there

    async def request(self, number: int, message: Any, timeout: float) -> Ack | None:
        self.asked[self.ip] += 1
        if not self.membership.is_set():
            await asyncio.sleep(0)
            return None
        return Ack(number)


ROW = Row("i-1", "s", "10.0.1.1", 80, "z", "v", 4, 1, 0.0, 7)


def spread(node: GatewayNode) -> Awaitable[bool]:
    return node.host_replication.replicate(ROW)


def play(
    core: int, silent: set[str], call: Callable[[GatewayNode], Awaitable[bool]] = spread
) -> tuple[bool, Counter[str], list[bytes], int]:
    """One of five gateways learns that a host drains; the silent ones answer once that call returned."""

    async def whole() -> tuple[bool, Counter[str], list[bytes], int]:
        text = settings(0, IPS, 3, Path("/nowhere"), False)
        node = GatewayNode(parse(text), "")
        there = {ip: asyncio.Event() for ip in IPS}
        asked: Counter[str] = Counter()
        cast: list[bytes] = []
        links = {ip: Link(asked, ip, there[ip]) for ip in IPS}
        for ip in set(IPS) - silent:
            there[ip].set()
        fake: Any = node
        fake.runtime.peers.link = links.__getitem__
        fake.runtime.peers.broadcast = lambda near, far, kind, data: cast.append(kind)
        fake.membership.others = lambda: [Member(ip, (ip, 1), 0) for ip in IPS[1:]]
        fake.membership.broadcast_targets = lambda: (IPS[1:], [])
        node.core.heard_view = (1, IPS[0], tuple(IPS[:core]))
        well = await call(node)
        before = Counter(asked)
        for event in there.values():
            event.set()
        while node.runtime.tasks:
            await asyncio.wait(set(node.runtime.tasks))
        told_later = sum((asked - before).values())
        return well, asked, cast, told_later

    return asyncio.run(whole())


def test_a_gateway_that_did_not_confirm_is_told_again_after_the_acknowledgement() -> None:
    well, asked, cast, later = play(3, {IPS[4]})
    assert well and later >= 1 and asked[IPS[4]] > 1  # the silent one was told once it answered
    assert [asked[ip] for ip in IPS[1:4]] == [1, 1, 1]
    assert cast == [HOST_ROWS]  # and all at once by datagram


def test_without_a_majority_of_the_core_a_drain_is_not_acknowledged() -> None:
    well, _, _, later = play(3, {IPS[1], IPS[2]})
    assert not well and later >= 2
    assert play(3, {IPS[2]})[0]


def test_a_gateway_that_knows_no_core_acknowledges_no_drain() -> None:
    """It has just started or is cut off: perhaps nobody got it, but the acknowledgement holds for all."""
    well, asked, _, _ = play(0, set())
    assert not well and asked[IPS[1]]


def test_the_leave_of_a_host_that_is_unknown_here_is_passed_on() -> None:
    """Guards against a leave that is acknowledged but passed on to nobody."""

    def leave(node: GatewayNode) -> Awaitable[bool]:
        node.hosts = Hosts(node.runtime.clock, 0.5, 8.0, 100)
        return node.host_replication.deregister("i-unknown")

    well, asked, cast, _ = play(3, set(), leave)
    assert well and cast == [HOST_ROWS] and all(asked[ip] == 1 for ip in IPS[1:])
    assert not play(3, {IPS[1], IPS[2]}, leave)[0]
    known = Register(1.5)
    known.merge(0.0, replace(ROW, state=0))
    assert known.merge(1.0, gone_row("i-1")) and not known.may_serve("i-1")
    assert not known.merge(1.0, gone_row("i-2")) and "i-2" not in known.entries


def test_a_host_that_had_left_before_a_restart_is_not_brought_back_by_a_late_heartbeat() -> None:
    """Guards against DRAIN: where all gateways lost power, only their disks know who drains or is gone."""

    async def beat(node: GatewayNode) -> bool:
        saved = [replace(ROW, id=f"i-{state}", state=state) for state in range(3)]
        node.host_replication.restore(saved)
        for row in saved:
            node.register.merge(node.runtime.clock.monotonic(), replace(row, state=0, calls=9), direct=True)
        return [node.register.may_serve(row.id) for row in saved] == [True, False, False]

    assert play(3, set(), beat)[0]


def test_a_drain_of_a_host_that_is_already_gone_here_is_passed_on_again() -> None:
    async def beat(node: GatewayNode) -> bool:
        node.hosts = Hosts(node.runtime.clock, 0.5, 8.0, 100)
        now = node.runtime.clock.monotonic()
        node.register.merge(now, replace(ROW, state=0))
        node.register.mark_gone(now, ROW.id)
        return await node.host_replication.heartbeat(replace(ROW, calls=9))

    well, asked, _, _ = play(3, set(), beat)
    assert well and asked[IPS[1]] == 1
    assert not play(3, {IPS[1], IPS[2]}, beat)[0]


def test_a_gateway_that_membership_calls_dead_still_gets_reports_while_its_own_arrive() -> None:
    async def whole() -> None:
        node = GatewayNode(parse(settings(0, IPS, 3, Path("/nowhere"), False)), "")
        node.membership.start()
        now = node.runtime.clock.monotonic()
        for n, state in enumerate((State.ALIVE, State.DEAD, State.DEAD, State.LEFT), 1):
            member = Member(f"gateway-{n}", (IPS[n], 1), 0)
            node.membership.swim.known[member.name] = Known(Update(state, member, 1), now)
        node.membership.swim.others = None
        word = GossipMessage(1, 0)
        for n in (2, 4):
            node.gossip.handle_gossip(now, IPS[n], word)
        assert {m.address[0] for m in node.membership.others()} == {
            IPS[1],
            IPS[2],
        }  # neither the silent one nor the one that left
        node.membership.gossip_heard_at[IPS[2]] = now - GOSSIP_ALIVE_S - 0.1
        assert {m.address[0] for m in node.membership.others()} == {IPS[1]}

    asyncio.run(whole())


def test_a_gateway_whose_region_differs_from_its_zones_is_logged_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def whole() -> None:
        logged: list[dict[str, Any]] = []
        monkeypatch.setattr(
            gossip, "log_event", lambda event, **fields: logged.append({"event": event, **fields})
        )
        regions = ("home", "abroad")  # of zone-0 and zone-1
        node = GatewayNode(parse(settings(0, IPS, 3, Path("/nowhere"), False, regions)), "")
        node.membership.start()
        now = node.runtime.clock.monotonic()
        for n in (1, 2):
            member = Member(f"gateway-{n}", (IPS[n], 1), n % 2)
            node.membership.swim.known[member.name] = Known(Update(State.ALIVE, member, 1), now)
        node.membership.swim.others = None
        for _ in range(3):
            node.gossip.handle_gossip(now, IPS[1], GossipMessage(1, 0, region="home"))  # it is in zone-1
            node.gossip.handle_gossip(now, IPS[2], GossipMessage(1, 0, region="home"))
            node.gossip.handle_gossip(
                now, IPS[1], GossipMessage(1, 0)
            )  # an incomplete report names no region
        assert [(row["name"], row["zone"], row["region"], row["by_zone"]) for row in logged] == [
            ("gateway-1", "zone-1", "home", "abroad")
        ]
        node.gossip.handle_gossip(now, IPS[1], GossipMessage(1, 0, region="abroad"))
        assert len(logged) == 1

    asyncio.run(whole())
