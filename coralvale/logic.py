"""The decisions of the gateway. The event and action types are in coralvale/interface.py.

A request normally passes the customer's leaky bucket (NICC ND1621, clause 5 and figure 4), then the other
limits, and is sent to a server. Exception: requests of a customer of whom this gateway sees too few are
counted on the shared counter first (`_ask_counter`).
"""

from __future__ import annotations

import math
import random
from typing import Any

from coralvale import interface as api
from coralvale.health import HALF_LIFE_S, LOST_DELAYS, SILENT_DELAYS, Fleet, Host, ServerSubset, pick_cold
from coralvale.interface import Outcome, Repeat, Verdict
from coralvale.restrictor import MAX_READING_AGE_S, STEP_S, Customers, Restrictor
from coralvale.state import Attempt, HeldCheck, HeldRequest, RateEstimate, Refusals
from coralvale.tally import REPLY_TIMEOUTS, TICK_S, CounterQuota

FAILURE_BACKOFF_S = 0.5  # pause of a failing server, doubled on each further failure in a row up to four
MAX_ERROR_BACKOFF_S = 8.0  # longest pause of a server that answers with errors alone
RETRY_BUDGET_RATIO = 0.2  # retries for each request: a broad failure must not double the load
RETRY_BUDGET_S = 0.5  # seconds of own traffic that the saved-up retries may amount to
WAIT_RATIO = 0.7  # longest expected wait, as a share of the time left
MAX_QUEUE = 2.5  # longest expected wait, in base delays: a longer queue adds no throughput
UNQUEUED_REQUESTS = 4.0  # requests that a server of any size is taken to work on without a queue
UNHEALTHY_FACTOR = 4.0  # weight on the wait at an unhealthy server, as most of a fleet may be unhealthy
SUBSET_SIZE = 8  # servers that a gateway sends to, so that its few attempts tell something of each
MIN_CANDIDATES = 3  # servers compared for a request; both are larger where few gateways share the fleet
MAX_QUOTA_ADVICE = 0.25  # longest Retry-After for a quota, as a share of the aim: a retry must be in time
EWMA_WEIGHT = 0.05  # weight of the newest own event: twenty events give a mean within about 20 %
MIN_DELAYS = 5.0  # shortest attempt timeout, in usual delays: one attempt in a hundred takes longer by chance
RETRY_RESERVE_DELAYS = 3.0  # usual delays before the aim that are kept for a retry of a late attempt
NOT_RUN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class Gateway:
    """The decisions of one gateway. Does no I/O and reads no clock: the caller passes the time."""

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
        self.classify_at = -math.inf  # when a cold server becomes warm next
        self.busy: dict[Host, None] = {}  # servers with attempts in flight
        self.requests: dict[str, HeldRequest] = {}
        self.pending_checks: dict[str, HeldCheck] = {}
        self.delays = [c.aim / 5 for c in settings.classes]  # usual delay by class, s, learned from answers
        self.base_delays = list(self.delays)  # lowest recent usual delay by class, s
        self.mean = sum(self.delays) / len(self.delays)
        self.completions = RateEstimate(EWMA_WEIGHT)
        self.retries = 1.0  # the retry budget, in attempts
        self.counter = CounterQuota(settings, self.rng)
        self.started_at, self.step_at, self.list_retry_at = None, 0.0, 0.0
        self.refusals, self.actions = Refusals(every=10.0), list[api.Action]()
        self.handlers: dict[type, Any] = {
            api.ServerList: self._on_server_list, api.Maintained: self._on_maintenance,
            api.Request: self._on_request, api.AttemptDone: self._on_attempt_done,
            api.StreamStarted: self._on_stream_started, api.Abandoned: self._on_abandoned,
            api.TimerFired: self._on_timer, api.CounterReply: self._on_counter_reply,
            api.Checked: self._on_checked, api.Handed: self._on_handed,
        }  # fmt: skip

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Takes an event at time `now`, in seconds, and returns the actions that it calls for."""
        self.actions = []
        if self.started_at is None:
            self.started_at, self.step_at = now, now + STEP_S * self.rng.random()
            self.actions.append(api.SetTimer(0, TICK_S))
            if self.settings.ask_for_list:
                self.actions.append(api.FollowList())
        if handler := self.handlers.get(type(event)):
            handler(now, event)
        return self.actions

    def _on_request(self, now: float, request: api.Request) -> None:
        self.settings.check(request, self.terms)
        restrictor = self.customers.of(now, request, self.started_at)
        plan, restrictor.seen_at = restrictor.plan, now
        restrictor.drain(now)
        if now >= request.expires_at:
            return self._refuse(request, "too late", 0.0)
        shared = self.allowance.wait(now, request, plan, True) if self.allowance else None
        if shared is not None:
            self._refuse(request, "quota", shared) if shared else self._admit(now, request, restrictor)
        elif not self._ask_counter(now, request, restrictor):
            self._apply_bucket(now, request, restrictor)
        restrictor.record_demand(now, request.units)

    def _apply_bucket(self, now: float, request: api.Request, restrictor: Restrictor) -> None:
        if wait := self.counter.wait(now, request, restrictor):
            return self._refuse(request, "quota uncounted", wait)
        if wait := restrictor.wait(request.units):
            return self._refuse(request, "quota", wait)
        return self._admit(now, request, restrictor)

    def _ask_counter(self, now: float, request: api.Request, restrictor: Restrictor) -> bool:
        """Refuses a request, or holds it until the counter's total comes. False: the bucket is to decide."""
        if not (self.settings.may_count and restrictor.scattered(request.units)):
            return False
        if wait := restrictor.known_wait(now, request.units):
            self._refuse(request, "quota counted", wait)
            return True
        if self._refused_by_limits(now, request, restrictor):
            return True
        if request.expires_at - now <= (REPLY_TIMEOUTS + 1) * self.settings.counter_timeout + TICK_S:
            return False
        if call := self.counter.ask(now, request, restrictor):
            self.actions.append(call)
            return True
        return False

    def _on_counter_reply(self, now: float, event: api.CounterReply) -> None:
        """Admits a request if the shared bucket has room; without a total in time the own bucket decides."""
        if (call := self.counter.take_reply(now, event)) is None:
            self.actions += self.allowance.reply(now, event) if self.allowance else []
            return
        if (request := call.request) is None or (restrictor := call.restrictor) is None:
            return
        restrictor = self.customers.of(now, request, self.started_at) if self.terms else restrictor
        restrictor.drain(now)
        if not (event.ok and math.isfinite(event.total) and restrictor.plan.rate):
            # The bucket judges by the demand before this request.
            restrictor.record_demand(now, -request.units)
            self._apply_bucket(now, request, restrictor)
            return restrictor.record_demand(now, request.units)
        refused = self._refused_by_limits(now, request, restrictor)
        wait, corrections = self.counter.settle(now, call, event.total, self.delays[request.cls], refused)
        self.actions += corrections
        if refused:
            return None
        if wait:
            return self._refuse(request, "quota counted", wait)
        return self._admit(now, request, restrictor, counted=True)

    def _refused_by_limits(self, now: float, request: api.Request, restrictor: Restrictor) -> bool:
        """Refuses a request that a limit other than the quota forbids; whether it did."""
        usual = self.delays[request.cls]
        if restrictor.open_limit_reached():
            self._refuse(request, "open limit", usual)
        elif wait := self.customers.ceiling_wait(now, request, restrictor):
            self._refuse(request, "ceiling", wait)
        elif request.expires_at - now < usual / 2:  # an answer is unlikely to come in time
            self._refuse(request, "too late", usual)
        elif wait := self._excess_wait(now, request):
            self._refuse(request, "pressed", wait)
        else:
            return False
        return True

    def _admit(self, now: float, request: api.Request, restrictor: Restrictor, counted: bool = False) -> None:
        if not counted and self._refused_by_limits(now, request, restrictor):
            return None
        if request.check and (wait := restrictor.check_wait(request.units)):
            return self._refuse(request, "quota of checks", wait)
        if not request.check and not self._dispatch(now, request, restrictor, now):
            return self._refuse(request, "no server", STEP_S)
        self.counter.record_admitted(now, request, restrictor, counted)
        filled = restrictor.charge(request.units)
        if self.allowance:
            self.allowance.charge(request, restrictor.plan)
        if request.check:  # its units are reserved, or those that wait could exceed the quota together
            restrictor.check_fill += request.units
            epoch = restrictor.reserve(request.units)
            self.pending_checks[request.id] = HeldCheck(
                request, now, restrictor, restrictor.plan, epoch, filled
            )
            self.actions.append(api.Check(request.id))

    def _dispatch(self, now: float, request: api.Request, restrictor: Restrictor, arrived: float) -> bool:
        """Picks a server and sends the request to it; whether there is one."""
        self._classify_servers(now)
        if (host := self._pick_cold(now) or self._pick(now)) is None:
            return False
        self.retries = min(1 + RETRY_BUDGET_S * self.completions.rate(now), self.retries + RETRY_BUDGET_RATIO)
        self.requests[request.id] = HeldRequest(request, arrived, restrictor, restrictor.epoch)
        self._send(now, self.requests[request.id], host)
        return True

    def _on_checked(self, now: float, event: api.Checked) -> None:
        """Sends a request that its authoriser approved, if it still may be; otherwise refunds and ends it."""
        if (held := self.pending_checks.get(event.request)) is None:
            return None
        request, restrictor, reason, wait = held.request, held.restrictor, "", self.delays[held.request.cls]
        restrictor.drain(now)
        if event.verdict is Verdict.NO_ANSWER:
            reason = "no authoriser"
        elif event.verdict is Verdict.ALLOWED:
            if request.expires_at - now < wait / 2:
                reason = "too late"
            elif pressed := self._excess_wait(now, request):
                reason, wait = "pressed", pressed
            elif ceiling := self.customers.recheck_wait(now, request, restrictor, held.epoch):
                reason, wait = "ceiling", ceiling
            elif self._dispatch(now, request, restrictor, held.arrived):
                del self.pending_checks[request.id]
                restrictor.release(request.units, held.epoch)  # the attempt takes its place
                return None
            else:
                reason, wait = "no server", STEP_S
        self.customers.give_back(self.pending_checks.pop(request.id))
        return self._refuse(request, reason, wait) if reason else self.actions.append(api.Deny(request.id))

    def _excess_wait(self, now: float, request: api.Request) -> float:
        """Seconds by which the expected wait (Little's law; one more at the mean delay) is over its limit.

        0 while fewer requests are in flight than the fleet handles without a queue: refusing would not help.
        """
        self._classify_servers(now)  # before the first send the lists would be empty
        usual, aim = self.delays[request.cls], self.settings.classes[request.cls].aim
        top = min(WAIT_RATIO * min(aim, request.expires_at - now), MAX_QUEUE * self.base_delays[request.cls])
        counts = {h: len(h.pending(now, self.mean)) for h in self.busy}
        healthy = [
            n for h, n in counts.items()
            if now >= h.retry_at and h.silence(now, self.mean) <= SILENT_DELAYS * self.mean
        ]  # fmt: skip
        if 2 * len(healthy) < len(self.busy):  # most do not hang by chance: that is a queue
            healthy = list(counts.values())
        rate, stalled = self.completions.rate(now), len(self.busy) - len(healthy)
        servers = len(self.warm) + sum(h.warmup(self.settings, now) for h in self.cold) - stalled
        wait = (sum(healthy) + 1) / (rate + 1 / self.mean)
        # Below 1 if answers are later than forecast (others' load, thrashing servers, abandoned work).
        factor = min(1.0, top / usual)  # lowers the unqueued requests and `top`, the longest expected wait
        if usual < top / 2 or wait * rate < UNQUEUED_REQUESTS * factor * servers / self.settings.gateways:
            return 0.0
        return max(0.0, wait - top * factor)

    def _on_server_list(self, now: float, event: api.ServerList) -> None:
        if event.kind is api.ListKind.FAILED:
            self.list_retry_at = now + STEP_S * (0.5 + self.rng.random())
            return
        self.fleet.merge(now, event)
        self.classify_at = -math.inf

    def _on_maintenance(self, now: float, event: api.Maintained) -> None:
        self.fleet.maintain(now, event)
        self.classify_at = -math.inf

    def _classify_servers(self, now: float) -> None:
        """Separates warm servers from cold ones when the list has changed or a cold one has become warm."""
        if now >= self.classify_at:
            usable = self.fleet.usable()
            before, self.warm = self.warm, [h for h in usable if h.warmup(self.settings, now) >= 1]
            self.cold = [h for h in usable if h.warmup(self.settings, now) < 1]
            ends = [h.started_at() + self.settings.warm_after for h in self.cold]
            self.classify_at = min(ends, default=math.inf)
            size = max(SUBSET_SIZE, 4 * len(self.warm) // self.settings.gateways)
            self.subset.renew(before, self.warm, size)

    def _pick_cold(self, now: float) -> Host | None:
        """At random, a cold server gets its warm-up share of its even share of this gateway's first attempts.

        Where most are cold it is up to `COLD_SPREAD` times that, as the few warm ones cannot do the rest.
        """
        # It does not depend on short queues or saved credit, so hundreds of gateways add up to that share.
        host = pick_cold(self.warm, self.cold, self.rng.random(), self.settings, now) if self.cold else None
        return (
            None if host is None or host.unhealthy(now, self.mean / host.warmup(self.settings, now)) else host
        )

    def _pick(self, now: float, held: HeldRequest | None = None) -> Host | None:
        """The least expected wait among some servers of the subset, drawn at random to avoid herding."""
        pool = [h for h in self.warm if self._may_retry_on(now, held, h)] if held else self.subset.hosts
        drawn = max(MIN_CANDIDATES, 4 * len(self.warm) // self.settings.gateways)
        if drawn < len(pool):
            pool = self.rng.sample(pool, k=drawn)
        best, least = None, math.inf
        for host in pool:
            others = max(0.0, host.reported) if now - host.reported_at < MAX_READING_AGE_S / 2 else 0.0
            wait = (1 + (len(host.in_flight) + others) / host.scale) * host.relative_delay(now)
            wait *= 1 + 0.1 * self.rng.random() + (0.02 if host.info.zone != self.settings.zone else 0)
            # Leaving out most of a fleet would overload the rest, so unhealthy ones are put last instead.
            if (wait := wait * UNHEALTHY_FACTOR if host.unhealthy(now, self.mean) else wait) < least:
                best, least = host, wait
        return best

    def _may_retry_on(self, now: float, held: HeldRequest, host: Host) -> bool:
        """Whether a retry may go to this server: never to one tried, and only within the key's group."""
        tried = any(a.host.info.id == host.info.id for a in held.attempts)
        first, cls = held.maybe_ran, self.settings.classes[held.request.cls]
        if tried or first is None or cls.repeat is Repeat.SAFE:
            return not tried
        if cls.repeat is Repeat.UNSAFE or now >= first.sent_at + cls.key_window:
            return False
        if cls.group is api.Group.ZONE:
            return host.info.zone == first.host.info.zone
        return cls.group is api.Group.ALL or host.info.cell == first.host.info.cell

    def _refuse(self, request: api.Request, reason: str, wait: float) -> None:
        self.refusals.note(reason)
        if reason.startswith("quota"):  # another of the customer's gateways may have room in time
            wait = min(wait, self.settings.classes[request.cls].aim * MAX_QUOTA_ADVICE)
        advice = min(wait, self.settings.max_advice * self.settings.advice)
        self.actions.append(api.Refuse(request.id, advice, reason))

    def _send(self, now: float, held: HeldRequest, host: Host) -> None:
        host.in_flight[held.request.id, len(held.attempts)] = now
        self.busy[host] = None
        held.restrictor.open += 1
        held.attempts.append(Attempt(host, now))
        self.actions.append(api.Send(held.request.id, host.info.id, self._attempt_deadline(now, held)))

    def _attempt_deadline(self, now: float, held: HeldRequest) -> float:
        """When the newest attempt times out: early enough for a retry, where one is allowed."""
        cls, usual = self.settings.classes[held.request.cls], self.delays[held.request.cls]
        last = min(held.request.expires_at, held.arrived + cls.aim) - RETRY_RESERVE_DELAYS * usual
        again = cls.repeat is Repeat.SAFE and not cls.late_worth
        again = again and len(held.attempts) < self.settings.max_attempts and last - now >= MIN_DELAYS * usual
        return last if again else held.request.expires_at

    def _finish(self, name: str, held: HeldRequest) -> None:
        held.unanswered = False
        if all(a.done for a in held.attempts):
            self.requests.pop(name, None)

    def _on_abandoned(self, now: float, event: api.Abandoned | api.StreamStarted) -> None:
        self.counter.abandon(event.request)
        if check := self.pending_checks.pop(event.request, None):
            self.customers.give_back(check)
        if held := self.requests.get(event.request):
            self._finish(event.request, held)

    def _on_stream_started(self, now: float, event: api.StreamStarted) -> None:
        if held := self.requests.get(event.request):
            # At the end of the answer the reading would be seconds old.
            held.restrictor.record_reading(now, event.usage)
        self._on_abandoned(now, event)

    def _on_handed(self, now: float, event: api.Handed) -> None:
        if held := self.requests.get(event.request):
            host = held.attempts[-1].host
            host.in_flight.pop((event.request, len(held.attempts) - 1), None)
            if not host.in_flight:
                self.busy.pop(host, None)

    def _on_attempt_done(self, now: float, event: api.AttemptDone) -> None:
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
        if self.settings.settles_after and 0 <= (event.units or -1) < math.inf:  # corrects the estimate
            restrictor.fill += event.units - held.request.units
        self._record_outcome(now, held.request.cls, attempt.host, event)
        if event.finished or not held.unanswered:
            return self._finish(event.request, held)
        if event.outcome not in NOT_RUN and held.maybe_ran is None:
            held.maybe_ran = attempt
        self._classify_servers(now)
        if self._should_retry(now, held, event.outcome) and (host := self._pick(now, held)):
            if held.maybe_ran is None:  # the ceiling in force when it reaches a server counts
                if late := self.customers.recheck_wait(now, held.request, restrictor, held.epoch):
                    self._refuse(held.request, "ceiling", late)
                    return self._finish(event.request, held)
                held.epoch = restrictor.cap_refill(held.request.units)
            # A failed connect costs a server nothing; retries of other failures must not double the load.
            self.retries -= event.outcome is not Outcome.CONNECT_FAILED
            return self._send(now, held, host)
        cls = self.settings.classes[held.request.cls]
        harmless = cls.repeat is Repeat.SAFE or (cls.repeat is Repeat.KEYED and cls.group is api.Group.ALL)
        if harmless or held.maybe_ran is None:
            self._refuse(held.request, "attempts used up", self.delays[held.request.cls])
        else:
            self.actions.append(api.Fail(event.request))
        self._finish(event.request, held)

    def _should_retry(self, now: float, held: HeldRequest, outcome: Outcome) -> bool:
        """Whether a retry can answer in time and is within the retry budget and the attempts allowed."""
        cls, end = self.settings.classes[held.request.cls], held.request.expires_at
        end = end if cls.late_worth else min(end, held.arrived + cls.aim)
        in_time = now + self.delays[held.request.cls] / 2 < end
        paid = self.retries >= 1 or outcome is Outcome.CONNECT_FAILED
        return in_time and paid and len(held.attempts) < self.settings.max_attempts

    def _record_outcome(self, now: float, cls: int, host: Host, event: api.AttemptDone) -> None:
        """Updates the usual delays and the server's health."""
        if event.outcome is Outcome.OK:
            self.completions.note(now)
            # Rare answers of a server weigh more: one that grows slower is avoided before it dies.
            weight, host.delay_ratio = (
                max(0.1, 1 - 0.5 ** ((now - host.answered_at) / HALF_LIFE_S)),
                host.relative_delay(now),
            )
            # A cold server is slow without being loaded.
            delay = event.delay * host.warmup(self.settings, now)
            host.delay_ratio += weight * (delay / self.delays[cls] - host.delay_ratio)
            host.record_answer(now)
            host.failures = 0.0 if host.failures < 1 else host.failures / 2
            self.base_delays[cls] = min(self.base_delays[cls], self.delays[cls])
            self.delays[cls] += EWMA_WEIGHT * (delay - self.delays[cls])
        elif event.outcome is Outcome.TIMEOUT:  # a lower bound; hung servers must not weigh much
            self.delays[cls] += EWMA_WEIGHT * min(max(0.0, event.delay - self.delays[cls]), self.delays[cls])
            # Else only the timeout was short, or, where others were answered since, the connection was bad.
            waited = event.delay >= min(self.settings.classes[cls].aim, LOST_DELAYS * self.delays[cls])
            if waited and host.answered_at < now - event.delay:
                host.record_failure(now, FAILURE_BACKOFF_S)
        elif event.alone and event.outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT):
            if event.broke:
                host.record_break(now, FAILURE_BACKOFF_S)
            elif event.outcome in (Outcome.FULL, Outcome.ERROR):
                host.record_answer(now)
                # Of a healthy server one answer in thousands is an error, so a single one marks a bad server.
                again = min(FAILURE_BACKOFF_S * 2**host.failures, MAX_ERROR_BACKOFF_S / 2**host.failures)
                error = again if host.failures >= 1 else 2 * FAILURE_BACKOFF_S
                host.record_failure(now, error if event.outcome is Outcome.ERROR else FAILURE_BACKOFF_S / 4)
            else:
                host.record_failure(now, FAILURE_BACKOFF_S)
        self.mean = sum(self.delays) / len(self.delays)
        host.record_report(now, dict(zip(self.settings.report_fields, event.report, strict=False)))

    def _on_timer(self, now: float, event: api.TimerFired) -> None:
        if event.token != 0:
            return
        self.actions += [api.SetTimer(0, TICK_S), *self.refusals.lines(now)]
        self.actions += self.allowance.due(now) if self.allowance else []
        if self.list_retry_at and now >= self.list_retry_at:
            self.list_retry_at = 0.0
            self.actions.append(api.FollowList() if self.settings.ask_for_list else api.FetchList())
        self.base_delays = [c * (1 + 0.01 * TICK_S) for c in self.base_delays]  # rise by 1 % a second
        for name, _ in self.counter.overdue(now):  # a lost reply must not lose the request
            self._on_counter_reply(now, api.CounterReply(name, False, 0.0))
        if now >= self.step_at:
            self.step_at += STEP_S
            self.subset.step(now, self.warm, self.mean)
            self.customers.step(now)
