"""The state that one process of a gateway hands to the next, so that both together keep one gateway's limits.

No input or output here. `export_state` takes the state out of the old process's gateway, which keeps serving
requests on its open connections for a while; `import_state` puts it into the new process's gateway. The
ceiling tokens that are left are split in halves. The old process spends its half, gets no refill and loses
what it has not spent after `HOLD_S`. The new process gets the other half and the whole refill; until `HOLD_S`
is over, it may hold the burst less the old process's half. So at every moment all processes together hold at
most one burst of ceiling tokens and are refilled at one rate, and they never admit more than one process
would. The leaky buckets of quotas, which are soft limits, are copied: both processes continue with the same
fill.
"""

from __future__ import annotations

import math
from dataclasses import astuple, replace
from typing import Any

from coralvale import interface as api
from coralvale.health import Host
from coralvale.logic import Gateway
from coralvale.restrictor import Restrictor

VERSION = 3  # version 2 had no `known`, version 1 no `lent`
RETAINED_SHARE = 0.5  # of each ceiling's tokens, kept by the old process for requests that still reach it
HOLD_S = 12.0  # time for which the old process may spend those; it lives no longer (net/node.py)
# Attributes by position: the state holds no names, so that the order is part of its format.
CUSTOMER = (
    "rate", "fill", "drained_at", "seen_at", "passed", "own", "own_late", "metered_fraction", "reading",
    "reading_at", "demand", "demand_at", "ceiling", "check_fill", "known", "known_at", "lent", "lent_until",
    "left", "left_at",
)  # fmt: skip
HOST = ("delay_ratio", "answered_at", "failures", "retry_at", "breaks", "back_at")
MAX_CUSTOMERS = 200_000  # customers taken over: another process's state must not exhaust the memory


def export_state(gateway: Gateway, now: float) -> dict[str, Any]:
    """The state for the next process. From now on this gateway spends only what it has retained."""
    plans: dict[int, Any] = {id(plan): i for i, plan in enumerate(gateway.settings.plans)}
    customers = []
    for name, restrictor in gateway.customers.items():
        restrictor.drain(now)
        kept = max(0.0, restrictor.ceiling) * RETAINED_SHARE if restrictor.plan.ceiling_rate else 0.0
        mine = kept + restrictor.reserved
        given = {
            "ceiling": restrictor.ceiling - kept,  # a ceiling below 0 is handed over whole
            "lent": mine + (restrictor.lent if now < restrictor.lent_until else 0.0),
            "lent_until": now + HOLD_S,
        }
        row = [given.get(field, getattr(restrictor, field)) for field in CUSTOMER]
        restrictor.lent, restrictor.lent_until = given["lent"] - mine, now + HOLD_S
        restrictor.ceiling, restrictor.retained = kept, mine
        if (plan := plans.get(id(restrictor.plan))) is None:  # no plan of the settings: all values
            plan = plans[id(restrictor.plan)] = astuple(restrictor.plan)
        customers.append([name, plan, restrictor.entries, *row])
    hosts = [
        [name, host.info.started_at, *[getattr(host, field) for field in HOST]]
        for name, host in gateway.fleet.hosts.items()
    ]
    state = {
        "version": VERSION,
        "born": now if gateway.started_at is None else gateway.started_at,
        "usual": gateway.delays,
        "calm": gateway.base_delays,
        "retries": gateway.retries,
        "trust": [gateway.counter.trust, gateway.counter.trust_at],
        "done": [gateway.completions.gap, gateway.completions.last_at],
        "customers": customers,
        "hosts": hosts,
        "out": list(gateway.fleet.in_maintenance.items()),
    }
    # A restrictor made from now on starts with a ceiling of -inf, if its plan has one: only the next process
    # gives new customers their ceiling.
    gateway.started_at = math.inf
    return state


def resume(gateway: Gateway, now: float) -> None:
    """Undoes `export_state` when the next process failed: the refill is this gateway's again."""
    gateway.started_at = now
    for restrictor in gateway.customers.values():
        restrictor.drain(now)
        restrictor.ceiling, restrictor.retained = max(restrictor.ceiling, 0.0), None


def import_state(gateway: Gateway, now: float, state: dict[str, Any]) -> int:
    """Continues from another process's state; returns the number of customers taken over.

    Raises ValueError, and changes nothing, if the state is invalid.
    """
    try:
        if state["version"] != VERSION:
            raise ValueError(f"unsupported version {state['version']!r}")
        classes = len(gateway.settings.classes)
        usual, calm = ([_number(value) for value in state[name]] for name in ("usual", "calm"))
        if len(usual) != classes or len(calm) != classes or min(usual + calm) <= 0:
            raise ValueError("usual or calm: not one positive delay for each class")
        plans = dict[tuple[Any, ...], api.Plan]()
        customers = {
            int(name): _customer(gateway, plans, plan, entries, row, now)
            for name, plan, entries, *row in state["customers"][:MAX_CUSTOMERS]
        }
        hosts = {
            str(name): (started, [_number(v, True) for v in row]) for name, started, *row in state["hosts"]
        }
        born, retries = min(now, _number(state["born"])), _number(state["retries"])
        trust, told_at = (_number(value) for value in state["trust"])
        out = {str(name): _number(since) for name, since in state["out"]}
        gap, at = (_number(value, True) for value in state["done"])
    except (KeyError, TypeError, ValueError, IndexError, AttributeError, OverflowError) as error:
        raise ValueError(f"invalid handover state: {error!r}") from None
    gateway.delays, gateway.base_delays, gateway.started_at, gateway.retries = usual, calm, born, retries
    gateway.mean = sum(usual) / len(usual)
    gateway.counter.trust, gateway.counter.trust_at = trust, told_at
    gateway.completions.gap, gateway.completions.last_at = gap, at
    gateway.customers.update(customers)
    for name, (started, row) in hosts.items():
        host = gateway.fleet.hosts.get(name)
        if host and host.info.started_at == started and len(row) == len(HOST):
            _set(host, HOST, row)
    for name in gateway.fleet.in_maintenance.keys() & out.keys():
        # Only the time is taken over: `api.Maintained` events say which servers are out.
        gateway.fleet.in_maintenance[name] = out[name]
    gateway.classify_at = -math.inf
    return len(customers)


def _customer(
    gateway: Gateway,
    plans: dict[tuple[Any, ...], api.Plan],
    stored: int | list[Any],
    entries: int,
    row: list[Any],
    now: float,
) -> Restrictor:
    if len(row) != len(CUSTOMER):
        raise ValueError("a customer row of the wrong length")
    if isinstance(stored, list):
        plan = plans.get(tuple(stored)) or plans.setdefault(tuple(stored), _plan(gateway, stored))
    elif 0 <= stored < len(gateway.settings.plans):
        plan = gateway.settings.plans[stored]
    else:
        raise ValueError(f"unknown plan {stored!r}")
    restrictor = Restrictor(plan, int(entries), now, now)
    _set(restrictor, CUSTOMER, [_number(value, True) for value in row])
    restrictor.rate = max(restrictor.floor, min(restrictor.rate, restrictor.plan.rate))
    restrictor.lent_until = min(restrictor.lent_until, now + HOLD_S)
    restrictor.known = min(restrictor.known, restrictor.plan.burst)
    restrictor.known_at = min(restrictor.known_at, now)
    restrictor.drained_at = min(restrictor.drained_at, now)  # another clock must not stop a refill
    return restrictor


def _plan(gateway: Gateway, stored: list[Any]) -> api.Plan:
    """A plan from its values, checked like those of the settings, once for all customers on it."""
    name, *values = stored
    plan = api.Plan(str(name), *map(_number, values))
    replace(gateway.settings, plans=(plan,))
    return plan


def _set(owner: Host | Restrictor, fields: tuple[str, ...], row: list[float]) -> None:
    for field, value in zip(fields, row, strict=True):
        setattr(owner, field, value)


def _number(value: Any, allow_infinite: bool = False) -> float:  # noqa: ANN401
    number = float(value)
    if math.isnan(number) or (math.isinf(number) and not allow_infinite):
        raise ValueError(f"{value!r} is not a number")
    return number
