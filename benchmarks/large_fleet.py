"""Measures what gateways spend on gossip between them, with the real code and without sockets.

    python benchmarks/large_fleet.py [--quick] [--gateways 96,200,300] [--zones 5]

All gateways of a fleet run in one process, which delivers their datagrams period by period. Each fleet runs
twice: with gossip messages to all (the baseline) and with zone reports. Processor time is what the gateways
spent on receiving datagrams and sending their own, in milliseconds per gateway and second. Ends with one JSON
line.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
import time
from collections import Counter, deque
from pathlib import Path
from typing import Any

from coralvale.cluster.configuration.model import Configuration
from coralvale.cluster.rate_limit.usage import PERIOD
from coralvale.cluster.registry.register import Row
from coralvale.cluster.reports import model
from coralvale.cluster.server.messages import GossipMessage, encode, pack_in_flight, pack_usage
from coralvale.cluster.server.node import GatewayNode
from coralvale.cluster.server.peers import GOSSIP, HEADER_BYTES, IN_FLIGHT
from coralvale.cluster.settings import parse
from coralvale.members.model import Member, State, Update
from coralvale.members.swim import Known
from coralvale.standins.cluster import settings

HOSTS, TENANTS = 276, 140
ACTIVE = 4  # tenants, and copies, that a gateway reports in a message
# Messages about attempts in flight per period, by whether zones report.
OUT_MESSAGES = {False: 4, True: 2}
STEPS = 8  # per period
PERIODS = 6


class Fleet:
    def __init__(self, gateways: int, zones: int, reports: bool) -> None:
        self.now, self.rng, self.zones, self.out_messages = (
            100.0,
            random.Random(1),
            zones,
            OUT_MESSAGES[reports],
        )
        self.cpu_seconds: Counter[str] = Counter()
        self.sent: Counter[str] = Counter()
        self.received: Counter[str] = Counter()
        self.cross_zone_bytes = 0
        self.waiting: deque[tuple[str, str, bytes]] = deque()
        self.ips = [f"10.0.{n // 250}.{n % 250 + 1}" for n in range(gateways)]
        self.zone = {ip: n % zones for n, ip in enumerate(self.ips)}
        self.all = {ip: self._make_gateway(n, reports) for n, ip in enumerate(self.ips)}
        self.carriers = self.ips[:zones]
        for one in self.all.values():
            for ip in self.carriers:
                one.gossip.carriers.record(self.now, ip, True)

    def _make_gateway(self, number: int, reports: bool) -> GatewayNode:
        text = settings(number, self.ips, 3, Path("/nowhere"), False)
        text = text.replace(f'Az: "zone-{number % 2}"', f'Az: "zone-{number % self.zones}"')
        names = ", ".join(f'zone-{n}: "home"' for n in range(self.zones))
        text = text.replace('zone-0: "home", zone-1: "home"', names)
        one = GatewayNode(parse(text), "")
        fake: Any = one
        fake.runtime.clock = self
        fake.gossip.reports.is_ready = lambda: True
        one.membership.start()
        for n, ip in enumerate(self.ips):
            if n != number:
                member = Member(f"gateway-{n}", (ip, 1), n % self.zones)
                one.membership.swim.known[member.name] = Known(Update(State.ALIVE, member, 1), self.now)
        one.membership.swim.others, one.membership.swim.there = None, len(self.ips)
        one.membership.is_large, one.gossip.batch_scheduled = True, True
        one.membership.uses_reports = reports
        one.changes.configuration = Configuration()
        one.changes.tenants = {n: f"tenant-{n}" for n in range(TENANTS)}
        for n in range(HOSTS):
            row = Row(f"i-{n:08x}", "a", "10.1.0.1", n, "zone-0", "v1", 2, 0, 0.0, 1)
            one.register.merge(self.now, row)
        fake.runtime.peers.udp = self._udp(self.ips[number])
        return one

    def monotonic(self) -> float:
        return self.now

    def _udp(self, ip: str) -> Any:  # noqa: ANN401
        fleet = self

        class Udp:
            def sendto(self, data: bytes, at: tuple[str, int]) -> None:
                size = len(data) + HEADER_BYTES
                fleet.sent[ip] += size
                fleet.received[at[0]] += size
                fleet.cross_zone_bytes += size * (fleet.zone[ip] != fleet.zone[at[0]])
                fleet.waiting.append((ip, at[0], data))

        return Udp()

    def timed(self, ip: str, work: Any, *arguments: Any) -> None:  # noqa: ANN401
        begun = time.process_time()
        work(*arguments)
        self.cpu_seconds[ip] += time.process_time() - begun  # type: ignore[assignment]

    def deliver(self) -> None:
        while True:
            while self.waiting:
                ip, at, data = self.waiting.popleft()
                self.timed(at, self.all[at].gossip.handle_datagram, ip, data)
            for ip, one in self.all.items():
                if one.gossip.batch.near:
                    self.timed(ip, one.gossip.send_batch)
                    one.gossip.batch_scheduled = True
            if not self.waiting:
                return

    def period(self) -> None:
        """Sends and delivers one gossip message and some in-flight messages of each gateway in a period."""
        order = self.rng.sample(self.ips, len(self.ips))
        beats = self.rng.sample(range(HOSTS), int(HOSTS * PERIOD / 1.5))
        for step in range(STEPS):
            self.now += PERIOD / STEPS
            for ip in order[step::STEPS]:
                self.timed(ip, self.send_gossip, ip, beats)
            every = STEPS // self.out_messages
            for ip in order[step % every :: every]:
                self.timed(
                    ip, self.all[ip].gossip.send_to_all, IN_FLIGHT, pack_in_flight(self.in_flight_rows())
                )
            for ip, one in self.all.items():
                self.timed(ip, one.gossip.reports.step, self.now)
            self.deliver()

    def in_flight_rows(self) -> list[tuple[int, int]]:
        marks = list(self.all[self.ips[0]].instances.by_hash) or [1]
        return [(self.rng.choice(marks), 1) for _ in range(ACTIVE)]

    def send_gossip(self, ip: str, beats: list[int]) -> None:
        one, number = self.all[ip], self.ips.index(ip)
        use = {f"tenant-{self.rng.randrange(TENANTS)}": (self.rng.randrange(1, 9), 1) for _ in range(ACTIVE)}
        mine = [(f"i-{n:08x}", int(self.now * 1000)) for n in beats[number :: len(self.ips)]]
        one.gossip.reports.note_beats(mine)
        out = None if one.membership.uses_reports else pack_in_flight(self.in_flight_rows())
        carries = ip in self.carriers
        word = GossipMessage(
            1, one.register.digest, 1, self.ips[0], (), pack_usage(use), False, mine, b"", out, carries
        )
        one.gossip.send_to_all(GOSSIP, encode(word))


def measured(gateways: int, zones: int, reports: bool, periods: int) -> dict[str, float]:
    if reports:
        model.REPORTS_FROM, model.REPORTS_BELOW = 1, 1
    else:
        model.REPORTS_FROM = model.REPORTS_BELOW = 1 << 30
    fleet = Fleet(gateways, zones, reports)
    for _ in range(2):
        fleet.period()
    for counter in (fleet.cpu_seconds, fleet.sent, fleet.received):
        counter.clear()
    fleet.cross_zone_bytes = 0
    for _ in range(periods):
        fleet.period()
    seconds = periods * PERIOD
    plain = [ip for ip in fleet.ips if ip not in fleet.carriers]

    def mean(of: Counter[str], ips: list[str]) -> float:
        return sum(of[ip] for ip in ips) / len(ips) / seconds

    return {
        "plain, ms": round(1000 * mean(fleet.cpu_seconds, plain), 2),
        "carrier, ms": round(1000 * mean(fleet.cpu_seconds, fleet.carriers), 2),
        "plain gets, kB": round(mean(fleet.received, plain) / 1000, 1),
        "plain sends, kB": round(mean(fleet.sent, plain) / 1000, 1),
        "carrier sends, kB": round(mean(fleet.sent, fleet.carriers) / 1000, 1),
        "between zones, kB": round(fleet.cross_zone_bytes / seconds / 1000, 1),
    }


async def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--gateways", default="96,200,300")
    parser.add_argument("--zones", type=int, default=5)
    options = parser.parse_args()
    periods = 2 if options.quick else PERIODS
    results: dict[str, Any] = {}
    for gateways in map(int, options.gateways.split(",")):
        for reports in (False, True):
            name = f"{gateways} gateways, {'reports of zones' if reports else 'words to all'}"
            results[name] = measured(gateways, options.zones, reports, periods)
            print(name, results[name])
    print(json.dumps(results))
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
