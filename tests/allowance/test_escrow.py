"""The ceiling holds whatever becomes of the counter; a whole counter brings it to where it is asked for."""

from __future__ import annotations

import multiprocessing
import os
import subprocess
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import pytest
from allowance.simulation import CeilingExceeded, simulate

from coralvale.allowance.escrow import Escrow
from coralvale.allowance.model import Ceiling, CounterState, Kind, Name

SCHEDULES = 2000
TEN = Ceiling(10.0, 20.0)
UNEVEN = [0.9, 0.05, 0.05]


def batch(first: int) -> tuple[int, list[str], set[str]]:
    """Plays a hundred schedules; returns how many, those that passed the ceiling, and the states seen."""
    found, trust = [], set()
    for seed in range(first, first + 100):
        try:
            trust |= simulate(seed).counter_states
        except CeilingExceeded as error:
            found.append(f"{error}; again: python tests/allowance/simulation.py {seed}")
    return 100, found, trust


def test_no_schedule_of_faults_passes_the_ceiling() -> None:
    # Spawned, not forked: a copy of a process in which gRPC's threads run may wait for a lock for good.
    spawned = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(min(8, os.cpu_count() or 1), mp_context=spawned) as pool:
        results = list(pool.map(batch, range(0, SCHEDULES, 100)))
    assert sum(count for count, _, _ in results) == SCHEDULES
    found = [text for _, texts, _ in results for text in texts]
    assert not found, found[:5]
    assert set().union(*(trust for _, _, trust in results)) == {state.value for state in CounterState}


def test_a_seed_is_played_again_by_one_command() -> None:
    script = Path(__file__).parent / "simulation.py"
    said = [
        subprocess.run([sys.executable, script, "17"], capture_output=True, text=True).stdout
        for _ in range(2)
    ]
    assert said[0] == said[1] and said[0].startswith("seed 17: ")


def share(
    seconds: float = 60.0, begin: int = 16, script: dict[float, str] | None = None, seed: int = 5
) -> float:
    """The part of a ceiling that is used from second `begin` on by a station that asks for twice as much."""
    played = simulate(
        seed,
        seconds,
        3,
        TEN,
        faults=0.0,
        weights=UNEVEN,
        load_factor=2.0,
        script=script,
        crashes=False,
        length=3.0,
    )
    assert played.calls <= 0.2 * played.requests
    return sum(played.used_by_second[begin:]) / (len(played.used_by_second) - begin) / TEN.rate


def test_with_a_whole_counter_a_ceiling_is_used_where_it_is_asked_for() -> None:
    even = (0.9 * 0 + 1 / 3) + 2 * 0.05 * 2.0  # its own part, and the little that the others are asked for
    assert even < 0.6 and share() >= 0.94


@pytest.mark.parametrize("fault", ["silent", "swap", "fork", "loss"])
def test_with_a_bad_counter_never_less_than_the_even_split(fault: str) -> None:
    assert share(script={0.0: fault}) >= 1 / 3 + 2 * 0.05 * 2.0 - 0.03


@pytest.mark.parametrize("weights", [UNEVEN, [0.6, 0.3, 0.1]])
def test_back_at_95_percent_within_two_windows_of_the_counters_return(weights: list[float]) -> None:
    """It comes back empty, at a moment of the window that differs by seed; six seconds later all is as before."""
    silent, back, after = [], [], []
    for seed in range(24):
        played = simulate(
            seed, 44.0, 3, TEN, faults=0.0, weights=weights, load_factor=2.0, crashes=False, length=3.0,
            script={8.0: "silent", 19.9: "swap", 20.0: "well"},
        )  # fmt: skip
        silent.append(sum(played.used_by_second[12:20]) / 8 / TEN.rate)
        back.append(sum(played.used_by_second[26:29]) / 3 / TEN.rate)
        after.append(sum(played.used_by_second[26:44]) / 18 / TEN.rate)
    assert sum(silent) / 24 < 0.9  # the even split: there is something to come back from
    assert sum(back) / 24 >= 0.93  # the first window after those two; what is asked in one varies
    assert sum(after) / 24 >= 0.95


@pytest.mark.parametrize("weights", [UNEVEN, [0.1, 0.8, 0.1]])
def test_a_lower_ceiling_holds_from_the_moment_of_the_change(weights: list[float]) -> None:
    """Rates lent under the old figures are worth less at once; gateways find out with their next request."""
    for seed in range(60):
        simulate(
            seed, 24.0, 3, Ceiling(30.0, 30.0), faults=0.4, weights=weights, load_factor=2.0,
            crashes=seed % 2 == 0, length=3.0, change=(7.0 + seed % 30 / 10, Ceiling(5.0, 6.0)),
        )  # fmt: skip


def test_no_schedule_of_counter_faults_leaves_much_less_than_the_even_split() -> None:
    for seed in range(80):  # of 300 the worst used 0.984 of what evenly split parts let in
        weights = UNEVEN if seed % 2 else [0.6, 0.3, 0.1]
        played = simulate(
            seed, 40.0, 3, TEN, faults=0.4, weights=weights, load_factor=2.0, crashes=False, length=3.0
        )
        assert sum(played.used_by_second) >= 0.97 * sum(played.even_split_by_second), seed
        assert played.max_excess <= 0.15 * TEN.rate, seed


def escrow(index: int = 0, started_at: float = 100.0, gateways: int = 3) -> Escrow:
    return Escrow(Ceiling(9.0, 9.0), 1, gateways, index, started_at, length=4.0)


def gift(window: int, donor: int, recipient: int) -> Name:
    return Name(Kind.GRANT, 1, window, donor, recipient)


def test_a_restart_owns_nothing_until_all_that_it_may_have_given_has_ended() -> None:
    one = escrow(started_at=103.5)  # late in window 25, so that gifts for 25 and 26 may run
    assert one.rate(107.9) == 0.0 and one.rate(108.0) == 0.0 and one.rate(108.1) == 3.0
    assert one.admit(107.9, 1.0) > 0 and one.admit(108.1, 1.0) > 0 and one.admit(109.0, 1.0) == 0
    early = escrow(started_at=101.0)  # nothing can have been given for window 26 yet
    assert early.rate(104.0) == 0.0 and early.rate(104.1) == 3.0
    look = Name(Kind.DEMAND, 1, 26)
    given = escrow(started_at=80.0)
    given.tick(100.5)
    assert given.reply(103.2, look, 9900.0) == []  # too early to give, whatever is told
    assert given.reply(103.4, look, 9900.0)


def test_what_is_taken_is_the_highest_total_for_its_window_alone() -> None:
    one = escrow(started_at=80.0)
    for now in (100.1, 103.2):
        one.admit(now, 50.0)
        one.tick(now)
    assert Name(Kind.DEMAND, 1, 26) in one.added
    reads = one.tick(104.25)
    assert {c.name for c in reads} == {gift(26, 1, 0), gift(26, 2, 0)} and all(c.amount == 0 for c in reads)
    one.reply(104.3, gift(26, 1, 0), 0.5)
    assert one.rate(105.0) == 4.5
    one.reply(104.4, gift(26, 1, 0), 0.25)  # it shrank: what was given stays given
    one.reply(104.4, gift(26, 2, 0), 1e9)  # nobody gives more than a part
    one.reply(104.3, gift(26, 2, 1), 0.5)  # another's
    one.reply(104.3, gift(27, 1, 0), float("nan"))
    assert one.rate(105.0) == 7.5 and one.rate(107.95) == 3.0 and one.rate(108.5) == 3.0


def test_a_gift_is_subtracted_before_it_is_told_and_whatever_the_reply() -> None:
    one = escrow(started_at=80.0)
    (look,) = one.tick(103.5)
    assert look.name == Name(Kind.DEMAND, 1, 26) and look.amount == 0
    calls = one.reply(103.6, look.name, 99 * 100.0)  # gateway 1 wishes for the whole
    assert [c.name for c in calls] == [gift(26, 0, 1)] and calls[0].amount == pytest.approx(0.98, abs=0.001)
    assert (
        one.rate(103.9) == 3.0
        and one.rate(103.95) < 0.1
        and one.rate(108.05) < 0.1
        and one.rate(108.1) == 3.0
    )
    one.reply(103.7, calls[0].name, None)
    assert one.rate(105.0) < 0.1
    assert one.reply(103.7, look.name, 99 * 100.0) == []  # once for a window
    late = escrow(started_at=80.0)
    (look,) = late.tick(103.5)
    assert late.reply(103.95, look.name, 9900.0) == [] and late.rate(105.0) == 3.0  # its part may be in use


def test_what_was_given_means_the_same_under_other_figures() -> None:
    donor, recipient = escrow(started_at=80.0), escrow(index=1, started_at=80.0)
    (look,) = donor.tick(103.5)
    (call,) = donor.reply(103.6, look.name, 99 * 100.0)
    recipient.admit(103.2, 50.0)
    recipient.tick(103.3)
    recipient.tick(104.25)
    recipient.reply(104.3, call.name, call.amount)
    assert donor.rate(105.0) + recipient.rate(105.0) == pytest.approx(6.0)
    donor.tokens = 0.0
    for one in (donor, recipient):
        one.set_ceiling(105.0, Ceiling(0.9, 3.0))
        assert one.tokens <= 1.0
    assert donor.rate(105.0) + recipient.rate(105.0) == pytest.approx(0.6)
    late = escrow(started_at=80.0)
    late.tokens, late.filled_at = 0.0, 105.0
    late.set_ceiling(106.0, Ceiling(0.9, 3.0))  # since when it held is not known: the lower rate counts
    assert late.tokens == pytest.approx(0.3)


def test_trust_is_told_once_for_each_change() -> None:
    one = escrow(started_at=80.0)
    name = Name(Kind.DEMAND, 1, 26)
    for now in (100.1, 103.2):
        one.admit(now, 50.0)
        one.tick(now)
    one.reply(103.25, name, 0.0)
    assert one.counter_state is CounterState.SHORT
    one.reply(103.25, name, 99.0)
    one.reply(103.3, name, None)
    one.reply(103.3, name, None)
    one.reply(103.4, name, None)
    assert one.counter_state is CounterState.SILENT and len(one.state_changes) == 3
    one.reply(103.5, name, 99.0)
    assert one.counter_state is CounterState.WHOLE and "whole -> short" in one.state_changes[0]


def test_one_gateway_alone_has_all_and_asks_nobody() -> None:
    one = escrow(gateways=1)
    assert one.admit(101.0, 9.0) == 0 and one.tick(103.9) == [] and one.rate(101.0) == 9.0
    with pytest.raises(ValueError, match="gateway 3 of 3"):
        escrow(index=3)
