"""A host: cores, a queue, a cold start, thrashing, and faults; it says what came, ran and was answered."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from coralvale.interface import Outcome
from coralvale.lab.truth import Window

if TYPE_CHECKING:
    from coralvale.lab.world.fleet import Attempt
    from coralvale.lab.world.platform import Platform

REFUSED = 0.0002  # s that an answer takes which costs no work


class Host:
    """`lost` ends an attempt at the gateway by an outcome; `answer` brings a host's own."""

    def __init__(self, world: Platform, name: str, zone: int, speed: float, born: float | None) -> None:
        self.world, self.name, self.zone, self.speed = world, name, zone, speed
        self.born = born  # when it started, if it is known to have started cold
        self.alive, self.draining, self.silent = True, False, False
        self.slow, self.fail, self.reset = 1.0, 0.0, 0.0
        self.life = 0  # counts restarts: work of an earlier life is lost
        self.free = world.experiment.fleet.cores
        self.queue: deque[Attempt] = deque()
        self.window = Window(world.experiment.fleet.fall_window)

    def warmth(self, now: float) -> float:
        """Share of its speed that it has by its age."""
        if self.born is None:
            return 1.0
        fleet = self.world.experiment.fleet
        age = (now - self.born) / fleet.warm_after if fleet.warm_after else 1.0
        return min(1.0, fleet.cold_share + (1 - fleet.cold_share) * max(0.0, age))

    def load(self) -> int:
        """Requests that it has: at work and waiting."""
        return self.world.experiment.fleet.cores - self.free + len(self.queue)

    def wait(self, now: float, work: float) -> float:
        """s until a request of `work` that comes now would be done, on average."""
        if not self.alive or self.silent:
            return 3600.0
        cores = self.world.experiment.fleet.cores
        ahead = max(0.0, self.load() + 1 - cores) / cores
        return (1 + ahead) * work * self.slow / (self.speed * self.warmth(now))

    # Faults

    def kill(self) -> None:
        """The machine is gone: connections to it break, and what was at work is lost."""
        self.alive = False
        self.life += 1
        for attempt in list(self.world.at_host.get(self.name, ())):
            self.world.lose(attempt, Outcome.RESET)
        self.queue.clear()

    def start(self, now: float) -> None:
        """It is back, cold."""
        self.alive, self.draining, self.born = True, False, now
        self.free = self.world.experiment.fleet.cores
        self.life += 1
        self.window = Window(self.world.experiment.fleet.fall_window)

    # Work

    def take(self, attempt: Attempt) -> None:
        """A request has come over the network."""
        world = self.world
        now, fleet = world.engine.now, world.experiment.fleet
        if not self.alive:
            return world.lose(attempt, Outcome.CONNECT_FAILED)
        warmth = self.warmth(now)
        cls = attempt.cls
        if warmth < 1:
            able = fleet.cores * warmth * self.speed * fleet.fall_window
            came = self.window.add(now, cls.work)
            world.rules.came(now, self.name, came, able, fleet.fall_multiple, cls.work)
        if len(self.queue) >= fleet.queue and not self.free:
            return world.answer(attempt, Outcome.FULL, REFUSED)
        chance = world.chance(attempt, self.name) if self.fail or self.reset else (1.0, 1.0)
        if chance[0] < self.reset / 2:
            return world.lose(attempt, Outcome.RESET)  # before it ran
        world.taken(attempt)
        attempt.chance = chance
        world.at_host.setdefault(self.name, {})[attempt] = None
        if self.silent:
            return None  # its kernel takes the connection, and nobody reads it
        self.queue.append(attempt)
        return self._next()

    def _next(self) -> None:
        world, fleet = self.world, self.world.experiment.fleet
        while self.free and self.queue:
            attempt, now = self.queue.popleft(), world.engine.now
            if now > attempt.until:
                world.answer(attempt, Outcome.TIMEOUT, 0.0)  # it can tell that nobody waits
                continue
            self.free -= 1
            runs = world.runs(attempt, self.name)
            work = attempt.work * self.slow / (self.speed * self.warmth(now)) if runs else REFUSED
            if fleet.thrash_at and (load := self.load()) > fleet.thrash_at:
                work *= load / fleet.thrash_at
            world.measure.busy(self.name, now, work / fleet.cores)
            world.engine.later(work, self._done, attempt, self.life)

    def _done(self, attempt: Attempt, life: int) -> None:
        if life != self.life:
            return
        self.free += 1
        if attempt.chance[0] < self.reset:
            self.world.lose(attempt, Outcome.RESET)  # after it ran
        else:
            fails = attempt.chance[1] < self.fail
            self.world.answer(attempt, Outcome.ERROR if fails else Outcome.OK, 0.0)
        self._next()
