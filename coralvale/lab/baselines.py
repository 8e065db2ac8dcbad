"""Policies to hold the decisions against, on the same arrivals.

`omniscient` sees each customer's store, each ceiling and each host's queue as they are at that moment;
`late` sees them as they were at the last of its looks, and what its own gateway has done since. No real
gateway can know either. `plain` is what a proxy does out of the box: an even part of each quota at each
gateway, and hosts in turn.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import defaultdict
from typing import TYPE_CHECKING

from coralvale import interface as api
from coralvale.interface import Outcome, Repeat

if TYPE_CHECKING:
    from coralvale.lab.truth import Store
    from coralvale.lab.world.fleet import Driver
    from coralvale.lab.world.platform import Platform

NOT_RUN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
LOOK = 0.5  # s between the looks of the one that sees late
SURE = 0.9  # share of the time left that the expected wait may reach


class Base(ABC):
    """What all three share: a request's attempts, and which of them may be repeated."""

    def __init__(self, world: Platform, driver: Driver, settings: api.Settings, seed: int) -> None:
        self.world, self.driver, self.settings = world, driver, settings
        self.servers: dict[str, api.Server] = {}
        self.out: dict[str, tuple[api.Request, list[str]]] = {}
        self.turn = seed % 1009

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.ServerList):
            if event.kind is api.ListKind.FULL:
                self.servers.clear()
            for server in event.servers:
                if server.state is api.ServerState.HEALTHY:
                    self.servers[server.id] = server
                else:
                    self.servers.pop(server.id, None)
            return []
        if isinstance(event, api.Request):
            if wait := self.wait(now, event):
                return [api.Refuse(event.id, min(wait, self.settings.max_advice), "quota")]
            return self._send(now, event, [])
        if isinstance(event, api.AttemptDone):
            return self._done(now, event)
        if isinstance(event, api.Abandoned):
            self.out.pop(event.request, None)
        return []

    def _send(self, now: float, request: api.Request, tried: list[str]) -> list[api.Action]:
        host = self.pick(now, request, tried)
        if host is None:
            self.out.pop(request.id, None)
            return [api.Refuse(request.id, 0.0, "no server")]
        self.out[request.id] = request, [*tried, host]
        self.sends(now, request, host, not tried)
        return [api.Send(request.id, host, request.expires_at)]

    def _done(self, now: float, event: api.AttemptDone) -> list[api.Action]:
        told = self.out.get(event.request)
        if told is None or event.finished:
            self.out.pop(event.request, None)
            return []
        request, tried = told
        safe = self.settings.classes[request.cls].repeat is Repeat.SAFE
        may = event.outcome in NOT_RUN or (safe and event.outcome is not Outcome.TIMEOUT)
        if may and now < request.expires_at and len(tried) < self.settings.max_attempts:
            return self._send(now, request, tried)
        self.out.pop(event.request, None)
        if safe or event.outcome in NOT_RUN:
            return [api.Refuse(request.id, 0.0, "attempts used up")]
        return [api.Fail(request.id)]

    # What differs

    @abstractmethod
    def wait(self, now: float, request: api.Request) -> float:
        """s after which there may be room; 0: it is let in."""

    @abstractmethod
    def pick(self, now: float, request: api.Request, tried: list[str]) -> str | None:
        """The host that a request goes to, none of those tried; None if there is none."""

    def sends(self, now: float, request: api.Request, host: str, first: bool) -> None:  # noqa: B027 (most note nothing)
        """A request goes to a host."""


class Plain(Base):
    """Round robin, and a leaky bucket of an even part of the quota. Cold hosts get what the others get."""

    def __init__(self, world: Platform, driver: Driver, settings: api.Settings, seed: int) -> None:
        super().__init__(world, driver, settings, seed)
        self.fills: dict[int, tuple[float, float]] = {}
        self.ceilings: dict[int, tuple[float, float]] = {}

    def wait(self, now: float, request: api.Request) -> float:
        plan, parts = self.settings.plans[request.plan], request.entry_gateways
        if plan.ceiling_rate:
            held, at = self.ceilings.get(request.customer, (0.0, now))
            held = min(plan.ceiling_burst / parts, held + plan.ceiling_rate / parts * (now - at))
            self.ceilings[request.customer] = held, now
            if held < request.units:
                return (request.units - held) * parts / plan.ceiling_rate
        if plan.rate:
            fill, at = self.fills.get(request.customer, (0.0, now))
            fill = max(0.0, fill - plan.rate / parts * (now - at))
            self.fills[request.customer] = fill, now
            if fill + request.units > max(request.units, plan.burst / parts):
                return fill * parts / plan.rate
        return 0.0

    def sends(self, now: float, request: api.Request, host: str, first: bool) -> None:
        if not first:
            return
        if (told := self.fills.get(request.customer)) is not None:
            self.fills[request.customer] = told[0] + request.units, told[1]
        if (told := self.ceilings.get(request.customer)) is not None:
            self.ceilings[request.customer] = told[0] - request.units, told[1]

    def pick(self, now: float, request: api.Request, tried: list[str]) -> str | None:
        names = [name for name in self.servers if name not in tried]
        self.turn += 1
        return names[self.turn % len(names)] if names else None


class Omniscient(Base):
    """Lets in what has room, and what a host can answer in time; sends to where it is answered soonest."""

    def store(self, request: api.Request) -> Store:
        return self.world.clients.customers[request.customer].store

    def wait(self, now: float, request: api.Request) -> float:
        here, plan = self.world.engine.now, self.settings.plans[request.plan]
        store = self.store(request)
        if not store.under_ceiling(here, request.units):
            return (request.units - store.ceiling) / plan.ceiling_rate
        if not store.room(here, request.units):
            return max(0.01, (store.fill + request.units - plan.burst) / plan.rate if plan.rate else 0.1)
        return 0.0

    def pick(self, now: float, request: api.Request, tried: list[str]) -> str | None:
        world, cls = self.world, self.world.experiment.classes[request.cls]
        best, least, self.turn = None, SURE * min(cls.aim, request.expires_at - now), self.turn + 1
        fleet, here = world.experiment.fleet, world.engine.now
        hosts = list(world.hosts.items())
        first = self.turn % len(hosts)  # of equal ones not always the same
        for name, host in hosts[first:] + hosts[:first]:
            if (
                not host.alive
                or host.draining
                or name in tried
                or not world.reaches(self.driver.zone, host.zone)
            ):
                continue
            warmth = host.warmth(here)
            if warmth < 1:
                budget = fleet.fall_multiple * fleet.cores * warmth * host.speed * fleet.fall_window
                if host.window.sum(here) + 2 * cls.work > budget:
                    continue
            wait = host.wait(here, cls.work) / max(0.05, 1 - host.fail - host.reset)
            if wait < least:
                best, least = name, wait
        return best


class Late(Plain):
    """Sees stores and hosts as they were at the last look, and what it has sent itself since."""

    def __init__(self, world: Platform, driver: Driver, settings: api.Settings, seed: int) -> None:
        super().__init__(world, driver, settings, seed)
        self.looked = -1.0
        self.waits: dict[str, float] = {}
        self.here: defaultdict[str, int] = defaultdict(int)

    def _look(self) -> None:
        world, here = self.world, self.world.engine.now
        if here - self.looked < LOOK:
            return
        self.looked = here
        self.here.clear()
        self.mine = defaultdict[int, int](int)
        self.waits = {
            name: host.wait(here, 1.0) / max(0.05, 1 - host.fail - host.reset)
            for name, host in world.hosts.items()
            if host.alive and not host.draining and host.warmth(here) >= 1
        }
        self.seen: dict[int, tuple[float, float, float]] = {}

    def wait(self, now: float, request: api.Request) -> float:
        self._look()
        plan, here = self.settings.plans[request.plan], self.world.engine.now
        told = self.seen.get(request.customer)
        if told is None:  # as it stood at the look, or as near to it as the store still knows
            store = self.world.clients.customers[request.customer].store
            store.drain(here)
            told = self.seen[request.customer] = store.fill, store.ceiling, here
        fill, ceiling, at = told
        mine = self.mine[request.customer]
        if plan.ceiling_rate:
            part = plan.ceiling_rate / request.entry_gateways
            if super().wait(now, request) and ceiling - mine < plan.ceiling_burst / 2:
                return 1 / part
            if ceiling - mine < request.units:
                return request.units / plan.ceiling_rate
        fill = max(0.0, fill - plan.rate * (here - at)) + mine
        more = fill + request.units - plan.burst
        return more / plan.rate if plan.rate and more > 0 else 0.0

    def sends(self, now: float, request: api.Request, host: str, first: bool) -> None:
        super().sends(now, request, host, first)
        if first:
            self.mine[request.customer] += 1
        self.here[host] += 1

    def pick(self, now: float, request: api.Request, tried: list[str]) -> str | None:
        self._look()
        cores = self.world.experiment.fleet.cores
        waits = {
            name: wait * (1 + self.here[name] / cores)
            for name, wait in self.waits.items()
            if name in self.servers and name not in tried
        }
        return min(waits, key=waits.__getitem__, default=None)
