"""All decisions of the gateway. The types it takes and gives are in coralvale/interface.py.

Ordinary path of a request: the customer's leaky bucket (NICC ND1621, clause 5 and figure 4), the guards, a
server. Exception: a customer of whom this gateway sees too little is counted on the counter (`_ask`).
"""

from __future__ import annotations

import math
import random
from typing import Any

from coralvale import interface as api
from coralvale.health import LOST, NEWS, SILENCE, Fleet, Host, ServerSubset, by_lot
from coralvale.interface import Outcome, Repeat, Verdict
from coralvale.restrictor import QUIET, STEP_S, Customers, Restrictor
from coralvale.state import Asked, Attempt, Held, Pace, Refusals
from coralvale.tally import REPLY_TIMEOUTS, TICK, Tally

FAIL_PAUSE = 0.5  # s a failing server is passed over, doubled on each failure in a row up to four
MOST_PAUSE = 8.0  # s that one which answers with errors alone is passed over at most
RETRY_SHARE = 0.2  # further attempts for each request: a broad failure must not double the load
RETRY_SAVED = 0.5  # s of own traffic that further attempts saved up in calm times may match
PRESSED = 0.7  # share of the time left that the expected wait may reach
CROWD = 2.5  # times the calm delay that work may wait: past that a longer queue adds no throughput
CARRIED = 4.0  # requests that a server, of whatever size, is taken to work on at once without a queue
ILL = 4.0  # times the wait counted for an ill server, which most of a fleet may be
NEAR = 8  # servers that a gateway keeps to, so that its few attempts tell something of each
FEWEST = 3  # of them drawn and compared for a request; more of both where few gateways share the fleet
SOON = 0.25  # share of the aim after which one whom a quota refused may come back: later is too late
MEMORY = 0.05  # weight of the newest of own events: twenty of them give a mean to a fifth
PATIENT = 5.0  # usual delays that an attempt is given at least: by chance one in a hundred takes longer
ROOM = 3.0  # usual delays before the aim that are kept for another attempt in place of a late one
NOT_RUN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class Gateway:
    """The decisions of one gateway; `handle` takes an event and returns the actions it calls for."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        allowance: api.Allowance | None = None,
        terms: api.Terms | None = None,
    ) -> None:
        self.settings, self.rng, self.allowance, self.terms = settings, random.Random(seed), allowance, terms
        self.customers, self.fleet = Customers(settings, allowance, terms), Fleet()
        self.warm, self.cold, self.subset = list[Host](), list[Host](), ServerSubset(self.rng)
        self.sort_at = -math.inf  # when a cold server becomes warm
        self.busy: dict[Host, None] = {}  # servers with attempts out
        self.requests: dict[str, Held] = {}
        self.pending_checks: dict[str, Asked] = {}
        self.usual = [c.aim / 5 for c in settings.classes]  # delay of a class, learned from answers
        self.calm = list(self.usual)  # the lowest that the usual delay has lately been
        self.mean = sum(self.usual) / len(self.usual)
        self.done = Pace(MEMORY)
        self.retries = 1.0
        self.counter = Tally(settings, self.rng)
        self.born, self.step_at, self.ask_at = None, 0.0, 0.0
        self.refused, self.actions = Refusals(every=10.0), list[api.Action]()
        self.answers: dict[type, Any] = {
            api.ServerList: self._list,
            api.Maintained: self._maintain,
            api.Request: self._arrive,
            api.AttemptDone: self._answer,
            api.StreamStarted: self._stream,
            api.Abandoned: self._leave,
            api.TimerFired: self._tick,
            api.CounterReply: self._counted,
            api.Checked: self._checked,
            api.Handed: self._handed,
        }

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.actions = []
        if self.born is None:
            self.born, self.step_at = now, now + STEP_S * self.rng.random()
            self.actions.append(api.SetTimer(0, TICK))
            if self.settings.ask_for_list:
                self.actions.append(api.FollowList())
        if answer := self.answers.get(type(event)):
            answer(now, event)
        return self.actions

    # A request comes: the bucket, or the counter where the bucket cannot know

    def _arrive(self, now: float, request: api.Request) -> None:
        self.settings.check(request, self.terms)
        restrictor = self.customers.of(now, request, self.born)
        plan, restrictor.seen_at = restrictor.plan, now
        restrictor.drain(now)
        if now >= request.expires_at:
            return self._refuse(request, "too late", 0.0)
        shared = self.allowance.wait(now, request, plan, True) if self.allowance else None
        if shared is not None:
            self._refuse(request, "quota", shared) if shared else self._admit(now, request, restrictor)
        elif not self._ask(now, request, restrictor):
            self._bucket(now, request, restrictor)
        restrictor.record_demand(now, request.units)

    def _bucket(self, now: float, request: api.Request, restrictor: Restrictor) -> None:
        if wait := self.counter.wait(now, request, restrictor):
            return self._refuse(request, "quota uncounted", wait)
        if wait := restrictor.wait(request.units):
            return self._refuse(request, "quota", wait)
        return self._admit(now, request, restrictor)

    def _ask(self, now: float, request: api.Request, restrictor: Restrictor) -> bool:
        """Exception: a sparse customer's request is counted on the counter, and held till the total comes."""
        if not (self.settings.may_count and restrictor.scattered(request.units)):
            return False
        if wait := restrictor.known_wait(now, request.units):
            self._refuse(request, "quota counted", wait)
            return True
        if self._guarded(now, request, restrictor):
            return True
        if request.expires_at - now <= (REPLY_TIMEOUTS + 1) * self.settings.counter_timeout + TICK:
            return False
        if call := self.counter.ask(now, request, restrictor):
            self.actions.append(call)
            return True
        return False

    def _counted(self, now: float, event: api.CounterReply) -> None:
        """Lets in what the store has room for; without a total in time the bucket alone decides."""
        if (call := self.counter.answered(now, event)) is None:
            self.actions += self.allowance.reply(now, event) if self.allowance else []
            return
        if (request := call.request) is None or (restrictor := call.restrictor) is None:
            return
        restrictor = self.customers.of(now, request, self.born) if self.terms else restrictor
        restrictor.drain(now)
        if not (event.ok and math.isfinite(event.total) and restrictor.plan.rate):
            # The bucket judges by the demand before this request.
            restrictor.record_demand(now, -request.units)
            self._bucket(now, request, restrictor)
            return restrictor.record_demand(now, request.units)
        guarded = self._guarded(now, request, restrictor)
        wait, right = self.counter.settle(now, call, event.total, self.usual[request.cls], guarded)
        self.actions += right
        if guarded:
            return None
        if wait:
            return self._refuse(request, "quota counted", wait)
        return self._admit(now, request, restrictor, well=True)

    def _guarded(self, now: float, request: api.Request, restrictor: Restrictor) -> bool:
        """Refuses what the quota may have room for, and something else forbids."""
        usual = self.usual[request.cls]
        if restrictor.open_full():
            self._refuse(request, "open limit", usual)
        elif wait := self.customers.ceiling_wait(now, request, restrictor):
            self._refuse(request, "ceiling", wait)
        elif request.expires_at - now < usual / 2:  # an answer would hardly come in time
            self._refuse(request, "too late", usual)
        elif wait := self._pressed(now, request):
            self._refuse(request, "pressed", wait)
        else:
            return False
        return True

    def _admit(self, now: float, request: api.Request, restrictor: Restrictor, well: bool = False) -> None:
        if not well and self._guarded(now, request, restrictor):
            return None
        if request.check and (wait := restrictor.check_wait(request.units)):
            return self._refuse(request, "quota of checks", wait)
        if not request.check and not self._serve(now, request, restrictor, now):
            return self._refuse(request, "no server", STEP_S)
        self.counter.let(now, request, restrictor, well)
        filled = restrictor.charge(request.units)
        if self.allowance:
            self.allowance.charge(request, restrictor.plan)
        if request.check:  # its units are kept, or those that wait could pass the quota together
            restrictor.checks += request.units
            epoch = restrictor.wait_with(request.units)
            self.pending_checks[request.id] = Asked(request, now, restrictor, restrictor.plan, epoch, filled)
            self.actions.append(api.Check(request.id))

    def _serve(self, now: float, request: api.Request, restrictor: Restrictor, arrived: float) -> bool:
        """Sends a request to a server that is picked now; whether there is one."""
        self._sort(now)
        if (host := self._pick_cold(now) or self._pick(now)) is None:
            return False
        self.retries = min(1 + RETRY_SAVED * self.done.rate(now), self.retries + RETRY_SHARE)
        self.requests[request.id] = Held(request, arrived, restrictor, restrictor.epoch)
        self._send(now, self.requests[request.id], host)
        return True

    def _checked(self, now: float, event: api.Checked) -> None:
        """An authoriser's answer: an approval sends the request if that is of use, else all is given back."""
        if (asked := self.pending_checks.get(event.request)) is None:
            return None
        request, restrictor, reason, wait = asked.request, asked.restrictor, "", self.usual[asked.request.cls]
        restrictor.drain(now)
        if event.verdict is Verdict.NO_ANSWER:
            reason = "no authoriser"
        elif event.verdict is Verdict.ALLOWED:
            if request.expires_at - now < wait / 2:
                reason = "too late"
            elif pressed := self._pressed(now, request):
                reason, wait = "pressed", pressed
            elif ceiling := self.customers.still(now, request, restrictor, asked.epoch):
                reason, wait = "ceiling", ceiling
            elif self._serve(now, request, restrictor, asked.arrived):
                del self.pending_checks[request.id]
                restrictor.go(request.units, asked.epoch)  # the attempt is out in its place
                return None
            else:
                reason, wait = "no server", STEP_S
        self.customers.give_back(self.pending_checks.pop(request.id))
        return self._refuse(request, reason, wait) if reason else self.actions.append(api.Deny(request.id))

    def _pressed(self, now: float, request: api.Request) -> float:
        """Seconds by which the expected wait (Little's law; one more at the mean delay) is over what may be.

        Nought while less is out than the fleet carries without a queue: refusing does not help then.
        """
        self._sort(now)  # one that has sent nothing yet must not take the fleet for empty
        usual, aim = self.usual[request.cls], self.settings.classes[request.cls].aim
        most = min(PRESSED * min(aim, request.expires_at - now), CROWD * self.calm[request.cls])
        counts = {h: len(h.waiting(now, self.mean)) for h in self.busy}
        well = [
            n for h, n in counts.items()
            if now >= h.retry_at and h.silence(now, self.mean) <= SILENCE * self.mean
        ]  # fmt: skip
        if 2 * len(well) < len(self.busy):  # most of a fleet does not hang by chance: that is a jam
            well = list(counts.values())
        rate, lost = self.done.rate(now), len(self.busy) - len(well)
        servers = len(self.warm) + sum(h.warmup(self.settings, now) for h in self.cold) - lost
        wait = (sum(well) + 1) / (rate + 1 / self.mean)
        # Answers late in spite of the forecast (others' load, thrashing servers, work given up) tighten both.
        tight = min(1.0, most / usual)
        if usual < most / 2 or wait * rate < CARRIED * tight * servers / self.settings.gateways:
            return 0.0
        return max(0.0, wait - most * tight)

    # Servers and their health

    def _list(self, now: float, event: api.ServerList) -> None:
        if event.kind is api.ListKind.FAILED:
            self.ask_at = now + STEP_S * (0.5 + self.rng.random())
            return
        self.fleet.merge(now, event)
        self.sort_at = -math.inf

    def _maintain(self, now: float, event: api.Maintained) -> None:
        self.fleet.maintain(now, event)
        self.sort_at = -math.inf

    def _sort(self, now: float) -> None:
        """Parts warm servers from cold ones when the list has changed or a cold one has become warm."""
        if now >= self.sort_at:
            well = self.fleet.usable()
            before, self.warm = self.warm, [h for h in well if h.warmup(self.settings, now) >= 1]
            self.cold = [h for h in well if h.warmup(self.settings, now) < 1]
            ends = [h.started_at() + self.settings.warm_after for h in self.cold]
            self.sort_at = min(ends, default=math.inf)
            size = max(NEAR, 4 * len(self.warm) // self.settings.gateways)
            self.subset.renew(before, self.warm, size)

    def _pick_cold(self, now: float) -> Host | None:
        """By lot, a cold server gets its surest warmth times its even share of own first attempts.

        Where most are cold it is up to `SPREAD` times that, as the few warm ones cannot do the rest.
        """
        # No short queue or saved credit counts, so hundreds of gateways add up to that share and no more.
        host = by_lot(self.warm, self.cold, self.rng.random(), self.settings, now) if self.cold else None
        return (
            None if host is None or host.unhealthy(now, self.mean / host.warmup(self.settings, now)) else host
        )

    def _pick(self, now: float, held: Held | None = None) -> Host | None:
        """Of some near servers drawn by lot, against herding, the one with the least expected wait."""
        pool = [h for h in self.warm if self._may_go(now, held, h)] if held else self.subset.hosts
        drawn = max(FEWEST, 4 * len(self.warm) // self.settings.gateways)
        if drawn < len(pool):
            pool = self.rng.sample(pool, k=drawn)
        best, least = None, math.inf
        for host in pool:
            others = max(0.0, host.reported) if now - host.reported_at < QUIET / 2 else 0.0
            wait = (1 + (len(host.in_flight) + others) / host.scale) * host.relative_delay(now)
            wait *= 1 + 0.1 * self.rng.random() + (0.02 if host.info.zone != self.settings.zone else 0)
            # Passing over most of a fleet would drown the rest, so ill ones are put last, not left out.
            if (wait := wait * ILL if host.unhealthy(now, self.mean) else wait) < least:
                best, least = host, wait
        return best

    def _may_go(self, now: float, held: Held, host: Host) -> bool:
        """Whether a further attempt may go to this server: never to one tried, and within the key's group."""
        tried = any(a.host.info.id == host.info.id for a in held.attempts)
        first, cls = held.maybe, self.settings.classes[held.request.cls]
        if tried or first is None or cls.repeat is Repeat.SAFE:
            return not tried
        if cls.repeat is Repeat.UNSAFE or now >= first.sent_at + cls.key_window:
            return False
        if cls.group is api.Group.ZONE:
            return host.info.zone == first.host.info.zone
        return cls.group is api.Group.ALL or host.info.cell == first.host.info.cell

    def _refuse(self, request: api.Request, reason: str, wait: float) -> None:
        self.refused.note(reason)
        if reason.startswith("quota"):  # another of the customer's gateways may have room, and in time
            wait = min(wait, self.settings.classes[request.cls].aim * SOON)
        advice = min(wait, self.settings.max_advice * self.settings.advice)
        self.actions.append(api.Refuse(request.id, advice, reason))

    def _send(self, now: float, held: Held, host: Host) -> None:
        host.in_flight[held.request.id, len(held.attempts)] = now
        self.busy[host] = None
        held.restrictor.open += 1
        held.attempts.append(Attempt(host, now))
        self.actions.append(api.Send(held.request.id, host.info.id, self._until(now, held)))

    def _until(self, now: float, held: Held) -> float:
        """How long the newest attempt may take: a late one leaves time for another, if there may be one."""
        cls, usual = self.settings.classes[held.request.cls], self.usual[held.request.cls]
        last = min(held.request.expires_at, held.arrived + cls.aim) - ROOM * usual
        again = cls.repeat is Repeat.SAFE and not cls.late_worth
        again = again and len(held.attempts) < self.settings.max_attempts and last - now >= PATIENT * usual
        return last if again else held.request.expires_at

    def _close(self, name: str, held: Held) -> None:
        held.live = False
        if all(a.done for a in held.attempts):
            self.requests.pop(name, None)

    def _leave(self, now: float, event: api.Abandoned | api.StreamStarted) -> None:
        self.counter.leave(event.request)
        if asked := self.pending_checks.pop(event.request, None):
            self.customers.give_back(asked)
        if held := self.requests.get(event.request):
            self._close(event.request, held)

    def _stream(self, now: float, event: api.StreamStarted) -> None:
        if held := self.requests.get(event.request):
            # At the end of the answer the reading would be seconds old.
            held.restrictor.record_reading(now, event.usage)
        self._leave(now, event)

    def _handed(self, now: float, event: api.Handed) -> None:
        if held := self.requests.get(event.request):
            host = held.attempts[-1].host
            host.in_flight.pop((event.request, len(held.attempts) - 1), None)
            if not host.in_flight:
                self.busy.pop(host, None)

    def _answer(self, now: float, event: api.AttemptDone) -> None:
        held = self.requests.get(event.request)
        if held is None or not 0 <= event.attempt < len(held.attempts) or held.attempts[event.attempt].done:
            return
        attempt, restrictor = held.attempts[event.attempt], held.restrictor
        attempt.done = True
        attempt.host.in_flight.pop((event.request, event.attempt), None)
        if not attempt.host.in_flight:
            self.busy.pop(attempt.host, None)
        restrictor.open -= 1
        restrictor.record_reading(now, event.usage)
        if self.settings.settles_after and 0 <= (event.units or -1) < math.inf:  # corrects the guess
            restrictor.fill += event.units - held.request.units
        self._learn(now, held.request.cls, attempt.host, event)
        if event.finished or not held.live:
            return self._close(event.request, held)
        if event.outcome not in NOT_RUN and held.maybe is None:
            held.maybe = attempt
        self._sort(now)
        if self._worth_another(now, held, event.outcome) and (host := self._pick(now, held)):
            if held.maybe is None:  # it counts for what holds when it comes to a host
                if late := self.customers.still(now, held.request, restrictor, held.epoch):
                    self._refuse(held.request, "ceiling", late)
                    return self._close(event.request, held)
                held.epoch = restrictor.late(held.request.units)
            # No connection costs a server nothing; other failures must not double the load.
            self.retries -= event.outcome is not Outcome.CONNECT_FAILED
            return self._send(now, held, host)
        cls = self.settings.classes[held.request.cls]
        harmless = cls.repeat is Repeat.SAFE or (cls.repeat is Repeat.KEYED and cls.group is api.Group.ALL)
        if harmless or held.maybe is None:
            self._refuse(held.request, "attempts used up", self.usual[held.request.cls])
        else:
            self.actions.append(api.Fail(event.request))
        self._close(event.request, held)

    def _worth_another(self, now: float, held: Held, outcome: Outcome) -> bool:
        cls, end = self.settings.classes[held.request.cls], held.request.expires_at
        end = end if cls.late_worth else min(end, held.arrived + cls.aim)
        in_time = now + self.usual[held.request.cls] / 2 < end
        paid = self.retries >= 1 or outcome is Outcome.CONNECT_FAILED
        return in_time and paid and len(held.attempts) < self.settings.max_attempts

    def _learn(self, now: float, cls: int, host: Host, event: api.AttemptDone) -> None:
        if event.outcome is Outcome.OK:
            self.done.note(now)
            # What is seldom heard of a server counts for more: one that grows slower is left before it dies.
            weight, host.delay_ratio = (
                max(0.1, 1 - 0.5 ** ((now - host.answered_at) / NEWS)),
                host.relative_delay(now),
            )
            delay = event.delay * host.warmup(self.settings, now)  # a cold one is slow by nature, not pressed
            host.delay_ratio += weight * (delay / self.usual[cls] - host.delay_ratio)
            host.record_answer(now)
            host.failures = 0.0 if host.failures < 1 else host.failures / 2
            self.calm[cls] = min(self.calm[cls], self.usual[cls])
            self.usual[cls] += MEMORY * (delay - self.usual[cls])
        elif event.outcome is Outcome.TIMEOUT:  # the delay is at least this; hung servers must not tell much
            self.usual[cls] += MEMORY * min(max(0.0, event.delay - self.usual[cls]), self.usual[cls])
            # Else only the patience was short, or, where others were answered since, the connection was bad.
            patient = event.delay >= min(self.settings.classes[cls].aim, LOST * self.usual[cls])
            if patient and host.answered_at < now - event.delay:
                host.record_failure(now, FAIL_PAUSE)
        elif event.alone and event.outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT):
            if event.broke:
                host.record_break(now, FAIL_PAUSE)
            elif event.outcome in (Outcome.FULL, Outcome.ERROR):
                host.record_answer(now)
                # Of a sound host one answer in thousands is an error, so one alone tells of a bad one.
                again = min(FAIL_PAUSE * 2**host.failures, MOST_PAUSE / 2**host.failures)
                error = again if host.failures >= 1 else 2 * FAIL_PAUSE
                host.record_failure(now, error if event.outcome is Outcome.ERROR else FAIL_PAUSE / 4)
            else:
                host.record_failure(now, FAIL_PAUSE)
        self.mean = sum(self.usual) / len(self.usual)
        host.record_report(now, dict(zip(self.settings.report_fields, event.report, strict=False)))

    def _tick(self, now: float, event: api.TimerFired) -> None:
        if event.token != 0:
            return
        self.actions += [api.SetTimer(0, TICK), *self.refused.lines(now)]
        self.actions += self.allowance.due(now) if self.allowance else []
        if self.ask_at and now >= self.ask_at:
            self.ask_at = 0.0
            self.actions.append(api.FollowList() if self.settings.ask_for_list else api.FetchList())
        self.calm = [c * (1 + 0.01 * TICK) for c in self.calm]
        for name, _ in self.counter.tick(now):  # a lost reply must not lose the request
            self._counted(now, api.CounterReply(name, False, 0.0))
        if now >= self.step_at:
            self.step_at += STEP_S
            self.subset.step(now, self.warm, self.mean)
            self.customers.step(now)
