"""An even split of hosts: every member finds the same, hosts get their part, little moves, the ill are left."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coralvale import Gateway
from coralvale import interface as api
from coralvale.health import Host
from coralvale.lab.experiment import parse
from coralvale.lab.world.platform import Platform
from coralvale.members import aperture
from coralvale.members.aperture import Even, split
from coralvale.members.model import Member

SIZE = 8


def members(count: int, seed: int = 0) -> list[Member]:
    lots = random.Random(seed)
    return [Member(f"g{n}", ("h", 1), weight=lots.paretovariate(2.0) if seed else 1.0) for n in range(count)]


def hosts(count: int) -> list[tuple[str, float]]:
    return [(f"s{n}", 1.0) for n in range(count)]


def peak(chosen: dict[str, list[str]], of: list[Member], count: int) -> float:
    load: Counter[str] = Counter()
    for m in of:
        for name in chosen[m.name]:
            load[name] += m.weight / len(chosen[m.name])  # type: ignore[assignment]
    return max(load.values()) * count / sum(load.values())


def by_lot(of: list[Member], count: int) -> dict[str, list[str]]:
    return {m.name: random.Random(m.name).choices([n for n, _ in hosts(count)], k=SIZE) for m in of}


@pytest.mark.parametrize(("gateways", "count"), [(200, 200), (200, 60), (20, 60)])
@pytest.mark.parametrize("seed", [0, 3])
def test_hosts_get_their_part_far_more_evenly_than_by_lot(gateways: int, count: int, seed: int) -> None:
    of = members(gateways, seed)
    ours, lot = peak(split(of, hosts(count), SIZE), of, count), peak(by_lot(of, count), of, count)
    print(f"{gateways} x {count}, {'uneven' if seed else 'even'} traffic: peak {ours:.2f}, by lot {lot:.2f}")
    assert ours <= 1.13 or (seed and ours <= 0.75 * lot)


@pytest.mark.parametrize("seed", [0, 3])
def test_little_moves_when_one_comes_or_goes(seed: int) -> None:
    of = members(100, seed)
    now = split(of, hosts(80), SIZE)
    more = [*of, Member("new", ("h", 1))]
    for others, count in ((of, 81), (of, 79), (more, 80), (of[:-1], 80)):
        after = split(others, hosts(count), SIZE)
        moved = sum(len(set(after[m.name]) - set(now[m.name])) for m in of if m.name in after) / len(of)
        assert moved <= 1.0, (len(others), count)  # of eight, on average


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 30), st.floats(0.1, 9)), min_size=1, max_size=12, unique_by=lambda t: t[0]
    ),
    st.lists(
        st.tuples(st.integers(0, 30), st.floats(0.1, 9)), min_size=1, max_size=15, unique_by=lambda t: t[0]
    ),
    st.randoms(),
)
def test_every_member_finds_the_same_in_whatever_order_it_knows_the_others(
    weights: list[tuple[int, float]], capacities: list[tuple[int, float]], lots: random.Random
) -> None:
    of = [Member(f"g{n}", ("h", 1), weight=w) for n, w in weights]
    over = [(f"s{n}", c) for n, c in capacities]
    now = split(of, over, 4)
    for chosen in now.values():
        assert len(chosen) == len(set(chosen)) == min(4, len(over))
    lots.shuffle(of)
    lots.shuffle(over)
    scores: aperture.Scores = {}
    split(of[1:], [(name, 2.0 + part) for name, part in over], 4, scores)  # other capacities before
    assert split(of, over, 4, scores) == now


def test_capacity_counts() -> None:
    of, over = members(200), [(f"s{n}", 1.0 + 3.0 * (n % 2)) for n in range(40)]
    load = Counter(name for chosen in split(of, over, SIZE).values() for name in chosen)
    big, small = (sum(load[f"s{n}"] for n in range(start, 40, 2)) / 20 for start in (1, 0))
    assert big / small == pytest.approx(4.0, rel=0.15)


def warm(count: int) -> list[Host]:
    return [Host(api.Server(f"s{n}", api.ServerState.HEALTHY), 0.0) for n in range(count)]


def test_one_that_is_ill_is_left_until_it_is_well() -> None:
    view = members(10)
    near = Even(random.Random(1), "g3", lambda: view)
    fleet = warm(40)
    near.renew([], fleet, SIZE)
    mine = list(near.hosts)
    assert sorted(h.info.id for h in mine) == sorted(split(view, hosts(40), SIZE)["g3"])
    sick = mine[2]
    sick.retry_at = 100.0
    near.step(50.0, fleet, 0.1)
    assert sick not in near.hosts and len(near.hosts) == SIZE
    other = near.hosts[2]
    near.step(51.0, fleet, 0.1)
    assert near.hosts[2] is other
    near.step(101.0, fleet, 0.1)
    assert near.hosts == mine


def test_another_view_is_taken_within_a_step_and_without_one_the_choice_is_by_lot() -> None:
    view: list[Member] = []
    near = Even(random.Random(1), "g3", lambda: view)
    fleet = warm(40)
    near.renew([], fleet, SIZE)
    assert len(near.hosts) == SIZE and not near.mine
    view += members(10)
    near.step(1.0, fleet, 0.1)
    assert sorted(h.info.id for h in near.hosts) == sorted(split(view, hosts(40), SIZE)["g3"])
    chosen = near.chosen
    near.step(2.0, fleet, 0.1)
    assert near.chosen == chosen  # nothing has changed
    del view[7:]
    near.step(3.0, fleet, 0.1)
    assert sorted(h.info.id for h in near.hosts) == sorted(split(view, hosts(40), SIZE)["g3"])
    rest = [h for h in fleet if h is not near.mine[0]]
    near.renew(
        fleet, rest, SIZE
    )  # on the path of a request: what is left of the split stands until the next step
    assert near.chosen == chosen + 1 and len(near.hosts) == SIZE - 1
    near.step(4.0, rest, 0.1)
    assert near.chosen == chosen + 2 and len(near.hosts) == SIZE
    near.renew(fleet, fleet[:5], SIZE)
    near.step(5.0, fleet[:5], 0.1)
    assert near.hosts == fleet[:5]


def platform(seed: int, gateways: int, count: int, uneven: float, even: bool) -> dict[str, float]:
    """The laboratory's platform with the real decisions, the view given as it is."""
    said = {
        "name": "split", "seconds": 14.0,
        "classes": [{"name": "read", "work": 0.1}], "plans": [{"name": "all", "rate": 0}],
        "fleet": {"gateways": gateways, "hosts": count, "cores": 4},
        "load": {"customers": 400, "rate": 4.0 * count, "uneven": uneven}, "measure": {"warm_up": 4.0},
    }  # fmt: skip
    made = parse(said)

    def factory(world: Platform, driver: Any, told: api.Settings, number: int) -> Any:
        gateway = Gateway(told, number)
        if even:

            def view() -> list[Member]:
                pull = world.clients.pull
                return [Member(f"g{n}", ("h", 1), weight=pull[n]) for n in range(gateways)]

            gateway.subset = Even(random.Random(number), f"g{driver.number}", view)
        return gateway

    world = Platform(made, seed, "ours", factory)
    world.run()
    assert world.violations == []
    return world.left().figures


def test_the_decisions_load_hosts_more_evenly_by_the_view_than_by_lot() -> None:
    for seed in (1, 2):
        lot, even = (platform(seed, 40, 60, 0.5, way)["uneven"] for way in (False, True))
        print(f"seed {seed}: the busiest host over the mean {even:.2f}, by lot {lot:.2f}")
        assert even <= 0.9 * lot


if __name__ == "__main__":
    for uneven in (0.0, 0.6):
        for way in (False, True):
            told = platform(1, 200, 200, uneven, way)
            print(f"200 x 200, uneven {uneven}, {'by the view' if way else 'by lot'}: busiest over mean "
                  f"{told['uneven']:.2f}, hosts a gateway has sent to {told['hosts']:.1f}")  # fmt: skip
