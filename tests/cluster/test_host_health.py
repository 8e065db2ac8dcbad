"""Shared health: the same evidence gives the same verdicts; one faulty reporter can't decide them."""

from __future__ import annotations

import random

from coralvale.cluster.host_health.watch import HOLD_S, HealthRow, HealthTracker, Verdict, lower_bound
from coralvale.cluster.registry.register import Register, Row
from coralvale.cluster.routing.copies import InstancePool, id_hash

LIVES = {"s": set(range(10)), "t": set(range(10, 14))}


def tracker_of(reports: list[tuple[str, list[HealthRow]]], now: float = 1.0) -> HealthTracker:
    tracker = HealthTracker()
    for reporter, rows in reports:
        tracker.update_report(now, reporter, rows)
    tracker.update_verdicts(now, LIVES)
    return tracker


def verdicts(tracker: HealthTracker) -> list[Verdict]:
    return [tracker.verdict(id_hash) for id_hash in range(14)]


def test_reordered_and_duplicated_reports_give_the_same_verdicts() -> None:
    chance = random.Random(2)
    reports = [
        (f"g{n}", [(m, chance.randrange(9), chance.randrange(4)) for m in chance.sample(range(14), 3)])
        for n in range(9)
    ]
    first = verdicts(tracker_of(reports))
    assert len(set(first)) > 1
    for _ in range(30):
        assert verdicts(tracker_of(chance.sample(reports * 2, 18))) == first


def test_reports_of_several_gateways_reveal_a_failure_that_none_finds_alone() -> None:
    alone = tracker_of([("a", [(3, 2, 1)])])
    assert alone.verdict(3) is Verdict.WELL
    together = tracker_of([(f"g{n}", [(3, 2, 1)]) for n in range(6)])
    assert together.verdict(3) >= Verdict.SUSPECT
    failing = tracker_of([(f"g{n}", [(3, 0, 1)]) for n in range(4)])
    assert failing.verdict(3) is Verdict.SOUR
    assert together.verdict(4) is Verdict.WELL


def test_one_failure_among_many_answers_changes_no_verdict() -> None:
    assert tracker_of([(f"g{n}", [(3, 60, 1)]) for n in range(4)]).verdict(3) is Verdict.WELL
    assert lower_bound(0, 0) == 0.0 and 0 < lower_bound(5, 10) < 0.5


def test_a_reporter_that_finds_all_instances_ill_is_ignored() -> None:
    blind = [("cut-off", [(id_hash, 0, 40) for id_hash in range(14)])]
    assert set(verdicts(tracker_of(blind))) == {Verdict.WELL}
    honest = [(f"g{n}", [(3, 1, 4)]) for n in range(4)]
    assert verdicts(tracker_of(blind + honest)) == verdicts(tracker_of(honest))


def test_at_least_half_of_a_service_stays_in_use_whatever_is_reported() -> None:
    tracker = HealthTracker()
    for number in range(10):  # each reports few instances, so none is taken to be faulty
        for n in range(5):
            tracker.update_report(1.0, f"g{number}-{n}", [(number, 0, 9)])
    tracker.update_verdicts(1.0, LIVES)
    assert all(tracker.verdict(id_hash) is Verdict.SOUR for id_hash in range(10))
    idle = {id_hash: (4, 0.0) for id_hash in range(10)}
    assert len(tracker.to_eject(idle)) == 5
    assert tracker.to_eject({3: (4, 0.0)}) == set()  # the last one


def test_instances_are_ejected_only_while_the_rest_have_slots_for_the_load() -> None:
    tracker = tracker_of([(f"g{n}", [(number, 0, 3) for number in range(4)]) for n in range(4)])
    assert all(tracker.verdict(id_hash) is Verdict.SOUR for id_hash in range(4))
    for there, over in ((0.0, 4), (1.7, 4), (2.2, 2), (2.8, 0)):
        assert len(tracker.to_eject({id_hash: (4, there) for id_hash in range(10)})) == over


def test_a_sour_instance_returns_by_probation_and_waits_longer_each_time() -> None:
    tracker, waits, now = HealthTracker(), [], 0.0
    for _ in range(3):
        tracker.update_report(now, "a", [(3, 0, 4)])
        tracker.update_report(now, "b", [(3, 0, 4)])
        tracker.update_verdicts(now, LIVES)
        assert tracker.verdict(3) is Verdict.SOUR
        begun, found = now, []
        while tracker.verdict(3) is not Verdict.WELL:
            now += 0.25
            found += [(c.after, now) for c in tracker.update_verdicts(now, LIVES)]
        assert [verdict for verdict, _ in found] == [Verdict.PROBATION, Verdict.WELL]
        waits.append(found[0][1] - begun)
    assert HOLD_S <= waits[0] < waits[1] < waits[2]


def test_own_results_are_reported_and_expire() -> None:
    tracker = HealthTracker()
    for n in range(4):
        tracker.note(n / 10, 3, False)
    tracker.note(0.5, 3, True)
    assert tracker.own_report(0.5) == [(3, 1, 4)]
    assert tracker.own_report(9.0) == [] and not tracker.own_results


def test_well_results_are_reported_once_another_gateway_has_ill_ones() -> None:
    """Otherwise three failures beside a hundred unreported good answers would make an instance sour."""
    tracker = HealthTracker()
    for n in range(30):
        tracker.note(n / 100, 3, True)
    assert tracker.own_report(0.3) == []
    for reporter in "abc":
        tracker.update_report(0.3, reporter, [(3, 1, 1)])
    assert tracker.own_report(0.3) == [(3, 30, 0)]
    tracker.update_verdicts(0.3, LIVES)
    assert tracker.verdict(3) is Verdict.WELL


def test_an_ill_result_is_reported_at_once_and_only_once() -> None:
    tracker = HealthTracker()
    tracker.note(0.0, 3, True)
    assert not tracker.report_due
    tracker.note(0.1, 3, False)
    tracker.update_verdicts(0.2, LIVES)
    assert tracker.report_due  # evaluating does not count as reporting
    assert tracker.own_report(0.2) == [(3, 1, 1)] and not tracker.report_due


def test_doubtful_instances_weigh_more_for_run_once_requests() -> None:
    tracker = tracker_of([(f"g{n}", [(3, 2, 1)]) for n in range(6)])
    assert tracker.verdict(3) is Verdict.SUSPECT
    assert tracker.weight(3, once=True) > tracker.weight(3) > 1.0
    assert tracker.weight(4, once=True) == tracker.weight(4) == 1.0


def test_ill_reports_lead_to_verdicts_soon_but_not_each_to_an_evaluation() -> None:
    register = Register(1e6)
    for n in range(6):
        register.merge(0.0, Row(f"i-{n}", "s", "10.0.0.1", 80 + n, "z", "v", 4, 0, 0.0, 1))
    instances = InstancePool(register, "z", random.Random(1))
    bad = id_hash("i-2")
    found = [instances.update_health(1.0 + n / 25, f"g{n}", [(bad, 0, 2)]) for n in range(4)]
    assert [bool(f) for f in found] == [False, False, False, True]  # evaluated at once, and 0.1 s later
    assert instances.health.verdict(bad) is Verdict.SOUR
    assert instances.update_health(9.0, "g1", [(bad, 5, 0)]) == []  # nothing ill: no early evaluation
    instances.update_verdicts(9.0)
    for n in range(50):  # in a large fleet an evaluation costs more, and is done less often
        assert not instances.update_health(9.0 + n / 100, f"h{n}", [(id_hash("i-3"), 0, 2)])
    assert instances.health.verdict(id_hash("i-3")) is Verdict.WELL
    instances.update_verdicts(9.5)
    assert instances.health.verdict(id_hash("i-3")) is Verdict.SOUR


def test_good_results_from_before_a_failure_do_not_hide_it() -> None:
    """Guards against a late verdict: once, with 5 of 29 results ill, it took four seconds."""
    nodes = {name: HealthTracker() for name in "abcde"}
    now = 0.0

    def exchange_reports() -> None:
        for name, tracker in nodes.items():
            report = tracker.own_report(now)
            for other in nodes.values():
                if other is not tracker:
                    other.update_report(now, name, report)

    for n in range(100):  # 20 results per second, all well
        now = n / 20
        nodes["abcde"[n % 5]].note(now, 3, True)
    for n in range(13):  # then four of five are ill
        now += 0.05
        nodes["abcde"[n % 5]].note(now, 3, n % 5 == 4)
        exchange_reports()
    exchange_reports()
    for tracker in nodes.values():
        tracker.update_verdicts(now, LIVES)
        assert tracker.verdict(3) is Verdict.SOUR
    # A small constant share of failures changes no verdict: results count from the first ill one on.
    nodes = {name: HealthTracker() for name in "abcde"}
    for n in range(200):
        now += 0.05
        nodes["abcde"[n % 5]].note(now, 3, n % 40 != 7)
        exchange_reports()
        for tracker in nodes.values():
            tracker.update_verdicts(now, LIVES)
            assert tracker.verdict(3) is Verdict.WELL
