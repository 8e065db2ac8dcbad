"""Gateways that are broken on purpose, one for each rule: what a laboratory must not miss.

Each wraps the real decisions and spoils one thing. `coralvale lab check --mutants` plays them against an
experiment's own platform, so that an operator can see that a rule would be caught there.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from coralvale import Gateway
from coralvale import interface as api
from coralvale.lab import truth

if TYPE_CHECKING:
    from coralvale.lab.world.fleet import Driver, Policy
    from coralvale.lab.world.platform import Platform


class Forgetful:
    """One refusal or failure in `one_in` is never sent."""

    one_in = 20

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.gateway, self.final = Gateway(settings, seed), 0

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        kept = []
        for action in self.gateway.handle(now, event):
            if isinstance(action, api.Refuse | api.Fail):
                self.final += 1
                if self.final % self.one_in == 0:
                    continue
            kept.append(action)
        return kept


class Eager:
    """Repeats what must not run twice: a broken connection counts as one that never was."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.gateway = Gateway(settings, seed)

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.AttemptDone) and event.outcome is api.Outcome.RESET:
            event = replace(event, outcome=api.Outcome.CONNECT_FAILED)
        return self.gateway.handle(now, event)


class Deaf:
    """Takes draining hosts for healthy ones."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.gateway = Gateway(settings, seed)

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.ServerList):
            servers = tuple(
                replace(s, state=api.ServerState.HEALTHY) if s.state is api.ServerState.DRAINING else s
                for s in event.servers
            )
            event = replace(event, servers=servers)
        return self.gateway.handle(now, event)


class Warm:
    """Takes no host for cold, and sends all that it has to the one that has least to do: the newest."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.gateway = Gateway(settings, seed)
        self.newest: tuple[float, str] = (0.0, "")

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.ServerList):
            for s in event.servers:
                if s.state is api.ServerState.HEALTHY:
                    self.newest = max(self.newest, (s.started_at, s.id))
            servers = tuple(replace(s, started_at=0.0) for s in event.servers)
            event = replace(event, servers=servers)
        born, name = self.newest
        told = []
        for action in self.gateway.handle(now, event):
            if isinstance(action, api.Send) and now < born + 5.0:
                action = replace(action, server=name)
            told.append(action)
        return told


class Generous:
    """Knows of no ceiling and of no quota."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        plans = tuple(replace(p, ceiling_rate=0.0, rate=0.0) for p in settings.plans)
        self.gateway = Gateway(replace(settings, plans=plans), seed)

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        return self.gateway.handle(now, event)


MUTANTS: dict[str, tuple[Callable[[api.Settings, int], Policy], str]] = {
    "broken:forgetful": (Forgetful, truth.LOST),
    "broken:eager": (Eager, truth.TWICE),
    "broken:deaf": (Deaf, truth.DRAINS),
    "broken:warm": (Warm, truth.COLD),
    "broken:generous": (Generous, truth.CEILING),
}


def make(name: str) -> Callable[[Platform, Driver, api.Settings, int], Policy]:
    """A factory for one of MUTANTS. Raises KeyError."""
    made = MUTANTS[name][0]
    return lambda world, driver, settings, seed: made(settings, seed)
