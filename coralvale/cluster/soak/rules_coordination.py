"""Rules for locks, numbers, keys and watches, checked on what their callers observed."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from attrs import define

from coralvale.cluster.soak import history as h
from coralvale.cluster.soak.timeline import Timeline, Violation

NOT_EXECUTED_STATUSES = {412, 429, 503}  # the call had no effect
RELEASE = "release"  # the name of the call in the history


@define
class Call:
    """A coordination call and its answer."""

    sent: h.Called
    answer: h.CallAnswer | None = None

    @property
    def succeeded(self) -> bool:
        """Whether it was answered with 200."""
        return self.answer is not None and self.answer.status == 200

    @property
    def answered_at(self) -> float:
        """When it was answered, s; infinite without an answer."""
        return self.answer.at if self.answer else float("inf")

    @property
    def count(self) -> int:
        """The number or revision in its answer."""
        return self.answer.count if self.answer else 0


@define
class Hold:
    """A span in which a caller regards itself as a lock's holder. `sent`: when it asked for the lock, s."""

    owner: str
    fence: int
    sent: float
    begin: float
    end: float


def _calls(timeline: Timeline) -> list[Call]:
    found = {called.number: Call(called) for called in timeline.events_of(h.Called)}
    for answer in timeline.events_of(h.CallAnswer):
        found[answer.number].answer = answer
    return list(found.values())


def _by_name(calls: list[Call], *kinds: str) -> dict[str, list[Call]]:
    found: dict[str, list[Call]] = defaultdict(list)
    for call in calls:
        if call.sent.call in kinds:
            found[call.sent.name].append(call)
    return found


def _group(key: str) -> str:
    prefix, dot, _ = key.partition(".")
    return prefix + dot


# Locks


def locks(timeline: Timeline) -> Iterator[Violation]:
    """ONE: a lock has one holder at a time, and fencing tokens increase from holder to holder."""
    for name, calls in _by_name(_calls(timeline), "acquire", "renew", RELEASE).items():
        holds = sorted(_holds(calls), key=lambda hold: hold.begin)
        for place, hold in enumerate(holds):
            for other in holds[place + 1 :]:
                yield from _check_pair(name, hold, other)


def _check_pair(name: str, hold: Hold, other: Hold) -> Iterator[Violation]:
    if hold.owner == other.owner:
        return
    if other.begin < hold.end:
        text = f"{name}: {hold.owner} and {other.owner} hold it at the same time"
        yield Violation("ONE", other.begin, text, name)
    if hold.begin < other.sent and other.fence <= hold.fence:
        text = f"{name}: fence {other.fence} of {other.owner} was issued after {hold.fence} of {hold.owner}"
        yield Violation("ONE", other.begin, text, name)
    elif hold.fence == other.fence:
        yield Violation("ONE", other.begin, f"{name}: fence {hold.fence} was issued to two owners", name)


def _holds(calls: list[Call]) -> Iterator[Hold]:
    """The spans in which callers hold a lock.

    An acquire opens a span. A successful renewal extends it, unless the span was over when the answer came.
    It ends early when a release is sent or a call is answered with 409.
    """
    open_holds: dict[str, Hold] = {}
    moments = sorted(
        [(c.sent.at, c) for c in calls if c.sent.call == RELEASE]
        + [(c.answered_at, c) for c in calls if c.sent.call != RELEASE and c.answer],
        key=lambda pair: pair[0],
    )
    for at, call in moments:
        owner = call.sent.owner
        hold = open_holds.get(owner)
        if call.sent.call == RELEASE or not call.succeeded:
            if hold and (call.sent.call == RELEASE or (call.answer and call.answer.status == 409)):
                hold.end = min(hold.end, at)
                yield open_holds.pop(owner)
            continue
        until = call.sent.at + call.sent.hold
        if call.sent.call == "acquire":
            assert call.answer
            if hold:
                yield open_holds.pop(owner)
            open_holds[owner] = Hold(owner, call.answer.fence, call.sent.at, at, until)
        elif hold and call.sent.fence == hold.fence and at <= hold.end:
            hold.end = max(hold.end, until)
    yield from open_holds.values()


# Numbers and revisions


def numbers(timeline: Timeline) -> Iterator[Violation]:
    """ORDER: numbers of one name are unique and increase."""
    for name, calls in _by_name(_calls(timeline), "number").items():
        yield from _check_increasing(
            name, [(c.sent.at, c.answered_at, c.count) for c in calls if c.succeeded]
        )


def revisions(timeline: Timeline) -> Iterator[Violation]:
    """ORDER, MIXED: revisions of one group are unique and increase; each put has one revision.

    ORDER also covers a put with an expected revision: it does not succeed over a later one.
    """
    groups: dict[str, dict[str, list[Call]]] = defaultdict(lambda: defaultdict(list))
    for key, calls in _by_name(_calls(timeline), "put").items():
        for call in calls:
            groups[_group(key)][call.sent.value].append(call)
    for group, puts in groups.items():
        given = []
        for value, calls in puts.items():
            good = [c for c in calls if c.succeeded]
            if len({c.count for c in good}) > 1:
                yield Violation("MIXED", good[-1].answered_at, f"{group}: {value} has two revisions", value)
            if good:
                # A put that was resent may take effect by any of its calls. Its revision is known from the
                # first answer on.
                given.append((calls[0].sent.at, min(c.answered_at for c in good), good[0].count))
        yield from _check_increasing(group, given)
    yield from _check_expected_revisions(timeline)


def _check_increasing(name: str, given: list[tuple[float, float, int]]) -> Iterator[Violation]:
    """ORDER violations of values that must be unique and increase.

    `given`: for each when it was asked for, when it was known, and the value. A value asked for after another
    was known must be the greater one.
    """
    seen: dict[int, float] = {}
    known = sorted(given, key=lambda one: one[1])
    newest, place = 0, 0
    for sent, at, count in sorted(given):
        while place < len(known) and known[place][1] < sent:
            newest = max(newest, known[place][2])
            place += 1
        if count in seen:
            yield Violation("ORDER", at, f"{name}: {count} was issued twice", name)
        elif count <= newest:
            yield Violation("ORDER", at, f"{name}: {count} was issued after {newest}", name)
        seen[count] = at


def _check_expected_revisions(timeline: Timeline) -> Iterator[Violation]:
    for key, calls in _by_name(_calls(timeline), "put").items():
        good = [c for c in calls if c.succeeded]
        for call in good:
            expected = call.sent.expected
            if expected is None:
                continue
            between = [c.count for c in good if expected < c.count < call.count]
            if between:
                text = f"{key}: a put that expected revision {expected} overwrote {between[0]}"
                yield Violation("ORDER", call.answered_at, text, key)


# Reads and watches


def reads(timeline: Timeline) -> Iterator[Violation]:
    """STALE, MIXED, REFUSED: a read is no older than puts acknowledged before it, and gives what was put."""
    calls = _calls(timeline)
    puts, gets = _by_name(calls, "put"), _by_name(calls, "get")
    for key, asked in gets.items():
        acknowledged = [c for c in puts.get(key, []) if c.succeeded]
        values = _put_outcomes(puts.get(key, []))
        for read in asked:
            if read.answer is None or read.answer.status not in (200, 404):
                continue
            newest = max((c.count for c in acknowledged if c.answered_at < read.sent.at), default=0)
            at = read.count if read.succeeded else 0
            if at < newest:
                text = f"{key}: read at revision {at} after {newest} was acknowledged"
                yield Violation("STALE", read.answered_at, text, key)
            if read.succeeded:
                yield from _check_value(key, read.answer.value, at, read.answered_at, values)


def _put_outcomes(puts: list[Call]) -> dict[str, tuple[int, bool]]:
    """By value: its revision (0 if not known), and whether all puts of it were answered as not executed."""
    found: dict[str, tuple[int, bool]] = {}
    for put in puts:
        revision, refused = found.get(put.sent.value, (0, True))
        turned_away = put.answer is not None and put.answer.status in NOT_EXECUTED_STATUSES
        found[put.sent.value] = (put.count if put.succeeded else revision, refused and turned_away)
    return found


def _check_value(
    key: str, value: str, revision: int, at: float, values: dict[str, tuple[int, bool]]
) -> Iterator[Violation]:
    known, refused = values.get(value, (-1, False))
    if known < 0:
        yield Violation("MIXED", at, f"{key}: {value!r} was read, but nobody put it", key)
    elif known and known != revision:
        yield Violation(
            "MIXED", at, f"{key}: {value} was put at revision {known} and read at {revision}", key
        )
    elif refused:
        yield Violation(
            "REFUSED", at, f"{key}: {value} was read, but its put was answered as not executed", key
        )


def watches(timeline: Timeline) -> Iterator[Violation]:
    """ORDER, MIXED, REFUSED: events of a watch increase in revision, skip no put in its span and match puts.

    LOST: a watch from a revision given less than `RetainS` ago is not answered with 410.
    """
    calls = _calls(timeline)
    puts = _by_name(calls, "put")
    values = {key: _put_outcomes(found) for key, found in puts.items()}
    known: dict[str, list[tuple[int, str]]] = defaultdict(list)
    for key, found in puts.items():
        known[_group(key)] += [(c.count, c.sent.value) for c in found if c.succeeded]
    for group, asked in _by_name(calls, "watch").items():
        given: dict[int, float] = {}
        for watch in sorted(asked, key=lambda call: call.answered_at):
            if watch.answer is None:
                continue
            if watch.answer.status == 410 and _given_recently(timeline, watch, given):
                text = f"{group}: 410 for revision {watch.sent.after}, which is within the retention time"
                yield Violation("LOST", watch.answered_at, text, group)
            if watch.succeeded:
                given[watch.count] = watch.answered_at
                yield from _check_watch_events(group, watch, known[group], values)


def _given_recently(timeline: Timeline, watch: Call, given: dict[int, float]) -> bool:
    return watch.sent.at - given.get(watch.sent.after, float("-inf")) < timeline.run.retain


def _check_watch_events(
    group: str, watch: Call, known: list[tuple[int, str]], values: dict[str, dict[str, tuple[int, bool]]]
) -> Iterator[Violation]:
    assert watch.answer
    event_revisions = [revision for _, _, revision in watch.answer.events]
    if event_revisions != sorted(set(event_revisions)):
        yield Violation(
            "ORDER",
            watch.answered_at,
            f"{group}: the event revisions {event_revisions} do not increase",
            group,
        )
    if watch.sent.after:
        inside = {revision for revision, _ in known if watch.sent.after < revision <= watch.count}
        if skipped := sorted(inside - set(event_revisions)):
            text = f"{group}: a watch from {watch.sent.after} to {watch.count} skips {skipped}"
            yield Violation("ORDER", watch.answered_at, text, group)
    for key, value, revision in watch.answer.events:
        yield from _check_value(key, value, revision, watch.answered_at, values.get(key, {}))
