"""What one process of a gateway hands to the next, so that both together keep to one gateway's limits.

No input or output here. `export_state` takes the state out of a gateway that keeps serving requests on its open
connections for a while; `import_state` puts it into the one that follows. What is left of a ceiling is split in
halves: the old process spends its half, gets no refill and loses the rest after `HOLD`; the new process has the
other half and the whole refill, and its store is smaller by the old one's half for as long. So at every moment
the stores of all processes together hold at most one burst and fill at one rate, and they never admit more than
one process would. A quota, which is soft, is copied to both as it stands.
"""

from __future__ import annotations

import math
from dataclasses import astuple, replace
from typing import Any

from coralvale import interface as api
from coralvale.health import Host
from coralvale.logic import Gateway
from coralvale.restrictor import Restrictor

VERSION = 3  # 2 knew no `known`, 1 no `lent`
KEPT = 0.5  # share of each ceiling that the old process keeps for the requests that still come to it
HOLD = 12.0  # s for which it may spend that: it lives for as long at the most (net/node.py, LEFT)
CUSTOMER = (
    "rate", "fill", "at", "seen_at", "passed", "own", "own_late", "use", "reading", "reading_at", "asking",
    "asked_at", "ceiling", "checks", "known", "known_at", "lent", "lent_until", "left",
    "left_at",
)  # fmt: skip
HOST = ("delay_ratio", "answered_at", "failures", "retry_at", "breaks", "back_at")
MOST = 200_000  # customers that are taken: what comes is another process's, and must not fill this one


def export_state(gateway: Gateway, now: float) -> dict[str, Any]:
    """The state for the next process. From now on this gateway spends what it has kept, and no more."""
    plans: dict[int, Any] = {id(plan): i for i, plan in enumerate(gateway.settings.plans)}
    customers = []
    for name, restrictor in gateway.customers.items():
        restrictor.drain(now)
        kept = max(0.0, restrictor.ceiling) * KEPT if restrictor.plan.ceiling_rate else 0.0
        mine = kept + restrictor.waiting
        given = {
            "ceiling": restrictor.ceiling - kept,  # what it owes goes with it
            "lent": mine + (restrictor.lent if now < restrictor.lent_until else 0.0),
            "lent_until": now + HOLD,
        }
        row = [given.get(field, getattr(restrictor, field)) for field in CUSTOMER]
        restrictor.lent, restrictor.lent_until = given["lent"] - mine, now + HOLD
        restrictor.ceiling, restrictor.kept = kept, mine
        if (plan := plans.get(id(restrictor.plan))) is None:  # none of the settings': its figures
            plan = plans[id(restrictor.plan)] = astuple(restrictor.plan)
        customers.append([name, plan, restrictor.entries, *row])
    hosts = [
        [name, host.info.started_at, *[getattr(host, field) for field in HOST]]
        for name, host in gateway.fleet.hosts.items()
    ]
    state = {
        "version": VERSION,
        "born": now if gateway.born is None else gateway.born,
        "usual": gateway.usual,
        "calm": gateway.calm,
        "retries": gateway.retries,
        "trust": [gateway.counter.trust, gateway.counter.told_at],
        "done": [gateway.done.gap, gateway.done.at],
        "customers": customers,
        "hosts": hosts,
        "out": list(gateway.fleet.out.items()),
    }
    gateway.born = math.inf  # who comes here for the first time has a whole ceiling at the next process
    return state


def resume(gateway: Gateway, now: float) -> None:
    """The next process came to nothing: all that comes from now on is this gateway's again."""
    gateway.born = now
    for restrictor in gateway.customers.values():
        restrictor.drain(now)
        restrictor.ceiling, restrictor.kept = max(restrictor.ceiling, 0.0), None


def import_state(gateway: Gateway, now: float, state: dict[str, Any]) -> int:
    """Goes on from what another process gave; returns the number of its customers.

    Raises ValueError, and changes nothing, if the state cannot be used.
    """
    try:
        if state["version"] != VERSION:
            raise ValueError(f"version {state['version']!r}")
        classes = len(gateway.settings.classes)
        usual, calm = ([_figure(value) for value in state[name]] for name in ("usual", "calm"))
        if len(usual) != classes or len(calm) != classes or min(usual + calm) <= 0:
            raise ValueError("usual or calm: not one delay for each class")
        plans = dict[tuple[Any, ...], api.Plan]()
        customers = {
            int(name): _customer(gateway, plans, plan, entries, row, now)
            for name, plan, entries, *row in state["customers"][:MOST]
        }
        hosts = {
            str(name): (started, [_figure(v, True) for v in row]) for name, started, *row in state["hosts"]
        }
        born, retries = min(now, _figure(state["born"])), _figure(state["retries"])
        trust, told_at = (_figure(value) for value in state["trust"])
        out = {str(name): _figure(since) for name, since in state["out"]}
        gap, at = (_figure(value, True) for value in state["done"])
    except (KeyError, TypeError, ValueError, IndexError, AttributeError, OverflowError) as error:
        raise ValueError(f"a state that cannot be used: {error!r}") from None
    gateway.usual, gateway.calm, gateway.born, gateway.retries = usual, calm, born, retries
    gateway.mean = sum(usual) / len(usual)
    gateway.counter.trust, gateway.counter.told_at = trust, told_at
    gateway.done.gap, gateway.done.at = gap, at
    gateway.customers.update(customers)
    for name, (started, row) in hosts.items():
        host = gateway.fleet.hosts.get(name)
        if host and host.info.started_at == started and len(row) == len(HOST):
            _set(host, HOST, row)
    for name in gateway.fleet.out.keys() & out.keys():  # which hosts are out is the marks' to say, not this
        gateway.fleet.out[name] = out[name]
    gateway.sort_at = -math.inf
    return len(customers)


def _customer(
    gateway: Gateway,
    plans: dict[tuple[Any, ...], api.Plan],
    told: int | list[Any],
    entries: int,
    row: list[Any],
    now: float,
) -> Restrictor:
    if len(row) != len(CUSTOMER):
        raise ValueError("a customer of another form")
    if isinstance(told, list):
        plan = plans.get(tuple(told)) or plans.setdefault(tuple(told), _plan(gateway, told))
    elif 0 <= told < len(gateway.settings.plans):
        plan = gateway.settings.plans[told]
    else:
        raise ValueError(f"plan {told!r}")
    restrictor = Restrictor(plan, int(entries), now, now)
    _set(restrictor, CUSTOMER, [_figure(value, True) for value in row])
    restrictor.rate = max(restrictor.floor, min(restrictor.rate, restrictor.plan.rate))
    restrictor.lent_until = min(restrictor.lent_until, now + HOLD)
    restrictor.known = min(restrictor.known, restrictor.plan.burst)
    restrictor.known_at = min(restrictor.known_at, now)
    restrictor.at = min(restrictor.at, now)  # a clock that differs must not leave a store without a rise
    return restrictor


def _plan(gateway: Gateway, told: list[Any]) -> api.Plan:
    """A plan by its figures, checked as those of the settings are: once for all that are on it."""
    name, *figures = told
    plan = api.Plan(str(name), *map(_figure, figures))
    replace(gateway.settings, plans=(plan,))
    return plan


def _set(owner: Host | Restrictor, fields: tuple[str, ...], row: list[float]) -> None:
    for field, value in zip(fields, row, strict=True):
        setattr(owner, field, value)


def _figure(value: Any, endless: bool = False) -> float:  # noqa: ANN401
    figure = float(value)
    if math.isnan(figure) or (math.isinf(figure) and not endless):
        raise ValueError(f"{value!r} is no figure")
    return figure
