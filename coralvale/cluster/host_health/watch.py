"""The health watch: evidence of all gateways on each life of a host, and one verdict of it, the same at all.

One gateway of many sends a copy too little to tell a bad answer from a bad copy. Each tells the others, in
its words, of the lives of which something ill has come lately: how much was well and how much ill within a
window. A word takes the place of its reporter's word before, so that order, loss and doubles change nothing
but the age of what is known.

The verdict is on the ill share of what was seen, by its lower Wilson bound (E. B. Wilson, 1927; z = 1.64, so
that of a copy whose true share is at the line one in twenty looks is a false alarm). Safeguards, each with
its test:

- Answers count from shortly before the first ill one on, at all gateways: what a copy answered well for seconds
  before it soured says nothing of it now, and kept it in use for four more.
- One reporter's ill answers count up to `EACH` beside the others': much of one weighs less than some of
  several.
- A reporter for whom more than `BLIND` of the lives that it speaks of a service are ill is ill itself, or
  cut off.
- Copies are passed over only down to `FLOOR` of a service's, and only while the rest have slots for what is
  there; past it the least ill are used on. Without that, copies that are full turn requests away, are found
  ill for it, and leave their load to the rest (seen on Kestrel's scale-1 after the closing fault: 0.84 for
  0.98).
- A verdict is held for a while after the last ill answer, longer each time; then the copy is on probation,
  used less, until it has been well; nobody comes back with all they have at once.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping
from enum import IntEnum

from attrs import define, field, frozen

WINDOW = 5.0  # s that an answer counts
BEFORE = 0.5  # s before the first ill answer of which anyone tells, from when on answers count
HEARD = 2.5  # s that another gateway's word counts without a newer one
EACH = 4  # ill answers of one reporter that count at most
LEAST = 3  # ill answers, capped as above, below which nothing is concluded
SUSPECT, SOUR = 0.06, 0.25  # lower bounds of the ill share from which on
BLIND = 0.5  # of the lives that a reporter speaks of
SOME = 4  # lives of which it has to speak, to be found blind
FLOOR = 0.5  # of a service's copies that are used whatever is known of them
BUSY = 0.75  # of the slots that remain, that what is there may use
HOLD, HOLD_MOST = 4.0, 16.0  # s that a verdict stands after the last ill answer, doubled each time, at most
PROBATION = 4.0  # s in which a copy is used less after that
Z = 1.64

Row = tuple[int, int, int]  # what stands for a life; well, ill
Evidence = tuple[int, int, int, int]  # well, ill; the ill ones that count, of how many reporters
ZoneRow = tuple[int, int, int, int, int]  # what stands for a life; the evidence of a zone's gateways


class Verdict(IntEnum):
    WELL = 0
    PROBATION = 1
    SUSPECT = 2
    SOUR = 3


ONCE = 4.0  # times that for what may run once
WEIGHT = {Verdict.WELL: 1.0, Verdict.PROBATION: 2.0, Verdict.SUSPECT: 3.0, Verdict.SOUR: 12.0}


@define
class Answers:
    """What came of one life here."""

    times: deque[tuple[float, bool]] = field(factory=lambda: deque(maxlen=256))
    well: int = 0
    ill: int = 0

    def note(self, now: float, well: bool) -> None:
        if len(self.times) == self.times.maxlen:
            self._drop()
        self.times.append((now, well))
        self.well += well
        self.ill += not well

    def _drop(self) -> None:
        _, well = self.times.popleft()
        self.well -= well
        self.ill -= not well

    def forget(self, now: float) -> None:
        while self.times and now - self.times[0][0] > WINDOW:
            self._drop()

    def from_(self, begun: float) -> tuple[int, int]:
        """Well and ill ones since then."""
        if not self.times or self.times[0][0] >= begun:
            return self.well, self.ill
        after = [well for at, well in self.times if at >= begun]
        return sum(after), len(after) - sum(after)


@define
class Case:
    """What is held against a life."""

    verdict: Verdict = Verdict.WELL
    since: float = 0.0
    until: float = 0.0  # of a verdict that is held, or of probation
    times: int = 0  # it has been sour
    share: float = 0.0
    reporters: int = 0


@frozen
class Change:
    """A verdict that is another now, with the evidence that decided."""

    mark: int
    before: Verdict
    after: Verdict
    well: int
    ill: int
    reporters: int


def lower_bound(ill: int, all_: int) -> float:
    """Of the true ill share, by Wilson."""
    if not all_:
        return 0.0
    p, z2 = ill / all_, Z * Z
    middle = p + z2 / (2 * all_)
    return (middle - Z * math.sqrt(p * (1 - p) / all_ + z2 / (4 * all_ * all_))) / (1 + z2 / all_)


def _sum(told: Iterable[Evidence]) -> Evidence:
    well = ill = counted = reporters = 0
    for each in told:
        well += each[0]
        ill += each[1]
        counted += each[2]
        reporters += each[3]
    return well, ill, counted, reporters


class Watch:
    def __init__(self) -> None:
        self.own: dict[int, Answers] = {}
        self.words: dict[str, tuple[float, dict[int, tuple[int, int]]]] = {}
        self.zones: dict[
            int, tuple[float, dict[int, Evidence]]
        ] = {}  # of other zones, each all its reporters'
        self.cases: dict[int, Case] = {}
        self.begun: dict[int, float] = {}  # from when on answers of a life count that anyone has found ill
        self.news = False  # something ill came here, and was told to nobody yet

    def note(self, now: float, mark: int, well: bool) -> None:
        """An answer of a life, or its failure."""
        answers = self.own.get(mark)
        if answers is None:
            answers = self.own[mark] = Answers()
        answers.note(now, well)
        if not well:
            self.news = True
            self.begun.setdefault(mark, now - BEFORE)

    def say(self, now: float) -> list[Row]:
        """What this gateway tells others: of lives of which something ill came lately, here or elsewhere.

        Who has seen a copy well tells it only once another has seen it ill: on a calm day nothing is told.
        """
        self.news = False
        return self._mine(now)

    def _mine(self, now: float) -> list[Row]:
        asked = {mark for _, told in self.words.values() for mark, (_, ill) in told.items() if ill}
        asked |= {mark for _, rows in self.zones.values() for mark, row in rows.items() if row[1]}
        for mark, answers in list(self.own.items()):
            answers.forget(now)
            if not answers.times:
                del self.own[mark]
        ill = asked | {mark for mark, answers in self.own.items() if answers.ill}
        self.begun = {mark: self.begun.get(mark, now - BEFORE) for mark in ill}
        return [
            (mark, *self.own[mark].from_(begun)) for mark, begun in self.begun.items() if mark in self.own
        ]

    def hear(self, now: float, reporter: str, rows: Iterable[Row]) -> None:
        told = {mark: (well, ill) for mark, well, ill in rows}
        if told:
            self.words[reporter] = (now, told)
        else:
            self.words.pop(reporter, None)

    def hear_zone(self, now: float, zone: int, rows: Iterable[ZoneRow]) -> None:
        """What all gateways of another zone tell, in place of what was told of it before."""
        if told := {mark: (well, ill, counted, of) for mark, well, ill, counted, of in rows}:
            self.zones[zone] = (now, told)
        else:
            self.zones.pop(zone, None)

    def sum_here(self, now: float, lives: Mapping[str, set[int]]) -> list[ZoneRow]:
        """What this gateway and those whose words come have found together: the evidence of their zone, the most
        ill first. `lives`: those that may serve, by service."""
        rows = [(mark, *_sum(told)) for mark, told in self._found_here(now, lives).items()]
        return sorted(rows, key=lambda row: -row[2])

    def _found_here(self, now: float, lives: Mapping[str, set[int]]) -> dict[int, list[Evidence]]:
        """By life, what each reporter of words, and this gateway, has found of it."""
        self.words = {r: w for r, w in self.words.items() if now - w[0] <= HEARD}
        mine = {mark: (well, ill) for mark, well, ill in self._mine(now)}
        seen: dict[int, list[Evidence]] = {}
        for told in (*(told for _, told in self.words.values()), mine):
            for marks in lives.values():
                here = [mark for mark in told if mark in marks]
                ill = sum(2 * told[mark][1] > told[mark][0] + told[mark][1] for mark in here)
                if ill >= SOME and ill > BLIND * len(marks):
                    continue  # for whom most are ill, is ill
                for mark in here:
                    well, ill_here = told[mark]
                    seen.setdefault(mark, []).append((well, ill_here, min(EACH, ill_here), 1))
        return seen

    def weigh(self, now: float, lives: Mapping[str, set[int]]) -> list[Change]:
        """New verdicts; `lives`: those that may serve, by service."""
        seen = self._found_here(now, lives)
        self.zones = {zone: told for zone, told in self.zones.items() if now - told[0] <= HEARD}
        known = {mark for marks in lives.values() for mark in marks}
        for _, rows in self.zones.values():
            for mark in rows.keys() & known:
                seen.setdefault(mark, []).append(rows[mark])
        changes = []
        for mark in {*seen, *self.cases}:
            change = self._judge(now, mark, seen.get(mark, []))
            if change:
                changes.append(change)
        for mark in [m for m, c in self.cases.items() if m not in known or self._over(now, c)]:
            del self.cases[mark]
        return changes

    def _over(self, now: float, case: Case) -> bool:
        return case.verdict is Verdict.WELL and now - case.since > HOLD_MOST

    def _judge(self, now: float, mark: int, told: list[Evidence]) -> Change | None:
        well, ill, counted, reporters = _sum(told)
        bound = lower_bound(ill, well + ill) if counted >= LEAST else 0.0
        case = self.cases.setdefault(mark, Case(since=now))
        before = case.verdict
        case.share, case.reporters = bound, reporters
        found = Verdict.SOUR if bound >= SOUR else Verdict.SUSPECT if bound >= SUSPECT else Verdict.WELL
        if found is Verdict.SOUR and before is not Verdict.SOUR:
            case.times += 1
        if found >= Verdict.SUSPECT:
            if found >= before or now >= case.until:
                case.verdict = found
            case.until = now + min(HOLD_MOST, HOLD * 2 ** max(0, case.times - 1))
        elif before >= Verdict.SUSPECT and now >= case.until:
            case.verdict, case.until = Verdict.PROBATION, now + PROBATION
        elif before is Verdict.PROBATION and now >= case.until:
            case.verdict = Verdict.WELL
        if case.verdict is before:
            return None
        case.since = now
        return Change(mark, before, case.verdict, well, ill, reporters)

    def any_sour(self) -> bool:
        """Whether a copy may have to be passed over."""
        return any(case.verdict is Verdict.SOUR for case in self.cases.values())

    def verdict(self, mark: int) -> Verdict:
        case = self.cases.get(mark)
        return case.verdict if case else Verdict.WELL

    def against(self, mark: int) -> tuple[float, float, list[str]]:
        """What is held against a life: since when, the lower bound of its ill share, and who tells ill of it
        (other gateways; what this one found itself is not among them)."""
        case = self.cases.get(mark)
        by = sorted(who for who, (_, told) in self.words.items() if told.get(mark, (0, 0))[1])
        by += [f"zone {zone}" for zone, (_, rows) in sorted(self.zones.items()) if rows.get(mark, (0, 0))[1]]
        return (case.since, case.share, by) if case else (0.0, 0.0, by)

    def weight(self, mark: int, once: bool = False) -> float:
        """How many times longer an answer of a life is to be expected, for what is held against it; `once`: of
        what may run once."""
        if mark not in self.cases:
            return 1.0
        return WEIGHT[self.verdict(mark)] * (ONCE if once and self.verdict(mark) else 1.0)

    def passed_over(self, lives: Mapping[int, tuple[int, float]]) -> set[int]:
        """Of a service's lives (their slots, and requests that are there), those that get nothing new.

        The sour ones, the worst first, as long as at least `FLOOR` of the copies remain and the slots that
        remain are used up to `BUSY` at most: the rest must not be pushed over by what comes to them.
        """
        sour = [mark for mark in lives if self.verdict(mark) is Verdict.SOUR]
        sour.sort(key=lambda mark: -self.cases[mark].share)
        slots = sum(of for of, _ in lives.values())
        there = sum(requests for _, requests in lives.values())
        over: set[int] = set()
        for mark in sour[: int(len(lives) * (1 - FLOOR))]:
            slots -= lives[mark][0]
            if there > BUSY * slots:
                break
            over.add(mark)
        return over
