"""Four failures that users reported as their fleets grew, each against scripted hosts; and upper bounds for
what grows with the fleet."""

from __future__ import annotations

import asyncio
import random

from test_edge import BOOK, READ, Scene, next_request, reply, run_scene

from coralvale.cluster.rate_limit.actions import Admitted, Source
from coralvale.cluster.rate_limit.limiter import RateLimiter
from coralvale.cluster.rate_limit.quota import Rule
from coralvale.cluster.registry.register import Register, Row
from coralvale.cluster.routing.copies import InstancePool
from coralvale.cluster.server.messages import (
    MAX_HEALTH_ROWS,
    MAX_IN_FLIGHT_ROWS,
    GossipMessage,
    encode,
    pack_health,
    pack_in_flight,
    pack_usage,
)
from coralvale.standins.wire import answer

DATAGRAM = 1472  # bytes that are not fragmented


def test_answers_from_a_host_that_reuses_a_retired_hosts_address_are_discarded() -> None:
    """A lookup received another service's answer, from the address of a host that had just been retired."""

    async def scene(s: Scene) -> None:
        # The kept connection and the address now belong to another service.
        first = asyncio.create_task(s.ask(READ, "r-1"))
        (await next_request(s)).reply(reply("r-1", b"schedule"))
        assert (await first).body == b"schedule"
        other_host = {"X-Myrtlehatch-Served-By": "i-other"}
        for n, answered in enumerate((
            lambda id_: reply(id_, b"", 421, **other_host),  # as the protocol specifies
            lambda _: answer(200, b"frames", X_Myrtlehatch_Seal="seal"),  # knows no header field of ours
            lambda _: reply("r-0", b"frames"),
            lambda _: answer(421, b"", X_Myrtlehatch_Served_By="i-other"),  # perhaps not to this request
        )):  # fmt: skip
            asked = asyncio.create_task(s.ask(READ, f"r-2{n}"))
            arrived = await next_request(s)
            assert arrived.message.headers[b"x-myrtlehatch-want-instance"].startswith(b"i-")
            arrived.reply(answered(f"r-2{n}"))
            arrived.close()
            other = await next_request(s)  # safe to repeat: retried at another host
            other.reply(reply(f"r-2{n}", b"schedule"))
            found = await asked
            assert (found.status, found.body) == (200, b"schedule")
            booked = asyncio.create_task(s.ask(BOOK, f"b-2{n}"))
            arrived = await next_request(s)
            arrived.reply(answered(f"b-2{n}"))
            arrived.close()
            if n:  # may have run: no promise in the answer, no retry
                assert (await booked).status == 502 and all(p.arrived.empty() for p in s.peers)
            else:  # rejected without running: retried
                (await next_request(s)).reply(reply(f"b-2{n}", b"booked"))
                assert (await booked).body == b"booked"

    run_scene(3, scene)


def test_a_booking_on_a_connection_that_the_host_resets_runs_once() -> None:
    """A booking ran twice. Its host may have read it before the reset, so it must not be sent again."""

    async def scene(s: Scene) -> None:
        first = asyncio.create_task(s.ask(BOOK, "r-1"))
        arrived = await next_request(s)
        arrived.reply(reply("r-1"))
        assert (await first).status == 200
        second = asyncio.create_task(s.ask(BOOK, "r-2"))
        arrived = await next_request(s)
        arrived.reset()  # after the request was read
        found = await second
        assert found.status == 502 and b"retry-after" not in found.headers
        assert all(peer.arrived.empty() for peer in s.peers)
        # A connection closed while idle is detected: the next request uses a new one, once.
        third = asyncio.create_task(s.ask(BOOK, "r-3"))
        arrived = await next_request(s)
        arrived.reply(reply("r-3"))
        assert (await third).status == 200
        arrived.reset()
        while any(pool.idle for pool in s.hosts.pools.values()):
            await asyncio.sleep(0)
        fourth = asyncio.create_task(s.ask(BOOK, "r-4"))
        arrived = await next_request(s)
        arrived.reply(reply("r-4", b"booked"))
        assert (await fourth).body == b"booked" and all(peer.arrived.empty() for peer in s.peers)

    run_scene(1, scene)


def test_a_preview_at_a_silent_host_is_retried_elsewhere_in_time() -> None:
    """A preview hung while the health page showed all hosts as healthy: missing answers must count."""

    async def scene(s: Scene) -> None:
        begun = asyncio.get_running_loop().time()
        asked = asyncio.create_task(s.ask(READ, "r-1", left=15_000))
        frozen = await next_request(s)  # never answers; its connection stays open
        other = await next_request(s)
        assert (
            other.message.headers[b"x-myrtlehatch-want-instance"]
            != frozen.message.headers[b"x-myrtlehatch-want-instance"]
        )
        other.reply(reply("r-1", b"preview"))
        assert (await asked).body == b"preview"
        assert asyncio.get_running_loop().time() - begun < 10.0  # timeout of the route 2.5 s, target 0.4 s

    run_scene(2, scene)


def test_new_hosts_get_less_traffic_until_they_are_warm() -> None:
    """Previews and scenes were requested from hosts that had just been added."""
    register, rng = Register(1.5), random.Random(2)
    for n in range(8):
        warm = 8000.0 if n >= 6 else 0.0
        register.merge(0.0, Row(f"i-{n}", "s", "10.0.0.1", 80 + n, "z", "v", 4, 0, warm, 1), direct=True)
    copies = InstancePool(register, "z", rng)

    def shares(now: float) -> float:
        """Fraction of the requests that go to the two added hosts, each in flight for a while."""
        out: list[tuple[float, object, tuple[str, int]]] = []
        got = 0
        for n in range(2000):
            at = now + n / 400
            for ends, copy, key in [o for o in out if o[0] <= at]:
                copy.in_flight.pop(key)  # type: ignore[attr-defined]
                out.remove((ends, copy, key))
            chosen = copies.pick(at, "s", 0.02, set())
            assert chosen
            chosen.in_flight[key := (f"r-{n}", 1)] = at
            out.append((at + 0.02 * rng.uniform(0.5, 1.5), chosen, key))
            got += chosen.entry.id in ("i-6", "i-7")
        for _, copy, key in out:
            copy.in_flight.pop(key)  # type: ignore[attr-defined]
        return got / 2000

    assert shares(1.0) < 0.125 < shares(20.0)  # an even share would be a quarter


def test_a_gossip_message_fits_a_datagram_for_any_fleet_size() -> None:
    """Gossip messages have a fixed maximum size; they go to the own zone and to one gateway of each other."""
    sizes = {}
    for gateways, tenants in ((12, 8), (96, 88), (500, 160)):
        limiter = RateLimiter(Rule(5.0, 0.1, 20.0), "10.0.0.0")
        limiter.holding.own_all()
        for n in range(gateways):
            limiter.usage.peer_joined(0.0, f"10.0.{n // 250}.{n % 250}")
        for n in range(tenants):
            assert limiter.request(1.0, f"tenant-{n}", 60.0, 60.0) == Admitted(Source.OWN)
        use, whole = limiter.usage_report(1.0)
        assert whole
        beats = [
            (f"i-{n:08x}", n) for n in range(4)
        ]  # those received here in half a second, not the whole fleet's
        health = pack_health([(n, 9, 3) for n in range(200)])
        word = GossipMessage(
            7,
            1 << 31,
            3,
            "10.0.0.1",
            tuple(f"10.0.0.{n}" for n in range(8)),
            pack_usage(use),
            True,
            beats,
            health,
        )
        sizes[gateways] = len(encode(word))
    assert max(sizes.values()) <= DATAGRAM, sizes
    assert len(pack_in_flight([(n, 3) for n in range(2000)])) <= 5 * MAX_IN_FLIGHT_ROWS <= DATAGRAM
    assert len(pack_health([(n, 9, 3) for n in range(200)])) == 6 * MAX_HEALTH_ROWS
