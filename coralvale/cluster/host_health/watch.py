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

WINDOW_S = 5.0  # s that an answer counts
WINDOW_LEAD_S = 0.5  # s before the first ill answer of which anyone tells, from when on answers count
REPORT_TTL_S = 2.5  # s that another gateway's word counts without a newer one
MAX_ILL_PER_REPORTER = 4  # ill answers of one reporter that count at most
MIN_ILL = 3  # ill answers, capped as above, below which nothing is concluded
SUSPECT_BOUND, SOUR_BOUND = 0.06, 0.25  # lower bounds of the ill share from which on
BLIND_FRACTION = 0.5  # of the lives that a reporter speaks of
MIN_BLIND_COUNT = 4  # lives of which it has to speak, to be found blind
MIN_IN_USE_FRACTION = 0.5  # of a service's copies that are used whatever is known of them
MAX_REMAINING_LOAD = 0.75  # of the slots that remain, that what is there may use
HOLD_S, MAX_HOLD_S = (
    4.0,
    16.0,
)  # s that a verdict stands after the last ill answer, doubled each time, at most
PROBATION_S = 4.0  # s in which a copy is used less after that
WILSON_Z = 1.64

HealthRow = tuple[int, int, int]  # what stands for a life; well, ill
Evidence = tuple[int, int, int, int]  # well, ill; the ill ones that count, of how many reporters
ZoneHealthRow = tuple[int, int, int, int, int]  # what stands for a life; the evidence of a zone's gateways


class Verdict(IntEnum):
    WELL = 0
    PROBATION = 1
    SUSPECT = 2
    SOUR = 3


RUN_ONCE_WEIGHT = 4.0  # times that for what may run once
VERDICT_WEIGHTS = {Verdict.WELL: 1.0, Verdict.PROBATION: 2.0, Verdict.SUSPECT: 3.0, Verdict.SOUR: 12.0}


@define
class ResultWindow:
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
        while self.times and now - self.times[0][0] > WINDOW_S:
            self._drop()

    def counts_since(self, begun: float) -> tuple[int, int]:
        """Well and ill ones since then."""
        if not self.times or self.times[0][0] >= begun:
            return self.well, self.ill
        after = [well for at, well in self.times if at >= begun]
        return sum(after), len(after) - sum(after)


@define
class HealthRecord:
    """What is held against a life."""

    verdict: Verdict = Verdict.WELL
    since: float = 0.0
    until: float = 0.0  # of a verdict that is held, or of probation
    times: int = 0  # it has been sour
    share: float = 0.0
    reporters: int = 0


@frozen
class VerdictChange:
    """A verdict that is another now, with the evidence that decided."""

    id_hash: int
    before: Verdict
    after: Verdict
    well: int
    ill: int
    reporters: int


def lower_bound(ill: int, all_: int) -> float:
    """Of the true ill share, by Wilson."""
    if not all_:
        return 0.0
    p, z2 = ill / all_, WILSON_Z * WILSON_Z
    middle = p + z2 / (2 * all_)
    return (middle - WILSON_Z * math.sqrt(p * (1 - p) / all_ + z2 / (4 * all_ * all_))) / (1 + z2 / all_)


def _sum(told: Iterable[Evidence]) -> Evidence:
    well = ill = counted = reporters = 0
    for each in told:
        well += each[0]
        ill += each[1]
        counted += each[2]
        reporters += each[3]
    return well, ill, counted, reporters


class HealthTracker:
    def __init__(self) -> None:
        self.own_results: dict[int, ResultWindow] = {}
        self.reports: dict[str, tuple[float, dict[int, tuple[int, int]]]] = {}
        self.zone_reports: dict[
            int, tuple[float, dict[int, Evidence]]
        ] = {}  # of other zones, each all its reporters'
        self.records: dict[int, HealthRecord] = {}
        self.counted_from: dict[
            int, float
        ] = {}  # from when on answers of a life count that anyone has found ill
        self.report_due = False  # something ill came here, and was told to nobody yet

    def note(self, now: float, id_hash: int, well: bool) -> None:
        """An answer of a life, or its failure."""
        answers = self.own_results.get(id_hash)
        if answers is None:
            answers = self.own_results[id_hash] = ResultWindow()
        answers.note(now, well)
        if not well:
            self.report_due = True
            self.counted_from.setdefault(id_hash, now - WINDOW_LEAD_S)

    def own_report(self, now: float) -> list[HealthRow]:
        """What this gateway tells others: of lives of which something ill came lately, here or elsewhere.

        Who has seen a copy well tells it only once another has seen it ill: on a calm day nothing is told.
        """
        self.report_due = False
        return self._own_rows(now)

    def _own_rows(self, now: float) -> list[HealthRow]:
        asked = {id_hash for _, told in self.reports.values() for id_hash, (_, ill) in told.items() if ill}
        asked |= {
            id_hash for _, rows in self.zone_reports.values() for id_hash, row in rows.items() if row[1]
        }
        for id_hash, answers in list(self.own_results.items()):
            answers.forget(now)
            if not answers.times:
                del self.own_results[id_hash]
        ill = asked | {id_hash for id_hash, answers in self.own_results.items() if answers.ill}
        self.counted_from = {id_hash: self.counted_from.get(id_hash, now - WINDOW_LEAD_S) for id_hash in ill}
        return [
            (id_hash, *self.own_results[id_hash].counts_since(begun))
            for id_hash, begun in self.counted_from.items()
            if id_hash in self.own_results
        ]

    def update_report(self, now: float, reporter: str, rows: Iterable[HealthRow]) -> None:
        told = {id_hash: (well, ill) for id_hash, well, ill in rows}
        if told:
            self.reports[reporter] = (now, told)
        else:
            self.reports.pop(reporter, None)

    def update_zone(self, now: float, zone: int, rows: Iterable[ZoneHealthRow]) -> None:
        """What all gateways of another zone tell, in place of what was told of it before."""
        if told := {id_hash: (well, ill, counted, of) for id_hash, well, ill, counted, of in rows}:
            self.zone_reports[zone] = (now, told)
        else:
            self.zone_reports.pop(zone, None)

    def zone_evidence(self, now: float, lives: Mapping[str, set[int]]) -> list[ZoneHealthRow]:
        """What this gateway and those whose words come have found together: the evidence of their zone, the most
        ill first. `lives`: those that may serve, by service."""
        rows = [(id_hash, *_sum(told)) for id_hash, told in self._reporter_evidence(now, lives).items()]
        return sorted(rows, key=lambda row: -row[2])

    def _reporter_evidence(self, now: float, lives: Mapping[str, set[int]]) -> dict[int, list[Evidence]]:
        """By life, what each reporter of words, and this gateway, has found of it."""
        self.reports = {r: w for r, w in self.reports.items() if now - w[0] <= REPORT_TTL_S}
        mine = {id_hash: (well, ill) for id_hash, well, ill in self._own_rows(now)}
        seen: dict[int, list[Evidence]] = {}
        for told in (*(told for _, told in self.reports.values()), mine):
            for id_hashes in lives.values():
                here = [id_hash for id_hash in told if id_hash in id_hashes]
                ill = sum(2 * told[id_hash][1] > told[id_hash][0] + told[id_hash][1] for id_hash in here)
                if ill >= MIN_BLIND_COUNT and ill > BLIND_FRACTION * len(id_hashes):
                    continue  # for whom most are ill, is ill
                for id_hash in here:
                    well, ill_here = told[id_hash]
                    seen.setdefault(id_hash, []).append(
                        (well, ill_here, min(MAX_ILL_PER_REPORTER, ill_here), 1)
                    )
        return seen

    def update_verdicts(self, now: float, lives: Mapping[str, set[int]]) -> list[VerdictChange]:
        """New verdicts; `lives`: those that may serve, by service."""
        seen = self._reporter_evidence(now, lives)
        self.zone_reports = {
            zone: told for zone, told in self.zone_reports.items() if now - told[0] <= REPORT_TTL_S
        }
        known = {id_hash for id_hashes in lives.values() for id_hash in id_hashes}
        for _, rows in self.zone_reports.values():
            for id_hash in rows.keys() & known:
                seen.setdefault(id_hash, []).append(rows[id_hash])
        changes = []
        for id_hash in {*seen, *self.records}:
            change = self._update_verdict(now, id_hash, seen.get(id_hash, []))
            if change:
                changes.append(change)
        for id_hash in [m for m, c in self.records.items() if m not in known or self._is_closed(now, c)]:
            del self.records[id_hash]
        return changes

    def _is_closed(self, now: float, case: HealthRecord) -> bool:
        return case.verdict is Verdict.WELL and now - case.since > MAX_HOLD_S

    def _update_verdict(self, now: float, id_hash: int, told: list[Evidence]) -> VerdictChange | None:
        well, ill, counted, reporters = _sum(told)
        bound = lower_bound(ill, well + ill) if counted >= MIN_ILL else 0.0
        case = self.records.setdefault(id_hash, HealthRecord(since=now))
        before = case.verdict
        case.share, case.reporters = bound, reporters
        found = (
            Verdict.SOUR
            if bound >= SOUR_BOUND
            else Verdict.SUSPECT
            if bound >= SUSPECT_BOUND
            else Verdict.WELL
        )
        if found is Verdict.SOUR and before is not Verdict.SOUR:
            case.times += 1
        if found >= Verdict.SUSPECT:
            if found >= before or now >= case.until:
                case.verdict = found
            case.until = now + min(MAX_HOLD_S, HOLD_S * 2 ** max(0, case.times - 1))
        elif before >= Verdict.SUSPECT and now >= case.until:
            case.verdict, case.until = Verdict.PROBATION, now + PROBATION_S
        elif before is Verdict.PROBATION and now >= case.until:
            case.verdict = Verdict.WELL
        if case.verdict is before:
            return None
        case.since = now
        return VerdictChange(id_hash, before, case.verdict, well, ill, reporters)

    def any_sour(self) -> bool:
        """Whether a copy may have to be passed over."""
        return any(case.verdict is Verdict.SOUR for case in self.records.values())

    def verdict(self, id_hash: int) -> Verdict:
        case = self.records.get(id_hash)
        return case.verdict if case else Verdict.WELL

    def details(self, id_hash: int) -> tuple[float, float, list[str]]:
        """What is held against a life: since when, the lower bound of its ill share, and who tells ill of it
        (other gateways; what this one found itself is not among them)."""
        case = self.records.get(id_hash)
        by = sorted(who for who, (_, told) in self.reports.items() if told.get(id_hash, (0, 0))[1])
        by += [
            f"zone {zone}"
            for zone, (_, rows) in sorted(self.zone_reports.items())
            if rows.get(id_hash, (0, 0))[1]
        ]
        return (case.since, case.share, by) if case else (0.0, 0.0, by)

    def weight(self, id_hash: int, once: bool = False) -> float:
        """How many times longer an answer of a life is to be expected, for what is held against it; `once`: of
        what may run once."""
        if id_hash not in self.records:
            return 1.0
        return VERDICT_WEIGHTS[self.verdict(id_hash)] * (
            RUN_ONCE_WEIGHT if once and self.verdict(id_hash) else 1.0
        )

    def to_eject(self, lives: Mapping[int, tuple[int, float]]) -> set[int]:
        """Of a service's lives (their slots, and requests that are there), those that get nothing new.

        The sour ones, the worst first, as long as at least `FLOOR` of the copies remain and the slots that
        remain are used up to `BUSY` at most: the rest must not be pushed over by what comes to them.
        """
        sour = [id_hash for id_hash in lives if self.verdict(id_hash) is Verdict.SOUR]
        sour.sort(key=lambda id_hash: -self.records[id_hash].share)
        slots = sum(of for of, _ in lives.values())
        there = sum(requests for _, requests in lives.values())
        over: set[int] = set()
        for id_hash in sour[: int(len(lives) * (1 - MIN_IN_USE_FRACTION))]:
            slots -= lives[id_hash][0]
            if there > MAX_REMAINING_LOAD * slots:
                break
            over.add(id_hash)
        return over
