"""Scripted scenarios that random schedules rarely reach: a deposed leader beside the new one, and delayed
calls.

Each runs in a `CoordinationWorld` and checks what callers observed. Raises Broken.
"""

from __future__ import annotations

from consensus_world import Machine
from coordination_world import CoordinationWorld, Process

from coralvale.cluster.coordination import model as c

HOLD_MS = 600
STEP_S = 0.005  # between polls
ELECTION_S = 3.0  # time allowed for an election


def isolate_leader(world: CoordinationWorld) -> tuple[Machine, Machine | None]:
    """Cuts the leader off. Returns it and the new leader of the others, None if there is none in time."""
    old = wait_for_leader(world)
    others = {ip for ip in world.machines if ip != old.ip}
    world.blocked_links |= {(old.ip, ip) for ip in others} | {(ip, old.ip) for ip in others}
    return old, wait_for_new_leader(world, old)


def wait_for_leader(world: CoordinationWorld) -> Machine:
    """Waits until all members are healthy; returns the leader."""
    world.calm = True
    world.env.run(world.env.process(world.wait_until_recovered()))
    leader = world.leader()
    assert leader
    return leader


def wait_for_new_leader(world: CoordinationWorld, old: Machine) -> Machine | None:
    """Waits for another leader than `old`, for up to `ELECTION_S`."""
    ends = world.env.now + ELECTION_S
    while world.env.now < ends:
        world.env.run(until=world.env.now + STEP_S)
        for place in world.machines.values():
            if place is not old and place.replica and place.replica.leading and place.replica.caught_up:
                return place
    return None


def ask(world: CoordinationWorld, caller: str, call: c.Call, at: Machine) -> c.Outcome | None:
    """Makes one call at a gateway and waits for its outcome."""
    outcome: c.Outcome | None = world.env.run(world.env.process(world.ask(caller, call, at)))
    return outcome


def heal_and_finish(world: CoordinationWorld) -> None:
    """Heals all partitions, reads everything back, and checks the history."""
    world.blocked_links.clear()
    world.finish()


def stale_read(world: CoordinationWorld) -> None:
    """A put is acknowledged by the new leader, and its key is read at the deposed one."""
    first = wait_for_leader(world)
    ask(world, "p", c.Put("g1.a", "v1"), first)
    old, new = isolate_leader(world)
    if new:
        ask(world, "p", c.Put("g1.a", "v2"), new)
        ask(world, "r", c.Get("g1.a"), old)
    heal_and_finish(world)


def stale_renewals(world: CoordinationWorld) -> None:
    """A holder renews at the deposed leader as long as it answers, while another owner asks the new one."""
    leader = wait_for_leader(world)
    granted = ask(world, "a", c.Acquire("l1", "a", HOLD_MS), leader)
    assert isinstance(granted, c.Granted)
    until = world.env.now + 2.5

    def renew() -> Process:
        while world.env.now < until:
            world.env.process(world.ask("a", c.Renew("l1", "a", granted.fence, HOLD_MS), leader))
            yield world.env.timeout(4 * STEP_S)

    def acquire(at: Machine) -> Process:
        while world.env.now < until:
            outcome = yield from world.ask("b", c.Acquire("l1", "b", HOLD_MS), at)
            if isinstance(outcome, c.Granted):
                return
            yield world.env.timeout(STEP_S)

    world.env.process(renew())
    _, new = isolate_leader(world)
    if new:
        world.env.run(world.env.process(acquire(new)))
    heal_and_finish(world)


def leader_without_replies(world: CoordinationWorld) -> None:
    """The leader's proposals reach the others, but their replies are lost, so it steps down."""
    leader = wait_for_leader(world)
    world.blocked_links |= {(ip, leader.ip) for ip in world.machines if ip != leader.ip}

    def put_values() -> Process:
        for n in range(20):
            world.env.process(world.ask("p", c.Put("g1.a", f"v{n}"), leader))
            yield world.env.timeout(0.05)

    world.env.process(put_values())
    world.env.run(until=world.env.now + ELECTION_S)
    heal_and_finish(world)


def leader_without_followers(world: CoordinationWorld) -> None:
    """The leader's proposals are lost while a watch waits at it; then a put succeeds at the new leader."""
    leader = wait_for_leader(world)
    ask(world, "p", c.Put("g1.a", "v1"), leader)
    world.blocked_links |= {(leader.ip, ip) for ip in world.machines if ip != leader.ip}
    watching = world.env.process(world.ask("w", c.Watch("g1.", 1, 1000), leader))
    world.env.run(until=world.env.now + STEP_S)
    world.env.process(world.ask("p", c.Put("g1.a", "v2"), leader))
    if new := wait_for_new_leader(world, leader):
        ask(world, "q", c.Put("g1.a", "v3"), new)
    world.env.run(watching)
    heal_and_finish(world)


def delayed_release(world: CoordinationWorld) -> None:
    """A release is stuck in a frozen gateway until its caller has acquired the lock again."""
    leader, edge = wait_for_leader(world), world.edges[0]
    granted = ask(world, "a", c.Acquire("l1", "a", 5 * HOLD_MS), leader)
    assert isinstance(granted, c.Granted)
    edge.frozen_until = world.env.now + 1.5
    release = c.Release("l1", "a", granted.fence)
    world.env.run(world.env.process(world.ask("a", release, edge)))
    ask(world, "a", c.Acquire("l1", "a", 5 * HOLD_MS), leader)
    world.env.run(until=world.env.now + 1.0)
    ask(world, "b", c.Acquire("l1", "b", HOLD_MS), leader)
    heal_and_finish(world)


def delayed_put(world: CoordinationWorld) -> None:
    """A put is stuck in a frozen gateway. Before it arrives it was retried elsewhere, others followed, and
    all processes restarted from their snapshots."""
    leader, edge = wait_for_leader(world), world.edges[0]
    edge.frozen_until = world.env.now + 8.0
    put = c.Put("g1.a", "v1")
    world.env.process(world.ask("p", put, edge))
    ask(world, "p", put, leader)
    for n in range(30):
        ask(world, "q", c.Put("g1.a", f"w{n}"), leader)
    for place in list(world.machines.values()):
        world.kill(place)
        world.start(place)
    again = wait_for_leader(world)
    assert world.env.now < edge.frozen_until
    ask(world, "q", c.Put("g1.a", "x"), again)
    world.env.run(until=edge.frozen_until + 1.0)
    heal_and_finish(world)


SCENES = (
    stale_read,
    stale_renewals,
    leader_without_replies,
    leader_without_followers,
    delayed_release,
    delayed_put,
)
