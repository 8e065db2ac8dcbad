"""Makes a failing schedule smaller while it breaks the same rule: events, length, load, fleet.

Delta debugging (Zeller, Hildebrandt, 2002) in its plain form: each cut is tried, and kept if the failure stays.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

import msgspec

from coralvale.lab.experiment import fingerprint
from coralvale.lab.model import Experiment, Violation

Test = Callable[[Experiment], Violation | None]
MOST = 200  # runs


def shrink(made: Experiment, test: Test, say: Callable[[str], None] = lambda text: None) -> Experiment:
    """The smallest found on which `test` still tells of the rule that it tells of for `made`.

    Raises ValueError if `made` breaks none.
    """
    first = test(made)
    if first is None:
        raise ValueError("it breaks no rule")
    best, at, runs, seen = made, first.at, 1, {fingerprint(made)}
    cut = True
    while cut and runs < MOST:
        cut = False
        for what, smaller in _cuts(best, at):
            if (mark := fingerprint(smaller)) in seen or next(smaller.mistakes(), None):
                continue
            seen.add(mark)
            runs += 1
            found = test(smaller)
            if found is not None and found.rule == first.rule:
                say(f"{what}: still broken at {found.at:.2f} s")
                best, at, cut = smaller, found.at, True
                break
            if runs >= MOST:
                break
    return best


def _cuts(made: Experiment, at: float) -> Iterator[tuple[str, Experiment]]:
    """Smaller ones, those that take most away first."""
    change = msgspec.structs.replace
    soon = round(at + made.measure.slack + 0.1, 1)
    if soon < made.seconds:
        kept = tuple(f for f in made.timeline if f.at < soon)
        warm = min(made.measure.warm_up, soon / 2)
        measure = change(made.measure, warm_up=warm)
        yield f"{soon:g} s long", change(made, seconds=soon, timeline=kept, measure=measure)
    for n, fault in enumerate(made.timeline):
        rest = made.timeline[:n] + made.timeline[n + 1 :]
        yield f"without {fault.what} at {fault.at:g} s", change(made, timeline=rest)
    fleet, load = made.fleet, made.load
    if fleet.gateways > 1:
        half = fleet.gateways // 2
        yield f"{half} gateways", change(made, fleet=change(fleet, gateways=half))
    if fleet.hosts > max(2, fleet.zones):
        half = max(2, fleet.zones, fleet.hosts // 2)
        yield f"{half} hosts", change(made, fleet=change(fleet, hosts=half))
    if fleet.zones > 1 and not any(f.zone > 0 or f.what.startswith("zone") for f in made.timeline):
        counter = change(made.counter, zone=0) if made.counter else None
        yield "one zone", change(made, fleet=change(fleet, zones=1), counter=counter)
    if load.customers > 1:
        half = load.customers // 2
        yield f"{half} customers", change(made, load=change(load, customers=half, hot=min(load.hot, half)))
    if load.rate > 1:
        yield f"{load.rate / 2:g} tries a second", change(made, load=change(load, rate=load.rate / 2))
    for key in ("spikes", "light", "leaves", "uneven"):
        if getattr(load, key):
            yield f"no {key}", change(made, load=change(load, **{key: 0.0}))
    if made.counter and not any(f.what.startswith("counter") for f in made.timeline):
        yield "no counter", change(made, counter=None)
    if len(made.classes) > 1:
        for n, cls in enumerate(made.classes):
            yield f"no class {cls.name}", change(made, classes=made.classes[:n] + made.classes[n + 1 :])
    if len(made.plans) > 1:
        for n, plan in enumerate(made.plans):
            if not any(plan.name in f.plans for f in made.timeline):
                yield f"no plan {plan.name}", change(made, plans=made.plans[:n] + made.plans[n + 1 :])
    for n, fault in enumerate(made.timeline):
        if fault.lasts > 0.5:
            shorter = change(fault, lasts=round(fault.lasts / 2, 3))
            rest = (*made.timeline[:n], shorter, *made.timeline[n + 1 :])
            yield f"{fault.what} for {shorter.lasts:g} s", change(made, timeline=rest)
