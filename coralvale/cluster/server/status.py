"""What a gateway knows of itself and all else, for `myrtlehatch status`."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from coralvale.cluster.server.node import GatewayNode


def status(o: GatewayNode) -> bytes:
    now, limiter = o.runtime.clock.monotonic(), o.limiter
    usage, holding = limiter.usage, limiter.holding
    view, leader, core = o.core.known()
    sent: dict[str, float] = {}
    for copy in o.instances.by_id.values():
        sent[copy.entry.row.svc] = sent.get(copy.entry.row.svc, 0.0) + copy.recent
    heard = {name: now - other.heard_at for name, other in usage.peers.items()}
    hosts = []
    for life in o.register.entries.values():
        known = o.instances.by_id.get(life.id)
        since, ill, by = o.instances.health.details(known.id_hash) if known else (now, 0.0, [])
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
                "health": o.instances.health.verdict(known.id_hash).name.lower() if known else "well",
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
        "name": o.runtime.settings.Hostname,
        "zone": o.runtime.settings.Az,
        "region": o.runtime.settings.Region,
        "ready": o.is_ready(),
        "bindings": o.home.services,
        "bound_routes": o.home.routes,
        "binding_sure": o.home.lease_valid(now),
        "refused_abroad": o.home.refused,
        "refused_for": now - o.home.first_refused if o.home.refused else 0.0,
        "zones": o.home.zones,
        "version": o.changes.configuration.version,
        "open": len(o.edge.open),
        "tasks": len(asyncio.all_tasks()),
        "view": view,
        "leader": leader,
        "holder": leader,  # its name before, for one version more
        "core": list(core),
        "replica": o.core.role(),
        "shares": {
            "version": holding.version,
            "cells": holding.table.owners.count(holding.address),
            "lease": max(0.0, holding.lease_until - now),
        },
        "coordination": o.coordination.metrics.status(o.core.coordination, o.core.coordination_desk),
        "gateways": [
            {
                "name": m.name,
                "state": o.membership.swim.known[m.name].update.state.name.lower(),
                "heard": heard.get(m.address[0], 0.0),
            }
            for m in o.membership.swim.alive()
        ],
        "hosts": hosts,
        "tenants": tenants,
        "answers": {str(status): count for status, count in o.edge.answers.items()},
    }
    return msgspec.json.encode(found)
