"""The whole platform of one run, and what its parts ask of each other."""

from __future__ import annotations

from collections.abc import Callable

from coralvale import interface as api
from coralvale.interface import Outcome
from coralvale.lab import faults
from coralvale.lab.measure import BEYOND, INSIDE, WITH_ROOM, WITHOUT, Measure
from coralvale.lab.model import Experiment, LabError, Violation
from coralvale.lab.model import Outcome as Left
from coralvale.lab.streams import Lots, Once, number
from coralvale.lab.truth import Rules
from coralvale.lab.world.clients import Clients, Customer
from coralvale.lab.world.counter import Counter
from coralvale.lab.world.discovery import Discovery
from coralvale.lab.world.engine import Engine
from coralvale.lab.world.fleet import Attempt, Driver, Policy, Try
from coralvale.lab.world.hosts import Host

EDGE = 1e-6  # s: a clock that counts from elsewhere does not hit a second's beginning to the last digit
FORGET = 60.0  # s between sweeps of what nobody asks for any more
Factory = Callable[["Platform", Driver, api.Settings, int], Policy]


def settings(experiment: Experiment, zone: int = 0, me: int = 0) -> api.Settings:
    """What a gateway is told of the platform. Raises LabError for what the decisions do not take."""
    fleet, counter = experiment.fleet, experiment.counter
    try:
        return api.Settings(
            gateways=fleet.gateways, zone=zone, me=me,
            classes=tuple(
                api.RequestClass(
                    c.name, c.aim, c.give_up, c.worth, api.Repeat(c.repeat), key_window=c.key_window
                )
                for c in experiment.classes
            ),
            plans=tuple(
                api.Plan(
                    p.name, p.rate, p.burst, p.open_limit, p.price, 0.0, p.excess_cost,
                    p.ceiling_rate, p.ceiling_burst, p.ceiling_slack,
                )
                for p in experiment.plans
            ),
            drain_grace=fleet.drain_grace, cold_share=fleet.cold_share, warm_after=fleet.warm_after,
            fall_multiple=fleet.fall_multiple, fall_window=fleet.fall_window, max_attempts=fleet.max_attempts,
            may_cancel=True, may_count=counter is not None, counter_timeout=counter.timeout if counter else 0.0,
            meter_period=experiment.measure.meter, max_advice=fleet.max_advice,
            most_units=max(c.units for c in experiment.classes),
        )  # fmt: skip
    except api.SettingsError as error:
        raise LabError(str(error)) from None


class Platform:
    """Made for one run; `run` plays it once."""

    def __init__(
        self,
        experiment: Experiment,
        seed: int,
        policy: str,
        factory: Factory,
        stop_at: int = 1,
        engine: Engine | None = None,
    ) -> None:
        self.experiment, self.seed, self.policy, self.factory = experiment, seed, policy, factory
        self.engine = engine or Engine()
        self.measure = Measure(experiment)
        self.violations: list[Violation] = []
        self.stop_at = stop_at
        self.rules = Rules(self._broken, experiment.fleet.drain_grace, experiment.measure.slack)
        self.lots = {name: Lots(seed, name) for name in ("counter", "discovery", "ways")}
        self.once = Once(seed, "attempts")
        self.effects = 0
        self.pairs: set[tuple[int, str]] = set()  # gateways and the hosts that they have sent to
        self.cut: set[int] = set()  # zones that reach no other
        self.counter, self.discovery = Counter(self), Discovery(self)
        fleet = experiment.fleet
        speeds = Lots(seed, "speeds")
        self.hosts = {}
        for n in range(fleet.hosts):
            speed = 1 + fleet.uneven * (2 * speeds.random() - 1)
            self.hosts[f"h{n}"] = self.make_host(f"h{n}", n % fleet.zones, speed, None)
        self.at_host: dict[str, dict[Attempt, None]] = {}
        self.make_request: Callable[..., api.Request] = api.Request
        self.drivers: list[Driver] = []
        self.drivers += [self.make_driver(g, 0) for g in range(fleet.gateways)]
        self.clients = Clients(self)

    # The run

    def run(self, step: Callable[[float], None] | None = None) -> Left:
        """Plays it to its end, or to the first `stop_at` violations. `step` hears of every second."""
        engine, seconds = self.engine, self.experiment.seconds
        self.begin()
        for second in range(1, int(seconds) + 1):
            engine.run(float(second))
            if step and not engine.stopped:
                step(float(second))
        engine.run(seconds)
        return self.left()

    def begin(self) -> None:
        """Plans all that comes by itself."""
        self.discovery.change(list(self.hosts.values()), api.ServerState.HEALTHY)
        for driver in self.drivers:
            self.discovery.tell(driver)
        self.clients.start()
        faults.plan(self)
        self.engine.later(0.0, self._second)

    def _second(self) -> None:
        now = self.engine.now
        self.measure.tick(now + EDGE)
        if now > 1 and int(now + EDGE) % FORGET == 0:
            oldest = max(c.give_up + c.key_window for c in self.experiment.classes)
            self.rules.forget(now - oldest - FORGET)
        self.engine.later(1.0, self._second)

    def left(self) -> Left:
        plans = self.experiment.plans
        lowest = min((c.store.lowest for c in self.clients.customers if c.plan.ceiling_rate), default=0.0)
        figures = self.measure.figures(plans, lowest)
        figures["coldest"] = round(self.rules.coldest, 6)
        figures["hosts"] = round(len(self.pairs) / len(self.drivers), 6)
        figures["violations"] = float(len(self.violations))
        return Left(
            policy=self.policy,
            seed=self.seed,
            point={},
            figures=figures,
            series={name: [round(v, 6) for v in row] for name, row in sorted(self.measure.series.items())},
            delays=self.measure.quantiles(),
            hosts=[[round(v, 4) for v in self.measure.work[name]] for name in self.hosts],
            violations=self.violations,
            trace=self.measure.trace,
        )

    def _broken(self, violation: Violation) -> None:
        self.violations.append(violation)
        if self.stop_at and len(self.violations) >= self.stop_at:
            self.engine.stopped = True

    # Its parts, for those who build a platform of others

    def make_host(self, name: str, zone: int, speed: float, born: float | None) -> Host:
        return Host(self, name, zone, speed, born)

    def make_driver(self, g: int, life: int) -> Driver:
        return Driver(self, g, life)

    # Gateways

    def make_policy(self, driver: Driver) -> Policy:
        told = settings(self.experiment, driver.zone, driver.number)
        seed = number(self.seed, f"gateway/{driver.number}/{driver.life}")
        return self.factory(self, driver, told, seed)

    def replace(self, g: int, gently: bool) -> None:
        """A gateway's process is followed by a new one, which knows nothing."""
        old = self.drivers[g]
        self.drivers[g] = self.make_driver(g, old.life + 1)
        if gently:
            old.retire()
        else:
            old.stop()
        self.engine.later(self.experiment.discovery.restart, self.discovery.tell, self.drivers[g])

    # The network

    def reaches(self, one: int, other: int) -> bool:
        return one == other or not (one in self.cut or other in self.cut)

    def way(self, one: int, other: int) -> float:
        """s that a message takes."""
        ways = self.experiment.ways
        usual = ways.zone if one == other else ways.between
        return usual * (1 + ways.jitter * (2 * self.lots["ways"].random() - 1))

    # What hosts tell

    def chance(self, attempt: Attempt, host: str) -> tuple[float, float]:
        """Of a connection's break, and of an error, for this attempt at this host, whatever else happened."""
        name = f"{attempt.held.name}/{attempt.number}/{host}"
        return self.once.random(name), self.once.random(name + "/e")

    def taken(self, attempt: Attempt) -> None:
        """A host has taken a request. Its customer is charged once for each try."""
        effect, measure, now = attempt.held.effect, self.measure, self.engine.now
        customer = effect.customer
        if not attempt.held.taken:
            attempt.held.taken = True
            measure.add("taken", effect.units)
            inside = customer.store.take(now, effect.units)
            fill = customer.store.fill / (customer.plan.burst or 1.0)
            measure.note(now, INSIDE if inside else BEYOND, customer.number, attempt.driver.number, fill)
            if inside:
                measure.add("worth inside", effect.worth)
            else:
                measure.add("beyond", effect.units)
                measure.add("cost", effect.worth * customer.plan.excess_cost)
            self._meter(customer, effect.units)
            self.rules.charged(now, customer.number, customer.store)
        customer.store.out += 1
        attempt.open = True

    def runs(self, attempt: Attempt, host: str) -> bool:
        cls = attempt.cls
        return self.rules.ran(self.engine.now, attempt.held.effect.name, cls.repeat, cls.key_window, host)

    def _leave_host(self, attempt: Attempt) -> None:
        self.at_host.get(attempt.host, {}).pop(attempt, None)
        if attempt.open:
            attempt.open = False
            attempt.held.effect.customer.store.out -= 1

    def answer(self, attempt: Attempt, outcome: Outcome, after: float) -> None:
        """A host's answer goes back, and is lost where its zone is cut off."""
        self._leave_host(attempt)
        driver, host = attempt.driver, self.hosts[attempt.host]
        if self.reaches(driver.zone, host.zone):
            way = after + self.way(driver.zone, host.zone)
            self.engine.later(way, driver.ended, attempt, outcome)

    def lose(self, attempt: Attempt, outcome: Outcome) -> None:
        """A connection breaks, or none comes about."""
        self.answer(attempt, outcome, 0.0)

    # What clients are told

    def refused(self, held: Try, reason: str, gateway: int) -> None:
        measure, customer = self.measure, held.effect.customer
        measure.add("refused")
        measure.add(f"refused: {reason or 'unnamed'}")
        room = customer.store.room(self.engine.now, held.effect.units)
        fill = customer.store.fill / (customer.plan.burst or 1.0)
        measure.note(self.engine.now, WITH_ROOM if room else WITHOUT, customer.number, gateway, fill)
        if room:
            measure.add("with room")
        if fill <= 0.5:
            measure.add("half empty")

    def served(self, held: Try) -> None:
        """An answer has come to its client."""
        effect, measure, now = held.effect, self.measure, self.engine.now
        took = now - effect.asked_at
        measure.delay(effect.cls, took)
        if took <= effect.cls.aim:
            measure.add_at("served", effect.asked_at)
            for name in (
                "worth served",
                f"worth served {effect.cls.name}",
                f"worth served {effect.customer.plan.name}",
            ):
                measure.add_at(name, effect.asked_at, effect.worth)
        else:
            measure.add_at("late", effect.asked_at)

    # The meter of customers' use

    def _meter(self, customer: Customer, units: float) -> None:
        if period := self.experiment.measure.meter:
            now = int(self.engine.now / period)
            at, here, before = customer.metered
            if now != at:
                before, here = (here if now == at + 1 else 0.0), 0.0
            customer.metered = now, here + units, before

    def usage(self, customer: Customer) -> float | None:
        """Its use over all hosts in the last whole period, as a fraction of its rate."""
        period, rate = self.experiment.measure.meter, customer.plan.rate
        if not period or not rate:
            return None
        self._meter(customer, 0.0)
        return customer.metered[2] / period / rate


def ours(world: Platform, driver: Driver, told: api.Settings, seed: int) -> Policy:
    """The real decisions."""
    from coralvale import Gateway

    return Gateway(told, seed)
