"""Tenants whose quota was changed so that it is divided into another number of parts.

Gateways take a new configuration at different moments, one that is cut off much later. Until it has, it owns by
the old division: where that is more than by the new one, the others together own that much less. With o and n
what a gateway owns by the old and the new division, and U the gateways that are not known to have the new terms,
each of the others scales what it owns by

    s = 1 - sum over U of max(0, o - n) / (1 - sum over U of n)

A gateway that knows less of the others has a larger U, and its s is no greater; so with any views the sum of
what is owned stays at most one.
"""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen

from coralvale.cluster.rate_limit.holding import Holding


@frozen
class Terms:
    """A tenant's, in the configuration: requests a second, and the burst."""

    rate: float
    burst: float


@frozen
class TermsChange:
    """What a newer configuration does to a tenant."""

    tenant: str
    before: Terms
    after: Terms


@frozen
class Division:
    """A number of parts that a tenant's quota had before a version of the configuration."""

    parts: int
    version: int


class DivisionChanges:
    """`version_of`: of the configuration that another gateway is known to have, 0 where none is known."""

    def __init__(self, holding: Holding, version_of: Callable[[str], int]) -> None:
        self.holding, self.version_of = holding, version_of
        self.before: dict[str, dict[int, Division]] = {}  # by tenant and number of parts

    def note(self, tenant: str, parts: int, version: int) -> None:
        """A quota that was divided into so many parts is divided otherwise from a version on."""
        self.before.setdefault(tenant, {})[parts] = Division(parts, version)

    def scale(self, tenant: str, parts: int) -> float:
        """Of what is owned by the new division into `parts`, what counts."""
        before = self.before.get(tenant)
        if not before:
            return 1.0
        now = self.holding.owners(tenant, parts)
        then = {d.parts: self.holding.owners(tenant, d.parts) for d in before.values()}
        owners = set(now).union(*then.values()) - {self.holding.address}
        more = unsure = 0.0
        for owner in owners:
            version = self.version_of(owner)
            old = [then[d.parts][owner] / d.parts for d in before.values() if d.version > version]
            if old:
                new = now[owner] / parts
                unsure += new
                more += max(0.0, max(old) - new)
        return max(0.0, 1 - more / (1 - unsure)) if unsure < 1 else 0.0

    def forget(self) -> set[str]:
        """Lets go of what all owners have heard of; the tenants that had changes until now."""
        if not self.before:
            return set()
        tenants = set(self.before)
        owners = set(self.holding.table.owners) - {self.holding.address, ""}
        least = min((self.version_of(owner) for owner in owners), default=0)
        for tenant in tenants:
            left = {n: d for n, d in self.before[tenant].items() if d.version > least and owners}
            if left:
                self.before[tenant] = left
            else:
                del self.before[tenant]
        return tenants
