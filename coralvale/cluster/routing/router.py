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
from coralvale.cluster.routing.budget import RetryBudget
from coralvale.cluster.routing.copies import Instance, InstancePool
from coralvale.cluster.routing.tries import ENDS
from coralvale.cluster.settings import Bounds
from coralvale.interface import Outcome

ANSWER_MARGIN_S = 0.025  # s before the client's time is up, for the answer to reach it
SPARE_TRIES = 2  # beyond the route's, for tries of which no byte was sent
GOLDEN_RATIO = 0.6180339887498949
MAX_TOKEN_WAIT_S = 0.15  # s that a request waits for a token of its tenant's quota
TOKEN_WAIT_FRACTION = (
    0.22  # of its route's aim, at most: refused within a quarter of it, it can be served in time yet
)
RETRY_AFTER_S = 0.25  # s after which a client may come back when no host is there
DELAY_EWMA_WEIGHT = 0.05  # weight of the newest delay of a route
INITIAL_DELAY_FRACTION = 0.3  # of a route's aim that an answer is taken to need until some have come
SILENCE_DELAYS = (
    6.0  # usual delays without a word of the copy, after which a request that may is sent elsewhere
)
FAILURE_BACKOFF_S = 0.5  # s that a failing copy is passed over, doubled on each failure in a row
WRONG_HOST_BACKOFF_S = 4.0  # s that a copy is passed over at whose address another answers
FULL_LOAD_FACTOR = (
    1.5  # times its slots that are at a copy, from which on its failures may be those of a full one
)
MAX_SLOWNESS_WEIGHT = 0.3  # weight at most of one answer in a copy's slowness
HOST_FAILURES = range(500, 600)


NO_LOOKUP: tuple[Configuration, str, str, tuple[str, Route] | None] = (Configuration(), "", "", None)


@define(eq=False)
class Job:
    """One request in hand."""

    id: bytes
    route_name: str
    route: Route
    service: str
    tenant: str
    arrived_at: float
    deadline: float  # when its client, or the operator, waits no longer
    admitted: Admitted | None = None  # by its tenant's limit
    waits_for_token: bool = False  # for a token
    tries: int = 0
    may_have_run: bool = False  # a try may have run
    reached_host: bool = False  # a try reached a host, that turned it away or not
    tried: set[str] = field(factory=set)


class Router:
    def __init__(
        self,
        bounds: Bounds,
        instances: InstancePool,
        limiter: RateLimiter,
        rng: random.Random,
    ) -> None:
        self.bounds, self.instances, self.limiter = bounds, instances, limiter
        self.rng = rng
        self.configuration, self.home = Configuration(), instances.home
        self.last_lookup: tuple[Configuration, str, str, tuple[str, Route] | None] = NO_LOOKUP
        self.budgets: dict[str, RetryBudget] = {}
        self.route_delays: dict[str, float] = {}  # delay of a route's answers, s
        self.service_delays: dict[str, float] = {}  # of a service's, s
        self.split_positions: dict[str, float] = {}  # by route with a split, where its turn stands, 0 to 1

    def take_configuration(self, configuration: Configuration) -> bool:
        """A newer configuration is in force from now on; an older one never is again."""
        if configuration.version <= self.configuration.version:
            return False
        self.configuration = configuration
        self.home.take_configuration(configuration)
        self.instances.candidates.clear()  # what binds a service may have changed
        services = configuration.services()
        self.service_delays = {name: value for name, value in self.service_delays.items() if name in services}
        routes = configuration.items.get("Routes", {})
        self.route_delays = {name: value for name, value in self.route_delays.items() if name in routes}
        self.split_positions = {name: value for name, value in self.split_positions.items() if name in routes}
        return True

    # In

    def check_head(self, now: float, host: str, path: str) -> Problem | None:
        """What can be said on a request's head alone: that it is bound elsewhere. Nothing of it is kept."""
        if not self.home.routes or (found := self._find_route(host, path)) is None:
            return None
        if foreign := self.home.refusal(now, found[0]):
            self._count_foreign(now, found[0])
        return foreign

    def _count_foreign(self, now: float, route: str) -> None:
        """Refused: it is counted, and nothing else of it is kept."""
        self.home.count_refused(now, route)
        self.last_lookup = NO_LOOKUP

    def admit(
        self, now: float, id_: bytes, host: str, path: str, key: str | None, left: float
    ) -> Job | Problem:
        """`left`: s that the client will wait."""
        configuration = self.configuration
        if not configuration.version:
            return Problem(Kind.NO_CONFIGURATION, retry_after=RETRY_AFTER_S)
        found = self._find_route(host, path)
        if found is None:
            return Problem(Kind.NO_ROUTE, f"{host}{path}")
        name, route = found
        if self.home.routes and (foreign := self.home.refusal(now, name)):
            self._count_foreign(now, name)
            return foreign
        tenant = configuration.keys.get(key, "") if key is not None else ""
        if not tenant and not route.Public and configuration.tenants():
            return Problem(Kind.NO_KEY)
        service = self._choose_service(name, route)
        self._budget(now, service).record_request(now)
        job = Job(
            id_, name, route, service, tenant, now, now + min(left, route.TimeoutMs / 1000) - ANSWER_MARGIN_S
        )
        if job.deadline <= now:
            return Problem(Kind.NOT_SENT_IN_TIME)
        if tenant and (terms := configuration.tenant(tenant)) and terms.RatePerS > 0:
            aim = (route.TargetMs or route.TimeoutMs) / 1000
            patience = min(MAX_TOKEN_WAIT_S, TOKEN_WAIT_FRACTION * aim, job.deadline - now)
            verdict = self.limiter.request(now, tenant, terms.RatePerS, terms.Burst, job, patience)
            if isinstance(verdict, Waiting):
                job.waits_for_token = True
            elif problem := self.apply_verdict(job, verdict):
                return problem
        return job

    def apply_verdict(self, job: Job, verdict: Admitted | Refused) -> Problem | None:
        """What the limiter says of a request, at once or after it waited for a token."""
        job.waits_for_token = False
        if isinstance(verdict, Refused):
            return Problem(Kind.OVER_QUOTA, job.tenant, retry_after=verdict.wait)
        job.admitted = verdict
        return None

    def refund(self, now: float, job: Job) -> None:
        """A request that was let in is not sent: its tenant is not charged for it."""
        if job.admitted:
            self.limiter.refund(now, job.tenant, job.admitted)
            job.admitted = None

    def _find_route(self, host: str, path: str) -> tuple[str, Route] | None:
        """The route; looked for once where a request's head and then the request are asked about."""
        configuration, newest = self.configuration, self.last_lookup
        if newest[0] is configuration and newest[2] == path and newest[1] == host:
            return newest[3]
        found = configuration.route(host, path)
        if self.home.routes:
            self.last_lookup = (configuration, host, path, found)
        return found

    def _choose_service(self, name: str, route: Route) -> str:
        if not route.Split:
            return route.Svc
        parts = [p for p in route.Split if p.Wt > 0]
        # Multiples of the golden ratio fill the unit interval evenly: each part gets its weight's share of the
        # requests to within a few, where drawing by lot would miss it by their root.
        self.split_positions[name] = at = (
            self.split_positions.get(name, self.rng.random()) + GOLDEN_RATIO
        ) % 1.0
        left = at * sum(p.Wt for p in parts)
        for part in parts:
            left -= part.Wt
            if left < 0:
                return part.Svc
        return parts[-1].Svc

    def _budget(self, now: float, service: str) -> RetryBudget:
        budget = self.budgets.get(service)
        if budget is None:
            self._drop_idle_budgets(now)
            b = self.bounds
            budget = self.budgets[service] = RetryBudget(b.RetryRatio, b.RetryWindowS, b.RetryExtra)
        return budget

    def _drop_idle_budgets(self, now: float) -> None:
        """Of services that are gone: what was used of them counts for a window more, also where a service of
        that name comes back."""
        services = self.configuration.services()
        for name in [n for n, b in self.budgets.items() if n not in services and b.is_idle(now)]:
            del self.budgets[name]

    def _budget_allows_retry(self, now: float, service: str) -> bool:
        """Whether the budget of further tries has one more."""
        return self._budget(now, service).allows(now, self.limiter.holding.share(now))

    # A try

    def pick(self, now: float, job: Job) -> Instance | Problem:
        """The copy that the next try goes to."""
        if now >= job.deadline:
            return self.time_out(now, job)
        if self.home.routes and (foreign := self.home.refusal(now, job.route_name)):
            return self._failed(now, job, foreign.kind.value)
        if job.reached_host and not self._budget_allows_retry(now, job.service):
            return self._failed(now, job, "the budget of further tries is used up")
        pace, once = self.service_delays.get(job.service, 0.2), not job.route.repeatable
        region = self.home.routes.get(job.route_name, "")
        instance = self.instances.pick(now, job.service, pace, job.tried, once, region)
        if instance is None:
            return (
                self._failed(now, job, "no host is known")
                if job.tries
                else self._refuse(now, job, Kind.NO_HOST)
            )
        if job.reached_host:  # the first that arrives is no further one
            self._budget(now, job.service).charge(now)
        job.tries += 1
        job.tried.add(instance.entry.id)
        instance.out[(job.id.decode("latin-1"), job.tries)] = now
        return instance

    def silence_timeout(self, now: float, job: Job) -> float | None:
        """Seconds after which a try whose copy has said nothing at all may be given up for another."""
        if not job.route.repeatable or job.tries >= job.route.Tries:
            return None
        usual = self.expected_delay(job)
        wait = SILENCE_DELAYS * usual
        return wait if now + wait + usual < job.deadline else None

    def expected_delay(self, job: Job) -> float:
        return (
            self.route_delays.get(job.route_name)
            or INITIAL_DELAY_FRACTION * (job.route.TargetMs or job.route.TimeoutMs) / 1000
        )

    def is_silent(self, now: float, instance: Instance, sent_at: float) -> bool:
        """Whether a copy has answered nobody since a try was sent there."""
        return instance.heard_at <= sent_at

    def try_unsent(self, job: Job, instance: Instance, number: int) -> None:
        """A try ended before any byte of it was written."""
        instance.out.pop((job.id.decode("latin-1"), number), None)

    def try_ended(
        self,
        now: float,
        job: Job,
        instance: Instance,
        number: int,
        outcome: Outcome,
        status: int,
        delay: float,
    ) -> Problem | None:
        """A try has ended. None: try again, or, for OK, its answer is the client's."""
        instance.out.pop((job.id.decode("latin-1"), number), None)
        self._record_outcome(now, job, instance, outcome, status, delay)
        if outcome is Outcome.OK and not self._failure(job, status):
            return None
        end = ENDS[outcome]
        job.may_have_run = job.may_have_run or end.may_have_run
        job.reached_host = job.reached_host or end.arrived
        if not end.arrived:
            # Nothing arrived anywhere: neither the hosts' budget nor the route's tries are used.
            if job.tries >= job.route.Tries + SPARE_TRIES:
                return self._failed(now, job, "no copy took it")
        elif job.tries >= job.route.Tries:
            return self._failed(now, job, "all tries are used up")
        if job.may_have_run and not job.route.repeatable:
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
            and now + self.expected_delay(job) < job.deadline
            and self._budget_allows_retry(now, job.service)
        )

    def _failed(self, now: float, job: Job, why: str) -> Problem:
        if job.may_have_run:
            return Problem(Kind.MAYBE_RUN, why)
        return self._refuse(now, job, Kind.NOT_RUN, why)

    def _refuse(self, now: float, job: Job, kind: Kind, why: str = "") -> Problem:
        if not job.reached_host:
            self.refund(now, job)
        return Problem(kind, why, retry_after=RETRY_AFTER_S)

    def time_out(self, now: float, job: Job) -> Problem:
        """Its time is over."""
        if job.may_have_run:
            return Problem(Kind.LATE)
        return self._refuse(now, job, Kind.NOT_SENT_IN_TIME)

    def _record_outcome(
        self, now: float, job: Job, instance: Instance, outcome: Outcome, status: int, delay: float
    ) -> None:
        if outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT):
            # What turns away, resets or keeps silent as it is full is not ill; without such load it is.
            full = (
                outcome is not Outcome.OK and instance.load_estimate(now) >= FULL_LOAD_FACTOR * instance.slots
            )
            slow = outcome is Outcome.TIMEOUT and not self.is_silent(now, instance, now - delay)
            if not (full or slow or status == 421):
                well = outcome is Outcome.OK and status not in HOST_FAILURES
                self.instances.health.note(now, instance.id_hash, well)
        if outcome is Outcome.OK:
            usual = self.expected_delay(job)
            instance.slow += min(MAX_SLOWNESS_WEIGHT, 0.1) * (delay / usual - instance.slow)
            instance.answered(now)
            if status in HOST_FAILURES:
                return
            instance.failures = 0.0 if instance.failures < 1 else instance.failures / 2
            cool = 0.5 if now < instance.entry.warm_at else 1.0
            self.route_delays[job.route_name] = usual + DELAY_EWMA_WEIGHT * (delay * cool - usual)
            pace = self.service_delays.get(job.service, usual)
            self.service_delays[job.service] = pace + DELAY_EWMA_WEIGHT * (delay * cool - pace)
        elif outcome is Outcome.FULL:
            instance.answered(now)
            instance.failed(now, WRONG_HOST_BACKOFF_S if status == 421 else FAILURE_BACKOFF_S / 4)
        elif outcome is Outcome.CONNECT_FAILED:
            instance.failed(now, FAILURE_BACKOFF_S)
        elif outcome is Outcome.TIMEOUT:
            if self.is_silent(now, instance, now - delay):
                instance.failed(now, FAILURE_BACKOFF_S)
        elif outcome in (Outcome.RESET, Outcome.ERROR):
            instance.broke(now, FAILURE_BACKOFF_S)
