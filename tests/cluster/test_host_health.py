"""Shared health: the same verdict of the same evidence, and what no reporter can do alone."""

from __future__ import annotations

import random

from coralvale.cluster.host_health.watch import HOLD_S, HealthTracker, Verdict, lower_bound
from coralvale.cluster.host_health.watch import HealthRow as Told
from coralvale.cluster.registry.register import Register, Row
from coralvale.cluster.routing.copies import InstancePool, id_hash

LIVES = {"s": set(range(10)), "t": set(range(10, 14))}


def heard(words: list[tuple[str, list[Told]]], now: float = 1.0) -> HealthTracker:
    watch = HealthTracker()
    for reporter, rows in words:
        watch.update_report(now, reporter, rows)
    watch.update_verdicts(now, LIVES)
    return watch


def verdicts(watch: HealthTracker) -> list[Verdict]:
    return [watch.verdict(mark) for mark in range(14)]


def test_the_same_evidence_in_any_order_and_doubled_gives_the_same_verdicts() -> None:
    chance = random.Random(2)
    words = [
        (f"g{n}", [(m, chance.randrange(9), chance.randrange(4)) for m in chance.sample(range(14), 3)])
        for n in range(9)
    ]
    first = verdicts(heard(words))
    assert len(set(first)) > 1
    for _ in range(30):
        assert verdicts(heard(chance.sample(words * 2, 18))) == first


def test_several_who_see_a_little_find_what_none_finds_alone() -> None:
    alone = heard([("a", [(3, 2, 1)])])
    assert alone.verdict(3) is Verdict.WELL
    together = heard([(f"g{n}", [(3, 2, 1)]) for n in range(6)])
    assert together.verdict(3) >= Verdict.SUSPECT
    failing = heard([(f"g{n}", [(3, 0, 1)]) for n in range(4)])
    assert failing.verdict(3) is Verdict.SOUR
    assert together.verdict(4) is Verdict.WELL


def test_a_stray_failure_among_many_answers_is_no_illness() -> None:
    assert heard([(f"g{n}", [(3, 60, 1)]) for n in range(4)]).verdict(3) is Verdict.WELL
    assert lower_bound(0, 0) == 0.0 and 0 < lower_bound(5, 10) < 0.5


def test_one_reporter_for_whom_all_are_ill_is_not_believed() -> None:
    blind = [("cut-off", [(mark, 0, 40) for mark in range(14)])]
    assert set(verdicts(heard(blind))) == {Verdict.WELL}
    honest = [(f"g{n}", [(3, 1, 4)]) for n in range(4)]
    assert verdicts(heard(blind + honest)) == verdicts(heard(honest))


def test_whatever_is_told_half_of_a_service_goes_on() -> None:
    watch = HealthTracker()
    for lot in range(10):  # each speaks of few, so none is blind
        for n in range(5):
            watch.update_report(1.0, f"g{lot}-{n}", [(lot, 0, 9)])
    watch.update_verdicts(1.0, LIVES)
    assert all(watch.verdict(mark) is Verdict.SOUR for mark in range(10))
    idle = {mark: (4, 0.0) for mark in range(10)}
    assert len(watch.to_eject(idle)) == 5
    assert watch.to_eject({3: (4, 0.0)}) == set()  # the last one


def test_no_more_are_passed_over_than_the_rest_have_slots_for() -> None:
    watch = heard([(f"g{n}", [(lot, 0, 3) for lot in range(4)]) for n in range(4)])
    assert all(watch.verdict(mark) is Verdict.SOUR for mark in range(4))
    for there, over in ((0.0, 4), (1.7, 4), (2.2, 2), (2.8, 0)):
        assert len(watch.to_eject({mark: (4, there) for mark in range(10)})) == over


def test_a_sour_copy_comes_back_by_probation_and_waits_longer_each_time() -> None:
    watch, waits, now = HealthTracker(), [], 0.0
    for _ in range(3):
        watch.update_report(now, "a", [(3, 0, 4)])
        watch.update_report(now, "b", [(3, 0, 4)])
        watch.update_verdicts(now, LIVES)
        assert watch.verdict(3) is Verdict.SOUR
        begun, found = now, []
        while watch.verdict(3) is not Verdict.WELL:
            now += 0.25
            found += [(c.after, now) for c in watch.update_verdicts(now, LIVES)]
        assert [verdict for verdict, _ in found] == [Verdict.PROBATION, Verdict.WELL]
        waits.append(found[0][1] - begun)
    assert HOLD_S <= waits[0] < waits[1] < waits[2]


def test_own_answers_count_like_a_word_and_age() -> None:
    watch = HealthTracker()
    for n in range(4):
        watch.note(n / 10, 3, False)
    watch.note(0.5, 3, True)
    assert watch.own_report(0.5) == [(3, 1, 4)]
    assert watch.own_report(9.0) == [] and not watch.own_results


def test_what_is_well_is_told_once_another_has_found_it_ill() -> None:
    """Else three stray failures beside a hundred answers that nobody tells of would make a copy sour."""
    watch = HealthTracker()
    for n in range(30):
        watch.note(n / 100, 3, True)
    assert watch.own_report(0.3) == []
    for reporter in "abc":
        watch.update_report(0.3, reporter, [(3, 1, 1)])
    assert watch.own_report(0.3) == [(3, 30, 0)]
    watch.update_verdicts(0.3, LIVES)
    assert watch.verdict(3) is Verdict.WELL


def test_what_is_ill_is_told_once_at_once() -> None:
    watch = HealthTracker()
    watch.note(0.0, 3, True)
    assert not watch.report_due
    watch.note(0.1, 3, False)
    watch.update_verdicts(0.2, LIVES)
    assert watch.report_due  # weighing it is not telling it
    assert watch.own_report(0.2) == [(3, 1, 1)] and not watch.report_due


def test_what_may_run_once_is_kept_away_from_doubtful_copies_the_more() -> None:
    watch = heard([(f"g{n}", [(3, 2, 1)]) for n in range(6)])
    assert watch.verdict(3) is Verdict.SUSPECT
    assert watch.weight(3, once=True) > watch.weight(3) > 1.0
    assert watch.weight(4, once=True) == watch.weight(4) == 1.0


def test_verdicts_come_soon_after_ill_news_and_not_with_each_word() -> None:
    register = Register(1e6)
    for n in range(6):
        register.merge(0.0, Row(f"i-{n}", "s", "10.0.0.1", 80 + n, "z", "v", 4, 0, 0.0, 1))
    instances = InstancePool(register, "z", random.Random(1))
    bad = id_hash("i-2")
    found = [instances.update_health(1.0 + n / 25, f"g{n}", [(bad, 0, 2)]) for n in range(4)]
    assert [bool(f) for f in found] == [False, False, False, True]  # weighed at once, and 0.1 s later
    assert instances.health.verdict(bad) is Verdict.SOUR
    assert (
        instances.update_health(9.0, "g1", [(bad, 5, 0)]) == []
    )  # nothing ill: the next word is soon enough
    instances.update_verdicts(9.0)
    for n in range(50):  # in a large fleet each look costs more, and comes less often
        assert not instances.update_health(9.0 + n / 100, f"h{n}", [(id_hash("i-3"), 0, 2)])
    assert instances.health.verdict(id_hash("i-3")) is Verdict.WELL
    instances.update_verdicts(9.5)
    assert instances.health.verdict(id_hash("i-3")) is Verdict.SOUR


def test_what_was_well_before_the_first_ill_answer_does_not_hide_it() -> None:
    """Seen on a day of copies that sour: 5 of 29 ill, and four seconds until it was found."""
    nodes = {name: HealthTracker() for name in "abcde"}
    now = 0.0

    def all_hear() -> None:
        for name, watch in nodes.items():
            told = watch.own_report(now)
            for other in nodes.values():
                if other is not watch:
                    other.update_report(now, name, told)

    for n in range(100):  # twenty a second, well
        now = n / 20
        nodes["abcde"[n % 5]].note(now, 3, True)
    for n in range(13):  # then four of five ill
        now += 0.05
        nodes["abcde"[n % 5]].note(now, 3, n % 5 == 4)
        all_hear()
    all_hear()
    for watch in nodes.values():
        watch.update_verdicts(now, LIVES)
        assert watch.verdict(3) is Verdict.SOUR
    # The same stray share all along is none: what counts grows from the first ill answer on.
    nodes = {name: HealthTracker() for name in "abcde"}
    for n in range(200):
        now += 0.05
        nodes["abcde"[n % 5]].note(now, 3, n % 40 != 7)
        all_hear()
        for watch in nodes.values():
            watch.update_verdicts(now, LIVES)
            assert watch.verdict(3) is Verdict.WELL
