"""Operators' lists of locks, numbers and keys, and the release of a lock by an operator."""

from __future__ import annotations

import json
import time
from typing import Any

import pytest
from coordination_desk import SingleMember

from coralvale.cluster import commands, sending
from coralvale.cluster.coordination import desk
from coralvale.cluster.coordination import model as c
from coralvale.cluster.coordination.notices import ExpiredByHand, TakenOver
from coralvale.cluster.errors import Kind, Problem
from coralvale.cluster.server.coordination import answer
from coralvale.cluster.server.coordination_api import read_call
from coralvale.cluster.server.coordination_figures import DELAYS_MS, CoordinationMetrics

HOLD_MS = 3000


def listed(member: SingleMember, call: c.ListNames) -> list[Any]:
    found = member.call(call)
    assert isinstance(found, c.Listed)
    return list(found.rows)


def test_paged_lists_hold_every_name_once_in_order() -> None:
    member = SingleMember()
    names = [f"g{n % 3}.{n:03d}" for n in range(40)]
    for n, name in enumerate(names):
        assert member.call(c.Put(name, f"value-{n}")) == c.Stored(n // 3 + 1)
        assert member.call(c.NextNumber(name)) == c.Number(1)
    for kind in (c.NameKind.KEYS, c.NameKind.NUMBERS):
        seen: list[str] = []
        more = True
        while more:
            page = member.call(c.ListNames(kind, seen[-1] if seen else "", "", 7))
            assert isinstance(page, c.Listed) and 0 < len(page.rows) <= 7
            seen += [row.name for row in page.rows]
            more = page.more
        assert seen == sorted(names)
    group = listed(member, c.ListNames(c.NameKind.KEYS, "", "g1."))
    assert group == [c.KeyRow(name, f"value-{n}", n // 3 + 1) for n, name in enumerate(names) if n % 3 == 1]
    assert listed(member, c.ListNames(c.NameKind.LOCKS)) == []


def test_a_listed_lock_shows_its_last_renewal_and_its_remaining_lease() -> None:
    member = SingleMember()
    assert member.call(c.Acquire("l1", "a", HOLD_MS)) == c.Granted(1)
    member.wait(1.0)
    assert member.call(c.Renew("l1", "a", 1, 2000)) == c.Renewed()
    member.wait(0.5)
    (row,) = listed(member, c.ListNames(c.NameKind.LOCKS))
    assert (row.name, row.owner, row.fence, row.hold_ms) == ("l1", "a", 1, HOLD_MS)
    assert row.renewed_s == pytest.approx(0.5) and 1.5 <= row.left_s < 1.6
    member.wait(10.0)
    (row,) = listed(member, c.ListNames(c.NameKind.LOCKS))
    assert row.left_s == pytest.approx(-8.5, abs=0.1)  # not taken over yet
    member.handler.view = 0  # as if a new leader had been elected
    (row,) = listed(member, c.ListNames(c.NameKind.LOCKS))
    assert row.renewed_s is None and row.left_s >= HOLD_MS / 1000


def test_an_operator_can_release_a_lock_and_the_old_holder_cannot_renew_it() -> None:
    member = SingleMember()
    assert member.call(c.Acquire("l1", "a", HOLD_MS)) == c.Granted(1)
    assert member.call(c.Acquire("l1", "b", HOLD_MS)) == c.Held()
    assert member.call(c.Expire("l1", 7, "wrong fence")) == c.NotHeld()
    assert member.call(c.Expire("l2", 1, "no such lock")) == c.NotHeld()
    assert member.notices == [] and member.call(c.Renew("l1", "a", 1, HOLD_MS)) == c.Renewed()
    assert member.call(c.Expire("l1", 1, "host-7 hangs")) == c.Released()
    assert member.notices == [ExpiredByHand("l1", "a", 1, "host-7 hangs")]
    assert member.call(c.Renew("l1", "a", 1, HOLD_MS)) == c.NotHeld()
    assert member.call(c.Acquire("l1", "b", HOLD_MS)) == c.Granted(2)
    assert member.call(c.Expire("l1", 1, "sent again")) == c.NotHeld()
    assert member.call(c.Renew("l1", "b", 2, HOLD_MS)) == c.Renewed()
    assert len(member.notices) == 1


def test_renewals_reads_and_lists_write_no_log_entry() -> None:
    member = SingleMember()
    assert member.call(c.Acquire("l1", "a", HOLD_MS)) == c.Granted(1)
    written = member.replica.last_seq
    for _ in range(100):
        member.wait(0.1)
        assert member.call(c.Renew("l1", "a", 1, HOLD_MS)) == c.Renewed()
        assert member.call(c.Get("g1.a")) == c.NotFound()
        assert len(listed(member, c.ListNames(c.NameKind.LOCKS))) == 1
    assert member.replica.last_seq == written
    assert member.call(c.Renew("l1", "a", 1, HOLD_MS + 1)) == c.Renewed()
    assert member.replica.last_seq == written + 1  # a longer hold is in the log


def test_a_takeover_is_reported_once_and_a_swept_lock_is_not() -> None:
    member = SingleMember()
    assert member.call(c.Acquire("l1", "a", HOLD_MS)) == c.Granted(1)
    assert member.call(c.Acquire("l2", "a", HOLD_MS)) == c.Granted(2)
    member.wait(HOLD_MS / 1000 + 0.1)
    assert member.call(c.Acquire("l1", "b", HOLD_MS)) == c.Granted(3)
    assert member.call(c.Acquire("l1", "b", HOLD_MS)) == c.Granted(3)
    assert member.notices == [TakenOver("l1", "a", 1, "b", 3)]
    member.wait(200.0)
    member.wait(20.0)
    assert listed(member, c.ListNames(c.NameKind.LOCKS)) == [] and len(member.notices) == 1


@pytest.mark.parametrize(
    "call, of, body",
    [
        ("coordination.list", "leases", b""),
        ("coordination.list", "locks", b'{"Most":0}'),
        ("coordination.list", "locks", b'{"Most":257}'),
        ("coordination.list", "keys", b'{"Prefix":"' + b"x" * 129 + b'"}'),
        ("coordination.list", "keys", b"[]"),
        ("coordination.list", "keys", b'{"After":"two words"}'),
        ("coordination.list", "keys", b'{"Prefix":"\\ud800"}'),
        ("locks.expire", "l1", b'{"fence":100000000000000000000,"Reason":"x"}'),
        ("locks.expire", "l1", b'{"fence":-1,"Reason":"x"}'),
        ("locks.expire", "l1", b'{"fence":1}'),
        ("locks.expire", "l1", b'{"fence":1,"Reason":""}'),
        ("locks.expire", "l1", b'{"fence":1,"Reason":"two\\nlines"}'),
        ("locks.expire", "l1", b'{"fence":1,"Reason":"' + b"x" * 257 + b'"}'),
        ("locks.expire", "two words", b'{"fence":1,"Reason":"x"}'),
    ],
)
def test_invalid_operator_calls_are_answered_400(call: str, of: str, body: bytes) -> None:
    found = read_call(call, of, body)
    assert isinstance(found, Problem) and found.kind is Kind.BAD_REQUEST and found.status == 400


def test_operator_calls_are_parsed_and_pages_encoded() -> None:
    assert read_call("coordination.list", "locks", b"") == c.ListNames(c.NameKind.LOCKS)
    asked = read_call("coordination.list", "keys", b'{"After":"g1.a","Prefix":"g1.","Most":3}')
    assert asked == c.ListNames(c.NameKind.KEYS, "g1.a", "g1.", 3)
    taken = read_call("locks.expire", "l1", b'{"fence":41,"Reason":"host-7 hangs"}')
    assert taken == c.Expire("l1", 41, "host-7 hangs")
    rows = (c.LockRow("l1", "a", 41, 3000, None, 2.5), c.LockRow("l2", "b", 42, 500, 0.25, -1.0))
    assert answer(c.Listed(rows, True)) == (
        200,
        b'{"Rows":[{"Name":"l1","Owner":"a","fence":41,"HoldMs":3000,"RenewedS":null,"LeftS":2.5},'
        b'{"Name":"l2","Owner":"b","fence":42,"HoldMs":500,"RenewedS":0.25,"LeftS":-1.0}],"More":true}',
    )


def test_metrics_count_by_call_and_outcome_and_never_by_name() -> None:
    metrics = CoordinationMetrics()
    for n in range(1000):
        metrics.record_outcome(c.Acquire(f"l{n}", f"a{n}", 1000), c.Granted(n), 0.004)
        metrics.record_answer(c.Acquire(f"l{n}", f"a{n}", 1000), 200)
    for _ in range(9):
        metrics.record_outcome(c.Put("g1.a", "x"), c.Full("too many keys are kept"), 0.06)
    metrics.record_outcome(c.Put("g1.a", "x"), c.Unknown("not agreed on in time"), 3.0)
    metrics.record_outcome(c.Watch("g1.", 4, 2000), c.Watched((), 4), 2.0)
    assert metrics.outcomes == {
        ("acquire", "granted"): 1000,
        ("put", "full"): 9,
        ("put", "unknown"): 1,
        ("watch", "watched"): 1,
    }
    assert metrics.answers == {("acquire", 200): 1000}
    assert metrics.limit_hits == {"too many keys are kept": 9}
    assert sum(metrics.delays) == 1010  # the wait of a watch is not counted as delay
    assert (metrics.delay_ms(0.5), metrics.delay_ms(0.995), metrics.delay_ms(1.0)) == (5, 80, DELAYS_MS[-1])
    metrics.sample_rates(10.0, 40)
    metrics.sample_rates(12.0, 100)
    assert metrics.rates == {"turns": 30.0, "calls": 0.0}


@pytest.mark.parametrize(
    "answers, code, tried",
    [
        ([200], 0, 1),
        ([409], 1, 1),
        ([503, 429, 409], 1, 3),  # both mean that nothing was done
        ([504, 409], 0, 2),  # the first attempt may have released it; the lock is not held any more
        ([None, 409], 0, 2),
        ([400], 2, 1),
        ([None] * 99, 2, 20),
    ],
)
def test_a_release_is_retried_until_its_outcome_is_known(
    monkeypatch: pytest.MonkeyPatch, answers: list[int | None], code: int, tried: int
) -> None:
    asked: list[str] = []

    def post(at: str, path: str, body: bytes) -> tuple[int, bytes]:
        asked.append(at)
        status = answers[len(asked) - 1]
        if status is None:
            raise OSError("reset")
        assert path == "/rpc?call=locks.expire&of=l+1"
        assert json.loads(body) == {"fence": 4, "Reason": "it hangs"}
        return status, b"{}"

    monkeypatch.setattr(sending, "post", post)
    monkeypatch.setattr(time, "sleep", lambda seconds: None)
    words = ["locks", "release", "l 1", "a:1", "b:1", "--fence", "4", "--reason", "it hangs"]
    assert commands.main(words) == code
    assert asked == [("a:1", "b:1")[n % 2] for n in range(tried)]


# Guards against a turn that was under way and never proposed: each call behind it waited till its caller gave up.
def test_a_turn_that_cannot_be_packed_holds_up_no_later_call(monkeypatch: pytest.MonkeyPatch) -> None:
    def fails(batch: object) -> bytes:
        raise OverflowError("an integer is too large")

    member = SingleMember()
    with monkeypatch.context() as patched:
        patched.setattr(desk, "pack_batch", fails)
        with pytest.raises(OverflowError):
            member.call(c.NextNumber("n"))
    assert isinstance(member.call(c.NextNumber("n")), c.Number)
