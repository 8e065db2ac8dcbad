"""The shared counter: totals by name with an end of life, a line of calls, and its faults."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coralvale import interface as api

if TYPE_CHECKING:
    from coralvale.lab.world.fleet import Driver
    from coralvale.lab.world.platform import Platform

PATIENCE = 4.0  # time-outs that a gateway waits for an answer whose request waits with it
PATIENT = 1.0  # s that it waits where nobody does


class Line:
    """One part of the counter: while it is split each part goes on from what both had."""

    __slots__ = ("free", "totals")

    def __init__(self, free: float = 0.0, totals: dict[int | str, tuple[float, float]] | None = None) -> None:
        self.free, self.totals = free, totals or {}

    def add(self, now: float, name: int | str, amount: float, lifetime: float) -> float:
        total, ends = self.totals.get(name, (0.0, 0.0))
        if ends <= now:
            total, ends = 0.0, now + lifetime
        self.totals[name] = total + amount, ends
        return total + amount

    def sweep(self, now: float) -> None:
        """Forgets names whose life is over: what bounds its memory."""
        self.totals = {name: told for name, told in self.totals.items() if told[1] > now}


class Counter:
    """Calls are served in turn, `capacity` a second; a line longer than `queue` s turns the next away."""

    def __init__(self, world: Platform) -> None:
        self.world = world
        self.lines = [Line()]
        self.up, self.slow, self.loss = True, 0.0, 0.0
        self.swept = 0.0

    def split(self) -> None:
        self.lines = [self.lines[0], Line(self.lines[0].free, dict(self.lines[0].totals))]

    def mend(self) -> None:
        """One part stays; what the other counted meanwhile is gone."""
        del self.lines[1:]

    def swap(self) -> None:
        """An empty one in its place."""
        self.lines = [Line()]

    def call(self, driver: Driver, call: api.Count) -> None:
        """A gateway calls; its reply comes by `driver.feed`, once."""
        world, told = self.world, self.world.experiment.counter
        if told is None:
            return
        way = world.way(driver.zone, told.zone)
        patience = PATIENT if call.patient else PATIENCE * told.timeout
        failed = api.CounterReply(call.name, False, 0.0, maybe_added=True)
        said = None
        if world.reaches(driver.zone, told.zone):
            said = self.serve(driver.number, call.name, call.amount, call.lifetime)
        else:
            world.measure.add("calls")
        if said is None:
            world.measure.add("calls without answer")
            world.engine.later(patience, driver.feed, failed)
            return
        took, total = said[0] + 2 * way, said[1]
        if total is None:
            world.engine.later(took, driver.feed, api.CounterReply(call.name, False, 0.0))
        elif took > patience:
            world.measure.add("calls without answer")
            world.engine.later(patience, driver.feed, failed)
        else:
            world.engine.later(took, driver.feed, api.CounterReply(call.name, True, total))

    def serve(
        self, gateway: int, name: int | str, amount: float, lifetime: float
    ) -> tuple[float, float | None] | None:
        """A call has come: s until its answer, and the total in it, none if it is turned away; None: silence."""
        world, told = self.world, self.world.experiment.counter
        assert told is not None
        now, measure = world.engine.now, world.measure
        measure.add("calls")
        if not self.up or (self.loss and world.lots["counter"].random() < self.loss):
            return None
        if now - self.swept > 10.0:
            self.swept = now
            for part in self.lines:
                part.sweep(now)
        line = self.lines[gateway % len(self.lines)]
        waits = max(0.0, line.free - now)
        if waits > told.queue + self.slow:
            measure.add("calls turned away")
            return 0.0, None
        line.free = now + waits + 1 / told.capacity
        return line.free - now + self.slow, line.add(now, name, amount, lifetime)
