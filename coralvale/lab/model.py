"""Types of the laboratory: what an experiment's file may say, and what a run leaves behind.

Times are seconds, rates are a second, shares lie between 0 and 1. Every key has its default and bounds here.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated, Any, Literal

from msgspec import Meta, Struct, field

Share = Annotated[float, Meta(ge=0, le=1)]
Seconds = Annotated[float, Meta(ge=0, le=86_400)]
Positive = Annotated[float, Meta(gt=0, le=1e9)]
Amount = Annotated[float, Meta(ge=0, le=1e9)]
Name = Annotated[str, Meta(pattern="^[a-z0-9][a-z0-9._-]{0,63}$")]


class LabError(ValueError):
    """What was asked for cannot be done; the text is one line for each mistake, each names its place."""


class Table(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of an experiment's file: unknown keys are refused."""


class Fleet(Table, frozen=True, kw_only=True):
    """`[fleet]`: gateways and hosts. Hosts are dealt to zones in turn, gateways too."""

    gateways: Annotated[int, Meta(ge=1, le=1000)] = 10
    hosts: Annotated[int, Meta(ge=1, le=2000)] = 10
    zones: Annotated[int, Meta(ge=1, le=16)] = 1
    cores: Annotated[int, Meta(ge=1, le=256)] = 2  # of a host
    queue: Annotated[int, Meta(ge=0, le=100_000)] = 64  # requests that may wait at a host; past that: full
    uneven: Annotated[float, Meta(ge=0, lt=1)] = 0.0  # hosts' speeds lie within 1 - uneven and 1 + uneven
    thrash_at: Amount = 0.0  # requests at a host past which each costs more work; 0: never
    cold_share: Share = 0.25  # of its speed that a host has when it has started
    warm_after: Seconds = 10.0  # s until it has all of it
    fall_multiple: Positive = 2.0  # times what a cold host can do that it may be sent within `fall_window`
    fall_window: Positive = 3.0
    drain_grace: Seconds = 0.5  # s after the notice in which new requests may still go to a draining host
    max_attempts: Annotated[int, Meta(ge=1, le=10)] = 4
    max_advice: Seconds = 0.5  # s of `Retry-After`


class Class(Table, frozen=True, kw_only=True):
    """`[[classes]]`: a kind of request."""

    name: Name
    share: Positive = 1.0  # of all requests, by weight
    work: Positive = 0.1  # s of one warm core on average
    spread: Literal["exponential", "constant"] = "exponential"
    aim: Positive = 1.0  # s within which an answer has its worth
    give_up: Positive = 4.0  # s after which the client no longer waits
    worth: Positive = 1.0  # of a unit
    units: Annotated[float, Meta(ge=1, le=1000)] = 1.0  # that one takes from its customer's quota
    repeat: Literal["safe", "keyed", "unsafe"] = "safe"
    key_window: Seconds = 0.0  # s in which hosts drop repeats of a keyed request


class Plan(Table, frozen=True, kw_only=True):
    """`[[plans]]`: a quota, over all gateways. A rate or limit of 0 means none."""

    name: Name
    share: Positive = 1.0  # of all customers, by weight
    rate: Amount = 1.0
    burst: Amount = 5.0
    open_limit: Amount = 0.0
    price: Positive = 1.0  # worth of a unit inside, times that of its class
    excess_cost: Amount = 0.0  # cost of a unit beyond, times its worth
    ceiling_rate: Amount = 0.0
    ceiling_burst: Amount = 0.0
    ceiling_slack: Amount = 0.0
    entries: Share = 1.0  # of the gateways that one of its customers may come to


class Load(Table, frozen=True, kw_only=True):
    """`[load]`: customers and their requests."""

    customers: Annotated[int, Meta(ge=1, le=1_000_000)] = 100
    rate: Positive = 100.0  # first tries a second over all customers
    hot: Annotated[int, Meta(ge=0, le=1_000_000)] = 0  # customers that ask for `hot_times` their quota
    hot_times: Positive = 20.0
    over: Share = 0.0  # of customers ask for `over_times` their quota, each within 0.6 and 1.4 times that
    over_times: Positive = 3.0
    near: Share = 0.0  # of customers ask for 0.95 of their quota
    light: Share = 0.0  # of customers ask for a third of the others' part
    spikes: Share = 0.0  # of customers ask `spike_times` as much for `spike_lasts` in every `spike_every`
    spike_times: Positive = 5.0
    spike_every: Positive = 20.0
    spike_lasts: Positive = 2.0
    retries: Annotated[int, Meta(ge=0, le=100)] = 3  # tries after the first
    heeds: Share = 0.6  # of clients that come back when they were told to
    retry_after: Positive = 0.3  # s after which the others come back at most
    leaves: Share = 0.0  # of clients that go before their aim
    uneven: Annotated[float, Meta(ge=0, le=10)] = (
        0.0  # 0: all gateways get as much; 1: some get several times
    )


class Ways(Table, frozen=True, kw_only=True):
    """`[ways]`: the network. All in s."""

    zone: Seconds = 0.0005  # one way within a zone
    between: Seconds = 0.002  # one way between two zones
    jitter: Share = 0.2  # of a way, up or down
    connect_timeout: Positive = 0.5  # after which a host that does not answer counts as not reached


class CounterService(Table, frozen=True, kw_only=True):
    """`[counter]`: the shared counter; without the table there is none."""

    capacity: Positive = 1600.0  # calls a second
    queue: Seconds = 0.04  # s that its line may be long; calls past that are turned away
    timeout: Positive = 0.03  # s, as gateways are told
    zone: Annotated[int, Meta(ge=0)] = 0


class Discovery(Table, frozen=True, kw_only=True):
    """`[discovery]`: lists of hosts."""

    spread: Seconds = 0.2  # s within which all gateways hear of a change
    restart: Seconds = 0.3  # s until a new process has its first list


class Measure(Table, frozen=True, kw_only=True):
    """`[measure]`: from when on is counted, and what is kept beside the sums."""

    warm_up: Seconds = 3.0
    meter: Seconds = 0.0  # period of the meter of customers' use that answers carry; 0: none
    trace: bool = False  # what became of every unit and refusal, for time lines
    slack: Seconds = 0.5  # s after its time at which a request without an answer counts as lost


HOSTS = ("host.kill", "host.slow", "host.fail", "host.silent", "host.reset", "host.drain", "host.replace")
KINDS = Literal[
    "host.kill", "host.slow", "host.fail", "host.silent", "host.reset", "host.drain", "host.replace",
    "zone.lost", "zone.cut",
    "counter.down", "counter.slow", "counter.loss", "counter.split", "counter.swap",
    "discovery.down", "discovery.late",
    "gateway.kill", "gateway.restart",
    "load.surge", "load.leaves",
]  # fmt: skip


class Fault(Table, frozen=True, kw_only=True):
    """`[[timeline]]`: something that happens. What `share` and `by` mean for each kind is in `faults.MEANING`."""

    at: Seconds
    what: KINDS
    lasts: Seconds = 0.0  # 0: to the end
    share: Share = 0.0  # of hosts or gateways; 0: one
    zone: Annotated[int, Meta(ge=-1)] = -1  # -1: any
    by: Amount = 0.0
    over: Seconds = 0.0  # s in which it happens to one after another
    plans: tuple[Name, ...] = ()  # `load.surge`: of customers on these; none: of all


class Vary(Table, frozen=True, kw_only=True):
    """`[vary]`: what differs from run to run."""

    how: Literal["grid", "latin"] = "grid"
    samples: Annotated[int, Meta(ge=1, le=10_000)] = 8  # of a Latin hypercube
    keys: dict[str, tuple[float, ...]] = field(default_factory=dict)  # path -> values; latin: low, high


class Must(Table, frozen=True, kw_only=True):
    """`[[must]]`: what has to hold of a figure, on average over the seeds."""

    figure: str
    policy: str = "ours"
    at_least: float | None = None
    at_most: float | None = None
    of: str = ""  # figure of the same policy, or `policy:figure`, that the bounds are multiples of


class Experiment(Table, frozen=True, kw_only=True):
    """A whole file."""

    name: Name
    about: str = ""
    seconds: Annotated[float, Meta(gt=0, le=86_400)] = 20.0
    seeds: tuple[Annotated[int, Meta(ge=0, le=2**32 - 1)], ...] = (1, 2, 3)
    policies: tuple[str, ...] = ("ours",)
    fleet: Fleet = field(default_factory=Fleet)
    classes: tuple[Class, ...]
    plans: tuple[Plan, ...]
    load: Load = field(default_factory=Load)
    ways: Ways = field(default_factory=Ways)
    counter: CounterService | None = None
    discovery: Discovery = field(default_factory=Discovery)
    measure: Measure = field(default_factory=Measure)
    timeline: tuple[Fault, ...] = ()
    vary: Vary = field(default_factory=Vary)
    must: tuple[Must, ...] = ()
    quick: dict[str, Any] = field(default_factory=dict)  # path -> value in the quick form

    def mistakes(self) -> Iterator[str]:
        """What types cannot say, each with its place."""
        if not self.classes:
            yield "classes: expected at least one"
        if not self.plans:
            yield "plans: expected at least one"
        if not self.seeds:
            yield "seeds: expected at least one"
        for path, named in (
            ("classes", [c.name for c in self.classes]),
            ("plans", [p.name for p in self.plans]),
        ):
            for n, name in enumerate(named):
                if named.index(name) != n:
                    yield f"{path}[{n}].name: {name!r} is there already"
        for n, c in enumerate(self.classes):
            if c.aim > c.give_up:
                yield f"classes[{n}].aim: {c.aim:g}, expected at most give_up ({c.give_up:g})"
        for n, p in enumerate(self.plans):
            if p.rate and p.burst <= 0:
                yield f"plans[{n}].burst: a rate needs a burst above 0"
            if p.ceiling_rate and p.ceiling_burst <= 0:
                yield f"plans[{n}].ceiling_burst: a ceiling needs a burst above 0"
        if self.measure.warm_up >= self.seconds:
            yield f"measure.warm_up: {self.measure.warm_up:g}, expected less than seconds ({self.seconds:g})"
        if self.load.over + self.load.near > 1:
            yield f"load.near: {self.load.near:g}, expected at most 1 - over ({1 - self.load.over:g})"
        if self.fleet.zones > self.fleet.hosts:
            yield f"fleet.zones: {self.fleet.zones}, expected at most hosts ({self.fleet.hosts})"
        if self.counter and self.counter.zone >= self.fleet.zones:
            yield f"counter.zone: {self.counter.zone}, expected less than fleet.zones ({self.fleet.zones})"
        known = {p.name for p in self.plans}
        for n, f in enumerate(self.timeline):
            place = f"timeline[{n}]"
            if f.at >= self.seconds:
                yield f"{place}.at: {f.at:g}, expected less than seconds ({self.seconds:g})"
            if f.zone >= self.fleet.zones:
                yield f"{place}.zone: {f.zone}, expected less than fleet.zones ({self.fleet.zones})"
            if f.what.startswith("counter.") and self.counter is None:
                yield f"{place}.what: {f.what} without a [counter]"
            for plan in f.plans:
                if plan not in known:
                    yield f"{place}.plans: {plan!r} is no plan; expected one of {', '.join(sorted(known))}"


class Violation(Struct, frozen=True):
    """A broken rule. `rule` is one of `truth.RULES`."""

    rule: str
    at: float
    text: str


class Outcome(Struct, frozen=True):
    """What a run left: figures by name, and series for the report. Equal runs are equal byte for byte."""

    policy: str
    seed: int
    point: dict[str, float]
    figures: dict[str, float]
    series: dict[str, list[float]]  # a value for each second
    delays: dict[str, list[float]]  # class -> quantiles at `measure.QUANTILES`, s
    hosts: list[list[float]]  # host -> busy share of each second
    violations: list[Violation]
    # `measure.trace`: second, kind (`measure.KINDS`), customer, gateway, share of the burst that its store holds
    trace: list[tuple[float, int, int, int, float]] = []
