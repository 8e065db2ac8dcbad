"""Gateways: each driver hands its policy what happens and carries out the actions that come back."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from coralvale import interface as api
from coralvale.interface import Outcome
from coralvale.lab.model import Class
from coralvale.lab.world.clients import Effect

if TYPE_CHECKING:
    from coralvale.lab.world.hosts import Host
    from coralvale.lab.world.platform import Platform


class Policy(Protocol):
    """What decides: `coralvale.Gateway`, or a baseline that stands in for it."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Takes what happened at `now`; returns what is to be done."""


class Try:
    """A client's request at one gateway, until its final answer and the end of its last attempt."""

    __slots__ = ("answers", "attempts", "effect", "expires", "gone", "name", "taken")

    def __init__(self, name: str, effect: Effect, expires: float) -> None:
        self.name, self.effect, self.expires = name, effect, expires
        self.attempts: list[Attempt] = []
        self.answers, self.taken, self.gone = 0, False, False


class Attempt:
    """A request on its way to a host and back."""

    __slots__ = (
        "chance",
        "cls",
        "driver",
        "ended",
        "front",
        "held",
        "host",
        "number",
        "open",
        "sent_at",
        "until",
        "work",
    )

    def __init__(self, driver: Driver, held: Try, host: str, now: float, until: float) -> None:
        self.driver, self.held, self.host, self.number = driver, held, host, len(held.attempts)
        self.sent_at, self.until = now, until
        self.cls: Class = held.effect.cls
        self.work = held.effect.work
        self.chance = (1.0, 1.0)
        self.ended = self.open = False
        self.front: Any = None  # the connection that it came on, where there is one


class Driver:
    """One process of a gateway. `stop` ends it at once, `retire` lets it end what it has."""

    def __init__(self, world: Platform, number: int, life: int) -> None:
        self.world, self.number, self.life = world, number, life
        self.zone = number % world.experiment.fleet.zones
        self.held: dict[str, Try] = {}
        self.told: dict[str, float] = {}  # host -> when this process was told that it drains
        self.alive, self.retired = True, False
        self.policy = world.make_policy(self)

    # What happens to it

    def feed(self, event: api.Event) -> None:
        if not self.alive:
            return
        for action in self.policy.handle(self.world.engine.clock, event):
            self._do(action)

    def listen(self, event: api.ServerList) -> None:
        """News of hosts."""
        if event.kind is not api.ListKind.FAILED:
            for server in event.servers:
                if server.state is api.ServerState.HEALTHY:
                    self.told.pop(server.id, None)
                else:
                    self.told.setdefault(server.id, self.world.engine.now)
        self.feed(event)

    def take(self, effect: Effect, leaves_at: float) -> None:
        """A client asks."""
        world = self.world
        now = world.engine.now
        held = Try(f"{effect.name}.{effect.tries}", effect, effect.asked_at + effect.cls.give_up)
        if not self.alive:
            world.measure.add("no gateway")
            return world.clients.turned_away(effect, 0.0, True)
        self.held[held.name] = held
        world.engine.later(held.expires + world.experiment.measure.slack - now, self._overdue, held)
        if leaves_at > now:
            world.engine.at(leaves_at, self._leave, held)
        customer = effect.customer
        told = world.make_request(
            held.name, effect.cls_number, customer.plan_number, customer.number, customer.entries,
            world.engine.clock + held.expires - now, units=effect.units, first=customer.first,
            retried=effect.tries > 1,
        )  # fmt: skip
        return self.feed(told)

    def stop(self) -> None:
        """The process is killed: its clients see their connections break."""
        self.alive = False
        for held in list(self.held.values()):
            if not held.answers and not held.gone:
                held.gone = True
                self.world.measure.add("killed")
                again = held.effect.cls.repeat == "safe" or not held.attempts
                self.world.clients.turned_away(held.effect, 0.0, again)
        self.held.clear()

    def retire(self) -> None:
        """Nothing new comes; it ends with its last request."""
        self.retired = True
        self._rest()

    def _rest(self) -> None:
        if self.retired and not self.held:
            self.alive = False

    # What it does

    def _do(self, action: api.Action) -> None:
        world = self.world
        if isinstance(action, api.SetTimer):
            world.engine.later(action.delay, self.feed, api.TimerFired(action.token))
        elif isinstance(action, api.Send):
            self._send(action)
        elif isinstance(action, api.Count):
            world.counter.call(self, action)
        elif isinstance(action, api.Refuse):
            if (held := self._final(action.request, action.reason)) is not None:
                world.refused(held, action.reason, self.number)
                world.clients.turned_away(held.effect, action.advice, True)
        elif isinstance(action, api.Fail):
            if (held := self._final(action.request, "failed")) is not None:
                world.measure.add("failed")
                world.clients.turned_away(held.effect, 0.0, held.effect.cls.repeat == "safe")
        elif isinstance(action, api.FollowList | api.FetchList):
            world.engine.later(2 * world.experiment.ways.between, world.discovery.tell, self)
        elif isinstance(action, api.Cancel):
            held_there = self.held.get(action.request)
            if held_there is not None:
                self.ended(held_there.attempts[action.attempt], Outcome.CANCELLED)

    def _send(self, action: api.Send) -> None:
        world, held = self.world, self.held.get(action.request)
        if held is None:
            return
        now = world.engine.now
        until = now + action.until - world.engine.clock
        attempt = Attempt(self, held, action.server, now, until)
        held.attempts.append(attempt)
        world.measure.add("attempts")
        if len(held.attempts) == 1:
            world.measure.add("let in")
        world.pairs.add((self.number, action.server))
        world.rules.sent(now, self.number, action.server, self.told.get(action.server))
        world.engine.later(until - now, self.ended, attempt, Outcome.TIMEOUT)
        host = world.hosts.get(action.server)
        if host is None or not world.reaches(self.zone, host.zone):
            world.engine.later(
                world.experiment.ways.connect_timeout, self.ended, attempt, Outcome.CONNECT_FAILED
            )
        else:
            world.engine.later(world.way(self.zone, host.zone), self._arrive, attempt, host)

    def _arrive(self, attempt: Attempt, host: Host) -> None:
        host.take(attempt)

    def ended(self, attempt: Attempt, outcome: Outcome) -> None:
        """An attempt has ended as this gateway sees it; what comes later of it is not heard."""
        if attempt.ended or not self.alive:
            return
        attempt.ended = True
        world, held = self.world, attempt.held
        now = world.engine.now
        finished = outcome is Outcome.OK and not held.answers and not held.gone
        if finished and self._final(held.name, "") is not None:
            world.served(held)
        usage = world.usage(held.effect.customer) if outcome is Outcome.OK else None
        told = api.AttemptDone(
            held.name, attempt.number, outcome, now - attempt.sent_at, finished, usage,
            broke=outcome is Outcome.RESET,
        )  # fmt: skip
        self.feed(told)
        self._drop(held)

    def _final(self, name: str, reason: str) -> Try | None:
        """A final answer goes to the client. None: there is nobody to hear it."""
        held = self.held.get(name)
        if held is None or held.gone:
            return None
        held.answers += 1
        self.world.rules.answered(self.world.engine.now, name, held.answers)
        self._drop(held)
        return held if held.answers == 1 else None

    def _drop(self, held: Try) -> None:
        if (held.answers or held.gone) and all(a.ended for a in held.attempts):
            self.held.pop(held.name, None)
            self._rest()

    def _overdue(self, held: Try) -> None:
        if not held.answers and not held.gone and self.alive:
            self.world.measure.add("lost")
            self.world.rules.silent(self.world.engine.now, held.name, self.number)
            held.gone = True
            self._drop(held)

    def _leave(self, held: Try) -> None:
        if not held.answers and not held.gone and self.alive:
            held.gone = True
            self.world.measure.add("left")
            self.feed(api.Abandoned(held.name))
            self._drop(held)
