"""Pools of all stations at one gateway: names, limits, call budget, changed plans, logs, gateway logic."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import SETTINGS as BASE
from hypothesis import given
from hypothesis import strategies as st

from coralvale import interface as api
from coralvale.allowance.model import Ceiling, Kind, Name
from coralvale.allowance.shares import MAX_POOLS, Shares, counter_name
from coralvale.logic import Gateway

PLANS = (
    api.Plan("federal", 6.0, 9.0, ceiling_rate=12.0, ceiling_burst=18.0),
    api.Plan("team", 6.0, 9.0),
    api.Plan("large", 6.0, 9.0, ceiling_rate=24.0, ceiling_burst=36.0),
    api.Plan("small", 1.0, 2.0),
)
SETTINGS = replace(BASE, gateways=3, plans=PLANS, may_count=True, me=1, most_units=1.0)
AT = 1000.0


def request(n: int = 1, customer: int = 7, plan: int = 0, entries: int = 3, first: int = 0) -> api.Request:
    return api.Request(f"r{n}", 0, plan, customer, entries, AT + 1e6, first=first)


def shares(**changes: float) -> Shares:
    return Shares(SETTINGS, AT - 100.0, **changes)  # type: ignore[arg-type]


def ask(held: Shares, now: float, times: int, **asked: int) -> None:
    """Makes requests and charges each that has room."""
    for _ in range(times):
        if wait(held, now, **asked) == 0:
            held.charge(request(**asked), PLANS[request(**asked).plan])


def wait(held: Shares, now: float = AT, quota: bool = False, **asked: int) -> float | None:
    told = request(**asked)
    return held.wait(now, told, PLANS[told.plan], quota)


names = st.builds(
    Name,
    st.sampled_from(Kind),
    st.integers(0, 2**34 - 1),
    st.integers(0, 2**16 - 1),
    st.integers(0, 14),
    st.integers(0, 14),
)


@given(names, names, st.integers(1, 4), st.integers(1, 4))
def test_different_names_get_different_numbers_on_the_counter(a: Name, b: Name, one: int, two: int) -> None:
    assert (counter_name(a, one) == counter_name(b, two)) == ((a, one) == (b, two))
    # Disjoint from the names of counted windows, which are a customer's number and 24 bits.
    assert 2**62 <= counter_name(a, one) < 2**63 and counter_name(a, one) > (2**33 << 24)


def test_a_station_has_a_part_only_at_gateways_of_its_set() -> None:
    held = shares()
    let_in = 0
    while wait(held, n=let_in) == 0:
        held.charge(request(let_in), PLANS[0])
        let_in += 1
    assert let_in == 6  # a third of the burst
    assert wait(held, first=2, entries=2) == 3  # gateways 2 and 0: this one is 1
    assert [a.text for a in held.due(AT) if isinstance(a, api.Log)] == [
        "station 7: this gateway is not in the set that its request names"
    ]
    assert wait(held, first=2, entries=2) == 3 and not any(isinstance(a, api.Log) for a in held.due(AT))


def test_unshared_quotas_are_left_to_the_gateway_logic() -> None:
    held = shares()
    assert wait(held, plan=1) is None  # no ceiling
    assert wait(held, plan=1, quota=True) is None  # quotas are off
    held = shares(quotas=True)
    assert wait(held, plan=1, quota=True) == 0
    assert wait(held, plan=3, quota=True) is None  # a third of its burst is less than a request


def test_a_changed_plan_or_set_gives_no_additional_tokens() -> None:
    held = shares()
    for n in range(6):
        assert wait(held, n=n) == 0
        held.charge(request(n), PLANS[0])
    assert wait(held, plan=2)  # a larger ceiling fills faster, and from where it is
    assert held.pools[14].ceiling == Ceiling(24.0, 36.0)
    assert wait(held) and held.pools[14].ceiling == Ceiling(12.0, 18.0)
    assert wait(held, entries=2) and held.pools[14].owns_from > AT  # as after a restart
    assert wait(held, now=AT + 7, entries=2) == 0


def test_the_number_of_pools_is_limited_and_eviction_gives_no_additional_tokens() -> None:
    held = shares(max_pools=2)
    for customer in (1, 2):
        assert wait(held, customer=customer) == 0
        held.charge(request(customer=customer), PLANS[0])
    assert wait(held, customer=3) == 3  # full: refused for that long
    assert wait(held, now=AT + 29, customer=3)
    assert wait(held, now=AT + 31, customer=3) == 0 and set(held.pools) == {4, 6}
    logs = [a.text for a in held.due(AT + 31) if isinstance(a, api.Log)]
    assert logs == ["2 pools are kept, at most 2: further stations get no part"]
    assert MAX_POOLS >= 10_000


def test_calls_stay_within_the_budget_and_reads_are_skipped_first() -> None:
    held = shares(calls=2.0)
    made = []
    for step in range(600):
        now = AT + step * 0.1
        for action in held.due(now):
            if isinstance(action, api.Count):
                made.append(action)
                held.reply(now, api.CounterReply(action.name, True, action.amount))
        for customer in range(20):
            ask(held, now, 3, customer=customer)
    assert 100 < len(made) <= 2 * 60 + 8 and held.skipped_calls > 0, (len(made), held.skipped_calls)
    assert all(a.patient and a.lifetime < 60 for a in made)
    asks = [a for a in made if a.amount]
    assert len(asks) > len(made) / 2


def test_a_counter_state_is_logged_when_the_first_pool_enters_and_the_last_leaves_it() -> None:
    held, lines, now = shares(), list[str](), AT
    fails = True
    for step in range(200):
        now = AT + step * 0.1
        fails = step < 100
        for customer in (1, 2, 3):
            ask(held, now, 3, customer=customer)
        for action in held.due(now):
            if isinstance(action, api.Log):
                lines.append(action.text)
            elif isinstance(action, api.Count):
                held.reply(now, api.CounterReply(action.name, not fails, action.amount, maybe_added=fails))
    assert [line.split(":")[0] for line in lines] == ["counter silent", "counter no longer silent"], lines
    assert not held.in_flight and not held.reply(now, api.CounterReply(5, True, 1.0))


def test_an_invalid_window_length_is_reported() -> None:
    with pytest.raises(ValueError, match="windows of 5 s, expected one of 1, 2, 3, 4"):
        shares(length=5)


def gateway(held: Shares | None) -> Gateway:
    made = Gateway(SETTINGS, 1, held)
    server = api.Server("s-0", api.ServerState.HEALTHY)
    made.handle(AT, api.ServerList(api.ListKind.FULL, (server,)))
    return made


def sent(made: Gateway, count: int, plan: int = 0) -> int:
    sends = 0
    for n in range(count):
        told = made.handle(AT, request(n, plan=plan))
        sends += any(isinstance(a, api.Send) for a in told)
        assert (
            sum(isinstance(a, (api.Send, api.Refuse)) for a in told) == 1
        )  # exactly one answer or attempt, at once
        made.handle(AT, api.AttemptDone(f"r{n}", 0, api.Outcome.OK, 0.001, True))
    return sends


def test_the_gateway_logic_respects_the_parts_and_makes_the_calls() -> None:
    assert sent(gateway(shares(quotas=True)), 20) == 3  # a third of the quota's burst
    assert sent(gateway(shares(quotas=True)), 20, plan=1) == 3
    assert sent(gateway(shares()), 20, plan=1) == sent(gateway(None), 20, plan=1)  # as without sharing
    made = gateway(shares(quotas=True))
    sent(made, 40)
    calls = []
    for step in range(1, 40):
        actions = made.handle(AT + step * 0.1, api.TimerFired(0))
        calls += [a for a in actions if isinstance(a, api.Count)]
    assert calls and all(c.name >= 2**62 for c in calls)
    assert made.handle(AT + 5, api.CounterReply(calls[0].name, True, calls[0].amount)) == []


def test_a_demanded_grant_reaches_the_other_gateway_through_the_gateway_logic() -> None:
    totals: dict[int, float] = {}
    made = []
    for me in range(3):
        held = Shares(replace(SETTINGS, me=me), AT - 100.0)
        made.append((held, Gateway(replace(SETTINGS, me=me), me, held)))
    for step in range(1, 91):
        now = AT + step * 0.1
        for me, (held, one) in enumerate(made):
            ask(held, now, 4 if me == 1 else step % 10 == 0)
            queue = one.handle(now, api.TimerFired(0))
            while queue:
                action = queue.pop()
                if isinstance(action, api.Count):
                    totals[action.name] = totals.get(action.name, 0.0) + action.amount
                    queue += one.handle(now, api.CounterReply(action.name, True, totals[action.name]))
    rates = [held.pools[14].rate(AT + 9.0) for held, _ in made]
    assert sum(rates) <= 12.0 + 1e-9 and rates[1] > 9.0 and max(rates[0], rates[2]) < 2.0
