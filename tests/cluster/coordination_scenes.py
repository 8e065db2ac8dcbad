"""Scenes that schedules meet seldom: a leader that is not the only one any more, and calls that come late.

Each plays in a `CoordinationWorld` and has what callers saw judged. Raises Broken.
"""

from __future__ import annotations

from consensus_world import Machine
from coordination_world import CoordinationWorld, Process

from coralvale.cluster.coordination import model as c

HOLD_MS = 600
STEP = 0.005  # s between looks
NEW_LEADER = 3.0  # s within which another leads


def two_leaders(world: CoordinationWorld) -> tuple[Machine, Machine | None]:
    """Cuts the leader off: it, and the one that leads the others, None if it stepped down before."""
    old = whole_leader(world)
    others = {ip for ip in world.machines if ip != old.ip}
    world.blocked_links |= {(old.ip, ip) for ip in others} | {(ip, old.ip) for ip in others}
    return old, other_leader(world, old)


def whole_leader(world: CoordinationWorld) -> Machine:
    world.calm = True
    world.env.run(world.env.process(world.wait_until_recovered()))
    leader = world.leader()
    assert leader
    return leader


def other_leader(world: CoordinationWorld, old: Machine) -> Machine | None:
    ends = world.env.now + NEW_LEADER
    while world.env.now < ends:
        world.env.run(until=world.env.now + STEP)
        for place in world.machines.values():
            if place is not old and place.replica and place.replica.leading and place.replica.caught_up:
                return place
    return None


def ask(world: CoordinationWorld, caller: str, call: c.Call, at: Machine) -> c.Outcome | None:
    outcome: c.Outcome | None = world.env.run(world.env.process(world.ask(caller, call, at)))
    return outcome


def together_again(world: CoordinationWorld) -> None:
    world.blocked_links.clear()
    world.finish()


def stale_reading(world: CoordinationWorld) -> None:
    """A put is acknowledged by the new leader, and its key is read at the old one."""
    first = whole_leader(world)
    ask(world, "p", c.Put("g1.a", "v1"), first)
    old, new = two_leaders(world)
    if new:
        ask(world, "p", c.Put("g1.a", "v2"), new)
        ask(world, "r", c.Get("g1.a"), old)
    together_again(world)


def stale_renewals(world: CoordinationWorld) -> None:
    """A holder renews at the old leader for as long as that answers, while another asks the new one."""
    leader = whole_leader(world)
    granted = ask(world, "a", c.Acquire("l1", "a", HOLD_MS), leader)
    assert isinstance(granted, c.Granted)
    until = world.env.now + 2.5

    def renewing() -> Process:
        while world.env.now < until:
            world.env.process(world.ask("a", c.Renew("l1", "a", granted.fence, HOLD_MS), leader))
            yield world.env.timeout(4 * STEP)

    def taking(at: Machine) -> Process:
        while world.env.now < until:
            outcome = yield from world.ask("b", c.Acquire("l1", "b", HOLD_MS), at)
            if isinstance(outcome, c.Granted):
                return
            yield world.env.timeout(STEP)

    world.env.process(renewing())
    _, new = two_leaders(world)
    if new:
        world.env.run(world.env.process(taking(new)))
    together_again(world)


def unheard_leader(world: CoordinationWorld) -> None:
    """What a leader proposes reaches the others, their replies do not come back, and it steps down."""
    leader = whole_leader(world)
    world.blocked_links |= {(ip, leader.ip) for ip in world.machines if ip != leader.ip}

    def putting() -> Process:
        for n in range(20):
            world.env.process(world.ask("p", c.Put("g1.a", f"v{n}"), leader))
            yield world.env.timeout(0.05)

    world.env.process(putting())
    world.env.run(until=world.env.now + NEW_LEADER)
    together_again(world)


def mute_leader(world: CoordinationWorld) -> None:
    """What a leader proposes does not reach the others, while a watch waits at it; another puts after it."""
    leader = whole_leader(world)
    ask(world, "p", c.Put("g1.a", "v1"), leader)
    world.blocked_links |= {(leader.ip, ip) for ip in world.machines if ip != leader.ip}
    watching = world.env.process(world.ask("w", c.Watch("g1.", 1, 1000), leader))
    world.env.run(until=world.env.now + STEP)
    world.env.process(world.ask("p", c.Put("g1.a", "v2"), leader))
    if new := other_leader(world, leader):
        ask(world, "q", c.Put("g1.a", "v3"), new)
    world.env.run(watching)
    together_again(world)


def late_release(world: CoordinationWorld) -> None:
    """A release stands in a frozen gateway until its caller holds the lock anew."""
    leader, edge = whole_leader(world), world.edges[0]
    granted = ask(world, "a", c.Acquire("l1", "a", 5 * HOLD_MS), leader)
    assert isinstance(granted, c.Granted)
    edge.frozen_until = world.env.now + 1.5
    release = c.Release("l1", "a", granted.fence)
    world.env.run(world.env.process(world.ask("a", release, edge)))
    ask(world, "a", c.Acquire("l1", "a", 5 * HOLD_MS), leader)
    world.env.run(until=world.env.now + 1.0)
    ask(world, "b", c.Acquire("l1", "b", HOLD_MS), leader)
    together_again(world)


def late_put(world: CoordinationWorld) -> None:
    """A put stands in a frozen gateway; it was sent again, others followed, and all processes started anew from
    their snapshots before it comes."""
    leader, edge = whole_leader(world), world.edges[0]
    edge.frozen_until = world.env.now + 8.0
    put = c.Put("g1.a", "v1")
    world.env.process(world.ask("p", put, edge))
    ask(world, "p", put, leader)
    for n in range(30):
        ask(world, "q", c.Put("g1.a", f"w{n}"), leader)
    for place in list(world.machines.values()):
        world.kill(place)
        world.start(place)
    again = whole_leader(world)
    assert world.env.now < edge.frozen_until
    ask(world, "q", c.Put("g1.a", "x"), again)
    world.env.run(until=edge.frozen_until + 1.0)
    together_again(world)


SCENES = (stale_reading, stale_renewals, unheard_leader, mute_leader, late_release, late_put)
