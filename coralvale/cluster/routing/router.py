"""Routing of requests, without I/O: admission, choice of the instance, retries, what an error may promise.

Usually a request passes these steps: route and key from the configuration's snapshot, the tenant's token
bucket (`limiter`), an instance. A request that may run only once is retried, or refused with the promise that
it has not run, only while every earlier try is known not to have run.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable

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

ANSWER_MARGIN_S = 0.025  # left before the client's timeout, for the answer to reach it
SPARE_TRIES = 2  # beyond the route's tries, for tries of which no byte was sent
GOLDEN_RATIO = 0.6180339887498949
MAX_TOKEN_WAIT_S = 0.15  # that a request waits for a token of its tenant's quota
# Upper bound of that wait, as a fraction of the route's target delay: a request that is refused within a
# quarter of the target can still be served in time.
TOKEN_WAIT_FRACTION = 0.22
RETRY_AFTER_S = 0.25  # sent to clients when no host is available
DELAY_EWMA_WEIGHT = 0.05  # weight of the newest delay in the moving averages
INITIAL_DELAY_FRACTION = 0.3  # expected delay as a fraction of the route's target, before any answer came
SILENCE_DELAYS = 6.0  # expected delays of silence after which a repeatable request is sent elsewhere
FAILURE_BACKOFF_S = 0.5  # that a failing instance is avoided; doubles with each failure in a row
WRONG_HOST_BACKOFF_S = 4.0  # that an instance is avoided when another answers at its address (421)
FULL_LOAD_FACTOR = 1.5  # load per slot from which failures may be those of overload
# Upper bound of one answer's weight in an instance's slowness; without effect, as that weight is always 0.1.
MAX_SLOWNESS_WEIGHT = 0.3
HOST_FAILURES = range(500, 600)  # HTTP statuses


# Value of `Router.last_lookup` before the first lookup
NO_LOOKUP: tuple[Configuration, str, str, tuple[str, Route] | None] = (Configuration(), "", "", None)


@define(eq=False)
class Job:
    """One request from its admission to its answer. Times are of the monotonic clock, s."""

    id: bytes
    route_name: str
    route: Route
    service: str
    tenant: str
    arrived_at: float
    deadline: float  # by the client's timeout, the route's or the end of the process, whichever is earliest
    own_deadline: float = math.inf  # the same without the end of the process
    admitted: Admitted | None = None  # by its tenant's rate limit
    waits_for_token: bool = False
    tries: int = 0
    may_have_run: bool = False
    reached_host: bool = False  # a try reached a host, whether it was turned away or not
    tried: set[str] = field(factory=set)


class Router:
    """Decides about each request of one gateway; the edge server does what it says."""

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
        self.route_delays: dict[str, float] = {}  # moving average of answers' delays by route, s
        self.service_delays: dict[str, float] = {}  # the same by service, s
        self.split_positions: dict[str, float] = {}  # by route with a split: position in its cycle, 0 to 1
        self.ends_at = math.inf  # when requests must be answered, as the process ends

    def take_configuration(self, configuration: Configuration) -> bool:
        """Puts a newer configuration in force; returns False for one that is not newer."""
        if configuration.version <= self.configuration.version:
            return False
        self.configuration = configuration
        self.home.take_configuration(configuration)
        self.instances.candidates.clear()  # bindings to regions may have changed
        services = configuration.services()
        self.service_delays = {name: value for name, value in self.service_delays.items() if name in services}
        routes = configuration.items.get("Routes", {})
        self.route_delays = {name: value for name, value in self.route_delays.items() if name in routes}
        self.split_positions = {name: value for name, value in self.split_positions.items() if name in routes}
        return True

    # Admission

    def check_head(self, now: float, host: str, path: str) -> Problem | None:
        """Decides by the request's head alone whether it is bound to another region. Keeps nothing of it."""
        if not self.home.routes or (found := self._find_route(host, path)) is None:
            return None
        if refusal := self.home.refusal(now, found[0]):
            self._count_foreign(now, found[0])
        return refusal

    def _count_foreign(self, now: float, route: str) -> None:
        """Counts a request that was refused as foreign, and forgets its path."""
        self.home.count_refused(now, route)
        self.last_lookup = NO_LOOKUP

    def admit(
        self, now: float, id_: bytes, host: str, path: str, key: str | None, left: float
    ) -> Job | Problem:
        """Admits a request, or says why not. `id_`: its request ID; `left`: s until the client's timeout.

        The job may still wait for a token of its tenant's quota (`Job.waits_for_token`).
        """
        configuration = self.configuration
        if not configuration.version:
            return Problem(Kind.NO_CONFIGURATION, retry_after=RETRY_AFTER_S)
        found = self._find_route(host, path)
        if found is None:
            return Problem(Kind.NO_ROUTE, f"{host}{path}")
        name, route = found
        if self.home.routes and (refusal := self.home.refusal(now, name)):
            self._count_foreign(now, name)
            return refusal
        tenant = configuration.keys.get(key, "") if key is not None else ""
        if not tenant and not route.Public and configuration.tenants():
            return Problem(Kind.UNAUTHENTICATED)
        service = self._choose_service(name, route)
        self._budget(now, service).record_request(now)
        deadline = now + min(left, route.TimeoutMs / 1000) - ANSWER_MARGIN_S
        job = Job(id_, name, route, service, tenant, now, min(deadline, self.ends_at), deadline)
        if job.deadline <= now:
            return Problem(Kind.NOT_SENT_IN_TIME)
        if tenant and (terms := configuration.tenant(tenant)) and terms.RatePerS > 0:
            target = (route.TargetMs or route.TimeoutMs) / 1000
            max_wait = min(MAX_TOKEN_WAIT_S, TOKEN_WAIT_FRACTION * target, job.deadline - now)
            verdict = self.limiter.request(now, tenant, terms.RatePerS, terms.Burst, job, max_wait)
            if isinstance(verdict, Waiting):
                job.waits_for_token = True
            elif problem := self.apply_verdict(job, verdict):
                return problem
        return job

    def end_by(self, moment: float, jobs: Iterable[Job]) -> None:
        """Reckons with the end of the process: requests, those in progress too, are answered by `moment`."""
        self.ends_at = moment
        for job in jobs:
            job.deadline = min(job.deadline, moment)

    def apply_verdict(self, job: Job, verdict: Admitted | Refused) -> Problem | None:
        """Takes the rate limiter's verdict on a request, immediate or after a wait for a token."""
        job.waits_for_token = False
        if isinstance(verdict, Refused):
            return Problem(Kind.OVER_QUOTA, job.tenant, retry_after=verdict.retry_after)
        job.admitted = verdict
        return None

    def refund(self, now: float, job: Job) -> None:
        """Gives the token of an admitted request that reached no host back to its tenant."""
        if job.admitted:
            self.limiter.refund(now, job.tenant, job.admitted)
            job.admitted = None

    def _find_route(self, host: str, path: str) -> tuple[str, Route] | None:
        """The route of a request. The last result is cached, for the request that follows its head."""
        configuration, last = self.configuration, self.last_lookup
        if last[0] is configuration and last[2] == path and last[1] == host:
            return last[3]
        found = configuration.route(host, path)
        if self.home.routes:
            self.last_lookup = (configuration, host, path, found)
        return found

    def _choose_service(self, name: str, route: Route) -> str:
        """The service that a route's next request goes to, by the weights of its split if it has one."""
        if not route.Split:
            return route.Svc
        parts = [p for p in route.Split if p.Wt > 0]
        # Multiples of the golden ratio fill the unit interval evenly: each part gets its share of the
        # requests to within a few, while a random choice would be off by about the root of their number.
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
        """Drops budgets of removed services, once nothing of their last window counts any more.

        So a service that is removed and added again does not get a fresh budget.
        """
        services = self.configuration.services()
        for name in [n for n, b in self.budgets.items() if n not in services and b.is_idle(now)]:
            del self.budgets[name]

    def _budget_allows_retry(self, now: float, service: str) -> bool:
        """Whether the service's retry budget allows one more try."""
        return self._budget(now, service).allows(now, self.limiter.holding.share(now))

    # Tries

    def pick(self, now: float, job: Job) -> Instance | Problem:
        """Begins the next try: returns the instance that it goes to, or the problem that ends the request."""
        if now >= job.deadline:
            return self.time_out(now, job)
        if self.home.routes and (refusal := self.home.refusal(now, job.route_name)):
            return self._failed(now, job, refusal.kind.value)
        if job.reached_host and not self._budget_allows_retry(now, job.service):
            return self._failed(now, job, "the budget of further tries is used up")
        service_delay, once = self.service_delays.get(job.service, 0.2), not job.route.repeatable
        region = self.home.routes.get(job.route_name, "")
        instance = self.instances.pick(now, job.service, service_delay, job.tried, once, region)
        if instance is None:
            return (
                self._failed(now, job, "no host is known")
                if job.tries
                else self._refuse(now, job, Kind.NO_HOST)
            )
        if job.reached_host:  # the first try that reaches a host is no retry
            self._budget(now, job.service).charge(now)
        job.tries += 1
        job.tried.add(instance.entry.id)
        instance.in_flight[(job.id.decode("latin-1"), job.tries)] = now
        return instance

    def silence_timeout(self, now: float, job: Job) -> float | None:
        """Seconds after which a try at a silent instance may be abandoned for another; None: never."""
        if not job.route.repeatable or job.tries >= job.route.Tries:
            return None
        expected = self.expected_delay(job)
        wait = SILENCE_DELAYS * expected
        return wait if now + wait + expected < job.deadline else None

    def may_repeat(self, now: float, job: Job, was_sent: bool) -> bool:
        """Whether another try may follow if the present one is given up, and be answered in time.

        `was_sent`: a host has got the present one, or a part of it. If none may follow, the request is better
        left to the host that has it.
        """
        if now + self.expected_delay(job) >= job.deadline:
            return False
        if self.home.routes and self.home.refusal(now, job.route_name):
            return False
        is_retry = was_sent or job.reached_host
        return not is_retry or self._budget_allows_retry(now, job.service)

    def expected_delay(self, job: Job) -> float:
        """Expected delay of an answer on the job's route, s."""
        return (
            self.route_delays.get(job.route_name)
            or INITIAL_DELAY_FRACTION * (job.route.TargetMs or job.route.TimeoutMs) / 1000
        )

    def is_silent(self, now: float, instance: Instance, sent_at: float) -> bool:
        """Whether an instance has answered none of this gateway's requests since `sent_at`."""
        return instance.answered_at <= sent_at

    def try_unsent(self, job: Job, instance: Instance, number: int) -> None:
        """A try was cancelled before any byte of it was written."""
        instance.in_flight.pop((job.id.decode("latin-1"), number), None)

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
        """Takes the end of a try; `delay`: s since it was sent.

        Returns None if the request goes on: for `Outcome.OK` with the host's answer to the client, else with
        another try. Returns a problem if the request ends.
        """
        instance.in_flight.pop((job.id.decode("latin-1"), number), None)
        self._record_outcome(now, job, instance, outcome, status, delay)
        if outcome is Outcome.OK and not self._failure(job, status):
            return None
        end = ENDS[outcome]
        job.may_have_run = job.may_have_run or end.may_have_run
        job.reached_host = job.reached_host or end.arrived
        if not end.arrived:
            # No host got anything: it counts neither against the retry budget nor against the route's tries.
            if job.tries >= job.route.Tries + SPARE_TRIES:
                return self._failed(now, job, "no copy took it")
        elif job.tries >= job.route.Tries:
            return self._failed(now, job, "all tries are used up")
        if job.may_have_run and not job.route.repeatable:
            return self._failed(now, job, "it may have run")
        return None

    def _failure(self, job: Job, status: int) -> bool:
        """Whether a host's answer is a failure (5xx) of a request that may be repeated elsewhere."""
        return status in HOST_FAILURES and job.route.repeatable

    def may_retry_answer(self, now: float, job: Job, status: int) -> bool:
        """Whether a host's failure should be retried elsewhere rather than passed on."""
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
        """The problem of a request whose deadline has passed."""
        if job.may_have_run:
            return Problem(Kind.DEADLINE_EXCEEDED)
        return self._refuse(now, job, Kind.NOT_SENT_IN_TIME)

    def _record_outcome(
        self, now: float, job: Job, instance: Instance, outcome: Outcome, status: int, delay: float
    ) -> None:
        if outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT):
            # Refusals, resets and silence come from overload at a full instance, and are not held against its
            # health; at an instance with less load they are.
            full = (
                outcome is not Outcome.OK and instance.load_estimate(now) >= FULL_LOAD_FACTOR * instance.slots
            )
            slow = outcome is Outcome.TIMEOUT and not self.is_silent(now, instance, now - delay)
            if not (full or slow or status == 421):
                succeeded = outcome is Outcome.OK and status not in HOST_FAILURES
                self.instances.health.note(now, instance.id_hash, succeeded)
        if outcome is Outcome.OK:
            expected = self.expected_delay(job)
            instance.delay_ratio += min(MAX_SLOWNESS_WEIGHT, 0.1) * (delay / expected - instance.delay_ratio)
            instance.record_answer(now)
            if status in HOST_FAILURES:
                return
            instance.failures = 0.0 if instance.failures < 1 else instance.failures / 2
            cool = 0.5 if now < instance.entry.warm_at else 1.0
            self.route_delays[job.route_name] = expected + DELAY_EWMA_WEIGHT * (delay * cool - expected)
            service_delay = self.service_delays.get(job.service, expected)
            self.service_delays[job.service] = service_delay + DELAY_EWMA_WEIGHT * (
                delay * cool - service_delay
            )
        elif outcome is Outcome.FULL:
            instance.record_answer(now)
            instance.record_failure(now, WRONG_HOST_BACKOFF_S if status == 421 else FAILURE_BACKOFF_S / 4)
        elif outcome is Outcome.CONNECT_FAILED:
            instance.record_failure(now, FAILURE_BACKOFF_S)
        elif outcome is Outcome.TIMEOUT:
            if self.is_silent(now, instance, now - delay):
                instance.record_failure(now, FAILURE_BACKOFF_S)
        elif outcome in (Outcome.RESET, Outcome.ERROR):
            instance.record_break(now, FAILURE_BACKOFF_S)
