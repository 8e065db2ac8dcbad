"""Health verdicts on instances, from the results that all gateways report; all reach the same verdicts.

One gateway of many sends an instance too few requests to tell a bad answer from a bad instance. So each
reports, for the instances of which failures came lately, how many results were well and how many ill within a
window. A report replaces the previous one of its reporter, so that reordering, loss and duplicates change
nothing but the age of what is known.

A verdict depends on the lower Wilson bound of the share of ill results (E. B. Wilson, 1927; z = 1.64, so that
for an instance whose true share is at the threshold one evaluation in twenty is a false alarm). Safeguards,
each with a test:

- Results count from shortly before the first ill one on, at all gateways. Results from before an instance
  turned bad say nothing of it now; while they counted, a bad instance stayed in use for four more seconds.
- At most `MAX_ILL_PER_REPORTER` ill results of one reporter count: many of one reporter weigh less than some
  of several.
- A reporter to which more than `BLIND_FRACTION` of a service's instances are ill is taken to be faulty or cut
  off itself, and its results are ignored.
- Instances are ejected only down to `MIN_IN_USE_FRACTION` of a service's, and only while the rest have slots
  for the present load; beyond that the least ill stay in use. Without this limit, full instances refused
  requests, were judged ill for it, and left their load to the rest (seen in Kestrel's scale-1 after the
  closing fault: 0.84 instead of 0.98).
- A verdict is held for a while after the last ill result, longer each time. Then the instance is on probation
  and gets fewer requests until it has been well for some time; none gets its full share back at once.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping
from enum import IntEnum

from attrs import define, field, frozen

WINDOW_S = 5.0  # for which a result counts
WINDOW_LEAD_S = 0.5  # results count from so long before the first ill one that any gateway reports
REPORT_TTL_S = 2.5  # for which a gateway's report counts without a newer one
MAX_ILL_PER_REPORTER = 4  # upper bound of ill results of one reporter that count
MIN_ILL = 3  # ill results, bounded as above, below which an instance is well
SUSPECT_BOUND, SOUR_BOUND = 0.06, 0.25  # lower bounds of the ill share from which these verdicts apply
BLIND_FRACTION = 0.5  # of a service's instances, see above
MIN_BLIND_COUNT = 4  # instances that must be ill to a reporter before it is taken to be faulty
MIN_IN_USE_FRACTION = 0.5  # of a service's instances that stay in use whatever the verdicts
MAX_REMAINING_LOAD = 0.75  # upper bound of the load per slot of the instances that remain in use
HOLD_S, MAX_HOLD_S = 4.0, 16.0  # hold of a verdict after the last ill result; doubles each time up to this
PROBATION_S = 4.0
WILSON_Z = 1.64

HealthRow = tuple[int, int, int]  # ID hash of an instance; results: well, ill
Evidence = tuple[int, int, int, int]  # results: well, ill, ill ones that count; number of reporters
ZoneHealthRow = tuple[int, int, int, int, int]  # ID hash of an instance; `Evidence` of a zone


class Verdict(IntEnum):
    """From well to worst. The status page prints the member names in lower record."""

    WELL = 0
    PROBATION = 1
    SUSPECT = 2
    SOUR = 3


# How many times longer an instance's answers are taken to need, by verdict; multiplied by `RUN_ONCE_WEIGHT`
# for requests that may run only once.
RUN_ONCE_WEIGHT = 4.0
VERDICT_WEIGHTS = {Verdict.WELL: 1.0, Verdict.PROBATION: 2.0, Verdict.SUSPECT: 3.0, Verdict.SOUR: 12.0}


@define
class ResultWindow:
    """This gateway's results from one instance within the last `WINDOW_S`."""

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
        """Counts of well and ill results since `begun`."""
        if not self.times or self.times[0][0] >= begun:
            return self.well, self.ill
        after = [well for at, well in self.times if at >= begun]
        return sum(after), len(after) - sum(after)


@define
class HealthRecord:
    """The verdict on one instance and what it depends on. Times are of the monotonic clock, s."""

    verdict: Verdict = Verdict.WELL
    since: float = 0.0
    until: float = 0.0  # end of the hold, or of probation
    times: int = 0  # how often it became sour
    share: float = 0.0
    reporters: int = 0


@frozen
class VerdictChange:
    """A changed verdict, with the evidence that led to it."""

    id_hash: int
    before: Verdict
    after: Verdict
    well: int
    ill: int
    reporters: int


def lower_bound(ill: int, all_: int) -> float:
    """Lower Wilson bound of the true share of ill results."""
    if not all_:
        return 0.0
    p, z2 = ill / all_, WILSON_Z * WILSON_Z
    middle = p + z2 / (2 * all_)
    return (middle - WILSON_Z * math.sqrt(p * (1 - p) / all_ + z2 / (4 * all_ * all_))) / (1 + z2 / all_)


def _sum(evidence: Iterable[Evidence]) -> Evidence:
    well = ill = counted = reporters = 0
    for each in evidence:
        well += each[0]
        ill += each[1]
        counted += each[2]
        reporters += each[3]
    return well, ill, counted, reporters


class HealthTracker:
    """Keeps this gateway's results and all others' reports, and judges each instance by them."""

    def __init__(self) -> None:
        self.own_results: dict[int, ResultWindow] = {}
        # By gateway: when its report came; well and ill results by instance
        self.reports: dict[str, tuple[float, dict[int, tuple[int, int]]]] = {}
        # By zone: when its report came; summed evidence by instance
        self.zone_reports: dict[int, tuple[float, dict[int, Evidence]]] = {}
        self.records: dict[int, HealthRecord] = {}
        self.counted_from: dict[int, float] = {}  # by instance with ill results: when they begin to count
        self.report_due = False  # an ill result came here that was not reported yet

    def note(self, now: float, id_hash: int, well: bool) -> None:
        """Notes the result of a try at an instance."""
        results = self.own_results.get(id_hash)
        if results is None:
            results = self.own_results[id_hash] = ResultWindow()
        results.note(now, well)
        if not well:
            self.report_due = True
            self.counted_from.setdefault(id_hash, now - WINDOW_LEAD_S)

    def own_report(self, now: float) -> list[HealthRow]:
        """This gateway's report: results of instances of which ill ones came lately, here or elsewhere.

        Well results are reported only when some gateway has ill ones, so without failures reports are empty.
        """
        self.report_due = False
        return self._own_rows(now)

    def _own_rows(self, now: float) -> list[HealthRow]:
        reported = {
            id_hash for _, report in self.reports.values() for id_hash, (_, ill) in report.items() if ill
        }
        reported |= {
            id_hash for _, rows in self.zone_reports.values() for id_hash, row in rows.items() if row[1]
        }
        for id_hash, results in list(self.own_results.items()):
            results.forget(now)
            if not results.times:
                del self.own_results[id_hash]
        ill = reported | {id_hash for id_hash, results in self.own_results.items() if results.ill}
        self.counted_from = {id_hash: self.counted_from.get(id_hash, now - WINDOW_LEAD_S) for id_hash in ill}
        return [
            (id_hash, *self.own_results[id_hash].counts_since(begun))
            for id_hash, begun in self.counted_from.items()
            if id_hash in self.own_results
        ]

    def update_report(self, now: float, reporter: str, rows: Iterable[HealthRow]) -> None:
        """Takes another gateway's report in place of its previous one."""
        report = {id_hash: (well, ill) for id_hash, well, ill in rows}
        if report:
            self.reports[reporter] = (now, report)
        else:
            self.reports.pop(reporter, None)

    def update_zone(self, now: float, zone: int, rows: Iterable[ZoneHealthRow]) -> None:
        """Takes the summed evidence of another zone's gateways in place of the previous one."""
        if report := {id_hash: (well, ill, counted, of) for id_hash, well, ill, counted, of in rows}:
            self.zone_reports[zone] = (now, report)
        else:
            self.zone_reports.pop(zone, None)

    def zone_evidence(self, now: float, serving: Mapping[str, set[int]]) -> list[ZoneHealthRow]:
        """The summed evidence of this gateway and of those that report to it (its zone), most ill first.

        `serving`: ID hashes of the instances that may serve, by service.
        """
        rows = [(id_hash, *_sum(report)) for id_hash, report in self._reporter_evidence(now, serving).items()]
        return sorted(rows, key=lambda row: -row[2])

    def _reporter_evidence(self, now: float, serving: Mapping[str, set[int]]) -> dict[int, list[Evidence]]:
        """By instance, the evidence of each reporting gateway and of this one."""
        self.reports = {r: w for r, w in self.reports.items() if now - w[0] <= REPORT_TTL_S}
        mine = {id_hash: (well, ill) for id_hash, well, ill in self._own_rows(now)}
        seen: dict[int, list[Evidence]] = {}
        for report in (*(report for _, report in self.reports.values()), mine):
            for id_hashes in serving.values():
                here = [id_hash for id_hash in report if id_hash in id_hashes]
                ill = sum(
                    2 * report[id_hash][1] > report[id_hash][0] + report[id_hash][1] for id_hash in here
                )
                if ill >= MIN_BLIND_COUNT and ill > BLIND_FRACTION * len(id_hashes):
                    continue  # this reporter is taken to be faulty or cut off
                for id_hash in here:
                    well, ill_here = report[id_hash]
                    seen.setdefault(id_hash, []).append(
                        (well, ill_here, min(MAX_ILL_PER_REPORTER, ill_here), 1)
                    )
        return seen

    def update_verdicts(self, now: float, serving: Mapping[str, set[int]]) -> list[VerdictChange]:
        """Evaluates all evidence and returns changed verdicts; `serving` as for `zone_evidence`."""
        seen = self._reporter_evidence(now, serving)
        self.zone_reports = {
            zone: report for zone, report in self.zone_reports.items() if now - report[0] <= REPORT_TTL_S
        }
        known = {id_hash for id_hashes in serving.values() for id_hash in id_hashes}
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

    def _is_closed(self, now: float, record: HealthRecord) -> bool:
        return record.verdict is Verdict.WELL and now - record.since > MAX_HOLD_S

    def _update_verdict(self, now: float, id_hash: int, evidence: list[Evidence]) -> VerdictChange | None:
        well, ill, counted, reporters = _sum(evidence)
        bound = lower_bound(ill, well + ill) if counted >= MIN_ILL else 0.0
        record = self.records.setdefault(id_hash, HealthRecord(since=now))
        before = record.verdict
        record.share, record.reporters = bound, reporters
        found = (
            Verdict.SOUR
            if bound >= SOUR_BOUND
            else Verdict.SUSPECT
            if bound >= SUSPECT_BOUND
            else Verdict.WELL
        )
        if found is Verdict.SOUR and before is not Verdict.SOUR:
            record.times += 1
        if found >= Verdict.SUSPECT:
            if found >= before or now >= record.until:
                record.verdict = found
            record.until = now + min(MAX_HOLD_S, HOLD_S * 2 ** max(0, record.times - 1))
        elif before >= Verdict.SUSPECT and now >= record.until:
            record.verdict, record.until = Verdict.PROBATION, now + PROBATION_S
        elif before is Verdict.PROBATION and now >= record.until:
            record.verdict = Verdict.WELL
        if record.verdict is before:
            return None
        record.since = now
        return VerdictChange(id_hash, before, record.verdict, well, ill, reporters)

    def any_sour(self) -> bool:
        """Whether any instance may have to be ejected."""
        return any(record.verdict is Verdict.SOUR for record in self.records.values())

    def verdict(self, id_hash: int) -> Verdict:
        record = self.records.get(id_hash)
        return record.verdict if record else Verdict.WELL

    def details(self, id_hash: int) -> tuple[float, float, list[str]]:
        """Since when an instance has its verdict, the lower bound of its ill share, who reports ill results.

        Only other gateways and zones are named, not this gateway.
        """
        record = self.records.get(id_hash)
        by = sorted(who for who, (_, report) in self.reports.items() if report.get(id_hash, (0, 0))[1])
        by += [
            f"zone {zone}"
            for zone, (_, rows) in sorted(self.zone_reports.items())
            if rows.get(id_hash, (0, 0))[1]
        ]
        return (record.since, record.share, by) if record else (0.0, 0.0, by)

    def weight(self, id_hash: int, once: bool = False) -> float:
        """Factor on an instance's expected time by its verdict; `once`: the request may run only once."""
        if id_hash not in self.records:
            return 1.0
        return VERDICT_WEIGHTS[self.verdict(id_hash)] * (
            RUN_ONCE_WEIGHT if once and self.verdict(id_hash) else 1.0
        )

    def to_eject(self, instances: Mapping[int, tuple[int, float]]) -> set[int]:
        """The instances of a service to eject. `instances`: slots, and estimated requests there, by ID hash.

        Sour ones, the worst first, while at least `MIN_IN_USE_FRACTION` of the instances remain and the load
        per remaining slot is at most `MAX_REMAINING_LOAD`: the rest must not be overloaded by what they take
        over.
        """
        sour = [id_hash for id_hash in instances if self.verdict(id_hash) is Verdict.SOUR]
        sour.sort(key=lambda id_hash: -self.records[id_hash].share)
        slots = sum(of for of, _ in instances.values())
        load = sum(requests for _, requests in instances.values())
        ejected: set[int] = set()
        for id_hash in sour[: int(len(instances) * (1 - MIN_IN_USE_FRACTION))]:
            slots -= instances[id_hash][0]
            if load > MAX_REMAINING_LOAD * slots:
                break
            ejected.add(id_hash)
        return ejected
