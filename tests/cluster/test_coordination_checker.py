"""The history checker reports violations of each rule, and none in histories that keep the rules."""

from __future__ import annotations

import pytest
from coordination_checker import Record, check, holds

from coralvale.cluster.coordination import model as c

RETAIN_S = 20.0
END = 100.0


def acquire(caller: str, sent: float, ended: float, outcome: c.Outcome | None, hold_ms: int = 3000) -> Record:
    return Record(caller, c.Acquire("l1", caller, hold_ms), sent, ended, outcome)


def renew(caller: str, sent: float, ended: float, outcome: c.Outcome | None, hold_ms: int = 3000) -> Record:
    return Record(caller, c.Renew("l1", caller, 1, hold_ms), sent, ended, outcome)


def release(caller: str, sent: float, fence: int = 1) -> Record:
    return Record(caller, c.Release("l1", caller, fence), sent, sent + 0.01, c.Released())


def number(sent: float, ended: float, value: int) -> Record:
    return Record("n", c.NextNumber("n1"), sent, ended, c.Number(value))


def put(
    value: str,
    sent: float,
    outcome: c.Outcome | None,
    key: str = "g1.a",
    expected: int | None = None,
) -> Record:
    return Record("p", c.Put(key, value, expected), sent, sent + 0.1, outcome)


def get(sent: float, outcome: c.Outcome, key: str = "g1.a") -> Record:
    return Record("r", c.Get(key), sent, sent + 0.1, outcome)


def watch(sent: float, after: int, outcome: c.Outcome, caller: str = "w") -> Record:
    return Record(caller, c.Watch("g1.", after, 1000), sent, sent + 0.1, outcome)


def watched(revision: int, *events: tuple[str, str, int]) -> c.Watched:
    return c.Watched(tuple(c.Event(key, value, n, 0) for key, value, n in events), revision)


A1, A2 = ("g1.a", "v1", 1), ("g1.a", "v2", 2)
STORED = [put("v1", 0, c.Stored(1)), put("v2", 1, c.Stored(2))]

GOOD = {
    "a lock changes hands after its lease": [
        acquire("a", 0, 0.1, c.Granted(1)),
        renew("a", 1, 1.2, c.Renewed()),
        acquire("b", 3.9, 4.05, c.Granted(2)),
    ],
    "a lock changes hands once a finish was sent": [
        acquire("a", 0, 0.1, c.Granted(1)),
        release("a", 0.5),
        acquire("b", 0.4, 0.55, c.Granted(2)),
    ],
    "a grant that arrives after its lease is no hold": [
        acquire("a", 0, 3.5, c.Granted(1)),
        acquire("b", 3.1, 3.2, c.Granted(2)),
    ],
    "a renewal that arrives after the lease extends nothing": [
        acquire("a", 0, 0.1, c.Granted(1)),
        renew("a", 2.5, 3.1, c.Renewed()),
        acquire("b", 3.5, 3.6, c.Granted(2)),
    ],
    "a holder gets its fence again": [
        acquire("a", 0, 0.1, c.Granted(1)),
        acquire("a", 1, 1.1, c.Granted(1)),
    ],
    "concurrent calls may get numbers in any order": [
        number(0, 1, 2),
        number(0.5, 0.6, 1),
        number(2, 2.1, 5),
    ],
    "a repeated put has its first revision": [
        *STORED,
        put("v1", 2, c.Stored(1)),
    ],
    "a put over what it expected": [*STORED, put("v3", 2, c.Stored(3), expected=2)],
    "a put that got no clear answer may be there": [put("v1", 0, None), get(1, c.Found("v1", 1))],
    "a refusal that names the key's revision": [*STORED, put("v3", 2, c.Conflict(2), expected=1)],
    "a watch": [*STORED, watch(2, 1, watched(2, A2)), watch(3, 2, watched(2))],
    "a read concurrent with a put": [put("v1", 0, c.Stored(1)), get(0.05, c.NotFound())],
    "an old revision is compacted": [
        *STORED,
        watch(2, 0, watched(2)),
        watch(30, 2, c.Compacted()),
    ],
}

BAD = {
    "two hold at once": (
        "ONE",
        [acquire("a", 0, 0.1, c.Granted(1)), acquire("b", 2.8, 2.9, c.Granted(2))],
    ),
    "two hold at once by a renewal": (
        "ONE",
        [
            acquire("a", 0, 0.1, c.Granted(1)),
            renew("a", 1, 1.2, c.Renewed(), hold_ms=9000),
            acquire("b", 4.5, 4.6, c.Granted(2)),
        ],
    ),
    "a release of another hold ends nothing": (
        "ONE",
        [
            acquire("a", 0, 0.1, c.Granted(1)),
            release("a", 1, fence=7),
            acquire("b", 2, 2.1, c.Granted(2)),
        ],
    ),
    "a fence goes back": (
        "ONE",
        [acquire("a", 0, 0.1, c.Granted(5)), release("a", 1, 5), acquire("b", 2, 2.1, c.Granted(4))],
    ),
    "a fence goes to two": (
        "ONE",
        [acquire("a", 0, 3.5, c.Granted(5)), acquire("b", 0.1, 0.2, c.Granted(5))],
    ),
    "a number twice": ("ORDER", [number(0, 1, 1), number(0.5, 1.5, 1)]),
    "a number goes back": ("ORDER", [number(0, 1, 5), number(2, 3, 4)]),
    "a revision twice": ("ORDER", [put("v1", 0, c.Stored(1)), put("v2", 0, c.Stored(1), key="g1.b")]),
    "a revision goes back": ("ORDER", [put("v1", 0, c.Stored(5)), put("v2", 2, c.Stored(4))]),
    "a put over a later revision": ("ORDER", [*STORED, put("v3", 2, c.Stored(3), expected=1)]),
    "events that do not rise": ("ORDER", [*STORED, watch(2, 1, watched(2, A2, A2))]),
    "events outside the span": ("ORDER", [*STORED, watch(2, 2, watched(2, A2))]),
    "a skipped event": (
        "ORDER",
        [*STORED, put("v3", 2, c.Stored(3)), watch(3, 1, watched(3, ("g1.a", "v3", 3)))],
    ),
    "a watch passes over an event": ("ORDER", [*STORED, watch(2, 1, watched(2))]),
    "a stale read": ("STALE", [*STORED, get(2, c.Found("v1", 1))]),
    "a stored key is missing": ("STALE", [*STORED, get(2, c.NotFound())]),
    "a value that was never put": ("MIXED", [*STORED, get(2, c.Found("v9", 3))]),
    "a value of another key": ("MIXED", [*STORED, get(2, c.Found("v1", 3), key="g1.b")]),
    "a value under two revisions": ("MIXED", [*STORED, put("v1", 2, c.Stored(3))]),
    "a refusal by another key's revision": (
        "MIXED",
        [*STORED, put("w", 2, c.Conflict(2), key="g1.b", expected=1)],
    ),
    "a refusal by a revision that no put had": ("MIXED", [*STORED, put("w", 2, c.Conflict(9), expected=1)]),
    "a refused put is stored": (
        "REFUSED",
        [put("v1", 0, c.Unavailable("")), get(1, c.Found("v1", 1))],
    ),
    "a put in conflict is stored": (
        "REFUSED",
        [*STORED, put("v3", 2, c.Conflict(2), expected=1), get(3, c.Found("v3", 3))],
    ),
    "a repeated put is in conflict with itself": (
        "REFUSED",
        [*STORED, put("v2", 2, c.Conflict(2), expected=1)],
    ),
    "a put beyond a limit is stored": ("REFUSED", [put("v1", 0, c.Full("")), get(1, c.Found("v1", 1))]),
    "a revision is compacted too early": (
        "LOST",
        [*STORED, watch(2, 0, watched(2)), watch(21, 2, c.Compacted())],
    ),
}

READ_BACK = [
    acquire("a", END + 1, END + 1.1, c.Held()),
    number(END + 1, END + 1.1, 6),
    get(END + 1, c.Found("v2", 2)),
    watch(END + 1, 0, watched(2)),
]
BEFORE = [acquire("a", 0, 0.1, c.Granted(1)), number(0, 0.1, 5), *STORED]


@pytest.mark.parametrize("name", GOOD)
def test_a_correct_history_has_no_violation(name: str) -> None:
    assert check(GOOD[name], RETAIN_S) == []


@pytest.mark.parametrize("name", BAD)
def test_a_broken_history_is_reported_under_the_broken_rule(name: str) -> None:
    rule, history = BAD[name]
    assert rule in {violation.rule for violation in check(history, RETAIN_S)}


def test_acknowledged_values_that_are_read_back_are_not_lost() -> None:
    assert check([*BEFORE, *READ_BACK], RETAIN_S, END) == []


@pytest.mark.parametrize("missing", range(len(READ_BACK)))
def test_a_name_without_an_answer_at_the_end_is_lost(missing: int) -> None:
    history = [*BEFORE, *(r for n, r in enumerate(READ_BACK) if n != missing)]
    assert [v.rule for v in check(history, RETAIN_S, END)] == ["LOST"]


@pytest.mark.parametrize(
    "lags",
    [number(END + 1, END + 1.1, 4), get(END + 1, c.Found("v1", 1)), watch(END + 1, 0, watched(1))],
)
def test_an_older_value_at_the_end_is_lost(lags: Record) -> None:
    history = [*BEFORE, *(r for r in READ_BACK if type(r.call) is not type(lags.call)), lags]
    assert "LOST" in {v.rule for v in check(history, RETAIN_S, END)}


def test_a_hold_lasts_from_its_grant_until_its_time_after_the_last_successful_call() -> None:
    history = [acquire("a", 0, 0.5, c.Granted(1)), renew("a", 2, 2.2, c.Renewed()), renew("a", 3, 3.2, None)]
    (hold,) = holds(history)["l1"]
    assert (hold.started, hold.ended) == (0.5, 5.0)
