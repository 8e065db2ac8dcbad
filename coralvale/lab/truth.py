"""The five rules, held against what the world knows, at the event that breaks one.

Nobody tells this file what a gateway believes: hosts say what came and what ran, clients what they were
answered.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from coralvale.lab.model import Plan, Violation

LOST, TWICE, DRAINS, COLD, CEILING = "lost", "twice", "drains", "cold", "ceiling"
RULES = {
    LOST: "each request has one final answer, in time",
    TWICE: "no effect happens twice",
    DRAINS: "nothing new goes to a host later than its grace after the notice",
    COLD: "a cold host is not sent more than a multiple of what it can do",
    CEILING: "no customer passes its ceiling by more than its slack",
}
CHANCE = 4.0  # mean requests over the budget of a cold host: what a draw of short windows brings by itself


class Store:
    """A customer's truth: one quota's store and one ceiling for all that hosts take."""

    __slots__ = ("alone", "alone_at", "at", "ceiling", "fill", "lowest", "out", "plan")

    def __init__(self, plan: Plan) -> None:
        self.plan, self.at, self.alone_at = plan, 0.0, 0.0
        self.fill = self.alone = 0.0
        self.ceiling = self.lowest = plan.ceiling_burst
        self.out = 0

    def drain(self, now: float) -> None:
        passed, plan = now - self.at, self.plan
        self.fill = max(0.0, self.fill - plan.rate * passed)
        if plan.ceiling_rate:
            self.ceiling = min(plan.ceiling_burst, self.ceiling + plan.ceiling_rate * passed)
        self.at = now

    def room(self, now: float, units: float = 1.0) -> bool:
        """Whether so many units more are inside the quota."""
        self.drain(now)
        is_open = not self.plan.open_limit or self.out < self.plan.open_limit
        return is_open and (not self.plan.rate or self.fill + units <= self.plan.burst + 1e-9)

    def under_ceiling(self, now: float, units: float = 1.0) -> bool:
        self.drain(now)
        return not self.plan.ceiling_rate or self.ceiling >= units

    def take(self, now: float, units: float = 1.0) -> bool:
        """A host has taken units; whether they were inside the quota. What is beyond does not fill it."""
        inside = self.room(now, units)
        if inside:
            self.fill += units
        if self.plan.ceiling_rate:
            self.ceiling -= units
            self.lowest = min(self.lowest, self.ceiling)
        return inside

    def fits(self, now: float, units: float = 1.0) -> bool:
        """A first try is asked; whether it would be inside if every first try that fits were let in."""
        self.alone = max(0.0, self.alone - self.plan.rate * (now - self.alone_at))
        self.alone_at = now
        if self.plan.rate and self.alone + units > self.plan.burst + 1e-9:
            return False
        self.alone += units
        return True


class Rules:
    """Told of each event by the world; calls `broken` at the first of each kind and place."""

    def __init__(self, broken: Callable[[Violation], None], grace: float, slack: float) -> None:
        self.broken, self.grace, self.slack = broken, grace, slack
        self.coldest = 0.0  # the most that came to a cold host within its window, over what it can do in it
        self.effects: dict[str, tuple[float, int]] = {}  # when it ran last, and in which group

    def _break(self, rule: str, now: float, text: str) -> None:
        self.broken(Violation(rule, round(now, 6), text))

    def answered(self, now: float, name: str, answers: int) -> None:
        if answers > 1:
            self._break(LOST, now, f"request {name} was answered {answers} times")

    def silent(self, now: float, name: str, gateway: int) -> None:
        self._break(
            LOST, now, f"request {name} at gateway {gateway} has no answer {self.slack:g} s after its time"
        )

    def ran(self, now: float, effect: str, repeat: str, window: float, host: str) -> bool:
        """A host runs a request; False where the host drops it as a repeat of a keyed one."""
        if repeat == "safe":
            return True
        before = self.effects.get(effect)
        if before and repeat == "keyed" and now < before[0] + window:
            return False
        if before:
            self._break(
                TWICE, now, f"request {effect} ran again on host {host}, {now - before[0]:.3f} s later"
            )
        self.effects[effect] = now, 0
        return True

    def forget(self, before: float) -> None:
        """Drops effects older than `before`: nobody asks for them again. Bounds memory on long runs."""
        self.effects = {name: told for name, told in self.effects.items() if told[0] >= before}

    def sent(self, now: float, gateway: int, host: str, told_at: float | None) -> None:
        """A gateway sends to a host of whose drain it was told at `told_at`."""
        if told_at is not None and now > told_at + self.grace + 1e-9:
            self._break(
                DRAINS,
                now,
                f"gateway {gateway} sent to {host} {now - told_at:.3f} s after it was told of its drain",
            )

    def came(self, now: float, host: str, came: float, able: float, multiple: float, mean: float) -> None:
        """`came` s of work have come to a cold host within the window, in which it is able to do `able`."""
        budget = multiple * able
        self.coldest = max(self.coldest, came / able)
        if came > budget + CHANCE * mean:
            self._break(COLD, now, f"host {host} was sent {came:.2f} s of work, its budget is {budget:.2f} s")

    def charged(self, now: float, customer: int, store: Store) -> None:
        if store.plan.ceiling_rate and store.ceiling < -store.plan.ceiling_slack - 1e-9:
            self._break(
                CEILING, now, f"customer {customer} is {-store.ceiling:.2f} units past its ceiling "
                f"(slack {store.plan.ceiling_slack:g})",
            )  # fmt: skip


class Window:
    """Work that came to a host within the last `length` s."""

    __slots__ = ("came", "length", "total")

    def __init__(self, length: float) -> None:
        self.length, self.total = length, 0.0
        self.came: deque[tuple[float, float]] = deque()

    def add(self, now: float, work: float) -> float:
        """The sum with this one."""
        self.came.append((now, work))
        self.total += work
        return self.sum(now)

    def sum(self, now: float) -> float:
        while self.came and self.came[0][0] < now - self.length:
            self.total -= self.came.popleft()[1]
        return self.total
