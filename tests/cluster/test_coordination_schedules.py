"""Locks, numbers, keys and watches through kills, wipes, cuts, freezes, late calls and replaced members."""

from __future__ import annotations

import os
from collections import Counter

import pytest
from coordination_world import MEMBERS, play

SEEDS = int(os.environ.get("COORDINATION_SEEDS", "12"))


@pytest.mark.parametrize("members", MEMBERS)
def test_no_schedule_breaks_a_rule(members: int) -> None:
    outcomes, late = Counter[str](), 0
    for seed in range(SEEDS):
        broken, of_one, late_ones = play((seed, members))
        assert not broken, broken
        outcomes, late = outcomes + of_one, late + late_ones
    print(f"{members} members: {outcomes.total()} calls, {late} late at the leader")
    for seen in ("Acquire Granted", "Acquire Held", "Renew Renewed", "Put Conflict", "Watch Compacted"):
        assert outcomes[seen] >= SEEDS / 2, seen
    assert late > SEEDS
