"""What one gateway bears of a large fleet: hollow gateways and hosts, many in a process, on loopback.

    python benchmarks/capacity.py [--quick]

A real gateway (its membership, meter, register, routing and codecs; no clients) hears the words of n hollow ones,
each with an address of its own, at the rate that real ones keep (two words a second, as a gateway without a
carrier gets them). Processes of `CHILD_HOLDS` hollow gateways send what the real codecs make. Printed for each n:
share of a core, bytes and words a second, memory. Then slopes without sockets, each by the real code at two
sizes: a word, a tenant, a host, a route, a change, news for a gateway. The thing to beat stands in the same run:
the smallest fleet's cost of a word. Ends with one JSON line. Under 30 processes; what is kept is far below half
of the memory.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import multiprocessing as mp
import os
import random
import socket
import sys
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Any

from coralvale.cluster.configuration.history import Change, ChangeHistory, pack
from coralvale.cluster.configuration.model import Configuration, survey
from coralvale.cluster.rate_limit.actions import AskTokens, GrantTokens
from coralvale.cluster.rate_limit.holding import Holding
from coralvale.cluster.rate_limit.limiter import RateLimiter
from coralvale.cluster.rate_limit.quota import Rule
from coralvale.cluster.rate_limit.share_planner import SharePlanner
from coralvale.cluster.rate_limit.shares import ShareTable, even_table
from coralvale.cluster.rate_limit.usage import PERIOD
from coralvale.cluster.registry import register as registry
from coralvale.cluster.registry.register import Register, Row
from coralvale.cluster.server.messages import Told, Word, encode, framed, pack_out, pack_use
from coralvale.cluster.server.node import GatewayNode
from coralvale.cluster.server.peers import WORD, Datagrams
from coralvale.cluster.settings import parse
from coralvale.members.model import Member, State, Update
from coralvale.members.swim import Known
from coralvale.standins.cluster import PEERS, settings

SIZES = (100, 300, 1000, 2300)
CHILD_HOLDS = 150  # hollow gateways in a process
TENANTS_HEARD = 12  # of whom a hollow gateway has news in a word
BEATS = 3  # of hosts in a word
OUT = 8  # copies at which a hollow gateway has something
HOSTS = 400
NET = f"127.{90 + os.getpid() % 60}"


def address(number: int) -> str:
    return f"{NET}.{number // 250}.{number % 250 + 1}"


def names(tenants: int) -> list[str]:
    return [f"tenant-{n}" for n in range(tenants)]


def configuration(routes: int, tenants: int, version: int = 1) -> dict[str, Any]:
    return {
        "Ver": version,
        "Routes": {
            f"r{n}": {
                "Vhost": f"h{n % 50}.example", "PathPrefix": f"/p{n}/", "Kind": "idempotent",
                "TimeoutMs": 2500, "TargetMs": 400, "Prio": 1, "Tries": 2, "Svc": f"s{n % 20}",
            }
            for n in range(routes)
        },
        "Svcs": {f"s{n}": {"HealthPath": "/h", "MaxConns": 100} for n in range(20)},
        "Tenants": {t: {"ApiKeys": [f"key-{t}"], "RatePerS": 100, "Burst": 100} for t in names(tenants)},
    }  # fmt: skip


def word(chance: random.Random, number: int) -> bytes:
    """A word as a loaded gateway sends it."""
    use = {
        f"tenant-{chance.randrange(400)}": (chance.randrange(300), chance.randrange(30))
        for _ in range(TENANTS_HEARD)
    }
    beats = [(f"i-{chance.randrange(HOSTS):08x}", chance.randrange(1 << 16)) for _ in range(BEATS)]
    out = pack_out([(chance.randrange(1 << 32), 2) for _ in range(OUT)])
    made = Word(1, 0, 5, address(1), (), pack_use(use), False, beats, b"", out, life=number + 1)
    return WORD + encode(made)


def hollow(first: int, count: int, to: tuple[str, int], seconds: float) -> None:
    """In a child: `count` gateways, each with a socket of its own, send two words a second."""
    chance = random.Random(first)
    socks = []
    for n in range(first, first + count):
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((address(n), 0))
        socks.append((sock, [word(chance, n) for _ in range(4)]))
    begun = time.monotonic()
    turn = 0
    while (now := time.monotonic()) - begun < seconds:
        for sock, words in socks[turn % 10 :: 10]:
            sock.sendto(words[turn % 4], to)
        turn += 1
        time.sleep(max(0.0, PERIOD / 10 - (time.monotonic() - now)))


def gateway(count: int) -> GatewayNode:
    """One that knows `count` others."""
    ips = [address(n) for n in range(1, count + 1)]
    node = GatewayNode(parse(settings(count - 1, ips, 3, Path("/nowhere"), False)), "")
    node.membership.begin()
    now = node.runtime.clock.monotonic()
    for n, ip in enumerate(ips[:-1]):
        member = Member(f"gateway-{n}", (ip, PEERS), n % 2)
        node.membership.swim.known[member.name] = Known(Update(State.ALIVE, member, 1), now)
        node.limiter.usage.know(now, ip)
    made = survey(configuration(100, 400), Configuration())
    assert isinstance(made, Configuration)
    fake: Any = node
    fake.front = type("Front", (), {"bounds": None})()
    node.changes.in_force(made)
    for n in range(HOSTS):
        node.register.take(now, Row(f"i-{n:08x}", "s0", "10.0.0.1", n + 1, "zone-0", "v", 4, 0, 0.0, 1))
    return node


def memory() -> int:
    """Bytes resident."""
    gc.collect()
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


async def heard(count: int, seconds: float) -> dict[str, float]:
    """The cost of `count` hollow gateways at one."""
    before = memory()
    node = gateway(count)
    got = [0, 0]

    def take(ip: str, data: bytes) -> None:
        got[0] += 1
        got[1] += len(data) + 28
        node.gossip.datagram(ip, data)

    loop = asyncio.get_running_loop()
    own = (address(count), 0)
    transport, _ = await loop.create_datagram_endpoint(lambda: Datagrams(take), local_addr=own)
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 22)
    to = sock.getsockname()
    children = [
        mp.Process(target=hollow, args=(first, min(CHILD_HOLDS, count - first), to, seconds + 1.5))
        for first in range(1, count, CHILD_HOLDS)
    ]
    for child in children:
        child.start()
    await asyncio.sleep(1.2)  # until all send
    got[:] = [0, 0]
    begun, cpu = time.monotonic(), time.process_time()
    stepped = begun
    while time.monotonic() - begun < seconds:
        await asyncio.sleep(0.05)
        if time.monotonic() - stepped >= PERIOD:
            stepped = time.monotonic()
            node.limiter.step(node.runtime.clock.monotonic())
    spent, took = time.process_time() - cpu, time.monotonic() - begun
    for child in children:
        child.join()
    transport.close()
    return {
        "gateways": count,
        "processes": len(children) + 1,
        "core_percent": round(100 * spent / took, 2),
        "us_a_word": round(1e6 * spent / max(1, got[0]), 1),
        "words_s": round(got[0] / took, 1),
        "kB_s": round(got[1] / took / 1000, 1),
        "memory_MB": round((memory() - before) / 1e6, 1),
    }


def traced(make: Callable[[int], object], count: int) -> int:
    """Bytes that Python allocates for it, in a process of its own."""
    tracemalloc.start()
    made = make(count)
    found = tracemalloc.get_traced_memory()[0]
    del made
    return found


def slope(make: Callable[[int], object], small: int, large: int) -> float:
    """Bytes that one more costs."""
    with mp.Pool(1, maxtasksperchild=1) as pool:
        few, many = pool.apply(traced, (make, small)), pool.apply(traced, (make, large))
    return float(many - few) / (large - small)


def register_of(count: int) -> Register:
    registry.MOST = max(registry.MOST, count + 1)
    made = Register(1.5)
    for n in range(count):
        made.take(
            0.0, Row(f"i-{n:08x}", f"s{n % 20}", f"10.0.{n % 250}.1", n % 60000 + 1, "z", "v1", 4, 0, 0.0, 1)
        )
    return made


def limiter_of(count: int) -> RateLimiter:
    made = RateLimiter(Rule(5.0, 0.1, 20.0), "alone")
    made.holding.own_all()
    made.step(0.0)
    for name in names(count):
        made.request(0.1, name, 100.0, 100.0)
    return made


def configuration_of(routes: int, tenants: int) -> Configuration:
    made = survey(configuration(routes, tenants), Configuration())
    assert isinstance(made, Configuration)
    return made


def with_routes(count: int) -> Configuration:
    return configuration_of(count, 1)


def with_tenants(count: int) -> Configuration:
    return configuration_of(1, count)


def change_ms(routes: int, rounds: int) -> dict[str, float]:
    """A change by name, the snapshot, and news, where there are so many routes."""
    history = ChangeHistory()
    assert history.deliver(pack(Change(0, True, json.dumps(configuration(routes, 100)).encode())))
    begun = time.process_time()
    for n in range(rounds):
        route = {**configuration(1, 0)["Routes"]["r0"], "TimeoutMs": 1000 + n}
        body = json.dumps({"Ver": n + 2, "Upsert": {"Routes": {"r7": route}}}).encode()
        change = Change(n + 1, False, body)
        assert history.consider(change) is None and history.deliver(pack(change))
    by_name = (time.process_time() - begun) / rounds
    begun = time.process_time()
    image = history.image()
    imaged = time.process_time() - begun
    news = history.since(rounds)
    size = len(framed(Told(1, news)))
    return {
        "change_ms": by_name * 1e3,
        "image_ms": imaged * 1e3,
        "image_bytes": len(image),
        "news_bytes": size,
    }


def shares_of(gateways: int, rounds: int) -> dict[str, float]:
    """The table of shares in a fleet of so many: its bytes, the leader's look at it, its reading."""
    table = even_table([f"10.{n // 250}.{n % 250}.1" for n in range(gateways)])
    planner = SharePlanner(table, 0.0)
    for owner in set(table.owners):
        planner.claim(1.0, owner, table.version)
    begun = time.process_time()
    for _ in range(rounds):
        assert planner.next_change(1.0) is None
    looked = time.process_time() - begun
    image = table.image()
    begun = time.process_time()
    for _ in range(rounds):
        holding = Holding("10.0.7.1")
        assert holding.take(1.0, 1.0, ShareTable.restored(image))
    read = time.process_time() - begun
    return {
        "gateways": gateways,
        "table_bytes": len(image),
        "look_ms": round(1e3 * looked / rounds, 2),
        "read_ms": round(1e3 * read / rounds, 2),
    }


def tokens_us(rounds: int) -> dict[str, float]:
    """A request with a token here, one by a token of another owner (ask, grant and decision at both), one that is
    refused with nobody to ask; and an ask and its grant as datagrams."""
    owner, other = RateLimiter(Rule(5.0, 0.1, 20.0), "a"), RateLimiter(Rule(5.0, 0.1, 20.0), "b")
    for limiter in (owner, other):
        limiter.holding.take(0.0, 0.0, even_table(["a"]))
        limiter.usage.hear(1e9, "a", {})
    rate = 1e6
    costs: dict[str, float] = {}
    now = 1e6
    for name in ("own", "granted"):
        begun = time.process_time()
        for n in range(rounds):
            now += 1e-3
            if name == "own":
                owner.request(now, "t", rate, rate)
                continue
            other.request(now, "t", rate, rate, n, 0.1)
            for ask in other.take_actions():
                if isinstance(ask, AskTokens):
                    owner.asked(now, "b", ask.number, "t", rate, rate, ask.count)
            for grant in owner.take_actions():
                if isinstance(grant, GrantTokens):
                    other.granted(now, "a", grant.number, "t", grant.count, grant.wait)
            other.take_actions()
        costs[f"{name}_us"] = round(1e6 * (time.process_time() - begun) / rounds, 1)
    return costs


def slopes(quick: bool) -> dict[str, float]:
    small, large = (500, 5000) if quick else (1000, 20000)
    few, many = change_ms(small, 3), change_ms(large, 3)
    per = large - small
    return {
        "bytes_a_host": round(slope(register_of, 10, large)),
        "bytes_a_tenant_metered": round(slope(limiter_of, 10, large)),
        "bytes_a_route": round(slope(with_routes, 10, large)),
        "bytes_a_tenant_configured": round(slope(with_tenants, 10, large)),
        "change_us_a_route": round(1e3 * (many["change_ms"] - few["change_ms"]) / per, 3),
        "image_us_a_route": round(1e3 * (many["image_ms"] - few["image_ms"]) / per, 3),
        "image_bytes_a_route": round((many["image_bytes"] - few["image_bytes"]) / per, 1),
        "news_bytes_a_change": round(many["news_bytes"], 1),
    }


def main() -> int:
    asked = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    asked.add_argument("--quick", action="store_true", help="two sizes, two seconds each")
    quick = asked.parse_args().quick
    found = []
    for count in (100, 300) if quick else SIZES:
        row = asyncio.run(heard(count, 2.0 if quick else 6.0))
        found.append(row)
        print(row, file=sys.stderr)
    shares = [
        shares_of(count, 20 if quick else 100) for count in ((96, 2300) if quick else (12, 96, 300, 2300))
    ]
    more = {"shares": shares, "tokens": tokens_us(2000 if quick else 20000)}
    result = {"fleets": found, **more, "to_beat_us_a_word": found[0]["us_a_word"], **slopes(quick)}
    print(json.dumps(result))
    return 0


if __name__ == "__main__":
    sys.exit(main())
