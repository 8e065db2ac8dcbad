"""The state of a gateway and what it knows of the others, for `myrtlehatch status`."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from coralvale.cluster.server.node import GatewayNode


def status(node: GatewayNode) -> bytes:
    """The status as JSON. Times are in seconds."""
    now, limiter = node.runtime.clock.monotonic(), node.limiter
    usage, holding = limiter.usage, limiter.holding
    view, leader, core = node.core.known_view()
    sent: dict[str, float] = {}
    for copy in node.instances.by_id.values():
        sent[copy.entry.row.svc] = sent.get(copy.entry.row.svc, 0.0) + copy.recent
    heard = {name: now - other.heard_at for name, other in usage.peers.items()}
    hosts = []
    for life in node.register.entries.values():
        known = node.instances.by_id.get(life.id)
        since, ill, by = node.instances.health.details(known.id_hash) if known else (now, 0.0, [])
        hosts.append(
            {
                "id": life.id,
                "service": life.row.svc,
                "zone": life.row.az,
                "at": f"{life.row.ip}:{life.row.port}",
                "state": life.state.name.lower(),
                "heard": now - life.heard_at,
                "load": known.load if known else 0.0,
                "slow": float(known.relative_delay(now)) if known else 1.0,
                "health": node.instances.health.verdict(known.id_hash).name.lower() if known else "well",
                "for": now - since if since else 0.0,
                "ill": ill,
                "by": by,
                "share": known.recent / max(1e-9, sent[life.row.svc]) if known else 0.0,
            }
        )
    tenants = []
    for name, metered in limiter.tenants.items():
        tenants.append(
            {
                "name": name,
                "quota": metered.bucket.plan.rate,
                "here": metered.own_rate,
                "all": metered.fleet_rate,
                "window": usage.elsewhere(name).window + metered.window.total(now),
                "share": metered.quota.share(metered.size),
                "tokens": metered.escrow.available(now),
                "leak": metered.bucket.rate,
            }
        )
    found = {
        "name": node.runtime.settings.Hostname,
        "zone": node.runtime.settings.Az,
        "region": node.runtime.settings.Region,
        "ready": node.is_ready(),
        "bindings": node.home.services,
        "bound_routes": node.home.routes,
        "binding_sure": node.home.lease_valid(now),
        "refused_abroad": node.home.refused,
        "refused_for": now - node.home.first_refused if node.home.refused else 0.0,
        "zones": node.home.zones,
        "version": node.changes.configuration.version,
        "open": len(node.edge.open),
        "tasks": len(asyncio.all_tasks()),
        "view": view,
        "leader": leader,
        "holder": leader,  # former name of `leader`, kept for one more version
        "core": list(core),
        "replica": node.core.role(),
        "shares": {
            "version": holding.version,
            "cells": holding.table.owners.count(holding.address),
            "lease": max(0.0, holding.lease_until - now),
        },
        "coordination": node.coordination.metrics.status(node.core.coordination, node.core.coordination_desk),
        "gateways": [
            {
                "name": m.name,
                "state": node.membership.swim.known[m.name].update.state.name.lower(),
                "heard": heard.get(m.address[0], 0.0),
            }
            for m in node.membership.swim.alive()
        ],
        "hosts": hosts,
        "tenants": tenants,
        "answers": {str(status): count for status, count in node.edge.answers.items()},
    }
    return msgspec.json.encode(found)
