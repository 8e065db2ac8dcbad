"""Home regions: bound requests begin only in their region, despite cuts, kills, moves and wrong settings.

Schedules come from a seed: three regions, and gateways that follow a history of configurations late, or not
at all while they are cut off. The checker knows the zones, the history and the lease, and sees which gateway
sent which request to which host; it reads no state of the code under test. The service is bound from the
beginning, because a gateway that is cut off while a service is first bound cannot know of it
(docs/design/regions.md).
"""

from __future__ import annotations

import json
import random
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import pytest
from quota_world import alone
from test_configuration import ROUTE, changed

from coralvale.cluster import commands
from coralvale.cluster.configuration.model import Configuration, parse_configuration
from coralvale.cluster.errors import ANSWERS, Kind, Problem, Promise
from coralvale.cluster.regions import parse
from coralvale.cluster.registry.register import Register, Row
from coralvale.cluster.routing.copies import InstancePool
from coralvale.cluster.routing.home import HomeRegion
from coralvale.cluster.routing.router import Job, Router
from coralvale.cluster.settings import Bounds, SettingsError

REGIONS = ("coast", "delta", "hills")
ZONES = {f"{region}-{n}": region for region in REGIONS for n in (1, 2)}
LEASE, APPLY = 4.0, 2.5
KINDS = ("idempotent", "mutating")


class Broken(AssertionError):
    """A bound request was begun outside its region."""


class Node:
    """One gateway and all hosts as it knows them."""

    def __init__(self, world: World, zone: str, region: str) -> None:
        self.world, self.zone = world, zone
        register = Register(1e6)
        for n, (at, service) in enumerate((z, s) for z in ZONES for s in ("free", "bound")):
            register.merge(0.0, Row(f"i-{service}-{at}", service, "10.0.0.1", 80 + n, at, "v", 4, 0, 0.0, 1))
        by_zone = ZONES[zone] if ZONES[zone] == region else ""  # as the server takes it from the settings
        self.home = world.kind(by_zone, ZONES, {}, LEASE)
        chance = random.Random(world.chance.random())
        # A random zone counts as the nearest, so that nearness does not keep requests in their region.
        instances = InstancePool(register, chance.choice(list(ZONES)), chance, self.home)
        self.router = Router(Bounds(RetryExtra=64), instances, alone(), chance)
        self.cut = False
        self.late = chance.uniform(0.0, 1.2)  # s until a configuration reaches it
        self.restarted = 0.0  # after a start it has an old configuration and no contact yet

    def follow(self, now: float) -> None:
        if self.cut or now - self.restarted < 0.2:
            return
        self.home.core_heard_at = now - self.late  # what it is told is that old
        news = [configuration for at, configuration in self.world.history if at <= now - self.late]
        if news:
            self.router.take_configuration(news[-1])


class World:
    """A seeded schedule of changes, cuts and kills, with a request at each gateway in each step."""

    def __init__(self, seed: int, kind: type[HomeRegion] = HomeRegion) -> None:
        self.chance, self.kind, self.now = random.Random(seed), kind, 100.0
        self.history: list[tuple[float, Configuration]] = []
        self.change()
        self.nodes = [Node(self, zone, ZONES[zone]) for zone in ZONES]
        self.served = 0

    def change(self) -> None:
        before = self.history[-1][1] if self.history else Configuration()
        region = self.chance.choice(REGIONS)
        config = {
            "Ver": before.version + self.chance.randrange(1, 5),
            "Routes": {
                "f": {**ROUTE, "PathPrefix": "/f/", "Svc": "free"},
                "b": {**ROUTE, "PathPrefix": "/b/", "Svc": "bound", "Kind": self.chance.choice(KINDS)},
            },
            "Svcs": {"free": {}, "bound": {"Region": region}},
        }  # fmt: skip
        configuration = parse_configuration(config, before)
        assert isinstance(configuration, Configuration), configuration
        self.history.append((self.now, configuration))

    def bound_to(self, begun_by: float) -> set[str]:
        """Regions that a request may be bound to: those in force at `begun_by`, or since."""
        found = [p.services()["bound"][1].Region for at, p in self.history if at > begun_by]
        old = [p.services()["bound"][1].Region for at, p in self.history if at <= begun_by]
        return {*found, *old[-1:]}

    def step(self) -> None:
        self.now += self.chance.uniform(0.05, 0.4)
        draw = self.chance.random()
        node = self.chance.choice(self.nodes)
        if draw < 0.03:
            self.change()
        elif draw < 0.08:
            node.cut = not node.cut
        elif draw < 0.10:  # a whole region is cut off, or back
            for other in self.nodes:
                if ZONES[other.zone] == ZONES[node.zone]:
                    other.cut = not node.cut
        elif draw < 0.13:  # killed; it restarts with an old configuration, sometimes with a wrong region
            region = self.chance.choice((ZONES[node.zone], self.chance.choice(REGIONS)))
            new = self.nodes[self.nodes.index(node)] = Node(self, node.zone, region)
            new.cut, new.restarted = node.cut, self.now
            old = [p for at, p in self.history if at < self.now - self.chance.uniform(0, 20)]
            if old:
                new.router.take_configuration(old[-1])
        for each in self.nodes:
            each.follow(self.now)
        for each in self.nodes:
            self.ask(each)

    def ask(self, node: Node) -> None:
        path = self.chance.choice(("/f/1", "/b/1"))
        job = node.router.admit(self.now, b"r", "a.example", path, None, 1.5)
        if isinstance(job, Problem):
            return
        instance = node.router.pick(self.now, job)
        if isinstance(instance, Problem):
            return
        if path == "/b/1":
            allowed = self.bound_to(self.now - (LEASE if node.cut else APPLY) - 1.2)
            here, there = ZONES[node.zone], ZONES[instance.entry.row.az]
            if here not in allowed or there not in allowed:
                raise Broken(f"{self.now:.1f}: {node.zone} sent it to {there}, bound to {allowed}")
            if there != here:
                raise Broken(f"{self.now:.1f}: {node.zone} sent it abroad, to {there}")
            self.served += 1
        instance.in_flight.clear()

    def play(self, steps: int = 60) -> int:
        for _ in range(steps):
            self.step()
        return self.served


def test_bound_requests_begin_only_in_their_region() -> None:
    served = 0
    for seed in range(1000):
        try:
            served += World(seed).play()
        except Broken as error:
            raise AssertionError(f"World({seed}).play(): {error}") from error
    assert served > 10_000


class NoLease(HomeRegion):
    """A gateway that is cut off goes on for ever."""

    def lease_valid(self, now: float) -> bool:
        return True


class AnyGateway(HomeRegion):
    """A gateway of another region accepts it."""

    def refusal(self, now: float, route: str) -> Problem | None:
        return None


class AnyHost(HomeRegion):
    """A host of another region gets it."""

    def set_regions(self, region: str, zones: Mapping[str, str]) -> None:
        super().set_regions(region, dict.fromkeys(zones, region))


@pytest.mark.parametrize("kind", [NoLease, AnyGateway, AnyHost])
def test_the_checker_detects_each_rule_that_is_taken_out(kind: type[HomeRegion]) -> None:
    for seed in range(1000):
        try:
            World(seed, kind).play()
        except Broken:
            return
    raise AssertionError(f"{kind.__doc__} nothing broke")


def bound(**at: Any) -> Configuration | Problem:
    return parse_configuration(changed(**at), Configuration())


def test_conflicting_bindings_are_refused_with_their_place() -> None:
    two = {"s": {"Region": "coast"}, "t": {"Region": "delta"}}
    split = [{"Svc": "s", "Wt": 1}, {"Svc": "t", "Wt": 1}]
    found = bound(Svcs=two, Routes__r__Svc="", Routes__r__Split=split)
    assert (
        isinstance(found, Problem) and "Routes.r.Split: over services bound to coast, delta" in found.reason
    )
    found = bound(Svcs=two, Routes__r__Region="delta")
    assert isinstance(found, Problem) and "Routes.r.Region: 'delta'" in found.reason
    before = bound()
    assert isinstance(before, Configuration)
    # A newly bound service: routes that did not change are checked again.
    narrowed = parse_configuration(changed(Ver=3, Routes__r__Region="delta"), before)
    assert isinstance(narrowed, Configuration) and narrowed.has_route_regions
    again = parse_configuration(changed(Ver=4, Routes__r__Region="delta", Svcs__s__Region="coast"), narrowed)
    assert isinstance(again, Problem) and "Routes.r.Region" in again.reason


def at(region: str, configuration: Configuration | Problem, heard: float = 1.0, **rules: str) -> Router:
    register, chance = Register(1e6), random.Random(1)
    for n, zone in enumerate(ZONES):
        register.merge(0.0, Row(f"i-{zone}", "s", "10.0.0.1", 80 + n, zone, "v", 4, 0, 0.0, 1))
    home = HomeRegion(region, ZONES, rules)
    home.core_heard_at = heard
    instances = InstancePool(register, f"{region}-1", chance, home)
    made = Router(Bounds(RetryExtra=64), instances, alone(), chance)
    assert isinstance(configuration, Configuration) and made.take_configuration(configuration)
    return made


def admitted(made: Router, now: float = 1.0, path: str = "/x/1", key: str = "k1") -> Job | Problem:
    return made.admit(now, b"id", "a.example", path, key, 1.5)


def test_a_foreign_request_is_refused_by_its_head_with_a_promise_and_nothing_of_it_is_kept() -> None:
    configuration = bound(Svcs__s__Region="coast")
    for region in ("delta", ""):
        made = at(region, configuration)
        for found in (
            made.check_head(1.0, "a.example", "/x/secret-slot"),
            admitted(made, path="/x/secret-slot"),
        ):
            assert isinstance(found, Problem) and found.kind is Kind.OTHER_REGION and not found.reason
            assert ANSWERS[found.kind].promise is Promise.NOT_RUN and found.status == 421
        assert made.home.refused == {"coast": 2} and "secret" not in str(vars(made.home))
        assert "secret" not in str(made.last_lookup)
        assert not made.limiter.tenants  # its quota is not charged in another region
    assert at("coast", configuration).check_head(1.0, "a.example", "/x/1") is None
    assert at("delta", bound()).check_head(1.0, "a.example", "/x/1") is None


def test_without_a_host_in_its_region_a_bound_request_is_refused_and_not_sent_elsewhere() -> None:
    made = at("coast", bound(Svcs__s__Region="coast"))
    job = admitted(made)
    assert isinstance(job, Job)
    seen = set()
    while not isinstance(instance := made.pick(1.0, job), Problem):
        seen.add(ZONES[instance.entry.row.az])
        job.tries = 0  # no limit on tries
        made.instances.register.mark_gone(1.0, instance.entry.id)
    assert seen == {"coast"} and instance.promises_not_run


def test_a_route_bound_by_itself_goes_to_no_host_of_another_region() -> None:
    """Its service is not bound, and by other routes goes to nearer hosts in another region."""
    made = at("coast", bound(Routes__r__Region="coast"))
    made.instances.zone = "delta-1"
    for path, region in (("/x/1", "coast"), ("/x/y/1", "delta")):
        job = admitted(made, path=path)
        assert isinstance(job, Job)
        instance = made.pick(1.0, job)
        assert not isinstance(instance, Problem) and ZONES[instance.entry.row.az] == region


def test_after_a_change_of_its_binding_a_request_gets_no_further_try() -> None:
    made = at("coast", bound(Svcs__s__Region="coast"))
    job = admitted(made)
    assert isinstance(job, Job) and not isinstance(made.pick(1.0, job), Problem)
    moved = parse_configuration(changed(Ver=9, Svcs__s__Region="delta"), made.configuration)
    assert isinstance(moved, Configuration) and made.take_configuration(moved)
    job.may_have_run = True
    found = made.pick(1.1, job)
    # It ends where it began, without a promise.
    assert isinstance(found, Problem) and found.kind is Kind.MAYBE_RUN
    refusal = admitted(made)
    assert isinstance(refusal, Problem) and refusal.kind is Kind.OTHER_REGION


def test_a_gateway_without_contact_refuses_bound_requests_after_its_lease_until_contact_returns() -> None:
    made = at("coast", bound(Svcs__s__Region="coast"), heard=1.0)
    assert isinstance(admitted(made, 1.0 + made.home.lease), Job)
    unsure = admitted(made, 1.1 + made.home.lease)
    assert (
        isinstance(unsure, Problem) and unsure.kind is Kind.BINDING_LEASE_EXPIRED and unsure.retry_after > 0
    )
    made.home.core_heard_at = 20.0
    assert isinstance(admitted(made, 20.1), Job)


def test_rules_of_the_regions_file_bind_by_pattern_and_mistakes_are_refused_with_their_place() -> None:
    made = at("delta", bound(), **{"s*": "coast"})
    assert made.home.services == {"s": "coast"} and isinstance(admitted(made), Problem)
    own = at("delta", bound(Svcs__s__Region="delta"), **{"s*": "coast"})  # the configuration takes precedence
    assert isinstance(admitted(own), Job)
    file = parse('Lease: 5\nBindings: {"book-*": coast}', "f", ZONES)
    assert file.Lease == 5 and file.Bindings == {"book-*": "coast"}
    for text, place in (
        ("Bindings: {a: moon}", "Bindings.a"),
        ("Lease: 0", "Lease"),
        ("Bidnings: {}", "Bidnings"),
        ("Bindings: [", "not YAML"),
    ):
        with pytest.raises(SettingsError, match=place):
            parse(text, "f", ZONES)


def test_the_audit_lists_each_answer_from_outside_the_region(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    line = "03:00:0{}.000 INFO E521 request r-{} of booking, bound to coast, answered 200 in {}\n"
    (tmp_path / "log-1").write_text(
        line.format(1, 1, "coast") + "03:00:01.000 INFO E514 request r-1: answered\n"
    )
    assert commands.main(["regions", "audit", str(tmp_path)]) == 0
    (tmp_path / "log-2").write_text(line.format(2, 2, "delta"))
    capsys.readouterr()
    assert commands.main(["regions", "audit", str(tmp_path), "--as-json"]) == 1
    audit = json.loads(capsys.readouterr().out)
    assert audit["answers"] == {"booking": {"coast": 1, "delta": 1}}
    assert [(o["gateway"], o["request"], o["region"]) for o in audit["outside"]] == [
        ("log-2", "r-2", "delta")
    ]
