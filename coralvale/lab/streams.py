"""Chance by name: a stream for each part of the world, so that a change in one does not shift another's.

PCG64 seeded by numpy's SeedSequence (M. E. O'Neill's construction) from the run's seed and the stream's name.
"""

from __future__ import annotations

from hashlib import blake2b

import numpy as np

BLOCK = 1024


def generator(seed: int, name: str) -> np.random.Generator:
    """The stream of this name under this seed; the same on every machine."""
    words = np.frombuffer(blake2b(name.encode(), digest_size=16).digest(), dtype="<u4")
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed, *map(int, words)])))


def number(seed: int, name: str) -> int:
    """A seed for something that brings its own generator."""
    return int(generator(seed, name).integers(1 << 48))


class Lots:
    """Uniform numbers one at a time, drawn in blocks: a scalar from numpy costs ten times as much."""

    def __init__(self, seed: int, name: str) -> None:
        self.generator = generator(seed, name)
        self.block: list[float] = []

    def random(self) -> float:
        """The next, in [0, 1)."""
        if not self.block:
            self.block = self.generator.random(BLOCK).tolist()
        return self.block.pop()


class Once:
    """A uniform number for a name, drawn without a stream: the same whatever else has been drawn."""

    def __init__(self, seed: int, name: str) -> None:
        self.key = f"{seed}/{name}".encode()[:64]

    def random(self, name: str) -> float:
        return int.from_bytes(blake2b(name.encode(), digest_size=7, key=self.key).digest()) / (1 << 56)
