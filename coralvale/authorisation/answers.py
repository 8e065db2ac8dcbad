"""Answers `Check` for other proxies with the gateway's own decisions. No I/O.

A proxy that asks is one more gateway of its stations' sets: the decision module sees its requests arrive,
decides as it does on the gateway, and is told how they ended. Which server the module picks is of no use
here, since the proxy has its own, and their load is the proxy's business: the module is told at once that
the attempt is another's (`Handed`), so that its guard against crowded servers sees none of them. Quotas,
ceilings, open limits, deadlines hold.

  what comes                                   what becomes of it
  -------------------------------------------  ----------------------------------------------------------------
  a request, its id not known                  the module's word: allowed with the time that is left, or refused
  the same id and content while it is known    allowed again without a charge, `repeats` times at most: a proxy's
                                               own retry, or a check that crossed a reconnect
  the same id with other content, or oftener   a mistake: ids are new with every request
  an end, from the access log                  the attempt's end: frees what is out, tells use and delay. The id
                                               stays known until its class's give-up time is over
  an end for an id that is not known, again    passed over, counted
  no end by the class's give-up time           it ends as cancelled: nothing is learned, what was out is freed

Bound: `most` ids are known; a request past that is refused with `Retry-After`.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass

from coralvale import interface as api
from coralvale.interface import Outcome
from coralvale.logic import Gateway


@dataclass(frozen=True, slots=True)
class Allowed:
    """The request may be sent; it has `left` seconds."""

    request: str
    left: float


@dataclass(frozen=True, slots=True)
class Refused:
    """The request is turned away; the client may come back after `after` seconds."""

    request: str
    after: float


@dataclass(frozen=True, slots=True)
class Mistaken:
    """The request makes no sense; why, for the client."""

    request: str
    why: str


Out = Allowed | Refused | Mistaken | api.Count | api.Log


@dataclass(slots=True)
class Known:
    """A request that was allowed, or is waiting for the counter."""

    request: api.Request
    until: float  # when its class's give-up time is over
    waiting: bool = True
    repeats: int = 0
    ended: bool = False


class Answers:
    """One service's decisions for the proxies that ask it."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        allowance: api.Allowance | None = None,
        most: int = 50_000,
        repeats: int = 8,
    ) -> None:
        self.settings, self.most, self.repeats = settings, most, repeats
        self.gateway = Gateway(settings, seed, allowance)
        self.known: dict[str, Known] = {}
        self.ends: list[tuple[float, str]] = []  # a heap: when an id is forgotten
        self.strays = 0  # ends of requests that are not known, or have ended

    def listed(self, now: float, event: api.ServerList) -> list[Out]:
        """The list of hosts that the proxies serve from."""
        return self._outs(now, self.gateway.handle(now, event))

    def check(self, now: float, request: api.Request) -> list[Out]:
        """A request that a proxy asks about; the answer is among what is returned now or later."""
        if known := self.known.get(request.id):
            return [self._again(now, request, known)]
        if len(self.known) >= self.most:
            return [Refused(request.id, self.settings.max_advice)]
        if request.expires_at <= now:
            return [Refused(request.id, 0.0)]
        until = now + self.settings.classes[request.cls].give_up
        self.known[request.id] = Known(request, until)
        outs = self._outs(now, self.gateway.handle(now, request))
        if request.id in self.known:  # what was refused is not kept in mind
            heapq.heappush(self.ends, (until, request.id))
        return outs

    def _again(self, now: float, request: api.Request, known: Known) -> Out:
        before = known.request
        same = (request.cls, request.plan, request.customer, request.units) == (
            before.cls, before.plan, before.customer, before.units,
        )  # fmt: skip
        if not same or known.repeats >= self.repeats:
            return Mistaken(request.id, "x-request-id: in use")
        if known.waiting or before.expires_at <= now:
            return Refused(request.id, self.settings.max_advice)
        known.repeats += 1
        return Allowed(request.id, before.expires_at - now)

    def ended(
        self, now: float, request: str, outcome: Outcome, delay: float, usage: float | None = None
    ) -> list[Out]:
        """How a request ended at its proxy; `delay` in seconds, `usage` as in `AttemptDone`."""
        known = self.known.get(request)
        if known is None or known.ended or known.waiting:
            self.strays += 1
            return []
        known.ended = True
        event = api.AttemptDone(request, 0, outcome, max(0.0, delay), True, usage)
        return self._outs(now, self.gateway.handle(now, event))

    def counted(self, now: float, reply: api.CounterReply) -> list[Out]:
        return self._outs(now, self.gateway.handle(now, reply))

    def left(self, now: float, request: str) -> list[Out]:
        """The caller of a check that waits has gone: it is forgotten."""
        known = self.known.get(request)
        if known is None or not known.waiting:
            return []
        del self.known[request]
        return self._outs(now, self.gateway.handle(now, api.Abandoned(request)))

    def tick(self, now: float) -> list[Out]:
        """To be called every 0.1 s."""
        outs = self._outs(now, self.gateway.handle(now, api.TimerFired(0)))
        while self.ends and self.ends[0][0] <= now:
            until, name = heapq.heappop(self.ends)
            if (known := self.known.get(name)) is None or known.until != until:
                continue
            if known.waiting:
                outs += [*self.left(now, name), Refused(name, self.settings.max_advice)]
                continue
            if not known.ended:
                known.ended = True
                done = api.AttemptDone(name, 0, Outcome.CANCELLED, 0.0, True)
                outs += self._outs(now, self.gateway.handle(now, done))
            del self.known[name]
        return outs

    def _outs(self, now: float, actions: list[api.Action]) -> list[Out]:
        outs: list[Out] = []
        for action in actions:
            if isinstance(action, (api.Count, api.Log)):
                outs.append(action)
            elif isinstance(action, api.Send) and (known := self.known.get(action.request)):
                if known.waiting:
                    known.waiting = False
                    self.gateway.handle(now, api.Handed(action.request))
                    outs.append(Allowed(action.request, known.request.expires_at - now))
            elif isinstance(action, api.Refuse) and action.request in self.known:
                del self.known[action.request]
                outs.append(Refused(action.request, action.advice))
        return outs
