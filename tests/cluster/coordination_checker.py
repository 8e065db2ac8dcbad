"""Checks a history of applications' calls against the rules ONE, ORDER, STALE, MIXED, REFUSED and LOST.

A history is what callers observed, in true time: when each call was sent, when it was answered, and with
which outcome. It does not refer to gateways, replicas or logs. Each rule is a function that yields the
violations found in the evidence.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import TypeVar

from attrs import define, field, frozen

from coralvale.cluster.coordination import model

CallKind, OutcomeKind = TypeVar("CallKind"), TypeVar("OutcomeKind")
NOT_DONE = (model.Conflict, model.Full, model.Unavailable)


@frozen
class Record:
    """One call, with times in s. `outcome` None: no clear answer; `ended` is then when the caller gave up."""

    caller: str
    call: model.Call
    sent: float
    ended: float
    outcome: model.Outcome | None = None


@frozen
class Violation:
    """A broken rule."""

    rule: str
    reason: str


@frozen
class Hold:
    """A period in which a caller considered itself the holder of a lock."""

    caller: str
    fence: int
    started: float
    ended: float


class HighestByTime:
    """The highest value that was given up to a time. A call sent at the very time of an answer counts as sent
    after it."""

    def __init__(self, pairs: Iterable[tuple[float, int]]) -> None:
        self.times: list[float] = []
        self.highest: list[int] = []
        for at, value in sorted(pairs):
            self.times.append(at)
            self.highest.append(max(value, self.highest[-1] if self.highest else 0))

    def max_at(self, at: float) -> int:
        n = bisect_right(self.times, at)
        return self.highest[n - 1] if n else 0


@define
class Evidence:
    """What a history shows, indexed by kind of call and by name."""

    records: list[Record]
    retain_s: float
    puts: dict[tuple[str, str], list[Record]] = field(factory=lambda: defaultdict(list))  # by key and value
    shown: dict[tuple[str, str], set[int]] = field(factory=lambda: defaultdict(set))  # revisions of a value
    by_revision: dict[str, dict[int, set[tuple[str, str]]]] = field(
        factory=lambda: defaultdict(lambda: defaultdict(set))
    )  # by group: key and value of a revision
    seen_at: dict[str, list[tuple[float, int]]] = field(factory=lambda: defaultdict(list))  # by group

    @classmethod
    def from_history(cls, history: Iterable[Record], retain_s: float) -> Evidence:
        evidence = cls(sorted(history, key=lambda r: r.sent), retain_s)
        for record in evidence.records:
            evidence._record(record)
        return evidence

    def _record(self, record: Record) -> None:
        call, outcome = record.call, record.outcome
        if isinstance(call, model.Put):
            self.puts[call.key, call.value].append(record)
            if isinstance(outcome, model.Stored):
                self._record_revision(record.ended, call.key, call.value, outcome.revision)
        elif isinstance(call, model.Get) and isinstance(outcome, model.Found):
            self._record_revision(record.ended, call.key, outcome.value, outcome.revision)
        elif isinstance(call, model.Watch) and isinstance(outcome, model.Watched):
            for event in outcome.events:
                self._record_revision(record.ended, event.key, event.value, event.revision)

    def _record_revision(self, at: float, key: str, value: str, revision: int) -> None:
        self.shown[key, value].add(revision)
        self.by_revision[model.group_of(key)][revision].add((key, value))
        self.seen_at[model.group_of(key)].append((at, revision))

    def with_outcome(
        self, call: type[CallKind], outcome: type[OutcomeKind]
    ) -> Iterator[tuple[Record, CallKind, OutcomeKind]]:
        for record in self.records:
            if isinstance(record.call, call) and isinstance(record.outcome, outcome):
                yield record, record.call, record.outcome


# ONE


def holds(history: Iterable[Record]) -> dict[str, list[Hold]]:
    """Holds by lock: from the 200 until HoldMs after sending the last successful call, or until sending a
    finish."""
    steps: dict[tuple[str, str], list[tuple[float, int, Record]]] = defaultdict(list)
    for n, record in enumerate(history):
        if isinstance(record.call, model.Release):
            steps[record.call.name, record.caller].append((record.sent, n, record))
        elif isinstance(record.call, model.Acquire | model.Renew):
            steps[record.call.name, record.caller].append((record.ended, n, record))
    found: dict[str, list[Hold]] = defaultdict(list)
    for (name, caller), of_caller in steps.items():
        found[name] += _holds_of(caller, [record for _, _, record in sorted(of_caller, key=lambda s: s[:2])])
    return found


def _holds_of(caller: str, records: list[Record]) -> Iterator[Hold]:
    fence, started, until = 0, 0.0, -1.0  # of the current hold
    for record in records:
        call, outcome = record.call, record.outcome
        at = record.sent if isinstance(call, model.Release) else record.ended
        if fence and at >= until:
            yield Hold(caller, fence, started, until)
            fence = 0
        if isinstance(call, model.Release):
            if fence == call.fence:
                yield Hold(caller, fence, started, at)
                fence = 0
            continue
        assert isinstance(call, model.Acquire | model.Renew)
        good_until = record.sent + call.hold_ms / 1000
        if isinstance(outcome, model.Granted) and at < good_until:
            if fence and fence != outcome.fence:
                yield Hold(caller, fence, started, at)
            started = started if fence == outcome.fence else at
            fence, until = outcome.fence, good_until
        elif isinstance(outcome, model.Renewed) and isinstance(call, model.Renew) and fence == call.fence:
            until = good_until
    if fence:
        yield Hold(caller, fence, started, until)


def check_one(evidence: Evidence) -> Iterator[str]:
    """At most one holder of a lock at a time, and rising fences."""
    for name, of_lock in holds(evidence.records).items():
        latest: Hold | None = None
        for hold in sorted((h for h in of_lock if h.ended > h.started), key=lambda h: h.started):
            if latest and latest.caller != hold.caller and hold.started < latest.ended:
                yield f"lock {name}: {latest} and {hold}"
            if latest is None or hold.ended > latest.ended:
                latest = hold
    yield from _fences(evidence)


def _fences(evidence: Evidence) -> Iterator[str]:
    grants: dict[str, list[tuple[Record, int]]] = defaultdict(list)
    for record, call, outcome in evidence.with_outcome(model.Acquire, model.Granted):
        grants[call.name].append((record, outcome.fence))
    for name, of_lock in grants.items():
        holder: dict[int, str] = {}
        for record, fence in of_lock:
            if holder.setdefault(fence, record.caller) != record.caller:
                yield f"lock {name}: fence {fence} went to {holder[fence]} and to {record.caller}"
        for caller in {record.caller for record, _ in of_lock}:
            others = HighestByTime((r.ended, fence) for r, fence in of_lock if r.caller != caller)
            for record, fence in of_lock:
                if record.caller == caller and fence <= others.max_at(record.sent):
                    yield f"lock {name}: fence {fence} is not above {others.max_at(record.sent)}, given before"


# ORDER


def check_order(evidence: Evidence) -> Iterator[str]:
    """Numbers, revisions and watch events come in order, without duplicates or gaps."""
    yield from _numbers(evidence)
    yield from _revisions(evidence)
    yield from _expected(evidence)
    for record, call, outcome in evidence.with_outcome(model.Watch, model.Watched):
        yield from _events(evidence, record, call, outcome)


def _numbers(evidence: Evidence) -> Iterator[str]:
    given: dict[str, list[tuple[Record, int]]] = defaultdict(list)
    for record, call, outcome in evidence.with_outcome(model.NextNumber, model.Number):
        given[call.name].append((record, outcome.value))
    for name, of_name in given.items():
        values = [value for _, value in of_name]
        if len(set(values)) < len(values):
            yield f"number {name}: one was given twice"
        highest = HighestByTime((record.ended, value) for record, value in of_name)
        for record, value in of_name:
            if value <= highest.max_at(record.sent):
                yield f"number {name}: {value} is not above {highest.max_at(record.sent)}, given before"


def _revisions(evidence: Evidence) -> Iterator[str]:
    highest = {group: HighestByTime(pairs) for group, pairs in evidence.seen_at.items()}
    for group, revisions in evidence.by_revision.items():
        for revision, values in revisions.items():
            if len(values) > 1:
                yield f"group {group}: revision {revision} is of {sorted(values)}"
    for (key, value), calls in evidence.puts.items():
        before = highest[model.group_of(key)].max_at(calls[0].sent) if model.group_of(key) in highest else 0
        for revision in evidence.shown.get((key, value), ()):
            if revision <= before:
                yield f"key {key}: {value} has revision {revision}, not above {before}, given before it was put"


def _expected(evidence: Evidence) -> Iterator[str]:
    of_key: dict[str, set[int]] = defaultdict(set)
    for (key, _), revisions in evidence.shown.items():
        of_key[key] |= revisions
    for _, call, outcome in evidence.with_outcome(model.Put, model.Stored):
        if call.expected is None:
            continue
        over = [n for n in of_key[call.key] if call.expected < n < outcome.revision]
        if over or call.expected >= outcome.revision:
            yield f"key {call.key}: {call.value} expected {call.expected}, is {outcome.revision}, over {over}"


def _events(evidence: Evidence, record: Record, call: model.Watch, outcome: model.Watched) -> Iterator[str]:
    revisions = [event.revision for event in outcome.events]
    if revisions != sorted(set(revisions)):
        yield f"watch {call.group}: {revisions} do not rise"
    if revisions and not call.after < revisions[0] <= revisions[-1] <= outcome.revision:
        yield f"watch {call.group}: {revisions} are not all above {call.after} and up to {outcome.revision}"
    if call.after == 0:
        return
    if outcome.revision < call.after:
        yield f"watch {call.group}: {outcome.revision} is below {call.after}"
    known = evidence.by_revision[call.group]
    skipped = [n for n in known if call.after < n <= outcome.revision and n not in set(revisions)]
    if skipped:
        yield f"watch {call.group}: {sorted(skipped)} above {call.after} up to {outcome.revision} are skipped"


# STALE


def check_stale(evidence: Evidence) -> Iterator[str]:
    """A read is no older than any put that was acknowledged before it was sent."""
    acknowledged: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for record, call, outcome in evidence.with_outcome(model.Put, model.Stored):
        acknowledged[call.key].append((record.ended, outcome.revision))
    highest = {key: HighestByTime(pairs) for key, pairs in acknowledged.items()}
    for record in evidence.records:
        if not isinstance(record.call, model.Get) or record.call.key not in highest:
            continue
        if not isinstance(record.outcome, model.Found | model.NotFound):
            continue
        revision = record.outcome.revision if isinstance(record.outcome, model.Found) else 0
        before = highest[record.call.key].max_at(record.sent)
        if revision < before:
            yield f"key {record.call.key}: read at {revision}, and {before} was acknowledged before"


# MIXED


def check_mixed(evidence: Evidence) -> Iterator[str]:
    """Every value was put, under one revision, and a conflict names a revision of its own key."""
    for (key, value), revisions in evidence.shown.items():
        if (key, value) not in evidence.puts:
            yield f"key {key}: nobody put {value}"
        if len(revisions) > 1:
            yield f"key {key}: {value} has revisions {sorted(revisions)}"
    for _, call, outcome in evidence.with_outcome(model.Put, model.Conflict):
        if outcome.revision and not _may_be_of(evidence, call.key, outcome.revision):
            yield f"key {call.key}: a refusal names {outcome.revision}, which no put gave it"


def _may_be_of(evidence: Evidence, key: str, revision: int) -> bool:
    """Whether the key can have this revision, by the evidence."""
    known = evidence.by_revision[model.group_of(key)]
    if revision in known:
        return any(k == key for k, _ in known[revision])
    return any(r.outcome is None for (k, _), calls in evidence.puts.items() if k == key for r in calls)


# REFUSED


def check_refused(evidence: Evidence) -> Iterator[str]:
    """No refused put takes effect. A 412 rules out the value itself: its expected revision cannot come again,
    for any of its calls. Other refusals concern one call: another call with the same value may have taken
    effect."""
    for (key, value), calls in evidence.puts.items():
        if not evidence.shown.get((key, value)):
            continue
        conflicts = [r for r in calls if isinstance(r.outcome, model.Conflict)]
        if conflicts or all(isinstance(r.outcome, NOT_DONE) for r in calls):
            outcome = (conflicts or calls)[0].outcome
            yield f"key {key}: {value} is there, and its put was answered {outcome}"


# LOST


def check_lost(evidence: Evidence) -> Iterator[str]:
    """A watch can be resumed for `retain_s` from the last revision that it was given."""
    given: dict[tuple[str, str, int], float] = {}  # by watcher, group and revision: last time it was given
    for record in sorted(evidence.records, key=lambda r: r.ended):
        if isinstance(record.call, model.Watch) and isinstance(record.outcome, model.Watched):
            given[record.caller, record.call.group, record.outcome.revision] = record.ended
        elif isinstance(record.call, model.Watch) and isinstance(record.outcome, model.Compacted):
            at = given.get((record.caller, record.call.group, record.call.after))
            if at is not None and record.sent - at < evidence.retain_s:
                yield (
                    f"watch {record.call.group}: {record.call.after} was given {record.sent - at:.1f} s before"
                )


def check_lost_at_end(history: Iterable[Record], end: float) -> Iterator[str]:
    """Compares what was acknowledged before `end` with the clear answers to the calls sent after it."""
    records = sorted(history, key=lambda r: r.sent)
    asked = [r for r in records if r.sent >= end]
    keys: dict[str, int] = defaultdict(int)
    groups: dict[str, int] = defaultdict(int)
    numbers: dict[str, int] = defaultdict(int)
    for record in (r for r in records if r.sent < end):
        if isinstance(record.outcome, model.Stored) and isinstance(record.call, model.Put):
            group = model.group_of(record.call.key)
            keys[record.call.key] = max(keys[record.call.key], record.outcome.revision)
            groups[group] = max(groups[group], record.outcome.revision)
        elif isinstance(record.outcome, model.Number) and isinstance(record.call, model.NextNumber):
            numbers[record.call.name] = max(numbers[record.call.name], record.outcome.value)
    yield from _report_lags("key", keys, _newest_answers(asked, model.Get))
    yield from _report_lags("group", groups, _newest_answers(asked, model.Watch))
    yield from _report_lags("number", numbers, _newest_answers(asked, model.NextNumber))
    locks = {r.call.name for r in records if isinstance(r.call, model.Acquire)}
    clear = {r.call.name for r in asked if isinstance(r.call, model.Acquire) and r.outcome is not None}
    for name in locks - clear:
        yield f"lock {name}: no answer came at the end"


def _newest_answers(asked: Sequence[Record], kind: type[model.Call]) -> dict[str, int]:
    """By name: the highest revision or number in the answers to calls of this kind."""
    newest: dict[str, int] = {}
    for record in asked:
        if not isinstance(record.call, kind):
            continue
        match record.outcome:
            case model.Found() | model.Watched():
                value = record.outcome.revision
            case model.Number():
                value = record.outcome.value
            case model.NotFound():
                value = 0
            case _:
                continue
        name = _name_of(record.call)
        newest[name] = max(newest.get(name, 0), value)
    return newest


def _name_of(call: model.Call) -> str:
    match call:
        case model.Get() | model.Put():
            return call.key
        case model.Watch():
            return call.group
        case _:
            return call.name


def _report_lags(what: str, acknowledged: dict[str, int], newest: dict[str, int]) -> Iterator[str]:
    for name, least in acknowledged.items():
        if name not in newest:
            yield f"{what} {name}: no answer came at the end"
        elif newest[name] < least:
            yield f"{what} {name}: {newest[name]} at the end, and {least} was acknowledged"


RULES: dict[str, Callable[[Evidence], Iterator[str]]] = {
    "ONE": check_one,
    "ORDER": check_order,
    "STALE": check_stale,
    "MIXED": check_mixed,
    "REFUSED": check_refused,
    "LOST": check_lost,
}


def check(history: Iterable[Record], retain_s: float, end: float | None = None) -> list[Violation]:
    """All violations. `end`: the time from which everything was read back."""
    evidence = Evidence.from_history(history, retain_s)
    found = [Violation(rule, reason) for rule, check_rule in RULES.items() for reason in check_rule(evidence)]
    if end is not None:
        found += [Violation("LOST", reason) for reason in check_lost_at_end(evidence.records, end)]
    return found
