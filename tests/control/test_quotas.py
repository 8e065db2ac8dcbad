"""Quotas for proxies: shares follow use, and a ceiling holds whatever is reported, lost or restarted."""

from __future__ import annotations

import math
import random
from dataclasses import replace

import pytest
from helpers import SETTINGS
from hypothesis import example, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from coralvale import interface as api
from coralvale.allowance.leases import Leases
from coralvale.control.quotas import Abandon, Assign, Meter, Quotas, Report, token_bucket

SOFT = api.Plan("basico", rate=20.0, burst=40.0)
HARD = api.Plan("federal", rate=40.0, burst=80.0, ceiling_rate=50.0, ceiling_burst=60.0, ceiling_slack=5.0)
FREE = api.Plan("libre", rate=0.0, burst=0.0)
PLANS = replace(SETTINGS, plans=(SOFT, HARD, FREE))
BUCKET = (("plan", "x"), ("station", "y"))
TTL, MARGIN = 6.0, 1.0
BORN = 1000.0
OPEN = BORN + TTL + MARGIN + 0.01  # when what an earlier life gave away has ended


def quotas(born: float = BORN, most: int = 100) -> Quotas:
    return Quotas(PLANS, born, TTL, MARGIN, forget=30.0, most=most)


def report(plan: int = 0, elapsed: float = 1.0, allowed: float = 0.0, denied: float = 0.0) -> Report:
    return Report(BUCKET, "y", plan, elapsed, allowed, denied)


class Proxy:
    """A proxy's side of a bucket, as the RLQS filter keeps it: an equal strategy keeps the tokens it has."""

    def __init__(self) -> None:
        self.strategy: tuple[float | None, int] | None = None
        self.tokens, self.at, self.until = 0.0, 0.0, -math.inf
        self.allowed = self.denied = 0

    def take(self, now: float, action: Assign | Abandon) -> None:
        if isinstance(action, Abandon):
            self.strategy, self.until = None, -math.inf
            return
        self.fill(now)
        if self.strategy != (action.rate, action.burst) or now >= self.until:
            self.strategy, self.tokens = (action.rate, action.burst), float(action.burst)
        self.until = now + action.ttl

    def fill(self, now: float) -> None:
        rate, burst = self.strategy or (0.0, 0)
        self.tokens = min(burst, self.tokens + (rate or 0.0) * max(0.0, now - self.at))
        self.at = now

    def ask(self, now: float) -> bool:
        self.fill(now)
        if now < self.until and self.tokens >= 1:
            self.tokens -= 1
            self.allowed += 1
            return True
        self.denied += 1
        return False


def play(
    seconds: float, loads: list[float], plan: int, begin: float = OPEN, machine: Quotas | None = None
) -> tuple[list[int], Quotas]:
    """Proxies that are asked `loads` times a second and report every second; admissions of the last half."""
    machine, proxies = machine or quotas(), [Proxy() for _ in loads]
    late, steps = [0] * len(loads), int(seconds * 100)
    for step in range(steps):
        now = begin + step / 100
        for number, (proxy, load) in enumerate(zip(proxies, loads, strict=True)):
            if step % 100 == number:
                told = report(plan, 1.0 if step >= 100 else 0.0, proxy.allowed, proxy.denied)
                proxy.allowed = proxy.denied = 0
                for action in machine.report(now, number, told):
                    proxy.take(now, action)
            for _ in range(int((step + 1) * load / 100) - int(step * load / 100)):
                late[number] += proxy.ask(now) and step >= steps // 2
        for number, action in machine.tick(now):
            proxies[number].take(now, action)
    return late, machine


def test_shares_of_a_quota_follow_use_and_an_idle_proxys_part_is_used() -> None:
    (alone,), _ = play(20, [60.0], plan=0)
    assert alone / 10 == pytest.approx(SOFT.rate, rel=0.05)
    uneven, _ = play(40, [60.0, 2.0, 2.0, 2.0], plan=0)
    total = sum(uneven) / 20
    assert 0.9 * SOFT.rate <= total <= 1.35 * SOFT.rate and uneven[0] / 20 > 2 * SOFT.rate / 4
    assert all(quiet / 20 > 1.8 for quiet in uneven[1:])  # under the floor nobody is refused


def test_a_ceilings_parts_move_to_where_they_are_asked_for() -> None:
    uneven, machine = play(40, [90.0, 1.0], plan=1)
    assert sum(uneven) / 20 <= HARD.ceiling_rate
    assert uneven[0] / 20 > 0.75 * HARD.rate and uneven[1] / 20 > 0.9
    (station,) = machine.stations.values()
    assert station.rate() <= HARD.ceiling_rate


def test_what_a_vanished_proxy_holds_is_not_given_to_another() -> None:
    """It holds half of a ceiling and is heard no more; another asks for all."""
    machine = quotas()
    for number in (1, 2):
        machine.report(OPEN, number, report(1, 0.0))
    for second in range(1, 6):
        for number in (1, 2):
            machine.report(OPEN + second, number, report(1, 1.0, 20, 60))
        machine.tick(OPEN + second)
    (station,) = machine.stations.values()
    held = station.live[1][-1].rate
    assert held > 0.3 * HARD.ceiling_rate
    machine.closed(1)
    gone = OPEN + 5
    for step in range(1, 100):
        now = gone + step / 10
        given = machine.report(now, 2, report(1, 0.1, 5, 50)) + [a for _, a in machine.tick(now)]
        for action in given:
            assert isinstance(action, Assign) and action.rate is not None
            if now < gone + TTL:
                assert action.rate <= HARD.ceiling_rate - held + 1e-9
    assert station.rate() > 0.9 * HARD.rate  # its time is over: the rest is free again


def test_a_restart_gives_nothing_of_a_ceiling_until_all_that_was_given_has_ended() -> None:
    machine = quotas()
    for step in range(int((TTL + MARGIN) * 10)):
        for action in machine.report(BORN + step / 10, 1, report(1, 0.1, 0, 50)):
            assert isinstance(action, Assign) and not action.rate
    (soft,) = machine.report(BORN, 2, report(0))
    assert isinstance(soft, Assign) and soft.rate == SOFT.rate  # soft quotas begin at their floor at once
    given = [a for step in range(40) for a in machine.report(OPEN + step, 1, report(1, 1.0, 0, 50))]
    assert any(isinstance(a, Assign) and a.rate and a.rate > 30 for a in given)


@pytest.mark.parametrize(
    ("elapsed", "allowed"),
    [
        (-1.0, 5.0),
        (math.nan, 5.0),
        (math.inf, 1.0),
        (1.0, -5.0),
        (1.0, math.nan),
        (1.0, 2.0**64),
        (0.0, 2.0**64),
    ],
)
def test_a_report_that_cannot_be_harms_nobody(elapsed: float, allowed: float) -> None:
    machine = quotas()
    machine.report(BORN, 1, report())
    machine.report(BORN, 2, report())
    for second in range(1, 8):
        machine.report(BORN + second, 1, report(0, elapsed, allowed))
        given = machine.report(BORN + second, 2, report(0, 1.0, 8, 0))
        machine.tick(BORN + second)
        for action in given:  # the other keeps its floor, whatever this one says
            assert isinstance(action, Assign) and action.rate is not None
            assert action.rate >= SOFT.rate / 2 - 1e-9
    assert machine.distrusted or elapsed == 0


def test_buckets_are_bounded_and_forgotten() -> None:
    machine = quotas(most=2)
    machine.report(BORN, 1, report())
    machine.report(BORN, 2, report())
    with pytest.raises(OverflowError):
        machine.report(BORN, 3, report())
    assert machine.report(BORN, 3, report(plan=-1)) == [Abandon(BUCKET)]
    machine.report(BORN + 29, 2, report())
    assert (1, Abandon(BUCKET)) in machine.tick(BORN + 31)
    assert machine.buckets == 1
    machine.closed(2)
    machine.tick(BORN + 33)
    assert machine.buckets == 0 and not machine.stations
    (free,) = machine.report(BORN, 3, report(plan=2))
    assert isinstance(free, Assign) and free.rate is None


@given(rate=st.floats(1e-3, 1e6), burst=st.integers(1, 10**6))
def test_a_token_bucket_gives_the_rate_in_whole_tokens(rate: float, burst: int) -> None:
    most, tokens, interval = token_bucket(Assign(BUCKET, rate, burst, TTL))
    assert 1 <= tokens <= most == burst and tokens / interval == pytest.approx(rate)


def test_a_meter_bounds_reports() -> None:
    meter = Meter(10.0)
    assert sum(meter.take(0.0) for _ in range(50)) == 10
    assert sum(meter.take(0.5) for _ in range(50)) == 5


@hypothesis_settings(max_examples=60, deadline=None)
@given(seed=st.integers(0, 2**32), proxies=st.integers(1, 6))
@example(seed=7, proxies=2)
def test_no_schedule_passes_the_ceiling(seed: int, proxies: int) -> None:
    """Random loads, reports true and false, lost and late assignments, vanished proxies, restarts.

    In every window of t seconds what proxies let in is at most burst + rate x t + slack, and the live
    assignments of one service never add up to more than the ceiling.
    """
    lots = random.Random(seed)
    machine, held = quotas(), [Proxy() for _ in range(proxies)]
    loads = [lots.choice([0.0, 5.0, 50.0, 200.0]) for _ in held]
    streams, serial = list(range(proxies)), proxies
    late: list[tuple[float, int, Assign | Abandon]] = []
    admitted: list[float] = []
    for step in range(1500):
        now = BORN + step / 20
        if lots.random() < 0.002:  # the service is killed and starts again, knowing nothing
            machine = quotas(born=now)
            streams, serial = [serial + n for n in range(proxies)], serial + proxies
        for number, proxy in enumerate(held):
            for _ in range(int(loads[number] / 20 + lots.random())):
                if proxy.ask(now):
                    admitted.append(now)
            if lots.random() < 0.003:  # its stream breaks; what it holds it goes on using
                machine.closed(streams[number])
                streams[number], serial = serial, serial + 1
            if lots.random() < 0.05:
                told = lots.choice([proxy.allowed, 0, 10**9, proxy.denied])
                given = machine.report(
                    now, streams[number], report(1, lots.choice([1.0, 0.0, -3.0]), told, told)
                )
                late += [(now + lots.random() * MARGIN * 0.9, streams[number], a) for a in given]
                proxy.allowed = proxy.denied = 0
            if lots.random() < 0.005:
                loads[number] = lots.choice([0.0, 5.0, 50.0, 200.0])
        late += [(now + lots.random() * MARGIN * 0.9, stream, action) for stream, action in machine.tick(now)]
        late.sort(key=lambda entry: entry[0])
        while late and late[0][0] <= now:
            _, stream, action = late.pop(0)
            if stream in streams and lots.random() < 0.95:
                held[streams.index(stream)].take(now, action)
        for station in machine.stations.values():
            assert station.rate() <= HARD.ceiling_rate + 1e-6, f"seed {seed}"
    for first in range(0, len(admitted), 7):
        for window in (0.5, 2.0, 10.0, 40.0):
            count = sum(1 for at in admitted[first:] if at < admitted[first] + window)
            most = HARD.ceiling_burst + HARD.ceiling_rate * window + HARD.ceiling_slack
            assert count <= most + 1, f"seed {seed}: {count} in {window} s, at most {most}"


class Shared:
    """The counter that services share: it forgets, forks, heals, is silent, and answers late."""

    def __init__(self, lots: random.Random) -> None:
        self.lots, self.halves, self.side = lots, [dict[str, float]()], dict[int, int]()
        self.silent = False

    def fault(self, services: int) -> None:
        kind = self.lots.choice(["swap", "loss", "fork", "heal", "silent", "well"])
        if kind == "swap":
            self.halves = [{} for _ in self.halves]
        elif kind == "loss":
            self.halves = [{n: v for n, v in h.items() if self.lots.random() < 0.3} for h in self.halves]
        elif kind == "fork":
            self.halves = [self.halves[0], dict(self.halves[0])]
            self.side = {n: self.lots.randrange(2) for n in range(services)}
        elif kind == "heal":
            self.halves = [self.lots.choice(self.halves)]
        else:
            self.silent = kind == "silent"

    def add(self, who: int, name: str, amount: float) -> float | None:
        half = self.halves[self.side.get(who, 0) % len(self.halves)]
        half[name] = half.get(name, 0.0) + amount
        return None if self.silent or self.lots.random() < 0.02 else half[name]


def several(
    seed: int, seconds: float, services: int, faults: float, loads: list[float] | None = None
) -> tuple[list[float], int]:
    """Several services, two proxies each, one ceiling. Returns the moments of admissions, and calls made.

    Asserts at every step that what is live at all services together is within the ceiling.
    """
    lots = random.Random(seed)
    counter, calls = Shared(lots), 0

    def fresh(place: int, now: float) -> Quotas:
        leases = Leases(services, place, now, now + TTL + MARGIN)
        return Quotas(PLANS, now, TTL, MARGIN, forget=30.0, most=100, leases=leases)

    machines = [fresh(place, BORN) for place in range(services)]
    proxies = [[Proxy(), Proxy()] for _ in machines]
    rates = loads or [lots.choice([0.0, 5.0, 50.0, 200.0]) for _ in machines]
    gone: list[Quotas] = []  # what a killed service gave is alive all the same
    late: list[tuple[float, Proxy, Assign | Abandon]] = []
    admitted: list[float] = []
    for step in range(int(seconds * 20)):
        now = BORN + step / 20
        if faults and lots.random() < 0.01 * faults:
            counter.fault(services)
        if faults and lots.random() < 0.002 * faults:
            place = lots.randrange(services)
            gone.append(machines[place])
            machines[place] = fresh(place, now)
        if faults and lots.random() < 0.005:
            rates[lots.randrange(services)] = lots.choice([0.0, 5.0, 50.0, 200.0])
        for place, machine in enumerate(machines):
            assert machine.leases
            for number, proxy in enumerate(proxies[place]):
                for _ in range(int(rates[place] / 40 + lots.random())):
                    if proxy.ask(now):
                        admitted.append(now)
                if step % 20 == number:
                    told = report(1, 1.0, proxy.allowed, proxy.denied)
                    late += [(now + 0.05, proxy, a) for a in machine.report(now, number, told)]
                    proxy.allowed = proxy.denied = 0
            late += [(now + 0.05, proxies[place][stream], a) for stream, a in machine.tick(now)]
            queue = machine.leases.due(now) if step % 2 == 0 else []
            while queue:
                name, call = queue.pop()
                assert len(name) <= 64
                calls += 1
                queue += machine.leases.reply(now, name, counter.add(place, name, call.amount))
        while late and late[0][0] <= now:
            _, proxy, action = late.pop(0)
            proxy.take(now, action)
        live = sum(s.promised(now) for machine in machines + gone for s in machine.stations.values())
        assert live <= HARD.ceiling_rate + 1e-6, f"seed {seed}: {live} are live {now - BORN:.2f} s in"
    return admitted, calls


@hypothesis_settings(max_examples=40, deadline=None)
@given(seed=st.integers(0, 2**32), services=st.integers(2, 4))
def test_no_schedule_passes_a_ceiling_that_several_services_share(seed: int, services: int) -> None:
    """Whatever becomes of the counter between them, of services and of loads."""
    admitted, _ = several(seed, 90.0, services, faults=1.0)
    level, last, most = 0.0, 0.0, HARD.ceiling_burst + HARD.ceiling_slack
    for at in admitted:
        level = min(most, level + HARD.ceiling_rate * (at - last)) - 1.0
        last = at
        assert level >= -1e-6, f"seed {seed}: passed {at - BORN:.2f} s in by {-level}"


def test_a_ceilings_part_moves_to_the_service_whose_proxies_ask_for_it() -> None:
    admitted, calls = several(3, 100.0, 3, 0.0, [200.0, 2.0, 2.0])
    late = sum(at >= BORN + 36 for at in admitted) / 64 / HARD.ceiling_rate
    even = 1 / 3 + 2 * 2.0 / HARD.ceiling_rate
    assert late > even + 0.2, late
    assert calls < 100 * 1.5
    with pytest.raises(ValueError, match="service 3 of 3"):
        Leases(3, 3, BORN, BORN)
