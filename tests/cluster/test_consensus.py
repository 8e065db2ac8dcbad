"""One log of changes through kills, wipes, cuts, freezes and replaced members, before operators that never give
up; and each rule, taken out, is missed."""

from __future__ import annotations

import random
from collections import deque
from typing import Any

import pytest
from consensus_world import TIMING, Broken, Place, World
from mutants import MUTANTS, Suspect

from coralvale.cluster.configuration.history import Change
from coralvale.cluster.consensus import messages as m
from coralvale.cluster.consensus.replica import DurableState, Replica, Timing
from coralvale.cluster.consensus.replication import KEPT, MOST_KEPT_BYTES, SNAPSHOT_BYTES, SNAPSHOT_EVERY
from coralvale.cluster.consensus.snapshot import SnapshotUpload
from coralvale.cluster.consensus.state import Progress
from coralvale.cluster.consensus.voters import Limits, next_voters, pack_voters

SEEDS = 80
SECONDS = 20.0


@pytest.mark.parametrize("members", [3, 4, 5, 6])
def test_one_history_and_nothing_acknowledged_is_lost(members: int) -> None:
    acknowledged = steps = reads = refusals = 0
    for seed in range(SEEDS):
        world = World(seed, members)
        try:
            acknowledged += world.play(SECONDS)
        except Broken as error:
            raise AssertionError(f"World({seed}, {members}).play({SECONDS}): {error}") from error
        steps, reads, refusals = steps + world.steps, reads + world.reads, refusals + world.refusals
    print(f"{members} members: {steps} steps, {acknowledged} orders, {reads} readings, {refusals} refusals")
    assert acknowledged > SEEDS * 20 and reads > SEEDS * 20 and refusals > SEEDS * 20


@pytest.mark.parametrize("suspect", MUTANTS, ids=lambda s: s.name)
def test_each_rule_taken_out_is_missed(suspect: Suspect) -> None:
    found = suspect.hunt()
    assert found, f"{suspect.name}: nothing broke"
    print(f"mutant {suspect.name} (invariant {suspect.invariant}): {found}")


def test_there_is_a_mutant_for_each_invariant() -> None:
    assert {s.invariant for s in MUTANTS} == set(range(1, 9))
    assert len(MUTANTS) >= 10


def entry(seq: int, body: bytes = b"x", view: int = 1) -> m.Entry:
    return m.Entry(seq, view, m.CHANGE, body)


A, B, C, LOST = (m.Member(name, name, f"10.0.0.{i}") for i, name in enumerate(("a", "b", "c", "a-again")))
VOTERS = m.Entry(1, 1, m.VOTERS, pack_voters(m.VoterSet((A, B, C))))


def member(me: m.Member, entries: list[m.Entry], commit: int = 1) -> Replica:
    return Replica(me, DurableState(1, "", commit, None, entries), TIMING, random.Random(1), 0.0)


def votes(replica: Replica, asker: m.Member, last: int) -> bool:
    actions = replica.receive(9.0, m.VoteRequest(2, asker.id, 1, last), asker.ip)
    writes = [a for a in actions if isinstance(a, m.Write)]
    actions += [s for w in writes for s in replica.wrote(9.0, w.number)]
    replies = [a.message for a in actions if isinstance(a, m.Send) and isinstance(a.message, m.VoteReply)]
    return any(reply.granted for reply in replies)


def test_of_three_one_wiped_and_one_that_lags_the_third_alone_can_go_on() -> None:
    """What a and b had on disk was acknowledged; a's disk is lost: only b may lead, and the new disk has no
    vote."""
    lags, has = member(C, [VOTERS]), member(B, [VOTERS, entry(2)])
    assert votes(lags, B, last=2)
    assert not votes(has, C, last=1)
    wiped = Replica(LOST, DurableState(), TIMING, random.Random(1), 0.0)
    assert not wiped.is_voter
    assert wiped.tick(50.0) == []  # it campaigns for nothing
    assert not lags.voters.majority({C.id, LOST.id})


def whole(world: World) -> World:
    world.env.run(world.env.process(world.whole()))
    return world


def others(world: World) -> list[Place]:
    return [p for p in world.places.values() if p.replica and not p.replica.leading]


def leader_of(world: World) -> Place:
    leader = world.leader()
    assert leader and leader.replica
    return leader


def voters_of(world: World) -> set[str]:
    return {v.id for p in world.places.values() if p.replica for v in p.replica.voters.new}


def ask(world: World, seconds: float) -> int:
    """How many more changes were acknowledged while operators asked."""
    before = len(world.acknowledged)
    world.env.run(world.env.process(world.asking(world.env.now + seconds)))
    return len(world.acknowledged) - before


def test_a_wiped_disk_at_its_old_address_takes_the_lost_ones_vote() -> None:
    world = whole(World(7, 3))
    place = others(world)[0]
    before = place.disk.id
    world.wipe(place)
    world.start(place)
    whole(world)
    assert before not in voters_of(world) and len(voters_of(world)) == 3


def test_below_what_the_budget_needs_nothing_is_acknowledged() -> None:
    world = World(3, 2)
    assert not ask(world, 6.0)


def test_a_leader_that_leaves_is_followed_within_a_message() -> None:
    world = whole(World(11, 3))
    leader = leader_of(world)
    assert leader.replica
    world.act(leader, leader.replica.leave(world.env.now))
    world.env.run(until=world.env.now + 0.2)  # an election by silence alone takes 0.6 s
    assert any(p.replica and p.replica.leading for p in world.places.values() if p is not leader)


def test_a_member_that_leaves_ends_only_when_those_that_stay_hold_all() -> None:
    for seed in range(20):
        World(seed, 3).only_copy()


def test_one_that_is_replaced_as_planned_has_no_vote_when_it_ends() -> None:
    """A loss right after the replacement leaves a majority."""
    world = whole(World(9, 3))
    leaves, stays = others(world)
    new = world.add("10.0.0.9")
    whole(world)
    assert len(voters_of(world)) == 3 and new.disk.id not in voters_of(world)  # it learns
    world.env.run(world.env.process(world.leave(leaves)))
    assert leaves.replica and leaves.replica.may_end
    world.kill(leaves)
    del world.places[leaves.ip]
    assert leaves.disk.id not in voters_of(world) and new.disk.id in voters_of(world)
    world.kill(stays)
    assert ask(world, 3.0) > 5


def test_a_silent_member_gives_its_vote_to_a_learner_so_that_a_second_loss_is_borne() -> None:
    world = whole(World(13, 4))
    first, second = [p for p in others(world) if p.replica and p.replica.is_voter][:2]
    world.kill(first)
    world.env.run(until=world.env.now + TIMING.gone + 1.0)
    assert first.disk.id not in voters_of(world) and len(voters_of(world)) == 3
    world.kill(second)
    assert ask(world, 8.0) > 3


M = [m.Member(str(n), f"n{n}", f"10.1.0.{n}") for n in range(9)]
LIMITS = Limits(least=3, gone=1.5, spare=4.0)


@pytest.mark.parametrize(
    ("voters", "learners", "silent", "leaving", "expected"),
    [
        ("012", "", {}, "", None),  # at rest
        ("012", "3", {}, "", None),  # odd, and nobody is lost: it learns
        ("0", "1", {}, "", "01"),  # too few for the budget
        ("012", "34", {}, "", "01234"),  # two more keep it odd
        ("0123", "4", {}, "", "01234"),
        ("012", "3", {"1": 2.0}, "", "023"),  # silent, and one can take its place
        ("012", "", {"1": 9.0}, "", None),  # nobody can: the budget needs its seat
        ("012", "3", {}, "2", "013"),  # it leaves
        ("012", "", {}, "2", None),  # it restarts: its vote stays
        ("0123", "", {"2": 0.9}, "", "013"),  # even: the quietest
        ("0123", "", {"2": 0.9}, "0", "123"),  # even: the one that leaves
        ("01234", "", {"2": 2.0}, "", None),
        ("01234", "", {"2": 5.0}, "", "0134"),
    ],
)
def test_which_voters_follow(
    voters: str, learners: str, silent: dict[str, float], leaving: str, expected: str | None
) -> None:
    of = {member.id: member for member in M}
    found = next_voters([of[v] for v in voters], [of[v] for v in learners], silent, set(leaving), LIMITS)
    assert (found and "".join(sorted(member.id for member in found))) == expected


def test_while_voters_change_majorities_of_the_old_and_the_new_are_needed() -> None:
    """a is cut off and not lost: with c it could go on by itself, if b and the new disk alone took the new one
    in."""
    changing = m.Entry(2, 1, m.VOTERS, pack_voters(m.VoterSet((LOST, B, C), (A, B, C))))
    leader = member(B, [VOTERS, changing])
    assert not leader.voters.majority({B.id, LOST.id})  # of the old, b alone
    assert not leader.voters.majority({A.id, B.id})  # of the new, b alone
    assert leader.voters.majority({B.id, C.id})
    assert m.VoterSet((LOST, B, C)).majority({B.id, LOST.id})


def test_sides_that_part_while_voters_change_have_one_history() -> None:
    went_on = 0
    for seed in range(30):
        world = World(seed, 3)
        went_on += world.parted()
        assert ask(world, 3.0), seed  # together again
    assert went_on >= 20  # the side with two of the old, unless the change of voters had come to both


@pytest.mark.parametrize("leads", [True, False])
def test_a_disk_that_is_full_holds_up_no_acknowledgement(leads: bool) -> None:
    for seed in range(10):
        world = whole(World(seed, 3))
        place = leader_of(world) if leads else others(world)[0]
        place.full_until = world.env.now + 10.0
        assert ask(world, 8.0) > 20
        whole(world)  # and has all when it takes writes again


def test_what_a_view_left_unsettled_is_trimmed_on_disk_too() -> None:
    lags = member(C, [VOTERS, entry(2, b"old"), entry(3, b"old")])
    append = m.Append(2, B.id, 1, 1, 1, (entry(2, b"new", 2),))
    (write,) = [a for a in lags.receive(9.0, append, B.ip) if isinstance(a, m.Write)]
    assert write.cut == 2 and [e.body for e in write.entries] == [b"new"] and lags.last == 2


def test_a_reply_never_names_what_is_not_on_disk() -> None:
    lags = member(C, [VOTERS])
    append = m.Append(1, A.id, 1, 1, 1, (entry(2),), 7)
    actions = lags.receive(0.1, append, A.ip)
    assert not [a for a in actions if isinstance(a, m.Send)]
    again = lags.receive(0.2, append, A.ip)  # the same once more, before the first is on disk
    assert [a.message for a in again if isinstance(a, m.Send)] == [m.AppendReply(1, C.id, True, 1, 7)]
    (write,) = [a for a in actions if isinstance(a, m.Write)]
    told = [a.message for a in lags.wrote(0.3, write.number) if isinstance(a, m.Send)]
    assert told == [m.AppendReply(1, C.id, True, 2, 7)]


def barrier_of(replica: Replica, now: float) -> list[m.Settled]:
    return [a for a in replica.barrier(now, 99) if isinstance(a, m.Settled)]


def test_replies_that_were_on_their_way_confirm_no_reading() -> None:
    """A leader stood still; the replies that it finds are to broadcasts from before."""
    world = whole(World(1, 3))
    leader = leader_of(world).replica
    assert leader
    now, old = world.env.now + 30.0, leader.round
    assert not barrier_of(leader, now)  # not decided yet
    for peer in list(leader.peers):
        late = leader.receive(now, m.AppendReply(leader.view, peer, True, leader.last, old), "10.0.0.1")
        assert not [a for a in late if isinstance(a, m.Settled)]
    assert not leader.in_contact(now)
    peer = next(iter(leader.peers))
    fresh = leader.receive(now, m.AppendReply(leader.view, peer, True, leader.last, leader.round), "10.0.0.1")
    assert [a for a in fresh if isinstance(a, m.Settled)] == [m.Settled(99, True)]


def test_a_leader_that_stood_still_behind_its_own_broadcast_reads_nothing_old() -> None:
    for seed in range(20):
        World(seed, 3).frozen_leader()


def test_a_leader_that_was_cut_off_or_frozen_refuses_nothing_and_reads_nothing_old() -> None:
    """Twenty seconds apart from the others, with operators who reach it all the while, and at once after."""
    for seed in range(12):
        world = whole(World(seed, 3))
        leader = leader_of(world)
        if seed % 2:
            leader.frozen_until = world.env.now + 20.0
        else:
            world.cut_off({leader.ip}, seed % 4 == 2)
        ask(world, 20.0)
        world.cut.clear()
        ask(world, 3.0)
        whole(world)
        world.check_end()
        assert world.refusals and world.reads


def lagging(link: float, body: int) -> tuple[World, Place, float]:
    """A member restarts while a change comes every 100 ms, the configuration is large, and its link is narrow:
    the world, the member, and the seconds until it had all."""
    world = whole(World(16, 3))
    place = others(world)[0]
    world.kill(place)
    place.disk = world.new_disk()
    change_every(world, 3 * SNAPSHOT_EVERY, b" " * body)
    place.link = link
    world.start(place)
    begun = world.env.now
    for _ in range(400):
        change_every(world, 1)
        replica = place.replica
        assert replica
        behind = leader_of(world).history.configuration.version - place.history.configuration.version
        if replica.is_voter and behind <= 2:
            return world, place, world.env.now - begun
    raise AssertionError(f"did not catch up in {world.env.now - begun:.0f} s")


def change_every(world: World, count: int, filler: bytes = b"", pause: float = 0.1) -> None:
    """A change each `pause` s, on top of the newest version; the first of all brings `filler`."""
    for _ in range(count):
        leader = leader_of(world)
        assert leader.desk
        base = leader.history.configuration.version
        first = b'{"Ver":%d,"Routes":{},"Svcs":{},"Filler":"%b"}' % (base + 1, filler)
        later = b'{"Ver":%d,"Upsert":{},"Remove":{}}' % (base + 1)
        if leader.desk.current is None:
            world.tokens += 1
            change = Change(base, not base, later if base else first)
            world.act(leader, leader.desk.submit(world.env.now, world.tokens, change))
        world.env.run(until=world.env.now + pause)


def test_a_member_that_restarts_under_constant_changes_catches_up_over_a_narrow_link() -> None:
    """5,000 routes are 1.25 MB; 2 Mbit/s bring them in 5 s; parts are sent once each."""
    world, place, seconds = lagging(2e6 / 8, 1_250_000)
    print(f"caught up in {seconds:.1f} s")
    assert seconds < 12.0
    assert place.replica and place.replica.snapshot.seq > 0
    whole(world)
    world.check_end()


def test_entries_behind_the_snapshot_are_kept_for_one_that_lags_by_little() -> None:
    world = whole(World(18, 3))
    place = others(world)[0]
    change_every(world, SNAPSHOT_EVERY - 10)
    world.kill(place)
    change_every(world, 40)
    leader = leader_of(world).replica
    assert leader and leader.snapshot.seq > 0 and leader.log_start <= leader.snapshot.seq - KEPT
    world.start(place)
    whole(world)
    assert place.replica and not place.replica.download.key[0]  # no part of a snapshot came
    assert place.replica.snapshot.seq == 0 or place.replica.log_start < place.replica.snapshot.seq
    world.check_end()


def test_a_snapshot_goes_on_where_it_broke_off_and_a_spoiled_one_is_not_taken() -> None:
    from coralvale.cluster.consensus.snapshot import PART, SnapshotDownload, SnapshotUpload

    snapshot = m.Snapshot(9, 2, m.VoterSet((A, B, C)), bytes(range(256)) * 1000)
    upload, download = SnapshotUpload.of(snapshot), SnapshotDownload()
    first = upload.part(0.0, 2, "a")
    assert first and len(first.data) == PART and upload.part(0.1, 2, "a") is None  # one at a time
    assert download.take(first) is None and len(download.data) == PART
    other = SnapshotUpload.of(snapshot)  # at the next leader
    assert other.answered(first.checksum, len(download.data))
    sent = 1
    while (part := other.part(1.0, 3, "b")) is not None:
        sent += 1
        taken = download.take(part)
        if taken:
            assert taken == snapshot
            break
        other.answered(part.checksum, len(download.data))
    assert sent == -(-len(upload.data) // PART)  # no part twice
    spoiled = SnapshotUpload.of(m.Snapshot(9, 2, m.VoterSet((A,)), b"x"))
    part = spoiled.part(0.0, 2, "a")
    assert (
        part and download.take(m.SnapshotPart(2, "a", 9, part.checksum + 1, part.size, 0, part.data)) is None
    )
    huge = m.SnapshotPart(2, "a", 9, 1, 1 << 40, 0, b"x")
    assert download.take(huge) is None and not download.data


def test_a_message_of_an_older_view_is_refused_and_counted() -> None:
    replica = member(C, [VOTERS])
    replica.receive(0.1, m.Append(3, B.id, 1, 1, 1), B.ip)
    told = replica.receive(0.2, m.Append(2, A.id, 1, 1, 1, (entry(2),)), A.ip)
    assert [a.message for a in told if isinstance(a, m.Send)] == [m.AppendReply(3, C.id, False, 1, 0)]
    assert replica.stale == 1 and replica.last == 1 and replica.leader == B.id
    replica.receive(0.3, m.AppendReply(2, A.id, True, 9, 1), A.ip)
    assert replica.stale == 2


def test_a_message_for_a_disk_that_was_lost_is_not_taken_by_the_next_one_at_its_address() -> None:
    replica = Replica(LOST, DurableState(), TIMING, random.Random(1), 0.0)
    append = m.Append(3, B.id, 0, 0, 0, (VOTERS,))
    assert replica.receive(0.1, append, B.ip, A.id) == [] and replica.stale == 1 and not replica.last
    replica.receive(0.2, append, B.ip, LOST.id)
    assert replica.last == 1


def test_what_is_proposed_and_not_committed_has_a_bound() -> None:
    from coralvale.cluster.consensus.replication import MOST_IN_FLIGHT

    world = whole(World(1, 3))
    leader = leader_of(world)
    world.cut_off({leader.ip}, False)
    assert leader.replica
    results: deque[Any] = deque()
    for token in range(MOST_IN_FLIGHT + 50):
        results.extend(leader.replica.propose(world.env.now, 10_000 + token, m.CHANGE, b""))
    assert sum(isinstance(a, m.Settled) and not a.accepted for a in results) == 50


def test_a_peer_that_never_takes_its_snapshot_does_not_let_the_log_grow_past_its_bytes() -> None:
    alone = m.VoterSet((m.Member("a", "gateway-a", "10.0.0.1"),))
    replica = Replica(alone.new[0], DurableState(), Timing(least=1), random.Random(1), 0.0)
    actions = replica.found(0.0)
    size = 300_000
    for number in range(2, 120):
        actions += replica.propose(0.0, number, m.CHANGE, bytes(size))
        for write in [a for a in actions if isinstance(a, m.Write)]:
            actions = replica.wrote(0.0, write.number)
        if replica.due_for_snapshot():
            replica.peers["b"] = Progress(1, upload=SnapshotUpload.of(m.Snapshot(1, 1, alone, b"")))
            replica.save(b"")
    assert sum(len(entry.body) for entry in replica.entries) < MOST_KEPT_BYTES + SNAPSHOT_BYTES + 2 * size
