"""What processes that have ended let through, as long as the rule's window still counts it.

A gateway that hears another one's new process keeps what the old process had told. A process that has just
started heard nothing of the old ones, so each gateway also tells what it keeps; of what several tell the most
counts.
"""

from __future__ import annotations

from collections.abc import Mapping

MOST_KEPT = 20_000  # records, and tenants told of by others, known at once
BELIEVED_FOR = 1.2  # s for which what another gateway told is taken to hold


class EndedUse:
    """Requests of ended processes by tenant: those known here, and those that others tell of."""

    def __init__(self) -> None:
        self.records: list[tuple[float, str, int]] = []  # until when it counts, of whom, how much
        self.kept: dict[str, int] = {}
        self.told: dict[str, tuple[float, int]] = {}  # until when it is believed, how much

    def add(self, ends: float, tenant: str, count: int) -> None:
        """Keeps `count` requests of a tenant until `ends`; beyond the bound they are left out."""
        if count > 0 and len(self.records) < MOST_KEPT:
            self.records.append((ends, tenant, count))
            self.kept[tenant] = self.kept.get(tenant, 0) + count

    def hear(self, now: float, counts: Mapping[str, tuple[int, int]]) -> None:
        """What another gateway keeps."""
        for tenant, (count, _) in counts.items():
            ends, before = self.told.get(tenant, (0.0, 0))
            if ends > now and before > count:
                continue
            if tenant in self.told or len(self.told) < MOST_KEPT:
                self.told[tenant] = (now + BELIEVED_FOR, count)

    def expire(self, now: float) -> None:
        """Forgets what the window no longer counts."""
        for tenant in [tenant for tenant, (ends, _) in self.told.items() if ends <= now]:
            del self.told[tenant]
        if not any(record[0] <= now for record in self.records):
            return
        records, self.records, self.kept = self.records, [], {}
        for ends, tenant, count in records:
            if ends > now:
                self.add(ends, tenant, count)

    def of(self, tenant: str) -> int:
        """Requests of a tenant that still count."""
        return max(self.kept.get(tenant, 0), self.told.get(tenant, (0.0, 0))[1])

    def summary(self) -> dict[str, tuple[int, int]]:
        """What this gateway keeps, to be told to all; the second figure of each is always 0."""
        return {tenant: (count, 0) for tenant, count in self.kept.items()}
