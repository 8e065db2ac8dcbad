"""Policies by name, as experiments write them."""

from __future__ import annotations

from coralvale.lab import baselines, broken
from coralvale.lab.world.platform import Factory, ours

NAMED: dict[str, Factory] = {
    "ours": ours,
    "omniscient": baselines.Omniscient,
    "late": baselines.Late,
    "plain": baselines.Plain,
}
NODE = "node"  # whole gateways on virtual time (`virtual/platform.py`)
BESIDE = "beside"  # an earlier checkout, in a process of its own (`runs.py`)


def known() -> list[str]:
    return [*NAMED, *broken.MUTANTS, NODE, BESIDE]


def factory(name: str) -> Factory:
    """The policy of this name. Raises KeyError for one that this process cannot make."""
    return NAMED[name] if name in NAMED else broken.make(name)
