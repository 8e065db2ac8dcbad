"""Settings, builders and the gateway harness that the tests share."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from coralvale import Gateway
from coralvale import interface as api

READ = api.RequestClass("read", aim=1.0, give_up=4.0, worth=1.0, repeat=api.Repeat.SAFE)
PLAN = api.Plan("basic", rate=4.0, burst=8.0, excess_cost=1.0)
SETTINGS = api.Settings(
    gateways=2,
    zone=0,
    classes=(READ,),
    plans=(PLAN,),
    drain_grace=1.0,
    cold_share=0.25,
    warm_after=10.0,
    fall_multiple=2.0,
    fall_window=3.0,
    max_attempts=4,
    may_cancel=True,
    meter_period=1.0,
    max_advice=1.0,
)


def server(name: str, **more: Any) -> api.Server:
    return api.Server(name, more.pop("state", api.ServerState.HEALTHY), **more)


def full_list(*servers: api.Server) -> api.ServerList:
    return api.ServerList(api.ListKind.FULL, servers)


class Bench:
    """A gateway with a clock and timers, and short methods to pass events to it."""

    def __init__(self, servers: tuple[api.Server, ...] | None = None, seed: int = 1, **changes: Any) -> None:
        self.gateway = Gateway(replace(SETTINGS, **changes), seed)
        self.now, self.serial = 100.0, 0
        self.timers: list[tuple[float, int]] = []
        self.seen: list[api.Action] = []
        self.feed(full_list(*(servers if servers is not None else (server("a"), server("b")))))

    def feed(self, event: api.Event) -> list[api.Action]:
        """Passes an event; returns the actions other than timers, which it keeps."""
        actions = self.gateway.handle(self.now, event)
        for action in actions:
            if isinstance(action, api.SetTimer):
                self.timers.append((self.now + action.delay, action.token))
        self.seen += actions
        return [a for a in actions if not isinstance(a, api.SetTimer)]

    def wait(self, seconds: float) -> list[api.Action]:
        """Lets time pass and the timers fire; returns all their actions."""
        until, actions = self.now + seconds, []
        while self.timers and min(self.timers)[0] <= until:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            actions += self.feed(api.TimerFired(due[1]))
        self.now = until
        return actions

    def request(self, customer: int = 1, **more: Any) -> tuple[str, list[api.Action]]:
        """Makes a request; returns its id and the actions."""
        self.serial += 1
        name = more.pop("id", f"r{self.serial}")
        fields = {"cls": 0, "plan": 0, "entry_gateways": 1, "expires_at": self.now + 4.0, **more}
        return name, self.feed(api.Request(name, customer=customer, **fields))

    def done(
        self, name: str, outcome: api.Outcome = api.Outcome.OK, attempt: int = 0, **more: Any
    ) -> list[api.Action]:
        """Ends an attempt of a request."""
        fields = {"delay": 0.1, "finished": outcome is api.Outcome.OK, **more}
        return self.feed(api.AttemptDone(name, attempt, outcome, **fields))
