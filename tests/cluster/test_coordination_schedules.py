"""Simulated coordination under kills, wipes, partitions, freezes, delayed calls and replaced members.

Each mutant that breaks one property has to be detected by the rule for that property.
"""

from __future__ import annotations

import os
from collections import Counter
from collections.abc import Callable

import pytest
from coordination_mutants import MUTANTS, Mutant
from coordination_scenes import SCENES
from coordination_world import MEMBERS, CoordinationWorld, play

SEEDS = int(os.environ.get("COORDINATION_SEEDS", "12"))
SCENE_SEEDS = 30


@pytest.mark.parametrize("members", MEMBERS)
def test_random_schedules_break_no_rule(members: int) -> None:
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
def test_scripted_scenes_break_no_rule(scene: Callable[[CoordinationWorld], None]) -> None:
    for seed in range(SCENE_SEEDS):
        scene(CoordinationWorld(seed, MEMBERS[seed % len(MEMBERS)]))


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_each_mutant_is_detected_by_its_rule(mutant: Mutant) -> None:
    seed, broken = mutant.find_violation()
    assert broken, f"{mutant.name}: nothing broke"
    print(f"mutant {mutant.name}: seed {seed}: {broken}")
