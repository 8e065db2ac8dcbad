"""Who owns which part of the quotas: the table in the log, the leader's plan, and claims behind a barrier; and
what a request is charged by from its client to its host."""

from __future__ import annotations

import itertools
import random
from collections import Counter

import pytest
from quota_world import DEADLINE, RULE, Core, HostsOf, QuotaWorld, alone
from test_routing import router

from coralvale.cluster.configuration.history import ChangeHistory
from coralvale.cluster.errors import Problem
from coralvale.cluster.rate_limit.actions import Admitted
from coralvale.cluster.rate_limit.escrow import Escrow
from coralvale.cluster.rate_limit.limiter import RateLimiter
from coralvale.cluster.rate_limit.quota import CellSizes, Quota
from coralvale.cluster.rate_limit.share_planner import ALIVE, GATHER, LEFT, MOST_CLAIMS, SharePlanner
from coralvale.cluster.rate_limit.shares import (
    CELLS,
    NOBODY,
    RELEASE,
    CellsOf,
    ShareChange,
    ShareTable,
    even_table,
    pack_change,
)
from coralvale.cluster.rate_limit.tenant import Tally
from coralvale.cluster.routing.router import Job
from coralvale.cluster.routing.tries import ENDS
from coralvale.cluster.share_desk import ALLOWED_FOR, RENEWED, STARTED, TAKEN_WITHIN, ShareAnswer, ShareClaim
from coralvale.interface import Outcome


def founded(*names: str) -> tuple[ShareTable, SharePlanner]:
    table = ShareTable()
    planner = SharePlanner(table, 0.0)
    for name in names:
        planner.claim(0.0, name, 0)
    settle(planner, GATHER)
    return table, planner


def settle(planner: SharePlanner, now: float) -> int:
    """Applies what the planner wants until it wants nothing more."""
    for number in itertools.count():
        change = planner.next_change(now)
        if change is None:
            return number
        assert number < 10
        assert planner.table.deliver(pack_change(change))
    raise AssertionError


def sizes(table: ShareTable) -> Counter[str]:
    return Counter(table.owners)


def test_gateways_that_start_together_get_even_parts_at_once() -> None:
    planner = SharePlanner(ShareTable(), 0.0)
    assert planner.next_change(5.0) is None
    planner.claim(5.0, "a", 0)
    assert planner.next_change(5.0 + GATHER / 2) is None
    planner.claim(5.5, "b", 0)
    planner.claim(5.5, "c", 0)
    assert settle(planner, 5.0 + GATHER) == 1
    assert set(sizes(planner.table)) == {"a", "b", "c"}
    assert max(sizes(planner.table).values()) - min(sizes(planner.table).values()) <= 2


def test_a_newcomer_gets_cells_only_when_their_owner_has_let_them_go() -> None:
    table, planner = founded("a", "b", "c")
    before = list(table.owners)
    planner.claim(10.0, "new", 0)
    for name in "abc":
        planner.claim(10.0, name, table.version)
    settle(planner, 10.0 + GATHER)
    assert table.owners == before and len(table.moves) == CELLS // 4
    assert all(table.usable(cell) == NOBODY for cell in table.moves)
    planner.claim(12.0, "a", table.version)
    planner.claim(12.0, "b", table.version - 1)  # it does not know yet
    settle(planner, 12.0)
    owned = {cell for cell, owner in enumerate(table.owners) if owner == "new"}
    assert owned and {before[cell] for cell in owned} == {"a"}
    for name in "abc":
        planner.claim(12.5, name, table.version)
    settle(planner, 12.5)
    assert sizes(table)["new"] == CELLS // 4 and not table.moves


def test_an_owner_that_is_silent_keeps_its_cells_until_its_lease_is_over() -> None:
    table, planner = founded("a", "b")
    alive = 10.0
    while alive < RELEASE - 10:
        alive += 20.0
        planner.claim(alive, "a", table.version)
        assert planner.next_change(alive) is None
    planner.claim(RELEASE + 1, "a", table.version)
    settle(planner, RELEASE + 1)
    assert sizes(table) == {"a": CELLS}


def test_a_new_leader_waits_for_the_lease_of_those_that_it_has_not_heard() -> None:
    table, _ = founded("a", "b")
    planner = SharePlanner(table, 1000.0)
    planner.claim(1000.0 + RELEASE - 1, "a", table.version)
    assert planner.next_change(1000.0 + RELEASE - 1) is None
    assert planner.next_change(1000.0 + RELEASE + 1) is not None


def test_one_that_said_that_it_ends_is_followed_soon_unless_it_comes_back() -> None:
    table, planner = founded("a", "b", "c")
    planner.claim(10.0, "a", table.version, True)
    planner.claim(10.0, "b", table.version, True)
    planner.claim(12.0, "b", 0)  # another process of it
    planner.claim(10.0 + LEFT, "c", table.version)
    assert planner.next_change(10.0 + LEFT) is None
    planner.claim(11.0 + LEFT, "c", table.version)
    settle(planner, 11.0 + LEFT)
    assert sizes(table)["a"] == 0 and sizes(table)["b"] >= CELLS // 3 and sizes(table)["c"] >= CELLS // 3


def test_machines_replaced_one_by_one_at_new_addresses_leave_nothing_behind() -> None:
    names = [f"old{n}" for n in range(6)]
    table, planner = founded(*names)
    now = 10.0
    for n in range(6):
        planner.claim(now, names[n], table.version, True)
        names[n] = f"new{n}"
        for _ in range(30):
            now += 1.0
            for name in names:
                planner.claim(now, name, table.version)
            settle(planner, now)
    assert set(sizes(table)) == set(names)
    assert max(sizes(table).values()) <= 2 * min(sizes(table).values())


def test_claims_are_bounded_and_more_gateways_than_cells_own_nothing() -> None:
    planner = SharePlanner(ShareTable(), 0.0)
    for n in range(MOST_CLAIMS + 10):
        planner.claim(0.0, f"10.{n // 65536}.{n // 256 % 256}.{n % 256}", 0)
    assert len(planner.claims) == MOST_CLAIMS
    settle(planner, GATHER)
    assert NOBODY not in sizes(planner.table)


def test_ten_thousand_addresses_one_after_another_leave_nothing_behind() -> None:
    """The leader knew the first 4,096 addresses of its life for good: gateways after those owned nothing."""
    made, now = Core(0.0), 0.0
    made.claim(0.0, ShareClaim(1, "stays", 0))
    made.tick(2 * GATHER)
    version = made.table.version
    for n in range(10_000):
        now = 10.0 + n * 4 * ALIVE / 1000
        made.claim(now, ShareClaim(2 + n, f"a{n}", version))
        if n % 1000 == 0:
            made.claim(now, ShareClaim(20_000 + n, "stays", made.table.version))
    planner = made.desk.planner
    assert planner and len(planner.claims) <= 2 * 1000 and "stays" in planner.claims
    for step in range(10):  # one more, and all that there is to do for it
        for name in ("stays", "last"):
            made.claim(now + step, ShareClaim(40_000 + step, name, made.table.version))
        made.tick(now + step)
    assert sizes(made.table)["last"] > CELLS // 1000
    made.desk.deliver(
        now + 20, pack_change(ShareChange(made.table.version, (CellsOf("one", tuple(range(CELLS))),)))
    )
    assert set(made.desk.gained) == {"one"}


def test_a_change_made_for_another_version_has_no_effect() -> None:
    table = even_table(["a", "b"])
    before = table.image()
    assert not table.deliver(pack_change(ShareChange(0, (CellsOf("c", (0, 1)),))))
    assert table.image() == before


def test_a_table_comes_back_from_its_image_and_what_is_none_is_refused() -> None:
    table, planner = founded("a", "b")
    for name in ("a", "b", "new"):
        planner.claim(10.0, name, table.version)
    settle(planner, 10.0 + GATHER)
    assert table.moves
    assert ShareTable.restored(table.image()) == table
    assert ShareTable.restored(b"") == ShareTable()
    for bad in (b"x", table.image()[:-3], b"\x94\x01\x90\xc4\x02\x00\x01\x90"):
        with pytest.raises(ValueError, match="no table"):
            ShareTable.restored(bad)


def test_the_table_is_kept_beside_the_configuration_and_an_older_image_has_none() -> None:
    history, table = ChangeHistory(), even_table(["a"])
    assert ShareTable.restored(ChangeHistory().restore(history.image(table.image())).shares) == table
    assert ChangeHistory().restore(history.image()).shares == b""


def users_of_cells(seed: int) -> int:
    """Gateways that follow old tables, die, come back and are replaced; leaders that know nothing of claims.

    A gateway's claim tells the version that it goes by, and the leader's answer is taken late or never. Returns
    the most users that a cell had at once."""
    worst = 0
    chance = random.Random(seed)
    names = [f"g{n}" for n in range(5)]
    table, planner = founded(*names)
    follows = {name: ShareTable.restored(table.image()) for name in names}
    now, changes = GATHER, 0
    for _ in range(600):
        now += chance.uniform(0.1, 1.0)
        name = chance.choice(names)
        match chance.randrange(10):
            case 0:  # killed, and started again with nothing
                follows[name] = ShareTable()
            case 1 if len(names) < 12:
                names.append(f"n{len(names)}")
                follows[names[-1]] = ShareTable()
            case 2 if chance.random() < 0.2:
                planner = SharePlanner(table, now)
            case 3 | 4:
                change = planner.next_change(now)
                if change and table.deliver(pack_change(change)):
                    changes += 1
            case _:
                planner.claim(now, name, follows[name].version)
                if chance.random() < 0.7:
                    follows[name] = ShareTable.restored(table.image())
        for cell in range(0, CELLS, 37):
            users = [n for n, followed in follows.items() if followed.usable(cell) == n]
            worst = max(worst, len(users))
    assert changes > 5 and table.version > 5
    return worst


@pytest.mark.parametrize("seed", range(10))
def test_no_cell_is_ever_used_by_two(seed: int) -> None:
    assert users_of_cells(seed) == 1


def test_a_planner_that_does_not_wait_for_the_owner_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    def at_once(self: SharePlanner, now: float) -> dict[str, list[int]]:
        return {
            to: [c for c, m in self.table.moves.items() if m.to == to]
            for to in {move.to for move in self.table.moves.values()}
        }

    monkeypatch.setattr(SharePlanner, "_let_go", at_once)
    assert any(users_of_cells(seed) > 1 for seed in range(4))


# The desk


def test_claims_are_answered_behind_a_barrier_with_the_newest_table() -> None:
    made = Core(0.0)
    made.do(1.0, made.desk.claim(1.0, ShareClaim(1, "a", 0)))
    assert made.answers.pop(1) == ShareAnswer(1, True, b"", 1.0)  # there is no newer one
    made.do(3.0, made.desk.tick(3.0))
    assert sizes(made.table) == {"a": CELLS}
    made.holds = True
    made.kept.clear()
    made.do(3.0, made.desk.claim(3.0, ShareClaim(2, "a", 0)))
    made.do(3.0, made.desk.claim(3.1, ShareClaim(3, "b", 1)))
    assert not made.answers  # the barrier is on its way
    made.holds = False
    (settled,) = made.kept
    made.do(3.2, made.desk.settled(3.2, settled.token, True))
    # One came to own its cells with the newest change, the other owns none since the start.
    assert [(a.token, a.settled, a.table, round(a.age, 3)) for a in made.answers.values()] == [
        (2, True, made.table.image(), 0.2),
        (3, True, b"", 3.2),
    ]
    made.desk.restore(4.0, made.table.image())  # since when is not known any more
    made.do(4.5, made.desk.claim(4.5, ShareClaim(4, "a", 1)))
    assert made.answers[4] == ShareAnswer(4, True, b"", 0.5)


def test_a_replica_that_does_not_lead_or_loses_its_majority_answers_nothing() -> None:
    made = Core(0.0)
    made.holds = True
    made.do(1.0, made.desk.claim(1.0, ShareClaim(1, "a", 0)))
    made.do(1.0, made.desk.settled(1.0, made.kept[0].token, False))
    assert made.answers[1] == ShareAnswer(1, settled=False)
    assert made.desk.planner is None or not made.desk.planner.claims
    made.replica.leading = False
    made.do(1.0, made.desk.claim(1.0, ShareClaim(2, "a", 0)))
    assert made.answers[2] == ShareAnswer(2, settled=False)
    assert made.desk.tick(9.0) == []


def test_one_change_of_the_table_is_on_its_way_at_a_time() -> None:
    made = Core(0.0)
    made.do(1.0, made.desk.claim(1.0, ShareClaim(1, "a", 0)))
    made.holds = True
    made.do(3.0, made.desk.tick(3.0))
    made.do(3.0, made.desk.claim(3.0, ShareClaim(2, "b", 1)))
    made.table.version = 0  # as if it were not delivered yet
    assert made.desk.tick(9.0) == []


def restarted(made: Core, now: float) -> Core:
    """Another process at the same disk, once it leads."""
    again = Core(now, made.durable)
    for n in range(40):
        again.do(now + n / 20, again.replica.tick(now + n / 20))
    assert again.replica.leading
    return again


def allowed(made: Core, now: float, address: str, version: int = 0) -> bool:
    answer = made.claim(now, ShareClaim(int(now * 1000), address, version))
    assert answer is not None and answer.settled
    return answer.allowed


def test_processes_that_start_with_the_leader_begin_with_an_allowance_once() -> None:
    first = Core(0.0)
    assert not allowed(first, 1.0, "a")
    first.tick(1.0 + GATHER)
    assert not allowed(first, 2.5, "b")  # the system starts for the first time: nobody needs it
    second = restarted(first, 100.0)
    assert allowed(second, 102.0, "a") and allowed(second, 102.1, "b")
    assert not allowed(second, 102.2, "a")  # a third process at its address
    assert not allowed(second, 102.3, "c", 1)  # one that runs
    assert not allowed(second, 102.1 + ALLOWED_FOR, "d")
    third = restarted(second, 104.0)  # all are lost once more, within the rule's window
    assert third.table.spent and not allowed(third, 106.0, "a")
    renewed = RULE.window + ALLOWED_FOR + TAKEN_WITHIN + RENEWED
    third.tick(103.9 + renewed)
    assert third.table.spent
    third.tick(106.0 + renewed)
    assert not third.table.spent
    fourth = restarted(third, 200.0)
    assert allowed(fourth, 202.0, "a")


def test_a_leader_that_has_run_for_long_allows_nothing() -> None:
    first = Core(0.0)
    allowed(first, 1.0, "a")
    first.tick(1.0 + GATHER)
    second = restarted(first, 100.0)
    assert not allowed(second, 100.0 + STARTED, "a") and not second.table.spent


def test_claims_wait_until_the_allowance_is_spent() -> None:
    first = Core(0.0)
    allowed(first, 1.0, "a")
    first.tick(1.0 + GATHER)
    second = restarted(first, 100.0)
    second.holds = True
    assert second.claim(102.0, ShareClaim(1, "a", 0)) is None
    (spent,) = second.kept
    second.holds = False
    second.do(102.1, second.desk.settled(102.1, spent.token, True))
    assert second.answers[1].allowed


# From the client to the host


def given_back_and_arrived(seed: int, monkeypatch: pytest.MonkeyPatch) -> tuple[int, bool]:
    """How often the charge of a request whose tries end in any way is given back, and whether a host got it."""
    chance, made = random.Random(seed), router()
    refunds: list[Admitted] = []
    monkeypatch.setattr(RateLimiter, "refund", lambda self, now, name, admitted: refunds.append(admitted))
    job = made.admit(1.0, b"id", "a.example", chance.choice(("/x/1", "/x/y/1")), "k1", 1.5)
    assert isinstance(job, Job) and job.admitted
    now, arrived = 1.0, False
    while not isinstance(copy := made.pick(now, job), Problem):
        if chance.random() < 0.1:  # its client's time is over before anything was written
            made.try_unsent(job, copy, job.tries)
            made.time_out(now, job)
            break
        now += chance.uniform(0.0, 0.3)
        outcome = chance.choice(list(Outcome))
        arrived = arrived or ENDS[outcome].arrived
        status = chance.choice((200, 500)) if outcome is Outcome.OK else 0
        if made.try_ended(now, job, copy, job.tries, outcome, status, 0.1):
            break
        if outcome is Outcome.OK and not made.may_retry_answer(now, job, status):
            break
        if chance.random() < 0.1:
            made.time_out(now, job)
            break
    return len(refunds), arrived


def test_a_request_that_came_to_a_host_stays_charged_however_its_tries_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    seen = {given_back_and_arrived(seed, monkeypatch) for seed in range(300)}
    assert seen == {(0, True), (1, False)}


def test_a_refused_tenants_tally_tells_by_whose_tokens_its_requests_went() -> None:
    limiter = alone()
    limiter.request(100.0, "calm", 60.0, 60.0)
    admitted = limiter.request(100.0, "t", 1.0, 1.0)
    assert isinstance(admitted, Admitted)
    limiter.refund(100.0, "t", admitted)
    limiter.asked(100.0, "other", 1, "t", 1.0, 1.0, 2)
    limiter.tenants["t"].stock.add(101.0, 1)
    while isinstance(limiter.request(100.0, "t", 1.0, 1.0), Admitted):
        pass
    (tally,) = limiter.take_tallies().values()
    assert tally == Tally(refused=1, own=1, granted=1, given_back=1, lent=2)
    assert limiter.take_tallies() == {}


def test_a_tenant_that_turns_hot_gets_no_window_at_once_nor_another_five_seconds_later() -> None:
    """96 gateways let through 559 in the first second, and 810 in five where 766 may be, by words 0.1 s late."""
    rate = 113.0
    world = QuotaWorld(0, 96, rate, rate, slow=0.1)
    world.play(rate / 1.6, 4.0)
    quota = Quota.of(CellSizes.of(RULE), rate, rate)
    size = quota.bucket(range(quota.cells))
    for _ in range(6):
        before = world.asked - world.refused
        world.play(rate / 1.6 * 14, 1.0)
        assert world.asked - world.refused - before <= size.depth + size.fill * 1.25
    assert world.worst <= world.most


def test_the_schedules_find_tokens_that_come_back_late_on_top_of_a_full_bucket(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def at_any_time(self: Escrow, now: float, taken_at: float, count: int) -> None:
        self.tokens += count

    def passes(seed: int) -> bool:
        world = QuotaWorld(seed, 12, 110.0, 110.0, hosts=HostsOf(unsent=1.0))
        world.play(900.0, DEADLINE)
        world.hosts = HostsOf()  # the hosts are in reach again
        world.play(900.0, DEADLINE)
        return world.excess > 1

    assert not any(passes(seed) for seed in range(2))
    monkeypatch.setattr(Escrow, "put_back", at_any_time)
    assert any(passes(seed) for seed in range(2))
