"""Sums over the gateways of one zone."""

from __future__ import annotations

from collections.abc import Iterable

from coralvale.cluster.rate_limit.usage import TenantUsage

Out = Iterable[tuple[int, int]]  # mark of a copy, and attempts that a gateway has in flight there


def sum_usage(uses: Iterable[TenantUsage]) -> TenantUsage:
    """Requests that several gateways admitted, by tenant."""
    sums: TenantUsage = {}
    for use in uses:
        for tenant, (window, newest) in use.items():
            before = sums.get(tenant)
            sums[tenant] = (window + before[0], newest + before[1]) if before else (window, newest)
    return sums


def sum_in_flight(outs: Iterable[Out]) -> list[tuple[int, int]]:
    """Attempts that several gateways have in flight at each copy, the largest sum first."""
    sums: dict[int, int] = {}
    for out in outs:
        for number, count in out:
            sums[number] = sums.get(number, 0) + count
    return sorted(sums.items(), key=lambda row: -row[1])
