"""Locks, numbers, keys and watches through kills, wipes, cuts, freezes, late calls and replaced members; and each
thing that they rely on, taken out, is missed."""

from __future__ import annotations

import os
from collections import Counter
from collections.abc import Callable

import pytest
from coordination_mutants import MUTANTS, Suspect
from coordination_scenes import SCENES
from coordination_world import MEMBERS, CoordinationWorld, play

SEEDS = int(os.environ.get("COORDINATION_SEEDS", "12"))
SCENE_SEEDS = 30


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


@pytest.mark.parametrize("scene", SCENES, ids=lambda scene: scene.__name__)
def test_no_scene_breaks_a_rule(scene: Callable[[CoordinationWorld], None]) -> None:
    for seed in range(SCENE_SEEDS):
        scene(CoordinationWorld(seed, MEMBERS[seed % len(MEMBERS)]))


@pytest.mark.parametrize("suspect", MUTANTS, ids=lambda suspect: suspect.name)
def test_what_is_taken_out_is_missed(suspect: Suspect) -> None:
    seed, broken = suspect.hunt()
    assert broken, f"{suspect.name}: nothing broke"
    print(f"mutant {suspect.name}: seed {seed}: {broken}")
