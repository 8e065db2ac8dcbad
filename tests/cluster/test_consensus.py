"""The replicated log under kills, wiped disks, partitions, suspended processes and replaced members, with
operators that retry until they get a clear answer. For each invariant there is a mutant, a variant of the
code that breaks it, which must be detected."""

from __future__ import annotations

import random
from collections import deque
from typing import Any

import pytest
from consensus_world import TIMING, InvariantViolation, Machine, World
from mutants import MUTANTS, Mutant

from coralvale.cluster.configuration.history import Change
from coralvale.cluster.consensus import messages as m
from coralvale.cluster.consensus.replica import DurableState, Replica, Timing
from coralvale.cluster.consensus.replication import (
    KEPT_ENTRIES,
    MAX_KEPT_BYTES,
    SNAPSHOT_EVERY_BYTES,
    SNAPSHOT_EVERY_ENTRIES,
)
from coralvale.cluster.consensus.snapshot import SnapshotUpload
from coralvale.cluster.consensus.state import Progress
from coralvale.cluster.consensus.voters import Limits, encode_voters, next_voters

SEEDS = 80
SECONDS = 20.0


@pytest.mark.parametrize("members", [3, 4, 5, 6])
def test_replicas_agree_and_no_acknowledged_change_is_lost(members: int) -> None:
    acknowledged = steps = reads = refusals = 0
    for seed in range(SEEDS):
        world = World(seed, members)
        try:
            acknowledged += world.play(SECONDS)
        except InvariantViolation as error:
            raise AssertionError(f"World({seed}, {members}).play({SECONDS}): {error}") from error
        steps, reads, refusals = steps + world.steps, reads + world.reads, refusals + world.refusals
    print(f"{members} members: {steps} steps, {acknowledged} changes, {reads} reads, {refusals} refusals")
    assert acknowledged > SEEDS * 20 and reads > SEEDS * 20 and refusals > SEEDS * 20


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda s: s.name)
def test_each_mutant_breaks_an_invariant(mutant: Mutant) -> None:
    found = mutant.find_violation()
    assert found, f"{mutant.name}: nothing broke"
    print(f"mutant {mutant.name} (invariant {mutant.invariant}): {found}")


def test_there_is_a_mutant_for_each_invariant() -> None:
    assert {s.invariant for s in MUTANTS} == set(range(1, 9))
    assert len(MUTANTS) >= 10


def entry(seq: int, body: bytes = b"x", view: int = 1) -> m.Entry:
    return m.Entry(seq, view, m.CHANGE, body)


A, B, C, A_NEW_DISK = (
    m.Member(name, name, f"10.0.0.{i}") for i, name in enumerate(("a", "b", "c", "a-again"))
)
VOTERS = m.Entry(1, 1, m.VOTERS, encode_voters(m.VoterSet((A, B, C))))


def replica_with(me: m.Member, entries: list[m.Entry], commit: int = 1) -> Replica:
    return Replica(me, DurableState(1, "", commit, None, entries), TIMING, random.Random(1), 0.0)


def grants_vote(replica: Replica, asker: m.Member, last: int) -> bool:
    actions = replica.receive(9.0, m.VoteRequest(2, asker.id, 1, last), asker.ip)
    writes = [a for a in actions if isinstance(a, m.Write)]
    actions += [s for w in writes for s in replica.write_completed(9.0, w.number)]
    replies = [a.message for a in actions if isinstance(a, m.Send) and isinstance(a.message, m.VoteReply)]
    return any(reply.granted for reply in replies)


def test_only_the_replica_with_all_entries_can_lead_after_a_wipe() -> None:
    """An acknowledged entry is on the disks of a and b, and a's disk is lost: only b may lead, and a's new
    disk has no vote."""
    lags, has = replica_with(C, [VOTERS]), replica_with(B, [VOTERS, entry(2)])
    assert grants_vote(lags, B, last=2)
    assert not grants_vote(has, C, last=1)
    wiped = Replica(A_NEW_DISK, DurableState(), TIMING, random.Random(1), 0.0)
    assert not wiped.is_voter
    assert wiped.tick(50.0) == []  # it starts no election
    assert not lags.voters.majority({C.id, A_NEW_DISK.id})


def recovered(world: World) -> World:
    world.env.run(world.env.process(world.wait_until_recovered()))
    return world


def followers(world: World) -> list[Machine]:
    return [p for p in world.machines.values() if p.replica and not p.replica.leading]


def leader_of(world: World) -> Machine:
    leader = world.leader()
    assert leader and leader.replica
    return leader


def voters_of(world: World) -> set[str]:
    return {v.id for p in world.machines.values() if p.replica for v in p.replica.voters.new}


def acknowledged_while_asking(world: World, seconds: float) -> int:
    """Runs operators for some seconds; how many more changes were acknowledged."""
    before = len(world.acknowledged)
    world.env.run(world.env.process(world.run_operators(world.env.now + seconds)))
    return len(world.acknowledged) - before


def test_new_disk_at_the_same_address_replaces_the_lost_voter() -> None:
    world = recovered(World(7, 3))
    machine = followers(world)[0]
    before = machine.disk.id
    world.wipe(machine)
    world.start(machine)
    recovered(world)
    assert before not in voters_of(world) and len(voters_of(world)) == 3


def test_nothing_is_acknowledged_with_fewer_voters_than_the_fault_budget_needs() -> None:
    world = World(3, 2)
    assert not acknowledged_while_asking(world, 6.0)


def test_leaving_leader_hands_over_without_an_election_timeout() -> None:
    world = recovered(World(11, 3))
    leader = leader_of(world)
    assert leader.replica
    world.act(leader, leader.replica.leave(world.env.now))
    world.env.run(until=world.env.now + 0.2)  # an election after a timeout takes 0.6 s
    assert any(p.replica and p.replica.leading for p in world.machines.values() if p is not leader)


def test_leaving_member_waits_until_the_others_hold_all_entries() -> None:
    for seed in range(20):
        World(seed, 3).check_only_copy_on_leave()


def test_replaced_member_loses_its_vote_before_it_stops() -> None:
    """A further loss right after the replacement must leave a majority."""
    world = recovered(World(9, 3))
    leaves, stays = followers(world)
    new = world.add("10.0.0.9")
    recovered(world)
    assert len(voters_of(world)) == 3 and new.disk.id not in voters_of(world)  # it is a learner
    world.env.run(world.env.process(world.leave(leaves)))
    assert leaves.replica and leaves.replica.safe_to_stop
    world.kill(leaves)
    del world.machines[leaves.ip]
    assert leaves.disk.id not in voters_of(world) and new.disk.id in voters_of(world)
    world.kill(stays)
    assert acknowledged_while_asking(world, 3.0) > 5


def test_learner_replaces_silent_voter_so_that_a_second_loss_is_tolerated() -> None:
    world = recovered(World(13, 4))
    first, second = [p for p in followers(world) if p.replica and p.replica.is_voter][:2]
    world.kill(first)
    world.env.run(until=world.env.now + TIMING.replace_after + 1.0)
    assert first.disk.id not in voters_of(world) and len(voters_of(world)) == 3
    world.kill(second)
    assert acknowledged_while_asking(world, 8.0) > 3


M = [m.Member(str(n), f"n{n}", f"10.1.0.{n}") for n in range(9)]
LIMITS = Limits(min_voters=3, replace_after=1.5, remove_spare_after=4.0)


@pytest.mark.parametrize(
    ("voters", "learners", "silent", "leaving", "expected"),
    [
        ("012", "", {}, "", None),  # at rest
        ("012", "3", {}, "", None),  # odd, and no voter is lost: it stays a learner
        ("0", "1", {}, "", "01"),  # fewer voters than the fault budget needs
        ("012", "34", {}, "", "01234"),  # two more keep the number odd
        ("0123", "4", {}, "", "01234"),
        ("012", "3", {"1": 2.0}, "", "023"),  # a voter is silent, and a learner can replace it
        ("012", "", {"1": 9.0}, "", None),  # no learner, and the fault budget needs the voter
        ("012", "3", {}, "2", "013"),  # a voter leaves, and a learner replaces it
        ("012", "", {}, "2", None),  # it may only restart: it keeps its vote
        ("0123", "", {"2": 0.9}, "", "013"),  # even: the one silent for longest is removed
        ("0123", "", {"2": 0.9}, "0", "123"),  # even: the one that leaves is removed
        ("01234", "", {"2": 2.0}, "", None),
        ("01234", "", {"2": 5.0}, "", "0134"),
    ],
)
def test_choice_of_the_next_voters(
    voters: str, learners: str, silent: dict[str, float], leaving: str, expected: str | None
) -> None:
    of = {member.id: member for member in M}
    found = next_voters([of[v] for v in voters], [of[v] for v in learners], silent, set(leaving), LIMITS)
    assert (found and "".join(sorted(member.id for member in found))) == expected


def test_joint_configuration_needs_majorities_of_old_and_new_voters() -> None:
    """a is cut off and not lost: if b and the new disk alone could complete the change, a and c could still
    decide on their own."""
    changing = m.Entry(2, 1, m.VOTERS, encode_voters(m.VoterSet((A_NEW_DISK, B, C), (A, B, C))))
    leader = replica_with(B, [VOTERS, changing])
    assert not leader.voters.majority({B.id, A_NEW_DISK.id})  # of the old voters only b
    assert not leader.voters.majority({A.id, B.id})  # of the new voters only b
    assert leader.voters.majority({B.id, C.id})
    assert m.VoterSet((A_NEW_DISK, B, C)).majority({B.id, A_NEW_DISK.id})


def test_partition_during_a_change_of_voters_loses_nothing() -> None:
    went_on = 0
    for seed in range(30):
        world = World(seed, 3)
        went_on += world.check_partition_during_change()
        assert acknowledged_while_asking(world, 3.0), seed  # after the partition has healed
    # The side with two of the old voters goes on, unless the change of voters had reached both sides.
    assert went_on >= 20


@pytest.mark.parametrize("leads", [True, False])
def test_full_disk_does_not_block_acknowledgements(leads: bool) -> None:
    for seed in range(10):
        world = recovered(World(seed, 3))
        machine = leader_of(world) if leads else followers(world)[0]
        machine.full_until = world.env.now + 10.0
        assert acknowledged_while_asking(world, 8.0) > 20
        recovered(world)  # it catches up once its disk takes writes again


def test_conflicting_uncommitted_entries_are_deleted_from_disk() -> None:
    lags = replica_with(C, [VOTERS, entry(2, b"old"), entry(3, b"old")])
    append = m.Append(2, B.id, 1, 1, 1, (entry(2, b"new", 2),))
    (write,) = [a for a in lags.receive(9.0, append, B.ip) if isinstance(a, m.Write)]
    assert write.truncate_from == 2 and [e.body for e in write.entries] == [b"new"] and lags.last_seq == 2


def test_reply_acknowledges_only_entries_on_disk() -> None:
    lags = replica_with(C, [VOTERS])
    append = m.Append(1, A.id, 1, 1, 1, (entry(2),), 7)
    actions = lags.receive(0.1, append, A.ip)
    assert not [a for a in actions if isinstance(a, m.Send)]
    again = lags.receive(0.2, append, A.ip)  # a duplicate, before the first write is on disk
    assert [a.message for a in again if isinstance(a, m.Send)] == [m.AppendReply(1, C.id, True, 1, 7)]
    (write,) = [a for a in actions if isinstance(a, m.Write)]
    told = [a.message for a in lags.write_completed(0.3, write.number) if isinstance(a, m.Send)]
    assert told == [m.AppendReply(1, C.id, True, 2, 7)]


def test_a_snapshot_is_acknowledged_only_once_it_is_on_disk() -> None:
    """Guards against LOST: a write from before the snapshot ends, with entries that the snapshot replaces."""
    lags = replica_with(C, [VOTERS])
    first = lags.receive(0.1, m.Append(1, A.id, 1, 1, 1, (entry(2, b"old"), entry(3, b"old"))), A.ip)
    (before,) = [a for a in first if isinstance(a, m.Write)]
    upload = SnapshotUpload.of(m.Snapshot(3, 2, m.VoterSet((A, B, C)), b"state"))
    part = upload.next_part(0.2, 2, B.id)
    assert part
    (snapshot,) = [a for a in lags.receive(0.2, part, B.ip) if isinstance(a, m.Write)]
    lags.write_completed(0.3, before.number)
    for message in (m.Append(2, B.id, 3, 2, 3, (), 7), part):
        (told,) = [a.message for a in lags.receive(0.4, message, B.ip) if isinstance(a, m.Send)]
        assert isinstance(told, m.AppendReply) and told.accepted and told.seq == 1
    replies = [a.message for a in lags.write_completed(0.5, snapshot.number) if isinstance(a, m.Send)]
    assert [reply.seq for reply in replies if isinstance(reply, m.AppendReply)] == [3]


def barrier_results(replica: Replica, now: float) -> list[m.Settled]:
    return [a for a in replica.barrier(now, 99) if isinstance(a, m.Settled)]


def test_old_replies_do_not_confirm_a_read() -> None:
    """A suspended leader reads replies to broadcasts from before its read barrier."""
    world = recovered(World(1, 3))
    leader = leader_of(world).replica
    assert leader
    now, old = world.env.now + 30.0, leader.round
    assert not barrier_results(leader, now)  # no result yet
    for peer in list(leader.peers):
        late = leader.receive(now, m.AppendReply(leader.view, peer, True, leader.last_seq, old), "10.0.0.1")
        assert not [a for a in late if isinstance(a, m.Settled)]
    assert not leader.in_contact(now)
    peer = next(iter(leader.peers))
    fresh = leader.receive(
        now, m.AppendReply(leader.view, peer, True, leader.last_seq, leader.round), "10.0.0.1"
    )
    assert [a for a in fresh if isinstance(a, m.Settled)] == [m.Settled(99, True)]


def test_leader_suspended_after_a_broadcast_gives_no_stale_read() -> None:
    for seed in range(20):
        World(seed, 3).check_frozen_leader()


def test_isolated_or_suspended_leader_gives_no_false_refusal_or_stale_read() -> None:
    """The leader is isolated or suspended for 20 s, while operators reach it during that time and right
    afterwards."""
    for seed in range(12):
        world = recovered(World(seed, 3))
        leader = leader_of(world)
        if seed % 2:
            leader.frozen_until = world.env.now + 20.0
        else:
            world.isolate({leader.ip}, seed % 4 == 2)
        acknowledged_while_asking(world, 20.0)
        world.blocked_links.clear()
        acknowledged_while_asking(world, 3.0)
        recovered(world)
        world.check_end()
        assert world.refusals and world.reads


def measure_catch_up(link: float, body: int) -> tuple[World, Machine, float]:
    """Restarts a member with an empty disk and a slow link, while a change comes every 100 ms and the
    configuration is large. Returns the world, the member, and the seconds until it had caught up."""
    world = recovered(World(16, 3))
    machine = followers(world)[0]
    world.kill(machine)
    machine.disk = world.new_disk()
    change_every(world, 3 * SNAPSHOT_EVERY_ENTRIES, b" " * body)
    machine.link = link
    world.start(machine)
    begun = world.env.now
    for _ in range(400):
        change_every(world, 1)
        replica = machine.replica
        assert replica
        behind = leader_of(world).history.configuration.version - machine.history.configuration.version
        if replica.is_voter and behind <= 2:
            return world, machine, world.env.now - begun
    raise AssertionError(f"did not catch up in {world.env.now - begun:.0f} s")


def change_every(world: World, count: int, filler: bytes = b"", pause: float = 0.1) -> None:
    """Sends a change every `pause` s, based on the newest version; the first of all contains `filler`."""
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


def test_restarted_member_catches_up_over_a_slow_link_under_constant_changes() -> None:
    """5,000 routes are 1.25 MB, which takes 5 s at 2 Mbit/s if each part is sent once."""
    world, machine, seconds = measure_catch_up(2e6 / 8, 1_250_000)
    print(f"caught up in {seconds:.1f} s")
    assert seconds < 12.0
    assert machine.replica and machine.replica.snapshot.seq > 0
    recovered(world)
    world.check_end()


def test_slightly_lagging_member_needs_no_snapshot() -> None:
    world = recovered(World(18, 3))
    machine = followers(world)[0]
    change_every(world, SNAPSHOT_EVERY_ENTRIES - 10)
    world.kill(machine)
    change_every(world, 40)
    leader = leader_of(world).replica
    assert leader and leader.snapshot.seq > 0 and leader.log_start <= leader.snapshot.seq - KEPT_ENTRIES
    world.start(machine)
    recovered(world)
    assert machine.replica and not machine.replica.download.key[0]  # it received no part of a snapshot
    assert machine.replica.snapshot.seq == 0 or machine.replica.log_start < machine.replica.snapshot.seq
    world.check_end()


def test_snapshot_transfer_resumes_and_corrupt_snapshots_are_refused() -> None:
    from coralvale.cluster.consensus.snapshot import PART_BYTES, SnapshotDownload, SnapshotUpload

    snapshot = m.Snapshot(9, 2, m.VoterSet((A, B, C)), bytes(range(256)) * 1000)
    upload, download = SnapshotUpload.of(snapshot), SnapshotDownload()
    first = upload.next_part(0.0, 2, "a")
    assert (
        first and len(first.data) == PART_BYTES and upload.next_part(0.1, 2, "a") is None
    )  # one part at a time
    assert download.add_part(first) is None and len(download.data) == PART_BYTES
    other = SnapshotUpload.of(snapshot)  # by the next leader
    assert other.acknowledge(first.checksum, len(download.data))
    sent = 1
    while (part := other.next_part(1.0, 3, "b")) is not None:
        sent += 1
        taken = download.add_part(part)
        if taken:
            assert taken == snapshot
            break
        other.acknowledge(part.checksum, len(download.data))
    assert sent == -(-len(upload.data) // PART_BYTES)  # no part is sent twice
    spoiled = SnapshotUpload.of(m.Snapshot(9, 2, m.VoterSet((A,)), b"x"))
    part = spoiled.next_part(0.0, 2, "a")
    assert (
        part
        and download.add_part(m.SnapshotPart(2, "a", 9, part.checksum + 1, part.size, 0, part.data)) is None
    )
    huge = m.SnapshotPart(2, "a", 9, 1, 1 << 40, 0, b"x")
    assert download.add_part(huge) is None and not download.data


def test_messages_of_an_older_view_are_refused_and_counted() -> None:
    replica = replica_with(C, [VOTERS])
    replica.receive(0.1, m.Append(3, B.id, 1, 1, 1), B.ip)
    told = replica.receive(0.2, m.Append(2, A.id, 1, 1, 1, (entry(2),)), A.ip)
    assert [a.message for a in told if isinstance(a, m.Send)] == [m.AppendReply(3, C.id, False, 1, 0)]
    assert replica.stale_messages == 1 and replica.last_seq == 1 and replica.leader == B.id
    replica.receive(0.3, m.AppendReply(2, A.id, True, 9, 1), A.ip)
    assert replica.stale_messages == 2


def test_message_for_a_lost_disk_is_ignored_by_its_successor() -> None:
    replica = Replica(A_NEW_DISK, DurableState(), TIMING, random.Random(1), 0.0)
    append = m.Append(3, B.id, 0, 0, 0, (VOTERS,))
    assert (
        replica.receive(0.1, append, B.ip, A.id) == []
        and replica.stale_messages == 1
        and not replica.last_seq
    )
    replica.receive(0.2, append, B.ip, A_NEW_DISK.id)
    assert replica.last_seq == 1


def test_entries_in_flight_are_bounded() -> None:
    from coralvale.cluster.consensus.replication import MAX_IN_FLIGHT

    world = recovered(World(1, 3))
    leader = leader_of(world)
    world.isolate({leader.ip}, False)
    assert leader.replica
    results: deque[Any] = deque()
    for token in range(MAX_IN_FLIGHT + 50):
        results.extend(leader.replica.propose(world.env.now, 10_000 + token, m.CHANGE, b""))
    assert sum(isinstance(a, m.Settled) and not a.accepted for a in results) == 50


def test_log_stays_bounded_while_a_peer_never_accepts_its_snapshot() -> None:
    alone = m.VoterSet((m.Member("a", "gateway-a", "10.0.0.1"),))
    replica = Replica(alone.new[0], DurableState(), Timing(min_voters=1), random.Random(1), 0.0)
    actions = replica.bootstrap(0.0)
    size = 300_000
    for number in range(2, 120):
        actions += replica.propose(0.0, number, m.CHANGE, bytes(size))
        for write in [a for a in actions if isinstance(a, m.Write)]:
            actions = replica.write_completed(0.0, write.number)
        if replica.due_for_snapshot():
            replica.peers["b"] = Progress(1, upload=SnapshotUpload.of(m.Snapshot(1, 1, alone, b"")))
            replica.save_snapshot(b"")
    assert (
        sum(len(entry.body) for entry in replica.entries) < MAX_KEPT_BYTES + SNAPSHOT_EVERY_BYTES + 2 * size
    )
