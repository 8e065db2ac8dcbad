"""The state of locks, numbers and keys: size limits, snapshots, and compatibility with other versions."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from coralvale.cluster.configuration.history import ChangeHistory
from coralvale.cluster.consensus import messages as m
from coralvale.cluster.consensus.replica import DurableState, Replica, Timing
from coralvale.cluster.coordination import desk as desk_module
from coralvale.cluster.coordination import model as c
from coralvale.cluster.coordination import state as state_module
from coralvale.cluster.coordination import watches as watches_module
from coralvale.cluster.coordination.desk import CoordinationAnswer, CoordinationHandler
from coralvale.cluster.coordination.state import CoordinationState


def apply(state: CoordinationState, *operations: c.Operation, time_ms: int = 0) -> list[c.Outcome]:
    return state.apply(c.Batch(1, time_ms, time_ms - 50_000, time_ms - 120_000, operations))


def populated_state() -> CoordinationState:
    """A state with locks, numbers, keys, compacted and kept events."""
    state = CoordinationState()
    apply(state, c.Acquire("l1", "a", 500), c.Acquire("l2", "b", 500), c.NextNumber("n1"))
    apply(state, c.Acquire("l1", "a", 900), c.Release("l2", "b", 2), c.Put("g1.a", "v1"), time_ms=10)
    apply(state, c.Put("g1.b", "v2", 0), c.Put("g2.a", "v3"), c.Put("g1.a", "v4", 1), time_ms=70_000)
    return state


def test_a_restored_image_behaves_like_the_original_state() -> None:
    state, again = populated_state(), CoordinationState()
    again.restore(state.image())
    assert again.image() == state.image() and again.stored_bytes == state.stored_bytes
    after = (c.Acquire("l1", "b", 500, 1), c.NextNumber("n1"), c.Put("g1.a", "v1"), c.Put("g1.b", "x", 2))
    assert (
        apply(again, *after) == apply(state, *after) == [c.Granted(3), c.Number(2), c.Stored(1), c.Stored(4)]
    )
    assert [again.watch("g1.", n) for n in range(4)] == [state.watch("g1.", n) for n in range(4)]
    assert again.watch("g1.", 0) == c.Compacted() and isinstance(again.watch("g1.", 1), c.Watched)


def test_a_delayed_copy_of_a_refused_put_stays_refused_once_the_key_reaches_its_expected_revision() -> None:
    state = CoordinationState()
    apply(state, c.Put("g1.a", "v1"))
    early = c.Put("g1.a", "early", 3)
    assert apply(state, early) == [c.Conflict(1)]
    apply(state, c.Put("g1.b", "v2"), c.Put("g1.a", "v3", 1))
    again = CoordinationState()
    again.restore(state.image())
    assert apply(again, early) == [c.Conflict(3)] and again.get("g1.a") == c.Found("v3", 3)
    assert apply(again, c.Put("g1.a", "late", 3)) == [c.Stored(4)]


def test_values_that_a_lost_log_may_have_issued_are_skipped() -> None:
    state = populated_state()
    fence, given, revision = state.last_fence, state.numbers["n1"], state.group_revision("g1.")
    state.skip_ahead(1000)
    assert apply(state, c.Acquire("l9", "a", 500), c.NextNumber("n1"), c.Put("g1.a", "v9")) == [
        c.Granted(fence + 1001),
        c.Number(given + 1001),
        c.Stored(revision + 1001),
    ]
    assert state.watch("g1.", revision) == c.Compacted()
    again = CoordinationState()
    again.restore(state.image())
    assert again.image() == state.image() and again.stored_bytes == state.stored_bytes


def test_the_state_is_part_of_the_history_image_and_missing_in_an_older_one() -> None:
    state, history = populated_state(), ChangeHistory()
    assert ChangeHistory().restore(history.image(b"", state.image())).coordination == state.image()
    older = msgspec.msgpack.decode(history.image())[:5]  # without coordination, which came after the shares
    again = populated_state()
    again.restore(ChangeHistory().restore(msgspec.msgpack.encode(older)).coordination)
    assert again.image() == CoordinationState().image()


def test_entries_of_older_and_newer_versions_are_decoded() -> None:
    older = [7, 1, 0, 0, [[1, "l1", "a", 500], [5, "g1.a", "v1"]]]
    batch = c.unpack_batch(msgspec.msgpack.encode(older))
    assert batch.operations == (c.Acquire("l1", "a", 500, 0), c.Put("g1.a", "v1", None))
    newer = [7, 1, 0, 0, [[1, "l1", "a", 500, 0, "more"]], "more"]
    assert c.unpack_batch(msgspec.msgpack.encode(newer)).operations == (c.Acquire("l1", "a", 500),)
    state = CoordinationState()
    state.restore(msgspec.msgpack.encode([5, 0, {"l1": ["a", 5, 500]}]))
    assert state.held("l1", "a", 5) and apply(state, c.Acquire("l2", "b", 1)) == [c.Granted(6)]


BOUNDS: list[tuple[str, int, c.Operation, c.Operation]] = [
    ("MAX_LOCKS", 1, c.Acquire("l1", "a", 1), c.Acquire("l2", "a", 1)),
    ("MAX_NUMBERS", 1, c.NextNumber("n1"), c.NextNumber("n2")),
    ("MAX_KEYS", 1, c.Put("g1.a", "v1"), c.Put("g1.b", "v2")),
    ("MAX_PUTS", 1, c.Put("g1.a", "v1"), c.Put("g1.a", "v2")),
    ("MAX_STORED_BYTES", 120, c.Put("g1.a", "v1"), c.Put("g1.a", "v2")),
]


@pytest.mark.parametrize(("bound", "value", "first", "second"), BOUNDS)
def test_an_operation_beyond_a_size_limit_is_refused_without_effect(
    monkeypatch: pytest.MonkeyPatch, bound: str, value: int, first: c.Operation, second: c.Operation
) -> None:
    monkeypatch.setattr(state_module, bound, value)
    state = CoordinationState()
    (done,) = apply(state, first)
    before = state.image()
    (refused,) = apply(state, second)
    assert not isinstance(done, c.Full) and isinstance(refused, c.Full) and refused.reason
    assert state.image() == before
    again = apply(state, first)  # existing names still work
    assert bound == "MAX_NUMBERS" or again == [done]


def test_a_watch_far_behind_gets_events_in_parts_without_gaps(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(state_module, "MAX_EVENTS_PER_ANSWER", 2)
    state, after, seen = CoordinationState(), 1, list[int]()
    apply(state, *(c.Put("g1.a", f"v{n}") for n in range(1, 7)))
    while after < 6:
        found = state.watch("g1.", after)
        assert isinstance(found, c.Watched) and len(found.events) <= 2
        seen += [event.revision for event in found.events]
        after = found.revision
    assert seen == [2, 3, 4, 5, 6]


def test_stored_bytes_shrink_when_puts_and_events_expire() -> None:
    state = CoordinationState()
    for n in range(200):
        apply(state, c.Put("g1.a", f"v{n}"), time_ms=n * 1000)
    again = CoordinationState()
    again.restore(state.image())
    assert state.stored_bytes == again.stored_bytes < 60 * 2 * (state_module.EVENT_OVERHEAD_BYTES + 10)
    assert len(state.puts) <= 121 and len(state.groups["g1."].events) <= 51


class SlowDiskMember:
    """A handler on a one-member core whose disk completes writes only on `sync`."""

    def __init__(self) -> None:
        self.replica = Replica(
            m.Member("d1", "n1", "10.0.0.1"), DurableState(), Timing(min_voters=1), random.Random(1), 0.0
        )
        self.state, self.answers, self.tokens = CoordinationState(), dict[int, c.Outcome](), 0
        self.handler = CoordinationHandler(self.replica, self.state, self.token, random.Random(1), 20.0)
        self.disk: list[m.Write] = []
        self.do(0.0, self.replica.bootstrap(0.0))
        self.sync(0.0)

    def token(self) -> int:
        self.tokens += 1
        return self.tokens

    def do(self, now: float, actions: Any) -> None:  # noqa: ANN401
        queue = deque(actions)
        while queue:
            match queue.popleft():
                case m.Write() as write:
                    self.disk.append(write)
                case m.Deliver(entry):
                    queue.extend(self.handler.deliver(now, entry.body))
                case m.Settled(token, accepted):
                    queue.extend(self.handler.settled(now, token, accepted))
                case CoordinationAnswer(token, outcome):
                    self.answers[token] = outcome

    def sync(self, now: float) -> None:
        while self.disk:
            self.do(now, self.replica.write_completed(now, self.disk.pop(0).number))

    def call(self, now: float, call: c.Call, sync: bool = True) -> c.Outcome | None:
        token = self.token()
        self.do(now, self.handler.call(now, token, call))
        if sync:
            self.sync(now)
        return self.answers.get(token)


def test_calls_beyond_the_queue_limit_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(desk_module, "MAX_WAITING_CALLS", 3)
    member = SlowDiskMember()
    found = [member.call(0.1, c.NextNumber("n1"), sync=False) for _ in range(6)]
    assert found[:4] == [None] * 4 and all(isinstance(outcome, c.Full) for outcome in found[4:])
    member.sync(0.1)
    assert sorted(a.value for a in member.answers.values() if isinstance(a, c.Number)) == [1, 2, 3, 4]


def test_watches_beyond_the_limit_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watches_module, "MAX_WATCHES", 2)
    member = SlowDiskMember()
    assert member.call(0.1, c.Put("g1.a", "v1")) == c.Stored(1)
    found = [member.call(0.1, c.Watch("g1.", 1, 1000)) for _ in range(3)]
    assert found[:2] == [None, None] and isinstance(found[2], c.Full)
    member.do(1.2, member.handler.tick(1.2))
    assert [a for a in member.answers.values() if isinstance(a, c.Watched)] == [c.Watched((), 1)] * 2


def test_a_call_queued_too_long_is_refused_but_a_proposed_one_is_not() -> None:
    member = SlowDiskMember()
    member.call(0.1, c.NextNumber("n1"), sync=False)
    member.call(0.1, c.NextNumber("n1"), sync=False)
    member.do(1.0, member.handler.tick(1.0))
    assert [type(a) for a in member.answers.values()] == [c.Unavailable]
    member.sync(1.0)
    assert list(member.answers.values())[1:] == [c.Number(1)]
    assert member.call(1.0, c.NextNumber("n1")) == c.Number(2)  # the refused call had no effect


def test_an_abandoned_lock_is_removed_long_after_its_lease_and_its_fence_is_not_reused() -> None:
    member = SlowDiskMember()
    assert member.call(0.1, c.Acquire("l1", "a", 1000)) == c.Granted(1)
    for seconds in (5.0, 30.0, 61.0):
        member.do(seconds, member.handler.tick(seconds))
        member.sync(seconds)
        assert "l1" in member.state.locks
    member.do(75.0, member.handler.tick(75.0))
    member.sync(75.0)
    assert "l1" not in member.state.locks
    assert member.call(75.0, c.Renew("l1", "a", 1, 1000)) == c.NotHeld()
    assert member.call(75.0, c.Acquire("l1", "b", 1000)) == c.Granted(2)


@pytest.mark.parametrize(("at", "expected"), [(1.0, c.Held), (1.6, c.Held), (2.5, c.Held), (2.7, c.Granted)])
def test_a_lock_is_taken_over_only_after_its_longest_renewal(
    at: float, expected: Callable[..., c.Outcome]
) -> None:
    member = SlowDiskMember()
    assert member.call(0.1, c.Acquire("l1", "a", 500)) == c.Granted(1)
    assert member.call(0.5, c.Renew("l1", "a", 1, 2100)) == c.Renewed()
    assert member.call(0.6, c.Renew("l1", "a", 1, 100)) == c.Renewed()
    found = member.call(at, c.Acquire("l1", "b", 500))
    assert type(found) is expected
