"""How memory and time of a gateway and the leader grow, by the real code at two sizes, without sockets.

    python benchmarks/capacity.py [--quick]

Covers a tenant, a host, a route, a change by name, and an update for a gateway; the share table by the number
of gateways; a request with a local token and with a granted one. The baselines are in the same run: the
smaller size, and the local token. Ends with one JSON line. The bench measures how a whole fleet grows
(docs/CAPACITY.md).
"""

from __future__ import annotations

import argparse
import json
import multiprocessing as mp
import sys
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from coralvale.cluster.configuration.history import Change, ChangeHistory, pack
from coralvale.cluster.configuration.model import Configuration, parse_configuration
from coralvale.cluster.rate_limit.actions import AskTokens, GrantTokens
from coralvale.cluster.rate_limit.holding import Holding
from coralvale.cluster.rate_limit.limiter import RateLimiter
from coralvale.cluster.rate_limit.quota import Rule
from coralvale.cluster.rate_limit.share_planner import SharePlanner
from coralvale.cluster.rate_limit.shares import ShareTable, even_table
from coralvale.cluster.registry import register as registry
from coralvale.cluster.registry.register import Register, Row
from coralvale.cluster.server.messages import UpdateReply, frame


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


def traced(make: Callable[[int], object], count: int) -> int:
    """Bytes that Python allocates for `count` items; runs in a process of its own."""
    tracemalloc.start()
    made = make(count)
    found = tracemalloc.get_traced_memory()[0]
    del made
    return found


def slope(make: Callable[[int], object], small: int, large: int) -> float:
    """Bytes per additional item."""
    with mp.Pool(1, maxtasksperchild=1) as pool:
        few, many = pool.apply(traced, (make, small)), pool.apply(traced, (make, large))
    return float(many - few) / (large - small)


def register_of(count: int) -> Register:
    registry.MAX_ENTRIES = max(registry.MAX_ENTRIES, count + 1)
    made = Register(1.5)
    for n in range(count):
        made.merge(
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
    made = parse_configuration(configuration(routes, tenants), Configuration())
    assert isinstance(made, Configuration)
    return made


def with_routes(count: int) -> Configuration:
    return configuration_of(count, 1)


def with_tenants(count: int) -> Configuration:
    return configuration_of(1, count)


def change_ms(routes: int, rounds: int) -> dict[str, float]:
    """Cost of a change by name, of the snapshot, and of an update, with so many routes."""
    history = ChangeHistory()
    assert history.deliver(pack(Change(0, True, json.dumps(configuration(routes, 100)).encode())))
    begun = time.process_time()
    for n in range(rounds):
        route = {**configuration(1, 0)["Routes"]["r0"], "TimeoutMs": 1000 + n}
        body = json.dumps({"Ver": n + 2, "Upsert": {"Routes": {"r7": route}}}).encode()
        change = Change(n + 1, False, body)
        assert history.validate(change) is None and history.deliver(pack(change))
    by_name = (time.process_time() - begun) / rounds
    begun = time.process_time()
    image = history.image()
    imaged = time.process_time() - begun
    news = history.update_since(rounds)
    size = len(frame(UpdateReply(1, news)))
    return {
        "change_ms": by_name * 1e3,
        "image_ms": imaged * 1e3,
        "image_bytes": len(image),
        "news_bytes": size,
    }


def shares_of(gateways: int, rounds: int) -> dict[str, float]:
    """The share table of a fleet of so many gateways: its size, and the time to plan and to read it."""
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
        assert holding.apply_answer(1.0, 1.0, ShareTable.restored(image))
    read = time.process_time() - begun
    return {
        "gateways": gateways,
        "table_bytes": len(image),
        "look_ms": round(1e3 * looked / rounds, 2),
        "read_ms": round(1e3 * read / rounds, 2),
    }


def tokens_us(rounds: int) -> dict[str, float]:
    """Microseconds per request with a local token, and with another owner's token (ask, grant, decision)."""
    owner, other = RateLimiter(Rule(5.0, 0.1, 20.0), "a"), RateLimiter(Rule(5.0, 0.1, 20.0), "b")
    for limiter in (owner, other):
        limiter.holding.apply_answer(0.0, 0.0, even_table(["a"]))
        limiter.usage.record_peer(1e9, "a", {})
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
                    owner.handle_ask(now, "b", ask.number, "t", rate, rate, ask.count)
            for grant in owner.take_actions():
                if isinstance(grant, GrantTokens):
                    other.handle_grant(now, "a", grant.number, "t", grant.count, grant.retry_after)
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
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--quick", action="store_true", help="smaller sizes, fewer rounds")
    quick = parser.parse_args().quick
    shares = [
        shares_of(count, 20 if quick else 100) for count in ((96, 2300) if quick else (12, 96, 300, 2300))
    ]
    more = {"shares": shares, "tokens": tokens_us(2000 if quick else 20000)}
    result = {**more, "to_beat_own_us": more["tokens"]["own_us"], **slopes(quick)}
    print(json.dumps(result))
    return 0


if __name__ == "__main__":
    sys.exit(main())
