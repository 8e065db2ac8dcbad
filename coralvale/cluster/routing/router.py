"""A request's way through a gateway, without I/O: what is let in, where it goes, whether again, what is
promised.

On the ordinary path: route and key in the configuration's snapshot, the tenant's bucket (`limiter`), a copy. A
request that may run once is sent again, or refused with a promise, only while every earlier try is known not
to have run.
"""

from __future__ import annotations

import random

from attrs import define, field

from coralvale.cluster.configuration.model import Configuration, Route
from coralvale.cluster.errors import Kind, Problem
from coralvale.cluster.rate_limit.actions import Admitted, Refused, Waiting
from coralvale.cluster.rate_limit.limiter import RateLimiter
from coralvale.cluster.routing.budget import Budget
from coralvale.cluster.routing.copies import Copies, Copy
from coralvale.cluster.routing.tries import ENDS
from coralvale.cluster.settings import Bounds
from coralvale.interface import Outcome

ROOM = 0.025  # s before the client's time is up, for the answer to reach it
SPARE_TRIES = 2  # beyond the route's, for tries of which no byte was sent
GOLDEN = 0.6180339887498949
LONGEST_WAIT = 0.15  # s that a request waits for a token of its tenant's quota
WAIT_PART = 0.22  # of its route's aim, at most: refused within a quarter of it, it can be served in time yet
AGAIN = 0.25  # s after which a client may come back when no host is there
LEARNING = 0.05  # weight of the newest delay of a route
FIRST = 0.3  # of a route's aim that an answer is taken to need until some have come
PATIENT = 6.0  # usual delays without a word of the copy, after which a request that may is sent elsewhere
FAIL_PAUSE = 0.5  # s that a failing copy is passed over, doubled on each failure in a row
WRONG_PLACE = 4.0  # s that a copy is passed over at whose address another answers
FULL = 1.5  # times its slots that are at a copy, from which on its failures may be those of a full one
LIGHTEST = 0.3  # weight at most of one answer in a copy's slowness
HOST_FAILURES = range(500, 600)


NOTHING: tuple[Configuration, str, str, tuple[str, Route] | None] = (Configuration(), "", "", None)


@define(eq=False)
class Job:
    """One request in hand."""

    id: bytes
    route_name: str
    route: Route
    service: str
    tenant: str
    arrived: float
    ends: float  # when its client, or the operator, waits no longer
    admitted: Admitted | None = None  # by its tenant's limit
    waits: bool = False  # for a token
    tries: int = 0
    maybe: bool = False  # a try may have run
    sent: bool = False  # a try reached a host, that turned it away or not
    tried: set[str] = field(factory=set)


class Router:
    def __init__(
        self,
        bounds: Bounds,
        copies: Copies,
        limiter: RateLimiter,
        chance: random.Random,
    ) -> None:
        self.bounds, self.copies, self.limiter = bounds, copies, limiter
        self.chance = chance
        self.configuration, self.home = Configuration(), copies.home
        self.newest: tuple[Configuration, str, str, tuple[str, Route] | None] = NOTHING
        self.budgets: dict[str, Budget] = {}
        self.usual: dict[str, float] = {}  # delay of a route's answers, s
        self.pace: dict[str, float] = {}  # of a service's, s
        self.turns: dict[str, float] = {}  # by route with a split, where its turn stands, 0 to 1

    def take_configuration(self, configuration: Configuration) -> bool:
        """A newer configuration is in force from now on; an older one never is again."""
        if configuration.version <= self.configuration.version:
            return False
        self.configuration = configuration
        self.home.take_configuration(configuration)
        self.copies.lists.clear()  # what binds a service may have changed
        services = configuration.services()
        self.pace = {name: value for name, value in self.pace.items() if name in services}
        routes = configuration.items.get("Routes", {})
        self.usual = {name: value for name, value in self.usual.items() if name in routes}
        self.turns = {name: value for name, value in self.turns.items() if name in routes}
        return True

    # In

    def head(self, now: float, host: str, path: str) -> Problem | None:
        """What can be said on a request's head alone: that it is bound elsewhere. Nothing of it is kept."""
        if not self.home.routes or (found := self._found(host, path)) is None:
            return None
        if foreign := self.home.refuses(now, found[0]):
            self._abroad(now, found[0])
        return foreign

    def _abroad(self, now: float, route: str) -> None:
        """Refused: it is counted, and nothing else of it is kept."""
        self.home.count(now, route)
        self.newest = NOTHING

    def enter(
        self, now: float, id_: bytes, host: str, path: str, key: str | None, left: float
    ) -> Job | Problem:
        """`left`: s that the client will wait."""
        configuration = self.configuration
        if not configuration.version:
            return Problem(Kind.NO_CONFIGURATION, retry_after=AGAIN)
        found = self._found(host, path)
        if found is None:
            return Problem(Kind.NO_ROUTE, f"{host}{path}")
        name, route = found
        if self.home.routes and (foreign := self.home.refuses(now, name)):
            self._abroad(now, name)
            return foreign
        tenant = configuration.keys.get(key, "") if key is not None else ""
        if not tenant and not route.Public and configuration.tenants():
            return Problem(Kind.NO_KEY)
        service = self._service(name, route)
        self._budget(now, service).request(now)
        job = Job(id_, name, route, service, tenant, now, now + min(left, route.TimeoutMs / 1000) - ROOM)
        if job.ends <= now:
            return Problem(Kind.NOT_SENT_IN_TIME)
        if tenant and (terms := configuration.tenant(tenant)) and terms.RatePerS > 0:
            aim = (route.TargetMs or route.TimeoutMs) / 1000
            patience = min(LONGEST_WAIT, WAIT_PART * aim, job.ends - now)
            verdict = self.limiter.request(now, tenant, terms.RatePerS, terms.Burst, job, patience)
            if isinstance(verdict, Waiting):
                job.waits = True
            elif problem := self.decided(job, verdict):
                return problem
        return job

    def decided(self, job: Job, verdict: Admitted | Refused) -> Problem | None:
        """What the limiter says of a request, at once or after it waited for a token."""
        job.waits = False
        if isinstance(verdict, Refused):
            return Problem(Kind.OVER_QUOTA, job.tenant, retry_after=verdict.retry_after)
        job.admitted = verdict
        return None

    def abandon(self, now: float, job: Job) -> None:
        """A request that was let in is not sent: its tenant is not charged for it."""
        if job.admitted:
            self.limiter.refund(now, job.tenant, job.admitted)
            job.admitted = None

    def _found(self, host: str, path: str) -> tuple[str, Route] | None:
        """The route; looked for once where a request's head and then the request are asked about."""
        configuration, newest = self.configuration, self.newest
        if newest[0] is configuration and newest[2] == path and newest[1] == host:
            return newest[3]
        found = configuration.route(host, path)
        if self.home.routes:
            self.newest = (configuration, host, path, found)
        return found

    def _service(self, name: str, route: Route) -> str:
        if not route.Split:
            return route.Svc
        parts = [p for p in route.Split if p.Wt > 0]
        # Multiples of the golden ratio fill the unit interval evenly: each part gets its weight's share of the
        # requests to within a few, where drawing by lot would miss it by their root.
        self.turns[name] = at = (self.turns.get(name, self.chance.random()) + GOLDEN) % 1.0
        left = at * sum(p.Wt for p in parts)
        for part in parts:
            left -= part.Wt
            if left < 0:
                return part.Svc
        return parts[-1].Svc

    def _budget(self, now: float, service: str) -> Budget:
        budget = self.budgets.get(service)
        if budget is None:
            self._forget_budgets(now)
            b = self.bounds
            budget = self.budgets[service] = Budget(b.RetryRatio, b.RetryWindowS, b.RetryExtra)
        return budget

    def _forget_budgets(self, now: float) -> None:
        """Of services that are gone: what was used of them counts for a window more, also where a service of
        that name comes back."""
        services = self.configuration.services()
        for name in [n for n, b in self.budgets.items() if n not in services and b.is_idle(now)]:
            del self.budgets[name]

    def _may_try_again(self, now: float, service: str) -> bool:
        """Whether the budget of further tries has one more."""
        return self._budget(now, service).allows(now, self.limiter.holding.share(now))

    # A try

    def pick(self, now: float, job: Job) -> Copy | Problem:
        """The copy that the next try goes to."""
        if now >= job.ends:
            return self.give_up(now, job)
        if self.home.routes and (foreign := self.home.refuses(now, job.route_name)):
            return self._failed(now, job, foreign.kind.value)
        if job.sent and not self._may_try_again(now, job.service):
            return self._failed(now, job, "the budget of further tries is used up")
        pace, once = self.pace.get(job.service, 0.2), not job.route.repeatable
        region = self.home.routes.get(job.route_name, "")
        copy = self.copies.pick(now, job.service, pace, job.tried, once, region)
        if copy is None:
            return (
                self._failed(now, job, "no host is known")
                if job.tries
                else self._refuse(now, job, Kind.NO_HOST)
            )
        if job.sent:  # the first that arrives is no further one
            self._budget(now, job.service).charge(now)
        job.tries += 1
        job.tried.add(copy.life.id)
        copy.in_flight[(job.id.decode("latin-1"), job.tries)] = now
        return copy

    def patience(self, now: float, job: Job) -> float | None:
        """Seconds after which a try whose copy has said nothing at all may be given up for another."""
        if not job.route.repeatable or job.tries >= job.route.Tries:
            return None
        usual = self.usual_of(job)
        wait = PATIENT * usual
        return wait if now + wait + usual < job.ends else None

    def usual_of(self, job: Job) -> float:
        return self.usual.get(job.route_name) or FIRST * (job.route.TargetMs or job.route.TimeoutMs) / 1000

    def silent(self, now: float, copy: Copy, sent_at: float) -> bool:
        """Whether a copy has answered nobody since a try was sent there."""
        return copy.answered_at <= sent_at

    def unsent(self, job: Job, copy: Copy, number: int) -> None:
        """A try ended before any byte of it was written."""
        copy.in_flight.pop((job.id.decode("latin-1"), number), None)

    def ended(
        self, now: float, job: Job, copy: Copy, number: int, outcome: Outcome, status: int, delay: float
    ) -> Problem | None:
        """A try has ended. None: try again, or, for OK, its answer is the client's."""
        copy.in_flight.pop((job.id.decode("latin-1"), number), None)
        self._learn(now, job, copy, outcome, status, delay)
        if outcome is Outcome.OK and not self._failure(job, status):
            return None
        end = ENDS[outcome]
        job.maybe = job.maybe or end.may_have_run
        job.sent = job.sent or end.arrived
        if not end.arrived:
            # Nothing arrived anywhere: neither the hosts' budget nor the route's tries are used.
            if job.tries >= job.route.Tries + SPARE_TRIES:
                return self._failed(now, job, "no copy took it")
        elif job.tries >= job.route.Tries:
            return self._failed(now, job, "all tries are used up")
        if job.maybe and not job.route.repeatable:
            return self._failed(now, job, "it may have run")
        return None

    def _failure(self, job: Job, status: int) -> bool:
        """Whether a host's own answer is a failure that another may not have."""
        return status in HOST_FAILURES and job.route.repeatable

    def may_retry_answer(self, now: float, job: Job, status: int) -> bool:
        """Whether a host's failure is better tried elsewhere than passed on."""
        return (
            self._failure(job, status)
            and job.tries < job.route.Tries
            and now + self.usual_of(job) < job.ends
            and self._may_try_again(now, job.service)
        )

    def _failed(self, now: float, job: Job, why: str) -> Problem:
        if job.maybe:
            return Problem(Kind.MAYBE_RUN, why)
        return self._refuse(now, job, Kind.NOT_RUN, why)

    def _refuse(self, now: float, job: Job, kind: Kind, why: str = "") -> Problem:
        if not job.sent:
            self.abandon(now, job)
        return Problem(kind, why, retry_after=AGAIN)

    def give_up(self, now: float, job: Job) -> Problem:
        """Its time is over."""
        if job.maybe:
            return Problem(Kind.LATE)
        return self._refuse(now, job, Kind.NOT_SENT_IN_TIME)

    def _learn(self, now: float, job: Job, copy: Copy, outcome: Outcome, status: int, delay: float) -> None:
        if outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT):
            # What turns away, resets or keeps silent as it is full is not ill; without such load it is.
            full = outcome is not Outcome.OK and copy.there(now) >= FULL * copy.slots
            slow = outcome is Outcome.TIMEOUT and not self.silent(now, copy, now - delay)
            if not (full or slow or status == 421):
                well = outcome is Outcome.OK and status not in HOST_FAILURES
                self.copies.watch.note(now, copy.mark, well)
        if outcome is Outcome.OK:
            usual = self.usual_of(job)
            copy.delay_ratio += min(LIGHTEST, 0.1) * (delay / usual - copy.delay_ratio)
            copy.record_answer(now)
            if status in HOST_FAILURES:
                return
            copy.failures = 0.0 if copy.failures < 1 else copy.failures / 2
            cool = 0.5 if now < copy.life.warm_at else 1.0
            self.usual[job.route_name] = usual + LEARNING * (delay * cool - usual)
            pace = self.pace.get(job.service, usual)
            self.pace[job.service] = pace + LEARNING * (delay * cool - pace)
        elif outcome is Outcome.FULL:
            copy.record_answer(now)
            copy.record_failure(now, WRONG_PLACE if status == 421 else FAIL_PAUSE / 4)
        elif outcome is Outcome.CONNECT_FAILED:
            copy.record_failure(now, FAIL_PAUSE)
        elif outcome is Outcome.TIMEOUT:
            if self.silent(now, copy, now - delay):
                copy.record_failure(now, FAIL_PAUSE)
        elif outcome in (Outcome.RESET, Outcome.ERROR):
            copy.record_break(now, FAIL_PAUSE)
