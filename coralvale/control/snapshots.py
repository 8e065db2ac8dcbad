"""Versions: turns the bodies that are to be served into snapshots whose versions only grow, over restarts too.

A version is the microsecond at which it was made, or one more than the last, whichever is higher. So without
any saved state a restarted service still counts on from above what it served before, as long as the machine's
clock was not set back; with saved state (`floor`) that does not matter either. A resource whose body has not
changed keeps its version, so that a delta proxy that reconnects is sent nothing it has.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from types import MappingProxyType

from coralvale.control.model import ORDER, Resource, Snapshot

Bodies = Mapping[str, Mapping[str, bytes]]  # type URL to name to serialised resource
Kept = dict[str, dict[str, tuple[int, str]]]  # type URL to name to (version, digest): what is saved


class Snapshots:
    """Makes each snapshot from the one before. `kept` and `floor` are what an earlier life saved."""

    def __init__(self, floor: int = 0, kept: Kept | None = None) -> None:
        self.version = floor
        self.kept: Kept = kept or {}
        self.newest: Snapshot | None = None

    def make(self, now: float, bodies: Bodies, urgent: bool = False) -> Snapshot | None:
        """The snapshot for these bodies, or None if none of them changed. `urgent`: it tells a drain."""
        version = max(self.version + 1, int(now * 1_000_000))
        types: dict[str, Mapping[str, Resource]] = {}
        versions: dict[str, int] = {}
        changed = self.newest is None
        for kind in ORDER:
            before = self.newest.types[kind] if self.newest else {}
            kept = self.kept.get(kind, {})
            made: dict[str, Resource] = {}
            for name, body in bodies.get(kind, {}).items():
                old = before.get(name)
                if old is not None and old.body == body:
                    made[name] = old
                    continue
                digest = hashlib.blake2s(body, digest_size=8).hexdigest()
                saved = kept.get(name) if old is None else None
                known = saved[0] if saved and saved[1] == digest else version
                made[name] = Resource(name, known, digest, body)
            if self.newest and made == before:
                types[kind], versions[kind] = before, self.newest.versions[kind]
            else:
                types[kind], versions[kind], changed = MappingProxyType(made), version, True
        if not changed:
            return None
        self.version = version
        told = version if urgent else (self.newest.urgent if self.newest else 0)
        self.newest = Snapshot(version, MappingProxyType(types), MappingProxyType(versions), told)
        self.kept = {
            kind: {name: (r.version, r.digest) for name, r in held.items()} for kind, held in types.items()
        }
        return self.newest
