"""Who owns a key: weighted rendezvous hashing over the members that are there. No I/O.

Every member gets a score for a key, -weight / ln(h) with h in (0, 1) from a hash of both; the highest owns it
(D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM ToN 1998; weights:
C. Schindelhauer, G. Schomaker, "Weighted distributed hash tables", SPAA 2005). A member's score does not depend
on the others, so

- who joins with weight w beside weights that sum to W takes w / (W + w) of all keys on average, from all, and no
  key moves between two others;
- who goes leaves its own keys alone, to all others by weight;
- who changes its weight takes or loses as much as the change, and no key moves between two others.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from hashlib import blake2b

from coralvale.members.model import Member

CACHE = 65_536  # keys whose owner is kept; past it all are found anew
SPAN = 1 << 64


def drawn(name: str, of: bytes) -> float:
    """From 0 to 1, without the ends: the same everywhere for a member's name and something else."""
    lot = int.from_bytes(blake2b(of, digest_size=8, key=name.encode()[:64]).digest())
    return (lot + 0.5) / SPAN


def score(key: bytes, member: Member) -> float:
    """Of a member for a key; above 0."""
    return -member.weight / math.log(drawn(member.name, key))


class Placement:
    """The owners of keys under a view that changes. What is kept follows a change by one hash a key, or none."""

    def __init__(self, members: Sequence[Member] = ()) -> None:
        self.members: dict[str, Member] = {m.name: m for m in members}
        self.kept: dict[bytes, tuple[float, str]] = {}

    def owner(self, key: bytes) -> Member | None:
        """Who owns it; None if nobody is there."""
        if (kept := self.kept.get(key)) is None:
            if not self.members:
                return None
            if len(self.kept) >= CACHE:
                self.kept.clear()
            # Of equal scores the greater name: any rule will do that all have.
            kept = self.kept[key] = max((score(key, m), m.name) for m in self.members.values())
        return self.members[kept[1]]

    def join(self, member: Member) -> None:
        """One is there, new or with another weight."""
        before, self.members[member.name] = self.members.get(member.name), member
        if before is not None and before.weight > member.weight:
            # What it loses goes to any of the others: found when it is asked for.
            return self._forget(member.name)
        for key, kept in self.kept.items():
            if (mine := (score(key, member), member.name)) > kept or kept[1] == member.name:
                self.kept[key] = mine

    def leave(self, name: str) -> None:
        """One is gone."""
        if self.members.pop(name, None) is not None:
            self._forget(name)

    def _forget(self, name: str) -> None:
        for key in [key for key, kept in self.kept.items() if kept[1] == name]:
            del self.kept[key]
